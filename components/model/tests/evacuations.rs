//! Merging of sets of evacuated failure domains.

use std::rc::Rc;

use model::{EvacuationChange, Evacuations, KnownEvacuations, MAX_EVACUATED_FAILURE_DOMAINS};
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
