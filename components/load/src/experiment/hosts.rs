//! Hosts: the loop around an agent and its fake target.

use execution::{AgentAction, CallOutcome};
use model::{OwnerEnvelope, TaskKey};

use super::{ANNOUNCE_US, Event, Experiment, FinishedCall, entry_endpoint, host_endpoint};
use crate::fake_host::FakeHost;

/// Time for which an announcement of a target counts, in microseconds.
const TARGET_TTL_US: u64 = 3_500_000;

/// Shortest pause of an agent's loop, in microseconds.
const MIN_PAUSE_US: u64 = 1_000;

/// Interval at which a draining agent is looked at, in microseconds.
const DRAIN_CHECK_US: u64 = 100_000;

/// Time within which an aborted call ends, in microseconds.
const ABORT_US: u64 = 100;

impl Experiment {
    pub(super) fn receive_owner_envelope(&mut self, host: usize, envelope: OwnerEnvelope) {
        if !self.hosts[host].alive {
            return;
        }
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        let mut actions = Vec::new();
        let agent = &mut self.hosts[host].agent;
        agent.handle(now_us, now_unix_ms, envelope, &mut actions);
        self.perform_agent(host, actions);
    }

    pub(super) fn agent_timer(&mut self, host: usize) {
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        let fake = &mut self.hosts[host];
        if !fake.alive || now_us < fake.wake_us {
            return;
        }
        fake.wake_us = u64::MAX;
        let mut actions = Vec::new();
        fake.agent.tick(now_us, now_unix_ms, &mut actions);
        self.perform_agent(host, actions);
    }

    pub(super) fn call_done(&mut self, done: FinishedCall) {
        let fake = &mut self.hosts[done.host];
        let known = fake.alive && fake.incarnation == done.incarnation;
        if !known || (fake.aborted.remove(&done.call) && !is_abort(&done.outcome)) {
            return;
        }
        if is_abort(&done.outcome) {
            fake.aborted.insert(done.call);
        }
        let mut actions = Vec::new();
        fake.agent
            .call_ended(self.now_us, done.call, done.outcome, &mut actions);
        self.perform_agent(done.host, actions);
    }

    fn perform_agent(&mut self, host: usize, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Send(envelope) => {
                    self.tally.agent_envelope(&envelope);
                    let to = self.entries.iter().position(|at| at.key() == envelope.to);
                    let Some(entry) = to else {
                        continue;
                    };
                    let (from, to) = (host_endpoint(host), entry_endpoint(entry));
                    let event = Event::ToEntry { entry, envelope };
                    self.net.send(self.now_us, from, to, event);
                }
                AgentAction::Invoke { call, task, .. } => self.invoke(host, call, task),
                AgentAction::Abort { call } => {
                    let outcome = CallOutcome::Unknown(ABORTED.to_owned());
                    self.finish_call(host, call, ABORT_US, outcome);
                }
            }
        }
        self.set_agent_timer(host);
    }

    fn invoke(&mut self, host: usize, call: execution::CallKey, task: TaskKey) {
        let Some(&number) = self.job_by_key.get(&task.job) else {
            return;
        };
        let index = usize::from(task.index);
        let job = &mut self.jobs[number];
        job.started[index] = job.started[index].saturating_add(1);
        let work_us = job.plan.tasks_us[index];
        let task_number = index as u64 + 1;
        let straggles = self.draw(number, task_number) < self.scenario.straggle;
        let broken = self.draw(number, 0) < self.scenario.broken_jobs;
        let (run_us, outcome) = self.hosts[host].run(work_us, straggles, broken);
        self.finish_call(host, call, run_us, outcome);
    }

    /// Draws a number between zero and one for a job, the same under every policy.
    fn draw(&self, job: usize, number: u64) -> f64 {
        let mut hash = (job as u64) << 16 | number;
        hash = (hash ^ self.seed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn finish_call(
        &mut self,
        host: usize,
        call: execution::CallKey,
        after_us: u64,
        outcome: CallOutcome,
    ) {
        let done = FinishedCall {
            host,
            incarnation: self.hosts[host].incarnation,
            call,
            outcome,
        };
        self.net
            .schedule(self.now_us + after_us, Event::CallDone(done));
    }

    fn set_agent_timer(&mut self, host: usize) {
        let fake = &mut self.hosts[host];
        let Some(due_us) = fake.agent.next_wake_us() else {
            return;
        };
        let due_us = due_us.max(self.now_us + MIN_PAUSE_US);
        if due_us < fake.wake_us {
            fake.wake_us = due_us;
            self.net.schedule(due_us, Event::AgentTimer { host });
        }
    }

    pub(super) fn announce(&mut self, host: usize, periodic: bool) {
        if !self.hosts[host].alive {
            return;
        }
        let target = FakeHost::target_info(self.group, &self.firms);
        let domain = self.scenario.deployment.domain_of(host);
        let info = self.hosts[host].info(domain, target.clone());
        let mut actions = Vec::new();
        let expires_us = self.now_us + TARGET_TTL_US;
        let agent = &mut self.hosts[host].agent;
        agent.target_announced(self.now_us, target, expires_us, &mut actions);
        self.perform_agent(host, actions);
        for entry in &mut self.entries {
            entry.dispatcher.agent_announced(info.clone(), self.now_us);
        }
        if periodic {
            let event = Event::Announce { host, periodic };
            self.net.schedule(self.now_us + ANNOUNCE_US, event);
        }
    }

    pub(super) fn replace(&mut self, host: usize) {
        let mut actions = Vec::new();
        let fake = &mut self.hosts[host];
        fake.draining = true;
        fake.agent.drain(self.now_us, &mut actions);
        self.perform_agent(host, actions);
        self.announce(host, false);
        self.drain_check(host);
    }

    pub(super) fn drain_check(&mut self, host: usize) {
        if !self.hosts[host].agent.is_idle() {
            let at_us = self.now_us + DRAIN_CHECK_US;
            self.net.schedule(at_us, Event::DrainCheck { host });
            return;
        }
        self.hosts[host].restart();
        self.announce(host, false);
    }
}

const ABORTED: &str = "aborted";

fn is_abort(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Unknown(detail) if detail == ABORTED)
}
