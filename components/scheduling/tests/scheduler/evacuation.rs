//! Evacuated failure domains.

use std::rc::Rc;

use crate::support::*;
use model::{NotStartedReason, RunEvent};
use scheduling::{HostInfo, MIN_CONNECTED_HOSTS, SchedulerAction, SubmitOutcome, Verdict};

impl Bench {
    fn evacuate(&mut self, failure_domains: &[&str]) {
        let names = failure_domains.iter().map(|&name| Rc::from(name));
        self.scheduler
            .set_evacuated(self.now_ms, names, &mut self.actions);
    }

    /// Returns the hosts that the tasks of a new job go to.
    fn hosts_of_job(&mut self, number: u64, tasks: u16) -> Vec<usize> {
        self.submit(job(number, tasks));
        let hosts = 0..self.slots.len();
        hosts.filter(|&host| self.orders(host).is_some()).collect()
    }
}

fn is_refused_with_delay(outcome: &SubmitOutcome) -> bool {
    matches!(
        outcome,
        SubmitOutcome::Refused(
            Verdict::NotRun {
                retry_after_ms: 1_000..,
                ..
            },
            _
        )
    )
}

// Entries placed tasks in an evacuated failure domain: 12,400 starts after the bound in one day.
#[test]
fn nothing_is_placed_in_an_evacuated_failure_domain() {
    let mut bench = Bench::in_failure_domains(&["zone-a", "zone-b"]);
    bench.evacuate(&["zone-a"]);
    assert_eq!(bench.hosts_of_job(1, 12), [1]);
}

// The capacity was to be back only after new connections and views.
#[test]
fn hosts_stay_connected_and_are_usable_as_soon_as_the_evacuation_ends() {
    let mut bench = Bench::in_failure_domains(&["zone-a", "zone-b"]);
    bench.evacuate(&["zone-a"]);
    bench.tick(200);
    assert!(bench.scheduler.is_connection_wanted(bench.slots[0]));
    bench.report(0, &[]);
    bench.evacuate(&[]);
    assert_eq!(bench.hosts_of_job(1, 1), [0]);
}

// The end of the evacuation of one failure domain must not end that of another.
#[test]
fn two_failure_domains_are_evacuated_one_after_the_other() {
    let mut bench = Bench::in_failure_domains(&["zone-a", "zone-b", "zone-c"]);
    bench.evacuate(&["zone-a"]);
    bench.evacuate(&["zone-a", "zone-b"]);
    assert_eq!(bench.hosts_of_job(1, 6), [2]);
    bench.evacuate(&["zone-b"]);
    assert_eq!(bench.hosts_of_job(2, 12), [0, 2]);
}

// A request must not wait at the entry, or be left without an answer, if nothing can serve it.
#[test]
fn requests_are_refused_with_a_delay_if_all_hosts_are_evacuated() {
    let mut bench = Bench::in_failure_domains(&["zone-a", "zone-b"]);
    bench.evacuate(&["zone-a", "zone-b"]);
    let outcome = bench.submit(job(1, 1));
    assert!(is_refused_with_delay(&outcome), "{outcome:?}");
    assert!(bench.scheduler.has_evacuated_host(bench.now_ms));
    assert!(!bench.scheduler.has_usable_host(bench.now_ms));
}

// An entry that has just connected to evacuated hosts must not wait for views of them.
#[test]
fn requests_do_not_wait_for_evacuated_hosts_to_be_in_view() {
    let mut bench = Bench::new(0);
    bench.evacuate(&["zone-a"]);
    bench.add_host("zone-a");
    bench.tick(200);
    let outcome = bench.submit(job(1, 1));
    assert!(is_refused_with_delay(&outcome), "{outcome:?}");
}

// A host that registers during the evacuation was not covered by it.
#[test]
fn a_host_that_is_discovered_later_is_evacuated_too() {
    let mut bench = Bench::in_failure_domains(&["zone-b"]);
    bench.evacuate(&["zone-a"]);
    bench.add_host("zone-a");
    bench.tick(200);
    bench.connect(1);
    bench.report(1, &[]);
    assert_eq!(bench.hosts_of_job(1, 12), [0]);
}

// The first description of a host held until the host was forgotten: after a peer had told an old
// failure domain, the host was exempt from evacuations or remained in one.
#[test]
fn a_host_whose_failure_domain_is_corrected_is_evacuated_or_not_accordingly() {
    let mut bench = Bench::in_failure_domains(&["zone-a", "zone-b"]);
    bench.evacuate(&["zone-b"]);
    bench.submit(job(1, 1));
    let sent = bench.orders(0).expect("orders");
    bench.submit(job(2, 1));
    assert!(bench.update_host(1, "zone-a") && bench.update_host(0, "zone-b"));
    let moved = bench.orders(1).expect("orders");
    assert_eq!(Bench::runs(&moved)[0].task.job, id(2));
    bench.answer_orders(0, &sent);
    assert!(bench.orders(0).is_none());
    assert!(!bench.update_host(0, "zone-b"));
}

// Orders that wait for the answer to earlier ones would be sent to the evacuated host.
#[test]
fn orders_that_have_not_been_sent_are_placed_anew() {
    let mut bench = Bench::in_failure_domains(&["zone-a", "zone-b"]);
    bench.evacuate(&["zone-b"]);
    bench.submit(job(1, 1));
    let sent = bench.orders(0).expect("orders");
    bench.submit(job(2, 1));
    bench.evacuate(&["zone-a"]);
    let moved = bench.orders(1).expect("orders");
    assert_eq!(Bench::runs(&moved)[0].task.job, id(2));
    bench.answer_orders(0, &sent);
    assert!(bench.orders(0).is_none());
}

// Tasks that the agent returns because of the evacuation lost time before they were placed again.
#[test]
fn a_task_that_an_agent_returns_is_placed_elsewhere_at_once() {
    let mut bench = Bench::in_failure_domains(&["zone-a", "zone-b"]);
    bench.evacuate(&["zone-b"]);
    bench.submit(job(1, 1));
    let run = Bench::runs(&bench.orders(0).expect("orders"))[0];
    bench.evacuate(&[]);
    let mut closed = view(8_000);
    closed.is_open = false;
    let returned = RunEvent::NotStarted(NotStartedReason::Evacuated);
    bench.report_view(0, closed, &[(run, returned)]);
    assert!(bench.orders(1).is_some());
}

// A subset that counts evacuated hosts leaves an entry with too few hosts in a burst.
#[test]
fn the_subset_grows_by_the_hosts_that_are_evacuated() {
    let zones = ["zone-a", "zone-b"].repeat(2 * MIN_CONNECTED_HOSTS);
    let mut bench = Bench::in_failure_domains(&zones);
    bench.actions.clear();
    bench.evacuate(&["zone-a"]);
    let wanted: Vec<usize> = (0..zones.len())
        .filter(|&host| bench.scheduler.is_connection_wanted(bench.slots[host]))
        .collect();
    let in_use = wanted.iter().filter(|&&host| zones[host] == "zone-b");
    assert_eq!(in_use.count(), MIN_CONNECTED_HOSTS);
    let connects = bench.actions.iter();
    let connects = connects.filter(|at| matches!(at, SchedulerAction::UpdateConnection(_)));
    assert!(connects.count() > 0);
    bench.evacuate(&["zone-a", "zone-b"]);
    let wanted = bench.slots.iter();
    let wanted = wanted.filter(|&&slot| bench.scheduler.is_connection_wanted(slot));
    assert!(wanted.count() <= 2 * MIN_CONNECTED_HOSTS);
}

// Jobs in progress were held to their deadlines while requests that arrived later were refused at once.
#[test]
fn a_job_that_has_not_started_is_refused_when_all_hosts_are_evacuated() {
    let mut bench = Bench::in_failure_domains(&["zone-a", "zone-b"]);
    bench.submit(job(1, 12));
    bench.evacuate(&["zone-a", "zone-b"]);
    bench.tick(100);
    let verdict = bench.verdict();
    assert!(
        matches!(verdict, Some(Verdict::NotRun { .. })),
        "{verdict:?}"
    );
}

// A job must not be refused while the hosts that replace the evacuated ones are being connected.
#[test]
fn a_job_that_has_not_started_waits_for_hosts_that_are_being_connected() {
    let mut bench = Bench::in_failure_domains(&["zone-a"]);
    bench.submit(job(1, 1));
    bench.add_host("zone-b");
    bench.evacuate(&["zone-a"]);
    bench.tick(100);
    assert_eq!(bench.verdict(), None);
    bench.connect(1);
    bench.report(1, &[]);
    bench.tick(100);
    assert!(bench.orders(1).is_some());
}

// The withdrawal must not change installations in which nothing is evacuated.
#[test]
fn a_job_without_a_usable_host_waits_if_nothing_is_evacuated() {
    let mut bench = Bench::in_failure_domains(&["zone-a"]);
    bench.submit(job(1, 1));
    let run = Bench::runs(&bench.orders(0).expect("orders"))[0];
    let mut closed = view(8_000);
    closed.is_open = false;
    let returned = RunEvent::NotStarted(NotStartedReason::Draining);
    bench.report_view(0, closed, &[(run, returned)]);
    bench.tick(100);
    assert_eq!(bench.verdict(), None);
}

// Each refused job recorded an unsafe placement, so that the subset grew to the whole fleet.
#[test]
fn the_subset_does_not_grow_while_all_hosts_are_evacuated() {
    let zones = ["zone-a"].repeat(4 * MIN_CONNECTED_HOSTS);
    let mut bench = Bench::in_failure_domains(&zones);
    bench.evacuate(&["zone-a"]);
    for number in 0..200 {
        let outcome = bench.submit(job(number, 1));
        assert!(is_refused_with_delay(&outcome), "{outcome:?}");
        bench.tick(20);
    }
    let wanted = bench.slots.iter();
    let wanted = wanted.filter(|&&slot| bench.scheduler.is_connection_wanted(slot));
    assert_eq!(wanted.count(), MIN_CONNECTED_HOSTS);
}

impl Bench {
    fn update_host(&mut self, host: usize, failure_domain: &str) -> bool {
        let (now_ms, slot) = (self.now_ms, self.slots[host]);
        let actions = &mut self.actions;
        self.scheduler
            .update_host(now_ms, slot, "renamed", failure_domain, actions)
    }

    fn add_host(&mut self, failure_domain: &str) {
        let name: Rc<str> = Rc::from(format!("host-{}", self.slots.len()));
        let info = HostInfo {
            name: Rc::clone(&name),
            address: name,
            failure_domain: Rc::from(failure_domain),
        };
        self.slots.push(self.scheduler.add_host(self.now_ms, info));
    }
}
