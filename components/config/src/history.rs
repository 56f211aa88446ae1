//! Who last changed each key, to notice a folder that lacks an edit of somebody else.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::diff::{changes, flatten};
use crate::published::Published;

/// The last change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastEdit {
    /// Who changed it.
    pub editor: String,
    /// When the change was published.
    pub published_unix_ms: u64,
    /// Hash of the value before the change; absent if there was none.
    pub previous_hash: Option<u64>,
}

/// An edit of somebody else that a publication would undo.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Undone {
    /// Path of the key.
    pub key: String,
    /// Who changed it.
    pub editor: String,
    /// When the change was published.
    pub published_unix_ms: u64,
}

impl Published {
    /// Returns the edits in force that `newer` would set back to the value before them.
    ///
    /// Edits by the editor of `newer` do not count.
    #[must_use]
    pub fn undone_by(&self, newer: &Self) -> Vec<Undone> {
        let values = flatten(&newer.merged);
        let mut undone = Vec::new();
        for change in changes(&self.merged, &newer.merged) {
            let Some(edit) = self.last_edits.get(&change.key) else {
                continue;
            };
            let is_set_back = hash(values.get(&change.key)) == edit.previous_hash;
            if !is_set_back || edit.editor == newer.editor {
                continue;
            }
            undone.push(Undone {
                key: change.key,
                editor: edit.editor.clone(),
                published_unix_ms: edit.published_unix_ms,
            });
        }
        undone
    }

    /// Returns the last change of each key once this publication follows `base`.
    pub(crate) fn last_edits_after(&self, base: &Self) -> BTreeMap<String, LastEdit> {
        let values = flatten(&base.merged);
        let mut edits = base.last_edits.clone();
        for change in changes(&base.merged, &self.merged) {
            let edit = LastEdit {
                editor: self.editor.clone(),
                published_unix_ms: self.published_unix_ms,
                previous_hash: hash(values.get(&change.key)),
            };
            edits.insert(change.key, edit);
        }
        edits
    }
}

fn hash(value: Option<&Value>) -> Option<u64> {
    value.map(|value| xxh3_64(value.to_string().as_bytes()))
}
