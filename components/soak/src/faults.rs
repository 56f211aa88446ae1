//! Faults, drawn and carried out.

use std::time::Duration;

use monoio::time::sleep;
use nix::sys::signal::Signal;
use rand::Rng;
use rand::rngs::StdRng;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::soak::System;

/// What is done to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// An entry is killed and started again.
    KillEntry,
    /// An entry is paused.
    PauseEntry,
    /// An entry is stopped as planned and started again.
    StopEntry,
    /// An entry is told that its settings have changed.
    ReloadEntry,
    /// An agent is killed and started again.
    KillAgent,
    /// An agent is paused.
    PauseAgent,
    /// An agent is stopped as planned and started again.
    StopAgent,
    /// Connections to an agent are held in both directions.
    CutHost,
    /// What an agent answers is held.
    SilenceHost,
    /// Connections to an agent are slow.
    DelayHost,
    /// Connections to an agent are reset.
    ResetHost,
    /// The store refuses all calls.
    StoreBusy,
    /// The store does not answer.
    StoreSilent,
    /// The store carries out writes and does not answer them.
    StoreLosesAnswers,
    /// The store forgets its history and the registrations.
    StoreForgets,
    /// What a target starts never ends.
    TargetHangs,
    /// What a target starts fails.
    TargetFails,
    /// Some calls of a target get no answer and are carried out late.
    TargetLate,
    /// The operator changes the configuration.
    Configuration,
}

/// Draws a kind.
pub(crate) fn draw(rng: &mut StdRng) -> FaultKind {
    let kinds: Vec<FaultKind> = FaultKind::iter().collect();
    kinds[rng.random_range(0..kinds.len())]
}

/// Carries out a fault and undoes it.
pub(crate) async fn inject(
    system: &System,
    kind: FaultKind,
    entry: usize,
    host: usize,
    for_ms: u64,
) {
    let lasting = Duration::from_millis(for_ms);
    let entry = &system.entries[entry];
    let host = &system.hosts[host];
    let store = &system.store;
    match kind {
        FaultKind::KillEntry => {
            entry.process.borrow_mut().signal(Signal::SIGKILL);
            sleep(lasting).await;
            system.restart(&entry.process);
        }
        FaultKind::PauseEntry => {
            entry.process.borrow_mut().signal(Signal::SIGSTOP);
            sleep(lasting).await;
            entry.process.borrow_mut().signal(Signal::SIGCONT);
        }
        FaultKind::StopEntry => {
            entry.process.borrow_mut().signal(Signal::SIGTERM);
            system.restart_after_end(&entry.process).await;
        }
        FaultKind::ReloadEntry => entry.process.borrow_mut().signal(Signal::SIGHUP),
        FaultKind::KillAgent => {
            host.process.borrow_mut().signal(Signal::SIGKILL);
            sleep(lasting).await;
            system.restart(&host.process);
        }
        FaultKind::PauseAgent => {
            host.process.borrow_mut().signal(Signal::SIGSTOP);
            sleep(lasting).await;
            host.process.borrow_mut().signal(Signal::SIGCONT);
        }
        FaultKind::StopAgent => {
            host.process.borrow_mut().signal(Signal::SIGTERM);
            system.restart_after_end(&host.process).await;
        }
        FaultKind::CutHost => {
            host.proxy.holds_forward.set(true);
            host.proxy.holds_back.set(true);
            sleep(lasting).await;
            host.proxy.holds_forward.set(false);
            host.proxy.holds_back.set(false);
        }
        FaultKind::SilenceHost => {
            host.proxy.holds_back.set(true);
            sleep(lasting).await;
            host.proxy.holds_back.set(false);
        }
        FaultKind::DelayHost => {
            host.proxy.delay_ms.set(40);
            sleep(lasting).await;
            host.proxy.delay_ms.set(0);
        }
        FaultKind::ResetHost => host.proxy.reset(),
        FaultKind::StoreBusy => {
            store.faults().is_busy.set(true);
            sleep(lasting).await;
            store.faults().is_busy.set(false);
        }
        FaultKind::StoreSilent => {
            store.faults().is_silent.set(true);
            sleep(lasting).await;
            store.faults().is_silent.set(false);
        }
        FaultKind::StoreLosesAnswers => {
            store.faults().loses_answers.set(true);
            sleep(lasting).await;
            store.faults().loses_answers.set(false);
        }
        FaultKind::StoreForgets => {
            store.remove_without_event("shallotcross/");
            store.compact();
        }
        FaultKind::TargetHangs => {
            host.target.faults().hangs.set(true);
            sleep(lasting).await;
            host.target.faults().hangs.set(false);
        }
        FaultKind::TargetFails => {
            host.target.faults().fails.set(true);
            sleep(lasting).await;
            host.target.faults().fails.set(false);
        }
        FaultKind::TargetLate => {
            host.target.faults().late_every.set(7);
            sleep(lasting).await;
            host.target.faults().late_every.set(0);
        }
        FaultKind::Configuration => system.publish(),
    }
}
