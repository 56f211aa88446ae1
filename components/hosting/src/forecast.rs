//! Forecast of the resources that become free as runs end.
//!
//! Under load, many entries place tasks on the same hosts, and a host has less room than their views
//! said. The agent knows its queue and the progress of its runs: the forecast tells entries when a
//! further task could start, and finds the queued tasks that will not start in time, so that they go
//! to another host at once instead of when their time in the queue is over.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use model::{Opening, Resources};

/// Most openings in a view; later ones are too uncertain to be of use.
const MAX_OPENINGS: usize = 4;

/// Time within which ends of runs count as one opening, in milliseconds.
const OPENING_STEP_MS: u64 = 4;

/// Expected end of a run, with the resources that it leaves; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct End {
    at_ms: u64,
    cpu_millis: u32,
    memory_mib: u32,
    gpus: u32,
}

impl End {
    fn new(at_ms: u64, resources: Resources) -> Self {
        Self {
            at_ms,
            cpu_millis: resources.cpu_millis,
            memory_mib: resources.memory_mib,
            gpus: resources.gpus,
        }
    }

    fn resources(&self) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis,
            memory_mib: self.memory_mib,
            gpus: self.gpus,
        }
    }
}

/// Expected room of a host, advanced as tasks are placed into it.
#[derive(Debug, Clone)]
pub(crate) struct Forecast {
    now_ms: u64,
    at_ms: u64,
    free: Resources,
    ends: BinaryHeap<Reverse<End>>,
}

impl Forecast {
    /// Creates the forecast of a host with these free resources and no ends of runs.
    pub(crate) fn new(now_ms: u64, free: Resources) -> Self {
        Self {
            now_ms,
            at_ms: now_ms,
            free,
            ends: BinaryHeap::new(),
        }
    }

    /// Adds the expected end of a run at the target.
    pub(crate) fn add_end(&mut self, at_ms: u64, resources: Resources) {
        self.ends.push(Reverse(End::new(at_ms, resources)));
    }

    /// Returns when these resources are expected to be free, in milliseconds, after all tasks that
    /// were placed before; `None` if they never are.
    pub(crate) fn free_at_ms(&self, required: &Resources) -> Option<u64> {
        let mut later = self.clone();
        later.advance_until_free(required).then_some(later.at_ms)
    }

    /// Places a queued task that takes `needs` for `run_ms` once `required` is free.
    pub(crate) fn place(&mut self, needs: Resources, required: &Resources, run_ms: u64) {
        if !self.advance_until_free(required) {
            return;
        }
        self.free = self.free.saturating_sub(&needs);
        self.add_end(self.at_ms + run_ms, needs);
    }

    /// Returns the next times at which resources become free, the current state first.
    pub(crate) fn openings(mut self) -> Vec<Opening> {
        let mut openings: Vec<Opening> = vec![self.opening()];
        while openings.len() < MAX_OPENINGS && self.advance() {
            let until_ms = self.at_ms + OPENING_STEP_MS;
            while self.next_end_ms().is_some_and(|end_ms| end_ms <= until_ms) {
                self.advance();
            }
            openings.push(self.opening());
        }
        openings
    }

    fn opening(&self) -> Opening {
        Opening {
            in_ms: u32::try_from(self.at_ms - self.now_ms).unwrap_or(u32::MAX),
            free: self.free,
        }
    }

    fn next_end_ms(&self) -> Option<u64> {
        self.ends.peek().map(|Reverse(end)| end.at_ms)
    }

    /// Goes on to the next end of a run; returns whether there is one.
    fn advance(&mut self) -> bool {
        let Some(Reverse(end)) = self.ends.pop() else {
            return false;
        };
        self.at_ms = self.at_ms.max(end.at_ms);
        self.free = self.free.saturating_add(&end.resources());
        true
    }

    fn advance_until_free(&mut self, required: &Resources) -> bool {
        while !self.free.can_fit(required) {
            if !self.advance() {
                return false;
            }
        }
        true
    }
}
