//! Results of a simulation run.

use std::fmt;

use interference::Change;
use scheduling::{ForecastOutcome, ForecastStage};

/// A violation of a safety guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Simulated time of the violation, in milliseconds.
    pub at_ms: u64,
    /// Description of the violation.
    pub text: String,
}

/// Outcomes of the jobs of one kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KindReport {
    /// Name of the kind.
    pub name: &'static str,
    /// Jobs submitted.
    pub submitted: u64,
    /// Jobs completed within their objective.
    pub in_time: u64,
    /// Jobs completed after their objective.
    pub late: u64,
    /// Jobs refused without having run.
    pub refused: u64,
    /// Jobs that failed, timed out or got no answer.
    pub failed: u64,
    /// Jobs whose client disconnected early.
    pub abandoned: u64,
    /// Longest time from the first submission to a refusal, in milliseconds.
    pub longest_refusal_ms: u64,
}

/// How well the durations of one stage were forecast.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StageReport {
    /// Number of forecasts.
    pub forecasts: u64,
    /// Number of durations within the 10% to 90% band of the forecast.
    pub in_band: u64,
    /// Sum of the logarithms of actual over expected durations.
    pub log_ratio_sum: f64,
    /// Sum of their squares.
    pub log_ratio_square_sum: f64,
}

impl StageReport {
    /// Returns the share of durations within the 10% to 90% band of the forecast.
    #[must_use]
    pub fn band_share(&self) -> f64 {
        self.in_band as f64 / self.forecasts.max(1) as f64
    }

    /// Returns the mean logarithm of actual over expected durations: the bias.
    #[must_use]
    pub fn bias(&self) -> f64 {
        self.log_ratio_sum / self.forecasts.max(1) as f64
    }

    /// Returns the standard deviation of the logarithm of actual over expected durations.
    #[must_use]
    pub fn deviation(&self) -> f64 {
        let mean_square = self.log_ratio_square_sum / self.forecasts.max(1) as f64;
        (mean_square - self.bias().powi(2)).max(0.0).sqrt()
    }
}

/// How well durations were forecast.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ForecastReport {
    /// Waits of tasks.
    pub wait: StageReport,
    /// Runs of tasks.
    pub run: StageReport,
    /// Whole jobs.
    pub job: StageReport,
}

impl ForecastReport {
    pub(crate) fn record(&mut self, outcome: &ForecastOutcome) {
        let stage = match outcome.stage {
            ForecastStage::Wait => &mut self.wait,
            ForecastStage::Run => &mut self.run,
            ForecastStage::Job => &mut self.job,
        };
        let log_ratio = outcome.ratio().max(1e-3).ln();
        stage.forecasts += 1;
        stage.in_band += u64::from(outcome.is_in_band == Some(true));
        stage.log_ratio_sum += log_ratio;
        stage.log_ratio_square_sum += log_ratio * log_ratio;
    }
}

/// Results of a simulation run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Violations of the safety guarantees.
    pub violations: Vec<Violation>,
    /// Outcomes by kind of job.
    pub kinds: Vec<KindReport>,
    /// Served share of the total worth of jobs whose clients stayed; a late job counts for a fifth.
    pub worth_share: f64,
    /// Core seconds of runs that ended after their job was over.
    pub wasted_core_s: f64,
    /// Core seconds of all runs.
    pub used_core_s: f64,
    /// Starts that a target refused because it had no capacity left.
    pub rejected_starts: u64,
    /// Orders that a host turned back because it had no room in time.
    pub turned_back: u64,
    /// Messages between entries and agents.
    pub messages: u64,
    /// Tasks started.
    pub starts: u64,
    /// Largest number of targets that have crashed under one task.
    pub most_crashes_of_a_task: u32,
    /// Calls to targets that timed out; each of them costs a connection.
    pub timed_out_calls: u64,
    /// Longest time from the acknowledgement of an evacuation to a start in the failure domain, in
    /// milliseconds.
    pub latest_evacuated_start_ms: u64,
    /// Accuracy of the entries' forecasts.
    pub forecasts: ForecastReport,
    /// Pairs of kinds that entries began or ceased to keep apart, with the time after the start of the
    /// load in milliseconds.
    pub pair_changes: Vec<(u64, Change)>,
}

impl KindReport {
    /// Returns the share of jobs completed in time, of those whose clients stayed.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / (self.submitted - self.abandoned).max(1) as f64
    }

    /// Returns the share of jobs completed at all, of those whose clients stayed.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        (self.in_time + self.late) as f64 / (self.submitted - self.abandoned).max(1) as f64
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for kind in &self.kinds {
            writeln!(
                formatter,
                "{:<8} submitted {:>5} in time {:.3} served {:.3} refused {:>4} failed {:>4} abandoned {:>4}",
                kind.name,
                kind.submitted,
                kind.in_time_share(),
                kind.served_share(),
                kind.refused,
                kind.failed,
                kind.abandoned,
            )?;
        }
        writeln!(
            formatter,
            "worth {:.3}, wasted {:.1} of {:.1} core s, rejected starts {}, turned back {:.3} and messages {:.1} per task, calls timed out {}",
            self.worth_share,
            self.wasted_core_s,
            self.used_core_s,
            self.rejected_starts,
            self.turned_back as f64 / self.starts.max(1) as f64,
            self.messages as f64 / self.starts.max(1) as f64,
            self.timed_out_calls,
        )?;
        for violation in self.violations.iter().take(10) {
            writeln!(
                formatter,
                "violation at {} ms: {}",
                violation.at_ms, violation.text
            )?;
        }
        Ok(())
    }
}
