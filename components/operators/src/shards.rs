//! Rejects changes of a firm's number of shards.

use config::{Configuration, Fault, Published, Severity};

/// Returns a fault for each firm whose number of shards would change.
///
/// After such a change, a resubmitted job could be routed to another shard, which does not know
/// which of its tasks have already run.
pub(crate) fn shard_count_changes(current: &Configuration, own: &Published) -> Vec<Fault> {
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
