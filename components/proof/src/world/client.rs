//! Clients and operators.

use std::collections::BTreeMap;

use bytes::Bytes;
use model::{Answer, FailureKind, JobKey, JobMeta, JobSpec, KindKey, TaskSpec};

use crate::check::{Promise, Violation};
use crate::event::{CopyKey, EventKind, Submission};
use crate::results::digest;
use crate::seed::SeededRng;
use crate::world::clock::unix_ms;
use crate::world::message::{AgentEvent, ClientEvent, EntryEvent, Event, Heal, Node};
use crate::world::platform::{firms, group};
use crate::world::{AGENTS, END_US, ENTRIES, PROBES_AT_US, WORK_END_US, WORK_START_US, World};

/// Jobs of a run before the probes.
const JOBS: usize = 60;

/// Jobs that must complete once the faults have ended.
const PROBES: usize = 6;

/// Time from a client to an entry, in microseconds.
const CLIENT_DELAY_US: u64 = 1_000;

/// Largest number of submissions under one id.
const MAX_SUBMISSIONS: usize = 4;

/// Time that a probe has, in milliseconds.
const PROBE_MS: u64 = 4_000;

/// Number of operators.
const OPERATORS: u32 = 2;

struct Job {
    firm: usize,
    id: String,
    client: u32,
    clock_offset_ms: i64,
    at_us: u64,
    patience_ms: u64,
    /// The submissions so far, each with its deadline in true time.
    submissions: Vec<(JobSpec, u64)>,
    done: bool,
    completed: bool,
    probe: bool,
}

/// All clients and operators.
pub struct Clients {
    jobs: Vec<Job>,
    copies: BTreeMap<CopyKey, (usize, usize)>,
    /// Copies sent and not yet read, with the entry they were sent to.
    pub in_transit: BTreeMap<CopyKey, usize>,
    next_copy: u64,
    next_operation: u64,
    seen_revisions: BTreeMap<u32, u64>,
    open_edits: BTreeMap<u32, u64>,
}

impl Clients {
    /// Draws the jobs of a run.
    pub fn draw(rng: &mut SeededRng) -> Self {
        let job = |number: usize, rng: &mut SeededRng| {
            let probe = number >= JOBS;
            let at_us = match probe {
                false => rng.range(WORK_START_US..=WORK_END_US),
                true => PROBES_AT_US + 10_000 * number as u64,
            };
            Job {
                firm: number % 2,
                id: format!("job-{number}"),
                client: number as u32 % 5,
                clock_offset_ms: rng.range(0..=200) as i64 - 100,
                at_us,
                patience_ms: if probe {
                    PROBE_MS
                } else {
                    rng.range(1_000..=6_000)
                },
                submissions: Vec::new(),
                done: false,
                completed: false,
                probe,
            }
        };
        Self {
            jobs: (0..JOBS + PROBES).map(|number| job(number, rng)).collect(),
            copies: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            next_copy: 0,
            next_operation: 0,
            seen_revisions: BTreeMap::new(),
            open_edits: BTreeMap::new(),
        }
    }

    pub fn next_operation(&mut self) -> u64 {
        self.next_operation += 1;
        self.next_operation
    }

    pub fn seen_revision(&self, operator: u32) -> u64 {
        self.seen_revisions.get(&operator).copied().unwrap_or(0)
    }

    pub fn saw_revision(&mut self, operator: u32, revision: u64) {
        let seen = self.seen_revisions.entry(operator).or_default();
        *seen = revision.max(*seen);
    }

    pub fn open_edit(&mut self, operator: u32, operation: u64) {
        self.open_edits.insert(operator, operation);
    }

    /// Returns whether the operator still waited for the edit.
    pub fn close_edit(&mut self, operator: u32, operation: u64) -> bool {
        let open = self.open_edits.get(&operator) == Some(&operation);
        if open {
            self.open_edits.remove(&operator);
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
            if !self.clients.jobs[job].probe {
                self.schedule_extras(job, at_us);
            }
        }
        if self.rng.chance(0.5) {
            let agent = self.rng.range(0..=AGENTS as u64 - 1) as usize;
            let at_us = self.rng.range(WORK_START_US..=WORK_END_US);
            let leave = ClientEvent::LeaveTarget { agent };
            self.net.schedule(at_us, Event::Client(leave));
        }
    }

    /// Schedules needless copies and cancellations.
    fn schedule_extras(&mut self, job: usize, at_us: u64) {
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
                if !self.clients.open_edits.contains_key(&operator) {
                    self.edit(operator);
                }
            }
            ClientEvent::Published {
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
            let made = self.make_submission(job);
            self.clients.jobs[job].submissions.push(made);
        }
        let (spec, deadline_us) = self.clients.jobs[job].submissions[submission].clone();
        let number = self.clients.next_copy;
        self.clients.next_copy += 1;
        let client = self.clients.jobs[job].client;
        let copy = CopyKey { client, number };
        self.clients.copies.insert(copy, (job, submission));
        let place = self.rng.range(0..=ENTRIES as u64 - 1) as usize;
        let key = self.entries[place].key;
        let submitted = Submission::new(copy, key, &spec, deadline_us);
        self.record(EventKind::Submitted(Box::new(submitted)));
        if !self.entries[place].alive || self.entries[place].stopping {
            self.lose_unaccepted(copy);
            return;
        }
        self.clients.in_transit.insert(copy, place);
        let event = Event::Entry(place, EntryEvent::Copy(copy, Box::new(spec)));
        let at_us = now_us + CLIENT_DELAY_US;
        self.net
            .schedule_at(at_us, Node::Entry(place).endpoint(), event);
    }

    fn make_submission(&mut self, job: usize) -> (JobSpec, u64) {
        let now_us = self.now_us();
        let task_count = self.rng.range(1..=4) as u16;
        let same_body = self.rng.chance(0.7);
        let job = &self.clients.jobs[job];
        let last = job.submissions.last().map(|(spec, _)| spec);
        let (tasks, digest_text) = match last {
            Some(last) if same_body => (last.tasks.clone(), None),
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
        let place = self.rng.range(0..=ENTRIES as u64 - 1) as usize;
        let event = Event::Entry(place, EntryEvent::Cancel(key));
        self.schedule_at(CLIENT_DELAY_US, Node::Entry(place), event);
    }

    /// Lets a client react to an answer.
    pub(super) fn client_answered(&mut self, copy: CopyKey, answer: &Answer) {
        let Some(&(job, submission)) = self.clients.copies.get(&copy) else {
            return;
        };
        let now_us = self.now_us();
        let state = &mut self.clients.jobs[job];
        let newest = submission + 1 == state.submissions.len();
        let retry_after_ms = match answer {
            Answer::Failed(failure) if failure.kind == FailureKind::NotRun => {
                failure.retry_after_ms
            }
            Answer::Failed(_) => None,
            Answer::Complete(_) => {
                state.completed = true;
                None
            }
        };
        if !newest {
            return;
        }
        let Some(retry_after_ms) = retry_after_ms else {
            state.done = true;
            return;
        };
        let spent = state.submissions.len() >= MAX_SUBMISSIONS && !state.probe;
        if spent || state.done {
            return;
        }
        let at_us = now_us + retry_after_ms.min(3_000) * 1_000;
        if at_us >= END_US - 8_000_000 && !state.probe {
            return;
        }
        let submission = submission + 1;
        let submit = ClientEvent::Submit { job, submission };
        self.net.schedule(at_us, Event::Client(submit));
    }

    /// Lets a client react to the loss of its connection.
    pub(super) fn client_lost(&mut self, copy: CopyKey) {
        let Some(&(job, submission)) = self.clients.copies.get(&copy) else {
            return;
        };
        let wait_us = self.rng.range(20_000..=300_000);
        let at_us = self.now_us() + wait_us;
        let state = &self.clients.jobs[job];
        let (_, deadline_us) = state.submissions[submission];
        if state.done || at_us >= deadline_us {
            return;
        }
        let submit = ClientEvent::Submit { job, submission };
        self.net.schedule(at_us, Event::Client(submit));
    }

    /// Checks that jobs complete once the faults have ended.
    pub(super) fn check_probes(&self) -> Vec<Violation> {
        let probes = self.clients.jobs.iter().filter(|job| job.probe);
        let stuck = probes.filter(|job| !job.completed);
        stuck
            .map(|job| Violation {
                promise: Promise::Answered,
                message: format!("liveness: {} did not complete after the faults", job.id),
                events: Vec::new(),
            })
            .collect()
    }

    /// Schedules the end of a fault.
    pub(super) fn heal_after(&mut self, after_us: u64, heal: Heal) {
        let at_us = (self.now_us() + after_us).min(super::FAULTS_END_US.max(self.now_us()));
        self.net.schedule(at_us, Event::Heal(heal));
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
