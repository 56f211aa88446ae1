//! Token bucket that limits the rate of calls.

use std::time::{Duration, Instant};

/// Handling of calls above the rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overload {
    /// Rejects them with status 429.
    Reject,
    /// Delays them until the rate permits them.
    Delay,
}

/// Decision of the rate limiter on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    Admitted,
    Delayed(Duration),
    Rejected,
}

pub(super) struct RateLimiter {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
    overload: Overload,
}

impl RateLimiter {
    pub(super) fn new(rate_per_s: u32, overload: Overload) -> Self {
        Self {
            rate_per_s: f64::from(rate_per_s),
            tokens: f64::from(rate_per_s),
            refilled_at: Instant::now(),
            overload,
        }
    }

    /// Takes a token from the bucket, whose capacity is the tokens of one second.
    ///
    /// With [`Overload::Delay`] the number of tokens becomes negative; each delayed call then waits
    /// for the ones before it.
    pub(super) fn admit(&mut self, now: Instant) -> Admission {
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.rate_per_s);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Admission::Admitted;
        }
        if self.overload == Overload::Reject || self.rate_per_s == 0.0 {
            return Admission::Rejected;
        }
        let wait_s = (1.0 - self.tokens) / self.rate_per_s;
        self.tokens -= 1.0;
        Admission::Delayed(Duration::from_secs_f64(wait_s))
    }
}
