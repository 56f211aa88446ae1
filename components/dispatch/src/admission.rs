//! Admission control: target groups, quotas, rate limits and deadlines.

use model::{Answer, FailureKind, FailureReason, GroupKey, JobSpec};
use rand::Rng;

use crate::agents::{AgentKey, Agents};
use crate::job::Job;
use crate::queue::RankInputs;
use crate::rules::QueueOrder;
use crate::shard::{Shard, ShardContext};

/// Retry delay when no target is available or the firm's queue is full, in milliseconds.
const NO_TARGET_RETRY_MS: u64 = 1_000;

/// Share of the arriving work of smaller jobs that is expected to overtake a job.
///
/// The rest is placed without delaying the job.
const OVERTAKING_FRACTION: f64 = 0.8;

/// Maximum share of the capacity that overtaking work is expected to use.
const MAX_OVERTAKING_FRACTION: f64 = 0.9;

/// Bounds of a retry delay computed from the backlog, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (50, 10_000);

/// A token bucket over tasks.
#[derive(Debug, Default)]
pub struct RateLimit {
    tokens: f64,
    refilled_us: u64,
    started: bool,
}

impl RateLimit {
    /// Takes one token per task.
    ///
    /// # Errors
    ///
    /// Returns the time until enough tokens are available, in milliseconds.
    pub fn take(&mut self, tasks: f64, rate: f64, burst: f64, now_us: u64) -> Result<(), u64> {
        if !self.started {
            self.started = true;
            self.tokens = burst;
            self.refilled_us = now_us;
        }
        let passed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        self.refilled_us = now_us;
        self.tokens = (self.tokens + passed_s * rate).min(burst.max(tasks));
        if self.tokens >= tasks {
            self.tokens -= tasks;
            return Ok(());
        }
        let missing = tasks - self.tokens;
        Err((missing / rate.max(0.001) * 1e3).ceil() as u64)
    }
}

/// Returns the agents that may run the job.
///
/// # Errors
///
/// Returns a refusal if the firm may not use the target group or no agent of it is available.
pub fn check_group(
    shard: &Shard,
    cx: &ShardContext<'_>,
    spec: &JobSpec,
) -> Result<Vec<AgentKey>, Answer> {
    let group = cx.rules.group(spec.meta.group);
    if group.is_none_or(|group| !group.firms.contains(&shard.firm())) {
        return Err(Answer::failed(
            FailureKind::CannotRun,
            FailureReason::NoTarget,
            "the firm has no such target group",
        ));
    }
    let candidates = shard.candidates(spec.meta.group, cx.agents);
    if candidates.is_empty() {
        return Err(Answer::refused(
            FailureKind::NotRun,
            FailureReason::NoTarget,
            "no target of the group is there",
            NO_TARGET_RETRY_MS,
        ));
    }
    Ok(candidates)
}

/// Checks the firm's queue limit and rate limit.
///
/// # Errors
///
/// Returns a refusal if the firm is not configured or a limit is reached.
pub fn check_limits(
    shard: &mut Shard,
    cx: &ShardContext<'_>,
    spec: &JobSpec,
) -> Result<(), Answer> {
    let Some(firm) = cx.rules.firm(shard.firm()) else {
        return Err(Answer::failed(
            FailureKind::CannotRun,
            FailureReason::NoTarget,
            "the firm is not configured",
        ));
    };
    let shards = u32::from(shard.record.shard_count.max(1));
    let waiting: u32 = shard.queues.values().map(|queue| queue.waiting_tasks).sum();
    if waiting + spec.tasks.len() as u32 > (firm.max_queue_tasks / shards).max(1) {
        return Err(Answer::refused(
            FailureKind::NotRun,
            FailureReason::OverQuota,
            "the firm's queue is full",
            NO_TARGET_RETRY_MS,
        ));
    }
    let Some(rate) = firm.rate_tasks_per_s else {
        return Ok(());
    };
    let shards = f64::from(shards);
    let burst = f64::from(firm.burst_tasks.max(1)) / shards;
    let taken = shard
        .rate_limit
        .take(spec.tasks.len() as f64, rate / shards, burst, cx.now_us);
    taken.map_err(|wait_ms| {
        Answer::refused(
            FailureKind::NotRun,
            FailureReason::OverQuota,
            "the firm's rate is used up",
            wait_ms,
        )
    })
}

/// Returns the work that the candidates do per microsecond, in microseconds on an agent with
/// slowness 1.
pub fn service_rate(agents: &Agents, candidates: &[AgentKey], now_us: u64) -> f64 {
    candidates
        .iter()
        .filter_map(|key| agents.get(*key))
        .filter(|view| view.load.ready && !view.health.is_ejected(now_us))
        .map(|view| f64::from(view.slots()) / view.slowness)
        .sum()
}

/// Checks that a job can meet its deadline behind the current backlog.
///
/// # Errors
///
/// Returns a refusal with a retry delay if the expected finish time is past the deadline.
pub fn check_deadline(
    shard: &Shard,
    cx: &mut ShardContext<'_>,
    spec: &JobSpec,
    candidates: &[AgentKey],
) -> Result<(), Answer> {
    let nominal = service_rate(cx.agents, candidates, cx.now_us);
    if nominal <= 0.0 {
        return Ok(());
    }
    let group = spec.meta.group;
    let queue = shard.queues.get(&group);
    let rate = queue.map_or(nominal, |queue| queue.throughput.expected(nominal));
    let mut work_us = 0.0;
    let mut longest_us: f64 = 0.0;
    for task in &spec.tasks {
        let expected_us =
            cx.run_times
                .expected_us(shard.firm(), group, task.kind, task.declared_us);
        work_us += expected_us;
        longest_us = longest_us.max(expected_us);
    }
    let left_us = spec.meta.deadline_unix_ms.saturating_sub(cx.now_unix_ms) as f64 * 1e3;
    let rank_inputs = RankInputs {
        admitted_us: cx.now_us,
        deadline_us: cx.now_us + left_us as u64,
        work_us: work_us as u64,
    };
    let ahead_us = work_before(shard, cx, group, rank_inputs);
    let overtaking =
        overtaking_rate(shard, cx, group, rank_inputs).min(MAX_OVERTAKING_FRACTION * rate);
    let finish_us = (ahead_us + work_us) / (rate - overtaking) + longest_us;
    if finish_us <= left_us {
        return Ok(());
    }
    let over_ms = ((finish_us - left_us) / 1e3) as u64;
    let base_ms = over_ms.clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1);
    let retry_after_ms = base_ms + cx.rng.random_range(0..=base_ms / 2);
    Err(Answer::refused(
        FailureKind::NotRun,
        FailureReason::Overloaded,
        "the deadline cannot be met behind the present backlog",
        retry_after_ms,
    ))
}

/// Returns the work of waiting tasks that are served before a new job, in microseconds.
fn work_before(
    shard: &Shard,
    cx: &ShardContext<'_>,
    group: GroupKey,
    rank_inputs: RankInputs,
) -> f64 {
    let Some(queue) = shard.queues.get(&group) else {
        return 0.0;
    };
    queue
        .before(rank_inputs.rank(cx.policy.order))
        .filter_map(|slot| shard.jobs.get(slot))
        .map(waiting_work_us)
        .sum()
}

/// Returns the work of later arrivals that overtakes a new job, in microseconds per microsecond.
fn overtaking_rate(
    shard: &Shard,
    cx: &ShardContext<'_>,
    group: GroupKey,
    rank_inputs: RankInputs,
) -> f64 {
    if cx.policy.order != QueueOrder::ShortestRemaining {
        return 0.0;
    }
    let queue = shard.queues.get(&group);
    queue.map_or(0.0, |queue| {
        OVERTAKING_FRACTION * queue.arrivals.rate_below(rank_inputs.work_us, cx.now_us)
    })
}

fn waiting_work_us(job: &Job) -> f64 {
    let waiting = job.waiting.len() as f64 / job.tasks.len().max(1) as f64;
    job.work_us as f64 * waiting
}
