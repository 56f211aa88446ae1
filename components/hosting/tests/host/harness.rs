//! A host with a simulated target that answers at once, and an entry that sends it requests.

use std::rc::Rc;

use hosting::{
    EndedRun, Host, ReportOutcome, RunningRun, StartOutcome, TargetCall, TargetEnd, TargetIdentity,
    TargetPollOutcome, TargetReport, TargetRuns,
};
use model::{
    HostUpdate, HostUpdateRequest, JobId, KindKey, NotStartedReason, Orders, ProcessKey, Resources,
    RunEvent, RunId, RunPermit, StartOrder, TaskRef,
};

pub const AGENT: ProcessKey = ProcessKey(1);
pub const ENTRY: ProcessKey = ProcessKey(7);
pub const OTHER_ENTRY: ProcessKey = ProcessKey(8);
pub const BORN_UNIX_MS: u64 = 1_000;

/// Event of a task that is given back because no target may start it.
pub const NO_TARGET: Option<RunEvent> = Some(RunEvent::NotStarted(NotStartedReason::NoTarget));

pub fn job(number: u64) -> JobId {
    JobId::parse(&format!("{number:016x}")).expect("sixteen digits")
}

pub fn task(number: u64) -> TaskRef {
    TaskRef {
        job: job(number),
        step: 0,
        index: 0,
    }
}

pub fn report(born_unix_ms: u64, sequence: u64) -> TargetReport {
    TargetReport {
        instance: Rc::from("target"),
        born_unix_ms,
        sequence,
        group: Rc::from("group"),
        labels: Vec::new(),
        capacity: Resources {
            cpu_millis: 8_000,
            memory_mib: 8_000,
            gpus: 0,
        },
        is_draining: false,
        leaves_in_ms: None,
    }
}

/// An order for one task of two cores.
pub fn order(number: u64) -> StartOrder {
    StartOrder {
        job: job(number),
        step: 0,
        tasks: vec![(0, 1)],
        specification: Rc::from("spec"),
        needs: Resources {
            cpu_millis: 2_000,
            memory_mib: 10,
            gpus: 0,
        },
        estimate_ms: 100,
        log_deviation_permille: 400,
        slack_ms: 100,
        queue_timeout_ms: 60,
        priority: 1,
        has_started_tasks: false,
        kind: KindKey(1),
        is_data_remote: false,
        target_number: None,
    }
}

/// A host, and the state of its simulated target and entry.
pub struct Bench {
    pub host: Host,
    /// The incarnation of the target that answers.
    pub identity: TargetIdentity,
    pub now_ms: u64,
    pub actions: Vec<TargetCall>,
    pub running: Vec<RunningRun>,
    pub ended: Vec<EndedRun>,
    pub permit: Option<RunPermit>,
    pub last_orders_number: u64,
    pub events: Vec<(RunId, RunEvent)>,
    last_seen_event: u64,
}

impl Bench {
    /// Creates a host whose target has reported and answered a poll.
    pub fn new() -> Self {
        Self::without_target().with_target()
    }

    /// Creates such a host whose target is behind a relay.
    pub fn with_relayed_target() -> Self {
        let mut bench = Self::without_target();
        bench.host = Host::new(AGENT, 5).doubting_refusals(true);
        bench.with_target()
    }

    fn with_target(mut self) -> Self {
        self.report(report(BORN_UNIX_MS, 1));
        self.poll_target();
        self.request_update(ENTRY);
        self
    }

    /// Creates a host whose target has neither reported nor answered a poll.
    pub fn without_target() -> Self {
        Self {
            host: Host::new(AGENT, 5),
            identity: report(BORN_UNIX_MS, 1).identity(),
            now_ms: 10_000,
            actions: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
            permit: None,
            last_orders_number: 0,
            events: Vec::new(),
            last_seen_event: 0,
        }
    }

    /// Delivers a report of the target, which is the incarnation that the report names.
    pub fn report(&mut self, report: TargetReport) {
        self.identity = report.identity();
        self.foreign_report(report);
    }

    /// Delivers a report that is not of the target's present incarnation.
    pub fn foreign_report(&mut self, report: TargetReport) -> ReportOutcome {
        let outcome = self
            .host
            .handle_target_report(self.now_ms, report, &mut self.actions);
        self.execute_checks();
        outcome
    }

    /// Answers the questions of the host about the target's incarnation.
    pub fn execute_checks(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            let TargetCall::Check { identity, .. } = action else {
                self.actions.push(action);
                continue;
            };
            let outcome = if identity.instance == self.identity.instance {
                TargetPollOutcome::Answered(self.target_runs())
            } else {
                TargetPollOutcome::OtherIncarnation
            };
            let (now_ms, actions) = (self.now_ms, &mut self.actions);
            self.host
                .check_ended(now_ms, now_ms, &identity, &outcome, actions);
        }
    }

    /// Restores the report that an earlier agent received.
    pub fn restore_target(&mut self, report: TargetReport) {
        self.host
            .restore_target(self.now_ms, report, &mut self.actions);
        self.execute_checks();
    }

    pub fn target_runs(&self) -> TargetRuns {
        TargetRuns {
            born_unix_ms: self.identity.born_unix_ms,
            clock_ms: self.now_ms,
            running: self.running.clone(),
            ended: self.ended.clone(),
            last_sequence: self.ended.iter().map(|end| end.sequence).max().unwrap_or(0),
        }
    }

    pub fn poll_target(&mut self) {
        let answered = TargetPollOutcome::Answered(self.target_runs());
        self.host
            .poll_ended(self.now_ms, self.now_ms, answered, &mut self.actions);
    }

    pub fn end_start(&mut self, task: TaskRef, number: u32, outcome: StartOutcome) {
        let (now_ms, actions) = (self.now_ms, &mut self.actions);
        self.host
            .handle_start_outcome(now_ms, task, number, outcome, actions);
    }

    pub fn request_update(&mut self, from: ProcessKey) -> HostUpdate {
        let request = HostUpdateRequest {
            from,
            permit: self.permit,
            last_seen_event: self.last_seen_event,
            wait_ms: 0,
            evacuations: None,
            quarantines: Vec::new(),
        };
        self.host
            .update_requested(self.now_ms, &request, &mut self.actions);
        let update = self.host.update_for(self.now_ms, from);
        self.record_events(&update);
        update
    }

    pub fn record_events(&mut self, update: &HostUpdate) {
        self.permit = Some(update.permit);
        for (number, run, event) in &update.events {
            if *number > self.last_seen_event {
                self.last_seen_event = *number;
                self.events.push((*run, *event));
            }
        }
    }

    pub fn orders(&mut self, from: ProcessKey, starts: Vec<StartOrder>) -> Orders {
        self.last_orders_number += 1;
        Orders {
            from,
            number: self.last_orders_number,
            permit: self.permit,
            last_seen_event: self.last_seen_event,
            starts,
            stops: Vec::new(),
        }
    }

    pub fn send(&mut self, orders: Orders) -> HostUpdate {
        let update = self
            .host
            .handle_orders(self.now_ms, orders, &mut self.actions);
        self.record_events(&update);
        update
    }

    pub fn start(&mut self, numbers: impl IntoIterator<Item = u64>) {
        for number in numbers {
            let orders = self.orders(ENTRY, vec![order(number)]);
            self.send(orders);
        }
    }

    /// Executes all pending starts at the target and returns them.
    pub fn execute_starts(&mut self) -> Vec<(TaskRef, u32)> {
        let mut started = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            let TargetCall::Start { task, number, .. } = action else {
                self.actions.push(action);
                continue;
            };
            self.running.push(RunningRun {
                task,
                number,
                percent: 0,
            });
            self.end_start(task, number, StartOutcome::Started);
            started.push((task, number));
        }
        started
    }

    pub fn end_run(&mut self, task: TaskRef, end: TargetEnd) {
        let at = self.running.iter().position(|run| run.task == task);
        let run = self.running.remove(at.expect("a running task"));
        self.ended.push(EndedRun {
            sequence: self.ended.len() as u64 + 1,
            task,
            number: run.number,
            end,
        });
    }

    pub fn stops(&mut self) -> Vec<TaskRef> {
        let stops = self.actions.iter().filter_map(|action| match action {
            TargetCall::Stop { task, .. } => Some(*task),
            TargetCall::Start { .. } | TargetCall::Check { .. } => None,
        });
        let stops = stops.collect();
        self.actions.clear();
        stops
    }

    /// Advances the time while the entry sends update requests and the target answers polls.
    pub fn advance(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms = (self.now_ms + 50).min(until_ms);
            self.request_update(ENTRY);
            self.poll_target();
            self.host.tick(self.now_ms, &mut self.actions);
        }
    }

    /// Advances the time while the target answers polls but the entry sends nothing.
    pub fn advance_without_entry(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms = (self.now_ms + 50).min(until_ms);
            self.poll_target();
            self.host.tick(self.now_ms, &mut self.actions);
        }
    }

    /// Advances the time while the entry sends update requests and the target answers nothing.
    pub fn advance_without_target(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms = (self.now_ms + 50).min(until_ms);
            self.request_update(ENTRY);
            self.host.tick(self.now_ms, &mut self.actions);
        }
    }

    pub fn outcome(&mut self, number: u64) -> Option<RunEvent> {
        self.request_update(ENTRY);
        let is_of_task = |(run, _): &&(RunId, RunEvent)| run.task == task(number);
        let last = self.events.iter().rev().find(is_of_task);
        last.map(|(_, event)| *event)
    }
}
