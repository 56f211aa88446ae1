//! Framing of calls, and their encoding in each version.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use monoio::net::TcpStream;
use monoio_compat::TcpStreamCompat;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::{ClientMessage, Response, ServerError};
use tokio_util::codec::LengthDelimitedCodec;

use crate::traffic::Traffic;
use crate::version::encoding;
use crate::{named, positional};

/// Largest frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Maximum time until the deadline of a call, in milliseconds.
pub const MAX_CALL_MS: u64 = 3_600_000;

/// Detail of the error that replaces an answer larger than a frame.
pub(crate) const ANSWER_TOO_LARGE: &str = "answer is larger than a frame";

const STREAM_BUFFER_BYTES: usize = 16 * 1024;

/// How messages are encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Encoding {
    /// Fields in a fixed order, without their names.
    Positional,
    /// Fields with their names: those that the receiver does not know are skipped, and optional ones
    /// may be missing.
    Named,
}

pub(crate) type ServerTransport<Req, Resp> =
    Transport<TcpStreamCompat, ClientMessage<Req>, Response<Resp>, ServerCodec<Req, Resp>>;

pub(crate) type ClientTransport<Req, Resp> =
    Transport<TcpStreamCompat, Response<Resp>, ClientMessage<Req>, ClientCodec<Req, Resp>>;

/// Decodes requests and encodes responses.
pub(crate) struct ServerCodec<Req, Resp> {
    encoding: Encoding,
    traffic: Traffic,
    calls: PhantomData<(Req, Resp)>,
}

/// Encodes requests and decodes responses.
pub(crate) struct ClientCodec<Req, Resp> {
    encoding: Encoding,
    traffic: Traffic,
    calls: PhantomData<(Req, Resp)>,
}

pub(crate) fn server_transport<Req, Resp>(
    stream: TcpStream,
    encoding: Encoding,
    traffic: Traffic,
) -> ServerTransport<Req, Resp>
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    serde_transport::new(
        frame_codec().new_framed(buffered(stream)),
        ServerCodec {
            encoding,
            traffic,
            calls: PhantomData,
        },
    )
}

pub(crate) fn client_transport<Req, Resp>(
    stream: TcpStream,
    encoding: Encoding,
    traffic: Traffic,
) -> ClientTransport<Req, Resp>
where
    Req: Serialize,
    Resp: DeserializeOwned,
{
    serde_transport::new(
        frame_codec().new_framed(buffered(stream)),
        ClientCodec {
            encoding,
            traffic,
            calls: PhantomData,
        },
    )
}

fn frame_codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

fn buffered(stream: TcpStream) -> TcpStreamCompat {
    TcpStreamCompat::new_with_buffer_size(stream, STREAM_BUFFER_BYTES, STREAM_BUFFER_BYTES)
}

/// Checks that the deadline of a request is at most [`MAX_CALL_MS`] away.
///
/// `tarpc` adds the time left to its clock and timer without an overflow check, and panics if
/// it is out of range.
pub(crate) fn check_time_left(time_left: Duration) -> io::Result<()> {
    if time_left > Duration::from_millis(MAX_CALL_MS) {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "deadline is too far in the future",
        ));
    }
    Ok(())
}

/// Encodes a message as in the frames of a version, for tests and measurements.
///
/// # Errors
///
/// Fails if the message cannot be encoded.
pub fn encode_message<T: Serialize>(version: u32, message: &T) -> io::Result<Bytes> {
    match encoding(version) {
        Encoding::Positional => positional::encode(message),
        Encoding::Named => named::encode(message),
    }
}

/// Decodes a message as in the frames of a version, for tests and measurements.
///
/// # Errors
///
/// Fails if the bytes are not such a message.
pub fn decode_message<T: DeserializeOwned>(version: u32, bytes: &[u8]) -> io::Result<T> {
    match encoding(version) {
        Encoding::Positional => positional::decode(bytes),
        Encoding::Named => named::decode(bytes),
    }
}

fn encode_response<Resp: Serialize>(
    encoding: Encoding,
    response: &Response<Resp>,
) -> io::Result<Bytes> {
    match encoding {
        Encoding::Positional => positional::encode(response),
        Encoding::Named => named::encode_response(response),
    }
}

impl<Req, Resp> Deserializer<ClientMessage<Req>> for ServerCodec<Req, Resp>
where
    Req: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<ClientMessage<Req>> {
        self.traffic.received(frame.len());
        match self.encoding {
            Encoding::Positional => positional::decode_request(frame),
            Encoding::Named => named::decode_request(frame),
        }
    }
}

impl<Req, Resp> Serializer<Response<Resp>> for ServerCodec<Req, Resp>
where
    Resp: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, response: &Response<Resp>) -> io::Result<Bytes> {
        let mut frame = encode_response(self.encoding, response)?;
        if frame.len() > MAX_FRAME_BYTES {
            // Returning an error would close the connection and fail all its calls.
            let detail = ANSWER_TOO_LARGE.to_owned();
            let error = Response::<Resp> {
                request_id: response.request_id,
                message: Err(ServerError::new(io::ErrorKind::InvalidData, detail)),
            };
            frame = encode_response(self.encoding, &error)?;
        }
        self.traffic.sent(frame.len());
        Ok(frame)
    }
}

impl<Req, Resp> Deserializer<Response<Resp>> for ClientCodec<Req, Resp>
where
    Resp: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<Response<Resp>> {
        self.traffic.received(frame.len());
        match self.encoding {
            Encoding::Positional => positional::decode(frame),
            Encoding::Named => named::decode_response(frame),
        }
    }
}

impl<Req, Resp> Serializer<ClientMessage<Req>> for ClientCodec<Req, Resp>
where
    Req: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &ClientMessage<Req>) -> io::Result<Bytes> {
        let frame = match self.encoding {
            Encoding::Positional => positional::encode(message),
            Encoding::Named => named::encode_request(message),
        }?;
        self.traffic.sent(frame.len());
        Ok(frame)
    }
}
