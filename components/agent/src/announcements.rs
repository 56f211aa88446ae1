//! Announces the agent to the entries and applies their replies.

use std::rc::Rc;
use std::time::Duration;

use model::{OwnerEnvelope, OwnerMessage, ProcessKey, Rules};
use protocol::LinkError;
use runtime::{monotonic_us, unix_ms};

use crate::process::Shared;

/// Interval at which due announcements are sent, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// Timeout of an announcement, in microseconds.
const ANNOUNCE_TIMEOUT_US: u64 = 1_000_000;

/// Announces the agent to every known entry when due; never returns.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let due = shared.directory.borrow_mut().take_due(monotonic_us());
        for address in due {
            monoio::spawn(announce(Rc::clone(&shared), address));
        }
        monoio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

async fn announce(shared: Rc<Shared>, address: String) {
    let info_revision = shared.directory.borrow().info_revision();
    if let Err(error) = try_announce(&shared, &address).await {
        log::debug!("Entry {address} took no announcement: {error}.");
        shared.entries.remove(&address);
        shared
            .directory
            .borrow_mut()
            .record_failure(&address, info_revision);
    }
}

async fn try_announce(shared: &Rc<Shared>, address: &str) -> Result<(), LinkError> {
    let link = shared.entries.link(address, None).await?;
    let config_revision = shared.agent.borrow().state().config_revision;
    let info_revision = shared.directory.borrow().info_revision();
    let deadline_us = monotonic_us() + ANNOUNCE_TIMEOUT_US;
    let reply = link
        .announce(shared.info(), config_revision, deadline_us)
        .await?;
    shared
        .directory
        .borrow_mut()
        .record_success(address, &reply, info_revision, monotonic_us());
    // The teams of an entry with an older configuration may be outdated.
    let is_current = reply.config_revision >= config_revision;
    if is_current && shared.target_client.borrow_mut().set_teams(reply.teams) {
        shared.refresh_target();
        shared.directory.borrow_mut().announce_change();
    }
    if let Some(rules) = reply.rules {
        shared.apply_rules(reply.entry.key, rules);
    }
    Ok(())
}

impl Shared {
    fn apply_rules(self: &Rc<Self>, from: ProcessKey, rules: Rules) {
        let envelope = OwnerEnvelope {
            from,
            from_address: String::new(),
            to: self.key,
            messages: vec![OwnerMessage::Configure(rules)],
        };
        let mut actions = Vec::new();
        self.agent
            .borrow_mut()
            .handle(monotonic_us(), unix_ms(), envelope, &mut actions);
        self.perform(actions);
    }
}
