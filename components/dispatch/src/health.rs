//! Outlier ejection of failing agents, similar to a circuit breaker.
//!
//! An agent's failure rate is compared with its group's median, so that a job that fails
//! everywhere does not eject agents.

use model::GroupKey;
use rustc_hash::FxHashMap;

use crate::agents::Agents;
use crate::rules::DispatchRules;

/// Weight of one outcome in the exponential moving average of an agent's failure rate.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Excess over the group's failure rate that ejects an agent, scaled by [`OUTCOME_WEIGHT`].
const EJECT_MARGIN: f64 = 0.5;

/// Number of failures, counting consecutive ones of one job once, from which an agent may be
/// ejected.
const MIN_FAILED_JOBS: u32 = 3;

/// Length of the first ejection, in microseconds; each further one is twice as long.
const MIN_EJECTION_US: u64 = 5_000_000;

/// Maximum length of an ejection, in microseconds.
const MAX_EJECTION_US: u64 = 60_000_000;

/// Failure statistics and ejection state of an agent.
#[derive(Debug, Default, Clone)]
pub struct Health {
    /// Exponential moving average of the share of failed tasks.
    pub failure_rate: f64,
    /// Number of failures since the last success; consecutive ones of one job count once.
    failed_jobs: u32,
    last_failed_job: Option<model::JobKey>,
    last_failed_us: u64,
    ejections: u32,
    pub ejected_until_us: u64,
    /// Whether the agent was ejected and its next outcome decides whether it is ejected again.
    pub is_on_probation: bool,
}

impl Health {
    /// Records the success of a task sent at `sent_us`.
    ///
    /// Ignores tasks sent before the last failure, since they do not show that the agent recovered.
    pub fn succeeded(&mut self, sent_us: u64) {
        if sent_us < self.last_failed_us {
            return;
        }
        self.failure_rate *= 1.0 - OUTCOME_WEIGHT;
        self.failed_jobs = 0;
        self.last_failed_job = None;
        if self.is_on_probation {
            self.is_on_probation = false;
            self.failure_rate = 0.0;
        }
        if self.failure_rate < OUTCOME_WEIGHT {
            self.ejections = 0;
        }
    }

    /// Records a failed task.
    pub fn failed(&mut self, job: model::JobKey, now_us: u64) {
        self.last_failed_us = now_us;
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate);
        if self.last_failed_job != Some(job) {
            self.failed_jobs += 1;
            self.last_failed_job = Some(job);
        }
    }

    /// Returns whether no task has succeeded since the last failure.
    ///
    /// A suspect agent is sent one task at a time.
    pub fn is_suspect(&self) -> bool {
        self.is_on_probation || self.failed_jobs > 0
    }

    pub fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Returns whether the agent fails far more often than its group, over several jobs.
    pub fn should_eject(&self, group_failure_rate: f64) -> bool {
        if self.is_on_probation && self.failed_jobs > 0 {
            return true;
        }
        self.failed_jobs >= MIN_FAILED_JOBS
            && self.failure_rate > (group_failure_rate + EJECT_MARGIN * OUTCOME_WEIGHT).max(0.2)
    }

    /// Ejects the agent; afterwards it is on probation until its next outcome.
    pub fn eject(&mut self, now_us: u64) {
        let factor = 1_u64 << self.ejections.min(8);
        let length_us = (MIN_EJECTION_US * factor).min(MAX_EJECTION_US);
        self.ejections += 1;
        self.ejected_until_us = now_us + length_us;
        self.is_on_probation = true;
        self.failed_jobs = 0;
    }
}

/// Ejects agents that fail far more often than their group; returns how many.
pub fn eject_failing(agents: &mut Agents, rules: &DispatchRules, now_us: u64) -> u32 {
    let mut groups: FxHashMap<GroupKey, GroupHealth> = FxHashMap::default();
    for (_, view) in agents.iter() {
        let Some(target) = &view.info.target else {
            continue;
        };
        let group = groups.entry(target.group).or_default();
        group.agents += 1;
        group.ejected += u32::from(view.health.is_ejected(now_us));
        group.rates.push(view.health.failure_rate);
    }
    let mut ejected = 0;
    for view in agents.iter_mut() {
        let Some(target) = &view.info.target else {
            continue;
        };
        let Some(group) = groups.get_mut(&target.group) else {
            continue;
        };
        let percent = rules
            .group(target.group)
            .map_or(DEFAULT_EJECT_PERCENT, |rules| rules.max_eject_percent);
        let full = (group.ejected + 1) * 100 > group.agents * percent;
        let may_be_ejected = view.health.failure_rate > 0.0 && !view.health.is_ejected(now_us);
        if full || !may_be_ejected || !view.health.should_eject(group.median_rate()) {
            continue;
        }
        view.health.eject(now_us);
        group.ejected += 1;
        ejected += 1;
    }
    ejected
}

/// Default for the largest share of a group that may be ejected, in percent.
const DEFAULT_EJECT_PERCENT: u32 = 30;

#[derive(Debug, Default)]
struct GroupHealth {
    agents: u32,
    ejected: u32,
    rates: Vec<f64>,
}

impl GroupHealth {
    /// Returns the median failure rate, which a few failing agents do not shift.
    fn median_rate(&mut self) -> f64 {
        if self.rates.is_empty() {
            return 0.0;
        }
        // Takes the lower median, so that one failing agent out of two is detected.
        let middle = (self.rates.len() - 1) / 2;
        let (_, median, _) = self.rates.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }
}
