//! Measures the time of an exchange with an agent over loopback TCP, with one task of 1 KiB per
//! call, for 1 and for 64 concurrent callers.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use futures::future::join_all;
use model::{
    AgentEnvelope, Attempt, FirmKey, Generation, GroupKey, JobKey, JobMeta, KindKey, Load,
    OwnerEnvelope, OwnerMessage, Permit, ProcessKey, Start, TaskStart,
};
use monoio::net::TcpListener;
use protocol::{AgentLink, Connector, LinkError, ServerSettings, serve_agent};

const AGENT: ProcessKey = ProcessKey(1);
const ENTRY: ProcessKey = ProcessKey(2);
const PAYLOAD_BYTES: usize = 1_024;
const CALL_COUNT: u32 = 50_000;
const CALL_TIMEOUT_US: u64 = 10_000_000;

fn main() {
    runtime::run(async {
        for in_flight in [1, 64] {
            if let Err(error) = measure(in_flight).await {
                eprintln!("{in_flight} in flight: {error}");
            }
        }
    })
    .expect("the runtime starts");
}

async fn measure(in_flight: u32) -> Result<(), LinkError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let settings = ServerSettings::builder(AGENT).build();
    monoio::spawn(serve_agent(listener, settings, |envelope| {
        answer(&envelope)
    }));
    let link = AgentLink::connect(
        &Connector::new(ENTRY),
        &address.to_string(),
        Some(AGENT),
        deadline_us(),
    )
    .await?;
    call_sequentially(&link, &Rc::new(Cell::new(CALL_COUNT / 10))).await?;

    let remaining = Rc::new(Cell::new(CALL_COUNT));
    let started_us = runtime::monotonic_us();
    let callers = (0..in_flight).map(|_| call_sequentially(&link, &remaining));
    for result in join_all(callers).await {
        result?;
    }
    let elapsed_us = runtime::monotonic_us() - started_us;
    let per_call_us = elapsed_us as f64 / f64::from(CALL_COUNT);
    println!("{in_flight} in flight: {per_call_us:.2} us per exchange");
    Ok(())
}

async fn call_sequentially(link: &AgentLink, remaining: &Rc<Cell<u32>>) -> Result<(), LinkError> {
    while let Some(left) = remaining.get().checked_sub(1) {
        remaining.set(left);
        link.exchange(envelope(), deadline_us()).await?;
    }
    Ok(())
}

fn deadline_us() -> u64 {
    runtime::monotonic_us() + CALL_TIMEOUT_US
}

fn answer(envelope: &OwnerEnvelope) -> AgentEnvelope {
    AgentEnvelope {
        from: AGENT,
        to: envelope.from,
        load: Load::default(),
        messages: Vec::new(),
    }
}

fn envelope() -> OwnerEnvelope {
    OwnerEnvelope {
        from: ENTRY,
        from_address: "127.0.0.1:7000".to_owned(),
        to: AGENT,
        messages: vec![OwnerMessage::Start(start())],
    }
}

fn start() -> Start {
    let firm = FirmKey::from_name("north");
    let key = JobKey::new(firm, "job");
    Start {
        shard: key.shard(8),
        generation: Generation(1),
        permit: Permit {
            agent: AGENT,
            expires_us: 1,
        },
        job: JobMeta {
            key,
            id: "job".to_owned(),
            group: GroupKey::from_name("planner"),
            body_digest: 1,
            submitted_unix_ms: 1,
            deadline_unix_ms: 2,
            repeatable: false,
            task_count: 1,
        },
        remaining_us: 1_000_000,
        tasks: vec![TaskStart {
            index: 0,
            attempt: Attempt(1),
            kind: KindKey::from_name("check"),
            expected_us: 100_000,
            payload: Bytes::from(vec![7; PAYLOAD_BYTES]),
        }],
    }
}
