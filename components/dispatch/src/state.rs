//! Serializable state of the dispatcher, for state dumps and job lists.

use model::{FirmKey, JobKey, ShardKey};
use serde::Serialize;

use crate::agents::{AgentView, Agents};
use crate::counters::Counters;
use crate::dispatcher::Dispatcher;
use crate::job::{Job, TaskPhase};
use crate::shard::{Phase, Shard};

/// Maximum number of jobs listed per shard, to keep a dump readable.
const MAX_LISTED_JOBS: usize = 1_000;

/// State of an entry's dispatcher.
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
    /// Other entries known to this entry.
    pub peers: Vec<PeerState>,
    /// Event counters since the start; left out of a single firm's dump.
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
    /// Remaining time of the authority over the shard, in microseconds.
    pub authority_left_us: u64,
    /// Unknown submissions dated up to this time are refused, in Unix milliseconds.
    pub horizon_unix_ms: u64,
    /// Agents on the roster.
    pub members: usize,
    /// Agents that answered the fence.
    pub fenced: usize,
    /// Jobs in progress.
    pub jobs: Vec<JobSummary>,
    /// Records of answered and refused jobs.
    pub records: usize,
    /// Submissions that wait until the shard can decide about them.
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
    /// Requests that wait for the answer.
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
    /// Time since the last message from the agent, in milliseconds.
    pub silent_ms: u64,
    /// Maximum number of outstanding tasks from this entry.
    pub window: u16,
    /// Number of outstanding tasks from this entry.
    pub outstanding: u32,
    /// Whether the agent accepts tasks.
    pub ready: bool,
    /// Whether the agent is draining.
    pub draining: bool,
    /// Run time relative to the mean of all agents.
    pub slowness: f64,
    /// Exponential moving average of the share of failed tasks.
    pub failure_rate: f64,
    /// Whether the agent is ejected because of its failures.
    pub ejected: bool,
    /// Revision of the rules that the agent applies.
    pub config_revision: u64,
}

/// Another entry.
#[derive(Debug, Clone, Serialize)]
pub struct PeerState {
    /// Incarnation of the entry.
    pub entry: String,
    /// Address of the entry.
    pub address: String,
    /// Time since the last response from the entry, in milliseconds.
    pub silent_ms: u64,
}

/// State of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobState {
    /// In progress, with the number of finished tasks and of all tasks.
    InProgress(u16, u16),
    /// Answered.
    Answered(model::Answer),
    /// Unknown to this entry.
    Unknown,
}

impl Dispatcher {
    /// Returns the state, limited to one firm if given.
    #[must_use]
    pub fn state(&self, now_us: u64, firm: Option<FirmKey>) -> DispatcherState {
        let shards = self
            .shards()
            .filter(|shard| firm.is_none_or(|firm| shard.firm() == firm))
            .map(|shard| shard_state(shard, now_us))
            .collect();
        DispatcherState {
            entry: self.process_key().to_string(),
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

/// Returns whether the agent serves only this firm.
///
/// The load of a shared agent would reveal the work of other firms.
fn serves_firm(view: &AgentView, firm: FirmKey) -> bool {
    view.info
        .target
        .as_ref()
        .is_some_and(|target| target.firms == [firm])
}
