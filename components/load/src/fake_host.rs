//! Fake host: a real agent with a fake target.

use std::collections::BTreeMap;

use execution::{Agent, AgentBuilder, CallKey, CallOutcome};
use model::{AgentInfo, FirmKey, GroupKey, ProcessKey, TargetInfo};
use rustc_hash::FxHashSet;

use crate::deployment::{CONNECTIONS, SLOTS};

/// Time after which a failed call returns, in microseconds.
const FAILURE_DELAY_US: u64 = 1_000;

/// Round trip of a call between the agent and its target, in microseconds.
const CALL_ROUND_TRIP_US: u64 = 100;

/// An agent and its fake target.
#[derive(Debug)]
pub struct FakeHost {
    /// The agent.
    pub agent: Agent,
    /// Number of times that the agent was restarted.
    pub incarnation: u64,
    /// Address of the agent.
    pub address: String,
    /// Whether the host is up.
    pub is_alive: bool,
    /// Whether the agent is draining before a planned stop.
    pub is_draining: bool,
    /// Whether the target fails every task.
    pub is_failing: bool,
    /// Run time relative to a target of slowness one.
    pub slowness: f64,
    /// Time of the next scheduled timer event; `u64::MAX` if there is none.
    pub wake_us: u64,
    /// Aborted calls whose original end is still scheduled and will be ignored.
    pub aborted: FxHashSet<CallKey>,
    /// Counters of earlier incarnations of the agent, by name.
    pub past_counters: BTreeMap<&'static str, u64>,
    position: usize,
}

impl FakeHost {
    /// Creates the host at a position of the deployment.
    #[must_use]
    pub fn new(position: usize, slowness: f64) -> Self {
        Self {
            agent: AgentBuilder::new(agent_key(position, 0)).build(),
            incarnation: 0,
            address: format!("10.0.0.{position}:7000"),
            is_alive: true,
            is_draining: false,
            is_failing: false,
            slowness,
            wake_us: u64::MAX,
            aborted: FxHashSet::default(),
            past_counters: BTreeMap::new(),
            position,
        }
    }

    /// Replaces the agent by a new incarnation.
    pub fn restart(&mut self) {
        self.add_past_counters();
        self.incarnation += 1;
        self.agent = AgentBuilder::new(agent_key(self.position, self.incarnation)).build();
        self.is_draining = false;
        self.wake_us = u64::MAX;
        self.aborted.clear();
    }

    /// Returns the announcement of a target.
    #[must_use]
    pub fn target_info(group: GroupKey, firms: &[FirmKey]) -> TargetInfo {
        TargetInfo {
            group,
            firms: firms.to_vec(),
            slots: SLOTS,
            connections: CONNECTIONS,
        }
    }

    /// Returns the announcement of the agent.
    #[must_use]
    pub fn info(&self, domain: usize, target: TargetInfo) -> AgentInfo {
        AgentInfo {
            key: self.agent.key(),
            address: self.address.clone(),
            failure_domain: format!("domain-{domain}"),
            target: Some(target),
            draining: self.is_draining,
        }
    }

    /// Returns the run time of a task and the outcome of its call.
    #[must_use]
    pub fn run(&self, work_us: u64, is_straggler: bool, is_broken: bool) -> (u64, CallOutcome) {
        if self.is_failing || is_broken {
            let outcome = CallOutcome::Failed("the task failed".to_owned());
            return (FAILURE_DELAY_US, outcome);
        }
        let factor = if is_straggler { 10.0 } else { 1.0 };
        let run_us = CALL_ROUND_TRIP_US + (work_us as f64 * self.slowness * factor) as u64;
        (
            run_us,
            CallOutcome::Done(bytes::Bytes::from_static(b"done")),
        )
    }

    /// Adds the counters of the present agent to those of its earlier incarnations.
    pub fn add_past_counters(&mut self) {
        for counters in self.agent.state().firms.values() {
            let refused: u64 = counters.refused.values().sum();
            *self.past_counters.entry("duplicate").or_default() += counters.duplicates;
            *self.past_counters.entry("resent_by_agent").or_default() += counters.resent;
            *self.past_counters.entry("refused_by_agent").or_default() += refused;
        }
    }
}

fn agent_key(position: usize, incarnation: u64) -> ProcessKey {
    ProcessKey(1_000 + position as u64 + 100_000 * incarnation)
}
