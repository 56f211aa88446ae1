//! Pauses between attempts to reach a peer or a back end, without I/O and clock.
//!
//! Handles a tenth of all targets going down and up alternately, and the loss of a store or a peer
//! that all processes call: attempts at what does not answer stay few, and processes that lost the
//! same peer don't return to it in step.

use model::mix64;

/// Factor by which the pause grows with each failure.
const GROWTH: u64 = 2;

/// Default of the share of a pause that jitter may take away, in thousandths.
const DEFAULT_JITTER_PERMILLE: u64 = 200;

/// Exponential backoff with jitter; times are on a monotonic clock of the caller.
///
/// Jitter only shortens pauses, so that a bound derived from the longest pause holds.
///
/// ```
/// use runtime::Backoff;
///
/// let mut backoff = Backoff::builder(20, 200).jitter_permille(0).build();
/// assert_eq!(backoff.remaining_ms(1_000), 0);
/// assert_eq!(backoff.record_failure(1_000), 1_020);
/// assert_eq!(backoff.record_failure(1_020), 1_060);
/// backoff.record_success();
/// assert_eq!(backoff.record_failure(2_000), 2_020);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    initial_pause_ms: u64,
    max_pause_ms: u64,
    jitter_permille: u64,
    /// State of the generator of the jitter.
    random: u64,
    /// Pause after the next failure, before jitter.
    next_pause_ms: u64,
    /// Time of the next attempt; 0 unless the last one failed.
    next_attempt_at_ms: u64,
}

impl Backoff {
    /// Returns a builder of a policy whose pauses grow from `initial_pause_ms` to `max_pause_ms`.
    #[must_use]
    pub fn builder(initial_pause_ms: u64, max_pause_ms: u64) -> BackoffBuilder {
        BackoffBuilder {
            initial_pause_ms,
            max_pause_ms,
            jitter_permille: DEFAULT_JITTER_PERMILLE,
            seed: 0,
        }
    }

    /// Returns the time until the next attempt, in milliseconds.
    #[must_use]
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.next_attempt_at_ms.saturating_sub(now_ms)
    }

    /// Returns the pause after the next failure before jitter, in milliseconds.
    #[must_use]
    pub fn next_pause_ms(&self) -> u64 {
        self.next_pause_ms
    }

    /// Records that an attempt failed at `now_ms`; returns the time of the next one.
    pub fn record_failure(&mut self, now_ms: u64) -> u64 {
        let pause_ms = self.next_pause_ms;
        self.next_pause_ms = pause_ms.saturating_mul(GROWTH).min(self.max_pause_ms);
        self.next_attempt_at_ms = now_ms.saturating_add(pause_ms - self.jitter_ms(pause_ms));
        self.next_attempt_at_ms
    }

    /// Records that the other side answered: the next failure is followed by the initial pause.
    pub fn record_success(&mut self) {
        self.reset();
    }

    /// Records news that the other side has started: the next attempt is due immediately, and a
    /// failure of it is followed by the initial pause.
    pub fn record_peer_start(&mut self) {
        self.reset();
    }

    fn reset(&mut self) {
        self.next_pause_ms = self.initial_pause_ms;
        self.next_attempt_at_ms = 0;
    }

    /// Returns how much jitter takes away from a pause, in milliseconds.
    fn jitter_ms(&mut self, pause_ms: u64) -> u64 {
        let max_jitter_ms = pause_ms.saturating_mul(self.jitter_permille) / 1_000;
        self.random = mix64(self.random.wrapping_add(1));
        self.random % (max_jitter_ms + 1)
    }
}

/// Builder of [`Backoff`].
#[derive(Debug, Clone, Copy)]
pub struct BackoffBuilder {
    initial_pause_ms: u64,
    max_pause_ms: u64,
    jitter_permille: u64,
    seed: u64,
}

impl BackoffBuilder {
    /// Sets the largest share of a pause that jitter takes away, in thousandths.
    #[must_use]
    pub fn jitter_permille(mut self, jitter_permille: u64) -> Self {
        self.jitter_permille = jitter_permille;
        self
    }

    /// Sets the seed of the jitter; it should differ between processes that call the same peer.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the policy; its first attempt is due immediately.
    ///
    /// # Panics
    ///
    /// Panics if the initial pause is 0 or above the longest one, or if the share of the jitter is
    /// above 500: a loop would run without a pause.
    #[must_use]
    pub fn build(self) -> Backoff {
        let pauses_ms = self.initial_pause_ms..=self.max_pause_ms;
        assert!(
            self.initial_pause_ms > 0 && !pauses_ms.is_empty(),
            "the initial pause must be between 1 ms and the longest pause"
        );
        assert!(
            self.jitter_permille <= 500,
            "jitter must take away at most half of a pause"
        );
        Backoff {
            initial_pause_ms: self.initial_pause_ms,
            max_pause_ms: self.max_pause_ms,
            jitter_permille: self.jitter_permille,
            random: self.seed,
            next_pause_ms: self.initial_pause_ms,
            next_attempt_at_ms: 0,
        }
    }
}
