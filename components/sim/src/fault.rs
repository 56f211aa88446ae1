//! Faults.

use strum::{EnumIter, IntoStaticStr};

/// A fault, at a time and for a time.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Which entry or host, by number.
    pub place: usize,
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// How strong it is: a factor or a share.
    pub strength: f64,
}

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// The entry's process is killed; its connections are reset.
    KillEntry,
    /// The entry's host loses power; its connections fall silent.
    PowerOffEntry,
    /// The entry stands still.
    FreezeEntry,
    /// The agent's process is killed.
    KillAgent,
    /// The agent stands still.
    FreezeAgent,
    /// Nothing passes between the entry and any host.
    CutEntry,
    /// Nothing passes between the host and any entry.
    CutHost,
    /// The connections of the host are reset.
    ResetHost,
    /// The target ends, and begins a new life.
    CrashTarget,
    /// What the target starts never ends.
    HangTarget,
    /// What the target starts fails.
    FailTarget,
    /// The target is slow by a factor.
    SlowTarget,
    /// A share of the orders to the target gets no answer and is carried out late.
    LateOrders,
}
