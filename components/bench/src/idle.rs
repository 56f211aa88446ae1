//! CPU time, memory and control traffic of processes while no jobs are submitted.

use std::thread;
use std::time::Duration;

use runtime::monotonic_us;
use serde_json::Value;

use crate::BenchResult;
use crate::client::{agent_state, entry_state};
use crate::report::{Column, Report, column, rounded};
use crate::system::{System, SystemSize};
use crate::usage::Usage;

const COLUMNS: [Column; 9] = [
    column("entries", "entries"),
    column("agents", "agents"),
    column("process", "process"),
    column("CPU %", "cpu_percent"),
    column("waits/s", "waits_per_s"),
    column("memory MB", "resident_megabytes"),
    column("sent B/s", "sent_bytes_per_s"),
    column("received B/s", "received_bytes_per_s"),
    column("calls/s", "frames_sent_per_s"),
];

/// Time for the announcements after the start to end before the measurement, in milliseconds.
const SETTLE_TIME_MS: u64 = 2_000;

/// Parameters of the benchmark.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Duration of each measurement, in seconds.
    pub seconds: u64,
    /// Numbers of agents, each measured with `FIXED_ENTRIES` entries.
    pub agents: Vec<usize>,
    /// Numbers of entries, each measured with `FIXED_AGENTS` agents.
    pub entries: Vec<usize>,
}

/// Number of entries while the number of agents varies.
const FIXED_ENTRIES: usize = 2;

/// Number of agents while the number of entries varies.
const FIXED_AGENTS: usize = 11;

/// Usage and traffic of a process since its start.
#[derive(Debug, Default, Clone, Copy)]
struct ProcessSample {
    at_us: u64,
    usage: Usage,
    sent_bytes: u64,
    received_bytes: u64,
    sent_frames: u64,
}

/// Samples of all processes, by kind.
struct SystemSample {
    /// The entry that owns the shard.
    owner: ProcessSample,
    other_entries: Vec<ProcessSample>,
    agents: Vec<ProcessSample>,
}

/// Measures each size on a new system.
pub fn run(settings: &Settings, report: &mut Report) -> BenchResult<()> {
    report.print_header(
        "Idle processes; agents and other entries: mean of each",
        &COLUMNS,
    );
    let of_agents = settings
        .agents
        .iter()
        .map(|&agents| (FIXED_ENTRIES, agents));
    let of_entries = settings
        .entries
        .iter()
        .map(|&entries| (entries, FIXED_AGENTS));
    let mut sizes: Vec<(usize, usize)> = of_agents.chain(of_entries).collect();
    sizes.dedup();
    for (entries, agents) in sizes {
        measure(entries, agents, settings.seconds, report)?;
    }
    Ok(())
}

fn measure(entries: usize, agents: usize, seconds: u64, report: &mut Report) -> BenchResult<()> {
    let size = SystemSize {
        entries,
        agents,
        slots: 8,
    };
    let system = System::start(size)?;
    let owner = runtime::run(system.wait_until_ready())??;
    thread::sleep(Duration::from_millis(SETTLE_TIME_MS));
    let before = runtime::run(sample_system(&system, owner))??;
    thread::sleep(Duration::from_secs(seconds));
    let after = runtime::run(sample_system(&system, owner))??;
    let kinds = [
        ("owner", vec![before.owner], vec![after.owner]),
        ("other entry", before.other_entries, after.other_entries),
        ("agent", before.agents, after.agents),
    ];
    for (kind, before, after) in kinds {
        if !after.is_empty() {
            print_row(report, (entries, agents), kind, &before, &after)?;
        }
    }
    Ok(())
}

async fn sample_system(system: &System, owner: usize) -> BenchResult<SystemSample> {
    let mut samples = SystemSample {
        owner: ProcessSample::default(),
        other_entries: Vec::new(),
        agents: Vec::new(),
    };
    for (position, entry) in system.entries.iter().enumerate() {
        let state = entry_state(entry.callers).await?;
        let sample = ProcessSample::new(entry.process.id(), &state)?;
        if position == owner {
            samples.owner = sample;
        } else {
            samples.other_entries.push(sample);
        }
    }
    for host in &system.hosts {
        let state = agent_state(host.announce).await?;
        samples
            .agents
            .push(ProcessSample::new(host.agent.id(), &state)?);
    }
    Ok(samples)
}

impl ProcessSample {
    fn new(process: u32, state: &Value) -> BenchResult<Self> {
        let traffic = &state["traffic"];
        let count = |name: &str| {
            traffic[name]
                .as_u64()
                .ok_or("the state lacks a traffic counter")
        };
        Ok(Self {
            at_us: monotonic_us(),
            usage: Usage::read(process)?,
            sent_bytes: count("sent_bytes")?,
            received_bytes: count("received_bytes")?,
            sent_frames: count("sent_frames")?,
        })
    }
}

/// Prints the mean of the processes of one kind.
fn print_row(
    report: &mut Report,
    (entries, agents): (usize, usize),
    kind: &str,
    before: &[ProcessSample],
    after: &[ProcessSample],
) -> BenchResult<()> {
    let mean = |rate: &dyn Fn(&ProcessSample, &ProcessSample) -> f64| {
        let rates = before
            .iter()
            .zip(after)
            .map(|(before, after)| rate(before, after));
        rates.sum::<f64>() / after.len() as f64
    };
    let per_s = |count: &dyn Fn(&ProcessSample) -> u64| {
        mean(&|before, after| {
            let elapsed_s = (after.at_us - before.at_us) as f64 / 1e6;
            (count(after) - count(before)) as f64 / elapsed_s
        })
    };
    let values = vec![
        entries.into(),
        agents.into(),
        kind.into(),
        rounded(per_s(&|sample| sample.usage.cpu_us) / 1e4, 3),
        rounded(per_s(&|sample| sample.usage.voluntary_switches), 0),
        rounded(mean(&|_, after| after.usage.resident_bytes as f64) / 1e6, 1),
        rounded(per_s(&|sample| sample.sent_bytes), 0),
        rounded(per_s(&|sample| sample.received_bytes), 0),
        rounded(per_s(&|sample| sample.sent_frames), 1),
    ];
    report.add_row("idle", &COLUMNS, values)
}
