//! Random sequences of events, checked against the agent's invariants.

use std::collections::{HashMap, HashSet};

use execution::{AgentAction, AgentBuilder, CallKey, CallOutcome};
use model::{
    AgentMessage, Attempt, Generation, OwnerEnvelope, OwnerMessage, Permit, ProcessKey, Start,
    TaskKey, TaskOutcome, TaskState,
};
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;

use crate::harness::{
    AGENT, Harness, OTHER, OWNER, SHARD, envelope, envelopes, fence, fence_answer, job_key,
    not_started, result, start_message,
};

const SLOTS: u16 = 2;
const LOOKAHEAD: u16 = 3;

/// An attempt of a task, and the owner that sends messages about it.
#[derive(Debug, Clone, Copy)]
pub struct TaskAttempt {
    owner: ProcessKey,
    key: TaskKey,
    attempt: Attempt,
}

/// One step. Indices of messages and calls are taken modulo their current count.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    TakeOver(ProcessKey),
    Beat(ProcessKey),
    /// Sends a start with the remaining time in microseconds.
    Start(TaskAttempt, u64),
    Revoke(TaskAttempt, bool),
    Receive(TaskAttempt),
    Settle(TaskAttempt),
    /// Delivers an in-flight message; if the flag is set, it stays in flight as a duplicate.
    Deliver(usize, bool),
    /// Ends a call with one of the outcomes.
    End(usize, u8),
    Pass(u64),
    Announce,
    Leave,
    Drain,
}

fn owner() -> impl Strategy<Value = ProcessKey> {
    prop_oneof![Just(OWNER), Just(OTHER)]
}

fn task_attempt() -> impl Strategy<Value = TaskAttempt> {
    (owner(), 0..3_u64, 0..2_u16, 1..4_u32).prop_map(|(owner, job, index, attempt)| {
        let job = job_key(SHARD.firm, job);
        let key = TaskKey { job, index };
        TaskAttempt {
            owner,
            key,
            attempt: Attempt(attempt),
        }
    })
}

/// Generates sequences; a message that no step delivers is lost.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let remaining_us = prop_oneof![Just(50_000), Just(60_000_000)];
    let elapsed_us = prop_oneof![Just(10_000), Just(200_000), Just(1_100_000)];
    let step = prop_oneof![
        2 => owner().prop_map(Step::TakeOver),
        2 => owner().prop_map(Step::Beat),
        8 => (task_attempt(), remaining_us)
            .prop_map(|(task, remaining_us)| Step::Start(task, remaining_us)),
        2 => (task_attempt(), any::<bool>()).prop_map(|(task, abort)| Step::Revoke(task, abort)),
        1 => task_attempt().prop_map(Step::Receive),
        1 => task_attempt().prop_map(Step::Settle),
        20 => any::<(usize, bool)>().prop_map(|(message, again)| Step::Deliver(message, again)),
        6 => (any::<usize>(), 0..5_u8).prop_map(|(call, outcome)| Step::End(call, outcome)),
        4 => elapsed_us.prop_map(Step::Pass),
        1 => Just(Step::Announce),
        1 => Just(Step::Leave),
        1 => Just(Step::Drain),
    ];
    prop::collection::vec(step, 1..120)
}

#[derive(Debug, Clone, PartialEq)]
enum CallState {
    Running,
    Finished(TaskOutcome),
}

/// An agent, two owners and the messages between them, with the agent's commitments so far.
pub struct Simulation {
    harness: Harness,
    generations: HashMap<ProcessKey, u64>,
    permits: HashMap<ProcessKey, Permit>,
    last_generation: u64,
    in_flight: Vec<OwnerEnvelope>,
    fenced: Option<(u64, ProcessKey)>,
    is_target_announced: bool,
    draining: bool,
    /// Attempts that may start, each as delivered by the owner of the generation.
    startable: HashSet<(TaskKey, Attempt, u64)>,
    calls: Vec<(CallKey, TaskKey)>,
    ran: HashMap<TaskKey, (Attempt, CallState)>,
    refused: HashMap<TaskKey, Attempt>,
    accepted: HashMap<TaskKey, Attempt>,
}

impl Simulation {
    pub fn new(builder: AgentBuilder) -> Self {
        let mut harness = Harness::new(builder.lookahead_tasks(LOOKAHEAD));
        harness.announce(SLOTS);
        Self {
            harness,
            generations: HashMap::new(),
            permits: HashMap::new(),
            last_generation: 0,
            in_flight: Vec::new(),
            fenced: None,
            is_target_announced: true,
            draining: false,
            startable: HashSet::new(),
            calls: Vec::new(),
            ran: HashMap::new(),
            refused: HashMap::new(),
            accepted: HashMap::new(),
        }
    }

    pub fn check(&mut self, steps: Vec<Step>) -> TestCaseResult {
        for step in steps {
            self.step(step)?;
        }
        self.check_end()
    }

    fn step(&mut self, step: Step) -> TestCaseResult {
        let now_us = self.harness.now_us;
        let mut actions = Vec::new();
        match step {
            Step::TakeOver(owner) => {
                self.last_generation += 1;
                self.generations.insert(owner, self.last_generation);
                self.post(owner, fence(SHARD, self.last_generation));
            }
            Step::Start(task, remaining_us) => self.post_start(task, remaining_us),
            Step::Revoke(
                TaskAttempt {
                    owner,
                    key,
                    attempt,
                },
                abort,
            ) => {
                let (generation, tasks) = (self.generation(owner), vec![(key, attempt)]);
                self.post(
                    owner,
                    OwnerMessage::Revoke {
                        shard: SHARD,
                        generation,
                        tasks,
                        abort,
                    },
                );
            }
            Step::Receive(TaskAttempt { owner, key, .. }) => {
                self.post(
                    owner,
                    OwnerMessage::Received {
                        shard: SHARD,
                        tasks: vec![key],
                    },
                );
            }
            Step::Settle(TaskAttempt { owner, key, .. }) => {
                self.post(
                    owner,
                    OwnerMessage::Settled {
                        shard: SHARD,
                        jobs: vec![key.job],
                    },
                );
            }
            Step::Beat(owner) => {
                actions = self
                    .harness
                    .beat(owner, &[(SHARD, self.generation(owner).0, 1)]);
            }
            Step::Deliver(message, again) => return self.deliver(message, again),
            Step::End(call, outcome) => return self.end(call, outcome),
            Step::Pass(elapsed_us) => actions = self.harness.tick_after(elapsed_us),
            Step::Announce => {
                self.is_target_announced = true;
                actions = self.harness.announce(SLOTS);
            }
            Step::Leave => {
                self.is_target_announced = false;
                self.harness.agent.target_left(now_us, &mut actions);
            }
            Step::Drain => {
                self.draining = true;
                actions = self.harness.drain();
            }
        }
        self.check_actions(&actions)
    }

    fn generation(&self, owner: ProcessKey) -> Generation {
        Generation(self.generations.get(&owner).copied().unwrap_or(0))
    }

    fn post(&mut self, from: ProcessKey, message: OwnerMessage) {
        self.in_flight.push(envelope(from, vec![message]));
    }

    fn post_start(
        &mut self,
        TaskAttempt {
            owner,
            key,
            attempt,
        }: TaskAttempt,
        remaining_us: u64,
    ) {
        let Some(&permit) = self.permits.get(&owner) else {
            return;
        };
        let mut start = start_message(SHARD, 0, &[(key.index, attempt.0)], 0);
        start.job.key = key.job;
        start.generation = self.generation(owner);
        start.permit = permit;
        start.remaining_us = remaining_us;
        self.post(owner, OwnerMessage::Start(start));
    }

    fn deliver(&mut self, message: usize, again: bool) -> TestCaseResult {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let at = message % self.in_flight.len();
        let envelope = self.in_flight[at].clone();
        if !again {
            self.in_flight.remove(at);
        }
        let from = envelope.from;
        let message = envelope.messages[0].clone();
        if let OwnerMessage::Start(start) = &message {
            self.record_start(from, start);
        }
        let actions = self.harness.deliver(envelope);
        if let OwnerMessage::Fence(fence) = message {
            self.check_fence(from, fence.generation.0, &actions)?;
        }
        self.check_actions(&actions)
    }

    fn record_start(&mut self, from: ProcessKey, start: &Start) {
        let is_permitted = start.permit.expires_us > self.harness.now_us;
        let is_owner = self.fenced == Some((start.generation.0, from));
        if is_permitted && is_owner && self.is_target_announced && !self.draining {
            let task = &start.tasks[0];
            let key = TaskKey {
                job: start.job.key,
                index: task.index,
            };
            self.startable
                .insert((key, task.attempt, start.generation.0));
        }
    }

    fn end(&mut self, call: usize, outcome: u8) -> TestCaseResult {
        if self.calls.is_empty() {
            return Ok(());
        }
        let (call, key) = self.calls.swap_remove(call % self.calls.len());
        let (outcome, ran) = match outcome {
            0 => (not_started(), None),
            1 => (
                CallOutcome::Unknown(String::new()),
                Some(TaskOutcome::Unknown(String::new())),
            ),
            2 => (
                CallOutcome::Failed(String::new()),
                Some(TaskOutcome::Failed(String::new())),
            ),
            _ => (result(3), Some(TaskOutcome::Done(vec![0; 3].into()))),
        };
        match ran {
            Some(outcome) => self
                .ran
                .entry(key)
                .and_modify(|ran| ran.1 = CallState::Finished(outcome)),
            None => {
                self.ran.remove(&key);
                self.ran.entry(key)
            }
        };
        let mut actions = self.harness.end_call(call, outcome.clone());
        self.check_actions(&actions)?;
        actions = self.harness.end_call(call, outcome);
        self.check_actions(&actions)
    }

    /// Checks the agent's actions against its earlier commitments.
    fn check_actions(&mut self, actions: &[AgentAction]) -> TestCaseResult {
        let mut destinations = HashSet::new();
        for action in actions {
            match action {
                AgentAction::Invoke {
                    call,
                    task,
                    attempt,
                    deadline_us,
                    ..
                } => {
                    self.check_invoke(*task, *attempt, *deadline_us)?;
                    self.calls.push((*call, *task));
                    self.ran.insert(*task, (*attempt, CallState::Running));
                }
                AgentAction::Send(envelope) => {
                    prop_assert!(
                        destinations.insert(envelope.to),
                        "two envelopes for one owner"
                    );
                }
                AgentAction::Abort { call } => {
                    prop_assert!(self.calls.iter().any(|(known, _)| known == call));
                }
            }
        }
        prop_assert!(self.calls.len() <= usize::from(SLOTS));
        let state = self.harness.agent.state();
        prop_assert_eq!(state.running, self.calls.len());
        let windows: usize = state
            .owners
            .iter()
            .map(|owner| usize::from(owner.window))
            .sum();
        prop_assert!(windows <= usize::from(SLOTS + LOOKAHEAD) + state.owners.len());
        for envelope in envelopes(actions) {
            for message in &envelope.messages {
                self.check_message(envelope.to, message)?;
            }
        }
        Ok(())
    }

    fn check_invoke(&self, task: TaskKey, attempt: Attempt, deadline_us: u64) -> TestCaseResult {
        let (generation, _) = self.fenced.unwrap_or((0, OWNER));
        prop_assert!(!self.ran.contains_key(&task), "a task starts twice");
        prop_assert!(
            self.refused.get(&task) < Some(&attempt),
            "a refused attempt starts"
        );
        prop_assert!(
            deadline_us > self.harness.now_us,
            "a task starts after its deadline"
        );
        prop_assert!(
            self.startable.contains(&(task, attempt, generation)),
            "a task starts without a valid start of the newest generation"
        );
        Ok(())
    }

    fn check_message(&mut self, to: ProcessKey, message: &AgentMessage) -> TestCaseResult {
        match message {
            AgentMessage::Refused { task, attempt, .. } => {
                let refused = self.refused.entry(*task).or_insert(*attempt);
                *refused = (*refused).max(*attempt);
                let started = self.ran.get(task).map(|(attempt, _)| *attempt);
                prop_assert!(started.is_none_or(|started| started > *attempt));
            }
            AgentMessage::Accepted { tasks, .. } => {
                self.accepted.extend(tasks.iter().copied());
            }
            AgentMessage::Finished {
                task,
                attempt,
                outcome,
                ..
            } => {
                let expected = Some((*attempt, CallState::Finished(outcome.clone())));
                prop_assert_eq!(self.ran.get(task).cloned(), expected);
            }
            AgentMessage::RevokeFailed { task, attempt, .. } => {
                let expected = Some((*attempt, CallState::Running));
                prop_assert_eq!(self.ran.get(task).cloned(), expected);
            }
            AgentMessage::HeartbeatAck(ack) => {
                self.permits.insert(to, ack.permit);
                let is_owner = self.fenced == Some((self.generation(to).0, to));
                prop_assert_eq!(ack.shards.len(), usize::from(is_owner));
            }
            AgentMessage::Fenced { .. } => {}
        }
        Ok(())
    }

    fn check_fence(
        &mut self,
        from: ProcessKey,
        generation: u64,
        actions: &[AgentAction],
    ) -> TestCaseResult {
        let newest = self.fenced.map(|(generation, _)| generation);
        let Some((answered, records)) = fence_answer(actions) else {
            return Err(TestCaseError::fail("a fence is not answered"));
        };
        prop_assert_eq!(Some(answered), newest.max(Some(generation)));
        if newest >= Some(generation) {
            return Ok(());
        }
        self.fenced = Some((generation, from));
        let reported: HashMap<TaskKey, _> = records
            .into_iter()
            .flat_map(|job| job.tasks.into_iter().map(move |task| (job.meta.key, task)))
            .map(|(job, task)| {
                (
                    TaskKey {
                        job,
                        index: task.index,
                    },
                    (task.attempt, task.state),
                )
            })
            .collect();
        for (key, (attempt, ran)) in &self.ran {
            let state = match ran {
                CallState::Running => TaskState::Running,
                CallState::Finished(outcome) => TaskState::Finished(outcome.clone()),
            };
            prop_assert_eq!(reported.get(key), Some(&(*attempt, state)));
        }
        for (key, attempt) in self
            .accepted
            .iter()
            .filter(|(key, _)| !self.ran.contains_key(key))
        {
            let Some((reported, TaskState::NotStarted)) = reported.get(key) else {
                return Err(TestCaseError::fail(
                    "the fence answer omits an accepted task",
                ));
            };
            prop_assert!(reported >= attempt);
            self.refused.insert(*key, *reported);
        }
        Ok(())
    }

    /// Checks that the agent is drained after a drain in any state.
    fn check_end(&mut self) -> TestCaseResult {
        self.step(Step::Drain)?;
        while !self.calls.is_empty() {
            self.end(0, 3)?;
        }
        let state = self.harness.agent.state();
        prop_assert_eq!((state.queued, state.running, state.ready), (0, 0, false));
        self.step(Step::Pass(5_000_000))?;
        prop_assert!(self.harness.agent.is_drained());
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn invariants_hold_in_any_sequence(steps in steps()) {
        Simulation::new(AgentBuilder::new(AGENT)).check(steps)?;
    }
}
