//! The system under test, and the run of a soak from its start to the check at the end.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
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
use crate::evacuation::{BOUND_MS, failure_domain};
use crate::faults::{FaultKind, inject, random_kind};
use crate::process::{Process, Programs};
use crate::proxy::Proxy;
use crate::upgrade::upgrade;

/// Jobs sent per second while faults are injected.
const JOBS_PER_S: u64 = 40;

/// Bound on the time until the first job is completed and until a stopping process has exited, and
/// time to recover after the last fault.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Jobs sent after recovery. Half of them must be completed; the others may fail, since targets may
/// still be on probation.
const RECOVERY_JOBS: u64 = 20;

/// Parameters of a soak.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of hosts, each with an agent and a target.
    pub hosts: usize,
    /// Time for which faults are injected, in milliseconds.
    pub faults_ms: u64,
    /// Mean number of faults per second.
    pub faults_per_s: f64,
    /// Paths of the programs under test.
    pub programs: Programs,
    /// Programs of the release in production, if the soak upgrades from it to the others and back.
    pub production: Option<Programs>,
    /// Folder for the settings files and logs of the processes.
    pub folder: std::path::PathBuf,
}

/// Result of a soak.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Violated guarantees, in the order in which they occurred.
    pub violations: Vec<String>,
    /// Jobs that were completed.
    pub completed: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Jobs that were refused as not run.
    pub refused: u64,
    /// Jobs without a usable answer to any attempt.
    pub lost: u64,
    /// Runs that targets started.
    pub starts: u64,
    /// Injected faults in order, each with its time since the start of injection, in
    /// milliseconds.
    pub faults: Vec<(u64, FaultKind)>,
}

/// An entry and a client with connections to it.
pub(crate) struct EntryNode {
    pub(crate) process: RefCell<Process>,
    pub(crate) client: Client,
}

/// An agent with its target, and the proxy in front of the agent's peer address.
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
    configuration_version: Cell<u64>,
}

impl System {
    fn start(plan: &Plan) -> io::Result<Self> {
        let mut system = Self {
            seed: plan.seed,
            store: StoreServer::start()?,
            entries: Vec::new(),
            hosts: Vec::new(),
            ledger: SharedLedger::default(),
            configuration_version: Cell::new(0),
        };
        system.publish_configuration();
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
            "name = \"host-{number}\"\nfailure_domain = \"{}\"\ntarget_address = \"{}\"\n\
             reports_address = \"{reports_address}\"\npeer_address = \"{peer_address}\"\n\
             advertised_peer_address = \"{advertised}\"\nstore_address = \"{}\"\n\
             evacuation_bound_ms = {BOUND_MS}\ndrain_timeout_ms = 2000\n[log]\nformat = \"json\"\n",
            failure_domain(number),
            target.address(),
            self.store.address(),
        );
        let name = format!("host-{number}");
        let production = plan.production.as_ref();
        let programs = build_order(
            &plan.programs.agent,
            production.map(|programs| programs.agent.as_path()),
        );
        let process = Process::start(programs, "sidecar", &plan.folder, &name, &settings)?;
        Ok(HostNode {
            process: RefCell::new(process),
            target,
            proxy,
        })
    }

    fn start_entry(&self, plan: &Plan, number: usize) -> io::Result<EntryNode> {
        let callers_address: SocketAddr = free_address()?;
        let settings = format!(
            "name = \"entry-{number}\"\nfailure_domain = \"a\"\n\
             callers_address = \"{callers_address}\"\n\
             readiness_address = \"{}\"\npeer_address = \"{}\"\nstore_address = \"{}\"\n\
             evacuation_bound_ms = {BOUND_MS}\ndrain_timeout_ms = 4000\n[log]\nformat = \"json\"\n",
            free_address()?,
            free_address()?,
            self.store.address(),
        );
        let name = format!("entry-{number}");
        let production = plan.production.as_ref();
        let programs = build_order(
            &plan.programs.entry,
            production.map(|programs| programs.entry.as_path()),
        );
        let process = Process::start(programs, "gateway", &plan.folder, &name, &settings)?;
        Ok(EntryNode {
            process: RefCell::new(process),
            client: Client::new(callers_address, 64),
        })
    }

    /// Publishes the configuration again under a higher version.
    pub(crate) fn publish_configuration(&self) {
        self.configuration_version
            .set(self.configuration_version.get() + 3);
        let body = configuration(
            self.configuration_version.get(),
            "soak.example",
            "/soak/",
            "pool",
        );
        let body = body.to_string();
        self.store.put(CONFIGURATION_KEY, body.as_bytes());
    }

    /// Starts a process unless it is running; a failure counts as a violation.
    pub(crate) fn restart(&self, process: &RefCell<Process>) {
        if let Err(error) = process.borrow_mut().start_if_ended() {
            self.ledger
                .borrow_mut()
                .violations
                .push(format!("failed to start a process: {error}"));
        }
    }

    /// Waits until a process that is shutting down has exited, and starts it again.
    pub(crate) async fn restart_after_exit(&self, process: &RefCell<Process>) {
        let started_at = Instant::now();
        while process.borrow_mut().is_running() && started_at.elapsed() < SETTLE_TIME {
            sleep(Duration::from_millis(20)).await;
        }
        self.restart(process);
    }
}

/// Returns the program to start with and the one to upgrade to: the release in production first.
fn build_order<'a>(
    current: &'a Path,
    production: Option<&'a Path>,
) -> (&'a Path, Option<&'a Path>) {
    match production {
        Some(production) => (production, Some(current)),
        None => (current, None),
    }
}

/// Runs a soak: sends jobs while faults are injected, lets the system recover, and checks that it
/// completes jobs again.
///
/// # Errors
///
/// Fails if a process does not start, no port is free or a settings file cannot be written.
pub async fn run(plan: Plan) -> io::Result<Outcome> {
    let system = Rc::new(System::start(&plan)?);
    let rng = Rc::new(RefCell::new(StdRng::seed_from_u64(plan.seed)));
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut next_job = 0;
    wait_for_first_completion(&system, &rng, &mut next_job).await;
    let faults = Rc::new(RefCell::new(Vec::new()));
    let has_finished = Rc::new(Cell::new(false));
    monoio::spawn(inject_faults(
        Rc::clone(&system),
        plan.clone(),
        Rc::clone(&faults),
        Rc::clone(&has_finished),
    ));
    if plan.production.is_some() {
        monoio::spawn(upgrade(Rc::clone(&system), Rc::clone(&has_finished)));
    }
    while !has_finished.get() {
        next_job += 1;
        let (system, rng, tally) = (system.clone(), rng.clone(), tally.clone());
        monoio::spawn(async move {
            submit(system, rng, next_job, tally).await;
        });
        sleep(Duration::from_millis(1_000 / JOBS_PER_S)).await;
    }
    sleep(SETTLE_TIME).await;
    let completed = submit_after_recovery(&system, &rng, &mut next_job, &tally).await;
    let mut violations = system.ledger.borrow().violations.clone();
    if completed < RECOVERY_JOBS / 2 {
        violations.push(format!(
            "only {completed} of {RECOVERY_JOBS} jobs were completed after recovery"
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

/// Sends jobs until one is completed, for at most `SETTLE_TIME`; they are not counted.
async fn wait_for_first_completion(
    system: &Rc<System>,
    rng: &Rc<RefCell<StdRng>>,
    next_job: &mut u64,
) {
    let started_at = Instant::now();
    let uncounted = Rc::new(RefCell::new(Tally::default()));
    while started_at.elapsed() < SETTLE_TIME {
        *next_job += 1;
        let (system, rng, uncounted) = (system.clone(), rng.clone(), uncounted.clone());
        if submit(system, rng, *next_job, uncounted).await {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Sends `RECOVERY_JOBS` jobs one after another; returns how many were completed.
async fn submit_after_recovery(
    system: &Rc<System>,
    rng: &Rc<RefCell<StdRng>>,
    next_job: &mut u64,
    tally: &Rc<RefCell<Tally>>,
) -> u64 {
    let mut completed = 0;
    for _ in 0..RECOVERY_JOBS {
        *next_job += 1;
        let (system, rng, tally) = (system.clone(), rng.clone(), tally.clone());
        completed += u64::from(submit(system, rng, *next_job, tally).await);
    }
    completed
}

/// Injects random faults, which may overlap; sets `has_finished` when all of them have ended.
async fn inject_faults(
    system: Rc<System>,
    plan: Plan,
    faults: Rc<RefCell<Vec<(u64, FaultKind)>>>,
    has_finished: Rc<Cell<bool>>,
) {
    let mut rng = StdRng::seed_from_u64(plan.seed ^ 0x5eed);
    let started_at = Instant::now();
    let active_faults = Rc::new(Cell::new(0_usize));
    loop {
        let pause_ms = (rng.random::<f64>() * 2_000.0 / plan.faults_per_s) as u64;
        sleep(Duration::from_millis(pause_ms)).await;
        let at_ms = started_at.elapsed().as_millis() as u64;
        if at_ms >= plan.faults_ms {
            break;
        }
        let kind = random_kind(&mut rng);
        let entry = rng.random_range(0..plan.entries);
        let host = rng.random_range(0..plan.hosts);
        let duration_ms = rng.random_range(30..2_500);
        faults.borrow_mut().push((at_ms, kind));
        active_faults.set(active_faults.get() + 1);
        let (system, active_faults) = (Rc::clone(&system), Rc::clone(&active_faults));
        monoio::spawn(async move {
            inject(&system, kind, entry, host, duration_ms).await;
            active_faults.set(active_faults.get() - 1);
        });
    }
    while active_faults.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
    has_finished.set(true);
}
