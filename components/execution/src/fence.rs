//! Generations of shards and the answers to fences.

use model::{
    AgentMessage, Fence, Generation, JobRecord, ProcessKey, ShardKey, TaskRecord, TaskState,
};
use rustc_hash::FxHashSet;

use crate::agent::Agent;
#[cfg(feature = "mutants")]
use crate::mutation::Mutation;
use crate::outbox::{job_header_bytes, task_bytes};
use crate::table::{Job, JobRef, TaskRef};
use crate::task::{Delivery, State, Task};

/// Size above which an answer to a fence continues in another part.
const PART_BYTES: usize = 256 << 10;

/// Consecutive tasks of one job in a part of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Span {
    job: JobRef,
    first: u16,
    last: u16,
}

/// What the agent knows of one shard.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    /// The newest generation and the owner that fenced with it.
    pub fenced: Option<(Generation, ProcessKey)>,
    pub jobs: FxHashSet<JobRef>,
    /// What was known when the newest generation fenced. The division into parts stays
    /// as it is, so that parts of repeated answers can be combined.
    pub parts: Vec<Vec<Span>>,
}

/// How the sender of a message relates to the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Authority {
    /// Fenced with the newest generation.
    Owner,
    /// Has an older generation.
    Stale,
    /// Has a generation that was not fenced here.
    Unfenced,
    /// Claims the newest generation of another owner.
    Conflicting,
}

impl Agent {
    pub(crate) fn fenced(&self, shard: ShardKey) -> Option<(Generation, ProcessKey)> {
        self.shards.get(&shard).and_then(|shard| shard.fenced)
    }

    pub(crate) fn owner(&self, shard: ShardKey) -> Option<ProcessKey> {
        self.fenced(shard).map(|(_, owner)| owner)
    }

    pub(crate) fn is_owner(&self, shard: ShardKey, from: ProcessKey) -> bool {
        self.owner(shard) == Some(from)
    }

    pub(crate) fn authority(
        &self,
        shard: ShardKey,
        generation: Generation,
        from: ProcessKey,
    ) -> Authority {
        let Some((newest, owner)) = self.fenced(shard) else {
            return Authority::Unfenced;
        };
        if generation > newest {
            return Authority::Unfenced;
        }
        if generation < newest {
            return Authority::Stale;
        }
        if owner == from {
            Authority::Owner
        } else {
            Authority::Conflicting
        }
    }

    pub(crate) fn fence(&mut self, from: ProcessKey, fence: &Fence) {
        match self.authority(fence.shard, fence.generation, from) {
            Authority::Owner => {}
            Authority::Unfenced => self.adopt(from, fence),
            Authority::Conflicting => {
                self.counters.firm(fence.shard.firm).conflicting += 1;
                return;
            }
            Authority::Stale => {
                self.counters.firm(fence.shard.firm).stale += 1;
                self.answer_stale_fence(from, fence.shard);
                return;
            }
        }
        self.answer_fence(from, fence.shard);
    }

    fn adopt(&mut self, from: ProcessKey, fence: &Fence) {
        let shard = self.shards.entry(fence.shard).or_default();
        shard.fenced = Some((fence.generation, from));
        let mut jobs: Vec<JobRef> = shard.jobs.iter().copied().collect();
        jobs.sort_unstable();
        for &job in &jobs {
            self.hand_over(job);
        }
        let parts = self.divide(&jobs);
        if let Some(shard) = self.shards.get_mut(&fence.shard) {
            shard.parts = parts;
        }
    }

    /// Takes a job from the previous owner: drops what waits, stops what is sent again.
    fn hand_over(&mut self, at: JobRef) {
        let Some(job) = self.table.job_mut(at) else {
            return;
        };
        job.settled = false;
        let indices: Vec<u16> = job.tasks.iter().map(|task| task.index).collect();
        for index in indices {
            let at = TaskRef { job: at, index };
            self.drop_queued(at);
            self.table.update(at, |task| match &mut task.state {
                State::Idle { unacknowledged } => *unacknowledged = None,
                State::Finished(done) if done.delivery == Delivery::Unacknowledged => {
                    done.delivery = Delivery::Fenced;
                }
                _ => {}
            });
        }
    }

    fn drop_queued(&mut self, at: TaskRef) {
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::FenceKeepsQueued) {
            return;
        }
        if let Some(attempt) = self.dequeue(at) {
            self.table.update(at, |task| task.raise_tombstone(attempt));
        }
    }

    fn divide(&self, jobs: &[JobRef]) -> Vec<Vec<Span>> {
        let mut parts = Vec::new();
        let mut part = Vec::new();
        let mut part_bytes = 0;
        for &at in jobs {
            for (span, bytes) in self.spans(at) {
                if part_bytes + bytes > PART_BYTES && !part.is_empty() {
                    parts.push(std::mem::take(&mut part));
                    part_bytes = 0;
                }
                part.push(span);
                part_bytes += bytes;
            }
        }
        if !part.is_empty() {
            parts.push(part);
        }
        parts
    }

    /// Divides a job into spans that each fit a part, unless a single task does not.
    fn spans(&self, at: JobRef) -> Vec<(Span, usize)> {
        let mut spans: Vec<(Span, usize)> = Vec::new();
        let Some((job, meta)) = self
            .table
            .job(at)
            .and_then(|job| Some((job, job.meta.as_ref()?)))
        else {
            return spans;
        };
        let header_bytes = job_header_bytes(meta.id.len());
        for task in &job.tasks {
            let bytes = task_record_bytes(task);
            match spans.last_mut() {
                Some((span, total)) if *total + bytes <= PART_BYTES => {
                    span.last = task.index;
                    *total += bytes;
                }
                _ => {
                    let span = Span {
                        job: at,
                        first: task.index,
                        last: task.index,
                    };
                    spans.push((span, header_bytes + bytes));
                }
            }
        }
        spans
    }

    fn answer_fence(&mut self, to: ProcessKey, key: ShardKey) {
        let Some(shard) = self.shards.get(&key) else {
            return;
        };
        let Some((generation, _)) = shard.fenced else {
            return;
        };
        let empty = vec![Vec::new()];
        let parts = if shard.parts.is_empty() {
            &empty
        } else {
            &shard.parts
        };
        let part_count = parts.len() as u32;
        for (part, spans) in (0..).zip(parts) {
            let jobs = spans.iter().filter_map(|span| self.record(span)).collect();
            let message = AgentMessage::Fenced {
                shard: key,
                generation,
                part,
                part_count,
                jobs,
            };
            self.outbox.push(to, message);
        }
    }

    fn answer_stale_fence(&mut self, to: ProcessKey, shard: ShardKey) {
        let Some((generation, _)) = self.fenced(shard) else {
            return;
        };
        let message = AgentMessage::Fenced {
            shard,
            generation,
            part: 0,
            part_count: 1,
            jobs: Vec::new(),
        };
        self.outbox.push(to, message);
    }

    fn record(&self, span: &Span) -> Option<JobRecord> {
        let job: &Job = self.table.job(span.job)?;
        let tasks = job
            .tasks
            .iter()
            .filter(|task| (span.first..=span.last).contains(&task.index))
            .filter_map(task_record)
            .collect();
        Some(JobRecord {
            meta: job.meta.clone()?,
            tasks,
        })
    }
}

fn task_record_bytes(task: &Task) -> usize {
    match &task.state {
        State::Finished(done) => task_bytes(done.outcome.as_ref()),
        _ => task_bytes(None),
    }
}

/// Describes a task; nothing if it waits and none of its attempts is ruled out.
fn task_record(task: &Task) -> Option<TaskRecord> {
    let (attempt, state) = match &task.state {
        State::Idle { .. } | State::Queued(_) => (task.tombstoned?, TaskState::NotStarted),
        State::Running(running) => (running.attempt, TaskState::Running),
        State::Finished(done) => match &done.outcome {
            Some(outcome) => (done.attempt, TaskState::Finished(outcome.clone())),
            None => (done.attempt, TaskState::ResultDropped),
        },
    };
    Some(TaskRecord {
        index: task.index,
        attempt,
        state,
    })
}
