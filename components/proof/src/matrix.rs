//! The fault matrix: every fault at every step, before, during and after it.

use std::collections::BTreeMap;

use serde::Serialize;
use strum::IntoEnumIterator;

use crate::seed::SeededRng;
use crate::world::{BaseEvent, Injection, MatrixFault, Occurrence, Scenario, Step, Timing, run};

/// Start and end of the time in which faults of the matrix are injected, in microseconds.
const INJECTION_WINDOW_US: (u64, u64) = (1_600_000, 12_000_000);

/// A cell of the matrix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Cell {
    /// The step.
    pub step: Step,
    /// The fault.
    pub fault: MatrixFault,
    /// When the fault is injected, relative to the step.
    pub timing: Timing,
}

/// Returns all cells of the matrix.
#[must_use]
pub fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for step in Step::iter() {
        for fault in MatrixFault::iter() {
            let of_fault = Timing::iter().map(|timing| Cell {
                step,
                fault,
                timing,
            });
            cells.extend(of_fault);
        }
    }
    cells
}

/// Chooses the events at which faults are injected, from runs of one seed without faults.
#[derive(Debug)]
pub struct Planner {
    seed: u64,
    rng: SeededRng,
    occurrences: BTreeMap<Step, Vec<u64>>,
}

impl Planner {
    /// Runs the seed without faults; planners of different parts choose different events.
    #[must_use]
    pub fn new(seed: u64, part: u64) -> Self {
        let mut occurrences = BTreeMap::new();
        for base_event in [BaseEvent::Calm, BaseEvent::KillEntry, BaseEvent::StopEntry] {
            let outcome = run(Scenario::new(seed, base_event));
            for step in Step::iter().filter(|step| step.base_event() == base_event) {
                occurrences.insert(step, events_of(&outcome.occurrences, step));
            }
        }
        Self {
            seed,
            rng: SeededRng::new(seed ^ (part << 32) ^ 0xfa_17),
            occurrences,
        }
    }

    /// Plans a run for a cell; returns `None` if the step does not occur under this seed.
    pub fn plan(&mut self, cell: Cell) -> Option<Scenario> {
        let injection = self.draw_injection(cell)?;
        Some(Scenario::new(self.seed, cell.step.base_event()).with(injection))
    }

    /// Plans a run with the faults of two cells; returns `None` if their base events differ or a
    /// step does not occur.
    pub fn plan_pair(&mut self, one: Cell, other: Cell) -> Option<Scenario> {
        if one.step.base_event() != other.step.base_event() {
            return None;
        }
        let scenario = self.plan(one)?;
        Some(scenario.with(self.draw_injection(other)?))
    }

    /// Draws two cells for a pair of faults.
    pub fn draw_pair(&mut self) -> (Cell, Cell) {
        (self.draw_cell(), self.draw_cell())
    }

    fn draw_cell(&mut self) -> Cell {
        let cells = cells();
        let at = self.rng.range(0..=cells.len() as u64 - 1);
        cells[at as usize]
    }

    fn draw_injection(&mut self, cell: Cell) -> Option<Injection> {
        let events = self.occurrences.get(&cell.step)?;
        let event = *self.rng.pick(events)?;
        Some(Injection {
            event,
            timing: cell.timing,
            fault: cell.fault,
        })
    }
}

fn events_of(occurrences: &[Occurrence], step: Step) -> Vec<u64> {
    let (from_us, to_us) = INJECTION_WINDOW_US;
    occurrences
        .iter()
        .filter(|one| one.step == step && (from_us..to_us).contains(&one.at_us))
        .map(|one| one.event)
        .collect()
}
