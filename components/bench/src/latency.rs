//! Latency of a job through an entry, compared with a direct call to the target.

use hdrhistogram::Histogram;
use runtime::monotonic_us;
use web::{Client, Request};

use crate::BenchResult;
use crate::client::{invocation_request, send, submission_request};
use crate::report::{Column, Report, column};
use crate::system::{System, SystemSize};

const COLUMNS: [Column; 7] = [
    column("run ms", "run_ms"),
    column("path", "path"),
    column("calls", "calls"),
    column("p50 µs", "p50_us"),
    column("p99 µs", "p99_us"),
    column("added p50 µs", "added_p50_us"),
    column("added p99 µs", "added_p99_us"),
];

/// Calls before the measurement, whose latency is not recorded.
const WARM_UP_CALLS: u64 = 200;

/// Maximum number of recorded calls of a measurement.
const MAX_CALLS: u64 = 5_000;

/// Size of the system; with two entries, one owns the shard and the other forwards to it.
const SIZE: SystemSize = SystemSize {
    entries: 2,
    agents: 4,
    slots: 8,
};

/// Measures one call at a time, with tasks that run for 0 ms and for 1 ms.
pub fn run(seconds: u64, report: &mut Report) -> BenchResult<()> {
    runtime::run(async {
        let system = System::start(SIZE)?;
        let owner = system.wait_until_ready().await?;
        report.print_header("Latency, one job of one task at a time", &COLUMNS);
        for run_ms in [0, 1] {
            compare_paths(&system, owner, run_ms, seconds, report).await?;
        }
        Ok(())
    })?
}

/// Measures a direct call, a job through the owner, and a job through the other entry.
async fn compare_paths(
    system: &System,
    owner: usize,
    run_ms: u64,
    seconds: u64,
    report: &mut Report,
) -> BenchResult<()> {
    let client = Client::new(system.hosts[0].target_address, 1);
    let direct_us = measure(&client, seconds, |id| invocation_request(id, run_ms)).await?;
    print_row(report, run_ms, "direct", &direct_us, &direct_us)?;
    for (path, entry) in [("owner entry", owner), ("other entry", 1 - owner)] {
        let client = Client::new(system.entries[entry].callers, 1);
        let name = format!("{run_ms}-{entry}");
        let measurement = measure(&client, seconds, |id| {
            submission_request(&format!("{name}-{id}"), 1, run_ms)
        });
        print_row(report, run_ms, path, &measurement.await?, &direct_us)?;
    }
    Ok(())
}

/// Calls until the time or the number of calls is reached; returns the latencies in microseconds.
async fn measure(
    client: &Client,
    seconds: u64,
    request: impl Fn(&str) -> Request,
) -> BenchResult<Histogram<u64>> {
    let mut latencies_us = Histogram::new(3)?;
    let until_us = monotonic_us() + seconds * 1_000_000;
    for number in 0..WARM_UP_CALLS + MAX_CALLS {
        let request = request(&number.to_string());
        let started_us = monotonic_us();
        if started_us >= until_us {
            break;
        }
        let status = send(client, &request).await?;
        if status != 200 {
            return Err(format!("the call was answered with status {status}").into());
        }
        if number >= WARM_UP_CALLS {
            latencies_us.record(monotonic_us() - started_us)?;
        }
    }
    Ok(latencies_us)
}

fn print_row(
    report: &mut Report,
    run_ms: u64,
    path: &str,
    latencies_us: &Histogram<u64>,
    direct_us: &Histogram<u64>,
) -> BenchResult<()> {
    let p50_us = latencies_us.value_at_quantile(0.5);
    let p99_us = latencies_us.value_at_quantile(0.99);
    let added_p50_us = p50_us as i64 - direct_us.value_at_quantile(0.5) as i64;
    let added_p99_us = p99_us as i64 - direct_us.value_at_quantile(0.99) as i64;
    let values = vec![
        run_ms.into(),
        path.into(),
        latencies_us.len().into(),
        p50_us.into(),
        p99_us.into(),
        added_p50_us.into(),
        added_p99_us.into(),
    ];
    report.add_row("latency", &COLUMNS, values)
}
