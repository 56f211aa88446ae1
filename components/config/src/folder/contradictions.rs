//! Finds values that are valid one by one and contradict each other.

use std::collections::BTreeMap;

use model::{FirmKey, GroupKey};
use toml::Table;

use super::keys;
use super::merge::Provenance;
use crate::configuration::{Configuration, Firm, Group, Principal};
use crate::fault::{Fault, Severity};
use crate::schema::Checker;
use crate::token::Token;

/// Returns the errors of a configuration that was not made by merging files.
pub(crate) fn validate(configuration: &Configuration, provenance: &Provenance) -> Vec<Fault> {
    let mut table = match Table::try_from(configuration) {
        Ok(table) => table,
        Err(error) => return vec![Fault::error("published", "", error.to_string())],
    };
    let mut faults = Checker::new("published", Severity::Error).check(&mut table, keys::ROOT);
    let found = contradictions(configuration, provenance);
    faults.extend(found.into_iter().map(|contradiction| contradiction.fault));
    faults.retain(Fault::is_error);
    faults
}

/// A fault in values that are valid one by one.
#[derive(Debug)]
pub(super) struct Contradiction {
    pub(super) fault: Fault,
    /// Keys of the values that contradict each other.
    keys: Vec<String>,
}

impl Contradiction {
    /// Tells whether one of the values was left out because of the given error.
    pub(super) fn follows_from(&self, error: &Fault) -> bool {
        let faulty = error.key.split('[').next().unwrap_or_default();
        let is_faulty = |key: &String| {
            let rest = key.strip_prefix(faulty);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        self.keys.iter().any(is_faulty)
    }
}

/// Returns all contradictions in a merged configuration.
pub(super) fn contradictions(
    configuration: &Configuration,
    provenance: &Provenance,
) -> Vec<Contradiction> {
    let mut finder = Finder {
        configuration,
        provenance,
        found: Vec::new(),
    };
    finder.firms();
    finder.groups();
    finder.tokens();
    finder.found
}

struct Finder<'a> {
    configuration: &'a Configuration,
    provenance: &'a Provenance,
    found: Vec<Contradiction>,
}

impl Finder<'_> {
    fn firms(&mut self) {
        let configuration = self.configuration;
        if configuration.firms.is_empty() {
            let fault = self.error("firms", "names no firm");
            self.add(fault.with_remedy("add a table [firms.NAME]"), &[]);
        }
        for (name, firm) in &configuration.firms {
            let path = format!("firms.{name}");
            self.deadlines(&path, firm);
            self.sizes(&path, firm);
            self.rate(&path, firm);
            self.teams(&path, firm);
        }
        let tenants: Vec<String> = configuration
            .tenants()
            .map(|tenant| tenant.name())
            .collect();
        self.collisions("firms", tenants.iter(), FirmKey::from_name);
    }

    fn deadlines(&mut self, path: &str, firm: &Firm) {
        let default_key = format!("{path}.default_deadline_ms");
        let max_key = format!("{path}.max_deadline_ms");
        let (default_ms, max_ms) = (firm.default_deadline_ms, firm.max_deadline_ms);
        if default_ms > max_ms {
            let message = format!("the default, {default_ms}, exceeds max_deadline_ms, {max_ms}");
            let fault = self.error(&default_key, message);
            self.add(
                fault.with_remedy("lower default_deadline_ms, or raise max_deadline_ms"),
                &[&max_key],
            );
        }
        let limit_ms = self.configuration.limits.max_deadline_ms;
        if max_ms > limit_ms {
            let message = format!("the firm's {max_ms} exceeds limits.max_deadline_ms, {limit_ms}");
            let fault = self.error(&max_key, message);
            let fault = fault.with_remedy("lower the firm's value, or raise the limit");
            self.add(fault, &["limits.max_deadline_ms"]);
        }
    }

    fn sizes(&mut self, path: &str, firm: &Firm) {
        let key = format!("{path}.max_tasks_per_job");
        let largest = firm.max_tasks_per_job;
        let limit = self.configuration.limits.max_tasks_per_job;
        if largest > limit {
            let message = format!("the firm's {largest} exceeds limits.max_tasks_per_job, {limit}");
            let fault = self
                .error(&key, message)
                .with_remedy("lower the firm's value, or raise the limit");
            self.add(fault, &["limits.max_tasks_per_job"]);
        }
        if u32::from(largest) > firm.quota_tasks {
            let message = format!(
                "max_tasks_per_job, {largest}, exceeds quota_tasks, {}",
                firm.quota_tasks
            );
            let fault = self.warning(&key, message);
            let fault =
                fault.with_remedy("lower max_tasks_per_job: the largest jobs are never admitted");
            self.add(fault, &[&format!("{path}.quota_tasks")]);
        }
    }

    fn rate(&mut self, path: &str, firm: &Firm) {
        let rate_key = format!("{path}.rate_tasks_per_s");
        let burst_key = format!("{path}.burst_tasks");
        let largest = firm.max_tasks_per_job;
        if firm
            .burst()
            .is_some_and(|burst_tasks| u32::from(largest) > burst_tasks)
        {
            let message =
                format!("max_tasks_per_job, {largest}, exceeds what the rate lets through at once");
            let fault = self.warning(&format!("{path}.max_tasks_per_job"), message);
            let fault = fault.with_remedy("lower max_tasks_per_job, or raise burst_tasks");
            self.add(fault, &[&rate_key, &burst_key]);
        }
        if firm.burst_tasks.is_some() && firm.rate_tasks_per_s.is_none() {
            let fault = self.warning(&burst_key, "has no effect without a rate");
            self.add(
                fault.with_remedy("set rate_tasks_per_s as well"),
                &[&rate_key],
            );
        }
    }

    fn teams(&mut self, path: &str, firm: &Firm) {
        let has_token =
            !firm.tokens.is_empty() || firm.teams.values().any(|team| !team.tokens.is_empty());
        if !has_token {
            let message = "no client of the firm has a token";
            let fault = self.warning(&format!("{path}.tokens"), message);
            self.add(fault.with_remedy("add a token"), &[]);
        }
        for (team, settings) in &firm.teams {
            let (own_tasks, firm_tasks) = (settings.quota(firm), firm.quota_tasks);
            if own_tasks > firm_tasks {
                let message =
                    format!("the team's {own_tasks} exceeds the firm's quota_tasks, {firm_tasks}");
                let fault = self.warning(&format!("{path}.teams.{team}.quota_tasks"), message);
                let fault = fault.with_remedy("lower the team's quota, or raise the firm's");
                self.add(fault, &[&format!("{path}.quota_tasks")]);
            }
        }
    }

    fn groups(&mut self) {
        let configuration = self.configuration;
        for (name, group) in &configuration.groups {
            self.group(name, group);
        }
        self.collisions("groups", configuration.groups.keys(), GroupKey::from_name);
    }

    fn group(&mut self, name: &str, group: &Group) {
        let key = format!("groups.{name}.firms");
        if group.firms.is_empty() {
            let fault = self.error(&key, "names no firm");
            self.add(
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
            self.add(fault, &[&format!("firms.{firm}")]);
        }
    }

    fn collisions<'a, K: Copy + Ord>(
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
                self.add(fault.with_remedy("choose another name"), &[]);
            }
        }
    }

    fn tokens(&mut self) {
        let configuration = self.configuration;
        let mut seen: BTreeMap<&Token, Principal<'_>> = BTreeMap::new();
        for (principal, token) in configuration.tokens() {
            if let Some(other) = seen.insert(token, principal) {
                self.same_token(&tokens_key(principal), &tokens_key(other));
            }
        }
    }

    fn same_token(&mut self, key: &str, other: &str) {
        if key == other {
            let fault = self.warning(key, "lists a token twice");
            self.add(fault.with_remedy("remove one of the two"), &[]);
            return;
        }
        let message = format!(
            "holds a token that `{other}` in {} holds as well",
            self.file(other)
        );
        let fault = self.error(key, message);
        self.add(
            fault.with_remedy("give each of the two a token of its own"),
            &[other],
        );
    }

    /// Returns the file that set the key, or a key below it, or the tables that hold it.
    fn file(&self, key: &str) -> String {
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
            (None, Some((parent, _))) => self.file(parent),
            (None, None) => String::from("(no file)"),
        }
    }

    fn error(&self, key: &str, message: impl Into<String>) -> Fault {
        Fault::error(&self.file(key), key, message)
    }

    fn warning(&self, key: &str, message: impl Into<String>) -> Fault {
        Fault::warning(&self.file(key), key, message)
    }

    /// Adds a fault that depends on its own key and on others.
    ///
    /// If its own key has a default value, the fault is reported at one that a file sets.
    fn add(&mut self, mut fault: Fault, others: &[&str]) {
        let mut keys = vec![fault.key.clone()];
        keys.extend(others.iter().map(|key| String::from(*key)));
        if let Some(key) = keys.iter().find(|key| self.provenance.contains_key(*key)) {
            fault.key.clone_from(key);
            fault.file = self.file(key);
        }
        self.found.push(Contradiction { fault, keys });
    }
}

fn tokens_key(principal: Principal<'_>) -> String {
    match principal {
        Principal::Operators => String::from("operators.tokens"),
        Principal::Firm(firm) => format!("firms.{firm}.tokens"),
        Principal::Team { firm, team } => format!("firms.{firm}.teams.{team}.tokens"),
    }
}
