//! Signal that asks tasks to end.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Stop signal for the tasks of a process; clones share it, and it cannot be reset.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    state: Rc<StopState>,
}

#[derive(Debug, Default)]
struct StopState {
    is_stopped: Cell<bool>,
    next_waiter_id: Cell<u64>,
    waiters: RefCell<BTreeMap<u64, Waker>>,
}

impl Stop {
    /// Creates a signal that is not set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the signal and wakes every task that waits for it.
    pub fn stop(&self) {
        self.state.is_stopped.set(true);
        let waiters = self.state.waiters.take();
        waiters.into_values().for_each(Waker::wake);
    }

    /// Returns whether the signal is set.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.state.is_stopped.get()
    }

    /// Returns a future that completes once the signal is set.
    pub fn stopped(&self) -> Stopped {
        let waiter_id = self.state.next_waiter_id.get();
        self.state.next_waiter_id.set(waiter_id + 1);
        Stopped {
            state: Rc::clone(&self.state),
            waiter_id,
        }
    }
}

/// Future that completes once a [`Stop`] is set.
#[derive(Debug)]
#[must_use = "futures do nothing unless awaited"]
pub struct Stopped {
    state: Rc<StopState>,
    waiter_id: u64,
}

impl Future for Stopped {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.state.is_stopped.get() {
            return Poll::Ready(());
        }
        let mut waiters = self.state.waiters.borrow_mut();
        waiters.insert(self.waiter_id, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Stopped {
    fn drop(&mut self) {
        self.state.waiters.borrow_mut().remove(&self.waiter_id);
    }
}
