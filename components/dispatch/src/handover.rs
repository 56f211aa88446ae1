//! Export and import of a shard's table, for a planned handover to the next owner.

use model::{Attempt, Generation, JobMeta, ProcessKey, TaskSpec};
use serde::{Deserialize, Serialize};

use crate::job::{Job, TaskPhase};
use crate::records::Record;
use crate::shard::{Shard, ShardContext};

/// Snapshot of a shard's jobs and records for its next owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShardTable {
    pub(crate) generation: Generation,
    pub(crate) horizon_unix_ms: u64,
    pub(crate) complete: bool,
    pub(crate) jobs: Vec<JobExport>,
    pub(crate) records: Vec<Record>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct JobExport {
    meta: JobMeta,
    has_payloads: bool,
    conflict_unix_ms: u64,
    tasks: Vec<(TaskSpec, Attempt, u32, PhaseExport)>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum PhaseExport {
    Waiting,
    Sent { agent: ProcessKey },
    Done(bytes::Bytes),
}

impl Shard {
    /// Exports the shard's table.
    pub fn export(&self, cx: &ShardContext<'_>) -> ShardTable {
        ShardTable {
            generation: self.record.generation,
            horizon_unix_ms: self.horizon_unix_ms,
            complete: self.complete,
            jobs: self.jobs.values().map(|job| export_job(cx, job)).collect(),
            records: self.records.iter().cloned().collect(),
        }
    }

    /// Imports the previous owner's table, before the agents are fenced.
    pub fn import(&mut self, cx: &mut ShardContext<'_>, table: ShardTable) {
        self.is_unplanned_takeover = false;
        self.horizon_unix_ms = table.horizon_unix_ms;
        self.complete = table.complete;
        for record in table.records {
            self.records.insert(record);
        }
        for job in table.jobs {
            self.import_job(cx, job);
        }
    }

    fn import_job(&mut self, cx: &mut ShardContext<'_>, export: JobExport) {
        self.arrival_count += 1;
        let mut job = Job::recovered(export.meta, self.arrival_count, cx.now_us, cx.now_unix_ms);
        job.has_payloads = export.has_payloads;
        job.conflict_unix_ms = export.conflict_unix_ms;
        let mut waiting = Vec::new();
        for (index, (spec, attempt, attempts_made, phase)) in export.tasks.into_iter().enumerate() {
            let task = &mut job.tasks[index];
            task.kind = spec.kind;
            task.declared_us = spec.declared_us;
            task.payload = spec.payload;
            task.attempt = attempt;
            task.attempts_made = attempts_made;
            match phase {
                PhaseExport::Waiting => waiting.push(index as u16),
                PhaseExport::Sent { agent } => {
                    // If the agent is unknown, the task's outcome stays unknown until the deadline.
                    let agent = cx.agents.find(agent).unwrap_or_default();
                    if let Some(view) = cx.agents.get_mut(agent) {
                        view.outstanding += 1;
                    }
                    self.in_progress += 1;
                    task.phase = TaskPhase::Sent {
                        agent,
                        sent_us: cx.now_us,
                        acknowledged: false,
                    };
                }
                PhaseExport::Done(result) => {
                    job.unfinished -= 1;
                    task.phase = TaskPhase::Done(result);
                }
            }
        }
        job.waiting.clone_from(&waiting);
        let key = job.meta.key;
        let deadline_us = job.deadline_us;
        let has_payloads = job.has_payloads;
        let slot = self.jobs.insert(job);
        self.by_key.insert(key, slot);
        self.deadlines.insert((deadline_us, slot));
        if has_payloads && !waiting.is_empty() {
            self.enqueue(cx, slot, &waiting);
        }
    }
}

fn export_job(cx: &ShardContext<'_>, job: &Job) -> JobExport {
    let tasks = job
        .tasks
        .iter()
        .map(|task| {
            let spec = TaskSpec {
                kind: task.kind,
                declared_us: task.declared_us,
                payload: task.payload.clone(),
            };
            (
                spec,
                task.attempt,
                task.attempts_made,
                export_phase(cx, &task.phase),
            )
        })
        .collect();
    JobExport {
        meta: job.meta.clone(),
        has_payloads: job.has_payloads,
        conflict_unix_ms: job.conflict_unix_ms,
        tasks,
    }
}

fn export_phase(cx: &ShardContext<'_>, phase: &TaskPhase) -> PhaseExport {
    match phase {
        TaskPhase::Waiting => PhaseExport::Waiting,
        TaskPhase::Sent { agent, .. } => PhaseExport::Sent {
            agent: cx
                .agents
                .get(*agent)
                .map_or(ProcessKey(0), |view| view.info.key),
        },
        TaskPhase::Done(result) => PhaseExport::Done(result.clone()),
    }
}
