//! Checks of the configuration register and the answer register.

use proof::event::SwapOutcome;
use proof::linear::answer::{
    AnswerOperation, AnswerSpecification, FinalAnswer, check_answer_register,
};
use proof::linear::register::{RegisterOperation, RegisterSpecification, check_register};
use proof::linear::{MAX_OPERATIONS, Operation, is_linearizable};
use proptest::collection::vec;
use proptest::prelude::*;

type Register = Operation<RegisterOperation>;

fn at<O>(called: u64, returned: u64, operation: O) -> Operation<O> {
    Operation {
        called,
        returned,
        operation,
    }
}

fn swap(called: u64, returned: u64, expected_revision: u64, outcome: SwapOutcome) -> Register {
    let value_digest = 100 + called;
    at(
        called,
        returned,
        RegisterOperation::Swap {
            expected_revision,
            value_digest,
            outcome,
        },
    )
}

fn accepted(called: u64, returned: u64, expected_revision: u64, revision: u64) -> Register {
    swap(
        called,
        returned,
        expected_revision,
        SwapOutcome::Accepted { revision },
    )
}

fn read(called: u64, returned: u64, revision: u64, value_digest: u64) -> Register {
    at(
        called,
        returned,
        RegisterOperation::Read {
            revision,
            value_digest,
        },
    )
}

#[test]
fn register_accepts_races_with_one_winner() {
    let operations = [
        read(0, 1, 0, 0),
        accepted(2, 6, 0, 5),
        swap(3, 5, 0, SwapOutcome::Conflict),
        read(4, 7, 5, 102),
        swap(8, 9, 5, SwapOutcome::Invalid),
        accepted(10, 11, 5, 9),
        read(12, 13, 9, 110),
    ];
    assert_eq!(check_register(&operations), Ok(()));
}

#[test]
fn register_accepts_lost_answers_that_took_effect_late_or_never() {
    let lost = swap(0, 1, 0, SwapOutcome::Unknown);
    let never = [lost, read(2, 3, 0, 0), accepted(4, 5, 0, 4)];
    let late = [
        lost,
        read(2, 3, 0, 0),
        read(4, 5, 3, 100),
        accepted(6, 7, 3, 4),
    ];
    let conflict = [lost, swap(2, 3, 0, SwapOutcome::Conflict)];
    assert_eq!(check_register(&never), Ok(()));
    assert_eq!(check_register(&late), Ok(()));
    assert_eq!(check_register(&conflict), Ok(()));
}

#[test]
fn register_finds_lost_edits() {
    let two_winners = [accepted(0, 3, 0, 1), accepted(1, 2, 0, 2)];
    assert!(check_register(&two_winners).is_err());
    let gap = [accepted(0, 1, 0, 1), accepted(2, 3, 5, 6)];
    assert!(check_register(&gap).is_err());
}

#[test]
fn register_finds_stale_reads_and_foreign_values() {
    let stale = [accepted(0, 1, 0, 1), read(2, 3, 0, 0)];
    let foreign = [accepted(0, 1, 0, 1), read(2, 3, 1, 77)];
    let early = [read(0, 1, 1, 102), accepted(2, 3, 0, 1)];
    for operations in [&stale[..], &foreign[..], &early[..]] {
        assert!(check_register(operations).is_err());
        assert!(!is_linearizable::<RegisterSpecification>(operations));
    }
}

#[test]
fn register_finds_conflict_without_concurrent_swap() {
    let alone = [swap(0, 1, 0, SwapOutcome::Conflict), accepted(2, 3, 0, 1)];
    assert!(check_register(&alone).is_err());
}

#[test]
fn register_checks_long_histories_directly() {
    let long: Vec<_> = (0..2 * MAX_OPERATIONS as u64)
        .map(|n| accepted(2 * n, 2 * n + 1, n, n + 1))
        .collect();
    assert_eq!(check_register(&long), Ok(()));
    let mut stale = long.clone();
    stale.push(read(1_000, 1_001, 3, 104));
    assert!(check_register(&stale).is_err());
    let mut lost_edit = long;
    lost_edit.remove(40);
    assert!(check_register(&lost_edit).is_err());
}

type Answers = Operation<AnswerOperation>;

fn answer(called: u64, returned: u64, submitted: u64, outcome: Option<FinalAnswer>) -> Answers {
    at(
        called,
        returned,
        AnswerOperation {
            submitted_unix_ms: submitted,
            outcome,
        },
    )
}

const DONE: Option<FinalAnswer> = Some(FinalAnswer::Complete(1));
const OTHER: Option<FinalAnswer> = Some(FinalAnswer::Complete(2));
const FAILED: Option<FinalAnswer> = Some(FinalAnswer::RanAndFailed);

#[test]
fn answer_accepts_refusals_before_a_newer_submission() {
    let operations = [
        answer(0, 1, 1, None),
        answer(2, 6, 1, None),
        answer(3, 5, 2, DONE),
        answer(4, 7, 2, DONE),
        answer(8, 9, 1, DONE),
    ];
    assert_eq!(check_answer_register(&operations), Ok(()));
    assert_eq!(check_answer_register(&[]), Ok(()));
}

#[test]
fn answer_finds_violations_of_write_once() {
    let differ = [answer(0, 1, 1, DONE), answer(2, 3, 1, OTHER)];
    let failed = [answer(0, 1, 1, DONE), answer(2, 3, 1, FAILED)];
    let same_submission = [answer(0, 3, 1, DONE), answer(1, 2, 1, None)];
    let refused_later = [answer(0, 1, 2, DONE), answer(2, 3, 1, None)];
    // The older submission wrote the answer before the refusal of the newer one was asked for.
    let older_wrote = [
        answer(0, 9, 5, None),
        answer(1, 2, 3, DONE),
        answer(10, 11, 6, DONE),
    ];
    let histories = [
        &differ[..],
        &failed[..],
        &same_submission[..],
        &refused_later[..],
        &older_wrote[..],
    ];
    for operations in histories {
        assert!(check_answer_register(operations).is_err(), "{operations:?}");
        assert!(
            !is_linearizable::<AnswerSpecification>(operations),
            "{operations:?}"
        );
    }
}

/// Assigns each operation a call and a later return, from twice as many distinct times.
fn assign_times<O: Copy>(operations: &[O], times: &[u64]) -> Vec<Operation<O>> {
    let assign_times = |(operation, pair): (&O, &[u64])| {
        at(pair[0].min(pair[1]), pair[0].max(pair[1]), *operation)
    };
    operations
        .iter()
        .zip(times.chunks(2))
        .map(assign_times)
        .collect()
}

fn any_times() -> impl Strategy<Value = Vec<u64>> {
    Just((0..10).collect()).prop_shuffle()
}

/// Draws swaps and reads; the value digest of a swap is ten times its position.
fn any_register_operations() -> impl Strategy<Value = Vec<RegisterOperation>> {
    let numbers = (0u8..5, 0u64..3, 1u64..4, 0u64..6);
    vec(numbers, 1..=5).prop_map(|drawn| {
        let to_operation = |(position, (kind, expected_revision, revision, value))| {
            let outcome = match kind {
                0 | 1 => SwapOutcome::Accepted { revision },
                2 => SwapOutcome::Conflict,
                3 => SwapOutcome::Unknown,
                _ => {
                    let revision = revision - 1;
                    return RegisterOperation::Read {
                        revision,
                        value_digest: 10 * value,
                    };
                }
            };
            let value_digest = 10 * position;
            RegisterOperation::Swap {
                expected_revision,
                value_digest,
                outcome,
            }
        };
        (1u64..).zip(drawn).map(to_operation).collect()
    })
}

fn any_answer_operations() -> impl Strategy<Value = Vec<AnswerOperation>> {
    let outcome = prop_oneof![3 => Just(None), 3 => Just(DONE), 1 => Just(FAILED)];
    let to_operation = |(submitted_unix_ms, outcome)| AnswerOperation {
        submitted_unix_ms,
        outcome,
    };
    vec((1u64..4, outcome).prop_map(to_operation), 1..=5)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_096))]

    /// The direct check rejects no history that the search accepts.
    #[test]
    fn register_check_agrees_with_the_search(
        operations in any_register_operations(),
        times in any_times(),
    ) {
        let mut operations = assign_times(&operations, &times);
        for operation in &mut operations {
            if let RegisterOperation::Swap { outcome: SwapOutcome::Unknown, .. } =
                operation.operation
            {
                operation.returned = u64::MAX;
            }
        }
        let allowed = is_linearizable::<RegisterSpecification>(&operations);
        prop_assert_eq!(check_register(&operations).is_ok(), allowed);
    }

    /// The direct check rejects no history that the search accepts.
    #[test]
    fn answer_check_agrees_with_the_search(
        operations in any_answer_operations(),
        times in any_times(),
    ) {
        let operations = assign_times(&operations, &times);
        let allowed = is_linearizable::<AnswerSpecification>(&operations);
        prop_assert_eq!(check_answer_register(&operations).is_ok(), allowed);
    }
}

proptest! {
    /// Histories of a real register with overlapping operations are accepted.
    #[test]
    fn register_accepts_every_real_run(steps in vec((0u64..3, 0u64..4), 1..20)) {
        let (mut revision, mut value_digest) = (0, 0);
        let mut operations = Vec::new();
        for (position, (kind, lag)) in (1u64..).zip(steps) {
            let effect = 1_000 + 100 * position;
            // Each operation overlaps with up to three neighbours on either side.
            let (called, returned) = (effect - 100 * lag - position, effect + 100 * lag + 1);
            if kind == 0 {
                operations.push(read(called, returned, revision, value_digest));
                continue;
            }
            let expected = if kind == 1 { revision } else { revision + 1 };
            let new_digest = 10_000 + position;
            let outcome = if kind == 1 {
                (revision, value_digest) = (revision + position, new_digest);
                SwapOutcome::Accepted { revision }
            } else {
                SwapOutcome::Conflict
            };
            let swap = RegisterOperation::Swap {
                expected_revision: expected,
                value_digest: new_digest,
                outcome,
            };
            operations.push(at(called, returned, swap));
        }
        prop_assert_eq!(check_register(&operations), Ok(()));
    }
}
