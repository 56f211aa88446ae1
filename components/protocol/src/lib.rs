//! Protocol between the processes of the system: `tarpc` services over TCP with
//! length-delimited frames, in an encoding that depends on the version; see `docs/PROTOCOL.md`.

mod address_list;
mod agent_link;
mod bootstrap_link;
mod codec;
mod connect;
mod connector;
mod counters;
mod entry_link;
mod eof_as_error;
mod error;
mod handlers;
mod hello;
mod host_link;
mod link;
mod message;
mod named;
mod pool;
mod positional;
mod server;
mod service;
mod settings;
mod traffic;
mod version;

pub use agent_link::AgentLink;
pub use bootstrap_link::{BootstrapLink, serve_bootstrap};
pub use codec::{MAX_CALL_MS, MAX_FRAME_BYTES, decode_message, encode_message};
pub use connector::Connector;
pub use counters::{LinkCounters, LinkEvent};
pub use entry_link::EntryLink;
pub use error::{LinkError, LinkFault};
pub use handlers::{EntryHandlers, EntryHandlersBuilder, MissingHandler};
pub use hello::{HELLO_BYTES, HELLO_TIMEOUT_MS, Hello, MAGIC, Refusal, Service};
pub use host_link::{HostLink, serve_host};
pub use link::Link;
pub use message::{
    AnnounceReply, BootstrapReply, BootstrapRequest, CancelReply, ConfigDocument,
    ConfigurationPart, ConfigurationPartRequest, EntryPing, EntryPong, HandoverOffer,
    HandoverReply, HostAnnouncement, HostAnnouncementReply, HostContact, JobProgress, OwnedShard,
    OwnerHint, ShardOwner, StatusReply, SubmitReply, TeamInfo,
};
pub use pool::{AgentPool, EntryPool, Pool};
pub use server::{MAX_CALLS_PER_CONNECTION, serve_agent, serve_entry};
pub use settings::{DEFAULT_CONNECTION_LIMIT, ServerSettings, ServerSettingsBuilder};
pub use traffic::Traffic;
pub use version::{OLDEST_VERSION, PeerVersions, VERSION, VersionRange};
