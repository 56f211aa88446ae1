//! The jobs of an entry and the hosts that run them.

use std::rc::Rc;

use model::{
    CallerId, HostView, MOST_URGENT, News, NewsRequest, NotStarted, Orders, ProcessKey, RunEnd,
    RunEvent, RunId, StartOrder, TaskRef,
};
use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use crate::admission::{self, Outlook};
use crate::answered::Answered;
use crate::host::{HostInfo, HostRecord, HostSlot, HostStatus};
use crate::job::{Job, JobSlot, Place, TaskState, Withdrawal};
use crate::limits::{
    MAX_JOBS, MAX_PATIENCE_MS, MAX_TASKS, MIN_PATIENCE_MS, NEWS_WAIT_MS, OCCUPIED_PAUSE_MS,
    PLACE_AGAIN_MS, RESEND_MS, RUN_OVER_MS, WITHDRAWAL_MS,
};
use crate::placement::{self, Candidate, Choice, Wanted};
use crate::request::JobRequest;
use crate::verdict::{NotRunReason, Verdict};

/// What decided about a job on arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    /// Hosts that could be used.
    pub usable_hosts: usize,
    /// Age of the oldest view among them, in milliseconds.
    pub oldest_view_ms: u64,
    /// Expected time until the answer, in milliseconds; nothing if a task finds no host.
    pub finish_ms: Option<f64>,
    /// Time that the answer may take to be in time, in milliseconds.
    pub objective_ms: u64,
}

/// What becomes of a job that is handed in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Submission {
    /// It is in progress; the answer comes as an action.
    Admitted(JobSlot, Decision),
    /// An earlier copy is in progress; the answer comes as an action.
    Joined(JobSlot),
    /// An earlier copy has been answered.
    Known(Verdict),
    /// It is refused.
    Refused(Verdict, Decision),
}

/// What an entry has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerAction {
    /// Send the orders of a host.
    SendOrders(HostSlot),
    /// Answer a job; the key is not valid any more.
    Answer {
        /// Key that the job had.
        job: JobSlot,
        /// Id of the job.
        id: CallerId,
        /// The answer.
        verdict: Verdict,
        /// Whether the answer is later than its objective.
        is_late: bool,
    },
    /// An event of a run, for the log.
    Noted {
        /// The run.
        run: RunId,
        /// Name of its host.
        host: Rc<str>,
        /// Age of the job, in milliseconds.
        age_ms: u64,
        /// What happened.
        event: RunEvent,
    },
    /// A task was placed, for the log.
    Placed {
        /// The run.
        run: RunId,
        /// Name of its host.
        host: Rc<str>,
        /// Age of the view by which it was placed, in milliseconds.
        view_age_ms: u64,
        /// Expected wait at the host, in milliseconds.
        wait_ms: u64,
    },
}

/// The decisions of an entry.
#[derive(Debug)]
pub struct Scheduler {
    key: ProcessKey,
    failure_domain: Rc<str>,
    far_factor: f64,
    hosts: SlotMap<HostSlot, HostRecord>,
    jobs: SlotMap<JobSlot, Job>,
    by_id: FxHashMap<CallerId, JobSlot>,
    answered: Answered,
}

impl Scheduler {
    /// Creates the decisions of the entry `key` in a failure domain.
    ///
    /// `far_factor` is how much longer a task takes away from its data.
    #[must_use]
    pub fn new(key: ProcessKey, failure_domain: &str, far_factor: f64) -> Self {
        Self {
            key,
            failure_domain: Rc::from(failure_domain),
            far_factor,
            hosts: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            by_id: FxHashMap::default(),
            answered: Answered::default(),
        }
    }

    /// Adds a host.
    pub fn add_host(&mut self, info: HostInfo) -> HostSlot {
        self.hosts.insert(HostRecord::new(info))
    }

    /// Returns the state of every host.
    #[must_use]
    pub fn hosts(&self, now_ms: u64) -> Vec<HostStatus> {
        self.hosts
            .values()
            .map(|host| host.status(now_ms))
            .collect()
    }

    /// Tells whether at least one host can be used.
    #[must_use]
    pub fn has_usable_host(&self, now_ms: u64) -> bool {
        self.hosts.values().any(|host| host.is_usable(now_ms))
    }

    /// Returns the number of jobs in progress.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs of a queue none of whose tasks has started.
    #[must_use]
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| &*job.request.queue.name == queue && !job.has_run)
            .count()
    }

    /// Takes a job.
    pub fn submit(
        &mut self,
        now_ms: u64,
        request: JobRequest,
        actions: &mut Vec<SchedulerAction>,
    ) -> Submission {
        if let Some(verdict) = self.answered.get(request.id) {
            return Submission::Known(verdict);
        }
        if let Some(&slot) = self.by_id.get(&request.id) {
            self.jobs[slot].waiters += 1;
            return Submission::Joined(slot);
        }
        let job = Job::new(now_ms, request);
        let mut candidates = self.candidates(now_ms, &job);
        let finish_ms = self.outlook(now_ms, &job, &mut candidates);
        let decision = Decision {
            usable_hosts: candidates.len(),
            oldest_view_ms: self.oldest_view_ms(now_ms, &candidates),
            finish_ms,
            objective_ms: job.request.objective_ms(),
        };
        if let Some(why) = self.refusal(&job, &candidates, finish_ms) {
            let ahead_ms = finish_ms.unwrap_or(0.0) - decision.objective_ms as f64;
            let retry_after_ms = admission::retry_after_ms(job.id(), ahead_ms);
            return Submission::Refused(
                Verdict::NotRun {
                    why,
                    retry_after_ms,
                },
                decision,
            );
        }
        let id = job.id();
        let slot = self.jobs.insert(job);
        self.by_id.insert(id, slot);
        self.place(now_ms, slot, actions);
        Submission::Admitted(slot, decision)
    }

    /// Takes note that a caller has left; the work ends when nobody waits for it any more.
    pub fn leave(&mut self, slot: JobSlot, actions: &mut Vec<SchedulerAction>) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.waiters = job.waiters.saturating_sub(1);
        if job.waiters == 0 {
            self.remove(slot, actions);
        }
    }

    /// Takes note that an agent has answered on a new connection.
    pub fn host_connected(&mut self, slot: HostSlot, agent: ProcessKey) {
        if let Some(host) = self.hosts.get_mut(slot) {
            host.connected(agent);
        }
    }

    /// Takes note that the connection to an agent has ended.
    pub fn host_disconnected(&mut self, slot: HostSlot) {
        if let Some(host) = self.hosts.get_mut(slot) {
            host.is_connected = false;
        }
    }

    /// Returns the orders to send to a host.
    pub fn take_orders(&mut self, slot: HostSlot) -> Option<Orders> {
        let key = self.key;
        self.hosts.get_mut(slot)?.take_orders(key)
    }

    /// Tells whether a host has orders to be sent.
    #[must_use]
    pub fn has_orders(&self, slot: HostSlot) -> bool {
        self.hosts.get(slot).is_some_and(HostRecord::has_orders)
    }

    /// Returns the next question to a host.
    #[must_use]
    pub fn news_request(&self, slot: HostSlot) -> Option<NewsRequest> {
        let host = self.hosts.get(slot)?;
        Some(NewsRequest {
            from: self.key,
            permit: host.permit(),
            seen: host.seen,
            wait_ms: if host.permit().is_some() {
                NEWS_WAIT_MS as u32
            } else {
                0
            },
        })
    }

    /// Takes the answer to orders or to a question.
    pub fn host_news(
        &mut self,
        now_ms: u64,
        slot: HostSlot,
        orders_number: Option<u64>,
        news: &News,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(host) = self.hosts.get_mut(slot) else {
            return;
        };
        if host.agent != Some(news.permit.agent) {
            return;
        }
        if let Some(number) = orders_number {
            host.orders_answered(number);
        }
        host.take_news(now_ms, news);
        for &(number, run, event) in &news.events {
            let Some(host) = self.hosts.get_mut(slot) else {
                return;
            };
            if number > host.seen {
                host.seen = number;
                self.run_event(now_ms, slot, run, event, actions);
            }
        }
    }

    /// Takes note that the process was suspended for so long that callers may have turned to
    /// other entries: every job in progress is given up.
    pub fn resumed(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        let slots: Vec<JobSlot> = self.jobs.keys().collect();
        for slot in slots {
            self.answer(now_ms, slot, Verdict::Lost, actions);
        }
    }

    /// Ends what has run out of time and places what waits.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        let slots: Vec<JobSlot> = self.jobs.keys().collect();
        for slot in slots {
            self.recover_lost(now_ms, slot, actions);
            self.check_times(now_ms, slot, actions);
            self.place_again(now_ms, slot, actions);
        }
    }

    fn refusal(
        &self,
        job: &Job,
        candidates: &[Candidate],
        finish_ms: Option<f64>,
    ) -> Option<NotRunReason> {
        let tasks = job.request.task_count();
        if tasks == 0 || tasks > MAX_TASKS {
            return Some(NotRunReason::TooLarge);
        }
        if self.jobs.len() >= MAX_JOBS {
            return Some(NotRunReason::Full);
        }
        if candidates.is_empty() {
            return Some(NotRunReason::NoHosts);
        }
        admission::objection(&Outlook {
            finish_ms,
            objective_ms: job.request.objective_ms(),
            time_left_ms: job.request.time_left_ms,
        })
    }

    /// Returns the time until a job's answer if all its tasks were placed now.
    fn outlook(&self, now_ms: u64, job: &Job, candidates: &mut [Candidate]) -> Option<f64> {
        let mut finish_ms: f64 = 0.0;
        let mut first_estimate_ms = 0;
        for task in job.placeable(now_ms) {
            let choice = self.choose(now_ms, job, task, candidates)?;
            finish_ms = finish_ms.max(choice.finish_ms);
            let step = &job.request.steps[usize::from(task.step)];
            first_estimate_ms = first_estimate_ms.max(u64::from(step.estimate_ms));
        }
        let later_ms = job.request.chain_ms().saturating_sub(first_estimate_ms);
        Some(finish_ms + later_ms as f64)
    }

    fn choose(
        &self,
        now_ms: u64,
        job: &Job,
        task: TaskRef,
        candidates: &mut [Candidate],
    ) -> Option<Choice> {
        let step = &job.request.steps[usize::from(task.step)];
        let record = job.task(task)?;
        let wanted = Wanted {
            needs: step.needs,
            estimate_ms: step.estimate_ms,
            limit_ms: job.objective_at_ms.saturating_sub(now_ms),
            stretch: job.request.queue.stretch,
            is_urgent: job.request.queue.priority == MOST_URGENT,
            required_label: step.required_label.as_ref(),
            preferred_label: step.preferred_label.as_ref(),
            far_factor: self.far_factor,
            max_per_host: step.max_per_host,
            avoided: &record.avoided,
        };
        placement::choose(candidates, &wanted)
    }

    fn candidates(&self, now_ms: u64, job: &Job) -> Vec<Candidate> {
        let usable = self.hosts.iter().filter(|(_, host)| host.is_usable(now_ms));
        let mut candidates = Vec::new();
        for (slot, host) in usable {
            let Some(view) = &host.view else {
                continue;
            };
            if view.group != job.request.queue.group {
                continue;
            }
            candidates.push(self.candidate(slot, host, view));
        }
        for (_, place) in job.placed() {
            if let Some(at) = candidates.iter_mut().find(|at| at.slot == place.host) {
                at.placed_here += 1;
            }
        }
        candidates
    }

    fn candidate(&self, slot: HostSlot, host: &HostRecord, view: &HostView) -> Candidate {
        let (pending, pending_core_ms) = host.pending(view.speed_permille);
        let fits = view.free.holds(&pending);
        Candidate {
            slot,
            labels: view.labels.clone(),
            is_near: host.info.failure_domain == self.failure_domain,
            capacity: view.capacity,
            free: view.free.without(&pending),
            speed_permille: view.speed_permille,
            backlog_core_ms: u64::from(view.backlog_core_ms) + pending_core_ms,
            waiting_core_ms: u64::from(view.waiting_core_ms)
                + if fits { 0 } else { pending_core_ms },
            urgent_core_ms: u64::from(view.urgent_core_ms),
            placed_here: 0,
        }
    }

    fn oldest_view_ms(&self, now_ms: u64, candidates: &[Candidate]) -> u64 {
        let hosts = candidates.iter().filter_map(|at| self.hosts.get(at.slot));
        let ages = hosts.map(|host| now_ms.saturating_sub(host.heard_at_ms()));
        ages.max().unwrap_or(0)
    }

    /// Places the tasks of a job that are due.
    fn place(&mut self, now_ms: u64, slot: JobSlot, actions: &mut Vec<SchedulerAction>) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        if job.withdrawal.is_some() {
            return;
        }
        let tasks = job.placeable(now_ms);
        if tasks.is_empty() {
            return;
        }
        let mut candidates = self.candidates(now_ms, job);
        let choices: Vec<(TaskRef, Option<Choice>)> = tasks
            .into_iter()
            .map(|task| (task, self.choose(now_ms, job, task, &mut candidates)))
            .collect();
        for (task, choice) in choices {
            match choice {
                Some(choice) => self.send(now_ms, slot, task, choice, actions),
                None => self.postpone(slot, task, now_ms + PLACE_AGAIN_MS),
            }
        }
    }

    fn postpone(&mut self, slot: JobSlot, task: TaskRef, not_before_ms: u64) {
        let job = self.jobs.get_mut(slot);
        if let Some(task) = job.and_then(|job| job.task_mut(task)) {
            task.state = TaskState::Waiting { not_before_ms };
        }
    }

    fn send(
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
        let latest_start_ms = job
            .objective_at_ms
            .saturating_sub(u64::from(step.estimate_ms));
        let patience_ms = (2.0 * choice.wait_ms) as u64 + MIN_PATIENCE_MS;
        let patience_ms = patience_ms.min(MAX_PATIENCE_MS);
        let mut order = StartOrder {
            job: job.request.id,
            step: task.step,
            tasks: Vec::new(),
            specification: Rc::clone(&job.request.specification),
            needs: step.needs,
            estimate_ms: step.estimate_ms,
            slack_ms: millis(latest_start_ms.saturating_sub(now_ms)),
            patience_ms: millis(patience_ms.min(job.deadline_ms.saturating_sub(now_ms))),
            priority: job.request.queue.priority,
            is_begun: job.has_run,
        };
        let Some(record) = job.task_mut(task) else {
            return;
        };
        record.attempts += 1;
        let attempt = record.attempts;
        record.state = TaskState::Placed(Place {
            host: choice.host,
            agent,
            attempt,
            has_started: false,
            is_stopping: false,
        });
        order.tasks.push((task.index, attempt));
        host.push_start(order);
        actions.push(SchedulerAction::Placed {
            run: RunId { task, attempt },
            host: Rc::clone(&host.info.name),
            view_age_ms: now_ms.saturating_sub(host.heard_at_ms()),
            wait_ms: choice.wait_ms as u64,
        });
        actions.push(SchedulerAction::SendOrders(choice.host));
    }

    fn run_event(
        &mut self,
        now_ms: u64,
        host: HostSlot,
        run: RunId,
        event: RunEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(&slot) = self.by_id.get(&run.task.job) else {
            self.stop_unknown(host, run, event, actions);
            return;
        };
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        let age_ms = now_ms.saturating_sub(job.arrived_ms);
        if job.current(run).is_none_or(|(_, place)| place.host != host) {
            self.stop_unknown(host, run, event, actions);
            return;
        }
        actions.push(SchedulerAction::Noted {
            run,
            host: self
                .hosts
                .get(host)
                .map_or_else(|| Rc::from(""), |host| Rc::clone(&host.info.name)),
            age_ms,
            event,
        });
        match event {
            RunEvent::Started => self.note_started(slot, run),
            RunEvent::Ended(RunEnd::Done, _) => self.note_done(now_ms, slot, run, actions),
            RunEvent::Ended(RunEnd::Failed, _) => self.note_failed(now_ms, slot, run, actions),
            RunEvent::Ended(RunEnd::Stopped | RunEnd::Lost, _) => {
                self.note_started(slot, run);
                self.reopen(now_ms, slot, run, now_ms, actions);
            }
            RunEvent::NotStarted(NotStarted::Malformed) => {
                self.answer(now_ms, slot, Verdict::Failed, actions);
            }
            RunEvent::NotStarted(why) => self.note_not_started(now_ms, slot, run, why, actions),
            RunEvent::Stalled => self.move_stalled(now_ms, slot, run, actions),
        }
    }

    /// Stops a run that nobody waits for any more.
    fn stop_unknown(
        &mut self,
        host: HostSlot,
        run: RunId,
        event: RunEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if matches!(event, RunEvent::Started | RunEvent::Stalled)
            && let Some(record) = self.hosts.get_mut(host)
        {
            record.push_stop(run);
            actions.push(SchedulerAction::SendOrders(host));
        }
    }

    fn note_started(&mut self, slot: JobSlot, run: RunId) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.has_run = true;
        if let Some((task, mut place)) = job.current(run) {
            place.has_started = true;
            task.state = TaskState::Placed(place);
        }
    }

    fn note_done(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.has_run = true;
        if let Some((task, _)) = job.current(run) {
            task.state = TaskState::Done;
        }
        if job.is_done() {
            self.answer(now_ms, slot, Verdict::Completed, actions);
        } else {
            self.settle_withdrawal(now_ms, slot, actions);
            self.place(now_ms, slot, actions);
        }
    }

    fn note_failed(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.has_run = true;
        let max_failures = job.request.queue.max_failures;
        let Some((task, _)) = job.current(run) else {
            return;
        };
        task.failures += 1;
        if task.failures >= max_failures.max(1) {
            self.answer(now_ms, slot, Verdict::Failed, actions);
            return;
        }
        self.reopen(now_ms, slot, run, now_ms, actions);
    }

    fn note_not_started(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        why: NotStarted,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let pause_ms = match why {
            NotStarted::Occupied => OCCUPIED_PAUSE_MS,
            NotStarted::NoTarget | NotStarted::PermitExpired => PLACE_AGAIN_MS,
            NotStarted::NoRoom
            | NotStarted::Draining
            | NotStarted::Malformed
            | NotStarted::Withdrawn => 0,
        };
        self.reopen(now_ms, slot, run, now_ms + pause_ms, actions);
    }

    /// Lets a task wait for a new place, away from the host where it was.
    fn reopen(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        not_before_ms: u64,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        if let Some((task, place)) = job.current(run) {
            task.state = TaskState::Waiting { not_before_ms };
            if place.has_started && !task.avoided.contains(&place.host) {
                task.avoided.push(place.host);
            }
        }
        self.settle_withdrawal(now_ms, slot, actions);
        self.place_again(now_ms, slot, actions);
    }

    /// Places the waiting tasks of a job, or gives the job up if there is no hope left.
    fn place_again(&mut self, now_ms: u64, slot: JobSlot, actions: &mut Vec<SchedulerAction>) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        if job.withdrawal.is_some() || job.placeable(now_ms).is_empty() {
            return;
        }
        let mut candidates = self.candidates(now_ms, job);
        let finish_ms = self.outlook(now_ms, job, &mut candidates);
        let objection = admission::objection(&Outlook {
            finish_ms: finish_ms.map(|ms| ms + now_ms.saturating_sub(job.arrived_ms) as f64),
            objective_ms: job.request.objective_ms(),
            time_left_ms: job.request.time_left_ms,
        });
        if objection == Some(NotRunReason::Overload) && !job.has_run {
            self.withdraw(now_ms, slot, NotRunReason::Overload, actions);
            return;
        }
        self.place(now_ms, slot, actions);
    }

    /// Stops a run without progress, so that the task can run elsewhere.
    fn move_stalled(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        let step = &job.request.steps[usize::from(run.task.step)];
        let time_left_ms = job.deadline_ms.saturating_sub(now_ms);
        if time_left_ms < u64::from(step.estimate_ms) {
            return;
        }
        let Some((task, mut place)) = job.current(run) else {
            return;
        };
        place.is_stopping = true;
        task.state = TaskState::Placed(place);
        if let Some(host) = self.hosts.get_mut(place.host) {
            host.push_stop(run);
            actions.push(SchedulerAction::SendOrders(place.host));
        }
    }

    /// Takes care of the tasks of a job on hosts that have gone silent or have a new agent.
    fn recover_lost(&mut self, now_ms: u64, slot: JobSlot, actions: &mut Vec<SchedulerAction>) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let mut over = Vec::new();
        let mut is_lost = false;
        for (run, place) in job.placed() {
            let Some(host) = self.hosts.get(place.host) else {
                over.push((run, place.host));
                continue;
            };
            if host.is_over(now_ms, place.agent) {
                over.push((run, place.host));
                continue;
            }
            let is_silent = host.agent != Some(place.agent) || !host.is_connected;
            let permit_at_ms = host.last_permit_of(place.agent);
            if is_silent && now_ms >= permit_at_ms + (RUN_OVER_MS - RESEND_MS) {
                let step = &job.request.steps[usize::from(run.task.step)];
                let again_ms = permit_at_ms + RUN_OVER_MS + u64::from(step.estimate_ms);
                is_lost |= again_ms > job.deadline_ms;
            }
        }
        if is_lost {
            self.answer(now_ms, slot, Verdict::Lost, actions);
            return;
        }
        for (run, host) in over {
            // An order that is still to be sent again must not start what runs elsewhere by then.
            if let Some(host) = self.hosts.get_mut(host) {
                host.take_back(run);
            }
            self.note_started(slot, run);
            self.reopen(now_ms, slot, run, now_ms, actions);
        }
    }

    fn check_times(&mut self, now_ms: u64, slot: JobSlot, actions: &mut Vec<SchedulerAction>) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let is_unconfirmed = job.withdrawal.is_some_and(|at| now_ms >= at.until_ms);
        if now_ms >= job.deadline_ms || is_unconfirmed {
            let is_untouched = !job.has_run && job.placed().is_empty();
            let verdict = if is_untouched {
                self.not_run(slot, NotRunReason::TooLate)
            } else {
                Verdict::Expired
            };
            self.answer(now_ms, slot, verdict, actions);
        }
    }

    /// Takes back every order of a job of which nothing has started.
    fn withdraw(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        why: NotRunReason,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.withdrawal = Some(Withdrawal {
            why,
            until_ms: now_ms + WITHDRAWAL_MS,
        });
        for (run, place) in job.placed() {
            let Some(host) = self.hosts.get_mut(place.host) else {
                continue;
            };
            if host.push_stop(run)
                && let Some((task, _)) = self.jobs[slot].current(run)
            {
                task.state = TaskState::Waiting { not_before_ms: 0 };
            }
            actions.push(SchedulerAction::SendOrders(place.host));
        }
        self.settle_withdrawal(now_ms, slot, actions);
    }

    /// Answers a job that is being withdrawn once all its orders are accounted for.
    fn settle_withdrawal(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let Some(withdrawal) = job.withdrawal else {
            return;
        };
        if !job.placed().is_empty() {
            return;
        }
        let verdict = if job.has_run {
            Verdict::Expired
        } else {
            self.not_run(slot, withdrawal.why)
        };
        self.answer(now_ms, slot, verdict, actions);
    }

    fn not_run(&self, slot: JobSlot, why: NotRunReason) -> Verdict {
        let job = &self.jobs[slot];
        Verdict::NotRun {
            why,
            retry_after_ms: admission::retry_after_ms(job.id(), 0.0),
        }
    }

    fn answer(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        verdict: Verdict,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.remove(slot, actions) else {
            return;
        };
        self.answered.remember(now_ms, job.id(), verdict);
        actions.push(SchedulerAction::Answer {
            job: slot,
            id: job.id(),
            verdict,
            is_late: now_ms > job.objective_at_ms,
        });
    }

    /// Removes a job and stops what it has at hosts.
    fn remove(&mut self, slot: JobSlot, actions: &mut Vec<SchedulerAction>) -> Option<Job> {
        let job = self.jobs.remove(slot)?;
        self.by_id.remove(&job.id());
        for (run, place) in job.placed() {
            if let Some(host) = self.hosts.get_mut(place.host)
                && host.agent == Some(place.agent)
            {
                host.push_stop(run);
                actions.push(SchedulerAction::SendOrders(place.host));
            }
        }
        Some(job)
    }
}

fn millis(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
