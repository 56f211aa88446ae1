//! The failure domains that the operator has evacuated.
//!
//! The store holds the set under a prefix and numbers all of its changes with a single counter.
//! Processes pass whole sets on to each other, each with the revision at which the store held it,
//! so that of two sets the one with the higher revision is right.

use std::collections::BTreeSet;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// Largest number of failure domains in a set; the largest installation planned has 12.
pub const MAX_EVACUATED_FAILURE_DOMAINS: usize = 256;

/// Largest length of the name of a failure domain, in bytes.
pub const MAX_FAILURE_DOMAIN_BYTES: usize = 128;

/// The set of evacuated failure domains that the store held at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: u64,
    failure_domains: BTreeSet<Rc<str>>,
}

impl Evacuations {
    /// Creates a set; omits names that are no valid name of a failure domain, and those beyond
    /// [`MAX_EVACUATED_FAILURE_DOMAINS`] in alphabetical order.
    #[must_use]
    pub fn new(revision: u64, names: impl IntoIterator<Item = Rc<str>>) -> Self {
        let valid: BTreeSet<Rc<str>> = names
            .into_iter()
            .filter(|name| is_failure_domain_name(name))
            .collect();
        Self {
            revision,
            failure_domains: valid
                .into_iter()
                .take(MAX_EVACUATED_FAILURE_DOMAINS)
                .collect(),
        }
    }

    /// Returns the revision at which the store held the set.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the names, in alphabetical order.
    pub fn failure_domains(&self) -> impl ExactSizeIterator<Item = &Rc<str>> {
        self.failure_domains.iter()
    }

    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.failure_domains.contains(failure_domain)
    }

    /// Returns the revision and a hash of the names.
    #[must_use]
    pub fn digest(&self) -> EvacuationsDigest {
        let mut hasher = Xxh3Default::new();
        for name in &self.failure_domains {
            hasher.update(name.as_bytes());
            // No name contains a control character.
            hasher.update(&[0]);
        }
        EvacuationsDigest {
            revision: self.revision,
            names_hash: hasher.digest(),
        }
    }

    /// Returns whether the set keeps the limits; one that a peer has sent may not.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.failure_domains.len() <= MAX_EVACUATED_FAILURE_DOMAINS
            && self
                .failure_domains
                .iter()
                .all(|name| is_failure_domain_name(name))
    }
}

/// The revision of a set of evacuations and a hash of its names; the default stands for no set.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationsDigest {
    /// Revision of the store that held the set.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Hash of the names.
    #[serde(rename = "h")]
    pub names_hash: u64,
}

/// What an agent tells an entry about evacuations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationsReport {
    /// Digest of the newest set that the agent knows.
    #[serde(rename = "d")]
    pub digest: EvacuationsDigest,
    /// That set, if it is newer than the entry's and differs.
    #[serde(rename = "n")]
    pub newer: Option<Evacuations>,
}

/// Returns whether a text may be the name of a failure domain: 1 to [`MAX_FAILURE_DOMAIN_BYTES`]
/// bytes without control characters.
#[must_use]
pub fn is_failure_domain_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_FAILURE_DOMAIN_BYTES
        && !text.chars().any(char::is_control)
}

/// Returns names separated by commas, for log lines.
#[must_use]
pub fn names_in_one_text(names: &[Rc<str>]) -> String {
    names.join(",")
}

/// The newest set of evacuations that a process knows, if it knows any.
#[derive(Debug, Default, Clone)]
pub struct KnownEvacuations {
    newest: Option<Evacuations>,
}

/// How a newer set differs from the one before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Failure domains that are evacuated now.
    pub begun: Vec<Rc<str>>,
    /// Failure domains that are no longer evacuated.
    pub ended: Vec<Rc<str>>,
}

impl KnownEvacuations {
    /// Returns the newest set; `None` before the process has learned any.
    #[must_use]
    pub fn get(&self) -> Option<&Evacuations> {
        self.newest.as_ref()
    }

    /// Returns the revision of the newest set; `None` before the process has learned any.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.newest.as_ref().map(Evacuations::revision)
    }

    /// Returns whether a failure domain is evacuated in the newest set.
    #[must_use]
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.newest
            .as_ref()
            .is_some_and(|newest| newest.contains(failure_domain))
    }

    /// Returns the digest of the newest set.
    #[must_use]
    pub fn digest(&self) -> EvacuationsDigest {
        self.newest
            .as_ref()
            .map_or_else(EvacuationsDigest::default, Evacuations::digest)
    }

    /// Returns the newest set if a peer with this digest has an older one that differs.
    #[must_use]
    pub fn update_for(&self, peer: EvacuationsDigest) -> Option<&Evacuations> {
        let newest = self.newest.as_ref()?;
        let is_newer = newest.revision > peer.revision;
        (is_newer && newest.digest().names_hash != peer.names_hash).then_some(newest)
    }

    /// Takes the revision of a peer's set if that is equal to the newest one known, so that a set
    /// from between the two revisions cannot replace it.
    pub fn confirm(&mut self, peer: EvacuationsDigest) {
        if let Some(newest) = &mut self.newest
            && peer.revision > newest.revision
            && peer.names_hash == newest.digest().names_hash
        {
            newest.revision = peer.revision;
        }
    }

    /// Takes a set in place of the one known if its revision is higher and it keeps the limits.
    ///
    /// Returns what changed if failure domains did. The revision of an equal set is taken too: a
    /// set from between the two revisions may differ and must not replace it later.
    pub fn merge(&mut self, other: Evacuations) -> Option<EvacuationChange> {
        let is_newer = self
            .revision()
            .is_none_or(|revision| other.revision > revision);
        if !is_newer || !other.is_valid() {
            return None;
        }
        let previous = self.newest.take().map(|newest| newest.failure_domains);
        let previous = previous.unwrap_or_default();
        let change = EvacuationChange {
            begun: other
                .failure_domains
                .difference(&previous)
                .cloned()
                .collect(),
            ended: previous
                .difference(&other.failure_domains)
                .cloned()
                .collect(),
        };
        self.newest = Some(other);
        let is_changed = !change.begun.is_empty() || !change.ended.is_empty();
        is_changed.then_some(change)
    }
}
