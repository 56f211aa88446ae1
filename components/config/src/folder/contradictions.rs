//! Finds values that are valid one by one and contradict each other.

use std::collections::BTreeMap;
use std::hash::Hash;

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
    faults.extend(contradictions(configuration, provenance));
    faults.retain(Fault::is_error);
    faults
}

/// Returns all contradictions in a merged configuration.
pub(super) fn contradictions(configuration: &Configuration, provenance: &Provenance) -> Vec<Fault> {
    let mut finder = Finder {
        configuration,
        provenance,
        faults: Vec::new(),
    };
    finder.firms();
    finder.groups();
    finder.tokens();
    finder.faults
}

struct Finder<'a> {
    configuration: &'a Configuration,
    provenance: &'a Provenance,
    faults: Vec<Fault>,
}

impl Finder<'_> {
    fn firms(&mut self) {
        let configuration = self.configuration;
        if configuration.firms.is_empty() {
            self.error("firms", "names no firm", "add a table [firms.NAME]");
        }
        for (name, firm) in &configuration.firms {
            self.deadlines(name, firm);
            self.sizes(name, firm);
            self.teams(name, firm);
        }
        self.collisions("firms", configuration.firms.keys(), FirmKey::from_name);
    }

    fn deadlines(&mut self, name: &str, firm: &Firm) {
        let key = format!("firms.{name}.default_deadline_ms");
        if firm.default_deadline_ms > firm.max_deadline_ms {
            let message = format!(
                "{} exceeds the firm's max_deadline_ms, {}",
                firm.default_deadline_ms, firm.max_deadline_ms
            );
            self.error(&key, &message, "lower it, or raise max_deadline_ms");
        }
        let limit_ms = self.configuration.limits.max_deadline_ms;
        if firm.max_deadline_ms > limit_ms {
            let key = format!("firms.{name}.max_deadline_ms");
            let message = format!(
                "{} exceeds limits.max_deadline_ms, {limit_ms}",
                firm.max_deadline_ms
            );
            self.error(&key, &message, "lower it, or raise the limit");
        }
    }

    fn sizes(&mut self, name: &str, firm: &Firm) {
        let key = format!("firms.{name}.max_tasks_per_job");
        let largest = firm.max_tasks_per_job;
        let limit = self.configuration.limits.max_tasks_per_job;
        if largest > limit {
            let message = format!("{largest} exceeds limits.max_tasks_per_job, {limit}");
            self.error(&key, &message, "lower it, or raise the limit");
        }
        if u32::from(largest) > firm.quota_tasks {
            let message = format!("{largest} exceeds quota_tasks, {}", firm.quota_tasks);
            self.warning(
                &key,
                &message,
                "lower it: the largest jobs are never admitted",
            );
        }
        if firm
            .burst()
            .is_some_and(|burst_tasks| u32::from(largest) > burst_tasks)
        {
            let message = format!("{largest} exceeds what the rate lets through at once");
            self.warning(&key, &message, "lower it, or raise burst_tasks");
        }
        if firm.burst_tasks.is_some() && firm.rate_tasks_per_s.is_none() {
            let key = format!("firms.{name}.burst_tasks");
            self.warning(
                &key,
                "has no effect without a rate",
                "set rate_tasks_per_s as well",
            );
        }
    }

    fn teams(&mut self, name: &str, firm: &Firm) {
        let has_token =
            !firm.tokens.is_empty() || firm.teams.values().any(|team| !team.tokens.is_empty());
        if !has_token {
            let key = format!("firms.{name}.tokens");
            self.warning(&key, "no client of the firm has a token", "add a token");
        }
        for (team, settings) in &firm.teams {
            if settings.quota(firm) > firm.quota_tasks {
                let key = format!("firms.{name}.teams.{team}.quota_tasks");
                let message = format!(
                    "{} exceeds the firm's quota_tasks, {}",
                    settings.quota(firm),
                    firm.quota_tasks
                );
                self.warning(&key, &message, "lower it, or raise the firm's quota");
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
            self.error(
                &key,
                "names no firm",
                "list the firms that may use the group",
            );
        }
        for firm in &group.firms {
            if self.configuration.firms.contains_key(firm) {
                continue;
            }
            let message = format!("names the firm `{firm}`, which is not declared");
            self.error(
                &key,
                &message,
                &format!("add [firms.{firm}], or correct the name"),
            );
        }
    }

    fn collisions<'a, K: Copy + Eq + Hash + Ord>(
        &mut self,
        table: &str,
        names: impl Iterator<Item = &'a String>,
        key_of: fn(&str) -> K,
    ) {
        let mut seen: BTreeMap<K, &str> = BTreeMap::new();
        for name in names {
            if let Some(other) = seen.insert(key_of(name), name) {
                let message = format!("has the same internal key as `{other}`");
                self.error(&format!("{table}.{name}"), &message, "choose another name");
            }
        }
    }

    fn tokens(&mut self) {
        let configuration = self.configuration;
        let mut seen: BTreeMap<&Token, Principal<'_>> = BTreeMap::new();
        for (principal, token) in configuration.tokens() {
            let Some(other) = seen.insert(token, principal) else {
                continue;
            };
            let (key, other_key) = (tokens_key(principal), tokens_key(other));
            if key == other_key {
                self.warning(&key, "lists a token twice", "remove one of the two");
                continue;
            }
            let other_file = self.file(&other_key);
            let message = format!("holds a token that `{other_key}` in {other_file} holds as well");
            self.error(&key, &message, "give each of the two a token of its own");
        }
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

    fn error(&mut self, key: &str, message: &str, remedy: &str) {
        let fault = Fault::error(&self.file(key), key, message).with_remedy(remedy);
        self.faults.push(fault);
    }

    fn warning(&mut self, key: &str, message: &str, remedy: &str) {
        let fault = Fault::warning(&self.file(key), key, message).with_remedy(remedy);
        self.faults.push(fault);
    }
}

fn tokens_key(principal: Principal<'_>) -> String {
    match principal {
        Principal::Operators => String::from("operators.tokens"),
        Principal::Firm(firm) => format!("firms.{firm}.tokens"),
        Principal::Team { firm, team } => format!("firms.{firm}.teams.{team}.tokens"),
    }
}
