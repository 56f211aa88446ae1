//! Clients and their load.

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
    /// Jobs in a second.
    pub per_s: f64,
    /// Mean number of tasks.
    pub width: u16,
    /// Mean run time of a task, in milliseconds.
    pub task_ms: f64,
    /// Processor of a task, in thousandths of a core.
    pub cpu_millis: u32,
    /// Urgency class.
    pub priority: u8,
    /// Worth of a job.
    pub worth: f64,
    /// Factor on the rate between two times.
    pub burst: Option<Burst>,
}

/// A time of more load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Begin, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds.
    pub to_ms: u64,
    /// Factor on the rate.
    pub factor: f64,
}

/// What clients send.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// The kinds of job.
    pub kinds: Vec<JobKind>,
    /// Spread of the run times and sizes, as the deviation of the logarithm.
    pub spread: f64,
    /// Share of the clients that leave early.
    pub leaving_share: f64,
    /// How soon a client sends a job again after it lost its answer, in milliseconds.
    pub resend_ms: u64,
}

/// Factor between work and objective, and time beyond it.
const STRETCH: f64 = 1.6;
const ALLOWANCE_MS: u64 = 60;

/// Shortest time that a client waits, in milliseconds.
const SHORTEST_WAIT_MS: u64 = 1_000;

/// A job that a client wants done.
#[derive(Debug, Clone)]
pub(crate) struct ClientJob {
    pub(crate) id: JobId,
    pub(crate) kind: usize,
    pub(crate) first_sent_us: u64,
    pub(crate) wait_ms: u64,
    pub(crate) objective_ms: u64,
    pub(crate) work_us: Vec<u64>,
    pub(crate) request: JobRequest,
    pub(crate) copies: u32,
    pub(crate) entry: Option<usize>,
    pub(crate) is_waiting: bool,
    pub(crate) is_leaving: bool,
    pub(crate) is_over: bool,
    pub(crate) has_started: bool,
    pub(crate) was_refused: u32,
}

/// Draws a value around `mean` with a spread of its logarithm.
fn draw(rng: &mut SmallRng, mean: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    mean * (normal * spread - spread * spread / 2.0).exp()
}

/// Draws a job of a kind.
pub(crate) fn draw_job(
    rng: &mut SmallRng,
    load: &Load,
    kind: usize,
    number: u64,
    now_us: u64,
) -> ClientJob {
    let of = &load.kinds[kind];
    let width = draw(rng, f64::from(of.width), load.spread)
        .round()
        .clamp(1.0, 32.0) as u16;
    let mean_ms = draw(rng, of.task_ms, load.spread).max(5.0);
    let work_us: Vec<u64> = (0..width)
        .map(|_| (draw(rng, mean_ms, 0.15) * 1_000.0) as u64)
        .collect();
    let longest_ms = work_us.iter().copied().max().unwrap_or(0) / 1_000;
    let objective_ms = (longest_ms as f64 * STRETCH) as u64 + ALLOWANCE_MS;
    let wait_ms = (objective_ms * 3 / 2).max(SHORTEST_WAIT_MS);
    let id = JobId::parse(&format!("{number:016x}")).unwrap_or_else(|| unreachable!());
    let queue = QueueRules {
        name: Rc::from(of.name),
        group: Rc::from("group"),
        priority: of.priority,
        max_failures: 3,
        stretch: STRETCH,
        allowance_ms: ALLOWANCE_MS,
        timeout_ms: wait_ms,
    };
    let step = StepRequest {
        count: width,
        needs: Resources {
            cpu_millis: draw(rng, f64::from(of.cpu_millis), 0.2) as u32,
            memory_mib: 64,
            gpus: 0,
        },
        estimate_ms: draw(rng, mean_ms, 0.4).max(1.0) as u32,
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
        copies: 0,
        entry: None,
        is_waiting: false,
        is_leaving: rng.random::<f64>() < load.leaving_share,
        is_over: false,
        has_started: false,
        was_refused: 0,
    }
}

impl JobKind {
    /// Returns the rate at a time, in jobs a second.
    pub(crate) fn rate(&self, now_ms: u64) -> f64 {
        let factor = self
            .burst
            .filter(|burst| (burst.from_ms..burst.to_ms).contains(&now_ms))
            .map_or(1.0, |burst| burst.factor);
        self.per_s * factor
    }
}
