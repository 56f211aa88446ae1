//! Drains entries and agents under load, and has a target leave its agent.

mod support;

use std::net::SocketAddr;

use runtime::monotonic_us;
use serde_json::json;
use support::{Load, Outcome, System, VEMBANAD, call, named_job, wait_until};
use web::{Method, Request};

const JOB_COUNT: usize = 9;

/// Time after the start of a departure by which a target gets no new tasks.
const DEPARTURE_TIMEOUT_US: u64 = 3_000_000;

fn submit_jobs(system: &System, load: &Load, name: &str, entries: &[usize]) {
    for number in 0..JOB_COUNT {
        let id = format!("{name}-{number}");
        let job = named_job(VEMBANAD, &id, &[300, 200, 400, 300, 200, 400], 15_000);
        let entry = &system.entries[entries[number % entries.len()]];
        load.spawn(entry.callers_address, VEMBANAD, &id, &job);
    }
}

async fn readiness_status(address: SocketAddr) -> Option<u16> {
    let request = Request::new(Method::GET, "/readyz");
    call(address, &request)
        .await
        .map(|response| response.status)
}

fn assert_all_complete(load: &Load) {
    let tally = load.tally("");
    assert_eq!(tally.keys().collect::<Vec<_>>(), ["complete"], "{tally:?}");
}

/// Submits short jobs one after the other until a condition holds.
async fn keep_submitting(system: &System, load: &Load, entry: usize, until: impl Fn() -> bool) {
    while !until() {
        let id = format!("steady-{}", monotonic_us());
        let job = named_job(VEMBANAD, &id, &[5], 12_000);
        let address = system.entries[entry].callers_address;
        let outcome = load.submit(address, VEMBANAD, &id, &job).await;
        assert_eq!(outcome, Outcome::Complete, "{id}");
    }
}

#[test]
fn drained_owner_breaks_no_request_and_hands_over_its_shard() {
    let run = runtime::run(async {
        let mut system = System::start_serving(3, 2).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        let other = (owner + 1) % 3;
        submit_jobs(&system, &load, "plan", &[owner, owner, other]);
        system.hosts[0].wait_until_busy().await;
        let address = system.entries[owner].callers_address;
        assert_eq!(readiness_status(address).await, Some(200));
        system.entries[owner].process.signal("TERM");
        wait_until("the entry is not ready any more", async || {
            let status = readiness_status(address).await;
            assert!(
                status.is_some(),
                "the port was closed before the entry reported not ready"
            );
            status == Some(503)
        })
        .await;
        keep_submitting(&system, &load, other, || load.unanswered_count() == 0).await;
        let status = system.entries[owner].process.wait_for_exit();
        assert!(status.success(), "{status}");
        let next = system.wait_for_other_owner(VEMBANAD, owner).await;
        // A handover, unlike a takeover, sets no admission horizon: the new owner admits
        // submissions that were made before it.
        let before = load.tally("steady-")["complete"];
        let is_enough = || load.tally("steady-")["complete"] >= before + 20;
        keep_submitting(&system, &load, next, is_enough).await;
        assert_all_complete(&load);
        load.check(&system).await;
        println!("owner drained: {:?}", load.tally(""));
    });
    run.expect("the runtime starts");
}

#[test]
fn shard_is_handed_over_after_a_short_outage_of_the_platform() {
    let run = runtime::run(async {
        let mut system = System::start_serving(2, 1).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        let address = system.entries[owner].callers_address;
        system.set_platform_faults(&json!({ "down": true })).await;
        system.entries[owner].process.signal("TERM");
        wait_until("the port for callers is closed", async || {
            readiness_status(address).await.is_none()
        })
        .await;
        system.set_platform_faults(&json!({})).await;
        let status = system.entries[owner].process.wait_for_exit();
        assert!(status.success(), "{status}");
        let is_enough = || load.tally("steady-").get("complete") >= Some(&20);
        keep_submitting(&system, &load, 1 - owner, is_enough).await;
        load.check(&system).await;
    });
    run.expect("the runtime starts");
}

#[test]
fn drained_agent_finishes_its_tasks_and_gets_no_new_ones() {
    let run = runtime::run(async {
        let mut system = System::start_serving(2, 2).await;
        let load = Load::default();
        submit_jobs(&system, &load, "plan", &[0, 1]);
        system.hosts[0].wait_until_busy().await;
        system.hosts[0].agent.signal("TERM");
        check_leaving(&system, &load, 0).await;
        let status = system.hosts[0].agent.wait_for_exit();
        assert!(status.success(), "{status}");
        assert_all_complete(&load);
        load.check(&system).await;
        println!("agent drained: {:?}", load.tally(""));
    });
    run.expect("the runtime starts");
}

#[test]
fn leaving_target_finishes_its_tasks_and_gets_no_new_ones() {
    let run = runtime::run(async {
        let system = System::start_serving(2, 2).await;
        let load = Load::default();
        submit_jobs(&system, &load, "plan", &[0, 1]);
        system.hosts[0].wait_until_busy().await;
        system.hosts[0].leave().await;
        check_leaving(&system, &load, 0).await;
        assert_all_complete(&load);
        load.check(&system).await;
        println!("target left: {:?}", load.tally(""));
    });
    run.expect("the runtime starts");
}

/// Submits jobs past [`DEPARTURE_TIMEOUT_US`], then checks that the target starts no more tasks.
async fn check_leaving(system: &System, load: &Load, position: usize) {
    let since_us = monotonic_us();
    let is_over = || monotonic_us() >= since_us + DEPARTURE_TIMEOUT_US;
    keep_submitting(system, load, 0, is_over).await;
    let at_limit = system.hosts[position].start_count().await;
    submit_jobs(system, load, "late", &[0, 1]);
    load.wait().await;
    assert_eq!(system.hosts[position].start_count().await, at_limit);
}
