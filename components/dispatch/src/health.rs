//! Tells agents that fail most tasks from jobs that fail everywhere.

use model::GroupKey;
use rustc_hash::FxHashMap;

use crate::agents::Agents;
use crate::rules::DispatchRules;

/// Tasks over which an agent's failures are judged, as the weight of one outcome.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Failure rate above the rate of the group from which on an agent is ejected.
const EJECT_MARGIN: f64 = 0.5;

/// Distinct failed jobs needed before an agent is ejected.
const MIN_FAILED_JOBS: u32 = 3;

/// First time out of service, in microseconds; doubles with each ejection.
const FIRST_EJECTION_US: u64 = 5_000_000;

/// Longest time out of service, in microseconds.
const MAX_EJECTION_US: u64 = 60_000_000;

/// What is known of an agent's failures.
#[derive(Debug, Default, Clone)]
pub struct Health {
    /// Weighted share of failed tasks.
    pub failure_rate: f64,
    /// Different jobs that failed in a row.
    failed_jobs: u32,
    last_failed_job: Option<model::JobKey>,
    last_failed_us: u64,
    ejections: u32,
    pub ejected_until_us: u64,
    /// Whether the next task decides about the agent's return.
    pub on_trial: bool,
}

impl Health {
    /// Notes a task sent at `sent_us` that finished with a result.
    ///
    /// Tasks sent before the last failure show nothing about what came after it.
    pub fn succeeded(&mut self, sent_us: u64) {
        if sent_us < self.last_failed_us {
            return;
        }
        self.failure_rate *= 1.0 - OUTCOME_WEIGHT;
        self.failed_jobs = 0;
        self.last_failed_job = None;
        if self.on_trial {
            self.on_trial = false;
            self.failure_rate = 0.0;
        }
        if self.failure_rate < OUTCOME_WEIGHT {
            self.ejections = 0;
        }
    }

    /// Notes a task that failed.
    pub fn failed(&mut self, job: model::JobKey, now_us: u64) {
        self.last_failed_us = now_us;
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate);
        if self.last_failed_job != Some(job) {
            self.failed_jobs += 1;
            self.last_failed_job = Some(job);
        }
    }

    /// Tells whether nothing has succeeded since the last failure.
    ///
    /// Such an agent gets one task at a time.
    pub fn is_suspect(&self) -> bool {
        self.on_trial || self.failed_jobs > 0
    }

    pub fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Tells whether the agent fails far more than its group, over several jobs.
    pub fn should_eject(&self, group_failure_rate: f64) -> bool {
        if self.on_trial && self.failed_jobs > 0 {
            return true;
        }
        self.failed_jobs >= MIN_FAILED_JOBS
            && self.failure_rate > (group_failure_rate + EJECT_MARGIN * OUTCOME_WEIGHT).max(0.2)
    }

    /// Takes the agent out of service; the next task after that is a trial.
    pub fn eject(&mut self, now_us: u64) {
        let factor = 1_u64 << self.ejections.min(8);
        let length_us = (FIRST_EJECTION_US * factor).min(MAX_EJECTION_US);
        self.ejections += 1;
        self.ejected_until_us = now_us + length_us;
        self.on_trial = true;
        self.failed_jobs = 0;
    }
}

/// Ejects agents that fail far more than their group; returns how many.
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
        let suspect = view.health.failure_rate > 0.0 && !view.health.is_ejected(now_us);
        if full || !suspect || !view.health.should_eject(group.median_rate()) {
            continue;
        }
        view.health.eject(now_us);
        group.ejected += 1;
        ejected += 1;
    }
    ejected
}

/// Part of a group that may be ejected where the rules name none, in percent.
const DEFAULT_EJECT_PERCENT: u32 = 30;

#[derive(Debug, Default)]
struct GroupHealth {
    agents: u32,
    ejected: u32,
    rates: Vec<f64>,
}

impl GroupHealth {
    /// Returns the median failure rate; a few failing agents do not move it.
    fn median_rate(&mut self) -> f64 {
        if self.rates.is_empty() {
            return 0.0;
        }
        // The lower of two middle ones, so that one of two agents can stand out.
        let middle = (self.rates.len() - 1) / 2;
        let (_, median, _) = self.rates.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }
}
