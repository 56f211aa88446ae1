//! Loading and validation of settings files.

use std::fs;

use config::{AgentSettings, EntrySettings, GatewaySettings, LogFormat, LogLevel, SidecarSettings};
use errors::ExitCode;

const ENTRY: &str = "listen_address = '127.0.0.1:8080'\npeer_address = '127.0.0.1:7100'\n\
                     failure_domain = 'kochi-1'\nplatform_addresses = ['127.0.0.1:2379']\n";

const AGENT: &str = "announce_address = '127.0.0.1:7200'\npeer_address = '10.0.0.5:7100'\n\
                     failure_domain = 'kochi-1'\nentries = ['10.0.0.1:7100']\n";

#[test]
fn minimal_files_get_defaults() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("entry.toml");
    fs::write(&path, ENTRY).expect("a file");
    let entry = EntrySettings::load(&path).expect("valid");
    assert_eq!(
        (entry.drain_timeout_ms, entry.limits.max_header_bytes),
        (30_000, 16_384)
    );
    assert_eq!(
        (entry.log.format, entry.log.level),
        (LogFormat::Text, LogLevel::Info)
    );
    assert!(entry.firms.is_empty() && entry.seed_peers.is_empty());
    let bound = "127.0.0.1:7100".parse().expect("an address");
    assert_eq!(entry.advertised_peer_address(bound), bound);

    let agent = AgentSettings::from_toml("agent.toml", AGENT).expect("valid");
    assert_eq!(
        (agent.drain_timeout_ms, agent.limits.max_queue_tasks),
        (30_000, 1_000)
    );
    let missing = AgentSettings::load(&dir.path().join("none.toml")).expect_err("missing");
    assert!(missing.to_string().contains("none.toml"), "{missing}");
}

#[test]
fn log_levels_can_be_set_per_log_target() {
    let text = format!("{ENTRY}[log]\nformat = 'json'\n[log.parts]\ndispatch = 'debug'");
    let entry = EntrySettings::from_toml("entry.toml", &text).expect("valid");
    assert_eq!(entry.log.parts["dispatch"], LogLevel::Debug);
    assert_eq!(entry.log.format, LogFormat::Json);
}

#[test]
fn entry_faults_contain_file_key_and_remedy() {
    let cases = [
        (
            "drain_timout_ms = 5",
            "drain_timout_ms",
            "did you mean `drain_timeout_ms`",
        ),
        (
            "drain_timeout = '5s'",
            "drain_timeout",
            "drain_timeout_ms = 5000",
        ),
        (
            "drain_timeout_ms = '5s'",
            "drain_timeout_ms",
            "drain_timeout_ms = 5000",
        ),
        ("region = 3", "region", "quotes"),
        ("seed_peers = ['host:1']", "seed_peers[0]", "IP number"),
        ("[log]\nlevel = 'loud'", "log.level", "\"trace\""),
        (
            "[limits]\nmax_header_bytes = 1",
            "limits.max_header_bytes",
            "from 256",
        ),
        (
            "[limits]\nmax_conections = 1",
            "limits.max_conections",
            "`max_connections`",
        ),
        (
            "advertised_peer_address = '0.0.0.0:1'",
            "advertised_peer_address",
            "set",
        ),
        ("x = [", "line 5", "correct the TOML"),
    ];
    for (text, key, remedy) in cases {
        let text = format!("{ENTRY}{text}");
        let error = EntrySettings::from_toml("entry.toml", &text).expect_err(&text);
        assert_eq!(error.faults.len(), 1, "{error}");
        let fault = &error.faults[0];
        assert_eq!(
            (fault.file.as_str(), fault.key.as_str()),
            ("entry.toml", key)
        );
        assert!(fault.remedy.contains(remedy), "{fault}");
    }
}

#[test]
fn all_missing_keys_are_reported() {
    let error = EntrySettings::from_toml("entry.toml", "").expect_err("empty");
    let keys: Vec<&str> = error
        .faults
        .iter()
        .map(|fault| fault.key.as_str())
        .collect();
    let required = [
        "listen_address",
        "peer_address",
        "failure_domain",
        "platform_addresses",
    ];
    assert_eq!(keys, required);
    assert_eq!(errors::Error::from(error).exit_code, ExitCode::Invalid);
}

#[test]
fn unreachable_conflicting_and_non_loopback_addresses_are_rejected() {
    let wildcard = ENTRY.replace("127.0.0.1:7100", "0.0.0.0:7100");
    let error = EntrySettings::from_toml("entry.toml", &wildcard).expect_err("no host");
    assert_eq!(error.faults[0].key, "peer_address");
    let same = ENTRY.replace(":7100", ":8080");
    let error = EntrySettings::from_toml("entry.toml", &same).expect_err("same port");
    assert_eq!(error.faults[0].key, "peer_address");
    let open = AGENT.replace("127.0.0.1:7200", "10.0.0.5:7200");
    let error = AgentSettings::from_toml("agent.toml", &open).expect_err("not loopback");
    assert_eq!(error.faults[0].key, "announce_address");
}

/// Fills in the placeholders of a template; sections in it count as absent.
fn fill_in(template: &str) -> String {
    let values = [
        ("{{nodeName|json}}", "\"host-1\""),
        ("{{zone|json}}", "\"domain-1\""),
        ("{{app|json}}", "\"10.0.0.5:8000\""),
        ("{{listenAddresses.frontend|json}}", "\"10.0.0.5:8080\""),
        ("{{listenAddresses.readiness|json}}", "\"10.0.0.5:8081\""),
        ("{{listenAddresses.controlPlane|json}}", "\"10.0.0.5:8082\""),
        ("{{platform.address|json}}", "\"10.0.9.1:2379\""),
        (
            "{{seedNodes|json}}",
            "[\"10.0.0.1:8082\", \"10.0.0.2:8082\"]",
        ),
        ("{{ipAddress}}", "10.0.0.5"),
        ("{{internalPortRange.0}}", "7100"),
        ("{{internalPortRange.1}}", "7101"),
    ];
    let is_section = |line: &&str| line.starts_with("{{#") || line.starts_with("{{/");
    let lines = template.lines().filter(|line| !is_section(line));
    let text = lines.collect::<Vec<&str>>().join("\n");
    values
        .iter()
        .fold(text, |text, (name, value)| text.replace(name, value))
}

// The exchange between peers was never in use, since the template filled in no seeds.
#[test]
fn templates_give_seeds_to_entries_and_agents() {
    let template = include_str!("../../../platform/gateway.toml");
    let entry = GatewaySettings::from_toml("gateway.toml", &fill_in(template)).expect("valid");
    assert_eq!(entry.seed_peers.len(), 2);
    assert_eq!(entry.peer_address.to_string(), "10.0.0.5:8082");
    let template = include_str!("../../../platform/sidecar.toml");
    let agent = SidecarSettings::from_toml("sidecar.toml", &fill_in(template)).expect("valid");
    assert_eq!(agent.seed_peers, entry.seed_peers);
    assert_eq!(agent.peer_address.to_string(), "10.0.0.5:7100");
}

/// Guards against evacuations that are followed without a bound in the settings, and against a bound
/// that is too short for the watch of the store.
#[test]
fn evacuations_are_followed_only_with_a_bound_in_range() {
    let agent = "name = 'host'\nfailure_domain = 'a'\ntarget_address = '127.0.0.1:1'\n\
                 reports_address = '127.0.0.1:2'\npeer_address = '127.0.0.1:3'\n\
                 store_address = '127.0.0.1:4'\n";
    let parse = |more: &str| SidecarSettings::from_toml("agent.toml", &format!("{agent}{more}"));
    assert_eq!(parse("").expect("valid").evacuation_bound_ms, None);
    let bound = parse("evacuation_bound_ms = 5000\n").expect("valid");
    assert_eq!(bound.evacuation_bound_ms, Some(5_000));
    let fault = parse("evacuation_bound_ms = 100\n").expect_err("too short");
    assert!(fault.to_string().contains("evacuation_bound_ms"), "{fault}");
}

/// Guards against separation that is on by default, and against a text that passes for a Boolean.
#[test]
fn tasks_are_kept_apart_only_if_the_setting_is_true() {
    const GATEWAY: &str = "name = 'a'\nfailure_domain = 'b'\ncallers_address = '127.0.0.1:1'\n\
                           readiness_address = '127.0.0.1:2'\npeer_address = '127.0.0.1:3'\n\
                           store_address = '127.0.0.1:4'\n";
    const SIDECAR: &str = "name = 'a'\nfailure_domain = 'b'\ntarget_address = '127.0.0.1:1'\n\
                           reports_address = '127.0.0.1:2'\npeer_address = '127.0.0.1:3'\n\
                           store_address = '127.0.0.1:4'\n";
    for (line, is_on) in [
        ("", Some(false)),
        ("separate_interfering_tasks = true\n", Some(true)),
        ("separate_interfering_tasks = 'true'\n", None),
    ] {
        let gateway = GatewaySettings::from_toml("gateway.toml", &format!("{GATEWAY}{line}"));
        let sidecar = SidecarSettings::from_toml("sidecar.toml", &format!("{SIDECAR}{line}"));
        let gateway_is_on = gateway.ok().map(|it| it.separate_interfering_tasks);
        let sidecar_is_on = sidecar.ok().map(|it| it.separate_interfering_tasks);
        assert_eq!((gateway_is_on, sidecar_is_on), (is_on, is_on), "{line}");
    }
}

// One refused connection ended all runs of a target that a relay stood before.
#[test]
fn refusals_are_taken_for_the_end_of_a_target_on_the_same_host_only() {
    let settings = |target: &str, more: &str| {
        let text = format!(
            "name = 'host'\nfailure_domain = 'a'\ntarget_address = '{target}'\n\
             reports_address = '10.0.0.1:2'\npeer_address = '10.0.0.1:3'\n\
             store_address = '10.0.0.9:4'\n{more}"
        );
        SidecarSettings::from_toml("agent.toml", &text).expect("valid settings")
    };
    for (target, more, is_doubted) in [
        ("127.0.0.1:1", "", false),
        ("10.0.0.1:1", "", false),
        ("10.0.0.2:1", "", true),
        (
            "10.0.0.2:1",
            "advertised_peer_address = '10.0.0.2:3'",
            false,
        ),
        ("127.0.0.1:1", "relayed_target = true", true),
        ("10.0.0.2:1", "relayed_target = false", false),
    ] {
        let settings = settings(target, more);
        assert_eq!(
            settings.may_refusals_be_foreign(),
            is_doubted,
            "{target} {more}"
        );
    }
}
