//! Jobs as callers submit them, and the rules of their queues.

use std::rc::Rc;

use model::{JobId, Resources};

/// Rules of a job queue, set by the operators.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueRules {
    /// Name of the queue.
    pub name: Rc<str>,
    /// Group of interchangeable targets that run its tasks.
    pub group: Rc<str>,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Number of failures of one task at which the job fails.
    pub max_failures: u32,
    /// Factor by which the expected run time of a job is multiplied in its response time objective.
    pub stretch: f64,
    /// Constant part of the response time objective, in milliseconds.
    pub allowance_ms: u64,
    /// Timeout of a request that sets none, in milliseconds.
    pub timeout_ms: u64,
}

/// A step of a job: a number of tasks with equal requirements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepRequest {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task takes up.
    pub needs: Resources,
    /// Expected run time of a task on a target of speed 1, in milliseconds.
    pub estimate_ms: u32,
    /// Indexes of the earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Label that a host must have.
    pub required_label: Option<Rc<str>>,
    /// Label of the hosts that are close to the task's data.
    pub preferred_label: Option<Rc<str>>,
    /// Maximum number of tasks of the job on a host that is chosen for a task of this step.
    pub max_per_host: Option<u16>,
}

/// A job that a caller submits.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// Id chosen by the caller; copies of a request carry the same id.
    pub id: JobId,
    /// Rules of its queue.
    pub queue: Rc<QueueRules>,
    /// Specification that is passed on to the target of each task.
    pub specification: Rc<str>,
    /// Steps of the job, in an order in which every step follows those that it depends on.
    pub steps: Vec<StepRequest>,
    /// Time until the caller stops waiting, in milliseconds.
    pub time_left_ms: u64,
}

impl JobRequest {
    /// Returns the number of tasks of all steps.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Returns the expected run time of the longest chain of dependent steps, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let earlier = step
                .after
                .iter()
                .filter_map(|at| ends_ms.get(usize::from(*at)));
            let start_ms = earlier.copied().max().unwrap_or(0);
            ends_ms.push(start_ms + u64::from(step.estimate_ms));
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns the response time objective, in milliseconds.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        let work_ms = self.critical_path_ms() as f64 * self.queue.stretch;
        work_ms as u64 + self.queue.allowance_ms
    }
}
