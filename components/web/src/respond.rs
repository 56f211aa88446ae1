//! Writes responses to a connection.

use std::fmt::Write as _;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use futures::future::{Either, select};
use http::header::CONNECTION;
use http::{HeaderValue, StatusCode};
use monoio::io::sink::Sink;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_http::common::body::HttpBody;
use monoio_http::h1::codec::encoder::GenericEncoder;

use crate::line_channel::LineReceiver;
use crate::message::Response;
use crate::stop::Stop;

/// Time for which a closing connection is read so that the peer receives the last response.
const LINGER_TIMEOUT_MS: u64 = 250;

/// Size of the buffer for input that is read and discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// Error of writing a response.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteError {
    #[display("connection broken")]
    Broken,
    #[display("client reads too slowly")]
    TimedOut,
}

/// Writes a response with a whole body.
pub(crate) async fn write_response(
    stream: &mut TcpStream,
    response: Response,
    keep_alive: bool,
    write_timeout_ms: u64,
) -> Result<(), WriteError> {
    let mut message = http::Response::new(http_body(response.body));
    *message.status_mut() = status_code(response.status);
    *message.headers_mut() = response.headers;
    if !keep_alive {
        let close = HeaderValue::from_static("close");
        message.headers_mut().insert(CONNECTION, close);
    }
    let mut encoder = GenericEncoder::new(stream);
    let write = async {
        encoder.send(message).await?;
        Sink::<http::Response<HttpBody>>::flush(&mut encoder).await
    };
    match timeout(Duration::from_millis(write_timeout_ms), write).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(WriteError::Broken),
        Err(_) => Err(WriteError::TimedOut),
    }
}

fn http_body(body: Bytes) -> HttpBody {
    HttpBody::Ready((!body.is_empty()).then_some(body))
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Streams lines as chunks until the sender is dropped, the client disconnects or `stop` is set.
pub(crate) async fn write_stream(
    stream: TcpStream,
    response: &Response,
    lines: LineReceiver,
    write_timeout_ms: u64,
    stop: &Stop,
) -> Result<(), WriteError> {
    let (mut reader, mut writer) = stream.into_split();
    let write = pin!(write_lines(&mut writer, response, lines, write_timeout_ms));
    let closed = pin!(discard_until_closed(&mut reader));
    let stopped = pin!(stop.stopped());
    match select(write, select(closed, stopped)).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Ok(()),
    }
}

/// Reads and discards input until the peer closes the connection.
async fn discard_until_closed(reader: &mut impl AsyncReadRent) {
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    loop {
        let (result, returned) = reader.read(buffer).await;
        if !matches!(result, Ok(count) if count > 0) {
            return;
        }
        buffer = returned;
    }
}

async fn write_lines(
    writer: &mut impl AsyncWriteRent,
    response: &Response,
    mut lines: LineReceiver,
    write_timeout_ms: u64,
) -> Result<(), WriteError> {
    write_bytes(writer, encode_stream_head(response), write_timeout_ms).await?;
    while let Some(line) = lines.next().await {
        write_bytes(writer, encode_chunk(&line), write_timeout_ms).await?;
    }
    write_bytes(writer, b"0\r\n\r\n".to_vec(), write_timeout_ms).await
}

/// Encodes the head of a stream.
///
/// The encoder of `monoio-http` is not used, as it holds chunks back until its buffer is full.
fn encode_stream_head(response: &Response) -> Vec<u8> {
    let status = status_code(response.status);
    let mut head = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in &response.headers {
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"transfer-encoding: chunked\r\nconnection: close\r\n\r\n");
    head
}

/// Encodes a line and its line feed as one chunk.
fn encode_chunk(line: &[u8]) -> Vec<u8> {
    let mut size = String::new();
    write!(size, "{:x}\r\n", line.len() + 1).expect("writing to a string never fails");
    let mut chunk = size.into_bytes();
    chunk.extend_from_slice(line);
    chunk.extend_from_slice(b"\n\r\n");
    chunk
}

async fn write_bytes(
    writer: &mut impl AsyncWriteRent,
    bytes: Vec<u8>,
    write_timeout_ms: u64,
) -> Result<(), WriteError> {
    let limit = Duration::from_millis(write_timeout_ms);
    match timeout(limit, writer.write_all(bytes)).await {
        Ok((Ok(_), _)) => Ok(()),
        Ok((Err(_), _)) => Err(WriteError::Broken),
        Err(_) => Err(WriteError::TimedOut),
    }
}

/// Shuts down the sending side and discards input for a short time (lingering close).
///
/// Closing with unread input would reset the connection, and the peer might lose the response.
pub(crate) async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let limit = Duration::from_millis(LINGER_TIMEOUT_MS);
    let _ = timeout(limit, discard_until_closed(stream)).await;
}
