//! Optional values that only encodings with named fields contain, so that peers that do not know the
//! field skip it. The encoding without names, which is not human-readable, has no place for them.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub(crate) fn serialize<T: Serialize, S: Serializer>(
    value: &Option<T>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        value.serialize(serializer)
    } else {
        serializer.serialize_unit()
    }
}

pub(crate) fn deserialize<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<T>, D::Error> {
    if deserializer.is_human_readable() {
        Option::deserialize(deserializer)
    } else {
        Ok(None)
    }
}
