//! State of a host: its target, its runs, and the entries that ordered them.

mod crashes;
mod drain;
mod ends;
mod evacuation;
mod incarnations;
mod neighbors;
mod orders;
mod outlook;
mod polls;
mod starts;

pub use incarnations::{CheckOutcome, ReportOutcome};

use std::collections::BTreeMap;
use std::rc::Rc;

use model::{
    HostUpdate, HostUpdateRequest, HostView, MOST_URGENT, NotStartedReason, Orders, ProcessKey,
    Quarantines, Resources, RunEvent, RunId, RunPermit, TaskRef,
};
use run_times::HostSpeed;
use runtime::Backoff;
use rustc_hash::FxHashMap;

use crate::action::TargetCall;
use crate::doubt::Doubt;
use crate::health::Health;
use crate::incarnation::{Claims, Incarnation};
use crate::lease::Lease;
use crate::limits::{
    MAX_POLL_PAUSE_MS, MAX_RUNS, MIN_POLL_PAUSE_MS, PERMIT_TTL_MS, RUN_NUMBER_RETENTION_MS,
};
use crate::neighbors::NeighborEffects;
use crate::run::Run;
use crate::session::Session;
use crate::target::TargetReport;

/// Shortest time between two progress values that yield a sample of the target's speed, in
/// milliseconds.
const MIN_SPEED_SAMPLE_MS: u64 = 80;

/// Time beyond the usual interval between two answers of the target after which the later one
/// yields no sample of its speed, in milliseconds.
const SPEED_SAMPLE_SLACK_MS: u64 = 40;

/// First step by which a fencing token that is too low is raised; it doubles each time. Tokens begin
/// as wall-clock milliseconds, so that 17 steps make up for a clock set back by a day.
const FIRST_TOKEN_STEP: u64 = 1_000;

/// Number of the last run of a task at this host.
#[derive(Debug, Clone, Copy)]
struct LastRunNumber {
    number: u32,
    recorded_at_ms: u64,
}

/// The state machine of an agent.
///
/// Methods that take `actions` append the calls to the target that result.
#[derive(Debug)]
pub struct Host {
    key: ProcessKey,
    token: u64,
    token_step: u64,
    /// When the token was raised for the present incarnation of the target, in milliseconds.
    token_since_ms: u64,
    /// Last report of the target that has answered under its name.
    target: Option<TargetReport>,
    is_target_gone: bool,
    /// Whether the target may work on although connections to its address are refused.
    are_refusals_doubted: bool,
    /// Whether the target has announced that it shuts down.
    has_target_left: bool,
    /// When the first call since the target's last answer broke off, in milliseconds.
    first_broken_call_ms: Option<u64>,
    /// When the runs must have ended because the agent shuts down, in milliseconds.
    closes_at_ms: Option<u64>,
    /// Whether the operator has evacuated the failure domain of the host.
    is_evacuated: bool,
    /// Number of tasks rejected because of an evacuation.
    evacuated_tasks: u64,
    /// Whether all runs that an earlier agent started at the target have ended; nothing starts
    /// before.
    has_no_earlier_runs: bool,
    lease: Lease,
    /// Number of the last processed end, acknowledged to the target with the next poll.
    acknowledged: u64,
    /// Whether the last poll was not answered.
    has_poll_failed: bool,
    doubt: Doubt,
    /// When the target last answered a poll, in milliseconds.
    last_answer_at_ms: u64,
    parallel_poll_until_ms: u64,
    poll_backoff: Backoff,
    next_poll_at_ms: u64,
    /// Whether the last answer came too late after the one before to yield samples of the speed.
    has_polling_gap: bool,
    speed: HostSpeed,
    health: Health,
    starts_paused_until_ms: u64,
    runs: BTreeMap<TaskRef, Run>,
    sessions: FxHashMap<ProcessKey, Session>,
    last_run_numbers: FxHashMap<TaskRef, LastRunNumber>,
    /// The incarnation of the target that has answered last.
    incarnation: Option<Incarnation>,
    /// Reports of incarnations that have not answered.
    claims: Claims,
    /// When the report of the present target was confirmed, in milliseconds.
    target_since_ms: u64,
    /// Number of incarnations that have been the target, the present one included.
    target_number: u32,
    /// Records for the estimate of interference, if it is on.
    neighbors: Option<NeighborEffects>,
    /// Quarantines that entries have told, passed on to other entries.
    quarantines: Quarantines,
}

impl Host {
    /// Creates the state of the agent `key`.
    ///
    /// `token` is the first fencing token; it should be above that of every earlier agent of the
    /// target, and is raised when the target rejects it as stale.
    #[must_use]
    pub fn new(key: ProcessKey, token: u64) -> Self {
        Self {
            key,
            token,
            token_step: FIRST_TOKEN_STEP,
            token_since_ms: 0,
            target: None,
            is_target_gone: false,
            are_refusals_doubted: false,
            has_target_left: false,
            first_broken_call_ms: None,
            closes_at_ms: None,
            is_evacuated: false,
            evacuated_tasks: 0,
            has_no_earlier_runs: false,
            lease: Lease::default(),
            acknowledged: 0,
            has_poll_failed: false,
            doubt: Doubt::new(key.0),
            last_answer_at_ms: 0,
            parallel_poll_until_ms: 0,
            poll_backoff: Backoff::builder(MIN_POLL_PAUSE_MS, MAX_POLL_PAUSE_MS)
                .seed(key.0)
                .build(),
            next_poll_at_ms: 0,
            has_polling_gap: false,
            speed: HostSpeed::default(),
            health: Health::default(),
            starts_paused_until_ms: 0,
            runs: BTreeMap::new(),
            sessions: FxHashMap::default(),
            last_run_numbers: FxHashMap::default(),
            incarnation: None,
            claims: Claims::default(),
            target_since_ms: 0,
            target_number: 0,
            neighbors: None,
            quarantines: Quarantines::default(),
        }
    }

    /// Sets whether something between the agent and the target may refuse connections in its place. Then
    /// the runs end only when their lease has expired, and otherwise with the first refusal: the kernel
    /// refuses connections of its own host only if no process listens.
    #[must_use]
    pub fn doubting_refusals(mut self, are_doubted: bool) -> Self {
        self.are_refusals_doubted = are_doubted;
        self
    }

    /// Returns the fencing token in use.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns the target, if it has reported and confirmed the report.
    #[must_use]
    pub fn target(&self) -> Option<&TargetReport> {
        self.target.as_ref()
    }

    /// Returns whether no run is waiting or at the target.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the number of waiting runs and of those at the target.
    #[must_use]
    pub fn run_counts(&self) -> (usize, usize) {
        let running = self
            .runs
            .values()
            .filter(|run| run.occupies_resources())
            .count();
        (self.runs.len() - running, running)
    }

    /// Processes the orders of an entry, duplicates excepted, and returns the update for it.
    pub fn handle_orders(
        &mut self,
        now_ms: u64,
        orders: Orders,
        actions: &mut Vec<TargetCall>,
    ) -> HostUpdate {
        self.end_unauthorized(now_ms, actions);
        let has_authority = self.renew_authority(now_ms, orders.from, orders.permit);
        let session = self.sessions.entry(orders.from).or_default();
        session.acknowledge(orders.last_seen_event);
        if !session.record_orders(orders.number) {
            return self.update_for(now_ms, orders.from);
        }
        for run in orders.stops {
            self.withdraw(now_ms, run, actions);
        }
        for start in orders.starts {
            let is_placed_here = self.is_placed_at_target(&start, orders.permit);
            let refusal = if !has_authority {
                Some(NotStartedReason::PermitExpired)
            } else {
                (!is_placed_here).then_some(NotStartedReason::NoTarget)
            };
            self.accept_order(now_ms, orders.from, &start, refusal, actions);
        }
        self.reject_unfinished(now_ms);
        self.start_waiting(now_ms, actions);
        self.turn_back_waiting(now_ms);
        self.update_for(now_ms, orders.from)
    }

    /// Processes the update request of an entry; [`Self::update_for`] returns the answer to it.
    pub fn update_requested(
        &mut self,
        now_ms: u64,
        request: &HostUpdateRequest,
        actions: &mut Vec<TargetCall>,
    ) {
        self.end_unauthorized(now_ms, actions);
        self.renew_authority(now_ms, request.from, request.permit);
        self.quarantines.take_ended(now_ms);
        self.quarantines.merge(now_ms, &request.quarantines);
        if let Some(session) = self.sessions.get_mut(&request.from) {
            session.acknowledge(request.last_seen_event);
        }
    }

    /// Returns whether a pending update request of an entry should be answered now.
    #[must_use]
    pub fn has_update(&self, now_ms: u64, from: ProcessKey, last_seen_event: u64) -> bool {
        let Some(session) = self.sessions.get(&from) else {
            return false;
        };
        session.has_urgent_event(last_seen_event)
            || session.last_reported != Some(self.availability(now_ms))
    }

    /// Returns the update for an entry: a new permit, the view, and the unacknowledged events.
    pub fn update_for(&mut self, now_ms: u64, to: ProcessKey) -> HostUpdate {
        let mut view = self.view(now_ms);
        view.neighbors.effects = self.effects_for(now_ms, to);
        let availability = self.availability(now_ms);
        if let Some(session) = self.sessions.get_mut(&to) {
            session.last_reported = Some(availability);
        }
        HostUpdate {
            permit: RunPermit {
                agent: self.key,
                issued_ms: now_ms,
            },
            has_no_earlier_runs: self.has_no_earlier_runs,
            view,
            events: self
                .sessions
                .get(&to)
                .map_or_else(Vec::new, Session::events),
            evacuations: None,
            quarantines: self.quarantines.known(now_ms),
        }
    }

    /// Records that the connection of an entry closed.
    pub fn connection_closed(&mut self, now_ms: u64, from: ProcessKey) {
        if let Some(session) = self.sessions.get_mut(&from) {
            session.record_disconnect(now_ms);
        }
    }

    /// Applies all timeouts, and starts waiting runs as far as they fit.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) {
        self.end_unauthorized(now_ms, actions);
        self.end_lapsed(now_ms);
        self.check_claims(now_ms, actions);
        self.resolve_doubt(now_ms, actions);
        self.retry_stops(now_ms, actions);
        self.repeat_starts(now_ms, actions);
        self.reject_overdue(now_ms);
        self.reject_unfinished(now_ms);
        self.start_waiting(now_ms, actions);
        self.remove_expired(now_ms);
    }

    /// Renews the authority of an entry if its permit is valid; returns whether it is.
    fn renew_authority(
        &mut self,
        now_ms: u64,
        from: ProcessKey,
        permit: Option<RunPermit>,
    ) -> bool {
        let is_valid = |permit: &RunPermit| {
            permit.agent == self.key && now_ms < permit.issued_ms + PERMIT_TTL_MS
        };
        let issued_ms = permit.filter(is_valid).map(|permit| permit.issued_ms);
        let session = self.sessions.entry(from).or_default();
        session.record_contact(now_ms, issued_ms);
        issued_ms.is_some()
    }

    /// Returns the target if it answers polls, is healthy, and runs nothing of an earlier agent.
    fn usable_target(&self, now_ms: u64) -> Option<&TargetReport> {
        let target = self.target.as_ref()?;
        let is_usable = !self.is_target_gone
            && self.has_no_earlier_runs
            && self.lease.has_clock()
            && !self.health.is_ejected(now_ms)
            && now_ms < self.last_answer_at_ms + crate::limits::LEASE_MS;
        is_usable.then_some(target)
    }

    /// Returns the resources that the runs at the target occupy.
    fn used_resources(&self) -> Resources {
        let occupying = self.runs.values().filter(|run| run.occupies_resources());
        occupying.fold(Resources::default(), |used, run| {
            used.saturating_add(&run.needs)
        })
    }

    /// Returns the seed of the jitter of a task's repeated orders.
    fn jitter_seed(&self, task: TaskRef) -> u64 {
        self.key.0 ^ u64::from(task.index)
    }

    /// Adds an event for the entry that ordered a run.
    fn push_event(&mut self, owner: ProcessKey, id: RunId, event: RunEvent) {
        self.sessions.entry(owner).or_default().push(id, event);
    }

    /// Records a run number as used; later runs of the task get higher ones.
    fn record_run_number(&mut self, now_ms: u64, task: TaskRef, number: u32) {
        let last = self.last_run_numbers.entry(task).or_insert(LastRunNumber {
            number,
            recorded_at_ms: now_ms,
        });
        last.number = last.number.max(number);
        last.recorded_at_ms = now_ms;
    }

    /// Removes expired states of entries and, if there are many, expired run numbers.
    fn remove_expired(&mut self, now_ms: u64) {
        let runs = &self.runs;
        let is_owner = |key: &ProcessKey| runs.values().any(|run| run.owner == *key);
        self.sessions
            .retain(|key, session| !session.is_expired(now_ms) || is_owner(key));
        if self.last_run_numbers.len() > MAX_RUNS {
            self.last_run_numbers
                .retain(|_, last| now_ms < last.recorded_at_ms + RUN_NUMBER_RETENTION_MS);
        }
    }

    /// Returns whether entries may send tasks.
    fn is_open(&self, now_ms: u64) -> bool {
        let has_single_slot = self.health.is_on_probation();
        self.usable_target(now_ms)
            .is_some_and(|target| !target.is_draining)
            && !self.has_overdue_run(now_ms)
            && !self.doubt.is_lasting(now_ms)
            && !self.is_closed(now_ms)
            && !self.is_evacuated
            && (!has_single_slot || self.runs.is_empty())
    }

    /// Returns the view of the host that entries get: capacity, load and speed.
    #[must_use]
    pub fn view(&self, now_ms: u64) -> HostView {
        let speed_permille = self.speed.permille(now_ms).max(1);
        let target = self.target.as_ref();
        let capacity = target.map_or_else(Resources::default, |target| target.capacity);
        let remaining = |run: &&Run| run.remaining_work_core_ms(speed_permille);
        let backlog: u64 = self.runs.values().map(|run| remaining(&run)).sum();
        let waiting = || self.runs.values().filter(|run| !run.occupies_resources());
        let urgent = waiting().filter(|run| run.priority == MOST_URGENT);
        let urgent: u64 = urgent.map(|run| remaining(&run)).sum();
        let waiting: u64 = waiting().map(|run| remaining(&run)).sum();
        HostView {
            is_open: self.is_open(now_ms),
            closes_in_ms: self.closes_in_ms(now_ms),
            group: target.map_or_else(|| Rc::from(""), |target| Rc::clone(&target.group)),
            labels: target.map_or_else(Vec::new, |target| target.labels.clone()),
            capacity,
            free: capacity.saturating_sub(&self.used_resources()),
            backlog_core_ms: u32::try_from(backlog).unwrap_or(u32::MAX),
            waiting_core_ms: u32::try_from(waiting).unwrap_or(u32::MAX),
            urgent_core_ms: u32::try_from(urgent).unwrap_or(u32::MAX),
            speed_permille,
            speed_log_deviation_permille: (self.speed.log_deviation(now_ms) * 1_000.0) as u16,
            openings: self.openings(now_ms, |_| true),
            urgent_openings: self.openings(now_ms, |run| run.priority == MOST_URGENT),
            neighbors: self.neighbor_runs(now_ms),
            target_number: target.map(|_| self.target_number),
        }
    }
}
