//! The HTTP server on the target's host: announcements of the target, health checks, metrics and
//! state.

use std::collections::BTreeMap;
use std::rc::Rc;

use monoio::net::TcpListener;
use runtime::monotonic_us;
use targets::{ANNOUNCE_PATH, AnnounceError, parse_announcement, parse_departure};
use web::{Method, Request, Response, ServerLimits, StopSignal};

use crate::process::Shared;

/// Serves HTTP requests until `stop` is triggered.
pub async fn serve(
    shared: Rc<Shared>,
    listener: TcpListener,
    limits: ServerLimits,
    stop: StopSignal,
) {
    let counters = Rc::clone(&shared.web_counters);
    let handler = move |request: Request, _| {
        let shared = Rc::clone(&shared);
        async move { shared.respond(&request) }
    };
    web::serve(listener, limits, counters, stop, handler).await;
}

impl Shared {
    fn respond(self: &Rc<Self>, request: &Request) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::DELETE, ANNOUNCE_PATH) => response_or_error(self.handle_departure(request)),
            (_, ANNOUNCE_PATH) => response_or_error(self.handle_announcement(request)),
            (&Method::GET, "/healthz") => Response::text(200, "ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.render_metrics(),
            (&Method::GET, "/v1/state") => Response::json(200, &self.state()),
            _ => Response::error(404, "no such path"),
        }
    }

    fn handle_announcement(self: &Rc<Self>, request: &Request) -> Result<Response, AnnounceError> {
        let announcement = parse_announcement(request)?;
        let expires_us = monotonic_us() + announcement.ttl_ms * 1_000;
        let before = self.target_client.borrow().target_info();
        let name = announcement.name.clone();
        self.target_client
            .borrow_mut()
            .set_announcement(announcement, expires_us);
        let is_changed = before != self.target_client.borrow().target_info();
        if is_changed {
            log::info!("Target {name} announced itself.");
        }
        self.refresh_target();
        if is_changed {
            self.directory.borrow_mut().announce_change();
        }
        Ok(Response::empty(204))
    }

    fn handle_departure(self: &Rc<Self>, request: &Request) -> Result<Response, AnnounceError> {
        let departure = parse_departure(request)?;
        if self.target_client.borrow().target_name() != Some(departure.name.as_str()) {
            return Ok(Response::error(404, "no target of this name"));
        }
        log::info!("Target {} leaves.", departure.name);
        self.target_client.borrow_mut().remove_target();
        let mut actions = Vec::new();
        self.agent
            .borrow_mut()
            .target_left(monotonic_us(), &mut actions);
        self.perform(actions);
        self.directory.borrow_mut().announce_change();
        Ok(Response::empty(204))
    }

    fn readiness(&self) -> Response {
        if self.is_draining.get() {
            return Response::error(503, "draining");
        }
        if self.target_client.borrow().target_info().is_none() {
            return Response::error(503, "no target");
        }
        Response::text(200, "ready\n")
    }

    fn render_metrics(&self) -> Response {
        match self.metrics.render(self) {
            Ok(text) => Response::text(200, text),
            Err(error) => Response::error(500, &error.to_string()),
        }
    }

    /// Returns the state of the process.
    pub fn state(&self) -> serde_json::Value {
        let links: BTreeMap<_, _> = self.link_counters.iter().collect();
        let traffic: BTreeMap<_, _> = self.connector.traffic().iter().collect();
        serde_json::json!({
            "agent": self.key.to_string(),
            "address": self.peer_address,
            "failure_domain": self.settings.failure_domain,
            "draining": self.is_draining.get(),
            "links": links,
            "traffic": traffic,
            "connections_by_version": self.connector.versions().open_connections(),
            "decisions": self.agent.borrow().state(),
        })
    }
}

fn response_or_error(result: Result<Response, AnnounceError>) -> Response {
    result.unwrap_or_else(|error| error.response())
}
