//! Resources in messages: a row of CPU, memory and GPUs, without names.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::Resources;

pub(crate) fn serialize<S: Serializer>(
    resources: &Resources,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let Resources {
        cpu_millis,
        memory_mib,
        gpus,
    } = resources;
    (cpu_millis, memory_mib, gpus).serialize(serializer)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Resources, D::Error> {
    let (cpu_millis, memory_mib, gpus) = Deserialize::deserialize(deserializer)?;
    Ok(Resources {
        cpu_millis,
        memory_mib,
        gpus,
    })
}
