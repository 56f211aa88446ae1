//! Tests of the target stand-in over HTTP, with a minimal agent.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use standins::{Starts, TargetFaults, TargetStandin};
use targets::{parse_announcement, parse_departure};
use web::{Client, Method, Notify, Request, Response, ServerCounters, ServerLimits, Stop, serve};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

fn run(test: impl Future<Output = ()>) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test);
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[derive(Default)]
struct Agent {
    received: RefCell<Vec<String>>,
    notify: Notify,
}

impl Agent {
    fn start(self: &Rc<Self>) -> SocketAddr {
        let listener = TcpListener::bind(loopback()).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let agent = self.clone();
        let handler = move |request: Request, _| {
            let response = agent.record(&request);
            async move { response }
        };
        let counters = Rc::new(ServerCounters::default());
        monoio::spawn(serve(
            listener,
            ServerLimits::default(),
            counters,
            Stop::new(),
            handler,
        ));
        address
    }

    fn record(&self, request: &Request) -> Response {
        let summary = match request.method {
            Method::DELETE => parse_departure(request).map(|d| format!("-{}", d.name)),
            _ => parse_announcement(request).map(|a| format!("{} {}", a.name, a.slots)),
        };
        self.received
            .borrow_mut()
            .push(summary.expect("a valid request"));
        self.notify.notify_all();
        Response::empty(204)
    }

    async fn wait_for(&self, count: usize) {
        let is_reached = || (self.received.borrow().len() >= count).then_some(());
        self.notify.wait_until(is_reached).await;
    }
}

#[test]
fn a_target_repeats_its_announcement_and_deregisters_at_stop() {
    run(async {
        let agent = Rc::new(Agent::default());
        let builder = TargetStandin::builder(loopback());
        let builder = builder.name("t").firm("f").announce_to(agent.start());
        let standin = builder.ttl_ms(100).start().await.expect("a free port");
        agent.wait_for(3).await;
        standin.stop().await;
        let received = agent.received.borrow();
        let (last, announced) = received.split_last().expect("requests");
        assert_eq!(last, "-t");
        assert!(announced.iter().all(|text| text == "t 8"), "{received:?}");
    });
}

#[test]
fn faults_and_starts_are_accessible_over_http() {
    run(async {
        let standin = TargetStandin::builder(loopback()).start().await;
        let standin = standin.expect("a free port");
        let client = Client::new(standin.address(), 1);
        let mode = serde_json::json!({ "mode": "fail_fast" });
        let request = Request::post_json("/standin/faults", &mode);
        let response = client
            .call(&request, CALL_TIMEOUT)
            .await
            .expect("a response");
        assert_eq!(
            response.parse::<TargetFaults>().expect("faults"),
            standin.faults()
        );
        let invalid = Request::post_json("/standin/faults", &serde_json::json!({ "x": 1 }));
        let response = client
            .call(&invalid, CALL_TIMEOUT)
            .await
            .expect("a response");
        assert_eq!(response.status, 400);
        let task = Request::new(Method::POST, "/v1/tasks");
        let response = client.call(&task, CALL_TIMEOUT).await.expect("a response");
        assert_eq!(response.status, 400, "the headers are missing");
        for status in [500, 500] {
            let response = client
                .call(&task_request(), CALL_TIMEOUT)
                .await
                .expect("a response");
            assert_eq!(response.status, status);
        }
        let request = Request::new(Method::GET, "/standin/starts");
        let response = client
            .call(&request, CALL_TIMEOUT)
            .await
            .expect("a response");
        let starts: Starts = response.parse().expect("starts");
        assert_eq!((starts.starts.len(), starts.doubled.len()), (2, 1));
    });
}

fn task_request() -> Request {
    targets::Invocation {
        firm: "f".to_owned(),
        job_id: "j".to_owned(),
        index: 0,
        attempt: model::Attempt(1),
        payload: web::Bytes::new(),
        timeout: CALL_TIMEOUT,
    }
    .request()
}
