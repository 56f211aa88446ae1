//! Workload of a run: Poisson arrivals of jobs with sizes, kinds and deadlines.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::Deployment;
use crate::ideal::makespan_us;
use crate::scenario::{FirmLoad, Scenario};

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u16 = 190;

/// Maximum number of tasks of a job whose mean task run time is above one second.
const MAX_LONG_TASKS: u16 = 8;

/// Kinds of task: name, mean run time in milliseconds, weight in percent.
pub const KINDS: [(&str, u64, u32); 6] = [
    ("check", 50, 20),
    ("lookup", 100, 25),
    ("confirm", 200, 25),
    ("reshuffle", 400, 18),
    ("slot_plan", 800, 10),
    ("season_plan", 4_000, 2),
];

/// Standard deviation of the logarithm of run times within a kind.
const RUN_SIGMA: f64 = 0.3;

/// Fixed part of a job's relative deadline, in microseconds.
const MIN_DEADLINE_US: u64 = 2_000_000;

/// Variable part of a job's relative deadline, as a multiple of its ideal response time.
const DEADLINE_FACTOR: u64 = 4;

/// Number of sampled jobs over which the mean work and size of a job are computed.
const MEAN_SAMPLE: usize = 20_000;

/// A job and the time of its submission.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedJob {
    /// Time of the submission, in microseconds after the load begins.
    pub at_us: u64,
    /// Position of the firm in the scenario.
    pub firm: usize,
    /// Position of the kind in [`KINDS`].
    pub kind: usize,
    /// Run time of each task on a target of slowness one, in microseconds.
    pub tasks_us: Vec<u64>,
    /// Run time that the client declares for each task, in microseconds.
    pub declared_us: u64,
    /// Ideal response time, in microseconds.
    pub ideal_us: u64,
    /// Deadline of the answer, in microseconds after the load begins.
    pub deadline_us: u64,
}

/// Samples all jobs of a run, in the order of their submission.
#[must_use]
pub fn plan(scenario: &Scenario, seed: u64) -> Vec<PlannedJob> {
    let mean_work_us = mean_work_us();
    let mut jobs = Vec::new();
    for (firm, load) in scenario.firms.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000_003) + firm as u64);
        let mut at_us = 0.0;
        while at_us < scenario.duration_us as f64 {
            let rate = offered_at(load, at_us as u64) * scenario.work_rate() / mean_work_us;
            if rate <= 0.0 {
                at_us += 10_000.0;
                continue;
            }
            let step_us = -(1.0 - rng.random::<f64>()).ln() / rate;
            at_us += step_us;
            let job = sample_job(scenario, firm, at_us as u64, &mut rng);
            jobs.push(job);
        }
    }
    jobs.retain(|job| job.at_us < scenario.duration_us);
    jobs.sort_by_key(|job| job.at_us);
    jobs
}

fn offered_at(load: &FirmLoad, at_us: u64) -> f64 {
    match load.burst {
        Some((from_us, until_us, offered)) if (from_us..until_us).contains(&at_us) => offered,
        _ => load.offered,
    }
}

/// Returns the mean work of a job, in microseconds.
#[must_use]
pub fn mean_work_us() -> f64 {
    let mut rng = SmallRng::seed_from_u64(0);
    let total: u64 = (0..MEAN_SAMPLE)
        .map(|_| sample_tasks(&mut rng).1.iter().sum::<u64>())
        .sum();
    total as f64 / MEAN_SAMPLE as f64
}

/// Returns the mean number of tasks of a job.
#[must_use]
pub fn mean_tasks() -> f64 {
    let mut rng = SmallRng::seed_from_u64(0);
    let total: usize = (0..MEAN_SAMPLE)
        .map(|_| sample_tasks(&mut rng).1.len())
        .sum();
    total as f64 / MEAN_SAMPLE as f64
}

fn sample_job(scenario: &Scenario, firm: usize, at_us: u64, rng: &mut SmallRng) -> PlannedJob {
    let (kind, tasks_us) = sample_tasks(rng);
    let error = scenario.declared_error.powf(rng.random_range(-1.0..=1.0));
    let declared_us = (KINDS[kind].1 as f64 * 1_000.0 * error) as u64;
    let path_us = makespan_us(&tasks_us, &scenario.capacities());
    let ideal_us = path_us + round_trip_us(scenario.deployment);
    PlannedJob {
        at_us,
        firm,
        kind,
        tasks_us,
        declared_us,
        ideal_us,
        deadline_us: at_us + MIN_DEADLINE_US + DEADLINE_FACTOR * ideal_us,
    }
}

fn round_trip_us(deployment: Deployment) -> u64 {
    deployment.round_trip_us()
}

/// Samples the kind and the run times of a job's tasks.
fn sample_tasks(rng: &mut SmallRng) -> (usize, Vec<u64>) {
    let kind = sample_kind(rng);
    let mean_us = KINDS[kind].1 as f64 * 1_000.0;
    let limit = if mean_us > 1e6 {
        MAX_LONG_TASKS
    } else {
        MAX_TASKS
    };
    // Sizes are uniform on a logarithmic scale: many small jobs, a few large ones.
    let size = f64::from(limit + 1).powf(rng.random::<f64>()) as u16;
    let tasks_us = (0..size.clamp(1, limit))
        .map(|_| (mean_us * (RUN_SIGMA * normal(rng)).exp()) as u64)
        .collect();
    (kind, tasks_us)
}

fn sample_kind(rng: &mut SmallRng) -> usize {
    let mut left = rng.random_range(0..100);
    for (kind, (_, _, weight)) in KINDS.iter().enumerate() {
        if left < *weight {
            return kind;
        }
        left -= weight;
    }
    KINDS.len() - 1
}

/// Samples the standard normal distribution (Box and Muller 1958).
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
