//! Tests the server with malformed, oversized, slow and excessive input, and its graceful stop.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use web::{
    Request, Response, ServerCounters, ServerLimits, ServerLimitsBuilder, Stop, bind, line_channel,
    serve,
};

fn run(test: impl Future<Output = ()>) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test);
}

struct TestServer {
    address: SocketAddr,
    counters: Rc<ServerCounters>,
    stop: Stop,
    ended: Stop,
}

fn start<F>(limits: ServerLimits, handler: impl Fn(Request) -> F + 'static) -> TestServer
where
    F: Future<Output = Response> + 'static,
{
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let server = TestServer {
        address: listener.local_addr().expect("an address"),
        counters: Rc::default(),
        stop: Stop::new(),
        ended: Stop::new(),
    };
    let (counters, stop) = (server.counters.clone(), server.stop.clone());
    let ended = server.ended.clone();
    monoio::spawn(async move {
        serve(listener, limits, counters, stop, move |request, _| {
            handler(request)
        })
        .await;
        ended.stop();
    });
    server
}

fn start_echo(limits: ServerLimitsBuilder) -> TestServer {
    start(limits.build(), |request| async move {
        Response::text(200, format!("{} {}", request.path, request.body.len()))
    })
}

async fn open(server: &TestServer) -> TcpStream {
    TcpStream::connect_addr(server.address)
        .await
        .expect("a connection")
}

async fn write(stream: &mut TcpStream, bytes: impl Into<Vec<u8>>) {
    stream.write_all(bytes.into()).await.0.expect("a write");
}

/// Reads until the server closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    loop {
        let (result, buffer) = stream.read(Vec::with_capacity(4096)).await;
        match result.expect("a read") {
            0 => return String::from_utf8(all).expect("text"),
            count => all.extend_from_slice(&buffer[..count]),
        }
    }
}

async fn answer_to(server: &TestServer, bytes: impl Into<Vec<u8>>) -> String {
    let mut stream = open(server).await;
    write(&mut stream, bytes).await;
    read_to_end(&mut stream).await
}

const CLOSING_REQUEST: &str = "GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

#[test]
fn several_requests_are_answered_on_one_connection() {
    run(async {
        let server = start_echo(ServerLimits::builder());
        let requests = format!("POST /b HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi{CLOSING_REQUEST}");
        let answer = answer_to(&server, requests).await;
        assert!(
            answer.contains("/b 2") && answer.contains("/a 0"),
            "{answer}"
        );
        assert_eq!(server.counters.connections_accepted.get(), 1);
        assert_eq!(server.counters.requests.get(), 2);
    });
}

#[test]
fn malformed_requests_get_400_and_server_keeps_running() {
    run(async {
        let server = start_echo(ServerLimits::builder());
        let inputs: [&[u8]; 6] = [
            b"\x16\x03\x01\x02\x00\x01",
            b"GET\r\n\r\n",
            b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
            b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx",
            b"POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\nx",
            b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        ];
        for input in inputs {
            let answer = answer_to(&server, input).await;
            assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
            assert!(answer.contains("{\"error\":"), "{answer}");
        }
        assert_eq!(server.counters.malformed.get(), 6);
        assert!(answer_to(&server, CLOSING_REQUEST).await.contains("/a 0"));
    });
}

#[test]
fn oversized_heads_and_bodies_get_413() {
    run(async {
        let limits = ServerLimits::builder()
            .max_body_bytes(100)
            .max_header_bytes(1_000);
        let server = start_echo(limits);
        let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(2_000));
        let endless_head = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(2_000));
        let body = "POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n".to_owned();
        let huge = format!(
            "POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n",
            "9".repeat(40)
        );
        let chunks = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n".to_owned()
            + &"20\r\n01234567890123456789012345678901\r\n".repeat(4);
        let chunk = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffffff\r\n".to_owned()
            + &"x".repeat(300);
        for input in [head, endless_head, body, huge, chunks, chunk] {
            let answer = answer_to(&server, input.clone()).await;
            assert!(answer.starts_with("HTTP/1.1 413 "), "{input}: {answer}");
        }
        assert_eq!(server.counters.oversized.get(), 6);
    });
}

#[test]
fn slow_request_gets_408_and_idle_connection_is_closed() {
    run(async {
        let limits = ServerLimits::builder()
            .read_timeout_ms(30)
            .idle_timeout_ms(30);
        let server = start_echo(limits);
        let answer = answer_to(&server, "GET / HT").await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert_eq!(answer_to(&server, "").await, "");
        assert_eq!(server.counters.timed_out.get(), 1);
        assert_eq!(server.counters.idle_closed.get(), 1);
    });
}

#[test]
fn connections_over_the_limit_get_503() {
    run(async {
        let server = start_echo(ServerLimits::builder().max_connections(1));
        let mut first = open(&server).await;
        write(&mut first, "GET /a HTTP/1.1\r\n\r\n").await;
        let (result, _) = first.read_exact(vec![0; 12]).await;
        result.expect("an answer on the first connection");
        let answer = answer_to(&server, "").await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert_eq!(server.counters.connections_refused.get(), 1);
    });
}

#[test]
fn expect_continue_gets_interim_response() {
    run(async {
        let server = start_echo(ServerLimits::builder());
        let mut stream = open(&server).await;
        let head = "POST /c HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\
                    connection: close\r\n\r\n";
        write(&mut stream, head).await;
        let (result, interim) = stream.read_exact(vec![0; 25]).await;
        result.expect("an interim response");
        assert_eq!(interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        write(&mut stream, "hi").await;
        assert!(read_to_end(&mut stream).await.contains("/c 2"));
    });
}

#[test]
fn stop_finishes_requests_in_progress_and_refuses_new_connections() {
    run(async {
        let entered = Stop::new();
        let release = Stop::new();
        let (handler_entered, handler_release) = (entered.clone(), release.clone());
        let server = start(ServerLimits::default(), move |_| {
            let (handler_entered, handler_release) =
                (handler_entered.clone(), handler_release.clone());
            async move {
                handler_entered.stop();
                handler_release.stopped().await;
                Response::text(200, "finished")
            }
        });
        let mut idle = open(&server).await;
        let mut busy = open(&server).await;
        write(&mut busy, "GET / HTTP/1.1\r\n\r\n").await;
        entered.stopped().await;
        server.stop.stop();
        assert_eq!(read_to_end(&mut idle).await, "");
        assert!(!server.ended.is_stopped());
        assert!(TcpStream::connect_addr(server.address).await.is_err());
        release.stop();
        assert!(read_to_end(&mut busy).await.contains("finished"));
        drop(busy);
        server.ended.stopped().await;
    });
}

#[test]
fn client_that_does_not_read_is_disconnected() {
    run(async {
        let entered = Stop::new();
        let handler_entered = entered.clone();
        let limits = ServerLimits::builder().write_timeout_ms(30);
        let server = start(limits.build(), move |_| {
            handler_entered.stop();
            async move { Response::text(200, "x".repeat(64 * 1024 * 1024)) }
        });
        let mut stream = open(&server).await;
        write(&mut stream, "GET / HTTP/1.1\r\n\r\n").await;
        entered.stopped().await;
        server.stop.stop();
        server.ended.stopped().await;
        assert_eq!(server.counters.slow_readers.get(), 1);
    });
}

#[test]
fn bound_port_cannot_be_bound_again() {
    run(async {
        let server = start_echo(ServerLimits::builder());
        assert!(bind(server.address).is_err());
    });
}

#[test]
fn stream_ends_when_client_disconnects() {
    run(async {
        let gone = Stop::new();
        let client_gone = gone.clone();
        let server = start(ServerLimits::default(), move |_| {
            let client_gone = client_gone.clone();
            let (sender, receiver) = line_channel(4);
            sender.send("one".into()).expect("room for a line");
            monoio::spawn(async move {
                sender.closed().await;
                client_gone.stop();
            });
            async move { Response::stream(receiver) }
        });
        let mut stream = open(&server).await;
        write(&mut stream, "GET / HTTP/1.1\r\n\r\n").await;
        let (result, _) = stream.read_exact(vec![0; 40]).await;
        result.expect("the beginning of the stream");
        stream.shutdown().await.expect("a shutdown");
        gone.stopped().await;
    });
}

#[test]
fn slow_head_gets_408_and_slow_body_gets_200() {
    run(async {
        let server = start_echo(
            ServerLimits::builder()
                .header_timeout_ms(100)
                .read_timeout_ms(5_000),
        );
        let mut slow_head = open(&server).await;
        write(&mut slow_head, "POST / HTTP/1.1\r\nContent-").await;
        let answer = read_to_end(&mut slow_head).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        let mut slow_body = open(&server).await;
        let head = "POST / HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\n";
        write(&mut slow_body, head).await;
        monoio::time::sleep(Duration::from_millis(200)).await;
        write(&mut slow_body, "x").await;
        let answer = read_to_end(&mut slow_body).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}
