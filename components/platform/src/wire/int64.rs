//! 64-bit integers encoded as decimal strings; JSON numbers are accepted as well.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

#[derive(Deserialize)]
#[serde(untagged)]
enum NumberOrString {
    Number(u64),
    Text(String),
}

pub(super) fn serialize<S: Serializer>(value: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match NumberOrString::deserialize(deserializer)? {
        NumberOrString::Number(number) => Ok(number),
        NumberOrString::Text(text) => text.parse().map_err(D::Error::custom),
    }
}

pub(super) fn is_zero(value: &u64) -> bool {
    *value == 0
}
