//! Messages that contain every field and every variant.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use model::{
    AgentEnvelope, AgentInfo, AgentMessage, Answer, Attempt, EntryInfo, Evacuations,
    EvacuationsReport, Fence, FirmKey, FirmShare, Generation, GroupKey, Heartbeat, HeartbeatAck,
    HostUpdate, HostUpdateRequest, HostView, JobId, JobKey, JobMeta, JobRecord, JobSpec, KindKey,
    KindRuns, Load, Neighbors, NotStartedReason, Opening, Orders, OwnerEnvelope, OwnerMessage,
    PairEffect, Permit, ProcessKey, QueueKey, QueueQuarantine, RefusalReason, Resources, Rules,
    RunDurations, RunEnd, RunEvent, RunId, RunPermit, ShardHeartbeat, ShardKey, Start, StartOrder,
    TargetInfo, TaskKey, TaskOutcome, TaskRecord, TaskRef, TaskSpec, TaskStart, TaskState,
};
use protocol::{
    AnnounceReply, BootstrapReply, BootstrapRequest, CancelReply, ConfigDocument,
    ConfigurationPart, ConfigurationPartRequest, EntryPing, EntryPong, HandoverOffer,
    HandoverReply, HostAnnouncement, HostAnnouncementReply, HostContact, JobProgress, OwnedShard,
    OwnerHint, ShardOwner, StatusReply, SubmitReply, TeamInfo,
};
use strum::IntoEnumIterator;

const SHARD: ShardKey = ShardKey {
    firm: FirmKey(5),
    index: 3,
};

const RESOURCES: Resources = Resources {
    cpu_millis: 6_900,
    memory_mib: 4_096,
    gpus: 1,
};

fn job_key() -> JobKey {
    JobKey::new(FirmKey(5), "job")
}

fn task_key() -> TaskKey {
    TaskKey {
        job: job_key(),
        index: 2,
    }
}

fn job_meta() -> JobMeta {
    JobMeta {
        key: job_key(),
        id: "job".to_owned(),
        group: GroupKey(7),
        body_digest: 1 << 100,
        submitted_unix_ms: 1_700_000_000_000,
        deadline_unix_ms: 1_700_000_001_500,
        repeatable: true,
        task_count: 8,
    }
}

fn permit() -> Permit {
    Permit {
        agent: ProcessKey(11),
        expires_us: 5_000_000,
    }
}

fn entry_info() -> EntryInfo {
    EntryInfo {
        key: ProcessKey(22),
        address: "127.0.0.1:7000".to_owned(),
        failure_domain: "a".to_owned(),
        firms: vec![FirmKey(5)],
    }
}

pub fn job() -> JobSpec {
    JobSpec {
        meta: job_meta(),
        tasks: vec![TaskSpec {
            kind: KindKey(9),
            declared_us: 60_000,
            payload: Bytes::from_static(b"payload"),
        }],
    }
}

pub fn owner_envelope() -> OwnerEnvelope {
    let start = Start {
        shard: SHARD,
        generation: Generation(4),
        permit: permit(),
        job: job_meta(),
        remaining_us: 1_200_000,
        tasks: vec![TaskStart {
            index: 2,
            attempt: Attempt(1),
            kind: KindKey(9),
            expected_us: 60_000,
            payload: Bytes::from_static(b"payload"),
        }],
    };
    let heartbeat = Heartbeat {
        sent_us: 77,
        shards: vec![ShardHeartbeat {
            shard: SHARD,
            generation: Generation(4),
            backlog: 12,
        }],
    };
    OwnerEnvelope {
        from: ProcessKey(22),
        from_address: "127.0.0.1:7000".to_owned(),
        to: ProcessKey(11),
        messages: vec![
            OwnerMessage::Fence(Fence {
                shard: SHARD,
                generation: Generation(4),
            }),
            OwnerMessage::Heartbeat(heartbeat),
            OwnerMessage::Start(start),
            OwnerMessage::Revoke {
                shard: SHARD,
                generation: Generation(4),
                tasks: vec![(task_key(), Attempt(1))],
                abort: true,
            },
            OwnerMessage::Received {
                shard: SHARD,
                tasks: vec![task_key()],
            },
            OwnerMessage::Settled {
                shard: SHARD,
                jobs: vec![job_key()],
            },
            OwnerMessage::Configure(rules()),
        ],
    }
}

fn rules() -> Rules {
    Rules {
        revision: 8,
        shares: vec![FirmShare {
            firm: FirmKey(5),
            weight: 2,
        }],
    }
}

pub fn agent_envelope() -> AgentEnvelope {
    let states = [
        TaskState::NotStarted,
        TaskState::Running,
        TaskState::Finished(TaskOutcome::Done(Bytes::from_static(b"result"))),
        TaskState::Finished(TaskOutcome::Failed("cause".to_owned())),
        TaskState::Finished(TaskOutcome::Unknown("cause".to_owned())),
        TaskState::ResultDropped,
    ];
    let tasks = states.into_iter().map(|state| TaskRecord {
        index: 2,
        attempt: Attempt(1),
        state,
    });
    let mut messages = vec![
        AgentMessage::Fenced {
            shard: SHARD,
            generation: Generation(4),
            part: 0,
            part_count: 1,
            jobs: vec![JobRecord {
                meta: job_meta(),
                tasks: tasks.collect(),
            }],
        },
        AgentMessage::HeartbeatAck(HeartbeatAck {
            sent_us: 77,
            shards: vec![(SHARD, Generation(4))],
            permit: permit(),
        }),
        AgentMessage::Accepted {
            shard: SHARD,
            tasks: vec![(task_key(), Attempt(1))],
        },
        AgentMessage::RevokeFailed {
            shard: SHARD,
            task: task_key(),
            attempt: Attempt(1),
        },
        AgentMessage::Finished {
            shard: SHARD,
            task: task_key(),
            attempt: Attempt(1),
            outcome: TaskOutcome::Done(Bytes::from_static(b"result")),
            ran_us: 61_000,
        },
    ];
    messages.extend(RefusalReason::iter().map(|reason| AgentMessage::Refused {
        shard: SHARD,
        task: task_key(),
        attempt: Attempt(1),
        reason,
    }));
    AgentEnvelope {
        from: ProcessKey(11),
        to: ProcessKey(22),
        load: Load {
            window: 16,
            running: 8,
            queued: 3,
            ready: true,
            config_revision: 8,
        },
        messages,
    }
}

fn run_id() -> RunId {
    RunId {
        task: TaskRef {
            job: JobId::parse("5c0e7a21d94b36f8").expect("an id"),
            step: 0,
            index: 2,
        },
        attempt: 1,
    }
}

fn run_permit() -> RunPermit {
    RunPermit {
        agent: ProcessKey(0x1234_5678_9abc_def0),
        issued_ms: 486_000,
    }
}

pub fn orders() -> Orders {
    Orders {
        from: ProcessKey(22),
        number: 300,
        permit: Some(run_permit()),
        last_seen_event: 57,
        starts: vec![StartOrder {
            job: run_id().task.job,
            step: 0,
            tasks: vec![(0, 1), (1, 1)],
            specification: Rc::from("specification"),
            needs: RESOURCES,
            estimate_ms: 60,
            log_deviation_permille: 200,
            slack_ms: 90,
            queue_timeout_ms: 1_000,
            priority: 0,
            has_started_tasks: false,
            kind: KindKey(9),
            is_data_remote: true,
            target_number: None,
        }],
        stops: vec![run_id()],
    }
}

fn quarantines() -> Vec<QueueQuarantine> {
    vec![QueueQuarantine {
        queue: QueueKey(3),
        remaining_ms: 9_000,
    }]
}

pub fn evacuations() -> Evacuations {
    Evacuations::new(9, ["a", "b"].map(Rc::from))
}

pub fn update_request() -> HostUpdateRequest {
    HostUpdateRequest {
        from: ProcessKey(22),
        permit: Some(run_permit()),
        last_seen_event: 57,
        wait_ms: 250,
        evacuations: Some(evacuations().digest()),
        quarantines: quarantines(),
    }
}

pub fn host_update() -> HostUpdate {
    let durations = RunDurations {
        waited_ms: 3,
        ran_ms: 61,
        was_host_busy: true,
    };
    let ends = RunEnd::iter().map(|end| RunEvent::Ended(end, durations));
    let reasons = NotStartedReason::iter().map(RunEvent::NotStarted);
    let events = [RunEvent::Started, RunEvent::Stalled].into_iter();
    let events = events.chain(ends).chain(reasons);
    let opening = Opening {
        in_ms: 40,
        free: RESOURCES,
    };
    HostUpdate {
        permit: run_permit(),
        has_no_earlier_runs: true,
        view: HostView {
            is_open: true,
            closes_in_ms: Some(2_000),
            group: Rc::from("pool"),
            labels: vec![Rc::from("a"), Rc::from("r1-3")],
            capacity: RESOURCES,
            free: RESOURCES,
            backlog_core_ms: 1_000,
            waiting_core_ms: 400,
            urgent_core_ms: 100,
            speed_permille: 550,
            speed_log_deviation_permille: 90,
            openings: vec![opening],
            urgent_openings: vec![opening],
            neighbors: Neighbors {
                runs: vec![KindRuns {
                    kind: KindKey(9),
                    count: 2,
                    recent_percent: 150,
                }],
                effects: vec![PairEffect {
                    of: KindKey(9),
                    by: KindKey(8),
                    log_factor_permille: -30,
                    deviation_permille: 40,
                }],
            },
            target_number: None,
        },
        events: events
            .zip(58..)
            .map(|(event, number)| (number, run_id(), event))
            .collect(),
        evacuations: Some(EvacuationsReport {
            digest: evacuations().digest(),
            newer: Some(evacuations()),
        }),
        quarantines: quarantines(),
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_720))
}

fn addresses() -> Vec<SocketAddr> {
    vec![address(), SocketAddr::from(([0_u16; 8], 7_720))]
}

fn host_contact() -> HostContact {
    HostContact {
        name: "host".to_owned(),
        address: address(),
        failure_domain: "a".to_owned(),
    }
}

pub fn bootstrap_request() -> BootstrapRequest {
    BootstrapRequest {
        address: Some(address()),
        revision: 7,
        downloading_revision: 8,
        host_count: 73,
        evacuations: Some(evacuations().digest()),
        wants_hosts: true,
        seen_hosts_digest: u64::MAX,
    }
}

pub fn configuration_part() -> ConfigurationPart {
    ConfigurationPart {
        revision: 9,
        total_bytes: 40_000,
        offset_bytes: 32_768,
        content: Bytes::from_static(b"{}"),
    }
}

pub fn bootstrap_reply() -> BootstrapReply {
    BootstrapReply {
        revision: 9,
        configuration: Some(configuration_part()),
        evacuations: Some(EvacuationsReport {
            digest: evacuations().digest(),
            newer: None,
        }),
        host_count: 73,
        is_listed: true,
        hosts_digest: 1 << 60,
        hosts: vec![host_contact()],
        entries: addresses(),
    }
}

pub fn part_request() -> ConfigurationPartRequest {
    ConfigurationPartRequest {
        revision: 9,
        offset_bytes: 32_768,
    }
}

pub fn announcement() -> HostAnnouncement {
    HostAnnouncement {
        host: host_contact(),
        entries: addresses(),
    }
}

pub fn announcement_reply() -> HostAnnouncementReply {
    HostAnnouncementReply {
        entries: addresses(),
    }
}

pub fn agent_info() -> AgentInfo {
    AgentInfo {
        key: ProcessKey(11),
        address: "127.0.0.1:7001".to_owned(),
        failure_domain: "a".to_owned(),
        target: Some(TargetInfo {
            group: GroupKey(7),
            firms: vec![FirmKey(5)],
            slots: 8,
            connections: 64,
        }),
        draining: true,
    }
}

pub fn announce_reply() -> AnnounceReply {
    AnnounceReply {
        entry: entry_info(),
        entries: vec![entry_info()],
        owners: vec![ShardOwner {
            shard: SHARD,
            owner: ProcessKey(22),
            address: "127.0.0.1:7000".to_owned(),
        }],
        config_revision: 8,
        rules: Some(rules()),
        teams: vec![TeamInfo {
            firm: FirmKey(5),
            team: FirmKey(6),
            name: "firm/team".to_owned(),
        }],
    }
}

fn answers() -> Vec<Answer> {
    use model::{FailureKind, FailureReason};
    let mut answers = vec![Answer::Complete(vec![Bytes::from_static(b"result")])];
    answers.extend(
        FailureKind::iter().map(|kind| Answer::refused(kind, FailureReason::Overloaded, "", 200)),
    );
    answers.extend(
        FailureReason::iter().map(|reason| Answer::failed(FailureKind::NotRun, reason, "why")),
    );
    answers
}

fn owner_hint() -> Option<OwnerHint> {
    Some(OwnerHint {
        owner: ProcessKey(22),
        address: "127.0.0.1:7000".to_owned(),
    })
}

pub fn submit_replies() -> Vec<SubmitReply> {
    let mut replies: Vec<SubmitReply> = answers().into_iter().map(SubmitReply::Answered).collect();
    replies.push(SubmitReply::NotOwner {
        owner: owner_hint(),
    });
    replies
}

pub fn status_replies() -> Vec<StatusReply> {
    vec![
        StatusReply::NotFound,
        StatusReply::Pending(JobProgress {
            task_count: 8,
            placed_count: 5,
            finished_count: 2,
        }),
        StatusReply::Answered(Answer::Complete(Vec::new())),
        StatusReply::NotOwner { owner: None },
    ]
}

pub fn cancel_replies() -> Vec<CancelReply> {
    vec![
        CancelReply::NotFound,
        CancelReply::Cancelling,
        CancelReply::Answered(Answer::Complete(Vec::new())),
        CancelReply::NotOwner {
            owner: owner_hint(),
        },
    ]
}

fn owned() -> Vec<OwnedShard> {
    vec![OwnedShard {
        shard: SHARD,
        generation: Generation(4),
    }]
}

pub fn ping() -> EntryPing {
    EntryPing {
        from: entry_info(),
        now_unix_ms: 1_700_000_000_000,
        config_revision: 8,
        owned: owned(),
        draining: true,
    }
}

pub fn pong() -> EntryPong {
    EntryPong {
        from: entry_info(),
        now_unix_ms: 1_700_000_000_000,
        config: Some(ConfigDocument {
            revision: 8,
            bytes: Bytes::from_static(b"{}"),
        }),
        owned: owned(),
        platform_reachable: true,
        draining: false,
    }
}

pub fn handover_offer() -> HandoverOffer {
    HandoverOffer {
        shard: SHARD,
        generation: Generation(0),
        table: Bytes::from_static(b"{}"),
    }
}

pub fn handover_reply() -> HandoverReply {
    HandoverReply { accepted: true }
}
