//! Tests of the error that commands report.

use errors::{Error, ExitCode};

#[test]
fn display_contains_place_message_and_remedy() {
    let error = Error::new(ExitCode::Invalid, "must be an integer")
        .with_place("entry.toml: drain_timeout_ms")
        .with_remedy("write drain_timeout_ms = 5000");
    assert_eq!(
        error.to_string(),
        "entry.toml: drain_timeout_ms: must be an integer; write drain_timeout_ms = 5000"
    );
    assert_eq!(
        Error::new(ExitCode::Failure, "broken").to_string(),
        "broken"
    );
}

#[test]
fn exit_codes_are_fixed() {
    let codes = [
        ExitCode::Ok,
        ExitCode::Failure,
        ExitCode::Usage,
        ExitCode::Conflict,
        ExitCode::Invalid,
        ExitCode::Unavailable,
    ];
    for (expected, code) in codes.into_iter().enumerate() {
        assert_eq!(usize::from(code.code()), expected);
    }
}
