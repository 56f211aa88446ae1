//! Digest of a submitted body, used to detect resubmissions under the same job ID whose body
//! differs.

use xxhash_rust::xxh3::Xxh3;

// Increment whenever the canonical form changes.
const CANONICAL_FORM_VERSION: u8 = 1;

/// Hashes the fields of a submission in a canonical form.
///
/// Every field has a fixed size or a length prefix, so that different bodies have different
/// canonical forms.
pub(crate) struct BodyHasher(Xxh3);

impl BodyHasher {
    pub(crate) fn new() -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&[CANONICAL_FORM_VERSION]);
        Self(hasher)
    }

    pub(crate) fn update_bytes(&mut self, bytes: &[u8]) {
        self.update_u64(bytes.len() as u64);
        self.0.update(bytes);
    }

    pub(crate) fn update_u64(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    pub(crate) fn finish(&self) -> u128 {
        self.0.digest128()
    }
}
