//! Checks values against each other: each may be valid on its own, but not in combination.

use std::collections::BTreeMap;

use model::{FirmKey, GroupKey};
use toml::Table;

use super::keys;
use super::merge::Provenance;
use crate::configuration::{Configuration, Firm, Group, Principal};
use crate::fault::{Fault, Severity};
use crate::schema::Checker;
use crate::token::Token;

/// Returns the errors of a configuration that was read from the platform, not merged from files.
pub(crate) fn validate(configuration: &Configuration, provenance: &Provenance) -> Vec<Fault> {
    let mut table = match Table::try_from(configuration) {
        Ok(table) => table,
        Err(error) => return vec![Fault::error("published", "", error.to_string())],
    };
    let mut faults = Checker::new("published", Severity::Error).check(&mut table, keys::ROOT);
    let found = find_inconsistencies(configuration, provenance);
    faults.extend(found.into_iter().map(|inconsistency| inconsistency.fault));
    faults.retain(Fault::is_error);
    faults
}

/// A fault in the combination of values that are valid on their own.
#[derive(Debug)]
pub(super) struct Inconsistency {
    pub(super) fault: Fault,
    /// Keys of the values that the fault depends on.
    keys: Vec<String>,
}

impl Inconsistency {
    /// Returns whether one of the values was removed because of the given error, which may be the
    /// only cause of this fault.
    pub(super) fn is_caused_by(&self, error: &Fault) -> bool {
        let invalid_key = error.key.split('[').next().unwrap_or_default();
        let is_invalid = |key: &String| {
            let rest = key.strip_prefix(invalid_key);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        self.keys.iter().any(is_invalid)
    }
}

/// Returns all inconsistencies of a merged configuration.
pub(super) fn find_inconsistencies(
    configuration: &Configuration,
    provenance: &Provenance,
) -> Vec<Inconsistency> {
    let mut checker = ConsistencyChecker {
        configuration,
        provenance,
        inconsistencies: Vec::new(),
    };
    checker.check_firms();
    checker.check_groups();
    checker.check_tokens();
    checker.inconsistencies
}

struct ConsistencyChecker<'a> {
    configuration: &'a Configuration,
    provenance: &'a Provenance,
    inconsistencies: Vec<Inconsistency>,
}

impl ConsistencyChecker<'_> {
    fn check_firms(&mut self) {
        let configuration = self.configuration;
        if configuration.firms.is_empty() {
            let fault = self.error("firms", "declares no firm");
            self.report(fault.with_remedy("add a table [firms.NAME]"), &[]);
        }
        for (name, firm) in &configuration.firms {
            let path = format!("firms.{name}");
            self.check_deadlines(&path, firm);
            self.check_job_size(&path, firm);
            self.check_rate(&path, firm);
            self.check_teams(&path, firm);
        }
        let tenants: Vec<String> = configuration
            .tenants()
            .map(|tenant| tenant.name())
            .collect();
        self.check_key_collisions("firms", tenants.iter(), FirmKey::from_name);
    }

    fn check_deadlines(&mut self, path: &str, firm: &Firm) {
        let default_key = format!("{path}.default_deadline_ms");
        let max_key = format!("{path}.max_deadline_ms");
        let (default_ms, max_ms) = (firm.default_deadline_ms, firm.max_deadline_ms);
        if default_ms > max_ms {
            let message = format!("the default, {default_ms}, exceeds max_deadline_ms, {max_ms}");
            let fault = self.error(&default_key, message);
            self.report(
                fault.with_remedy("lower default_deadline_ms, or raise max_deadline_ms"),
                &[&max_key],
            );
        }
        let limit_ms = self.configuration.limits.max_deadline_ms;
        if max_ms > limit_ms {
            let message = format!("the firm's {max_ms} exceeds limits.max_deadline_ms, {limit_ms}");
            let fault = self.error(&max_key, message);
            let fault = fault.with_remedy("lower the firm's value, or raise the limit");
            self.report(fault, &["limits.max_deadline_ms"]);
        }
    }

    fn check_job_size(&mut self, path: &str, firm: &Firm) {
        let key = format!("{path}.max_tasks_per_job");
        let largest = firm.max_tasks_per_job;
        let limit = self.configuration.limits.max_tasks_per_job;
        if largest > limit {
            let message = format!("the firm's {largest} exceeds limits.max_tasks_per_job, {limit}");
            let fault = self
                .error(&key, message)
                .with_remedy("lower the firm's value, or raise the limit");
            self.report(fault, &["limits.max_tasks_per_job"]);
        }
        if u32::from(largest) > firm.quota_tasks {
            let message = format!(
                "max_tasks_per_job, {largest}, exceeds quota_tasks, {}",
                firm.quota_tasks
            );
            let fault = self.warning(&key, message);
            let fault =
                fault.with_remedy("lower max_tasks_per_job: the largest jobs are never admitted");
            self.report(fault, &[&format!("{path}.quota_tasks")]);
        }
    }

    fn check_rate(&mut self, path: &str, firm: &Firm) {
        let rate_key = format!("{path}.rate_tasks_per_s");
        let burst_key = format!("{path}.burst_tasks");
        let largest = firm.max_tasks_per_job;
        if firm
            .burst()
            .is_some_and(|burst_tasks| u32::from(largest) > burst_tasks)
        {
            let message = format!(
                "max_tasks_per_job, {largest}, exceeds the largest burst of the rate limit"
            );
            let fault = self.warning(&format!("{path}.max_tasks_per_job"), message);
            let fault = fault.with_remedy("lower max_tasks_per_job, or raise burst_tasks");
            self.report(fault, &[&rate_key, &burst_key]);
        }
        if firm.burst_tasks.is_some() && firm.rate_tasks_per_s.is_none() {
            let fault = self.warning(&burst_key, "has no effect without a rate");
            self.report(
                fault.with_remedy("set rate_tasks_per_s as well"),
                &[&rate_key],
            );
        }
    }

    fn check_teams(&mut self, path: &str, firm: &Firm) {
        let has_token =
            !firm.tokens.is_empty() || firm.teams.values().any(|team| !team.tokens.is_empty());
        if !has_token {
            let message = "no client of the firm has a token";
            let fault = self.warning(&format!("{path}.tokens"), message);
            self.report(fault.with_remedy("add a token"), &[]);
        }
        for (team, settings) in &firm.teams {
            let (own_tasks, firm_tasks) = (settings.quota(firm), firm.quota_tasks);
            if own_tasks > firm_tasks {
                let message =
                    format!("the team's {own_tasks} exceeds the firm's quota_tasks, {firm_tasks}");
                let fault = self.warning(&format!("{path}.teams.{team}.quota_tasks"), message);
                let fault = fault.with_remedy("lower the team's quota, or raise the firm's");
                self.report(fault, &[&format!("{path}.quota_tasks")]);
            }
        }
    }

    fn check_groups(&mut self) {
        let configuration = self.configuration;
        for (name, group) in &configuration.groups {
            self.check_group(name, group);
        }
        self.check_key_collisions("groups", configuration.groups.keys(), GroupKey::from_name);
    }

    fn check_group(&mut self, name: &str, group: &Group) {
        let key = format!("groups.{name}.firms");
        if group.firms.is_empty() {
            let fault = self.error(&key, "lists no firm");
            self.report(
                fault.with_remedy("list the firms that may use the group"),
                &[],
            );
        }
        for firm in &group.firms {
            if self.configuration.firms.contains_key(firm) {
                continue;
            }
            let message = format!("names the firm `{firm}`, which is not declared");
            let fault = self.error(&key, message);
            let fault = fault.with_remedy(format!("add [firms.{firm}], or correct the name"));
            self.report(fault, &[&format!("firms.{firm}")]);
        }
    }

    fn check_key_collisions<'a, K: Copy + Ord>(
        &mut self,
        table: &str,
        names: impl Iterator<Item = &'a String>,
        key_of: fn(&str) -> K,
    ) {
        let mut seen: BTreeMap<K, &str> = BTreeMap::new();
        for name in names {
            if let Some(other) = seen.insert(key_of(name), name) {
                let message = format!("has the same internal key as `{other}`");
                let key = name.replace('/', ".teams.");
                let fault = self.error(&format!("{table}.{key}"), message);
                self.report(fault.with_remedy("choose another name"), &[]);
            }
        }
    }

    fn check_tokens(&mut self) {
        let configuration = self.configuration;
        let mut seen: BTreeMap<&Token, Principal<'_>> = BTreeMap::new();
        for (principal, token) in configuration.tokens() {
            if let Some(other) = seen.insert(token, principal) {
                self.report_shared_token(&tokens_key(principal), &tokens_key(other));
            }
        }
    }

    fn report_shared_token(&mut self, key: &str, other: &str) {
        if key == other {
            let fault = self.warning(key, "lists a token twice");
            self.report(fault.with_remedy("remove one of the two"), &[]);
            return;
        }
        let message = format!(
            "contains a token that is also in `{other}` in {}",
            self.source_file(other)
        );
        let fault = self.error(key, message);
        self.report(
            fault.with_remedy("give each of the two a token of its own"),
            &[other],
        );
    }

    /// Returns the file that set the key, a key below it, or the closest table around it.
    fn source_file(&self, key: &str) -> String {
        if let Some(file) = self.provenance.get(key) {
            return file.clone();
        }
        let below = format!("{key}.");
        let child = self
            .provenance
            .iter()
            .find(|(path, _)| path.starts_with(&below));
        match (child, key.rsplit_once('.')) {
            (Some((_, file)), _) => file.clone(),
            (None, Some((parent, _))) => self.source_file(parent),
            (None, None) => String::from("(no file)"),
        }
    }

    fn error(&self, key: &str, message: impl Into<String>) -> Fault {
        Fault::error(&self.source_file(key), key, message)
    }

    fn warning(&self, key: &str, message: impl Into<String>) -> Fault {
        Fault::warning(&self.source_file(key), key, message)
    }

    /// Records a fault that depends on its own key and on others.
    ///
    /// If no file sets its own key, the fault is moved to the first of the others that a file sets.
    fn report(&mut self, mut fault: Fault, others: &[&str]) {
        let mut keys = vec![fault.key.clone()];
        keys.extend(others.iter().map(|key| String::from(*key)));
        if let Some(key) = keys.iter().find(|key| self.provenance.contains_key(*key)) {
            fault.key.clone_from(key);
            fault.file = self.source_file(key);
        }
        self.inconsistencies.push(Inconsistency { fault, keys });
    }
}

fn tokens_key(principal: Principal<'_>) -> String {
    match principal {
        Principal::Operators => String::from("operators.tokens"),
        Principal::Firm(firm) => format!("firms.{firm}.tokens"),
        Principal::Team { firm, team } => format!("firms.{firm}.teams.{team}.tokens"),
    }
}
