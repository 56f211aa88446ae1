//! Tests of submission parsing.

use callers::{NameError, SubmissionError, SubmissionLimits, parse_submission};
use model::{FirmKey, GroupKey, JobKey, JobSpec, KindKey};
use proptest::prelude::*;
use serde_json::{Value, json};

const FIRM: FirmKey = FirmKey(7);

fn parse(body: &Value) -> Result<JobSpec, SubmissionError> {
    let limits = SubmissionLimits::default();
    parse_submission(FIRM, "job-1", body.to_string().as_bytes(), &limits)
}

fn valid_body() -> Value {
    json!({
        "group": "planner",
        "submitted_unix_ms": 10,
        "deadline_unix_ms": 20,
        "repeatable": true,
        "tasks": [
            {"kind": "check", "declared_ms": 50, "payload": {"lane": 1}},
            {"kind": "plan", "declared_ms": 900, "payload": [1.50, "x"]},
        ],
    })
}

fn body_with(pointer: &str, value: Value) -> Value {
    let mut body = valid_body();
    *body.pointer_mut(pointer).unwrap() = value;
    body
}

fn arbitrary_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        ".*".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::hash_map(".*", inner, 0..4)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

#[test]
fn valid_submission_is_parsed_into_a_job() {
    let job = parse(&valid_body()).unwrap();
    assert_eq!(job.meta.key, JobKey::new(FIRM, "job-1"));
    assert_eq!(job.meta.id, "job-1");
    assert_eq!(job.meta.group, GroupKey::from_name("planner"));
    assert_eq!(job.meta.submitted_unix_ms, 10);
    assert_eq!(job.meta.deadline_unix_ms, 20);
    assert!(job.meta.repeatable);
    assert_eq!(job.meta.task_count, 2);
    assert_eq!(job.tasks[1].kind, KindKey::from_name("plan"));
    assert_eq!(job.tasks[1].declared_us, 900_000);
    assert_eq!(job.tasks[0].payload.as_ref(), br#"{"lane":1}"#);
}

#[test]
fn payload_is_preserved_byte_for_byte() {
    let text = r#"{"group":"g","submitted_unix_ms":1,"deadline_unix_ms":2,
        "tasks":[{"kind":"k","declared_ms":1,"payload": {"a" : 1.500, "a":1e2} }]}"#;
    let limits = SubmissionLimits::default();
    let job = parse_submission(FIRM, "a", text.as_bytes(), &limits).unwrap();
    assert_eq!(job.tasks[0].payload.as_ref(), br#"{"a" : 1.500, "a":1e2}"#);
    assert!(!job.meta.repeatable);
}

#[test]
fn digest_ignores_only_the_submission_time() {
    let digest = |body: Value| parse(&body).unwrap().meta.body_digest;
    let original = digest(valid_body());
    assert_eq!(digest(body_with("/submitted_unix_ms", json!(11))), original);
    let changes = [
        ("/group", json!("other")),
        ("/deadline_unix_ms", json!(21)),
        ("/repeatable", json!(false)),
        ("/tasks/0/kind", json!("other")),
        ("/tasks/0/declared_ms", json!(51)),
        ("/tasks/0/payload/lane", json!(2)),
        ("/tasks/1/payload", json!(null)),
    ];
    for (pointer, value) in changes {
        assert_ne!(digest(body_with(pointer, value)), original, "{pointer}");
    }
    let mut longer = valid_body();
    let task = longer["tasks"][0].clone();
    longer["tasks"].as_array_mut().unwrap().push(task);
    assert_ne!(digest(longer), original);
}

#[test]
fn malformed_submissions_are_rejected() {
    let no_task = parse(&body_with("/tasks", json!([])));
    assert_eq!(no_task, Err(SubmissionError::NoTask));
    let late = parse(&body_with("/deadline_unix_ms", json!(10)));
    assert_eq!(late, Err(SubmissionError::DeadlineBeforeSubmission));
    let bad_group = parse(&body_with("/group", json!("")));
    let cause = NameError::Empty;
    assert_eq!(
        bad_group,
        Err(SubmissionError::BadName {
            field: "group",
            cause
        })
    );
    for (parent, field) in [("", "extra"), ("/tasks/0", "extra")] {
        let mut unknown = valid_body();
        unknown.pointer_mut(parent).unwrap()[field] = json!(1);
        assert!(matches!(
            parse(&unknown),
            Err(SubmissionError::Malformed { .. })
        ));
    }
    for field in ["group", "submitted_unix_ms", "tasks"] {
        let mut missing = valid_body();
        missing.as_object_mut().unwrap().remove(field);
        assert!(
            matches!(parse(&missing), Err(SubmissionError::Malformed { .. })),
            "{field}"
        );
    }
}

#[test]
fn limits_are_enforced() {
    let text = valid_body().to_string();
    let limits = SubmissionLimits {
        body_bytes: text.len(),
        payload_bytes: br#"{"lane":1}"#.len(),
        task_count: 2,
        deadline_ms: 10,
        default_deadline_ms: 5,
    };
    let check = |limits| parse_submission(FIRM, "a", text.as_bytes(), &limits);
    assert!(check(limits).is_ok());
    let body_bytes = limits.body_bytes - 1;
    let error = check(SubmissionLimits {
        body_bytes,
        ..limits
    });
    let limit_bytes = body_bytes;
    assert_eq!(error, Err(SubmissionError::BodyTooLarge { limit_bytes }));
    let payload_bytes = limits.payload_bytes - 1;
    let error = check(SubmissionLimits {
        payload_bytes,
        ..limits
    });
    let (index, limit_bytes) = (0, payload_bytes);
    assert_eq!(
        error,
        Err(SubmissionError::PayloadTooLarge { index, limit_bytes })
    );
    let error = check(SubmissionLimits {
        task_count: 1,
        ..limits
    });
    assert_eq!(error, Err(SubmissionError::TooManyTasks { limit: 1 }));
    let error = check(SubmissionLimits {
        deadline_ms: 9,
        ..limits
    });
    let limit_ms = 9;
    assert_eq!(error, Err(SubmissionError::DeadlineTooFar { limit_ms }));
}

proptest! {
    #[test]
    fn submissions_round_trip_through_json(
        id in "[A-Za-z0-9_:-]{1,64}",
        group in "[A-Za-z0-9_:-]{1,64}",
        submitted in 0..u64::MAX,
        repeatable: bool,
        payloads in prop::collection::vec(arbitrary_json(), 1..6),
    ) {
        let tasks = payloads.iter().map(|payload| {
            json!({"kind": "k", "declared_ms": 3, "payload": payload})
        });
        let body = json!({
            "group": group,
            "submitted_unix_ms": submitted,
            "deadline_unix_ms": u64::MAX,
            "repeatable": repeatable,
            "tasks": tasks.collect::<Vec<_>>(),
        });
        let limits = SubmissionLimits::default();
        let job = parse_submission(FIRM, &id, body.to_string().as_bytes(), &limits).unwrap();
        prop_assert_eq!(job.meta.submitted_unix_ms, submitted);
        prop_assert_eq!(job.meta.repeatable, repeatable);
        for (task, payload) in job.tasks.iter().zip(&payloads) {
            prop_assert_eq!(&serde_json::from_slice::<Value>(&task.payload).unwrap(), payload);
        }
    }

    #[test]
    fn arbitrary_bytes_are_rejected_without_panic(id: String, bytes: Vec<u8>) {
        let limits = SubmissionLimits::default();
        let _ = parse_submission(FIRM, &id, &bytes, &limits);
        let result = parse_submission(FIRM, "id", &bytes, &limits);
        prop_assert!(result.is_err());
    }

    #[test]
    fn submissions_with_a_changed_byte_do_not_panic(position: prop::sample::Index, byte: u8) {
        let mut text = valid_body().to_string().into_bytes();
        let position = position.index(text.len());
        text[position] = byte;
        let _ = parse_submission(FIRM, "id", &text, &SubmissionLimits::default());
    }
}

#[test]
fn body_without_a_deadline_gets_the_default_deadline() {
    let body = br#"{"group":"g","submitted_unix_ms":1000,"tasks":[{"kind":"k","declared_ms":1,"payload":1}]}"#;
    let parse = |default_deadline_ms| {
        let limits = SubmissionLimits {
            default_deadline_ms,
            ..SubmissionLimits::default()
        };
        parse_submission(FirmKey(1), "job", body, &limits).expect("the body is valid")
    };
    assert_eq!(parse(500).meta.deadline_unix_ms, 1_500);
    // A changed default deadline does not change the digest of the same body.
    assert_eq!(parse(500).meta.body_digest, parse(900).meta.body_digest);
}
