//! Encoding of publications, differences between them, and the configuration in force.

use config::{
    ApplyOutcome, Change, ChangeKind, Current, FORMAT_VERSION, MAX_ANCESTORS, Merged, Published,
    PublishedError, Snapshot, SourceFile, changes, merge_files,
};
use proptest::collection::vec;
use proptest::prelude::*;

const TOKEN: &str = "aaaaaaaaaaaaaaaa";

fn merged(weight: u32) -> Merged {
    let text = format!("[firms.a]\ntokens = ['{TOKEN}']\nweight = {weight}");
    let file = SourceFile {
        name: String::from("10.toml"),
        bytes: text.into_bytes(),
    };
    merge_files(&[file]).expect("valid")
}

fn published(weight: u32) -> Published {
    Published::builder(merged(weight))
        .editor("ana")
        .publication_id(format!("id-{weight}"))
        .published_unix_ms(1_000)
        .build()
}

#[test]
fn encoding_and_decoding_returns_the_same_value() {
    let value = published(3);
    let text = value.encode().expect("small");
    assert_eq!(Published::decode(text.as_bytes()), Ok(value.clone()));
    assert_eq!(value.encode(), Ok(text));
}

#[test]
fn newer_malformed_and_invalid_values_are_rejected() {
    let newer = br#"{"format_version": 2, "other": true}"#;
    let error = Published::decode(newer).expect_err("newer");
    assert_eq!(error, PublishedError::NewerFormat { found: 2 });
    assert!(error.to_string().contains("update this process"));

    let malformed = format!(r#"{{"format_version": {FORMAT_VERSION}, "merged": "{TOKEN}"}}"#);
    let error = Published::decode(malformed.as_bytes()).expect_err("malformed");
    assert!(!error.to_string().contains(TOKEN), "{error}");

    let mut invalid = published(1);
    invalid.merged.firms.get_mut("a").expect("a firm").shards = 0;
    let text = invalid.encode().expect("small");
    let error = Published::decode(text.as_bytes()).expect_err("no shard");
    assert!(error.to_string().contains("firms.a.shards"), "{error}");
}

#[test]
fn values_above_the_maximum_size_are_rejected() {
    let mut large = published(1);
    large.editor = "x".repeat(1_000_001);
    let error = large.encode().expect_err("too large");
    assert!(matches!(error, PublishedError::TooLarge { .. }), "{error}");
}

#[test]
fn ancestors_are_bounded_and_sorted_from_newest_to_oldest() {
    let mut last = published(1).following(0, None);
    for weight in 2..40 {
        last = published(weight).following(u64::from(weight), Some(&last));
    }
    assert_eq!(last.ancestors.len(), MAX_ANCESTORS);
    assert_eq!(last.ancestors[0], "id-38");
    assert_eq!(last.base_revision, 39);
}

#[test]
fn changes_contain_keys_and_mask_tokens() {
    let from = merged(1).configuration;
    let mut to = merged(2).configuration;
    to.firms.get_mut("a").expect("a firm").tokens.clear();
    to.firms.get_mut("a").expect("a firm").rate_tasks_per_s = Some(5);
    let change = |key: &str, kind| Change {
        key: key.to_owned(),
        kind,
    };
    let changed = |from: &str, to: &str| ChangeKind::Changed {
        from: from.to_owned(),
        to: to.to_owned(),
    };
    let expected = [
        change(
            "firms.a.rate_tasks_per_s",
            ChangeKind::Added(String::from("5")),
        ),
        change("firms.a.tokens", changed("[(token, 16 characters)]", "[]")),
        change("firms.a.weight", changed("1", "2")),
    ];
    assert_eq!(changes(&from, &to), expected);
    assert!(changes(&to, &to).is_empty());
}

proptest! {
    #[test]
    fn revision_in_force_never_decreases(offers in vec((0..20_u64, 0..1_000_u64), 0..40)) {
        let mut current = Current::new();
        let mut highest: Option<u64> = None;
        let mut learned_unix_ms = 0;
        for (revision, offered_unix_ms) in offers {
            let outcome = current.apply(revision, published(revision as u32 + 1), offered_unix_ms);
            let newer = highest.is_none_or(|highest| revision > highest);
            prop_assert_eq!(outcome == ApplyOutcome::Applied, newer);
            if newer {
                learned_unix_ms = offered_unix_ms;
            } else if highest == Some(revision) {
                learned_unix_ms = learned_unix_ms.max(offered_unix_ms);
            }
            highest = highest.max(Some(revision));
            let highest = highest.unwrap_or_default();
            prop_assert_eq!(current.revision(), highest);
            let weight = current.published().map(|value| value.merged.firms["a"].weight);
            prop_assert_eq!(weight, Some(highest as u32 + 1));
            prop_assert_eq!(current.age_ms(2_000), Some(2_000 - learned_unix_ms));
        }
    }
}

#[test]
fn snapshot_keeps_its_age_when_sent_to_another_process() {
    let mut first = Current::new();
    assert_eq!((first.revision(), first.age_ms(5)), (0, None));
    let _ = first.apply(4, published(1), 1_000);
    let text = serde_json::to_string(first.snapshot().expect("applied")).expect("JSON");
    let snapshot: Snapshot = serde_json::from_str(&text).expect("JSON");
    let mut second = Current::new();
    assert_eq!(second.apply_snapshot(snapshot), ApplyOutcome::Applied);
    assert_eq!(second, first);
    assert_eq!(second.age_ms(61_000), Some(60_000));
}
