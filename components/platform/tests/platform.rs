//! Tests of the client against the platform stand-in and its injected faults.

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

async fn start_platform() -> (PlatformStandin, Platform) {
    let standin = PlatformStandin::builder(loopback()).start().await;
    let standin = standin.expect("a free port");
    let platform = Platform::new(vec![standin.address()], CALL_TIMEOUT_MS);
    (standin, platform)
}

async fn swap(platform: &Platform, key: &str, expected: u64, value: &'static str) -> Swap {
    let value = Bytes::from_static(value.as_bytes());
    let result = platform.compare_and_swap(key, expected, value, None).await;
    result.expect("a response")
}

/// Writes a key and returns its new revision.
async fn write(platform: &Platform, key: &str, expected: u64, value: &'static str) -> u64 {
    match swap(platform, key, expected, value).await {
        Swap::Done { revision } => revision,
        Swap::Conflict { current } => panic!("conflict with {current:?}"),
    }
}

/// Formats the next changes of a watch: `a=1` for a written key, `-a` for a deleted key.
async fn next_changes(watch: &mut Watch) -> String {
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
fn compare_and_swap_writes_only_at_the_expected_revision() {
    run(async {
        let (_standin, platform) = start_platform().await;
        let first = write(&platform, "k", 0, "one").await;
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
        let second = write(&platform, "k", first, "two").await;
        assert!(second > first);
        let gone = swap(&platform, "absent", 7, "x").await;
        assert_eq!(gone, Swap::Conflict { current: None });
        let stored = platform
            .get("k")
            .await
            .expect("a response")
            .expect("a value");
        assert_eq!(
            (stored.value.as_ref(), stored.mod_revision),
            (&b"two"[..], second)
        );
    });
}

#[test]
fn a_listing_contains_exactly_the_keys_with_the_prefix() {
    run(async {
        let (_standin, platform) = start_platform().await;
        for key in ["a/1", "a/2", "b/1", "a"] {
            write(&platform, key, 0, "v").await;
        }
        let listing = platform.list("a/").await.expect("a response");
        let keys: Vec<_> = listing
            .entries
            .iter()
            .map(|entry| entry.key.as_str())
            .collect();
        assert_eq!(keys, ["a/1", "a/2"]);
        assert_eq!(
            platform.list("").await.expect("a response").entries.len(),
            4
        );
    });
}

#[test]
fn conditional_deletion_checks_the_revision_and_delete_does_not() {
    run(async {
        let (_standin, platform) = start_platform().await;
        let revision = write(&platform, "k", 0, "v").await;
        let refused = platform.compare_and_delete("k", revision + 1).await;
        assert!(matches!(refused, Ok(Swap::Conflict { current: Some(_) })));
        let done = platform.compare_and_delete("k", revision).await;
        assert!(matches!(done, Ok(Swap::Done { .. })));
        assert_eq!(platform.get("k").await, Ok(None));
        write(&platform, "k", 0, "v").await;
        platform.delete("k").await.expect("a response");
        platform.delete("k").await.expect("a response");
        assert_eq!(platform.get("k").await, Ok(None));
    });
}

#[test]
fn a_write_with_a_lost_response_is_unknown_and_is_not_repeated() {
    run(async {
        let (standin, platform) = start_platform().await;
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
            .expect("a response")
            .expect("a value");
        assert_eq!(stored.value, "v");
        assert_eq!(standin.stats().lost_answers, 1);
        assert_eq!(standin.stats().writes, 1, "the write was not repeated");
    });
}

#[test]
fn during_an_outage_sent_writes_are_unknown_and_reads_are_not_applied() {
    run(async {
        let (standin, platform) = start_platform().await;
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
fn unsent_reads_are_retried_at_the_next_address_and_writes_are_not() {
    run(async {
        let (stopped, _) = start_platform().await;
        let (live, _) = start_platform().await;
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
        write(&writer, "k", 0, "v").await;
    });
}

#[test]
fn calls_above_the_rate_limit_are_not_applied() {
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
fn keys_are_deleted_when_their_lease_expires_or_is_revoked() {
    run(async {
        let (standin, platform) = start_platform().await;
        let lease = platform.lease_grant(1).await.expect("a lease");
        assert_eq!(platform.keep_alive(lease).await, Ok(1_000));
        let bound = platform
            .compare_and_swap("k", 0, Bytes::new(), Some(lease))
            .await;
        assert!(matches!(bound, Ok(Swap::Done { .. })));
        let mut watch = platform.watch("k", 0).await.expect("a watch");
        assert_eq!(next_changes(&mut watch).await, "-k");
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
        platform.revoke(lease).await.expect("a response");
        assert_eq!(platform.get("k").await, Ok(None));
    });
}

#[test]
fn a_watch_replays_past_changes_and_continues_with_new_ones() {
    run(async {
        let (standin, platform) = start_platform().await;
        let first = write(&platform, "a/1", 0, "1").await;
        write(&platform, "b", 0, "other").await;
        let second = write(&platform, "a/1", first, "2").await;
        let mut replayed = platform.watch("a/", first).await.expect("a watch");
        let mut later = platform.watch("a/", second + 1).await.expect("a watch");
        write(&platform, "a/2", 0, "3").await;
        for change in ["a/1=1", "a/1=2", "a/2=3"] {
            assert_eq!(next_changes(&mut replayed).await, change);
        }
        assert_eq!(next_changes(&mut later).await, "a/2=3");
        assert_eq!(platform.counters().watches_open.get(), 2);
        assert_eq!(standin.stats().watches_open, 2);
        drop(later);
        assert_eq!(platform.counters().watches_open.get(), 1);
    });
}

#[test]
fn a_watch_continues_after_an_outage_without_a_gap() {
    run(async {
        let (standin, platform) = start_platform().await;
        let mut watch = platform.watch("", 0).await.expect("a watch");
        let first = write(&platform, "a", 0, "1").await;
        let batch = watch.next().await.expect("changes");
        assert_eq!(batch.revision, first);
        standin.set_faults(PlatformFaults {
            cut: true,
            ..PlatformFaults::default()
        });
        assert!(matches!(watch.next().await, Err(WatchError::Broken(_))));
        assert!(platform.watch("", 0).await.is_err());
        standin.set_faults(PlatformFaults::default());
        write(&platform, "a", first, "2").await;
        let mut watch = platform
            .watch("", batch.revision + 1)
            .await
            .expect("a watch");
        assert_eq!(next_changes(&mut watch).await, "a=2");
    });
}

#[test]
fn a_watch_from_a_compacted_revision_reports_the_oldest_revision() {
    run(async {
        let standin = PlatformStandin::builder(loopback())
            .max_history(2)
            .start()
            .await;
        let standin = standin.expect("a free port");
        let platform = Platform::new(vec![standin.address()], CALL_TIMEOUT_MS);
        let first = write(&platform, "a", 0, "").await;
        for key in ["b", "c"] {
            write(&platform, key, 0, "").await;
        }
        let mut watch = platform.watch("", first).await.expect("a watch");
        let oldest_revision = first + 1;
        assert_eq!(
            watch.next().await,
            Err(WatchError::Compacted { oldest_revision })
        );
        let mut watch = platform.watch("", oldest_revision).await.expect("a watch");
        assert_eq!(next_changes(&mut watch).await, "b=");
    });
}
