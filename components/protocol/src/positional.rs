//! The encoding of version 5: `bincode`, which describes no field.

use std::io;
use std::time::Duration;

use bincode::Options;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::ClientMessage;

use crate::codec::check_time_left;

// Position of `Request` among the variants of `tarpc::ClientMessage`.
const REQUEST_VARIANT: u32 = 0;

fn options() -> impl Options + Copy {
    bincode::DefaultOptions::new()
}

fn invalid(error: bincode::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

pub(crate) fn encode<T: Serialize>(item: &T) -> io::Result<Bytes> {
    let encoded = options().serialize(item);
    encoded.map(Bytes::from).map_err(invalid)
}

pub(crate) fn decode<T: DeserializeOwned>(frame: &[u8]) -> io::Result<T> {
    options().deserialize(frame).map_err(invalid)
}

pub(crate) fn decode_request<Req: DeserializeOwned>(
    frame: &[u8],
) -> io::Result<ClientMessage<Req>> {
    if let Some(time_left) = read_time_left(frame)? {
        check_time_left(time_left)?;
    }
    decode(frame)
}

/// Returns the time left of a request; `None` if the frame is another message.
fn read_time_left(mut frame: &[u8]) -> io::Result<Option<Duration>> {
    let variant: u32 = options().deserialize_from(&mut frame).map_err(invalid)?;
    if variant != REQUEST_VARIANT {
        return Ok(None);
    }
    let time_left = options().deserialize_from(&mut frame).map_err(invalid)?;
    Ok(Some(time_left))
}
