//! Prints the processor time of the estimator, and the bytes of what agents send.
//!
//! `cargo run --release -p interference --example cost`

use std::hint::black_box;
use std::time::Instant;

use interference::{Beliefs, Estimator, Exposures, Measurement};
use model::{KindKey, Neighbors};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const RUNS: u32 = 20_000;
const HOSTS: usize = 100;

fn main() {
    println!(
        "kinds | us a run | us a summary | pairs | bytes with effects | bytes without | us to combine {HOSTS} hosts"
    );
    for kinds in [3, 8, 16] {
        measure(kinds);
    }
    println!(
        "bytes in memory of an agent's exposures and estimator: {}",
        memory_bytes()
    );
}

fn measure(kinds: u32) {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut exposures, mut estimator) = (Exposures::default(), Estimator::default());
    let mut running = Vec::new();
    let mut now_ms = 0;
    let began = Instant::now();
    for _ in 0..RUNS {
        now_ms += 18;
        let kind = KindKey(0x1234_5678 + rng.random_range(0..kinds));
        if let (Some(start), _) = exposures.start(now_ms, kind) {
            running.push((start, now_ms));
        }
        if running.len() < 8 {
            continue;
        }
        let (start, started_at_ms) = running.swap_remove(rng.random_range(0..8));
        if let Some(exposure) = exposures.since(now_ms, &start) {
            let run = Measurement {
                expected_ms: 140.0,
                measured_ms: (now_ms - started_at_ms) as f64,
                exposure,
            };
            estimator.record(now_ms, &exposures, &start, &run);
        }
        exposures.end(now_ms, &start);
    }
    let run_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(RUNS);
    let began = Instant::now();
    for _ in 0..100 {
        black_box(estimator.summary(now_ms, &exposures));
    }
    let summary_us = began.elapsed().as_secs_f64() * 1e4;
    let mut runs = Vec::new();
    exposures.add_recent(now_ms, &mut runs);
    let effects = estimator.summary(now_ms, &exposures);
    let began = Instant::now();
    let summaries = std::iter::repeat_n(effects.as_slice(), HOSTS);
    black_box(Beliefs::default().update(summaries));
    let combine_us = began.elapsed().as_secs_f64() * 1e6;
    let pairs = effects.len();
    let without = bytes(&Neighbors {
        runs: runs.clone(),
        effects: Vec::new(),
    });
    let with = bytes(&Neighbors { runs, effects });
    println!(
        "{kinds} | {run_us:.2} | {summary_us:.1} | {pairs} | {with} | {without} | {combine_us:.0}"
    );
}

/// Returns the encoded size in the form that the protocol uses.
fn bytes(neighbors: &Neighbors) -> usize {
    use bincode::Options;
    let options = bincode::DefaultOptions::new();
    options
        .serialize(neighbors)
        .map_or(0, |encoded| encoded.len())
}

fn memory_bytes() -> usize {
    Estimator::default().memory_bytes() + std::mem::size_of::<Exposures>()
}
