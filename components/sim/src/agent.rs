//! Agents, their targets, and the checks for overlapping runs and false refusals.

use hosting::{
    Host, MAX_PARALLEL_POLLS, StartOutcome, StartRefusal, TARGET_CALL_TIMEOUT_MS, TargetCall,
    TargetIdentity, TargetPollOutcome, TargetReport,
};
use model::{KnownEvacuations, ProcessKey, TaskRef};
use rand::Rng;
use std::rc::Rc;

use crate::event::Event;
use crate::fault::{Fault, FaultKind};
use crate::target::{Target, TargetStart};
use crate::world::World;

/// Interval of an agent's timer, in microseconds.
const TICK_US: u64 = 20_000;

/// One-way delay between an agent and its target, in microseconds.
const LOCAL_DELAY_US: u64 = 200;

/// Interval at which the parallel polls check whether they are needed, in microseconds.
const TARGET_POLL_RETRY_US: u64 = 20_000;

/// Interval of a target's reports, in microseconds.
const REPORT_US: u64 = 1_500_000;

/// Time from a target's start to its first report, in microseconds.
const FIRST_REPORT_US: u64 = 100_000;

/// Minimum and maximum delay of an order that is carried out late, in microseconds.
const LATE_DELAY_US: (u64, u64) = (100_000, 12_000_000);

/// Time from the start of a task that crashes its target to the crash, in microseconds.
const CRASH_DELAY_US: u64 = 8_000;

/// Time from such a crash until the target is back, in milliseconds.
const RESTART_MS: u64 = 3_000;

/// An entry's update request that the agent holds open.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingUpdateRequest {
    entry: usize,
    epoch: u64,
    call: u64,
    from: ProcessKey,
    last_seen_event: u64,
}

/// An agent's poll of its target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TargetPollCall {
    incarnation: u32,
    lane: usize,
    call: u64,
    sent_ms: u64,
}

/// State of an agent and its target.
pub(crate) struct AgentNode {
    pub(crate) key: ProcessKey,
    pub(crate) incarnation: u32,
    pub(crate) is_up: bool,
    pub(crate) frozen_until_us: u64,
    pub(crate) partitioned_until_us: u64,
    pub(crate) host: Host,
    pub(crate) evacuations: KnownEvacuations,
    pub(crate) target: Target,
    pub(crate) late_share: f64,
    pub(crate) update_requests: Vec<PendingUpdateRequest>,
    /// Time of the next poll of each lane; `u64::MAX` while one is in progress.
    next_polls_us: [u64; MAX_PARALLEL_POLLS],
    /// Identifier of the poll in progress in each lane; zero if there is none.
    target_poll_calls: [u64; MAX_PARALLEL_POLLS],
    pending_target_polls: Vec<TargetPollCall>,
    reports: u64,
}

impl World {
    pub(crate) fn create_agent(&mut self, host: usize) {
        let spec = self.deployment.targets[host].clone();
        let target = Target::new(spec, self.now_us);
        self.agents.push(AgentNode {
            key: agent_key(host, 1),
            incarnation: 1,
            is_up: true,
            frozen_until_us: 0,
            partitioned_until_us: 0,
            evacuations: KnownEvacuations::default(),
            host: self.new_host(agent_key(host, 1)),
            target,
            late_share: 0.0,
            update_requests: Vec::new(),
            next_polls_us: [u64::MAX; MAX_PARALLEL_POLLS],
            target_poll_calls: [0; MAX_PARALLEL_POLLS],
            pending_target_polls: Vec::new(),
            reports: 0,
        });
        self.schedule(FIRST_REPORT_US, Event::Report { host });
        self.start_loops(host);
    }

    fn new_host(&self, key: ProcessKey) -> Host {
        Host::new(key, 1).separating_interfering_tasks(self.deployment.separates_interfering)
    }

    fn start_loops(&mut self, host: usize) {
        let incarnation = self.agents[host].incarnation;
        self.schedule(TICK_US, Event::AgentTick { host, incarnation });
        for lane in 0..MAX_PARALLEL_POLLS {
            self.schedule_poll(LOCAL_DELAY_US, host, incarnation, lane);
        }
    }

    pub(crate) fn restart_agent(&mut self, host: usize) {
        let key = agent_key(host, self.agents[host].incarnation + 1);
        let new_host = self.new_host(key);
        let node = &mut self.agents[host];
        node.incarnation += 1;
        node.key = key;
        node.is_up = true;
        // The restarted agent begins with the first token again, which the target may already have
        // fenced off, as after a clock that was set back.
        node.evacuations = KnownEvacuations::default();
        node.host = new_host;
        node.update_requests.clear();
        node.pending_target_polls.clear();
        self.start_loops(host);
        self.read_evacuations_at_agent(host);
    }

    fn schedule_poll(&mut self, in_us: u64, host: usize, incarnation: u32, lane: usize) {
        self.agents[host].next_polls_us[lane] = self.now_us + in_us;
        let poll = Event::TargetPoll {
            host,
            incarnation,
            lane,
        };
        self.schedule(in_us, poll);
    }

    pub(crate) fn handle_agent_event(&mut self, event: Event) {
        match event {
            Event::Orders {
                entry,
                host,
                epoch,
                call,
                orders,
            } => {
                if !self.agents[host].is_up {
                    return;
                }
                let number = orders.number;
                let update = self.update_host(host, |host, now_ms, actions| {
                    host.handle_orders(now_ms, orders, actions)
                });
                self.send_update(entry, host, epoch, call, Some(number), update);
            }
            Event::UpdateRequest {
                entry,
                host,
                epoch,
                call,
                request,
            } => {
                if !self.agents[host].is_up {
                    return;
                }
                self.agents[host]
                    .update_requests
                    .push(PendingUpdateRequest {
                        entry,
                        epoch,
                        call,
                        from: request.from,
                        last_seen_event: request.last_seen_event,
                    });
                let incarnation = self.agents[host].incarnation;
                let wait_us = u64::from(request.wait_ms) * 1_000;
                self.schedule(
                    wait_us,
                    Event::UpdateWaitExpired {
                        host,
                        incarnation,
                        call,
                    },
                );
                self.update_host(host, |host, now_ms, actions| {
                    host.update_requested(now_ms, &request, actions);
                });
            }
            Event::UpdateWaitExpired {
                host,
                incarnation,
                call,
            } => {
                if self.is_agent_current(host, incarnation) {
                    self.answer_update_requests(host, |pending| pending.call == call);
                }
            }
            Event::LinkClosed {
                entry,
                host,
                incarnation,
            } => {
                if self.is_agent_current(host, incarnation) {
                    let key = self.entries[entry].key;
                    self.update_host(host, |host, now_ms, _| host.connection_closed(now_ms, key));
                }
            }
            Event::AgentTick { host, incarnation } => {
                if self.is_agent_current(host, incarnation) {
                    self.update_host(host, |host, now_ms, actions| host.tick(now_ms, actions));
                    self.schedule(TICK_US, Event::AgentTick { host, incarnation });
                }
            }
            Event::AgentEvacuations {
                host,
                incarnation,
                evacuations,
            } => {
                if self.is_agent_current(host, incarnation) {
                    self.merge_at_agent(host, evacuations);
                }
            }
            Event::Report { host } => self.report(host),
            Event::StartResult {
                host,
                incarnation,
                task,
                number,
                outcome,
            } => {
                if self.is_agent_current(host, incarnation) {
                    self.report.timed_out_calls += u64::from(outcome == StartOutcome::Unanswered);
                    self.update_host(host, |host, now_ms, actions| {
                        host.handle_start_outcome(now_ms, task, number, outcome, actions);
                    });
                }
            }
            Event::StopResult {
                host,
                incarnation,
                task,
                number,
            } => {
                if self.is_agent_current(host, incarnation) {
                    self.update_host(host, |host, now_ms, _| {
                        host.stop_accepted(now_ms, task, number);
                    });
                }
            }
            Event::TargetPoll {
                host,
                incarnation,
                lane,
            } => {
                let is_due = self.agents[host].next_polls_us[lane] == self.now_us;
                if is_due && self.is_agent_current(host, incarnation) {
                    self.poll_target(host, lane);
                }
            }
            Event::TargetPollResult {
                host,
                poll,
                outcome,
            } => self.target_poll_ended(host, poll, outcome),
            Event::TargetCheckResult {
                host,
                incarnation,
                sent_ms,
                identity,
                outcome,
            } => {
                if self.is_agent_current(host, incarnation) {
                    self.update_host(host, |host, now_ms, actions| {
                        host.check_ended(now_ms, sent_ms, &identity, &outcome, actions);
                    });
                }
            }
            _ => self.handle_target_event(event),
        }
    }

    fn handle_target_event(&mut self, event: Event) {
        match event {
            Event::TargetStart {
                host,
                incarnation,
                order,
                is_answered,
            } => {
                let now_us = self.now_us;
                if !self.agents[host].target.is_up {
                    return;
                }
                self.end_due_target_runs(host);
                let outcome = self.agents[host].target.start(now_us, &order);
                self.record_start(host, &order, outcome);
                if is_answered {
                    let result = Event::StartResult {
                        host,
                        incarnation,
                        task: order.task,
                        number: order.number,
                        outcome,
                    };
                    self.schedule(LOCAL_DELAY_US, result);
                }
            }
            Event::TargetStop {
                host,
                incarnation,
                task,
                number,
                token,
                is_answered,
            } => {
                if !self.agents[host].target.is_up {
                    return;
                }
                self.end_due_target_runs(host);
                let now_us = self.now_us;
                self.agents[host].target.stop(now_us, task, number, token);
                self.update_target_runs(host);
                if is_answered {
                    let result = Event::StopResult {
                        host,
                        incarnation,
                        task,
                        number,
                    };
                    self.schedule(LOCAL_DELAY_US, result);
                }
            }
            Event::TargetPollArrives {
                host,
                request,
                poll,
            } => {
                if !self.agents[host].target.is_up {
                    let outcome = TargetPollOutcome::NobodyListens;
                    self.end_target_poll(host, poll, outcome, LOCAL_DELAY_US);
                    return;
                }
                self.end_due_target_runs(host);
                let now_us = self.now_us;
                if !self.agents[host].target.accept_poll(now_us, &request) {
                    let outcome = TargetPollOutcome::StaleToken;
                    self.end_target_poll(host, poll, outcome, LOCAL_DELAY_US);
                    return;
                }
                self.agents[host].pending_target_polls.push(poll);
                let wait_us = request.wait_ms * 1_000;
                let call = poll.call;
                self.schedule(wait_us, Event::TargetPollWaitExpired { host, call });
                self.update_target_runs(host);
            }
            Event::TargetPollWaitExpired { host, call } => {
                self.answer_target_polls(host, |poll| poll.call == call);
            }
            Event::RunEnds { host } if self.agents[host].target.is_up => {
                self.end_due_target_runs(host);
                self.update_target_runs(host);
            }
            _ => {}
        }
    }

    fn is_agent_current(&self, host: usize, incarnation: u32) -> bool {
        let node = &self.agents[host];
        node.is_up && node.incarnation == incarnation
    }

    pub(crate) fn update_host<T>(
        &mut self,
        host: usize,
        event: impl FnOnce(&mut Host, u64, &mut Vec<TargetCall>) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        let mut actions = Vec::new();
        let result = event(&mut self.agents[host].host, now_ms, &mut actions);
        for action in actions {
            self.call_target(host, &action);
        }
        let node = &self.agents[host];
        let ready: Vec<u64> = node
            .update_requests
            .iter()
            .filter(|pending| {
                node.host
                    .has_update(now_ms, pending.from, pending.last_seen_event)
            })
            .map(|pending| pending.call)
            .collect();
        if !ready.is_empty() {
            self.answer_update_requests(host, |pending| ready.contains(&pending.call));
        }
        result
    }

    fn answer_update_requests(
        &mut self,
        host: usize,
        is_due: impl Fn(&PendingUpdateRequest) -> bool,
    ) {
        let update_requests = std::mem::take(&mut self.agents[host].update_requests);
        for pending in update_requests {
            if !is_due(&pending) {
                self.agents[host].update_requests.push(pending);
                continue;
            }
            let now_ms = self.now_ms();
            let update = self.agents[host].host.update_for(now_ms, pending.from);
            self.send_update(
                pending.entry,
                host,
                pending.epoch,
                pending.call,
                None,
                update,
            );
        }
    }

    fn send_update(
        &mut self,
        entry: usize,
        host: usize,
        epoch: u64,
        call: u64,
        orders: Option<u64>,
        update: model::HostUpdate,
    ) {
        let at_us = self.arrival_us(entry, host);
        self.report.messages += 1;
        self.schedule_at(
            at_us,
            Event::HostUpdate {
                entry,
                host,
                epoch,
                call,
                orders,
                update: Box::new(update),
            },
        );
    }

    fn call_target(&mut self, host: usize, action: &TargetCall) {
        let late_share = self.agents[host].late_share;
        let is_late = late_share > 0.0 && self.rng.random::<f64>() < late_share;
        let late_us = self.rng.random_range(LATE_DELAY_US.0..=LATE_DELAY_US.1);
        let delay_us = if is_late { late_us } else { LOCAL_DELAY_US };
        let incarnation = self.agents[host].incarnation;
        let timeout_us = TARGET_CALL_TIMEOUT_MS * 1_000;
        match action {
            TargetCall::Check { identity, .. } => self.check_target(host, identity, is_late),
            &TargetCall::Start {
                task,
                number,
                lease_end_ms,
                token,
                ..
            } => {
                let job = &self.jobs[self.job_by_id[&task.job]];
                let order = TargetStart {
                    task,
                    number,
                    kind: job.kind,
                    needs: job.request.steps[0].needs,
                    work_us: job.work_us[usize::from(task.index)],
                    lease_end_ms,
                    token,
                };
                if !self.agents[host].target.is_up {
                    let refused = Event::StartResult {
                        host,
                        incarnation,
                        task,
                        number,
                        outcome: StartOutcome::NobodyListens,
                    };
                    self.schedule(2 * LOCAL_DELAY_US, refused);
                    return;
                }
                let is_answered = !is_late;
                if !is_answered {
                    let outcome = StartOutcome::Unanswered;
                    let result = Event::StartResult {
                        host,
                        incarnation,
                        task,
                        number,
                        outcome,
                    };
                    self.schedule(timeout_us, result);
                }
                let arrives = Event::TargetStart {
                    host,
                    incarnation,
                    order,
                    is_answered,
                };
                self.schedule(delay_us, arrives);
            }
            &TargetCall::Stop {
                task,
                number,
                token,
                ..
            } => {
                self.report.timed_out_calls += u64::from(is_late);
                let arrives = Event::TargetStop {
                    host,
                    incarnation,
                    task,
                    number,
                    token,
                    is_answered: !is_late,
                };
                self.schedule(delay_us, arrives);
            }
        }
    }

    /// Schedules the target's answer to a question about its incarnation.
    fn check_target(&mut self, host: usize, identity: &TargetIdentity, is_late: bool) {
        let incarnation = self.agents[host].incarnation;
        let target = &mut self.agents[host].target;
        let (outcome, delay_us) = if is_late {
            (
                TargetPollOutcome::Unanswered,
                TARGET_CALL_TIMEOUT_MS * 1_000,
            )
        } else if !target.is_up {
            (TargetPollOutcome::NobodyListens, 2 * LOCAL_DELAY_US)
        } else {
            (target.poll_answer(self.now_us), 2 * LOCAL_DELAY_US)
        };
        let result = Event::TargetCheckResult {
            host,
            incarnation,
            sent_ms: self.now_ms(),
            identity: identity.clone(),
            outcome,
        };
        self.schedule(delay_us, result);
    }

    fn poll_target(&mut self, host: usize, lane: usize) {
        let now_ms = self.now_ms();
        let incarnation = self.agents[host].incarnation;
        if self.agents[host].host.poll_count(now_ms) <= lane {
            self.schedule_poll(TARGET_POLL_RETRY_US, host, incarnation, lane);
            return;
        }
        let request = self.update_host(host, |host, now_ms, actions| {
            host.target_poll(now_ms, actions)
        });
        let call = self.new_call_id();
        let node = &mut self.agents[host];
        node.next_polls_us[lane] = u64::MAX;
        node.target_poll_calls[lane] = call;
        let is_late = node.late_share > 0.0 && self.rng.random::<f64>() < node.late_share;
        let limit_us = (request.wait_ms + request.timeout_ms) * 1_000;
        let poll = TargetPollCall {
            incarnation,
            lane,
            call,
            sent_ms: now_ms,
        };
        if !is_late {
            let arrives = Event::TargetPollArrives {
                host,
                request,
                poll,
            };
            self.schedule(LOCAL_DELAY_US, arrives);
        }
        self.end_target_poll(host, poll, TargetPollOutcome::Unanswered, limit_us);
    }

    /// Schedules the result of a poll for the agent after a delay.
    fn end_target_poll(
        &mut self,
        host: usize,
        poll: TargetPollCall,
        outcome: TargetPollOutcome,
        after_us: u64,
    ) {
        let result = Event::TargetPollResult {
            host,
            poll,
            outcome,
        };
        self.schedule(after_us, result);
    }

    fn target_poll_ended(&mut self, host: usize, poll: TargetPollCall, outcome: TargetPollOutcome) {
        let is_open = self.agents[host].target_poll_calls[poll.lane] == poll.call;
        if !self.is_agent_current(host, poll.incarnation) || !is_open {
            return;
        }
        self.agents[host].target_poll_calls[poll.lane] = 0;
        let is_answered = matches!(outcome, TargetPollOutcome::Answered(_));
        let is_timeout = outcome == TargetPollOutcome::Unanswered;
        self.report.timed_out_calls += u64::from(is_timeout);
        if is_answered || poll.lane == 0 {
            self.update_host(host, |host, now_ms, actions| {
                host.poll_ended(now_ms, poll.sent_ms, outcome, actions);
            });
        }
        let state = &self.agents[host].host;
        let next_ms = if poll.lane == 0 {
            state.next_poll_at_ms()
        } else {
            state.next_parallel_poll_at_ms(self.now_ms())
        };
        let next_us = next_ms * 1_000;
        let mut pause_us = next_us.saturating_sub(self.now_us);
        // Only the failures of the first lane are reported to the host.
        if !is_answered && !is_timeout && poll.lane > 0 {
            pause_us = pause_us.max(TARGET_POLL_RETRY_US);
        }
        self.schedule_poll(pause_us, host, poll.incarnation, poll.lane);
    }

    /// Answers the pending polls of a target that `is_due` selects.
    fn answer_target_polls(&mut self, host: usize, is_due: impl Fn(&TargetPollCall) -> bool) {
        let pending = std::mem::take(&mut self.agents[host].pending_target_polls);
        for poll in pending {
            if is_due(&poll) {
                let outcome = self.agents[host].target.poll_answer(self.now_us);
                self.end_target_poll(host, poll, outcome, LOCAL_DELAY_US);
            } else {
                self.agents[host].pending_target_polls.push(poll);
            }
        }
    }

    fn end_due_target_runs(&mut self, host: usize) {
        let now_us = self.now_us;
        let before: Vec<TaskRef> = self.agents[host].target.runs.keys().copied().collect();
        self.agents[host].target.end_due_runs(now_us);
        for task in before {
            if !self.agents[host].target.runs.contains_key(&task) {
                self.record_end(host, task);
            }
        }
    }

    pub(crate) fn update_target_runs(&mut self, host: usize) {
        let gone: Vec<TaskRef> = self
            .running
            .iter()
            .filter(|(task, places)| {
                places.iter().any(|(at, _)| *at == host)
                    && !self.agents[host].target.runs.contains_key(task)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in gone {
            self.record_end(host, task);
        }
        let node = &self.agents[host];
        if node.target.has_ends() {
            self.answer_target_polls(host, |_| true);
        }
        if let Some(at_us) = self.agents[host].target.next_end_us() {
            self.schedule_at(at_us.max(self.now_us), Event::RunEnds { host });
        }
    }

    fn record_start(&mut self, host: usize, order: &TargetStart, outcome: StartOutcome) {
        if outcome == StartOutcome::Refused(StartRefusal::NoRoom) {
            self.report.rejected_starts += 1;
        }
        let is_known = self
            .running
            .get(&order.task)
            .is_some_and(|places| places.iter().any(|(at, _)| *at == host));
        if outcome != StartOutcome::Started || is_known {
            self.update_target_runs(host);
            return;
        }
        self.report.starts += 1;
        self.check_evacuated_start(host);
        let elsewhere: Vec<usize> = self
            .running
            .get(&order.task)
            .into_iter()
            .flatten()
            .map(|(at, _)| *at)
            .filter(|at| self.agents[*at].target.is_up)
            .collect();
        if let Some(other) = elsewhere.first() {
            let task = order.task;
            self.record_violation(format!(
                "task {task:?} starts on host {host} while it runs on host {other}"
            ));
        }
        let now_us = self.now_us;
        self.running
            .entry(order.task)
            .or_default()
            .push((host, now_us));
        let job = self.job_by_id[&order.task.job];
        let job = &mut self.jobs[job];
        job.has_started = true;
        if job.refused_attempt > 0 && job.refused_attempt == job.attempts {
            let id = job.id;
            self.record_violation(format!("job {id} starts after it was refused as not run"));
        }
        if self.crashes_target(order.task) {
            self.schedule_crash(host);
        }
        self.update_target_runs(host);
    }

    /// Returns whether a task that starts crashes its target, and counts the crash.
    fn crashes_target(&mut self, task: TaskRef) -> bool {
        let job = &mut self.jobs[self.job_by_id[&task.job]];
        if !job.is_crashing || task.index > 0 {
            return false;
        }
        job.crashes += 1;
        let most_crashes = self.report.most_crashes_of_a_task.max(job.crashes);
        self.report.most_crashes_of_a_task = most_crashes;
        true
    }

    fn schedule_crash(&mut self, host: usize) {
        let crash = Fault {
            kind: FaultKind::CrashTarget,
            place: host,
            at_ms: 0,
            for_ms: RESTART_MS,
            strength: 1.0,
        };
        self.schedule(CRASH_DELAY_US, Event::FaultStart(crash.clone()));
        let back_us = CRASH_DELAY_US + RESTART_MS * 1_000;
        self.schedule(back_us, Event::FaultEnd(crash));
    }

    /// Crashes a target: its runs are gone, and its connections are reset.
    pub(crate) fn crash_target(&mut self, host: usize) {
        let node = &mut self.agents[host];
        node.target.crash();
        let pending = std::mem::take(&mut node.pending_target_polls);
        for poll in pending {
            let outcome = TargetPollOutcome::Inconclusive;
            self.end_target_poll(host, poll, outcome, LOCAL_DELAY_US);
        }
        self.update_target_runs(host);
    }

    fn record_end(&mut self, host: usize, task: TaskRef) {
        let Some(places) = self.running.get_mut(&task) else {
            return;
        };
        let Some(at) = places.iter().position(|(at, _)| *at == host) else {
            return;
        };
        let (_, started_us) = places.swap_remove(at);
        if places.is_empty() {
            self.running.remove(&task);
        }
        let job = &self.jobs[self.job_by_id[&task.job]];
        let cores = f64::from(job.request.steps[0].needs.cpu_millis) / 1_000.0;
        let used = cores * (self.now_us - started_us) as f64 / 1_000_000.0;
        self.report.used_core_s += used;
        if job.is_over {
            self.report.wasted_core_s += used;
        }
    }

    fn report(&mut self, host: usize) {
        self.schedule(REPORT_US, Event::Report { host });
        let node = &mut self.agents[host];
        if !node.target.is_up || !node.is_up {
            return;
        }
        node.reports += 1;
        let report = TargetReport {
            instance: Rc::from("target"),
            born_unix_ms: node.target.born_unix_ms,
            sequence: node.reports,
            group: Rc::from("group"),
            labels: Vec::new(),
            capacity: node.target.spec.capacity,
            is_draining: false,
            leaves_in_ms: None,
        };
        self.update_host(host, |host, now_ms, actions| {
            host.handle_target_report(now_ms, report, actions);
        });
        self.end_poll_pause(host);
    }

    /// Polls a target that has reported without waiting for the end of a pause.
    fn end_poll_pause(&mut self, host: usize) {
        let node = &self.agents[host];
        let next_us = node.next_polls_us[0];
        if next_us > self.now_us && next_us != u64::MAX {
            self.schedule_poll(0, host, node.incarnation, 0);
        }
    }
}

fn agent_key(host: usize, incarnation: u32) -> ProcessKey {
    ProcessKey(1 + host as u64 * 1_000 + u64::from(incarnation))
}
