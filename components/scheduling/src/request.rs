//! Jobs as callers submit them, and the rules of their queues.

use std::rc::Rc;

use model::{JobId, Resources};

use crate::limits::MAX_TASKS;

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
    /// Run time of a task as the caller declares it, in milliseconds; it may be wrong by any factor.
    pub declared_ms: u32,
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

    /// Returns whether the job has more tasks than an entry takes, or none.
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        !(1..=MAX_TASKS).contains(&self.task_count())
    }

    /// Returns, for each step, the duration of the longest chain of steps that depend on it, given
    /// the duration of each step in milliseconds.
    #[must_use]
    pub fn later_steps_ms(&self, durations_ms: &[f64]) -> Vec<f64> {
        let mut later_ms = vec![0.0_f64; self.steps.len()];
        for (at, step) in self.steps.iter().enumerate().rev() {
            let chain_ms = durations_ms[at] + later_ms[at];
            for earlier in &step.after {
                if let Some(later_ms) = later_ms.get_mut(usize::from(*earlier)) {
                    *later_ms = later_ms.max(chain_ms);
                }
            }
        }
        later_ms
    }
}
