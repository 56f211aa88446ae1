//! Faults: their kinds, random choice and injection.

use std::time::Duration;

use monoio::time::sleep;
use nix::sys::signal::Signal;
use rand::Rng;
use rand::rngs::StdRng;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::evacuation::evacuate;
use crate::soak::System;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// An entry is killed and restarted.
    KillEntry,
    /// An entry is paused with SIGSTOP and resumed.
    PauseEntry,
    /// An entry is shut down gracefully and restarted.
    StopEntry,
    /// An entry gets SIGHUP, on which it reloads its settings.
    ReloadEntry,
    /// An agent is killed and restarted.
    KillAgent,
    /// An agent is paused with SIGSTOP and resumed.
    PauseAgent,
    /// An agent is shut down gracefully and restarted.
    StopAgent,
    /// Data on connections to an agent is held back in both directions.
    CutHost,
    /// Data from an agent is held back on connections to it; data to the agent passes.
    SilenceHost,
    /// Data on connections to an agent is delayed in both directions.
    DelayHost,
    /// Connections to an agent are closed.
    ResetHost,
    /// The store answers all calls with 503.
    StoreBusy,
    /// The store does not answer.
    StoreSilent,
    /// The store carries out writes, but closes their connection without an answer.
    StoreLosesAnswers,
    /// The store loses its history and all keys under `shallotcross/`, such as registrations.
    StoreForgets,
    /// Runs that a target starts never end by themselves.
    TargetHangs,
    /// Runs that a target starts end as failed.
    TargetFails,
    /// Some calls to a target get no answer and are carried out late.
    TargetLate,
    /// A new version of the configuration is published.
    Configuration,
    /// The failure domain of a host is evacuated.
    Evacuate,
}

/// Chooses a kind at random, each with the same probability.
pub(crate) fn random_kind(rng: &mut StdRng) -> FaultKind {
    let kinds: Vec<FaultKind> = FaultKind::iter().collect();
    kinds[rng.random_range(0..kinds.len())]
}

/// Injects a fault and ends it after `duration_ms`, unless it is over at once.
pub(crate) async fn inject(
    system: &System,
    kind: FaultKind,
    entry: usize,
    host_number: usize,
    duration_ms: u64,
) {
    let duration = Duration::from_millis(duration_ms);
    let entry = &system.entries[entry];
    let host = &system.hosts[host_number];
    let store = &system.store;
    match kind {
        FaultKind::KillEntry => {
            entry.process.borrow_mut().signal(Signal::SIGKILL);
            sleep(duration).await;
            system.restart(&entry.process);
        }
        FaultKind::PauseEntry => {
            entry.process.borrow_mut().signal(Signal::SIGSTOP);
            sleep(duration).await;
            entry.process.borrow_mut().signal(Signal::SIGCONT);
        }
        FaultKind::StopEntry => {
            entry.process.borrow_mut().signal(Signal::SIGTERM);
            system.restart_after_exit(&entry.process).await;
        }
        FaultKind::ReloadEntry => entry.process.borrow_mut().signal(Signal::SIGHUP),
        FaultKind::KillAgent => {
            host.process.borrow_mut().signal(Signal::SIGKILL);
            sleep(duration).await;
            system.restart(&host.process);
        }
        FaultKind::PauseAgent => {
            host.process.borrow_mut().signal(Signal::SIGSTOP);
            sleep(duration).await;
            host.process.borrow_mut().signal(Signal::SIGCONT);
        }
        FaultKind::StopAgent => {
            host.process.borrow_mut().signal(Signal::SIGTERM);
            system.restart_after_exit(&host.process).await;
        }
        FaultKind::CutHost => {
            host.proxy.is_forward_paused.set(true);
            host.proxy.is_return_paused.set(true);
            sleep(duration).await;
            host.proxy.is_forward_paused.set(false);
            host.proxy.is_return_paused.set(false);
        }
        FaultKind::SilenceHost => {
            host.proxy.is_return_paused.set(true);
            sleep(duration).await;
            host.proxy.is_return_paused.set(false);
        }
        FaultKind::DelayHost => {
            host.proxy.delay_ms.set(40);
            sleep(duration).await;
            host.proxy.delay_ms.set(0);
        }
        FaultKind::ResetHost => host.proxy.close_connections(),
        FaultKind::StoreBusy => {
            store.faults().is_busy.set(true);
            sleep(duration).await;
            store.faults().is_busy.set(false);
        }
        FaultKind::StoreSilent => {
            store.faults().is_silent.set(true);
            sleep(duration).await;
            store.faults().is_silent.set(false);
        }
        FaultKind::StoreLosesAnswers => {
            store.faults().is_losing_answers.set(true);
            sleep(duration).await;
            store.faults().is_losing_answers.set(false);
        }
        FaultKind::StoreForgets => {
            store.remove_without_event("shallotcross/");
            store.compact();
        }
        FaultKind::TargetHangs => {
            host.target.faults().is_hanging.set(true);
            sleep(duration).await;
            host.target.faults().is_hanging.set(false);
        }
        FaultKind::TargetFails => {
            host.target.faults().is_failing.set(true);
            sleep(duration).await;
            host.target.faults().is_failing.set(false);
        }
        FaultKind::TargetLate => {
            host.target.faults().late_every.set(7);
            sleep(duration).await;
            host.target.faults().late_every.set(0);
        }
        FaultKind::Configuration => system.publish_configuration(),
        FaultKind::Evacuate => evacuate(system, host_number, duration).await,
    }
}
