//! Concurrent publishing, lost requests and responses, and outages of the platform.

use config::{Configuration, Merged, Published, SourceFile, merge_files};
use operators::{Action, Event, Expected, MAX_FAILED_CALLS, Outcome, Publish, Stored};
use proptest::collection::vec;
use proptest::prelude::*;

fn publication(id: &str, text: &str) -> Published {
    let file = SourceFile {
        name: String::from("10.toml"),
        bytes: text.as_bytes().to_vec(),
    };
    let merged: Merged = merge_files(&[file]).expect("valid");
    Published::builder(merged)
        .publication_id(id)
        .editor(format!("editor of {id}"))
        .build()
}

fn with_weight(id: &str, weight: u32) -> Published {
    publication(id, &format!("firms.a.weight = {weight}"))
}

/// How the network treats one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Answered,
    RequestLost,
    /// The call takes effect, but the caller receives no response.
    AnswerLost,
    /// The caller times out; the call takes effect later.
    Delayed,
}

const DELIVERIES: [Delivery; 4] = [
    Delivery::Answered,
    Delivery::RequestLost,
    Delivery::AnswerLost,
    Delivery::Delayed,
];

/// The value in the platform's key-value store, with the history of its writes.
#[derive(Debug, Default)]
struct Store {
    revision: u64,
    value: Option<Stored>,
    history: Vec<(u64, Published)>,
    delayed: Vec<(u64, String)>,
}

impl Store {
    fn put(&mut self, published: &Published) {
        let value = published.encode().expect("small");
        let expected_revision = self.value.as_ref().map_or(0, |stored| stored.revision);
        assert!(self.swap(expected_revision, &value).is_some());
    }

    fn swap(&mut self, expected_revision: u64, value: &str) -> Option<u64> {
        // Writes of other keys also advance the store's revision.
        self.revision += 3;
        if self.value.as_ref().map_or(0, |stored| stored.revision) != expected_revision {
            return None;
        }
        self.value = Some(Stored {
            revision: self.revision,
            value: value.as_bytes().to_vec(),
        });
        let published = Published::decode(value.as_bytes()).expect("valid");
        self.history.push((self.revision, published));
        Some(self.revision)
    }

    fn deliver_delayed(&mut self) {
        for (expected_revision, value) in std::mem::take(&mut self.delayed) {
            self.swap(expected_revision, &value);
        }
    }

    fn call(&mut self, action: &Action, delivery: Delivery) -> Event {
        match action {
            Action::Read if delivery == Delivery::Answered => Event::Read(self.value.clone()),
            Action::Read => Event::ReadFailed(String::from("timeout")),
            Action::CompareAndSwap {
                expected_revision,
                value,
            } => self.call_swap(*expected_revision, value, delivery),
            Action::Finish(outcome) => panic!("called after {outcome:?}"),
        }
    }

    fn call_swap(&mut self, expected_revision: u64, value: &str, delivery: Delivery) -> Event {
        match delivery {
            Delivery::Answered => match self.swap(expected_revision, value) {
                Some(revision) => return Event::Swapped(revision),
                None => return Event::SwapRefused,
            },
            Delivery::RequestLost => {}
            Delivery::AnswerLost => {
                self.swap(expected_revision, value);
            }
            Delivery::Delayed => self.delayed.push((expected_revision, value.to_owned())),
        }
        Event::SwapUnknown(String::from("timeout"))
    }

    fn position(&self, id: &str) -> Option<usize> {
        self.history
            .iter()
            .position(|(_, published)| published.publication_id == id)
    }
}

/// An operator and the next call to make.
#[derive(Debug)]
struct Operator {
    id: String,
    publish: Publish,
    action: Action,
}

impl Operator {
    fn new(published: Published, expected: Expected) -> Self {
        let id = published.publication_id.clone();
        let publish = Publish::new(published, expected);
        let action = publish.start();
        Self {
            id,
            publish,
            action,
        }
    }

    fn step(&mut self, store: &mut Store, delivery: Delivery) {
        if matches!(self.action, Action::Finish(_)) {
            return;
        }
        let event = store.call(&self.action, delivery);
        self.action = self.publish.handle(event);
    }

    fn run(&mut self, store: &mut Store, deliveries: &[Delivery]) -> Outcome {
        let mut deliveries = deliveries.iter().copied();
        loop {
            if let Action::Finish(outcome) = &self.action {
                return outcome.clone();
            }
            self.step(store, deliveries.next().unwrap_or(Delivery::Answered));
        }
    }

    /// Checks the reported outcome against the history of the store.
    fn check(&self, store: &Store) {
        let Action::Finish(outcome) = &self.action else {
            panic!("{} has not finished", self.id);
        };
        let position = store.position(&self.id);
        match outcome {
            Outcome::Published { revision, .. } => {
                let position = position.expect("a published value is in the history");
                assert_eq!(store.history[position].0, *revision);
            }
            Outcome::Superseded { by } => {
                let position = position.expect("a superseded value is in the history");
                assert!(store.history[position].0 < by.revision);
            }
            Outcome::Unknown { .. } => {}
            _ => assert_eq!(position, None, "{outcome:?}"),
        }
    }
}

/// Checks that each write replaced the one before it, and that each publication was written once.
fn check_history(store: &Store) {
    for pair in store.history.windows(2) {
        let [(revision, before), (_, after)] = pair else {
            unreachable!("windows of two");
        };
        assert_eq!(after.base_revision, *revision);
        assert_eq!(after.ancestors.first(), Some(&before.publication_id));
    }
    for (at, (_, published)) in store.history.iter().enumerate() {
        assert_eq!(store.position(&published.publication_id), Some(at));
    }
}

/// Runs `count` operators concurrently: first by the schedule, then one after the other without
/// faults.
///
/// A step of the schedule with an index of `count` or more also delivers the delayed writes.
fn race(schedule: &[(usize, Delivery)], count: usize, is_empty: bool) -> (Store, Vec<Operator>) {
    let mut store = Store::default();
    if !is_empty {
        store.put(&with_weight("base", 1));
    }
    let mut operators: Vec<Operator> = (0..count)
        .map(|index| with_weight(&format!("id-{index}"), index as u32 + 2))
        .map(|published| Operator::new(published, Expected::Latest))
        .collect();
    for (index, delivery) in schedule {
        operators[index % count].step(&mut store, *delivery);
        if *index >= count {
            store.deliver_delayed();
        }
    }
    for operator in &mut operators {
        operator.run(&mut store, &[]);
    }
    store.deliver_delayed();
    (store, operators)
}

#[test]
fn no_edit_is_lost_in_any_interleaving_of_two_operators() {
    const DEPTH: u32 = 4;
    const CHOICES: usize = 2 * DELIVERIES.len();
    for schedule_index in 0..CHOICES.pow(DEPTH) {
        let digit = |place| schedule_index / CHOICES.pow(place) % CHOICES;
        let schedule: Vec<(usize, Delivery)> = (0..DEPTH)
            .map(|place| (digit(place) % 2, DELIVERIES[digit(place) / 2]))
            .collect();
        for is_empty in [false, true] {
            let (store, operators) = race(&schedule, 2, is_empty);
            check_history(&store);
            operators.iter().for_each(|operator| operator.check(&store));
        }
    }
}

#[test]
fn second_of_two_operators_that_read_the_same_revision_gets_a_conflict() {
    let schedule = [(0, Delivery::Answered), (1, Delivery::Answered)];
    let (store, operators) = race(&schedule, 2, false);
    assert_eq!(store.history.len(), 2);
    let Action::Finish(Outcome::Conflict(conflict)) = &operators[1].action else {
        panic!("{:?}", operators[1].action);
    };
    let other = conflict.other.as_ref().expect("an edit");
    assert_eq!((conflict.expected_revision, other.revision), (3, 6));
    assert_eq!(other.editor, "editor of id-0");
    let shown =
        |changes: &[config::Change]| changes.iter().map(ToString::to_string).collect::<Vec<_>>();
    assert_eq!(
        shown(conflict.other_changes.as_deref().expect("known")),
        ["firms.a.weight: 1 -> 2"]
    );
    assert_eq!(
        shown(conflict.own_changes.as_deref().expect("known")),
        ["firms.a.weight: 1 -> 3"]
    );
    assert_eq!(
        shown(&conflict.remaining_changes),
        ["firms.a.weight: 2 -> 3"]
    );
}

proptest! {
    #[test]
    fn outcomes_match_the_store_for_many_operators_under_faults(
        schedule in vec((0..8_usize, prop::sample::select(&DELIVERIES[..])), 0..40),
        is_empty in any::<bool>(),
    ) {
        let (store, operators) = race(&schedule, 4, is_empty);
        check_history(&store);
        operators.iter().for_each(|operator| operator.check(&store));
    }
}

#[test]
fn lost_response_is_resolved_by_reading_back() {
    let mut store = Store::default();
    let mut operator = Operator::new(with_weight("x", 2), Expected::Latest);
    let outcome = operator.run(
        &mut store,
        &[
            Delivery::Answered,
            Delivery::AnswerLost,
            Delivery::RequestLost,
        ],
    );
    assert!(
        matches!(outcome, Outcome::Published { revision: 3, .. }),
        "{outcome:?}"
    );
    let mut again = Operator::new(with_weight("y", 2), Expected::Latest);
    assert_eq!(
        again.run(&mut store, &[]),
        Outcome::Unchanged { revision: 3 }
    );
    assert_eq!(store.history.len(), 1);
}

#[test]
fn write_replaced_before_reading_back_is_reported_as_superseded() {
    let mut store = Store::default();
    let mut operator = Operator::new(with_weight("x", 2), Expected::Latest);
    operator.step(&mut store, Delivery::Answered);
    operator.step(&mut store, Delivery::AnswerLost);
    for id in ["y", "z"] {
        let weight = id.len() as u32 + u32::from(id == "z") + 4;
        Operator::new(with_weight(id, weight), Expected::Latest).run(&mut store, &[]);
    }
    let outcome = operator.run(&mut store, &[]);
    let Outcome::Superseded { by } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(by.editor, "editor of z");
}

#[test]
fn uncertain_write_followed_by_too_many_edits_is_reported_as_unknown() {
    for delivery in [Delivery::AnswerLost, Delivery::RequestLost] {
        let mut store = Store::default();
        store.put(&with_weight("base", 1));
        let mut operator = Operator::new(with_weight("x", 2), Expected::Latest);
        operator.step(&mut store, Delivery::Answered);
        operator.step(&mut store, delivery);
        for weight in 10..30 {
            let other = with_weight(&format!("other-{weight}"), weight);
            Operator::new(other, Expected::Latest).run(&mut store, &[]);
        }
        let outcome = operator.run(&mut store, &[]);
        assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
    }
}

#[test]
fn older_value_read_back_causes_another_read() {
    let old = with_weight("old", 1);
    let base = with_weight("base", 2).following(3, Some(&old));
    let stored = |revision, published: &Published| Stored {
        revision,
        value: published.encode().expect("small").into_bytes(),
    };
    let mut publish = Publish::new(with_weight("x", 3), Expected::Latest);
    publish.handle(Event::Read(Some(stored(6, &base))));
    publish.handle(Event::SwapUnknown(String::from("timeout")));
    let action = publish.handle(Event::Read(Some(stored(3, &old))));
    assert_eq!(action, Action::Read);
}

#[test]
fn outage_before_the_write_is_reported_as_unavailable() {
    let mut store = Store::default();
    let mut operator = Operator::new(with_weight("x", 2), Expected::Latest);
    let outcome = operator.run(
        &mut store,
        &[Delivery::RequestLost; MAX_FAILED_CALLS as usize],
    );
    assert!(
        matches!(outcome, Outcome::Unavailable { .. }),
        "{outcome:?}"
    );
    assert!(store.history.is_empty());
}

#[test]
fn outage_after_the_write_is_reported_as_unknown() {
    for delivery in [
        Delivery::AnswerLost,
        Delivery::Delayed,
        Delivery::RequestLost,
    ] {
        let mut store = Store::default();
        let mut operator = Operator::new(with_weight("x", 2), Expected::Latest);
        let mut deliveries = vec![Delivery::Answered, delivery];
        deliveries.extend([Delivery::RequestLost; MAX_FAILED_CALLS as usize]);
        let outcome = operator.run(&mut store, &deliveries);
        assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
    }
}

#[test]
fn expected_revision_must_be_in_force() {
    let mut store = Store::default();
    store.put(&with_weight("base", 1));
    for (expected, is_accepted) in [(0, false), (2, false), (4, false), (3, true)] {
        let mut operator = Operator::new(with_weight("x", 2), Expected::Revision(expected));
        let outcome = operator.run(&mut store, &[]);
        let is_published = matches!(outcome, Outcome::Published { revision: 6, .. });
        let is_conflict = matches!(outcome, Outcome::Conflict(_));
        assert_eq!(
            (is_published, is_conflict),
            (is_accepted, !is_accepted),
            "{outcome:?}"
        );
    }
}

#[test]
fn folder_without_the_edit_of_another_operator_is_not_published() {
    let both = |a: u32, b: u32| format!("firms.a.weight = {a}\nfirms.b.weight = {b}");
    let mut store = Store::default();
    let mut run =
        |published: Published, expected| Operator::new(published, expected).run(&mut store, &[]);
    run(publication("base", &both(1, 1)), Expected::Latest);
    run(publication("x", &both(2, 1)), Expected::Latest);

    let outcome = run(publication("y", &both(1, 5)), Expected::Latest);
    let Outcome::WouldUndoEdits { revision: 6, edits } = outcome else {
        panic!("{outcome:?}");
    };
    let found: Vec<(&str, &str)> = edits
        .iter()
        .map(|edit| (edit.key.as_str(), edit.editor.as_str()))
        .collect();
    assert_eq!(found, [("firms.a.weight", "editor of x")]);

    let outcome = run(publication("y", &both(2, 5)), Expected::Latest);
    assert!(matches!(outcome, Outcome::Published { .. }), "{outcome:?}");
    let outcome = run(publication("z", &both(3, 5)), Expected::Latest);
    assert!(matches!(outcome, Outcome::Published { .. }), "{outcome:?}");
    let outcome = run(publication("z", &both(2, 5)), Expected::Latest);
    assert!(matches!(outcome, Outcome::Published { .. }), "{outcome:?}");
    let outcome = run(publication("w", &both(3, 5)), Expected::Revision(15));
    assert!(matches!(outcome, Outcome::Published { .. }), "{outcome:?}");
}

#[test]
fn change_of_the_number_of_shards_is_refused() {
    let mut store = Store::default();
    store.put(&publication("base", "firms.a.shards = 2"));
    let mut operator = Operator::new(publication("x", "firms.a.shards = 3"), Expected::Latest);
    let outcome = operator.run(&mut store, &[]);
    let Outcome::Refused { faults } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(
        (faults[0].file.as_str(), faults[0].key.as_str()),
        ("10.toml", "firms.a.shards")
    );
}

#[test]
fn undecodable_value_is_replaced_only_if_its_revision_is_expected() {
    let cases = [
        ("garbage", Expected::Latest, false),
        ("garbage", Expected::Revision(9), true),
        ("{\"format_version\": 99}", Expected::Revision(9), false),
    ];
    for (value, expected, is_replaced) in cases {
        let stored = Stored {
            revision: 9,
            value: value.as_bytes().to_vec(),
        };
        let mut publish = Publish::new(with_weight("x", 2), expected);
        let action = publish.handle(Event::Read(Some(stored)));
        let swaps = matches!(
            action,
            Action::CompareAndSwap {
                expected_revision: 9,
                ..
            }
        );
        let is_invalid = matches!(action, Action::Finish(Outcome::Invalid { .. }));
        assert_eq!(
            (swaps, is_invalid),
            (is_replaced, !is_replaced),
            "{action:?}"
        );
    }
}

#[test]
fn first_publication_reports_every_value_as_added() {
    let mut store = Store::default();
    let mut operator = Operator::new(with_weight("x", 2), Expected::Revision(0));
    let Outcome::Published { changes, .. } = operator.run(&mut store, &[]) else {
        panic!("nothing else writes");
    };
    let added = changes
        .iter()
        .filter(|change| change.key.starts_with("firms.a."))
        .count();
    let values = store.history[0].1.merged.values();
    assert_eq!(
        added,
        values
            .keys()
            .filter(|key| key.starts_with("firms.a."))
            .count()
    );
    assert_ne!(Configuration::default(), store.history[0].1.merged);
}
