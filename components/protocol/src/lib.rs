//! Protocol between the system's own processes: `tarpc` services over length-delimited
//! TCP with `bincode`; see `docs/PROTOCOL.md`.

mod codec;
mod connect;
mod counters;
mod error;
mod handlers;
mod hello;
mod link;
mod message;
mod pool;
mod server;
mod service;

pub use codec::{MAX_CALL_MS, MAX_FRAME_BYTES};
pub use counters::{LinkCounters, LinkEvent};
pub use error::{LinkError, LinkFault};
pub use handlers::{EntryHandlers, EntryHandlersBuilder, MissingHandler};
pub use hello::{HELLO_BYTES, HELLO_TIMEOUT_MS, Hello, MAGIC, Refusal, Service, VERSION};
pub use link::{AgentLink, EntryLink, Link};
pub use message::{
    AnnounceReply, CancelReply, ConfigDocument, EntryPing, EntryPong, HandOver, HandOverReply,
    JobProgress, OwnedShard, OwnerHint, ShardOwner, StatusReply, SubmitReply,
};
pub use pool::{AgentPool, EntryPool, Pool};
pub use server::{
    DEFAULT_CONNECTION_LIMIT, MAX_CALLS_PER_CONNECTION, ServerSettings, ServerSettingsBuilder,
    serve_agent, serve_entry,
};
