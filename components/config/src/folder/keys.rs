//! The keys of the configuration files in the operators' folder, with their valid ranges.

use model::RETENTION_MS;
use strum::VariantNames;

use crate::configuration::Preference;
use crate::schema::{Key, Kind};

/// Largest value of a limit on a number of tasks.
const MAX_TASKS: u64 = 1_000_000;

/// Largest value of a limit on the size of a payload or a result.
const MAX_BODY_BYTES: u64 = 67_108_864;

/// The keys at the top of each file.
pub(super) const ROOT: &[Key] = &[
    Key::optional("limits", Kind::Table(LIMITS)),
    Key::optional("operators", Kind::Table(OPERATORS)),
    Key::optional("firms", Kind::MapOf(&Kind::Table(FIRM))),
    Key::optional("groups", Kind::MapOf(&Kind::Table(GROUP))),
];

const LIMITS: &[Key] = &[
    Key::optional_integer("max_tasks_per_job", 1, u16::MAX as u64),
    Key::optional_integer("max_payload_bytes", 1, MAX_BODY_BYTES),
    Key::optional_integer("max_result_bytes", 1, MAX_BODY_BYTES),
    Key::optional_integer("max_deadline_ms", 1, RETENTION_MS),
];

const OPERATORS: &[Key] = &[Key::optional("tokens", Kind::Tokens)];

const FIRM: &[Key] = &[
    Key::optional("tokens", Kind::Tokens),
    Key::optional_integer("weight", 1, 1_000),
    Key::optional_integer("shards", 1, 64),
    Key::optional_integer("quota_tasks", 1, MAX_TASKS),
    Key::optional_integer("rate_tasks_per_s", 1, MAX_TASKS),
    Key::optional_integer("burst_tasks", 1, MAX_TASKS),
    Key::optional_integer("max_queue_tasks", 1, MAX_TASKS),
    Key::optional_integer("default_deadline_ms", 1, RETENTION_MS),
    Key::optional_integer("max_deadline_ms", 1, RETENTION_MS),
    Key::optional_integer("max_tasks_per_job", 1, u16::MAX as u64),
    Key::optional("prefer", Kind::Choice(Preference::VARIANTS)),
    Key::optional("teams", Kind::MapOf(&Kind::Table(TEAM))),
];

const TEAM: &[Key] = &[
    Key::optional("tokens", Kind::Tokens),
    Key::optional_integer("quota_tasks", 1, MAX_TASKS),
    Key::optional_integer("weight", 1, 1_000),
];

const GROUP: &[Key] = &[
    Key::optional("firms", Kind::Names),
    Key::optional_integer("max_eject_percent", 0, 100),
    Key::optional_integer("max_attempts", 1, 100),
];
