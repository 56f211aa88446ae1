//! Kills agents under load, alone and together with the owner of their shard.

mod support;

use std::collections::BTreeSet;

use serde_json::Value;
use support::{CONSORCIO, Firm, Host, Load, Outcome, System, VEMBANAD, named_job, wait_until};

const JOB_COUNT: usize = 10;

/// Run times of a job's tasks, long enough that tasks are running when the agent is killed.
const TASK_RUN_MS: [u64; 6] = [400, 300, 500, 400, 300, 500];

fn submit_jobs(system: &System, load: &Load, firm: Firm, name: &str) -> Vec<(String, Value)> {
    (0..JOB_COUNT)
        .map(|number| {
            let id = format!("{name}-{number}");
            let job = named_job(firm, &id, &TASK_RUN_MS, 12_000);
            let entry = &system.entries[number % system.entries.len()];
            load.spawn(entry.callers_address, firm, &id, &job);
            (id, job)
        })
        .collect()
}

/// Returns the ids of the jobs of which the target started tasks.
async fn jobs_started_at(host: &Host) -> BTreeSet<String> {
    let starts = host.starts().await;
    let starts = starts["starts"].as_array().cloned().unwrap_or_default();
    starts
        .iter()
        .filter_map(|start| start["job_id"].as_str().map(str::to_owned))
        .collect()
}

fn agent_lost() -> Outcome {
    Outcome::Failed {
        kind: "may_have_run".to_owned(),
        reason: "agent_lost".to_owned(),
    }
}

/// Returns the number of a job's tasks that the target started.
async fn start_count_of_job(host: &Host, id: &str) -> usize {
    let starts = host.starts().await;
    let starts = starts["starts"].as_array().cloned().unwrap_or_default();
    starts.iter().filter(|start| start["job_id"] == id).count()
}

#[test]
fn killed_agent_fails_only_jobs_with_tasks_at_it() {
    let run = runtime::run(async {
        let mut system = System::start_serving(2, 2).await;
        let load = Load::default();
        let jobs = submit_jobs(&system, &load, VEMBANAD, "plan");
        submit_jobs(&system, &load, CONSORCIO, "other");
        let victim = 0;
        assert_eq!(system.hosts[victim].firm.name, VEMBANAD.name);
        system.hosts[victim].wait_until_busy().await;
        system.hosts[victim].agent.kill();
        let before = system.hosts[victim].start_count().await;
        system.restart_agent(victim);
        load.wait().await;
        // The new incarnation receives tasks again.
        wait_until("the new incarnation starts tasks", async || {
            let id = format!("after-{}", runtime::monotonic_us());
            let job = named_job(VEMBANAD, &id, &[30; 8], 10_000);
            let entry = system.entries[0].callers_address;
            let outcome = load.submit(entry, VEMBANAD, &id, &job).await;
            assert_eq!(outcome, Outcome::Complete);
            system.hosts[victim].start_count().await > before
        })
        .await;
        load.check(&system).await;
        let jobs_at_agent = jobs_started_at(&system.hosts[victim]).await;
        let mut failed = 0;
        for (id, _) in &jobs {
            for outcome in load.outcomes(id) {
                if outcome != Outcome::Complete {
                    failed += 1;
                    assert_eq!(outcome, agent_lost(), "{id}");
                    // A job whose tasks all started at the other target must not fail.
                    let elsewhere = start_count_of_job(&system.hosts[2], id).await;
                    assert!(
                        elsewhere < TASK_RUN_MS.len(),
                        "{id} had no task at the killed agent"
                    );
                }
            }
        }
        let other_firm = load.tally("other-");
        assert_eq!(
            other_firm.into_iter().collect::<Vec<_>>(),
            [("complete".to_owned(), JOB_COUNT)]
        );
        println!(
            "agent killed: {:?}, {} jobs at it",
            load.tally("plan-"),
            jobs_at_agent.len()
        );
        assert!(failed < jobs.len(), "no job completed");
    });
    run.expect("the runtime starts");
}

#[test]
fn no_task_starts_twice_after_owner_and_agent_are_killed() {
    let run = runtime::run(async {
        let mut system = System::start_serving(3, 3).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        let jobs = submit_jobs(&system, &load, VEMBANAD, "plan");
        let victim = 0;
        system.hosts[victim].wait_until_busy().await;
        load.allow_broken_connections(system.entries[owner].callers_address);
        system.entries[owner].process.kill();
        system.hosts[victim].agent.kill();
        let others: Vec<usize> = (0..3).filter(|entry| *entry != owner).collect();
        for entry in &others {
            for (id, job) in &jobs {
                load.spawn(system.entries[*entry].callers_address, VEMBANAD, id, job);
            }
        }
        load.wait().await;
        let mut number = 0;
        wait_until("a new job completes", async || {
            number += 1;
            let id = format!("after-{number}");
            let job = named_job(VEMBANAD, &id, &[5, 5], 10_000);
            let entry = system.entries[others[0]].callers_address;
            load.submit(entry, VEMBANAD, &id, &job).await == Outcome::Complete
        })
        .await;
        load.check(&system).await;
        println!("owner and agent killed: {:?}", load.tally("plan-"));
        for (id, _) in &jobs {
            for outcome in load.outcomes(id) {
                let allowed = outcome == Outcome::Complete
                    || outcome == Outcome::Broken
                    || outcome.is_may_have_run();
                assert!(allowed, "{id}: {outcome:?}");
            }
        }
    });
    run.expect("the runtime starts");
}
