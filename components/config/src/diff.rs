//! Differences between two configurations, key by key.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use serde_json::Value;

use crate::configuration::Configuration;
use crate::schema::join;

/// Name of the keys whose values are never shown.
const SECRET_KEY: &str = "tokens";

/// A key whose value differs; tokens are masked.
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
        let masked = |(key, value): (String, Value)| {
            let shown = render(&key, &value);
            (key, shown)
        };
        flatten(self).into_iter().map(masked).collect()
    }
}

/// Returns the keys whose values differ, in the order of their paths.
#[must_use]
pub fn changes(from: &Configuration, to: &Configuration) -> Vec<Change> {
    let (from, to) = (flatten(from), flatten(to));
    let keys: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    keys.into_iter()
        .filter_map(|key| change(key, from.get(key), to.get(key)))
        .collect()
}

fn change(key: &str, from: Option<&Value>, to: Option<&Value>) -> Option<Change> {
    let kind = match (from, to) {
        (Some(from), Some(to)) if from == to => return None,
        (Some(from), Some(to)) => ChangeKind::Changed {
            from: render(key, from),
            to: render(key, to),
        },
        (None, Some(to)) => ChangeKind::Added(render(key, to)),
        (Some(from), None) => ChangeKind::Removed(render(key, from)),
        (None, None) => return None,
    };
    Some(Change {
        key: key.to_owned(),
        kind,
    })
}

/// Returns every value by the path of its key, with tokens in the clear.
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
                flatten_into(&join(path, &name), field, values);
            }
        }
        value => {
            values.insert(path.to_owned(), value);
        }
    }
}

fn render(key: &str, value: &Value) -> String {
    let is_secret = key.rsplit('.').next() == Some(SECRET_KEY);
    match value {
        Value::Array(items) if is_secret => {
            let shown: Vec<String> = items.iter().map(mask).collect();
            format!("[{}]", shown.join(", "))
        }
        value => value.to_string(),
    }
}

fn mask(value: &Value) -> String {
    let length = value.as_str().map_or(0, |text| text.chars().count());
    format!("(token, {length} characters)")
}
