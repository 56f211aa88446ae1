//! Jobs in progress and the states of their tasks.

use model::{CallerId, ProcessKey, RunId, TaskRef};
use slotmap::new_key_type;

use crate::host::HostSlot;
use crate::request::JobRequest;
use crate::verdict::NotRunReason;

new_key_type! {
    /// Key of a job in the scheduler.
    pub struct JobSlot;
}

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waits for earlier steps, or for a placement.
    Waiting {
        /// Earliest time of the next placement, in milliseconds.
        not_before_ms: u64,
    },
    /// Ordered at a host.
    Placed(Place),
    /// Completed.
    Done,
}

/// Host and agent at which a run of a task was ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) host: HostSlot,
    pub(crate) agent: ProcessKey,
    pub(crate) attempt: u32,
    pub(crate) has_started: bool,
}

/// A task of a job.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) attempts: u32,
    pub(crate) failures: u32,
    pub(crate) avoided_hosts: Vec<HostSlot>,
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
    pub(crate) waiters: u32,
    pub(crate) has_run: bool,
    pub(crate) steps: Vec<Vec<Task>>,
    pub(crate) withdrawal: Option<Withdrawal>,
}

impl Job {
    pub(crate) fn new(now_ms: u64, request: JobRequest) -> Self {
        let task = Task {
            state: TaskState::Waiting { not_before_ms: 0 },
            attempts: 0,
            failures: 0,
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
            objective_at_ms: now_ms + request.objective_ms(),
            waiters: 1,
            has_run: false,
            steps,
            withdrawal: None,
            request,
        }
    }

    pub(crate) fn id(&self) -> CallerId {
        self.request.id
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
    pub(crate) fn current(&mut self, run: RunId) -> Option<(&mut Task, Place)> {
        let task = self.task_mut(run.task)?;
        match task.state {
            TaskState::Placed(place) if place.attempt == run.attempt => Some((task, place)),
            _ => None,
        }
    }

    /// Returns all runs that were ordered and have not been reported as ended or not started.
    pub(crate) fn placed(&self) -> Vec<(RunId, Place)> {
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
