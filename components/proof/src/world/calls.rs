//! Simulated targets: they run tasks, and record which tasks started.

use bytes::Bytes;
use execution::{CallKey, CallOutcome};
use model::{Attempt, TaskKey};

use crate::event::{EventKind, TaskStarted};
use crate::fault::FaultKind;
use crate::results::{digest, result_of};
use crate::world::message::{AgentEvent, CallEnd, Event, Node, NodeIndex};
use crate::world::scenario::Step;
use crate::world::{PROBES_AT_US, World};

/// One-way delay between a target and the agent beside it, in microseconds.
const LOCAL_DELAY_US: u64 = 50;

/// Probability that a target refuses the connection, so that the task does not start.
const NOT_STARTED_PROBABILITY: f64 = 0.01;

/// Probability that a task fails at its target.
const FAILED_PROBABILITY: f64 = 0.01;

/// Probability that the connection to the target is reset after the task was sent.
const CONNECTION_RESET_PROBABILITY: f64 = 0.005;

/// Probability that a task runs for seconds.
const LONG_RUN_PROBABILITY: f64 = 0.05;

impl World {
    pub(super) fn invoke(
        &mut self,
        index: NodeIndex,
        call: CallKey,
        (task, attempt): (TaskKey, Attempt),
        payload: &Bytes,
        timeout_us: u64,
    ) {
        let key = self.agents[index].key;
        if !self.agents[index].is_target_up || self.draw_target_fault(NOT_STARTED_PROBABILITY) {
            let outcome = CallOutcome::NotStarted("connection refused".to_owned());
            self.end_call_after(index, LOCAL_DELAY_US, call, outcome);
            return;
        }
        let payload_digest = digest(payload);
        let submitted_unix_ms = self.agents[index].submitted.get(&(task, attempt)).copied();
        self.record(EventKind::TaskStarted(TaskStarted {
            task,
            attempt,
            agent: key,
            payload_digest,
            submitted_unix_ms,
        }));
        self.agents[index]
            .calls
            .insert(call, (task, payload_digest));
        let outcome = self.draw_outcome(task, payload_digest);
        let run_us = self.draw_run_us(index);
        let end = CallEnd {
            agent: index,
            key,
            call,
            task,
            outcome,
        };
        let at_us = self.now_us() + run_us;
        self.net.schedule(at_us, Event::CallEnd(Box::new(end)));
        if run_us > timeout_us {
            let kind = FaultKind::TargetFault;
            self.record(EventKind::FaultInjected { kind, firm: None });
            let outcome = CallOutcome::Unknown("timed out".to_owned());
            self.end_call_after(index, timeout_us, call, outcome);
        }
    }

    /// Draws whether a fault of a target occurs, and records it if so.
    fn draw_target_fault(&mut self, share: f64) -> bool {
        let draw_target_fault =
            self.rng.chance(share) && self.has_faulty_targets && !self.is_probing();
        if draw_target_fault {
            let kind = FaultKind::TargetFault;
            self.record(EventKind::FaultInjected { kind, firm: None });
        }
        draw_target_fault
    }

    fn is_probing(&self) -> bool {
        self.now_us() >= PROBES_AT_US
    }

    fn draw_outcome(&mut self, task: TaskKey, payload_digest: u64) -> CallOutcome {
        if self.draw_target_fault(FAILED_PROBABILITY) {
            return CallOutcome::Failed("task failed".to_owned());
        }
        if self.draw_target_fault(CONNECTION_RESET_PROBABILITY) {
            return CallOutcome::Unknown("connection reset".to_owned());
        }
        CallOutcome::Done(result_of(task, payload_digest))
    }

    fn draw_run_us(&mut self, index: NodeIndex) -> u64 {
        let usual_us = if self.draw_target_fault(LONG_RUN_PROBABILITY) {
            self.rng.range(1_000_000..=4_000_000)
        } else {
            self.rng.range(20_000..=400_000)
        };
        if self.is_probing() {
            return usual_us;
        }
        usual_us * self.agents[index].run_time_percent / 100
    }

    fn end_call_after(
        &mut self,
        index: NodeIndex,
        after_us: u64,
        call: CallKey,
        outcome: CallOutcome,
    ) {
        let key = self.agents[index].key;
        let event = Event::Agent(index, AgentEvent::CallDone(key, call, outcome));
        self.schedule_at(after_us, Node::Agent(index), event);
    }

    /// Aborts a call at the agent; the target continues to run the task.
    pub(super) fn abort(&mut self, index: NodeIndex, call: CallKey) {
        if self.agents[index].calls.contains_key(&call) {
            let outcome = CallOutcome::Unknown("aborted".to_owned());
            self.end_call_after(index, LOCAL_DELAY_US, call, outcome);
        }
    }

    /// Ends a task at its target, also if the agent was killed or restarted meanwhile.
    pub(super) fn end_call(&mut self, end: CallEnd) {
        self.record_step(Step::Run);
        match &end.outcome {
            CallOutcome::Done(result) => {
                let result_digest = digest(result);
                let task = end.task;
                self.record(EventKind::TaskFinished {
                    task,
                    result_digest,
                });
            }
            CallOutcome::Failed(_) => self.record(EventKind::TaskFailed(end.task)),
            CallOutcome::NotStarted(_) | CallOutcome::Unknown(_) => {}
        }
        let node = &mut self.agents[end.agent];
        if node.key != end.key || !node.is_alive {
            return;
        }
        node.calls.remove(&end.call);
        self.end_call_after(end.agent, LOCAL_DELAY_US, end.call, end.outcome);
    }
}
