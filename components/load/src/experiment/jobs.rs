//! Clients: submission, answers and cancellation of jobs.

use bytes::Bytes;
use dispatch::{ShardOwner, Submission, WaiterKey};
use model::{
    Answer, Failure, FailureKind, FailureReason, FirmKey, GroupKey, JobKey, JobMeta, JobSpec,
    KindKey, TaskSpec,
};
use proof::seed::SeededRng;

use super::{Event, Experiment, SETUP_US, unix_ms};
use crate::workload::{KINDS, PlannedJob};

/// Delay before a submission without a known owner is retried, in microseconds.
const CLIENT_RETRY_DELAY_US: u64 = 10_000;

/// Payload of a task.
const PAYLOAD: &[u8] = &[7; 200];

/// A job and its outcome.
pub struct JobRun {
    pub plan: PlannedJob,
    pub spec: JobSpec,
    pub answered: Option<Answered>,
    /// Number of starts of each task at targets.
    pub started: Vec<u8>,
}

/// The first answer that a client received.
#[derive(Debug, Clone)]
pub struct Answered {
    pub at_us: u64,
    pub failure: Option<Failure>,
}

impl JobRun {
    pub fn new(number: usize, firm: FirmKey, group: GroupKey, plan: PlannedJob) -> Self {
        let id = format!("job-{number}");
        let task = TaskSpec {
            kind: KindKey::from_name(KINDS[plan.kind].0),
            declared_us: plan.declared_us,
            payload: Bytes::from_static(PAYLOAD),
        };
        let meta = JobMeta {
            key: JobKey::new(firm, &id),
            id,
            group,
            body_digest: number as u128,
            submitted_unix_ms: unix_ms(SETUP_US + plan.at_us),
            deadline_unix_ms: unix_ms(SETUP_US + plan.deadline_us),
            repeatable: false,
            task_count: plan.tasks_us.len() as u16,
        };
        Self {
            started: vec![0; plan.tasks_us.len()],
            spec: JobSpec {
                meta,
                tasks: vec![task; plan.tasks_us.len()],
            },
            plan,
            answered: None,
        }
    }

    /// Returns the ratio of the response time to the ideal one, or `None` without a result.
    pub fn over_ideal(&self) -> Option<f64> {
        let answered = self.answered.as_ref()?;
        if answered.failure.is_some() {
            return None;
        }
        let took_us = answered.at_us - SETUP_US - self.plan.at_us;
        Some(took_us as f64 / self.plan.ideal_us as f64)
    }

    pub fn is_in_time(&self) -> bool {
        self.answered.as_ref().is_some_and(|answered| {
            answered.failure.is_none() && answered.at_us <= SETUP_US + self.plan.deadline_us
        })
    }

    pub fn reason(&self) -> Option<FailureReason> {
        let failure = self.answered.as_ref()?.failure.as_ref()?;
        Some(failure.reason)
    }

    pub fn is_falsely_refused(&self) -> bool {
        let answered = self.answered.as_ref();
        let Some(failure) = answered.and_then(|answered| answered.failure.as_ref()) else {
            return false;
        };
        let claims_not_run = matches!(failure.kind, FailureKind::NotRun | FailureKind::CannotRun);
        claims_not_run && self.started.iter().any(|&count| count > 0)
    }
}

impl Experiment {
    pub(super) fn arrive(&mut self, job: usize) {
        let entry = job % self.entries.len();
        let at_us = self.now_us + self.client_delay_us(false);
        self.net.schedule(at_us, Event::Submit { entry, job });
    }

    pub(super) fn submit(&mut self, entry: usize, job: usize) {
        let key = self.jobs[job].spec.meta.key;
        match self.entries[entry].dispatcher.owner_of(key) {
            ShardOwner::Own(_) => self.submit_to_owner(entry, job),
            ShardOwner::Other { owner, .. } => {
                let to = self.entries.iter().position(|entry| entry.key() == owner);
                let at_us = self.now_us + self.scenario.deployment.one_way_us();
                let entry = to.unwrap_or(entry);
                self.net.schedule(at_us, Event::Submit { entry, job });
            }
            ShardOwner::Unknown => {
                let at_us = self.now_us + CLIENT_RETRY_DELAY_US;
                self.net.schedule(at_us, Event::Submit { entry, job });
            }
        }
    }

    fn submit_to_owner(&mut self, entry: usize, job: usize) {
        let submission = Submission {
            spec: self.jobs[job].spec.clone(),
            waiter: WaiterKey(job as u64),
        };
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        let mut actions = Vec::new();
        let dispatcher = &mut self.entries[entry].dispatcher;
        dispatcher.submit(submission, now_us, now_unix_ms, &mut actions);
        self.poll_entry(entry, actions);
    }

    pub(super) fn send_answer(&mut self, entry: usize, job: usize, answer: Answer) {
        let is_forwarded = job % self.entries.len() != entry;
        let at_us = self.now_us + self.client_delay_us(is_forwarded);
        self.net.schedule(at_us, Event::Answer { job, answer });
    }

    pub(super) fn answer(&mut self, job: usize, answer: &Answer) {
        let run = &mut self.jobs[job];
        if run.answered.is_some() {
            return;
        }
        let failure = match answer {
            Answer::Complete(results) => {
                assert_eq!(
                    results.len(),
                    run.started.len(),
                    "a complete answer has a result for each task"
                );
                None
            }
            Answer::Failed(failure) => Some(failure.clone()),
        };
        run.answered = Some(Answered {
            at_us: self.now_us,
            failure,
        });
        self.unanswered -= 1;
    }

    pub(super) fn cancel_wave(&mut self, percent: u64) {
        let mut rng = SeededRng::new(self.seed ^ self.now_us);
        let open: Vec<usize> = (0..self.jobs.len())
            .filter(|&job| self.is_open(job))
            .filter(|_| rng.range(0..=99) < percent)
            .collect();
        for job in open {
            self.cancel(job);
        }
    }

    fn is_open(&self, job: usize) -> bool {
        let run = &self.jobs[job];
        run.answered.is_none() && SETUP_US + run.plan.at_us < self.now_us
    }

    fn cancel(&mut self, job: usize) {
        let key = self.jobs[job].spec.meta.key;
        for entry in 0..self.entries.len() {
            if !matches!(
                self.entries[entry].dispatcher.owner_of(key),
                ShardOwner::Own(_)
            ) {
                continue;
            }
            let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
            let mut actions = Vec::new();
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.cancel(key, now_us, now_unix_ms, &mut actions);
            self.poll_entry(entry, actions);
        }
    }
}
