//! Bootstrap from other entries while the platform's store is unreachable.
//!
//! An entry that starts during a store outage fetches the configuration and the hosts from the
//! peers in its settings.

use std::rc::Rc;
use std::time::Duration;

use model::HostRegistration;
use monoio::net::TcpListener;
use protocol::{BootstrapLink, BootstrapReply, ServerSettings, serve_bootstrap};
use runtime::monotonic_us;

use crate::process::Shared;
use crate::{configuration, directory};

/// Time after the start that the store has to answer before other entries are asked, in
/// milliseconds.
const PEER_QUERY_DELAY_MS: u64 = 600;

/// Pause between two rounds of requests to all peers, in milliseconds.
const PEER_QUERY_INTERVAL_MS: u64 = 500;

/// Time limit of one request to a peer, in milliseconds.
const PEER_QUERY_TIMEOUT_MS: u64 = 500;

/// Answers bootstrap requests of other entries.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let settings = ServerSettings::builder(shared.key)
        .counters(shared.link_counters.clone())
        .traffic(shared.traffic.clone())
        .build();
    serve_bootstrap(listener, settings, move |known| reply(&shared, known)).await;
}

fn reply(shared: &Rc<Shared>, known_revision: u64) -> BootstrapReply {
    let active_configuration = shared.active_configuration.borrow();
    let newer = active_configuration
        .as_ref()
        .filter(|config| config.revision > known_revision);
    let now_ms = shared.advance_clock();
    let hosts = shared.scheduler.borrow().hosts(now_ms);
    let agents = hosts.iter().map(|host| HostRegistration {
        name: host.info.name.to_string(),
        address: host.info.address.to_string(),
        failure_domain: host.info.failure_domain.to_string(),
        target: None,
    });
    BootstrapReply {
        revision: active_configuration
            .as_ref()
            .map_or(0, |config| config.revision),
        configuration: newer.map(|config| config.published.clone()),
        hosts: agents.collect(),
    }
}

/// Asks the peers until this entry has a configuration and knows at least one host.
pub(crate) async fn query_peers(shared: Rc<Shared>) {
    monoio::time::sleep(Duration::from_millis(PEER_QUERY_DELAY_MS)).await;
    while is_bootstrap_needed(&shared) {
        let settings = shared.settings();
        for &peer in &settings.seed_peers {
            if peer != settings.peer_address && is_bootstrap_needed(&shared) {
                query_peer(&shared, &peer.to_string()).await;
            }
        }
        monoio::time::sleep(Duration::from_millis(PEER_QUERY_INTERVAL_MS)).await;
    }
}

fn is_bootstrap_needed(shared: &Shared) -> bool {
    shared.active_configuration.borrow().is_none() || shared.addresses.borrow().is_empty()
}

async fn query_peer(shared: &Rc<Shared>, address: &str) {
    let deadline_us = monotonic_us() + PEER_QUERY_TIMEOUT_MS * 1_000;
    let traffic = shared.traffic.clone();
    let link = BootstrapLink::connect(address, shared.key, deadline_us, traffic).await;
    let reply = match link {
        Ok(link) => link.bootstrap(0, deadline_us).await,
        Err(error) => Err(error),
    };
    match reply {
        Ok(reply) => {
            if let Some(published) = &reply.configuration {
                configuration::apply_published(shared, reply.revision, published, address);
            }
            for host in &reply.hosts {
                directory::add_host(shared, host);
            }
        }
        Err(error) => {
            log::debug!(target: "gateway", event = "bootstrap_failed", address = address,
                reason = error.to_string();
                "no bootstrap data from this peer; trying the next one, or all again after a pause");
        }
    }
}
