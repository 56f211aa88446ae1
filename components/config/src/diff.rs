//! Differences between two configurations, key by key.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use serde_json::Value;

use crate::configuration::Configuration;
use crate::schema::join_path;

/// Name of the keys whose values are masked.
const TOKENS_KEY: &str = "tokens";

/// The difference in the value of one key, with tokens masked.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[display("{key}: {kind}")]
pub struct Change {
    /// Path of the key.
    pub key: String,
    /// How it differs.
    pub kind: ChangeKind,
}

/// How the value of a key differs.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeKind {
    /// Only the newer configuration has the key.
    #[display("added {_0}")]
    Added(String),
    /// Only the older configuration has the key.
    #[display("removed {_0}")]
    Removed(String),
    /// The values differ.
    #[display("{from} -> {to}")]
    Changed {
        /// The older value.
        from: String,
        /// The newer value.
        to: String,
    },
}

impl Configuration {
    /// Returns every value by the path of its key, with tokens masked.
    #[must_use]
    pub fn values(&self) -> BTreeMap<String, String> {
        let render_entry = |(key, value): (String, Value)| {
            let shown = render_value(&key, &value);
            (key, shown)
        };
        flatten(self).into_iter().map(render_entry).collect()
    }
}

/// Returns the keys whose values differ, in the order of their paths.
#[must_use]
pub fn changes(from: &Configuration, to: &Configuration) -> Vec<Change> {
    let (from, to) = (flatten(from), flatten(to));
    let keys: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    keys.into_iter()
        .filter_map(|key| diff_value(key, from.get(key), to.get(key)))
        .collect()
}

fn diff_value(key: &str, from: Option<&Value>, to: Option<&Value>) -> Option<Change> {
    let kind = match (from, to) {
        (Some(from), Some(to)) if from == to => return None,
        (Some(from), Some(to)) => ChangeKind::Changed {
            from: render_value(key, from),
            to: render_value(key, to),
        },
        (None, Some(to)) => ChangeKind::Added(render_value(key, to)),
        (Some(from), None) => ChangeKind::Removed(render_value(key, from)),
        (None, None) => return None,
    };
    Some(Change {
        key: key.to_owned(),
        kind,
    })
}

/// Returns every value by the path of its key, with tokens unmasked.
pub(crate) fn flatten(configuration: &Configuration) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    let value = serde_json::to_value(configuration).unwrap_or_default();
    flatten_into("", value, &mut values);
    values
}

fn flatten_into(path: &str, value: Value, values: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                flatten_into(&join_path(path, &name), field, values);
            }
        }
        value => {
            values.insert(path.to_owned(), value);
        }
    }
}

fn render_value(key: &str, value: &Value) -> String {
    let has_tokens = key.rsplit('.').next() == Some(TOKENS_KEY);
    match value {
        Value::Array(items) if has_tokens => {
            let shown: Vec<String> = items.iter().map(mask_token).collect();
            format!("[{}]", shown.join(", "))
        }
        value => value.to_string(),
    }
}

fn mask_token(value: &Value) -> String {
    let length = value.as_str().map_or(0, |text| text.chars().count());
    format!("(token, {length} characters)")
}
