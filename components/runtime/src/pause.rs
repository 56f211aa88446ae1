//! Pauses of loops that follow [`Backoff`].

use std::time::Duration;

use crate::backoff::Backoff;
use crate::clock::uptime_ms;

/// Records a failure and waits until the next attempt is due.
pub async fn pause_after_failure(backoff: &mut Backoff) {
    let now_ms = uptime_ms();
    backoff.record_failure(now_ms);
    monoio::time::sleep(Duration::from_millis(backoff.remaining_ms(now_ms))).await;
}
