//! A job's answer as a write-once register.
//!
//! The first final answer writes the register, and the answers to all other copies read it. A
//! refusal as not run leaves it open for a newer submission. Answers that the job may have run, and
//! conflicts with another body, are no operations on the register.

use model::{Answer, FailureKind};
use todc_utils::Specification;

use crate::check::{Promise, Violation};
use crate::history::Event;
use crate::index::{CopyView, claims_not_run};
use crate::linear::{MAX_OPERATIONS, Operation, is_linearizable};
use crate::results::digest;

/// An answer as an operation on the register.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerOperation {
    /// Time of the submission that was answered.
    pub submitted_unix_ms: u64,
    /// The final answer, or `None` for a refusal as not run.
    pub outcome: Option<FinalAnswer>,
}

/// A final answer, which states that the job ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// Complete, with a digest of all results.
    Complete(u64),
    /// A task failed at its target.
    RanAndFailed,
}

/// State of the register.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerState {
    /// Not written; every submission up to `refused_unix_ms` was refused as not run.
    Open {
        /// Time of the newest submission refused.
        refused_unix_ms: Option<u64>,
    },
    /// Written with a final answer.
    Final(FinalAnswer),
}

/// Sequential behaviour of the register.
#[derive(Debug)]
pub struct AnswerSpecification;

impl Specification for AnswerSpecification {
    type State = AnswerState;
    type Operation = AnswerOperation;

    fn init() -> AnswerState {
        AnswerState::Open {
            refused_unix_ms: None,
        }
    }

    fn apply(operation: &AnswerOperation, state: &AnswerState) -> (bool, AnswerState) {
        let submitted_unix_ms = operation.submitted_unix_ms;
        match (*state, operation.outcome) {
            (AnswerState::Open { refused_unix_ms }, None) => {
                let refused_unix_ms = refused_unix_ms.max(Some(submitted_unix_ms));
                (true, AnswerState::Open { refused_unix_ms })
            }
            (AnswerState::Open { refused_unix_ms }, Some(_))
                if refused_unix_ms >= Some(submitted_unix_ms) =>
            {
                (false, *state)
            }
            (AnswerState::Open { .. }, Some(written)) => (true, AnswerState::Final(written)),
            (AnswerState::Final(written), read) => (read == Some(written), *state),
        }
    }
}

/// Checks operations on one job's answer.
///
/// Histories with more than [`MAX_OPERATIONS`] operations get the direct check only: all final
/// answers are equal, and no refused copy was sent after a final answer was received or belongs to
/// a submission as new as the newest one with a final answer.
///
/// # Errors
///
/// Returns a description of the first violation found.
pub fn check_answer_register(operations: &[Operation<AnswerOperation>]) -> Result<(), String> {
    let final_answers: Vec<_> = operations
        .iter()
        .filter(|one| one.operation.outcome.is_some())
        .copied()
        .collect();
    let Some(first) = final_answers.first() else {
        return Ok(());
    };
    if final_answers
        .iter()
        .any(|other| other.operation.outcome != first.operation.outcome)
    {
        return Err("final answers differ".to_owned());
    }
    let returned = final_answers.iter().map(|one| one.returned).min();
    let submitted_unix_ms = final_answers
        .iter()
        .map(|one| one.operation.submitted_unix_ms)
        .max();
    let is_contradicted = |refusal: &Operation<AnswerOperation>| {
        returned < Some(refusal.called)
            || submitted_unix_ms <= Some(refusal.operation.submitted_unix_ms)
    };
    let mut refusals = operations
        .iter()
        .filter(|one| one.operation.outcome.is_none());
    if refusals.any(is_contradicted) {
        return Err("refused as not run despite a final answer".to_owned());
    }
    if operations.len() > MAX_OPERATIONS || is_linearizable::<AnswerSpecification>(operations) {
        return Ok(());
    }
    Err("answers are not those of a write-once register".to_owned())
}

/// Checks the answers to all copies of one job.
pub(crate) fn check_answers(copies: &[&CopyView<'_>]) -> Option<Violation> {
    let mut events = Vec::new();
    let mut operations = Vec::new();
    for copy in copies {
        for (event, answer) in &copy.answers {
            if let Some(operation) = to_operation(copies, copy, event, answer) {
                operations.push(operation);
                events.push(*event);
            }
        }
    }
    let problem = check_answer_register(&operations).err()?;
    let job = copies.first()?.submission.meta.key;
    Some(Violation::new(
        Promise::OwnAnswer,
        format!("{job:?}: {problem}"),
        &events,
    ))
}

/// Returns the time of the newest submission of the copy's body that was sent before the answer.
///
/// A late copy of an older submission may read what a newer one wrote, also if no client received
/// the answer to a copy of the newer one.
fn newest_submission_before(
    copies: &[&CopyView<'_>],
    copy: &CopyView<'_>,
    answered: &Event,
) -> u64 {
    let meta = &copy.submission.meta;
    let sent = copies.iter().filter(|other| {
        other.submission.meta.body_digest == meta.body_digest
            && other.submitted.sequence < answered.sequence
    });
    sent.map(|other| other.submission.meta.submitted_unix_ms)
        .fold(meta.submitted_unix_ms, u64::max)
}

fn to_operation(
    copies: &[&CopyView<'_>],
    copy: &CopyView<'_>,
    event: &Event,
    answer: &Answer,
) -> Option<Operation<AnswerOperation>> {
    if CopyView::is_conflict(answer) {
        return None;
    }
    let outcome = match answer {
        Answer::Complete(results) => {
            let digests: Vec<u8> = results
                .iter()
                .flat_map(|result| digest(result).to_le_bytes())
                .collect();
            Some(FinalAnswer::Complete(digest(&digests)))
        }
        Answer::Failed(failure) if failure.kind == FailureKind::RanAndFailed => {
            Some(FinalAnswer::RanAndFailed)
        }
        answer if claims_not_run(answer) => None,
        Answer::Failed(_) => return None,
    };
    let submitted_unix_ms = match outcome {
        Some(_) => newest_submission_before(copies, copy, event),
        None => copy.submission.meta.submitted_unix_ms,
    };
    Some(Operation {
        called: copy.submitted.sequence,
        returned: event.sequence,
        operation: AnswerOperation {
            submitted_unix_ms,
            outcome,
        },
    })
}
