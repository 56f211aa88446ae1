//! Deterministic event queue with a faulty message channel between endpoints.
//!
//! Events are ordered by time, and by insertion at equal times. The queue is independent of the
//! meaning of its events and models no processes.

mod faults;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::seed::SeededRng;

pub use faults::Faults;

/// Identifies one end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint(pub u32);

/// Counts of messages by outcome.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct NetCounts {
    /// Messages sent.
    pub sent: u64,
    /// Messages lost at random.
    pub lost: u64,
    /// Messages dropped since their link was cut.
    pub cut: u64,
    /// Messages delivered a second time.
    pub duplicated: u64,
}

/// Queue of timed events and messages between endpoints.
#[derive(Debug)]
pub struct Net<E> {
    rng: SeededRng,
    now_us: u64,
    sequence: u64,
    queue: BinaryHeap<Entry<E>>,
    default_faults: Faults,
    links: FxHashMap<(Endpoint, Endpoint), Faults>,
    last_arrival_us: FxHashMap<(Endpoint, Endpoint), u64>,
    cuts: FxHashSet<(Endpoint, Endpoint)>,
    paused: BTreeMap<Endpoint, Pause<E>>,
    skew_us: FxHashMap<Endpoint, i64>,
    counts: NetCounts,
}

#[derive(Debug)]
struct Pause<E> {
    since_us: u64,
    held: Vec<Entry<E>>,
}

#[derive(Debug)]
struct Entry<E> {
    at_us: u64,
    sequence: u64,
    from: Option<Endpoint>,
    to: Option<Endpoint>,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    // Reversed: the heap pops the greatest entry first, which has to be the earliest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at_us, other.sequence).cmp(&(self.at_us, self.sequence))
    }
}

impl<E> Net<E> {
    /// Creates an empty queue at time zero.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SeededRng::new(seed),
            now_us: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            default_faults: Faults::default(),
            links: FxHashMap::default(),
            last_arrival_us: FxHashMap::default(),
            cuts: FxHashSet::default(),
            paused: BTreeMap::new(),
            skew_us: FxHashMap::default(),
            counts: NetCounts::default(),
        }
    }

    /// Sets the behaviour of links without settings of their own.
    pub fn set_default_faults(&mut self, faults: Faults) {
        self.default_faults = faults;
    }

    /// Sets the behaviour of messages from `from` to `to`.
    pub fn set_faults(&mut self, from: Endpoint, to: Endpoint, faults: Faults) {
        self.links.insert((from, to), faults);
    }

    /// Returns the time of the event that was popped last.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Returns the counts of messages.
    #[must_use]
    pub fn counts(&self) -> NetCounts {
        self.counts
    }

    /// Drops messages from `from` to `to` until healed, including those in flight.
    pub fn cut(&mut self, from: Endpoint, to: Endpoint) {
        self.cuts.insert((from, to));
    }

    /// Cuts both directions.
    pub fn cut_both(&mut self, one: Endpoint, other: Endpoint) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// Delivers messages from `from` to `to` again.
    pub fn heal(&mut self, from: Endpoint, to: Endpoint) {
        self.cuts.remove(&(from, to));
    }

    /// Heals both directions.
    pub fn heal_both(&mut self, one: Endpoint, other: Endpoint) {
        self.heal(one, other);
        self.heal(other, one);
    }

    /// Queues an event that belongs to no endpoint; a time in the past counts as now.
    pub fn schedule(&mut self, at_us: u64, event: E) {
        self.push(at_us, None, None, event);
    }

    /// Queues an event of `endpoint`, such as a timer, held while the endpoint is paused.
    pub fn schedule_at(&mut self, at_us: u64, endpoint: Endpoint, event: E) {
        self.push(at_us, None, Some(endpoint), event);
    }

    /// Holds all messages and events for `endpoint` until it resumes, and stops its clock.
    pub fn pause(&mut self, endpoint: Endpoint) {
        let since_us = self.now_us;
        let pause = || Pause {
            since_us,
            held: Vec::new(),
        };
        self.paused.entry(endpoint).or_insert_with(pause);
    }

    /// Delivers now, in order, all that was held for `endpoint`; its clock jumps to the present.
    pub fn resume(&mut self, endpoint: Endpoint) {
        let Some(pause) = self.paused.remove(&endpoint) else {
            return;
        };
        for entry in pause.held {
            // The link was checked when the message arrived at the paused endpoint.
            self.push(self.now_us, None, entry.to, entry.event);
        }
    }

    /// Drops all that is held and queued for `endpoint`, as when its process is killed.
    pub fn discard(&mut self, endpoint: Endpoint) {
        self.paused.remove(&endpoint);
        self.queue.retain(|entry| entry.to != Some(endpoint));
    }

    /// Sets the constant difference of an endpoint's clock from the queue's.
    pub fn set_skew_us(&mut self, endpoint: Endpoint, skew_us: i64) {
        self.skew_us.insert(endpoint, skew_us);
    }

    /// Returns the clock reading of `endpoint`; the clock stops during a pause.
    #[must_use]
    pub fn clock_us(&self, endpoint: Endpoint) -> u64 {
        let true_us = self
            .paused
            .get(&endpoint)
            .map_or(self.now_us, |pause| pause.since_us);
        true_us.saturating_add_signed(self.skew_us.get(&endpoint).copied().unwrap_or(0))
    }

    /// Pops the next event with its time; returns `None` if only held events are left.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        while let Some(entry) = self.queue.pop() {
            self.now_us = entry.at_us;
            if self.is_cut(entry.from, entry.to) {
                self.counts.cut += 1;
                continue;
            }
            if let Some(pause) = entry.to.and_then(|to| self.paused.get_mut(&to)) {
                pause.held.push(entry);
                continue;
            }
            return Some((entry.at_us, entry.event));
        }
        None
    }

    fn is_cut(&self, from: Option<Endpoint>, to: Option<Endpoint>) -> bool {
        match (from, to) {
            (Some(from), Some(to)) => self.cuts.contains(&(from, to)),
            _ => false,
        }
    }

    fn push(&mut self, at_us: u64, from: Option<Endpoint>, to: Option<Endpoint>, event: E) {
        let at_us = at_us.max(self.now_us);
        let sequence = self.sequence;
        self.sequence += 1;
        self.queue.push(Entry {
            at_us,
            sequence,
            from,
            to,
            event,
        });
    }
}

impl<E: Clone> Net<E> {
    /// Sends `message` at `now_us`, subject to the faults of the link.
    pub fn send(&mut self, now_us: u64, from: Endpoint, to: Endpoint, message: E) {
        self.counts.sent += 1;
        if self.cuts.contains(&(from, to)) {
            self.counts.cut += 1;
            return;
        }
        let faults = self
            .links
            .get(&(from, to))
            .unwrap_or(&self.default_faults)
            .clone();
        if self.rng.chance(faults.loss) {
            self.counts.lost += 1;
            return;
        }
        if self.rng.chance(faults.duplicate) {
            self.counts.duplicated += 1;
            self.deliver(now_us, (from, to), &faults, message.clone());
        }
        self.deliver(now_us, (from, to), &faults, message);
    }

    fn deliver(&mut self, now_us: u64, link: (Endpoint, Endpoint), faults: &Faults, message: E) {
        let mut at_us = now_us.max(self.now_us) + self.rng.range(faults.delay_us.clone());
        if faults.ordered {
            let last_us = self.last_arrival_us.entry(link).or_insert(0);
            at_us = at_us.max(*last_us);
            *last_us = at_us;
        }
        self.push(at_us, Some(link.0), Some(link.1), message);
    }
}
