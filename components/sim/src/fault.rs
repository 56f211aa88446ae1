//! Faults and their effects on the simulated processes.

use strum::{EnumIter, IntoStaticStr};

use crate::world::World;

/// A fault with its time and duration.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Index of the entry, host or failure domain.
    pub place: usize,
    /// Start, in milliseconds after the load begins.
    pub at_ms: u64,
    /// Duration, in milliseconds.
    pub for_ms: u64,
    /// Severity: the slowdown factor of [`FaultKind::SlowTarget`], the share of late orders of
    /// [`FaultKind::LateOrders`], or the share of agents that the store refuses from an
    /// [`FaultKind::Evacuate`] on; other kinds ignore it.
    pub strength: f64,
}

/// Kinds of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// The entry's process is killed; its connections are reset.
    KillEntry,
    /// The entry's host loses power; its connections are not reset.
    PowerOffEntry,
    /// The entry's process is suspended.
    FreezeEntry,
    /// The agent's process is killed.
    KillAgent,
    /// The agent's process is suspended.
    FreezeAgent,
    /// The network between the entry and every host is partitioned.
    CutEntry,
    /// The network between the host and every entry is partitioned.
    CutHost,
    /// The connections of the host are reset.
    ResetHost,
    /// The target crashes and restarts when the fault ends.
    CrashTarget,
    /// Runs that the target starts never end.
    HangTarget,
    /// Runs that end at the target fail.
    FailTarget,
    /// The target runs tasks slower by a factor.
    SlowTarget,
    /// A share of the orders to the target is carried out late and gets no answer.
    LateOrders,
    /// The operator evacuates the failure domain.
    Evacuate,
}

impl World {
    pub(crate) fn begin_fault(&mut self, fault: &Fault) {
        let until_us = self.now_us + fault.for_ms * 1_000;
        let place = fault.place;
        match fault.kind {
            FaultKind::KillEntry => self.stop_entry(place, true),
            FaultKind::PowerOffEntry => self.stop_entry(place, false),
            FaultKind::FreezeEntry => self.entries[place].frozen_until_us = until_us,
            FaultKind::KillAgent => self.kill_agent(place),
            FaultKind::FreezeAgent => self.agents[place].frozen_until_us = until_us,
            FaultKind::CutEntry => self.entries[place].partitioned_until_us = until_us,
            FaultKind::CutHost => self.agents[place].partitioned_until_us = until_us,
            FaultKind::ResetHost => {
                for entry in 0..self.entries.len() {
                    self.disconnect(entry, place);
                }
            }
            FaultKind::CrashTarget => self.crash_target(place),
            FaultKind::HangTarget => self.agents[place].target.is_hanging = true,
            FaultKind::FailTarget => self.agents[place].target.is_failing = true,
            FaultKind::SlowTarget => self.agents[place].target.slowdown = fault.strength,
            FaultKind::LateOrders => self.agents[place].late_share = fault.strength,
            FaultKind::Evacuate => self.begin_evacuation(place, fault.strength),
        }
    }

    pub(crate) fn end_fault(&mut self, fault: &Fault) {
        let place = fault.place;
        let now_us = self.now_us;
        match fault.kind {
            FaultKind::KillEntry | FaultKind::PowerOffEntry => {
                if !self.entries[place].is_up {
                    self.create_entry(place);
                }
            }
            FaultKind::KillAgent => {
                if !self.agents[place].is_up {
                    self.restart_agent(place);
                }
            }
            FaultKind::CrashTarget => {
                if !self.agents[place].target.is_up {
                    self.agents[place].target.restart(now_us);
                }
            }
            FaultKind::HangTarget => self.agents[place].target.is_hanging = false,
            FaultKind::FailTarget => self.agents[place].target.is_failing = false,
            FaultKind::SlowTarget => self.agents[place].target.slowdown = 1.0,
            FaultKind::LateOrders => self.agents[place].late_share = 0.0,
            FaultKind::Evacuate => self.end_evacuation(place),
            FaultKind::FreezeEntry
            | FaultKind::FreezeAgent
            | FaultKind::CutEntry
            | FaultKind::CutHost
            | FaultKind::ResetHost => {}
        }
    }

    /// Stops an entry; clients and agents are notified only if its connections are reset.
    fn stop_entry(&mut self, entry: usize, is_reset: bool) {
        if !self.entries[entry].is_up {
            return;
        }
        self.entries[entry].is_up = false;
        let waiting = std::mem::take(&mut self.entries[entry].waiting);
        for host in 0..self.agents.len() {
            self.links[entry][host].is_connected = false;
            self.links[entry][host].epoch += 1;
            if is_reset {
                self.notify_link_closed(entry, host);
            }
        }
        let mut jobs: Vec<usize> = waiting.into_values().collect();
        jobs.sort_unstable();
        for job in jobs {
            // Without a reset the client notices the loss only by its own timeout.
            self.jobs[job].entry = None;
            if is_reset {
                self.handle_lost_attempt(job);
            }
        }
    }

    fn kill_agent(&mut self, host: usize) {
        if !self.agents[host].is_up {
            return;
        }
        self.agents[host].is_up = false;
        self.agents[host].update_requests.clear();
        for entry in 0..self.entries.len() {
            let is_up = self.entries[entry].is_up;
            if is_up && !self.is_partitioned(entry, host) {
                self.disconnect(entry, host);
            }
        }
    }
}
