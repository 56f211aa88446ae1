//! Clients and the jobs that they submit.

use std::rc::Rc;

use model::{JobId, Resources};
use rand::Rng;
use rand::rngs::SmallRng;
use scheduling::{JobRequest, QueueRules, StepRequest};

/// A kind of job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobKind {
    /// Name.
    pub name: &'static str,
    /// Arrival rate, in jobs per second.
    pub per_s: f64,
    /// Mean number of tasks.
    pub width: u16,
    /// Mean run time of a task, in milliseconds.
    pub task_ms: f64,
    /// CPU request of a task, in thousandths of a core.
    pub cpu_millis: u32,
    /// Priority class.
    pub priority: u8,
    /// Weight of a job in the served share of the worth.
    pub worth: f64,
    /// Period with a higher arrival rate.
    pub burst: Option<Burst>,
    /// Share of the jobs whose first task crashes each target that starts it.
    pub crashing_share: f64,
}

/// A period with a higher arrival rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds.
    pub to_ms: u64,
    /// Factor on the rate.
    pub factor: f64,
}

/// Jobs that clients submit.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// The kinds of job.
    pub kinds: Vec<JobKind>,
    /// Standard deviation of the logarithm of run times and sizes.
    pub spread: f64,
    /// Standard deviation of the logarithm of declared over mean run times of a job.
    pub declared_deviation: f64,
    /// Standard deviation of the logarithm of the run times of a job's tasks.
    pub task_deviation: f64,
    /// Share of the clients that disconnect early.
    pub early_leave_share: f64,
    /// Delay before a client retries a job whose answer was lost, in milliseconds.
    pub retry_delay_ms: u64,
}

/// Response time objective as a multiple of the longest task's work.
const STRETCH: f64 = 1.6;

/// Time added to the response time objective, in milliseconds.
const ALLOWANCE_MS: u64 = 60;

/// Shortest client timeout, in milliseconds.
const MIN_WAIT_MS: u64 = 1_000;

/// A job of a client and the state of its attempts.
#[derive(Debug, Clone)]
pub(crate) struct ClientJob {
    pub(crate) id: JobId,
    pub(crate) kind: usize,
    pub(crate) first_sent_us: u64,
    pub(crate) wait_ms: u64,
    pub(crate) objective_ms: u64,
    pub(crate) work_us: Vec<u64>,
    pub(crate) request: JobRequest,
    pub(crate) attempts: u32,
    pub(crate) entry: Option<usize>,
    pub(crate) is_waiting: bool,
    pub(crate) is_leaving: bool,
    pub(crate) is_over: bool,
    pub(crate) has_started: bool,
    pub(crate) refused_attempt: u32,
    /// Whether the first task crashes each target that starts it.
    pub(crate) is_crashing: bool,
    /// Number of targets that have crashed under the first task.
    pub(crate) crashes: u32,
}

/// Samples an approximately log-normal distribution; `spread` is the standard deviation of the
/// logarithm.
fn sample(rng: &mut SmallRng, mean: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    mean * (normal * spread - spread * spread / 2.0).exp()
}

/// Samples a job of a kind.
pub(crate) fn sample_job(
    rng: &mut SmallRng,
    load: &Load,
    kind: usize,
    number: u64,
    now_us: u64,
) -> ClientJob {
    let job_kind = &load.kinds[kind];
    let width = sample(rng, f64::from(job_kind.width), load.spread)
        .round()
        .clamp(1.0, 32.0) as u16;
    let mean_ms = sample(rng, job_kind.task_ms, load.spread).max(5.0);
    let work_us: Vec<u64> = (0..width)
        .map(|_| (sample(rng, mean_ms, load.task_deviation) * 1_000.0) as u64)
        .collect();
    let longest_ms = work_us.iter().copied().max().unwrap_or(0) / 1_000;
    let objective_ms = (longest_ms as f64 * STRETCH) as u64 + ALLOWANCE_MS;
    let wait_ms = (objective_ms * 3 / 2).max(MIN_WAIT_MS);
    let id = JobId::parse(&format!("{number:016x}")).unwrap_or_else(|| unreachable!());
    let queue = QueueRules {
        name: Rc::from(job_kind.name),
        group: Rc::from("group"),
        priority: job_kind.priority,
        max_failures: 3,
        stretch: STRETCH,
        allowance_ms: ALLOWANCE_MS,
        timeout_ms: wait_ms,
    };
    let step = StepRequest {
        count: width,
        needs: Resources {
            cpu_millis: sample(rng, f64::from(job_kind.cpu_millis), 0.2) as u32,
            memory_mib: 64,
            gpus: 0,
        },
        declared_ms: sample(rng, mean_ms, load.declared_deviation).max(1.0) as u32,
        after: Vec::new(),
        required_label: None,
        preferred_label: None,
        max_per_host: None,
    };
    ClientJob {
        id,
        kind,
        first_sent_us: now_us,
        wait_ms,
        objective_ms,
        work_us,
        request: JobRequest {
            id,
            queue: Rc::new(queue),
            specification: Rc::from("spec"),
            steps: vec![step],
            time_left_ms: wait_ms,
        },
        attempts: 0,
        entry: None,
        is_waiting: false,
        is_leaving: rng.random::<f64>() < load.early_leave_share,
        is_over: false,
        has_started: false,
        refused_attempt: 0,
        is_crashing: job_kind.crashing_share > 0.0 && rng.random::<f64>() < job_kind.crashing_share,
        crashes: 0,
    }
}

impl JobKind {
    /// Returns the arrival rate at a time, in jobs per second.
    pub(crate) fn rate(&self, now_ms: u64) -> f64 {
        let factor = self
            .burst
            .filter(|burst| (burst.from_ms..burst.to_ms).contains(&now_ms))
            .map_or(1.0, |burst| burst.factor);
        self.per_s * factor
    }
}
