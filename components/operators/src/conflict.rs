//! What another edit did while, or before, an operator published.

use config::{Change, Published, changes};

/// An edit that another operator published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Revision of the platform's value.
    pub revision: u64,
    /// Who published it.
    pub editor: String,
    /// When it was published.
    pub published_unix_ms: u64,
}

/// Another edit got in first; nothing was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Revision that the operator expected; zero if no value.
    pub expected_revision: u64,
    /// The edit in force; absent if the value was removed or cannot be read.
    pub other: Option<Edit>,
    /// What the other edit changed, if the value at the expected revision is known.
    pub other_changes: Option<Vec<Change>>,
    /// What the operator wanted to change, if the value at the expected revision is known.
    pub own_changes: Option<Vec<Change>>,
    /// What publishing all the same would change.
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
    /// Builds a conflict with the value in force, `other`, of the given revision.
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

    /// Builds a conflict with a value that was removed or cannot be read.
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
