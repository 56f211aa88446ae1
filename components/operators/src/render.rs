//! Output of the operators' commands, with tokens masked.

use std::fmt::Write;

use config::{Change, Configuration, Fault, Merged, Snapshot, UndoneEdit, changes};
use errors::ExitCode;

use crate::conflict::{Conflict, Edit};
use crate::outcome::Outcome;
use crate::time::{format_age_ms, format_unix_ms};

/// The output of a command, and its exit status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Text to print.
    pub text: String,
    /// The exit status.
    pub exit_code: ExitCode,
}

/// Renders the result of merging the operators' folder.
#[must_use]
pub fn render_check(result: &Result<Merged, Vec<Fault>>) -> Report {
    let (faults, exit_code) = match result {
        Ok(merged) => (&merged.warnings, ExitCode::Ok),
        Err(faults) => (faults, ExitCode::Invalid),
    };
    let mut text = render_lines(faults);
    let error_count = faults.iter().filter(|fault| fault.is_error()).count();
    let warning_count = faults.len() - error_count;
    push_line(
        &mut text,
        &format!("{error_count} errors, {warning_count} warnings"),
    );
    Report { text, exit_code }
}

/// Renders the configuration in force: revision, editor, time of publication, age, and each value
/// with the file that set it.
#[must_use]
pub fn render_show(snapshot: &Snapshot, now_unix_ms: u64) -> String {
    let published = &snapshot.published;
    let age_ms = now_unix_ms.saturating_sub(snapshot.learned_unix_ms);
    let mut text = String::new();
    push_line(&mut text, &format!("revision {}", snapshot.revision));
    push_line(&mut text, &format!("published by {}", published.editor));
    let published_at = format_unix_ms(published.published_unix_ms);
    push_line(&mut text, &format!("published at {published_at}"));
    let read_ago = format_age_ms(age_ms);
    push_line(&mut text, &format!("read from the platform {read_ago} ago"));
    for (key, value) in published.merged.values() {
        let file = published
            .provenance
            .get(&key)
            .map_or("default", String::as_str);
        push_line(&mut text, &format!("{key} = {value}  ({file})"));
    }
    text
}

/// Renders the differences between two configurations, one key a line.
#[must_use]
pub fn render_diff(from: &Configuration, to: &Configuration) -> String {
    let changes = changes(from, to);
    if changes.is_empty() {
        return String::from("no differences\n");
    }
    render_lines(&changes)
}

/// Renders the outcome of an attempt to publish.
#[must_use]
pub fn render_outcome(outcome: &Outcome) -> Report {
    Report {
        text: outcome_text(outcome),
        exit_code: outcome.exit_code(),
    }
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Published { revision, changes } => {
            format!("published revision {revision}\n{}", render_lines(changes))
        }
        Outcome::Unchanged { revision } => format!("unchanged, revision {revision}\n"),
        Outcome::Superseded { by } => {
            format!("published, and replaced since by {}\n", edit_text(by))
        }
        Outcome::Conflict(conflict) => conflict_text(conflict),
        Outcome::WouldUndoEdits { revision, edits } => undone_edits_text(*revision, edits),
        Outcome::Refused { faults } => format!("not published\n{}", render_lines(faults)),
        Outcome::Invalid { error } => format!("not published\n{error}\n"),
        Outcome::Unavailable { message } => {
            format!("not published: the platform cannot be read: {message}; try again later\n")
        }
        Outcome::Unknown { message } => format!(
            "unknown whether published: {message}; run `show` and publish again if it is not \
             in force\n"
        ),
    }
}

fn conflict_text(conflict: &Conflict) -> String {
    let expected = conflict.expected_revision;
    let mut text = match &conflict.other {
        Some(edit) => format!(
            "not published: revision {expected} was replaced by {}\n",
            edit_text(edit)
        ),
        None => format!("not published: revision {expected} is no longer in force\n"),
    };
    push_section(
        &mut text,
        "the other edit changed",
        conflict.other_changes.as_deref(),
    );
    push_section(
        &mut text,
        "this edit would have changed",
        conflict.own_changes.as_deref(),
    );
    let remaining = Some(conflict.remaining_changes.as_slice());
    push_section(&mut text, "publishing over it would change", remaining);
    push_line(
        &mut text,
        "take the other edit into the folder and publish again",
    );
    text
}

fn undone_edits_text(revision: u64, edits: &[UndoneEdit]) -> String {
    let mut text = String::from(
        "not published: the folder does not contain these changes by other operators:\n",
    );
    for edit in edits {
        let at = format_unix_ms(edit.published_unix_ms);
        push_line(
            &mut text,
            &format!("  {}, changed by {} at {at}", edit.key, edit.editor),
        );
    }
    let remedy = format!("take it into the folder, or undo it with `--base {revision}`");
    push_line(&mut text, &remedy);
    text
}

fn push_section(text: &mut String, title: &str, changes: Option<&[Change]>) {
    let Some(changes) = changes else {
        return;
    };
    if changes.is_empty() {
        return;
    }
    push_line(text, &format!("{title}:"));
    for change in changes {
        push_line(text, &format!("  {change}"));
    }
}

fn edit_text(edit: &Edit) -> String {
    let at = format_unix_ms(edit.published_unix_ms);
    format!(
        "revision {}, published by {} at {at}",
        edit.revision, edit.editor
    )
}

fn render_lines<T: ToString>(items: &[T]) -> String {
    let mut text = String::new();
    for item in items {
        push_line(&mut text, &item.to_string());
    }
    text
}

fn push_line(text: &mut String, content: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{content}");
}
