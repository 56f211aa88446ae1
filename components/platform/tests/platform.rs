//! The client against the stand-in, with its faults.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use platform::{Platform, PlatformError, Swap, Watch, WatchError, WatchEvent};
use standins::{PlatformFaults, PlatformStandin};

const CALL_TIMEOUT_MS: u64 = 20_000;

fn run(test: impl Future<Output = ()>) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test);
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start() -> (PlatformStandin, Platform) {
    let standin = PlatformStandin::builder(loopback()).start().await;
    let standin = standin.expect("a free port");
    let platform = Platform::new(vec![standin.address()], CALL_TIMEOUT_MS);
    (standin, platform)
}

async fn swap(platform: &Platform, key: &str, expected: u64, value: &'static str) -> Swap {
    let value = Bytes::from_static(value.as_bytes());
    let result = platform.compare_and_swap(key, expected, value, None).await;
    result.expect("an answer")
}

/// Sets a key and returns its new revision.
async fn set(platform: &Platform, key: &str, expected: u64, value: &'static str) -> u64 {
    match swap(platform, key, expected, value).await {
        Swap::Done { revision } => revision,
        Swap::Conflict { current } => panic!("conflict with {current:?}"),
    }
}

/// Describes the next changes of a watch, such as `a=1` or `-a`.
async fn next(watch: &mut Watch) -> String {
    let batch = watch.next().await.expect("changes");
    let describe = |event: &WatchEvent| match event {
        WatchEvent::Put(entry) => {
            let value = String::from_utf8_lossy(&entry.versioned.value);
            format!("{}={value}", entry.key)
        }
        WatchEvent::Deleted { key, .. } => format!("-{key}"),
    };
    let events: Vec<_> = batch.events.iter().map(describe).collect();
    events.join(" ")
}

#[test]
fn a_swap_takes_effect_only_at_the_expected_revision() {
    run(async {
        let (_standin, platform) = start().await;
        let first = set(&platform, "k", 0, "one").await;
        let conflict = swap(&platform, "k", 0, "two").await;
        let Swap::Conflict {
            current: Some(current),
        } = conflict
        else {
            panic!("{conflict:?}");
        };
        assert_eq!(
            (current.value.as_ref(), current.mod_revision),
            (&b"one"[..], first)
        );
        let second = set(&platform, "k", first, "two").await;
        assert!(second > first);
        let gone = swap(&platform, "absent", 7, "x").await;
        assert_eq!(gone, Swap::Conflict { current: None });
        let stored = platform
            .get("k")
            .await
            .expect("an answer")
            .expect("a value");
        assert_eq!(
            (stored.value.as_ref(), stored.mod_revision),
            (&b"two"[..], second)
        );
    });
}

#[test]
fn a_listing_holds_exactly_the_prefix() {
    run(async {
        let (_standin, platform) = start().await;
        for key in ["a/1", "a/2", "b/1", "a"] {
            set(&platform, key, 0, "v").await;
        }
        let listing = platform.list("a/").await.expect("an answer");
        let keys: Vec<_> = listing
            .entries
            .iter()
            .map(|entry| entry.key.as_str())
            .collect();
        assert_eq!(keys, ["a/1", "a/2"]);
        assert_eq!(platform.list("").await.expect("an answer").entries.len(), 4);
    });
}

#[test]
fn deletions_are_conditional_or_not() {
    run(async {
        let (_standin, platform) = start().await;
        let revision = set(&platform, "k", 0, "v").await;
        let refused = platform.compare_and_delete("k", revision + 1).await;
        assert!(matches!(refused, Ok(Swap::Conflict { current: Some(_) })));
        let done = platform.compare_and_delete("k", revision).await;
        assert!(matches!(done, Ok(Swap::Done { .. })));
        assert_eq!(platform.get("k").await, Ok(None));
        set(&platform, "k", 0, "v").await;
        platform.delete("k").await.expect("an answer");
        platform.delete("k").await.expect("an answer");
        assert_eq!(platform.get("k").await, Ok(None));
    });
}

#[test]
fn a_lost_answer_is_unknown_and_the_write_took_effect() {
    run(async {
        let (standin, platform) = start().await;
        standin.set_faults(PlatformFaults {
            lose_answers_next: 1,
            ..PlatformFaults::default()
        });
        let value = Bytes::from_static(b"v");
        let lost = platform.compare_and_swap("k", 0, value, None).await;
        assert!(matches!(lost, Err(PlatformError::Unknown(_))), "{lost:?}");
        let stored = platform
            .get("k")
            .await
            .expect("an answer")
            .expect("a value");
        assert_eq!(stored.value, "v");
        assert_eq!(standin.stats().lost_answers, 1);
        assert_eq!(standin.stats().writes, 1, "the write was not repeated");
    });
}

#[test]
fn an_outage_leaves_writes_unknown_once_sent_and_reads_without_effect() {
    run(async {
        let (standin, platform) = start().await;
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        let cut = PlatformFaults {
            cut: true,
            ..PlatformFaults::default()
        };
        for faults in [down, cut] {
            standin.set_faults(faults);
            let write = platform.compare_and_swap("k", 0, Bytes::new(), None).await;
            assert!(matches!(write, Err(PlatformError::Unknown(_))), "{write:?}");
            let read = platform.get("k").await;
            assert!(
                matches!(read, Err(PlatformError::NotApplied(_))),
                "{read:?}"
            );
        }
        standin.set_faults(PlatformFaults::default());
        assert_eq!(platform.get("k").await, Ok(None));
        standin.stop().await;
        let write = platform.compare_and_swap("k", 0, Bytes::new(), None).await;
        assert!(
            matches!(write, Err(PlatformError::NotApplied(_))),
            "{write:?}"
        );
    });
}

#[test]
fn reads_go_on_to_the_next_address_and_writes_do_not() {
    run(async {
        let (stopped, _) = start().await;
        let (live, _) = start().await;
        stopped.stop().await;
        let addresses = vec![stopped.address(), live.address()];
        let reader = Platform::new(addresses.clone(), CALL_TIMEOUT_MS);
        assert_eq!(reader.get("k").await, Ok(None));
        let writer = Platform::new(addresses, CALL_TIMEOUT_MS);
        let first = writer.compare_and_swap("k", 0, Bytes::new(), None).await;
        assert!(
            matches!(first, Err(PlatformError::NotApplied(_))),
            "{first:?}"
        );
        assert_eq!(live.stats().writes, 0);
        set(&writer, "k", 0, "v").await;
    });
}

#[test]
fn calls_above_the_rate_are_rejected_without_effect() {
    run(async {
        let standin = PlatformStandin::builder(loopback())
            .writes_per_s(0)
            .start()
            .await;
        let standin = standin.expect("a free port");
        let platform = Platform::new(vec![standin.address()], CALL_TIMEOUT_MS);
        let write = platform.compare_and_swap("k", 0, Bytes::new(), None).await;
        assert!(
            matches!(write, Err(PlatformError::NotApplied(_))),
            "{write:?}"
        );
        assert_eq!(platform.get("k").await, Ok(None));
        assert_eq!(standin.stats().rejected, 1);
        assert_eq!(platform.counters().calls(), 2);
    });
}

#[test]
fn a_lease_takes_its_keys_along() {
    run(async {
        let (standin, platform) = start().await;
        let lease = platform.lease_grant(1).await.expect("a lease");
        assert_eq!(platform.keep_alive(lease).await, Ok(1_000));
        let bound = platform
            .compare_and_swap("k", 0, Bytes::new(), Some(lease))
            .await;
        assert!(matches!(bound, Ok(Swap::Done { .. })));
        let mut watch = platform.watch("k", 0).await.expect("a watch");
        assert_eq!(next(&mut watch).await, "-k");
        assert_eq!(standin.stats().expired_leases, 1);
        let late = platform
            .compare_and_swap("k", 0, Bytes::new(), Some(lease))
            .await;
        assert_eq!(late, Err(PlatformError::LeaseNotFound));
        assert_eq!(
            platform.keep_alive(lease).await,
            Err(PlatformError::LeaseNotFound)
        );
        assert_eq!(
            platform.revoke(lease).await,
            Err(PlatformError::LeaseNotFound)
        );
        let lease = platform.lease_grant(60_000).await.expect("a lease");
        let bound = platform
            .compare_and_swap("k", 0, Bytes::new(), Some(lease))
            .await;
        assert!(matches!(bound, Ok(Swap::Done { .. })));
        platform.revoke(lease).await.expect("an answer");
        assert_eq!(platform.get("k").await, Ok(None));
    });
}

#[test]
fn a_watch_replays_what_happened_before_and_goes_on() {
    run(async {
        let (standin, platform) = start().await;
        let first = set(&platform, "a/1", 0, "1").await;
        set(&platform, "b", 0, "other").await;
        let second = set(&platform, "a/1", first, "2").await;
        let mut replayed = platform.watch("a/", first).await.expect("a watch");
        let mut later = platform.watch("a/", second + 1).await.expect("a watch");
        set(&platform, "a/2", 0, "3").await;
        for change in ["a/1=1", "a/1=2", "a/2=3"] {
            assert_eq!(next(&mut replayed).await, change);
        }
        assert_eq!(next(&mut later).await, "a/2=3");
        assert_eq!(platform.counters().watches_open.get(), 2);
        assert_eq!(standin.stats().watches_open, 2);
        drop(later);
        assert_eq!(platform.counters().watches_open.get(), 1);
    });
}

#[test]
fn a_watch_continues_after_an_outage_without_a_gap() {
    run(async {
        let (standin, platform) = start().await;
        let mut watch = platform.watch("", 0).await.expect("a watch");
        let first = set(&platform, "a", 0, "1").await;
        let batch = watch.next().await.expect("changes");
        assert_eq!(batch.revision, first);
        standin.set_faults(PlatformFaults {
            cut: true,
            ..PlatformFaults::default()
        });
        assert!(matches!(watch.next().await, Err(WatchError::Broken(_))));
        assert!(platform.watch("", 0).await.is_err());
        standin.set_faults(PlatformFaults::default());
        set(&platform, "a", first, "2").await;
        let mut watch = platform
            .watch("", batch.revision + 1)
            .await
            .expect("a watch");
        assert_eq!(next(&mut watch).await, "a=2");
    });
}

#[test]
fn a_watch_from_a_forgotten_revision_says_so() {
    run(async {
        let standin = PlatformStandin::builder(loopback())
            .max_history(2)
            .start()
            .await;
        let standin = standin.expect("a free port");
        let platform = Platform::new(vec![standin.address()], CALL_TIMEOUT_MS);
        let first = set(&platform, "a", 0, "").await;
        for key in ["b", "c"] {
            set(&platform, key, 0, "").await;
        }
        let mut watch = platform.watch("", first).await.expect("a watch");
        let oldest_revision = first + 1;
        assert_eq!(
            watch.next().await,
            Err(WatchError::Compacted { oldest_revision })
        );
        let mut watch = platform.watch("", oldest_revision).await.expect("a watch");
        assert_eq!(next(&mut watch).await, "b=");
    });
}
