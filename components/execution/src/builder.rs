//! Construction of an agent.

use model::ProcessKey;

use crate::agent::Agent;
#[cfg(feature = "mutants")]
use crate::mutation::Mutation;

const DEFAULT_QUEUE_TASKS: usize = 1_024;
const DEFAULT_RESULT_BYTES: usize = 64 << 20;
const DEFAULT_RECORDS: usize = 1 << 20;
const DEFAULT_LOOKAHEAD_TASKS: u16 = 4;
const DEFAULT_CALL_TIMEOUT_US: u64 = 60_000_000;
const DEFAULT_DRAIN_WAIT_US: u64 = 5_000_000;

#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub key: ProcessKey,
    pub max_queue_tasks: usize,
    pub max_result_bytes: usize,
    pub max_records: usize,
    pub lookahead_tasks: u16,
    pub call_timeout_us: u64,
    pub drain_wait_us: u64,
    #[cfg(feature = "mutants")]
    pub mutation: Option<Mutation>,
}

/// Builds an [`Agent`].
#[derive(Debug, Clone)]
pub struct AgentBuilder {
    settings: Settings,
}

impl AgentBuilder {
    /// Creates a builder with default settings for the incarnation `key`.
    #[must_use]
    pub fn new(key: ProcessKey) -> Self {
        Self {
            settings: Settings {
                key,
                max_queue_tasks: DEFAULT_QUEUE_TASKS,
                max_result_bytes: DEFAULT_RESULT_BYTES,
                max_records: DEFAULT_RECORDS,
                lookahead_tasks: DEFAULT_LOOKAHEAD_TASKS,
                call_timeout_us: DEFAULT_CALL_TIMEOUT_US,
                drain_wait_us: DEFAULT_DRAIN_WAIT_US,
                #[cfg(feature = "mutants")]
                mutation: None,
            },
        }
    }

    /// Sets the maximum number of queued tasks.
    #[must_use]
    pub fn max_queue_tasks(mut self, max_queue_tasks: usize) -> Self {
        self.settings.max_queue_tasks = max_queue_tasks;
        self
    }

    /// Sets the size of stored results above which delivered results are dropped.
    ///
    /// Starts are refused once the remaining results reach that size.
    #[must_use]
    pub fn max_result_bytes(mut self, max_result_bytes: usize) -> Self {
        self.settings.max_result_bytes = max_result_bytes;
        self
    }

    /// Sets how many task records are stored before tasks without a record are refused.
    #[must_use]
    pub fn max_records(mut self, max_records: usize) -> Self {
        self.settings.max_records = max_records;
        self
    }

    /// Sets how many tasks owners may have outstanding in addition to the target's slots.
    #[must_use]
    pub fn lookahead_tasks(mut self, lookahead_tasks: u16) -> Self {
        self.settings.lookahead_tasks = lookahead_tasks;
        self
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub fn call_timeout_us(mut self, call_timeout_us: u64) -> Self {
        self.settings.call_timeout_us = call_timeout_us;
        self
    }

    /// Sets how long a draining agent without running calls waits for acknowledgements.
    #[must_use]
    pub fn drain_wait_us(mut self, drain_wait_us: u64) -> Self {
        self.settings.drain_wait_us = drain_wait_us;
        self
    }

    /// Disables one check of the agent.
    #[cfg(feature = "mutants")]
    #[must_use]
    pub fn mutation(mut self, mutation: Mutation) -> Self {
        self.settings.mutation = Some(mutation);
        self
    }

    /// Builds the agent.
    #[must_use]
    pub fn build(self) -> Agent {
        Agent::new(self.settings)
    }
}
