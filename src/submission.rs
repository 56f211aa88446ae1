//! A job as a file holds it and as it is submitted.

use std::collections::BTreeMap;

use serde_json::value::{RawValue, to_raw_value};

const SUBMITTED: &str = "submitted_unix_ms";
const DEADLINE: &str = "deadline_unix_ms";

/// The body of a submission; what the file holds stays byte for byte.
#[derive(Debug, Clone)]
pub(crate) struct Submission {
    fields: BTreeMap<String, Box<RawValue>>,
    submitted_unix_ms: u64,
    deadline_unix_ms: u64,
}

impl Submission {
    /// Reads a JSON object and fills in the times that it lacks.
    ///
    /// # Errors
    ///
    /// Fails if the text is no JSON object, or a time in it is no whole number.
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
        let submitted_unix_ms = time(SUBMITTED)?.unwrap_or(now_unix_ms);
        let deadline_after = || submitted_unix_ms.saturating_add(deadline_after_ms);
        let deadline_unix_ms = time(DEADLINE)?.unwrap_or_else(deadline_after);
        Ok(Self {
            fields,
            submitted_unix_ms,
            deadline_unix_ms,
        })
    }

    /// Returns the time of the submission, which every copy of it carries.
    pub(crate) fn submitted_unix_ms(&self) -> u64 {
        self.submitted_unix_ms
    }

    /// Returns the deadline.
    pub(crate) fn deadline_unix_ms(&self) -> u64 {
        self.deadline_unix_ms
    }

    /// Turns it into a new submission, after the last one was refused and did not run.
    pub(crate) fn renew(&mut self, now_unix_ms: u64) {
        self.submitted_unix_ms = now_unix_ms.max(self.submitted_unix_ms + 1);
    }

    /// Returns the JSON body.
    ///
    /// # Panics
    ///
    /// Never panics, since JSON values and numbers always have a JSON form.
    pub(crate) fn body(&self) -> Vec<u8> {
        let mut fields = self.fields.clone();
        for (name, unix_ms) in [
            (SUBMITTED, self.submitted_unix_ms),
            (DEADLINE, self.deadline_unix_ms),
        ] {
            let raw = to_raw_value(&unix_ms).expect("a number has a JSON form");
            fields.insert(name.to_owned(), raw);
        }
        serde_json::to_vec(&fields).expect("JSON values have a JSON form")
    }
}
