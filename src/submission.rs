//! The JSON body of a job submission.

use std::collections::BTreeMap;

use serde_json::value::{RawValue, to_raw_value};

const SUBMITTED_FIELD: &str = "submitted_unix_ms";
const DEADLINE_FIELD: &str = "deadline_unix_ms";

/// The body of a submission; values from the file are kept byte for byte, so that large numbers
/// do not lose digits.
#[derive(Debug, Clone)]
pub(crate) struct Submission {
    fields: BTreeMap<String, Box<RawValue>>,
    submitted_unix_ms: u64,
    deadline_unix_ms: u64,
}

impl Submission {
    /// Parses a JSON object and fills in the submission time and the deadline if missing.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a JSON object, or one of the times is not an unsigned integer.
    pub(crate) fn parse(
        text: &[u8],
        now_unix_ms: u64,
        deadline_after_ms: u64,
    ) -> Result<Self, serde_json::Error> {
        let fields: BTreeMap<String, Box<RawValue>> = serde_json::from_slice(text)?;
        let time = |name: &str| {
            let raw = fields.get(name);
            raw.map(|raw| serde_json::from_str(raw.get())).transpose()
        };
        let submitted_unix_ms = time(SUBMITTED_FIELD)?.unwrap_or(now_unix_ms);
        let deadline_after = || submitted_unix_ms.saturating_add(deadline_after_ms);
        let deadline_unix_ms = time(DEADLINE_FIELD)?.unwrap_or_else(deadline_after);
        Ok(Self {
            fields,
            submitted_unix_ms,
            deadline_unix_ms,
        })
    }

    /// Returns the time of the submission; resubmissions keep it.
    pub(crate) fn submitted_unix_ms(&self) -> u64 {
        self.submitted_unix_ms
    }

    /// Returns the deadline.
    pub(crate) fn deadline_unix_ms(&self) -> u64 {
        self.deadline_unix_ms
    }

    /// Makes this a new submission, with a later submission time, after a refusal.
    pub(crate) fn renew(&mut self, now_unix_ms: u64) {
        self.submitted_unix_ms = now_unix_ms.max(self.submitted_unix_ms + 1);
    }

    /// Returns the JSON body.
    ///
    /// # Panics
    ///
    /// Never panics, since JSON values and numbers can always be serialized.
    pub(crate) fn body(&self) -> Vec<u8> {
        let mut fields = self.fields.clone();
        for (name, unix_ms) in [
            (SUBMITTED_FIELD, self.submitted_unix_ms),
            (DEADLINE_FIELD, self.deadline_unix_ms),
        ] {
            let raw = to_raw_value(&unix_ms).expect("a number can be serialized");
            fields.insert(name.to_owned(), raw);
        }
        serde_json::to_vec(&fields).expect("JSON values can be serialized")
    }
}
