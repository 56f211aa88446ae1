//! The port on the host itself: the target's announcements, health, metrics and the state.

use std::collections::BTreeMap;
use std::rc::Rc;

use monoio::net::TcpListener;
use runtime::monotonic_us;
use targets::{ANNOUNCE_PATH, AnnounceError, parse_announcement, parse_departure};
use web::{Method, Request, Response, ServerLimits, Stop};

use crate::process::Shared;

/// Serves the port until it is stopped.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener, limits: ServerLimits, stop: Stop) {
    let counters = Rc::clone(&shared.web);
    let handler = move |request: Request, _| {
        let shared = Rc::clone(&shared);
        async move { shared.respond(&request) }
    };
    web::serve(listener, limits, counters, stop, handler).await;
}

impl Shared {
    fn respond(self: &Rc<Self>, request: &Request) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::DELETE, ANNOUNCE_PATH) => or_refusal(self.target_leaves(request)),
            (_, ANNOUNCE_PATH) => or_refusal(self.target_announces(request)),
            (&Method::GET, "/healthz") => Response::text(200, "ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.render_metrics(),
            (&Method::GET, "/v1/state") => Response::json(200, &self.state()),
            _ => Response::error(404, "no such path"),
        }
    }

    fn target_announces(self: &Rc<Self>, request: &Request) -> Result<Response, AnnounceError> {
        let announcement = parse_announcement(request)?;
        let expires_us = monotonic_us() + announcement.ttl_ms * 1_000;
        let before = self.calls.borrow().target_info();
        let name = announcement.name.clone();
        self.calls.borrow_mut().announced(announcement, expires_us);
        let changed = before != self.calls.borrow().target_info();
        if changed {
            log::info!("Target {name} announced itself.");
        }
        self.refresh_target();
        if changed {
            self.directory.borrow_mut().hasten();
        }
        Ok(Response::empty(204))
    }

    fn target_leaves(self: &Rc<Self>, request: &Request) -> Result<Response, AnnounceError> {
        let departure = parse_departure(request)?;
        if self.calls.borrow().target_name() != Some(departure.name.as_str()) {
            return Ok(Response::error(404, "no target of this name"));
        }
        log::info!("Target {} leaves.", departure.name);
        self.calls.borrow_mut().left();
        let mut actions = Vec::new();
        self.core
            .borrow_mut()
            .target_left(monotonic_us(), &mut actions);
        self.perform(actions);
        self.directory.borrow_mut().hasten();
        Ok(Response::empty(204))
    }

    fn readiness(&self) -> Response {
        if self.draining.get() {
            return Response::error(503, "draining");
        }
        if self.calls.borrow().target_info().is_none() {
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
        let links: BTreeMap<_, _> = self.links.iter().collect();
        let traffic: BTreeMap<_, _> = self.traffic.iter().collect();
        serde_json::json!({
            "agent": self.key.to_string(),
            "address": self.peer_address,
            "failure_domain": self.settings.failure_domain,
            "draining": self.draining.get(),
            "links": links,
            "traffic": traffic,
            "decisions": self.core.borrow().state(),
        })
    }
}

fn or_refusal(result: Result<Response, AnnounceError>) -> Response {
    result.unwrap_or_else(|error| error.response())
}
