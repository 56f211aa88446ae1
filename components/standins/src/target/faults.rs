//! Faults that the target stand-in injects.

use serde::{Deserialize, Serialize};

/// Fault that is injected into tasks.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFaultMode {
    /// Tasks run normally.
    #[default]
    None,
    /// Tasks start and fail immediately.
    FailFast,
    /// Tasks start and hang until the faults are changed; their connections are then closed.
    Hang,
    /// Tasks start, and their connection is closed after half of the run time.
    Cut,
    /// Tasks are rejected before they start.
    Refuse,
    /// The run time of tasks is multiplied by `slow_factor`.
    Slow,
}

/// Injected faults; none by default.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Fault that is injected into tasks.
    pub mode: TargetFaultMode,
    /// Run time factor for [`TargetFaultMode::Slow`].
    pub slow_factor: f64,
    /// Number of further tasks that the fault affects; `None` affects all.
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
    /// Returns the fault for the next task and decrements the number of affected tasks.
    pub(super) fn next_mode(&mut self) -> TargetFaultMode {
        match &mut self.next {
            None => self.mode,
            Some(0) => TargetFaultMode::None,
            Some(remaining) => {
                *remaining -= 1;
                self.mode
            }
        }
    }
}
