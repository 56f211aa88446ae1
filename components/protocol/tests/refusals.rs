//! Tests of refused connections and malformed bytes.

mod common;

use common::{CLIENT, SERVER, deadline_us, send_raw, start_agent};
use model::ProcessKey;
use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::TcpListener;
use proptest::prelude::*;
use protocol::{
    AgentLink, Connector, EntryLink, Hello, LinkError, LinkEvent, LinkFault, MAGIC,
    MAX_FRAME_BYTES, OLDEST_VERSION, Refusal, Service, VERSION, VersionRange,
};

const REPLY_BYTES: usize = 32;

fn hello() -> Hello {
    hello_of(VersionRange::OWN)
}

fn hello_of(versions: VersionRange) -> Hello {
    Hello {
        versions,
        service: Service::Agent.number(),
        from: CLIENT,
        expected: None,
    }
}

fn reply(version: u32, code: u32) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(version.to_be_bytes());
    bytes.extend(code.to_be_bytes());
    bytes.extend(SERVER.0.to_be_bytes());
    bytes.resize(REPLY_BYTES, 0);
    bytes
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

async fn assert_serves(server: &common::Server) {
    let address = server.address.to_string();
    let link = AgentLink::connect(
        &Connector::new(CLIENT),
        &address,
        Some(SERVER),
        deadline_us(),
    )
    .await
    .unwrap();
    let envelope = common::owner_envelope(SERVER);
    assert!(link.exchange(envelope, deadline_us()).await.is_ok());
}

#[test]
fn hello_of_another_version_is_refused_and_counted() {
    runtime::run(async {
        let server = start_agent(4);
        for version in [VERSION + 1, OLDEST_VERSION - 1] {
            let other = hello_of(VersionRange::single(version));
            let received = send_raw(server.address, other.encode().to_vec()).await;
            assert_eq!(received, reply(VERSION, 1));
        }
        assert_eq!(server.counters.get(LinkEvent::RefusedVersion), 2);
        assert_serves(&server).await;
    })
    .unwrap();
}

#[test]
fn error_of_a_version_refusal_contains_both_versions() {
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let peer = monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (result, _) = stream.read_exact(vec![0; 32]).await;
            result.unwrap();
            stream.write_all(reply(9, 1)).await.0.unwrap();
        });
        let error =
            AgentLink::connect(&Connector::new(CLIENT), &address, None, deadline_us()).await;
        let refusal = Refusal::Version {
            peer_version: 9,
            own_version: VERSION,
        };
        let error = error.err().unwrap();
        assert_eq!(error, LinkError::NotSent(LinkFault::Refused(refusal)));
        let versions = format!("version 9, this process version {VERSION}");
        assert!(error.to_string().contains(&versions), "{error}");
        peer.await;
    })
    .unwrap();
}

#[test]
fn connection_to_another_incarnation_or_service_is_refused() {
    runtime::run(async {
        let server = start_agent(4);
        let address = server.address.to_string();
        let other = Some(ProcessKey(99));
        let error = AgentLink::connect(&Connector::new(CLIENT), &address, other, deadline_us())
            .await
            .err();
        let refusal = Refusal::Key { actual: SERVER };
        assert_eq!(error, Some(LinkError::NotSent(LinkFault::Refused(refusal))));
        let error = EntryLink::connect(&Connector::new(CLIENT), &address, None, deadline_us())
            .await
            .err();
        let refusal = Refusal::Service;
        assert_eq!(error, Some(LinkError::NotSent(LinkFault::Refused(refusal))));
        assert_serves(&server).await;
        assert_eq!(server.counters.get(LinkEvent::RefusedKey), 1);
        assert_eq!(server.counters.get(LinkEvent::RefusedService), 1);
    })
    .unwrap();
}

#[test]
fn connection_above_the_limit_is_refused_and_counted() {
    runtime::run(async {
        let server = start_agent(1);
        let address = server.address.to_string();
        let first = AgentLink::connect(&Connector::new(CLIENT), &address, None, deadline_us())
            .await
            .unwrap();
        let error = AgentLink::connect(&Connector::new(CLIENT), &address, None, deadline_us())
            .await
            .err();
        let refusal = LinkFault::Refused(Refusal::Limit);
        assert_eq!(error, Some(LinkError::NotSent(refusal)));
        let envelope = common::owner_envelope(SERVER);
        assert!(first.exchange(envelope, deadline_us()).await.is_ok());
        assert_eq!(server.counters.get(LinkEvent::RefusedLimit), 1);
    })
    .unwrap();
}

#[test]
fn connection_without_magic_is_closed_and_counted() {
    runtime::run(async {
        let server = start_agent(4);
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec();
        assert!(send_raw(server.address, request).await.is_empty());
        assert_eq!(server.counters.get(LinkEvent::Garbage), 1);
        assert_serves(&server).await;
    })
    .unwrap();
}

#[test]
fn connection_with_an_oversized_frame_is_closed_and_counted() {
    runtime::run(async {
        let server = start_agent(4);
        let mut bytes = hello().encode().to_vec();
        bytes.extend((MAX_FRAME_BYTES as u32 + 1).to_be_bytes());
        send_raw(server.address, bytes).await;
        assert_eq!(server.counters.get(LinkEvent::Broken), 1);
        assert_serves(&server).await;
    })
    .unwrap();
}

#[test]
fn connection_with_a_deadline_out_of_range_is_closed_and_counted() {
    runtime::run(async {
        let server = start_agent(4);
        // A request whose time left is u64::MAX seconds.
        let mut positional = vec![0, 253];
        positional.extend([255; 8]);
        positional.extend([0; 64]);
        // The same in microseconds, with the fields of the call.
        let mut named = b"\x81\xa4call\x83\xa2id\x00\xa7left_us\xcf".to_vec();
        named.extend([255; 8]);
        named.extend(b"\xa4call\x81\xa8Exchange\x81\xa8envelope\x84\xa1f\x00");
        named.extend(b"\xa1t\x00\xa1a\xa0\xa1m\x90");
        for (version, body) in [(5, positional), (6, named)] {
            let hello = hello_of(VersionRange::single(version));
            let mut bytes = hello.encode().to_vec();
            bytes.extend(frame(&body));
            send_raw(server.address, bytes).await;
        }
        assert_eq!(server.counters.get(LinkEvent::Broken), 2);
        assert_serves(&server).await;
    })
    .unwrap();
}

#[test]
fn peer_of_another_protocol_is_reported() {
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let peer = monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(vec![b'x'; REPLY_BYTES]).await.0.unwrap();
            stream
        });
        let error = AgentLink::connect(&Connector::new(CLIENT), &address, None, deadline_us())
            .await
            .err();
        assert_eq!(error, Some(LinkError::NotSent(LinkFault::NotProtocol)));
        drop(peer.await);
        let error = AgentLink::connect(&Connector::new(CLIENT), "nowhere", None, deadline_us())
            .await
            .err();
        assert_eq!(error, Some(LinkError::NotSent(LinkFault::BadAddress)));
    })
    .unwrap();
}

#[test]
fn response_of_another_kind_of_call_is_reported() {
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let peer = monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(reply(VERSION, 0)).await.0.unwrap();
            stream.read_exact(vec![0; 36]).await.0.unwrap();
            let answer = b"\x82\xa2id\x00\xa6answer\x81\xa8HandOver\x81\xa8accepted\xc3";
            stream.write_all(frame(answer)).await.0.unwrap();
            stream
        });
        let link = EntryLink::connect(&Connector::new(CLIENT), &address, None, deadline_us())
            .await
            .unwrap();
        let error = link.ping(common::ping(), deadline_us()).await;
        assert_eq!(error, Err(LinkError::Unknown(LinkFault::CrossedAnswer)));
        drop(peer.await);
    })
    .unwrap();
}

proptest! {
    #[test]
    fn hello_round_trips(oldest in 1_u16.., newer: u16, service: u16, from: u64, expected: u64) {
        let oldest = u32::from(oldest);
        let hello = Hello {
            versions: VersionRange { oldest, newest: oldest + u32::from(newer) },
            service,
            from: ProcessKey(from),
            expected: (expected != 0).then_some(ProcessKey(expected)),
        };
        prop_assert_eq!(Hello::decode(&hello.encode()), Some(hello));
    }

    #[test]
    fn bytes_without_magic_are_not_a_hello(bytes: Vec<u8>) {
        prop_assume!(!bytes.starts_with(&MAGIC));
        prop_assert_eq!(Hello::decode(&bytes), None);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn malformed_frames_do_not_stop_the_server(
        version in OLDEST_VERSION..=VERSION,
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..8),
    ) {
        runtime::run(async {
            let server = start_agent(4);
            let hello = hello_of(VersionRange::single(version));
            let mut bytes = hello.encode().to_vec();
            bodies.iter().for_each(|body| bytes.extend(frame(body)));
            // This length is above the limit, so the connection ends whatever the frames contain.
            bytes.extend([255; 4]);
            send_raw(server.address, bytes).await;
            assert_eq!(server.counters.get(LinkEvent::Broken), 1);
            assert_serves(&server).await;
        }).unwrap();
    }
}
