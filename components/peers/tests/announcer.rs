//! To whom an agent announces its host, and when.

use std::net::SocketAddr;

use model::ProcessKey;
use peers::{ANNOUNCE_DELAY_MS, ANNOUNCE_SPREAD_MS, Announcer, OFFER_DELAY_MS, OFFER_DURATION_MS};

const START_MS: u64 = 50_000;

const ENTRY: ProcessKey = ProcessKey(3);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + number))
}

/// Seed of an agent whose first announcement is not put off by the spread.
const SEED: u64 = 0;

fn announcer() -> Announcer {
    let mut announcer = Announcer::new(START_MS, SEED);
    announcer.set_seeds(&[address(1)]);
    announcer
}

/// Lets every call to the entry at `answering` succeed and all others fail; returns the calls.
fn run(
    announcer: &mut Announcer,
    from_ms: u64,
    until_ms: u64,
    answering: Option<SocketAddr>,
) -> Vec<(u64, SocketAddr)> {
    let mut calls = Vec::new();
    for now_ms in (from_ms..until_ms).step_by(20) {
        for called in announcer.take_due(now_ms) {
            calls.push((now_ms, called));
            if Some(called) == answering {
                announcer.answered(now_ms, called, &[]);
            } else {
                announcer.failed(now_ms, called);
            }
        }
    }
    calls
}

// An agent that the store refused was unknown to all entries that started meanwhile.
#[test]
fn a_host_that_cannot_be_registered_is_announced_to_seeds_and_to_entries_that_they_name() {
    let mut announcer = announcer();
    let due_ms = START_MS + ANNOUNCE_DELAY_MS;
    assert!(announcer.take_due(due_ms - 1).is_empty());
    assert_eq!(announcer.take_due(due_ms), [address(1)]);
    announcer.answered(due_ms + 2, address(1), &[address(2), address(3)]);
    assert_eq!(announcer.take_due(due_ms + 2), [address(2), address(3)]);
}

#[test]
fn a_registered_host_is_not_announced() {
    let mut announcer = announcer();
    announcer.registration_confirmed();
    assert!(run(&mut announcer, START_MS, START_MS + 5_000, None).is_empty());
}

// 760 agents called three seeds without power every 400 ms for as long as the store was away.
#[test]
fn announcements_to_entries_that_do_not_answer_become_rare() {
    let mut announcer = announcer();
    run(&mut announcer, START_MS, START_MS + 20_000, None);
    let calls = run(&mut announcer, START_MS + 20_000, START_MS + 60_000, None);
    assert!((8..=10).contains(&calls.len()), "{calls:?}");
}

// After an offer that nobody answered, the pause of an earlier loss of the store delayed the
// announcements of the next one.
#[test]
fn pauses_of_an_earlier_loss_of_the_store_are_forgotten() {
    for lost_ms in (START_MS + 55_000..START_MS + 60_000).step_by(1_000) {
        let mut announcer = announcer();
        announcer.entry_connected(START_MS, ENTRY, address(1));
        announcer.entry_disconnected(START_MS, ENTRY);
        run(&mut announcer, START_MS, lost_ms, None);
        announcer.registration_confirmed();
        announcer.registration_unconfirmed(lost_ms);
        let calls = run(&mut announcer, lost_ms, lost_ms + 6_000, None);
        assert_eq!(calls[0].0, lost_ms + ANNOUNCE_DELAY_MS);
    }
}

// All agents lose the store at once, and would announce their hosts in the same millisecond.
#[test]
fn the_first_announcements_of_agents_are_spread() {
    let due_ms = START_MS + ANNOUNCE_DELAY_MS;
    let mut counts = [0; 4];
    for seed in 0..400 {
        let mut announcer = Announcer::new(START_MS, seed);
        announcer.set_seeds(&[address(1)]);
        let is_due = |now_ms: &u64| !announcer.take_due(*now_ms).is_empty();
        let mut times = START_MS..due_ms + ANNOUNCE_SPREAD_MS;
        let first_ms = times.find(is_due).expect("an announcement");
        assert!(first_ms >= due_ms);
        counts[((first_ms - due_ms) * 4 / ANNOUNCE_SPREAD_MS) as usize] += 1;
    }
    assert!(counts.iter().all(|count| *count > 50), "{counts:?}");
}

// The store refuses an agent whose registration it has dropped.
#[test]
fn a_host_whose_registration_is_lost_is_announced_with_growing_pauses_until_it_is_registered() {
    let mut announcer = announcer();
    announcer.registration_confirmed();
    let lost_ms = START_MS + 1_000;
    announcer.registration_unconfirmed(lost_ms);
    announcer.registration_unconfirmed(lost_ms + 500);
    let calls = run(&mut announcer, lost_ms, lost_ms + 30_000, Some(address(1)));
    assert_eq!(calls[0].0, lost_ms + ANNOUNCE_DELAY_MS);
    assert!((4..=8).contains(&calls.len()), "{calls:?}");
    announcer.registration_confirmed();
    let later_ms = lost_ms + 30_000;
    assert!(run(&mut announcer, later_ms, later_ms + 30_000, None).is_empty());
}

// While all seeds are down, an entry that restarts learns of hosts only from their agents.
#[test]
fn a_host_is_offered_to_an_entry_whose_connection_was_lost_until_it_answers() {
    let mut announcer = announcer();
    announcer.registration_confirmed();
    announcer.entry_connected(START_MS, ENTRY, address(5));
    assert_eq!(announcer.named(address(1)), [address(5)]);
    let lost_ms = START_MS + 1_000;
    announcer.entry_disconnected(lost_ms, ENTRY);
    let back_ms = lost_ms + 1_400;
    let calls = run(&mut announcer, lost_ms, back_ms, None);
    assert_eq!(calls[0], (lost_ms + OFFER_DELAY_MS, address(5)));
    let calls = run(&mut announcer, back_ms, back_ms + 20_000, Some(address(5)));
    assert_eq!(calls.len(), 1);
    assert!(calls[0].0 <= back_ms + 420, "{calls:?}");
}

#[test]
fn an_entry_that_reconnects_or_stays_away_is_not_called() {
    let mut announcer = announcer();
    announcer.registration_confirmed();
    announcer.entry_connected(START_MS, ENTRY, address(5));
    announcer.entry_disconnected(START_MS, ENTRY);
    announcer.entry_connected(START_MS, ProcessKey(4), address(5));
    assert!(run(&mut announcer, START_MS, START_MS + 5_000, None).is_empty());
    let lost_ms = START_MS + 5_000;
    announcer.entry_disconnected(lost_ms, ProcessKey(4));
    let calls = run(&mut announcer, lost_ms, lost_ms + 60_000, None);
    let last = calls.last().expect("calls");
    assert!(last.0 < lost_ms + OFFER_DURATION_MS, "{last:?}");
}

// A connection that is replaced closes after the new one has opened.
#[test]
fn an_entry_with_another_connection_is_not_lost() {
    let mut announcer = announcer();
    announcer.registration_confirmed();
    announcer.entry_connected(START_MS, ENTRY, address(5));
    announcer.entry_connected(START_MS, ENTRY, address(5));
    announcer.entry_disconnected(START_MS, ENTRY);
    assert!(run(&mut announcer, START_MS, START_MS + 5_000, None).is_empty());
}

// Entries that are connected know the host; only the others are told.
#[test]
fn connected_entries_get_no_announcements() {
    let mut announcer = announcer();
    announcer.entry_connected(START_MS, ENTRY, address(1));
    assert!(run(&mut announcer, START_MS, START_MS + 5_000, None).is_empty());
}

// An entry that connected first is still there, although others have called since.
#[test]
fn connected_entries_are_not_replaced_by_others() {
    let mut announcer = announcer();
    announcer.registration_confirmed();
    announcer.entry_connected(START_MS, ENTRY, address(5));
    for number in 10..200 {
        let (now_ms, key) = (START_MS + u64::from(number), ProcessKey(number.into()));
        announcer.entry_connected(now_ms, key, address(number));
        announcer.entry_disconnected(now_ms, key);
    }
    assert_eq!(announcer.named(address(1))[..2], [5, 199].map(address));
}
