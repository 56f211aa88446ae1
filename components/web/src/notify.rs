//! Condition variable for the tasks of one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Wakes the tasks that wait for a condition when the state that it depends on changes.
#[derive(Debug, Default)]
pub struct Notify {
    wakers: RefCell<BTreeMap<u64, Waker>>,
    next_id: Cell<u64>,
}

impl Notify {
    /// Makes every waiting task check its condition again.
    pub fn notify_all(&self) {
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        for waker in wakers.into_values() {
            waker.wake();
        }
    }

    /// Waits until `condition` returns a value; calls it at once and after every notification.
    pub async fn wait_until<T>(&self, mut condition: impl FnMut() -> Option<T>) -> T {
        let registration = Registration::new(self);
        poll_fn(|context| match condition() {
            Some(value) => Poll::Ready(value),
            None => {
                registration.register(context.waker());
                Poll::Pending
            }
        })
        .await
    }
}

/// Registration of one waiting task; removed when the wait completes or is cancelled.
struct Registration<'a> {
    notify: &'a Notify,
    id: u64,
}

impl<'a> Registration<'a> {
    fn new(notify: &'a Notify) -> Self {
        let id = notify.next_id.get();
        notify.next_id.set(id + 1);
        Self { notify, id }
    }

    fn register(&self, waker: &Waker) {
        let mut wakers = self.notify.wakers.borrow_mut();
        wakers.insert(self.id, waker.clone());
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.notify.wakers.borrow_mut().remove(&self.id);
    }
}
