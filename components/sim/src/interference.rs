//! Interference between kinds of task that run on one target.

/// How kinds of task, by their numbers in the load, slow each other down on one target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Interference {
    /// Not at all.
    #[default]
    None,
    /// Two kinds slow each other down.
    Pair {
        /// The kinds.
        kinds: (usize, usize),
        /// Factor on the run time of each beside the other.
        factor: f64,
    },
    /// One kind slows down every other one.
    Disturber {
        /// The disturbing kind.
        kind: usize,
        /// Factor on the run time of the others beside it.
        factor: f64,
    },
    /// Two kinds slow each other down in every other period.
    Changing {
        /// The kinds.
        kinds: (usize, usize),
        /// Factor on the run time of each beside the other.
        factor: f64,
        /// Length of a period, in milliseconds.
        period_ms: u64,
    },
}

impl Interference {
    /// Returns the factor on the run time of a task of kind `of` beside tasks of kind `by`.
    fn pair_factor(self, now_us: u64, of: usize, by: usize) -> f64 {
        let is_pair = |(first, second)| (of, by) == (first, second) || (by, of) == (first, second);
        match self {
            Self::Pair { kinds, factor } if is_pair(kinds) => factor,
            Self::Disturber { kind, factor } if by == kind && of != kind => factor,
            Self::Changing {
                kinds,
                factor,
                period_ms,
            } if is_pair(kinds) && (now_us / 1_000 / period_ms).is_multiple_of(2) => factor,
            _ => 1.0,
        }
    }

    /// Returns the factor on the run time of a task beside tasks of these kinds; several tasks of one
    /// kind slow it down as much as one.
    pub(crate) fn factor(
        self,
        now_us: u64,
        of: usize,
        neighbors: impl Iterator<Item = usize>,
    ) -> f64 {
        let mut seen = 0_u64;
        let mut factor = 1.0;
        for by in neighbors.filter(|by| *by < 64) {
            if seen & (1 << by) == 0 {
                seen |= 1 << by;
                factor *= self.pair_factor(now_us, of, by);
            }
        }
        factor
    }

    /// Returns the next time at which the factors change by themselves, in microseconds.
    pub(crate) fn next_change_us(self, now_us: u64) -> Option<u64> {
        match self {
            Self::Changing { period_ms, .. } => {
                Some((now_us / (period_ms * 1_000) + 1) * period_ms * 1_000)
            }
            _ => None,
        }
    }
}
