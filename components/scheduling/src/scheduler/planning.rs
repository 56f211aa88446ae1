//! Planning of task placements, and the start orders that result from a plan.

use std::rc::Rc;

use model::{HostView, KindKey, Opening, Resources, RunId, StartOrder, TaskRef};

use super::{Scheduler, SchedulerAction, saturating_u32};
use crate::admission::{self, Prospect};
use crate::disturbance::Separation;
use crate::host::{HostRecord, HostSlot};
use crate::job::{Job, JobSlot, RunPlacement, TaskState};
use crate::limits::{MIN_QUEUE_TIMEOUT_MS, PLACEMENT_RETRY_MS, QUEUE_WAIT_FACTOR};
use crate::placement::{self, Candidate, Choice, Requirements};
use crate::request::StepRequest;
use crate::verdict::NotRunReason;

/// Hosts for the due tasks of a job, chosen together.
#[derive(Debug)]
pub(super) struct Plan {
    choices: Vec<(TaskRef, Option<Choice>)>,
    prospect: Option<Prospect>,
}

impl Plan {
    /// Returns what is expected of the job; `None` if a task finds no host.
    pub(super) fn prospect(&self) -> Option<&Prospect> {
        self.prospect.as_ref()
    }

    /// Returns whether every task has a safe placement (see `placement`).
    pub(super) fn is_safe(&self) -> bool {
        let mut choices = self.choices.iter();
        choices.all(|(_, choice)| choice.is_some_and(|choice| choice.is_safe))
    }
}

impl Scheduler {
    /// Chooses hosts for the due tasks of a job.
    pub(super) fn plan(&self, now_ms: u64, job: &Job, candidates: &mut [Candidate]) -> Plan {
        let choices: Vec<(TaskRef, Option<Choice>)> = job
            .placeable_tasks(now_ms)
            .into_iter()
            .map(|task| (task, self.choose_host(now_ms, job, task, candidates)))
            .collect();
        let prospect = prospect(job, &choices);
        Plan { choices, prospect }
    }

    pub(super) fn choose_host(
        &self,
        now_ms: u64,
        job: &Job,
        task: TaskRef,
        candidates: &mut [Candidate],
    ) -> Option<Choice> {
        let step = &job.request.steps[usize::from(task.step)];
        let record = job.task(task)?;
        let queue = &job.request.queue.name;
        let is_suspect = record.crashes_at_start > 0;
        let kind = KindKey::of_step(queue, task.step);
        let beliefs = self.beliefs_about(kind);
        let requirements = Requirements {
            kind,
            separation: beliefs.map(|beliefs| Separation { kind, beliefs }),
            needs: step.needs,
            run_time: job.forecast(task.step).run_time,
            usual_speed_permille: job.usual_speed_permille,
            allowance_ms: job.allowance_ms(now_ms, task.step),
            time_left_ms: job.deadline_ms.saturating_sub(now_ms) as f64
                - job.forecast(task.step).later_work_ms,
            stretch: job.request.queue.stretch,
            priority: job.request.queue.priority,
            required_label: step.required_label.as_ref(),
            preferred_label: step.preferred_label.as_ref(),
            remote_data_factor: self.remote_data_factor,
            max_per_host: step.max_per_host,
            avoided_hosts: &record.avoided_hosts,
            host_choice: self.quarantine.host_choice(now_ms, queue, is_suspect),
        };
        let number = self.choice_count.get();
        self.choice_count.set(number + 1);
        placement::choose(candidates, &requirements, self.placement_rule, number)
    }

    /// Returns the usable hosts of a group.
    pub(super) fn candidates(&self, now_ms: u64, group: &Rc<str>) -> Vec<Candidate> {
        let usable = self.hosts.iter().filter(|(_, host)| host.is_usable(now_ms));
        let quarantine_hosts = self.quarantine_hosts(now_ms, group);
        let mut candidates = Vec::new();
        for (slot, host) in usable {
            let Some(view) = &host.view else {
                continue;
            };
            if view.group != *group {
                continue;
            }
            candidates.push(Candidate {
                is_quarantine_host: quarantine_hosts.contains(&slot),
                ..self.candidate(now_ms, slot, host, view)
            });
        }
        candidates
    }

    /// Returns the usable hosts for a job in progress, with its tasks that are placed there.
    fn candidates_for(&self, now_ms: u64, job: &Job) -> Vec<Candidate> {
        let mut candidates = self.candidates(now_ms, &job.request.queue.group);
        for (_, place) in job.placed_runs() {
            if let Some(at) = candidates.iter_mut().find(|at| at.slot == place.host) {
                at.placed_tasks += 1;
            }
        }
        candidates
    }

    pub(super) fn candidate(
        &self,
        now_ms: u64,
        slot: HostSlot,
        host: &HostRecord,
        view: &HostView,
    ) -> Candidate {
        let (pending, pending_core_ms) = host.pending_load(view.speed_permille);
        let fits = view.free.can_fit(&pending);
        let view_age_ms = now_ms.saturating_sub(host.permit_received_at_ms()) as f64;
        Candidate {
            slot,
            labels: view.labels.clone(),
            is_same_domain: host.info.failure_domain == self.failure_domain,
            capacity: view.capacity,
            free: view.free.saturating_sub(&pending),
            speed_permille: view.speed_permille,
            speed_log_deviation: f64::from(view.speed_log_deviation_permille) / 1_000.0,
            backlog_core_ms: u64::from(view.backlog_core_ms) + pending_core_ms,
            waiting_core_ms: u64::from(view.waiting_core_ms)
                + if fits { 0 } else { pending_core_ms },
            urgent_core_ms: u64::from(view.urgent_core_ms),
            openings: openings_after(&view.openings, &pending),
            urgent_openings: openings_after(&view.urgent_openings, &pending),
            placed_tasks: 0,
            is_quarantine_host: false,
            runs: if self.has_beliefs() {
                host.runs_by_kind()
            } else {
                Vec::new()
            },
            closes_in_ms: view
                .closes_in_ms
                .map_or(f64::INFINITY, |ms| f64::from(ms) - view_age_ms),
        }
    }

    pub(super) fn oldest_view_ms(&self, now_ms: u64, candidates: &[Candidate]) -> u64 {
        let hosts = candidates.iter().filter_map(|at| self.hosts.get(at.slot));
        let ages = hosts.map(|host| now_ms.saturating_sub(host.permit_received_at_ms()));
        ages.max().unwrap_or(0)
    }

    /// Places the due tasks of a job.
    pub(super) fn place_due_tasks(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if let Some(plan) = self.plan_due(now_ms, slot) {
            self.apply_plan(now_ms, slot, plan, actions);
        }
    }

    /// Plans the due tasks of a job; `None` if there are none or the job is being withdrawn.
    fn plan_due(&self, now_ms: u64, slot: JobSlot) -> Option<Plan> {
        let job = self.jobs.get(slot)?;
        if job.withdrawal.is_some() || job.placeable_tasks(now_ms).is_empty() {
            return None;
        }
        let mut candidates = self.candidates_for(now_ms, job);
        Some(self.plan(now_ms, job, &mut candidates))
    }

    /// Orders the tasks of a plan at their hosts; tasks without a host are retried later.
    pub(super) fn apply_plan(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        plan: Plan,
        actions: &mut Vec<SchedulerAction>,
    ) {
        for (task, choice) in plan.choices {
            match choice {
                Some(choice) => self.order_start(now_ms, slot, task, choice, actions),
                None => self.postpone(slot, task, now_ms + PLACEMENT_RETRY_MS),
            }
        }
    }

    pub(super) fn postpone(&mut self, slot: JobSlot, task: TaskRef, not_before_ms: u64) {
        let job = self.jobs.get_mut(slot);
        if let Some(task) = job.and_then(|job| job.task_mut(task)) {
            task.state = TaskState::Waiting { not_before_ms };
        }
    }

    pub(super) fn order_start(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        task: TaskRef,
        choice: Choice,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(host) = self.hosts.get_mut(choice.host) else {
            return;
        };
        let (Some(agent), Some(job)) = (host.agent, self.jobs.get_mut(slot)) else {
            return;
        };
        let step = &job.request.steps[usize::from(task.step)];
        let forecast = *job.forecast(task.step);
        let remaining_work_ms = (forecast.work_ms + forecast.later_work_ms) as u64;
        let latest_start_ms = job.objective_at_ms.saturating_sub(remaining_work_ms);
        let queue_timeout_ms = MIN_QUEUE_TIMEOUT_MS + (QUEUE_WAIT_FACTOR * choice.wait_ms) as u64;
        let mut order = StartOrder {
            job: job.request.id,
            step: task.step,
            tasks: Vec::new(),
            specification: Rc::clone(&job.request.specification),
            needs: step.needs,
            estimate_ms: (forecast.run_time.median_ms.round() as u32).max(1),
            log_deviation_permille: (forecast.run_time.log_deviation * 1_000.0) as u16,
            slack_ms: saturating_u32(latest_start_ms.saturating_sub(now_ms)),
            queue_timeout_ms: saturating_u32(
                queue_timeout_ms.min(job.deadline_ms.saturating_sub(now_ms)),
            ),
            priority: job.request.queue.priority,
            has_started_tasks: job.has_started_tasks,
            kind: KindKey::of_step(&job.request.queue.name, task.step),
            is_data_remote: step
                .preferred_label
                .as_ref()
                .is_some_and(|label| !host.has_label(label)),
            target_number: host.view.as_ref().and_then(|view| view.target_number),
        };
        let Some(record) = job.task_mut(task) else {
            return;
        };
        record.attempts += 1;
        let attempt = record.attempts;
        record.state = TaskState::Placed(RunPlacement {
            host: choice.host,
            agent,
            attempt,
            has_started: false,
            wait_ms: choice.wait_ms,
            run_time: choice.run_time,
        });
        order.tasks.push((task.index, attempt));
        host.push_start(order);
        actions.push(SchedulerAction::LogPlacement {
            run: RunId { task, attempt },
            host: Rc::clone(&host.info.name),
            view_age_ms: now_ms.saturating_sub(host.permit_received_at_ms()),
            wait_ms: choice.wait_ms as u64,
        });
        actions.push(SchedulerAction::SendOrders(choice.host));
    }

    /// Places the due tasks of a job, or withdraws the job if none of its tasks has started and it
    /// would now be refused for overload or because its hosts are evacuated.
    pub(super) fn retry_placement(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(plan) = self.plan_due(now_ms, slot) else {
            return;
        };
        let job = &self.jobs[slot];
        let time_left_ms = job.deadline_ms.saturating_sub(now_ms);
        let refusal_reason = admission::refusal_reason(plan.prospect(), time_left_ms);
        if job.awaits_hosts {
            self.retry_admission(now_ms, slot, plan, refusal_reason, actions);
            return;
        }
        let withdrawal_reason = match refusal_reason {
            Some(NotRunReason::Overload) => Some(NotRunReason::Overload),
            Some(NotRunReason::NoFittingHost) if self.are_hosts_evacuated(now_ms, job) => {
                Some(NotRunReason::NoHosts)
            }
            _ => None,
        };
        if let Some(reason) = withdrawal_reason.filter(|_| !job.has_started_tasks) {
            self.withdraw(now_ms, slot, reason, actions);
            return;
        }
        self.apply_plan(now_ms, slot, plan, actions);
    }
}

/// Returns the number of candidates that have the labels which the tasks of a job require or prefer,
/// for the step that the fewest suit.
pub(super) fn suitable_host_count(job: &Job, candidates: &[Candidate]) -> usize {
    let suitable = |step: &StepRequest| {
        let labels = || step.required_label.iter().chain(&step.preferred_label);
        let is_suitable =
            |candidate: &&Candidate| labels().all(|label| candidate.labels.contains(label));
        candidates.iter().filter(is_suitable).count()
    };
    job.request.steps.iter().map(suitable).min().unwrap_or(0)
}

/// Returns the openings of a view, less the resources of orders that it does not include yet.
///
/// The times are not reduced by the age of the view: room that opened since it was made is likely to
/// have been taken for another entry.
fn openings_after(openings: &[Opening], pending: &Resources) -> Vec<Opening> {
    let after = |opening: &Opening| Opening {
        in_ms: opening.in_ms,
        free: opening.free.saturating_sub(pending),
    };
    openings.iter().map(after).collect()
}

/// Returns what is expected of a job with these choices for its due tasks; `None` if a task has no
/// host.
///
/// Tasks of a job have a common error of the declared run time, so that the job is about as likely in
/// time as the task with the smallest chance.
fn prospect(job: &Job, choices: &[(TaskRef, Option<Choice>)]) -> Option<Prospect> {
    let mut prospect = Prospect {
        finish_ms: 0.0,
        chance_in_time: 1.0,
        chance_served: 1.0,
        is_room_idle: true,
    };
    for (task, choice) in choices {
        let choice = (*choice)?;
        let finish_ms = choice.finish_ms + job.forecast(task.step).later_work_ms;
        prospect.finish_ms = prospect.finish_ms.max(finish_ms);
        prospect.chance_in_time = prospect.chance_in_time.min(choice.chance_in_time);
        prospect.chance_served = prospect.chance_served.min(choice.chance_served);
        prospect.is_room_idle &= choice.is_room_idle;
    }
    Some(prospect)
}
