//! Announces the target to its agent and repeats the announcement as a heartbeat.

use std::time::Duration;

use std::net::SocketAddr;

use monoio::time::timeout;
use targets::{ANNOUNCE_PATH, Announcement, Departure};
use web::{Client, Method, Request, Stop};

/// Number of announcements sent within the TTL of one.
const HEARTBEATS_PER_TTL: u64 = 3;

pub(super) struct Announcer {
    client: Client,
    announcement: Announcement,
}

impl Announcer {
    pub(super) fn new(agent: SocketAddr, announcement: Announcement) -> Self {
        Self {
            client: Client::new(agent, 1),
            announcement,
        }
    }

    /// Sends announcements until `stop` is set.
    pub(super) async fn run(&self, stop: &Stop) {
        while !stop.is_stopped() {
            let request = Request::post_json(ANNOUNCE_PATH, &self.announcement);
            self.send(&request).await;
            let _ = timeout(self.interval(), stop.stopped()).await;
        }
    }

    /// Sends a departure to the agent.
    pub(super) async fn send_departure(&self) {
        let name = self.announcement.name.clone();
        let mut request = Request::post_json(ANNOUNCE_PATH, &Departure { name });
        request.method = Method::DELETE;
        self.send(&request).await;
    }

    fn interval(&self) -> Duration {
        Duration::from_millis(self.announcement.ttl_ms / HEARTBEATS_PER_TTL)
    }

    async fn send(&self, request: &Request) {
        match self.client.call(request, self.interval()).await {
            Ok(response) if response.status < 300 => {}
            Ok(response) => {
                let text = String::from_utf8_lossy(&response.body);
                log::warn!("Target stand-in: the agent rejected the request: {text}.");
            }
            Err(error) => log::info!("Target stand-in: the request to the agent failed: {error}."),
        }
    }
}
