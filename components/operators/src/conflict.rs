//! A conflict between an operator's publication and another operator's edit.

use config::{Change, Published, changes};

/// A publication by another operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Revision of the value in the platform's key-value store.
    pub revision: u64,
    /// The operator who published it.
    pub editor: String,
    /// When it was published.
    pub published_unix_ms: u64,
}

/// The revision in force is not the expected one, so nothing was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Revision that the operator expected; zero if no value was expected.
    pub expected_revision: u64,
    /// The edit in force; absent if the value was removed or cannot be decoded.
    pub other: Option<Edit>,
    /// Changes from the expected revision to the edit in force, if the expected one is known.
    pub other_changes: Option<Vec<Change>>,
    /// Changes from the expected revision to the operator's configuration, if the expected one is
    /// known.
    pub own_changes: Option<Vec<Change>>,
    /// Changes from the edit in force to the operator's configuration.
    pub remaining_changes: Vec<Change>,
}

impl Edit {
    pub(crate) fn new(revision: u64, published: &Published) -> Self {
        Self {
            revision,
            editor: published.editor.clone(),
            published_unix_ms: published.published_unix_ms,
        }
    }
}

impl Conflict {
    /// Creates a conflict with the edit in force, `other`, which has the given revision.
    pub(crate) fn with_edit(
        expected_revision: u64,
        base: Option<&Published>,
        own: &Published,
        revision: u64,
        other: &Published,
    ) -> Self {
        Self {
            expected_revision,
            other: Some(Edit::new(revision, other)),
            other_changes: base.map(|base| changes(&base.merged, &other.merged)),
            own_changes: base.map(|base| changes(&base.merged, &own.merged)),
            remaining_changes: changes(&other.merged, &own.merged),
        }
    }

    /// Creates a conflict with a value that was removed or cannot be decoded.
    pub(crate) fn without_edit(
        expected_revision: u64,
        base: Option<&Published>,
        own: &Published,
    ) -> Self {
        Self {
            expected_revision,
            other: None,
            other_changes: None,
            own_changes: base.map(|base| changes(&base.merged, &own.merged)),
            remaining_changes: Vec::new(),
        }
    }
}
