//! Tests of refused connections and malformed bytes.

mod common;

use common::{CLIENT, SERVER, deadline_us, send_raw, start_agent};
use model::ProcessKey;
use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::TcpListener;
use proptest::prelude::*;
use protocol::{
    AgentLink, EntryLink, Hello, LinkError, LinkEvent, LinkFault, MAGIC, MAX_FRAME_BYTES, Refusal,
    Service, VERSION,
};

const REPLY_BYTES: usize = 32;

fn hello() -> Hello {
    Hello {
        version: VERSION,
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
    let link = AgentLink::connect(&address, CLIENT, Some(SERVER), deadline_us())
        .await
        .unwrap();
    let envelope = common::owner_envelope(SERVER);
    assert!(link.exchange(envelope, deadline_us()).await.is_ok());
}

#[test]
fn hello_of_another_version_is_refused_and_counted() {
    runtime::run(async {
        let server = start_agent(4);
        let newer = Hello {
            version: VERSION + 1,
            ..hello()
        };
        let received = send_raw(server.address, newer.encode().to_vec()).await;
        assert_eq!(received, reply(VERSION, 1));
        assert_eq!(server.counters.get(LinkEvent::RefusedVersion), 1);
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
        let error = AgentLink::connect(&address, CLIENT, None, deadline_us()).await;
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
        let error = AgentLink::connect(&address, CLIENT, other, deadline_us())
            .await
            .err();
        let refusal = Refusal::Key { actual: SERVER };
        assert_eq!(error, Some(LinkError::NotSent(LinkFault::Refused(refusal))));
        let error = EntryLink::connect(&address, CLIENT, None, deadline_us())
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
        let first = AgentLink::connect(&address, CLIENT, None, deadline_us())
            .await
            .unwrap();
        let error = AgentLink::connect(&address, CLIENT, None, deadline_us())
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
        let mut body = vec![0, 253];
        body.extend([255; 8]);
        body.extend([0; 64]);
        let mut bytes = hello().encode().to_vec();
        bytes.extend(frame(&body));
        send_raw(server.address, bytes).await;
        assert_eq!(server.counters.get(LinkEvent::Broken), 1);
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
        let error = AgentLink::connect(&address, CLIENT, None, deadline_us())
            .await
            .err();
        assert_eq!(error, Some(LinkError::NotSent(LinkFault::NotProtocol)));
        drop(peer.await);
        let error = AgentLink::connect("nowhere", CLIENT, None, deadline_us())
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
            // Response to request 0: no error, variant 6 (`HandOver`), accepted.
            stream.write_all(frame(&[0, 0, 6, 1])).await.0.unwrap();
            stream
        });
        let link = EntryLink::connect(&address, CLIENT, None, deadline_us())
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
    fn hello_round_trips(version: u32, service: u32, from: u64, expected: u64) {
        let hello = Hello {
            version,
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
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..8),
    ) {
        runtime::run(async {
            let server = start_agent(4);
            let mut bytes = hello().encode().to_vec();
            bodies.iter().for_each(|body| bytes.extend(frame(body)));
            // This length is above the limit, so the connection ends whatever the frames contain.
            bytes.extend([255; 4]);
            send_raw(server.address, bytes).await;
            assert_eq!(server.counters.get(LinkEvent::Broken), 1);
            assert_serves(&server).await;
        }).unwrap();
    }
}
