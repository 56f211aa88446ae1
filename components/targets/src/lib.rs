//! Protocol between agents and targets over HTTP/1.1; see `docs/TARGETS.md`.
//!
//! A target registers at the agent on its host with `POST /v1/announce`, repeats this request as
//! a heartbeat, and deregisters with `DELETE /v1/announce`. The agent sends tasks to the target
//! with `POST /v1/tasks`.

mod announcement;
mod header_text;
mod invocation;
mod invoker;

pub use announcement::{
    ANNOUNCE_PATH, AnnounceError, Announcement, Departure, parse_announcement, parse_departure,
};
pub use invocation::{
    Invocation, InvocationError, NOT_STARTED_HEADER, TASKS_PATH, TaskId, not_started_response,
    parse_task_id,
};
pub use invoker::{InvokeOutcome, Invoker};
