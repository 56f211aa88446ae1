//! State of an entry's decisions, for dumps and lists.

use model::{FirmKey, JobKey, ShardKey};
use serde::Serialize;

use crate::agents::{AgentView, Agents};
use crate::counters::Counters;
use crate::dispatcher::Dispatcher;
use crate::job::{Job, TaskPhase};
use crate::shard::{Phase, Shard};

/// Jobs listed for each shard; a dump is for people.
const MAX_LISTED_JOBS: usize = 1_000;

/// State of an entry's decisions.
#[derive(Debug, Clone, Serialize)]
pub struct DispatcherState {
    /// Incarnation of the entry.
    pub entry: String,
    /// Revision of the configuration in force.
    pub config_revision: u64,
    /// Shards owned by this entry.
    pub shards: Vec<ShardState>,
    /// Agents known to this entry.
    pub agents: Vec<AgentState>,
    /// Other entries and the time since they were last heard, in milliseconds.
    pub peers: Vec<PeerState>,
    /// Counts since the start; left out of a single firm's dump.
    pub counters: Option<Counters>,
}

/// State of a shard.
#[derive(Debug, Clone, Serialize)]
pub struct ShardState {
    /// The shard.
    pub shard: String,
    /// Generation of the owner.
    pub generation: u64,
    /// Phase of the shard.
    pub phase: &'static str,
    /// Time for which the authority still holds, in microseconds.
    pub authority_left_us: u64,
    /// Submissions dated up to here are refused if unknown, in Unix milliseconds.
    pub horizon_unix_ms: u64,
    /// Agents on the roster.
    pub members: usize,
    /// Agents that answered the fence.
    pub fenced: usize,
    /// Jobs in progress.
    pub jobs: Vec<JobSummary>,
    /// Records of answered and refused jobs.
    pub records: usize,
    /// Copies that wait for a decision.
    pub parked: usize,
    /// Tasks that wait.
    pub waiting_tasks: u32,
    /// Tasks at agents.
    pub tasks_in_progress: u32,
}

/// A job in a list.
#[derive(Debug, Clone, Serialize)]
pub struct JobSummary {
    /// Id chosen by the client.
    pub id: String,
    /// Number of tasks.
    pub task_count: u16,
    /// Tasks that have finished.
    pub done: u16,
    /// Tasks at agents.
    pub sent: u16,
    /// Copies that wait for the answer.
    pub waiters: usize,
    /// Time until the deadline, in milliseconds.
    pub deadline_left_ms: u64,
}

/// State of an agent as this entry sees it.
#[derive(Debug, Clone, Serialize)]
pub struct AgentState {
    /// Incarnation of the agent.
    pub agent: String,
    /// Address of the agent.
    pub address: String,
    /// Failure domain of the agent's host.
    pub failure_domain: String,
    /// Time since it was last heard, in milliseconds.
    pub silent_ms: u64,
    /// Tasks that it may have outstanding from this entry.
    pub window: u16,
    /// Tasks that it has outstanding from this entry.
    pub outstanding: u32,
    /// Whether it takes tasks.
    pub ready: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Run time relative to other agents.
    pub slowness: f64,
    /// Weighted share of failed tasks.
    pub failure_rate: f64,
    /// Whether it is out of service for its failures.
    pub ejected: bool,
    /// Revision of the rules in force there.
    pub config_revision: u64,
}

/// Another entry.
#[derive(Debug, Clone, Serialize)]
pub struct PeerState {
    /// Incarnation of the entry.
    pub entry: String,
    /// Address of the entry.
    pub address: String,
    /// Time since it was last heard, in milliseconds.
    pub silent_ms: u64,
}

/// State of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobState {
    /// In progress; tasks finished and tasks in all.
    InProgress(u16, u16),
    /// Answered.
    Answered(model::Answer),
    /// Not known at its owner.
    Unknown,
}

impl Dispatcher {
    /// Returns the state, of one firm only if one is given.
    #[must_use]
    pub fn state(&self, now_us: u64, firm: Option<FirmKey>) -> DispatcherState {
        let shards = self
            .shards()
            .filter(|shard| firm.is_none_or(|firm| shard.firm() == firm))
            .map(|shard| shard_state(shard, now_us))
            .collect();
        DispatcherState {
            entry: self.me().to_string(),
            config_revision: self.rules().revision,
            shards,
            agents: agent_states(self.agents(), now_us, firm),
            peers: match firm {
                Some(_) => Vec::new(),
                None => self.peer_states(now_us),
            },
            counters: firm.is_none().then(|| self.counters().clone()),
        }
    }

    /// Returns the state of a job in a shard of this entry.
    #[must_use]
    pub fn job_state(&self, shard: ShardKey, key: JobKey) -> JobState {
        let Some(shard) = self.shard(shard) else {
            return JobState::Unknown;
        };
        if let Some((done, count)) = shard.progress(key) {
            return JobState::InProgress(done, count);
        }
        match shard.records.get(key) {
            Some(record) => JobState::Answered(record.answer.clone()),
            None => JobState::Unknown,
        }
    }
}

fn shard_state(shard: &Shard, now_us: u64) -> ShardState {
    ShardState {
        shard: shard.key.to_string(),
        generation: shard.record.generation.0,
        phase: match shard.phase {
            Phase::Fencing { .. } => "fencing",
            Phase::Serving => "serving",
        },
        authority_left_us: shard.authority_until_us.saturating_sub(now_us),
        horizon_unix_ms: shard.horizon_unix_ms,
        members: shard.members.len(),
        fenced: shard.members.iter().filter(|member| member.fenced).count(),
        jobs: shard
            .jobs
            .values()
            .take(MAX_LISTED_JOBS)
            .map(|job| job_summary(job, now_us))
            .collect(),
        records: shard.records.len(),
        parked: shard.parked.len(),
        waiting_tasks: shard.queues.values().map(|queue| queue.waiting_tasks).sum(),
        tasks_in_progress: shard.in_progress,
    }
}

fn job_summary(job: &Job, now_us: u64) -> JobSummary {
    let count = |wanted: fn(&TaskPhase) -> bool| {
        job.tasks.iter().filter(|task| wanted(&task.phase)).count() as u16
    };
    JobSummary {
        id: job.meta.id.clone(),
        task_count: job.meta.task_count,
        done: count(|phase| matches!(phase, TaskPhase::Done(_))),
        sent: count(|phase| matches!(phase, TaskPhase::Sent { .. })),
        waiters: job.waiters.len(),
        deadline_left_ms: job.deadline_us.saturating_sub(now_us) / 1_000,
    }
}

fn agent_states(agents: &Agents, now_us: u64, firm: Option<FirmKey>) -> Vec<AgentState> {
    agents
        .iter()
        .map(|(_, view)| view)
        .filter(|view| firm.is_none_or(|firm| serves_firm(view, firm)))
        .map(|view| AgentState {
            agent: view.info.key.to_string(),
            address: view.info.address.clone(),
            failure_domain: view.info.failure_domain.clone(),
            silent_ms: now_us.saturating_sub(view.last_contact_us) / 1_000,
            window: view.load.window,
            outstanding: view.outstanding,
            ready: view.load.ready,
            draining: view.info.draining,
            slowness: view.slowness,
            failure_rate: view.health.failure_rate,
            ejected: view.health.is_ejected(now_us),
            config_revision: view.load.config_revision,
        })
        .collect()
}

/// Tells whether the agent serves the firm alone; shared agents' loads would show others' work.
fn serves_firm(view: &AgentView, firm: FirmKey) -> bool {
    view.info
        .target
        .as_ref()
        .is_some_and(|target| target.firms == [firm])
}
