//! Tests which errors the client reports, and when it reuses connections.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use proptest::prelude::*;
use web::{CallError, CallFault, CallLimits, Client, Method, Notify, Request};

const LONG: Duration = Duration::from_secs(20);
/// Long enough to write a request on loopback before the timeout.
const TIMEOUT_AFTER_WRITE: Duration = Duration::from_secs(1);
const SHORT: Duration = Duration::from_millis(30);

fn run(test: impl Future<Output = ()>) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test);
}

/// What a scripted server does with one request.
#[derive(Clone)]
enum Step {
    Answer(Vec<u8>),
    /// Answers byte by byte, with a pause after each.
    Trickle(Vec<u8>, Duration),
    AnswerAndClose(Vec<u8>),
    Close,
    Hang,
}

struct ScriptedServer {
    address: SocketAddr,
    requests: Rc<Cell<usize>>,
    closed: Rc<Cell<usize>>,
    changed: Rc<Notify>,
}

impl ScriptedServer {
    /// Serves one step per request, in order over all connections.
    fn start(steps: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            requests: Rc::default(),
            closed: Rc::default(),
            changed: Rc::default(),
        };
        let (requests, closed) = (server.requests.clone(), server.closed.clone());
        let changed = server.changed.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (steps, requests) = (steps.clone(), requests.clone());
                let (closed, changed) = (closed.clone(), changed.clone());
                monoio::spawn(async move {
                    serve_steps(stream, &steps, &requests, &changed).await;
                    closed.set(closed.get() + 1);
                    changed.notify_all();
                });
            }
        });
        server
    }

    async fn wait_for_requests(&self, count: usize) {
        let reached = || (self.requests.get() >= count).then_some(());
        self.changed.wait_until(reached).await;
    }

    async fn wait_for_closed(&self, count: usize) {
        let reached = || (self.closed.get() >= count).then_some(());
        self.changed.wait_until(reached).await;
    }
}

async fn serve_steps(
    mut stream: TcpStream,
    steps: &[Step],
    requests: &Cell<usize>,
    changed: &Notify,
) {
    loop {
        let (result, _) = stream.read(Vec::with_capacity(65_536)).await;
        if !matches!(result, Ok(count) if count > 0) {
            return;
        }
        let index = requests.get();
        requests.set(index + 1);
        changed.notify_all();
        match &steps[index] {
            Step::Answer(bytes) => drop(stream.write_all(bytes.clone()).await),
            Step::Trickle(bytes, pause) => {
                for byte in bytes {
                    drop(stream.write_all(vec![*byte]).await);
                    monoio::time::sleep(*pause).await;
                }
            }
            Step::AnswerAndClose(bytes) => return drop(stream.write_all(bytes.clone()).await),
            Step::Close => return,
            Step::Hang => drop(stream.read(Vec::with_capacity(1)).await),
        }
    }
}

fn ok(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn get() -> Request {
    Request::new(Method::GET, "/x")
}

#[test]
fn refused_connection_reports_not_sent() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let error = Client::new(address, 1)
            .call(&get(), LONG)
            .await
            .expect_err("no server");
        assert!(
            matches!(error, CallError::NotSent(CallFault::Refused)),
            "{error}"
        );
    });
}

#[test]
fn request_that_cannot_be_encoded_reports_not_sent() {
    run(async {
        let server = ScriptedServer::start(vec![]);
        let request = Request::new(Method::GET, "/with space");
        let client = Client::new(server.address, 1);
        let error = client.call(&request, LONG).await.expect_err("no request");
        assert!(matches!(error, CallError::NotSent(_)), "{error}");
    });
}

#[test]
fn close_after_request_reports_unknown_and_is_not_retried() {
    run(async {
        let server = ScriptedServer::start(vec![Step::Close, Step::Answer(ok("again"))]);
        let client = Client::new(server.address, 1);
        let error = client.call(&get(), LONG).await.expect_err("no answer");
        assert!(matches!(error, CallError::Unknown(_)), "{error}");
        assert_eq!(server.requests.get(), 1);
        assert_eq!(client.counters().unknown.get(), 1);
    });
}

#[test]
fn request_broken_off_on_reused_connection_is_not_retried() {
    run(async {
        let steps = vec![
            Step::Answer(ok("a")),
            Step::Close,
            Step::Answer(ok("again")),
        ];
        let server = ScriptedServer::start(steps);
        let client = Client::new(server.address, 1);
        client.call(&get(), LONG).await.expect("an answer");
        let mut large = Request::new(Method::POST, "/x");
        large.body = vec![0; 64 * 1024 * 1024].into();
        let error = client.call(&large, LONG).await.expect_err("no answer");
        assert!(matches!(error, CallError::Unknown(_)), "{error}");
        assert_eq!(client.counters().reuses.get(), 1);
        assert_eq!(server.requests.get(), 2);
    });
}

#[test]
fn timeout_after_request_reports_unknown() {
    run(async {
        let server = ScriptedServer::start(vec![Step::Hang]);
        let result = Client::new(server.address, 1)
            .call(&get(), TIMEOUT_AFTER_WRITE)
            .await;
        assert_eq!(result.err(), Some(CallError::Unknown(CallFault::TimedOut)));
        assert_eq!(server.requests.get(), 1);
    });
}

#[test]
fn timeout_within_a_response_reports_how_much_was_received() {
    run(async {
        let partial = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab".to_vec();
        let received_bytes = partial.len() as u64;
        let server = ScriptedServer::start(vec![Step::Answer(partial)]);
        let result = Client::new(server.address, 1)
            .call(&get(), TIMEOUT_AFTER_WRITE)
            .await;
        let fault = CallFault::Incomplete { received_bytes };
        assert_eq!(result.err(), Some(CallError::Unknown(fault)));
    });
}

const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

#[test]
fn response_that_progresses_may_take_longer_than_the_time_until_it_begins() {
    run(async {
        let server = ScriptedServer::start(vec![Step::Trickle(ok("abc"), TRICKLE_PAUSE)]);
        let limits = CallLimits {
            response: TRICKLE_PAUSE * 20,
            idle: TRICKLE_PAUSE * 20,
            total: LONG,
        };
        let client = Client::new(server.address, 1);
        let response = client.call_with_limits(&get(), limits).await;
        assert_eq!(response.expect("an answer").body, "abc");
    });
}

#[test]
fn response_that_stalls_or_exceeds_the_total_limit_times_out() {
    run(async {
        let stalled = ok("abc")[..20].to_vec();
        for (step, idle, total) in [
            (Step::Answer(stalled), TRICKLE_PAUSE * 5, LONG),
            (
                Step::Trickle(ok("abc"), TRICKLE_PAUSE),
                LONG,
                TRICKLE_PAUSE * 20,
            ),
        ] {
            let server = ScriptedServer::start(vec![step]);
            let response = TIMEOUT_AFTER_WRITE;
            let limits = CallLimits {
                response,
                idle,
                total,
            };
            let result = Client::new(server.address, 1)
                .call_with_limits(&get(), limits)
                .await;
            let error = result.expect_err("no answer");
            let is_incomplete = matches!(error.fault(), CallFault::Incomplete { .. });
            assert!(is_incomplete, "{error}");
        }
    });
}

#[test]
fn timeout_while_waiting_for_a_connection_reports_not_sent() {
    run(async {
        let server = ScriptedServer::start(vec![Step::Hang]);
        let client = Client::new(server.address, 1);
        let other_client = client.clone();
        drop(monoio::spawn(async move {
            other_client.call(&get(), LONG).await
        }));
        server.wait_for_requests(1).await;
        let result = client.call(&get(), SHORT).await;
        assert_eq!(result.err(), Some(CallError::NotSent(CallFault::TimedOut)));
        assert_eq!(server.requests.get(), 1);
    });
}

#[test]
fn truncated_response_reports_unknown() {
    run(async {
        let short = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab".to_vec();
        let chunk = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n".to_vec();
        let unstated = b"HTTP/1.1 200 OK\r\n\r\nab".to_vec();
        for answer in [short, chunk, unstated] {
            let server = ScriptedServer::start(vec![Step::AnswerAndClose(answer)]);
            let result = Client::new(server.address, 1).call(&get(), LONG).await;
            assert!(matches!(result, Err(CallError::Unknown(_))), "{result:?}");
        }
    });
}

#[test]
fn open_connection_is_reused() {
    run(async {
        let server = ScriptedServer::start(vec![Step::Answer(ok("a")), Step::Answer(ok("b"))]);
        let client = Client::new(server.address, 4);
        for body in ["a", "b"] {
            let response = client.call(&get(), LONG).await.expect("an answer");
            assert_eq!(response.body, body);
        }
        assert_eq!(client.counters().connects.get(), 1);
        assert_eq!(client.counters().reuses.get(), 1);
    });
}

#[test]
fn idle_connection_closed_by_peer_is_not_reused() {
    run(async {
        let steps = vec![Step::AnswerAndClose(ok("a")), Step::Answer(ok("b"))];
        let server = ScriptedServer::start(steps);
        let client = Client::new(server.address, 4);
        client.call(&get(), LONG).await.expect("an answer");
        server.wait_for_closed(1).await;
        let response = client.call(&get(), LONG).await.expect("an answer");
        assert_eq!(response.body, "b");
        assert_eq!(client.counters().connects.get(), 2);
        assert_eq!(client.counters().reuses.get(), 0);
    });
}

#[test]
fn unsolicited_response_is_not_returned_to_a_later_request() {
    run(async {
        let mut stray = ok("a");
        stray.extend(ok("stray"));
        let server = ScriptedServer::start(vec![Step::Answer(stray), Step::Answer(ok("b"))]);
        let client = Client::new(server.address, 4);
        for body in ["a", "b"] {
            let response = client.call(&get(), LONG).await.expect("an answer");
            assert_eq!(response.body, body);
        }
    });
}

#[test]
fn stream_yields_lines_across_chunks_and_reports_a_broken_connection() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let whole = format!("{head}4\r\na\nbb\r\n3\r\nb\nc\r\n0\r\n\r\n");
        let broken = format!("{head}4\r\na\nbb\r\n");
        let steps = [whole, broken].map(|text| Step::AnswerAndClose(text.into_bytes()));
        let server = ScriptedServer::start(steps.to_vec());
        let client = Client::new(server.address, 1);
        let mut stream = client.stream(&get(), LONG).await.expect("a stream");
        for line in ["a", "bbb", "c"] {
            assert_eq!(stream.next().await, Some(Ok(line.into())));
        }
        assert_eq!(stream.next().await, None);
        drop(stream);
        let mut stream = client.stream(&get(), LONG).await.expect("a stream");
        assert_eq!(stream.next().await, Some(Ok("a".into())));
        assert!(matches!(
            stream.next().await,
            Some(Err(CallFault::Broken(_)))
        ));
        assert_eq!(stream.next().await, None);
    });
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn arbitrary_response_never_reports_not_sent(
        answer in proptest::collection::vec(any::<u8>(), 0..200)
    ) {
        let mut text = b"HTTP/1.1 200 OK\r\n".to_vec();
        text.extend(&answer);
        run(async {
            for bytes in [answer, text] {
                let server = ScriptedServer::start(vec![Step::AnswerAndClose(bytes)]);
                let result = Client::new(server.address, 1).call(&get(), LONG).await;
                assert!(!matches!(result, Err(CallError::NotSent(_))));
            }
        });
    }
}
