//! Kinds of faults.

use serde::{Deserialize, Serialize};
use strum::{EnumIter, IntoStaticStr};

/// Kinds of injected faults.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A process was killed.
    Kill,
    /// A process was paused and resumed.
    Pause,
    /// A link was cut in one direction.
    CutOneWay,
    /// A link was cut in both directions.
    CutBothWays,
    /// Messages were lost.
    Loss,
    /// Messages were delayed.
    Delay,
    /// Messages were delivered twice.
    Duplicate,
    /// Messages were reordered.
    Reorder,
    /// The platform was down.
    PlatformDown,
    /// The platform was slow.
    PlatformSlow,
    /// The platform's answer was lost after the write took effect.
    PlatformAnswerLost,
    /// A process was stopped gracefully.
    PlannedStop,
    /// A target failed its tasks or broke its connections.
    TargetFault,
    /// A target ran its tasks slowly.
    Straggler,
    /// A client submitted many jobs at once.
    Burst,
    /// A client cancelled many jobs at once.
    CancelWave,
}

impl FaultKind {
    /// Returns whether a correct system may fail accepted jobs because of the fault.
    #[must_use]
    pub fn may_fail_jobs(self) -> bool {
        matches!(
            self,
            Self::Kill | Self::Pause | Self::CutOneWay | Self::CutBothWays | Self::TargetFault
        )
    }
}
