//! HTTP requests and responses.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, Method};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::line_channel::LineReceiver;

/// A request with its whole body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path, percent-encoded as received or sent.
    pub path: String,
    /// Query after the question mark, percent-encoded as received or sent.
    pub query: Option<String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// Creates a request without headers or body.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            query: None,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a `POST` request with a JSON body.
    ///
    /// # Panics
    ///
    /// Panics if `value` cannot be serialized as JSON.
    #[must_use]
    pub fn post_json(path: impl Into<String>, value: &impl Serialize) -> Self {
        let mut request = Self::new(Method::POST, path);
        request.body = to_json(value);
        request
            .headers
            .insert(CONTENT_TYPE, HeaderValue::from_static(JSON_CONTENT_TYPE));
        request
    }

    /// Returns a header's value if it is visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON for `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// How a response is sent to the client.
#[derive(Debug)]
pub enum Delivery {
    /// Sends the body at once.
    Body,
    /// Sends each line as a chunk when it becomes available; ignores the body.
    Stream(LineReceiver),
    /// Closes the connection without a response; used by test servers that inject faults.
    Disconnect,
}

/// A response with a whole body or a stream of lines.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// How the response is sent.
    pub delivery: Delivery,
}

const JSON_CONTENT_TYPE: &str = "application/json";
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Response {
    /// Creates a response without a body.
    #[must_use]
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            delivery: Delivery::Body,
        }
    }

    /// Creates a response with a JSON body.
    ///
    /// # Panics
    ///
    /// Panics if `value` cannot be serialized as JSON.
    #[must_use]
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        Self::with_body(status, JSON_CONTENT_TYPE, to_json(value))
    }

    /// Creates a response with a text body.
    #[must_use]
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::with_body(status, TEXT_CONTENT_TYPE, Bytes::from(text.into()))
    }

    /// Creates a response with the JSON body `{"error": text}`.
    #[must_use]
    pub fn error(status: u16, text: &str) -> Self {
        Self::json(status, &ErrorBody { error: text })
    }

    /// Creates a response with status 200 that sends each line as one chunk.
    #[must_use]
    pub fn stream(lines: LineReceiver) -> Self {
        let mut response = Self::with_body(200, JSON_CONTENT_TYPE, Bytes::new());
        response.delivery = Delivery::Stream(lines);
        response
    }

    /// Creates a response that closes the connection without sending anything.
    #[must_use]
    pub fn disconnect() -> Self {
        let mut response = Self::empty(500);
        response.delivery = Delivery::Disconnect;
        response
    }

    /// Returns a header's value if it is visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON for `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    /// Adds a header, or replaces it.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    fn with_body(status: u16, content_type: &'static str, body: Bytes) -> Self {
        let mut response = Self::empty(status);
        response.body = body;
        response.with_header(CONTENT_TYPE, HeaderValue::from_static(content_type))
    }
}

fn to_json(value: &impl Serialize) -> Bytes {
    let encoded = serde_json::to_vec(value).expect("the value can be serialized as JSON");
    Bytes::from(encoded)
}
