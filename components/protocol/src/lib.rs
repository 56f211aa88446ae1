//! Protocol between the processes of the system: `tarpc` services over TCP with
//! length-delimited frames in `bincode` encoding; see `docs/PROTOCOL.md`.

mod agent_link;
mod bootstrap_link;
mod codec;
mod connect;
mod counters;
mod entry_link;
mod eof_as_error;
mod error;
mod handlers;
mod hello;
mod host_link;
mod link;
mod message;
mod pool;
mod server;
mod service;
mod settings;
mod traffic;

pub use agent_link::AgentLink;
pub use bootstrap_link::{BootstrapLink, serve_bootstrap};
pub use codec::{MAX_CALL_MS, MAX_FRAME_BYTES};
pub use counters::{LinkCounters, LinkEvent};
pub use entry_link::EntryLink;
pub use error::{LinkError, LinkFault};
pub use handlers::{EntryHandlers, EntryHandlersBuilder, MissingHandler};
pub use hello::{HELLO_BYTES, HELLO_TIMEOUT_MS, Hello, MAGIC, Refusal, Service, VERSION};
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
