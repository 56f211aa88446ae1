//! A changed configuration takes effect in time, whatever its size and the speed of the link.

mod platform_support;

use std::time::{Duration, Instant};

use platform_standins::{CONFIGURATION_KEY, StoreServer, add_routes, configuration};
use platform_support::support::{Relay, wait_until};
use platform_support::{
    Entry, GROUP, HOST, PREFIX, free_address, seeds_setting, start_entry, start_entry_at,
};

/// Time after its acknowledgement within which a change takes effect on a large deployment.
const APPLY_LIMIT: Duration = Duration::from_millis(3_000);

/// As [`APPLY_LIMIT`], on a small deployment.
const SMALL_APPLY_LIMIT: Duration = Duration::from_millis(2_000);

const OTHER_CHANGE_COUNT: usize = 20;
const OTHER_CHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// How long watches report no events; several watches begin and end in it.
const HIDDEN_PERIOD: Duration = Duration::from_millis(2_000);

const ROUTE_COUNT: usize = 4_200;

const LAST_PREFIX: &str = "/last/";

/// Rate at which the configuration takes 1.4 s: more than the time limit of a call that waits for a
/// response.
const SLOW_LINK_BYTES_PER_S: u64 = 750_000;

/// Publishes a configuration with some thousand routes.
fn publish_large(store: &StoreServer, version: u64, last_prefix: &str) {
    let mut body = configuration(version, HOST, PREFIX, GROUP);
    add_routes(&mut body, ROUTE_COUNT, last_prefix);
    store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
}

/// Returns a store with a configuration of one queue.
fn start_store() -> StoreServer {
    let store = StoreServer::start().expect("a store");
    publish(&store, 1, PREFIX);
    store
}

fn publish(store: &StoreServer, version: u64, prefix: &str) {
    let body = configuration(version, HOST, prefix, GROUP);
    store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
}

async fn wait_until_in_force(entry: &Entry, prefix: &str) {
    wait_until("the configuration is in force", async || {
        entry.queue_status(prefix).await == Some(200)
    })
    .await;
}

// An entry on a slow link read the configuration again and again and got none of it.
#[test]
fn a_large_configuration_takes_effect_in_time_on_a_slow_link() {
    let run = runtime::run(async {
        let folder = tempfile::tempdir().expect("a folder");
        let store = start_store();
        let link = Relay::start();
        link.set_upstream(store.address());
        link.limit_rate(SLOW_LINK_BYTES_PER_S);
        let entry = start_entry(folder.path(), link.address, "debug");
        wait_until_in_force(&entry, PREFIX).await;
        publish_large(&store, 2, LAST_PREFIX);
        let published_at = Instant::now();
        wait_until_in_force(&entry, LAST_PREFIX).await;
        let took = published_at.elapsed();
        assert!(took <= APPLY_LIMIT, "{took:?}");
    });
    run.expect("the runtime starts");
}

// An entry that the store refused asked its peers again and again for a configuration that the link
// does not carry within the time limit of one call.
#[test]
fn a_large_configuration_reaches_a_refused_entry_from_a_peer_on_a_slow_link() {
    let run = runtime::run(async {
        let folder = tempfile::tempdir().expect("a folder");
        let store = start_store();
        let seed_address = free_address();
        let settings = seeds_setting(&[seed_address]);
        let seed = start_entry_at(
            folder.path(),
            store.address(),
            seed_address,
            "debug",
            &settings,
        );
        let link = Relay::start();
        link.set_upstream(seed_address);
        link.limit_rate(SLOW_LINK_BYTES_PER_S);
        let settings = seeds_setting(&[link.address]);
        let (refusing_store, address) = (free_address(), free_address());
        let refused = start_entry_at(folder.path(), refusing_store, address, "debug", &settings);
        wait_until_in_force(&refused, PREFIX).await;
        publish_large(&store, 2, LAST_PREFIX);
        wait_until_in_force(&seed, LAST_PREFIX).await;
        let known_at = Instant::now();
        wait_until_in_force(&refused, LAST_PREFIX).await;
        let took = known_at.elapsed();
        assert!(took <= APPLY_LIMIT, "{took:?}");
    });
    run.expect("the runtime starts");
}

// Entries read the whole configuration again after every change of any other key.
#[test]
fn an_unchanged_configuration_is_not_read_again_when_other_keys_change() {
    let run = runtime::run(async {
        let folder = tempfile::tempdir().expect("a folder");
        let store = start_store();
        let entry = start_entry(folder.path(), store.address(), "debug");
        wait_until_in_force(&entry, PREFIX).await;
        let read_count = store.read_count(CONFIGURATION_KEY);
        for _ in 0..OTHER_CHANGE_COUNT {
            store.put("another/key", b"");
            monoio::time::sleep(OTHER_CHANGE_INTERVAL).await;
        }
        assert_eq!(store.read_count(CONFIGURATION_KEY), read_count);
    });
    run.expect("the runtime starts");
}

// A watch may report a revision without the changes up to it.
#[test]
fn a_change_that_the_watch_has_missed_takes_effect_in_time() {
    for is_compacted in [false, true] {
        let run = runtime::run(async {
            let folder = tempfile::tempdir().expect("a folder");
            let store = start_store();
            let entry = start_entry(folder.path(), store.address(), "debug");
            wait_until_in_force(&entry, PREFIX).await;
            store.faults().is_hiding_events.set(true);
            publish(&store, 2, LAST_PREFIX);
            monoio::time::sleep(HIDDEN_PERIOD).await;
            store.faults().is_hiding_events.set(false);
            if is_compacted {
                store.compact();
            }
            let shown_at = Instant::now();
            wait_until_in_force(&entry, LAST_PREFIX).await;
            let took = shown_at.elapsed();
            assert!(took <= SMALL_APPLY_LIMIT, "{took:?}");
        });
        run.expect("the runtime starts");
    }
}
