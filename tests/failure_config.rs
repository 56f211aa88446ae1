//! Publishes configurations while processes are stopped or cut off, or the platform is down.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use runtime::monotonic_us;
use serde_json::{Value, json};
use support::{CONSORCIO, Cut, System, VEMBANAD, call, get_state, wait_until};
use web::{Method, Request};

/// Tracks the revision in force at each process and panics if one decreases.
#[derive(Default)]
struct RevisionTracker {
    newest: RefCell<BTreeMap<SocketAddr, u64>>,
}

impl RevisionTracker {
    /// Records the revision in force at a process.
    fn record(&self, process: SocketAddr, revision: u64) {
        let mut newest = self.newest.borrow_mut();
        let known = newest.entry(process).or_default();
        assert!(
            revision >= *known,
            "{process} reverted to revision {revision}"
        );
        *known = revision;
    }

    async fn entry_revision(&self, address: SocketAddr) -> u64 {
        let state = get_state(address).await;
        let revision = state["config_revision"].as_u64().unwrap_or(0);
        if revision > 0 {
            self.record(address, revision);
        }
        revision
    }

    async fn agent_revision(&self, address: SocketAddr) -> u64 {
        let request = Request::new(Method::GET, "/v1/state");
        let response = call(address, &request).await;
        let state: Option<Value> = response.and_then(|response| response.parse().ok());
        let state = state.unwrap_or(Value::Null);
        let revision = state["decisions"]["config_revision"].as_u64().unwrap_or(0);
        if revision > 0 {
            self.record(address, revision);
        }
        revision
    }

    /// Waits until a publication is in force at every process that is not stopped; returns the
    /// milliseconds since it was sent to the platform.
    async fn wait_for(&self, system: &System, publication: Publication) -> u64 {
        let Publication { revision, sent_us } = publication;
        wait_until("the configuration is in force everywhere", async || {
            let mut everywhere = true;
            for entry in system.entries.iter().filter(|entry| !entry.is_paused) {
                everywhere &= self.entry_revision(entry.callers_address).await >= revision;
            }
            for host in &system.hosts {
                everywhere &= self.agent_revision(host.announce_address).await >= revision;
            }
            everywhere
        })
        .await;
        (monotonic_us() - sent_us) / 1_000
    }
}

/// A configuration accepted by the platform.
#[derive(Clone, Copy)]
struct Publication {
    revision: u64,
    /// Time just before it was sent to the platform.
    sent_us: u64,
}

async fn publish(system: &System, quota: u32) -> Publication {
    let text = format!("[firms.vembanad]\nquota_tasks = {quota}\n");
    let sent_us = monotonic_us();
    system.publish("20-quota.toml", &text);
    Publication {
        revision: system.config_revision().await,
        sent_us,
    }
}

async fn start() -> (System, Rc<RevisionTracker>) {
    let mut system = System::new();
    for _ in 0..3 {
        system.add_entry_behind_relay();
    }
    for firm in [VEMBANAD, CONSORCIO] {
        system.add_host_behind_relay(firm);
        system.wait_until_served(firm, 1).await;
    }
    let tracker = Rc::new(RevisionTracker::default());
    let first = Publication {
        revision: system.config_revision().await,
        sent_us: monotonic_us(),
    };
    tracker.wait_for(&system, first).await;
    (system, tracker)
}

#[test]
fn stopped_entry_applies_the_configuration_after_it_resumes() {
    let run = runtime::run(async {
        let (mut system, tracker) = start().await;
        system.entries[0].pause();
        let publication = publish(&system, 70).await;
        let others_ms = tracker.wait_for(&system, publication).await;
        system.entries[0].resume();
        let resumed_ms = tracker.wait_for(&system, publication).await;
        println!(
            "in force at the others after {others_ms} ms, at the resumed after {resumed_ms} ms"
        );
    });
    run.expect("the runtime starts");
}

#[test]
fn cut_off_agents_get_the_configuration() {
    let run = runtime::run(async {
        let (system, tracker) = start().await;
        // Owners cannot reach the agents, but the agents can reach the entries.
        for host in &system.hosts {
            host.relay.as_ref().expect("a relay").cut(Cut::Both);
        }
        let publication = publish(&system, 71).await;
        let took_ms = tracker.wait_for(&system, publication).await;
        println!("in force at agents that owners cannot reach after {took_ms} ms");
        for host in &system.hosts {
            host.relay.as_ref().expect("a relay").cut(Cut::Nothing);
        }
        // Agents cannot reach the entries, but the owners can reach the agents.
        for entry in &system.entries {
            entry.relay.as_ref().expect("a relay").cut(Cut::Both);
        }
        let publication = publish(&system, 72).await;
        let took_ms = tracker.wait_for(&system, publication).await;
        println!("in force at agents that reach no entry after {took_ms} ms");
    });
    run.expect("the runtime starts");
}

#[test]
fn platform_outage_rejects_publications_and_loses_no_earlier_one() {
    let run = runtime::run(async {
        let (mut system, tracker) = start().await;
        let before = publish(&system, 73).await;
        system.set_platform_faults(&json!({ "down": true })).await;
        // A configuration accepted before the outage reaches the agents and a newly started entry.
        tracker.wait_for(&system, before).await;
        let entry = system.add_entry();
        let started_us = monotonic_us();
        wait_until(
            "the new entry has the configuration of its peers",
            async || {
                tracker
                    .entry_revision(system.entries[entry].callers_address)
                    .await
                    >= before.revision
            },
        )
        .await;
        let took_ms = (monotonic_us() - started_us) / 1_000;
        println!("new entry without the platform: in force after {took_ms} ms");
        let refused = system.try_publish("20-quota.toml", "[firms.vembanad]\nquota_tasks = 9\n");
        assert!(!refused.status.success());
        system.set_platform_faults(&json!({})).await;
        let publication = publish(&system, 74).await;
        assert!(publication.revision > before.revision);
        let took_ms = tracker.wait_for(&system, publication).await;
        println!("in force after the outage after {took_ms} ms");
    });
    run.expect("the runtime starts");
}

#[test]
fn configuration_is_in_force_everywhere_within_four_seconds() {
    let run = runtime::run(async {
        let (system, tracker) = start().await;
        let mut longest_ms = 0;
        for quota in 80..84 {
            let publication = publish(&system, quota).await;
            longest_ms = longest_ms.max(tracker.wait_for(&system, publication).await);
        }
        println!("in force everywhere after at most {longest_ms} ms of four publications");
        assert!(longest_ms <= 4_000, "{longest_ms} ms");
    });
    run.expect("the runtime starts");
}
