//! Beliefs about kinds of task that slow each other down, from the summaries of the hosts.

use std::rc::Rc;

use ::interference::Beliefs;
use model::KindKey;
use rustc_hash::FxHashMap;

use super::{Scheduler, SchedulerAction};
use crate::host::HostRecord;

/// Interval at which the summaries of the hosts are combined, in milliseconds; hosts send them every
/// 2 s.
const UPDATE_INTERVAL_MS: u64 = 1_000;

/// Most kinds whose names are kept.
const MAX_NAMES: usize = 4_096;

/// What the entry believes of interference.
#[derive(Debug, Default)]
pub(super) struct Interference {
    pub(super) beliefs: Beliefs,
    updated_at_ms: u64,
    /// Queue and step of the kinds that this entry has placed, for the log.
    names: FxHashMap<KindKey, (Rc<str>, u16)>,
}

impl Interference {
    /// Returns queue and step of a kind, or its key if this entry has not placed it.
    fn kind_name(&self, kind: KindKey) -> String {
        let name = self.names.get(&kind);
        name.map_or_else(
            || kind.to_string(),
            |(queue, step)| format!("{queue}/{step}"),
        )
    }
}

impl Scheduler {
    /// Sets whether kinds of task that slow each other down are kept apart.
    #[must_use]
    pub fn separating_interfering_tasks(mut self, is_on: bool) -> Self {
        self.interference = is_on.then(Interference::default);
        self
    }

    /// Returns the pairs of kinds that are kept apart, each as the names of the kind that takes longer
    /// and of the other, and the factor on the run time.
    #[must_use]
    pub fn interfering_pairs(&self) -> Vec<(String, String, f64)> {
        let Some(interference) = &self.interference else {
            return Vec::new();
        };
        let name = |kind| interference.kind_name(kind);
        let pairs = interference.beliefs.pairs();
        pairs
            .map(|(of, by, factor)| (name(of), name(by), factor))
            .collect()
    }

    /// Combines the summaries of the hosts when that is due.
    pub(super) fn update_interference(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        let Some(interference) = &mut self.interference else {
            return;
        };
        if now_ms < interference.updated_at_ms + UPDATE_INTERVAL_MS {
            return;
        }
        interference.updated_at_ms = now_ms;
        let usable = self.hosts.values().filter(|host| host.is_usable(now_ms));
        let summaries = usable.map(|host: &HostRecord| host.pair_effects(now_ms));
        let changes = interference.beliefs.update(summaries);
        actions.extend(
            changes
                .into_iter()
                .map(|change| SchedulerAction::LogInterference {
                    of: interference.kind_name(change.of),
                    by: interference.kind_name(change.by),
                    change,
                }),
        );
    }

    /// Remembers the names of a queue's kinds.
    pub(super) fn record_kind_names(&mut self, queue: &Rc<str>, steps: usize) {
        let Some(interference) = &mut self.interference else {
            return;
        };
        for step in 0..steps.min(usize::from(u16::MAX)) as u16 {
            let kind = KindKey::of_step(queue, step);
            if interference.names.len() < MAX_NAMES {
                let name = || (Rc::clone(queue), step);
                interference.names.entry(kind).or_insert_with(name);
            }
        }
    }

    /// Returns whether any pair of kinds is kept apart.
    pub(super) fn has_beliefs(&self) -> bool {
        let interference = self.interference.as_ref();
        interference.is_some_and(|at| !at.beliefs.is_empty())
    }

    /// Returns the beliefs, if there are any about a kind.
    pub(super) fn beliefs_about(&self, kind: KindKey) -> Option<&Beliefs> {
        let beliefs = &self.interference.as_ref()?.beliefs;
        beliefs.concerns(kind).then_some(beliefs)
    }
}
