//! Token bucket that limits a rate of calls.

use std::time::{Duration, Instant};

/// What happens to calls above the rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overload {
    /// They are answered with status 429.
    Reject,
    /// They wait for their turn.
    Delay,
}

/// Whether a call may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    Now,
    After(Duration),
    Rejected,
}

pub(super) struct Limiter {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
    overload: Overload,
}

impl Limiter {
    pub(super) fn new(rate_per_s: u32, overload: Overload) -> Self {
        Self {
            rate_per_s: f64::from(rate_per_s),
            tokens: f64::from(rate_per_s),
            refilled_at: Instant::now(),
            overload,
        }
    }

    /// Takes a token; the bucket holds those of one second.
    pub(super) fn admit(&mut self, now: Instant) -> Admission {
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.rate_per_s);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Admission::Now;
        }
        if self.overload == Overload::Reject || self.rate_per_s == 0.0 {
            return Admission::Rejected;
        }
        let wait_s = (1.0 - self.tokens) / self.rate_per_s;
        self.tokens -= 1.0;
        Admission::After(Duration::from_secs_f64(wait_s))
    }
}
