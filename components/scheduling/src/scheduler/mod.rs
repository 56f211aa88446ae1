//! The scheduler of an entry: its jobs and the hosts that run them.

mod answers;
mod connections;
mod crashes;
mod evacuation;
mod events;
mod forecasts;
mod interference;
mod planning;
mod recovery;
mod warm_up;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

use interference::Interference;
use model::{HostUpdate, HostUpdateRequest, JobId, Orders, ProcessKey, RunEvent, RunId};
use run_times::Kinds;
use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use crate::admission;
use crate::answer_cache::AnswerCache;
use crate::baseline::PlacementRule;
use crate::forecast::ForecastOutcome;
use crate::host::{HostInfo, HostRecord, HostSlot, HostStatus};
use crate::job::{Job, JobSlot};
use crate::limits::UPDATE_WAIT_MS;
use crate::placement::Candidate;
use crate::quarantine::Quarantine;
use crate::request::JobRequest;
use crate::subset::{MIN_CONNECTED_HOSTS, SubsetSize};
use crate::verdict::{NotRunReason, Verdict};
use planning::suitable_host_count;

/// Inputs of the admission decision about a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionInputs {
    /// Number of usable hosts of the queue's group.
    pub usable_hosts: usize,
    /// Age of the oldest view of these hosts, in milliseconds.
    pub oldest_view_ms: u64,
    /// Expected time until the answer, in milliseconds; `None` if a task finds no host.
    pub finish_ms: Option<f64>,
    /// Probability that the answer comes before the objective.
    pub chance_in_time: f64,
    /// Response time objective, in milliseconds.
    pub objective_ms: u64,
    /// Time until the caller stops waiting, in milliseconds.
    pub time_left_ms: u64,
}

/// Result of the submission of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SubmitOutcome {
    /// The job is in progress; the answer follows as an action.
    Admitted(JobSlot, AdmissionInputs),
    /// An earlier copy of the request is in progress; the answer follows as an action.
    Joined(JobSlot),
    /// An earlier copy of the request has been answered.
    AlreadyAnswered(Verdict),
    /// The job is refused.
    Refused(Verdict, AdmissionInputs),
}

/// An action that the entry must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerAction {
    /// Send the queued orders of a host.
    SendOrders(HostSlot),
    /// Connect to the host if the connection is wanted, or else close the connection to it.
    UpdateConnection(HostSlot),
    /// Answer a job, which is no longer in the scheduler.
    Answer {
        /// Key that the job had.
        job: JobSlot,
        /// The answer.
        verdict: Verdict,
        /// Whether the answer is later than the response time objective.
        is_late: bool,
    },
    /// Log an event of a run.
    LogRunEvent {
        /// The run.
        run: RunId,
        /// Name of its host.
        host: Rc<str>,
        /// Age of the job, in milliseconds.
        age_ms: u64,
        /// What happened.
        event: RunEvent,
    },
    /// Log that a pair of kinds is now kept apart, or no longer.
    LogInterference {
        /// Name of the kind that takes longer.
        of: String,
        /// Name of the kind beside which it does.
        by: String,
        /// The change.
        change: ::interference::Change,
    },
    /// Log that a queue is now in quarantine, or no longer.
    LogQuarantine {
        /// Name of the queue.
        queue: Rc<str>,
        /// Whether the quarantine begins.
        is_begun: bool,
    },
    /// Record how well a duration was forecast.
    RecordForecast(ForecastOutcome),
    /// Log the placement of a task.
    LogPlacement {
        /// The run.
        run: RunId,
        /// Name of its host.
        host: Rc<str>,
        /// Age of the host view that the placement used, in milliseconds.
        view_age_ms: u64,
        /// Expected wait in the queue of the host, in milliseconds.
        wait_ms: u64,
    },
}

/// Admits jobs, places their tasks on hosts and answers their callers.
#[derive(Debug)]
pub struct Scheduler {
    key: ProcessKey,
    failure_domain: Rc<str>,
    remote_data_factor: f64,
    hosts: SlotMap<HostSlot, HostRecord>,
    jobs: SlotMap<JobSlot, Job>,
    by_id: FxHashMap<JobId, JobSlot>,
    answers: AnswerCache,
    /// The hosts by descending weight for this entry.
    hosts_by_weight: Vec<HostSlot>,
    subset_size: SubsetSize,
    connections_updated_at_ms: u64,
    placement_rule: PlacementRule,
    choice_count: Cell<u64>,
    kinds: Kinds,
    /// Failure domains that the operator has evacuated.
    evacuated_failure_domains: BTreeSet<Rc<str>>,
    /// Until when hosts may be known that have not been listed yet, in milliseconds.
    hosts_expected_until_ms: u64,
    /// Beliefs about interference, if tasks are kept apart.
    interference: Option<Interference>,
    /// Queues whose tasks crash targets.
    quarantine: Quarantine,
}

impl Scheduler {
    /// Creates the scheduler of the entry `key` in a failure domain.
    ///
    /// `remote_data_factor` is the factor by which a task runs longer on a host without the step's
    /// `preferred_label`, that is, away from its data.
    #[must_use]
    pub fn new(key: ProcessKey, failure_domain: &str, remote_data_factor: f64) -> Self {
        Self {
            key,
            failure_domain: Rc::from(failure_domain),
            remote_data_factor,
            hosts: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            by_id: FxHashMap::default(),
            answers: AnswerCache::default(),
            hosts_by_weight: Vec::new(),
            subset_size: SubsetSize::new(MIN_CONNECTED_HOSTS),
            connections_updated_at_ms: 0,
            placement_rule: PlacementRule::default(),
            choice_count: Cell::new(0),
            kinds: Kinds::default(),
            evacuated_failure_domains: BTreeSet::new(),
            hosts_expected_until_ms: 0,
            interference: None,
            quarantine: Quarantine::default(),
        }
    }

    /// Sets the rule by which hosts are chosen.
    #[must_use]
    pub fn with_placement_rule(mut self, rule: PlacementRule) -> Self {
        self.placement_rule = rule;
        self
    }

    /// Sets the time until which jobs wait for hosts that have not been listed yet, in milliseconds.
    #[must_use]
    pub fn with_hosts_expected_until(mut self, until_ms: u64) -> Self {
        self.hosts_expected_until_ms = until_ms;
        self
    }

    /// Records that the hosts have been listed.
    pub fn hosts_listed(&mut self) {
        self.hosts_expected_until_ms = 0;
    }

    /// Sets the minimum number of hosts to connect to.
    #[must_use]
    pub fn with_min_connected_hosts(mut self, min_hosts: usize) -> Self {
        self.subset_size = SubsetSize::new(min_hosts);
        self
    }

    /// Returns the state of every host.
    #[must_use]
    pub fn hosts(&self, now_ms: u64) -> Vec<HostStatus> {
        self.hosts
            .values()
            .map(|host| host.status(now_ms))
            .collect()
    }

    /// Returns the names and addresses of all hosts.
    pub fn host_infos(&self) -> impl Iterator<Item = &HostInfo> {
        self.hosts.values().map(|host| &host.info)
    }

    /// Returns whether at least one host is usable.
    #[must_use]
    pub fn has_usable_host(&self, now_ms: u64) -> bool {
        self.hosts.values().any(|host| host.is_usable(now_ms))
    }

    /// Returns the number of jobs in progress.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs of a queue of which no task has started.
    #[must_use]
    pub fn waiting_job_count(&self, queue: &str) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| &*job.request.queue.name == queue && !job.has_started_tasks)
            .count()
    }

    /// Admits a job and orders its first tasks, refuses it, or joins it to an earlier copy.
    pub fn submit(
        &mut self,
        now_ms: u64,
        request: JobRequest,
        actions: &mut Vec<SchedulerAction>,
    ) -> SubmitOutcome {
        if let Some(verdict) = self.answers.get(request.id) {
            return SubmitOutcome::AlreadyAnswered(verdict);
        }
        if let Some(&slot) = self.by_id.get(&request.id) {
            self.jobs[slot].waiters += 1;
            return SubmitOutcome::Joined(slot);
        }
        // Each task of a job that is planned has a record.
        if request.is_too_large() {
            return refuse_unplanned(&request, NotRunReason::TooLarge);
        }
        let mut candidates = self.candidates(now_ms, &request.queue.group);
        let job = self.new_job(now_ms, request, &candidates);
        let plan = self.plan(now_ms, &job, &mut candidates);
        let prospect = plan.prospect();
        let finish_ms = prospect.map(|prospect| prospect.finish_ms);
        let suitable_hosts = suitable_host_count(&job, &candidates);
        self.subset_size
            .record_placement(plan.is_safe(), suitable_hosts);
        let inputs = AdmissionInputs {
            usable_hosts: candidates.len(),
            oldest_view_ms: self.oldest_view_ms(now_ms, &candidates),
            finish_ms,
            chance_in_time: prospect.map_or(0.0, |prospect| prospect.chance_in_time),
            objective_ms: job.objective_ms(),
            time_left_ms: job.request.time_left_ms,
        };
        let refusal_reason = self.refusal_reason(&job, &candidates, prospect);
        if refusal_reason.is_some_and(NotRunReason::depends_on_hosts)
            && self.is_most_capacity_unseen(now_ms)
            && job.can_end_in_time(now_ms)
        {
            return self.admit_without_hosts(job, inputs);
        }
        if let Some(reason) = refusal_reason {
            let backlog_ms = finish_ms.unwrap_or(0.0) - inputs.objective_ms as f64;
            let retry_after_ms = admission::retry_after_ms(job.id(), backlog_ms);
            return SubmitOutcome::Refused(
                Verdict::NotRun {
                    reason,
                    retry_after_ms,
                },
                inputs,
            );
        }
        let id = job.id();
        let slot = self.jobs.insert(Job {
            expected_ms: finish_ms.unwrap_or(0.0),
            ..job
        });
        self.by_id.insert(id, slot);
        self.apply_plan(now_ms, slot, plan, actions);
        SubmitOutcome::Admitted(slot, inputs)
    }

    /// Creates a job, with the run times expected of its steps.
    fn new_job(&mut self, now_ms: u64, request: JobRequest, candidates: &[Candidate]) -> Job {
        let speeds = candidates.iter().map(|candidate| candidate.speed_permille);
        let usual_speed_permille = run_times::reference_speed(&mut speeds.collect::<Vec<u32>>());
        let queue = Rc::clone(&request.queue.name);
        self.record_kind_names(&queue, request.steps.len());
        let kinds = &mut self.kinds;
        Job::new(now_ms, request, usual_speed_permille, |at, step| {
            let kind = kinds.slot(now_ms, &queue, at);
            (kind, kinds.forecast(kind, step.declared_ms))
        })
    }

    /// Records that a caller has disconnected; without any waiting caller, the job is stopped.
    pub fn caller_disconnected(&mut self, slot: JobSlot, actions: &mut Vec<SchedulerAction>) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.waiters = job.waiters.saturating_sub(1);
        if job.waiters == 0 {
            self.remove_job(slot, actions);
        }
    }

    /// Records that an agent has answered on a new connection.
    pub fn host_connected(&mut self, slot: HostSlot, agent: ProcessKey) {
        if let Some(host) = self.hosts.get_mut(slot) {
            host.agent_connected(agent);
        }
    }

    /// Records that the connection to an agent has ended.
    pub fn host_disconnected(&mut self, slot: HostSlot) {
        if let Some(host) = self.hosts.get_mut(slot) {
            host.is_connected = false;
        }
    }

    /// Returns the orders to send to a host; unanswered orders are returned again.
    pub fn take_orders(&mut self, slot: HostSlot) -> Option<Orders> {
        let key = self.key;
        self.hosts.get_mut(slot)?.take_orders(key)
    }

    /// Returns whether a host has orders to send or to resend.
    #[must_use]
    pub fn has_orders(&self, slot: HostSlot) -> bool {
        self.hosts.get(slot).is_some_and(HostRecord::has_orders)
    }

    /// Returns the next update request to a host.
    #[must_use]
    pub fn update_request(&self, now_ms: u64, slot: HostSlot) -> Option<HostUpdateRequest> {
        let host = self.hosts.get(slot)?;
        Some(HostUpdateRequest {
            from: self.key,
            permit: host.permit(),
            last_seen_event: host.last_seen_event,
            wait_ms: if host.permit().is_some() {
                UPDATE_WAIT_MS as u32
            } else {
                0
            },
            evacuations: None,
            quarantines: self.quarantine.known(now_ms),
        })
    }

    /// Processes the answer of an agent to orders or to an update request.
    ///
    /// `orders_number` is the number of the answered orders, `None` for an update request. Events
    /// that were processed before are skipped.
    pub fn handle_update(
        &mut self,
        now_ms: u64,
        slot: HostSlot,
        orders_number: Option<u64>,
        update: &HostUpdate,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(host) = self.hosts.get_mut(slot) else {
            return;
        };
        if host.agent != Some(update.permit.agent) {
            return;
        }
        if let Some(number) = orders_number {
            host.complete_orders(number);
        }
        host.apply_update(now_ms, update);
        self.learn_quarantines(now_ms, &update.quarantines, actions);
        for &(number, run, event) in &update.events {
            let Some(host) = self.hosts.get_mut(slot) else {
                return;
            };
            if number > host.last_seen_event {
                host.last_seen_event = number;
                self.handle_run_event(now_ms, slot, run, event, actions);
            }
        }
    }

    /// Runs the periodic work: chooses the hosts to connect to, recovers lost runs, answers jobs
    /// past their deadlines, and places waiting tasks.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        self.update_connections(now_ms, actions);
        self.update_interference(now_ms, actions);
        self.end_quarantines(now_ms, actions);
        let slots: Vec<JobSlot> = self.jobs.keys().collect();
        for slot in slots {
            self.recover_lost_runs(now_ms, slot, actions);
            self.check_deadline(now_ms, slot, actions);
            self.retry_placement(now_ms, slot, actions);
        }
    }
}

/// Refuses a job for what it asks for, whatever the state of the hosts.
fn refuse_unplanned(request: &JobRequest, reason: NotRunReason) -> SubmitOutcome {
    let inputs = AdmissionInputs {
        usable_hosts: 0,
        oldest_view_ms: 0,
        finish_ms: None,
        chance_in_time: 0.0,
        objective_ms: 0,
        time_left_ms: request.time_left_ms,
    };
    let retry_after_ms = admission::retry_after_ms(request.id, 0.0);
    let verdict = Verdict::NotRun {
        reason,
        retry_after_ms,
    };
    SubmitOutcome::Refused(verdict, inputs)
}

fn saturating_u32(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
