//! Output and exit codes of the operators' commands.

use config::{Published, Snapshot, SourceFile, UndoneEdit, merge_files};
use errors::ExitCode;
use operators::{Conflict, Edit, Outcome, render_check, render_diff, render_outcome, render_show};

const TOKEN: &str = "secret-secret-secret-sec";

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: name.to_owned(),
        bytes: text.as_bytes().to_vec(),
    }
}

fn snapshot() -> Snapshot {
    let base = format!("firms.a.tokens = ['{TOKEN}']");
    let files = [
        file("10.toml", &base),
        file("20.toml", "firms.a.weight = 4"),
    ];
    let published = Published::builder(merge_files(&files).expect("valid"))
        .editor("ana")
        .published_unix_ms(1_709_164_800_000)
        .build();
    Snapshot {
        revision: 17,
        learned_unix_ms: 1_709_164_800_000,
        published,
    }
}

#[test]
fn show_lists_values_files_revision_and_age_without_tokens() {
    let text = render_show(&snapshot(), 1_709_164_800_000 + 90_000);
    for expected in [
        "revision 17\n",
        "published by ana\n",
        "published at 2024-02-29T00:00:00Z\n",
        "read from the platform 90 s ago\n",
        "firms.a.tokens = [(token, 24 characters)]  (10.toml)\n",
        "firms.a.weight = 4  (20.toml)\n",
        "firms.a.shards = 1  (default)\n",
    ] {
        assert!(text.contains(expected), "{expected} in {text}");
    }
    assert!(!text.contains("secret"), "{text}");
}

#[test]
fn check_lists_faults_and_counts_them() {
    let faulty = merge_files(&[file("10.toml", "firms.a.weight = 0\nfirms.a.wieght = 1")]);
    let report = render_check(&faulty);
    assert_eq!(report.exit_code, ExitCode::Invalid);
    let expected =
        "error: 10.toml: firms.a.weight: 0 is out of bounds; write a number from 1 to 1000\n";
    assert!(report.text.contains(expected), "{}", report.text);
    assert!(
        report.text.ends_with("1 errors, 2 warnings\n"),
        "{}",
        report.text
    );

    let valid = render_check(&merge_files(&[file("10.toml", "[firms.a]")]));
    assert_eq!(valid.exit_code, ExitCode::Ok);
    assert!(
        valid.text.ends_with("0 errors, 1 warnings\n"),
        "{}",
        valid.text
    );
}

#[test]
fn diff_masks_tokens() {
    let from = snapshot().published.merged;
    let mut to = from.clone();
    to.firms.get_mut("a").expect("a firm").tokens.clear();
    let expected = "firms.a.tokens: [(token, 24 characters)] -> []\n";
    assert_eq!(render_diff(&from, &to), expected);
    assert_eq!(render_diff(&to, &to), "no differences\n");
}

#[test]
fn outcomes_have_their_exit_codes() {
    let edit = Edit {
        revision: 9,
        editor: String::from("ana"),
        published_unix_ms: 951_782_400_000,
    };
    let conflict = Conflict {
        expected_revision: 7,
        other: Some(edit.clone()),
        other_changes: None,
        own_changes: None,
        remaining_changes: Vec::new(),
    };
    let message = String::from("timeout");
    let undone = UndoneEdit {
        key: String::from("firms.a.weight"),
        editor: String::from("ana"),
        published_unix_ms: 0,
    };
    let would_undo = Outcome::WouldUndoEdits {
        revision: 9,
        edits: vec![undone],
    };
    let cases = [
        (
            would_undo,
            ExitCode::Conflict,
            "firms.a.weight, changed by ana at 1970-01-01T00:00:00Z\n\
             take it into the folder, or undo it with `--base 9`",
        ),
        (
            Outcome::Unchanged { revision: 3 },
            ExitCode::Ok,
            "unchanged, revision 3",
        ),
        (
            Outcome::Superseded { by: edit },
            ExitCode::Ok,
            "replaced since by revision 9",
        ),
        (
            Outcome::Conflict(Box::new(conflict)),
            ExitCode::Conflict,
            "revision 7 was replaced by revision 9, published by ana at 2000-02-29T00:00:00Z",
        ),
        (
            Outcome::Unavailable {
                message: message.clone(),
            },
            ExitCode::Unavailable,
            "try again",
        ),
        (
            Outcome::Unknown { message },
            ExitCode::Unavailable,
            "unknown whether published",
        ),
    ];
    for (outcome, exit_code, expected) in cases {
        let report = render_outcome(&outcome);
        assert_eq!(report.exit_code, exit_code);
        assert!(report.text.contains(expected), "{}", report.text);
    }
}
