//! Tests of routes, tokens and responses.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use callers::{
    Access, NameError, Route, RouteError, SubmissionError, answer_response, bearer_token,
    no_owner_response, parse_route, route_error_response, submission_error_response,
};
use http::header::{ALLOW, RETRY_AFTER};
use http::{Method, Response, StatusCode};
use model::{Answer, FailureKind, FailureReason};
use proptest::prelude::*;
use serde_json::{Value, json};

fn json_body(response: &Response<Bytes>) -> Value {
    serde_json::from_slice(response.body()).unwrap()
}

#[test]
fn every_route_is_parsed_with_its_access_and_rejects_other_methods() {
    let id = "a:1".to_owned();
    let firm = "north".to_owned();
    let cases = [
        (
            Method::PUT,
            "/v1/jobs/a:1",
            Route::SubmitJob { id: id.clone() },
            Access::Firm,
        ),
        (
            Method::GET,
            "/v1/jobs/a%3A1?x=/y",
            Route::ShowJob { id: id.clone() },
            Access::Firm,
        ),
        (
            Method::DELETE,
            "/v1/jobs/a:1",
            Route::CancelJob { id },
            Access::Firm,
        ),
        (Method::GET, "/v1/jobs", Route::ListJobs, Access::Firm),
        (Method::GET, "/v1/state", Route::ShowState, Access::Firm),
        (Method::GET, "/healthz", Route::Health, Access::Public),
        (Method::GET, "/readyz", Route::Ready, Access::Public),
        (Method::GET, "/metrics", Route::Metrics, Access::Operator),
        (
            Method::GET,
            "/admin/v1/state",
            Route::AdminState,
            Access::Operator,
        ),
        (
            Method::GET,
            "/admin/v1/firms/north/jobs",
            Route::AdminFirmJobs { firm },
            Access::Operator,
        ),
        (
            Method::POST,
            "/admin/v1/drain",
            Route::AdminDrain,
            Access::Operator,
        ),
        (
            Method::GET,
            "/admin/v1/config",
            Route::AdminConfig,
            Access::Operator,
        ),
    ];
    for (method, path, route, access) in cases {
        assert_eq!(parse_route(&method, path), Ok(route.clone()), "{path}");
        assert_eq!(route.access(), access, "{path}");
        let other = parse_route(&Method::PATCH, path);
        assert!(
            matches!(other, Err(RouteError::MethodNotAllowed { .. })),
            "{path}"
        );
    }
}

#[test]
fn unknown_paths_and_invalid_names_are_rejected() {
    for path in [
        "",
        "/",
        "v1/jobs",
        "/v1/jobs/a/b",
        "/v1",
        "/healthz/",
        "/admin/v1/firms/a/b",
    ] {
        assert_eq!(
            parse_route(&Method::GET, path),
            Err(RouteError::NotFound),
            "{path}"
        );
    }
    let long = format!("/v1/jobs/{}", "a".repeat(65));
    let cases = [
        ("/v1/jobs/", NameError::Empty),
        ("/v1/jobs/%2e%2E", NameError::DotSegment),
        ("/v1/jobs/a%2Fb", NameError::BadCharacter),
        ("/v1/jobs/a%4", NameError::BadCharacter),
        ("/v1/jobs/%+1", NameError::BadCharacter),
        ("/v1/jobs/%C3%A9", NameError::BadCharacter),
        (&long, NameError::TooLong),
    ];
    for (path, cause) in cases {
        let error = parse_route(&Method::PUT, path);
        assert_eq!(error, Err(RouteError::BadName(cause)), "{path}");
    }
}

#[test]
fn method_not_allowed_response_lists_the_allowed_methods() {
    let error = parse_route(&Method::POST, "/v1/jobs/a").unwrap_err();
    let response = route_error_response(error);
    assert_eq!(response.status(), StatusCode::METHOD_NOT_ALLOWED);
    assert_eq!(response.headers()[ALLOW], "PUT, GET, DELETE");
}

#[test]
fn each_failure_maps_to_its_status_code() {
    use FailureKind::{CannotRun, MayHaveRun, NotRun, RanAndFailed};
    let cases = [
        (NotRun, FailureReason::Overloaded, 503),
        (NotRun, FailureReason::OverQuota, 429),
        (NotRun, FailureReason::DeadlinePassed, 504),
        (NotRun, FailureReason::Cancelled, 409),
        (NotRun, FailureReason::ClockAhead, 400),
        (MayHaveRun, FailureReason::AgentLost, 502),
        (MayHaveRun, FailureReason::TooOld, 410),
        (MayHaveRun, FailureReason::ResultDropped, 410),
        (CannotRun, FailureReason::NoTarget, 422),
        (CannotRun, FailureReason::Conflict, 409),
        (RanAndFailed, FailureReason::TaskFailed, 500),
    ];
    for (kind, reason, status) in cases {
        let response = answer_response(&Answer::failed(kind, reason, "why"));
        assert_eq!(response.status().as_u16(), status, "{kind} {reason}");
        let expected = json!({"state": "failed", "kind": kind, "reason": reason, "detail": "why"});
        assert_eq!(json_body(&response), expected);
        assert!(!response.headers().contains_key(RETRY_AFTER));
    }
}

#[test]
fn retry_after_header_rounds_up_to_seconds() {
    for (retry_after_ms, header) in [(0, "0"), (1, "1"), (1_000, "1"), (1_001, "2")] {
        let (kind, reason) = (FailureKind::NotRun, FailureReason::Overloaded);
        let response = answer_response(&Answer::refused(kind, reason, "", retry_after_ms));
        assert_eq!(response.headers()[RETRY_AFTER], header);
        assert_eq!(json_body(&response)["retry_after_ms"], retry_after_ms);
        assert_eq!(json_body(&response)["kind"], "not_run");
    }
}

#[test]
fn rejected_submission_response_has_no_failure_kind() {
    let response = submission_error_response(&SubmissionError::NoTask);
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    assert_eq!(json_body(&response)["state"], "refused");
    assert_eq!(json_body(&response).get("kind"), None);
    let limit_bytes = 1;
    let response = submission_error_response(&SubmissionError::BodyTooLarge { limit_bytes });
    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
}

#[test]
fn bearer_token_accepts_only_valid_headers() {
    assert_eq!(bearer_token(b"Bearer north-1"), Some("north-1"));
    assert_eq!(bearer_token(b"bearer  south-1 "), Some("south-1"));
    let longest = format!("Bearer {}", "a".repeat(128));
    assert_eq!(bearer_token(longest.as_bytes()), Some(&longest[7..]));
    let too_long = format!("Bearer {}", "a".repeat(129));
    for header in [
        "north-1",
        "Basic north-1",
        "Bearer",
        "Bearer ",
        "Bearer a b",
        "Bearer \u{e9}",
        &too_long,
    ] {
        assert_eq!(bearer_token(header.as_bytes()), None, "{header}");
    }
}

#[test]
fn head_is_routed_as_get() {
    assert_eq!(parse_route(&Method::HEAD, "/healthz"), Ok(Route::Health));
    let id = "a".to_owned();
    let shown = parse_route(&Method::HEAD, "/v1/jobs/a");
    assert_eq!(shown, Ok(Route::ShowJob { id }));
    let drain = parse_route(&Method::HEAD, "/admin/v1/drain");
    assert_eq!(drain, Err(RouteError::MethodNotAllowed { allowed: "POST" }));
}

#[test]
fn unreachable_owner_response_has_retry_after_of_one_second() {
    let response = no_owner_response();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()[RETRY_AFTER], "1");
    assert_eq!(json_body(&response)["state"], "refused");
    assert_eq!(json_body(&response)["reason"], "no_owner");
}

proptest! {
    #[test]
    fn results_round_trip_as_json_or_base64(results: Vec<Vec<u8>>, numbers: Vec<i64>) {
        let json = numbers.iter().map(|number| number.to_string().into_bytes());
        let results: Vec<Vec<u8>> = results.into_iter().chain(json).collect();
        let answer = Answer::Complete(results.iter().cloned().map(Bytes::from).collect());
        let response = answer_response(&answer);
        prop_assert_eq!(response.status(), StatusCode::OK);
        let body = json_body(&response);
        let embedded = body["results"].as_array().unwrap();
        prop_assert_eq!(embedded.len(), results.len());
        let empty = Vec::new();
        let encoded = body.get("base64").and_then(Value::as_array).unwrap_or(&empty);
        for (index, result) in results.iter().enumerate() {
            if encoded.contains(&json!(index)) {
                let text = embedded[index].as_str().unwrap();
                prop_assert_eq!(&STANDARD.decode(text).unwrap(), result);
            } else {
                let value: Value = serde_json::from_slice(result).unwrap();
                prop_assert_eq!(&embedded[index], &value);
            }
        }
    }

    #[test]
    fn arbitrary_paths_and_headers_do_not_panic(path: String, header: Vec<u8>) {
        let _ = parse_route(&Method::GET, &path);
        let _ = parse_route(&Method::PUT, &format!("/v1/jobs/{path}"));
        let _ = bearer_token(&header);
    }

    #[test]
    fn valid_ids_round_trip_through_the_path(id in "[A-Za-z0-9_:-][A-Za-z0-9._:-]{0,63}") {
        let route = parse_route(&Method::PUT, &format!("/v1/jobs/{id}"));
        prop_assert_eq!(route, Ok(Route::SubmitJob { id }));
    }
}
