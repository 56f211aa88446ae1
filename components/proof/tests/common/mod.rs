//! Builder of hand-written histories, shared by the tests.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use bytes::Bytes;
use model::{
    Answer, Attempt, FailureKind, FailureReason, FirmKey, GroupKey, JobKey, JobMeta, JobSpec,
    KindKey, ProcessKey, TaskKey, TaskSpec,
};
use proof::check::{Bounds, Promise, Violation, check_all};
use proof::event::{CopyKey, EventKind, LossReason, Submission, TaskStarted};
use proof::history::History;
use proof::results::{digest, result_of};

pub const ENTRY: ProcessKey = ProcessKey(1);
pub const OTHER_ENTRY: ProcessKey = ProcessKey(2);
pub const AGENT: ProcessKey = ProcessKey(11);
pub const DEADLINE_US: u64 = 1_000_000;
pub const END_US: u64 = 60_000_000;

/// A job of two tasks with a deadline of [`DEADLINE_US`].
#[derive(Clone)]
pub struct Job {
    pub spec: JobSpec,
}

impl Job {
    pub fn new(firm: &str, id: &str) -> Self {
        let tasks = ["first", "second"].map(|part| TaskSpec {
            kind: KindKey::from_name("lookup"),
            declared_us: 1_000,
            payload: Bytes::from(format!("{firm} {id} {part}")),
        });
        let meta = JobMeta {
            key: JobKey::new(FirmKey::from_name(firm), id),
            id: id.to_owned(),
            group: GroupKey::from_name("planner"),
            body_digest: 1,
            submitted_unix_ms: 1_000,
            deadline_unix_ms: 2_000,
            repeatable: true,
            task_count: 2,
        };
        Self {
            spec: JobSpec {
                meta,
                tasks: tasks.to_vec(),
            },
        }
    }

    pub fn not_repeatable(mut self) -> Self {
        self.spec.meta.repeatable = false;
        self
    }

    pub fn submitted(mut self, submitted_unix_ms: u64) -> Self {
        self.spec.meta.submitted_unix_ms = submitted_unix_ms;
        self
    }

    pub fn body(mut self, body: u128, payload: &str) -> Self {
        self.spec.meta.body_digest = body;
        for (index, task) in self.spec.tasks.iter_mut().enumerate() {
            task.payload = Bytes::from(format!("{payload} {index}"));
        }
        self
    }

    pub fn key(&self) -> JobKey {
        self.spec.meta.key
    }

    pub fn task(&self, index: u16) -> TaskKey {
        TaskKey {
            job: self.key(),
            index,
        }
    }

    pub fn payload_digest(&self, index: u16) -> u64 {
        digest(&self.spec.tasks[usize::from(index)].payload)
    }

    pub fn result(&self, index: u16) -> Bytes {
        result_of(self.task(index), self.payload_digest(index))
    }

    pub fn complete(&self) -> Answer {
        Answer::Complete(vec![self.result(0), self.result(1)])
    }
}

pub fn copy(number: u64) -> CopyKey {
    CopyKey { client: 1, number }
}

pub fn failed(kind: FailureKind, reason: FailureReason) -> Answer {
    Answer::failed(kind, reason, "try again")
}

pub fn not_run() -> Answer {
    failed(FailureKind::NotRun, FailureReason::Overloaded)
}

pub fn may_have_run() -> Answer {
    failed(FailureKind::MayHaveRun, FailureReason::AgentLost)
}

/// A history under construction; by default each event is a millisecond after the previous one.
#[derive(Default)]
pub struct Script {
    pub history: History,
}

impl Script {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn at(mut self, at_us: u64, kind: EventKind) -> Self {
        self.history.record(at_us, kind);
        self
    }

    pub fn then(self, kind: EventKind) -> Self {
        let at_us = self.history.end_us() + 1_000;
        self.at(at_us, kind)
    }

    pub fn submit_to(self, entry: ProcessKey, number: u64, job: &Job) -> Self {
        let submission = Submission::new(copy(number), entry, &job.spec, DEADLINE_US);
        self.then(EventKind::Submitted(Box::new(submission)))
            .then(EventKind::CopyAccepted(copy(number)))
    }

    pub fn submit(self, number: u64, job: &Job) -> Self {
        self.submit_to(ENTRY, number, job)
    }

    pub fn start_under(
        self,
        submitted_unix_ms: Option<u64>,
        agent: ProcessKey,
        job: &Job,
        index: u16,
    ) -> Self {
        self.then(EventKind::TaskStarted(TaskStarted {
            task: job.task(index),
            attempt: Attempt(0),
            agent,
            payload_digest: job.payload_digest(index),
            submitted_unix_ms,
        }))
    }

    pub fn start_at(self, agent: ProcessKey, job: &Job, index: u16) -> Self {
        self.start_under(Some(job.spec.meta.submitted_unix_ms), agent, job, index)
    }

    pub fn start(self, job: &Job, index: u16) -> Self {
        self.start_at(AGENT, job, index)
    }

    pub fn finish(self, job: &Job, index: u16) -> Self {
        let result_digest = digest(&job.result(index));
        self.then(EventKind::TaskFinished {
            task: job.task(index),
            result_digest,
        })
    }

    pub fn run(self, job: &Job) -> Self {
        self.start(job, 0)
            .start(job, 1)
            .finish(job, 1)
            .finish(job, 0)
    }

    pub fn answer(self, number: u64, answer: Answer) -> Self {
        self.then(EventKind::Answered {
            copy: copy(number),
            answer,
        })
    }

    pub fn lose(self, number: u64, reason: LossReason) -> Self {
        self.then(EventKind::CopyLost {
            copy: copy(number),
            reason,
        })
    }

    pub fn end(self) -> History {
        self.at(END_US, EventKind::Ended).history
    }
}

pub type Checker = fn(&History, &Bounds) -> Vec<Violation>;

/// Asserts that no checker finds a violation.
pub fn assert_valid(history: &History) {
    assert_eq!(check_all(history, &Bounds::default()), Vec::new());
}

/// Asserts that `check` finds violations, all of `promise` and with existing events.
pub fn assert_violation(history: &History, check: Checker, promise: Promise) -> Vec<Violation> {
    let violations = check(history, &Bounds::default());
    assert!(
        !violations.is_empty(),
        "no violation of the promise \"{promise}\" was found"
    );
    for violation in &violations {
        assert_eq!(violation.promise, promise);
        assert!(!violation.events.is_empty());
        let count = history.events().len() as u64;
        assert!(violation.events.iter().all(|sequence| *sequence < count));
    }
    violations
}
