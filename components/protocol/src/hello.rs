//! The hello with which every connection starts.
//!
//! Its form is the same in all versions of the protocol, so that peers of different
//! versions can refuse each other clearly. All numbers are big-endian.

use std::io;

use derive_more::{Display, Error};
use model::ProcessKey;
use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::TcpStream;

/// The bytes with which both directions of a connection start.
pub const MAGIC: [u8; 8] = *b"shlcross";

/// Version of the protocol that this program speaks.
pub const VERSION: u32 = 1;

/// Size of the hello, in bytes.
pub const HELLO_BYTES: usize = 32;

/// How long a peer may take for its hello, in milliseconds.
pub const HELLO_TIMEOUT_MS: u64 = 2_000;

const REPLY_BYTES: usize = 32;
const ANY_KEY: u64 = 0;

/// The services that a connection can be for.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Service {
    /// Service of an agent.
    #[display("agent")]
    Agent,
    /// Service of an entry.
    #[display("entry")]
    Entry,
    /// Service of an agent that runs tasks for entries on their word alone.
    #[display("host")]
    Host,
    /// Service of an entry for entries that cannot reach the platform.
    #[display("bootstrap")]
    Bootstrap,
}

/// First message of whoever opens a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hello {
    /// Version that the sender speaks.
    pub version: u32,
    /// Number of the service that the sender asks for.
    pub service: u32,
    /// Incarnation of the sender.
    pub from: ProcessKey,
    /// Incarnation that the sender means to reach, if it must be a certain one.
    pub expected: Option<ProcessKey>,
}

/// Why a connection was refused.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The peers speak different versions.
    #[display("peer speaks version {peer_version}, this process version {own_version}")]
    Version {
        /// Version of the refusing peer.
        peer_version: u32,
        /// Version of this process.
        own_version: u32,
    },
    /// The peer does not offer the service.
    #[display("peer does not offer the service")]
    Service,
    /// The peer is another incarnation than expected.
    #[display("peer is incarnation {actual}")]
    Key {
        /// Incarnation of the peer.
        actual: ProcessKey,
    },
    /// The peer has too many connections.
    #[display("peer is at its limit of connections")]
    Limit,
    /// The peer gave a reason that this version does not know.
    #[display("unknown reason {code}")]
    Other {
        /// Number of the reason.
        code: u32,
    },
}

/// Answer to a [`Hello`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) version: u32,
    pub(crate) code: ReplyCode,
    pub(crate) key: ProcessKey,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyCode {
    Accepted,
    Version,
    Service,
    Key,
    Limit,
    Other(u32),
}

impl Service {
    /// Returns the number of the service on the wire.
    #[must_use]
    pub fn number(self) -> u32 {
        match self {
            Self::Agent => 1,
            Self::Entry => 2,
            Self::Host => 3,
            Self::Bootstrap => 4,
        }
    }
}

impl ReplyCode {
    fn number(self) -> u32 {
        match self {
            Self::Accepted => 0,
            Self::Version => 1,
            Self::Service => 2,
            Self::Key => 3,
            Self::Limit => 4,
            Self::Other(code) => code,
        }
    }

    fn from_number(code: u32) -> Self {
        match code {
            0 => Self::Accepted,
            1 => Self::Version,
            2 => Self::Service,
            3 => Self::Key,
            4 => Self::Limit,
            code => Self::Other(code),
        }
    }
}

impl Hello {
    /// Returns the wire form.
    #[must_use]
    pub fn encode(&self) -> [u8; HELLO_BYTES] {
        let mut bytes = [0; HELLO_BYTES];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..12].copy_from_slice(&self.version.to_be_bytes());
        bytes[12..16].copy_from_slice(&self.service.to_be_bytes());
        bytes[16..24].copy_from_slice(&self.from.0.to_be_bytes());
        let expected = self.expected.map_or(ANY_KEY, |key| key.0);
        bytes[24..].copy_from_slice(&expected.to_be_bytes());
        bytes
    }

    /// Reads the wire form; returns nothing if the bytes are not of this protocol.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (version, rest) = rest.split_first_chunk()?;
        let (service, rest) = rest.split_first_chunk()?;
        let (from, rest) = rest.split_first_chunk()?;
        let expected = u64::from_be_bytes(rest.try_into().ok()?);
        Some(Self {
            version: u32::from_be_bytes(*version),
            service: u32::from_be_bytes(*service),
            from: ProcessKey(u64::from_be_bytes(*from)),
            expected: (expected != ANY_KEY).then_some(ProcessKey(expected)),
        })
    }
}

impl Reply {
    fn encode(self) -> [u8; REPLY_BYTES] {
        let mut bytes = [0; REPLY_BYTES];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..12].copy_from_slice(&self.version.to_be_bytes());
        bytes[12..16].copy_from_slice(&self.code.number().to_be_bytes());
        bytes[16..24].copy_from_slice(&self.key.0.to_be_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (version, rest) = rest.split_first_chunk()?;
        let (code, rest) = rest.split_first_chunk()?;
        let (key, _) = rest.split_first_chunk()?;
        Some(Self {
            version: u32::from_be_bytes(*version),
            code: ReplyCode::from_number(u32::from_be_bytes(*code)),
            key: ProcessKey(u64::from_be_bytes(*key)),
        })
    }

    /// Returns the peer's key, or why it refused the connection.
    pub(crate) fn accepted(self) -> Result<ProcessKey, Refusal> {
        match self.code {
            ReplyCode::Accepted => Ok(self.key),
            ReplyCode::Version => Err(Refusal::Version {
                peer_version: self.version,
                own_version: VERSION,
            }),
            ReplyCode::Service => Err(Refusal::Service),
            ReplyCode::Key => Err(Refusal::Key { actual: self.key }),
            ReplyCode::Limit => Err(Refusal::Limit),
            ReplyCode::Other(code) => Err(Refusal::Other { code }),
        }
    }
}

/// Reads a hello; returns nothing as soon as the bytes are not those of the protocol.
pub(crate) async fn read_hello(stream: &mut TcpStream) -> io::Result<Option<Hello>> {
    let mut bytes = read_bytes(stream, MAGIC.len()).await?;
    if bytes != MAGIC {
        return Ok(None);
    }
    bytes.extend(read_bytes(stream, HELLO_BYTES - MAGIC.len()).await?);
    Ok(Hello::decode(&bytes))
}

pub(crate) async fn read_reply(stream: &mut TcpStream) -> io::Result<Option<Reply>> {
    let bytes = read_bytes(stream, REPLY_BYTES).await?;
    Ok(Reply::decode(&bytes))
}

pub(crate) async fn write_hello(stream: &mut TcpStream, hello: &Hello) -> io::Result<()> {
    write_bytes(stream, &hello.encode()).await
}

pub(crate) async fn write_reply(stream: &mut TcpStream, reply: Reply) -> io::Result<()> {
    write_bytes(stream, &reply.encode()).await
}

async fn read_bytes(stream: &mut TcpStream, count: usize) -> io::Result<Vec<u8>> {
    let (result, bytes) = stream.read_exact(vec![0; count]).await;
    result?;
    Ok(bytes)
}

async fn write_bytes(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let (result, _) = stream.write_all(bytes.to_vec()).await;
    result?;
    Ok(())
}
