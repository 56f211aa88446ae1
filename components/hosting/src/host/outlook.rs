//! What the agent expects of its queue: when room opens, and which tasks will not start in time.

use model::{NotStartedReason, Opening, Resources, TaskRef};

use super::Host;
use super::starts::required_resources;
use crate::forecast::Forecast;
use crate::queue::QueuePosition;
use crate::run::{Run, RunState};

impl Host {
    /// Returns when resources are expected to be free for a further task, if it waits for the
    /// queued tasks that `is_ahead` selects.
    pub(super) fn openings(&self, now_ms: u64, is_ahead: impl Fn(&Run) -> bool) -> Vec<Opening> {
        let Some(mut forecast) = self.forecast(now_ms) else {
            return Vec::new();
        };
        for task in self.waiting_tasks(now_ms) {
            let run = &self.runs[&task];
            if is_ahead(run) {
                self.place(now_ms, run, &mut forecast);
            }
        }
        forecast.openings()
    }

    /// Rejects the queued tasks that are not expected to start before their time in the queue is
    /// over, or in time to end before the agent closes.
    pub(super) fn turn_back_waiting(&mut self, now_ms: u64) {
        let Some(mut forecast) = self.forecast(now_ms) else {
            return;
        };
        for task in self.waiting_tasks(now_ms) {
            let run = &self.runs[&task];
            let RunState::Waiting { queue_deadline_ms } = run.state else {
                continue;
            };
            let start_ms = forecast.free_at_ms(&self.required(now_ms, run));
            let is_by = |latest_ms| start_ms.is_some_and(|start_ms| start_ms <= latest_ms);
            if !is_by(queue_deadline_ms) {
                self.reject(task, NotStartedReason::NoRoom);
            } else if !is_by(self.latest_start_ms(now_ms, run.estimate_ms)) {
                self.reject(task, NotStartedReason::Draining);
            } else {
                self.place(now_ms, run, &mut forecast);
            }
        }
    }

    /// Returns the waiting tasks in the order in which they start.
    pub(super) fn waiting_tasks(&self, now_ms: u64) -> Vec<TaskRef> {
        let mut waiting: Vec<(QueuePosition, TaskRef)> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.occupies_resources())
            .map(|(task, run)| (QueuePosition::new(run, now_ms), *task))
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, task)| task).collect()
    }

    /// Returns the forecast of the room, without the queued tasks; `None` without a target.
    fn forecast(&self, now_ms: u64) -> Option<Forecast> {
        let capacity = self.target.as_ref()?.capacity;
        let speed_permille = self.speed.permille(now_ms);
        let free = capacity.saturating_sub(&self.used_resources());
        let mut forecast = Forecast::new(now_ms, free);
        for run in self.runs.values() {
            if let Some(end_ms) = run.expected_end_ms(now_ms, speed_permille) {
                forecast.add_end(end_ms, run.needs);
            }
        }
        Some(forecast)
    }

    fn place(&self, now_ms: u64, run: &Run, forecast: &mut Forecast) {
        let speed_permille = self.speed.permille(now_ms).max(1);
        let run_ms = u64::from(run.estimate_ms) * 1_000 / u64::from(speed_permille);
        forecast.place(run.needs, &self.required(now_ms, run), run_ms);
    }

    fn required(&self, now_ms: u64, run: &Run) -> Resources {
        let capacity = self.target.as_ref().map(|target| target.capacity);
        required_resources(run, now_ms, &capacity.unwrap_or_default())
    }
}
