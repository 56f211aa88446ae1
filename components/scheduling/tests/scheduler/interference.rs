//! Placement of kinds of task that slow each other down.

use std::rc::Rc;

use model::{HostView, KindKey, KindRuns, Neighbors, PairEffect};
use scheduling::{JobRequest, QueueRules, SchedulerAction, SubmitOutcome};

use crate::support::{Bench, START_MS, id, job, opening, queue, view};

fn kind(queue: &str) -> KindKey {
    KindKey::of_step(queue, 0)
}

/// A bench of two hosts; `beside` runs on host 0.
struct Fleet {
    bench: Bench,
    beside: KindKey,
    effects: Vec<PairEffect>,
    free_millis: [u32; 2],
}

impl Fleet {
    fn new(is_on: bool, effects: Vec<PairEffect>) -> Self {
        let mut bench = Bench::new(2);
        bench.scheduler = bench.scheduler.separating_interfering_tasks(is_on);
        let mut fleet = Self {
            bench,
            beside: kind("noisy"),
            effects,
            free_millis: [7_000, 6_000],
        };
        fleet.report();
        fleet.bench.tick(0);
        fleet
    }

    fn view(&self, host: usize) -> HostView {
        let runs = KindRuns {
            kind: self.beside,
            count: 1,
            recent_percent: 100,
        };
        let free_millis = self.free_millis[host];
        HostView {
            free: opening(0, free_millis).free,
            openings: vec![opening(0, free_millis), opening(400, 8_000)],
            urgent_openings: vec![opening(0, free_millis), opening(400, 8_000)],
            neighbors: Neighbors {
                runs: if host == 0 { vec![runs] } else { Vec::new() },
                effects: self.effects.clone(),
            },
            ..view(free_millis)
        }
    }

    fn report(&mut self) {
        for host in 0..2 {
            let view = self.view(host);
            self.bench.report_view(host, view, &[]);
        }
    }

    /// Submits a job of one task and returns its host; host 0 has more room.
    fn place(&mut self, number: u64, queue_name: &str) -> Option<usize> {
        let rules = QueueRules {
            name: Rc::from(queue_name),
            ..(*queue(1)).clone()
        };
        let request = JobRequest {
            id: id(number),
            queue: Rc::new(rules),
            ..job(number, 1)
        };
        let outcome = self.bench.submit(request);
        assert!(
            matches!(outcome, SubmitOutcome::Admitted(..)),
            "{outcome:?}"
        );
        (0..2).find(|host| self.bench.orders(*host).is_some())
    }
}

fn effect(of: &str, by: &str, log_factor_permille: i16) -> PairEffect {
    PairEffect {
        of: kind(of),
        by: kind(by),
        log_factor_permille,
        deviation_permille: 60,
    }
}

/// Guards against a task that joins a kind which slows it down although another host is free.
#[test]
fn a_task_avoids_the_kind_that_slows_it_down() {
    let mut fleet = Fleet::new(true, vec![effect("quiet", "noisy", 690)]);
    assert_eq!(fleet.place(1, "quiet"), Some(1));
}

/// Guards against a task that slows down runs of another kind although another host is free.
#[test]
fn a_task_avoids_the_kind_that_it_slows_down() {
    let mut fleet = Fleet::new(true, vec![effect("noisy", "quiet", 690)]);
    assert_eq!(fleet.place(1, "quiet"), Some(1));
}

/// Guards against an effect on kinds that no pair concerns, without evidence, or without the setting.
#[test]
fn placement_is_as_before_without_a_believed_pair() {
    let pair = || effect("quiet", "noisy", 690);
    let weak = PairEffect {
        deviation_permille: 300,
        ..effect("quiet", "noisy", 400)
    };
    for (is_on, effects) in [
        (false, vec![pair()]),
        (true, Vec::new()),
        (true, vec![weak]),
        (true, vec![effect("quiet", "noisy", -690)]),
        (true, vec![effect("third", "noisy", 690)]),
    ] {
        let mut fleet = Fleet::new(is_on, effects.clone());
        assert_eq!(fleet.place(1, "quiet"), Some(0), "{is_on} {effects:?}");
    }
}

/// Guards against refusals, and against waits that cost more than the interference.
#[test]
fn separation_gives_way_without_free_capacity() {
    let mut fleet = Fleet::new(true, vec![effect("quiet", "noisy", 690)]);
    fleet.free_millis = [7_000, 0];
    fleet.report();
    assert_eq!(fleet.place(1, "quiet"), Some(0));
}

/// Guards against beliefs that stay when their hosts are silent, and against pairs that are not logged.
#[test]
fn a_pair_is_logged_when_it_is_believed_and_when_it_is_dropped() {
    let mut fleet = Fleet::new(true, vec![effect("quiet", "noisy", 690)]);
    let changes = |fleet: &mut Fleet| -> Vec<bool> {
        let actions = std::mem::take(&mut fleet.bench.actions);
        let changes = actions.into_iter().filter_map(|action| match action {
            SchedulerAction::LogInterference { change, .. } => Some(change.is_believed),
            _ => None,
        });
        changes.collect()
    };
    assert_eq!(changes(&mut fleet), [true]);
    assert_eq!(fleet.bench.scheduler.interfering_pairs().len(), 1);
    fleet.effects.clear();
    while fleet.bench.now_ms < START_MS + 10_000 {
        fleet.report();
        fleet.bench.tick(500);
    }
    assert_eq!(changes(&mut fleet), [false]);
    assert!(fleet.bench.scheduler.interfering_pairs().is_empty());
}
