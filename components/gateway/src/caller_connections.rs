//! Whether a caller keeps its connection to the entry after an answer.
//!
//! Load: callers keep connections open, and the balancer turns only new ones away from an entry that is not
//! ready. An entry that was cut off from all hosts refused one request after the other on its open
//! connections while entries beside it had room.

/// State of an entry that decides about the connections of its callers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryState {
    /// Whether the entry is stopping.
    pub(crate) is_draining: bool,
    /// Whether the balancer should send new connections to the entry.
    pub(crate) is_ready: bool,
}

/// Returns whether to close the connection of a caller, so that its next request reaches another entry.
///
/// An entry that is not ready closes connections only after a refusal: callers whose jobs it still
/// serves would gain nothing from a new connection. While no entry is ready, each refusal costs one.
pub(crate) fn is_closed_after(state: EntryState, is_refused: bool) -> bool {
    state.is_draining || (is_refused && !state.is_ready)
}
