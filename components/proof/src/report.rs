//! Counts over many checked histories.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use strum::IntoEnumIterator;

use crate::check::{Promise, Violation};
use crate::event::EventKind;
use crate::fault::FaultKind;
use crate::history::History;

/// Counts of checked histories, injected faults and violations; printed as a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    histories: u64,
    events: u64,
    faults: BTreeMap<FaultKind, u64>,
    violations: BTreeMap<Promise, u64>,
}

impl Default for Report {
    fn default() -> Self {
        Self {
            histories: 0,
            events: 0,
            faults: FaultKind::iter().map(|kind| (kind, 0)).collect(),
            violations: Promise::iter().map(|promise| (promise, 0)).collect(),
        }
    }
}

impl Report {
    /// Creates a report with all counts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a history and the violations found in it.
    pub fn add(&mut self, history: &History, violations: &[Violation]) {
        self.histories += 1;
        self.events += history.events().len() as u64;
        for event in history.events() {
            if let EventKind::FaultInjected { kind, .. } = event.kind {
                *self.faults.entry(kind).or_default() += 1;
            }
        }
        for violation in violations {
            *self.violations.entry(violation.promise).or_default() += 1;
        }
    }

    /// Returns the number of violations of a promise.
    #[must_use]
    pub fn violations_of(&self, promise: Promise) -> u64 {
        self.violations.get(&promise).copied().unwrap_or(0)
    }

    /// Returns the number of violations.
    #[must_use]
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }

    /// Formats the report as one line of JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the report cannot be written as JSON.
    pub fn to_json_line(&self) -> serde_json::Result<String> {
        serde_json::to_string(self)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<32}{:>12}", "histories", self.histories)?;
        writeln!(f, "{:<32}{:>12}", "events", self.events)?;
        for (kind, count) in &self.faults {
            let name: &str = kind.into();
            writeln!(f, "{:<32}{count:>12}", format!("fault {name}"))?;
        }
        for (promise, count) in &self.violations {
            let name: &str = promise.into();
            writeln!(f, "{:<32}{count:>12}", format!("violation {name}"))?;
        }
        Ok(())
    }
}
