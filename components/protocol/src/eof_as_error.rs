//! A transport that reports the end of the stream as an error.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::{Sink, Stream};

/// Wraps a transport to report the end of its stream as an error of the kind `UnexpectedEof`.
///
/// Without this error the `tarpc` server would continue the calls of a disconnected peer until
/// their deadlines.
pub(crate) struct EofAsError<T> {
    transport: Pin<Box<T>>,
}

impl<T> EofAsError<T> {
    pub(crate) fn new(transport: T) -> Self {
        Self {
            transport: Box::pin(transport),
        }
    }
}

impl<T, Item> Stream for EofAsError<T>
where
    T: Stream<Item = io::Result<Item>>,
{
    type Item = io::Result<Item>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.transport.as_mut().poll_next(context);
        next.map(|item| Some(item.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))))
    }
}

impl<T, Item> Sink<Item> for EofAsError<T>
where
    T: Sink<Item>,
{
    type Error = T::Error;

    fn poll_ready(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), T::Error>> {
        self.transport.as_mut().poll_ready(context)
    }

    fn start_send(mut self: Pin<&mut Self>, item: Item) -> Result<(), T::Error> {
        self.transport.as_mut().start_send(item)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), T::Error>> {
        self.transport.as_mut().poll_flush(context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), T::Error>> {
        self.transport.as_mut().poll_close(context)
    }
}
