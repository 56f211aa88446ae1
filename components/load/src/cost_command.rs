//! The `cost` command: measures CPU time, allocations and memory.

use load::cost::{Bench, JOB_TASKS, Timing};
use serde::Serialize;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, Stats, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Numbers of agents with which the cost of a task is measured.
const AGENT_COUNTS: [usize; 4] = [11, 60, 200, 760];

/// Least number of tasks over which times are averaged.
const MEASURED_TASKS: u64 = 20_000;

/// Warmup rounds before the measurement.
const WARMUP_ROUNDS: u64 = 20;

/// Number of jobs over which memory is averaged.
const MEMORY_JOBS: u64 = 20_000;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Cost of a task with a number of agents.
#[derive(Debug, Serialize)]
pub struct TaskCost {
    pub agents: usize,
    pub dispatcher_ns_per_task: f64,
    pub agent_ns_per_task: f64,
    dispatcher_ns_per_call: f64,
    allocations_per_task: f64,
    envelopes_per_task: f64,
    to_agents_bytes_per_task: f64,
    to_entry_bytes_per_task: f64,
}

/// Memory use by kind of record.
#[derive(Debug, Serialize)]
pub struct MemoryCost {
    /// Bytes of a waiting job at the entry.
    pub job_bytes: f64,
    /// Resident bytes of a waiting job at the entry.
    pub job_resident_bytes: f64,
    /// Bytes of the record of an answered job at the entry.
    pub entry_record_bytes: f64,
    /// Bytes of the records of a job at agents, for each task.
    pub agent_record_bytes_per_task: f64,
    /// Bytes of an agent at the entry.
    pub agent_bytes: f64,
}

/// Prints the cost of tasks and the memory use, as tables or as lines of JSON.
pub fn run(json: bool) {
    let costs: Vec<TaskCost> = AGENT_COUNTS.iter().map(|&count| task_cost(count)).collect();
    let memory = memory_cost();
    if json {
        for cost in &costs {
            println!("{}", load::report::json_line(cost));
        }
        println!("{}", load::report::json_line(&memory));
        return;
    }
    println!(
        "| agents | dispatcher ns/task | agent ns/task | dispatcher ns/call | allocations/task \
         | envelopes/task | bytes/task to agents | to the entry |\n|---|---|---|---|---|---|---|---|"
    );
    for cost in &costs {
        println!(
            "| {} | {:.0} | {:.0} | {:.0} | {:.1} | {:.2} | {:.0} | {:.0} |",
            cost.agents,
            cost.dispatcher_ns_per_task,
            cost.agent_ns_per_task,
            cost.dispatcher_ns_per_call,
            cost.allocations_per_task,
            cost.envelopes_per_task,
            cost.to_agents_bytes_per_task,
            cost.to_entry_bytes_per_task,
        );
    }
    println!(
        "\nMemory in bytes, for jobs of {JOB_TASKS} tasks with payloads of 200 bytes: {memory:#?}"
    );
}

/// Measures the cost of a task with a number of agents.
pub fn task_cost(agents: usize) -> TaskCost {
    let mut bench = Bench::new(agents);
    let jobs = (agents as u64 * 8 / (2 * u64::from(JOB_TASKS))).max(1);
    for _ in 0..WARMUP_ROUNDS {
        bench.round(jobs);
    }
    bench.take_timing();
    let region = Region::new(ALLOCATOR);
    let mut tasks = 0;
    while tasks < MEASURED_TASKS {
        bench.round(jobs);
        tasks += jobs * u64::from(JOB_TASKS);
    }
    let change = region.change();
    let timing: Timing = bench.take_timing();
    let per_task = |value: u64| value as f64 / timing.tasks.max(1) as f64;
    TaskCost {
        agents,
        dispatcher_ns_per_task: per_task(timing.dispatcher_ns),
        agent_ns_per_task: per_task(timing.agents_ns),
        dispatcher_ns_per_call: timing.dispatcher_ns as f64 / timing.dispatcher_calls as f64,
        allocations_per_task: per_task((change.allocations + change.reallocations) as u64),
        envelopes_per_task: per_task(timing.envelopes),
        to_agents_bytes_per_task: per_task(timing.to_agents_bytes),
        to_entry_bytes_per_task: per_task(timing.to_entry_bytes),
    }
}

/// Measures the memory use of jobs, records and agents.
pub fn memory_cost() -> MemoryCost {
    let (few, many) = (AGENT_COUNTS[1], AGENT_COUNTS[3]);
    let few_bytes = entry_bytes(few);
    let many_bytes = entry_bytes(many);
    let mut bench = Bench::new(few);
    let (resident, region) = (resident_bytes(), Region::new(ALLOCATOR));
    bench.submit_waiting(MEMORY_JOBS);
    let job_bytes = live_bytes(&region.change()) as f64 / MEMORY_JOBS as f64;
    let job_resident = resident_bytes().saturating_sub(resident) as f64 / MEMORY_JOBS as f64;
    let before = Region::new(ALLOCATOR);
    let mut done = Bench::new(few);
    for _ in 0..MEMORY_JOBS / 20 {
        done.round(20);
    }
    let all_bytes = live_bytes(&before.change());
    let agents = Region::new(ALLOCATOR);
    done.drop_agents();
    let agents_bytes = -live_bytes(&agents.change());
    MemoryCost {
        job_bytes,
        job_resident_bytes: job_resident,
        entry_record_bytes: (all_bytes - agents_bytes - few_bytes) as f64 / MEMORY_JOBS as f64,
        agent_record_bytes_per_task: agents_bytes as f64
            / (MEMORY_JOBS * u64::from(JOB_TASKS)) as f64,
        agent_bytes: (many_bytes - few_bytes) as f64 / (many - few) as f64,
    }
}

/// Returns the live bytes of an entry that knows a number of agents.
fn entry_bytes(agents: usize) -> i64 {
    let region = Region::new(ALLOCATOR);
    let mut bench = Bench::new(agents);
    bench.drop_agents();
    live_bytes(&region.change())
}

fn live_bytes(change: &Stats) -> i64 {
    let allocated = change.bytes_allocated as i64;
    allocated - change.bytes_deallocated as i64
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
