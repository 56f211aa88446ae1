//! Merging of sets of evacuated failure domains.

use std::rc::Rc;

use model::{
    EvacuationChange, Evacuations, EvacuationsDigest, KnownEvacuations,
    MAX_EVACUATED_FAILURE_DOMAINS,
};
use proptest::prelude::*;

fn evacuations(revision: u64, names: &[&str]) -> Evacuations {
    Evacuations::new(revision, names.iter().map(|&name| Rc::from(name)))
}

/// Guards against an old copy of a peer that brings back a deleted key.
#[test]
fn an_older_set_changes_nothing() {
    let mut known = KnownEvacuations::default();
    known.merge(evacuations(5, &["zone-a"]));
    known.merge(evacuations(9, &[]));
    assert_eq!(known.merge(evacuations(7, &["zone-a"])), None);
    assert!(!known.contains("zone-a"));
}

/// Guards against a set from between two equal ones that replaces the later one.
#[test]
fn an_equal_set_raises_the_revision() {
    let mut known = KnownEvacuations::default();
    known.merge(evacuations(5, &[]));
    assert_eq!(known.merge(evacuations(9, &[])), None);
    known.merge(evacuations(7, &["zone-a"]));
    assert_eq!(
        (known.revision(), known.contains("zone-a")),
        (Some(9), false)
    );
}

/// Guards against an evacuation of one failure domain that ends the one of another.
#[test]
fn a_change_names_what_began_and_ended() {
    let mut known = KnownEvacuations::default();
    known.merge(evacuations(1, &["zone-a", "zone-b"]));
    let change = known.merge(evacuations(2, &["zone-b", "zone-c"]));
    let expected = EvacuationChange {
        begun: vec![Rc::from("zone-c")],
        ended: vec![Rc::from("zone-a")],
    };
    assert_eq!(change, Some(expected));
}

/// Guards against a malformed or oversized set that a peer passes on, or that fills the memory.
#[test]
fn sets_are_bounded() {
    let too_many = (0..=MAX_EVACUATED_FAILURE_DOMAINS).map(|number| Rc::from(number.to_string()));
    let kept = Evacuations::new(1, too_many);
    assert_eq!(kept.failure_domains().len(), MAX_EVACUATED_FAILURE_DOMAINS);
    let names = ["", "a\nb", &"x".repeat(200), "zone-a"];
    assert_eq!(evacuations(1, &names), evacuations(1, &["zone-a"]));
}

proptest! {
    /// Guards against a result that depends on the order in which sets arrive.
    #[test]
    fn any_order_of_arrival_ends_with_the_newest(order in Just((1..8u64).collect::<Vec<_>>()).prop_shuffle()) {
        let mut known = KnownEvacuations::default();
        for revision in order {
            known.merge(evacuations(revision, &[&format!("zone-{revision}")]));
        }
        prop_assert_eq!(known.get(), Some(&evacuations(7, &["zone-7"])));
    }
}

/// Guards against a key that was written, removed and written again: a peer that is behind at the
/// removal reopened the failure domain at a process that holds the set of the first write.
#[test]
fn a_copy_from_between_two_equal_sets_is_refused_once_a_peer_confirms_the_later_one() {
    let mut known = KnownEvacuations::default();
    known.merge(evacuations(10, &["zone-a"]));
    known.confirm(evacuations(90, &["zone-a"]).digest());
    known.merge(evacuations(70, &[]));
    assert!(known.contains("zone-a"));
}

/// Guards against a process without a set that tells peers that nothing is evacuated, and against
/// sets that are sent again and again to a peer that holds an equal one.
#[test]
fn a_peer_gets_a_set_only_if_its_own_is_older_and_differs() {
    let mut known = KnownEvacuations::default();
    assert_eq!(known.update_for(EvacuationsDigest::default()), None);
    known.merge(evacuations(10, &["zone-a"]));
    let is_sent = |peer: Evacuations| known.update_for(peer.digest()).is_some();
    assert!(known.update_for(EvacuationsDigest::default()).is_some());
    assert!(is_sent(evacuations(9, &["zone-b"])));
    assert!(!is_sent(evacuations(9, &["zone-a"])));
    assert!(!is_sent(evacuations(11, &["zone-b"])));
}
