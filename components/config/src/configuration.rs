//! The operators' configuration after the files of their folder were merged.

use std::collections::BTreeMap;

use derive_more::Display;
use model::{FirmKey, Rules};
use serde::{Deserialize, Serialize};
use strum::{EnumIter, EnumString, IntoStaticStr, VariantNames};

use crate::token::Token;

/// The operators' configuration. Its serialised form is deterministic, since all maps are sorted.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Configuration {
    /// Limits for every firm.
    pub limits: Limits,
    /// Access of the operators.
    pub operators: Operators,
    /// Firms by name.
    pub firms: BTreeMap<String, Firm>,
    /// Target groups by name.
    pub groups: BTreeMap<String, Group>,
}

/// Limits for every firm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum number of tasks of one job.
    pub max_tasks_per_job: u16,
    /// Maximum size of a task's payload.
    pub max_payload_bytes: u64,
    /// Maximum size of a task's result.
    pub max_result_bytes: u64,
    /// Maximum time from submission to deadline.
    pub max_deadline_ms: u64,
}

/// Access of the operators.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Operators {
    /// Tokens that operators present.
    pub tokens: Vec<Token>,
}

/// Settings of one firm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Firm {
    /// Tokens that the firm's clients present.
    pub tokens: Vec<Token>,
    /// Weight of the firm, relative to other firms, in sharing the targets that they all use.
    pub weight: u32,
    /// Number of shards that the firm's jobs are distributed over.
    pub shards: u16,
    /// Maximum number of the firm's tasks in progress.
    pub quota_tasks: u32,
    /// Maximum number of tasks submitted per second; unlimited if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_tasks_per_s: Option<u32>,
    /// Maximum number of tasks submitted at once under the rate limit; the tasks of one second if
    /// absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst_tasks: Option<u32>,
    /// Maximum number of tasks queued by the entries that own the firm's shards.
    pub max_queue_tasks: u32,
    /// Time from submission to deadline if the client sets no deadline.
    pub default_deadline_ms: u64,
    /// Maximum time from submission to deadline.
    pub max_deadline_ms: u64,
    /// Maximum number of tasks of one job.
    pub max_tasks_per_job: u16,
    /// What to minimise where response time and number of messages conflict.
    pub prefer: Preference,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
}

/// Settings of one team inside a firm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Team {
    /// Tokens that the team's clients present.
    pub tokens: Vec<Token>,
    /// Maximum number of the team's tasks in progress; the firm's quota if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota_tasks: Option<u32>,
    /// Weight of the team, relative to the firm's other teams, in sharing the firm's capacity.
    pub weight: u32,
}

/// Settings of one target group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Group {
    /// Firms that may use the group.
    pub firms: Vec<String>,
    /// Maximum share of the group's targets that may be ejected because they fail.
    pub max_eject_percent: u8,
    /// Number of placements without a start of the task after which its job fails.
    pub max_attempts: u32,
}

/// What to minimise where response time and number of messages conflict.
#[derive(
    Debug,
    Default,
    Display,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Preference {
    /// Minimises response time.
    #[default]
    #[display("response_time")]
    ResponseTime,
    /// Minimises the number of messages.
    #[display("messages")]
    Messages,
}

/// The owner of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Principal<'a> {
    /// The operators.
    Operators,
    /// A firm as a whole.
    Firm(&'a str),
    /// A team of a firm.
    Team {
        /// Name of the firm.
        firm: &'a str,
        /// Name of the team.
        team: &'a str,
    },
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_tasks_per_job: 10_000,
            max_payload_bytes: 1_048_576,
            max_result_bytes: 1_048_576,
            max_deadline_ms: 120_000,
        }
    }
}

impl Default for Firm {
    fn default() -> Self {
        Self {
            tokens: Vec::new(),
            weight: 1,
            shards: 1,
            quota_tasks: 10_000,
            rate_tasks_per_s: None,
            burst_tasks: None,
            max_queue_tasks: 10_000,
            default_deadline_ms: 10_000,
            max_deadline_ms: 60_000,
            max_tasks_per_job: 1_000,
            prefer: Preference::default(),
            teams: BTreeMap::new(),
        }
    }
}

impl Default for Team {
    fn default() -> Self {
        Self {
            tokens: Vec::new(),
            quota_tasks: None,
            weight: 1,
        }
    }
}

impl Default for Group {
    fn default() -> Self {
        Self {
            firms: Vec::new(),
            max_eject_percent: 30,
            max_attempts: 3,
        }
    }
}

impl Firm {
    /// Returns the maximum number of tasks submitted at once, if there is a rate limit.
    #[must_use]
    pub fn burst(&self) -> Option<u32> {
        self.rate_tasks_per_s
            .map(|rate_tasks_per_s| self.burst_tasks.unwrap_or(rate_tasks_per_s))
    }
}

impl Team {
    /// Returns the maximum number of tasks in progress of this team of `firm`.
    #[must_use]
    pub fn quota(&self, firm: &Firm) -> u32 {
        self.quota_tasks.unwrap_or(firm.quota_tasks)
    }
}

impl Configuration {
    /// Returns the rules for agents. `revision` is the revision of this configuration.
    #[must_use]
    pub fn agent_rules(&self, revision: u64) -> Rules {
        Rules {
            revision,
            shares: self.tenants().map(|tenant| tenant.share()).collect(),
        }
    }

    /// Returns the firm with the given key, and its name.
    #[must_use]
    pub fn firm(&self, key: FirmKey) -> Option<(&str, &Firm)> {
        self.firms
            .iter()
            .find(|(name, _)| FirmKey::from_name(name) == key)
            .map(|(name, firm)| (name.as_str(), firm))
    }

    /// Returns the owner of a presented token.
    ///
    /// Compares every token even after a match, so that the duration does not reveal which token
    /// matched.
    #[must_use]
    pub fn authenticate(&self, presented: &str) -> Option<Principal<'_>> {
        let mut found = None;
        for (principal, token) in self.tokens() {
            if token.matches(presented) {
                found = Some(principal);
            }
        }
        found
    }

    /// Returns every token with its owner.
    pub fn tokens(&self) -> impl Iterator<Item = (Principal<'_>, &Token)> {
        let operators = self
            .operators
            .tokens
            .iter()
            .map(|token| (Principal::Operators, token));
        operators.chain(
            self.firms
                .iter()
                .flat_map(|(name, firm)| firm.tokens_with_principals(name)),
        )
    }
}

impl Firm {
    fn tokens_with_principals<'a>(
        &'a self,
        name: &'a str,
    ) -> impl Iterator<Item = (Principal<'a>, &'a Token)> {
        let own = self
            .tokens
            .iter()
            .map(move |token| (Principal::Firm(name), token));
        let teams = self.teams.iter().flat_map(move |(team, settings)| {
            let principal = Principal::Team { firm: name, team };
            settings.tokens.iter().map(move |token| (principal, token))
        });
        own.chain(teams)
    }
}
