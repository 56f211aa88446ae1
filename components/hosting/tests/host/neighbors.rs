//! Records of what runs side by side.

use hosting::TargetEnd;
use model::{KindKey, RunEvent, StartOrder};

use crate::harness::{Bench, ENTRY, OTHER_ENTRY, order, task};

const OF: KindKey = KindKey(1);
const BY: KindKey = KindKey(2);

fn separating() -> Bench {
    let mut bench = Bench::new();
    bench.host = bench.host.separating_interfering_tasks(true);
    bench
}

impl Bench {
    fn start_kind(&mut self, number: u64, kind: KindKey) {
        let start = StartOrder {
            kind,
            ..order(number)
        };
        let orders = self.orders(ENTRY, vec![start]);
        self.send(orders);
        self.execute_starts();
    }

    fn finish(&mut self, number: u64) {
        self.end_run(task(number), TargetEnd::Done);
        self.poll_target();
    }

    /// Lets runs of one kind take twice as long in every other round, in which one of another is there.
    fn run_rounds(&mut self, rounds: u64) {
        for round in 0..rounds {
            let is_beside = round % 2 == 0;
            let number = 2 * round;
            if is_beside {
                self.start_kind(number + 1, BY);
            }
            self.start_kind(number, OF);
            self.advance(if is_beside { 200 } else { 100 });
            self.finish(number);
            if is_beside {
                self.finish(number + 1);
            }
        }
    }
}

/// Guards against exposures that are not recorded, and against summaries in every update.
#[test]
fn effects_are_estimated_and_sent_from_time_to_time() {
    let mut bench = separating();
    bench.run_rounds(80);
    bench.advance(5_000);
    let views: Vec<_> = (0..10)
        .map(|_| {
            bench.now_ms += 400;
            bench.poll_target();
            bench.request_update(ENTRY).view.neighbors
        })
        .collect();
    let mut with_effects = views.iter().filter(|view| !view.effects.is_empty());
    assert_eq!(with_effects.clone().count(), 2);
    let summary = with_effects.next_back().expect("a summary");
    let pair = summary.effects.iter().find(|at| at.of == OF && at.by == BY);
    let pair = pair.expect("an estimated pair");
    let lower_permille =
        i32::from(pair.log_factor_permille) - 3 * i32::from(pair.deviation_permille);
    assert!(lower_permille > 150, "{pair:?}");
    // A further entry does not wait for the interval of the first.
    let other = bench.request_update(OTHER_ENTRY).view.neighbors;
    assert!(!other.effects.is_empty());
}

/// Guards against runs that are still counted after their end.
#[test]
fn the_view_names_the_kinds_that_are_there() {
    let mut bench = separating();
    bench.start_kind(1, OF);
    bench.start_kind(2, BY);
    let mut runs = bench.request_update(ENTRY).view.neighbors.runs;
    runs.sort_unstable_by_key(|at| at.kind);
    let counts: Vec<_> = runs.iter().map(|at| (at.kind, at.count)).collect();
    assert_eq!(counts, [(OF, 1), (BY, 1)]);
    bench.finish(1);
    bench.finish(2);
    bench.advance(10_000);
    assert!(bench.request_update(ENTRY).view.neighbors.runs.is_empty());
}

/// Guards against bytes and work at agents without the setting.
#[test]
fn nothing_is_reported_without_the_setting() {
    let mut bench = Bench::new();
    bench.run_rounds(40);
    bench.start_kind(1_000, OF);
    let neighbors = bench.request_update(ENTRY).view.neighbors;
    assert_eq!(neighbors, model::Neighbors::default());
    assert!(bench.host.pair_effects(bench.now_ms).is_empty());
}

/// Guards against runs on a busy host that are reported as run alone, and the reverse.
#[test]
fn ends_tell_whether_the_host_was_busy_at_the_start() {
    let mut bench = Bench::new();
    for number in 1..=4 {
        bench.start_kind(number, OF);
    }
    for number in 1..=4 {
        bench.finish(number);
        let Some(RunEvent::Ended(_, durations)) = bench.outcome(number) else {
            panic!("run {number} has not ended");
        };
        // Of eight cores, two, four and six were in use when the later runs started.
        assert_eq!(durations.was_host_busy, number == 4, "run {number}");
    }
}
