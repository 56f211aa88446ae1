//! A TCP connection with a bounded read buffer.

use std::io;

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use monoio::io::AsyncReadRent;
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

const READ_BYTES: usize = 8 * 1024;

/// Bytes of further requests that are read while one is handled.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Bytes of chunk framing allowed in the buffer beside the data.
const CHUNK_FRAMING_BYTES: usize = 64;

/// Why a message could not be read.
#[derive(Debug, Display)]
pub(crate) enum ReadError {
    /// The peer closed between messages.
    #[display("connection closed")]
    Closed,
    /// The peer closed or broke the connection within a message.
    #[display("connection broken: {_0}")]
    Broken(String),
    /// The message takes too long to arrive.
    #[display("message too slow")]
    Slow,
    /// The message exceeds a limit.
    #[display("message too large")]
    TooLarge,
    /// The message is not valid HTTP.
    #[display("malformed message: {_0}")]
    Malformed(String),
}

/// How long a body is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// The head gives no length.
    Unstated,
    /// The head gives the length in bytes.
    Fixed(usize),
    /// The body comes in chunks.
    Chunked,
}

pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    buffer: BytesMut,
    scratch: Option<Vec<u8>>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            scratch: None,
        }
    }

    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Reads once into the buffer; returns the number of bytes, zero at the end.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        let scratch = self.scratch.take();
        let mut scratch = scratch.unwrap_or_else(|| Vec::with_capacity(READ_BYTES));
        scratch.clear();
        let (result, scratch) = self.stream.read(scratch).await;
        let count = result?;
        self.buffer.extend_from_slice(&scratch[..count]);
        self.scratch = Some(scratch);
        Ok(count)
    }

    /// Waits until the peer has closed the connection; further requests stay in the buffer.
    pub(crate) async fn closed(&mut self) {
        while self.buffer.len() < MAX_PIPELINED_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        // A peer that sends so much ahead is not watched; it has not closed.
        std::future::pending::<()>().await;
    }

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
                Ok(_) if self.buffer.is_empty() && before == 0 => self.fill_between().await?,
                Ok(_) => self.fill_within_message().await?,
                Err(error) => return Err(ReadError::Malformed(error.to_string())),
            }
        }
    }

    async fn fill_between(&mut self) -> Result<(), ReadError> {
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
            BodyLength::Unstated => Ok(Bytes::new()),
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
            let left = max_bytes - body.len();
            let Some(chunk) = self.read_chunk(&mut decoder, left).await? else {
                return Ok(body.freeze());
            };
            body.extend_from_slice(&chunk);
        }
    }

    /// Reads one chunk of at most `max_bytes`; `None` after the last.
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
/// Refuses what proxies and servers may understand in different ways.
pub(crate) fn body_length(headers: &http::HeaderMap) -> Result<BodyLength, ReadError> {
    let lengths = headers.get_all(http::header::CONTENT_LENGTH);
    let lengths: Vec<_> = lengths.iter().collect();
    let encodings = headers.get_all(http::header::TRANSFER_ENCODING);
    let encodings: Vec<_> = encodings.iter().collect();
    match (lengths.as_slice(), encodings.as_slice()) {
        ([], []) => Ok(BodyLength::Unstated),
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
    // A length of digits that overflows is a size, not a syntax error.
    Ok(text.parse().unwrap_or(usize::MAX))
}
