//! Cuts connections in one or both directions, between entries and agents and between entries.

mod support;

use runtime::monotonic_us;
use support::{Cut, Load, Outcome, System, VEMBANAD, get_state, named_job, shards_of, wait_until};

/// Minimum number of jobs that must complete while a minority of the agents is cut off.
const MIN_COMPLETE_DURING_CUT: usize = 6;

/// Starts a system of one firm whose agents and entries are behind relays.
async fn start(entries: usize, hosts: usize) -> System {
    let mut system = System::new();
    for _ in 0..entries {
        system.add_entry_behind_relay();
    }
    for _ in 0..hosts {
        system.add_host_behind_relay(VEMBANAD);
    }
    system.wait_until_served(VEMBANAD, hosts).await;
    system
}

fn cut_host(system: &System, position: usize, cut: Cut) {
    let relay = system.hosts[position].relay.as_ref();
    relay.expect("the agent is behind a relay").cut(cut);
}

fn cut_entry(system: &System, position: usize, cut: Cut) {
    let relay = system.entries[position].relay.as_ref();
    relay.expect("the entry is behind a relay").cut(cut);
}

fn submit_jobs(system: &System, load: &Load, name: &str, count: usize, deadline_ms: u64) {
    for number in 0..count {
        let id = format!("{name}-{number}");
        let job = named_job(VEMBANAD, &id, &[150, 250, 200, 150, 250, 200], deadline_ms);
        let entry = &system.entries[number % system.entries.len()];
        load.spawn(entry.callers_address, VEMBANAD, &id, &job);
    }
}

async fn wait_until_busy(system: &System, position: usize) {
    wait_until("the agent runs tasks", async || {
        let state = system.hosts[position].agent_state().await;
        state["decisions"]["running"].as_u64() > Some(0)
    })
    .await;
}

async fn wait_for_completion(system: &System, load: &Load, entry: usize, name: &str) {
    wait_until("a new job completes", async || {
        let id = format!("{name}-{}", monotonic_us());
        let job = named_job(VEMBANAD, &id, &[5, 5], 3_000);
        let address = system.entries[entry].callers_address;
        load.submit(address, VEMBANAD, &id, &job).await == Outcome::Complete
    })
    .await;
}

/// Returns whether an agent is ready and the owner received a message from it in the last 500 ms.
async fn is_agent_connected(system: &System, position: usize) -> bool {
    let Some(owner) = system.owner_of(VEMBANAD).await else {
        return false;
    };
    let relay = system.hosts[position].relay.as_ref();
    let address = relay.expect("a relay").address.to_string();
    let state = get_state(system.entries[owner].callers_address).await;
    let agents = state["decisions"]["agents"].as_array().cloned();
    agents.unwrap_or_default().iter().any(|agent| {
        agent["address"] == address.as_str()
            && agent["ready"] == true
            && agent["silent_ms"].as_u64() < Some(500)
    })
}

/// Cuts off one of three agents while it runs tasks; the others must still complete jobs.
async fn check_one_agent_cut_off(cut: Cut) {
    let system = start(2, 3).await;
    let load = Load::default();
    submit_jobs(&system, &load, "before", 8, 10_000);
    wait_until_busy(&system, 0).await;
    cut_host(&system, 0, cut);
    submit_jobs(&system, &load, "during", 8, 10_000);
    wait_until("jobs complete while the agent is cut off", async || {
        load.tally("during-").get("complete").copied() >= Some(MIN_COMPLETE_DURING_CUT)
    })
    .await;
    cut_host(&system, 0, Cut::Nothing);
    load.wait().await;
    wait_until(
        "the owner receives messages of the agent again",
        async || is_agent_connected(&system, 0).await,
    )
    .await;
    wait_for_completion(&system, &load, 0, "after").await;
    load.check(&system).await;
    println!("agent cut {cut:?}: {:?}", load.tally(""));
}

#[test]
fn jobs_complete_while_one_agent_receives_nothing() {
    runtime::run(check_one_agent_cut_off(Cut::Inwards)).expect("the runtime starts");
}

#[test]
fn jobs_complete_while_answers_of_one_agent_are_lost() {
    runtime::run(check_one_agent_cut_off(Cut::Outwards)).expect("the runtime starts");
}

#[test]
fn jobs_complete_while_one_agent_is_cut_off_both_ways() {
    runtime::run(check_one_agent_cut_off(Cut::Both)).expect("the runtime starts");
}

#[test]
fn owner_without_a_majority_of_its_agents_starts_no_task() {
    let run = runtime::run(async {
        let system = start(2, 3).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        for host in 0..2 {
            cut_host(&system, host, Cut::Both);
        }
        wait_until("the owner has lost its authority", async || {
            let state = get_state(system.entries[owner].callers_address).await;
            let shards = shards_of(&state, VEMBANAD);
            !shards.is_empty() && shards.iter().all(|shard| shard["authority_left_us"] == 0)
        })
        .await;
        let starts_before = system.starts(VEMBANAD).await.0.len();
        submit_jobs(&system, &load, "cut", 4, 1_500);
        load.wait().await;
        assert_eq!(system.starts(VEMBANAD).await.0.len(), starts_before);
        for host in 0..2 {
            cut_host(&system, host, Cut::Nothing);
        }
        wait_for_completion(&system, &load, owner, "after").await;
        load.check(&system).await;
        println!("majority cut off: {:?}", load.tally("cut-"));
    });
    run.expect("the runtime starts");
}

#[test]
fn entries_cut_off_from_each_other_replace_a_live_owner() {
    let run = runtime::run(async {
        let system = start(3, 2).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        submit_jobs(&system, &load, "before", 9, 12_000);
        wait_until_busy(&system, 0).await;
        for entry in 0..3 {
            cut_entry(&system, entry, Cut::Both);
        }
        // The owner still reaches its agents and the platform, but not the other entries.
        let other = system.wait_for_other_owner(VEMBANAD, owner).await;
        wait_until("the earlier owner releases the shard", async || {
            let state = get_state(system.entries[owner].callers_address).await;
            state.is_object() && shards_of(&state, VEMBANAD).is_empty()
        })
        .await;
        assert_ne!(owner, other);
        for entry in 0..3 {
            cut_entry(&system, entry, Cut::Nothing);
        }
        load.wait().await;
        for entry in 0..3 {
            wait_for_completion(&system, &load, entry, "after").await;
        }
        load.check(&system).await;
        println!("entries cut: {:?}", load.tally(""));
    });
    run.expect("the runtime starts");
}

#[test]
fn owner_that_receives_nothing_gives_correct_answers() {
    let run = runtime::run(async {
        let system = start(2, 2).await;
        let load = Load::default();
        let owner = system.owner_of(VEMBANAD).await.expect("there is an owner");
        submit_jobs(&system, &load, "before", 6, 8_000);
        wait_until_busy(&system, 0).await;
        cut_entry(&system, owner, Cut::Inwards);
        submit_jobs(&system, &load, "during", 6, 3_000);
        load.wait().await;
        cut_entry(&system, owner, Cut::Nothing);
        for entry in 0..2 {
            wait_for_completion(&system, &load, entry, "after").await;
        }
        load.check(&system).await;
        println!("owner receives nothing: {:?}", load.tally(""));
    });
    run.expect("the runtime starts");
}
