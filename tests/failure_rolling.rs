//! Replaces every entry and every agent, one after the other, under a steady load.

mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use support::{CONSORCIO, Firm, Load, Outcome, System, VEMBANAD, get_state, named_job, wait_until};

/// Interval between two jobs of one client.
const JOB_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of submissions of one job before the test fails.
const MAX_ATTEMPTS: usize = 40;

/// State shared by the clients, with the entries in service as a load balancer would list them.
#[derive(Default)]
struct Clients {
    load: Load,
    in_service: RefCell<Vec<SocketAddr>>,
    is_stopped: Cell<bool>,
    running: Cell<usize>,
    jobs: Cell<usize>,
    retries: Cell<usize>,
}

impl Clients {
    fn start(self: &Rc<Self>, firm: Firm, number: usize) {
        let clients = Rc::clone(self);
        self.running.set(self.running.get() + 1);
        monoio::spawn(async move {
            let mut job = 0;
            while !clients.is_stopped.get() {
                let id = format!("client-{number}-{job}");
                job += 1;
                clients.run_job(firm, &id, number + job).await;
                monoio::time::sleep(JOB_INTERVAL).await;
            }
            clients.running.set(clients.running.get() - 1);
        });
    }

    /// Submits a job, and submits it again under the same id while the answer is *not run*.
    async fn run_job(&self, firm: Firm, id: &str, turn: usize) {
        for attempt in 0..MAX_ATTEMPTS {
            let entry = {
                let in_service = self.in_service.borrow();
                in_service[(turn + attempt) % in_service.len()]
            };
            let job = named_job(firm, id, &[20, 40, 10], 8_000);
            match self.load.submit(entry, firm, id, &job).await {
                Outcome::Complete => {
                    self.jobs.set(self.jobs.get() + 1);
                    return;
                }
                outcome if outcome.is_not_run() => {
                    self.retries.set(self.retries.get() + 1);
                    monoio::time::sleep(JOB_INTERVAL * 10).await;
                }
                outcome => panic!("{id}: {outcome:?}"),
            }
        }
        panic!("{id} was refused {MAX_ATTEMPTS} times");
    }

    fn remove(&self, entry: SocketAddr) {
        self.in_service
            .borrow_mut()
            .retain(|address| *address != entry);
    }

    fn add(&self, entry: SocketAddr) {
        self.in_service.borrow_mut().push(entry);
    }
}

async fn replace_entry(system: &mut System, clients: &Clients, position: usize) {
    clients.remove(system.entries[position].callers_address);
    system.entries[position].process.signal("TERM");
    let mut status = None;
    wait_until("the entry ends", async || {
        let process = &mut system.entries[position].process;
        status = process.child.try_wait().expect("the process is a child");
        status.is_some()
    })
    .await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let entry = system.spawn_entry();
    system.entries[position] = entry;
    let address = system.entries[position].callers_address;
    wait_until("the new entry is ready", async || {
        get_state(address).await["config_revision"].as_u64() > Some(0)
    })
    .await;
    clients.add(address);
}

async fn replace_agent(system: &mut System, position: usize) {
    system.hosts[position].agent.signal("TERM");
    let mut status = None;
    wait_until("the agent ends", async || {
        let process = &mut system.hosts[position].agent;
        status = process.child.try_wait().expect("the process is a child");
        status.is_some()
    })
    .await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    system.restart_agent(position);
    wait_until(
        "an owner has the new incarnation on its roster",
        async || {
            let state = system.hosts[position].agent_state().await;
            let shards = state["decisions"]["shards"].as_array();
            shards.is_some_and(|shards| !shards.is_empty())
        },
    )
    .await;
}

#[test]
fn every_process_is_replaced_under_load() {
    let run = runtime::run(async {
        let mut system = System::start_serving(3, 2).await;
        let clients = Rc::new(Clients::default());
        for entry in &system.entries {
            clients.add(entry.callers_address);
        }
        for number in 0..2 {
            clients.start(VEMBANAD, number);
            clients.start(CONSORCIO, number);
        }
        for position in 0..system.entries.len() {
            replace_entry(&mut system, &clients, position).await;
        }
        for position in 0..system.hosts.len() {
            replace_agent(&mut system, position).await;
        }
        clients.is_stopped.set(true);
        wait_until("the clients end", async || clients.running.get() == 0).await;
        clients.load.check(&system).await;
        println!(
            "rolling replacement: {} jobs complete, {} refusals retried: {:?}",
            clients.jobs.get(),
            clients.retries.get(),
            clients.load.tally("")
        );
    });
    run.expect("the runtime starts");
}
