//! Bayesian linear regression with forgetting, for one kind of task.

use crate::slots::MAX_KINDS;

/// Coefficients that are not effects of kinds: the kind's own error, the use of the host, and its being
/// crowded.
pub(crate) const COMMON: usize = 3;

/// Most coefficients.
pub(crate) const MAX_COEFFICIENTS: usize = COMMON + MAX_KINDS;

/// Prior standard deviations of the common coefficients. Declared run times are off by a factor of
/// about 1.5, and a full host may slow down its runs by as much.
const COMMON_PRIOR_DEVIATIONS: [f64; COMMON] = [0.5, 0.4, 0.4];

/// Prior standard deviation of the effect of a kind: an unknown pair rarely more than doubles run times.
pub const PRIOR_DEVIATION: f64 = 0.4;

/// Time in which evidence loses two thirds of its weight, in milliseconds.
const MEMORY_MS: f64 = 20_000.0;

/// Deviation of a run time from its expectation that is assumed before any run, in logarithms, and the
/// weight of that assumption, in runs.
const PRIOR_NOISE: f64 = 0.4;
const PRIOR_NOISE_RUNS: f64 = 8.0;

/// Residual from which on a run counts only as much, in standard deviations.
const OUTLIER_DEVIATIONS: f64 = 2.5;

pub(crate) type Values = [f64; MAX_COEFFICIENTS];

/// Estimate of one coefficient.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Coefficient {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
}

/// Sums over the runs of one kind, and the coefficients that follow from them.
#[derive(Debug, Clone)]
pub(crate) struct Regression {
    /// Lower half of the sum of products of the inputs.
    products: [Values; MAX_COEFFICIENTS],
    /// Sum of the inputs multiplied by the output.
    output_products: Values,
    square_sum: f64,
    runs: f64,
    mean: Values,
    updated_at_ms: u64,
}

impl Default for Regression {
    fn default() -> Self {
        Self {
            products: [[0.0; MAX_COEFFICIENTS]; MAX_COEFFICIENTS],
            output_products: [0.0; MAX_COEFFICIENTS],
            square_sum: PRIOR_NOISE * PRIOR_NOISE * PRIOR_NOISE_RUNS,
            runs: PRIOR_NOISE_RUNS,
            mean: [0.0; MAX_COEFFICIENTS],
            updated_at_ms: 0,
        }
    }
}

impl Regression {
    /// Returns the expected output.
    pub(crate) fn predict(&self, inputs: &Values) -> f64 {
        let products = self.mean.iter().zip(inputs);
        products.map(|(mean, input)| mean * input).sum()
    }

    /// Adds a run; only the first `count` inputs may differ from zero.
    pub(crate) fn add(&mut self, now_ms: u64, count: usize, inputs: &Values, output: f64) {
        self.forget(now_ms);
        let limit = OUTLIER_DEVIATIONS * self.noise_variance().sqrt();
        let expected = self.predict(inputs);
        let residual = (output - expected).clamp(-limit, limit);
        self.square_sum += residual * residual;
        self.runs += 1.0;
        for row in 0..count {
            self.output_products[row] += inputs[row] * (expected + residual);
            for column in 0..=row {
                self.products[row][column] += inputs[row] * inputs[column];
            }
        }
        let factor = self.factor(count);
        self.mean = factor.solve(&self.scaled_output_products());
    }

    /// Clears what is known of the coefficient of a slot, because another kind takes it.
    pub(crate) fn clear_slot(&mut self, slot: usize) {
        let cleared = COMMON + slot;
        self.products[cleared] = [0.0; MAX_COEFFICIENTS];
        for row in &mut self.products {
            row[cleared] = 0.0;
        }
        self.output_products[cleared] = 0.0;
        self.mean[cleared] = 0.0;
    }

    /// Returns the estimates of the first `count` coefficients.
    pub(crate) fn coefficients(&mut self, now_ms: u64, count: usize) -> Vec<Coefficient> {
        self.forget(now_ms);
        let factor = self.factor(count);
        let mean = factor.solve(&self.scaled_output_products());
        let estimate = |at: usize| Coefficient {
            mean: mean[at],
            variance: factor.inverse_diagonal(at),
        };
        (0..count).map(estimate).collect()
    }

    /// Returns the variance of outputs around their expectation.
    pub(crate) fn noise_variance(&self) -> f64 {
        self.square_sum / self.runs
    }

    fn forget(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.updated_at_ms = now_ms;
        if elapsed_ms <= 0.0 {
            return;
        }
        let kept = (-elapsed_ms / MEMORY_MS).exp();
        for row in &mut self.products {
            row.iter_mut().for_each(|product| *product *= kept);
        }
        let outputs = self.output_products.iter_mut();
        outputs.for_each(|product| *product *= kept);
        // The noise returns to its prior, so that its weight never gets lost.
        let prior_squares = PRIOR_NOISE * PRIOR_NOISE * PRIOR_NOISE_RUNS;
        self.square_sum = prior_squares + kept * (self.square_sum - prior_squares);
        self.runs = PRIOR_NOISE_RUNS + kept * (self.runs - PRIOR_NOISE_RUNS);
    }

    fn scaled_output_products(&self) -> Values {
        let precision = 1.0 / self.noise_variance();
        self.output_products.map(|product| product * precision)
    }

    /// Returns the factor of the posterior precision.
    fn factor(&self, count: usize) -> Factor {
        let precision = 1.0 / self.noise_variance();
        let mut rows = self.products;
        for (at, row) in rows.iter_mut().enumerate().take(count) {
            row.iter_mut().for_each(|product| *product *= precision);
            let prior_deviation = COMMON_PRIOR_DEVIATIONS
                .get(at)
                .copied()
                .unwrap_or(PRIOR_DEVIATION);
            row[at] += 1.0 / (prior_deviation * prior_deviation);
        }
        Factor::new(rows, count)
    }
}

/// Cholesky factor of a symmetric positive definite matrix.
struct Factor {
    rows: [Values; MAX_COEFFICIENTS],
    count: usize,
}

impl Factor {
    /// Factors the matrix of which `rows` has the lower half.
    fn new(mut rows: [Values; MAX_COEFFICIENTS], count: usize) -> Self {
        for column in 0..count {
            for row in column..count {
                let (above, below) = (rows[column], rows[row]);
                let done: f64 = (0..column).map(|at| above[at] * below[at]).sum();
                let rest = below[column] - done;
                rows[row][column] = if row == column {
                    // The prior keeps this positive except for rounding.
                    rest.max(1e-9).sqrt()
                } else {
                    rest / rows[column][column]
                };
            }
        }
        Self { rows, count }
    }

    /// Solves for the right side in the lower triangle.
    fn solve_lower(&self, right: &Values) -> Values {
        let mut solved = [0.0; MAX_COEFFICIENTS];
        for row in 0..self.count {
            let done: f64 = (0..row).map(|at| self.rows[row][at] * solved[at]).sum();
            solved[row] = (right[row] - done) / self.rows[row][row];
        }
        solved
    }

    fn solve(&self, right: &Values) -> Values {
        let mut solved = self.solve_lower(right);
        for row in (0..self.count).rev() {
            let done: f64 = (row + 1..self.count)
                .map(|at| self.rows[at][row] * solved[at])
                .sum();
            solved[row] = (solved[row] - done) / self.rows[row][row];
        }
        solved
    }

    /// Returns an element of the diagonal of the inverse.
    fn inverse_diagonal(&self, at: usize) -> f64 {
        let mut unit = [0.0; MAX_COEFFICIENTS];
        unit[at] = 1.0;
        let solved = self.solve_lower(&unit);
        solved.iter().map(|value| value * value).sum()
    }
}
