//! Added latency of the path over calling the target directly.

use hdrhistogram::Histogram;
use runtime::monotonic_us;
use web::{Client, Request};

use crate::Outcome;
use crate::client::{invocation, send, submission};
use crate::report::{Column, Report, column};
use crate::system::{Size, System};

const COLUMNS: [Column; 7] = [
    column("run ms", "run_ms"),
    column("path", "path"),
    column("calls", "calls"),
    column("p50 µs", "p50_us"),
    column("p99 µs", "p99_us"),
    column("added p50 µs", "added_p50_us"),
    column("added p99 µs", "added_p99_us"),
];

/// Calls before the measurement.
const WARM_UP_CALLS: u64 = 200;

/// Most calls of a measurement.
const MAX_CALLS: u64 = 5_000;

const SIZE: Size = Size {
    entries: 2,
    agents: 4,
    slots: 8,
};

/// Measures one call at a time for tasks of no run time and of one millisecond.
pub fn run(seconds: u64, report: &mut Report) -> Outcome<()> {
    runtime::run(async {
        let system = System::start(SIZE)?;
        let owner = system.wait_until_served().await?;
        report.head("Latency, one job of one task at a time", &COLUMNS);
        for run_ms in [0, 1] {
            compare(&system, owner, run_ms, seconds, report).await?;
        }
        Ok(())
    })?
}

async fn compare(
    system: &System,
    owner: usize,
    run_ms: u64,
    seconds: u64,
    report: &mut Report,
) -> Outcome<()> {
    let direct = Client::new(system.hosts[0].target_address, 1);
    let direct = measure(&direct, seconds, |id| invocation(id, run_ms)).await?;
    print(report, run_ms, "direct", &direct, &direct)?;
    for (path, entry) in [("owner entry", owner), ("other entry", 1 - owner)] {
        let client = Client::new(system.entries[entry].callers, 1);
        let name = format!("{run_ms}-{entry}");
        let found = measure(&client, seconds, |id| {
            submission(&format!("{name}-{id}"), 1, run_ms)
        });
        print(report, run_ms, path, &found.await?, &direct)?;
    }
    Ok(())
}

async fn measure(
    client: &Client,
    seconds: u64,
    request: impl Fn(&str) -> Request,
) -> Outcome<Histogram<u64>> {
    let mut times = Histogram::new(3)?;
    let until_us = monotonic_us() + seconds * 1_000_000;
    for number in 0..WARM_UP_CALLS + MAX_CALLS {
        let request = request(&number.to_string());
        let started_us = monotonic_us();
        if started_us >= until_us {
            break;
        }
        let status = send(client, &request).await?;
        if status != 200 {
            return Err(format!("status {status}").into());
        }
        if number >= WARM_UP_CALLS {
            times.record(monotonic_us() - started_us)?;
        }
    }
    Ok(times)
}

fn print(
    report: &mut Report,
    run_ms: u64,
    path: &str,
    found: &Histogram<u64>,
    direct: &Histogram<u64>,
) -> Outcome<()> {
    let p50_us = found.value_at_quantile(0.5);
    let p99_us = found.value_at_quantile(0.99);
    let added_p50_us = p50_us as i64 - direct.value_at_quantile(0.5) as i64;
    let added_p99_us = p99_us as i64 - direct.value_at_quantile(0.99) as i64;
    let values = vec![
        run_ms.into(),
        path.into(),
        found.len().into(),
        p50_us.into(),
        p99_us.into(),
        added_p50_us.into(),
        added_p99_us.into(),
    ];
    report.row("latency", &COLUMNS, values)
}
