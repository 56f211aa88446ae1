//! Reads a chunked response line by line.

use bytes::{Buf, Bytes, BytesMut};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use crate::call::CallFault;
use crate::exchange::fault_from_read_error;
use crate::pool::{Permit, PooledConnection};

/// Largest line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

/// Response that is received line by line; dropping it closes the connection.
pub struct LineStream {
    pooled: PooledConnection,
    decoder: ChunkedBodyDecoder,
    pending: BytesMut,
    is_ended: bool,
    _permit: Permit,
}

impl LineStream {
    pub(crate) fn new(pooled: PooledConnection, permit: Permit) -> Self {
        Self {
            pooled,
            decoder: ChunkedBodyDecoder::default(),
            pending: BytesMut::new(),
            is_ended: false,
            _permit: permit,
        }
    }

    /// Waits for the next line, without its line feed; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the stream is malformed; the stream has then ended.
    pub async fn next(&mut self) -> Option<Result<Bytes, CallFault>> {
        while !self.is_ended {
            if let Some(line) = self.take_line() {
                return Some(Ok(line));
            }
            if let Err(fault) = self.read_chunk().await {
                self.is_ended = true;
                self.pending.clear();
                return Some(Err(fault));
            }
        }
        self.take_line().map(Ok)
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.pending.iter().position(|byte| *byte == b'\n');
        if let Some(end) = end {
            let line = self.pending.split_to(end).freeze();
            self.pending.advance(1);
            return Some(line);
        }
        let is_last_line = self.is_ended && !self.pending.is_empty();
        is_last_line.then(|| self.pending.split().freeze())
    }

    async fn read_chunk(&mut self) -> Result<(), CallFault> {
        let max_bytes = MAX_LINE_BYTES.saturating_sub(self.pending.len());
        let chunk = self
            .pooled
            .connection
            .read_chunk(&mut self.decoder, max_bytes)
            .await
            .map_err(|error| fault_from_read_error(&error))?;
        match chunk {
            Some(chunk) => self.pending.extend_from_slice(&chunk),
            None => self.is_ended = true,
        }
        Ok(())
    }
}
