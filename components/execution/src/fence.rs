//! Generations of shards and the answers to fences.

use model::{
    AgentMessage, Fence, Generation, JobRecord, ProcessKey, ShardKey, TaskRecord, TaskState,
};
use rustc_hash::FxHashSet;

use crate::agent::Agent;
#[cfg(feature = "mutants")]
use crate::mutation::Mutation;
use crate::outbox::{job_header_bytes, task_bytes};
use crate::table::{Job, JobSlot, TaskSlot};
use crate::task::{Delivery, State, Task};

/// Size above which an answer to a fence is split into another part.
const MAX_PART_BYTES: usize = 256 << 10;

/// Consecutive tasks of one job in one part of an answer to a fence.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskRange {
    job: JobSlot,
    first: u16,
    last: u16,
}

/// State of one shard at this agent.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    /// The newest generation and the owner that fenced with it.
    pub fenced: Option<(Generation, ProcessKey)>,
    pub jobs: FxHashSet<JobSlot>,
    /// The tasks recorded when the newest generation fenced, divided into the parts of the
    /// answer. The division stays fixed so that the owner can combine parts of repeated answers.
    pub parts: Vec<Vec<TaskRange>>,
}

/// Authority of a sender over a shard, by the generation in its message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Authority {
    /// Has sent the fence of the newest generation.
    Owner,
    /// Has an older generation.
    Stale,
    /// Has a newer generation than any fence received, or no fence was received.
    Unfenced,
    /// Uses the newest generation, whose fence another process sent.
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
            Authority::Unfenced => self.accept_generation(from, fence),
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

    fn accept_generation(&mut self, from: ProcessKey, fence: &Fence) {
        let shard = self.shards.entry(fence.shard).or_default();
        shard.fenced = Some((fence.generation, from));
        let mut jobs: Vec<JobSlot> = shard.jobs.iter().copied().collect();
        jobs.sort_unstable();
        for &job in &jobs {
            self.hand_over_job(job);
        }
        let parts = self.divide_into_parts(&jobs);
        if let Some(shard) = self.shards.get_mut(&fence.shard) {
            shard.parts = parts;
        }
    }

    /// Hands a job over to a new owner: drops its queued tasks and stops its resends.
    fn hand_over_job(&mut self, job_slot: JobSlot) {
        let Some(job) = self.table.job_mut(job_slot) else {
            return;
        };
        job.is_settled = false;
        let indices: Vec<u16> = job.tasks.iter().map(|task| task.index).collect();
        for index in indices {
            let task_slot = TaskSlot {
                job: job_slot,
                index,
            };
            self.drop_queued(task_slot);
            self.table.update(task_slot, |task| match &mut task.state {
                State::Idle { unacknowledged } => *unacknowledged = None,
                State::Finished(done) if done.delivery == Delivery::Unacknowledged => {
                    done.delivery = Delivery::Fenced;
                }
                _ => {}
            });
        }
    }

    fn drop_queued(&mut self, task_slot: TaskSlot) {
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::FenceKeepsQueued) {
            return;
        }
        if let Some(attempt) = self.dequeue(task_slot) {
            self.table
                .update(task_slot, |task| task.raise_tombstone(attempt));
        }
    }

    fn divide_into_parts(&self, jobs: &[JobSlot]) -> Vec<Vec<TaskRange>> {
        let mut parts = Vec::new();
        let mut part = Vec::new();
        let mut part_bytes = 0;
        for &job_slot in jobs {
            for (range, bytes) in self.task_ranges(job_slot) {
                if part_bytes + bytes > MAX_PART_BYTES && !part.is_empty() {
                    parts.push(std::mem::take(&mut part));
                    part_bytes = 0;
                }
                part.push(range);
                part_bytes += bytes;
            }
        }
        if !part.is_empty() {
            parts.push(part);
        }
        parts
    }

    /// Divides a job into ranges that each fit into a part; a single task may exceed it.
    fn task_ranges(&self, job_slot: JobSlot) -> Vec<(TaskRange, usize)> {
        let mut task_ranges: Vec<(TaskRange, usize)> = Vec::new();
        let Some((job, meta)) = self
            .table
            .job(job_slot)
            .and_then(|job| Some((job, job.meta.as_ref()?)))
        else {
            return task_ranges;
        };
        let header_bytes = job_header_bytes(meta.id.len());
        for task in &job.tasks {
            let bytes = task_record_bytes(task);
            match task_ranges.last_mut() {
                Some((range, total)) if *total + bytes <= MAX_PART_BYTES => {
                    range.last = task.index;
                    *total += bytes;
                }
                _ => {
                    let range = TaskRange {
                        job: job_slot,
                        first: task.index,
                        last: task.index,
                    };
                    task_ranges.push((range, header_bytes + bytes));
                }
            }
        }
        task_ranges
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
        for (part, task_ranges) in (0..).zip(parts) {
            let jobs = task_ranges
                .iter()
                .filter_map(|range| self.job_record(range))
                .collect();
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

    /// Answers with the newest generation only, so that the sender learns that it is stale.
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

    fn job_record(&self, range: &TaskRange) -> Option<JobRecord> {
        let job: &Job = self.table.job(range.job)?;
        let tasks = job
            .tasks
            .iter()
            .filter(|task| (range.first..=range.last).contains(&task.index))
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

/// Returns the record of a task; `None` if it has not started and has no tombstone.
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
