//! Wakes tasks of one thread that wait for a condition.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Wakes every task that waits for a condition when the state behind it changes.
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

    /// Waits until `ready` yields a value; checks at once and after every notification.
    pub async fn wait_until<T>(&self, mut ready: impl FnMut() -> Option<T>) -> T {
        let registration = Registration::new(self);
        poll_fn(|cx| match ready() {
            Some(value) => Poll::Ready(value),
            None => {
                registration.register(cx.waker());
                Poll::Pending
            }
        })
        .await
    }
}

/// Entry of one waiting task; removed when the wait ends or is abandoned.
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
