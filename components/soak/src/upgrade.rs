//! Upgrades: processes are replaced by those of another build, one after the other.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::process::Process;
use crate::soak::System;

/// Longest pause between two replacements, in milliseconds.
const MAX_STEP_PAUSE_MS: u64 = 800;

/// Longest time for which an upgrade stays as it is before the next one begins, in milliseconds.
const MAX_STAY_MS: u64 = 2_500;

/// Replaces all processes, or the first of them, in a random order by those of the build that they do
/// not run, and begins again until `has_finished` is set. A process that is replaced again is taken
/// back to its earlier build.
pub(crate) async fn upgrade(system: Rc<System>, has_finished: Rc<Cell<bool>>) {
    let mut rng = StdRng::seed_from_u64(system.seed ^ 0x0b1d);
    loop {
        let entries = system.entries.iter().map(|entry| &entry.process);
        let hosts = system.hosts.iter().map(|host| &host.process);
        let mut processes: Vec<&RefCell<Process>> = entries.chain(hosts).collect();
        processes.shuffle(&mut rng);
        if rng.random() {
            processes.truncate(rng.random_range(1..=processes.len()));
        }
        for process in processes {
            sleep(random_pause(&mut rng, MAX_STEP_PAUSE_MS)).await;
            if has_finished.get() {
                return;
            }
            replace(&system, process).await;
        }
        sleep(random_pause(&mut rng, MAX_STAY_MS)).await;
    }
}

/// Stops a process as planned and starts one of the other build in its place.
async fn replace(system: &System, process: &RefCell<Process>) {
    process.borrow_mut().use_other_build();
    process.borrow_mut().signal(Signal::SIGTERM);
    system.restart_after_exit(process).await;
}

fn random_pause(rng: &mut StdRng, max_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..max_ms))
}
