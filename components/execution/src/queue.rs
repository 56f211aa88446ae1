//! Order in which queued tasks start.
//!
//! Firms share the target by start-time fair queueing; within a firm the task with
//! the earliest deadline starts first; tasks with equal deadlines start in order of arrival.

use std::collections::BTreeMap;

use model::{FirmKey, Rules};
use rustc_hash::FxHashMap;

use crate::table::TaskSlot;

/// Fixed-point scale of virtual time, which limits rounding errors of the division by a weight.
const VIRTUAL_SCALE: u64 = 64;
const MIN_COST_US: u64 = 1_000;
const MAX_COST_US: u64 = 10_000_000;

/// Deadline and arrival number of a queued task.
pub(crate) type Position = (u64, u64);

#[derive(Debug)]
struct FirmQueue {
    tasks: BTreeMap<Position, TaskSlot>,
    weight: u64,
    /// Virtual start time of the firm's next task; the firm with the lowest one is served next.
    start_tag: u64,
}

impl FirmQueue {
    fn new(weight: u64) -> Self {
        Self {
            tasks: BTreeMap::new(),
            weight,
            start_tag: 0,
        }
    }
}

/// The queued tasks of all firms.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    firms: FxHashMap<FirmKey, FirmQueue>,
    weights: FxHashMap<FirmKey, u64>,
    virtual_time: u64,
    next_sequence: u64,
    len: usize,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn weight(&self, firm: FirmKey) -> u64 {
        self.weights.get(&firm).copied().unwrap_or(1)
    }

    pub fn apply_rules(&mut self, rules: &Rules) {
        self.weights = rules
            .shares
            .iter()
            .map(|share| (share.firm, u64::from(share.weight.max(1))))
            .collect();
        for (firm, queue) in &mut self.firms {
            queue.weight = self.weights.get(firm).copied().unwrap_or(1);
        }
    }

    /// Adds a task and returns its arrival number.
    pub fn push(&mut self, firm: FirmKey, deadline_us: u64, task_slot: TaskSlot) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let weight = self.weight(firm);
        let queue = self
            .firms
            .entry(firm)
            .or_insert_with(|| FirmQueue::new(weight));
        if queue.tasks.is_empty() {
            queue.start_tag = queue.start_tag.max(self.virtual_time);
        }
        queue.tasks.insert((deadline_us, sequence), task_slot);
        self.len += 1;
        sequence
    }

    pub fn remove(&mut self, firm: FirmKey, position: Position) {
        let Some(queue) = self.firms.get_mut(&firm) else {
            return;
        };
        if queue.tasks.remove(&position).is_some() {
            self.len -= 1;
        }
    }

    /// Returns the task to start next and its firm.
    pub fn peek(&self) -> Option<(FirmKey, TaskSlot)> {
        self.firms
            .iter()
            .filter_map(|(&firm, queue)| {
                let (_, &task_slot) = queue.tasks.first_key_value()?;
                Some((queue.start_tag, firm, task_slot))
            })
            .min()
            .map(|(_, firm, task_slot)| (firm, task_slot))
    }

    /// Adds the expected cost of a starting task to the virtual time of its firm.
    pub fn charge(&mut self, firm: FirmKey, cost_us: u64) {
        let Some(queue) = self.firms.get_mut(&firm) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag += virtual_cost(cost_us, queue.weight);
    }

    /// Replaces the expected cost of a task by its actual run time.
    pub fn correct_charge(&mut self, firm: FirmKey, charged_us: u64, ran_us: u64) {
        let Some(queue) = self.firms.get_mut(&firm) else {
            return;
        };
        let charged = virtual_cost(charged_us, queue.weight);
        let actual = virtual_cost(ran_us, queue.weight);
        queue.start_tag = (queue.start_tag + actual).saturating_sub(charged);
    }

    /// Returns the tasks whose deadline is not after `now_us`.
    pub fn overdue(&self, now_us: u64) -> Vec<TaskSlot> {
        self.firms
            .values()
            .flat_map(|queue| queue.tasks.range(..=(now_us, u64::MAX)))
            .map(|(_, &task_slot)| task_slot)
            .collect()
    }

    pub fn tasks(&self) -> Vec<TaskSlot> {
        self.firms
            .values()
            .flat_map(|queue| queue.tasks.values().copied())
            .collect()
    }

    pub fn earliest_deadline_us(&self) -> Option<u64> {
        self.firms
            .values()
            .filter_map(|queue| queue.tasks.first_key_value())
            .map(|(&(deadline_us, _), _)| deadline_us)
            .min()
    }
}

fn virtual_cost(cost_us: u64, weight: u64) -> u64 {
    cost_us.clamp(MIN_COST_US, MAX_COST_US) * VIRTUAL_SCALE / weight
}
