//! Results that identify the task and payload they belong to.

use bytes::Bytes;
use model::{FirmKey, TaskKey};
use xxhash_rust::xxh3::xxh3_64;

/// Returns the digest used for payloads and results in histories.
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the result that a fake target gives for `task` with a payload of `payload_digest`.
#[must_use]
pub fn result_of(task: TaskKey, payload_digest: u64) -> Bytes {
    let TaskKey { job, index } = task;
    let text = format!(
        "{}/{:?}/{index}/{payload_digest:016x}",
        job.firm, job.digest
    );
    Bytes::from(text)
}

/// Returns the firm that a result made by [`result_of`] belongs to.
#[must_use]
pub fn firm_of(result: &[u8]) -> Option<FirmKey> {
    let text = std::str::from_utf8(result).ok()?;
    let (firm, _) = text.split_once('/')?;
    u32::from_str_radix(firm, 16).ok().map(FirmKey)
}
