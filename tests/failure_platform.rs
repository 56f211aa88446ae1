//! Takes the platform down for long, lets it return with every lease expired, or loses its
//! answers.

mod support;

use serde_json::{Value, json};
use support::{CONSORCIO, Firm, Load, Outcome, System, VEMBANAD, get_state, named_job, wait_until};

/// Maximum number of writes after the platform returns: a registration of each entry, a claim and
/// a few roster changes of each shard.
const MAX_WRITES_AFTER_OUTAGE: u64 = 40;

/// Submits new jobs until one completes.
async fn wait_for_completion(system: &System, load: &Load, firm: Firm, entry: usize, name: &str) {
    let mut number = 0;
    wait_until("a new job completes", async || {
        let id = format!("{name}-{number}");
        number += 1;
        let job = named_job(firm, &id, &[5, 5], 3_000);
        let address = system.entries[entry].callers_address;
        load.submit(address, firm, &id, &job).await == Outcome::Complete
    })
    .await;
}

async fn submit_all(system: &System, load: &Load, entries: &[usize], name: &str, count: usize) {
    for firm in [VEMBANAD, CONSORCIO] {
        for number in 0..count {
            let id = format!("{name}-{number}");
            let job = named_job(firm, &id, &[20, 40, 30], 6_000);
            let entry = entries[number % entries.len()];
            load.spawn(system.entries[entry].callers_address, firm, &id, &job);
        }
    }
    load.wait().await;
}

async fn wait_until_registered(system: &System, entries: &[usize]) {
    wait_until("every entry reaches the platform", async || {
        for entry in entries {
            let state = get_state(system.entries[*entry].callers_address).await;
            if state["platform_reachable"] != true {
                return false;
            }
        }
        true
    })
    .await;
}

fn assert_all_complete(load: &Load, name: &str, count: usize) {
    let tally: Vec<(String, usize)> = load.tally(name).into_iter().collect();
    assert_eq!(tally, [("complete".to_owned(), count)]);
}

#[test]
fn jobs_complete_without_the_platform_and_its_return_causes_few_writes() {
    let run = runtime::run(async {
        let mut system = System::start_serving(3, 2).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        let others: Vec<usize> = (0..3).filter(|entry| *entry != owner).collect();
        system.set_platform_faults(&json!({ "down": true })).await;
        submit_all(&system, &load, &[0, 1, 2], "down", 10).await;
        assert_all_complete(&load, "down-", 20);

        load.allow_broken_connections(system.entries[owner].callers_address);
        system.entries[owner].process.kill();
        // No entry can take the shard over, and the answer must not say that the job did not run.
        let job = named_job(VEMBANAD, "orphan", &[5], 2_500);
        let address = system.entries[others[0]].callers_address;
        let outcome = load.submit(address, VEMBANAD, "orphan", &job).await;
        assert!(outcome.is_may_have_run(), "{outcome:?}");

        system.expire_leases().await;
        let before = system.platform_stats().await;
        system.set_platform_faults(&json!({})).await;
        for firm in [VEMBANAD, CONSORCIO] {
            wait_for_completion(&system, &load, firm, others[1], "back").await;
        }
        wait_until_registered(&system, &others).await;
        submit_all(&system, &load, &others, "after", 10).await;
        assert_all_complete(&load, "after-", 20);
        load.check(&system).await;
        let after = system.platform_stats().await;
        let increase =
            |key: &str| after[key].as_u64().unwrap_or(0) - before[key].as_u64().unwrap_or(0);
        println!(
            "platform back: {} writes, {} reads, {} leases expired, {} rejected",
            increase("writes"),
            increase("reads"),
            increase("expired_leases"),
            increase("rejected")
        );
        assert_eq!(increase("expired_leases"), 3);
        assert!(increase("writes") <= MAX_WRITES_AFTER_OUTAGE, "{after}");
        assert_eq!(increase("rejected"), 0);
    });
    run.expect("the runtime starts");
}

#[test]
fn expired_leases_of_live_entries_cause_no_takeover() {
    let run = runtime::run(async {
        let system = System::start_serving(3, 1).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await;
        system.set_platform_faults(&json!({ "down": true })).await;
        system.expire_leases().await;
        submit_all(&system, &load, &[0, 1, 2], "down", 5).await;
        system.set_platform_faults(&json!({})).await;
        wait_until("every lease has been granted anew", async || {
            let stats = system.platform_stats().await;
            stats["expired_leases"].as_u64() >= Some(3)
        })
        .await;
        submit_all(&system, &load, &[0, 1, 2], "after", 40).await;
        assert_all_complete(&load, "down-", 10);
        assert_all_complete(&load, "after-", 80);
        assert_eq!(system.owner_of(VEMBANAD).await, owner);
        for entry in &system.entries {
            let state = get_state(entry.callers_address).await;
            let takeovers = &state["decisions"]["counters"]["takeovers"];
            assert_eq!(*takeovers, Value::from(0), "{state}");
        }
        load.check(&system).await;
    });
    run.expect("the runtime starts");
}

#[test]
fn platform_answers_lost_after_the_write_are_resolved() {
    let run = runtime::run(async {
        let mut system = System::start_serving(2, 2).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        let other = 1 - owner;
        let lost_before = lost_answers(&system).await;
        system
            .set_platform_faults(&json!({ "lose_answers_next": 4 }))
            .await;
        load.allow_broken_connections(system.entries[owner].callers_address);
        system.entries[owner].process.kill();
        wait_for_completion(&system, &load, VEMBANAD, other, "after").await;
        wait_for_completion(&system, &load, CONSORCIO, other, "after").await;
        let revision = config_revision(&system, other).await;
        system
            .set_platform_faults(&json!({ "lose_answers_next": 1 }))
            .await;
        let output = system.try_publish("20-more.toml", "[firms.vembanad]\nquota_tasks = 77\n");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{text}");
        wait_until("the configuration is in force", async || {
            config_revision(&system, other).await > revision
        })
        .await;
        assert!(lost_answers(&system).await > lost_before);
        load.check(&system).await;
        println!("lost answers: {:?}", load.tally(""));
    });
    run.expect("the runtime starts");
}

async fn lost_answers(system: &System) -> Option<u64> {
    system.platform_stats().await["lost_answers"].as_u64()
}

async fn config_revision(system: &System, entry: usize) -> u64 {
    let state = get_state(system.entries[entry].callers_address).await;
    state["config_revision"].as_u64().unwrap_or(0)
}
