//! Reads requests from a connection.

use std::time::Duration;

use http::header::{CONNECTION, EXPECT};
use http::{HeaderMap, Version};
use monoio::io::AsyncWriteRentExt;
use monoio::time::timeout;
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;

use crate::connection::{BodyLength, Connection, ReadError, body_length};
use crate::limits::ServerLimits;
use crate::message::Request;

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request, and whether its connection stays open for another one.
pub(crate) struct ReadRequest {
    pub(crate) request: Request,
    pub(crate) is_keep_alive: bool,
}

/// Reads one request, whose first byte is already in the buffer.
pub(crate) async fn read_request(
    connection: &mut Connection,
    limits: &ServerLimits,
) -> Result<ReadRequest, ReadError> {
    check_first_byte(connection.buffered())?;
    let limit = Duration::from_millis(limits.header_timeout_ms);
    let mut decoder = RequestHeadDecoder;
    let head = connection.read_head(&mut decoder, limits.max_header_bytes);
    let head = timeout(limit, head).await.unwrap_or(Err(ReadError::Slow))?;
    let length = body_length(&head.headers)?;
    if matches!(length, BodyLength::Fixed(bytes) if bytes > limits.max_body_bytes) {
        return Err(ReadError::TooLarge);
    }
    if expects_continue(&head.headers) {
        send_continue(connection).await?;
    }
    let body = connection.read_body(length, limits.max_body_bytes).await?;
    Ok(assemble(head, body))
}

/// Rejects other protocols at once, as their peers may never send the end of an HTTP head.
fn check_first_byte(buffered: &[u8]) -> Result<(), ReadError> {
    match buffered.first() {
        Some(first) if !first.is_ascii_alphabetic() && !first.is_ascii_whitespace() => {
            Err(ReadError::Malformed("no HTTP method".to_owned()))
        }
        _ => Ok(()),
    }
}

fn expects_continue(headers: &HeaderMap) -> bool {
    let expect = headers.get(EXPECT).map(|value| value.as_bytes());
    expect.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}

async fn send_continue(connection: &mut Connection) -> Result<(), ReadError> {
    let (result, _) = connection.stream.write_all(CONTINUE_RESPONSE).await;
    result
        .map(|_| ())
        .map_err(|error| ReadError::Broken(error.to_string()))
}

fn assemble(head: RequestHead, body: bytes::Bytes) -> ReadRequest {
    let is_keep_alive = head.version == Version::HTTP_11 && !has_close_option(&head.headers);
    let request = Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        headers: head.headers,
        body,
    };
    ReadRequest {
        request,
        is_keep_alive,
    }
}

/// Returns whether the headers request that the connection be closed after this message.
pub(crate) fn has_close_option(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION);
    values.iter().any(|value| {
        let mut options = value.as_bytes().split(|byte| *byte == b',');
        options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
    })
}
