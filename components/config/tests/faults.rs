//! Faults in the operators' folder are reported with file, key and remedy.

use std::collections::HashMap;
use std::fs;

use config::{Fault, Merged, Severity, SourceFile, merge_files, merge_folder};
use model::FirmKey;

const TOKEN: &str = "0123456789abcdef";

fn files(contents: &[(&str, &str)]) -> Vec<SourceFile> {
    let file = |(name, text): &(&str, &str)| SourceFile {
        name: (*name).to_owned(),
        bytes: text.as_bytes().to_vec(),
    };
    contents.iter().map(file).collect()
}

fn merge(contents: &[(&str, &str)]) -> Result<Merged, Vec<Fault>> {
    merge_files(&files(contents))
}

/// Returns a valid file, which the tests combine with faulty ones.
fn base() -> (&'static str, &'static str) {
    (
        "00-base.toml",
        "[operators]\ntokens = ['operators-operators']\n\
         [firms.a]\ntokens = ['aaaaaaaaaaaaaaaa']\n[firms.b]\ntokens = ['bbbbbbbbbbbbbbbb']\n",
    )
}

#[test]
fn errors_contain_file_key_and_remedy() {
    let cases = [
        ("firms.a.weight = 0", "firms.a.weight", "from 1 to 1000"),
        ("firms.a.shards = 65", "firms.a.shards", "from 1 to 64"),
        ("firms.a.weight = -1", "firms.a.weight", "from 1 to 1000"),
        ("firms.a.weight = 1.5", "firms.a.weight", "integer"),
        (
            "firms.a.prefer = 'speed'",
            "firms.a.prefer",
            "\"response_time\", \"messages\"",
        ),
        ("firms.a.tokens = 'x'", "firms.a.tokens", "brackets"),
        (
            "firms.a.tokens = ['short']",
            "firms.a.tokens[0]",
            "at least 16",
        ),
        ("firms.a = 3", "firms.a", "[firms.a]"),
        ("firms = 3", "firms", "[firms.NAME]"),
        ("[firms.'A b']", "firms.\"A b\"", "a-z"),
        (
            "firms.a.deadline = '5s'",
            "firms.a.deadline",
            "default_deadline_ms = 5000",
        ),
        (
            "firms.a.max_deadline_s = 5",
            "firms.a.max_deadline_s",
            "max_deadline_ms",
        ),
        (
            "firms.a.max_deadline_ms = '2 min'",
            "firms.a.max_deadline_ms",
            "= 120000",
        ),
        (
            "firms.a.max_deadline_ms = 180001",
            "firms.a.max_deadline_ms",
            "180000",
        ),
        ("firms.a.quota = 5", "firms.a.quota", "quota_tasks"),
        (
            "firms.a.default_deadline_ms = 70000",
            "firms.a.default_deadline_ms",
            "lower default_deadline_ms",
        ),
        (
            "firms.a.max_deadline_ms = 130000",
            "firms.a.max_deadline_ms",
            "raise the limit",
        ),
        (
            "firms.a.max_tasks_per_job = 20000",
            "firms.a.max_tasks_per_job",
            "raise the limit",
        ),
        (
            "groups.g.firms = ['a', 'zz']",
            "groups.g.firms",
            "add [firms.zz]",
        ),
        ("[groups.g]", "groups.g.firms", "list the firms"),
        (
            "groups.g = { firms = ['a'], max_eject_percent = 101 }",
            "groups.g.max_eject_percent",
            "100",
        ),
        (
            "firms.b.tokens = ['aaaaaaaaaaaaaaaa']",
            "firms.b.tokens",
            "of its own",
        ),
        (
            "firms.b.teams.t.tokens = ['aaaaaaaaaaaaaaaa']",
            "firms.b.teams.t.tokens",
            "of its own",
        ),
        (
            "firms.b.tokens = ['operators-operators']",
            "firms.b.tokens",
            "of its own",
        ),
        ("x = 1\ny = [", "line 2", "correct the TOML"),
        ("[firms.a]\n[firms.a]", "line 2", "correct the TOML"),
        ("", "line 1", "remove the file"),
    ];
    for (text, key, remedy) in cases {
        let faults = merge(&[base(), ("10-own.toml", text)]).expect_err(text);
        let fault = faults.iter().find(|fault| fault.key == key);
        let fault = fault.unwrap_or_else(|| panic!("{text}: {faults:?}"));
        assert_eq!(fault.file, "10-own.toml", "{text}");
        assert!(fault.is_error(), "{text}");
        assert!(fault.remedy.contains(remedy), "{text}: {}", fault.remedy);
    }
}

#[test]
fn warnings_contain_file_key_and_remedy() {
    let cases = [
        ("firms.a.wieght = 3", "firms.a.wieght", "`weight`"),
        ("[limit]", "limit", "`limits`"),
        (
            "firms.a.burst_tasks = 5000",
            "firms.a.burst_tasks",
            "rate_tasks_per_s",
        ),
        (
            "firms.a.quota_tasks = 10",
            "firms.a.quota_tasks",
            "never admitted",
        ),
        (
            "firms.a.rate_tasks_per_s = 10",
            "firms.a.rate_tasks_per_s",
            "burst_tasks",
        ),
        ("[firms.c]", "firms.c.tokens", "add a token"),
        (
            "firms.a.teams.t.quota_tasks = 20000",
            "firms.a.teams.t.quota_tasks",
            "raise",
        ),
    ];
    for (text, key, remedy) in cases {
        let merged = merge(&[base(), ("10-own.toml", text)]).expect(text);
        assert_eq!(merged.warnings.len(), 1, "{text}: {:?}", merged.warnings);
        let warning = &merged.warnings[0];
        assert_eq!(
            (warning.file.as_str(), warning.key.as_str()),
            ("10-own.toml", key),
            "{text}"
        );
        assert_eq!(warning.severity, Severity::Warning);
        assert!(
            warning.remedy.contains(remedy),
            "{text}: {}",
            warning.remedy
        );
    }
}

#[test]
fn all_faults_of_all_files_are_reported_at_once() {
    let faults = merge(&[
        base(),
        (
            "10.toml",
            "firms.a.weight = 0\nfirms.a.shards = 0\nfirms.a.wieght = 1\n\
             firms.a.max_deadline_ms = 9",
        ),
        ("20.toml", "groups.g.firms = ['zz']\nfirms.b.prefer = 'x'"),
    ])
    .expect_err("faulty");
    let mut found: Vec<(&str, &str)> = faults
        .iter()
        .map(|f| (f.file.as_str(), f.key.as_str()))
        .collect();
    found.sort_unstable();
    let expected = [
        ("10.toml", "firms.a.max_deadline_ms"),
        ("10.toml", "firms.a.shards"),
        ("10.toml", "firms.a.weight"),
        ("10.toml", "firms.a.wieght"),
        ("20.toml", "firms.b.prefer"),
        ("20.toml", "groups.g.firms"),
    ];
    assert_eq!(found, expected);
}

#[test]
fn invalid_value_causes_no_inconsistency_fault() {
    let text = "firms.a.max_deadline_ms = '90s'\nfirms.a.default_deadline_ms = 80000";
    let faults = merge(&[base(), ("10.toml", text)]).expect_err("faulty");
    assert_eq!(faults.len(), 1, "{faults:?}");
}

#[test]
fn names_with_the_same_firm_key_are_refused() {
    let mut seen = HashMap::new();
    let pair = (0..2_000_000_u32).find_map(|number| {
        let name = format!("f{number}");
        let other = seen.insert(FirmKey::from_name(&name), name.clone())?;
        Some((other, name))
    });
    let (first, second) = pair.expect("two of so many names have the same 32-bit hash");
    let text = format!("firms.{first}.tokens = ['{TOKEN}']\nfirms.{second}.weight = 2");
    let faults = merge(&[("10.toml", &text)]).expect_err("collision");
    let fault = faults
        .iter()
        .find(|fault| fault.is_error())
        .expect("an error");
    assert_eq!(fault.file, "10.toml");
    assert!(fault.message.contains("same internal key"), "{fault}");
}

#[test]
fn faults_contain_no_tokens() {
    let secret = "secret-secret-secret";
    let texts = [
        format!("firms.a.tokens = ['{secret}', 'aaaaaaaaaaaaaaaa', '{secret}']"),
        format!("firms.a.tokens = '{secret}'"),
        format!("firms.a.tokens = [{secret}]"),
        format!("firms.a.tokens = ['{secret} x']"),
        format!("firms.a.tokens = ['{secret}'"),
        format!("firms.a.tokens = ['{secret}']\nfirms.b.tokens = ['{secret}']"),
    ];
    for text in texts {
        let shown = match merge(&[base(), ("10.toml", &text)]) {
            Ok(merged) => format!("{merged:?}"),
            Err(faults) => format!("{faults:?}"),
        };
        assert!(!shown.contains(secret), "{text}: {shown}");
    }
}

#[test]
fn invalid_utf8_is_reported_with_its_line() {
    let file = SourceFile {
        name: String::from("10.toml"),
        bytes: b"# one\nx = \"\xff\"".to_vec(),
    };
    let faults = merge_files(&[file]).expect_err("not UTF-8");
    assert_eq!(
        (faults[0].file.as_str(), faults[0].key.as_str()),
        ("10.toml", "line 2")
    );
    assert!(faults[0].message.contains("UTF-8"));
}

#[test]
fn missing_empty_and_unreadable_folders_are_reported() {
    let dir = tempfile::tempdir().expect("a directory");
    let missing = merge_folder(&dir.path().join("missing")).expect_err("missing");
    assert!(missing[0].message.contains("cannot be read"));
    for ignored in [
        "a.toml~",
        ".a.toml",
        "a.swp",
        ".a.toml.swp",
        "#a.toml#",
        "README.md",
    ] {
        fs::write(dir.path().join(ignored), "not TOML [").expect("a file");
    }
    let empty = merge_folder(dir.path()).expect_err("empty");
    assert!(empty[0].message.contains("no configuration file"));
    fs::create_dir(dir.path().join("10.toml")).expect("a directory");
    let unreadable = merge_folder(dir.path()).expect_err("a directory");
    assert_eq!(unreadable[0].file, "10.toml");
    assert!(unreadable[0].message.contains("cannot be read"));
}
