//! Recording, serialization and reports of histories.

mod common;

use common::*;
use proof::check::{Bounds, Promise, check_all};
use proof::event::EventKind;
use proof::fault::FaultKind;
use proof::history::History;
use proof::report::Report;
use proof::seed::SeededRng;

fn broken() -> History {
    let job = Job::new("vembanad", "convoy-1");
    let kind = FaultKind::Kill;
    Script::new()
        .submit(1, &job)
        .then(EventKind::FaultInjected {
            kind,
            firm: Some(job.key().firm),
        })
        .run(&job)
        .start(&job, 0)
        .answer(1, job.complete())
        .end()
}

#[test]
fn json_lines_round_trip_the_history() {
    let mut lines = Vec::new();
    broken()
        .write_json_lines(&mut lines)
        .expect("a vector takes every write");
    assert_eq!(
        lines.iter().filter(|byte| **byte == b'\n').count(),
        broken().events().len()
    );
    let read = History::read_json_lines(lines.as_slice()).expect("the lines were just written");
    assert_eq!(read, broken());
}

#[test]
fn json_lines_out_of_order_are_rejected() {
    let mut lines = Vec::new();
    broken()
        .write_json_lines(&mut lines)
        .expect("a vector takes every write");
    let text = String::from_utf8(lines).expect("JSON is UTF-8");
    let reversed: Vec<_> = text.lines().rev().collect();
    assert!(History::read_json_lines(reversed.join("\n").as_bytes()).is_err());
    assert!(History::read_json_lines("no event".as_bytes()).is_err());
}

#[test]
#[should_panic(expected = "events are recorded in order of time")]
fn events_before_the_last_are_rejected() {
    let mut history = History::new();
    history.record(5, EventKind::Ended);
    history.record(4, EventKind::Ended);
}

#[test]
fn report_counts_histories_faults_and_violations() {
    let history = broken();
    let violations = check_all(&history, &Bounds::default());
    let mut report = Report::new();
    report.add(&history, &violations);
    report.add(&History::new(), &[]);
    assert_eq!(report.violations_of(Promise::StartsOnce), 1);
    assert_eq!(report.violation_count(), violations.len() as u64);
    let table = report.to_string();
    assert!(
        table
            .lines()
            .any(|line| line.starts_with("fault kill ") && line.ends_with(" 1"))
    );
    assert!(
        table
            .lines()
            .any(|line| line.starts_with("violation starts_once "))
    );
    let line = report.to_json_line().expect("counts are JSON");
    assert!(line.contains("\"histories\":2") && line.contains("\"starts_once\":1"));
    assert!(!line.contains('\n'));
}

#[test]
fn same_seed_draws_the_same_numbers() {
    let draw = |seed| {
        let mut rng = SeededRng::new(seed);
        let mut fork = rng.fork();
        (
            rng.range(0..=u64::MAX),
            fork.range(0..=u64::MAX),
            rng.chance(0.5),
            rng.chance(0.0),
        )
    };
    assert_eq!(draw(1), draw(1));
    assert_ne!(draw(1), draw(2));
    let mut rng = SeededRng::new(1);
    assert_eq!(rng.pick::<u8>(&[]), None);
    assert_eq!(rng.pick(&[3]), Some(&3));
}

#[test]
fn long_histories_are_checked() {
    let mut script = Script::new();
    for number in 0..5_000 {
        let job = Job::new("vembanad", &number.to_string());
        script = script
            .submit(number, &job)
            .run(&job)
            .answer(number, job.complete());
    }
    let bounds = Bounds {
        answer_us: END_US,
        ..Bounds::default()
    };
    assert_eq!(check_all(&script.history, &bounds), Vec::new());
}
