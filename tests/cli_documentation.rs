//! Checks that the operators' pages explain every failure, metric and log line.

use std::fs;
use std::path::{Path, PathBuf};

use model::{FailureKind, FailureReason, RefusalReason};
use strum::IntoEnumIterator;

const LOG_MACROS: [&str; 4] = ["log::error!(", "log::warn!(", "log::info!(", "log::debug!("];

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path:?}: {error}"))
}

/// Returns the contents of every source file of a component.
fn sources(component: &str) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("components");
    let mut folders = vec![root.join(component).join("src")];
    let mut files: Vec<PathBuf> = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("the folder is there") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                files.push(path);
            }
        }
    }
    let texts = files.iter().map(fs::read_to_string);
    texts.map(|text| text.expect("text")).collect()
}

/// Returns the first string literal at or after a position.
fn literal_after(text: &str) -> &str {
    let start = text.find('"').expect("a literal") + 1;
    let end = text[start..].find('"').expect("its end");
    &text[start..start + end]
}

/// Replaces each `{...}` of a message by an ellipsis, as the page writes it.
fn with_ellipses(message: &str) -> String {
    let mut text = String::new();
    let mut rest = message;
    while let Some((before, after)) = rest.split_once('{') {
        text.push_str(before);
        text.push('…');
        rest = after.split_once('}').expect("a closing brace").1;
    }
    text.push_str(rest);
    text
}

#[test]
fn operations_page_explains_every_failure() {
    let page = read("docs/OPERATIONS.md");
    let kinds = FailureKind::iter().map(<&str>::from);
    let reasons = FailureReason::iter().map(<&str>::from);
    let refusals = RefusalReason::iter().map(<&str>::from);
    for name in kinds.chain(reasons).chain(refusals) {
        assert!(page.contains(&format!("\n| `{name}` | ")), "{name}");
    }
}

#[test]
fn operations_page_explains_every_metric() {
    let page = read("docs/OPERATIONS.md");
    for component in ["entry", "agent"] {
        for source in sources(component) {
            let mut rest = source.as_str();
            while let Some(start) = rest.find("\"shallotcross_") {
                let name = literal_after(&rest[start..]);
                assert!(page.contains(&format!("\n| `{name}` | ")), "{name}");
                rest = &rest[start + 1..];
            }
        }
    }
}

#[test]
fn operations_page_explains_every_log_line() {
    let page = read("docs/OPERATIONS.md");
    for component in ["entry", "agent", "protocol", "web", "runtime"] {
        for source in sources(component) {
            for log_macro in LOG_MACROS {
                for (start, _) in source.match_indices(log_macro) {
                    let message = with_ellipses(literal_after(&source[start..]));
                    assert!(page.contains(&message), "{component}: {message}");
                }
            }
        }
    }
}

#[test]
fn pages_linked_from_the_readme_exist() {
    let readme = read("README.md");
    for (start, _) in readme.match_indices("](") {
        let link = &readme[start + 2..];
        let link = &link[..link.find(')').expect("the end of a link")];
        assert!(!read(link).is_empty(), "{link}");
    }
}
