//! Digest that tells whether two submissions have the same body.

use xxhash_rust::xxh3::Xxh3;

// Changes whenever the canonical form changes.
const FORM: u8 = 1;

/// Hashes the fields of a submission in a canonical form.
///
/// Every field has a fixed size or its length in front, so that no two bodies share a
/// canonical form.
pub(crate) struct BodyDigest(Xxh3);

impl BodyDigest {
    pub(crate) fn new() -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&[FORM]);
        Self(hasher)
    }

    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.0.update(bytes);
    }

    pub(crate) fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    pub(crate) fn finish(&self) -> u128 {
        self.0.digest128()
    }
}
