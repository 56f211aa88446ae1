//! Stand-in for a target.

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
use tasks::Tasks;

/// Handle of a running stand-in for a target.
#[derive(Clone)]
pub struct TargetStandin {
    address: SocketAddr,
    tasks: Rc<Tasks>,
    announcing: Stop,
    serving: Stop,
    progress: Rc<Progress>,
}

#[derive(Default)]
struct Progress {
    announcer_ended: Cell<bool>,
    server_ended: Cell<bool>,
    notify: Notify,
}

impl Progress {
    fn end(&self, flag: &Cell<bool>) {
        flag.set(true);
        self.notify.notify_all();
    }

    async fn wait(&self, flag: &Cell<bool>) {
        self.notify.wait_until(|| flag.get().then_some(())).await;
    }
}

impl TargetStandin {
    /// Prepares a stand-in that listens on `listen`; port 0 picks a free one.
    #[must_use]
    pub fn builder(listen: SocketAddr) -> TargetStandinBuilder {
        TargetStandinBuilder::new(listen)
    }

    fn start(settings: &TargetStandinBuilder) -> io::Result<Self> {
        let listener = bind(settings.listen)?;
        let standin = Self {
            address: listener.local_addr()?,
            tasks: Rc::new(Tasks::new(settings.slots, settings.speed)),
            announcing: Stop::new(),
            serving: Stop::new(),
            progress: Rc::default(),
        };
        standin.spawn_server(listener, settings.connections);
        standin.spawn_announcer(settings);
        Ok(standin)
    }

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force; ends tasks that hang.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.tasks.set_faults(faults);
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> TargetFaults {
        self.tasks.faults()
    }

    /// Returns every start so far.
    #[must_use]
    pub fn starts(&self) -> Starts {
        self.tasks.starts()
    }

    /// Waits until at least `count` tasks have been started.
    pub async fn wait_for_starts(&self, count: usize) {
        self.tasks.wait_for_starts(count).await;
    }

    /// Takes leave of the agent, finishes the tasks under way and stops.
    pub async fn stop(&self) {
        self.announcing.stop();
        self.progress.wait(&self.progress.announcer_ended).await;
        self.serving.stop();
        self.progress.wait(&self.progress.server_ended).await;
    }

    /// Stops without a word to the agent; the announcement runs out.
    pub async fn stop_silently(&self) {
        self.tasks.silence();
        self.stop().await;
    }

    fn spawn_server(&self, listener: TcpListener, connections: u16) {
        let tasks = self.tasks.clone();
        let announcing = self.announcing.clone();
        let stop = self.serving.clone();
        let progress = self.progress.clone();
        let limits = ServerLimits::builder()
            .max_connections(usize::from(connections))
            .build();
        let handler = move |request: Request, _| {
            let tasks = tasks.clone();
            let announcing = announcing.clone();
            async move { handle(&tasks, &announcing, request).await }
        };
        monoio::spawn(async move {
            let counters = Rc::new(ServerCounters::default());
            serve(listener, limits, counters, stop, handler).await;
            progress.end(&progress.server_ended);
        });
    }

    fn spawn_announcer(&self, settings: &TargetStandinBuilder) {
        let announcer = settings.announcer(self.address);
        let tasks = self.tasks.clone();
        let stop = self.announcing.clone();
        let progress = self.progress.clone();
        monoio::spawn(async move {
            if let Some(announcer) = announcer {
                announcer.run(&stop).await;
                if !tasks.is_silent() {
                    announcer.leave().await;
                }
            }
            progress.end(&progress.announcer_ended);
        });
    }
}

async fn handle(tasks: &Tasks, announcing: &Stop, request: Request) -> Response {
    match (&request.method, request.path.as_str()) {
        (&Method::POST, TASKS_PATH) => tasks.run(&request).await,
        (&Method::GET, "/standin/starts") => Response::json(200, &tasks.starts()),
        (&Method::GET, "/standin/faults") => Response::json(200, &tasks.faults()),
        (&Method::POST, "/standin/faults") => post_faults(tasks, &request),
        (&Method::POST, "/standin/leave") => {
            announcing.stop();
            Response::empty(204)
        }
        _ => Response::error(404, "no such path"),
    }
}

fn post_faults(tasks: &Tasks, request: &Request) -> Response {
    match request.parse() {
        Ok(faults) => {
            tasks.set_faults(faults);
            Response::json(200, &faults)
        }
        Err(error) => Response::error(400, &error.to_string()),
    }
}
