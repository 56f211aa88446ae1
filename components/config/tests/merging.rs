//! Merging files in the order of their names, and reading a folder that changes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::io;

use config::{
    EntrySettings, FileStamp, Preference, Principal, Published, SourceFile, merge_files,
    merge_folder, read_stable,
};
use model::{FirmKey, FirmShare};
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;

fn file(name: &str, text: impl Into<Vec<u8>>) -> SourceFile {
    SourceFile {
        name: name.to_owned(),
        bytes: text.into(),
    }
}

/// Weights of the firms `a` to `d` that one file sets.
type Weights = BTreeMap<char, u32>;

fn render(weights: &Weights) -> String {
    let line = |(firm, weight): (&char, &u32)| format!("firms.{firm}.weight = {weight}\n");
    let text: String = weights.iter().map(line).collect();
    format!("# weights\n{text}")
}

proptest! {
    #[test]
    fn value_of_the_last_file_that_sets_a_key_is_used(
        contents in btree_map("[a-zA-Z0-9-]{1,6}", btree_map(prop::char::range('a', 'd'), 1..100_u32, 1..4), 1..6),
        rotation in 0..6_usize,
    ) {
        let mut files: Vec<SourceFile> = contents
            .iter()
            .map(|(name, weights)| file(&format!("{name}.toml"), render(weights)))
            .collect();
        let merged = merge_files(&files).expect("valid");
        let count = files.len();
        files.rotate_left(rotation % count);
        prop_assert_eq!(&merge_files(&files).expect("valid"), &merged);

        files.sort_by(|left, right| left.name.as_bytes().cmp(right.name.as_bytes()));
        let mut expected: BTreeMap<char, (u32, String)> = BTreeMap::new();
        for file in &files {
            let stem = file.name.trim_end_matches(".toml");
            for (firm, weight) in &contents[stem] {
                expected.insert(*firm, (*weight, file.name.clone()));
            }
        }
        prop_assert_eq!(merged.configuration.firms.len(), expected.len());
        for (firm, (weight, name)) in expected {
            prop_assert_eq!(merged.configuration.firms[&firm.to_string()].weight, weight);
            prop_assert_eq!(&merged.provenance[&format!("firms.{firm}.weight")], &name);
        }
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in vec(any::<u8>(), 0..200)) {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let _ = merge_files(&[file("a.toml", bytes.clone())]);
        let _ = Published::decode(&bytes);
        let _ = EntrySettings::from_toml("entry.toml", &text);
    }

    #[test]
    fn arbitrary_toml_causes_no_panic(
        lines in vec("(firms|groups|limits|operators|log)(\\.[a-c\"é]{1,3}){0,3}\\.(weight|tokens|firms|quota|deadline_s|teams) = (-?[0-9]{1,20}|'[a-z0-9 ]{0,20}'|\\[\\]|\\{\\}|true|1979-05-27)", 0..8),
    ) {
        let _ = merge_files(&[file("a.toml", lines.join("\n"))]);
        let _ = EntrySettings::from_toml("entry.toml", &lines.join("\n"));
    }
}

#[test]
fn later_files_override_single_keys_and_whole_lists() {
    let dir = tempfile::tempdir().expect("a directory");
    let first = "[firms.a]\ntokens = ['aaaaaaaaaaaaaaaa', 'cccccccccccccccc']\nweight = 2\n\
                 [firms.a.teams.t]\ntokens = ['tttttttttttttttt']\n\
                 [groups.g]\nfirms = ['a']\n[operators]\ntokens = ['oooooooooooooooo']";
    let second = "[firms.a]\ntokens = ['bbbbbbbbbbbbbbbb']\nprefer = 'messages'";
    fs::write(dir.path().join("10.toml"), first).expect("a file");
    fs::write(dir.path().join("20.toml"), second).expect("a file");
    let merged = merge_folder(dir.path()).expect("valid");
    let firm = &merged.configuration.firms["a"];
    assert_eq!((firm.weight, firm.tokens.len()), (2, 1));
    assert_eq!(firm.prefer, Preference::Messages);
    assert_eq!(merged.provenance["firms.a.weight"], "10.toml");
    assert_eq!(merged.provenance["firms.a.tokens"], "20.toml");

    let configuration = &merged.configuration;
    assert_eq!(configuration.authenticate("aaaaaaaaaaaaaaaa"), None);
    assert_eq!(
        configuration.authenticate("bbbbbbbbbbbbbbbb"),
        Some(Principal::Firm("a"))
    );
    let team = Principal::Team {
        firm: "a",
        team: "t",
    };
    assert_eq!(configuration.authenticate("tttttttttttttttt"), Some(team));
    assert_eq!(
        configuration.authenticate("oooooooooooooooo"),
        Some(Principal::Operators)
    );

    let rules = configuration.agent_rules(7);
    let key = FirmKey::from_name("a");
    assert_eq!(rules.revision, 7);
    let share = |name: &str, weight| FirmShare {
        firm: FirmKey::from_name(name),
        weight,
    };
    assert_eq!(rules.shares, [share("a", 1_000), share("a/t", 1_000)]);
    assert_eq!(configuration.firm(key).map(|(name, _)| name), Some("a"));
}

fn stamp(length_bytes: u64) -> FileStamp {
    FileStamp {
        name: String::from("a.toml"),
        length_bytes,
        modified: None,
    }
}

#[test]
fn folder_that_changes_during_a_read_is_read_again() {
    let stamps = RefCell::new(vec![stamp(3), stamp(3), stamp(5), stamp(3)]);
    let readings = Cell::new(0);
    let list = || Ok(vec![stamps.borrow_mut().pop().expect("four lists suffice")]);
    let read = |_: &str| {
        readings.set(readings.get() + 1);
        Ok(b"a=1".to_vec())
    };
    let files = read_stable("folder", list, read).expect("stable at the second reading");
    assert_eq!(readings.get(), 2);
    assert_eq!(files[0].bytes, b"a=1");
}

#[test]
fn folder_that_keeps_changing_is_reported() {
    let lists = Cell::new(0);
    let list = || {
        lists.set(lists.get() + 1);
        Ok(vec![stamp(lists.get())])
    };
    let fault = read_stable("folder", list, |_| Ok(Vec::new())).expect_err("never stable");
    assert_eq!((lists.get(), fault.file.as_str()), (6, "folder"));
    assert!(fault.message.contains("changed during each of 3 readings"));
}

#[test]
fn file_shorter_than_listed_is_rejected() {
    let fault = read_stable("folder", || Ok(vec![stamp(9)]), |_| Ok(b"a=1".to_vec()));
    assert!(fault.expect_err("half read").message.contains("changed"));
}

#[test]
fn folder_is_read_again_if_a_file_is_removed_during_the_read() {
    let stamps = RefCell::new(vec![Vec::new(), vec![stamp(3)], vec![stamp(3)]]);
    let list = || Ok(stamps.borrow_mut().pop().unwrap_or_default());
    let read = |_: &str| Err(io::Error::from(io::ErrorKind::NotFound));
    let fault = read_stable("folder", list, read).expect_err("no file is left");
    assert!(fault.message.contains("no configuration file"), "{fault}");
}
