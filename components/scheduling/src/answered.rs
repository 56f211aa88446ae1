//! Cache of recent answers, which deduplicates copies of a request that arrive after its answer.

use std::collections::VecDeque;

use model::CallerId;
use rustc_hash::FxHashMap;

use crate::limits::{ANSWERED_KEPT_MS, MAX_ANSWERED};
use crate::verdict::Verdict;

/// The final answers of recent jobs, with bounds on their age and number.
#[derive(Debug, Default)]
pub(crate) struct Answered {
    verdicts: FxHashMap<CallerId, Verdict>,
    order: VecDeque<(u64, CallerId)>,
}

impl Answered {
    /// Stores an answer if it is final, so that it also applies to every later copy of the job.
    pub(crate) fn remember(&mut self, now_ms: u64, id: CallerId, verdict: Verdict) {
        let is_final = matches!(verdict, Verdict::Completed | Verdict::Failed);
        if is_final && self.verdicts.insert(id, verdict).is_none() {
            self.order.push_back((now_ms, id));
        }
        self.forget(now_ms);
    }

    /// Returns the answer of a job.
    pub(crate) fn get(&self, id: CallerId) -> Option<Verdict> {
        self.verdicts.get(&id).copied()
    }

    fn forget(&mut self, now_ms: u64) {
        while let Some((at_ms, id)) = self.order.front() {
            if now_ms < at_ms + ANSWERED_KEPT_MS && self.order.len() <= MAX_ANSWERED {
                return;
            }
            self.verdicts.remove(id);
            self.order.pop_front();
        }
    }
}
