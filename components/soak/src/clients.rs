//! Clients that keep their connections open and send a job again if its answer was lost.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::Value;
use web::{CallError, Client, HeaderValue, Request, Response};

use crate::soak::System;

/// Delay before a job is sent again after its answer was lost.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);

/// Maximum number of times that a job is sent, under the same id.
const MAX_ATTEMPTS: u32 = 3;

/// Counts of jobs by the result that their client saw.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Tally {
    /// Jobs answered with 200 and the state `completed`.
    pub(crate) completed: u64,
    /// Jobs answered with 200 and any other state.
    pub(crate) failed: u64,
    /// Jobs refused as not run, with 429 or 503.
    pub(crate) refused: u64,
    /// Jobs without a usable answer to any attempt.
    pub(crate) lost: u64,
}

/// Sends a job to random entries until it is answered; returns whether it was completed.
///
/// Only a refusal of the first attempt is recorded in the ledger: a lost attempt may have started
/// the job, although a later attempt is refused.
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
    let timeout_ms = 1_000 + work_ms * 2;
    let body = platform_standins::job(tasks, work_ms);
    for attempt in 1..=MAX_ATTEMPTS {
        let entry = rng.borrow_mut().random_range(0..system.entries.len());
        let client = &system.entries[entry].client;
        let answer = send_attempt(client, &id, &body, timeout_ms).await;
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
                if attempt == 1 {
                    system.ledger.borrow_mut().record_refusal(&id);
                }
                tally.borrow_mut().refused += 1;
                return false;
            }
            Ok(_) | Err(_) => sleep(RETRY_DELAY).await,
        }
    }
    tally.borrow_mut().lost += 1;
    false
}

async fn send_attempt(
    client: &Client,
    id: &str,
    body: &Value,
    timeout_ms: u64,
) -> Result<Response, CallError> {
    let mut request = Request::post_json(format!("/soak/{id}"), body);
    let headers = &mut request.headers;
    headers.insert("host", HeaderValue::from_static("soak.example"));
    headers.insert("deadline-ms", HeaderValue::from(timeout_ms));
    client
        .call(&request, Duration::from_millis(timeout_ms))
        .await
}
