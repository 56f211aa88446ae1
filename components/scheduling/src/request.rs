//! What a caller asks for.

use std::rc::Rc;

use model::{CallerId, Resources};

/// The operators' rules for a queue of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueRules {
    /// Name.
    pub name: Rc<str>,
    /// Group of interchangeable targets that run its tasks.
    pub group: Rc<str>,
    /// Urgency class; 0 comes first.
    pub priority: u8,
    /// Failures of one task after which the job has failed.
    pub max_failures: u32,
    /// Factor between the expected work of a job and the time that its answer may take.
    pub stretch: f64,
    /// Time that an answer may take beyond the stretched work, in milliseconds.
    pub allowance_ms: u64,
    /// Longest time that a request may take if the caller names none, in milliseconds.
    pub timeout_ms: u64,
}

/// A step: tasks that are alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepRequest {
    /// Number of tasks.
    pub count: u16,
    /// What each task takes up.
    pub needs: Resources,
    /// Expected run time of a task, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Label that a host must have.
    pub required_label: Option<Rc<str>>,
    /// Label of the hosts near the task's data.
    pub preferred_label: Option<Rc<str>>,
    /// Tasks of the step that may run on one host at most.
    pub max_per_host: Option<u16>,
}

/// A job that a caller hands in.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// Id chosen by the caller.
    pub id: CallerId,
    /// Rules of its queue.
    pub queue: Rc<QueueRules>,
    /// What the tasks execute.
    pub specification: Rc<str>,
    /// Its steps.
    pub steps: Vec<StepRequest>,
    /// Time until the caller stops waiting, in milliseconds.
    pub time_left_ms: u64,
}

impl JobRequest {
    /// Returns the number of tasks.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Returns the expected time of the longest chain of steps, in milliseconds.
    #[must_use]
    pub fn chain_ms(&self) -> u64 {
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

    /// Returns the time that the answer may take to be in time, in milliseconds.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        let work_ms = self.chain_ms() as f64 * self.queue.stretch;
        work_ms as u64 + self.queue.allowance_ms
    }
}
