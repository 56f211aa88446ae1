//! A switch that tells tasks to end.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// A one-way switch shared by the tasks of a process.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    state: Rc<StopState>,
}

#[derive(Debug, Default)]
struct StopState {
    stopped: Cell<bool>,
    next_waiter: Cell<u64>,
    waiters: RefCell<BTreeMap<u64, Waker>>,
}

impl Stop {
    /// Creates a switch that has not been thrown.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Throws the switch and wakes every task that waits for it.
    pub fn stop(&self) {
        self.state.stopped.set(true);
        let waiters = self.state.waiters.take();
        waiters.into_values().for_each(Waker::wake);
    }

    /// Tells whether the switch has been thrown.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.state.stopped.get()
    }

    /// Returns a future that completes once the switch has been thrown.
    pub fn stopped(&self) -> Stopped {
        let waiter = self.state.next_waiter.get();
        self.state.next_waiter.set(waiter + 1);
        Stopped {
            state: Rc::clone(&self.state),
            waiter,
        }
    }
}

/// Completes once a [`Stop`] has been thrown.
#[derive(Debug)]
#[must_use = "futures do nothing unless awaited"]
pub struct Stopped {
    state: Rc<StopState>,
    waiter: u64,
}

impl Future for Stopped {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.state.stopped.get() {
            return Poll::Ready(());
        }
        let mut waiters = self.state.waiters.borrow_mut();
        waiters.insert(self.waiter, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Stopped {
    fn drop(&mut self) {
        self.state.waiters.borrow_mut().remove(&self.waiter);
    }
}
