//! Signal that asks the servers and loops of one thread to stop.

use std::cell::Cell;
use std::rc::Rc;

use crate::notify::Notify;

/// Signal for a graceful stop; clones share it, and it cannot be reset.
#[derive(Debug, Clone, Default)]
pub struct Stop(Rc<State>);

#[derive(Debug, Default)]
struct State {
    is_stopped: Cell<bool>,
    notify: Notify,
}

impl Stop {
    /// Creates a signal that is not set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the signal.
    pub fn stop(&self) {
        self.0.is_stopped.set(true);
        self.0.notify.notify_all();
    }

    /// Returns whether the signal is set.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.0.is_stopped.get()
    }

    /// Waits until the signal is set.
    pub async fn stopped(&self) {
        let state = &self.0;
        state
            .notify
            .wait_until(|| state.is_stopped.get().then_some(()))
            .await;
    }
}
