//! Applies the operators' configuration and exchanges it with other entries.

use std::rc::Rc;

use bytes::Bytes;
use config::{ApplyOutcome, Configuration, ConfigurationSnapshot, Publication, Tenant};
use dispatch::{DispatchRules, FirmRules, GroupRules};
use model::{FirmKey, GroupKey};
use platform::VersionedValue;
use runtime::unix_ms;

use crate::process::Shared;

impl Shared {
    /// Applies a configuration read from the platform.
    pub fn apply_published_config(self: &Rc<Self>, versioned: &VersionedValue) {
        let publication = match Publication::decode(&versioned.value) {
            Ok(publication) => publication,
            Err(error) => {
                log::error!(
                    "Configuration {} is not put in force: {error}.",
                    versioned.mod_revision
                );
                return;
            }
        };
        let outcome =
            self.config
                .borrow_mut()
                .apply(versioned.mod_revision, publication, unix_ms());
        self.apply_to_dispatcher(outcome);
    }

    /// Applies a configuration snapshot received from another entry.
    pub fn apply_config_snapshot(self: &Rc<Self>, bytes: &Bytes) {
        let snapshot: ConfigurationSnapshot = match serde_json::from_slice(bytes) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log::warn!("Another entry's configuration cannot be read: {error}.");
                return;
            }
        };
        let outcome = self.config.borrow_mut().apply_snapshot(snapshot);
        self.apply_to_dispatcher(outcome);
    }

    fn apply_to_dispatcher(self: &Rc<Self>, outcome: ApplyOutcome) {
        if outcome == ApplyOutcome::Stale {
            return;
        }
        let config = self.config.borrow();
        let Some(published) = config.published() else {
            return;
        };
        let rules = dispatch_rules(config.revision(), &published.merged, &self.own_info.firms);
        let served = served_tenants(&published.merged, &self.own_info.firms);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.apply_rules(rules);
        dispatcher.serve_firms(served);
        drop(dispatcher);
        log::info!("Configuration {} is in force.", config.revision());
        drop(config);
        self.wake();
    }

    /// Returns the current configuration if it is newer than `known_revision`.
    pub fn newer_config(&self, known_revision: u64) -> Option<protocol::ConfigDocument> {
        let config = self.config.borrow();
        let snapshot = config.snapshot()?;
        if snapshot.revision <= known_revision {
            return None;
        }
        let bytes = serde_json::to_vec(snapshot).ok()?;
        Some(protocol::ConfigDocument {
            revision: snapshot.revision,
            bytes: Bytes::from(bytes),
        })
    }
}

fn firm_rules(tenant: &Tenant<'_>) -> FirmRules {
    let firm = tenant.firm;
    FirmRules {
        firm: tenant.key(),
        shard_count: firm.shards,
        quota_tasks: tenant.quota_tasks(),
        max_queue_tasks: firm.max_queue_tasks,
        rate_tasks_per_s: firm.rate_tasks_per_s.map(f64::from),
        burst_tasks: firm.burst().unwrap_or(0),
    }
}

/// Returns the keys of the firms served by this entry and of their teams; empty means all.
fn served_tenants(configuration: &Configuration, firms: &[FirmKey]) -> Vec<FirmKey> {
    configuration
        .tenants()
        .filter(|tenant| firms.contains(&tenant.firm_key()))
        .map(|tenant| tenant.key())
        .collect()
}

/// Derives the dispatcher's rules from the configuration.
fn dispatch_rules(
    revision: u64,
    configuration: &Configuration,
    served: &[FirmKey],
) -> DispatchRules {
    let firms = configuration
        .tenants()
        .filter(|tenant| served.is_empty() || served.contains(&tenant.firm_key()))
        .map(|tenant| firm_rules(&tenant))
        .collect();
    let groups = configuration
        .groups
        .iter()
        .map(|(name, group)| GroupRules {
            group: GroupKey::from_name(name),
            firms: configuration
                .tenants()
                .filter(|tenant| group.firms.iter().any(|firm| firm == tenant.firm_name))
                .map(|tenant| tenant.key())
                .collect(),
            max_attempts: group.max_attempts,
            max_eject_percent: u32::from(group.max_eject_percent),
        })
        .collect();
    DispatchRules {
        revision,
        firms,
        groups,
        agent_rules: configuration.agent_rules(revision),
    }
}
