//! Jobs that arrive before the hosts are in view, as after a loss of power.

use std::rc::Rc;

use model::HostView;
use scheduling::{HOST_RETENTION_MS, HostInfo, NotRunReason, Scheduler, SubmitOutcome, Verdict};

use crate::support::{Bench, ENTRY, START_MS, job, opening, view};

/// Time in which an entry that has just started expects hosts, in milliseconds.
const EXPECTED_MS: u64 = 1_000;

fn starting_entry() -> Bench {
    let mut bench = Bench::new(0);
    bench.scheduler =
        Scheduler::new(ENTRY, "domain", 1.0).with_hosts_expected_until(START_MS + EXPECTED_MS);
    bench
}

fn list_host(bench: &mut Bench) -> usize {
    let host = bench.slots.len();
    let info = HostInfo {
        name: Rc::from(format!("host-{host}")),
        address: Rc::from(format!("host-{host}")),
        failure_domain: Rc::from("domain"),
    };
    let slot = bench.scheduler.add_host(bench.now_ms, info);
    bench.slots.push(slot);
    host
}

fn connect(bench: &mut Bench, host: usize, view: HostView) {
    bench.connect(host);
    bench.report_view(host, view, &[]);
}

fn is_not_run(verdict: Option<Verdict>, expected: NotRunReason) -> bool {
    matches!(verdict, Some(Verdict::NotRun { reason, .. }) if reason == expected)
}

#[test]
fn a_job_waits_until_the_hosts_are_listed_and_connected() {
    let mut bench = starting_entry();
    assert!(matches!(
        bench.submit(job(1, 1)),
        SubmitOutcome::Admitted(..)
    ));
    bench.tick(40);
    let host = list_host(&mut bench);
    bench.scheduler.hosts_listed();
    bench.tick(40);
    assert_eq!(bench.verdict(), None);
    connect(&mut bench, host, view(8_000));
    bench.tick(20);
    assert_eq!(bench.orders(host).expect("orders").starts.len(), 1);
}

#[test]
fn a_job_is_refused_once_the_listed_hosts_do_not_connect() {
    let mut bench = starting_entry();
    bench.submit(job(1, 1));
    list_host(&mut bench);
    bench.scheduler.hosts_listed();
    bench.tick(100);
    assert_eq!(bench.verdict(), None);
    bench.tick(600);
    assert!(is_not_run(bench.verdict(), NotRunReason::NoFittingHost));
}

#[test]
fn a_job_is_refused_at_once_if_no_host_is_listed() {
    let mut bench = starting_entry();
    bench.scheduler.hosts_listed();
    assert!(matches!(
        bench.submit(job(1, 1)),
        SubmitOutcome::Refused(..)
    ));
}

// Requests between the listing of the hosts and the next tick were refused for lack of hosts.
#[test]
fn a_job_waits_for_hosts_that_were_listed_since_the_last_tick() {
    let mut bench = starting_entry();
    let host = list_host(&mut bench);
    bench.scheduler.hosts_listed();
    assert!(matches!(
        bench.submit(job(1, 1)),
        SubmitOutcome::Admitted(..)
    ));
    bench.tick(20);
    connect(&mut bench, host, view(8_000));
    bench.tick(20);
    assert_eq!(bench.orders(host).expect("orders").starts.len(), 1);
}

// An agent that cannot register may be followed by few entries: the others know it by announcements.
#[test]
fn a_host_that_announces_itself_is_not_forgotten() {
    let mut bench = starting_entry();
    let host = list_host(&mut bench);
    let slot = bench.slots[host];
    bench.tick(HOST_RETENTION_MS - 1);
    bench.scheduler.host_announced(bench.now_ms, slot);
    bench.tick(HOST_RETENTION_MS - 1);
    assert!(!bench.scheduler.remove_expired_host(bench.now_ms, slot));
    bench.tick(1);
    assert!(bench.scheduler.remove_expired_host(bench.now_ms, slot));
}

#[test]
fn a_job_that_cannot_wait_for_hosts_is_refused_at_once() {
    let mut bench = starting_entry();
    let mut hasty = job(1, 1);
    hasty.time_left_ms = 50;
    assert!(matches!(bench.submit(hasty), SubmitOutcome::Refused(..)));
}

// With 2 of 11 hosts in view, jobs were refused for overload while the others were connecting.
#[test]
fn a_job_is_not_refused_for_overload_while_most_hosts_are_connecting() {
    let mut bench = starting_entry();
    let hosts: Vec<usize> = (0..4).map(|_| list_host(&mut bench)).collect();
    bench.scheduler.hosts_listed();
    bench.tick(100);
    let mut busy = view(0);
    busy.openings = vec![opening(0, 0), opening(1_000, 8_000)];
    connect(&mut bench, hosts[0], busy);
    assert!(matches!(
        bench.submit(job(1, 1)),
        SubmitOutcome::Admitted(..)
    ));
    bench.tick(20);
    for &host in &hosts[1..] {
        connect(&mut bench, host, view(8_000));
    }
    bench.tick(20);
    let placed = hosts.iter().filter(|host| bench.orders(**host).is_some());
    assert_eq!(placed.count(), 1);
}
