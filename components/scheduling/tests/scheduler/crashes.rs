//! Crashes of targets under tasks.

use crate::support::*;
use model::{RunEnd, RunId};
use scheduling::Verdict;

impl Bench {
    /// Returns a host with new start orders, and the runs of these.
    pub fn take_starts(&mut self) -> Option<(usize, Vec<RunId>)> {
        let mut hosts = 0..self.slots.len();
        let (host, orders) = hosts.find_map(|host| Some((host, self.orders(host)?)))?;
        self.answer_orders(host, &orders);
        Some((host, Self::runs(&orders)))
    }

    /// Reports the end of the task's next run; returns its host.
    pub fn end_next_run(&mut self, end: RunEnd) -> Option<usize> {
        let (host, runs) = self.take_starts()?;
        self.report(host, &[(runs[0], ended(end, 10))]);
        Some(host)
    }
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
fn job_fails_after_two_crashes_at_the_start_of_a_task_or_three_later() {
    use RunEnd::{Crashed, CrashedAtStart, Lost};
    assert_eq!(runs_until_failure(&[CrashedAtStart; 4]), Some(2));
    assert_eq!(runs_until_failure(&[Crashed; 4]), Some(3));
    assert_eq!(
        runs_until_failure(&[Crashed, CrashedAtStart, CrashedAtStart]),
        Some(3)
    );
    assert_eq!(runs_until_failure(&[Lost; 4]), None);
}
