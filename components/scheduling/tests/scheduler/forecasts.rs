//! Learned run times, and admission by the chance of being in time.

use crate::support::{Bench, DECLARED_MS, ended, job, opening, view};
use model::{HostView, RunEnd};
use scheduling::{NotRunReason, SubmitOutcome, Verdict};

const JOBS: u64 = 40;

/// Completes a job on the only host; every task takes `ran_ms`.
fn complete_job(bench: &mut Bench, number: u64, ran_ms: u32) {
    bench.submit(job(number, 1));
    let orders = bench.orders(0).expect("orders");
    let runs = Bench::runs(&orders);
    bench.answer_orders(0, &orders);
    bench.tick(u64::from(ran_ms));
    bench.report(0, &[(runs[0], ended(RunEnd::Done, ran_ms))]);
}

#[test]
fn orders_carry_the_run_time_that_was_learned() {
    let mut bench = Bench::new(1);
    let factor = 3;
    for number in 1..=JOBS {
        complete_job(&mut bench, number, factor * DECLARED_MS);
    }
    bench.submit(job(JOBS + 1, 1));
    let start = &bench.orders(0).expect("orders").starts[0];
    let learned = 260..=310;
    assert!(learned.contains(&start.estimate_ms), "{start:?}");
    assert!(start.log_deviation_permille < 200, "{start:?}");
}

#[test]
fn a_task_is_placed_on_a_closing_host_only_if_it_ends_before_that() {
    for (closes_in_ms, is_placed) in [(300, true), (50, false)] {
        let mut bench = Bench::new(1);
        let mut closing = view(8_000);
        closing.closes_in_ms = Some(closes_in_ms);
        bench.report_view(0, closing, &[]);
        bench.submit(job(1, 1));
        assert_eq!(bench.orders(0).is_some(), is_placed, "{closes_in_ms}");
    }
}

/// Returns the view of a host on which a declared second takes about 2.5 s, with the label `b`.
fn slow_view(waits_ms: u32) -> HostView {
    let mut slow = view(if waits_ms == 0 { 8_000 } else { 0 });
    slow.labels = vec!["b".into()];
    slow.speed_permille = 400;
    slow.openings = vec![opening(waits_ms, 8_000)];
    slow
}

fn submit_to_slow_host(waits_ms: u32, time_left_ms: u64) -> SubmitOutcome {
    let mut bench = Bench::new(3);
    bench.report_view(0, slow_view(waits_ms), &[]);
    let mut slow_job = job(1, 1);
    slow_job.steps[0].declared_ms = 400;
    slow_job.steps[0].required_label = Some("b".into());
    slow_job.time_left_ms = time_left_ms;
    bench.submit(slow_job)
}

fn is_refused_for_overload(outcome: &SubmitOutcome) -> bool {
    let refusal = |verdict: &Verdict| {
        matches!(
            verdict,
            Verdict::NotRun {
                reason: NotRunReason::Overload,
                ..
            }
        )
    };
    matches!(outcome, SubmitOutcome::Refused(verdict, _) if refusal(verdict))
}

// Jobs that were forecast to be late were refused while hosts stood idle.
#[test]
fn a_job_that_will_be_late_is_admitted_to_an_idle_host() {
    let outcome = submit_to_slow_host(0, 2_500);
    assert!(
        matches!(outcome, SubmitOutcome::Admitted(..)),
        "{outcome:?}"
    );
}

#[test]
fn a_job_that_will_be_late_is_refused_if_it_would_take_room_from_others() {
    let outcome = submit_to_slow_host(200, 2_500);
    assert!(is_refused_for_overload(&outcome), "{outcome:?}");
}

#[test]
fn a_job_that_cannot_end_before_its_caller_leaves_is_refused_at_once() {
    let outcome = submit_to_slow_host(0, 300);
    assert!(is_refused_for_overload(&outcome), "{outcome:?}");
}
