//! Faults of the stand-in for a target.

use serde::{Deserialize, Serialize};

/// How tasks go wrong.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFaultMode {
    /// Tasks run as they should.
    #[default]
    None,
    /// Tasks start and fail at once.
    FailFast,
    /// Tasks start and never end until the faults change; their connections are closed then.
    Hang,
    /// Tasks start, and the connection is closed after half of the run time.
    Cut,
    /// Tasks are refused before they start.
    Refuse,
    /// Tasks take longer by `slow_factor`.
    Slow,
}

/// Faults in force; the default is none.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// How tasks go wrong.
    pub mode: TargetFaultMode,
    /// Factor for [`TargetFaultMode::Slow`].
    pub slow_factor: f64,
    /// Number of tasks to come that meet the fault; without it, all.
    pub next: Option<u32>,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            mode: TargetFaultMode::None,
            slow_factor: 10.0,
            next: None,
        }
    }
}

impl TargetFaults {
    /// Returns the fault that the next task meets and counts it.
    pub(super) fn take(&mut self) -> TargetFaultMode {
        match &mut self.next {
            None => self.mode,
            Some(0) => TargetFaultMode::None,
            Some(left) => {
                *left -= 1;
                self.mode
            }
        }
    }
}
