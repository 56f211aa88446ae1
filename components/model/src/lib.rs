//! Domain types shared by every package: keys, jobs, answers, and the messages
//! between owners and agents.

mod answer;
mod evacuations;
mod interference;
mod job;
mod keys;
mod limits;
mod message;
mod mix;
mod named_only;
mod quarantine;
mod resources_row;
mod roster;
mod run;

pub use answer::{Answer, Failure, FailureKind, FailureReason};
pub use evacuations::{
    EvacuationChange, Evacuations, EvacuationsDigest, EvacuationsReport, KnownEvacuations,
    MAX_EVACUATED_FAILURE_DOMAINS, MAX_FAILURE_DOMAIN_BYTES, is_failure_domain_name,
    names_in_one_text,
};
pub use interference::{KindRuns, Neighbors, PairEffect, count_runs};
pub use job::{JobMeta, JobSpec, TaskSpec};
pub use keys::{
    Attempt, FirmKey, Generation, GroupKey, JobDigest, JobKey, KindKey, ProcessKey, QueueKey,
    ShardKey, TaskKey,
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
pub use quarantine::{QUARANTINE_MS, Quarantines, QueueQuarantine};
pub use roster::{AgentInfo, EntryInfo, Member, MemberState, ShardRecord, TargetInfo};
pub use run::{
    CALLER_RETRY_MS, HOSTS_PREFIX, HostRegistration, HostUpdate, HostUpdateRequest, HostView,
    JOB_ID_DIGITS, JobId, MOST_URGENT, NotStartedReason, Opening, Orders, RegisteredTarget,
    Resources, RunDurations, RunEnd, RunEvent, RunId, RunPermit, StartOrder, TaskRef,
    required_free_resources,
};
