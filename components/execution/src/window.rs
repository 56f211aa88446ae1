//! Divides the target's capacity into windows, the number of tasks that each owner may have
//! outstanding.

use model::{AUTHORITY_TTL_MS, FirmKey, ProcessKey};
use rustc_hash::FxHashMap;

/// Fraction bits of a fixed-point share of the capacity.
const SHARE_BITS: u32 = 16;

#[derive(Debug)]
pub(crate) struct Owner {
    expires_us: u64,
    pub firms_with_backlog: Vec<FirmKey>,
    pub backlog: u32,
    pub window: u16,
}

/// The owners whose last heartbeat has not expired.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    owners: FxHashMap<ProcessKey, Owner>,
}

impl Owners {
    pub fn iter(&self) -> impl Iterator<Item = (ProcessKey, &Owner)> {
        self.owners.iter().map(|(&key, owner)| (key, owner))
    }

    pub fn record_heartbeat(&mut self, key: ProcessKey, now_us: u64, backlogs: &[(FirmKey, u32)]) {
        let mut firms_with_backlog: Vec<_> = backlogs
            .iter()
            .filter(|&&(_, backlog)| backlog > 0)
            .map(|&(firm, _)| firm)
            .collect();
        firms_with_backlog.sort_unstable();
        firms_with_backlog.dedup();
        let backlog = backlogs
            .iter()
            .fold(0, |sum: u32, &(_, backlog)| sum.saturating_add(backlog));
        let owner = Owner {
            expires_us: now_us + AUTHORITY_TTL_MS * 1_000,
            firms_with_backlog,
            backlog,
            window: 1,
        };
        self.owners.insert(key, owner);
    }

    /// Removes owners whose last heartbeat expired; returns whether there were any.
    pub fn remove_expired(&mut self, now_us: u64) -> bool {
        let before = self.owners.len();
        self.owners.retain(|_, owner| owner.expires_us > now_us);
        self.owners.len() != before
    }

    /// Returns the window of an owner; 1 for an owner without a heartbeat.
    pub fn window(&self, key: ProcessKey) -> u16 {
        self.owners.get(&key).map_or(1, |owner| owner.window)
    }

    /// Recomputes all windows for a capacity of `capacity` tasks.
    ///
    /// Firms with a backlog share the capacity by weight, and the owners of a firm
    /// share equally; without any backlog all owners share equally.
    pub fn divide(&mut self, capacity: u16, weight: impl Fn(FirmKey) -> u64) {
        let mut owner_counts: FxHashMap<FirmKey, u64> = FxHashMap::default();
        for firm in self
            .owners
            .values()
            .flat_map(|owner| &owner.firms_with_backlog)
        {
            *owner_counts.entry(*firm).or_default() += 1;
        }
        let capacity = u64::from(capacity) << SHARE_BITS;
        if owner_counts.is_empty() {
            let share = capacity / (self.owners.len().max(1) as u64);
            self.set_windows(|_| share);
            return;
        }
        let total_weight: u64 = owner_counts.keys().map(|&firm| weight(firm)).sum();
        self.set_windows(|owner| {
            let share =
                |firm: &FirmKey| capacity * weight(*firm) / (total_weight * owner_counts[firm]);
            owner.firms_with_backlog.iter().map(share).sum()
        });
    }

    fn set_windows(&mut self, share: impl Fn(&Owner) -> u64) {
        for owner in self.owners.values_mut() {
            let tasks = share(owner) >> SHARE_BITS;
            owner.window = u16::try_from(tasks).unwrap_or(u16::MAX).max(1);
        }
    }
}
