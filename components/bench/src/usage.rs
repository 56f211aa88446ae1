//! CPU time, memory and context switches of processes, from `/proc`.

use std::fs;

use crate::BenchResult;

/// Clock tick, the unit of times in `/proc/self/stat`, in microseconds.
const TICK_US: u64 = 10_000;

/// Index of the user time among the fields after the program name; the system time follows.
const USER_TICKS_FIELD: usize = 11;

/// Resources used by a process since its start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// CPU time of the threads, in microseconds.
    pub cpu_us: u64,
    /// Time for which runnable threads waited for a CPU, in microseconds.
    pub run_queue_wait_us: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Voluntary context switches of the main thread.
    pub voluntary_switches: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended or a file in `/proc` cannot be parsed.
    pub fn read(process: u32) -> BenchResult<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let (cpu_us, run_queue_wait_us) = schedstat_us(process)?;
        Ok(Self {
            cpu_us,
            run_queue_wait_us,
            resident_bytes: status_field(&status, "VmRSS:")? * 1024,
            voluntary_switches: status_field(&status, "voluntary_ctxt_switches:")?,
        })
    }

    /// Reads the usage of this process; its CPU time includes threads that have ended.
    ///
    /// # Errors
    ///
    /// Fails if a file in `/proc` cannot be parsed.
    pub fn read_own() -> BenchResult<Self> {
        let stat = fs::read_to_string("/proc/self/stat")?;
        // The program name, in parentheses, may contain spaces.
        let (_, fields) = stat
            .rsplit_once(')')
            .ok_or("no program name in /proc/self/stat")?;
        let ticks: Vec<u64> = fields
            .split_whitespace()
            .skip(USER_TICKS_FIELD)
            .take(2)
            .map(str::parse)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            cpu_us: ticks.iter().sum::<u64>() * TICK_US,
            ..Self::read(std::process::id())?
        })
    }

    /// Returns the CPU time since an earlier reading, in microseconds.
    pub fn cpu_us_since(&self, earlier: &Self) -> u64 {
        self.cpu_us.saturating_sub(earlier.cpu_us)
    }

    /// Returns the time spent waiting for a CPU since an earlier reading, in microseconds.
    pub fn run_queue_wait_us_since(&self, earlier: &Self) -> u64 {
        self.run_queue_wait_us
            .saturating_sub(earlier.run_queue_wait_us)
    }
}

/// Returns the CPU time of the existing threads and the time for which they waited for a CPU.
///
/// Both are in microseconds; `schedstat` gives nanoseconds.
fn schedstat_us(process: u32) -> BenchResult<(u64, u64)> {
    let (mut ran_ns, mut run_queue_wait_ns) = (0, 0);
    for task in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        let mut words = text.split_whitespace().map(str::parse::<u64>);
        ran_ns += words.next().ok_or("schedstat is empty")??;
        run_queue_wait_ns += words.next().ok_or("schedstat has no wait time")??;
    }
    Ok((ran_ns / 1_000, run_queue_wait_ns / 1_000))
}

/// Returns the number after `name` in `/proc/PID/status`.
fn status_field(status: &str, name: &str) -> BenchResult<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let word = line.and_then(|line| line.split_whitespace().next());
    Ok(word
        .ok_or_else(|| format!("no {name} in /proc/PID/status"))?
        .parse()?)
}
