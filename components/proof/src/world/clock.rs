//! Clocks of processes, with errors of their rate and wall-clock time.

use crate::seed::SeededRng;

/// Unix time at which every run begins, in milliseconds.
pub const BASE_UNIX_MS: u64 = 1_700_000_000_000;

/// Largest error of a clock's rate, in parts per million.
const MAX_RATE_ERROR_PPM: i64 = 200;

/// Largest difference of a wall clock from true time, in milliseconds.
const MAX_OFFSET_MS: u64 = model::CLOCK_SKEW_MS / 2;

/// The monotonic and the wall clock of a process, as functions of true time.
///
/// True time is the time of the event queue.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    rate_error_ppm: i64,
    /// Reading of the monotonic clock at the start of the run.
    epoch_us: u64,
    offset_ms: i64,
}

impl Clock {
    /// Draws a clock with random errors.
    pub fn draw(rng: &mut SeededRng) -> Self {
        let rate = rng.range(0..=2 * MAX_RATE_ERROR_PPM as u64) as i64 - MAX_RATE_ERROR_PPM;
        let offset_ms = rng.range(0..=2 * MAX_OFFSET_MS) as i64 - MAX_OFFSET_MS as i64;
        Self {
            rate_error_ppm: rate,
            epoch_us: rng.range(1_000_000..=1_000_000_000),
            offset_ms,
        }
    }

    /// Returns the reading of the monotonic clock.
    pub fn monotonic_us(&self, true_us: u64) -> u64 {
        let error_us = true_us as i64 * self.rate_error_ppm / 1_000_000;
        self.epoch_us + true_us.saturating_add_signed(error_us)
    }

    /// Returns the reading of the wall clock.
    pub fn unix_ms(&self, true_us: u64) -> u64 {
        unix_ms(true_us).saturating_add_signed(self.offset_ms)
    }
}

/// Returns the Unix time at a true time, in milliseconds.
pub fn unix_ms(true_us: u64) -> u64 {
    BASE_UNIX_MS + true_us / 1_000
}
