//! A changed configuration takes effect in time, whatever its size and the speed of the link.

mod platform_support;

use std::time::{Duration, Instant};

use platform_standins::{CONFIGURATION_KEY, StoreServer, add_routes, configuration};
use platform_support::support::{Relay, wait_until};
use platform_support::{GROUP, HOST, PREFIX, start_entry};

/// Time after its acknowledgement within which a change takes effect on a large deployment.
const APPLY_LIMIT: Duration = Duration::from_millis(3_000);

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

// An entry on a slow link read the configuration again and again and got none of it.
#[test]
fn a_large_configuration_takes_effect_in_time_on_a_slow_link() {
    let run = runtime::run(async {
        let folder = tempfile::tempdir().expect("a folder");
        let store = StoreServer::start().expect("a store");
        let body = configuration(1, HOST, PREFIX, GROUP);
        store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
        let link = Relay::start();
        link.set_upstream(store.address());
        link.limit_rate(SLOW_LINK_BYTES_PER_S);
        let entry = start_entry(folder.path(), link.address, "debug");
        wait_until("the first configuration is in force", async || {
            entry.queue_status(PREFIX).await == Some(200)
        })
        .await;
        publish_large(&store, 2, LAST_PREFIX);
        let published_at = Instant::now();
        wait_until("the large configuration is in force", async || {
            entry.queue_status(LAST_PREFIX).await == Some(200)
        })
        .await;
        let took = published_at.elapsed();
        assert!(took <= APPLY_LIMIT, "{took:?}");
    });
    run.expect("the runtime starts");
}
