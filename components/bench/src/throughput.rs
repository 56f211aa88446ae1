//! Tasks per second through one entry, and the processor time of each kind of process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;

use futures::future::join_all;
use hdrhistogram::Histogram;
use runtime::monotonic_us;
use web::Client;

use crate::Outcome;
use crate::client::{send, submission};
use crate::report::{Column, Report, column, rounded};
use crate::system::{Size, System};
use crate::usage::Usage;

const COLUMNS: [Column; 15] = [
    column("tasks a job", "job_tasks"),
    column("jobs/s", "jobs_per_s"),
    column("tasks/s", "tasks_per_s"),
    column("refused", "refused"),
    column("p50 ms", "p50_ms"),
    column("p99 ms", "p99_ms"),
    column("entry %", "entry_percent"),
    column("entry delayed %", "entry_delayed_percent"),
    column("busiest agent %", "agent_percent"),
    column("busiest target %", "target_percent"),
    column("client %", "client_percent"),
    column("entry µs/task", "entry_us_per_task"),
    column("agents µs/task", "agents_us_per_task"),
    column("targets µs/task", "targets_us_per_task"),
    column("entry MB", "entry_megabytes"),
];

/// How the load is made.
#[derive(Debug, Clone)]
pub struct Settings {
    pub seconds: u64,
    pub agents: usize,
    pub connections: usize,
    pub threads: usize,
    pub job_sizes: Vec<usize>,
}

/// What the clients saw.
struct Load {
    jobs: u64,
    refused: u64,
    times: Histogram<u64>,
}

impl Load {
    fn new() -> Outcome<Self> {
        Ok(Self {
            jobs: 0,
            refused: 0,
            times: Histogram::new(3)?,
        })
    }

    fn add(&mut self, other: &Self) -> Outcome<()> {
        self.jobs += other.jobs;
        self.refused += other.refused;
        self.times.add(&other.times)?;
        Ok(())
    }
}

/// Usage of every process at one moment.
struct Snapshot {
    at_us: u64,
    entry: Usage,
    agents: Vec<Usage>,
    targets: Vec<Usage>,
    client: Usage,
}

impl Snapshot {
    fn take(system: &System) -> Outcome<Self> {
        let read = |ids: Vec<u32>| ids.into_iter().map(Usage::read).collect::<Outcome<_>>();
        Ok(Self {
            at_us: monotonic_us(),
            entry: Usage::read(system.entries[0].process.id())?,
            agents: read(system.agent_ids())?,
            targets: read(system.target_ids())?,
            client: Usage::read_own()?,
        })
    }
}

/// Measures each size of jobs with a system of its own.
pub fn run(settings: &Settings, report: &mut Report) -> Outcome<()> {
    let title = format!(
        "Throughput through one entry, {} agents, {} client threads of {} connections",
        settings.agents, settings.threads, settings.connections
    );
    report.head(&title, &COLUMNS);
    for &job_tasks in &settings.job_sizes {
        measure(settings, job_tasks, report)?;
    }
    Ok(())
}

fn measure(settings: &Settings, job_tasks: usize, report: &mut Report) -> Outcome<()> {
    let size = Size {
        entries: 1,
        agents: settings.agents,
        slots: 64,
    };
    let system = System::start(size)?;
    runtime::run(system.wait_until_served())??;
    let entry = system.entries[0].callers;
    // Teaches the entry the run times, which declarations do not tell.
    load(settings, entry, job_tasks, "warm", 1)?;
    let before = Snapshot::take(&system)?;
    let load = load(settings, entry, job_tasks, "job", settings.seconds)?;
    let after = Snapshot::take(&system)?;
    print(report, job_tasks, &load, &before, &after)
}

fn load(
    settings: &Settings,
    entry: SocketAddr,
    job_tasks: usize,
    prefix: &str,
    seconds: u64,
) -> Outcome<Load> {
    let connections = settings.connections;
    let threads: Vec<_> = (0..settings.threads)
        .map(|thread| {
            let prefix = format!("{prefix}-{thread}");
            thread::spawn(move || {
                let client = run_client(entry, connections, job_tasks, &prefix, seconds);
                runtime::run(client)
                    .map_err(|error| error.to_string())?
                    .map_err(|error| error.to_string())
            })
        })
        .collect();
    let mut total = Load::new()?;
    for thread in threads {
        let load = thread.join().map_err(|_| "a client thread panicked")??;
        total.add(&load)?;
    }
    Ok(total)
}

async fn run_client(
    entry: SocketAddr,
    connections: usize,
    job_tasks: usize,
    prefix: &str,
    seconds: u64,
) -> Outcome<Load> {
    let client = Rc::new(Client::new(entry, connections));
    let until_us = monotonic_us() + seconds * 1_000_000;
    let loops = (0..connections).map(|number| {
        let prefix = format!("{prefix}-{number}");
        submit_until(Rc::clone(&client), prefix, job_tasks, until_us)
    });
    let mut total = Load::new()?;
    for load in join_all(loops).await {
        total.add(&load?)?;
    }
    Ok(total)
}

async fn submit_until(
    client: Rc<Client>,
    prefix: String,
    job_tasks: usize,
    until_us: u64,
) -> Outcome<Load> {
    let mut load = Load::new()?;
    let mut number = 0;
    while monotonic_us() < until_us {
        let request = submission(&format!("{prefix}-{number}"), job_tasks, 0);
        let started_us = monotonic_us();
        let status = send(&client, &request).await?;
        number += 1;
        if status == 200 {
            load.jobs += 1;
            load.times.record(monotonic_us() - started_us)?;
        } else {
            load.refused += 1;
        }
    }
    Ok(load)
}

fn print(
    report: &mut Report,
    job_tasks: usize,
    load: &Load,
    before: &Snapshot,
    after: &Snapshot,
) -> Outcome<()> {
    let took_us = (after.at_us - before.at_us) as f64;
    let percent = |cpu_us: u64| rounded(cpu_us as f64 * 100.0 / took_us, 1);
    let tasks = (load.jobs * job_tasks as u64) as f64;
    let per_task = |cpu_us: u64| rounded(cpu_us as f64 / tasks, 1);
    let entry_us = after.entry.cpu_us_since(&before.entry);
    let agents_us = differences(&before.agents, &after.agents);
    let targets_us = differences(&before.targets, &after.targets);
    let busiest = |all_us: &[u64]| percent(all_us.iter().copied().max().unwrap_or(0));
    let quantile_ms = |quantile| rounded(load.times.value_at_quantile(quantile) as f64 / 1e3, 2);
    let values = vec![
        job_tasks.into(),
        rounded(load.jobs as f64 * 1e6 / took_us, 0),
        rounded(tasks * 1e6 / took_us, 0),
        load.refused.into(),
        quantile_ms(0.5),
        quantile_ms(0.99),
        percent(entry_us),
        percent(after.entry.delayed_us_since(&before.entry)),
        busiest(&agents_us),
        busiest(&targets_us),
        percent(after.client.cpu_us_since(&before.client)),
        per_task(entry_us),
        per_task(agents_us.iter().sum()),
        per_task(targets_us.iter().sum()),
        rounded(after.entry.resident_bytes as f64 / 1e6, 1),
    ];
    report.row("throughput", &COLUMNS, values)
}

fn differences(before: &[Usage], after: &[Usage]) -> Vec<u64> {
    let pairs = after.iter().zip(before);
    pairs
        .map(|(after, before)| after.cpu_us_since(before))
        .collect()
}
