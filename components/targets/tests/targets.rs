//! Tests of announcements and of invocations against the target stand-in.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use model::Attempt;
use proptest::prelude::*;
use serde_json::{Value, json};
use standins::{TargetFaultMode, TargetFaults, TargetStandin};
use targets::{
    ANNOUNCE_PATH, AnnounceError, Announcement, Invocation, InvokeOutcome, Invoker,
    parse_announcement, parse_departure, parse_task_id,
};
use web::{Method, Request};

fn run(test: impl Future<Output = ()>) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test);
}

fn valid_announcement() -> Value {
    json!({
        "name": "planner-3", "address": "127.0.0.1:9000", "group": "planner",
        "firms": ["vembanad"], "slots": 8, "connections": 64, "ttl_ms": 3000
    })
}

fn parse(value: &Value) -> Result<Announcement, AnnounceError> {
    parse_announcement(&Request::post_json(ANNOUNCE_PATH, value))
}

#[test]
fn a_valid_announcement_is_accepted() {
    let parsed = parse(&valid_announcement()).expect("a valid announcement");
    assert_eq!((parsed.slots, parsed.ttl_ms), (8, 3_000));
    assert_eq!(parsed.target_info().firms.len(), 1);
}

#[test]
fn announcements_with_invalid_fields_are_rejected() {
    let invalid = [
        ("name", json!("")),
        ("group", json!("g".repeat(129))),
        ("address", json!("127.0.0.1:0")),
        ("address", json!("not an address")),
        ("firms", json!([])),
        ("firms", json!(["a", "a"])),
        ("slots", json!(0)),
        ("slots", json!(1025)),
        ("connections", json!(0)),
        ("ttl_ms", json!(99)),
        ("ttl_ms", json!(60_001)),
        ("unknown", json!(1)),
    ];
    for (field, value) in invalid {
        let mut announced = valid_announcement();
        announced[field] = value;
        let error = parse(&announced).expect_err(field);
        assert_eq!(error.response().status, 400);
    }
}

#[test]
fn wrong_path_or_method_is_rejected() {
    let wrong_path = Request::post_json("/v1/other", &valid_announcement());
    let error = parse_announcement(&wrong_path).expect_err("a wrong path");
    assert_eq!(error.response().status, 404);
    let mut departure = Request::post_json(ANNOUNCE_PATH, &json!({ "name": "planner-3" }));
    assert_eq!(
        parse_departure(&departure)
            .expect_err("a wrong method")
            .response()
            .status,
        405
    );
    departure.method = Method::DELETE;
    assert_eq!(
        parse_departure(&departure).expect("a departure").name,
        "planner-3"
    );
}

proptest! {
    #[test]
    fn arbitrary_announcement_bodies_are_rejected_without_panic(body: Vec<u8>) {
        let mut request = Request::new(Method::POST, ANNOUNCE_PATH);
        request.body = Bytes::from(body);
        prop_assert!(parse_announcement(&request).is_err());
    }

    #[test]
    fn arbitrary_firms_and_job_ids_round_trip_through_the_headers(
        firm: String,
        job_id: String,
        index: u16,
    ) {
        let invocation = Invocation {
            firm: firm.clone(),
            job_id: job_id.clone(),
            ..invocation(index)
        };
        let id = parse_task_id(&invocation.request()).expect("all headers");
        prop_assert_eq!((id.firm, id.job_id, id.index), (firm, job_id, index));
    }
}

fn invocation(index: u16) -> Invocation {
    Invocation {
        firm: "vembanad".to_owned(),
        job_id: "plan-17".to_owned(),
        index,
        attempt: Attempt(1),
        payload: Bytes::from_static(b"{}"),
        timeout: Duration::from_secs(20),
    }
}

async fn start_target(slots: u16) -> (TargetStandin, Invoker) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let standin = TargetStandin::builder(listen).slots(slots).start().await;
    let standin = standin.expect("a free port");
    let invoker = Invoker::new(standin.address(), 8);
    (standin, invoker)
}

fn one_fault(mode: TargetFaultMode) -> TargetFaults {
    TargetFaults {
        mode,
        next: Some(1),
        ..TargetFaults::default()
    }
}

#[test]
fn each_response_maps_to_its_outcome() {
    run(async {
        let (standin, invoker) = start_target(8).await;
        let done = invoker.invoke(&invocation(0)).await;
        assert_eq!(done, InvokeOutcome::Done(Bytes::from_static(b"{}")));
        standin.set_faults(one_fault(TargetFaultMode::FailFast));
        assert!(matches!(
            invoker.invoke(&invocation(1)).await,
            InvokeOutcome::Failed(_)
        ));
        standin.set_faults(one_fault(TargetFaultMode::Refuse));
        assert!(matches!(
            invoker.invoke(&invocation(2)).await,
            InvokeOutcome::NotStarted(_)
        ));
        standin.set_faults(one_fault(TargetFaultMode::Cut));
        assert!(matches!(
            invoker.invoke(&invocation(3)).await,
            InvokeOutcome::Unknown(_)
        ));
        standin.stop().await;
        assert!(matches!(
            invoker.invoke(&invocation(4)).await,
            InvokeOutcome::NotStarted(_)
        ));
        let started = standin.starts().starts;
        let indices: Vec<_> = started.iter().map(|start| start.index).collect();
        assert_eq!(indices, [0, 1, 3]);
        assert_eq!(standin.starts().doubled, []);
    });
}

#[test]
fn a_task_beyond_the_slots_is_not_started() {
    run(async {
        let (standin, invoker) = start_target(1).await;
        standin.set_faults(one_fault(TargetFaultMode::Hang));
        let first_invoker = invoker.clone();
        let first = monoio::spawn(async move { first_invoker.invoke(&invocation(0)).await });
        standin.wait_for_starts(1).await;
        let second = invoker.invoke(&invocation(1)).await;
        assert!(matches!(second, InvokeOutcome::NotStarted(_)), "{second:?}");
        standin.set_faults(TargetFaults::default());
        assert!(matches!(first.await, InvokeOutcome::Unknown(_)));
        assert_eq!(standin.starts().starts.len(), 1);
    });
}

#[test]
fn a_timed_out_task_is_unknown_and_is_not_retried() {
    run(async {
        let (standin, invoker) = start_target(1).await;
        standin.set_faults(one_fault(TargetFaultMode::Hang));
        let timeout = Duration::from_secs(1);
        let outcome = invoker
            .invoke(&Invocation {
                timeout,
                ..invocation(0)
            })
            .await;
        assert!(matches!(outcome, InvokeOutcome::Unknown(_)), "{outcome:?}");
        assert_eq!(standin.starts().starts.len(), 1);
    });
}

#[test]
fn a_closed_idle_connection_yields_not_started() {
    run(async {
        let (standin, invoker) = start_target(1).await;
        invoker.invoke(&invocation(0)).await;
        standin.stop().await;
        let outcome = invoker.invoke(&invocation(1)).await;
        assert!(
            matches!(outcome, InvokeOutcome::NotStarted(_)),
            "{outcome:?}"
        );
    });
}
