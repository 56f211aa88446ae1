//! A model of a target.

use std::collections::BTreeMap;

use hosting::{
    EndedRun, RunningRun, StartOutcome, StartRefusal, TargetEnd, TargetPoll, TargetPollOutcome,
    TargetRuns,
};
use model::{Resources, TaskRef};
use rustc_hash::FxHashMap;

/// Longest lease that a target grants, in microseconds.
const MAX_LEASE_US: u64 = 1_000_000;

/// Properties of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSpec {
    /// Everything that it has.
    pub capacity: Resources,
    /// Speed compared with the estimates.
    pub speed: f64,
    /// Rate of its clock compared with the true time.
    pub clock_rate: f64,
}

/// A run at a target.
#[derive(Debug, Clone)]
pub(crate) struct TargetRun {
    pub(crate) number: u32,
    pub(crate) needs: Resources,
    pub(crate) started_us: u64,
    /// When it ends; nothing if it never does by itself.
    pub(crate) ends_us: Option<u64>,
    pub(crate) work_us: u64,
}

/// An order to start a run.
#[derive(Debug, Clone)]
pub(crate) struct TargetStart {
    pub(crate) task: TaskRef,
    pub(crate) number: u32,
    pub(crate) needs: Resources,
    pub(crate) work_us: u64,
    pub(crate) lease_end_ms: u64,
    pub(crate) token: u64,
}

/// A target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) is_up: bool,
    pub(crate) born_unix_ms: u64,
    pub(crate) slowdown: f64,
    pub(crate) hangs: bool,
    pub(crate) fails: bool,
    pub(crate) runs: BTreeMap<TaskRef, TargetRun>,
    born_us: u64,
    token: u64,
    lease_end_us: u64,
    highest: FxHashMap<TaskRef, u32>,
    ends: Vec<EndedRun>,
    next_end: u64,
}

impl Target {
    pub(crate) fn new(spec: TargetSpec, now_us: u64) -> Self {
        Self {
            spec,
            is_up: true,
            born_unix_ms: 1 + now_us / 1_000,
            slowdown: 1.0,
            hangs: false,
            fails: false,
            runs: BTreeMap::new(),
            born_us: now_us,
            token: 0,
            lease_end_us: 0,
            highest: FxHashMap::default(),
            ends: Vec::new(),
            next_end: 0,
        }
    }

    /// Begins a new life.
    pub(crate) fn restart(&mut self, now_us: u64) {
        let (slowdown, hangs, fails) = (self.slowdown, self.hangs, self.fails);
        *self = Self::new(self.spec.clone(), now_us);
        (self.slowdown, self.hangs, self.fails) = (slowdown, hangs, fails);
    }

    pub(crate) fn crash(&mut self) {
        self.is_up = false;
        self.runs.clear();
    }

    fn clock_ms(&self, now_us: u64) -> u64 {
        ((now_us - self.born_us) as f64 * self.spec.clock_rate / 1_000.0) as u64
    }

    fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |used, run| {
            used.saturating_add(&run.needs)
        })
    }

    fn extend_lease(&mut self, now_us: u64, lease_end_ms: u64) {
        let left_ms = lease_end_ms.saturating_sub(self.clock_ms(now_us));
        let left_us = (left_ms as f64 * 1_000.0 / self.spec.clock_rate) as u64;
        let end_us = now_us + left_us.min(MAX_LEASE_US);
        self.lease_end_us = self.lease_end_us.max(end_us);
    }

    /// Ends what is due; returns whether anything has ended.
    pub(crate) fn settle(&mut self, now_us: u64) -> bool {
        let before = self.next_end;
        let due: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_us.is_some_and(|ends_us| ends_us <= now_us))
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let end = if self.fails {
                TargetEnd::Failed
            } else {
                TargetEnd::Done
            };
            self.end(task, end);
        }
        if now_us >= self.lease_end_us {
            let lapsed: Vec<TaskRef> = self.runs.keys().copied().collect();
            for task in lapsed {
                self.end(task, TargetEnd::Lapsed);
            }
        }
        self.next_end > before
    }

    /// Returns the next time at which a run ends by itself or by its lease.
    pub(crate) fn next_end_us(&self) -> Option<u64> {
        if self.runs.is_empty() {
            return None;
        }
        let ends = self.runs.values().filter_map(|run| run.ends_us);
        Some(ends.min().unwrap_or(u64::MAX).min(self.lease_end_us))
    }

    fn end(&mut self, task: TaskRef, end: TargetEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.next_end += 1;
        self.ends.push(EndedRun {
            sequence: self.next_end,
            task,
            number: run.number,
            end,
        });
    }

    pub(crate) fn start(&mut self, now_us: u64, order: &TargetStart) -> StartOutcome {
        self.settle(now_us);
        if order.token < self.token {
            return StartOutcome::Refused(StartRefusal::StaleToken);
        }
        self.token = order.token;
        if let Some(run) = self.runs.get(&order.task)
            && run.number == order.number
        {
            self.extend_lease(now_us, order.lease_end_ms);
            return StartOutcome::Started;
        }
        if order.lease_end_ms <= self.clock_ms(now_us) {
            return StartOutcome::Refused(StartRefusal::LeaseOver);
        }
        self.extend_lease(now_us, order.lease_end_ms);
        let highest = self.highest.get(&order.task).copied().unwrap_or(0);
        if order.number <= highest {
            return StartOutcome::Refused(StartRefusal::OldNumber);
        }
        if !self
            .spec
            .capacity
            .saturating_sub(&self.used())
            .can_fit(&order.needs)
        {
            return StartOutcome::Refused(StartRefusal::NoRoom);
        }
        self.highest.insert(order.task, order.number);
        let speed = self.spec.speed / self.slowdown;
        let takes_us = (order.work_us as f64 / speed) as u64;
        let run = TargetRun {
            number: order.number,
            needs: order.needs,
            started_us: now_us,
            ends_us: (!self.hangs).then_some(now_us + takes_us),
            work_us: takes_us,
        };
        self.runs.insert(order.task, run);
        StartOutcome::Started
    }

    pub(crate) fn stop(&mut self, now_us: u64, task: TaskRef, number: u32, token: u64) {
        self.settle(now_us);
        if token < self.token {
            return;
        }
        self.token = token;
        let highest = self.highest.entry(task).or_insert(0);
        *highest = (*highest).max(number);
        if self.runs.get(&task).is_some_and(|run| run.number <= number) {
            self.end(task, TargetEnd::Stopped);
        }
    }

    /// Takes note of a question; tells whether it is fenced off.
    pub(crate) fn asked(&mut self, now_us: u64, request: &TargetPoll) -> bool {
        self.settle(now_us);
        if request.token < self.token {
            return false;
        }
        self.token = request.token;
        if let Some(lease_end_ms) = request.lease_end_ms {
            self.extend_lease(now_us, lease_end_ms);
        }
        self.ends.retain(|end| end.sequence > request.acknowledged);
        true
    }

    pub(crate) fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    pub(crate) fn answer(&mut self, now_us: u64) -> TargetPollOutcome {
        self.settle(now_us);
        let percent = |run: &TargetRun| match run.ends_us {
            Some(_) => (100 * (now_us - run.started_us) / run.work_us.max(1)).min(99) as u8,
            None => 0,
        };
        let running = self.runs.iter().map(|(task, run)| RunningRun {
            task: *task,
            number: run.number,
            percent: percent(run),
        });
        TargetPollOutcome::Answered(TargetRuns {
            born_unix_ms: self.born_unix_ms,
            clock_ms: self.clock_ms(now_us),
            running: running.collect(),
            ended: self.ends.clone(),
            last_sequence: self.next_end,
        })
    }
}
