//! The encoding since version 6: MessagePack, in which each field has its name.
//!
//! A receiver skips fields that it does not know, and uses the default of fields that are missing if
//! they are declared with `#[serde(default)]`.

use std::io;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarpc::{ClientMessage, Request, Response, ServerError, context, trace};

use crate::codec::check_time_left;

/// Message from a client, as sent.
#[derive(Serialize)]
enum OutgoingRequest<'a, Req> {
    #[serde(rename = "call")]
    Call {
        id: u64,
        left_us: u64,
        call: &'a Req,
    },
    #[serde(rename = "cancel")]
    Cancel { id: u64 },
}

/// Message from a client, as received.
#[derive(Deserialize)]
enum IncomingRequest<Req> {
    #[serde(rename = "call")]
    Call { id: u64, left_us: u64, call: Req },
    #[serde(rename = "cancel")]
    Cancel { id: u64 },
}

/// Response, with exactly one of `answer` and `error`.
#[derive(Serialize, Deserialize)]
struct Reply<Resp> {
    id: u64,
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    answer: Option<Resp>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Capacity that most messages do not exceed, in bytes.
const FRAME_CAPACITY_BYTES: usize = 512;

fn invalid(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

pub(crate) fn encode<T: Serialize>(item: &T) -> io::Result<Bytes> {
    let mut frame = Vec::with_capacity(FRAME_CAPACITY_BYTES);
    let mut serializer = rmp_serde::Serializer::new(&mut frame)
        .with_struct_map()
        .with_human_readable();
    item.serialize(&mut serializer).map_err(invalid)?;
    Ok(Bytes::from(frame))
}

pub(crate) fn decode<T: DeserializeOwned>(frame: &[u8]) -> io::Result<T> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(frame).with_human_readable();
    T::deserialize(&mut deserializer).map_err(invalid)
}

pub(crate) fn encode_request<Req: Serialize>(message: &ClientMessage<Req>) -> io::Result<Bytes> {
    match message {
        ClientMessage::Request(request) => {
            let time_left = request
                .context
                .deadline
                .saturating_duration_since(Instant::now());
            encode(&OutgoingRequest::Call {
                id: request.id,
                left_us: u64::try_from(time_left.as_micros()).unwrap_or(u64::MAX),
                call: &request.message,
            })
        }
        ClientMessage::Cancel { request_id, .. } => {
            let cancel: OutgoingRequest<'_, Req> = OutgoingRequest::Cancel { id: *request_id };
            encode(&cancel)
        }
        _ => Err(invalid("unknown kind of message")),
    }
}

pub(crate) fn decode_request<Req: DeserializeOwned>(
    frame: &[u8],
) -> io::Result<ClientMessage<Req>> {
    match decode(frame)? {
        IncomingRequest::Call { id, left_us, call } => {
            let time_left = Duration::from_micros(left_us);
            check_time_left(time_left)?;
            let mut context = context::current();
            context.deadline = Instant::now() + time_left;
            Ok(ClientMessage::Request(Request {
                context,
                id,
                message: call,
            }))
        }
        IncomingRequest::Cancel { id } => Ok(ClientMessage::Cancel {
            trace_context: trace::Context::default(),
            request_id: id,
        }),
    }
}

pub(crate) fn encode_response<Resp: Serialize>(response: &Response<Resp>) -> io::Result<Bytes> {
    let (answer, error) = match &response.message {
        Ok(answer) => (Some(answer), None),
        Err(error) => (None, Some(error.detail.clone())),
    };
    encode(&Reply {
        id: response.request_id,
        answer,
        error,
    })
}

pub(crate) fn decode_response<Resp: DeserializeOwned>(frame: &[u8]) -> io::Result<Response<Resp>> {
    let reply: Reply<Resp> = decode(frame)?;
    let message = match (reply.answer, reply.error) {
        (Some(answer), None) => Ok(answer),
        (None, Some(detail)) => Err(ServerError::new(io::ErrorKind::Other, detail)),
        _ => {
            return Err(invalid(
                "response has neither an answer nor an error, or both",
            ));
        }
    };
    Ok(Response {
        request_id: reply.id,
        message,
    })
}
