//! Model of a target: runs tasks under a lease, fences stale tokens and reports ended runs.

use std::collections::BTreeMap;

use hosting::{
    EndedRun, RunningRun, StartOutcome, StartRefusal, TargetEnd, TargetPoll, TargetPollOutcome,
    TargetRuns,
};
use model::{Resources, TaskRef};
use rustc_hash::FxHashMap;

use crate::interference::Interference;

/// Longest lease that a target grants, in microseconds.
const MAX_LEASE_US: u64 = 1_000_000;

/// Properties of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSpec {
    /// Total resources.
    pub capacity: Resources,
    /// Speed relative to the estimated run times.
    pub speed: f64,
    /// Rate of its clock relative to simulated time.
    pub clock_rate: f64,
    /// How its tasks slow each other down.
    pub interference: Interference,
}

/// A run at a target.
#[derive(Debug, Clone)]
pub(crate) struct TargetRun {
    pub(crate) number: u32,
    pub(crate) kind: usize,
    pub(crate) needs: Resources,
    /// When the run ends by itself if its neighbors stay; `None` if it hangs.
    pub(crate) ends_us: Option<u64>,
    /// Time that the run takes without neighbors.
    pub(crate) work_us: u64,
    /// Part of `work_us` that was left at `updated_us`.
    left_us: f64,
    updated_us: u64,
    /// Factor by which its neighbors slow it down at present.
    factor: f64,
}

impl TargetRun {
    /// Returns the part of the work that is left, in microseconds.
    fn left_us(&self, now_us: u64) -> f64 {
        self.left_us - (now_us - self.updated_us) as f64 / self.factor
    }
}

/// An order to start a run.
#[derive(Debug, Clone)]
pub(crate) struct TargetStart {
    pub(crate) task: TaskRef,
    pub(crate) number: u32,
    pub(crate) kind: usize,
    pub(crate) needs: Resources,
    pub(crate) work_us: u64,
    pub(crate) lease_end_ms: u64,
    pub(crate) token: u64,
}

/// State of a target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) is_up: bool,
    pub(crate) born_unix_ms: u64,
    pub(crate) slowdown: f64,
    pub(crate) is_hanging: bool,
    pub(crate) is_failing: bool,
    pub(crate) runs: BTreeMap<TaskRef, TargetRun>,
    created_us: u64,
    token: u64,
    lease_end_us: u64,
    highest_numbers: FxHashMap<TaskRef, u32>,
    unacknowledged_ends: Vec<EndedRun>,
    last_end_sequence: u64,
    updated_us: u64,
}

impl Target {
    pub(crate) fn new(spec: TargetSpec, now_us: u64) -> Self {
        Self {
            spec,
            is_up: true,
            born_unix_ms: 1 + now_us / 1_000,
            slowdown: 1.0,
            is_hanging: false,
            is_failing: false,
            runs: BTreeMap::new(),
            created_us: now_us,
            token: 0,
            lease_end_us: 0,
            highest_numbers: FxHashMap::default(),
            unacknowledged_ends: Vec::new(),
            last_end_sequence: 0,
            updated_us: now_us,
        }
    }

    /// Restarts the target without its runs and lease; injected faults stay in effect.
    pub(crate) fn restart(&mut self, now_us: u64) {
        let (slowdown, is_hanging, is_failing) = (self.slowdown, self.is_hanging, self.is_failing);
        *self = Self::new(self.spec.clone(), now_us);
        (self.slowdown, self.is_hanging, self.is_failing) = (slowdown, is_hanging, is_failing);
    }

    pub(crate) fn crash(&mut self) {
        self.is_up = false;
        self.runs.clear();
    }

    fn clock_ms(&self, now_us: u64) -> u64 {
        ((now_us - self.created_us) as f64 * self.spec.clock_rate / 1_000.0) as u64
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

    /// Ends the runs that are due, or all of them if the lease has expired; returns whether any
    /// ended.
    pub(crate) fn end_due_runs(&mut self, now_us: u64) -> bool {
        let before = self.last_end_sequence;
        let due: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_us.is_some_and(|ends_us| ends_us <= now_us))
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let end = if self.is_failing {
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
        self.update_factors(now_us);
        self.last_end_sequence > before
    }

    /// Returns the next time at which a run ends by itself or the lease expires.
    pub(crate) fn next_end_us(&self) -> Option<u64> {
        if self.runs.is_empty() {
            return None;
        }
        let ends = self.runs.values().filter_map(|run| run.ends_us);
        let change_us = self.spec.interference.next_change_us(self.updated_us);
        let ends = ends.chain(change_us);
        Some(ends.min().unwrap_or(u64::MAX).min(self.lease_end_us))
    }

    /// Recalculates the ends of runs whose neighbors have changed.
    fn update_factors(&mut self, now_us: u64) {
        self.updated_us = now_us;
        let interference = self.spec.interference;
        if interference == Interference::None {
            return;
        }
        let kinds: Vec<usize> = self.runs.values().map(|run| run.kind).collect();
        for (at, run) in self.runs.values_mut().enumerate() {
            let others = kinds.iter().enumerate().filter(|(other, _)| *other != at);
            let factor = interference.factor(now_us, run.kind, others.map(|(_, kind)| *kind));
            if (factor - run.factor).abs() < 1e-9 {
                continue;
            }
            run.left_us = run.left_us(now_us);
            run.updated_us = now_us;
            run.factor = factor;
            if run.ends_us.is_some() {
                run.ends_us = Some(now_us + (run.left_us * factor).max(0.0) as u64);
            }
        }
    }

    fn end(&mut self, task: TaskRef, end: TargetEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.last_end_sequence += 1;
        self.unacknowledged_ends.push(EndedRun {
            sequence: self.last_end_sequence,
            task,
            number: run.number,
            end,
        });
    }

    pub(crate) fn start(&mut self, now_us: u64, order: &TargetStart) -> StartOutcome {
        self.end_due_runs(now_us);
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
        let highest = self.highest_numbers.get(&order.task).copied().unwrap_or(0);
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
        self.highest_numbers.insert(order.task, order.number);
        let speed = self.spec.speed / self.slowdown;
        let takes_us = (order.work_us as f64 / speed) as u64;
        let run = TargetRun {
            number: order.number,
            kind: order.kind,
            needs: order.needs,
            ends_us: (!self.is_hanging).then_some(now_us + takes_us),
            work_us: takes_us,
            left_us: takes_us as f64,
            updated_us: now_us,
            factor: 1.0,
        };
        self.runs.insert(order.task, run);
        self.update_factors(now_us);
        StartOutcome::Started
    }

    pub(crate) fn stop(&mut self, now_us: u64, task: TaskRef, number: u32, token: u64) {
        self.end_due_runs(now_us);
        if token < self.token {
            return;
        }
        self.token = token;
        let highest = self.highest_numbers.entry(task).or_insert(0);
        *highest = (*highest).max(number);
        if self.runs.get(&task).is_some_and(|run| run.number <= number) {
            self.end(task, TargetEnd::Stopped);
            self.update_factors(now_us);
        }
    }

    /// Handles an agent's poll; returns `false` if its fencing token is stale.
    pub(crate) fn accept_poll(&mut self, now_us: u64, request: &TargetPoll) -> bool {
        self.end_due_runs(now_us);
        if request.token < self.token {
            return false;
        }
        self.token = request.token;
        if let Some(lease_end_ms) = request.lease_end_ms {
            self.extend_lease(now_us, lease_end_ms);
        }
        self.unacknowledged_ends
            .retain(|end| end.sequence > request.acknowledged);
        true
    }

    pub(crate) fn has_ends(&self) -> bool {
        !self.unacknowledged_ends.is_empty()
    }

    pub(crate) fn poll_answer(&mut self, now_us: u64) -> TargetPollOutcome {
        self.end_due_runs(now_us);
        let percent = |run: &TargetRun| match run.ends_us {
            Some(_) => {
                let work_us = run.work_us.max(1) as f64;
                (100.0 * (work_us - run.left_us(now_us)) / work_us).clamp(0.0, 99.0) as u8
            }
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
            ended: self.unacknowledged_ends.clone(),
            last_sequence: self.last_end_sequence,
        })
    }
}
