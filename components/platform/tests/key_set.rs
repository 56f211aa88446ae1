//! Tests of following a set of keys against the stand-in of the store.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use platform::{StoreClient, StoreError};
use platform_standins::StoreServer;
use web::Notify;

const PREFIX: &str = "op/evacuate/";
const CALL_TIMEOUT_MS: u64 = 20_000;
const WATCH_WAIT_MS: u64 = 20_000;

/// Time within which a change is followed.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(5);

/// What a call of `follow_keys` reported.
struct Followed {
    calls: Vec<&'static str>,
    sets: Vec<(u64, BTreeSet<String>)>,
    /// The result; `None` if the call was still watching after the second set.
    result: Option<Result<(), StoreError>>,
}

/// Follows the keys of a store that changes by `change` after the first listing, until a second set
/// is reported or the call returns. `after_watch` is called after each answer to a watch.
fn follow(
    prepare: impl FnOnce(&StoreServer),
    change: impl Fn(&StoreServer),
    after_watch: impl Fn(&StoreServer),
) -> Followed {
    let calls = RefCell::new(Vec::new());
    let sets = RefCell::new(Vec::new());
    let second_set = Notify::default();
    let result = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(async {
            let server = StoreServer::start().expect("a free port");
            prepare(&server);
            let client = StoreClient::new(server.address(), CALL_TIMEOUT_MS);
            let following = client.follow_keys(
                PREFIX,
                WATCH_WAIT_MS,
                |call, _| {
                    calls.borrow_mut().push(call);
                    if call == "watch" {
                        after_watch(&server);
                    }
                },
                |revision, keys| {
                    if sets.borrow().is_empty() {
                        change(&server);
                    }
                    sets.borrow_mut().push((revision, keys.clone()));
                    second_set.notify_all();
                },
            );
            let reported = second_set.wait_until(|| (sets.borrow().len() > 1).then_some(()));
            let either = async {
                monoio::select! {
                    biased;
                    result = following => Some(result),
                    () = reported => None,
                }
            };
            let result = monoio::time::timeout(FOLLOW_TIMEOUT, either).await;
            result.expect("neither a second set nor a return after the change")
        });
    Followed {
        calls: calls.into_inner(),
        sets: sets.into_inner(),
        result,
    }
}

fn put(server: &StoreServer, name: &str) {
    server.put(&format!("{PREFIX}{name}"), b"");
}

// An event in an answer with the revision asked for was swallowed, and the same watch was sent again
// without a pause.
#[test]
fn an_event_without_a_higher_revision_leads_to_a_listing_and_a_pause() {
    let followed = follow(
        |server| server.faults().is_repeating_revision.set(true),
        |server| put(server, "zone-a"),
        |_| {},
    );
    assert_eq!(followed.result, Some(Ok(())));
    assert_eq!(followed.calls, ["list", "watch", "list"]);
    let keys = BTreeSet::from([format!("{PREFIX}zone-a")]);
    assert_eq!(followed.sets.last(), Some(&(1, keys)));
}

// An answer that lacks one of several events left the set wrong until the next change: a set from a
// listing of the same revision does not replace it.
#[test]
fn a_missing_event_does_not_lead_to_a_faulty_set() {
    let followed = follow(
        |server| put(server, "zone-a"),
        |server| {
            server.remove_without_event(PREFIX);
            put(server, "zone-b");
        },
        |_| {},
    );
    assert_eq!(&followed.calls[..3], ["list", "watch", "list"]);
    let keys = BTreeSet::from([format!("{PREFIX}zone-b")]);
    assert_eq!(followed.sets.last(), Some(&(2, keys)));
}

// A change that the watch has reported must not be lost if the listing that confirms it fails.
#[test]
fn a_change_is_reported_if_the_listing_after_it_fails() {
    let followed = follow(
        |_| {},
        |server| put(server, "zone-a"),
        |server| server.faults().is_busy.set(true),
    );
    assert!(matches!(followed.result, Some(Err(_))));
    assert_eq!(followed.calls, ["list", "watch", "list"]);
    let keys = BTreeSet::from([format!("{PREFIX}zone-a")]);
    assert_eq!(followed.sets.last(), Some(&(1, keys)));
}
