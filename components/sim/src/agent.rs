//! Agents and their targets.

use hosting::{
    CALL_TIMEOUT_MS, Host, HostAction, ORDER_TIMEOUT_MS, StartOutcome, StartRefusal,
    TargetPollOutcome, TargetReport,
};
use model::{ProcessKey, TaskRef};
use rand::Rng;
use std::rc::Rc;

use crate::event::Event;
use crate::target::{Target, TargetStart};
use crate::world::World;

/// Interval of an agent's timer, in microseconds.
const TICK_US: u64 = 20_000;

/// Delay between an agent and the target beside it, in microseconds.
const LOCAL_US: u64 = 200;

/// Pause of an agent after a question that failed at once, in microseconds.
const TARGET_POLL_RETRY_US: u64 = 20_000;

/// Interval of a target's reports, in microseconds.
const REPORT_US: u64 = 1_500_000;

/// Time from a target's start to its first report, in microseconds.
const FIRST_REPORT_US: u64 = 100_000;

/// Delay of an order that is carried out late, in microseconds: least and most.
const LATE_US: (u64, u64) = (100_000, 12_000_000);

/// A question of an entry that waits for an update.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenQuestion {
    entry: usize,
    epoch: u64,
    call: u64,
    from: ProcessKey,
    last_seen_event: u64,
}

/// A question of an agent to its target.
#[derive(Debug, Clone, Copy)]
struct TargetPollCall {
    life: u32,
    call: u64,
    sent_ms: u64,
}

/// An agent and its target.
pub(crate) struct AgentNode {
    pub(crate) key: ProcessKey,
    pub(crate) life: u32,
    pub(crate) is_up: bool,
    pub(crate) frozen_until_us: u64,
    pub(crate) cut_until_us: u64,
    pub(crate) host: Host,
    pub(crate) target: Target,
    pub(crate) late_share: f64,
    pub(crate) questions: Vec<OpenQuestion>,
    target_poll_call: u64,
    open_target_poll: Option<TargetPollCall>,
    reports: u64,
}

impl World {
    pub(crate) fn create_agent(&mut self, host: usize) {
        let spec = self.deployment.targets[host].clone();
        let target = Target::new(spec, self.now_us);
        self.agents.push(AgentNode {
            key: agent_key(host, 1),
            life: 1,
            is_up: true,
            frozen_until_us: 0,
            cut_until_us: 0,
            host: Host::new(agent_key(host, 1), 1),
            target,
            late_share: 0.0,
            questions: Vec::new(),
            target_poll_call: 0,
            open_target_poll: None,
            reports: 0,
        });
        self.schedule(FIRST_REPORT_US, Event::Report { host });
        self.start_loops(host);
    }

    fn start_loops(&mut self, host: usize) {
        let life = self.agents[host].life;
        self.schedule(TICK_US, Event::AgentTick { host, life });
        self.schedule(LOCAL_US, Event::TargetPoll { host, life });
    }

    pub(crate) fn restart_agent(&mut self, host: usize) {
        let node = &mut self.agents[host];
        node.life += 1;
        node.key = agent_key(host, node.life);
        node.is_up = true;
        // The clock may have been set back: the first token may be too low.
        node.host = Host::new(node.key, 1);
        node.questions.clear();
        node.open_target_poll = None;
        self.start_loops(host);
    }

    pub(crate) fn agent_event(&mut self, event: Event) {
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
                let update = self.decide(host, |host, now_ms, actions| {
                    host.order(now_ms, orders, actions)
                });
                self.send_update(entry, host, epoch, call, Some(number), update);
            }
            Event::Question {
                entry,
                host,
                epoch,
                call,
                request,
            } => {
                if !self.agents[host].is_up {
                    return;
                }
                self.agents[host].questions.push(OpenQuestion {
                    entry,
                    epoch,
                    call,
                    from: request.from,
                    last_seen_event: request.last_seen_event,
                });
                let life = self.agents[host].life;
                let wait_us = u64::from(request.wait_ms) * 1_000;
                self.schedule(wait_us, Event::QuestionDue { host, life, call });
                self.decide(host, |host, now_ms, actions| {
                    host.update_requested(now_ms, &request, actions);
                });
            }
            Event::QuestionDue { host, life, call } => {
                if self.is_agent(host, life) {
                    self.answer_questions(host, |question| question.call == call);
                }
            }
            Event::LinkClosed { entry, host, life } => {
                if self.is_agent(host, life) {
                    let key = self.entries[entry].key;
                    self.decide(host, |host, now_ms, _| host.connection_closed(now_ms, key));
                }
            }
            Event::AgentTick { host, life } => {
                if self.is_agent(host, life) {
                    self.decide(host, |host, now_ms, actions| host.tick(now_ms, actions));
                    self.schedule(TICK_US, Event::AgentTick { host, life });
                }
            }
            Event::Report { host } => self.report(host),
            Event::StartResult {
                host,
                life,
                task,
                number,
                outcome,
            } => {
                if self.is_agent(host, life) {
                    self.decide(host, |host, now_ms, actions| {
                        host.started(now_ms, task, number, outcome, actions);
                    });
                }
            }
            Event::StopResult {
                host,
                life,
                task,
                number,
            } => {
                if self.is_agent(host, life) {
                    self.decide(host, |host, now_ms, _| {
                        host.stop_answered(now_ms, task, number);
                    });
                }
            }
            Event::TargetPoll { host, life } => {
                if self.is_agent(host, life) {
                    self.poll_target(host);
                }
            }
            Event::TargetPollResult {
                host,
                life,
                call,
                sent_ms,
                outcome,
            } => self.target_poll_ended(host, life, call, sent_ms, outcome),
            _ => self.target_event(event),
        }
    }

    fn target_event(&mut self, event: Event) {
        match event {
            Event::TargetStart {
                host,
                life,
                order,
                is_answered,
            } => {
                let now_us = self.now_us;
                if !self.agents[host].target.is_up {
                    return;
                }
                self.settle_target(host);
                let outcome = self.agents[host].target.start(now_us, &order);
                self.note_start(host, &order, outcome);
                if is_answered {
                    let result = Event::StartResult {
                        host,
                        life,
                        task: order.task,
                        number: order.number,
                        outcome,
                    };
                    self.schedule(LOCAL_US, result);
                }
            }
            Event::TargetStop {
                host,
                life,
                task,
                number,
                token,
                is_answered,
            } => {
                if !self.agents[host].target.is_up {
                    return;
                }
                self.settle_target(host);
                let now_us = self.now_us;
                self.agents[host].target.stop(now_us, task, number, token);
                self.after_target(host);
                if is_answered {
                    let result = Event::StopResult {
                        host,
                        life,
                        task,
                        number,
                    };
                    self.schedule(LOCAL_US, result);
                }
            }
            Event::TargetPollArrives {
                host,
                life,
                call,
                request,
                sent_ms,
            } => {
                if !self.agents[host].target.is_up {
                    let outcome = TargetPollOutcome::NobodyListens;
                    self.end_target_poll(
                        host,
                        TargetPollCall {
                            life,
                            call,
                            sent_ms,
                        },
                        outcome,
                        LOCAL_US,
                    );
                    return;
                }
                self.settle_target(host);
                let now_us = self.now_us;
                if !self.agents[host].target.asked(now_us, &request) {
                    let outcome = TargetPollOutcome::StaleToken;
                    self.end_target_poll(
                        host,
                        TargetPollCall {
                            life,
                            call,
                            sent_ms,
                        },
                        outcome,
                        LOCAL_US,
                    );
                    return;
                }
                self.agents[host].open_target_poll = Some(TargetPollCall {
                    life,
                    call,
                    sent_ms,
                });
                let wait_us = request.wait_ms * 1_000;
                self.schedule(wait_us, Event::TargetPollDue { host, call });
                self.after_target(host);
            }
            Event::TargetPollDue { host, call } if self.is_target_poll_open(host, call) => {
                self.answer_target_poll(host);
            }
            Event::RunEnds { host } if self.agents[host].target.is_up => {
                self.settle_target(host);
                self.after_target(host);
            }
            _ => {}
        }
    }

    fn is_target_poll_open(&self, host: usize, call: u64) -> bool {
        let open = self.agents[host].open_target_poll;
        open.is_some_and(|open| open.call == call)
    }

    fn is_agent(&self, host: usize, life: u32) -> bool {
        let node = &self.agents[host];
        node.is_up && node.life == life
    }

    fn decide<T>(
        &mut self,
        host: usize,
        event: impl FnOnce(&mut Host, u64, &mut Vec<HostAction>) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        let mut actions = Vec::new();
        let result = event(&mut self.agents[host].host, now_ms, &mut actions);
        for action in actions {
            self.call_target(host, &action);
        }
        let node = &self.agents[host];
        let ready: Vec<u64> = node
            .questions
            .iter()
            .filter(|question| {
                node.host
                    .has_update(now_ms, question.from, question.last_seen_event)
            })
            .map(|question| question.call)
            .collect();
        if !ready.is_empty() {
            self.answer_questions(host, |question| ready.contains(&question.call));
        }
        result
    }

    fn answer_questions(&mut self, host: usize, is_due: impl Fn(&OpenQuestion) -> bool) {
        let questions = std::mem::take(&mut self.agents[host].questions);
        for question in questions {
            if !is_due(&question) {
                self.agents[host].questions.push(question);
                continue;
            }
            let now_ms = self.now_ms();
            let update = self.agents[host].host.update_for(now_ms, question.from);
            self.send_update(
                question.entry,
                host,
                question.epoch,
                question.call,
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
                update,
            },
        );
    }

    fn call_target(&mut self, host: usize, action: &HostAction) {
        let late_share = self.agents[host].late_share;
        let is_late = late_share > 0.0 && self.rng.random::<f64>() < late_share;
        let late_us = self.rng.random_range(LATE_US.0..=LATE_US.1);
        let delay_us = if is_late { late_us } else { LOCAL_US };
        let life = self.agents[host].life;
        let timeout_us = ORDER_TIMEOUT_MS * 1_000;
        match *action {
            HostAction::Start {
                task,
                number,
                lease_end_ms,
                token,
                ..
            } => {
                let job = &self.jobs[self.job_of[&task.job]];
                let order = TargetStart {
                    task,
                    number,
                    needs: job.request.steps[0].needs,
                    work_us: job.work_us[usize::from(task.index)],
                    lease_end_ms,
                    token,
                };
                let is_answered = !is_late && self.agents[host].target.is_up;
                if !is_answered {
                    let outcome = StartOutcome::Unanswered;
                    let result = Event::StartResult {
                        host,
                        life,
                        task,
                        number,
                        outcome,
                    };
                    self.schedule(timeout_us, result);
                }
                let arrives = Event::TargetStart {
                    host,
                    life,
                    order,
                    is_answered,
                };
                self.schedule(delay_us, arrives);
            }
            HostAction::Stop {
                task,
                number,
                token,
            } => {
                let arrives = Event::TargetStop {
                    host,
                    life,
                    task,
                    number,
                    token,
                    is_answered: !is_late,
                };
                self.schedule(delay_us, arrives);
            }
        }
    }

    fn poll_target(&mut self, host: usize) {
        let request = self.decide(host, |host, now_ms, actions| {
            host.target_poll(now_ms, actions)
        });
        let call = self.new_call();
        let sent_ms = self.now_ms();
        let node = &mut self.agents[host];
        node.target_poll_call = call;
        let life = node.life;
        let is_late = node.late_share > 0.0 && self.rng.random::<f64>() < node.late_share;
        let limit_us = (request.wait_ms + CALL_TIMEOUT_MS) * 1_000;
        if !is_late {
            let arrives = Event::TargetPollArrives {
                host,
                life,
                call,
                request,
                sent_ms,
            };
            self.schedule(LOCAL_US, arrives);
        }
        let poll = TargetPollCall {
            life,
            call,
            sent_ms,
        };
        self.end_target_poll(host, poll, TargetPollOutcome::Unanswered, limit_us);
    }

    /// Brings the result of a question to the agent after a time.
    fn end_target_poll(
        &mut self,
        host: usize,
        poll: TargetPollCall,
        outcome: TargetPollOutcome,
        after_us: u64,
    ) {
        let result = Event::TargetPollResult {
            host,
            life: poll.life,
            call: poll.call,
            sent_ms: poll.sent_ms,
            outcome,
        };
        self.schedule(after_us, result);
    }

    fn target_poll_ended(
        &mut self,
        host: usize,
        life: u32,
        call: u64,
        sent_ms: u64,
        outcome: TargetPollOutcome,
    ) {
        if !self.is_agent(host, life) || self.agents[host].target_poll_call != call {
            return;
        }
        self.agents[host].target_poll_call = 0;
        let is_answered = matches!(outcome, TargetPollOutcome::Answered(_));
        self.decide(host, |host, now_ms, actions| {
            host.poll_answered(now_ms, sent_ms, outcome, actions);
        });
        let pause_us = if is_answered { 0 } else { TARGET_POLL_RETRY_US };
        self.schedule(pause_us, Event::TargetPoll { host, life });
    }

    fn answer_target_poll(&mut self, host: usize) {
        let Some(poll) = self.agents[host].open_target_poll.take() else {
            return;
        };
        let outcome = self.agents[host].target.answer(self.now_us);
        self.end_target_poll(host, poll, outcome, LOCAL_US);
    }

    fn settle_target(&mut self, host: usize) {
        let now_us = self.now_us;
        let before: Vec<TaskRef> = self.agents[host].target.runs.keys().copied().collect();
        self.agents[host].target.settle(now_us);
        for task in before {
            if !self.agents[host].target.runs.contains_key(&task) {
                self.note_end(host, task);
            }
        }
    }

    pub(crate) fn after_target(&mut self, host: usize) {
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
            self.note_end(host, task);
        }
        let node = &self.agents[host];
        if node.open_target_poll.is_some() && node.target.has_ends() {
            self.answer_target_poll(host);
        }
        if let Some(at_us) = self.agents[host].target.next_end_us() {
            self.schedule_at(at_us.max(self.now_us), Event::RunEnds { host });
        }
    }

    fn note_start(&mut self, host: usize, order: &TargetStart, outcome: StartOutcome) {
        if outcome == StartOutcome::Refused(StartRefusal::NoRoom) {
            self.report.rejected_starts += 1;
        }
        let is_known = self
            .running
            .get(&order.task)
            .is_some_and(|places| places.iter().any(|(at, _)| *at == host));
        if outcome != StartOutcome::Started || is_known {
            self.after_target(host);
            return;
        }
        self.report.starts += 1;
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
            self.violated(format!(
                "task {task:?} starts on host {host} while it runs on host {other}"
            ));
        }
        let now_us = self.now_us;
        self.running
            .entry(order.task)
            .or_default()
            .push((host, now_us));
        let job = self.job_of[&order.task.job];
        let job = &mut self.jobs[job];
        job.has_started = true;
        if job.was_refused > 0 && job.was_refused == job.copies {
            let id = job.id;
            self.violated(format!("job {id} starts after it was refused as not run"));
        }
        self.after_target(host);
    }

    fn note_end(&mut self, host: usize, task: TaskRef) {
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
        let job = &self.jobs[self.job_of[&task.job]];
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
        };
        self.decide(host, |host, now_ms, actions| {
            host.report(now_ms, report, actions);
        });
    }
}

fn agent_key(host: usize, life: u32) -> ProcessKey {
    ProcessKey(1 + host as u64 * 1_000 + u64::from(life))
}
