//! Learning from completed runs, and comparison of forecasts with what happened.

use model::{RunDurations, RunId};

use super::{Scheduler, SchedulerAction};
use crate::forecast::{ForecastOutcome, ForecastStage};
use crate::job::{Job, JobSlot};
use crate::placement::ROUND_TRIP_MS;

impl Scheduler {
    /// Learns from a completed run how long the tasks of its kind take.
    pub(super) fn record_run(
        &mut self,
        slot: JobSlot,
        run: RunId,
        durations: RunDurations,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        let Some((_, place)) = job.current_run(run) else {
            return;
        };
        let ran_ms = f64::from(durations.ran_ms);
        let forecast = *job.forecast(run.task.step);
        let step = &job.request.steps[usize::from(run.task.step)];
        let work_ms = forecast.work_ms * ran_ms / place.run_time.median_ms.max(1.0);
        self.kinds.record(
            forecast.kind,
            step.declared_ms,
            work_ms,
            usize::from(step.count),
        );
        let (shortest_ms, longest_ms) = place.run_time.band_ms();
        actions.push(SchedulerAction::RecordForecast(ForecastOutcome {
            stage: ForecastStage::Run,
            expected_ms: place.run_time.median_ms,
            actual_ms: ran_ms,
            is_in_band: Some((shortest_ms..=longest_ms).contains(&ran_ms)),
            was_host_busy: Some(durations.was_host_busy),
        }));
        actions.push(SchedulerAction::RecordForecast(ForecastOutcome {
            stage: ForecastStage::Wait,
            expected_ms: place.wait_ms + ROUND_TRIP_MS,
            actual_ms: f64::from(durations.waited_ms) + ROUND_TRIP_MS,
            is_in_band: None,
            was_host_busy: None,
        }));
    }
}

/// Returns the comparison for a job that completes now.
pub(super) fn job_outcome(now_ms: u64, job: &Job) -> ForecastOutcome {
    ForecastOutcome {
        stage: ForecastStage::Job,
        expected_ms: job.expected_ms,
        actual_ms: now_ms.saturating_sub(job.arrived_ms) as f64,
        is_in_band: None,
        was_host_busy: None,
    }
}
