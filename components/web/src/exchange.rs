//! One request and its response on an open connection.

use std::cell::Cell;
use std::io;

use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderValue, Method, Uri, Version};
use monoio::BufResult;
use monoio::buf::{IoBuf, IoVecBuf};
use monoio::io::AsyncWriteRent;
use monoio::io::sink::Sink;
use monoio::net::TcpStream;
use monoio_http::common::body::HttpBody;
use monoio_http::common::response::ResponseHead;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;

use crate::call::CallFault;
use crate::connection::{BodyLength, Connection, ReadError, body_length};
use crate::message::{Request, Response};
use crate::request_reader::has_close_option;

/// Largest head of a response, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;

/// Writer that counts the bytes accepted by the kernel.
struct CountingWriter<'a> {
    stream: &'a mut TcpStream,
    written_bytes: &'a Cell<u64>,
}

impl CountingWriter<'_> {
    fn count(&self, result: &io::Result<usize>) {
        if let Ok(count) = result {
            let total = self.written_bytes.get() + *count as u64;
            self.written_bytes.set(total);
        }
    }
}

impl AsyncWriteRent for CountingWriter<'_> {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.stream.write(buf).await;
        self.count(&result);
        (result, buf)
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.stream.writev(buf).await;
        self.count(&result);
        (result, buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}

/// Encodes and writes a request; `written_bytes` is updated after each write to the socket.
pub(crate) async fn write_request(
    stream: &mut TcpStream,
    request: http::Request<HttpBody>,
    written_bytes: &Cell<u64>,
) -> Result<(), CallFault> {
    let writer = CountingWriter {
        stream,
        written_bytes,
    };
    let mut encoder = GenericEncoder::new(writer);
    let broken_fault = |error: &dyn std::fmt::Display| CallFault::Broken(error.to_string());
    encoder.send(request).await.map_err(|e| broken_fault(&e))?;
    Sink::<http::Request<HttpBody>>::flush(&mut encoder)
        .await
        .map_err(|e| broken_fault(&e))
}

/// Converts a request to the codec's type.
pub(crate) fn encode_request(
    request: &Request,
    host: &HeaderValue,
) -> Result<http::Request<HttpBody>, CallFault> {
    let request_target = match &request.query {
        Some(query) => format!("{}?{query}", request.path),
        None => request.path.clone(),
    };
    let uri =
        Uri::try_from(request_target).map_err(|e| CallFault::InvalidRequest(e.to_string()))?;
    if uri.path_and_query().is_none() || uri.authority().is_some() {
        return Err(CallFault::InvalidRequest("not a path".to_owned()));
    }
    let has_body = !request.body.is_empty();
    let body = HttpBody::Ready(has_body.then(|| request.body.clone()));
    let mut encoded = http::Request::new(body);
    *encoded.method_mut() = request.method.clone();
    *encoded.uri_mut() = uri;
    *encoded.headers_mut() = request.headers.clone();
    let headers = encoded.headers_mut();
    headers.entry(HOST).or_insert_with(|| host.clone());
    if !has_body && request.method != Method::GET {
        headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
    Ok(encoded)
}

/// Reads the head of the final response and skips interim (1xx) ones.
pub(crate) async fn read_response_head(
    connection: &mut Connection,
) -> Result<ResponseHead, CallFault> {
    loop {
        let head = connection
            .read_head(&mut ResponseHeadDecoder, MAX_RESPONSE_HEAD_BYTES)
            .await
            .map_err(|error| fault_from_read_error(&error))?;
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
}

/// Reads a whole response; also returns whether the connection can be reused.
///
/// Rejects a body delimited by the end of the connection, as a truncation could not be detected.
pub(crate) async fn read_response(
    connection: &mut Connection,
    method: &Method,
    max_body_bytes: usize,
) -> Result<(Response, bool), CallFault> {
    let head = read_response_head(connection).await?;
    let status = head.status.as_u16();
    let has_body = *method != Method::HEAD && status != 204 && status != 304;
    let mut response = Response::empty(status);
    if has_body {
        let length = body_length(&head.headers).map_err(|error| fault_from_read_error(&error))?;
        if length == BodyLength::Unspecified {
            let detail = "the body has no stated length".to_owned();
            return Err(CallFault::InvalidResponse(detail));
        }
        response.body = connection
            .read_body(length, max_body_bytes)
            .await
            .map_err(|error| fault_from_read_error(&error))?;
    }
    let is_reusable = head.version == Version::HTTP_11 && !has_close_option(&head.headers);
    response.headers = head.headers;
    Ok((response, is_reusable))
}

/// Converts an error of reading a response.
pub(crate) fn fault_from_read_error(error: &ReadError) -> CallFault {
    match error {
        ReadError::Closed | ReadError::Broken(_) | ReadError::Slow => {
            CallFault::Broken(error.to_string())
        }
        ReadError::TooLarge | ReadError::Malformed(_) => {
            CallFault::InvalidResponse(error.to_string())
        }
    }
}
