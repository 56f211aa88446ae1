//! A TCP connection with a bounded read buffer.

use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use monoio::io::AsyncReadRent;
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use crate::call::CallProgress;

/// Size of the buffer for a single read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Limit of the pipelined requests that are buffered while a request is handled, in bytes.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Bytes of chunk framing that the buffer may hold in addition to the data.
const CHUNK_FRAMING_BYTES: usize = 64;

/// Error of reading a message.
#[derive(Debug, Display)]
pub(crate) enum ReadError {
    /// The peer closed the connection between messages.
    #[display("connection closed")]
    Closed,
    /// The peer closed or broke the connection within a message.
    #[display("connection broken: {_0}")]
    Broken(String),
    /// The message was not received in time.
    #[display("message too slow")]
    Slow,
    /// The message exceeds a limit.
    #[display("message too large")]
    TooLarge,
    /// The message is not valid HTTP.
    #[display("malformed message: {_0}")]
    Malformed(String),
}

/// Length of a body, as given by the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// The head specifies no length.
    Unspecified,
    /// The head specifies the length in bytes.
    Fixed(usize),
    /// The body has the transfer encoding `chunked`.
    Chunked,
}

/// Connection with the bytes that were read but not yet consumed.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    buffer: BytesMut,
    read_buffer: Option<Vec<u8>>,
    /// Progress of the call whose response is read, if any.
    call_progress: Option<Rc<CallProgress>>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            read_buffer: None,
            call_progress: None,
        }
    }

    /// Sets the call to which the bytes that are read from now on belong.
    pub(crate) fn set_call_progress(&mut self, call_progress: Option<Rc<CallProgress>>) {
        self.call_progress = call_progress;
    }

    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Reads once into the buffer; returns the number of bytes, zero if the peer has closed.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        let read_buffer = self.read_buffer.take();
        let mut read_buffer = read_buffer.unwrap_or_else(|| Vec::with_capacity(READ_BUFFER_BYTES));
        read_buffer.clear();
        let (result, read_buffer) = self.stream.read(read_buffer).await;
        let count = result?;
        self.buffer.extend_from_slice(&read_buffer[..count]);
        self.read_buffer = Some(read_buffer);
        if let Some(call_progress) = &self.call_progress {
            call_progress.record_received(count);
        }
        Ok(count)
    }

    /// Waits until the peer has closed the connection; pipelined requests stay in the buffer.
    pub(crate) async fn closed(&mut self) {
        while self.buffer.len() < MAX_PIPELINED_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        // With a full buffer, a close can no longer be detected; the connection counts as open.
        std::future::pending::<()>().await;
    }

    /// Reads further bytes of a message; a close before its end is [`ReadError::Broken`].
    async fn fill_within_message(&mut self) -> Result<(), ReadError> {
        match self.fill().await {
            Ok(0) => Err(ReadError::Broken("closed within a message".to_owned())),
            Ok(_) => Ok(()),
            Err(error) => Err(ReadError::Broken(error.to_string())),
        }
    }

    /// Reads a head of at most `max_bytes`.
    pub(crate) async fn read_head<D>(
        &mut self,
        decoder: &mut D,
        max_bytes: usize,
    ) -> Result<D::Item, ReadError>
    where
        D: Decoder,
        D::Error: std::fmt::Display,
    {
        loop {
            let before = self.buffer.len();
            let decoded = decoder.decode(&mut self.buffer);
            let used = before - self.buffer.len();
            if used > max_bytes || self.buffer.len() > max_bytes && used == 0 {
                return Err(ReadError::TooLarge);
            }
            match decoded {
                Ok(Decoded::Some(head)) => return Ok(head),
                Ok(_) if self.buffer.is_empty() && before == 0 => self.fill_at_start().await?,
                Ok(_) => self.fill_within_message().await?,
                Err(error) => return Err(ReadError::Malformed(error.to_string())),
            }
        }
    }

    /// Reads the first bytes of a message; a close before them is [`ReadError::Closed`].
    async fn fill_at_start(&mut self) -> Result<(), ReadError> {
        match self.fill().await {
            Ok(0) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(error) => Err(ReadError::Broken(error.to_string())),
        }
    }

    /// Reads a body of at most `max_bytes`.
    pub(crate) async fn read_body(
        &mut self,
        length: BodyLength,
        max_bytes: usize,
    ) -> Result<Bytes, ReadError> {
        match length {
            BodyLength::Unspecified => Ok(Bytes::new()),
            BodyLength::Fixed(length) => self.read_fixed(length, max_bytes).await,
            BodyLength::Chunked => self.read_chunked(max_bytes).await,
        }
    }

    async fn read_fixed(&mut self, length: usize, max_bytes: usize) -> Result<Bytes, ReadError> {
        if length > max_bytes {
            return Err(ReadError::TooLarge);
        }
        while self.buffer.len() < length {
            self.fill_within_message().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn read_chunked(&mut self, max_bytes: usize) -> Result<Bytes, ReadError> {
        let mut decoder = ChunkedBodyDecoder::default();
        let mut body = BytesMut::new();
        loop {
            let remaining_bytes = max_bytes - body.len();
            let Some(chunk) = self.read_chunk(&mut decoder, remaining_bytes).await? else {
                return Ok(body.freeze());
            };
            body.extend_from_slice(&chunk);
        }
    }

    /// Reads one chunk of at most `max_bytes`; returns `None` after the last one.
    pub(crate) async fn read_chunk(
        &mut self,
        decoder: &mut ChunkedBodyDecoder,
        max_bytes: usize,
    ) -> Result<Option<Bytes>, ReadError> {
        loop {
            match decoder.decode(&mut self.buffer) {
                Ok(Decoded::Some(Some(chunk))) if chunk.len() > max_bytes => {
                    return Err(ReadError::TooLarge);
                }
                Ok(Decoded::Some(chunk)) => return Ok(chunk),
                Ok(_) => {}
                Err(error) => return Err(ReadError::Malformed(error.to_string())),
            }
            if self.buffer.len() > max_bytes.saturating_add(CHUNK_FRAMING_BYTES) {
                return Err(ReadError::TooLarge);
            }
            self.fill_within_message().await?;
        }
    }
}

/// Derives the length of a body from the headers.
///
/// Rejects headers that proxies and servers may interpret differently (request smuggling).
pub(crate) fn body_length(headers: &http::HeaderMap) -> Result<BodyLength, ReadError> {
    let lengths = headers.get_all(http::header::CONTENT_LENGTH);
    let lengths: Vec<_> = lengths.iter().collect();
    let encodings = headers.get_all(http::header::TRANSFER_ENCODING);
    let encodings: Vec<_> = encodings.iter().collect();
    match (lengths.as_slice(), encodings.as_slice()) {
        ([], []) => Ok(BodyLength::Unspecified),
        ([length], []) => parse_length(length.as_bytes()).map(BodyLength::Fixed),
        ([], [encoding]) if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(BodyLength::Chunked)
        }
        _ => Err(ReadError::Malformed("ambiguous body length".to_owned())),
    }
}

fn parse_length(value: &[u8]) -> Result<usize, ReadError> {
    let malformed = || ReadError::Malformed("bad content length".to_owned());
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(malformed());
    }
    let text = std::str::from_utf8(value).map_err(|_| malformed())?;
    // A length that overflows is too large rather than malformed.
    Ok(text.parse().unwrap_or(usize::MAX))
}
