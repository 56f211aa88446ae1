//! The client: what was sent, what is unknown, and connections used again.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use proptest::prelude::*;
use web::{CallError, CallFault, Client, Method, Notify, Request};

const LONG: Duration = Duration::from_secs(20);
/// Enough to write a request on loopback.
const AMPLE: Duration = Duration::from_secs(1);
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
    AnswerAndClose(Vec<u8>),
    Close,
    Hang,
}

struct Scripted {
    address: SocketAddr,
    requests: Rc<Cell<usize>>,
    closed: Rc<Cell<usize>>,
    changed: Rc<Notify>,
}

impl Scripted {
    /// Serves one step per request, in order over all connections.
    fn start(steps: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let scripted = Self {
            address: listener.local_addr().expect("an address"),
            requests: Rc::default(),
            closed: Rc::default(),
            changed: Rc::default(),
        };
        let (requests, closed) = (scripted.requests.clone(), scripted.closed.clone());
        let changed = scripted.changed.clone();
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
        scripted
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
fn a_refused_connection_is_not_sent() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let error = Client::new(address, 1)
            .call(&get(), LONG)
            .await
            .expect_err("no server");
        assert!(
            matches!(error, CallError::NotSent(CallFault::Connect(_))),
            "{error}"
        );
    });
}

#[test]
fn a_request_that_cannot_be_encoded_is_not_sent() {
    run(async {
        let scripted = Scripted::start(vec![]);
        let request = Request::new(Method::GET, "/with space");
        let client = Client::new(scripted.address, 1);
        let error = client.call(&request, LONG).await.expect_err("no request");
        assert!(matches!(error, CallError::NotSent(_)), "{error}");
    });
}

#[test]
fn a_connection_closed_after_the_request_is_unknown_and_not_repeated() {
    run(async {
        let scripted = Scripted::start(vec![Step::Close, Step::Answer(ok("again"))]);
        let client = Client::new(scripted.address, 1);
        let error = client.call(&get(), LONG).await.expect_err("no answer");
        assert!(matches!(error, CallError::Unknown(_)), "{error}");
        assert_eq!(scripted.requests.get(), 1);
        assert_eq!(client.counters().unknown.get(), 1);
    });
}

#[test]
fn a_request_that_breaks_off_on_a_used_connection_is_not_repeated() {
    run(async {
        let steps = vec![
            Step::Answer(ok("a")),
            Step::Close,
            Step::Answer(ok("again")),
        ];
        let scripted = Scripted::start(steps);
        let client = Client::new(scripted.address, 1);
        client.call(&get(), LONG).await.expect("an answer");
        let mut large = Request::new(Method::POST, "/x");
        large.body = vec![0; 64 * 1024 * 1024].into();
        let error = client.call(&large, LONG).await.expect_err("no answer");
        assert!(matches!(error, CallError::Unknown(_)), "{error}");
        assert_eq!(client.counters().reuses.get(), 1);
        assert_eq!(scripted.requests.get(), 2);
    });
}

#[test]
fn a_timeout_after_the_request_is_unknown() {
    run(async {
        let scripted = Scripted::start(vec![Step::Hang]);
        let result = Client::new(scripted.address, 1).call(&get(), AMPLE).await;
        assert_eq!(result.err(), Some(CallError::Unknown(CallFault::TimedOut)));
        assert_eq!(scripted.requests.get(), 1);
    });
}

#[test]
fn a_timeout_while_waiting_for_a_connection_is_not_sent() {
    run(async {
        let scripted = Scripted::start(vec![Step::Hang]);
        let client = Client::new(scripted.address, 1);
        let occupant = client.clone();
        drop(monoio::spawn(
            async move { occupant.call(&get(), LONG).await },
        ));
        scripted.wait_for_requests(1).await;
        let result = client.call(&get(), SHORT).await;
        assert_eq!(result.err(), Some(CallError::NotSent(CallFault::TimedOut)));
        assert_eq!(scripted.requests.get(), 1);
    });
}

#[test]
fn a_truncated_answer_is_unknown() {
    run(async {
        let short = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab".to_vec();
        let chunk = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n".to_vec();
        let unstated = b"HTTP/1.1 200 OK\r\n\r\nab".to_vec();
        for answer in [short, chunk, unstated] {
            let scripted = Scripted::start(vec![Step::AnswerAndClose(answer)]);
            let result = Client::new(scripted.address, 1).call(&get(), LONG).await;
            assert!(matches!(result, Err(CallError::Unknown(_))), "{result:?}");
        }
    });
}

#[test]
fn an_open_connection_is_used_again() {
    run(async {
        let scripted = Scripted::start(vec![Step::Answer(ok("a")), Step::Answer(ok("b"))]);
        let client = Client::new(scripted.address, 4);
        for body in ["a", "b"] {
            let response = client.call(&get(), LONG).await.expect("an answer");
            assert_eq!(response.body, body);
        }
        assert_eq!(client.counters().connects.get(), 1);
        assert_eq!(client.counters().reuses.get(), 1);
    });
}

#[test]
fn an_idle_connection_closed_by_the_peer_is_not_used() {
    run(async {
        let steps = vec![Step::AnswerAndClose(ok("a")), Step::Answer(ok("b"))];
        let scripted = Scripted::start(steps);
        let client = Client::new(scripted.address, 4);
        client.call(&get(), LONG).await.expect("an answer");
        scripted.wait_for_closed(1).await;
        let response = client.call(&get(), LONG).await.expect("an answer");
        assert_eq!(response.body, "b");
        assert_eq!(client.counters().connects.get(), 2);
        assert_eq!(client.counters().reuses.get(), 0);
    });
}

#[test]
fn an_unasked_answer_reaches_no_later_request() {
    run(async {
        let mut stray = ok("a");
        stray.extend(ok("stray"));
        let scripted = Scripted::start(vec![Step::Answer(stray), Step::Answer(ok("b"))]);
        let client = Client::new(scripted.address, 4);
        for body in ["a", "b"] {
            let response = client.call(&get(), LONG).await.expect("an answer");
            assert_eq!(response.body, body);
        }
    });
}

#[test]
fn a_stream_yields_lines_across_chunks_and_reports_a_broken_end() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let whole = format!("{head}4\r\na\nbb\r\n3\r\nb\nc\r\n0\r\n\r\n");
        let broken = format!("{head}4\r\na\nbb\r\n");
        let steps = [whole, broken].map(|text| Step::AnswerAndClose(text.into_bytes()));
        let scripted = Scripted::start(steps.to_vec());
        let client = Client::new(scripted.address, 1);
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
    fn any_answer_is_a_value(answer in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut text = b"HTTP/1.1 200 OK\r\n".to_vec();
        text.extend(&answer);
        run(async {
            for bytes in [answer, text] {
                let scripted = Scripted::start(vec![Step::AnswerAndClose(bytes)]);
                let result = Client::new(scripted.address, 1).call(&get(), LONG).await;
                assert!(!matches!(result, Err(CallError::NotSent(_))));
            }
        });
    }
}
