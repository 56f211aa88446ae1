//! Configuration of the dispatcher.

use model::{FirmKey, GroupKey, Rules};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Rules from the operators' configuration.
#[derive(Debug, Clone, Default)]
pub struct DispatchRules {
    /// Revision of the configuration.
    pub revision: u64,
    /// Rules of each firm.
    pub firms: Vec<FirmRules>,
    /// Rules of each target group.
    pub groups: Vec<GroupRules>,
    /// Rules that are sent to agents.
    pub agent_rules: Rules,
}

impl DispatchRules {
    /// Returns the rules of a firm.
    #[must_use]
    pub fn firm(&self, firm: FirmKey) -> Option<&FirmRules> {
        self.firms.iter().find(|rules| rules.firm == firm)
    }

    /// Returns the rules of a group.
    #[must_use]
    pub fn group(&self, group: GroupKey) -> Option<&GroupRules> {
        self.groups.iter().find(|rules| rules.group == group)
    }
}

/// Rules of one firm.
#[derive(Debug, Clone)]
pub struct FirmRules {
    /// The firm.
    pub firm: FirmKey,
    /// Number of shards to create for the firm.
    pub shard_count: u16,
    /// Maximum number of the firm's tasks at agents at the same time.
    pub quota_tasks: u32,
    /// Maximum number of waiting tasks.
    pub max_queue_tasks: u32,
    /// Tasks admitted per second; none means no limit.
    pub rate_tasks_per_s: Option<f64>,
    /// Capacity of the rate limit's token bucket, in tasks.
    pub burst_tasks: u32,
}

/// Rules of one target group.
#[derive(Debug, Clone)]
pub struct GroupRules {
    /// The group.
    pub group: GroupKey,
    /// Firms that may use the group.
    pub firms: Vec<FirmKey>,
    /// Maximum number of placements of a task before its job fails.
    pub max_attempts: u32,
    /// Largest share of the group's agents that may be ejected, in percent.
    pub max_eject_percent: u32,
}

/// How an agent is chosen for a task.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Placement {
    /// Any agent with room.
    Random,
    /// Each agent with room in turn.
    RoundRobin,
    /// The less loaded of two random agents.
    PowerOfTwo,
    /// The agent with the fewest outstanding tasks.
    LeastConnections,
    /// The agent that is expected to finish the task first.
    #[default]
    LeastExpected,
    /// The first version of [`Self::LeastExpected`], kept for comparison.
    #[strum(serialize = "least_expected_v1")]
    LeastExpectedV1,
}

/// Order in which waiting jobs are served.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Order {
    /// By arrival.
    Fifo,
    /// By deadline.
    EarliestDeadline,
    /// By the estimated work, with aging to prevent starvation.
    #[default]
    ShortestRemaining,
}

/// Selection of scheduling and admission algorithms.
#[derive(Debug, Clone)]
pub struct Policy {
    /// How an agent is chosen.
    pub placement: Placement,
    /// Order of waiting jobs.
    pub order: Order,
    /// Whether a job is refused when its deadline cannot be met.
    pub admission: bool,
    /// Whether agents that fail far more often than their group are ejected.
    pub ejection: bool,
    /// Whether a task waits for a fast agent instead of starting at a much slower one.
    pub waits_for_fast_agent: bool,
}

impl Default for Policy {
    fn default() -> Self {
        PolicyBuilder::new().build()
    }
}

/// Builds a [`Policy`].
#[derive(Debug, Clone)]
pub struct PolicyBuilder {
    policy: Policy,
}

impl Default for PolicyBuilder {
    fn default() -> Self {
        Self::new()
    }
}

impl PolicyBuilder {
    /// Builds a builder with the default policy.
    #[must_use]
    pub fn new() -> Self {
        Self {
            policy: Policy {
                placement: Placement::default(),
                order: Order::default(),
                admission: true,
                ejection: true,
                waits_for_fast_agent: true,
            },
        }
    }

    /// Sets how an agent is chosen.
    #[must_use]
    pub fn placement(mut self, placement: Placement) -> Self {
        self.policy.placement = placement;
        self
    }

    /// Sets the order of waiting jobs.
    #[must_use]
    pub fn order(mut self, order: Order) -> Self {
        self.policy.order = order;
        self
    }

    /// Sets whether a job is refused when its deadline cannot be met.
    #[must_use]
    pub fn admission(mut self, admission: bool) -> Self {
        self.policy.admission = admission;
        self
    }

    /// Sets whether agents that fail far more often than their group are ejected.
    #[must_use]
    pub fn ejection(mut self, ejection: bool) -> Self {
        self.policy.ejection = ejection;
        self
    }

    /// Sets whether a task waits for a fast agent instead of starting at a much slower one.
    #[must_use]
    pub fn waits_for_fast_agent(mut self, waits_for_fast_agent: bool) -> Self {
        self.policy.waits_for_fast_agent = waits_for_fast_agent;
        self
    }

    /// Returns the policy.
    #[must_use]
    pub fn build(self) -> Policy {
        self.policy
    }
}
