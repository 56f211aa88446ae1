//! The operators' configuration in the form that is stored in the platform's key-value store.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::fault::Fault;
use crate::folder::{Merged, Provenance, validate};
use crate::history::LastEdit;

/// Key of the configuration in the platform's key-value store.
pub const CONFIG_KEY: &str = "/shallotcross/config";

/// Format version that this release writes, and the newest that it reads.
pub const FORMAT_VERSION: u32 = 1;

/// Maximum size of the encoded value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum number of earlier publications recorded in a publication.
pub const MAX_ANCESTORS: usize = 16;

/// A publication: the value stored under [`CONFIG_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Format version of this value.
    pub format_version: u32,
    /// Random id that is unique to this publication.
    pub publication_id: String,
    /// Ids of at most [`MAX_ANCESTORS`] publications before this one, the newest first.
    pub ancestors: Vec<String>,
    /// Last edit of each key that was changed since the first publication.
    pub last_edits: BTreeMap<String, LastEdit>,
    /// The operator who published it.
    pub editor: String,
    /// When it was published.
    pub published_unix_ms: u64,
    /// Revision that this publication replaced; zero if there was none.
    pub base_revision: u64,
    /// The configuration.
    pub merged: Configuration,
    /// Name of the file that each value came from.
    pub provenance: Provenance,
}

/// Builds a [`Published`].
#[derive(Debug, Clone)]
pub struct PublishedBuilder {
    published: Published,
}

/// The reason why a published value cannot be used.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum PublishedError {
    /// The value has a newer format version, so a newer release wrote it.
    #[display(
        "{CONFIG_KEY}: format_version: {found} is newer than {FORMAT_VERSION}; \
         update this process"
    )]
    NewerFormat {
        /// The version found.
        found: u32,
    },
    /// The value is not a configuration.
    #[display("{CONFIG_KEY}: {message}; publish the operators' folder again")]
    Malformed {
        /// What is wrong with it.
        message: String,
    },
    /// The configuration contains an invalid value.
    #[display("{CONFIG_KEY}: {fault}; publish the operators' folder again")]
    Invalid {
        /// The first invalid value.
        fault: Fault,
    },
    /// The value is too large for the platform.
    #[display(
        "{CONFIG_KEY}: {size_bytes} bytes exceed {MAX_VALUE_BYTES}; remove teams, tokens or firms"
    )]
    TooLarge {
        /// Size of the value.
        size_bytes: usize,
    },
}

#[derive(Debug, Deserialize)]
struct Header {
    format_version: u32,
}

impl Published {
    /// Returns a builder for the publication of a merged folder.
    #[must_use]
    pub fn builder(merged: Merged) -> PublishedBuilder {
        PublishedBuilder {
            published: Self {
                format_version: FORMAT_VERSION,
                publication_id: String::new(),
                ancestors: Vec::new(),
                last_edits: BTreeMap::new(),
                editor: String::new(),
                published_unix_ms: 0,
                base_revision: 0,
                merged: merged.configuration,
                provenance: merged.provenance,
            },
        }
    }

    /// Encodes the value as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is too large for the platform.
    pub fn encode(&self) -> Result<String, PublishedError> {
        let text = serde_json::to_string(self).map_err(|error| malformed(&error))?;
        if text.len() > MAX_VALUE_BYTES {
            return Err(PublishedError::TooLarge {
                size_bytes: text.len(),
            });
        }
        Ok(text)
    }

    /// Decodes a value from the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has a newer format version, is malformed, or contains an invalid
    /// configuration.
    pub fn decode(bytes: &[u8]) -> Result<Self, PublishedError> {
        let header: Header = serde_json::from_slice(bytes).map_err(|error| malformed(&error))?;
        if header.format_version > FORMAT_VERSION {
            return Err(PublishedError::NewerFormat {
                found: header.format_version,
            });
        }
        let published: Self = serde_json::from_slice(bytes).map_err(|error| malformed(&error))?;
        match validate(&published.merged, &published.provenance)
            .into_iter()
            .next()
        {
            Some(fault) => Err(PublishedError::Invalid { fault }),
            None => Ok(published),
        }
    }

    /// Records `base`, which is in force at `revision`, as the publication that this one replaces.
    ///
    /// Without a `base`, `revision` is zero, or that of a value that cannot be decoded.
    #[must_use]
    pub fn following(mut self, revision: u64, base: Option<&Self>) -> Self {
        self.base_revision = revision;
        self.ancestors.clear();
        self.last_edits.clear();
        if let Some(base) = base {
            self.ancestors.push(base.publication_id.clone());
            self.ancestors.extend(base.ancestors.iter().cloned());
            self.ancestors.truncate(MAX_ANCESTORS);
            self.last_edits = self.last_edits_after(base);
        }
        self
    }
}

impl PublishedBuilder {
    /// Sets the random id, which must be unique to this publication.
    #[must_use]
    pub fn publication_id(mut self, publication_id: impl Into<String>) -> Self {
        self.published.publication_id = publication_id.into();
        self
    }

    /// Sets the operator who publishes.
    #[must_use]
    pub fn editor(mut self, editor: impl Into<String>) -> Self {
        self.published.editor = editor.into();
        self
    }

    /// Sets the time of publication.
    #[must_use]
    pub fn published_unix_ms(mut self, published_unix_ms: u64) -> Self {
        self.published.published_unix_ms = published_unix_ms;
        self
    }

    /// Returns the publication.
    #[must_use]
    pub fn build(self) -> Published {
        self.published
    }
}

fn malformed(error: &serde_json::Error) -> PublishedError {
    // The text of a serde error may quote a value, and that value may be a token.
    let message = format!(
        "is malformed at line {}, column {}",
        error.line(),
        error.column()
    );
    PublishedError::Malformed { message }
}
