//! State machine that publishes a configuration by compare-and-swap.
//!
//! It reads the value in force and swaps it for the new one. If the swap is refused or its result is
//! unknown, it reads the value again to find out whether the swap took effect, since a response may
//! be lost after the value was written.

use config::{Change, Configuration, MAX_ANCESTORS, Published, PublishedError, changes};

use crate::call::{Action, Event, Expected, Stored};
use crate::conflict::{Conflict, Edit};
use crate::outcome::Outcome;
use crate::shards::shard_count_changes;

/// Number of failed calls after which the state machine gives up.
pub const MAX_FAILED_CALLS: u32 = 8;

/// Publishes one configuration.
#[derive(Debug)]
pub struct Publish {
    published: Published,
    expected: Expected,
    state: State,
    failed_calls: u32,
    /// Whether a swap failed with an unknown result, so that the value may have been written.
    has_uncertain_write: bool,
}

#[derive(Debug)]
enum State {
    Reading,
    Swapping(Base),
    ReadingBack(Base),
    Finished(Outcome),
}

/// The value to replace; `published` is absent if there is none or it cannot be decoded.
#[derive(Debug, Clone)]
struct Base {
    revision: u64,
    published: Option<Published>,
}

impl Publish {
    /// Creates the state machine. The publication id must be random, since it identifies the value
    /// when it is read back.
    #[must_use]
    pub fn new(published: Published, expected: Expected) -> Self {
        Self {
            published,
            expected,
            state: State::Reading,
            failed_calls: 0,
            has_uncertain_write: false,
        }
    }

    /// Returns the first call to make.
    #[must_use]
    pub fn start(&self) -> Action {
        Action::Read
    }

    /// Takes the result of the last call and returns the next step.
    ///
    /// An event that does not match the last action counts as a failed call.
    pub fn handle(&mut self, event: Event) -> Action {
        let state = std::mem::replace(&mut self.state, State::Reading);
        match (state, event) {
            (State::Finished(outcome), _) => self.finish(outcome),
            (State::Reading, Event::Read(stored)) => self.handle_initial_read(stored),
            (State::Reading, event) => self.retry_read(&event.failure_message()),
            (State::Swapping(base), Event::Swapped(revision)) => {
                self.finish_published(&base, revision)
            }
            (State::Swapping(base), Event::SwapRefused) => self.request_read_back(base),
            (State::Swapping(base), event) => {
                self.has_uncertain_write = true;
                self.retry_read_back(base, &event.failure_message())
            }
            (State::ReadingBack(base), Event::Read(stored)) => self.resolve_swap(base, stored),
            (State::ReadingBack(base), event) => {
                self.retry_read_back(base, &event.failure_message())
            }
        }
    }

    /// Compares the value in force with the expected revision and the new configuration; requests
    /// the swap if nothing prevents it.
    fn handle_initial_read(&mut self, stored: Option<Stored>) -> Action {
        let revision = stored.as_ref().map_or(0, |stored| stored.revision);
        let decoded = stored
            .map(|stored| Published::decode(&stored.value))
            .transpose();
        let published = match decoded {
            Ok(published) => published,
            Err(error) if self.may_replace(&error, revision) => None,
            Err(error) => return self.finish(Outcome::Invalid { error }),
        };
        if let Some(current) = &published {
            if self.is_unchanged(current) {
                return self.finish(Outcome::Unchanged { revision });
            }
            let faults = shard_count_changes(&current.merged, &self.published);
            if !faults.is_empty() {
                return self.finish(Outcome::Refused { faults });
            }
            let edits = current.edits_undone_by(&self.published);
            if self.expected == Expected::Latest && !edits.is_empty() {
                return self.finish(Outcome::WouldUndoEdits { revision, edits });
            }
        }
        if let Expected::Revision(expected) = self.expected
            && expected != revision
        {
            return self.conflict(expected, None, revision, published.as_ref());
        }
        self.published = self
            .published
            .clone()
            .following(revision, published.as_ref());
        self.request_swap(Base {
            revision,
            published,
        })
    }

    /// Returns whether a value that cannot be decoded may be replaced: only if the operator expects
    /// exactly its revision and it was not written by a newer release.
    fn may_replace(&self, error: &PublishedError, revision: u64) -> bool {
        let is_newer = matches!(error, PublishedError::NewerFormat { .. });
        !is_newer && self.expected == Expected::Revision(revision)
    }

    fn is_unchanged(&self, current: &Published) -> bool {
        current.merged == self.published.merged && current.provenance == self.published.provenance
    }

    fn request_swap(&mut self, base: Base) -> Action {
        let value = match self.published.encode() {
            Ok(value) => value,
            Err(error) => return self.finish(Outcome::Invalid { error }),
        };
        let expected_revision = base.revision;
        self.state = State::Swapping(base);
        Action::CompareAndSwap {
            expected_revision,
            value,
        }
    }

    fn finish_published(&mut self, base: &Base, revision: u64) -> Action {
        let changes = self.changes_from(base);
        self.finish(Outcome::Published { revision, changes })
    }

    fn request_read_back(&mut self, base: Base) -> Action {
        self.state = State::ReadingBack(base);
        Action::Read
    }

    /// Determines from the value read back whether the swap took effect.
    fn resolve_swap(&mut self, base: Base, stored: Option<Stored>) -> Action {
        let revision = stored.as_ref().map_or(0, |stored| stored.revision);
        if revision == base.revision {
            // Repeating the swap is safe: if the first request is only delayed, at most one of the
            // two succeeds, since both expect the same revision.
            return self.retry_swap(base);
        }
        if stored.is_some() && revision < base.revision {
            return self.retry_read_back(base, "the platform returned an older value");
        }
        let other = stored.and_then(|stored| Published::decode(&stored.value).ok());
        let Some(other) = other else {
            return self.give_up_write(
                &base,
                "the value was removed or replaced by one that cannot be decoded",
            );
        };
        if other.publication_id == self.published.publication_id {
            return self.finish_published(&base, revision);
        }
        if other.ancestors.contains(&self.published.publication_id) {
            let by = Edit::new(revision, &other);
            return self.finish(Outcome::Superseded { by });
        }
        if self.has_uncertain_write && !has_known_ancestry(&other, &base) {
            return self.give_up_write(&base, "too many later publications have followed");
        }
        self.conflict(
            base.revision,
            base.published.as_ref(),
            revision,
            Some(&other),
        )
    }

    /// Finishes without knowing the edit in force.
    fn give_up_write(&mut self, base: &Base, message: &str) -> Action {
        if self.has_uncertain_write {
            let message = message.to_owned();
            return self.finish(Outcome::Unknown { message });
        }
        self.conflict(base.revision, base.published.as_ref(), 0, None)
    }

    fn conflict(
        &mut self,
        expected_revision: u64,
        base: Option<&Published>,
        revision: u64,
        other: Option<&Published>,
    ) -> Action {
        let own = &self.published;
        let conflict = match other {
            Some(other) => Conflict::with_edit(expected_revision, base, own, revision, other),
            None => Conflict::without_edit(expected_revision, base, own),
        };
        self.finish(Outcome::Conflict(Box::new(conflict)))
    }

    fn retry_read(&mut self, message: &str) -> Action {
        self.failed_calls += 1;
        if self.failed_calls < MAX_FAILED_CALLS {
            return Action::Read;
        }
        let message = message.to_owned();
        self.finish(Outcome::Unavailable { message })
    }

    fn retry_swap(&mut self, base: Base) -> Action {
        self.failed_calls += 1;
        if self.failed_calls < MAX_FAILED_CALLS {
            return self.request_swap(base);
        }
        self.give_up_write(&base, "the write keeps failing")
    }

    fn retry_read_back(&mut self, base: Base, message: &str) -> Action {
        self.failed_calls += 1;
        if self.failed_calls < MAX_FAILED_CALLS {
            return self.request_read_back(base);
        }
        self.give_up_write(&base, message)
    }

    fn changes_from(&self, base: &Base) -> Vec<Change> {
        let empty = Configuration::default();
        let from = base.published.as_ref().map_or(&empty, |base| &base.merged);
        changes(from, &self.published.merged)
    }

    fn finish(&mut self, outcome: Outcome) -> Action {
        self.state = State::Finished(outcome.clone());
        Action::Finish(outcome)
    }
}

/// Returns whether the ancestors of `other` are recorded back to `base`.
///
/// If they are not, a publication after `base` may have dropped out of the bounded list.
fn has_known_ancestry(other: &Published, base: &Base) -> bool {
    match &base.published {
        Some(base) => other.ancestors.contains(&base.publication_id),
        None => other.ancestors.len() < MAX_ANCESTORS,
    }
}
