//! Runs many scenarios of the fault matrix on several threads and aggregates their results.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use model::Answer;
use strum::IntoEnumIterator;

use crate::check::Violation;
use crate::event::EventKind;
use crate::history::History;
use crate::matrix::{Cell, Planner, cells};
use crate::report::Report;
use crate::world::{MatrixFault, Outcome, Scenario, Step, run};

/// Counts over the runs of one cell.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct CellCounts {
    /// Number of runs.
    pub runs: u64,
    /// Number of seeds without a run, since the step did not occur.
    pub skipped: u64,
    /// Number of answers that carry all results of a job.
    pub complete: u64,
    /// Number of answers that report a failure of the job.
    pub failed: u64,
    /// Number of violated promises.
    pub violations: u64,
}

/// A run in which a checker found a violation.
#[derive(Debug)]
pub struct Failure {
    /// The cells of the run.
    pub cells: Vec<Cell>,
    /// The scenario, which reproduces the run.
    pub scenario: Scenario,
    /// The violations found.
    pub violations: Vec<Violation>,
    /// The recorded events.
    pub history: History,
}

/// Aggregated results of a campaign.
#[derive(Debug, Default)]
pub struct Results {
    /// Counts over all runs.
    pub report: Report,
    /// Counts of the cells with one fault.
    pub cells: BTreeMap<Cell, CellCounts>,
    /// Counts of the runs with two faults.
    pub pairs: CellCounts,
    /// Number of answers by kind and reason.
    pub answers: BTreeMap<String, u64>,
    /// Runs with violations.
    pub failures: Vec<Failure>,
}

/// Number of parts into which the runs of a seed are divided, to spread them over threads.
const PARTS_PER_SEED: u64 = 6;

/// Settings of a campaign.
#[derive(Debug, Clone)]
pub struct Campaign {
    /// The first seed.
    pub first_seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Number of runs with two faults for each seed.
    pub pairs_per_seed: u64,
    /// Number of threads.
    pub threads: usize,
}

impl Campaign {
    /// Runs every cell and `pairs_per_seed` random pairs of cells for every seed.
    ///
    /// # Panics
    ///
    /// Panics if a run panics.
    #[must_use]
    pub fn run(&self) -> Results {
        let results = Mutex::new(Results::default());
        let next = AtomicU64::new(0);
        std::thread::scope(|scope| {
            for _ in 0..self.threads {
                scope.spawn(|| self.run_worker(&next, &results));
            }
        });
        results.into_inner().expect("no run panics")
    }

    fn run_worker(&self, next: &AtomicU64, results: &Mutex<Results>) {
        loop {
            let offset = next.fetch_add(1, Ordering::Relaxed);
            if offset >= self.seeds * PARTS_PER_SEED {
                return;
            }
            let (seed, part) = (
                self.first_seed + offset / PARTS_PER_SEED,
                offset % PARTS_PER_SEED,
            );
            let mut planner = Planner::new(seed, part);
            for cell in cells()
                .into_iter()
                .skip(part as usize)
                .step_by(PARTS_PER_SEED as usize)
            {
                match planner.plan(cell) {
                    Some(scenario) => run_and_record(results, vec![cell], scenario),
                    None => record_skipped(results, cell),
                }
            }
            for _ in 0..self.pairs_per_seed / PARTS_PER_SEED {
                let (one, other) = planner.draw_pair();
                if let Some(scenario) = planner.plan_pair(one, other) {
                    run_and_record(results, vec![one, other], scenario);
                }
            }
        }
    }
}

fn record_skipped(results: &Mutex<Results>, cell: Cell) {
    let mut results = results.lock().expect("no run panics");
    results.cells.entry(cell).or_default().skipped += 1;
}

fn run_and_record(results: &Mutex<Results>, cells: Vec<Cell>, scenario: Scenario) {
    let outcome = run(scenario.clone());
    let mut results = results.lock().expect("no run panics");
    results.add(cells, scenario, outcome);
}

impl Results {
    fn add(&mut self, cells: Vec<Cell>, scenario: Scenario, outcome: Outcome) {
        let Outcome {
            history,
            violations,
            ..
        } = outcome;
        self.report.add(&history, &violations);
        let counts = match cells.as_slice() {
            [cell] => self.cells.entry(*cell).or_default(),
            _ => &mut self.pairs,
        };
        counts.runs += 1;
        counts.violations += violations.len() as u64;
        for event in history.events() {
            let EventKind::Answered { answer, .. } = &event.kind else {
                continue;
            };
            match answer {
                Answer::Complete(_) => counts.complete += 1,
                Answer::Failed(_) => counts.failed += 1,
            }
            *self.answers.entry(answer_label(answer)).or_default() += 1;
        }
        if !violations.is_empty() {
            self.failures.push(Failure {
                cells,
                scenario,
                violations,
                history,
            });
        }
    }
}

fn answer_label(answer: &Answer) -> String {
    match answer {
        Answer::Complete(_) => "complete".to_owned(),
        Answer::Failed(failure) => format!("{}: {}", failure.kind, failure.reason),
    }
}

impl Results {
    /// Formats the matrix as a table: a row for each step, a column for each fault.
    ///
    /// An entry of the table shows the number of runs over all timings and, if there are any, the
    /// number of violations.
    #[must_use]
    pub fn table(&self) -> String {
        let mut table = String::from("| step |");
        for fault in MatrixFault::iter() {
            table += &format!(" {} |", <&str>::from(fault));
        }
        table += "\n|---|";
        table += &"---|".repeat(MatrixFault::iter().count());
        for step in Step::iter() {
            table += &format!("\n| {} |", <&str>::from(step));
            for fault in MatrixFault::iter() {
                table += &format!(" {} |", self.table_cell(step, fault));
            }
        }
        table += &format!(
            "\n\nPairs of faults: {} runs, {} violations.\n",
            self.pairs.runs, self.pairs.violations
        );
        table
    }

    fn table_cell(&self, step: Step, fault: MatrixFault) -> String {
        let counts_of_cell = self
            .cells
            .iter()
            .filter(|(cell, _)| cell.step == step && cell.fault == fault);
        let (mut runs, mut violations) = (0, 0);
        for (_, counts) in counts_of_cell {
            runs += counts.runs;
            violations += counts.violations;
        }
        match (runs, violations) {
            (0, _) => "not covered".to_owned(),
            (_, 0) => format!("{runs}"),
            _ => format!("{runs}, **{violations} broken**"),
        }
    }
}
