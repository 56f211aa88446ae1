//! Values in the platform's store as earlier releases wrote them, with fields of later ones.

use model::{EntryInfo, HostRegistration, ProcessKey, ShardRecord};

// Both builds of an upgrade read and write these keys.
#[test]
fn stored_values_of_earlier_and_later_releases_are_read() {
    let registration = r#"{"name":"host","address":"10.0.0.9:7720","failure_domain":"a","later":1,
        "target":{"instance":"i-1","born_unix_ms":5,"sequence":4,"group":"pool","labels":["a"],
        "capacity":{"cpu_millis":16000,"memory_mib":32768,"gpus":0,"later":{}},
        "is_draining":false,"later":[1]}}"#;
    let registration: HostRegistration = serde_json::from_str(registration).expect("it is read");
    let target = registration.target.expect("it has a target");
    assert_eq!((target.sequence, target.capacity.cpu_millis), (4, 16_000));
    let without_target = r#"{"name":"host","address":"10.0.0.9:7720","failure_domain":"a"}"#;
    let registration: HostRegistration = serde_json::from_str(without_target).expect("it is read");
    assert_eq!(registration.target, None);

    let entry =
        r#"{"key":22,"address":"10.0.0.8:7000","failure_domain":"a","firms":[5],"later":0}"#;
    let entry: EntryInfo = serde_json::from_str(entry).expect("it is read");
    assert_eq!(entry.key, ProcessKey(22));

    let record = r#"{"shard":{"firm":5,"index":3},"shard_count":8,"generation":4,"owner":22,
        "owner_address":"10.0.0.8:7000","later":null,
        "roster":[{"agent":11,"address":"10.0.0.9:7001","state":"active","later":1}]}"#;
    let record: ShardRecord = serde_json::from_str(record).expect("it is read");
    assert_eq!(record.roster.len(), 1);
}

// A release that is taken back reads what the newer one wrote.
#[test]
fn stored_values_are_written_as_earlier_releases_read_them() {
    let registration = HostRegistration {
        name: "host".to_owned(),
        address: "10.0.0.9:7720".to_owned(),
        failure_domain: "a".to_owned(),
        target: None,
    };
    let written = serde_json::to_string(&registration).expect("it is written");
    let expected = r#"{"name":"host","address":"10.0.0.9:7720","failure_domain":"a"}"#;
    assert_eq!(written, expected);
    let entry = EntryInfo {
        key: ProcessKey(22),
        address: "10.0.0.8:7000".to_owned(),
        failure_domain: "a".to_owned(),
        firms: Vec::new(),
    };
    let written = serde_json::to_string(&entry).expect("it is written");
    let expected = r#"{"key":22,"address":"10.0.0.8:7000","failure_domain":"a","firms":[]}"#;
    assert_eq!(written, expected);
}
