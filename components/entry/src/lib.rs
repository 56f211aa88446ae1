//! The entry process: accepts requests and connects the dispatcher, which makes all scheduling
//! decisions, with callers, agents, other entries, the platform and operators.

mod agents;
mod configuration;
mod event_loop;
mod http;
mod metrics;
mod peers;
mod platform_sync;
mod process;
mod submissions;

pub use process::EntryProcess;
