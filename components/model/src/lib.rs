//! Domain types shared by every package: keys, jobs, answers, and the messages
//! between owners and agents.

mod answer;
mod interference;
mod job;
mod keys;
mod limits;
mod message;
mod mix;
mod roster;
mod run;

pub use answer::{Answer, Failure, FailureKind, FailureReason};
pub use interference::{KindRuns, Neighbors, PairEffect, count_runs};
pub use job::{JobMeta, JobSpec, TaskSpec};
pub use keys::{
    Attempt, FirmKey, Generation, GroupKey, JobDigest, JobKey, KindKey, ProcessKey, ShardKey,
    TaskKey,
};
pub use limits::{
    AUTHORITY_TTL_MS, CLOCK_SKEW_MS, HEARTBEAT_INTERVAL_MS, IDLE_HEARTBEAT_INTERVAL_MS,
    PERMIT_TTL_MS, RETENTION_MS, TAKEOVER_HORIZON_MS,
};
pub use message::{
    AgentEnvelope, AgentMessage, Fence, FirmShare, Heartbeat, HeartbeatAck, JobRecord, Load,
    OwnerEnvelope, OwnerMessage, Permit, RefusalReason, Rules, ShardHeartbeat, Start, TaskOutcome,
    TaskRecord, TaskStart, TaskState,
};
pub use mix::mix64;
pub use roster::{AgentInfo, EntryInfo, Member, MemberState, ShardRecord, TargetInfo};
pub use run::{
    HOSTS_PREFIX, HostRegistration, HostUpdate, HostUpdateRequest, HostView, JOB_ID_DIGITS, JobId,
    MOST_URGENT, NotStartedReason, Opening, Orders, RegisteredTarget, Resources, RunDurations,
    RunEnd, RunEvent, RunId, RunPermit, StartOrder, TaskRef, required_free_resources,
};
