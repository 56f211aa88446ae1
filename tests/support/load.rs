//! Submissions in the background, and the check of everything that was answered.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use runtime::unix_ms;
use serde_json::Value;

use super::{CONSORCIO, Firm, System, VEMBANAD, submit, wait_until};

/// Longest time after its deadline at which a submission is answered, in milliseconds.
///
/// An entry gives up half a second after the deadline; the rest is for a busy machine.
const ANSWER_GRACE_MS: u64 = 2_000;

/// What a submission got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// All results.
    Complete,
    /// A final answer without results.
    Failed { kind: String, reason: String },
    /// A response that is no answer to a job.
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

    /// Tells whether the answer claims that no task ran.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Failed { kind, .. } if kind == "not_run")
    }

    /// Tells whether the answer says that tasks may have run.
    pub fn is_may_have_run(&self) -> bool {
        matches!(self, Self::Failed { kind, .. } if kind == "may_have_run")
    }
}

/// One copy of a submission and what came back.
#[derive(Debug)]
struct Copy {
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
    copies: RefCell<Vec<Copy>>,
    open: Cell<usize>,
    breakable: RefCell<BTreeSet<SocketAddr>>,
}

/// All submissions of a test.
#[derive(Default, Clone)]
pub struct Load {
    shared: Rc<Shared>,
}

type Task = (String, String, u64);

impl Load {
    /// Submits in the background.
    pub fn spawn(&self, entry: SocketAddr, firm: Firm, id: &str, job: &Value) {
        let load = self.clone();
        let (id, job) = (id.to_owned(), job.clone());
        self.shared.open.set(self.shared.open.get() + 1);
        monoio::spawn(async move {
            load.submit(entry, firm, &id, &job).await;
            load.shared.open.set(load.shared.open.get() - 1);
        });
    }

    /// Submits and waits for the answer.
    pub async fn submit(&self, entry: SocketAddr, firm: Firm, id: &str, job: &Value) -> Outcome {
        let answer = submit(entry, firm, id, job).await;
        let answer = answer.map(|(status, body, _)| (status, body));
        let outcome = Outcome::new(answer.as_ref());
        self.shared.copies.borrow_mut().push(Copy {
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

    /// Returns the number of submissions that are not answered yet.
    pub fn open(&self) -> usize {
        self.shared.open.get()
    }

    /// Waits until every submission has been answered or broken off.
    pub async fn wait(&self) {
        wait_until("every submission ends", async || self.open() == 0).await;
    }

    /// Allows connections to an entry to break, because the test kills it.
    pub fn allow_breaks(&self, entry: SocketAddr) {
        self.shared.breakable.borrow_mut().insert(entry);
    }

    /// Returns what the copies of a job got, in order of the answers.
    pub fn outcomes(&self, id: &str) -> Vec<Outcome> {
        let copies = self.shared.copies.borrow();
        let of_job = copies.iter().filter(|copy| copy.id == id);
        of_job.map(|copy| copy.outcome.clone()).collect()
    }

    /// Counts the copies of jobs whose ids begin with a prefix, by outcome.
    pub fn tally(&self, prefix: &str) -> BTreeMap<String, usize> {
        let mut tally = BTreeMap::new();
        let copies = self.shared.copies.borrow();
        for copy in copies.iter().filter(|copy| copy.id.starts_with(prefix)) {
            let name = match &copy.outcome {
                Outcome::Failed { kind, reason } => format!("{kind}/{reason}"),
                other => format!("{other:?}").to_lowercase(),
            };
            *tally.entry(name).or_default() += 1;
        }
        tally
    }

    /// Checks every answer against the targets' own records.
    ///
    /// # Panics
    ///
    /// Panics if a task started twice or an answer is not true, late or missing.
    pub async fn check(&self, system: &System) {
        let starts = count_starts(system).await;
        let copies = self.shared.copies.borrow();
        for copy in copies.iter() {
            self.check_arrival(copy);
            match &copy.outcome {
                Outcome::Complete => check_complete(copy, &starts),
                outcome if outcome.is_not_run() => check_not_run(copy, &copies, &starts),
                Outcome::Other(_) => panic!("no answer to a job: {copy:?}"),
                Outcome::Failed { .. } | Outcome::Broken => {}
            }
        }
    }

    fn check_arrival(&self, copy: &Copy) {
        if copy.outcome == Outcome::Broken {
            let breakable = self.shared.breakable.borrow();
            assert!(breakable.contains(&copy.entry), "cut off: {copy:?}");
            return;
        }
        let deadline_unix_ms = copy.job["deadline_unix_ms"].as_u64().expect("a deadline");
        assert!(
            copy.answered_unix_ms <= deadline_unix_ms + ANSWER_GRACE_MS,
            "answered too late: {copy:?}"
        );
    }
}

/// Counts the starts of each task at all targets.
async fn count_starts(system: &System) -> BTreeMap<Task, usize> {
    let mut counts = BTreeMap::new();
    for firm in [VEMBANAD, CONSORCIO] {
        let (starts, _) = system.starts(firm).await;
        for start in starts {
            assert_eq!(
                start["firm"], firm.name,
                "a firm's task at the other's target"
            );
            let job = start["job_id"].as_str().expect("a job id").to_owned();
            let index = start["index"].as_u64().expect("an index");
            *counts
                .entry((firm.name.to_owned(), job, index))
                .or_default() += 1;
        }
    }
    let doubled: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(doubled.is_empty(), "started twice: {doubled:?}");
    counts
}

fn check_complete(copy: &Copy, starts: &BTreeMap<Task, usize>) {
    let tasks = copy.job["tasks"].as_array().expect("tasks");
    let results = copy.body["results"].as_array().expect("results");
    assert_eq!(results.len(), tasks.len(), "not whole: {copy:?}");
    for (index, (task, result)) in tasks.iter().zip(results).enumerate() {
        // The stand-in returns the payload.
        assert_eq!(task["payload"], *result, "another task's result: {copy:?}");
        let task = (copy.firm.name.to_owned(), copy.id.clone(), index as u64);
        assert!(starts.contains_key(&task), "complete but not run: {task:?}");
    }
}

/// A job all of whose copies were refused never started, and a submission that was refused as
/// not run got no other answer.
fn check_not_run(copy: &Copy, copies: &[Copy], starts: &BTreeMap<Task, usize>) {
    let same_job = |other: &&Copy| other.id == copy.id && other.firm.name == copy.firm.name;
    let submitted = &copy.job["submitted_unix_ms"];
    for other in copies.iter().filter(same_job) {
        if other.job["submitted_unix_ms"] == *submitted {
            assert!(
                other.outcome.is_not_run() || other.outcome == Outcome::Broken,
                "not run, and yet {:?}: {copy:?}",
                other.outcome
            );
        }
    }
    let resubmitted = copies
        .iter()
        .filter(same_job)
        .any(|other| other.job["submitted_unix_ms"] != *submitted);
    if resubmitted {
        return;
    }
    let ran = starts
        .keys()
        .any(|(firm, id, _)| firm == copy.firm.name && *id == copy.id);
    assert!(!ran, "not run, and yet it started: {copy:?}");
}
