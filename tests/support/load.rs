//! Submits jobs in the background and checks every answer against the tasks that ran.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use runtime::unix_ms;
use serde_json::Value;

use super::{CONSORCIO, Firm, System, VEMBANAD, submit, wait_until};

/// Maximum time after its deadline at which a submission must be answered.
///
/// An entry fails a job half a second after its deadline; the rest allows for a busy machine.
const ANSWER_GRACE_MS: u64 = 2_000;

/// Result of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The results of all tasks.
    Complete,
    /// A final answer without results.
    Failed { kind: String, reason: String },
    /// A response that does not describe a job, with its status.
    Other(u16),
    /// No response: the connection broke.
    Broken,
}

impl Outcome {
    fn new(answer: Option<&(u16, Value)>) -> Self {
        let Some((status, body)) = answer else {
            return Self::Broken;
        };
        let text = |key: &str| body[key].as_str().unwrap_or_default().to_owned();
        match text("state").as_str() {
            "complete" => Self::Complete,
            "failed" => Self::Failed {
                kind: text("kind"),
                reason: text("reason"),
            },
            _ => Self::Other(*status),
        }
    }

    /// Returns whether the answer says that no task ran.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Failed { kind, .. } if kind == "not_run")
    }

    /// Returns whether the answer says that tasks may have run.
    pub fn is_may_have_run(&self) -> bool {
        matches!(self, Self::Failed { kind, .. } if kind == "may_have_run")
    }
}

/// One request to submit a job, with its response.
#[derive(Debug)]
struct Attempt {
    firm: Firm,
    id: String,
    job: Value,
    entry: SocketAddr,
    body: Value,
    outcome: Outcome,
    answered_unix_ms: u64,
}

#[derive(Default)]
struct Shared {
    attempts: RefCell<Vec<Attempt>>,
    unanswered: Cell<usize>,
    breakable_entries: RefCell<BTreeSet<SocketAddr>>,
}

/// All submissions of a test.
#[derive(Default, Clone)]
pub struct Load {
    shared: Rc<Shared>,
}

/// Firm, job id and index of a task.
type TaskKey = (String, String, u64);

impl Load {
    /// Submits a job in the background.
    pub fn spawn(&self, entry: SocketAddr, firm: Firm, id: &str, job: &Value) {
        let load = self.clone();
        let (id, job) = (id.to_owned(), job.clone());
        self.shared.unanswered.set(self.shared.unanswered.get() + 1);
        monoio::spawn(async move {
            load.submit(entry, firm, &id, &job).await;
            load.shared.unanswered.set(load.shared.unanswered.get() - 1);
        });
    }

    /// Submits a job and waits for the answer.
    pub async fn submit(&self, entry: SocketAddr, firm: Firm, id: &str, job: &Value) -> Outcome {
        let answer = submit(entry, firm, id, job).await;
        let answer = answer.map(|(status, body, _)| (status, body));
        let outcome = Outcome::new(answer.as_ref());
        self.shared.attempts.borrow_mut().push(Attempt {
            firm,
            id: id.to_owned(),
            job: job.clone(),
            entry,
            body: answer.map_or(Value::Null, |(_, body)| body),
            outcome: outcome.clone(),
            answered_unix_ms: unix_ms(),
        });
        outcome
    }

    /// Returns the number of background submissions without an answer.
    pub fn unanswered_count(&self) -> usize {
        self.shared.unanswered.get()
    }

    /// Waits until every submission has an answer or a broken connection.
    pub async fn wait(&self) {
        wait_until("every submission is answered", async || {
            self.unanswered_count() == 0
        })
        .await;
    }

    /// Allows connections to an entry to break, for an entry that the test kills.
    pub fn allow_broken_connections(&self, entry: SocketAddr) {
        self.shared.breakable_entries.borrow_mut().insert(entry);
    }

    /// Returns the outcomes of all submissions of a job, in order of the answers.
    pub fn outcomes(&self, id: &str) -> Vec<Outcome> {
        let attempts = self.shared.attempts.borrow();
        let attempts_of_job = attempts.iter().filter(|attempt| attempt.id == id);
        attempts_of_job
            .map(|attempt| attempt.outcome.clone())
            .collect()
    }

    /// Counts the submissions of jobs whose ids begin with a prefix, by outcome.
    pub fn tally(&self, prefix: &str) -> BTreeMap<String, usize> {
        let mut tally = BTreeMap::new();
        let attempts = self.shared.attempts.borrow();
        for attempt in attempts
            .iter()
            .filter(|attempt| attempt.id.starts_with(prefix))
        {
            let name = match &attempt.outcome {
                Outcome::Failed { kind, reason } => format!("{kind}/{reason}"),
                other => format!("{other:?}").to_lowercase(),
            };
            *tally.entry(name).or_default() += 1;
        }
        tally
    }

    /// Checks every answer against the starts that the targets recorded.
    ///
    /// # Panics
    ///
    /// Panics if a task started twice, or an answer is wrong, late or missing.
    pub async fn check(&self, system: &System) {
        let starts = count_starts(system).await;
        let attempts = self.shared.attempts.borrow();
        for attempt in attempts.iter() {
            self.check_arrival(attempt);
            match &attempt.outcome {
                Outcome::Complete => check_complete(attempt, &starts),
                outcome if outcome.is_not_run() => check_not_run(attempt, &attempts, &starts),
                Outcome::Other(_) => panic!("response does not describe a job: {attempt:?}"),
                Outcome::Failed { .. } | Outcome::Broken => {}
            }
        }
    }

    fn check_arrival(&self, attempt: &Attempt) {
        if attempt.outcome == Outcome::Broken {
            let breakable_entries = self.shared.breakable_entries.borrow();
            assert!(
                breakable_entries.contains(&attempt.entry),
                "connection broke to a live entry: {attempt:?}"
            );
            return;
        }
        let deadline_unix_ms = attempt.job["deadline_unix_ms"]
            .as_u64()
            .expect("a deadline");
        assert!(
            attempt.answered_unix_ms <= deadline_unix_ms + ANSWER_GRACE_MS,
            "answered too late: {attempt:?}"
        );
    }
}

/// Counts the starts of each task at all targets.
async fn count_starts(system: &System) -> BTreeMap<TaskKey, usize> {
    let mut counts = BTreeMap::new();
    for firm in [VEMBANAD, CONSORCIO] {
        let (starts, _) = system.starts(firm).await;
        for start in starts {
            assert_eq!(
                start["firm"], firm.name,
                "task started at a target of another firm"
            );
            let job = start["job_id"].as_str().expect("a job id").to_owned();
            let index = start["index"].as_u64().expect("an index");
            *counts
                .entry((firm.name.to_owned(), job, index))
                .or_default() += 1;
        }
    }
    let duplicates: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(duplicates.is_empty(), "started twice: {duplicates:?}");
    counts
}

fn check_complete(attempt: &Attempt, starts: &BTreeMap<TaskKey, usize>) {
    let tasks = attempt.job["tasks"].as_array().expect("tasks");
    let results = attempt.body["results"].as_array().expect("results");
    assert_eq!(
        results.len(),
        tasks.len(),
        "results are missing: {attempt:?}"
    );
    for (index, (task, result)) in tasks.iter().zip(results).enumerate() {
        // The target stand-in returns the payload as the result.
        assert_eq!(
            task["payload"], *result,
            "result of another task: {attempt:?}"
        );
        let task = (
            attempt.firm.name.to_owned(),
            attempt.id.clone(),
            index as u64,
        );
        assert!(
            starts.contains_key(&task),
            "answered complete, but not started: {task:?}"
        );
    }
}

/// Checks a submission answered *not run*: all its requests got this answer or a broken connection,
/// and no task of the job started unless the job was submitted again with another submission time.
fn check_not_run(attempt: &Attempt, attempts: &[Attempt], starts: &BTreeMap<TaskKey, usize>) {
    let same_job =
        |other: &&Attempt| other.id == attempt.id && other.firm.name == attempt.firm.name;
    let submitted = &attempt.job["submitted_unix_ms"];
    for other in attempts.iter().filter(same_job) {
        if other.job["submitted_unix_ms"] == *submitted {
            assert!(
                other.outcome.is_not_run() || other.outcome == Outcome::Broken,
                "answered both not run and {:?}: {attempt:?}",
                other.outcome
            );
        }
    }
    let is_resubmitted = attempts
        .iter()
        .filter(same_job)
        .any(|other| other.job["submitted_unix_ms"] != *submitted);
    if is_resubmitted {
        return;
    }
    let ran = starts
        .keys()
        .any(|(firm, id, _)| firm == attempt.firm.name && *id == attempt.id);
    assert!(!ran, "answered not run, but started: {attempt:?}");
}
