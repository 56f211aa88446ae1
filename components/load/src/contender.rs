//! Policies that are run side by side.

use dispatch::{Placement, Policy, PolicyBuilder};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A policy under comparison.
///
/// All but the placement is the same, so that a difference is the placement's.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr, PartialOrd, Ord,
)]
#[strum(serialize_all = "snake_case")]
pub enum Contender {
    /// The defaults.
    Chosen,
    /// The first version of the least expected completion.
    #[strum(serialize = "least_expected_v1")]
    LeastExpectedV1,
    /// Any agent with room.
    Random,
    /// Agents in run_events.
    RoundRobin,
    /// The less loaded of two random agents.
    PowerOfTwo,
    /// The agent with the fewest tasks outstanding.
    LeastConnections,
}

impl Contender {
    /// Returns the policy.
    #[must_use]
    pub fn policy(self) -> Policy {
        let placement = match self {
            Self::Chosen => return Policy::default(),
            Self::LeastExpectedV1 => Placement::LeastExpectedV1,
            Self::Random => Placement::Random,
            Self::RoundRobin => Placement::RoundRobin,
            Self::PowerOfTwo => Placement::PowerOfTwo,
            Self::LeastConnections => Placement::LeastConnections,
        };
        PolicyBuilder::new().placement(placement).build()
    }
}
