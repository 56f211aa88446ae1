//! Framing and encoding of calls.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::time::Duration;

use bincode::Options;
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

/// Largest frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Maximum time until the deadline of a call, in milliseconds.
pub const MAX_CALL_MS: u64 = 3_600_000;

/// Detail of the error that replaces an answer larger than a frame.
pub(crate) const ANSWER_TOO_LARGE: &str = "answer is larger than a frame";

const STREAM_BUFFER_BYTES: usize = 16 * 1024;

// Position of `Request` among the variants of `tarpc::ClientMessage`.
const REQUEST_VARIANT: u32 = 0;

pub(crate) type ServerTransport<Req, Resp> =
    Transport<TcpStreamCompat, ClientMessage<Req>, Response<Resp>, ServerCodec<Req, Resp>>;

pub(crate) type ClientTransport<Req, Resp> =
    Transport<TcpStreamCompat, Response<Resp>, ClientMessage<Req>, ClientCodec<Req, Resp>>;

/// Decodes requests and encodes responses.
pub(crate) struct ServerCodec<Req, Resp> {
    traffic: Traffic,
    calls: PhantomData<(Req, Resp)>,
}

/// Encodes requests and decodes responses.
pub(crate) struct ClientCodec<Req, Resp> {
    traffic: Traffic,
    calls: PhantomData<(Req, Resp)>,
}

pub(crate) fn server_transport<Req, Resp>(
    stream: TcpStream,
    traffic: Traffic,
) -> ServerTransport<Req, Resp>
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    serde_transport::new(
        frame_codec().new_framed(buffered(stream)),
        ServerCodec {
            traffic,
            calls: PhantomData,
        },
    )
}

pub(crate) fn client_transport<Req, Resp>(
    stream: TcpStream,
    traffic: Traffic,
) -> ClientTransport<Req, Resp>
where
    Req: Serialize,
    Resp: DeserializeOwned,
{
    serde_transport::new(
        frame_codec().new_framed(buffered(stream)),
        ClientCodec {
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

fn bincode_options() -> impl Options + Copy {
    bincode::DefaultOptions::new()
}

fn invalid(error: bincode::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

fn encode<T: Serialize>(item: &T) -> io::Result<Bytes> {
    bincode_options()
        .serialize(item)
        .map(Bytes::from)
        .map_err(invalid)
}

fn decode<T: DeserializeOwned>(frame: &[u8]) -> io::Result<T> {
    bincode_options().deserialize(frame).map_err(invalid)
}

/// Refuses a request whose deadline is further away than [`MAX_CALL_MS`].
///
/// `tarpc` adds the time left to its clock and timer without an overflow check, and panics if
/// it is out of range.
fn check_deadline(mut frame: &[u8]) -> io::Result<()> {
    let variant: u32 = bincode_options()
        .deserialize_from(&mut frame)
        .map_err(invalid)?;
    if variant != REQUEST_VARIANT {
        return Ok(());
    }
    let time_left: Duration = bincode_options()
        .deserialize_from(&mut frame)
        .map_err(invalid)?;
    if time_left > Duration::from_millis(MAX_CALL_MS) {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "deadline is too far in the future",
        ));
    }
    Ok(())
}

impl<Req, Resp> Deserializer<ClientMessage<Req>> for ServerCodec<Req, Resp>
where
    Req: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<ClientMessage<Req>> {
        self.traffic.received(frame.len());
        check_deadline(frame)?;
        decode(frame)
    }
}

impl<Req, Resp> Serializer<Response<Resp>> for ServerCodec<Req, Resp>
where
    Resp: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, response: &Response<Resp>) -> io::Result<Bytes> {
        let mut frame = encode(response)?;
        if frame.len() > MAX_FRAME_BYTES {
            // Returning an error would close the connection and fail all its calls.
            let detail = ANSWER_TOO_LARGE.to_owned();
            frame = encode(&Response::<Resp> {
                request_id: response.request_id,
                message: Err(ServerError::new(io::ErrorKind::InvalidData, detail)),
            })?;
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
        decode(frame)
    }
}

impl<Req, Resp> Serializer<ClientMessage<Req>> for ClientCodec<Req, Resp>
where
    Req: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &ClientMessage<Req>) -> io::Result<Bytes> {
        let frame = encode(message)?;
        self.traffic.sent(frame.len());
        Ok(frame)
    }
}
