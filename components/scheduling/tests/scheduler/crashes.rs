//! Crashes of targets under tasks.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::support::*;
use model::{QUARANTINE_MS, QueueKey, QueueQuarantine, RunEnd, RunId};
use scheduling::{JobRequest, QueueRules, Verdict};

impl Bench {
    /// Returns a host with new start orders, and the runs of these.
    fn take_starts(&mut self) -> Option<(usize, Vec<RunId>)> {
        let mut hosts = 0..self.slots.len();
        let (host, orders) = hosts.find_map(|host| Some((host, self.orders(host)?)))?;
        self.answer_orders(host, &orders);
        Some((host, Self::runs(&orders)))
    }

    /// Reports the end of the task's next run; returns `None` if there is none.
    fn end_next_run(&mut self, end: RunEnd) -> Option<()> {
        let (host, runs) = self.take_starts()?;
        self.report(host, &[(runs[0], ended(end, 10))]);
        Some(())
    }

    /// Crashes targets under a task of the queue of [`job`] until its job fails.
    fn quarantine_queue(&mut self) {
        self.submit(job(1, 1));
        self.end_next_run(RunEnd::CausedCrash);
        self.end_next_run(RunEnd::CausedCrash);
        assert_eq!(self.verdict(), Some(Verdict::Failed));
    }

    /// Returns the hosts that the tasks of jobs go to.
    fn hosts_of(&mut self, jobs: impl IntoIterator<Item = JobRequest>) -> BTreeSet<usize> {
        let mut hosts = BTreeSet::new();
        for job in jobs {
            self.submit(job);
            while let Some((host, runs)) = self.take_starts() {
                for run in runs {
                    hosts.insert(host);
                    self.report(host, &[(run, ended(RunEnd::Done, 10))]);
                }
            }
        }
        hosts
    }

    fn report_all(&mut self) {
        for host in 0..self.slots.len() {
            self.report(host, &[]);
        }
    }
}

fn jobs() -> impl Iterator<Item = JobRequest> {
    (100..140).map(|number| job(number, 4))
}

fn other_jobs() -> impl Iterator<Item = JobRequest> {
    jobs().map(|job| JobRequest {
        queue: Rc::new(QueueRules {
            name: Rc::from("other"),
            ..(*job.queue).clone()
        }),
        ..job
    })
}

// Tasks of one queue that crash targets took all hosts from the tasks of all other queues.
#[test]
fn queue_whose_tasks_crash_targets_is_confined_to_a_quarter_of_the_hosts() {
    let mut bench = Bench::new(8);
    bench.quarantine_queue();
    assert_eq!(
        bench.scheduler.quarantined_queues(bench.now_ms),
        [Rc::from("queue")]
    );
    let confined = bench.hosts_of(jobs());
    assert!(confined.len() <= 2, "{confined:?}");
    let others = bench.hosts_of(other_jobs());
    assert!(confined.is_disjoint(&others), "{confined:?}, {others:?}");
}

#[test]
fn quarantine_ends_when_no_target_has_crashed_for_a_time() {
    let mut bench = Bench::new(8);
    bench.quarantine_queue();
    bench.tick(QUARANTINE_MS);
    bench.report_all();
    assert!(bench.scheduler.quarantined_queues(bench.now_ms).is_empty());
    let hosts = bench.hosts_of(jobs());
    assert!(hosts.len() > 2, "{hosts:?}");
}

#[test]
fn entry_learns_of_a_quarantine_from_an_agent_and_tells_it_to_others() {
    let mut bench = Bench::new(8);
    let known = QueueQuarantine {
        queue: QueueKey::from_name("queue"),
        remaining_ms: 5_000,
    };
    let mut update = bench.host_update(0, view(8_000));
    update.quarantines = vec![known];
    let (now_ms, slot) = (bench.now_ms, bench.slots[0]);
    bench
        .scheduler
        .handle_update(now_ms, slot, None, &update, &mut bench.actions);
    assert!(bench.hosts_of(jobs()).len() <= 2);
    let request = bench.scheduler.update_request(now_ms, bench.slots[1]);
    assert_eq!(request.expect("a known host").quarantines, [known]);
    bench.tick(5_000);
    assert!(bench.scheduler.quarantined_queues(bench.now_ms).is_empty());
}

/// Returns how many runs with these ends in turn a job of one task has before it is answered.
fn runs_until_failure(ends: &[RunEnd]) -> Option<usize> {
    let mut bench = Bench::new(6);
    bench.submit(job(1, 1));
    for (count, &end) in (1..).zip(ends) {
        bench.end_next_run(end)?;
        if bench.verdict() == Some(Verdict::Failed) {
            return Some(count);
        }
    }
    None
}

#[test]
fn job_fails_when_targets_keep_crashing_under_a_task() {
    use RunEnd::{CausedCrash, Crashed, CrashedAtStart, Lost};
    assert_eq!(runs_until_failure(&[CausedCrash; 4]), Some(2));
    assert_eq!(runs_until_failure(&[CrashedAtStart, CausedCrash]), Some(2));
    assert_eq!(runs_until_failure(&[CrashedAtStart; 4]), Some(3));
    assert_eq!(runs_until_failure(&[Crashed; 4]), Some(3));
    assert_eq!(runs_until_failure(&[Lost; 4]), None);
}
