//! Kills the owner of a shard, or stops it with a signal, under load.

mod support;

use std::time::Duration;

use runtime::monotonic_us;
use serde_json::Value;
use support::{Firm, Load, Outcome, System, VEMBANAD, get_state, named_job, shards_of, wait_until};

/// Run times of the tasks of a job that occupies the eight slots of two targets for a while.
const LONG_JOB_RUN_MS: [u64; 12] = [100, 300, 200, 150, 100, 250, 100, 300, 200, 150, 100, 250];

const JOB_COUNT: usize = 8;

/// Submits jobs through all entries and returns their bodies.
fn submit_jobs(system: &System, load: &Load, firm: Firm) -> Vec<(String, Value)> {
    (0..JOB_COUNT)
        .map(|number| {
            let id = format!("plan-{number}");
            let job = named_job(firm, &id, &LONG_JOB_RUN_MS, 12_000);
            let entry = &system.entries[number % system.entries.len()];
            load.spawn(entry.callers_address, firm, &id, &job);
            (id, job)
        })
        .collect()
}

/// Waits until the owner has almost all jobs, one of them partly done, and queued tasks.
async fn wait_until_busy(system: &System, owner: usize, firm: Firm) {
    wait_until("jobs are queued, running and partly done", async || {
        let state = get_state(system.entries[owner].callers_address).await;
        shards_of(&state, firm).iter().any(|shard| {
            let jobs = shard["jobs"].as_array().cloned().unwrap_or_default();
            let is_partly_done = jobs
                .iter()
                .any(|job| job["done"].as_u64() > Some(0) && job["done"].as_u64() < Some(12));
            let has_all = jobs.len() >= JOB_COUNT - 1;
            has_all && is_partly_done && shard["waiting_tasks"].as_u64() > Some(0)
        })
    })
    .await;
}

/// Submits new jobs until one completes; returns the time since `since_us` in milliseconds.
async fn wait_for_new_completion(system: &System, load: &Load, entry: usize, since_us: u64) -> u64 {
    let mut number = 0;
    wait_until("a new job completes", async || {
        let id = format!("after-{number}");
        number += 1;
        let job = named_job(VEMBANAD, &id, &[5, 5], 10_000);
        let address = system.entries[entry].callers_address;
        let outcome = load.submit(address, VEMBANAD, &id, &job).await;
        if outcome == Outcome::Complete {
            return true;
        }
        assert!(!matches!(outcome, Outcome::Other(_)), "{outcome:?}");
        monoio::time::sleep(Duration::from_millis(50)).await;
        false
    })
    .await;
    (monotonic_us() - since_us) / 1_000
}

/// Submits every job again through all running entries except one.
fn resubmit(system: &System, load: &Load, jobs: &[(String, Value)], without: usize) {
    for (position, entry) in system.entries.iter().enumerate() {
        if position == without || entry.is_paused {
            continue;
        }
        for (id, job) in jobs {
            load.spawn(entry.callers_address, VEMBANAD, id, job);
        }
    }
}

#[test]
fn owner_killed_under_load_loses_no_job_and_starts_no_task_twice() {
    let run = runtime::run(async {
        let mut system = System::start_serving(3, 2).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        let jobs = submit_jobs(&system, &load, VEMBANAD);
        wait_until_busy(&system, owner, VEMBANAD).await;
        load.allow_broken_connections(system.entries[owner].callers_address);
        let killed_us = monotonic_us();
        system.entries[owner].process.kill();
        resubmit(&system, &load, &jobs, owner);
        let other = (owner + 1) % 3;
        let gap_ms = wait_for_new_completion(&system, &load, other, killed_us).await;
        load.wait().await;
        load.check(&system).await;
        println!("owner killed: first new job complete after {gap_ms} ms");
        println!("owner killed: {:?}", load.tally("plan-"));
        assert_none_may_have_run(&load, &jobs);
    });
    run.expect("the runtime starts");
}

/// Checks that no job ended as *may have run*: every agent of the roster answered the new owner.
fn assert_none_may_have_run(load: &Load, jobs: &[(String, Value)]) {
    for (id, _) in jobs {
        for outcome in load.outcomes(id) {
            assert!(!outcome.is_may_have_run(), "{id}: {outcome:?}");
        }
    }
}

#[test]
fn owner_stopped_past_its_leases_starts_no_task_after_it_resumes() {
    let run = runtime::run(async {
        let mut system = System::start_serving(3, 2).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        let jobs = submit_jobs(&system, &load, VEMBANAD);
        wait_until_busy(&system, owner, VEMBANAD).await;
        system.entries[owner].pause();
        let stopped_us = monotonic_us();
        resubmit(&system, &load, &jobs, owner);
        let other = system.wait_for_other_owner(VEMBANAD, owner).await;
        let gap_ms = wait_for_new_completion(&system, &load, other, stopped_us).await;
        // Submissions that other entries had forwarded to the stopped owner end at the new owner.
        let through_owner = (0..JOB_COUNT).filter(|number| number % 3 == owner).count();
        wait_until(
            "only submissions through the stopped entry are unanswered",
            async || load.unanswered_count() == through_owner,
        )
        .await;
        assert_eq!(load.tally("plan-").get("may_have_run/no_owner"), None);
        system.entries[owner].resume();
        // The submissions held by the stopped owner move to the new owner and end there.
        load.wait().await;
        wait_until("the resumed owner releases the shard", async || {
            let state = get_state(system.entries[owner].callers_address).await;
            state.is_object() && shards_of(&state, VEMBANAD).is_empty()
        })
        .await;
        let address = system.entries[owner].callers_address;
        let job = named_job(VEMBANAD, "through-resumed", &[5], 10_000);
        let outcome = load
            .submit(address, VEMBANAD, "through-resumed", &job)
            .await;
        assert_eq!(outcome, Outcome::Complete);
        load.check(&system).await;
        println!("owner stopped: first new job complete after {gap_ms} ms");
        println!("owner stopped: {:?}", load.tally("plan-"));
        assert_none_may_have_run(&load, &jobs);
    });
    run.expect("the runtime starts");
}
