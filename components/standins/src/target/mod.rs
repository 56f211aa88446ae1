//! Stand-in for a target: runs tasks over HTTP and announces itself to an agent.

mod announcer;
mod builder;
mod faults;
mod starts;
mod tasks;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::TcpListener;
use targets::TASKS_PATH;
use web::{Method, Notify, Request, Response, ServerCounters, ServerLimits, Stop, bind, serve};

pub use builder::TargetStandinBuilder;
pub use faults::{TargetFaultMode, TargetFaults};
pub use starts::{StartRecord, Starts};
use tasks::TaskRunner;

/// Handle of a running stand-in for a target.
#[derive(Clone)]
pub struct TargetStandin {
    address: SocketAddr,
    tasks: Rc<TaskRunner>,
    announcer_stop: Stop,
    server_stop: Stop,
    shutdown: Rc<ShutdownProgress>,
}

#[derive(Default)]
struct ShutdownProgress {
    is_announcer_ended: Cell<bool>,
    is_server_ended: Cell<bool>,
    notify: Notify,
}

impl ShutdownProgress {
    fn mark_ended(&self, flag: &Cell<bool>) {
        flag.set(true);
        self.notify.notify_all();
    }

    async fn wait_for(&self, flag: &Cell<bool>) {
        self.notify.wait_until(|| flag.get().then_some(())).await;
    }
}

impl TargetStandin {
    /// Returns a builder for a stand-in that listens on `listen`; port 0 selects a free port.
    #[must_use]
    pub fn builder(listen: SocketAddr) -> TargetStandinBuilder {
        TargetStandinBuilder::new(listen)
    }

    fn start(settings: &TargetStandinBuilder) -> io::Result<Self> {
        let listener = bind(settings.listen)?;
        let standin = Self {
            address: listener.local_addr()?,
            tasks: Rc::new(TaskRunner::new(settings.slots, settings.speed)),
            announcer_stop: Stop::new(),
            server_stop: Stop::new(),
            shutdown: Rc::default(),
        };
        standin.spawn_server(listener, settings.connections);
        standin.spawn_announcer(settings);
        Ok(standin)
    }

    /// Returns the listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults and disconnects hanging tasks.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.tasks.set_faults(faults);
    }

    /// Returns the injected faults.
    #[must_use]
    pub fn faults(&self) -> TargetFaults {
        self.tasks.faults()
    }

    /// Returns all task starts so far.
    #[must_use]
    pub fn starts(&self) -> Starts {
        self.tasks.starts()
    }

    /// Waits until at least `count` tasks have been started.
    pub async fn wait_for_starts(&self, count: usize) {
        self.tasks.wait_for_starts(count).await;
    }

    /// Deregisters at the agent, finishes the running tasks and stops.
    pub async fn stop(&self) {
        self.announcer_stop.stop();
        self.shutdown
            .wait_for(&self.shutdown.is_announcer_ended)
            .await;
        self.server_stop.stop();
        self.shutdown.wait_for(&self.shutdown.is_server_ended).await;
    }

    /// Stops without deregistering at the agent, so that the announcement expires.
    pub async fn stop_silently(&self) {
        self.tasks.skip_departure();
        self.stop().await;
    }

    fn spawn_server(&self, listener: TcpListener, connections: u16) {
        let tasks = self.tasks.clone();
        let announcer_stop = self.announcer_stop.clone();
        let stop = self.server_stop.clone();
        let shutdown = self.shutdown.clone();
        let limits = ServerLimits::builder()
            .max_connections(usize::from(connections))
            .build();
        let handler = move |request: Request, _| {
            let tasks = tasks.clone();
            let announcer_stop = announcer_stop.clone();
            async move { handle(&tasks, &announcer_stop, request).await }
        };
        monoio::spawn(async move {
            let counters = Rc::new(ServerCounters::default());
            serve(listener, limits, counters, stop, handler).await;
            shutdown.mark_ended(&shutdown.is_server_ended);
        });
    }

    fn spawn_announcer(&self, settings: &TargetStandinBuilder) {
        let announcer = settings.announcer(self.address);
        let tasks = self.tasks.clone();
        let stop = self.announcer_stop.clone();
        let shutdown = self.shutdown.clone();
        monoio::spawn(async move {
            if let Some(announcer) = announcer {
                announcer.run(&stop).await;
                if !tasks.is_departure_skipped() {
                    announcer.send_departure().await;
                }
            }
            shutdown.mark_ended(&shutdown.is_announcer_ended);
        });
    }
}

async fn handle(tasks: &TaskRunner, announcer_stop: &Stop, request: Request) -> Response {
    match (&request.method, request.path.as_str()) {
        (&Method::POST, TASKS_PATH) => tasks.run(&request).await,
        (&Method::GET, "/standin/starts") => Response::json(200, &tasks.starts()),
        (&Method::GET, "/standin/faults") => Response::json(200, &tasks.faults()),
        (&Method::POST, "/standin/faults") => post_faults(tasks, &request),
        (&Method::POST, "/standin/leave") => {
            announcer_stop.stop();
            Response::empty(204)
        }
        _ => Response::error(404, "no such path"),
    }
}

fn post_faults(tasks: &TaskRunner, request: &Request) -> Response {
    match request.parse() {
        Ok(faults) => {
            tasks.set_faults(faults);
            Response::json(200, &faults)
        }
        Err(error) => Response::error(400, &error.to_string()),
    }
}
