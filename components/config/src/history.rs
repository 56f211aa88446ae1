//! The last edit of each key. An operator whose folder lacks an edit by somebody else would revert
//! that edit by publishing; the record of edits makes it possible to detect this.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::diff::{changes, flatten};
use crate::published::Published;

/// The last change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastEdit {
    /// The operator who changed the key.
    pub editor: String,
    /// When the change was published.
    pub published_unix_ms: u64,
    /// Hash of the value before the change; absent if there was none.
    pub previous_hash: Option<u64>,
}

/// An edit by another operator that a publication would revert.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UndoneEdit {
    /// Path of the key.
    pub key: String,
    /// The operator who changed the key.
    pub editor: String,
    /// When the change was published.
    pub published_unix_ms: u64,
}

impl Published {
    /// Returns the edits in this publication that `newer` would revert to the previous value.
    ///
    /// Edits by the editor of `newer` are left out.
    #[must_use]
    pub fn edits_undone_by(&self, newer: &Self) -> Vec<UndoneEdit> {
        let values = flatten(&newer.merged);
        let mut undone = Vec::new();
        for change in changes(&self.merged, &newer.merged) {
            let Some(edit) = self.last_edits.get(&change.key) else {
                continue;
            };
            let is_reverted = hash_value(values.get(&change.key)) == edit.previous_hash;
            if !is_reverted || edit.editor == newer.editor {
                continue;
            }
            undone.push(UndoneEdit {
                key: change.key,
                editor: edit.editor.clone(),
                published_unix_ms: edit.published_unix_ms,
            });
        }
        undone
    }

    /// Returns the last edit of each key if this publication replaces `base`.
    pub(crate) fn last_edits_after(&self, base: &Self) -> BTreeMap<String, LastEdit> {
        let values = flatten(&base.merged);
        let mut edits = base.last_edits.clone();
        for change in changes(&base.merged, &self.merged) {
            let edit = LastEdit {
                editor: self.editor.clone(),
                published_unix_ms: self.published_unix_ms,
                previous_hash: hash_value(values.get(&change.key)),
            };
            edits.insert(change.key, edit);
        }
        edits
    }
}

fn hash_value(value: Option<&Value>) -> Option<u64> {
    value.map(|value| xxh3_64(value.to_string().as_bytes()))
}
