//! HTTP/1.1 server and client on `monoio`, with the codecs of `monoio-http`.
//!
//! Both run on the current thread inside a `monoio` runtime that has its timer enabled.

mod call;
mod client;
mod connection;
mod counters;
mod exchange;
mod limits;
mod line_channel;
mod line_stream;
mod message;
mod metrics_port;
mod notify;
mod pool;
mod request_reader;
mod respond;
mod server;
mod stop;

pub use call::{CallError, CallFault, CallLimits};
pub use client::{Client, ClientCounters};
pub use counters::ServerCounters;
pub use limits::{CurrentLimits, ServerLimits, ServerLimitsBuilder};
pub use line_channel::{LineReceiver, LineSender, SendLineError, line_channel};
pub use line_stream::LineStream;
pub use message::{Delivery, Request, Response};
pub use metrics_port::serve_metrics;
pub use notify::Notify;
pub use server::{bind, bind_port, bind_port_with_address, serve};
pub use stop::StopSignal;

pub use bytes::Bytes;
pub use http::{HeaderMap, HeaderName, HeaderValue, Method};
