//! Announcements of the host to entries, while the store does not hold its registration and after the
//! connection of an entry was lost.
//!
//! The `peers` crate decides to whom the host is announced and when. Without seeds in the settings
//! there are no announcements.

use std::net::SocketAddr;
use std::rc::Rc;

use protocol::{BootstrapLink, HostAnnouncement, HostAnnouncementReply, HostContact, LinkError};
use runtime::{monotonic_us, uptime_ms};

use crate::process::Shared;

/// Time limit of an announcement, in milliseconds; a round trip takes 2 ms, and a machine without
/// power does not answer at all.
const ANNOUNCEMENT_TIMEOUT_MS: u64 = 300;

/// Announces the host to the entries that are due.
pub(crate) fn call_due_entries(shared: &Rc<Shared>) {
    if shared.settings().seed_peers.is_empty() || shared.is_draining.get() {
        return;
    }
    let due = shared.announcer.borrow_mut().take_due(uptime_ms());
    for address in due {
        monoio::spawn(announce(Rc::clone(shared), address));
    }
}

async fn announce(shared: Rc<Shared>, address: SocketAddr) {
    let reply = send_announcement(&shared, address).await;
    shared.metrics.record_announcement(reply.is_ok());
    let mut announcer = shared.announcer.borrow_mut();
    match reply {
        Ok(reply) => {
            log::info!(target: "sidecar", event = "announced", address = address.to_string(),
                entries = reply.entries.len(); "host announced to an entry");
            announcer.answered(uptime_ms(), address, &reply.entries);
        }
        Err(error) => {
            log::debug!(target: "sidecar", event = "announcement_failed",
                address = address.to_string(), reason = error.to_string();
                "host could not be announced to this entry; trying again after a pause");
            announcer.failed(uptime_ms(), address);
        }
    }
}

async fn send_announcement(
    shared: &Rc<Shared>,
    address: SocketAddr,
) -> Result<HostAnnouncementReply, LinkError> {
    let deadline_us = monotonic_us() + ANNOUNCEMENT_TIMEOUT_MS * 1_000;
    let entry = address.to_string();
    let link = BootstrapLink::connect(&shared.connector, &entry, deadline_us).await?;
    let settings = shared.settings();
    let announcement = HostAnnouncement {
        host: HostContact {
            name: settings.name.clone(),
            address: settings.advertised_peer_address(),
            failure_domain: settings.failure_domain.clone(),
        },
        entries: shared.announcer.borrow().named(address),
    };
    link.announce(announcement, deadline_us).await
}
