//! Faults, and what they do to the world.

use strum::{EnumIter, IntoStaticStr};

use crate::world::World;

/// A fault, at a time and for a time.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Which entry or host, by number.
    pub place: usize,
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// How strong it is: a factor or a share.
    pub strength: f64,
}

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// The entry's process is killed; its connections are reset.
    KillEntry,
    /// The entry's host loses power; its connections fall silent.
    PowerOffEntry,
    /// The entry stands still.
    FreezeEntry,
    /// The agent's process is killed.
    KillAgent,
    /// The agent stands still.
    FreezeAgent,
    /// Nothing passes between the entry and any host.
    CutEntry,
    /// Nothing passes between the host and any entry.
    CutHost,
    /// The connections of the host are reset.
    ResetHost,
    /// The target ends, and begins a new life.
    CrashTarget,
    /// What the target starts never ends.
    HangTarget,
    /// What the target starts fails.
    FailTarget,
    /// The target is slow by a factor.
    SlowTarget,
    /// A share of the orders to the target gets no answer and is carried out late.
    LateOrders,
}

impl World {
    pub(crate) fn begin_fault(&mut self, fault: &Fault) {
        let until_us = self.now_us + fault.for_ms * 1_000;
        let place = fault.place;
        match fault.kind {
            FaultKind::KillEntry => self.end_entry(place, true),
            FaultKind::PowerOffEntry => self.end_entry(place, false),
            FaultKind::FreezeEntry => self.entries[place].frozen_until_us = until_us,
            FaultKind::KillAgent => self.kill_agent(place),
            FaultKind::FreezeAgent => self.agents[place].frozen_until_us = until_us,
            FaultKind::CutEntry => self.entries[place].cut_until_us = until_us,
            FaultKind::CutHost => self.agents[place].cut_until_us = until_us,
            FaultKind::ResetHost => {
                for entry in 0..self.entries.len() {
                    self.disconnect(entry, place);
                }
            }
            FaultKind::CrashTarget => {
                self.agents[place].target.crash();
                self.after_target(place);
            }
            FaultKind::HangTarget => self.agents[place].target.hangs = true,
            FaultKind::FailTarget => self.agents[place].target.fails = true,
            FaultKind::SlowTarget => self.agents[place].target.slowdown = fault.strength,
            FaultKind::LateOrders => self.agents[place].late_share = fault.strength,
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
            FaultKind::HangTarget => self.agents[place].target.hangs = false,
            FaultKind::FailTarget => self.agents[place].target.fails = false,
            FaultKind::SlowTarget => self.agents[place].target.slowdown = 1.0,
            FaultKind::LateOrders => self.agents[place].late_share = 0.0,
            FaultKind::FreezeEntry
            | FaultKind::FreezeAgent
            | FaultKind::CutEntry
            | FaultKind::CutHost
            | FaultKind::ResetHost => {}
        }
    }

    /// Ends an entry; clients hear of it only if its host lives.
    fn end_entry(&mut self, entry: usize, is_heard: bool) {
        if !self.entries[entry].is_up {
            return;
        }
        self.entries[entry].is_up = false;
        let waiting = std::mem::take(&mut self.entries[entry].waiting);
        for host in 0..self.agents.len() {
            self.links[entry][host].is_connected = false;
            self.links[entry][host].epoch += 1;
            if is_heard {
                self.tell_closed(entry, host);
            }
        }
        let mut jobs: Vec<usize> = waiting.into_values().collect();
        jobs.sort_unstable();
        for job in jobs {
            // Without a reset the client learns of the loss by its own time limit.
            self.jobs[job].entry = None;
            if is_heard {
                self.lost_copy(job);
            }
        }
    }

    fn kill_agent(&mut self, host: usize) {
        if !self.agents[host].is_up {
            return;
        }
        self.agents[host].is_up = false;
        self.agents[host].questions.clear();
        for entry in 0..self.entries.len() {
            let is_up = self.entries[entry].is_up;
            if is_up && !self.is_cut(entry, host) {
                self.disconnect(entry, host);
            }
        }
    }
}
