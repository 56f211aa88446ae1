//! The record of a case: what was sent, answered and run, and whether two runs of a task overlapped.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

/// A run of a task that is in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Place {
    executor: String,
    run: u64,
}

/// A run that has begun.
#[derive(Debug, Clone)]
pub struct Start {
    pub at_ms: u64,
    pub task: String,
    pub executor: String,
    /// Kind of the executor, one of its labels.
    pub kind: String,
}

#[derive(Default)]
struct Inner {
    lines: Vec<String>,
    running: BTreeMap<String, Vec<Place>>,
    /// Task, executor of the first run, executor of the second, when the second began.
    overlaps: Vec<(String, String, String, u64)>,
    starts: Vec<Start>,
}

pub struct Record {
    begin: Instant,
    inner: Mutex<Inner>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begin: Instant::now(),
            inner: Mutex::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now_ms = self.now_ms();
        let line = format!("{:>7.3} s  {}", now_ms as f64 / 1_000.0, text.as_ref());
        self.inner.lock().unwrap().lines.push(line);
    }

    pub fn run_began(&self, task: &str, run: u64, executor: &str, kind: &str) {
        self.line(format!("{executor} of kind {kind} runs {task} run {run}"));
        let now_ms = self.now_ms();
        let mut inner = self.inner.lock().unwrap();
        inner.starts.push(Start {
            at_ms: now_ms,
            task: task.to_owned(),
            executor: executor.to_owned(),
            kind: kind.to_owned(),
        });
        let places = inner.running.entry(task.to_owned()).or_default();
        let place = Place {
            executor: executor.to_owned(),
            run,
        };
        let others = places.clone();
        places.push(place);
        for other in others {
            let overlap = (task.to_owned(), other.executor, executor.to_owned(), now_ms);
            inner.overlaps.push(overlap);
        }
    }

    pub fn run_ended(&self, task: &str, run: u64, executor: &str, how: &str) {
        self.line(format!("{executor} ended {task} run {run}: {how}"));
        let mut inner = self.inner.lock().unwrap();
        if let Some(places) = inner.running.get_mut(task) {
            let at = places
                .iter()
                .position(|place| place.executor == executor && place.run == run);
            if let Some(at) = at {
                places.remove(at);
            }
        }
    }

    /// Returns the overlaps of two runs of one task.
    pub fn overlaps(&self) -> Vec<(String, String, String, u64)> {
        self.inner.lock().unwrap().overlaps.clone()
    }

    /// Returns the starts of tasks whose names begin with this.
    pub fn starts_of(&self, prefix: &str) -> Vec<Start> {
        let inner = self.inner.lock().unwrap();
        let starts = inner.starts.iter().filter(|start| start.task.starts_with(prefix));
        starts.cloned().collect()
    }

    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut text = self.inner.lock().unwrap().lines.join("\n");
        text.push('\n');
        std::fs::write(path, text)
    }
}
