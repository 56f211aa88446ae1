//! Bounded channel of lines between a handler and the connection that streams them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::{Display, Error};

use crate::notify::Notify;

/// Why a line was not taken.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum SendLineError {
    /// The client is gone.
    #[display("the receiver is closed")]
    Closed,
    /// The client reads too slowly.
    #[display("the channel is full")]
    Full,
}

#[derive(Debug, Default)]
struct Shared {
    lines: RefCell<VecDeque<Bytes>>,
    ended: Cell<bool>,
    closed: Cell<bool>,
    notify: Notify,
}

/// Sending end; the stream ends when it is dropped.
#[derive(Debug)]
pub struct LineSender {
    shared: Rc<Shared>,
    capacity: usize,
}

/// Receiving end; held by the connection.
#[derive(Debug)]
pub struct LineReceiver {
    shared: Rc<Shared>,
}

/// Creates a channel that holds at most `capacity` lines.
#[must_use]
pub fn line_channel(capacity: usize) -> (LineSender, LineReceiver) {
    let shared = Rc::new(Shared::default());
    let receiver = LineReceiver {
        shared: shared.clone(),
    };
    (LineSender { shared, capacity }, receiver)
}

impl LineSender {
    /// Queues a line; it carries no line feed of its own.
    ///
    /// # Errors
    ///
    /// Fails if the client is gone or as many lines wait as the channel holds.
    pub fn send(&self, line: Bytes) -> Result<(), SendLineError> {
        if self.is_closed() {
            return Err(SendLineError::Closed);
        }
        let mut lines = self.shared.lines.borrow_mut();
        if lines.len() >= self.capacity {
            return Err(SendLineError::Full);
        }
        lines.push_back(line);
        drop(lines);
        self.shared.notify.notify_all();
        Ok(())
    }

    /// Tells whether the client is gone.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.closed.get()
    }

    /// Waits until the client is gone.
    pub async fn closed(&self) {
        let shared = &self.shared;
        shared
            .notify
            .wait_until(|| shared.closed.get().then_some(()))
            .await;
    }
}

impl Drop for LineSender {
    fn drop(&mut self) {
        self.shared.ended.set(true);
        self.shared.notify.notify_all();
    }
}

impl LineReceiver {
    /// Waits for the next line; `None` once the sender is dropped and every line was taken.
    pub async fn next(&mut self) -> Option<Bytes> {
        let shared = &self.shared;
        let next = || {
            let line = shared.lines.borrow_mut().pop_front();
            match line {
                Some(line) => Some(Some(line)),
                None => shared.ended.get().then_some(None),
            }
        };
        shared.notify.wait_until(next).await
    }
}

impl Drop for LineReceiver {
    fn drop(&mut self) {
        self.shared.closed.set(true);
        self.shared.notify.notify_all();
    }
}
