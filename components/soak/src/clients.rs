//! Clients that keep their connections and send again what they lost.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::Value;
use web::{CallError, Client, HeaderValue, Request, Response};

use crate::soak::System;

/// How soon a client sends a job again whose answer it lost.
const RESEND: Duration = Duration::from_millis(1_300);

/// Copies of a job that a client sends.
const MAX_COPIES: u32 = 3;

/// What became of the jobs.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Tally {
    pub(crate) completed: u64,
    pub(crate) failed: u64,
    pub(crate) refused: u64,
    pub(crate) lost: u64,
}

/// Sends a job until it is answered; returns whether it was completed.
pub(crate) async fn submit(
    system: Rc<System>,
    rng: Rc<RefCell<StdRng>>,
    number: u64,
    tally: Rc<RefCell<Tally>>,
) -> bool {
    let id = format!("{:08x}{number:08x}", system.seed as u32);
    let (tasks, work_ms) = {
        let mut rng = rng.borrow_mut();
        (rng.random_range(1..=6), rng.random_range(20..400_u64))
    };
    let wait_ms = 1_000 + work_ms * 2;
    let body = platform_standins::job(tasks, work_ms);
    for copy in 1..=MAX_COPIES {
        let entry = rng.borrow_mut().random_range(0..system.entries.len());
        let client = &system.entries[entry].client;
        let answer = send(client, &id, &body, wait_ms).await;
        match answer {
            Ok(response) if response.status == 200 => {
                let body: Value = response.parse().unwrap_or_default();
                let is_completed = body["state"] == "completed";
                let mut tally = tally.borrow_mut();
                tally.completed += u64::from(is_completed);
                tally.failed += u64::from(!is_completed);
                return is_completed;
            }
            Ok(response) if matches!(response.status, 429 | 503) => {
                if copy == 1 {
                    system.ledger.borrow_mut().refused(&id);
                }
                tally.borrow_mut().refused += 1;
                return false;
            }
            Ok(_) | Err(_) => sleep(RESEND).await,
        }
    }
    tally.borrow_mut().lost += 1;
    false
}

async fn send(
    client: &Client,
    id: &str,
    body: &Value,
    wait_ms: u64,
) -> Result<Response, CallError> {
    let mut request = Request::post_json(format!("/soak/{id}"), body);
    let headers = &mut request.headers;
    headers.insert("host", HeaderValue::from_static("soak.example"));
    headers.insert("deadline-ms", HeaderValue::from(wait_ms));
    client.call(&request, Duration::from_millis(wait_ms)).await
}
