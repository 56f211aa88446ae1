//! Bounded channel of lines from a handler to the connection that streams them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::{Display, Error};

use crate::notify::Notify;

/// Error of sending a line.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum SendLineError {
    /// The receiver was dropped, as the client has disconnected.
    #[display("the receiver is closed")]
    Closed,
    /// The channel is full, as the client reads too slowly.
    #[display("the channel is full")]
    Full,
}

#[derive(Debug, Default)]
struct Channel {
    lines: RefCell<VecDeque<Bytes>>,
    is_ended: Cell<bool>,
    is_closed: Cell<bool>,
    notify: Notify,
}

/// Sending end; dropping it ends the stream.
#[derive(Debug)]
pub struct LineSender {
    channel: Rc<Channel>,
    capacity: usize,
}

/// Receiving end, owned by the connection.
#[derive(Debug)]
pub struct LineReceiver {
    channel: Rc<Channel>,
}

/// Creates a channel that holds at most `capacity` lines.
#[must_use]
pub fn line_channel(capacity: usize) -> (LineSender, LineReceiver) {
    let channel = Rc::new(Channel::default());
    let receiver = LineReceiver {
        channel: channel.clone(),
    };
    (LineSender { channel, capacity }, receiver)
}

impl LineSender {
    /// Queues a line, given without its line feed.
    ///
    /// # Errors
    ///
    /// Fails if the client has disconnected or the channel is full.
    pub fn send(&self, line: Bytes) -> Result<(), SendLineError> {
        if self.is_closed() {
            return Err(SendLineError::Closed);
        }
        let mut lines = self.channel.lines.borrow_mut();
        if lines.len() >= self.capacity {
            return Err(SendLineError::Full);
        }
        lines.push_back(line);
        drop(lines);
        self.channel.notify.notify_all();
        Ok(())
    }

    /// Returns whether the client has disconnected.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.channel.is_closed.get()
    }

    /// Waits until the client has disconnected.
    pub async fn closed(&self) {
        let channel = &self.channel;
        channel
            .notify
            .wait_until(|| channel.is_closed.get().then_some(()))
            .await;
    }
}

impl Drop for LineSender {
    fn drop(&mut self) {
        self.channel.is_ended.set(true);
        self.channel.notify.notify_all();
    }
}

impl LineReceiver {
    /// Waits for the next line; `None` once the sender is dropped and the channel is empty.
    pub async fn next(&mut self) -> Option<Bytes> {
        let channel = &self.channel;
        let next = || {
            let line = channel.lines.borrow_mut().pop_front();
            match line {
                Some(line) => Some(Some(line)),
                None => channel.is_ended.get().then_some(None),
            }
        };
        channel.notify.wait_until(next).await
    }
}

impl Drop for LineReceiver {
    fn drop(&mut self) {
        self.channel.is_closed.set(true);
        self.channel.notify.notify_all();
    }
}
