//! Estimates from the runs of one host whose true effects are known.

use interference::{Beliefs, Estimator, Exposures, MAX_KINDS, Measurement, Start};
use model::{KindKey, PairEffect};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CORES: f64 = 32.0;

/// Deviation of run times from their expectation, in logarithms.
const NOISE: f64 = 0.3;

/// Effect that counts as found, and certainty in standard deviations.
const FOUND_LOG_FACTOR: f64 = 0.2;

struct Run {
    kind: usize,
    start: Option<Start>,
    started_at_ms: u64,
    ends_at_ms: u64,
    /// Run time that the declaration promises.
    expected_ms: f64,
    left_ms: f64,
}

/// A host with arriving runs; `pace` returns the factor on the time of a run beside others.
struct Bench {
    rng: SmallRng,
    now_ms: u64,
    exposures: Exposures,
    estimator: Estimator,
    runs: Vec<Run>,
    run_ms: [f64; 3],
    starts_per_s: [f64; 3],
    /// Error of the declarations by kind, as a factor.
    declared: [f64; 3],
    cores_per_run: f64,
}

impl Bench {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 1_000,
            exposures: Exposures::default(),
            estimator: Estimator::default(),
            runs: Vec::new(),
            run_ms: [60.0, 300.0, 200.0],
            starts_per_s: [20.0, 4.0, 8.0],
            declared: [1.0; 3],
            cores_per_run: 3.0,
        }
    }

    fn kind(kind: usize) -> KindKey {
        KindKey(100 + kind as u32)
    }

    /// Advances the time by millisecond steps.
    fn advance(&mut self, ms: u64, pace: impl Fn(usize, &[usize], f64) -> f64) {
        for _ in 0..ms {
            self.now_ms += 1;
            let kinds: Vec<usize> = self.runs.iter().map(|run| run.kind).collect();
            let used = kinds.len() as f64 * self.cores_per_run / CORES;
            for (at, run) in self.runs.iter_mut().enumerate() {
                let mut others = kinds.clone();
                others.swap_remove(at);
                run.left_ms -= 1.0 / pace(run.kind, &others, used);
                run.ends_at_ms = if run.left_ms <= 0.0 {
                    self.now_ms
                } else {
                    u64::MAX
                };
            }
            self.end_runs();
            for kind in 0..3 {
                let fits = (self.runs.len() + 1) as f64 * self.cores_per_run <= CORES;
                if fits && self.rng.random::<f64>() < self.starts_per_s[kind] / 1_000.0 {
                    self.start(kind);
                }
            }
        }
    }

    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0
    }

    fn start(&mut self, kind: usize) {
        let (start, replaced) = self.exposures.start(self.now_ms, Self::kind(kind));
        assert_eq!(replaced, None);
        let work_ms = self.run_ms[kind] * (NOISE * self.normal()).exp();
        self.runs.push(Run {
            kind,
            start,
            started_at_ms: self.now_ms,
            ends_at_ms: u64::MAX,
            expected_ms: self.run_ms[kind] * self.declared[kind],
            left_ms: work_ms,
        });
        self.set_used_share();
    }

    fn end_runs(&mut self) {
        while let Some(at) = self
            .runs
            .iter()
            .position(|run| run.ends_at_ms <= self.now_ms)
        {
            let run = self.runs.swap_remove(at);
            let start = run.start.expect("a kind that is kept");
            if let Some(exposure) = self.exposures.since(self.now_ms, &start) {
                let measured = Measurement {
                    expected_ms: run.expected_ms,
                    measured_ms: (self.now_ms - run.started_at_ms) as f64,
                    exposure,
                };
                self.estimator
                    .record(self.now_ms, &self.exposures, &start, &measured);
            }
            self.exposures.end(self.now_ms, &start);
            self.set_used_share();
        }
    }

    fn set_used_share(&mut self) {
        let used_share = self.runs.len() as f64 * self.cores_per_run / CORES;
        self.exposures.set_used_share(self.now_ms, used_share);
    }

    fn summary(&mut self) -> Vec<PairEffect> {
        self.estimator.summary(self.now_ms, &self.exposures)
    }

    /// Returns mean and deviation of the logarithm of a pair's factor.
    fn effect(&mut self, of: usize, by: usize) -> (f64, f64) {
        let summary = self.summary();
        let is_pair = |at: &&PairEffect| at.of == Self::kind(of) && at.by == Self::kind(by);
        let effect = summary.iter().find(is_pair).expect("an estimated pair");
        (
            f64::from(effect.log_factor_permille) / 1_000.0,
            f64::from(effect.deviation_permille) / 1_000.0,
        )
    }

    /// Returns the pairs of which this host alone is certain.
    fn found(&mut self) -> Vec<PairEffect> {
        let is_found = |at: &PairEffect| {
            let lower = f64::from(at.log_factor_permille) - 3.0 * f64::from(at.deviation_permille);
            lower > 1_000.0 * FOUND_LOG_FACTOR
        };
        self.summary().into_iter().filter(is_found).collect()
    }
}

fn alone(_: usize, _: &[usize], _: f64) -> f64 {
    1.0
}

/// Guards against a pair that is not found, or whose factor is taken for the kind's own run time.
#[test]
fn a_pair_that_doubles_run_times_is_found_with_its_direction() {
    let mut bench = Bench::new(1);
    bench.advance(20_000, |kind, others, _| {
        if kind == 0 && others.contains(&1) {
            2.0
        } else {
            1.0
        }
    });
    let found = bench.found();
    assert_eq!(found.len(), 1, "{found:?}");
    let (mean, deviation) = bench.effect(0, 1);
    assert!(
        (mean - 2.0_f64.ln()).abs() < 3.0 * deviation + 0.1,
        "{mean} {deviation}"
    );
    let (reverse, deviation) = bench.effect(1, 0);
    assert!(reverse < 2.0 * deviation, "{reverse} {deviation}");
}

/// Hosts whose estimates are combined, so that an error that they have in common shows.
struct Fleet {
    hosts: Vec<Bench>,
    beliefs: Beliefs,
}

impl Fleet {
    fn new() -> Self {
        Self {
            hosts: (0..12).map(Bench::new).collect(),
            beliefs: Beliefs::default(),
        }
    }

    /// Advances the time, and checks once a second that no pair is believed.
    fn advance_without_pair(&mut self, seconds: u64, pace: impl Fn(usize, &[usize], f64) -> f64) {
        for second in 0..seconds {
            for host in &mut self.hosts {
                host.advance(1_000, &pace);
            }
            let summaries: Vec<_> = self.hosts.iter_mut().map(Bench::summary).collect();
            let changes = self.beliefs.update(summaries.iter().map(Vec::as_slice));
            assert_eq!(changes, [], "after {second} s");
        }
    }
}

/// Guards against pairs that are made up from noise.
#[test]
fn no_pair_is_found_without_interference() {
    Fleet::new().advance_without_pair(40, alone);
}

/// Guards against a wrong declaration that is taken for interference, also if it becomes wrong later.
#[test]
fn wrong_declarations_are_not_taken_for_interference() {
    let mut fleet = Fleet::new();
    for declared in [[0.5, 1.0, 1.7], [1.0, 0.5, 0.6]] {
        for host in &mut fleet.hosts {
            host.declared = declared;
        }
        fleet.advance_without_pair(15, alone);
    }
}

/// Guards against hosts that turn slow, whose runs then pile up beside each other.
#[test]
fn a_slow_host_is_not_taken_for_interference() {
    let mut fleet = Fleet::new();
    for host in &mut fleet.hosts {
        host.starts_per_s = [5.0, 1.5, 2.0];
    }
    for _ in 0..6 {
        fleet.advance_without_pair(4, alone);
        fleet.advance_without_pair(4, |_, _, _| 3.0);
    }
}

/// Guards against hosts whose runs slow down because they are full, whatever runs there.
#[test]
fn a_full_host_is_not_taken_for_interference() {
    let mut fleet = Fleet::new();
    for host in &mut fleet.hosts {
        host.starts_per_s = [10.0, 2.0, 3.0];
        host.cores_per_run = 7.0;
    }
    // Each run counts once the host has more to do than half of its cores can serve.
    let crowded = |used: f64| 1.0 + 2.0 * (used - 0.5).max(0.0);
    fleet.advance_without_pair(40, |_, _, used| crowded(used));
}

/// Guards against beliefs that outlive their evidence.
#[test]
fn evidence_is_forgotten() {
    let mut bench = Bench::new(3);
    let disturbed = |kind, others: &[usize], _| {
        if kind == 0 && others.contains(&1) {
            2.0
        } else {
            1.0
        }
    };
    bench.advance(20_000, disturbed);
    assert_eq!(bench.found().len(), 1);
    bench.advance(40_000, alone);
    assert_eq!(bench.found(), []);
}

/// Guards against growth with the number of kinds, and against a kind that inherits the evidence of the
/// one whose place it takes.
#[test]
fn memory_is_bounded_and_a_replaced_kind_leaves_no_evidence() {
    let mut bench = Bench::new(4);
    bench.advance(20_000, |kind, others, _| {
        if kind == 0 && others.contains(&1) {
            2.0
        } else {
            1.0
        }
    });
    for run in std::mem::take(&mut bench.runs) {
        bench
            .exposures
            .end(bench.now_ms, &run.start.expect("a kind that is kept"));
    }
    bench.now_ms += 20_000;
    for number in 0..2 * MAX_KINDS as u32 {
        let (start, replaced) = bench.exposures.start(bench.now_ms, KindKey(1_000 + number));
        assert_eq!(start.is_some(), number < MAX_KINDS as u32);
        if let Some(slot) = replaced {
            bench.estimator.clear_slot(slot);
        }
    }
    assert_eq!(bench.summary(), []);
}
