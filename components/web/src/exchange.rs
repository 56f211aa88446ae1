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
use crate::request_reader::asks_to_close;

const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Writes to a stream and counts the bytes that the kernel took.
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

/// Encodes and writes a request; `written_bytes` tells at any time how much has left.
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
    let broken = |error: &dyn std::fmt::Display| CallFault::Broken(error.to_string());
    encoder.send(request).await.map_err(|e| broken(&e))?;
    Sink::<http::Request<HttpBody>>::flush(&mut encoder)
        .await
        .map_err(|e| broken(&e))
}

/// Translates a request into the form of the codec.
pub(crate) fn encode_request(
    request: &Request,
    host: &HeaderValue,
) -> Result<http::Request<HttpBody>, CallFault> {
    let target = match &request.query {
        Some(query) => format!("{}?{query}", request.path),
        None => request.path.clone(),
    };
    let uri = Uri::try_from(target).map_err(|e| CallFault::InvalidRequest(e.to_string()))?;
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

/// Reads the head of the final response, past interim ones.
pub(crate) async fn read_response_head(
    connection: &mut Connection,
) -> Result<ResponseHead, CallFault> {
    loop {
        let head = connection
            .read_head(&mut ResponseHeadDecoder, MAX_HEAD_BYTES)
            .await
            .map_err(|error| read_fault(&error))?;
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
}

/// Reads a whole response; also tells whether the connection can be used again.
///
/// Refuses a body that only ends with the connection, as a lost end would not be noticed.
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
        let length = body_length(&head.headers).map_err(|error| read_fault(&error))?;
        if length == BodyLength::Unstated {
            let text = "the body has no stated length".to_owned();
            return Err(CallFault::InvalidResponse(text));
        }
        response.body = connection
            .read_body(length, max_body_bytes)
            .await
            .map_err(|error| read_fault(&error))?;
    }
    let reusable = head.version == Version::HTTP_11 && !asks_to_close(&head.headers);
    response.headers = head.headers;
    Ok((response, reusable))
}

pub(crate) fn read_fault(error: &ReadError) -> CallFault {
    match error {
        ReadError::Closed | ReadError::Broken(_) | ReadError::Slow => {
            CallFault::Broken(error.to_string())
        }
        ReadError::TooLarge | ReadError::Malformed(_) => {
            CallFault::InvalidResponse(error.to_string())
        }
    }
}
