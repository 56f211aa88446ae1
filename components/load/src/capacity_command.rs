//! The `capacity` command: estimates the control-plane load of a fleet from measured costs.

use load::contender::Contender;
use load::cost::{Bench, JOB_TASKS};
use load::deployment::Deployment;
use load::experiment;
use load::scenarios::ScenarioName;
use load::workload;
use model::{HEARTBEAT_INTERVAL_MS, RETENTION_MS};

use crate::cost_command::{self, MemoryCost, TaskCost};

/// Workers of the fleet, each with a target and an agent.
const WORKERS: u64 = 760;

/// Task starts per second in the whole fleet.
const STARTS_PER_S: f64 = 42_000.0;

/// Number of firms; with own targets, each has an equal part of the workers.
const FIRMS: u64 = 26;

/// Entries: two in each of twelve failure domains, four domains per region.
const ENTRIES: u64 = 24;

/// Heartbeat intervals over which the cost of heartbeats is averaged.
const MEASURED_INTERVALS: u64 = 100;

/// Highest rate of announcements from an agent to each entry, per second.
const ANNOUNCEMENTS_PER_S: f64 = 0.5;

/// Size of an announcement, in bytes.
const ANNOUNCEMENT_BYTES: f64 = 200.0;

/// Numbers of shards per firm for which heartbeats are estimated.
const SHARD_COUNTS: [u64; 3] = [1, 2, 24];

/// Cost of a heartbeat and its answer.
struct HeartbeatCost {
    entry_ns: f64,
    agent_ns: f64,
    bytes: f64,
}

/// Messages per task, in both directions.
struct TaskTraffic {
    envelopes: f64,
    bytes: f64,
}

/// Prints the estimates as a table.
pub fn run() {
    let firm_agents = (WORKERS / FIRMS) as usize;
    let own = cost_command::task_cost(firm_agents);
    let shared = cost_command::task_cost(WORKERS as usize);
    let memory = cost_command::memory_cost();
    let heartbeat = heartbeat_cost(WORKERS as usize);
    println!(
        "{WORKERS} workers, {STARTS_PER_S} starts/s, {FIRMS} firms, {ENTRIES} entries in 12 \
         failure domains of 3 regions.\n"
    );
    println!("| figure | for each entry | for each agent |\n|---|---|---|");
    print_traffic(&task_traffic());
    print_tasks("own targets", &own);
    print_tasks("shared targets", &shared);
    for shards in SHARD_COUNTS {
        print_heartbeats(shards, &heartbeat);
    }
    let per_entry = WORKERS as f64 * ANNOUNCEMENTS_PER_S;
    let per_agent = ENTRIES as f64 * ANNOUNCEMENTS_PER_S;
    println!(
        "| announcements/s (bytes/s) | {per_entry:.0} ({:.0}) | {per_agent:.0} ({:.0}) |",
        per_entry * ANNOUNCEMENT_BYTES,
        per_agent * ANNOUNCEMENT_BYTES,
    );
    print_records(&memory);
}

/// Measures the messages per task in a run at 80% of the capacity.
fn task_traffic() -> TaskTraffic {
    let scenario = ScenarioName::Load80.scenario(Deployment::Vembanad);
    let run = experiment::run(&scenario, "chosen", &Contender::Chosen.policy(), 1);
    let tally = &run.tally;
    let tasks = run.started_tasks.max(1) as f64;
    TaskTraffic {
        envelopes: (tally.envelopes() - tally.heartbeat_only) as f64 / tasks,
        bytes: (tally.to_agents_bytes + tally.to_owners_bytes) as f64 / tasks,
    }
}

fn print_traffic(traffic: &TaskTraffic) {
    let per_entry = STARTS_PER_S / ENTRIES as f64;
    let per_agent = STARTS_PER_S / WORKERS as f64;
    println!("| starts/s | {per_entry:.0} | {per_agent:.0} |");
    println!(
        "| task envelopes/s (bytes/s) | {:.0} ({:.0}) | {:.0} ({:.0}) |",
        per_entry * traffic.envelopes,
        per_entry * traffic.bytes,
        per_agent * traffic.envelopes,
        per_agent * traffic.bytes,
    );
}

fn print_tasks(name: &str, cost: &TaskCost) {
    let per_entry = STARTS_PER_S / ENTRIES as f64;
    let per_agent = STARTS_PER_S / WORKERS as f64;
    println!(
        "| decisions, % of a CPU, {name} | {:.2} | {:.3} |",
        per_entry * cost.dispatcher_ns_per_task / 1e7,
        per_agent * cost.agent_ns_per_task / 1e7,
    );
}

fn print_heartbeats(shards: u64, heartbeat: &HeartbeatCost) {
    let owners = shards.min(ENTRIES) as f64;
    let heartbeats_per_s = 1_000.0 / HEARTBEAT_INTERVAL_MS as f64;
    let per_agent = 2.0 * heartbeats_per_s * owners;
    let per_entry = per_agent * WORKERS as f64 / ENTRIES as f64;
    println!(
        "| heartbeat envelopes/s (bytes/s; % of a CPU), {shards} shards per firm \
         | {per_entry:.0} ({:.0}; {:.2}) | {per_agent:.0} ({:.0}; {:.3}) |",
        per_entry * heartbeat.bytes / 2.0,
        per_entry * heartbeat.entry_ns / 2.0 / 1e7,
        per_agent * heartbeat.bytes / 2.0,
        per_agent * heartbeat.agent_ns / 2.0 / 1e7,
    );
}

fn print_records(memory: &MemoryCost) {
    let mean_tasks = workload::mean_tasks();
    let retention_s = RETENTION_MS as f64 / 1e3;
    let jobs = STARTS_PER_S / mean_tasks * retention_s / ENTRIES as f64;
    let tasks = STARTS_PER_S / WORKERS as f64 * retention_s;
    // The size of a job's record is scaled with the number of its tasks.
    let entry_bytes = jobs * memory.entry_record_bytes * (mean_tasks / f64::from(JOB_TASKS));
    println!(
        "| records in {retention_s:.0} s (bytes) | {jobs:.0} jobs of {mean_tasks:.1} tasks \
         ({entry_bytes:.0}) | {tasks:.0} tasks ({:.0}) |",
        tasks * memory.agent_record_bytes_per_task,
    );
    println!(
        "| views of agents, bytes | {:.0} | |",
        WORKERS as f64 * memory.agent_bytes
    );
}

fn heartbeat_cost(agents: usize) -> HeartbeatCost {
    let mut bench = Bench::new(agents);
    bench.take_timing();
    for _ in 0..MEASURED_INTERVALS {
        bench.advance_us(HEARTBEAT_INTERVAL_MS * 1_000);
    }
    let timing = bench.take_timing();
    let heartbeats = (timing.envelopes / 2).max(1) as f64;
    HeartbeatCost {
        entry_ns: timing.dispatcher_ns as f64 / heartbeats,
        agent_ns: timing.agents_ns as f64 / heartbeats,
        bytes: (timing.to_agents_bytes + timing.to_entry_bytes) as f64 / heartbeats,
    }
}
