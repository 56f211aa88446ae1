//! The handshake at the start of every connection: a hello from the client and a reply.
//!
//! Its format is the same in all versions of the protocol, so that peers can agree on a version, or
//! be refused with the reason. All numbers are big-endian.
//!
//! Processes that use a single version up to 5 send zeros in place of their oldest version and of
//! their newest one in the reply.

use std::io;

use derive_more::{Display, Error};
use model::ProcessKey;
use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::TcpStream;

use crate::version::{VERSION, VersionRange};

/// First bytes of a connection in both directions.
pub const MAGIC: [u8; 8] = *b"shlcross";

/// Size of the hello, in bytes.
pub const HELLO_BYTES: usize = 32;

/// Timeout for the handshake on the server, in milliseconds.
pub const HELLO_TIMEOUT_MS: u64 = 2_000;

const REPLY_BYTES: usize = 32;
const ANY_KEY: u64 = 0;

// In place of the oldest version: the sender uses its newest one only.
const ONLY_NEWEST: u16 = 0;

/// The services that a process can offer; each connection is to one of them.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Service {
    /// Service of an agent.
    #[display("agent")]
    Agent,
    /// Service of an entry.
    #[display("entry")]
    Entry,
    /// Service of an agent for entries that place runs on its host, without shards.
    #[display("host")]
    Host,
    /// Service of an entry for entries and agents that the platform does not serve.
    #[display("bootstrap")]
    Bootstrap,
}

/// First message on a connection, sent by the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hello {
    /// Protocol versions that the sender offers.
    pub versions: VersionRange,
    /// Number of the requested service.
    pub service: u16,
    /// Incarnation of the sender.
    pub from: ProcessKey,
    /// Incarnation that the receiver must be; `None` accepts any.
    pub expected: Option<ProcessKey>,
}

/// Why a connection was refused.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The peers have no version of the protocol in common.
    #[display("peer uses protocol version {peer_version}, this process version {own_version}")]
    Version {
        /// Newest version of the peer that refused the connection.
        peer_version: u32,
        /// Newest version of this process.
        own_version: u32,
    },
    /// The peer does not offer the service.
    #[display("peer does not offer the service")]
    Service,
    /// The peer is another incarnation than expected.
    #[display("peer is incarnation {actual}, not the expected one")]
    Key {
        /// Incarnation of the peer.
        actual: ProcessKey,
    },
    /// The peer has reached its connection limit.
    #[display("peer is at its limit of connections")]
    Limit,
    /// The peer sent a reason that this version does not know.
    #[display("unknown reason {code}")]
    Other {
        /// Number of the reason.
        code: u32,
    },
}

/// Reply to a [`Hello`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reply {
    /// Version of the connection, or the newest of the sender if it refuses the connection.
    pub(crate) version: u32,
    /// Newest version of the sender; 0 if it is no newer than that of the connection.
    pub(crate) newest_version: u32,
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
    /// Returns the number of the service in a hello.
    #[must_use]
    pub fn number(self) -> u16 {
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
    /// Encodes the hello for the wire.
    #[must_use]
    pub fn encode(&self) -> [u8; HELLO_BYTES] {
        let mut bytes = [0; HELLO_BYTES];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..12].copy_from_slice(&self.versions.newest.to_be_bytes());
        bytes[12..14].copy_from_slice(&self.oldest_on_wire().to_be_bytes());
        bytes[14..16].copy_from_slice(&self.service.to_be_bytes());
        bytes[16..24].copy_from_slice(&self.from.0.to_be_bytes());
        let expected = self.expected.map_or(ANY_KEY, |key| key.0);
        bytes[24..].copy_from_slice(&expected.to_be_bytes());
        bytes
    }

    fn oldest_on_wire(&self) -> u16 {
        if self.versions.oldest == self.versions.newest {
            return ONLY_NEWEST;
        }
        u16::try_from(self.versions.oldest).unwrap_or(ONLY_NEWEST)
    }

    /// Decodes a hello; returns `None` if the bytes are not a hello of this protocol.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (newest, rest) = rest.split_first_chunk()?;
        let (oldest, rest) = rest.split_first_chunk()?;
        let (service, rest) = rest.split_first_chunk()?;
        let (from, rest) = rest.split_first_chunk()?;
        let expected = u64::from_be_bytes(rest.try_into().ok()?);
        let newest = u32::from_be_bytes(*newest);
        let oldest = match u16::from_be_bytes(*oldest) {
            ONLY_NEWEST => newest,
            oldest => u32::from(oldest),
        };
        Some(Self {
            versions: VersionRange { oldest, newest },
            service: u16::from_be_bytes(*service),
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
        bytes[24..28].copy_from_slice(&self.newest_version.to_be_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (version, rest) = rest.split_first_chunk()?;
        let (code, rest) = rest.split_first_chunk()?;
        let (key, rest) = rest.split_first_chunk()?;
        let (newest_version, _) = rest.split_first_chunk()?;
        Some(Self {
            version: u32::from_be_bytes(*version),
            newest_version: u32::from_be_bytes(*newest_version),
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

/// Reads a hello; returns `None` as soon as the first bytes are not [`MAGIC`].
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
