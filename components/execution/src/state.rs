//! Serializable snapshot of an agent's state.

use std::collections::BTreeMap;

use model::{FirmKey, Generation, ProcessKey, ShardKey};
use serde::Serialize;

use crate::agent::Agent;
use crate::counters::Counters;
use crate::fence::Shard;
use crate::table::Job;
use crate::task::State;

/// State of an agent, complete or limited to one firm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AgentState {
    /// Incarnation of the agent.
    pub key: ProcessKey,
    /// Whether owners may send tasks.
    pub ready: bool,
    /// Whether the agent is draining.
    pub draining: bool,
    /// Maximum number of concurrent calls to the target when it is not in back-off.
    pub slots: u16,
    /// Revision of the rules that are in effect.
    pub config_revision: u64,
    /// Tasks running at the target.
    pub running: usize,
    /// Tasks queued at the agent.
    pub queued: usize,
    /// Outcomes and refusals that no owner has acknowledged.
    pub unacknowledged: usize,
    /// Task records stored.
    pub records: usize,
    /// Size of the stored results.
    pub result_bytes: usize,
    /// The shards, in order.
    pub shards: Vec<ShardState>,
    /// The owners with a live heartbeat, in order; empty in the state of one firm.
    pub owners: Vec<OwnerState>,
    /// Counters of the process; absent in the state of one firm.
    pub process: Option<Counters>,
    /// Counters of each firm.
    pub firms: BTreeMap<FirmKey, Counters>,
}

/// State of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShardState {
    /// The shard.
    pub shard: ShardKey,
    /// The newest generation that fenced, if any.
    pub generation: Option<Generation>,
    /// The owner that fenced with the newest generation.
    pub owner: Option<ProcessKey>,
    /// Jobs with records.
    pub jobs: usize,
}

/// State of one owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OwnerState {
    /// Incarnation of the owner.
    pub key: ProcessKey,
    /// Tasks the owner may have outstanding.
    pub window: u16,
    /// Tasks queued at the owner.
    pub backlog: u32,
}

impl Agent {
    /// Returns the complete state.
    #[must_use]
    pub fn state(&self) -> AgentState {
        let mut state = self.describe(|_| true);
        state.owners = self.owner_states();
        state.process = Some(self.counters.process.clone());
        state
    }

    /// Returns the state limited to `firm`.
    #[must_use]
    pub fn state_of(&self, firm: FirmKey) -> AgentState {
        self.describe(|key| key == firm)
    }

    fn describe(&self, includes: impl Fn(FirmKey) -> bool) -> AgentState {
        let mut state = AgentState {
            key: self.settings.key,
            ready: self.is_ready(),
            draining: self.draining,
            slots: self.target.max_concurrent_calls(),
            config_revision: self.config_revision,
            running: 0,
            queued: 0,
            unacknowledged: 0,
            records: 0,
            result_bytes: 0,
            shards: Vec::new(),
            owners: Vec::new(),
            process: None,
            firms: BTreeMap::new(),
        };
        for job in self.table.jobs().filter(|job| includes(job.key.firm)) {
            state.add_job(job);
        }
        let shards = self.shards.iter().filter(|(key, _)| includes(key.firm));
        state.shards = shards
            .map(|(&key, shard)| shard_state(key, shard))
            .collect();
        state.shards.sort_unstable_by_key(|shard| shard.shard);
        let firms = self
            .counters
            .firms
            .iter()
            .filter(|(key, _)| includes(**key));
        state.firms = firms
            .map(|(&key, counters)| (key, counters.clone()))
            .collect();
        state
    }

    fn owner_states(&self) -> Vec<OwnerState> {
        let mut owners: Vec<_> = self
            .owners
            .iter()
            .map(|(key, owner)| OwnerState {
                key,
                window: self.load(key).window,
                backlog: owner.backlog,
            })
            .collect();
        owners.sort_unstable_by_key(|owner| owner.key);
        owners
    }
}

impl AgentState {
    fn add_job(&mut self, job: &Job) {
        self.records += job.tasks.len();
        for task in &job.tasks {
            self.running += usize::from(matches!(task.state, State::Running(_)));
            self.queued += usize::from(matches!(task.state, State::Queued(_)));
            self.unacknowledged += usize::from(task.unacknowledged().is_some());
            self.result_bytes += task.result_bytes();
        }
    }
}

fn shard_state(shard: ShardKey, known: &Shard) -> ShardState {
    ShardState {
        shard,
        generation: known.fenced.map(|(generation, _)| generation),
        owner: known.fenced.map(|(_, owner)| owner),
        jobs: known.jobs.len(),
    }
}
