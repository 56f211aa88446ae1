//! Runs this build and the release in production side by side.

mod support;

use rstest::rstest;
use support::{
    Build, CONSORCIO, Load, Outcome, System, VEMBANAD, get_state, named_job, wait_until,
};

/// Starts entries and agents of a build each, and waits until both firms are served.
async fn start(entries: &[Build], agent: Build) -> System {
    let mut system = System::new();
    for build in entries {
        system.entry_build = *build;
        system.add_entry();
    }
    system.agent_build = agent;
    for firm in [VEMBANAD, CONSORCIO] {
        system.add_host(firm);
    }
    for firm in [VEMBANAD, CONSORCIO] {
        system.wait_until_served(firm, 1).await;
    }
    system
}

/// Submits jobs of each firm at every entry until one is complete; an entry that has just started may
/// refuse some.
async fn check_served(system: &System, load: &Load, name: &str) {
    for (position, entry) in system.entries.iter().enumerate() {
        for firm in [VEMBANAD, CONSORCIO] {
            let mut attempt = 0;
            wait_until("a job is complete", async || {
                attempt += 1;
                let id = format!("{name}-{position}-{}-{attempt}", firm.name);
                let job = named_job(firm, &id, &[10, 30, 5], 20_000);
                let outcome = load.submit(entry.callers_address, firm, &id, &job).await;
                assert!(
                    outcome == Outcome::Complete || outcome.is_not_run(),
                    "{outcome:?}"
                );
                outcome == Outcome::Complete
            })
            .await;
        }
    }
}

// Entries and agents of different versions refused each other, so that no job was served.
#[rstest]
#[case::new_entry(&[Build::Current], Build::Production)]
#[case::new_agent(&[Build::Production], Build::Current)]
#[case::mixed_entries_and_old_agents(&[Build::Current, Build::Production], Build::Production)]
#[case::mixed_entries_and_new_agents(&[Build::Production, Build::Current], Build::Current)]
fn jobs_are_served_by_two_builds(#[case] entries: &[Build], #[case] agent: Build) {
    let run = runtime::run(async {
        let system = start(entries, agent).await;
        let load = Load::default();
        check_served(&system, &load, "job").await;
        load.check(&system).await;
    });
    run.expect("the runtime starts");
}

// The owner's table of jobs is handed over to an entry of the other build.
#[rstest]
#[case::to_new(Build::Production, Build::Current)]
#[case::to_old(Build::Current, Build::Production)]
fn a_planned_stop_hands_shards_over_to_the_other_build(#[case] first: Build, #[case] next: Build) {
    let run = runtime::run(async {
        let mut system = start(&[first], Build::Production).await;
        system.entry_build = next;
        system.add_entry();
        let load = Load::default();
        check_served(&system, &load, "before").await;
        for number in 0..6 {
            let id = format!("during-{number}");
            let job = named_job(VEMBANAD, &id, &[300, 200, 400], 15_000);
            load.spawn(
                system.entries[number % 2].callers_address,
                VEMBANAD,
                &id,
                &job,
            );
        }
        system.hosts[0].wait_until_busy().await;
        system.entries[0].process.signal("TERM");
        load.wait().await;
        let tally = load.tally("during");
        assert_eq!(tally.keys().collect::<Vec<_>>(), ["complete"], "{tally:?}");
        let status = system.entries[0].process.wait_for_exit();
        assert!(status.success(), "{status}");
        system.entries.remove(0);
        system.wait_until_served(VEMBANAD, 1).await;
        check_served(&system, &load, "after").await;
        load.check(&system).await;
    });
    run.expect("the runtime starts");
}

// A new agent takes the place of an old one beside a target that goes on running, and is taken back.
#[test]
fn an_agent_takes_the_place_of_one_of_the_other_build() {
    let run = runtime::run(async {
        let mut system = start(&[Build::Production, Build::Current], Build::Production).await;
        let load = Load::default();
        for (step, build) in [Build::Current, Build::Production].into_iter().enumerate() {
            check_served(&system, &load, &format!("step-{step}")).await;
            for position in 0..system.hosts.len() {
                system.hosts[position].agent.signal("TERM");
                let status = system.hosts[position].agent.wait_for_exit();
                assert!(status.success(), "{status}");
                system.agent_build = build;
                system.restart_agent(position);
            }
            for firm in [VEMBANAD, CONSORCIO] {
                system.wait_until_served(firm, 1).await;
            }
        }
        check_served(&system, &load, "end").await;
        load.check(&system).await;
    });
    run.expect("the runtime starts");
}

// A configuration that one build has published is in force at the other.
#[rstest]
#[case::by_old(Build::Production, Build::Current)]
#[case::by_new(Build::Current, Build::Production)]
fn a_configuration_is_published_for_the_other_build(#[case] command: Build, #[case] entry: Build) {
    let run = runtime::run(async {
        let mut system = start(&[entry], entry).await;
        system.entry_build = command;
        system.publish(
            "20-limits.toml",
            "[firms.vembanad.teams.desk]\ntokens = [\"desk-token-00001\"]\n",
        );
        let revision = system.config_revision().await;
        wait_until("the entry has the configuration", async || {
            let state = get_state(system.entries[0].callers_address).await;
            state["config_revision"].as_u64() == Some(revision)
        })
        .await;
    });
    run.expect("the runtime starts");
}
