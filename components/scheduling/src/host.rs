//! State of a host as an entry knows it, and the orders to its agent.

use std::hash::BuildHasher;
use std::rc::Rc;

use model::{
    HostUpdate, HostView, KindRuns, Orders, PairEffect, ProcessKey, Resources, RunId, RunPermit,
    StartOrder,
};
use rustc_hash::FxBuildHasher;
use slotmap::new_key_type;

use crate::limits::{
    EFFECTS_MAX_AGE_MS, FIRST_VIEW_TIMEOUT_MS, HOST_RETENTION_MS, MAX_RUN_AFTER_PERMIT_MS,
    VIEW_MAX_AGE_MS,
};

new_key_type! {
    /// Key of a host in the scheduler.
    pub struct HostSlot;
}

/// Description of a host in the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostInfo {
    /// Name of the host.
    pub name: Rc<str>,
    /// Address of its agent, as `ip:port`.
    pub address: Rc<str>,
    /// Failure domain.
    pub failure_domain: Rc<str>,
}

/// State of a host for dumps, logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostStatus {
    /// Description in the directory.
    pub info: HostInfo,
    /// Whether the entry is connected to its agent.
    pub is_connected: bool,
    /// Whether tasks may be placed on it.
    pub is_usable: bool,
    /// Whether the operator has evacuated its failure domain.
    pub is_evacuated: bool,
    /// Age of the view, in milliseconds.
    pub view_age_ms: u64,
    /// The latest view.
    pub view: Option<HostView>,
}

/// A host in the scheduler.
#[derive(Debug)]
pub(crate) struct HostRecord {
    pub(crate) info: HostInfo,
    pub(crate) agent: Option<ProcessKey>,
    pub(crate) is_connected: bool,
    /// Whether the operator has evacuated its failure domain.
    pub(crate) is_evacuated: bool,
    /// Whether the agent has reported that all runs of its earlier incarnations have ended.
    pub(crate) has_no_earlier_runs: bool,
    pub(crate) view: Option<HostView>,
    pub(crate) last_seen_event: u64,
    /// Latest estimates of how kinds slow each other down there.
    pair_effects: Vec<PairEffect>,
    pair_effects_received_at_ms: u64,
    permit: Option<RunPermit>,
    permit_received_at_ms: u64,
    starts: Vec<StartOrder>,
    stops: Vec<RunId>,
    in_flight: Option<Orders>,
    last_orders_number: u64,
    replaced_agent_permit_received_at_ms: u64,
    added_at_ms: u64,
    /// Rendezvous hashing weight of the host for this entry.
    pub(crate) weight: u64,
    /// Order in which hosts become quarantine hosts; the same at all entries.
    pub(crate) quarantine_weight: u64,
    /// Whether the entry should be connected to the host.
    pub(crate) is_connection_wanted: bool,
    /// Time of the last change of `is_connection_wanted`, in milliseconds.
    pub(crate) connection_wanted_changed_at_ms: u64,
}

impl HostRecord {
    pub(crate) fn new(now_ms: u64, info: HostInfo, weight: u64) -> Self {
        Self {
            quarantine_weight: FxBuildHasher.hash_one(&info.address),
            info,
            added_at_ms: now_ms,
            weight,
            is_connection_wanted: false,
            connection_wanted_changed_at_ms: now_ms,
            agent: None,
            is_connected: false,
            is_evacuated: false,
            has_no_earlier_runs: false,
            view: None,
            last_seen_event: 0,
            pair_effects: Vec::new(),
            pair_effects_received_at_ms: 0,
            permit: None,
            permit_received_at_ms: 0,
            starts: Vec::new(),
            stops: Vec::new(),
            in_flight: None,
            last_orders_number: 0,
            replaced_agent_permit_received_at_ms: 0,
        }
    }

    /// Records that `agent` has answered on a new connection; resets the state if the agent is new.
    pub(crate) fn agent_connected(&mut self, agent: ProcessKey) {
        self.is_connected = true;
        if self.agent != Some(agent) {
            self.agent = Some(agent);
            self.replaced_agent_permit_received_at_ms = self.permit_received_at_ms;
            self.has_no_earlier_runs = false;
            self.view = None;
            self.last_seen_event = 0;
            self.pair_effects.clear();
            self.permit = None;
            self.starts.clear();
            self.stops.clear();
            self.in_flight = None;
        }
    }

    /// Records that the agent has announced its host, which is then kept as if just added.
    pub(crate) fn announced(&mut self, now_ms: u64) {
        self.added_at_ms = now_ms;
    }

    /// Stores the permit and the view of an answer, unless newer ones have arrived.
    pub(crate) fn apply_update(&mut self, now_ms: u64, update: &HostUpdate) {
        let is_newest = self
            .permit
            .is_none_or(|permit| permit.issued_ms <= update.permit.issued_ms);
        if is_newest {
            self.permit = Some(update.permit);
            self.permit_received_at_ms = now_ms;
            self.has_no_earlier_runs = update.has_no_earlier_runs;
            self.view = Some(update.view.clone());
            if !update.view.neighbors.effects.is_empty() {
                self.pair_effects.clone_from(&update.view.neighbors.effects);
                self.pair_effects_received_at_ms = now_ms;
            }
        }
    }

    /// Returns the latest estimates of how kinds slow each other down there, unless they are old.
    pub(crate) fn pair_effects(&self, now_ms: u64) -> &[PairEffect] {
        if now_ms >= self.pair_effects_received_at_ms + EFFECTS_MAX_AGE_MS {
            return &[];
        }
        &self.pair_effects
    }

    /// Returns the number of runs on the host by kind, with the orders that the view does not include
    /// yet.
    pub(crate) fn runs_by_kind(&self) -> Vec<KindRuns> {
        let view = self.view.as_ref();
        let mut runs = view.map_or_else(Vec::new, |view| view.neighbors.runs.clone());
        let sent = self.in_flight.iter().flat_map(|orders| &orders.starts);
        for order in sent.chain(&self.starts) {
            model::count_runs(&mut runs, order.kind, order.tasks.len() as u16);
        }
        runs
    }

    /// Returns whether the host has a label.
    pub(crate) fn has_label(&self, label: &Rc<str>) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.labels.contains(label))
    }

    /// Returns the latest permit.
    pub(crate) fn permit(&self) -> Option<RunPermit> {
        self.permit
    }

    /// Returns the time of receipt of the latest permit and view, in milliseconds.
    pub(crate) fn permit_received_at_ms(&self) -> u64 {
        self.permit_received_at_ms
    }

    /// Returns the time of receipt of the last permit of a current or earlier agent of this host,
    /// in milliseconds.
    pub(crate) fn last_permit_received_at_ms(&self, agent: ProcessKey) -> u64 {
        if self.agent == Some(agent) {
            self.permit_received_at_ms
        } else {
            self.replaced_agent_permit_received_at_ms
        }
    }

    /// Returns whether every run ordered at `agent` must have ended, although the agent itself
    /// cannot report it: a later agent has confirmed it, or the agent is disconnected and
    /// `MAX_RUN_AFTER_PERMIT_MS` have passed since its last permit.
    pub(crate) fn has_no_runs_of(&self, now_ms: u64, agent: ProcessKey) -> bool {
        let is_replaced = self.agent != Some(agent);
        let is_unreachable = is_replaced || !self.is_connected;
        is_replaced && self.has_no_earlier_runs
            || is_unreachable
                && now_ms >= self.last_permit_received_at_ms(agent) + MAX_RUN_AFTER_PERMIT_MS
    }

    /// Returns whether the host has been disconnected for so long that it can be removed.
    pub(crate) fn is_expired(&self, now_ms: u64) -> bool {
        let last_permit_or_added_ms = self.permit_received_at_ms.max(self.added_at_ms);
        !self.is_connected && now_ms >= last_permit_or_added_ms + HOST_RETENTION_MS
    }

    /// Returns whether the host counts towards the size of the subset: it is usable, or its first
    /// view is not overdue.
    pub(crate) fn is_usable_or_connecting(&self, now_ms: u64) -> bool {
        self.is_usable(now_ms) || self.is_recently_wanted(now_ms)
    }

    /// Returns whether the host has no view yet, and that view is not overdue.
    pub(crate) fn is_connecting(&self, now_ms: u64) -> bool {
        self.view.is_none() && self.is_recently_wanted(now_ms)
    }

    fn is_recently_wanted(&self, now_ms: u64) -> bool {
        !self.is_evacuated && now_ms < self.connection_wanted_changed_at_ms + FIRST_VIEW_TIMEOUT_MS
    }

    /// Returns whether tasks may be placed on the host.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        !self.is_evacuated
            && self.is_followed(now_ms)
            && self.view.as_ref().is_some_and(|view| view.is_open)
    }

    /// Returns whether the entry is connected to the host and has a recent view of it.
    pub(crate) fn is_followed(&self, now_ms: u64) -> bool {
        self.is_connected
            && self.is_connection_wanted
            && now_ms < self.permit_received_at_ms + VIEW_MAX_AGE_MS
    }

    /// Queues tasks to start; consecutive tasks of one step are merged into one order if they were
    /// placed at the same target.
    pub(crate) fn push_start(&mut self, order: StartOrder) {
        let last = self.starts.last_mut();
        let is_same_step = |last: &&mut StartOrder| {
            last.job == order.job
                && last.step == order.step
                && last.target_number == order.target_number
        };
        match last.filter(is_same_step) {
            Some(last) => last.tasks.extend(order.tasks),
            None => self.starts.push(order),
        }
    }

    /// Queues the stop of a run, or cancels its start order if that has never been sent. Returns
    /// whether the order was cancelled, so that the run cannot have started.
    pub(crate) fn push_stop(&mut self, run: RunId) -> bool {
        if self.cancel_start(run) {
            return true;
        }
        self.stops.push(run);
        false
    }

    /// Removes the start order of a run from the queue and from in-flight orders, so that it is
    /// not sent (again). Returns whether it was queued and has never been sent.
    pub(crate) fn cancel_start(&mut self, run: RunId) -> bool {
        if let Some(orders) = &mut self.in_flight {
            remove_run(&mut orders.starts, run);
        }
        self.cancel_unsent_start(run)
    }

    /// Removes the start order of a run from the queue; returns whether it was queued, that is, has
    /// never been sent.
    pub(crate) fn cancel_unsent_start(&mut self, run: RunId) -> bool {
        remove_run(&mut self.starts, run)
    }

    /// Returns whether there are orders to send or to resend.
    pub(crate) fn has_orders(&self) -> bool {
        self.in_flight.is_some() || !self.starts.is_empty() || !self.stops.is_empty()
    }

    /// Returns the orders to send. In-flight orders without an answer are returned again with their
    /// number, so that the agent can deduplicate them.
    pub(crate) fn take_orders(&mut self, from: ProcessKey) -> Option<Orders> {
        let permit = self.permit;
        let last_seen_event = self.last_seen_event;
        if self.in_flight.is_none() {
            if self.starts.is_empty() && self.stops.is_empty() {
                return None;
            }
            self.last_orders_number += 1;
            self.in_flight = Some(Orders {
                from,
                number: self.last_orders_number,
                permit,
                last_seen_event,
                starts: std::mem::take(&mut self.starts),
                stops: std::mem::take(&mut self.stops),
            });
        }
        let orders = self.in_flight.as_mut()?;
        orders.permit = permit;
        orders.last_seen_event = last_seen_event;
        Some(orders.clone())
    }

    /// Records that the agent has answered the orders with this number.
    pub(crate) fn complete_orders(&mut self, number: u64) {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|orders| orders.number == number)
        {
            self.in_flight = None;
        }
    }

    /// Returns the resources of the orders that the view does not include yet, and their work in
    /// core milliseconds on a target of the given speed (in thousandths).
    pub(crate) fn pending_load(&self, speed_permille: u32) -> (Resources, u64) {
        let sent = self.in_flight.iter().flat_map(|orders| &orders.starts);
        let mut resources = Resources::default();
        let mut work_core_ms = 0;
        for order in sent.chain(&self.starts) {
            for _ in &order.tasks {
                resources = resources.saturating_add(&order.needs);
            }
            let task_ms = u64::from(order.estimate_ms) * 1_000 / u64::from(speed_permille.max(1));
            let task_core_ms = u64::from(order.needs.cpu_millis) * task_ms / 1_000;
            work_core_ms += task_core_ms * order.tasks.len() as u64;
        }
        (resources, work_core_ms)
    }

    pub(crate) fn status(&self, now_ms: u64) -> HostStatus {
        HostStatus {
            info: self.info.clone(),
            is_connected: self.is_connected,
            is_usable: self.is_usable(now_ms),
            is_evacuated: self.is_evacuated,
            view_age_ms: now_ms.saturating_sub(self.permit_received_at_ms),
            view: self.view.clone(),
        }
    }
}

/// Removes a run from orders; returns whether it was found.
fn remove_run(orders: &mut Vec<StartOrder>, run: RunId) -> bool {
    let mut is_removed = false;
    for order in orders.iter_mut() {
        if order.job == run.task.job && order.step == run.task.step {
            let before = order.tasks.len();
            order
                .tasks
                .retain(|task| *task != (run.task.index, run.attempt));
            is_removed |= order.tasks.len() < before;
        }
    }
    orders.retain(|order| !order.tasks.is_empty());
    is_removed
}
