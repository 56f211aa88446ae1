//! What was sent, answered and run, with the time since the start of the script.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// A run of a task at an executor; `end_ms` is `None` while it is at work.
#[derive(Debug, Clone)]
pub struct RunSpan {
    pub task: String,
    pub run: u64,
    pub executor: String,
    /// Kind of the executor when the run began.
    pub kind: String,
    pub specification: String,
    pub begin_ms: u64,
    pub end_ms: Option<u64>,
    pub how: String,
}

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    spans: Mutex<Vec<RunSpan>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
            spans: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, line: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>8.3} s  {line}", now_ms as f64 / 1_000.0);
    }

    pub fn begin(
        &self,
        executor: &str,
        kind: &str,
        task: &str,
        run: u64,
        specification: &str,
    ) -> usize {
        self.line(&format!("{executor} begins {task} run {run}"));
        let mut spans = self.spans.lock().unwrap();
        spans.push(RunSpan {
            task: task.to_owned(),
            run,
            executor: executor.to_owned(),
            kind: kind.to_owned(),
            specification: specification.to_owned(),
            begin_ms: self.now_ms(),
            end_ms: None,
            how: String::new(),
        });
        spans.len() - 1
    }

    pub fn end(&self, number: usize, how: &str) {
        let mut spans = self.spans.lock().unwrap();
        let span = &mut spans[number];
        span.end_ms = Some(self.now_ms());
        span.how = how.to_owned();
        let line = format!(
            "{} ends {} run {} {how}",
            span.executor, span.task, span.run
        );
        drop(spans);
        self.line(&line);
    }

    pub fn spans(&self) -> Vec<RunSpan> {
        self.spans.lock().unwrap().clone()
    }

    /// Returns the pairs of runs of one task that were at work at the same time, with the overlap in
    /// milliseconds.
    pub fn overlaps(&self) -> Vec<(RunSpan, RunSpan, u64)> {
        let now_ms = self.now_ms();
        let mut by_task: BTreeMap<String, Vec<RunSpan>> = BTreeMap::new();
        for span in self.spans() {
            by_task.entry(span.task.clone()).or_default().push(span);
        }
        let mut found = Vec::new();
        for spans in by_task.values() {
            for (at, one) in spans.iter().enumerate() {
                for other in &spans[at + 1..] {
                    let begin = one.begin_ms.max(other.begin_ms);
                    let end_of = |span: &RunSpan| span.end_ms.unwrap_or(now_ms);
                    let end = end_of(one).min(end_of(other));
                    if end > begin {
                        found.push((one.clone(), other.clone(), end - begin));
                    }
                }
            }
        }
        found
    }
}
