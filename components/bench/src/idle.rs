//! Processor time, memory and control traffic of processes without work.

use std::thread;
use std::time::Duration;

use runtime::monotonic_us;
use serde_json::Value;

use crate::Outcome;
use crate::client::{get_agent_state, get_state};
use crate::report::{Column, Report, column, rounded};
use crate::system::{Size, System};
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

/// Time in which the announcements of the start settle, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// Sizes of the systems.
#[derive(Debug, Clone)]
pub struct Settings {
    pub seconds: u64,
    pub agents: Vec<usize>,
    pub entries: Vec<usize>,
}

/// Number of entries beside which the agents vary.
const ENTRIES: usize = 2;

/// Number of agents beside which the entries vary.
const AGENTS: usize = 11;

/// What a process has used and sent so far.
#[derive(Debug, Default, Clone, Copy)]
struct Reading {
    at_us: u64,
    usage: Usage,
    sent_bytes: u64,
    received_bytes: u64,
    sent_frames: u64,
}

/// Readings of all processes, by kind.
struct Readings {
    owner: Reading,
    others: Vec<Reading>,
    agents: Vec<Reading>,
}

/// Measures each size with a system of its own.
pub fn run(settings: &Settings, report: &mut Report) -> Outcome<()> {
    report.head(
        "Idle processes; agents and other entries: mean of each",
        &COLUMNS,
    );
    let of_agents = settings.agents.iter().map(|&agents| (ENTRIES, agents));
    let of_entries = settings.entries.iter().map(|&entries| (entries, AGENTS));
    let mut sizes: Vec<(usize, usize)> = of_agents.chain(of_entries).collect();
    sizes.dedup();
    for (entries, agents) in sizes {
        measure(entries, agents, settings.seconds, report)?;
    }
    Ok(())
}

fn measure(entries: usize, agents: usize, seconds: u64, report: &mut Report) -> Outcome<()> {
    let size = Size {
        entries,
        agents,
        slots: 8,
    };
    let system = System::start(size)?;
    let owner = runtime::run(system.wait_until_served())??;
    thread::sleep(Duration::from_millis(SETTLE_MS));
    let before = runtime::run(read_all(&system, owner))??;
    thread::sleep(Duration::from_secs(seconds));
    let after = runtime::run(read_all(&system, owner))??;
    let kinds = [
        ("owner", vec![before.owner], vec![after.owner]),
        ("other entry", before.others, after.others),
        ("agent", before.agents, after.agents),
    ];
    for (kind, before, after) in kinds {
        if !after.is_empty() {
            print(report, (entries, agents), kind, &before, &after)?;
        }
    }
    Ok(())
}

async fn read_all(system: &System, owner: usize) -> Outcome<Readings> {
    let mut readings = Readings {
        owner: Reading::default(),
        others: Vec::new(),
        agents: Vec::new(),
    };
    for (position, entry) in system.entries.iter().enumerate() {
        let state = get_state(entry.callers).await?;
        let reading = Reading::new(entry.process.id(), &state)?;
        if position == owner {
            readings.owner = reading;
        } else {
            readings.others.push(reading);
        }
    }
    for host in &system.hosts {
        let state = get_agent_state(host.announce).await?;
        readings.agents.push(Reading::new(host.agent.id(), &state)?);
    }
    Ok(readings)
}

impl Reading {
    fn new(process: u32, state: &Value) -> Outcome<Self> {
        let traffic = &state["traffic"];
        let count = |name: &str| traffic[name].as_u64().ok_or("the state holds no traffic");
        Ok(Self {
            at_us: monotonic_us(),
            usage: Usage::read(process)?,
            sent_bytes: count("sent_bytes")?,
            received_bytes: count("received_bytes")?,
            sent_frames: count("sent_frames")?,
        })
    }
}

fn print(
    report: &mut Report,
    (entries, agents): (usize, usize),
    kind: &str,
    before: &[Reading],
    after: &[Reading],
) -> Outcome<()> {
    let mean = |rate: &dyn Fn(&Reading, &Reading) -> f64| {
        let rates = before
            .iter()
            .zip(after)
            .map(|(before, after)| rate(before, after));
        rates.sum::<f64>() / after.len() as f64
    };
    let per_s = |count: &dyn Fn(&Reading) -> u64| {
        mean(&|before, after| {
            let took_s = (after.at_us - before.at_us) as f64 / 1e6;
            (count(after) - count(before)) as f64 / took_s
        })
    };
    let values = vec![
        entries.into(),
        agents.into(),
        kind.into(),
        rounded(per_s(&|reading| reading.usage.cpu_us) / 1e4, 3),
        rounded(per_s(&|reading| reading.usage.waits), 0),
        rounded(mean(&|_, after| after.usage.resident_bytes as f64) / 1e6, 1),
        rounded(per_s(&|reading| reading.sent_bytes), 0),
        rounded(per_s(&|reading| reading.received_bytes), 0),
        rounded(per_s(&|reading| reading.sent_frames), 1),
    ];
    report.row("idle", &COLUMNS, values)
}
