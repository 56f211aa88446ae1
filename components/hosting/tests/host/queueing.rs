//! Start order, reserved resources, health check and speed estimate.

use hosting::TargetEnd;
use model::{NotStartedReason, Opening, Resources, RunEvent, StartOrder};

use crate::harness::{Bench, ENTRY, order, task};

fn send(bench: &mut Bench, starts: Vec<StartOrder>) {
    let orders = bench.orders(ENTRY, starts);
    bench.send(orders);
}

/// Time for which the runs of a [`full`] host are expected to go on, in milliseconds.
const EXPECTED_WAIT_MS: u32 = 50;

/// Returns a host without room, whose runs are halfway through.
fn full() -> Bench {
    let mut bench = Bench::new();
    bench.start(101..=104);
    assert_eq!(bench.execute_starts().len(), 4);
    bench.advance(50);
    bench
}

#[test]
fn no_more_tasks_start_than_fit() {
    let mut bench = full();
    bench.start([1]);
    assert_eq!(bench.execute_starts(), []);
    bench.end_run(task(101), TargetEnd::Done);
    bench.poll_target();
    assert_eq!(bench.execute_starts(), [(task(1), 1)]);
}

#[test]
fn a_task_that_does_not_fit_in_time_is_rejected() {
    let mut bench = full();
    bench.start([1]);
    bench.advance(100);
    let refused = RunEvent::NotStarted(NotStartedReason::NoRoom);
    assert_eq!(bench.outcome(1), Some(refused));
}

// Under overload, tasks waited at full hosts until their time in the queue was over, although the
// progress of the runs there showed that they would not start.
#[test]
fn a_task_that_is_not_expected_to_start_in_time_is_rejected_at_once() {
    let mut bench = full();
    let mut hopeless = order(1);
    hopeless.queue_timeout_ms = EXPECTED_WAIT_MS - 10;
    send(&mut bench, vec![hopeless, order(2)]);
    let refused = RunEvent::NotStarted(NotStartedReason::NoRoom);
    assert_eq!(bench.outcome(1), Some(refused));
    assert_eq!(bench.outcome(2), None);
}

#[test]
fn a_task_is_rejected_when_more_urgent_ones_take_the_room_that_it_waits_for() {
    let mut bench = full();
    bench.start([1]);
    assert_eq!(bench.outcome(1), None);
    let urgent = (2..=5).map(|number| StartOrder {
        priority: 0,
        ..order(number)
    });
    send(&mut bench, urgent.collect());
    let refused = RunEvent::NotStarted(NotStartedReason::NoRoom);
    assert_eq!(bench.outcome(1), Some(refused));
    for number in 2..=5 {
        assert_eq!(bench.outcome(number), None);
    }
}

#[test]
fn a_view_tells_when_room_opens_after_the_queued_tasks() {
    let mut bench = full();
    let opening = |in_ms, free_millis| Opening {
        in_ms,
        free: Resources {
            cpu_millis: free_millis,
            memory_mib: 7_960 + free_millis / 200,
            gpus: 0,
        },
    };
    let view = bench.host.view(bench.now_ms);
    assert_eq!(
        view.openings,
        [opening(0, 0), opening(EXPECTED_WAIT_MS, 8_000)]
    );
    bench.start([1]);
    let view = bench.host.view(bench.now_ms);
    assert_eq!(view.openings[0].in_ms, EXPECTED_WAIT_MS);
    assert_eq!(view.urgent_openings[0].in_ms, 0);
}

#[test]
fn tasks_of_started_jobs_start_first_then_the_most_urgent_then_the_earliest() {
    let mut bench = full();
    let mut late = order(1);
    late.slack_ms = 50;
    let mut later = order(2);
    later.slack_ms = 90;
    let mut urgent = order(3);
    urgent.priority = 0;
    urgent.slack_ms = 200;
    let mut started = order(4);
    started.has_started_tasks = true;
    started.slack_ms = 500;
    send(&mut bench, vec![later, late, urgent, started]);
    for running in 101..=104 {
        bench.end_run(task(running), TargetEnd::Done);
    }
    bench.poll_target();
    let order: Vec<_> = bench.execute_starts().iter().map(|run| run.0).collect();
    assert_eq!(order, [task(4), task(3), task(1), task(2)]);
}

#[test]
fn a_target_that_fails_different_jobs_is_ejected_and_then_gets_one_task() {
    let mut bench = Bench::new();
    for number in 1..=3 {
        bench.start([number]);
        bench.execute_starts();
        bench.end_run(task(number), TargetEnd::Failed);
        bench.poll_target();
    }
    assert!(!bench.host.view(bench.now_ms).is_open);
    bench.advance(1_050);
    assert!(bench.host.view(bench.now_ms).is_open);
    bench.start([4]);
    assert_eq!(bench.execute_starts().len(), 1);
    assert!(!bench.host.view(bench.now_ms).is_open);
    bench.end_run(task(4), TargetEnd::Done);
    bench.poll_target();
    bench.start([5, 6]);
    assert_eq!(bench.execute_starts().len(), 2);
}

#[test]
fn a_job_that_always_fails_does_not_eject_its_target() {
    let mut bench = Bench::new();
    for attempt in 1..=8 {
        let mut again = order(1);
        again.tasks = vec![(0, attempt)];
        send(&mut bench, vec![again]);
        assert_eq!(bench.execute_starts().len(), 1);
        bench.end_run(task(1), TargetEnd::Failed);
        bench.poll_target();
    }
    assert!(bench.host.view(bench.now_ms).is_open);
}

#[test]
fn a_run_without_progress_is_reported_as_stalled_once() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance(400);
    let stalls = bench.events.iter();
    let stalls = stalls.filter(|(_, event)| *event == RunEvent::Stalled);
    assert_eq!(stalls.count(), 1);
}

#[test]
fn the_speed_of_a_target_is_estimated_from_its_runs() {
    let mut bench = Bench::new();
    for number in 1..=12 {
        bench.start([number]);
        bench.execute_starts();
        for percent in 1..=9 {
            bench.running[0].percent = percent * 10;
            bench.advance(40);
        }
        bench.end_run(task(number), TargetEnd::Done);
        bench.advance(40);
    }
    let speed = bench.host.view(bench.now_ms).speed_permille;
    assert!((200..400).contains(&speed), "{speed}");
}

/// An order for a task of one core, an eighth of the host's capacity.
fn small_order(number: u64, priority: u8) -> StartOrder {
    let mut small = order(number);
    small.needs.cpu_millis = 1_000;
    small.priority = priority;
    small
}

#[test]
fn deferrable_tasks_leave_resources_for_an_urgent_one() {
    let mut bench = Bench::new();
    let patient = (1..=8).map(|number| small_order(number, 1)).collect();
    send(&mut bench, patient);
    assert_eq!(bench.execute_starts().len(), 7);
    send(&mut bench, vec![small_order(9, 0)]);
    assert_eq!(bench.execute_starts(), [(task(9), 1)]);
}

#[test]
fn a_task_close_to_its_latest_start_uses_the_reserved_resources() {
    let mut bench = Bench::new();
    let mut patient: Vec<StartOrder> = (1..=8).map(|number| small_order(number, 1)).collect();
    patient[7].slack_ms = 110;
    patient[7].queue_timeout_ms = 200;
    send(&mut bench, patient);
    assert_eq!(bench.execute_starts().len(), 7);
    bench.advance(50);
    assert_eq!(bench.execute_starts(), []);
    bench.advance(30);
    assert_eq!(bench.execute_starts(), [(task(8), 1)]);
}
