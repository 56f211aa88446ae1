//! Clients that submit and cancel jobs, and the schedule and state of operators.

use std::collections::BTreeMap;

use bytes::Bytes;
use model::{Answer, FailureKind, JobKey, JobMeta, JobSpec, KindKey, TaskSpec};

use crate::check::{Promise, Violation};
use crate::event::{CopyKey, EventKind, Submission};
use crate::results::digest;
use crate::seed::SeededRng;
use crate::world::clock::unix_ms;
use crate::world::message::{AgentEvent, ClientEvent, EntryEvent, Event, FollowUp, Node};
use crate::world::platform::{firms, group};
use crate::world::{AGENTS, END_US, ENTRIES, PROBES_AT_US, WORK_END_US, WORK_START_US, World};

/// Number of jobs of a run, without the probes.
const JOBS: usize = 60;

/// Number of probes: jobs submitted after the faults have ended, which must complete.
const PROBE_JOBS: usize = 6;

/// One-way delay from a client to an entry, in microseconds.
const CLIENT_DELAY_US: u64 = 1_000;

/// Largest number of submissions under one job id.
const MAX_SUBMISSIONS: usize = 4;

/// Time from the submission of a probe to its deadline, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 4_000;

/// Number of operators.
const OPERATORS: u32 = 2;

/// A client's job with its submissions.
struct Job {
    /// Index of the firm in [`firms`].
    firm: usize,
    id: String,
    client: u32,
    clock_offset_ms: i64,
    at_us: u64,
    /// Time from a submission to its deadline.
    patience_ms: u64,
    /// The submissions so far, each with its deadline on the history's clock, in microseconds.
    submissions: Vec<(JobSpec, u64)>,
    is_done: bool,
    is_completed: bool,
    is_probe: bool,
}

/// All clients and operators.
pub struct Clients {
    jobs: Vec<Job>,
    /// The job and the submission of each copy, by index.
    copies: BTreeMap<CopyKey, (usize, usize)>,
    /// Copies sent that no entry has read yet, with the index of the entry they were sent to.
    pub in_transit: BTreeMap<CopyKey, usize>,
    next_copy: u64,
    next_operation: u64,
    /// The newest revision that each operator has observed.
    observed_revisions: BTreeMap<u32, u64>,
    /// The edit whose answer each operator waits for.
    pending_edits: BTreeMap<u32, u64>,
}

impl Clients {
    /// Draws the jobs of a run.
    pub fn draw(rng: &mut SeededRng) -> Self {
        let job = |number: usize, rng: &mut SeededRng| {
            let is_probe = number >= JOBS;
            let at_us = match is_probe {
                false => rng.range(WORK_START_US..=WORK_END_US),
                true => PROBES_AT_US + 10_000 * number as u64,
            };
            Job {
                firm: number % 2,
                id: format!("job-{number}"),
                client: number as u32 % 5,
                clock_offset_ms: rng.range(0..=200) as i64 - 100,
                at_us,
                patience_ms: if is_probe {
                    PROBE_TIMEOUT_MS
                } else {
                    rng.range(1_000..=6_000)
                },
                submissions: Vec::new(),
                is_done: false,
                is_completed: false,
                is_probe,
            }
        };
        Self {
            jobs: (0..JOBS + PROBE_JOBS)
                .map(|number| job(number, rng))
                .collect(),
            copies: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            next_copy: 0,
            next_operation: 0,
            observed_revisions: BTreeMap::new(),
            pending_edits: BTreeMap::new(),
        }
    }

    pub fn next_operation(&mut self) -> u64 {
        self.next_operation += 1;
        self.next_operation
    }

    pub fn observed_revision(&self, operator: u32) -> u64 {
        self.observed_revisions.get(&operator).copied().unwrap_or(0)
    }

    pub fn observe_revision(&mut self, operator: u32, revision: u64) {
        let seen = self.observed_revisions.entry(operator).or_default();
        *seen = revision.max(*seen);
    }

    pub fn start_edit(&mut self, operator: u32, operation: u64) {
        self.pending_edits.insert(operator, operation);
    }

    /// Ends the wait for an edit; returns whether the operator still waited for it.
    pub fn finish_edit(&mut self, operator: u32, operation: u64) -> bool {
        let open = self.pending_edits.get(&operator) == Some(&operation);
        if open {
            self.pending_edits.remove(&operator);
        }
        open
    }
}

impl World {
    pub(super) fn schedule_clients(&mut self) {
        self.net
            .schedule(1_000, Event::Client(ClientEvent::Edit { operator: 0 }));
        for _ in 0..4 {
            let at_us = self.rng.range(WORK_START_US..=WORK_END_US);
            let operator = self.rng.range(0..=u64::from(OPERATORS) - 1) as u32;
            self.net
                .schedule(at_us, Event::Client(ClientEvent::Edit { operator }));
        }
        for job in 0..self.clients.jobs.len() {
            let at_us = self.clients.jobs[job].at_us;
            let submit = ClientEvent::Submit { job, submission: 0 };
            self.net.schedule(at_us, Event::Client(submit));
            if !self.clients.jobs[job].is_probe {
                self.schedule_copies_and_cancels(job, at_us);
            }
        }
        if self.rng.chance(0.5) {
            let agent = self.rng.range(0..=AGENTS as u64 - 1) as usize;
            let at_us = self.rng.range(WORK_START_US..=WORK_END_US);
            let leave = ClientEvent::LeaveTarget { agent };
            self.net.schedule(at_us, Event::Client(leave));
        }
    }

    /// Schedules redundant copies and cancellations of a job.
    fn schedule_copies_and_cancels(&mut self, job: usize, at_us: u64) {
        for _ in 0..2 {
            if self.rng.chance(0.2) {
                let at_us = at_us + self.rng.range(0..=6_000_000);
                let submit = ClientEvent::Submit { job, submission: 0 };
                self.net.schedule(at_us, Event::Client(submit));
            }
        }
        if self.rng.chance(0.08) {
            let at_us = at_us + self.rng.range(0..=1_000_000);
            self.net
                .schedule(at_us, Event::Client(ClientEvent::Cancel { job }));
        }
    }

    pub(super) fn client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Submit { job, submission } => self.submit(job, submission),
            ClientEvent::Cancel { job } => self.cancel(job),
            ClientEvent::Edit { operator } => {
                if !self.clients.pending_edits.contains_key(&operator) {
                    self.edit(operator);
                }
            }
            ClientEvent::EditTimeout {
                operator,
                operation,
            } => self.time_out_edit(operator, operation),
            ClientEvent::LeaveTarget { agent } => {
                let key = self.agents[agent].key;
                let event = Event::Agent(agent, AgentEvent::TargetLeaves(key));
                self.schedule_at(0, Node::Agent(agent), event);
            }
        }
    }

    fn submit(&mut self, job: usize, submission: usize) {
        let now_us = self.now_us();
        if submission >= self.clients.jobs[job].submissions.len() {
            let made = self.new_submission(job);
            self.clients.jobs[job].submissions.push(made);
        }
        let (spec, deadline_us) = self.clients.jobs[job].submissions[submission].clone();
        let number = self.clients.next_copy;
        self.clients.next_copy += 1;
        let client = self.clients.jobs[job].client;
        let copy = CopyKey { client, number };
        self.clients.copies.insert(copy, (job, submission));
        let index = self.rng.range(0..=ENTRIES as u64 - 1) as usize;
        let key = self.entries[index].key;
        let submitted = Submission::new(copy, key, &spec, deadline_us);
        self.record(EventKind::Submitted(Box::new(submitted)));
        if !self.entries[index].is_alive || self.entries[index].is_stopping {
            self.record_unaccepted(copy);
            return;
        }
        self.clients.in_transit.insert(copy, index);
        let event = Event::Entry(index, EntryEvent::Copy(copy, Box::new(spec)));
        let at_us = now_us + CLIENT_DELAY_US;
        self.net
            .schedule_at(at_us, Node::Entry(index).endpoint(), event);
    }

    fn new_submission(&mut self, job: usize) -> (JobSpec, u64) {
        let now_us = self.now_us();
        let task_count = self.rng.range(1..=4) as u16;
        let has_same_body = self.rng.chance(0.7);
        let job = &self.clients.jobs[job];
        let last = job.submissions.last().map(|(spec, _)| spec);
        let (tasks, digest_text) = match last {
            Some(last) if has_same_body => (last.tasks.clone(), None),
            _ => {
                let text = format!("{} {}", job.id, job.submissions.len());
                (make_tasks(&text, task_count), Some(text))
            }
        };
        let body_digest = match (digest_text, last) {
            (None, Some(last)) => last.meta.body_digest,
            (text, _) => u128::from(digest(text.unwrap_or_default().as_bytes())),
        };
        let newest_unix_ms = last.map_or(0, |last| last.meta.submitted_unix_ms);
        let clock_unix_ms = unix_ms(now_us).saturating_add_signed(job.clock_offset_ms);
        let submitted_unix_ms = clock_unix_ms.max(newest_unix_ms + 1);
        let deadline_us = now_us + job.patience_ms * 1_000;
        let meta = JobMeta {
            key: JobKey::new(firms()[job.firm], &job.id),
            id: job.id.clone(),
            group: group(),
            body_digest,
            submitted_unix_ms,
            deadline_unix_ms: unix_ms(deadline_us),
            repeatable: job.firm == 0,
            task_count: tasks.len() as u16,
        };
        (JobSpec { meta, tasks }, deadline_us)
    }

    fn cancel(&mut self, job: usize) {
        let Some((spec, _)) = self.clients.jobs[job].submissions.first() else {
            return;
        };
        let key = spec.meta.key;
        self.record(EventKind::CancelRequested(key));
        let index = self.rng.range(0..=ENTRIES as u64 - 1) as usize;
        let event = Event::Entry(index, EntryEvent::Cancel(key));
        self.schedule_at(CLIENT_DELAY_US, Node::Entry(index), event);
    }

    /// Handles an answer at a client: a job that was refused with a retry delay is submitted again.
    pub(super) fn client_answered(&mut self, copy: CopyKey, answer: &Answer) {
        let Some(&(job, submission)) = self.clients.copies.get(&copy) else {
            return;
        };
        let now_us = self.now_us();
        let state = &mut self.clients.jobs[job];
        let is_newest = submission + 1 == state.submissions.len();
        let retry_after_ms = match answer {
            Answer::Failed(failure) if failure.kind == FailureKind::NotRun => {
                failure.retry_after_ms
            }
            Answer::Failed(_) => None,
            Answer::Complete(_) => {
                state.is_completed = true;
                None
            }
        };
        if !is_newest {
            return;
        }
        let Some(retry_after_ms) = retry_after_ms else {
            state.is_done = true;
            return;
        };
        let is_exhausted = state.submissions.len() >= MAX_SUBMISSIONS && !state.is_probe;
        if is_exhausted || state.is_done {
            return;
        }
        let at_us = now_us + retry_after_ms.min(3_000) * 1_000;
        if at_us >= END_US - 8_000_000 && !state.is_probe {
            return;
        }
        let submission = submission + 1;
        let submit = ClientEvent::Submit { job, submission };
        self.net.schedule(at_us, Event::Client(submit));
    }

    /// Handles the loss of a client's connection: the copy is sent again before its deadline.
    pub(super) fn client_lost(&mut self, copy: CopyKey) {
        let Some(&(job, submission)) = self.clients.copies.get(&copy) else {
            return;
        };
        let wait_us = self.rng.range(20_000..=300_000);
        let at_us = self.now_us() + wait_us;
        let state = &self.clients.jobs[job];
        let (_, deadline_us) = state.submissions[submission];
        if state.is_done || at_us >= deadline_us {
            return;
        }
        let submit = ClientEvent::Submit { job, submission };
        self.net.schedule(at_us, Event::Client(submit));
    }

    /// Checks that all probes completed.
    pub(super) fn check_probes(&self) -> Vec<Violation> {
        let probes = self.clients.jobs.iter().filter(|job| job.is_probe);
        let stuck = probes.filter(|job| !job.is_completed);
        stuck
            .map(|job| Violation {
                promise: Promise::Answered,
                message: format!("liveness: {} did not complete after the faults", job.id),
                events: Vec::new(),
            })
            .collect()
    }

    /// Schedules the end or the next step of a fault, no later than the end of all faults.
    pub(super) fn schedule_follow_up(&mut self, after_us: u64, follow_up: FollowUp) {
        let at_us = (self.now_us() + after_us).min(super::FAULTS_END_US.max(self.now_us()));
        self.net.schedule(at_us, Event::FollowUp(follow_up));
    }
}

fn make_tasks(text: &str, count: u16) -> Vec<TaskSpec> {
    (0..count)
        .map(|index| TaskSpec {
            kind: KindKey::from_name("lookup"),
            declared_us: 200_000,
            payload: Bytes::from(format!("{text} {index}")),
        })
        .collect()
}
