//! Queues whose tasks crash targets, and the share of the hosts to which they are confined.
//!
//! Handles a queue of which every tenth request crashes each target that starts it. A target is away
//! for seconds after a crash, so that a few such requests a second take down as many hosts as there are.
//! Confined to a share of the hosts, they leave the others to all other queues.

use std::rc::Rc;

use model::{Quarantines, QueueKey, QueueQuarantine};
use rustc_hash::FxHashMap;

/// Divisor of the number of hosts that gives the number of quarantine hosts.
const QUARANTINE_DIVISOR: usize = 4;

/// Time after a crash in which tasks that may have caused it are placed again, in milliseconds; hardly
/// any caller waits longer.
const SUSPICION_MS: u64 = 2_000;

/// Which hosts a task goes to while some are set apart for quarantined tasks.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostChoice {
    /// Any host.
    #[default]
    Any,
    /// Quarantine hosts only: tasks of the queue crash targets.
    QuarantineOnly,
    /// Quarantine hosts if one is usable: the task may have caused a crash.
    QuarantineFirst,
    /// Other hosts if one is usable.
    OthersFirst,
}

/// The queues in quarantine, and whether tasks are suspected to have caused a crash.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    quarantines: Quarantines,
    /// Until when tasks may be placed that may have caused a crash, in milliseconds.
    suspects_until_ms: u64,
    /// Names of the queues whose quarantine this entry has begun, for the log.
    names: FxHashMap<QueueKey, Rc<str>>,
}

impl Quarantine {
    /// Begins or prolongs the quarantine of a queue; returns whether it begins.
    pub(crate) fn begin(&mut self, now_ms: u64, queue: &Rc<str>) -> bool {
        let key = QueueKey::from_name(queue);
        self.names.insert(key, Rc::clone(queue));
        self.quarantines.begin(now_ms, key)
    }

    /// Prolongs the quarantine of a queue, if it is in quarantine.
    pub(crate) fn prolong(&mut self, now_ms: u64, queue: &str) {
        let key = QueueKey::from_name(queue);
        self.quarantines.prolong(now_ms, key);
    }

    /// Adds the quarantines that an agent knows; returns the names of the queues whose quarantine
    /// begins.
    pub(crate) fn merge(&mut self, now_ms: u64, known: &[QueueQuarantine]) -> Vec<Rc<str>> {
        let begun = self.quarantines.merge(now_ms, known);
        self.names(begun)
    }

    /// Returns the quarantines to tell agents.
    pub(crate) fn known(&self, now_ms: u64) -> Vec<QueueQuarantine> {
        self.quarantines.known(now_ms)
    }

    /// Removes the quarantines that are over, and returns the names of their queues.
    pub(crate) fn take_ended(&mut self, now_ms: u64) -> Vec<Rc<str>> {
        let ended = self.quarantines.take_ended(now_ms);
        self.names(ended)
    }

    /// Returns the names of the queues in quarantine.
    pub(crate) fn queues(&self, now_ms: u64) -> Vec<Rc<str>> {
        let known = self.quarantines.known(now_ms);
        self.names(known.into_iter().map(|quarantine| quarantine.queue))
    }

    /// Records a crash right after the start of tasks that may be the cause.
    pub(crate) fn record_suspects(&mut self, now_ms: u64) {
        self.suspects_until_ms = now_ms + SUSPICION_MS;
    }

    /// Returns whether hosts are set apart.
    pub(crate) fn needs_hosts(&self, now_ms: u64) -> bool {
        now_ms < self.suspects_until_ms || !self.quarantines.is_empty(now_ms)
    }

    /// Returns the hosts for a task of a queue, which may have caused a crash if it is a suspect.
    pub(crate) fn host_choice(&self, now_ms: u64, queue: &str, is_suspect: bool) -> HostChoice {
        let is_active = !self.quarantines.is_empty(now_ms);
        if is_active
            && self
                .quarantines
                .contains(now_ms, QueueKey::from_name(queue))
        {
            HostChoice::QuarantineOnly
        } else if is_suspect {
            HostChoice::QuarantineFirst
        } else if is_active {
            HostChoice::OthersFirst
        } else {
            HostChoice::Any
        }
    }

    /// Returns the names of queues, or their keys if this entry has not begun their quarantine.
    fn names(&self, queues: impl IntoIterator<Item = QueueKey>) -> Vec<Rc<str>> {
        let name = |queue: QueueKey| {
            let name = self.names.get(&queue).cloned();
            name.unwrap_or_else(|| Rc::from(queue.to_string()))
        };
        queues.into_iter().map(name).collect()
    }
}

/// Returns the number of quarantine hosts among as many hosts.
pub(crate) fn quarantine_size(hosts: usize) -> usize {
    hosts.div_ceil(QUARANTINE_DIVISOR)
}
