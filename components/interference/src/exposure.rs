//! Shares of its time that a run spends beside other kinds of task.

use model::{KindKey, KindRuns, count_runs};

use crate::slots::{MAX_KINDS, Slots};

/// Share of the host's cores from which on it counts as crowded.
const CROWDED_SHARE: f64 = 0.75;

/// Time over which recent runs are averaged, in milliseconds: tasks that take a few tenths of a second
/// come and go in it several times.
const RECENT_MS: f64 = 1_000.0;

/// What a run was exposed to, averaged over its time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Exposure {
    /// Mean share of the host's cores in use.
    pub used_share: f64,
    /// Share of the time in which most of the cores were in use.
    pub crowded_share: f64,
    /// Share of the time in which another run of the kind in each slot was there.
    pub(crate) beside: [f64; MAX_KINDS],
}

/// Readings of the clocks when a run started.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    slot: usize,
    generation: u32,
    at_ms: u64,
    clocks: Clocks,
}

impl Start {
    /// Returns the slot of the run's kind.
    pub(crate) fn slot(&self) -> usize {
        self.slot
    }
}

/// Clocks that advance while a condition holds on the host, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Clocks {
    used: f64,
    crowded: f64,
    /// By kind, while at least one run of it is there.
    one: [u64; MAX_KINDS],
    /// By kind, while at least two runs of it are there.
    two: [u64; MAX_KINDS],
}

/// Records what runs on a host, in time and memory independent of the number of runs.
#[derive(Debug, Clone, Default)]
pub struct Exposures {
    pub(crate) slots: Slots,
    /// Number of times that the kind in a slot was replaced.
    generations: [u32; MAX_KINDS],
    runs: [u16; MAX_KINDS],
    /// Mean numbers of runs over the last second.
    recent: [f64; MAX_KINDS],
    used_share: f64,
    updated_at_ms: u64,
    clocks: Clocks,
}

impl Exposures {
    /// Advances the clocks, and sets the share of cores in use from now on.
    pub fn set_used_share(&mut self, now_ms: u64, used_share: f64) {
        self.advance(now_ms);
        self.used_share = used_share;
    }

    /// Records the start of a run; `None` if its kind is not kept. Also returns the slot whose kind was
    /// replaced, if one was.
    pub fn start(&mut self, now_ms: u64, kind: KindKey) -> (Option<Start>, Option<usize>) {
        self.advance(now_ms);
        let Some(assigned) = self.slots.assign(now_ms, kind) else {
            return (None, None);
        };
        let slot = assigned.slot;
        if assigned.is_reassigned {
            self.generations[slot] += 1;
            self.runs[slot] = 0;
            self.recent[slot] = 0.0;
        }
        self.runs[slot] += 1;
        let start = Start {
            slot,
            generation: self.generations[slot],
            at_ms: now_ms,
            clocks: self.clocks,
        };
        (Some(start), assigned.is_reassigned.then_some(slot))
    }

    /// Records the end of a run.
    pub fn end(&mut self, now_ms: u64, start: &Start) {
        self.advance(now_ms);
        if self.generations[start.slot] == start.generation {
            self.runs[start.slot] = self.runs[start.slot].saturating_sub(1);
        }
    }

    /// Adds the mean numbers of recent runs to runs by kind; kinds with hardly any are left out.
    pub fn add_recent(&self, now_ms: u64, runs: &mut Vec<KindRuns>) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        let kept = (-elapsed_ms / RECENT_MS).exp();
        for slot in 0..self.slots.len() {
            let now = f64::from(self.runs[slot]);
            let recent = now + kept * (self.recent[slot] - now);
            let recent_percent = (100.0 * recent).round() as u16;
            let Some(kind) = self.slots.kind(slot).filter(|_| recent_percent > 0) else {
                continue;
            };
            count_runs(runs, kind, 0);
            let named = runs.iter_mut().find(|at| at.kind == kind);
            if let Some(at) = named {
                at.recent_percent = recent_percent;
            }
        }
    }

    /// Returns what a run has been exposed to since its start; `None` if it has taken no time.
    pub fn since(&mut self, now_ms: u64, start: &Start) -> Option<Exposure> {
        self.advance(now_ms);
        let is_current = self.generations[start.slot] == start.generation;
        let elapsed_ms = now_ms.saturating_sub(start.at_ms);
        if !is_current || elapsed_ms == 0 {
            return None;
        }
        let elapsed_ms = elapsed_ms as f64;
        let share = |later: u64, earlier: u64| later.saturating_sub(earlier) as f64 / elapsed_ms;
        let (now, then) = (&self.clocks, &start.clocks);
        let mut beside: [f64; MAX_KINDS] =
            std::array::from_fn(|slot| share(now.one[slot], then.one[slot]));
        beside[start.slot] = share(now.two[start.slot], then.two[start.slot]);
        Some(Exposure {
            used_share: (now.used - then.used) / elapsed_ms,
            crowded_share: (now.crowded - then.crowded) / elapsed_ms,
            beside,
        })
    }

    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        if elapsed_ms == 0 {
            return;
        }
        self.clocks.used += self.used_share * elapsed_ms as f64;
        if self.used_share > CROWDED_SHARE {
            self.clocks.crowded += elapsed_ms as f64;
        }
        let kept = (-(elapsed_ms as f64) / RECENT_MS).exp();
        for slot in 0..self.slots.len() {
            let now = f64::from(self.runs[slot]);
            self.recent[slot] = now + kept * (self.recent[slot] - now);
            if self.runs[slot] >= 1 {
                self.clocks.one[slot] += elapsed_ms;
            }
            if self.runs[slot] >= 2 {
                self.clocks.two[slot] += elapsed_ms;
            }
        }
    }
}
