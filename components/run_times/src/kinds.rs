//! Kinds of tasks and what is known of their run times.

use std::rc::Rc;

use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};

use crate::distribution::RunTime;
use crate::regression::Regression;

/// Maximum number of kinds; further ones are forecast by their declared times.
const MAX_KINDS: usize = 4_096;

/// Steps of a job that are told apart; later ones share the kind of the last of them, since callers
/// choose the number of steps.
const MAX_STEP_KINDS: u16 = 8;

/// Time after its last use at which a kind may make room for another, in milliseconds.
const RETENTION_MS: u64 = 600_000;

/// Deviation from the forecast, in standard deviations, to which measured times are clamped: runs on
/// a host that has just turned slow say nothing about their kind.
const OUTLIER_DEVIATIONS: f64 = 2.5;

new_key_type! {
    /// Key of a kind of task.
    pub struct KindSlot;
}

#[derive(Debug)]
struct Kind {
    queue: Rc<str>,
    step: u16,
    used_at_ms: u64,
    regression: Regression,
}

/// The kinds of tasks, one for each queue and step.
///
/// Queues belong to one firm each, so that the declarations of a firm do not affect the forecasts of
/// another.
#[derive(Debug, Default)]
pub struct Kinds {
    kinds: SlotMap<KindSlot, Kind>,
    slots: FxHashMap<(Rc<str>, u16), KindSlot>,
}

impl Kinds {
    /// Returns the kind of the tasks of a queue's step; adds it if it is new and there is room.
    pub fn slot(&mut self, now_ms: u64, queue: &Rc<str>, step: u16) -> Option<KindSlot> {
        let step = step.min(MAX_STEP_KINDS - 1);
        let name = (Rc::clone(queue), step);
        if let Some(&slot) = self.slots.get(&name) {
            self.kinds[slot].used_at_ms = now_ms;
            return Some(slot);
        }
        if self.kinds.len() >= MAX_KINDS {
            self.remove_unused(now_ms);
        }
        if self.kinds.len() >= MAX_KINDS {
            return None;
        }
        let slot = self.kinds.insert(Kind {
            queue: Rc::clone(queue),
            step,
            used_at_ms: now_ms,
            regression: Regression::default(),
        });
        self.slots.insert(name, slot);
        Some(slot)
    }

    /// Returns the forecast for a task of a kind with this declared time, on a host of speed 1.
    #[must_use]
    pub fn forecast(&self, kind: Option<KindSlot>, declared_ms: u32) -> RunTime {
        let kind = kind.and_then(|slot| self.kinds.get(slot));
        let declared = RunTime::declared(declared_ms);
        kind.map_or(declared, |kind| {
            kind.regression.forecast(declared.median_ms)
        })
    }

    /// Records a completed run of a kind.
    ///
    /// `measured_ms` is its run time on a host of speed 1, `tasks` the number of tasks that share its
    /// declared time: their errors are one observation.
    pub fn record(
        &mut self,
        kind: Option<KindSlot>,
        declared_ms: u32,
        measured_ms: f64,
        tasks: usize,
    ) {
        let Some(kind) = kind.and_then(|slot| self.kinds.get_mut(slot)) else {
            return;
        };
        let declared_ms = f64::from(declared_ms);
        let forecast = kind.regression.forecast(declared_ms);
        let most = (OUTLIER_DEVIATIONS * forecast.log_deviation).exp();
        let measured_ms = measured_ms.clamp(forecast.median_ms / most, forecast.median_ms * most);
        let weight = 1.0 / tasks.max(1) as f64;
        kind.regression.add(declared_ms, measured_ms, weight);
    }

    /// Returns the number of kinds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Returns whether no kind is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    fn remove_unused(&mut self, now_ms: u64) {
        let slots = &mut self.slots;
        self.kinds.retain(|_, kind| {
            let is_kept = now_ms < kind.used_at_ms + RETENTION_MS;
            if !is_kept {
                slots.remove(&(Rc::clone(&kind.queue), kind.step));
            }
            is_kept
        });
    }
}
