//! Runs this build and the release in production side by side on the users' platform.

mod platform_support;

use std::net::SocketAddr;
use std::path::Path;

use platform_standins::{
    CONFIGURATION_KEY, SharedLedger, StoreServer, TargetServer, configuration, evacuation_key, job,
};
use platform_support::support::{Build, Process, wait_until};
use platform_support::{
    Entry, GROUP, HOST, PREFIX, free_address, line_of, restart_agent_of, seeds_setting,
    start_entry_of, start_target, write_agent_settings,
};
use rstest::rstest;
use tempfile::TempDir;

const BOUND: &str = "evacuation_bound_ms = 5000\n";

const EVACUATED: &str = "\"event\":\"evacuations\"";

/// Run time of the tasks that a planned stop meets, in milliseconds.
const LONG_TASK_MS: u64 = 800;

/// Number of the agent among the processes that are replaced; lower ones are entries.
const AGENT: usize = 2;

/// Jobs that are served between two steps of an upgrade.
const JOBS_BETWEEN_STEPS: usize = 20;

/// A store that serves entries and agents on ports of their own, and a host without its agent.
struct Site {
    folder: TempDir,
    entry_store: StoreServer,
    agent_store: StoreServer,
    /// Keeps the target running.
    _target: TargetServer,
    ledger: SharedLedger,
    seeds: Vec<SocketAddr>,
    last_job: u64,
}

impl Site {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let entry_store = StoreServer::start().expect("a store");
        let agent_store = entry_store.start_second().expect("a second port");
        publish(&entry_store, 1, PREFIX);
        let reports_address = free_address();
        let ledger = SharedLedger::default();
        let target = start_target(reports_address, &ledger);
        let seeds = vec![free_address(), free_address()];
        let more = format!("{BOUND}{}", seeds_setting(&seeds));
        write_agent_settings(
            folder.path(),
            agent_store.address(),
            target.address(),
            reports_address,
            "info",
            &more,
        );
        Self {
            folder,
            entry_store,
            agent_store,
            _target: target,
            ledger,
            seeds,
            last_job: 0,
        }
    }

    fn path(&self) -> &Path {
        self.folder.path()
    }

    /// Starts the entry with the given number, which is that of its seed.
    fn entry(&self, build: Build, number: usize) -> Entry {
        self.entry_with_store(build, number, self.entry_store.address())
    }

    fn entry_with_store(&self, build: Build, number: usize, store: SocketAddr) -> Entry {
        let more = format!("{BOUND}{}", seeds_setting(&self.seeds));
        let address = self.seeds[number];
        start_entry_of(build, self.path(), store, address, "info", &more)
    }

    fn agent(&self, build: Build) -> Process {
        restart_agent_of(build, self.path())
    }

    /// Starts an entry and the agent, and waits until a job is served.
    async fn serve(&mut self, entry: Build, agent: Build) -> (Entry, Process) {
        let entry = self.entry(entry, 0);
        let agent = self.agent(agent);
        self.wait_until_answered(&entry, 200).await;
        (entry, agent)
    }

    fn new_id(&mut self) -> String {
        self.last_job += 1;
        format!("{:016x}", self.last_job)
    }

    async fn status_of_job(&mut self, entry: &Entry, tasks: u32, work_ms: u64) -> Option<u16> {
        let id = self.new_id();
        let status = entry.status_of(&id, &job(tasks, work_ms)).await;
        if matches!(status, Some(429 | 503)) {
            self.ledger.borrow_mut().record_refusal(&id);
        }
        status
    }

    async fn wait_until_answered(&mut self, entry: &Entry, status: u16) {
        wait_until("a job is answered with the status", async || {
            self.status_of_job(entry, 2, 20).await == Some(status)
        })
        .await;
    }

    /// Submits jobs until enough of them are served.
    async fn serve_jobs(&mut self, entry: &Entry) {
        let mut served = 0;
        wait_until("jobs are served", async || {
            served += usize::from(self.status_of_job(entry, 2, 20).await == Some(200));
            served >= JOBS_BETWEEN_STEPS
        })
        .await;
    }

    fn assert_no_violations(&self) {
        assert_eq!(self.ledger.borrow().violations, Vec::<String>::new());
    }
}

fn publish(store: &StoreServer, version: u64, prefix: &str) {
    let body = configuration(version, HOST, prefix, GROUP);
    store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
}

// New agents refused old entries, and old agents new entries: half-way through an upgrade an entry
// reached only the hosts whose agents had its own version.
#[rstest]
#[case::new_entry(Build::Current, Build::Production)]
#[case::new_agent(Build::Production, Build::Current)]
fn a_job_is_served_by_two_builds(#[case] entry: Build, #[case] agent: Build) {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (entry, _agent) = site.serve(entry, agent).await;
        site.serve_jobs(&entry).await;
        site.assert_no_violations();
    });
    run.expect("the runtime starts");
}

// An agent of the other build that the store refuses went on starting tasks in an evacuated failure
// domain.
#[rstest]
#[case::new_entry(Build::Current, Build::Production)]
#[case::new_agent(Build::Production, Build::Current)]
fn an_agent_learns_an_evacuation_from_the_other_build(#[case] entry: Build, #[case] agent: Build) {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (entry, mut agent) = site.serve(entry, agent).await;
        site.agent_store.set_refusing(true);
        site.entry_store.put(&evacuation_key("domain"), b"{}");
        let line = line_of(&mut agent, EVACUATED).await;
        assert!(!line.contains("\"source\":\"store\""), "{line}");
        site.wait_until_answered(&entry, 503).await;
        site.entry_store.delete(&evacuation_key("domain"));
        site.wait_until_answered(&entry, 200).await;
    });
    run.expect("the runtime starts");
}

#[rstest]
#[case::new_entry(Build::Current, Build::Production)]
#[case::new_agent(Build::Production, Build::Current)]
fn an_entry_learns_an_evacuation_from_the_other_build(#[case] entry: Build, #[case] agent: Build) {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (mut entry, _agent) = site.serve(entry, agent).await;
        site.entry_store.set_refusing(true);
        site.agent_store.put(&evacuation_key("domain"), b"{}");
        let line = line_of(&mut entry.process, EVACUATED).await;
        assert!(!line.contains("\"source\":\"store\""), "{line}");
        site.wait_until_answered(&entry, 503).await;
    });
    run.expect("the runtime starts");
}

// Between entries of two builds neither configuration nor hosts were passed on.
#[rstest]
#[case::from_new(Build::Current, Build::Production)]
#[case::from_old(Build::Production, Build::Current)]
fn an_entry_that_the_store_refuses_serves_with_the_state_of_the_other_build(
    #[case] served: Build,
    #[case] refused: Build,
) {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (_seed, _agent) = site.serve(served, served).await;
        let entry = site.entry_with_store(refused, 1, free_address());
        site.wait_until_answered(&entry, 200).await;
        publish(&site.entry_store, 2, "/other/");
        site.wait_until_answered(&entry, 404).await;
    });
    run.expect("the runtime starts");
}

// A host whose agent the store refuses is known only by its announcements.
#[rstest]
#[case::new_entry(Build::Current, Build::Production)]
#[case::new_agent(Build::Production, Build::Current)]
fn a_host_that_the_store_refuses_is_announced_to_the_other_build(
    #[case] entry: Build,
    #[case] agent: Build,
) {
    let run = runtime::run(async {
        let mut site = Site::start();
        site.agent_store.set_refusing(true);
        let (_entry, _agent) = site.serve(entry, agent).await;
        assert!(site.entry_store.keys("shallotcross/hosts/").is_empty());
    });
    run.expect("the runtime starts");
}

/// Submits a job, stops a process as planned while its tasks run, and checks that it is answered.
async fn check_planned_stop(site: &mut Site, entry: &Entry, stopped: &Process) {
    let starts = site.ledger.borrow().starts;
    let id = site.new_id();
    let ledger = site.ledger.clone();
    let body = job(2, LONG_TASK_MS);
    let stop = async {
        wait_until("the tasks run", async || {
            ledger.borrow().starts >= starts + 2
        })
        .await;
        stopped.signal("TERM");
    };
    let (status, ()) = futures::join!(entry.status_of(&id, &body), stop);
    assert_eq!(status, Some(200));
    assert_eq!(site.ledger.borrow().starts, starts + 2);
}

#[rstest]
#[case::new_entry(Build::Current, Build::Production)]
#[case::new_agent(Build::Production, Build::Current)]
fn a_planned_stop_of_an_agent_cuts_no_job(#[case] entry: Build, #[case] agent: Build) {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (entry, mut stopped) = site.serve(entry, agent).await;
        check_planned_stop(&mut site, &entry, &stopped).await;
        wait_until("the agent ends", async || stopped.has_exited()).await;
        let _agent = site.agent(agent);
        site.wait_until_answered(&entry, 200).await;
        site.assert_no_violations();
    });
    run.expect("the runtime starts");
}

#[rstest]
#[case::new_entry(Build::Current, Build::Production)]
#[case::new_agent(Build::Production, Build::Current)]
fn a_planned_stop_of_an_entry_cuts_no_job(#[case] entry: Build, #[case] agent: Build) {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (entry, _agent) = site.serve(entry, agent).await;
        check_planned_stop(&mut site, &entry, &entry.process).await;
        site.assert_no_violations();
    });
    run.expect("the runtime starts");
}

// Runs that one build has started go on at the target while the other build takes the place of its
// agent: none may start a second time, and each job gets its answer.
#[rstest]
#[case::planned("TERM")]
#[case::killed("KILL")]
fn an_agent_takes_the_place_of_one_of_the_other_build(#[case] signal: &str) {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (entry, mut agent) = site.serve(Build::Production, Build::Production).await;
        for build in [Build::Current, Build::Production] {
            let starts = site.ledger.borrow().starts;
            let id = site.new_id();
            let ledger = site.ledger.clone();
            let body = job(2, LONG_TASK_MS);
            let folder = site.path().to_owned();
            let replace = async {
                wait_until("the tasks run", async || {
                    ledger.borrow().starts >= starts + 2
                })
                .await;
                agent.signal(signal);
                wait_until("the agent ends", async || agent.has_exited()).await;
                agent = restart_agent_of(build, &folder);
            };
            let (status, ()) = futures::join!(entry.status_of(&id, &body), replace);
            let is_answered = matches!(status, Some(200 | 503 | 504));
            assert!(
                is_answered && (signal == "KILL" || status == Some(200)),
                "{status:?}"
            );
            site.serve_jobs(&entry).await;
        }
        site.assert_no_violations();
    });
    run.expect("the runtime starts");
}

// Every machine is replaced one after the other, and the upgrade is taken back.
#[test]
fn a_system_serves_at_every_step_of_an_upgrade_and_of_its_return() {
    let run = runtime::run(async {
        let mut site = Site::start();
        let old = Build::Production;
        let mut entries = [0, 1].map(|number| site.entry(old, number));
        let mut agent = site.agent(old);
        for (build, replaced) in [
            (Build::Current, 0),
            (Build::Current, AGENT),
            (Build::Current, 1),
            (Build::Production, AGENT),
            (Build::Production, 1),
            (Build::Production, 0),
        ] {
            for entry in &entries {
                site.serve_jobs(entry).await;
            }
            let process = match replaced {
                AGENT => &mut agent,
                number => &mut entries[number].process,
            };
            process.signal("TERM");
            wait_until("the process ends", async || process.has_exited()).await;
            match replaced {
                AGENT => agent = site.agent(build),
                number => entries[number] = site.entry(build, number),
            }
        }
        for entry in &entries {
            site.serve_jobs(entry).await;
        }
        site.assert_no_violations();
    });
    run.expect("the runtime starts");
}
