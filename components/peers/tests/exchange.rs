//! Whom an entry asks for state, and when.

use std::net::SocketAddr;

use peers::{
    Exchange, Knowledge, MAX_NAMED_PEERS, MAX_PARALLEL_CALLS, MAX_PEERS, QUERY_DELAY_MS,
    REFRESH_INTERVAL_MS, ReplySummary, StorePart,
};
use proptest::prelude::*;

const START_MS: u64 = 50_000;

const NOTHING: Knowledge = Knowledge {
    revision: 0,
    host_count: 0,
};

const ALL: Knowledge = Knowledge {
    revision: 7,
    host_count: 74,
};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + number))
}

fn exchange(seeds: &[u16]) -> Exchange {
    let mut exchange = Exchange::new(START_MS, Some(address(0)), 1);
    let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| address(*seed)).collect();
    exchange.set_seeds(&seeds);
    exchange
}

fn refused(seeds: &[u16]) -> Exchange {
    let mut exchange = exchange(seeds);
    exchange.record_store_call(StorePart::Configuration, false);
    exchange
}

fn served(seeds: &[u16]) -> Exchange {
    let mut exchange = exchange(seeds);
    exchange.record_store_call(StorePart::Configuration, true);
    exchange.record_store_call(StorePart::Hosts, true);
    exchange
}

fn asked(exchange: &mut Exchange, now_ms: u64, known: Knowledge) -> Vec<SocketAddr> {
    let due = exchange.take_due(now_ms, known);
    due.into_iter().map(|query| query.address).collect()
}

fn reply(knowledge: Knowledge, is_listed: bool) -> ReplySummary {
    ReplySummary {
        knowledge,
        is_listed,
        hosts_digest: Some(5),
    }
}

// An entry that the store refused asked nobody until the store served it again, 2.2 s later. A store
// that hangs fails after 500 ms only, and callers that return wait no longer than a second.
#[test]
fn all_other_seeds_are_asked_as_soon_as_the_store_has_failed_or_hangs() {
    let mut exchange = exchange(&[0, 1, 2]);
    let own_seed_is_left_out = [address(1), address(2)];
    let until_ms = START_MS + QUERY_DELAY_MS;
    assert!(asked(&mut exchange, until_ms - 1, NOTHING).is_empty());
    assert_eq!(
        asked(&mut exchange, until_ms, NOTHING),
        own_seed_is_left_out
    );
    let mut exchange = refused(&[0, 1, 2]);
    assert_eq!(
        asked(&mut exchange, START_MS, NOTHING),
        own_seed_is_left_out
    );
}

// All seeds may be down or know nothing, while another entry knows the state. A seed that starts at
// the same time knows it some milliseconds later.
#[test]
fn entries_that_a_seed_names_are_asked_and_soon_the_seed_again() {
    let mut exchange = refused(&[1]);
    asked(&mut exchange, START_MS, NOTHING);
    exchange.learn(&[address(0), address(4), address(5)]);
    exchange.answered(START_MS + 2, address(1), reply(NOTHING, false));
    let next = asked(&mut exchange, START_MS + 2, NOTHING);
    assert_eq!(next, [address(4), address(5)]);
    assert_eq!(asked(&mut exchange, START_MS + 60, NOTHING), [address(1)]);
}

// The first reply may come from an entry that knows a single host by its announcement.
#[test]
fn several_peers_are_asked_until_one_knows_the_hosts_that_the_store_listed() {
    let mut exchange = refused(&[1, 2, 3]);
    asked(&mut exchange, START_MS, NOTHING);
    let few = Knowledge {
        host_count: 1,
        ..ALL
    };
    exchange.answered(START_MS + 2, address(1), reply(few, false));
    exchange.answered(START_MS + 2, address(2), reply(NOTHING, false));
    assert!(!exchange.is_listed());
    assert_eq!(asked(&mut exchange, START_MS + 60, few).len(), 2);
    exchange.answered(START_MS + 62, address(2), reply(ALL, true));
    assert!(exchange.is_listed());
}

// A call a second to each of 14 entries would cost as much as the store's own watches.
#[test]
fn one_peer_a_second_is_asked_while_nothing_is_missing() {
    let mut exchange = served(&[1, 2, 3]);
    exchange.record_store_call(StorePart::Configuration, false);
    let mut calls = Vec::new();
    for now_ms in (START_MS..START_MS + 10 * REFRESH_INTERVAL_MS).step_by(20) {
        for address in asked(&mut exchange, now_ms, ALL) {
            exchange.answered(now_ms, address, reply(ALL, true));
            calls.push(address);
        }
    }
    assert!((9..=11).contains(&calls.len()), "{calls:?}");
    assert!((1..=3).all(|seed| calls.contains(&address(seed))));
}

// With three seeds down a newer configuration would arrive with each fourth call only.
#[test]
fn peers_that_fail_do_not_use_up_the_calls_to_one_that_answers() {
    let mut exchange = served(&[1, 2, 3, 4]);
    exchange.record_store_call(StorePart::Configuration, false);
    let mut answered_ms = START_MS;
    for now_ms in (START_MS..START_MS + 20 * REFRESH_INTERVAL_MS).step_by(20) {
        for peer in asked(&mut exchange, now_ms, ALL) {
            if peer != address(4) {
                exchange.failed(now_ms, peer);
                continue;
            }
            assert!(now_ms <= answered_ms + 2 * REFRESH_INTERVAL_MS);
            answered_ms = now_ms;
            exchange.answered(now_ms, peer, reply(ALL, true));
        }
    }
    assert!(answered_ms > START_MS + 17 * REFRESH_INTERVAL_MS);
}

// A peer that hangs must not delay the calls to others.
#[test]
fn a_peer_that_does_not_answer_is_not_called_twice_at_a_time() {
    let mut exchange = refused(&[1, 2]);
    asked(&mut exchange, START_MS, NOTHING);
    exchange.failed(START_MS + 1, address(2));
    assert_eq!(asked(&mut exchange, START_MS + 60, NOTHING), [address(2)]);
}

// A seed forgets the entries that it knows when it restarts, and healthy entries ask nobody.
#[test]
fn an_entry_that_the_store_serves_introduces_itself_to_each_entry_once() {
    let mut exchange = served(&[1, 2]);
    let due = exchange.take_due(START_MS, ALL);
    assert_eq!(due.len(), 2);
    assert!(due.iter().all(|query| !query.wants_hosts));
    exchange.answered(START_MS + 2, address(1), reply(NOTHING, false));
    exchange.failed(START_MS + 2, address(2));
    assert_eq!(asked(&mut exchange, START_MS + 60, ALL), [address(2)]);
    exchange.learn(&[address(3)]);
    exchange.answered(START_MS + 62, address(2), reply(NOTHING, false));
    assert_eq!(asked(&mut exchange, START_MS + 62, ALL), [address(3)]);
    exchange.answered(START_MS + 64, address(3), reply(NOTHING, false));
    assert_eq!(exchange.named(None), [3, 2, 1].map(address));
    assert!(asked(&mut exchange, START_MS + 5_000, ALL).is_empty());
}

// Three refused seeds that ask each other would never know anything.
#[test]
fn a_caller_that_knows_more_is_asked_at_once() {
    let mut seed = refused(&[1]);
    asked(&mut seed, START_MS, NOTHING);
    seed.contacted(START_MS, address(8), ALL, NOTHING, false);
    assert_eq!(asked(&mut seed, START_MS, NOTHING), [address(8)]);
}

// A seed took the host count of a reply without hosts for hosts of its own, ended the wait of jobs
// and told others that it had them.
#[test]
fn only_a_reply_with_hosts_makes_them_known() {
    let mut seed = exchange(&[1]);
    seed.contacted(START_MS, address(8), ALL, NOTHING, false);
    let due = seed.take_due(START_MS, NOTHING);
    assert!(due.len() == 1 && due[0].wants_hosts, "{due:?}");
    let without_hosts = ReplySummary {
        hosts_digest: None,
        ..reply(ALL, true)
    };
    seed.answered(START_MS + 2, address(8), without_hosts);
    assert!(!seed.is_listed());
    seed.record_store_call(StorePart::Hosts, false);
    let next = asked(&mut seed, START_MS + 60, NOTHING);
    assert!(next.contains(&address(8)), "{next:?}");
    seed.answered(START_MS + 62, address(8), reply(ALL, true));
    assert!(seed.is_listed());
}

// News from a peer during a call to it waited for the interval of refreshes.
#[test]
fn news_that_arrive_during_a_call_are_asked_for_when_it_ends() {
    let mut exchange = refused(&[1]);
    asked(&mut exchange, START_MS, ALL);
    let newer = Knowledge { revision: 8, ..ALL };
    exchange.contacted(START_MS, address(1), newer, ALL, false);
    assert!(asked(&mut exchange, START_MS + 1, ALL).is_empty());
    exchange.answered(START_MS + 2, address(1), reply(ALL, true));
    assert_eq!(asked(&mut exchange, START_MS + 2, ALL), [address(1)]);
    exchange.answered(START_MS + 4, address(1), reply(newer, true));
    assert!(asked(&mut exchange, START_MS + 4, newer).is_empty());
}

// Versions decide: a peer with an older configuration has nothing to tell.
#[test]
fn a_caller_that_knows_less_is_not_asked() {
    let mut exchange = served(&[]);
    let older = Knowledge { revision: 6, ..ALL };
    exchange.contacted(START_MS, address(8), older, ALL, false);
    assert!(asked(&mut exchange, START_MS, ALL).is_empty());
    let newer = Knowledge { revision: 8, ..ALL };
    exchange.contacted(START_MS, address(8), newer, ALL, false);
    assert_eq!(asked(&mut exchange, START_MS, ALL), [address(8)]);
    exchange.contacted(START_MS, address(9), ALL, ALL, true);
    assert_eq!(asked(&mut exchange, START_MS, ALL), [address(9)]);
}

// Addresses of machines that are gone would circulate between entries forever.
#[test]
fn only_peers_that_were_heard_of_directly_are_named() {
    let mut exchange = refused(&[1]);
    exchange.learn(&[address(3)]);
    exchange.contacted(START_MS, address(4), NOTHING, NOTHING, false);
    assert_eq!(exchange.named(None), [address(4)]);
    assert!(exchange.named(Some(address(4))).is_empty());
}

// Addresses of entries that were replaced filled the set and were named first, and new entries
// remained unknown.
#[test]
fn new_callers_replace_those_not_heard_of_for_the_longest_time_and_are_named_first() {
    let mut exchange = refused(&[1]);
    let last = 10 + MAX_PEERS as u16;
    for number in 10..=last {
        let now_ms = START_MS + u64::from(number);
        exchange.contacted(now_ms, address(number), NOTHING, NOTHING, false);
    }
    let newest: Vec<SocketAddr> = (10..=last).rev().map(address).collect();
    assert_eq!(exchange.named(None), newest[..MAX_NAMED_PEERS]);
    let known: Vec<SocketAddr> = exchange.peers().map(|peer| peer.address).collect();
    assert_eq!(known.len(), MAX_PEERS);
    assert!(known.contains(&address(1)));
    assert!(!known.contains(&address(10)) && known.contains(&address(12)));
}

// A peer with a fault could replace all known entries by addresses that nobody uses.
#[test]
fn named_addresses_replace_a_single_confirmed_one() {
    let mut exchange = refused(&[]);
    for number in 1..=MAX_PEERS as u16 {
        exchange.contacted(START_MS, address(number), NOTHING, NOTHING, false);
    }
    let names: Vec<SocketAddr> = (100..132).map(address).collect();
    exchange.learn(&names);
    let confirmed = exchange.peers().filter(|peer| peer.is_confirmed);
    assert_eq!(confirmed.count(), MAX_PEERS - 1);
}

proptest! {
    // A peer with a fault may name any addresses, any number of times.
    #[test]
    fn calls_and_names_are_bounded(
        numbers in prop::collection::vec(0_u16..500, 0..300),
        confirmed in prop::collection::vec(0_u16..500, 0..300),
    ) {
        let mut exchange = refused(&[1, 2, 3]);
        for number in numbers {
            exchange.learn(&[address(number), SocketAddr::from(([0, 0, 0, 0], number))]);
        }
        for number in confirmed {
            exchange.contacted(START_MS, address(number), NOTHING, NOTHING, false);
        }
        prop_assert!(exchange.named(None).len() <= MAX_NAMED_PEERS);
        let mut calls = 0;
        loop {
            let due = asked(&mut exchange, START_MS, NOTHING);
            prop_assert!(due.len() <= MAX_PARALLEL_CALLS && !due.contains(&address(0)));
            if due.is_empty() {
                break;
            }
            calls += due.len();
            for peer in due {
                prop_assert!(!peer.ip().is_unspecified());
                exchange.answered(START_MS, peer, reply(NOTHING, false));
            }
        }
        prop_assert!((3..=MAX_PEERS).contains(&calls));
    }
}
