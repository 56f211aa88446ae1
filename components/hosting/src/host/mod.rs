//! The runs of a host.

mod ends;
mod incarnations;
mod orders;
mod polls;
mod starts;

use std::collections::BTreeMap;
use std::rc::Rc;

use model::{
    HostView, MOST_URGENT, News, NewsRequest, NotStarted, Orders, ProcessKey, Resources, RunEvent,
    RunId, RunPermit, TaskRef,
};
use rustc_hash::FxHashMap;

use crate::action::HostAction;
use crate::health::Health;
use crate::lease::Lease;
use crate::limits::{MAX_QUEUE, NUMBER_KEPT_MS, PERMIT_TTL_MS};
use crate::run::Run;
use crate::session::Session;
use crate::speed::Pace;
use crate::target::TargetReport;

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

    fn usable_target(&self, now_ms: u64) -> Option<&TargetReport> {
        let target = self.target.as_ref()?;
        let is_usable = !self.is_target_gone
            && self.is_inheritance_clear
            && self.lease.has_clock()
            && !self.health.is_ejected(now_ms)
            && now_ms < self.heard_at_ms + crate::limits::LEASE_MS;
        is_usable.then_some(target)
    }

    /// Returns what the runs at the target take up.
    fn used(&self) -> Resources {
        let occupying = self.runs.values().filter(|run| run.occupies());
        occupying.fold(Resources::default(), |used, run| used.with(&run.needs))
    }

    fn tell(&mut self, owner: ProcessKey, id: RunId, event: RunEvent) {
        self.sessions.entry(owner).or_default().push(id, event);
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
