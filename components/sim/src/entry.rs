//! Entries, their connections to hosts, and the requests of their clients.

use model::{KnownEvacuations, NotStartedReason, ProcessKey, RunEvent};
use rand::Rng;
use rustc_hash::FxHashMap;
use scheduling::{
    HostInfo, HostSlot, JobSlot, Scheduler, SchedulerAction, SubmitOutcome, UPDATE_TIMEOUT_MS,
    Verdict,
};
use std::rc::Rc;

use crate::evacuation::domain_name;
use crate::event::Event;
use crate::world::{WARMUP_MS, World};

/// Interval of an entry's timer, in microseconds.
const TICK_US: u64 = 20_000;

/// Delay before an entry reconnects to a host, in microseconds.
const RECONNECT_US: u64 = 30_000;

/// Time to establish a connection, in microseconds.
const CONNECT_US: u64 = 5_000;

/// Timeout of an entry for the answer to orders, in microseconds.
const ORDER_TIMEOUT_US: u64 = 300_000;

/// Gap in an entry's event loop after which it treats its process as suspended and its jobs as
/// lost, in milliseconds.
const SUSPENSION_GAP_MS: u64 = 400;

/// State of an entry.
pub(crate) struct EntryNode {
    pub(crate) key: ProcessKey,
    pub(crate) incarnation: u32,
    pub(crate) is_up: bool,
    pub(crate) frozen_until_us: u64,
    pub(crate) partitioned_until_us: u64,
    pub(crate) scheduler: Scheduler,
    pub(crate) evacuations: KnownEvacuations,
    pub(crate) slots: Vec<HostSlot>,
    pub(crate) waiting: FxHashMap<JobSlot, usize>,
    last_turn_ms: u64,
}

impl World {
    pub(crate) fn create_entry(&mut self, entry: usize) {
        let incarnation = self
            .entries
            .get(entry)
            .map_or(1, |node| node.incarnation + 1);
        let key = ProcessKey(1_000_000 + entry as u64 * 1_000 + u64::from(incarnation));
        let mut scheduler = Scheduler::new(key, "domain", 1.0)
            .with_placement_rule(self.deployment.rule)
            .separating_interfering_tasks(self.deployment.separates_interfering);
        let hosts = 0..self.deployment.targets.len();
        let slots: Vec<HostSlot> = hosts
            .map(|host| {
                let info = HostInfo {
                    name: Rc::from(format!("host-{host}")),
                    address: Rc::from(format!("host-{host}")),
                    failure_domain: domain_name(self.domain_of(host)),
                };
                scheduler.add_host(self.now_ms(), info)
            })
            .collect();
        let node = EntryNode {
            key,
            incarnation,
            is_up: true,
            frozen_until_us: 0,
            partitioned_until_us: self
                .entries
                .get(entry)
                .map_or(0, |node| node.partitioned_until_us),
            scheduler,
            evacuations: KnownEvacuations::default(),
            slots,
            waiting: FxHashMap::default(),
            last_turn_ms: self.now_ms(),
        };
        if entry < self.entries.len() {
            self.entries[entry] = node;
        } else {
            self.entries.push(node);
        }
        for host in 0..self.deployment.targets.len() {
            self.schedule(
                1_000,
                Event::Connect {
                    entry,
                    host,
                    incarnation,
                },
            );
        }
        self.schedule(TICK_US, Event::EntryTick { entry, incarnation });
        self.read_evacuations_at_entry(entry);
    }

    pub(crate) fn handle_entry_event(&mut self, event: Event) {
        match event {
            Event::EntryTick { entry, incarnation } => {
                if !self.is_entry_current(entry, incarnation) {
                    return;
                }
                self.check_suspension(entry);
                let now_ms = self.now_ms();
                let mut actions = Vec::new();
                self.entries[entry].scheduler.tick(now_ms, &mut actions);
                self.perform(entry, actions);
                self.schedule(TICK_US, Event::EntryTick { entry, incarnation });
            }
            Event::Connect {
                entry,
                host,
                incarnation,
            } if self.is_entry_current(entry, incarnation) => {
                self.connect(entry, host);
            }
            Event::CallTimeout {
                entry,
                host,
                epoch,
                call,
            } => {
                let link = &self.links[entry][host];
                let is_open = link.orders_call == Some(call) || link.update_call == Some(call);
                if link.epoch == epoch && is_open {
                    self.disconnect(entry, host);
                }
            }
            Event::EntryEvacuations {
                entry,
                incarnation,
                evacuations,
            } if self.is_entry_current(entry, incarnation) => {
                self.merge_at_entry(entry, evacuations);
            }
            Event::HostUpdate {
                entry,
                host,
                epoch,
                call,
                orders,
                update,
            } => self.handle_update(entry, host, epoch, call, orders, &update),
            _ => {}
        }
    }

    fn is_entry_current(&self, entry: usize, incarnation: u32) -> bool {
        let node = &self.entries[entry];
        node.is_up && node.incarnation == incarnation
    }

    fn check_suspension(&mut self, entry: usize) {
        let now_ms = self.now_ms();
        let node = &mut self.entries[entry];
        let gap_ms = now_ms - node.last_turn_ms;
        node.last_turn_ms = now_ms;
        if gap_ms >= SUSPENSION_GAP_MS {
            let mut actions = Vec::new();
            node.scheduler.abandon_jobs(now_ms, &mut actions);
            self.perform(entry, actions);
        }
    }

    /// Connects to a host if the scheduler wants the connection, or disconnects from it otherwise.
    fn update_link(&mut self, entry: usize, slot: HostSlot) {
        let node = &self.entries[entry];
        let Some(host) = node.slots.iter().position(|at| *at == slot) else {
            return;
        };
        if node.scheduler.is_connection_wanted(slot) {
            let incarnation = node.incarnation;
            self.schedule(
                CONNECT_US,
                Event::Connect {
                    entry,
                    host,
                    incarnation,
                },
            );
        } else {
            self.disconnect(entry, host);
        }
    }

    fn connect(&mut self, entry: usize, host: usize) {
        let node = &self.entries[entry];
        if !node.scheduler.is_connection_wanted(node.slots[host])
            || self.links[entry][host].is_connected
        {
            return;
        }
        let incarnation = node.incarnation;
        let is_reachable = !self.is_partitioned(entry, host)
            && self.agents[host].is_up
            && self.agents[host].frozen_until_us <= self.now_us;
        if !is_reachable {
            self.schedule(
                RECONNECT_US,
                Event::Connect {
                    entry,
                    host,
                    incarnation,
                },
            );
            return;
        }
        let link = &mut self.links[entry][host];
        link.epoch += 1;
        link.is_connected = true;
        link.orders_call = None;
        link.update_call = None;
        let agent = self.agents[host].key;
        let node = &mut self.entries[entry];
        node.scheduler.host_connected(node.slots[host], agent);
        self.request_update(entry, host);
        self.share_evacuations(entry, host);
        self.send_orders(entry, host);
    }

    /// Closes a link at the entry; the agent is notified after the network delay.
    pub(crate) fn disconnect(&mut self, entry: usize, host: usize) {
        let link = &mut self.links[entry][host];
        if !link.is_connected {
            return;
        }
        link.is_connected = false;
        link.epoch += 1;
        let node = &mut self.entries[entry];
        node.scheduler.host_disconnected(node.slots[host]);
        let incarnation = node.incarnation;
        self.schedule(
            RECONNECT_US,
            Event::Connect {
                entry,
                host,
                incarnation,
            },
        );
        self.notify_link_closed(entry, host);
    }

    pub(crate) fn notify_link_closed(&mut self, entry: usize, host: usize) {
        let at_us = self.arrival_us(entry, host);
        let incarnation = self.agents[host].incarnation;
        self.schedule_at(
            at_us,
            Event::LinkClosed {
                entry,
                host,
                incarnation,
            },
        );
    }

    fn request_update(&mut self, entry: usize, host: usize) {
        let now_ms = self.now_ms();
        let node = &self.entries[entry];
        let Some(request) = node.scheduler.update_request(now_ms, node.slots[host]) else {
            return;
        };
        let call = self.new_call_id();
        let limit_us = (u64::from(request.wait_ms) + UPDATE_TIMEOUT_MS) * 1_000;
        let link = &mut self.links[entry][host];
        link.update_call = Some(call);
        let epoch = link.epoch;
        let at_us = self.arrival_us(entry, host);
        self.report.messages += 1;
        self.schedule_at(
            at_us,
            Event::UpdateRequest {
                entry,
                host,
                epoch,
                call,
                request,
            },
        );
        self.schedule(
            limit_us,
            Event::CallTimeout {
                entry,
                host,
                epoch,
                call,
            },
        );
    }

    fn send_orders(&mut self, entry: usize, host: usize) {
        let link = &self.links[entry][host];
        if !link.is_connected || link.orders_call.is_some() {
            return;
        }
        let epoch = link.epoch;
        let node = &mut self.entries[entry];
        let Some(orders) = node.scheduler.take_orders(node.slots[host]) else {
            return;
        };
        let call = self.new_call_id();
        self.links[entry][host].orders_call = Some(call);
        let at_us = self.arrival_us(entry, host);
        self.report.messages += 1;
        self.schedule_at(
            at_us,
            Event::Orders {
                entry,
                host,
                epoch,
                call,
                orders,
            },
        );
        self.schedule(
            ORDER_TIMEOUT_US,
            Event::CallTimeout {
                entry,
                host,
                epoch,
                call,
            },
        );
    }

    fn handle_update(
        &mut self,
        entry: usize,
        host: usize,
        epoch: u64,
        call: u64,
        orders: Option<u64>,
        update: &model::HostUpdate,
    ) {
        if !self.entries[entry].is_up || self.links[entry][host].epoch != epoch {
            return;
        }
        self.check_suspension(entry);
        let link = &mut self.links[entry][host];
        if link.orders_call == Some(call) {
            link.orders_call = None;
        }
        let is_update_answer = link.update_call == Some(call);
        let now_ms = self.now_ms();
        let mut actions = Vec::new();
        let node = &mut self.entries[entry];
        let slot = node.slots[host];
        node.scheduler
            .handle_update(now_ms, slot, orders, update, &mut actions);
        self.perform(entry, actions);
        if is_update_answer && self.links[entry][host].epoch == epoch {
            self.request_update(entry, host);
        }
        self.send_orders(entry, host);
    }

    pub(crate) fn perform(&mut self, entry: usize, actions: Vec<SchedulerAction>) {
        for action in actions {
            match action {
                SchedulerAction::SendOrders(slot) => {
                    let host = self.entries[entry].slots.iter().position(|at| *at == slot);
                    if let Some(host) = host {
                        self.send_orders(entry, host);
                    }
                }
                SchedulerAction::Answer { job, verdict, .. } => {
                    if let Some(at) = self.entries[entry].waiting.remove(&job) {
                        self.handle_verdict(at, verdict);
                    }
                }
                SchedulerAction::UpdateConnection(slot) => self.update_link(entry, slot),
                SchedulerAction::LogRunEvent { event, .. } => {
                    let is_turned_back = event == RunEvent::NotStarted(NotStartedReason::NoRoom);
                    self.report.turned_back += u64::from(is_turned_back);
                }
                SchedulerAction::RecordForecast(outcome) => self.report.forecasts.record(&outcome),
                SchedulerAction::LogInterference { change, .. } => {
                    let at_ms = self.now_ms().saturating_sub(WARMUP_MS);
                    self.report.pair_changes.push((at_ms, change));
                }
                SchedulerAction::LogPlacement { .. } | SchedulerAction::LogQuarantine { .. } => {}
            }
        }
    }

    /// Submits a job to a random entry that is up, or schedules a retry if there is none.
    pub(crate) fn send_attempt(&mut self, at: usize) {
        if self.jobs[at].is_over {
            return;
        }
        let up: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].is_up)
            .collect();
        if up.is_empty() {
            let retry_delay_us = self.load.retry_delay_ms * 1_000;
            self.schedule(retry_delay_us, Event::Send { job: at });
            return;
        }
        let entry = up[self.rng.random_range(0..up.len())];
        let job = &mut self.jobs[at];
        job.attempts += 1;
        job.entry = Some(entry);
        job.is_waiting = true;
        let attempt = job.attempts;
        let wait_us = if job.is_leaving {
            job.objective_ms * 500
        } else {
            job.wait_ms * 1_000
        };
        let request = job.request.clone();
        self.schedule(wait_us, Event::ClientTimeout { job: at, attempt });
        if self.entries[entry].frozen_until_us > self.now_us {
            // A frozen entry does not read the request; the client's timeout ends the attempt.
            return;
        }
        self.check_suspension(entry);
        let now_ms = self.now_ms();
        let mut actions = Vec::new();
        let scheduler = &mut self.entries[entry].scheduler;
        match scheduler.submit(now_ms, request, &mut actions) {
            SubmitOutcome::Admitted(slot, _) | SubmitOutcome::Joined(slot) => {
                self.entries[entry].waiting.insert(slot, at);
            }
            SubmitOutcome::AlreadyAnswered(verdict) | SubmitOutcome::Refused(verdict, _) => {
                self.handle_verdict(at, verdict);
            }
        }
        self.perform(entry, actions);
    }

    /// Closes the client's connection after its timeout.
    pub(crate) fn handle_client_timeout(&mut self, at: usize, attempt: u32) {
        let job = &mut self.jobs[at];
        if job.is_over || job.attempts != attempt || !job.is_waiting {
            return;
        }
        let entry = job.entry.take();
        if let Some(entry) = entry {
            self.close_request(at, entry);
        }
        if self.jobs[at].is_leaving {
            let kind = self.jobs[at].kind;
            self.jobs[at].is_over = true;
            self.report.kinds[kind].abandoned += 1;
        } else {
            self.handle_lost_attempt(at);
        }
    }

    fn close_request(&mut self, at: usize, entry: usize) {
        let node = &mut self.entries[entry];
        let slot = node.waiting.iter().find(|(_, job)| **job == at);
        let Some(slot) = slot.map(|(slot, _)| *slot) else {
            return;
        };
        node.waiting.remove(&slot);
        if node.frozen_until_us > self.now_us {
            // The entry drops all its jobs when it resumes.
            return;
        }
        let mut actions = Vec::new();
        node.scheduler.caller_disconnected(slot, &mut actions);
        self.perform(entry, actions);
    }

    fn handle_verdict(&mut self, at: usize, verdict: Verdict) {
        let now_us = self.now_us;
        let job = &mut self.jobs[at];
        if job.is_over {
            return;
        }
        let kind = job.kind;
        let took_ms = (now_us - job.first_sent_us) / 1_000;
        let report = &mut self.report.kinds[kind];
        match verdict {
            Verdict::Completed if took_ms <= job.objective_ms => report.in_time += 1,
            Verdict::Completed => report.late += 1,
            Verdict::NotRun { .. } => {
                report.refused += 1;
                report.longest_refusal_ms = report.longest_refusal_ms.max(took_ms);
                job.refused_attempt = job.attempts;
                if job.has_started && job.attempts == 1 {
                    let id = job.id;
                    self.record_violation(format!("job {id} was refused as not run after a start"));
                }
            }
            Verdict::Failed | Verdict::Cancelled => report.failed += 1,
            Verdict::Lost | Verdict::Expired => {
                self.handle_lost_attempt(at);
                return;
            }
        }
        self.jobs[at].is_over = true;
    }

    /// Schedules a retry of a job whose answer was lost, or fails the job if it has expired.
    pub(crate) fn handle_lost_attempt(&mut self, at: usize) {
        let job = &mut self.jobs[at];
        if job.is_over || !job.is_waiting {
            return;
        }
        job.entry = None;
        job.is_waiting = false;
        let is_expired = self.now_us >= job.first_sent_us + 2 * job.wait_ms * 1_000;
        if is_expired || job.is_leaving {
            job.is_over = true;
            let kind = job.kind;
            self.report.kinds[kind].failed += 1;
            return;
        }
        let retry_delay_us = self.load.retry_delay_ms * 1_000;
        self.schedule(retry_delay_us, Event::Send { job: at });
    }
}
