//! Prints commands to try while `demo --stay` keeps the system running.

use super::firm::{FIRMS, OPERATORS_TOKEN};
use super::system::System;

/// Returns curl commands with the addresses in use.
pub(super) fn instructions(system: &System) -> String {
    let (firm, entry) = (FIRMS[0], system.entries[0].listen_address);
    let host = &system.hosts[0];
    let (agent, target) = (host.announce_address, host.target.address());
    let (token, group, kind) = (firm.token, firm.group, firm.kind);
    format!(
        r#"
== the system keeps running; press Ctrl-C to stop it
Submit a job of {name}:
  NOW=$(date +%s%3N)
  curl -i -X PUT http://{entry}/v1/jobs/try-1 -H 'Authorization: Bearer {token}' -d '{{
    "group": "{group}", "submitted_unix_ms": '$NOW', "deadline_unix_ms": '$((NOW + 10000))',
    "repeatable": false,
    "tasks": [{{"kind": "{kind}", "declared_ms": 50, "payload": {{"run_ms": 50}}}}]}}'
Get its answer:
  curl -i http://{entry}/v1/jobs/try-1 -H 'Authorization: Bearer {token}'
State, metrics and readiness of the entry:
  curl http://{entry}/admin/v1/state -H 'Authorization: Bearer {OPERATORS_TOKEN}'
  curl http://{entry}/metrics -H 'Authorization: Bearer {OPERATORS_TOKEN}'
  curl http://{entry}/readyz
State and metrics of an agent:
  curl http://{agent}/v1/state
  curl http://{agent}/metrics
Tasks started by the target of that agent, and a fault for its next task:
  curl http://{target}/standin/starts
  curl http://{target}/standin/faults -d '{{"mode": "fail_fast", "next": 1}}'
The configuration in force:
  shallotcross show --platform {platform}
"#,
        name = firm.name,
        platform = system.platform.address(),
    )
}
