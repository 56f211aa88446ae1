//! 64-bit integers that travel as decimal strings; plain numbers are accepted as well.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

#[derive(Deserialize)]
#[serde(untagged)]
enum Repr {
    Number(u64),
    Text(String),
}

pub(super) fn serialize<S: Serializer>(value: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match Repr::deserialize(deserializer)? {
        Repr::Number(number) => Ok(number),
        Repr::Text(text) => text.parse().map_err(D::Error::custom),
    }
}

pub(super) fn is_zero(value: &u64) -> bool {
    *value == 0
}
