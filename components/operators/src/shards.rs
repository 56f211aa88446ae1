//! Guards the number of shards of a firm.

use config::{Configuration, Fault, Published, Severity};

/// Reports firms whose number of shards would change.
///
/// A resubmitted job would reach another shard, which does not know what ran before.
pub(crate) fn shard_changes(current: &Configuration, own: &Published) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, firm) in &own.merged.firms {
        let Some(before) = current.firms.get(name) else {
            continue;
        };
        if before.shards == firm.shards {
            continue;
        }
        let key = format!("firms.{name}.shards");
        faults.push(Fault {
            severity: Severity::Error,
            file: own
                .provenance
                .get(&key)
                .map_or("default", String::as_str)
                .to_owned(),
            key,
            message: format!("cannot change from {} to {}", before.shards, firm.shards),
            remedy: String::from("keep the number, or declare a firm of another name"),
        });
    }
    faults
}
