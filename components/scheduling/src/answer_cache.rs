//! Cache of recent answers, which deduplicates copies of a request that arrive after its answer.

use std::collections::VecDeque;
use std::rc::Rc;

use model::JobId;
use rustc_hash::FxHashMap;

use crate::limits::{ANSWER_RETENTION_MS, MAX_RETAINED_ANSWERS};
use crate::verdict::Verdict;

/// The final answers of recent jobs, with bounds on their age and number.
#[derive(Debug, Default)]
pub(crate) struct AnswerCache {
    /// Queue and answer of each job.
    verdicts: FxHashMap<JobId, (Rc<str>, Verdict)>,
    insertion_order: VecDeque<(u64, JobId)>,
}

impl AnswerCache {
    /// Stores an answer if it is final, so that it also applies to every later copy of the job.
    pub(crate) fn insert(&mut self, now_ms: u64, queue: &Rc<str>, id: JobId, verdict: Verdict) {
        let is_final = matches!(
            verdict,
            Verdict::Completed | Verdict::Failed | Verdict::Cancelled
        );
        if is_final
            && self
                .verdicts
                .insert(id, (Rc::clone(queue), verdict))
                .is_none()
        {
            self.insertion_order.push_back((now_ms, id));
        }
        self.evict(now_ms);
    }

    /// Returns the answer of a job.
    pub(crate) fn get(&self, id: JobId) -> Option<Verdict> {
        self.verdicts.get(&id).map(|(_, verdict)| *verdict)
    }

    /// Returns the answer of a job of a queue.
    pub(crate) fn get_of(&self, queue: &str, id: JobId) -> Option<Verdict> {
        let (of, verdict) = self.verdicts.get(&id)?;
        (&**of == queue).then_some(*verdict)
    }

    fn evict(&mut self, now_ms: u64) {
        while let Some((at_ms, id)) = self.insertion_order.front() {
            if now_ms < at_ms + ANSWER_RETENTION_MS
                && self.insertion_order.len() <= MAX_RETAINED_ANSWERS
            {
                return;
            }
            self.verdicts.remove(id);
            self.insertion_order.pop_front();
        }
    }
}
