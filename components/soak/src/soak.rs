//! The system under test and the course of a soak.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use platform_standins::{
    CONFIGURATION_KEY, SharedLedger, StoreServer, TargetServer, TargetSettings, configuration,
    free_address,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use web::Client;

use crate::clients::{Tally, submit};
use crate::faults::{FaultKind, draw, inject};
use crate::process::{Process, Programs};
use crate::proxy::Proxy;

/// Jobs in a second.
const JOBS_PER_S: u64 = 40;

/// How long the system may take to serve at first, and to recover at the end.
const SETTLE: Duration = Duration::from_secs(6);

/// Jobs that have to be served at the end; most of them, since targets may still be on probation.
const LAST_JOBS: u64 = 20;

/// What is soaked, and how.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Entries.
    pub entries: usize,
    /// Hosts.
    pub hosts: usize,
    /// How long faults are injected, in milliseconds.
    pub faults_ms: u64,
    /// Faults in a second.
    pub faults_per_s: f64,
    /// The programs.
    pub programs: Programs,
    /// Folder for settings and logs.
    pub folder: std::path::PathBuf,
}

/// What a soak has shown.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Broken promises.
    pub violations: Vec<String>,
    /// Jobs completed.
    pub completed: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Jobs refused as not run.
    pub refused: u64,
    /// Jobs whose answer was never got.
    pub lost: u64,
    /// Runs started at targets.
    pub starts: u64,
    /// Faults, in order.
    pub faults: Vec<(u64, FaultKind)>,
}

pub(crate) struct EntryNode {
    pub(crate) process: RefCell<Process>,
    pub(crate) client: Client,
}

pub(crate) struct HostNode {
    pub(crate) process: RefCell<Process>,
    pub(crate) target: TargetServer,
    pub(crate) proxy: Proxy,
}

/// The system under test.
pub(crate) struct System {
    pub(crate) seed: u64,
    pub(crate) store: StoreServer,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) hosts: Vec<HostNode>,
    pub(crate) ledger: SharedLedger,
    version: Cell<u64>,
}

impl System {
    fn start(plan: &Plan) -> io::Result<Self> {
        let mut system = Self {
            seed: plan.seed,
            store: StoreServer::start()?,
            entries: Vec::new(),
            hosts: Vec::new(),
            ledger: SharedLedger::default(),
            version: Cell::new(0),
        };
        system.publish();
        for number in 0..plan.hosts {
            let host = system.start_host(plan, number)?;
            system.hosts.push(host);
        }
        for number in 0..plan.entries {
            let entry = system.start_entry(plan, number)?;
            system.entries.push(entry);
        }
        Ok(system)
    }

    fn start_host(&self, plan: &Plan, number: usize) -> io::Result<HostNode> {
        let reports_address = free_address()?;
        let peer_address = free_address()?;
        let settings = TargetSettings {
            number,
            group: "pool".to_owned(),
            cpu_millis: 8_000,
            reports_address,
        };
        let target = TargetServer::start(settings, Rc::clone(&self.ledger))?;
        let proxy = Proxy::default();
        let advertised = proxy.start(peer_address)?;
        let settings = format!(
            "name = \"host-{number}\"\nfailure_domain = \"a\"\ntarget_address = \"{}\"\n\
             reports_address = \"{reports_address}\"\npeer_address = \"{peer_address}\"\n\
             advertised_peer_address = \"{advertised}\"\nstore_address = \"{}\"\n\
             drain_timeout_ms = 2000\n[log]\nformat = \"json\"\n",
            target.address(),
            self.store.address(),
        );
        let name = format!("host-{number}");
        let agent = &plan.programs.agent;
        let process = Process::start(agent, "sidecar", &plan.folder, &name, &settings)?;
        Ok(HostNode {
            process: RefCell::new(process),
            target,
            proxy,
        })
    }

    fn start_entry(&self, plan: &Plan, number: usize) -> io::Result<EntryNode> {
        let callers: SocketAddr = free_address()?;
        let settings = format!(
            "name = \"entry-{number}\"\nfailure_domain = \"a\"\ncallers_address = \"{callers}\"\n\
             readiness_address = \"{}\"\npeer_address = \"{}\"\nstore_address = \"{}\"\n\
             drain_timeout_ms = 4000\n[log]\nformat = \"json\"\n",
            free_address()?,
            free_address()?,
            self.store.address(),
        );
        let name = format!("entry-{number}");
        let entry = &plan.programs.entry;
        let process = Process::start(entry, "gateway", &plan.folder, &name, &settings)?;
        Ok(EntryNode {
            process: RefCell::new(process),
            client: Client::new(callers, 64),
        })
    }

    /// Publishes a configuration of the next version.
    pub(crate) fn publish(&self) {
        self.version.set(self.version.get() + 3);
        let body = configuration(self.version.get(), "soak.example", "/soak/", "pool");
        let body = body.to_string();
        self.store.put(CONFIGURATION_KEY, body.as_bytes());
    }

    pub(crate) fn restart(&self, process: &RefCell<Process>) {
        if let Err(error) = process.borrow_mut().restart() {
            self.ledger
                .borrow_mut()
                .violations
                .push(format!("a process does not start: {error}"));
        }
    }

    /// Waits until a process has ended as planned, and starts it again.
    pub(crate) async fn restart_after_end(&self, process: &RefCell<Process>) {
        let begun = Instant::now();
        while process.borrow_mut().is_running() && begun.elapsed() < SETTLE {
            sleep(Duration::from_millis(20)).await;
        }
        self.restart(process);
    }
}

/// Runs a soak.
///
/// # Errors
///
/// Fails if a process or a port cannot be had.
pub async fn run(plan: Plan) -> io::Result<Outcome> {
    let system = Rc::new(System::start(&plan)?);
    let rng = Rc::new(RefCell::new(StdRng::seed_from_u64(plan.seed)));
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut next_job = 0;
    wait_until_served(&system, &rng, &mut next_job).await;
    let faults = Rc::new(RefCell::new(Vec::new()));
    let is_calm = Rc::new(Cell::new(false));
    monoio::spawn(inject_faults(
        Rc::clone(&system),
        plan.clone(),
        Rc::clone(&faults),
        Rc::clone(&is_calm),
    ));
    while !is_calm.get() {
        next_job += 1;
        let (system, rng, tally) = (system.clone(), rng.clone(), tally.clone());
        monoio::spawn(async move {
            submit(system, rng, next_job, tally).await;
        });
        sleep(Duration::from_millis(1_000 / JOBS_PER_S)).await;
    }
    sleep(SETTLE).await;
    let served = serve_last(&system, &rng, &mut next_job, &tally).await;
    let mut violations = system.ledger.borrow().violations.clone();
    if served < LAST_JOBS / 2 {
        violations.push(format!(
            "only {served} of the last {LAST_JOBS} jobs were served"
        ));
    }
    let tally = *tally.borrow();
    Ok(Outcome {
        violations,
        completed: tally.completed,
        failed: tally.failed,
        refused: tally.refused,
        lost: tally.lost,
        starts: system.ledger.borrow().starts,
        faults: faults.borrow().clone(),
    })
}

async fn wait_until_served(system: &Rc<System>, rng: &Rc<RefCell<StdRng>>, next_job: &mut u64) {
    let begun = Instant::now();
    let ignored = Rc::new(RefCell::new(Tally::default()));
    while begun.elapsed() < SETTLE {
        *next_job += 1;
        let (system, rng, ignored) = (system.clone(), rng.clone(), ignored.clone());
        if submit(system, rng, *next_job, ignored).await {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Sends jobs one after another on a calm system; returns how many were completed.
async fn serve_last(
    system: &Rc<System>,
    rng: &Rc<RefCell<StdRng>>,
    next_job: &mut u64,
    tally: &Rc<RefCell<Tally>>,
) -> u64 {
    let mut served = 0;
    for _ in 0..LAST_JOBS {
        *next_job += 1;
        let (system, rng, tally) = (system.clone(), rng.clone(), tally.clone());
        served += u64::from(submit(system, rng, *next_job, tally).await);
    }
    served
}

async fn inject_faults(
    system: Rc<System>,
    plan: Plan,
    faults: Rc<RefCell<Vec<(u64, FaultKind)>>>,
    is_calm: Rc<Cell<bool>>,
) {
    let mut rng = StdRng::seed_from_u64(plan.seed ^ 0x5eed);
    let begun = Instant::now();
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let pause_ms = (rng.random::<f64>() * 2_000.0 / plan.faults_per_s) as u64;
        sleep(Duration::from_millis(pause_ms)).await;
        let at_ms = begun.elapsed().as_millis() as u64;
        if at_ms >= plan.faults_ms {
            break;
        }
        let kind = draw(&mut rng);
        let entry = rng.random_range(0..plan.entries);
        let host = rng.random_range(0..plan.hosts);
        let for_ms = rng.random_range(30..2_500);
        faults.borrow_mut().push((at_ms, kind));
        open.set(open.get() + 1);
        let (system, open) = (Rc::clone(&system), Rc::clone(&open));
        monoio::spawn(async move {
            inject(&system, kind, entry, host, for_ms).await;
            open.set(open.get() - 1);
        });
    }
    while open.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
    is_calm.set(true);
}
