//! Calls from agents and other entries, pings between entries, and handover of shards.

use std::rc::Rc;
use std::time::Duration;

use dispatch::{Route, ShardTable};
use model::{EntryInfo, Generation, ProcessKey, ShardKey};
use protocol::{
    CancelReply, EntryHandlers, EntryPing, EntryPong, HandOverReply, HandoverOffer, LinkError,
    LinkFault, MissingHandler, OwnedShard, OwnerHint, Refusal, StatusReply, SubmitReply,
};
use runtime::{monotonic_us, unix_ms};

use crate::process::Shared;

/// Interval of pings, in milliseconds.
const PING_INTERVAL_MS: u64 = 250;

/// Timeout of a ping, in microseconds.
const PING_TIMEOUT_US: u64 = 500_000;

/// Timeout of an offer of a shard's table to its next owner, in microseconds.
const OFFER_TIMEOUT_US: u64 = 2_000_000;

/// Maximum age of the last answer for which the platform counts as reachable, in microseconds.
const PLATFORM_REACHABLE_WINDOW_US: u64 = 10_000_000;

/// Builds the handlers for calls from agents and other entries.
pub fn handlers(shared: &Rc<Shared>) -> Result<EntryHandlers, MissingHandler> {
    let announce = Rc::clone(shared);
    let exchange = Rc::clone(shared);
    let submit = Rc::clone(shared);
    let status = Rc::clone(shared);
    let cancel = Rc::clone(shared);
    let ping = Rc::clone(shared);
    let hand_over = Rc::clone(shared);
    EntryHandlers::builder()
        .announce(move |agent, revision| announce.handle_announcement(agent, revision))
        .exchange(move |envelope| exchange.handle_exchange(envelope))
        .submit(move |job, _waited_ms| {
            let shared = Rc::clone(&submit);
            async move {
                match shared.submit_local(job).await {
                    Some(answer) => SubmitReply::Answered(answer),
                    None => SubmitReply::NotOwner { owner: None },
                }
            }
        })
        .status(move |job| {
            let shared = Rc::clone(&status);
            async move { shared.status_reply(job) }
        })
        .cancel(move |job| {
            let shared = Rc::clone(&cancel);
            async move { shared.cancel_reply(job) }
        })
        .ping(move |message| ping.handle_ping(message))
        .hand_over(move |offer| {
            let shared = Rc::clone(&hand_over);
            async move { shared.accept_table(&offer) }
        })
        .build()
}

/// Starts a ping to every known entry and returns these entries.
pub fn ping_known(shared: &Rc<Shared>) -> Vec<EntryInfo> {
    let peers: Vec<EntryInfo> = shared.known_entries.borrow().values().cloned().collect();
    for peer in &peers {
        let expected = Some(peer.key);
        monoio::spawn(ping(Rc::clone(shared), peer.address.clone(), expected));
    }
    peers
}

/// Pings all known entries and configured seed peers periodically; never returns.
pub async fn ping_all(shared: Rc<Shared>) {
    loop {
        let peers = ping_known(&shared);
        for seed in &shared.settings.seed_peers {
            let address = seed.to_string();
            let is_known = peers.iter().any(|peer| peer.address == address);
            if !is_known && address != shared.own_info.address {
                monoio::spawn(ping(Rc::clone(&shared), address, None));
            }
        }
        monoio::time::sleep(Duration::from_millis(PING_INTERVAL_MS)).await;
    }
}

async fn ping(shared: Rc<Shared>, address: String, expected: Option<ProcessKey>) {
    match send_ping(&shared, &address, expected).await {
        Ok(pong) => shared.handle_pong(pong),
        Err(LinkError::NotSent(
            LinkFault::NobodyListens | LinkFault::Refused(Refusal::Key { .. }),
        )) => {
            if let Some(process) = expected {
                shared.dispatcher.borrow_mut().peer_refused(process);
            }
        }
        Err(error) => {
            log::debug!("Entry {address} did not answer: {error}.");
            shared.entries.remove(&address);
        }
    }
}

async fn send_ping(
    shared: &Rc<Shared>,
    address: &str,
    expected: Option<ProcessKey>,
) -> Result<EntryPong, LinkError> {
    let link = shared.entries.link(address, expected).await?;
    let message = EntryPing {
        from: shared.dispatcher.borrow().info().clone(),
        now_unix_ms: unix_ms(),
        config_revision: shared.config.borrow().revision(),
        owned: shared.owned_shards(),
        draining: shared.is_draining.get(),
    };
    link.ping(message, monotonic_us() + PING_TIMEOUT_US).await
}

impl Shared {
    fn owned_shards(&self) -> Vec<OwnedShard> {
        self.dispatcher
            .borrow()
            .owned()
            .map(|(shard, generation)| OwnedShard { shard, generation })
            .collect()
    }

    fn handle_ping(self: &Rc<Self>, message: EntryPing) -> EntryPong {
        self.note_peer(message.from, message.draining, &message.owned);
        EntryPong {
            from: self.dispatcher.borrow().info().clone(),
            now_unix_ms: unix_ms(),
            config: self.newer_config(message.config_revision),
            owned: self.owned_shards(),
            platform_reachable: self.platform_is_reachable(),
            draining: self.is_draining.get(),
        }
    }

    fn handle_pong(self: &Rc<Self>, pong: EntryPong) {
        let clock_difference_ms = pong.now_unix_ms.abs_diff(unix_ms());
        if clock_difference_ms > model::CLOCK_SKEW_MS {
            log::warn!(
                "The clock of entry {} differs by {clock_difference_ms} ms.",
                pong.from.key
            );
        }
        if let Some(document) = &pong.config {
            self.apply_config_snapshot(&document.bytes);
        }
        self.note_peer(pong.from, pong.draining, &pong.owned);
    }

    fn note_peer(&self, info: EntryInfo, draining: bool, owned: &[OwnedShard]) {
        self.add_known_entry(info.clone());
        let owned = owned.iter().map(|owned| (owned.shard, owned.generation));
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.owner_reported(&info, owned);
        dispatcher.peer_responded(info, draining, monotonic_us());
    }

    /// Returns whether the platform answered within the last 10 seconds.
    pub fn platform_is_reachable(&self) -> bool {
        let reached_us = self.last_platform_response_us.get();
        reached_us > 0 && monotonic_us() < reached_us + PLATFORM_REACHABLE_WINDOW_US
    }

    /// Offers the job table of a shard to the shard's next owner.
    pub async fn offer_shard(
        self: Rc<Self>,
        shard: ShardKey,
        to: ProcessKey,
        address: String,
        table: Box<ShardTable>,
    ) {
        let accepted = match self.send_offer(shard, to, &address, &table).await {
            Ok(reply) => reply.accepted,
            Err(error) => {
                log::warn!("Shard {shard}: entry {address} did not take the table: {error}.");
                false
            }
        };
        log::info!("Shard {shard} is offered to {to}: accepted {accepted}.");
        self.dispatcher
            .borrow_mut()
            .table_offer_answered(shard, accepted, monotonic_us());
        self.wake();
    }

    async fn send_offer(
        &self,
        shard: ShardKey,
        to: ProcessKey,
        address: &str,
        table: &ShardTable,
    ) -> Result<HandOverReply, LinkError> {
        let bytes = serde_json::to_vec(table)
            .map_err(|error| LinkError::NotSent(LinkFault::Unsendable(error.to_string())))?;
        let link = self.entries.link(address, Some(to)).await?;
        let offer = HandoverOffer {
            shard,
            generation: Generation(0),
            bytes: bytes.into(),
        };
        link.hand_over(offer, monotonic_us() + OFFER_TIMEOUT_US)
            .await
    }

    fn accept_table(&self, offer: &HandoverOffer) -> HandOverReply {
        let accepted = match serde_json::from_slice::<ShardTable>(&offer.bytes) {
            Ok(table) => self
                .dispatcher
                .borrow_mut()
                .accept_table(offer.shard, table),
            Err(error) => {
                log::warn!("Shard {}: the table cannot be read: {error}.", offer.shard);
                false
            }
        };
        HandOverReply { accepted }
    }

    /// Returns the owner of a job's shard if it is another, known entry.
    pub fn owner_hint(&self, key: model::JobKey) -> Option<OwnerHint> {
        match self.dispatcher.borrow().route(key) {
            Route::Other { owner, address } => Some(OwnerHint { owner, address }),
            Route::Own(_) | Route::Unknown => None,
        }
    }

    fn status_reply(&self, key: model::JobKey) -> StatusReply {
        self.local_status(key)
            .unwrap_or_else(|| StatusReply::NotOwner {
                owner: self.owner_hint(key),
            })
    }

    fn cancel_reply(self: &Rc<Self>, key: model::JobKey) -> CancelReply {
        self.cancel_local(key)
            .unwrap_or_else(|| CancelReply::NotOwner {
                owner: self.owner_hint(key),
            })
    }
}
