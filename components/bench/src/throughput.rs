//! Tasks per second through one entry, and the CPU time of each kind of process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;

use futures::future::join_all;
use hdrhistogram::Histogram;
use runtime::monotonic_us;
use web::Client;

use crate::BenchResult;
use crate::client::{send, submission_request};
use crate::report::{Column, Report, column, rounded};
use crate::system::{System, SystemSize};
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

/// Parameters of the benchmark.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Duration of each measurement, in seconds.
    pub seconds: u64,
    /// Number of agents.
    pub agents: usize,
    /// Connections per client thread, each with one job in flight.
    pub connections: usize,
    /// Number of client threads.
    pub threads: usize,
    /// Numbers of tasks per job, each measured separately.
    pub job_sizes: Vec<usize>,
}

/// Results of the load as seen by the clients.
struct LoadResult {
    /// Jobs answered with 200.
    jobs: u64,
    /// Jobs answered with another status.
    refused: u64,
    /// Latencies of the jobs answered with 200, in microseconds.
    latencies_us: Histogram<u64>,
}

impl LoadResult {
    fn new() -> BenchResult<Self> {
        Ok(Self {
            jobs: 0,
            refused: 0,
            latencies_us: Histogram::new(3)?,
        })
    }

    fn add(&mut self, other: &Self) -> BenchResult<()> {
        self.jobs += other.jobs;
        self.refused += other.refused;
        self.latencies_us.add(&other.latencies_us)?;
        Ok(())
    }
}

/// Usage of all processes at a point in time.
struct Snapshot {
    at_us: u64,
    entry: Usage,
    agents: Vec<Usage>,
    targets: Vec<Usage>,
    client: Usage,
}

impl Snapshot {
    fn take(system: &System) -> BenchResult<Self> {
        let read = |ids: Vec<u32>| ids.into_iter().map(Usage::read).collect::<BenchResult<_>>();
        Ok(Self {
            at_us: monotonic_us(),
            entry: Usage::read(system.entries[0].process.id())?,
            agents: read(system.agent_process_ids())?,
            targets: read(system.target_process_ids())?,
            client: Usage::read_own()?,
        })
    }
}

/// Measures each job size on a new system.
pub fn run(settings: &Settings, report: &mut Report) -> BenchResult<()> {
    let title = format!(
        "Throughput through one entry, {} agents, {} client threads of {} connections",
        settings.agents, settings.threads, settings.connections
    );
    report.print_header(&title, &COLUMNS);
    for &job_tasks in &settings.job_sizes {
        measure(settings, job_tasks, report)?;
    }
    Ok(())
}

fn measure(settings: &Settings, job_tasks: usize, report: &mut Report) -> BenchResult<()> {
    let size = SystemSize {
        entries: 1,
        agents: settings.agents,
        slots: 64,
    };
    let system = System::start(size)?;
    runtime::run(system.wait_until_ready())??;
    let entry = system.entries[0].callers;
    // Warms up the entry's estimates of run times, since the tasks declare a run time of 0 ms.
    generate_load(settings, entry, job_tasks, "warm", 1)?;
    let before = Snapshot::take(&system)?;
    let load = generate_load(settings, entry, job_tasks, "job", settings.seconds)?;
    let after = Snapshot::take(&system)?;
    print_row(report, job_tasks, &load, &before, &after)
}

/// Submits jobs on all client threads for some seconds; returns the sum of the results.
fn generate_load(
    settings: &Settings,
    entry: SocketAddr,
    job_tasks: usize,
    prefix: &str,
    seconds: u64,
) -> BenchResult<LoadResult> {
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
    let mut total = LoadResult::new()?;
    for thread in threads {
        let load = thread.join().map_err(|_| "a client thread panicked")??;
        total.add(&load)?;
    }
    Ok(total)
}

/// Submits jobs on the connections of one client thread.
async fn run_client(
    entry: SocketAddr,
    connections: usize,
    job_tasks: usize,
    prefix: &str,
    seconds: u64,
) -> BenchResult<LoadResult> {
    let client = Rc::new(Client::new(entry, connections));
    let until_us = monotonic_us() + seconds * 1_000_000;
    let submitters = (0..connections).map(|number| {
        let prefix = format!("{prefix}-{number}");
        submit_until(Rc::clone(&client), prefix, job_tasks, until_us)
    });
    let mut total = LoadResult::new()?;
    for load in join_all(submitters).await {
        total.add(&load?)?;
    }
    Ok(total)
}

/// Submits jobs one after another until a point in time.
async fn submit_until(
    client: Rc<Client>,
    prefix: String,
    job_tasks: usize,
    until_us: u64,
) -> BenchResult<LoadResult> {
    let mut load = LoadResult::new()?;
    let mut number = 0;
    while monotonic_us() < until_us {
        let request = submission_request(&format!("{prefix}-{number}"), job_tasks, 0);
        let started_us = monotonic_us();
        let status = send(&client, &request).await?;
        number += 1;
        if status == 200 {
            load.jobs += 1;
            load.latencies_us.record(monotonic_us() - started_us)?;
        } else {
            load.refused += 1;
        }
    }
    Ok(load)
}

fn print_row(
    report: &mut Report,
    job_tasks: usize,
    load: &LoadResult,
    before: &Snapshot,
    after: &Snapshot,
) -> BenchResult<()> {
    let elapsed_us = (after.at_us - before.at_us) as f64;
    let percent = |cpu_us: u64| rounded(cpu_us as f64 * 100.0 / elapsed_us, 1);
    let tasks = (load.jobs * job_tasks as u64) as f64;
    let per_task = |cpu_us: u64| rounded(cpu_us as f64 / tasks, 1);
    let entry_us = after.entry.cpu_us_since(&before.entry);
    let agents_us = cpu_us_differences(&before.agents, &after.agents);
    let targets_us = cpu_us_differences(&before.targets, &after.targets);
    let busiest = |all_us: &[u64]| percent(all_us.iter().copied().max().unwrap_or(0));
    let quantile_ms = |quantile| {
        rounded(
            load.latencies_us.value_at_quantile(quantile) as f64 / 1e3,
            2,
        )
    };
    let values = vec![
        job_tasks.into(),
        rounded(load.jobs as f64 * 1e6 / elapsed_us, 0),
        rounded(tasks * 1e6 / elapsed_us, 0),
        load.refused.into(),
        quantile_ms(0.5),
        quantile_ms(0.99),
        percent(entry_us),
        percent(after.entry.run_queue_wait_us_since(&before.entry)),
        busiest(&agents_us),
        busiest(&targets_us),
        percent(after.client.cpu_us_since(&before.client)),
        per_task(entry_us),
        per_task(agents_us.iter().sum()),
        per_task(targets_us.iter().sum()),
        rounded(after.entry.resident_bytes as f64 / 1e6, 1),
    ];
    report.add_row("throughput", &COLUMNS, values)
}

/// Returns the CPU time of each process between two snapshots, in microseconds.
fn cpu_us_differences(before: &[Usage], after: &[Usage]) -> Vec<u64> {
    let pairs = after.iter().zip(before);
    pairs
        .map(|(after, before)| after.cpu_us_since(before))
        .collect()
}
