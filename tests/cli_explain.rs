//! Tests of the command `explain`.

mod cli_support;

use std::fs;

use cli_support::run;

const LOGS: &str = r#"
  12.1 side-1 {"time":"2026-01-01T00:00:00.300Z","level":"INFO","part":"sidecar","message":"a start did not succeed","event":"start","id":"00000000000000aa","outcome":"Unanswered"}
  12.0 front-1 {"time":"2026-01-01T00:00:00.100Z","level":"INFO","part":"gateway","message":"job refused on arrival","event":"refused","id":"00000000000000aa","request":"r-1","reason":"overload","hosts":3}
not a line of the log
{"time":"2026-01-01T00:00:00.200Z","level":"INFO","part":"gateway","message":"job answered","event":"answered","id":"00000000000000bb","outcome":"lost"}
"#;

fn logs() -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("logs");
    fs::write(&path, LOGS).expect("a file");
    (folder, path.display().to_string())
}

#[test]
fn request_id_prints_lines_of_its_job_from_every_process_by_time() {
    let (_folder, path) = logs();
    let ran = run(&["explain", "r-1", "--logs", &path]).expect_code(0);
    let lines: Vec<&str> = ran.stdout.lines().collect();
    assert_eq!(lines.len(), 2, "{ran:?}");
    assert!(lines[0].contains("gateway") && lines[0].contains("reason=\"overload\""));
    assert!(lines[1].contains("sidecar") && lines[1].contains("outcome=\"Unanswered\""));
}

#[test]
fn unknown_id_is_an_error_with_a_remedy() {
    let (_folder, path) = logs();
    let ran = run(&["explain", "00000000000000cc", "--logs", &path]).expect_code(1);
    assert!(ran.stderr.contains("no log line mentions"), "{ran:?}");
    assert!(ran.stderr.contains("debug"), "{ran:?}");
}

#[test]
fn missing_file_is_reported() {
    let ran = run(&["explain", "r-1", "--logs", "/nowhere/logs"]).expect_code(1);
    assert!(ran.stderr.contains("/nowhere/logs"), "{ran:?}");
}
