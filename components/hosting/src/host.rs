//! The runs of a host.

use std::collections::BTreeMap;
use std::rc::Rc;

use model::{
    HostView, MOST_URGENT, News, NewsRequest, NotStarted, Orders, ProcessKey, Resources, RunEnd,
    RunEvent, RunId, RunPermit, StartOrder, TaskRef,
};
use rustc_hash::FxHashMap;

use crate::action::HostAction;
use crate::health::Health;
use crate::lease::{HoldRequest, Lease};
use crate::limits::{
    DOUBT_MS, HOLD_WAIT_MS, MAX_QUEUE, NUMBER_KEPT_MS, PERMIT_TTL_MS, ROOM_PAUSE_MS, STALL_MS,
    STOP_CONFIRM_MS, STOP_RETRY_MS,
};
use crate::pace::Pace;
use crate::queue::Turn;
use crate::run::{Run, RunState};
use crate::session::Session;
use crate::target::{
    EndedRun, HoldOutcome, Holding, RunningRun, StartOutcome, StartRefusal, TargetEnd, TargetReport,
};

/// Shortest time between two progress reports that tells something of the speed, in
/// milliseconds.
const PACE_WINDOW_MS: u64 = 80;

/// Time beyond the usual interval between two answers of the target after which they tell nothing
/// of its speed, in milliseconds.
const PACE_SLACK_MS: u64 = 40;

/// Step by which a fencing token that is too low is raised at first; it doubles, up to the wall
/// clock's resolution of a day.
const TOKEN_STEP: u64 = 1_000;

/// The last run of a task at this host.
#[derive(Debug, Clone, Copy)]
struct LastNumber {
    number: u32,
    noted_at_ms: u64,
}

/// The decisions of an agent.
#[derive(Debug)]
pub struct Host {
    key: ProcessKey,
    token: u64,
    token_step: u64,
    target: Option<TargetReport>,
    is_target_gone: bool,
    is_stopping: bool,
    is_inheritance_clear: bool,
    lease: Lease,
    acknowledged: u64,
    heard_at_ms: u64,
    in_doubt_until_ms: u64,
    has_gap: bool,
    pace: Pace,
    health: Health,
    no_room_until_ms: u64,
    runs: BTreeMap<TaskRef, Run>,
    sessions: FxHashMap<ProcessKey, Session>,
    numbers: FxHashMap<TaskRef, LastNumber>,
    life_unix_ms: Option<u64>,
}

impl Host {
    /// Creates the decisions of the agent `key`.
    ///
    /// `token` is the fencing token to begin with; it should be above that of every earlier
    /// agent of the target, and is raised when the target says that it is not.
    #[must_use]
    pub fn new(key: ProcessKey, token: u64) -> Self {
        Self {
            key,
            token,
            token_step: TOKEN_STEP,
            target: None,
            is_target_gone: false,
            is_stopping: false,
            is_inheritance_clear: false,
            lease: Lease::default(),
            acknowledged: 0,
            heard_at_ms: 0,
            in_doubt_until_ms: 0,
            has_gap: false,
            pace: Pace::default(),
            health: Health::default(),
            no_room_until_ms: 0,
            runs: BTreeMap::new(),
            sessions: FxHashMap::default(),
            numbers: FxHashMap::default(),
            life_unix_ms: None,
        }
    }

    /// Returns the fencing token in use.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns the target, if it has reported.
    #[must_use]
    pub fn target(&self) -> Option<&TargetReport> {
        self.target.as_ref()
    }

    /// Tells whether nothing runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns how many tasks wait and how many run.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let running = self.runs.values().filter(|run| run.occupies()).count();
        (self.runs.len() - running, running)
    }

    /// Takes no more orders; what waits is given back.
    pub fn stop(&mut self, now_ms: u64, actions: &mut Vec<HostAction>) {
        self.is_stopping = true;
        self.give_back_waiting(NotStarted::Draining);
        self.tick(now_ms, actions);
    }

    /// Takes the orders of an entry and returns the news for it.
    pub fn order(&mut self, now_ms: u64, orders: Orders, actions: &mut Vec<HostAction>) -> News {
        self.expire(now_ms, actions);
        let has_authority = self.hear(now_ms, orders.from, orders.permit);
        let session = self.sessions.entry(orders.from).or_default();
        session.acknowledge(orders.seen);
        if !session.is_new(orders.number) {
            return self.news(now_ms, orders.from);
        }
        for run in orders.stops {
            self.withdraw(now_ms, run, actions);
        }
        for start in orders.starts {
            self.take(now_ms, orders.from, &start, has_authority, actions);
        }
        self.start_waiting(now_ms, actions);
        self.news(now_ms, orders.from)
    }

    /// Takes note of an entry's question; [`Self::news`] gives the answer.
    pub fn question(&mut self, now_ms: u64, request: &NewsRequest, actions: &mut Vec<HostAction>) {
        self.expire(now_ms, actions);
        self.hear(now_ms, request.from, request.permit);
        if let Some(session) = self.sessions.get_mut(&request.from) {
            session.acknowledge(request.seen);
        }
    }

    /// Tells whether an entry's question should be answered now.
    #[must_use]
    pub fn has_news(&self, now_ms: u64, from: ProcessKey, seen: u64) -> bool {
        let Some(session) = self.sessions.get(&from) else {
            return false;
        };
        session.has_urgent(seen) || session.told_open != Some(self.is_open(now_ms))
    }

    /// Returns the news for an entry.
    pub fn news(&mut self, now_ms: u64, to: ProcessKey) -> News {
        let view = self.view(now_ms);
        if let Some(session) = self.sessions.get_mut(&to) {
            session.told_open = Some(view.is_open);
        }
        News {
            permit: RunPermit {
                agent: self.key,
                issued_ms: now_ms,
            },
            is_inheritance_clear: self.is_inheritance_clear,
            view,
            events: self
                .sessions
                .get(&to)
                .map_or_else(Vec::new, Session::events),
        }
    }

    /// Takes note that the connection of an entry has closed.
    pub fn link_closed(&mut self, now_ms: u64, from: ProcessKey) {
        if let Some(session) = self.sessions.get_mut(&from) {
            session.closed(now_ms);
        }
    }

    /// Takes the target's report about itself; tells whether it is news.
    pub fn report(
        &mut self,
        now_ms: u64,
        report: TargetReport,
        actions: &mut Vec<HostAction>,
    ) -> bool {
        let is_same_life = self.target.as_ref().is_some_and(|target| {
            target.instance == report.instance && target.born_unix_ms == report.born_unix_ms
        });
        if let Some(target) = &self.target {
            let is_old = if is_same_life {
                report.sequence <= target.sequence
            } else {
                report.born_unix_ms < target.born_unix_ms
            };
            if is_old {
                return false;
            }
        }
        self.enter_life(report.born_unix_ms);
        let is_changed = !is_same_life
            || self.target.as_ref().is_some_and(|target| {
                target.is_draining != report.is_draining || target.capacity != report.capacity
            });
        self.is_target_gone = false;
        if report.is_draining {
            self.give_back_waiting(NotStarted::Draining);
        }
        self.target = Some(report);
        self.tick(now_ms, actions);
        is_changed
    }

    /// Takes what an earlier agent knew of the target, until the target reports itself; another
    /// life of the target is noticed by its answers.
    pub fn recall(&mut self, report: TargetReport) {
        if self.target.is_none() && self.life_unix_ms.is_none_or(|ms| ms == report.born_unix_ms) {
            self.enter_life(report.born_unix_ms);
            self.target = Some(report);
        }
    }

    /// Takes note that the target says goodbye; what it runs ends with it.
    pub fn target_left(&mut self, instance: &str) {
        let is_here = self.target.as_ref();
        if is_here.is_some_and(|target| &*target.instance == instance) {
            self.is_target_gone = true;
            self.give_back_waiting(NotStarted::NoTarget);
        }
    }

    /// Returns the next question for the target's runs.
    ///
    /// The lease is not renewed while a run that had to end may still be running.
    pub fn hold_request(&mut self, now_ms: u64, actions: &mut Vec<HostAction>) -> HoldRequest {
        self.expire(now_ms, actions);
        let is_overdue = self.runs.values().any(|run| {
            matches!(run.state, RunState::Stopping { must_end_by_ms: Some(by_ms), .. }
                if by_ms <= now_ms)
        });
        let lease_end_ms = if is_overdue || self.runs.is_empty() {
            None
        } else {
            self.lease.grant(now_ms)
        };
        HoldRequest {
            lease_end_ms,
            token: self.token,
            acknowledged: self.acknowledged,
            // A new agent first has to know what its predecessor left.
            wait_ms: if self.is_inheritance_clear {
                HOLD_WAIT_MS
            } else {
                0
            },
        }
    }

    /// Tells whether the target has left calls unanswered of late, so that a second question at
    /// the same time is worth its cost.
    #[must_use]
    pub fn is_in_doubt(&self, now_ms: u64) -> bool {
        now_ms < self.in_doubt_until_ms && !self.runs.is_empty()
    }

    /// Takes the result of a question that was sent at `sent_at_ms`.
    pub fn held(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        outcome: HoldOutcome,
        actions: &mut Vec<HostAction>,
    ) {
        match outcome {
            HoldOutcome::Held(holding) => self.take_holding(now_ms, sent_at_ms, &holding, actions),
            HoldOutcome::StaleToken => self.raise_token(),
            HoldOutcome::NobodyListens => {
                self.is_target_gone = true;
                self.lose_all(now_ms);
                self.give_back_waiting(NotStarted::NoTarget);
            }
            HoldOutcome::OtherIncarnation => self.target = None,
            HoldOutcome::Unanswered => self.in_doubt_until_ms = now_ms + DOUBT_MS,
        }
        self.tick(now_ms, actions);
    }

    /// Takes the result of a start.
    pub fn started(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        outcome: StartOutcome,
        actions: &mut Vec<HostAction>,
    ) {
        let is_current = self
            .runs
            .get(&task)
            .is_some_and(|run| run.state == RunState::Starting { number });
        if is_current {
            match outcome {
                StartOutcome::Started => self.mark_running(now_ms, task, number, 0),
                StartOutcome::Unanswered => {
                    self.in_doubt_until_ms = now_ms + DOUBT_MS;
                    self.send_start(now_ms, task, number, actions);
                }
                StartOutcome::Refused(why) => {
                    self.start_refused(now_ms, task, number, why, actions);
                }
            }
        }
        self.tick(now_ms, actions);
    }

    /// Takes the answer to a stop: the run has ended or will within the target's stop time,
    /// and a start that is still under way is refused.
    pub fn stop_answered(&mut self, now_ms: u64, task: TaskRef, of_number: u32) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if let RunState::Stopping {
            number,
            answered_at_ms,
            ..
        } = &mut run.state
            && *number == of_number
        {
            answered_at_ms.get_or_insert(now_ms);
        }
    }

    /// Ends what has run out of time and starts what fits.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<HostAction>) {
        self.expire(now_ms, actions);
        self.lose_lapsed(now_ms);
        self.retry_stops(now_ms, actions);
        self.give_back_overdue(now_ms);
        self.start_waiting(now_ms, actions);
        self.forget(now_ms);
    }

    fn hear(&mut self, now_ms: u64, from: ProcessKey, permit: Option<RunPermit>) -> bool {
        let is_valid = |permit: &RunPermit| {
            permit.agent == self.key && now_ms < permit.issued_ms + PERMIT_TTL_MS
        };
        let issued_ms = permit.filter(is_valid).map(|permit| permit.issued_ms);
        let session = self.sessions.entry(from).or_default();
        session.heard(now_ms, issued_ms);
        issued_ms.is_some()
    }

    fn take(
        &mut self,
        now_ms: u64,
        from: ProcessKey,
        order: &StartOrder,
        has_authority: bool,
        actions: &mut Vec<HostAction>,
    ) {
        for &(index, attempt) in &order.tasks {
            let task = TaskRef {
                job: order.job,
                step: order.step,
                index,
            };
            let id = RunId { task, attempt };
            if let Some(present) = self.runs.get(&task) {
                // A repeated order has its answer on the way.
                let is_repeated = present.owner == from && present.id == id;
                if !is_repeated {
                    self.tell(from, id, RunEvent::NotStarted(NotStarted::Occupied));
                    self.end_replaced(now_ms, task, from, actions);
                }
                continue;
            }
            if let Some(why) = self.objection(now_ms, order, has_authority) {
                self.tell(from, id, RunEvent::NotStarted(why));
                continue;
            }
            let run = Run {
                id,
                owner: from,
                specification: Rc::clone(&order.specification),
                needs: order.needs,
                estimate_ms: order.estimate_ms.max(1),
                start_by_ms: now_ms + u64::from(order.slack_ms),
                priority: order.priority,
                is_begun: order.is_begun,
                ordered_at_ms: now_ms,
                state: RunState::Waiting {
                    give_up_at_ms: now_ms + u64::from(order.patience_ms),
                },
            };
            self.runs.insert(task, run);
        }
    }

    /// Returns why an order is not taken.
    fn objection(
        &self,
        now_ms: u64,
        order: &StartOrder,
        has_authority: bool,
    ) -> Option<NotStarted> {
        if !has_authority {
            return Some(NotStarted::PermitExpired);
        }
        let Some(target) = self.usable_target(now_ms) else {
            return Some(NotStarted::NoTarget);
        };
        if self.is_stopping || target.is_draining {
            return Some(NotStarted::Draining);
        }
        let is_full = self.runs.len() >= MAX_QUEUE || !target.capacity.holds(&order.needs);
        is_full.then_some(NotStarted::NoRoom)
    }

    /// Ends a run whose client has sent its job again at another entry.
    fn end_replaced(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        newer_owner: ProcessKey,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        if run.owner == newer_owner {
            return;
        }
        if run.occupies() {
            self.send_stop(now_ms, task, Some(now_ms + STOP_CONFIRM_MS), actions);
        } else {
            self.give_back(task, NotStarted::Occupied);
        }
    }

    fn usable_target(&self, now_ms: u64) -> Option<&TargetReport> {
        let target = self.target.as_ref()?;
        let is_usable = !self.is_target_gone
            && self.is_inheritance_clear
            && self.lease.has_clock()
            && !self.health.is_ejected(now_ms)
            && now_ms < self.heard_at_ms + crate::limits::LEASE_MS;
        is_usable.then_some(target)
    }

    fn withdraw(&mut self, now_ms: u64, id: RunId, actions: &mut Vec<HostAction>) {
        let Some(run) = self.runs.get(&id.task) else {
            return;
        };
        if run.id != id {
            return;
        }
        if run.occupies() {
            self.send_stop(now_ms, id.task, None, actions);
        } else {
            self.give_back(id.task, NotStarted::Withdrawn);
        }
    }

    /// Ends the runs of entries that have lost their authority.
    fn expire(&mut self, now_ms: u64, actions: &mut Vec<HostAction>) {
        let sessions = &self.sessions;
        let lost_at_ms = |run: &Run| {
            let session = sessions.get(&run.owner);
            let has_authority = session.is_some_and(|session| session.has_authority(now_ms));
            let until_ms = session.map_or(now_ms, Session::authority_until_ms);
            (!has_authority).then_some(until_ms.min(now_ms))
        };
        let lost: Vec<(TaskRef, u64)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| lost_at_ms(run).map(|at_ms| (*task, at_ms)))
            .collect();
        for (task, lost_at_ms) in lost {
            let must_end_by_ms = lost_at_ms + STOP_CONFIRM_MS;
            match self.runs.get_mut(&task).map(|run| &mut run.state) {
                Some(RunState::Waiting { .. }) => self.give_back(task, NotStarted::PermitExpired),
                Some(RunState::Stopping {
                    must_end_by_ms: by_ms @ None,
                    ..
                }) => *by_ms = Some(must_end_by_ms),
                Some(RunState::Stopping { .. }) | None => {}
                Some(_) => self.send_stop(now_ms, task, Some(must_end_by_ms), actions),
            }
        }
    }

    fn send_stop(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        must_end_by_ms: Option<u64>,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let Some(number) = run.number() else {
            return;
        };
        if matches!(run.state, RunState::Stopping { .. }) && must_end_by_ms.is_none() {
            return;
        }
        run.state = RunState::Stopping {
            number,
            retry_at_ms: now_ms + STOP_RETRY_MS,
            answered_at_ms: None,
            must_end_by_ms,
        };
        actions.push(HostAction::Stop {
            task,
            number,
            token: self.token,
        });
    }

    fn retry_stops(&mut self, now_ms: u64, actions: &mut Vec<HostAction>) {
        for run in self.runs.values_mut() {
            if let RunState::Stopping {
                number,
                retry_at_ms,
                ..
            } = &mut run.state
                && *retry_at_ms <= now_ms
            {
                *retry_at_ms = now_ms + STOP_RETRY_MS;
                actions.push(HostAction::Stop {
                    task: run.id.task,
                    number: *number,
                    token: self.token,
                });
            }
        }
    }

    fn take_holding(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        holding: &Holding,
        actions: &mut Vec<HostAction>,
    ) {
        if self.life_unix_ms > Some(holding.born_unix_ms) {
            return;
        }
        self.enter_life(holding.born_unix_ms);
        // After a gap the time of what is learned now is not known well.
        let usual_ms = HOLD_WAIT_MS + PACE_SLACK_MS;
        self.has_gap = now_ms > self.heard_at_ms + usual_ms;
        self.heard_at_ms = now_ms;
        self.is_target_gone = false;
        self.lease.read_clock(now_ms, holding.clock_ms);
        for ended in &holding.ended {
            self.take_end(now_ms, ended);
        }
        self.acknowledged = self.acknowledged.max(holding.last_sequence);
        let unknown = self.take_running(now_ms, &holding.running);
        self.is_inheritance_clear |= unknown.is_empty();
        for run in unknown {
            actions.push(HostAction::Stop {
                task: run.task,
                number: run.number,
                token: self.token,
            });
        }
        self.lose_missing(now_ms, sent_at_ms, &holding.running);
    }

    /// Takes the list of what runs and returns the runs that should not.
    fn take_running(&mut self, now_ms: u64, rows: &[RunningRun]) -> Vec<RunningRun> {
        let mut unknown = Vec::new();
        for row in rows {
            let run = self.runs.get(&row.task);
            match run.map(|run| (run.number(), run.state)) {
                Some((Some(number), RunState::Starting { .. })) if number == row.number => {
                    self.mark_running(now_ms, row.task, number, row.percent);
                }
                Some((Some(number), RunState::Running { .. })) if number == row.number => {
                    self.take_progress(now_ms, row);
                }
                Some((Some(number), _)) if number == row.number => {}
                _ => unknown.push(*row),
            }
        }
        unknown
    }

    fn mark_running(&mut self, now_ms: u64, task: TaskRef, number: u32, percent: u8) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.state = RunState::Running {
            number,
            started_at_ms: now_ms,
            percent,
            progress_at_ms: now_ms,
            is_stalled: false,
        };
        let (id, owner) = (run.id, run.owner);
        self.tell(owner, id, RunEvent::Started);
    }

    fn take_progress(&mut self, now_ms: u64, row: &RunningRun) {
        let Some(run) = self.runs.get_mut(&row.task) else {
            return;
        };
        let estimate_ms = f64::from(run.estimate_ms);
        let stall_ms = STALL_MS.max(u64::from(run.estimate_ms) / 5);
        let (id, owner) = (run.id, run.owner);
        let RunState::Running {
            percent,
            progress_at_ms,
            is_stalled,
            ..
        } = &mut run.state
        else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(*progress_at_ms);
        if row.percent > *percent {
            if elapsed_ms >= PACE_WINDOW_MS {
                let done = f64::from(row.percent - *percent) / 100.0;
                if !self.has_gap {
                    self.pace
                        .sample(now_ms, estimate_ms * done, elapsed_ms as f64);
                }
                *percent = row.percent;
                *progress_at_ms = now_ms;
            }
            return;
        }
        if elapsed_ms >= stall_ms && !*is_stalled {
            *is_stalled = true;
            self.health.failed(now_ms, id.task.job);
            self.tell(owner, id, RunEvent::Stalled);
        }
    }

    fn take_end(&mut self, now_ms: u64, ended: &EndedRun) {
        if ended.sequence <= self.acknowledged {
            return;
        }
        self.note_number(now_ms, ended.task, ended.number);
        let Some(run) = self.runs.get(&ended.task) else {
            return;
        };
        if run.number() != Some(ended.number) {
            return;
        }
        let job = run.id.task.job;
        match ended.end {
            TargetEnd::Done => self.learn_from_end(now_ms, ended.task),
            TargetEnd::Failed => {
                self.health.failed(now_ms, job);
            }
            TargetEnd::Stopped | TargetEnd::Lapsed | TargetEnd::Broken => {}
        }
        let end = match ended.end {
            TargetEnd::Done => RunEnd::Done,
            TargetEnd::Failed => RunEnd::Failed,
            TargetEnd::Stopped => RunEnd::Stopped,
            TargetEnd::Lapsed | TargetEnd::Broken => RunEnd::Lost,
        };
        self.end(now_ms, ended.task, end);
    }

    fn learn_from_end(&mut self, now_ms: u64, task: TaskRef) {
        self.health.succeeded();
        if self.has_gap {
            return;
        }
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        if let RunState::Running {
            percent,
            progress_at_ms,
            ..
        } = run.state
        {
            let left = f64::from(100 - percent.min(100)) / 100.0;
            let elapsed_ms = now_ms.saturating_sub(progress_at_ms) as f64;
            let expected_ms = f64::from(run.estimate_ms) * left;
            self.pace.sample(now_ms, expected_ms, elapsed_ms);
        }
    }

    /// Ends the runs that the target does not list any more.
    ///
    /// Only counts for runs that were known to run when the list was asked for.
    fn lose_missing(&mut self, now_ms: u64, sent_at_ms: u64, rows: &[RunningRun]) {
        let is_listed = |task: &TaskRef| rows.iter().any(|row| row.task == *task);
        let missing: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(task, run)| match run.state {
                RunState::Running { started_at_ms, .. } => {
                    started_at_ms < sent_at_ms && !is_listed(task)
                }
                RunState::Stopping {
                    answered_at_ms: Some(answered_at_ms),
                    ..
                } => answered_at_ms < sent_at_ms && !is_listed(task),
                RunState::Waiting { .. }
                | RunState::Starting { .. }
                | RunState::Stopping { .. } => false,
            })
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.end(now_ms, task, RunEnd::Lost);
        }
    }

    fn start_refused(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        why: StartRefusal,
        actions: &mut Vec<HostAction>,
    ) {
        match why {
            StartRefusal::StaleToken => {
                self.raise_token();
                self.send_start(now_ms, task, number, actions);
            }
            StartRefusal::OldNumber => {
                self.note_number(now_ms, task, number.saturating_mul(2));
                self.send_start(now_ms, task, number.saturating_mul(2) + 1, actions);
            }
            StartRefusal::LeaseOver => self.send_start(now_ms, task, number, actions),
            StartRefusal::NoRoom => {
                self.no_room_until_ms = now_ms + ROOM_PAUSE_MS;
                self.give_back(task, NotStarted::NoRoom);
            }
            StartRefusal::Malformed => self.give_back(task, NotStarted::Malformed),
            StartRefusal::OtherIncarnation => self.give_back(task, NotStarted::NoTarget),
            StartRefusal::Unhealthy => {
                self.health.failed(now_ms, task.job);
                self.give_back(task, NotStarted::NoTarget);
            }
        }
    }

    fn send_start(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(lease_end_ms) = self.lease.grant(now_ms) else {
            self.give_back(task, NotStarted::NoTarget);
            return;
        };
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.state = RunState::Starting { number };
        actions.push(HostAction::Start {
            task,
            number,
            specification: Rc::clone(&run.specification),
            lease_end_ms,
            token: self.token,
        });
    }

    /// Starts waiting tasks in the order of their turn, as far as they fit.
    fn start_waiting(&mut self, now_ms: u64, actions: &mut Vec<HostAction>) {
        if now_ms < self.no_room_until_ms || self.is_stopping {
            return;
        }
        let Some(target) = self.usable_target(now_ms) else {
            return;
        };
        if target.is_draining {
            return;
        }
        let mut free = target.capacity.without(&self.used());
        let is_single = self.health.is_on_probation();
        let mut waiting: Vec<(Turn, TaskRef)> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.occupies())
            .map(|(task, run)| (Turn::of(run, now_ms), *task))
            .collect();
        waiting.sort_unstable();
        for (_, task) in waiting {
            let needs = self.runs[&task].needs;
            let is_held_back = is_single && self.runs.values().any(Run::occupies);
            if is_held_back || !free.holds(&needs) {
                continue;
            }
            let last = self.numbers.get(&task).map_or(0, |last| last.number);
            free = free.without(&needs);
            self.send_start(now_ms, task, last + 1, actions);
        }
    }

    fn give_back_overdue(&mut self, now_ms: u64) {
        let overdue: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                matches!(run.state, RunState::Waiting { give_up_at_ms } if give_up_at_ms <= now_ms)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in overdue {
            self.give_back(task, NotStarted::NoRoom);
        }
    }

    fn give_back_waiting(&mut self, why: NotStarted) {
        let waiting: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.occupies())
            .map(|(task, _)| *task)
            .collect();
        for task in waiting {
            self.give_back(task, why);
        }
    }

    /// Removes a run that has not started and never will.
    fn give_back(&mut self, task: TaskRef, why: NotStarted) {
        if let Some(run) = self.runs.remove(&task) {
            self.tell(run.owner, run.id, RunEvent::NotStarted(why));
        }
    }

    /// Removes a run that has ended.
    fn end(&mut self, now_ms: u64, task: TaskRef, end: RunEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        if let Some(number) = run.number() {
            self.note_number(now_ms, task, number);
        }
        let since_ms = match run.state {
            RunState::Running { started_at_ms, .. } => started_at_ms,
            _ => run.ordered_at_ms,
        };
        let ran_ms = u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX);
        self.tell(run.owner, run.id, RunEvent::Ended(end, ran_ms));
    }

    /// Returns what the runs at the target take up.
    fn used(&self) -> Resources {
        let occupying = self.runs.values().filter(|run| run.occupies());
        occupying.fold(Resources::default(), |used, run| used.with(&run.needs))
    }

    fn tell(&mut self, owner: ProcessKey, id: RunId, event: RunEvent) {
        self.sessions.entry(owner).or_default().push(id, event);
    }

    /// Ends everything that ran, because the target has ended.
    fn lose_all(&mut self, now_ms: u64) {
        let running: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| run.occupies())
            .map(|(task, _)| *task)
            .collect();
        for task in running {
            self.end(now_ms, task, RunEnd::Lost);
        }
    }

    /// Ends everything that ran once the lease of a silent target is over.
    fn lose_lapsed(&mut self, now_ms: u64) {
        let is_silent = now_ms >= self.heard_at_ms + crate::limits::LEASE_MS;
        if is_silent && now_ms >= self.lease.over_at_ms() {
            self.lose_all(now_ms);
        }
    }

    /// Takes note of the life that the target is in; a new one knows nothing of the last.
    fn enter_life(&mut self, born_unix_ms: u64) {
        if self.life_unix_ms == Some(born_unix_ms) {
            return;
        }
        let is_first = self.life_unix_ms.replace(born_unix_ms).is_none();
        if is_first {
            return;
        }
        // What the new life offers is told by its report; until then nothing starts.
        self.target = None;
        let now_ms = self.heard_at_ms;
        self.lose_all(now_ms);
        self.lease.reset();
        self.acknowledged = 0;
        self.pace = Pace::default();
        self.health = Health::default();
        self.numbers.clear();
        self.no_room_until_ms = 0;
    }

    fn raise_token(&mut self) {
        self.token += self.token_step;
        self.token_step = self.token_step.saturating_mul(2);
    }

    fn note_number(&mut self, now_ms: u64, task: TaskRef, number: u32) {
        let last = self.numbers.entry(task).or_insert(LastNumber {
            number,
            noted_at_ms: now_ms,
        });
        last.number = last.number.max(number);
        last.noted_at_ms = now_ms;
    }

    fn forget(&mut self, now_ms: u64) {
        let runs = &self.runs;
        let is_owner = |key: &ProcessKey| runs.values().any(|run| run.owner == *key);
        self.sessions
            .retain(|key, session| !session.is_forgotten(now_ms) || is_owner(key));
        if self.numbers.len() > MAX_QUEUE {
            self.numbers
                .retain(|_, last| now_ms < last.noted_at_ms + NUMBER_KEPT_MS);
        }
    }

    /// Tells whether entries may send tasks.
    fn is_open(&self, now_ms: u64) -> bool {
        let is_single = self.health.is_on_probation();
        self.usable_target(now_ms)
            .is_some_and(|target| !target.is_draining)
            && !self.is_stopping
            && (!is_single || self.runs.is_empty())
    }

    /// Returns what the host has to offer.
    #[must_use]
    pub fn view(&self, now_ms: u64) -> HostView {
        let speed_permille = self.pace.permille(now_ms).max(1);
        let target = self.target.as_ref();
        let capacity = target.map_or_else(Resources::default, |target| target.capacity);
        let ahead = |run: &&Run| run.work_ahead_core_ms(speed_permille);
        let backlog: u64 = self.runs.values().map(|run| ahead(&run)).sum();
        let waiting = || self.runs.values().filter(|run| !run.occupies());
        let urgent = waiting().filter(|run| run.priority == MOST_URGENT);
        let urgent: u64 = urgent.map(|run| ahead(&run)).sum();
        let waiting: u64 = waiting().map(|run| ahead(&run)).sum();
        HostView {
            is_open: self.is_open(now_ms),
            group: target.map_or_else(|| Rc::from(""), |target| Rc::clone(&target.group)),
            labels: target.map_or_else(Vec::new, |target| target.labels.clone()),
            capacity,
            free: capacity.without(&self.used()),
            backlog_core_ms: u32::try_from(backlog).unwrap_or(u32::MAX),
            waiting_core_ms: u32::try_from(waiting).unwrap_or(u32::MAX),
            urgent_core_ms: u32::try_from(urgent).unwrap_or(u32::MAX),
            speed_permille,
        }
    }
}
