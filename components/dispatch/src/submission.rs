//! Submission, cancellation and status of jobs at the shard's owner.

use model::{
    Answer, Attempt, CLOCK_SKEW_MS, Failure, FailureKind, FailureReason, JobKey, JobSpec,
    RETENTION_MS,
};
use rand::Rng;

use crate::action::{Submission, WaiterKey};
use crate::admission;
use crate::job::{Job, JobSlot, TaskPhase};
use crate::mutation::Mutation;
use crate::records::Record;
use crate::shard::{Parked, Phase, Shard, ShardContext};

/// Maximum time for which a submission is parked until the shard can decide, in microseconds.
///
/// Covers a takeover: detection, the grace period of fencing and a compare-and-swap.
const MAX_PARK_US: u64 = 5_000_000;

/// Maximum number of records per shard, to bound memory under a flood of refused submissions.
const MAX_RECORDS: usize = 2_000_000;

/// Upper bound of the random jitter added to a retry delay, in milliseconds.
const MAX_JITTER_MS: u64 = 250;

impl Shard {
    /// Decides about a submission.
    pub fn submit(&mut self, cx: &mut ShardContext<'_>, submission: Submission) {
        if self.phase != Phase::Serving {
            self.park(cx, submission);
            return;
        }
        let key = submission.spec.meta.key;
        if let Some(slot) = self.by_key.get(&key).copied() {
            self.attach_copy(cx, slot, submission);
            return;
        }
        if let Some(answer) = self.recorded_answer(&submission.spec) {
            // If another entry has become the owner, a newer submission may have run there.
            if states_not_run(&answer) && !self.has_authority(cx.now_us) {
                self.park(cx, submission);
                return;
            }
            cx.counters.resubmitted += 1;
            cx.answer(submission.waiter, answer);
            return;
        }
        // An entry that started during a platform outage may not have rules yet.
        if !self.has_authority(cx.now_us) || cx.rules.revision == 0 {
            self.park(cx, submission);
            return;
        }
        if self.records.len() >= MAX_RECORDS {
            cx.answer(submission.waiter, records_full_answer());
            return;
        }
        if let Err(answer) = self.check(cx, &submission.spec) {
            self.refuse(cx, &submission, answer);
            return;
        }
        self.admit(cx, submission);
    }

    fn park(&mut self, cx: &mut ShardContext<'_>, submission: Submission) {
        let meta = &submission.spec.meta;
        let left_us = meta.deadline_unix_ms.saturating_sub(cx.now_unix_ms) * 1_000;
        self.parked.push_back(Parked {
            park_until_us: cx.now_us + left_us.min(MAX_PARK_US),
            submission,
        });
    }

    /// Retries the decisions about parked submissions.
    pub fn retry_parked(&mut self, cx: &mut ShardContext<'_>) {
        if !self.has_authority(cx.now_us) || cx.rules.revision == 0 {
            return;
        }
        for parked in std::mem::take(&mut self.parked) {
            self.submit(cx, parked.submission);
        }
    }

    /// Answers parked submissions about which the shard could not decide in time.
    pub fn answer_expired_parked(&mut self, cx: &mut ShardContext<'_>) {
        let now_us = cx.now_us;
        if self
            .parked
            .iter()
            .all(|parked| parked.park_until_us > now_us)
        {
            return;
        }
        let (late, waiting) = std::mem::take(&mut self.parked)
            .into_iter()
            .partition(|parked| parked.park_until_us <= now_us);
        self.parked = waiting;
        for parked in Vec::from(late) {
            let answer = undecided_answer(cx, &parked.submission.spec);
            cx.answer(parked.submission.waiter, answer);
        }
    }

    fn attach_copy(&mut self, cx: &mut ShardContext<'_>, slot: JobSlot, submission: Submission) {
        let job = &mut self.jobs[slot];
        let ignores_digest = self.mutations.has(Mutation::IgnoreBodyDigest);
        if job.meta.body_digest != submission.spec.meta.body_digest && !ignores_digest {
            self.refuse_conflict(cx, slot, submission);
            return;
        }
        cx.counters.resubmitted += 1;
        job.waiters.push(submission.waiter);
        if job.has_payloads {
            return;
        }
        job.set_payloads(submission.spec.tasks);
        let waiting = job.waiting.clone();
        if !waiting.is_empty() {
            self.enqueue(cx, slot, &waiting);
        }
    }

    /// Refuses a submission with the id of a job in progress and another body.
    ///
    /// The refusal states that this body never runs, so it requires authority over the shard.
    fn refuse_conflict(
        &mut self,
        cx: &mut ShardContext<'_>,
        slot: JobSlot,
        submission: Submission,
    ) {
        if !self.has_authority(cx.now_us) {
            self.park(cx, submission);
            return;
        }
        let job = &mut self.jobs[slot];
        let submitted_unix_ms = submission.spec.meta.submitted_unix_ms;
        job.conflict_unix_ms = job.conflict_unix_ms.max(submitted_unix_ms);
        cx.counters.conflicts += 1;
        cx.answer(submission.waiter, conflict());
    }

    fn recorded_answer(&mut self, spec: &JobSpec) -> Option<Answer> {
        let record = self.records.get(spec.meta.key)?;
        if record.allows_newer(spec.meta.submitted_unix_ms) {
            return None;
        }
        let ignores_digest = self.mutations.has(Mutation::IgnoreBodyDigest);
        if record.body_digest != spec.meta.body_digest && !ignores_digest {
            return Some(conflict());
        }
        Some(record.answer.clone())
    }

    /// Checks whether an unknown submission may be admitted.
    fn check(&mut self, cx: &mut ShardContext<'_>, spec: &JobSpec) -> Result<(), Answer> {
        self.check_age(cx, spec)?;
        // Precedes every refusal that says "not run", since an earlier owner may have run the job.
        self.check_horizon(cx, spec)?;
        self.check_times(cx, spec)?;
        let candidates = admission::check_group(self, cx, spec)?;
        admission::check_limits(self, cx, spec)?;
        if cx.policy.admission {
            admission::check_deadline(self, cx, spec, &candidates)?;
        }
        Ok(())
    }

    fn check_age(&self, cx: &ShardContext<'_>, spec: &JobSpec) -> Result<(), Answer> {
        if spec.meta.submitted_unix_ms + RETENTION_MS >= cx.now_unix_ms {
            return Ok(());
        }
        Err(Answer::failed(
            FailureKind::MayHaveRun,
            FailureReason::TooOld,
            "the submission is older than the retention period; its fate is not known",
        ))
    }

    fn check_times(&self, cx: &ShardContext<'_>, spec: &JobSpec) -> Result<(), Answer> {
        let meta = &spec.meta;
        if meta.submitted_unix_ms > cx.now_unix_ms + CLOCK_SKEW_MS {
            let ahead_ms = meta.submitted_unix_ms - cx.now_unix_ms;
            if ahead_ms > RETENTION_MS {
                return Err(Answer::failed(
                    FailureKind::CannotRun,
                    FailureReason::ClockAhead,
                    "submitted_unix_ms lies beyond the retention period; set the clock right",
                ));
            }
            let detail = format!("submitted_unix_ms lies {ahead_ms} ms ahead; set the clock right");
            return Err(Answer::refused(
                FailureKind::NotRun,
                FailureReason::ClockAhead,
                detail,
                ahead_ms,
            ));
        }
        if meta.deadline_unix_ms <= cx.now_unix_ms {
            return Err(Answer::failed(
                FailureKind::NotRun,
                FailureReason::DeadlinePassed,
                "the deadline had passed on arrival",
            ));
        }
        Ok(())
    }

    fn check_horizon(&self, cx: &mut ShardContext<'_>, spec: &JobSpec) -> Result<(), Answer> {
        let submitted_unix_ms = spec.meta.submitted_unix_ms;
        let skip = self.mutations.has(Mutation::SkipHorizon);
        if submitted_unix_ms > self.horizon_unix_ms || skip {
            return Ok(());
        }
        let left_ms = self.horizon_unix_ms.saturating_sub(cx.now_unix_ms);
        let retry_after_ms = left_ms + cx.rng.random_range(1..MAX_JITTER_MS);
        let (kind, detail) = if self.complete {
            (
                FailureKind::NotRun,
                "the shard changed owners before the job was started",
            )
        } else {
            (
                FailureKind::MayHaveRun,
                "the shard changed owners and an agent that may have run the job is gone",
            )
        };
        Err(Answer::refused(
            kind,
            FailureReason::TakenOver,
            detail,
            retry_after_ms,
        ))
    }

    fn last_attempt(&self, key: JobKey) -> Attempt {
        self.records
            .get(key)
            .map(|record| record.last_attempt)
            .unwrap_or_default()
    }

    fn refuse(&mut self, cx: &mut ShardContext<'_>, submission: &Submission, answer: Answer) {
        cx.counters.refused += 1;
        // A date far in the future would keep the record until then. No copy arrives late enough
        // for the date to be accepted, so each copy is refused again without a record.
        if submission.spec.meta.submitted_unix_ms > cx.now_unix_ms + RETENTION_MS {
            cx.answer(submission.waiter, answer);
            return;
        }
        let meta = &submission.spec.meta;
        let last_attempt = self.last_attempt(meta.key);
        if !self.mutations.has(Mutation::ForgetRefusals) {
            self.records
                .insert(Record::new(meta, answer.clone(), last_attempt));
        }
        cx.answer(submission.waiter, answer);
    }

    fn admit(&mut self, cx: &mut ShardContext<'_>, submission: Submission) {
        cx.counters.admitted += 1;
        let Submission { spec, waiter } = submission;
        let key = spec.meta.key;
        let last_attempt = self.last_attempt(key);
        self.records.remove(key);
        self.arrival_count += 1;
        let mut job = Job::new(spec, self.arrival_count, cx.now_us, cx.now_unix_ms);
        job.skip_attempts_through(last_attempt);
        job.waiters.push(waiter);
        job.work_us = self.work_us(cx, &job);
        let waiting = job.waiting.clone();
        let deadline_us = job.deadline_us;
        let slot = self.jobs.insert(job);
        self.by_key.insert(key, slot);
        self.deadlines.insert((deadline_us, slot));
        self.enqueue(cx, slot, &waiting);
    }

    fn work_us(&self, cx: &ShardContext<'_>, job: &Job) -> u64 {
        job.tasks
            .iter()
            .map(|task| {
                cx.run_times
                    .expected_us(self.firm(), job.meta.group, task.kind, task.declared_us)
                    as u64
            })
            .sum()
    }

    /// Cancels a job; returns its final answer, or none if the job is not known.
    pub fn cancel(&mut self, cx: &mut ShardContext<'_>, key: JobKey) -> Option<Answer> {
        if let Some(slot) = self.by_key.get(&key).copied() {
            let kind = self.failure_kind(slot, cx.now_us);
            let answer = Answer::failed(kind, FailureReason::Cancelled, "cancelled by the client");
            self.fail_job(cx, slot, answer.clone());
            self.abort_orphans(cx, key);
            return Some(answer);
        }
        self.records.get(key).map(|record| record.answer.clone())
    }

    fn abort_orphans(&mut self, cx: &ShardContext<'_>, job: JobKey) {
        for (task, orphan) in &mut self.orphans {
            if task.job == job {
                orphan.abort = true;
                orphan.next_revoke_us = cx.now_us;
            }
        }
    }

    /// Removes a waiting request from its job; the job continues.
    pub fn remove_waiter(&mut self, key: JobKey, waiter: WaiterKey) {
        self.parked
            .retain(|parked| parked.submission.waiter != waiter);
        if let Some(slot) = self.by_key.get(&key) {
            self.jobs[*slot].waiters.retain(|other| *other != waiter);
        }
    }

    /// Returns the numbers of finished tasks and of all tasks of a job in progress.
    pub fn progress(&self, key: JobKey) -> Option<(u16, u16)> {
        let job = &self.jobs[*self.by_key.get(&key)?];
        let done = job
            .tasks
            .iter()
            .filter(|task| matches!(task.phase, TaskPhase::Done(_)))
            .count();
        Some((done as u16, job.meta.task_count))
    }
}

fn states_not_run(answer: &Answer) -> bool {
    let Answer::Failed(failure) = answer else {
        return false;
    };
    matches!(failure.kind, FailureKind::NotRun | FailureKind::CannotRun)
}

fn conflict() -> Answer {
    Answer::Failed(Failure {
        kind: FailureKind::CannotRun,
        reason: FailureReason::Conflict,
        detail: "the id is in use for a job with another body".to_owned(),
        retry_after_ms: None,
    })
}

/// Returns the answer to a submission about which the shard could not decide in time.
///
/// It leaves open whether the job ran, since an earlier owner may have admitted it.
fn undecided_answer(cx: &mut ShardContext<'_>, spec: &JobSpec) -> Answer {
    if spec.meta.deadline_unix_ms <= cx.now_unix_ms {
        return Answer::failed(
            FailureKind::MayHaveRun,
            FailureReason::DeadlinePassed,
            "the deadline passed before the owner of the shard could prove its ownership",
        );
    }
    Answer::refused(
        FailureKind::MayHaveRun,
        FailureReason::NoAuthority,
        "the owner of the shard could not prove its ownership in time",
        1_000 + cx.rng.random_range(0..MAX_JITTER_MS),
    )
}

/// Returns the answer for a shard whose records are full.
///
/// It leaves open whether the job ran, since the refusal is not recorded.
fn records_full_answer() -> Answer {
    Answer::refused(
        FailureKind::MayHaveRun,
        FailureReason::Overloaded,
        "too many jobs in the retention period",
        RETENTION_MS,
    )
}
