//! Placement policies under comparison.

use dispatch::{Placement, Policy, PolicyBuilder};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A placement policy under comparison.
///
/// The policies differ only in placement, so any difference in results is caused by it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr, PartialOrd, Ord,
)]
#[strum(serialize_all = "snake_case")]
pub enum Contender {
    /// The default policy.
    Chosen,
    /// Least expected completion time, first version.
    #[strum(serialize = "least_expected_v1")]
    LeastExpectedV1,
    /// A random agent with free capacity.
    Random,
    /// Agents in rotation.
    RoundRobin,
    /// The less loaded of two random agents.
    PowerOfTwo,
    /// The agent with the fewest outstanding tasks.
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
