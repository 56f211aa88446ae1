//! Servers and messages for the tests of the protocol.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::net::SocketAddr;

use bytes::Bytes;
use model::{
    AgentEnvelope, AgentInfo, Answer, EntryInfo, FirmKey, Generation, GroupKey, JobKey, JobMeta,
    JobSpec, KindKey, Load, OwnerEnvelope, ProcessKey, ShardKey, TaskSpec,
};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use protocol::{
    AnnounceReply, CancelReply, Connector, EntryHandlers, EntryHandlersBuilder, EntryPing,
    EntryPong, HandoverReply, LinkCounters, OwnedShard, ServerSettings, StatusReply, SubmitReply,
    serve_agent, serve_entry,
};
use runtime::StopSignal;

pub const SERVER: ProcessKey = ProcessKey(11);
pub const CLIENT: ProcessKey = ProcessKey(22);
pub const SHARD: ShardKey = ShardKey {
    firm: FirmKey(5),
    index: 3,
};

pub struct Server {
    pub address: SocketAddr,
    pub counters: LinkCounters,
    pub connector: Connector,
    pub stop: StopSignal,
}

pub fn deadline_us() -> u64 {
    runtime::monotonic_us() + 60_000_000
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn server(address: SocketAddr, connection_limit: usize) -> (ServerSettings, Server) {
    let server = Server {
        address,
        counters: LinkCounters::default(),
        connector: Connector::new(SERVER),
        stop: StopSignal::new(),
    };
    let settings = ServerSettings::builder(SERVER)
        .connection_limit(connection_limit)
        .counters(server.counters.clone())
        .connector(&server.connector)
        .stop(server.stop.clone())
        .build();
    (settings, server)
}

pub fn start_agent(connection_limit: usize) -> Server {
    let (listener, address) = listen();
    let (settings, server) = server(address, connection_limit);
    monoio::spawn(serve_agent(listener, settings, |envelope| {
        agent_envelope(envelope.from)
    }));
    server
}

pub fn start_entry(handlers: EntryHandlersBuilder) -> Server {
    let (listener, address) = listen();
    let (settings, server) = server(address, 8);
    let handlers = handlers.build().unwrap();
    monoio::spawn(serve_entry(listener, settings, handlers));
    server
}

pub fn entry_handlers() -> EntryHandlersBuilder {
    EntryHandlers::builder()
        .announce(|agent, _| AnnounceReply {
            entry: entry_info(SERVER),
            entries: vec![entry_info(agent.key)],
            owners: Vec::new(),
            config_revision: 0,
            rules: None,
            teams: Vec::new(),
        })
        .exchange(|envelope| owner_envelope(envelope.from))
        .submit(|job, _| async move {
            let results = job.tasks.into_iter().map(|task| task.payload);
            SubmitReply::Answered(Answer::Complete(results.collect()))
        })
        .status(|_| async { StatusReply::NotFound })
        .cancel(|_| async { CancelReply::Cancelling })
        .ping(|ping| EntryPong {
            from: entry_info(SERVER),
            now_unix_ms: ping.now_unix_ms,
            config: None,
            owned: ping.owned,
            platform_reachable: true,
            draining: false,
        })
        .hand_over(|hand_over| async move {
            HandoverReply {
                accepted: hand_over.shard == SHARD,
            }
        })
}

pub fn entry_info(key: ProcessKey) -> EntryInfo {
    EntryInfo {
        key,
        address: "127.0.0.1:7000".to_owned(),
        failure_domain: "a".to_owned(),
        firms: Vec::new(),
    }
}

pub fn agent_info() -> AgentInfo {
    AgentInfo {
        key: CLIENT,
        address: "127.0.0.1:7001".to_owned(),
        failure_domain: "a".to_owned(),
        target: None,
        draining: false,
    }
}

pub fn agent_envelope(to: ProcessKey) -> AgentEnvelope {
    AgentEnvelope {
        from: SERVER,
        to,
        load: Load::default(),
        messages: Vec::new(),
    }
}

pub fn owner_envelope(to: ProcessKey) -> OwnerEnvelope {
    OwnerEnvelope {
        from: CLIENT,
        from_address: "127.0.0.1:7000".to_owned(),
        to,
        messages: Vec::new(),
    }
}

pub fn ping() -> EntryPing {
    EntryPing {
        from: entry_info(CLIENT),
        now_unix_ms: 9,
        config_revision: 4,
        owned: vec![OwnedShard {
            shard: SHARD,
            generation: Generation(2),
        }],
        draining: false,
    }
}

pub fn job(payload: Bytes) -> JobSpec {
    JobSpec {
        meta: JobMeta {
            key: JobKey::new(FirmKey(5), "job"),
            id: "job".to_owned(),
            group: GroupKey(1),
            body_digest: u128::MAX,
            submitted_unix_ms: 1,
            deadline_unix_ms: 2,
            repeatable: false,
            task_count: 1,
        },
        tasks: vec![TaskSpec {
            kind: KindKey(1),
            declared_us: 1_000,
            payload,
        }],
    }
}

/// Sends raw bytes and returns everything that the server sends until it closes the connection.
pub async fn send_raw(address: SocketAddr, bytes: Vec<u8>) -> Vec<u8> {
    let mut stream = TcpStream::connect_addr(address).await.unwrap();
    let (sent, _) = stream.write_all(bytes).await;
    let mut received = Vec::new();
    if sent.is_err() {
        return received;
    }
    loop {
        let (result, chunk) = stream.read(vec![0; 4_096]).await;
        match result {
            Ok(count) if count > 0 => received.extend_from_slice(&chunk[..count]),
            // A reset also means closed: the server may close without reading all the bytes.
            _ => return received,
        }
    }
}
