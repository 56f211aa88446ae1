//! What a run of the world showed.

use std::fmt;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What was broken.
    pub text: String,
}

/// What became of the jobs of a kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KindReport {
    /// Name of the kind.
    pub name: &'static str,
    /// Jobs asked for.
    pub asked: u64,
    /// Answered in time.
    pub in_time: u64,
    /// Answered late.
    pub late: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Failed, given up or not answered.
    pub failed: u64,
    /// Left by their client.
    pub left: u64,
    /// Longest time to a refusal, in milliseconds.
    pub longest_refusal_ms: u64,
}

/// What a run of the world showed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Jobs by kind.
    pub kinds: Vec<KindReport>,
    /// Share of the worth that was served.
    pub worth_share: f64,
    /// Core seconds of runs whose result was of no use.
    pub wasted_core_s: f64,
    /// Core seconds of all runs.
    pub used_core_s: f64,
    /// Starts that a target refused for want of room.
    pub rejected_starts: u64,
    /// Messages between entries and agents.
    pub messages: u64,
    /// Tasks started.
    pub starts: u64,
}

impl KindReport {
    /// Returns the share answered in time of those whose clients stayed.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / (self.asked - self.left).max(1) as f64
    }

    /// Returns the share answered at all of those whose clients stayed.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        (self.in_time + self.late) as f64 / (self.asked - self.left).max(1) as f64
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for kind in &self.kinds {
            writeln!(
                formatter,
                "{:<8} asked {:>5} in time {:.3} served {:.3} refused {:>4} failed {:>4} left {:>4}",
                kind.name,
                kind.asked,
                kind.in_time_share(),
                kind.served_share(),
                kind.refused,
                kind.failed,
                kind.left,
            )?;
        }
        writeln!(
            formatter,
            "worth {:.3}, wasted {:.1} of {:.1} core s, rejected starts {}, messages {:.1} a task",
            self.worth_share,
            self.wasted_core_s,
            self.used_core_s,
            self.rejected_starts,
            self.messages as f64 / self.starts.max(1) as f64,
        )?;
        for violation in self.violations.iter().take(10) {
            writeln!(
                formatter,
                "broken at {} ms: {}",
                violation.at_ms, violation.text
            )?;
        }
        Ok(())
    }
}
