//! Jobs in progress and the states of their tasks.

use model::{JobId, ProcessKey, RunId, TaskRef};
use run_times::{KindSlot, RunTime};
use slotmap::new_key_type;

use crate::host::HostSlot;
use crate::limits::{MAX_CRASHES, MAX_CRASHES_AT_START};
use crate::request::{JobRequest, StepRequest};
use crate::verdict::NotRunReason;

new_key_type! {
    /// Key of a job in the scheduler.
    pub struct JobSlot;
}

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum TaskState {
    /// Waits for earlier steps, or for a placement.
    Waiting {
        /// Earliest time of the next placement, in milliseconds.
        not_before_ms: u64,
    },
    /// Ordered at a host.
    Placed(RunPlacement),
    /// Completed.
    Done,
}

/// Host and agent at which a run of a task was ordered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RunPlacement {
    pub(crate) host: HostSlot,
    pub(crate) agent: ProcessKey,
    pub(crate) attempt: u32,
    pub(crate) has_started: bool,
    /// Expected wait in the queue of the host, in milliseconds.
    pub(crate) wait_ms: f64,
    /// Expected run time on the host.
    pub(crate) run_time: RunTime,
}

/// What is expected of the tasks of a step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepForecast {
    pub(crate) kind: Option<KindSlot>,
    /// Run time of a task on a host of speed 1.
    pub(crate) run_time: RunTime,
    /// Run time of a task on a usual host, in milliseconds: the work by which the objective counts.
    pub(crate) work_ms: f64,
    /// Work of the longest chain of steps that depend on this one, in milliseconds.
    pub(crate) later_work_ms: f64,
}

/// A task of a job.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) attempts: u32,
    pub(crate) failures: u32,
    /// Number of targets that have crashed while they ran the task.
    pub(crate) crashes: u32,
    /// Number of those that crashed right after they had started it.
    pub(crate) crashes_at_start: u32,
    /// Whether one of those had started only tasks of this job.
    pub(crate) is_likely_cause: bool,
    pub(crate) avoided_hosts: Vec<HostSlot>,
}

impl Task {
    /// Returns whether so many targets have crashed under the task that it must not start again.
    pub(crate) fn is_given_up(&self) -> bool {
        self.crashes >= MAX_CRASHES || self.is_cause()
    }

    /// Returns whether the task is considered to be the cause of crashes: there is evidence against it
    /// alone, or it had just started at each of many crashes.
    pub(crate) fn is_cause(&self) -> bool {
        self.crashes_at_start >= MAX_CRASHES
            || self.crashes_at_start >= MAX_CRASHES_AT_START && self.is_likely_cause
    }
}

/// A withdrawal whose confirmation by the agents is outstanding.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Withdrawal {
    pub(crate) reason: NotRunReason,
    pub(crate) until_ms: u64,
}

/// A job in progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: JobRequest,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) objective_at_ms: u64,
    pub(crate) forecasts: Vec<StepForecast>,
    /// Speed of the usual host when the job arrived, in thousandths.
    pub(crate) usual_speed_permille: f64,
    /// Time from the arrival to the answer as expected on admission, in milliseconds.
    pub(crate) expected_ms: f64,
    pub(crate) waiters: u32,
    /// Whether a task has started, or may have.
    pub(crate) has_started_tasks: bool,
    pub(crate) steps: Vec<Vec<Task>>,
    pub(crate) withdrawal: Option<Withdrawal>,
    /// Whether the job waits for hosts to come into view; none of its tasks has been placed.
    pub(crate) awaits_hosts: bool,
}

impl Job {
    /// Creates a job; `forecast` returns the kind and the run time of a step's tasks on a host of
    /// speed 1, `usual_speed_permille` is the speed of the hosts by which its objective counts.
    pub(crate) fn new(
        now_ms: u64,
        request: JobRequest,
        usual_speed_permille: f64,
        forecast: impl FnMut(u16, &StepRequest) -> (Option<KindSlot>, RunTime),
    ) -> Self {
        let forecasts = step_forecasts(&request, usual_speed_permille, forecast);
        let work_ms = critical_path_ms(&forecasts) * request.queue.stretch;
        let objective_ms = work_ms as u64 + request.queue.allowance_ms;
        let task = Task {
            state: TaskState::Waiting { not_before_ms: 0 },
            attempts: 0,
            failures: 0,
            crashes: 0,
            crashes_at_start: 0,
            is_likely_cause: false,
            avoided_hosts: Vec::new(),
        };
        let steps = request
            .steps
            .iter()
            .map(|step| vec![task.clone(); usize::from(step.count)])
            .collect();
        Self {
            arrived_ms: now_ms,
            deadline_ms: now_ms + request.time_left_ms,
            objective_at_ms: now_ms + objective_ms,
            forecasts,
            usual_speed_permille,
            expected_ms: 0.0,
            waiters: 1,
            has_started_tasks: false,
            steps,
            withdrawal: None,
            awaits_hosts: false,
            request,
        }
    }

    pub(crate) fn id(&self) -> JobId {
        self.request.id
    }

    /// Returns the response time objective, in milliseconds from the arrival.
    pub(crate) fn objective_ms(&self) -> u64 {
        self.objective_at_ms - self.arrived_ms
    }

    /// Returns whether the job may end before its caller stops waiting if its tasks start now.
    pub(crate) fn can_end_in_time(&self, now_ms: u64) -> bool {
        now_ms as f64 + critical_path_ms(&self.forecasts) <= self.deadline_ms as f64
    }

    /// Returns what is expected of the tasks of a step.
    pub(crate) fn forecast(&self, step: u16) -> &StepForecast {
        &self.forecasts[usize::from(step)]
    }

    /// Returns the time from now until the objective of a task of a step if it had no work, in
    /// milliseconds, with the later steps taken off; negative if it has passed.
    pub(crate) fn allowance_ms(&self, now_ms: u64, step: u16) -> f64 {
        let forecast = self.forecast(step);
        let to_objective_ms = self.objective_at_ms as f64 - now_ms as f64;
        let own_stretched_ms = forecast.work_ms * self.request.queue.stretch;
        to_objective_ms - own_stretched_ms - forecast.later_work_ms
    }

    pub(crate) fn task(&self, task: TaskRef) -> Option<&Task> {
        let step = self.steps.get(usize::from(task.step))?;
        step.get(usize::from(task.index))
    }

    pub(crate) fn task_mut(&mut self, task: TaskRef) -> Option<&mut Task> {
        let step = self.steps.get_mut(usize::from(task.step))?;
        step.get_mut(usize::from(task.index))
    }

    /// Returns the task and placement of a run if it is the latest run of the task.
    pub(crate) fn current_run(&mut self, run: RunId) -> Option<(&mut Task, RunPlacement)> {
        let task = self.task_mut(run.task)?;
        match task.state {
            TaskState::Placed(place) if place.attempt == run.attempt => Some((task, place)),
            _ => None,
        }
    }

    /// Returns all runs that were ordered and have not been reported as ended or not started.
    pub(crate) fn placed_runs(&self) -> Vec<(RunId, RunPlacement)> {
        let mut placed = Vec::new();
        for (task, state) in self.tasks() {
            if let TaskState::Placed(place) = state.state {
                let attempt = place.attempt;
                placed.push((RunId { task, attempt }, place));
            }
        }
        placed
    }

    /// Returns whether a run of this job may be on a host.
    pub(crate) fn is_placed_at(&self, host: HostSlot) -> bool {
        let mut tasks = self.steps.iter().flatten();
        tasks.any(|task| matches!(task.state, TaskState::Placed(place) if place.host == host))
    }

    /// Returns all tasks with their references.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (TaskRef, &Task)> {
        let job = self.id();
        self.steps
            .iter()
            .enumerate()
            .flat_map(move |(step, tasks)| {
                tasks.iter().enumerate().map(move |(index, task)| {
                    let task_ref = TaskRef {
                        job,
                        step: step as u16,
                        index: index as u16,
                    };
                    (task_ref, task)
                })
            })
    }

    pub(crate) fn is_done(&self) -> bool {
        self.tasks().all(|(_, task)| task.state == TaskState::Done)
    }

    /// Returns whether all steps that a step depends on are done.
    pub(crate) fn has_done_dependencies(&self, step: u16) -> bool {
        let after = &self.request.steps[usize::from(step)].after;
        after.iter().all(|earlier| {
            let tasks = self.steps.get(usize::from(*earlier));
            tasks.is_some_and(|tasks| tasks.iter().all(|task| task.state == TaskState::Done))
        })
    }

    /// Returns the tasks that wait for a placement and are due.
    pub(crate) fn placeable_tasks(&self, now_ms: u64) -> Vec<TaskRef> {
        let is_ready = |task: &Task| matches!(task.state, TaskState::Waiting { not_before_ms } if not_before_ms <= now_ms);
        self.tasks()
            .filter(|(task_ref, task)| is_ready(task) && self.has_done_dependencies(task_ref.step))
            .map(|(task_ref, _)| task_ref)
            .collect()
    }
}

/// Returns what is expected of the tasks of each step.
fn step_forecasts(
    request: &JobRequest,
    usual_speed_permille: f64,
    mut forecast: impl FnMut(u16, &StepRequest) -> (Option<KindSlot>, RunTime),
) -> Vec<StepForecast> {
    let mut forecasts: Vec<StepForecast> = (0..)
        .zip(&request.steps)
        .map(|(at, step)| {
            let (kind, run_time) = forecast(at, step);
            StepForecast {
                kind,
                run_time,
                work_ms: run_time.median_ms * 1_000.0 / usual_speed_permille.max(1.0),
                later_work_ms: 0.0,
            }
        })
        .collect();
    let work_ms: Vec<f64> = forecasts.iter().map(|step| step.work_ms).collect();
    let later_ms = request.later_steps_ms(&work_ms);
    for (forecast, later_ms) in forecasts.iter_mut().zip(later_ms) {
        forecast.later_work_ms = later_ms;
    }
    forecasts
}

/// Returns the expected work of the longest chain of dependent steps, in milliseconds.
fn critical_path_ms(forecasts: &[StepForecast]) -> f64 {
    let chains_ms = forecasts
        .iter()
        .map(|step| step.work_ms + step.later_work_ms);
    chains_ms.fold(0.0, f64::max)
}
