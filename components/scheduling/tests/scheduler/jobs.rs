//! Tests of the scheduler of an entry: admission, placement, recovery and answers.

use std::rc::Rc;

use crate::support::*;
use model::{NotStartedReason, ProcessKey, RunEnd, RunEvent};
use scheduling::{
    HOST_RETENTION_MS, JobState, MAX_RUN_AFTER_PERMIT_MS, MIN_CONNECTED_HOSTS, NotRunReason,
    QueueRules, Route, RouteTable, SubmitOutcome, Verdict,
};

#[test]
fn job_is_completed_when_its_last_task_is_done() {
    let mut bench = Bench::new(1);
    assert!(matches!(
        bench.submit(job(1, 2)),
        SubmitOutcome::Admitted(..)
    ));
    let runs = Bench::runs(&bench.orders(0).expect("orders"));
    assert_eq!(runs.len(), 2);
    bench.report(0, &[(runs[0], ended(RunEnd::Done, 100))]);
    assert_eq!(bench.verdict(), None);
    bench.report(0, &[(runs[1], ended(RunEnd::Done, 100))]);
    assert_eq!(bench.verdict(), Some(Verdict::Completed));
}

#[test]
fn copy_of_an_answered_request_gets_the_same_answer() {
    let mut bench = Bench::new(1);
    bench.submit(job(1, 1));
    let runs = Bench::runs(&bench.orders(0).expect("orders"));
    bench.report(0, &[(runs[0], ended(RunEnd::Done, 100))]);
    assert_eq!(
        bench.submit(job(1, 1)),
        SubmitOutcome::AlreadyAnswered(Verdict::Completed)
    );
}

#[test]
fn job_with_a_late_expected_answer_is_refused_on_arrival() {
    let mut bench = Bench::new(1);
    let mut busy = view(0);
    busy.backlog_core_ms = 80_000;
    busy.waiting_core_ms = 40_000;
    bench.report_view(0, busy, &[]);
    let refused = bench.submit(job(1, 1));
    assert!(
        matches!(
            refused,
            SubmitOutcome::Refused(
                Verdict::NotRun {
                    reason: NotRunReason::Overload,
                    retry_after_ms: 1_000..
                },
                _
            )
        ),
        "{refused:?}"
    );
    assert!(bench.orders(0).is_none());
}

#[test]
fn retry_delays_of_refused_jobs_are_spread() {
    let mut bench = Bench::new(0);
    let mut times = std::collections::BTreeSet::new();
    for number in 0..50 {
        if let SubmitOutcome::Refused(Verdict::NotRun { retry_after_ms, .. }, _) =
            bench.submit(job(number * 7_919, 1))
        {
            times.insert(retry_after_ms);
        }
    }
    assert!(times.len() > 25, "{times:?}");
}

#[test]
fn failed_task_is_retried_on_another_host_and_its_second_failure_fails_the_job() {
    let mut bench = Bench::new(2);
    bench.submit(job(1, 1));
    let first = (0..2).find(|host| bench.scheduler.has_orders(bench.slots[*host]));
    let first = first.expect("a host");
    let run = Bench::runs(&bench.orders(first).expect("orders"))[0];
    bench.report(first, &[(run, RunEvent::Started)]);
    bench.report(first, &[(run, ended(RunEnd::Failed, 10))]);
    let second = 1 - first;
    let retried = Bench::runs(&bench.orders(second).expect("orders"))[0];
    assert!(retried.attempt > run.attempt);
    bench.report(second, &[(retried, ended(RunEnd::Failed, 10))]);
    assert_eq!(bench.verdict(), Some(Verdict::Failed));
}

#[test]
fn job_that_cannot_start_in_time_is_not_run_once_its_orders_are_withdrawn() {
    let mut bench = Bench::new(1);
    bench.submit(job(1, 2));
    let orders = bench.orders(0).expect("orders");
    let runs = Bench::runs(&orders);
    bench.now_ms += 250;
    let mut busy = view(0);
    busy.backlog_core_ms = 80_000;
    busy.waiting_core_ms = 40_000;
    let no_room = RunEvent::NotStarted(NotStartedReason::NoRoom);
    bench.report_view(0, busy, &[(runs[0], no_room)]);
    assert_eq!(bench.verdict(), None, "the other order may still start");
    bench.answer_orders(0, &orders);
    let stops = bench.orders(0).expect("a stop").stops;
    assert_eq!(stops, [runs[1]]);
    let withdrawn = RunEvent::NotStarted(NotStartedReason::Withdrawn);
    bench.report(0, &[(runs[1], withdrawn)]);
    assert!(matches!(bench.verdict(), Some(Verdict::NotRun { .. })));
}

#[test]
fn withdrawn_job_with_a_started_task_is_answered_expired() {
    let mut bench = Bench::new(1);
    bench.submit(job(1, 2));
    let orders = bench.orders(0).expect("orders");
    let runs = Bench::runs(&orders);
    bench.now_ms += 250;
    let mut busy = view(0);
    busy.backlog_core_ms = 80_000;
    busy.waiting_core_ms = 40_000;
    let no_room = RunEvent::NotStarted(NotStartedReason::NoRoom);
    bench.report_view(0, busy, &[(runs[0], no_room)]);
    bench.report(0, &[(runs[1], RunEvent::Started)]);
    bench.report(0, &[(runs[1], ended(RunEnd::Stopped, 5))]);
    assert_eq!(bench.verdict(), Some(Verdict::Expired));
}

#[test]
fn runs_are_stopped_when_the_caller_disconnects() {
    let mut bench = Bench::new(1);
    let SubmitOutcome::Admitted(slot, _) = bench.submit(job(1, 1)) else {
        panic!("admitted");
    };
    let orders = bench.orders(0).expect("orders");
    bench.answer_orders(0, &orders);
    bench
        .scheduler
        .caller_disconnected(slot, &mut bench.actions);
    assert_eq!(bench.orders(0).expect("a stop").stops, Bench::runs(&orders));
}

#[test]
fn unsent_order_is_cancelled_when_the_caller_disconnects() {
    let mut bench = Bench::new(1);
    let SubmitOutcome::Admitted(slot, _) = bench.submit(job(1, 1)) else {
        panic!("admitted");
    };
    bench
        .scheduler
        .caller_disconnected(slot, &mut bench.actions);
    assert!(bench.orders(0).is_none());
}

#[test]
fn task_on_a_disconnected_host_is_not_retried_before_its_run_must_have_ended() {
    let mut bench = Bench::new(2);
    let mut long_job = job(1, 1);
    long_job.time_left_ms = 10_000;
    bench.submit(long_job);
    let first = (0..2).find(|host| bench.scheduler.has_orders(bench.slots[*host]));
    let first = first.expect("a host");
    let second = 1 - first;
    bench.orders(first).expect("orders");
    bench.scheduler.host_disconnected(bench.slots[first]);
    let mut waited_ms = 0;
    while waited_ms + 50 < MAX_RUN_AFTER_PERMIT_MS {
        waited_ms += 50;
        bench.tick(50);
        bench.report(second, &[]);
        assert!(bench.orders(second).is_none(), "after {waited_ms} ms");
    }
    bench.tick(100);
    assert!(bench.orders(second).is_some());
}

// Guards against a second start of a task: a host is partitioned for 2.2 s, its task is placed on
// another host, and after the reconnection the in-flight order is resent (simulation seed 1129).
#[test]
fn in_flight_order_is_not_resent_when_its_task_was_placed_on_another_host() {
    let mut bench = Bench::new(2);
    let mut long_job = job(1, 1);
    long_job.time_left_ms = 10_000;
    bench.submit(long_job);
    let first = (0..2).find(|host| bench.scheduler.has_orders(bench.slots[*host]));
    let first = first.expect("a host");
    bench.orders(first).expect("orders");
    bench.scheduler.host_disconnected(bench.slots[first]);
    bench.tick(MAX_RUN_AFTER_PERMIT_MS + 100);
    bench.report(1 - first, &[]);
    bench.tick(20);
    bench.connect(first);
    bench.report(first, &[]);
    let resent = bench.orders(first).expect("the resent orders");
    assert_eq!(resent.starts, []);
}

#[test]
fn job_on_a_lost_host_is_answered_lost_when_it_cannot_be_retried_before_its_deadline() {
    let mut bench = Bench::new(1);
    bench.submit(job(1, 1));
    bench.orders(0).expect("orders");
    bench.scheduler.host_disconnected(bench.slots[0]);
    bench.tick(400);
    assert_eq!(bench.verdict(), None);
    bench.tick(100);
    assert_eq!(bench.verdict(), Some(Verdict::Lost));
}

#[test]
fn task_is_retried_at_once_when_a_new_agent_reports_that_earlier_runs_have_ended() {
    let mut bench = Bench::new(1);
    bench.submit(job(1, 1));
    bench.orders(0).expect("orders");
    bench.scheduler.host_disconnected(bench.slots[0]);
    bench.now_ms += 200;
    let slot = bench.slots[0];
    bench.scheduler.host_connected(slot, ProcessKey(999));
    let mut update = bench.host_update(0, view(8_000));
    update.permit.agent = ProcessKey(999);
    bench
        .scheduler
        .handle_update(bench.now_ms, slot, None, &update, &mut bench.actions);
    bench.tick(20);
    assert_eq!(bench.orders(0).expect("orders").starts.len(), 1);
}

#[test]
fn jobs_are_answered_lost_when_the_process_resumes_from_a_suspension() {
    let mut bench = Bench::new(1);
    bench.submit(job(1, 1));
    bench.orders(0).expect("orders");
    bench.now_ms += 3_000;
    let now_ms = bench.now_ms;
    bench.scheduler.abandon_jobs(now_ms, &mut bench.actions);
    assert_eq!(bench.verdict(), Some(Verdict::Lost));
}

#[test]
fn job_is_refused_when_the_only_host_view_is_outdated() {
    let mut bench = Bench::new(1);
    bench.now_ms += 400;
    let refused = bench.submit(job(1, 1));
    assert!(matches!(refused, SubmitOutcome::Refused(..)), "{refused:?}");
}

#[test]
fn dependent_step_is_ordered_when_the_earlier_step_is_done() {
    let mut bench = Bench::new(1);
    let mut chain = job(1, 1);
    let mut last = chain.steps[0].clone();
    last.after = vec![0];
    chain.steps.push(last);
    bench.submit(chain);
    let orders = bench.orders(0).expect("orders");
    let runs = Bench::runs(&orders);
    assert_eq!(runs.len(), 1);
    bench.answer_orders(0, &orders);
    bench.report(0, &[(runs[0], ended(RunEnd::Done, 100))]);
    let runs = Bench::runs(&bench.orders(0).expect("orders"));
    assert_eq!((runs.len(), runs[0].task.step), (1, 1));
}

#[test]
fn required_label_and_max_per_host_are_respected() {
    let mut bench = Bench::new(2);
    let mut limited = job(1, 4);
    limited.steps[0].max_per_host = Some(2);
    bench.submit(limited);
    for host in 0..2 {
        assert_eq!(Bench::runs(&bench.orders(host).expect("orders")).len(), 2);
    }
    let mut labelled = job(2, 1);
    labelled.steps[0].required_label = Some(Rc::from("b"));
    let refused = bench.submit(labelled);
    assert!(
        matches!(
            refused,
            SubmitOutcome::Refused(
                Verdict::NotRun {
                    reason: NotRunReason::NoFittingHost,
                    ..
                },
                _
            )
        ),
        "{refused:?}"
    );
}

// Guards against overload of a slow host that many entries choose with views of the same age.
#[test]
fn slow_host_is_preferred_until_it_has_little_free_cpu() {
    let mut bench = Bench::new(2);
    let mut slow = view(8_000);
    slow.speed_permille = 700;
    bench.report_view(0, slow.clone(), &[]);
    bench.submit(job(1, 1));
    let orders = bench.orders(0).expect("the slow host finishes in time");
    bench.answer_orders(0, &orders);
    slow.free.cpu_millis = 2_000;
    bench.report_view(0, slow, &[]);
    bench.submit(job(2, 1));
    assert!(bench.orders(0).is_none());
    assert!(bench.orders(1).is_some());
}

#[test]
fn route_with_the_longest_matching_prefix_is_found() {
    let route = |prefix: &str, name: &str| Route {
        virtual_host: "host.example".to_owned(),
        path_prefix: prefix.to_owned(),
        queue: Rc::new(QueueRules {
            name: Rc::from(name),
            ..(*queue(0)).clone()
        }),
    };
    let table = RouteTable::new(vec![route("/a/", "short"), route("/a/b/", "long")]);
    let found = |host: &str, path: &str| {
        let found = table.find(host, path);
        found.map(|(route, rest)| (route.queue.name.to_string(), rest.to_owned()))
    };
    assert_eq!(
        found("HOST.example:80", "/a/b/1"),
        Some(("long".into(), "1".into()))
    );
    assert_eq!(
        found("host.example", "/a/1"),
        Some(("short".into(), "1".into()))
    );
    assert_eq!(found("other.example", "/a/1"), None);
    assert_eq!(found("host.example", "/c/1"), None);
}

#[test]
fn host_is_removed_only_after_it_was_disconnected_for_the_retention_time() {
    let mut bench = Bench::new(1);
    let slot = bench.slots[0];
    let remove = |bench: &mut Bench| bench.scheduler.remove_expired_host(bench.now_ms, slot);
    bench.tick(HOST_RETENTION_MS + 1);
    assert!(!remove(&mut bench), "the host is connected");
    bench.report(0, &[]);
    bench.scheduler.host_disconnected(slot);
    bench.tick(HOST_RETENTION_MS - 1);
    assert!(!remove(&mut bench), "the host may reconnect");
    bench.tick(1);
    assert!(remove(&mut bench));
    assert_eq!(bench.scheduler.hosts(bench.now_ms), []);
}

#[test]
fn host_that_keeps_room_for_an_urgent_task_is_preferred() {
    let mut bench = Bench::new(2);
    let mut nearly_full = view(1_000);
    nearly_full.speed_permille = 1_200;
    nearly_full.backlog_core_ms = 2_000;
    bench.report_view(0, nearly_full, &[]);
    bench.report_view(1, view(2_000), &[]);
    bench.submit(job(1, 1));
    assert!(bench.orders(0).is_none());
    assert!(bench.orders(1).is_some());
}

#[test]
fn host_whose_room_opens_first_is_preferred() {
    let mut bench = Bench::new(2);
    for (host, in_ms) in [(0, 60), (1, 20)] {
        let mut full = view(0);
        full.backlog_core_ms = 800;
        full.openings = vec![opening(0, 0), opening(in_ms, 8_000)];
        bench.report_view(host, full, &[]);
    }
    bench.submit(job(1, 1));
    assert!(bench.orders(0).is_none());
    assert!(bench.orders(1).is_some());
}

// Tasks were sent to hosts with a shorter time in the queue than the wait expected there, so that
// each host returned them.
#[test]
fn task_may_stay_in_the_queue_for_longer_than_its_expected_wait() {
    let mut bench = Bench::new(1);
    let wait_ms = 100;
    let mut full = view(0);
    full.openings = vec![opening(0, 0), opening(wait_ms, 8_000)];
    bench.report_view(0, full, &[]);
    let mut long = job(1, 1);
    long.steps[0].declared_ms = 900;
    bench.submit(long);
    let orders = bench.orders(0).expect("orders");
    assert!(orders.starts[0].queue_timeout_ms > wait_ms, "{orders:?}");
}

#[test]
fn tasks_of_a_job_do_not_count_on_the_same_room() {
    let mut bench = Bench::new(2);
    let room = 2_000; // for two of the tasks
    for host in 0..2 {
        let mut full = view(0);
        full.urgent_openings = vec![opening(0, 0), opening(20, room)];
        bench.report_view(host, full, &[]);
    }
    let mut urgent = job(1, 4);
    urgent.queue = queue(0);
    bench.submit(urgent);
    for host in 0..2 {
        let orders = bench.orders(host).expect("orders");
        assert_eq!(Bench::runs(&orders).len(), 2, "{orders:?}");
    }
}

fn wanted_host_count(bench: &Bench) -> usize {
    let slots = bench.slots.iter();
    slots
        .filter(|slot| bench.scheduler.is_connection_wanted(**slot))
        .count()
}

#[test]
fn entry_connects_to_a_subset_of_a_large_fleet_and_replaces_unusable_hosts() {
    let mut bench = Bench::new(100);
    assert_eq!(wanted_host_count(&bench), MIN_CONNECTED_HOSTS);
    // Disconnected hosts do not count towards the subset, so that others are added.
    for host in 0..100 {
        bench.scheduler.host_disconnected(bench.slots[host]);
    }
    for _ in 0..5 {
        bench.tick(600);
    }
    assert_eq!(wanted_host_count(&bench), 100);
}

/// Submits jobs while all hosts are nearly full; every fourth host has the label `b`.
fn overload(bench: &mut Bench, hosts: usize, required_label: Option<&str>) {
    for number in 1..=20 {
        for host in 0..hosts {
            let mut nearly_full = view(500);
            if host % 4 == 0 {
                nearly_full.labels.push(Rc::from("b"));
            }
            bench.report_view(host, nearly_full, &[]);
        }
        let mut request = job(number, 2);
        request.steps[0].required_label = required_label.map(Rc::from);
        bench.submit(request);
        bench.tick(100);
    }
}

#[test]
fn subset_grows_while_few_hosts_suit_unsafe_placements_and_shrinks_afterwards() {
    let mut bench = Bench::new(100);
    overload(&mut bench, 100, Some("b"));
    let most = wanted_host_count(&bench);
    assert!(most > 2 * MIN_CONNECTED_HOSTS, "{most}");
    for _ in 0..400 {
        for host in 0..100 {
            bench.report(host, &[]);
        }
        bench.tick(100);
    }
    // The connection to a host is kept while it has work of the entry.
    let fewest = wanted_host_count(&bench);
    assert!(fewest < most && fewest >= MIN_CONNECTED_HOSTS, "{fewest}");
}

// Under overload, entries connected to all hosts of a large fleet, although these were as busy as
// the first ones.
#[test]
fn subset_does_not_grow_when_many_suitable_hosts_are_busy() {
    let mut bench = Bench::new(160);
    overload(&mut bench, 160, None);
    let wanted = wanted_host_count(&bench);
    assert!(wanted < 2 * MIN_CONNECTED_HOSTS, "{wanted}");
}

// An agent could not tell that tasks had been placed by the labels of an earlier target of its host.
#[test]
fn orders_name_the_target_that_their_tasks_were_placed_at() {
    let mut bench = Bench::new(1);
    let of_target = |number| model::HostView {
        target_number: Some(number),
        ..view(8_000)
    };
    bench.report_view(0, of_target(3), &[]);
    bench.submit(job(1, 1));
    bench.report_view(0, of_target(4), &[]);
    bench.submit(job(2, 1));
    let orders = bench.orders(0).expect("orders");
    let numbers: Vec<Option<u32>> = orders.starts.iter().map(|s| s.target_number).collect();
    assert_eq!(numbers, [Some(3), Some(4)]);
    bench.report_view(0, of_target(5), &[]);
    assert_eq!(bench.orders(0).expect("resent").starts, orders.starts);
}

// A planned stop closed the connections of jobs that waited for room, with no answer.
#[test]
fn jobs_that_have_not_started_are_answered_as_not_run_when_the_entry_shuts_down() {
    let mut bench = Bench::new(1);
    bench.submit(job(1, 1));
    let started = Bench::runs(&bench.orders(0).expect("orders"));
    bench.report(0, &[(started[0], RunEvent::Started)]);
    let first = bench.orders(0).expect("in flight");
    bench.answer_orders(0, &first);
    bench.submit(job(2, 1));
    let waiting = bench.orders(0).expect("orders");
    let runs = Bench::runs(&waiting);
    bench.answer_orders(0, &waiting);
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    bench.scheduler.withdraw_unstarted(now_ms, actions);
    assert_eq!(bench.verdict(), None);
    let stops = bench.orders(0).expect("a stop").stops;
    assert_eq!(stops, runs);
    let withdrawn = RunEvent::NotStarted(NotStartedReason::Withdrawn);
    bench.report(0, &[(runs[0], withdrawn)]);
    let verdict = bench.verdict();
    assert!(
        matches!(
            verdict,
            Some(Verdict::NotRun {
                reason: NotRunReason::ShuttingDown,
                ..
            })
        ),
        "{verdict:?}"
    );
    assert_eq!(bench.scheduler.job_count(), 1);
}

// A cancel was answered as if there were no such job, and its tasks went on starting.
#[test]
fn a_cancelled_job_is_stopped_and_its_callers_are_answered() {
    let mut bench = Bench::new(1);
    bench.submit(job(1, 2));
    let orders = bench.orders(0).expect("orders");
    let runs = Bench::runs(&orders);
    bench.report(0, &[(runs[0], RunEvent::Started)]);
    bench.answer_orders(0, &orders);
    let (scheduler, now_ms) = (&mut bench.scheduler, bench.now_ms);
    assert_eq!(scheduler.job_state("queue", id(1)), Some(JobState::Running));
    assert!(!scheduler.cancel(now_ms, "another queue", id(1), &mut bench.actions));
    assert!(scheduler.cancel(now_ms, "queue", id(1), &mut bench.actions));
    assert!(!scheduler.cancel(now_ms, "queue", id(1), &mut bench.actions));
    assert_eq!(bench.verdict(), Some(Verdict::Cancelled));
    assert_eq!(bench.orders(0).expect("stops").stops, runs);
    let state = bench.scheduler.job_state("queue", id(1));
    assert_eq!(state, Some(JobState::Cancelled));
    // The state of a job is not told to callers of another queue.
    assert_eq!(bench.scheduler.job_state("another queue", id(1)), None);
    assert_eq!(
        bench.submit(job(1, 2)),
        SubmitOutcome::AlreadyAnswered(Verdict::Cancelled)
    );
}
