//! Tests of the JSON encoding of the etcd v3 API.

use platform::wire::{
    Base64Bytes, Compare, CompareTarget, RangeResponse, StreamMessage, TxnRequest, WatchResponse,
    prefix_end,
};

#[test]
fn integers_are_encoded_as_strings_and_bytes_as_base64() {
    let compare = Compare {
        key: Base64Bytes::from("a"),
        target: CompareTarget::Mod,
        mod_revision: 7,
        ..Compare::default()
    };
    let json = serde_json::to_string(&compare).expect("JSON");
    let expected = r#"{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"7"}"#;
    assert_eq!(json, expected);
}

#[test]
fn omitted_and_unknown_fields_are_accepted() {
    let json = r#"{"header":{"cluster_id":"1","revision":"9"},"kvs":[{"key":"YQ==",
        "create_revision":"2","mod_revision":"3","version":"2","value":"Yg=="}],"count":"1"}"#;
    let response: RangeResponse = serde_json::from_str(json).expect("a response");
    assert_eq!(response.header.revision, 9);
    assert_eq!(
        (response.kvs[0].mod_revision, response.kvs[0].lease),
        (3, 0)
    );
    let json = r#"{"result":{"header":{"revision":"4"},"events":[{"type":"DELETE",
        "kv":{"key":"YQ==","mod_revision":"4"}}]}}"#;
    let message: StreamMessage<WatchResponse> = serde_json::from_str(json).expect("a message");
    assert_eq!(message.result.events.len(), 1);
    let json = r#"{"success":[{"requestPut":{"key":"YQ==","value":"Yg=="}}]}"#;
    let request: TxnRequest = serde_json::from_str(json).expect("a request");
    assert!(request.success[0].request_put.is_some());
}

#[test]
fn prefix_end_is_the_first_key_after_the_prefix() {
    assert_eq!(prefix_end(b"a/"), Base64Bytes::from("a0"));
    assert_eq!(prefix_end(b"a\xff").0.as_ref(), b"b");
    assert_eq!(prefix_end(b"").0.as_ref(), b"\0");
}
