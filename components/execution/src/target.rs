//! Availability of the agent's target, its call limit and the back-off after failures.

use model::{JobMeta, TargetInfo};

/// Consecutive calls that did not start after which the agent backs off.
const BACKOFF_THRESHOLD: u32 = 3;
const MIN_BACKOFF_US: u64 = 100_000;
const MAX_BACKOFF_US: u64 = 5_000_000;

/// State of the target as the agent sees it.
#[derive(Debug, Default)]
pub(crate) struct Target {
    announced: Option<(TargetInfo, u64)>,
    consecutive_failures: u32,
    backoff_until_us: u64,
}

impl Target {
    pub fn announce(&mut self, info: TargetInfo, expires_us: u64) {
        self.announced = Some((info, expires_us));
    }

    pub fn clear(&mut self) {
        self.announced = None;
    }

    pub fn info(&self) -> Option<&TargetInfo> {
        self.announced.as_ref().map(|(info, _)| info)
    }

    pub fn expires_us(&self) -> Option<u64> {
        self.announced.as_ref().map(|&(_, expires_us)| expires_us)
    }

    /// Returns when the current back-off ends, if there is one.
    pub fn backoff_until_us(&self, now_us: u64) -> Option<u64> {
        (self.backoff_until_us > now_us).then_some(self.backoff_until_us)
    }

    pub fn accepts(&self, job: &JobMeta) -> bool {
        self.info()
            .is_some_and(|info| info.group == job.group && info.firms.contains(&job.key.firm))
    }

    /// Returns the number of concurrent calls that the target allows when it is not failing.
    pub fn max_concurrent_calls(&self) -> u16 {
        self.info()
            .map_or(0, |info| info.slots.min(info.connections))
    }

    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= BACKOFF_THRESHOLD
    }

    /// Returns the current maximum number of concurrent calls.
    pub fn call_limit(&self, now_us: u64) -> u16 {
        if self.backoff_until_us > now_us {
            return 0;
        }
        // A single call probes whether a failing target has recovered.
        if self.is_failing() {
            self.max_concurrent_calls().min(1)
        } else {
            self.max_concurrent_calls()
        }
    }

    pub fn record_started(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until_us = 0;
    }

    pub fn record_not_started(&mut self, now_us: u64) {
        if self.backoff_until_us > now_us {
            // This call was made before the back-off began, so it does not count as a new failure.
            return;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.is_failing() {
            let doublings = (self.consecutive_failures - BACKOFF_THRESHOLD).min(16);
            let backoff_us = (MIN_BACKOFF_US << doublings).min(MAX_BACKOFF_US);
            self.backoff_until_us = now_us + backoff_us;
        }
    }
}
