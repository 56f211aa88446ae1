//! Pauses between attempts.

use std::collections::BTreeSet;

use proptest::prelude::*;
use runtime::Backoff;

/// Returns how many attempts are made within `duration_ms` if each fails at once.
fn count_attempts(backoff: &mut Backoff, duration_ms: u64) -> usize {
    let mut now_ms = 0;
    let mut attempts = 0;
    while now_ms < duration_ms {
        attempts += 1;
        now_ms = backoff.record_failure(now_ms);
    }
    attempts
}

// A peer that refuses connections was tried again as fast as it refused.
#[test]
fn failures_in_a_row_stay_few() {
    let mut backoff = Backoff::builder(20, 200).jitter_permille(0).build();
    // At 0, 20, 60 and 140 ms, then 29 times from 300 ms on, every 200 ms.
    assert_eq!(count_attempts(&mut backoff, 6_000), 33);
}

// A peer that is back would wait for the end of a pause that its absence caused.
#[test]
fn news_of_the_peers_start_ends_the_pause() {
    let mut backoff = Backoff::builder(10, 500).jitter_permille(0).build();
    count_attempts(&mut backoff, 6_000);
    assert_eq!(backoff.record_failure(8_000), 8_500);
    assert_eq!(backoff.remaining_ms(8_100), 400);
    backoff.record_peer_start();
    assert_eq!(backoff.remaining_ms(8_100), 0);
    assert_eq!(backoff.record_failure(8_100), 8_110);
}

// Processes that lost the same peer at the same time would all return to it at the same time.
#[test]
fn seeds_give_different_pauses() {
    let next_ms = |seed| {
        let mut backoff = Backoff::builder(500, 500).seed(seed).build();
        backoff.record_failure(0)
    };
    let different: BTreeSet<u64> = (0..100).map(next_ms).collect();
    assert!(different.len() > 50, "only {} pauses", different.len());
}

// A pause of 0 ms would make its loop spin.
#[test]
#[should_panic(expected = "initial pause")]
fn an_initial_pause_of_zero_is_rejected() {
    let _ = Backoff::builder(0, 200).build();
}

proptest! {
    // Bounds are derived from the longest pause; jitter that lengthens a pause would break them.
    #[test]
    fn pauses_stay_between_half_and_all_of_the_policy(
        initial_ms in 1u64..1_000,
        factor in 1u64..100,
        jitter_permille in 0u64..=500,
        seed: u64,
    ) {
        let max_ms = initial_ms * factor;
        let mut backoff = Backoff::builder(initial_ms, max_ms)
            .jitter_permille(jitter_permille)
            .seed(seed)
            .build();
        let mut now_ms = 0;
        for _ in 0..20 {
            let policy_ms = backoff.next_pause_ms();
            let pause_ms = backoff.record_failure(now_ms) - now_ms;
            prop_assert!(pause_ms <= policy_ms && pause_ms * 2 >= policy_ms);
            prop_assert_eq!(backoff.next_pause_ms(), (policy_ms * 2).min(max_ms));
            now_ms += pause_ms;
        }
    }
}
