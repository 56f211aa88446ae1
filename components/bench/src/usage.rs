//! Processor time, memory and wake-ups of processes, from `/proc`.

use std::fs;

use crate::Outcome;

/// Unit of the times in `/proc/self/stat`, in microseconds.
const TICK_US: u64 = 10_000;

/// Position of the user time after the name of the program; the system time follows.
const USER_TICKS_FIELD: usize = 11;

/// What a process has used so far.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all threads, in microseconds.
    pub cpu_us: u64,
    /// Time for which threads were ready and waited for a processor, in microseconds.
    pub delayed_us: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Voluntary context switches of the main thread.
    pub waits: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended or `/proc` has another form.
    pub fn read(process: u32) -> Outcome<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let (cpu_us, delayed_us) = scheduled_us(process)?;
        Ok(Self {
            cpu_us,
            delayed_us,
            resident_bytes: field(&status, "VmRSS:")? * 1024,
            waits: field(&status, "voluntary_ctxt_switches:")?,
        })
    }

    /// Reads the usage of this process, with that of threads that have ended.
    ///
    /// # Errors
    ///
    /// Fails if `/proc` has another form.
    pub fn read_own() -> Outcome<Self> {
        let stat = fs::read_to_string("/proc/self/stat")?;
        // The name of the program, in parentheses, may hold spaces.
        let (_, fields) = stat.rsplit_once(')').ok_or("no name in /proc/self/stat")?;
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

    /// Returns the processor time since an earlier reading, in microseconds.
    pub fn cpu_us_since(&self, earlier: &Self) -> u64 {
        self.cpu_us.saturating_sub(earlier.cpu_us)
    }

    /// Returns the time ready without a processor since an earlier reading, in microseconds.
    pub fn delayed_us_since(&self, earlier: &Self) -> u64 {
        self.delayed_us.saturating_sub(earlier.delayed_us)
    }
}

/// Sums the time that the threads ran and waited to run; `schedstat` holds nanoseconds.
fn scheduled_us(process: u32) -> Outcome<(u64, u64)> {
    let (mut ran_ns, mut waited_ns) = (0, 0);
    for task in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        let mut words = text.split_whitespace().map(str::parse::<u64>);
        ran_ns += words.next().ok_or("schedstat is empty")??;
        waited_ns += words.next().ok_or("schedstat is short")??;
    }
    Ok((ran_ns / 1_000, waited_ns / 1_000))
}

fn field(status: &str, name: &str) -> Outcome<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let word = line.and_then(|line| line.split_whitespace().next());
    Ok(word.ok_or_else(|| format!("no {name} in /proc"))?.parse()?)
}
