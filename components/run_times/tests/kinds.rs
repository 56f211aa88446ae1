//! Forecasts of run times from declarations that are right, wrong or random.

mod support;

use std::rc::Rc;

use run_times::{KindSlot, Kinds, RunTime};
use support::Sampler;

const TASKS: usize = 4;

/// A kind of task with a median run time, and declarations of a given error.
struct Workload {
    kinds: Kinds,
    kind: Option<KindSlot>,
    sampler: Sampler,
    median_ms: f64,
    /// Factor between declared and actual times that all declarations have in common.
    bias: f64,
    declared_deviation: f64,
    task_deviation: f64,
}

impl Workload {
    fn new(declared_deviation: f64, task_deviation: f64) -> Self {
        let mut kinds = Kinds::default();
        let kind = kinds.slot(0, &Rc::from("queue"), 0);
        Self {
            kinds,
            kind,
            sampler: Sampler::new(1),
            median_ms: 200.0,
            bias: 1.0,
            declared_deviation,
            task_deviation,
        }
    }

    /// Draws the declared run time of a job, its forecast, and the run times of its tasks.
    fn draw_job(&mut self) -> (u32, RunTime, [f64; TASKS]) {
        let mean_ms = self.sampler.log_normal(self.median_ms, 0.4);
        let declared_ms = self
            .sampler
            .log_normal(mean_ms * self.bias, self.declared_deviation);
        let declared_ms = declared_ms.round().max(1.0) as u32;
        let forecast = self.kinds.forecast(self.kind, declared_ms);
        let tasks = [(); TASKS].map(|()| self.sampler.log_normal(mean_ms, self.task_deviation));
        (declared_ms, forecast, tasks)
    }

    fn run_jobs(&mut self, jobs: usize) -> Vec<(RunTime, f64)> {
        let mut runs = Vec::new();
        for _ in 0..jobs {
            let (declared_ms, forecast, tasks) = self.draw_job();
            for ran_ms in tasks {
                self.kinds.record(self.kind, declared_ms, ran_ms, TASKS);
                runs.push((forecast, ran_ms));
            }
        }
        runs
    }
}

fn band_share(runs: &[(RunTime, f64)]) -> f64 {
    let is_in_band = |(forecast, ran_ms): &&(RunTime, f64)| {
        let (shortest_ms, longest_ms) = forecast.band_ms();
        (shortest_ms..=longest_ms).contains(ran_ms)
    };
    runs.iter().filter(is_in_band).count() as f64 / runs.len() as f64
}

fn bias(runs: &[(RunTime, f64)]) -> f64 {
    let ratios = runs
        .iter()
        .map(|(forecast, ran_ms)| ran_ms / forecast.median_ms);
    ratios.map(f64::ln).sum::<f64>() / runs.len() as f64
}

#[test]
fn the_band_of_a_forecast_holds_most_runs_whatever_the_error_of_declarations() {
    for declared_deviation in [0.0, 0.2, 0.4, 0.6, 0.8, 1.2] {
        for task_deviation in [0.15, 0.6] {
            let mut workload = Workload::new(declared_deviation, task_deviation);
            workload.run_jobs(50);
            let runs = workload.run_jobs(500);
            let share = band_share(&runs);
            assert!(
                share >= 0.7,
                "{declared_deviation} {task_deviation}: {share}"
            );
        }
    }
}

#[test]
fn random_declarations_are_disregarded() {
    let mut workload = Workload::new(1.2, 0.15);
    workload.run_jobs(300);
    let forecast = |declared_ms| workload.kinds.forecast(workload.kind, declared_ms);
    let (short, long) = (forecast(50), forecast(800));
    assert!(long.median_ms < short.median_ms * 2.0, "{short:?} {long:?}");
    assert!((140.0..280.0).contains(&forecast(200).median_ms));
}

#[test]
fn right_declarations_are_followed_and_have_a_narrow_band() {
    let mut workload = Workload::new(0.0, 0.15);
    workload.run_jobs(200);
    for declared_ms in [100, 200, 400] {
        let forecast = workload.kinds.forecast(workload.kind, declared_ms);
        let ratio = forecast.median_ms / f64::from(declared_ms);
        assert!((0.9..1.1).contains(&ratio), "{forecast:?}");
        assert!(forecast.log_deviation < 0.2, "{forecast:?}");
    }
}

// Declarations that are too short by a common factor made every host look slow.
#[test]
fn a_common_factor_of_all_declarations_is_learned_within_twenty_jobs() {
    for factor in [0.3, 3.0] {
        let mut workload = Workload::new(0.4, 0.15);
        workload.bias = factor;
        workload.run_jobs(20);
        let error = bias(&workload.run_jobs(50));
        assert!(error.abs() < 0.25, "{factor}: {error}");
    }
}

#[test]
fn a_kind_without_runs_is_forecast_by_its_declared_time() {
    let mut kinds = Kinds::default();
    let kind = kinds.slot(0, &Rc::from("queue"), 0);
    assert_eq!(kinds.forecast(kind, 150), RunTime::declared(150));
    assert_eq!(kinds.forecast(None, 150), RunTime::declared(150));
}

#[test]
fn declarations_of_one_queue_change_nothing_of_another() {
    let mut workload = Workload::new(1.2, 0.6);
    let other = workload.kinds.slot(0, &Rc::from("other"), 0);
    let later_step = workload.kinds.slot(0, &Rc::from("queue"), 1);
    workload.run_jobs(100);
    assert_eq!(workload.kinds.forecast(other, 80), RunTime::declared(80));
    assert_eq!(
        workload.kinds.forecast(later_step, 80),
        RunTime::declared(80)
    );
}

#[test]
fn the_number_of_kinds_is_bounded_and_unused_ones_make_room() {
    let mut kinds = Kinds::default();
    for number in 0..4_096 {
        let queue = Rc::from(format!("queue-{number}"));
        assert!(kinds.slot(0, &queue, 0).is_some());
    }
    assert_eq!(kinds.slot(1_000, &Rc::from("another"), 0), None);
    assert_eq!(kinds.len(), 4_096);
    assert!(kinds.slot(700_000, &Rc::from("another"), 0).is_some());
    assert_eq!(kinds.len(), 1);
}

#[test]
fn a_run_on_a_host_that_turned_slow_hardly_changes_the_forecast() {
    let mut workload = Workload::new(0.2, 0.15);
    workload.run_jobs(50);
    let before = workload.kinds.forecast(workload.kind, 200);
    workload.kinds.record(workload.kind, 200, 20_000.0, TASKS);
    let after = workload.kinds.forecast(workload.kind, 200);
    assert!(after.median_ms < before.median_ms * 1.05, "{after:?}");
    assert!(
        after.log_deviation < before.log_deviation * 1.1,
        "{after:?}"
    );
}
