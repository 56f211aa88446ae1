//! Measurements of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use model::{FailureKind, FailureReason};
use serde::Serialize;

use super::jobs::JobRun;
use super::{Experiment, counters};
use crate::message_counts::MessageCounts;

/// Factor by which ratios are scaled for the integer histograms.
const RATIO_SCALE: f64 = 1_000.0;

/// Results of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunResult {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the policy.
    pub contender: String,
    /// Seed.
    pub seed: u64,
    /// Jobs submitted.
    pub submitted: u64,
    /// Jobs completed.
    pub complete: u64,
    /// Jobs completed before their deadline.
    pub in_time: u64,
    /// Jobs refused at admission.
    pub refused: u64,
    /// Jobs whose deadline passed.
    pub late: u64,
    /// Jobs that failed for another reason.
    pub failed: u64,
    /// Failed and refused jobs by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Median retry delay of refusals, in milliseconds.
    pub retry_after_p50_ms: u64,
    /// Work of jobs completed in time, as a share of the capacity during arrivals.
    pub goodput: f64,
    /// Goodput of the first firm alone.
    pub first_goodput: f64,
    /// Median ratio of response time to ideal for the first firm.
    pub ratio_p50: f64,
    /// 99th percentile of the ratio.
    pub ratio_p99: f64,
    /// Maximum of the ratio.
    pub ratio_max: f64,
    /// 99th percentile of the response time of the first firm, in milliseconds.
    pub response_p99_ms: f64,
    /// Tasks started at targets.
    pub started_tasks: u64,
    /// Ratio of envelopes to the minimum: one to start and one to report each task.
    pub messages_over_least: f64,
    /// Counts of envelopes and messages.
    pub tally: MessageCounts,
    /// Wasted messages by cause.
    pub waste: Waste,
    /// Wasted messages per started task.
    pub waste_per_task: f64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Ejections of agents.
    pub ejections: u64,
    /// Time from the fault to the first ejection, in milliseconds.
    pub ejected_after_ms: Option<u64>,
    /// Jobs without an answer.
    pub lost: u64,
    /// Tasks started more than once.
    pub doubled: u64,
    /// Jobs answered as not run although a task ran.
    pub falsely_refused: u64,
}

/// Wasted messages by cause.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct Waste {
    /// Starts of tasks that the agent already had.
    pub duplicate: u64,
    /// Messages that matched no task in progress, owned shard or known agent.
    pub stray: u64,
    /// Tasks refused by agents.
    pub refused: u64,
    /// Messages sent again.
    pub resent: u64,
    /// Revocations of tasks, failed ones included.
    pub revoked: u64,
}

impl Waste {
    /// Returns the sum over all causes.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.duplicate + self.stray + self.refused + self.resent + self.revoked
    }
}

impl Experiment {
    pub(super) fn result(&mut self, contender: &str, seed: u64) -> RunResult {
        let waste = self.waste();
        let (ratios, responses) = self.histograms();
        let at = |quantile| ratios.value_at_quantile(quantile) as f64 / RATIO_SCALE;
        let started_tasks: u64 = self.jobs.iter().map(started_tasks).sum();
        let least = (2 * started_tasks).max(1) as f64;
        let count = |test: &dyn Fn(&JobRun) -> bool| {
            self.jobs.iter().filter(|job| test(job)).count() as u64
        };
        let is_late = |job: &JobRun| job.reason() == Some(FailureReason::DeadlinePassed);
        let has_failed = |job: &JobRun| job.reason().is_some() && !is_refused(job) && !is_late(job);
        RunResult {
            scenario: self.scenario.name.clone(),
            deployment: self.scenario.deployment.to_string(),
            contender: contender.to_owned(),
            seed,
            submitted: self.jobs.len() as u64,
            complete: count(&|job| job.over_ideal().is_some()),
            in_time: count(&JobRun::is_in_time),
            refused: count(&is_refused),
            late: count(&is_late),
            failed: count(&has_failed),
            reasons: self.reasons(),
            retry_after_p50_ms: self.retry_after_p50_ms(),
            goodput: self.goodput(|_| true),
            first_goodput: self.goodput(|job| job.plan.firm == 0),
            ratio_p50: at(0.5),
            ratio_p99: at(0.99),
            ratio_max: ratios.max() as f64 / RATIO_SCALE,
            response_p99_ms: responses.value_at_quantile(0.99) as f64 / 1e3,
            started_tasks,
            messages_over_least: self.tally.envelopes() as f64 / least,
            tally: self.tally.clone(),
            waste_per_task: waste.total() as f64 / started_tasks.max(1) as f64,
            waste,
            platform_calls: self.platform.calls,
            ejections: self.entries.iter().map(|at| counters(at).ejections).sum(),
            ejected_after_ms: self.ejected_after_us.map(|after_us| after_us / 1_000),
            lost: count(&|job| job.answered.is_none()),
            doubled: self.jobs.iter().map(doubled_tasks).sum(),
            falsely_refused: count(&JobRun::is_falsely_refused),
        }
    }

    fn histograms(&self) -> (Histogram<u64>, Histogram<u64>) {
        let new = || Histogram::new(3).expect("three digits are supported");
        let (mut ratios, mut responses) = (new(), new());
        for job in &self.jobs {
            if job.plan.firm != 0 || job.plan.at_us < self.scenario.warmup_us {
                continue;
            }
            if let Some(ratio) = job.over_ideal() {
                ratios += (ratio * RATIO_SCALE) as u64;
                responses += (ratio * job.plan.ideal_us as f64) as u64;
            }
        }
        (ratios, responses)
    }

    fn goodput(&self, counts: impl Fn(&JobRun) -> bool) -> f64 {
        let work_us: u64 = (self.jobs.iter())
            .filter(|job| counts(job) && job.is_in_time())
            .map(|job| job.plan.tasks_us.iter().sum::<u64>())
            .sum();
        work_us as f64 / (self.scenario.work_rate() * self.scenario.duration_us as f64)
    }

    fn reasons(&self) -> BTreeMap<String, u64> {
        let mut reasons = BTreeMap::new();
        for reason in self.jobs.iter().filter_map(JobRun::reason) {
            let name: &'static str = reason.into();
            *reasons.entry(name.to_owned()).or_default() += 1;
        }
        reasons
    }

    fn retry_after_p50_ms(&self) -> u64 {
        let mut times: Vec<u64> = (self.jobs.iter())
            .filter_map(|job| job.answered.as_ref()?.failure.as_ref()?.retry_after_ms)
            .collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or(0)
    }

    fn waste(&mut self) -> Waste {
        let mut waste = Waste {
            revoked: self.tally.revoked_tasks + self.tally.revoke_failed,
            ..Waste::default()
        };
        for host in &mut self.hosts {
            host.add_past_counters();
            let past_counters = |name| host.past_counters.get(name).copied().unwrap_or(0);
            waste.duplicate += past_counters("duplicate");
            waste.resent += past_counters("resent_by_agent");
        }
        for entry in &self.entries {
            let counters = counters(entry);
            waste.stray += counters.outcomes_stray + counters.messages_stray;
            waste.refused += counters.tasks_refused;
            waste.resent += counters.tasks_resent;
        }
        waste
    }
}

fn is_refused(job: &JobRun) -> bool {
    let answered = job.answered.as_ref();
    let failure = answered.and_then(|answered| answered.failure.as_ref());
    failure.is_some_and(|failure| {
        failure.kind == FailureKind::NotRun
            && failure.reason != FailureReason::DeadlinePassed
            && failure.reason != FailureReason::Cancelled
    })
}

fn started_tasks(job: &JobRun) -> u64 {
    job.started.iter().filter(|&&count| count > 0).count() as u64
}

fn doubled_tasks(job: &JobRun) -> u64 {
    job.started.iter().filter(|&&count| count > 1).count() as u64
}
