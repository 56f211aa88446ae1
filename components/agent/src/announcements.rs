//! Announces the agent to the entries.

use std::rc::Rc;
use std::time::Duration;

use model::{OwnerEnvelope, OwnerMessage, ProcessKey, Rules};
use protocol::LinkError;
use runtime::{monotonic_us, unix_ms};

use crate::process::Shared;

/// Interval at which due announcements are looked for, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 250;

/// Time that an entry has to answer an announcement, in microseconds.
const ANSWER_US: u64 = 1_000_000;

/// Announces the agent to every entry that it knows; never returns.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let due = shared.directory.borrow_mut().take_due(monotonic_us());
        for address in due {
            monoio::spawn(announce(Rc::clone(&shared), address));
        }
        monoio::time::sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
    }
}

async fn announce(shared: Rc<Shared>, address: String) {
    if let Err(error) = try_announce(&shared, &address).await {
        log::debug!("Entry {address} took no announcement: {error}.");
        shared.entries.remove(&address);
        shared.directory.borrow_mut().failed(&address);
    }
}

async fn try_announce(shared: &Rc<Shared>, address: &str) -> Result<(), LinkError> {
    let link = shared.entries.link(address, None).await?;
    let revision = shared.core.borrow().state().config_revision;
    let changes = shared.directory.borrow().changes();
    let deadline_us = monotonic_us() + ANSWER_US;
    let reply = link.announce(shared.info(), revision, deadline_us).await?;
    shared
        .directory
        .borrow_mut()
        .answered(address, &reply, changes, monotonic_us());
    // An entry that is behind does not know the present teams.
    let is_current = reply.config_revision >= revision;
    if is_current && shared.calls.borrow_mut().set_teams(reply.teams) {
        shared.refresh_target();
        shared.directory.borrow_mut().hasten();
    }
    if let Some(rules) = reply.rules {
        shared.configure(reply.entry.key, rules);
    }
    Ok(())
}

impl Shared {
    fn configure(self: &Rc<Self>, from: ProcessKey, rules: Rules) {
        let envelope = OwnerEnvelope {
            from,
            from_address: String::new(),
            to: self.key,
            messages: vec![OwnerMessage::Configure(rules)],
        };
        let mut actions = Vec::new();
        self.core
            .borrow_mut()
            .handle(monotonic_us(), unix_ms(), envelope, &mut actions);
        self.perform(actions);
    }
}
