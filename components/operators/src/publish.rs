//! Publishes a configuration by compare-and-swap.
//!
//! The state machine reads the value in force, swaps it, and reads back whenever the answer
//! to the swap does not tell whether the value was written.

use config::{Change, Configuration, MAX_ANCESTORS, Published, PublishedError, changes};

use crate::call::{Action, Event, Expected, Stored};
use crate::conflict::{Conflict, Edit};
use crate::outcome::Outcome;
use crate::shards::shard_changes;

/// Failed calls after which the state machine gives up.
pub const MAX_FAILURES: u32 = 8;

/// Publishes one configuration.
#[derive(Debug)]
pub struct Publish {
    published: Published,
    expected: Expected,
    state: State,
    failures: u32,
    in_doubt: bool,
}

#[derive(Debug)]
enum State {
    Reading,
    Swapping(Base),
    ReadingBack(Base),
    Finished(Outcome),
}

/// The value that is to be replaced.
#[derive(Debug, Clone)]
struct Base {
    revision: u64,
    published: Option<Published>,
}

impl Publish {
    /// Prepares to publish; the publication id must be random.
    #[must_use]
    pub fn new(published: Published, expected: Expected) -> Self {
        Self {
            published,
            expected,
            state: State::Reading,
            failures: 0,
            in_doubt: false,
        }
    }

    /// Returns the first call to make.
    #[must_use]
    pub fn start(&self) -> Action {
        Action::Read
    }

    /// Takes the outcome of the last call and returns what to do next.
    ///
    /// An event that does not belong to the last action is taken as a failed call.
    pub fn handle(&mut self, event: Event) -> Action {
        let state = std::mem::replace(&mut self.state, State::Reading);
        match (state, event) {
            (State::Finished(outcome), _) => self.finish(outcome),
            (State::Reading, Event::Read(stored)) => self.begin(stored),
            (State::Reading, event) => self.retry_read(&event.message()),
            (State::Swapping(base), Event::Swapped(revision)) => self.swapped(&base, revision),
            (State::Swapping(base), Event::SwapRefused) => self.read_back(base),
            (State::Swapping(base), event) => {
                self.in_doubt = true;
                self.fail(base, &event.message())
            }
            (State::ReadingBack(base), Event::Read(stored)) => self.resolve(base, stored),
            (State::ReadingBack(base), event) => self.fail(base, &event.message()),
        }
    }

    /// Compares the value in force with what the operator expects.
    fn begin(&mut self, stored: Option<Stored>) -> Action {
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
            if self.is_same(current) {
                return self.finish(Outcome::Unchanged { revision });
            }
            let faults = shard_changes(&current.merged, &self.published);
            if !faults.is_empty() {
                return self.finish(Outcome::Refused { faults });
            }
            let edits = current.undone_by(&self.published);
            if self.expected == Expected::Latest && !edits.is_empty() {
                return self.finish(Outcome::Undoes { revision, edits });
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
        self.swap(Base {
            revision,
            published,
        })
    }

    /// Tells whether a value that cannot be decoded may be replaced: only if it was named.
    fn may_replace(&self, error: &PublishedError, revision: u64) -> bool {
        let is_newer = matches!(error, PublishedError::NewerFormat { .. });
        !is_newer && self.expected == Expected::Revision(revision)
    }

    fn is_same(&self, current: &Published) -> bool {
        current.merged == self.published.merged && current.provenance == self.published.provenance
    }

    fn swap(&mut self, base: Base) -> Action {
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

    fn swapped(&mut self, base: &Base, revision: u64) -> Action {
        let changes = self.changes_from(base);
        self.finish(Outcome::Published { revision, changes })
    }

    fn read_back(&mut self, base: Base) -> Action {
        self.state = State::ReadingBack(base);
        Action::Read
    }

    /// Finds out from the value in force what became of the swap.
    fn resolve(&mut self, base: Base, stored: Option<Stored>) -> Action {
        let revision = stored.as_ref().map_or(0, |stored| stored.revision);
        if revision == base.revision {
            // A delayed copy of the first swap cannot do harm: only one of the two succeeds.
            return self.retry_swap(base);
        }
        if stored.is_some() && revision < base.revision {
            return self.fail(base, "the platform answered with an older value");
        }
        let other = stored.and_then(|stored| Published::decode(&stored.value).ok());
        let Some(other) = other else {
            return self.lost(
                &base,
                "the value was removed or replaced by one that cannot be read",
            );
        };
        if other.publication_id == self.published.publication_id {
            return self.swapped(&base, revision);
        }
        if other.ancestors.contains(&self.published.publication_id) {
            let by = Edit::new(revision, &other);
            return self.finish(Outcome::Superseded { by });
        }
        if self.in_doubt && !reaches(&other, &base) {
            return self.lost(&base, "too many edits have followed");
        }
        self.conflict(
            base.revision,
            base.published.as_ref(),
            revision,
            Some(&other),
        )
    }

    fn lost(&mut self, base: &Base, message: &str) -> Action {
        if self.in_doubt {
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
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return Action::Read;
        }
        let message = message.to_owned();
        self.finish(Outcome::Unavailable { message })
    }

    fn retry_swap(&mut self, base: Base) -> Action {
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return self.swap(base);
        }
        self.lost(&base, "the write keeps failing")
    }

    fn fail(&mut self, base: Base, message: &str) -> Action {
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return self.read_back(base);
        }
        self.lost(&base, message)
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

/// Tells whether the ancestors of `other` are known back to `base`.
fn reaches(other: &Published, base: &Base) -> bool {
    match &base.published {
        Some(base) => other.ancestors.contains(&base.publication_id),
        None => other.ancestors.len() < MAX_ANCESTORS,
    }
}
