//! Exchange of state with other entries and agents while the platform's store is unreachable.
//!
//! The `peers` crate decides whom this entry asks and when. It takes part only if its settings name
//! seeds; requests of other entries are answered in any case.

use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::TcpListener;
use peers::{Knowledge, MAX_HOSTS_IN_REPLY, MAX_PART_BYTES, Part, Query, ReplySummary, StorePart};
use protocol::{
    BootstrapLink, BootstrapReply, BootstrapRequest, ConfigurationPart, ConfigurationPartRequest,
    HostAnnouncement, HostAnnouncementReply, HostContact, LinkError, LinkFault, ServerSettings,
    serve_bootstrap,
};
use runtime::{monotonic_us, uptime_ms};
use rustc_hash::FxBuildHasher;
use scheduling::{HostInfo, Scheduler};
use serde_json::{Value, json};
use web::Bytes;

use crate::process::Shared;
use crate::{configuration, directory, evacuation};

/// Time limit of one request to a peer, in milliseconds; a round trip takes 2 ms, and a machine
/// without power does not answer at all.
const PEER_QUERY_TIMEOUT_MS: u64 = 300;

/// Largest number of concurrent connections to the bootstrap service, which are open for the time
/// of one call: all agents of a large installation may announce themselves at once.
const MAX_CONNECTIONS: usize = 1_024;

/// Answers requests of other entries and announcements of agents.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let settings = ServerSettings::builder(shared.key)
        .connection_limit(MAX_CONNECTIONS)
        .counters(shared.link_counters.clone())
        .connector(&shared.connector)
        .build();
    let asked = Rc::clone(&shared);
    let bootstrap = move |request: BootstrapRequest| answer(&asked, &request);
    let source = Rc::clone(&shared);
    let part = move |request: ConfigurationPartRequest| configuration_part(&source, request);
    let announce = move |announcement: HostAnnouncement| learn_host(&shared, &announcement);
    serve_bootstrap(listener, settings, bootstrap, part, announce).await;
}

/// Returns the address at which other processes reach the bootstrap service, if the entry takes part
/// in the exchange of state and the address is known.
pub(crate) fn own_address(shared: &Shared) -> Option<SocketAddr> {
    let settings = shared.settings();
    let is_known = !settings.peer_address.ip().is_unspecified();
    (is_known && is_enabled(shared)).then_some(settings.peer_address)
}

fn is_enabled(shared: &Shared) -> bool {
    !shared.settings().seed_peers.is_empty()
}

fn answer(shared: &Rc<Shared>, request: &BootstrapRequest) -> BootstrapReply {
    let known = knowledge(shared);
    if let Some(address) = request.address.filter(|_| is_enabled(shared)) {
        let has_newer_evacuations = request
            .evacuations
            .is_some_and(|digest| evacuation::is_newer(shared, digest));
        let theirs = Knowledge {
            revision: request.revision,
            host_count: request.host_count as usize,
        };
        shared.exchange.borrow_mut().contacted(
            uptime_ms(),
            address,
            theirs,
            known,
            has_newer_evacuations,
        );
        call_due_peers(shared);
    }
    let caller_revision = request.revision.max(request.downloading_revision);
    let first_part = ConfigurationPartRequest {
        revision: known.revision,
        offset_bytes: 0,
    };
    let is_newer = known.revision > caller_revision;
    let configuration = is_newer.then(|| configuration_part(shared, first_part));
    let scheduler = shared.scheduler.borrow();
    let hosts_digest = digest_hosts(&scheduler);
    let has_hosts = request.wants_hosts && request.seen_hosts_digest != hosts_digest;
    let max_hosts = if has_hosts { MAX_HOSTS_IN_REPLY } else { 0 };
    let hosts = scheduler.host_infos().take(max_hosts).filter_map(contact);
    let exchange = shared.exchange.borrow();
    BootstrapReply {
        revision: known.revision,
        configuration,
        evacuations: evacuation::report_to(shared, request.evacuations),
        host_count: known.host_count as u32,
        is_listed: exchange.is_listed(),
        hosts_digest,
        hosts: hosts.collect(),
        entries: exchange.named(request.address),
    }
}

/// Returns a part of the configuration, or the first part if this entry has another revision.
fn configuration_part(shared: &Shared, request: ConfigurationPartRequest) -> ConfigurationPart {
    let active_configuration = shared.active_configuration.borrow();
    let Some(config) = active_configuration.as_ref() else {
        return ConfigurationPart::default();
    };
    let total_bytes = config.published.len();
    let offset_bytes = if request.revision == config.revision {
        usize::try_from(request.offset_bytes).map_or(total_bytes, |bytes| bytes.min(total_bytes))
    } else {
        0
    };
    let end_bytes = (offset_bytes + MAX_PART_BYTES).min(total_bytes);
    ConfigurationPart {
        revision: config.revision,
        total_bytes: total_bytes as u64,
        offset_bytes: offset_bytes as u64,
        content: config.published.slice(offset_bytes..end_bytes),
    }
}

/// Returns what to tell a peer of a host; `None` if the store had a malformed address of it.
fn contact(info: &HostInfo) -> Option<HostContact> {
    Some(HostContact {
        name: info.name.to_string(),
        address: info.address.parse().ok()?,
        failure_domain: info.failure_domain.to_string(),
    })
}

/// Returns a digest that is the same for the same hosts in any order.
fn digest_hosts(scheduler: &Scheduler) -> u64 {
    let hosts = scheduler.host_infos();
    let digests = hosts.map(|info| FxBuildHasher.hash_one((&*info.name, &*info.address)));
    digests.fold(0, u64::wrapping_add)
}

fn learn_host(shared: &Rc<Shared>, announcement: &HostAnnouncement) -> HostAnnouncementReply {
    if !is_enabled(shared) {
        return HostAnnouncementReply::default();
    }
    directory::add_announced_host(shared, &announcement.host);
    shared.exchange.borrow_mut().learn(&announcement.entries);
    call_due_peers(shared);
    HostAnnouncementReply {
        entries: shared.exchange.borrow().named(None),
    }
}

/// Records how a read of the store ended; if it failed, peers are asked without delay.
pub(crate) fn record_store_read(shared: &Rc<Shared>, part: StorePart, is_answered: bool) {
    shared
        .exchange
        .borrow_mut()
        .record_store_call(part, is_answered);
    call_due_peers(shared);
}

/// Calls the peers that are due, if the settings name seeds.
pub(crate) fn call_due_peers(shared: &Rc<Shared>) {
    if !is_enabled(shared) || shared.is_draining.get() {
        return;
    }
    let known = knowledge(shared);
    let due = shared.exchange.borrow_mut().take_due(uptime_ms(), known);
    for query in due {
        monoio::spawn(call_peer(Rc::clone(shared), query));
    }
}

/// Returns the peers and whether the store answers, for the state dump.
pub(crate) fn state(shared: &Shared) -> Value {
    let exchange = shared.exchange.borrow();
    let peers = exchange.peers().map(|peer| {
        json!({
            "address": peer.address.to_string(),
            "is_seed": peer.is_seed,
            "is_confirmed": peer.is_confirmed,
            "revision": peer.known.map(|known| known.revision),
            "hosts": peer.known.map(|known| known.host_count),
        })
    });
    json!({
        "is_store_answering": exchange.is_store_answering(),
        "is_listed": exchange.is_listed(),
        "peers": peers.collect::<Vec<Value>>(),
    })
}

fn knowledge(shared: &Shared) -> Knowledge {
    let active_configuration = shared.active_configuration.borrow();
    Knowledge {
        revision: active_configuration
            .as_ref()
            .map_or(0, |config| config.revision),
        host_count: shared.addresses.borrow().len(),
    }
}

async fn call_peer(shared: Rc<Shared>, query: Query) {
    match request_state(&shared, query).await {
        Ok((link, reply)) => {
            apply(&shared, query, &reply);
            download_configuration(&shared, &link, query.address, reply.revision).await;
        }
        Err(error) => {
            shared.metrics.record_peer_call(false);
            log::debug!(target: "gateway", event = "bootstrap_failed",
                address = query.address.to_string(), reason = error.to_string();
                "no state from this peer; asking it again after a pause");
            let mut exchange = shared.exchange.borrow_mut();
            exchange.failed(uptime_ms(), query.address);
        }
    }
    call_due_peers(&shared);
}

async fn request_state(
    shared: &Rc<Shared>,
    query: Query,
) -> Result<(BootstrapLink, BootstrapReply), LinkError> {
    let deadline_us = monotonic_us() + PEER_QUERY_TIMEOUT_MS * 1_000;
    let address = query.address.to_string();
    let link = BootstrapLink::connect(&shared.connector, &address, deadline_us).await?;
    if link.peer() == shared.key {
        return Err(LinkError::NotSent(LinkFault::BadAddress));
    }
    let known = knowledge(shared);
    let request = BootstrapRequest {
        address: own_address(shared),
        revision: known.revision,
        downloading_revision: shared.download.borrow().revision(uptime_ms()),
        host_count: known.host_count as u32,
        evacuations: evacuation::digest(shared),
        wants_hosts: query.wants_hosts,
        seen_hosts_digest: query.seen_hosts_digest,
    };
    let reply = link.bootstrap(request, deadline_us).await?;
    Ok((link, reply))
}

/// Requests the parts of the configuration that are missing, unless they are requested from another
/// peer, or the peer has another revision.
async fn download_configuration(
    shared: &Rc<Shared>,
    link: &BootstrapLink,
    address: SocketAddr,
    peer_revision: u64,
) {
    let is_started = shared
        .download
        .borrow_mut()
        .start(uptime_ms(), peer_revision);
    if !is_started {
        return;
    }
    loop {
        let next = shared.download.borrow().next_part(uptime_ms());
        let Some(next) = next else {
            break;
        };
        let request = ConfigurationPartRequest {
            revision: next.revision,
            offset_bytes: next.offset_bytes as u64,
        };
        let deadline_us = monotonic_us() + PEER_QUERY_TIMEOUT_MS * 1_000;
        let part = match link.configuration_part(request, deadline_us).await {
            Ok(part) => part,
            Err(error) => {
                log::debug!(target: "gateway", event = "bootstrap_failed",
                    address = address.to_string(), offset_bytes = next.offset_bytes,
                    reason = error.to_string();
                    "no further part of the configuration from this peer; asking another one");
                break;
            }
        };
        take_part(shared, &part, &address.to_string());
        if shared.download.borrow().next_part(uptime_ms()) == Some(next) {
            break;
        }
    }
    shared.download.borrow_mut().stop();
}

/// Adds a part of the configuration, and applies the configuration if it is complete.
fn take_part(shared: &Rc<Shared>, part: &ConfigurationPart, source: &str) {
    let part = Part {
        revision: part.revision,
        total_bytes: part.total_bytes as usize,
        offset_bytes: part.offset_bytes as usize,
        content: &part.content,
    };
    let downloaded = shared.download.borrow_mut().add(uptime_ms(), part);
    if let Some(downloaded) = downloaded {
        let published = Bytes::from(downloaded.published);
        configuration::apply_published(shared, downloaded.revision, &published, source);
    }
}

fn apply(shared: &Rc<Shared>, query: Query, reply: &BootstrapReply) {
    shared.metrics.record_peer_call(true);
    let source = query.address.to_string();
    if let Some(part) = &reply.configuration {
        take_part(shared, part, &source);
    }
    if let Some(report) = &reply.evacuations {
        evacuation::entry_reported(shared, &source, report);
    }
    for host in reply.hosts.iter().take(MAX_HOSTS_IN_REPLY) {
        directory::add_host_from_peer(shared, host, &source);
    }
    let summary = ReplySummary {
        knowledge: Knowledge {
            revision: reply.revision,
            host_count: reply.host_count as usize,
        },
        is_listed: reply.is_listed,
        hosts_digest: query.wants_hosts.then_some(reply.hosts_digest),
    };
    let mut exchange = shared.exchange.borrow_mut();
    exchange.learn(&reply.entries);
    exchange.answered(uptime_ms(), query.address, summary);
    if query.wants_hosts && exchange.is_listed() {
        shared.scheduler.borrow_mut().hosts_listed();
    }
}
