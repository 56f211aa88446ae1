//! Messages of builds that have other fields than this one.

mod samples;

use std::fmt::Debug;

use proptest::prelude::*;
use protocol::{OLDEST_VERSION, VERSION, decode_message, encode_message};
use rmpv::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;

fn fields(bytes: &[u8]) -> Vec<(Value, Value)> {
    let value = rmpv::decode::read_value(&mut &bytes[..]).expect("a value");
    match value {
        Value::Map(fields) => fields,
        value => panic!("{value} has no fields"),
    }
}

fn encode(fields: Vec<(Value, Value)>) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &Value::Map(fields)).expect("a vector can be written");
    bytes
}

/// Checks a message with a field more, and with each of its fields missing.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(message: &T) {
    let bytes = encode_message(VERSION, message).expect("the message is encoded");
    let known = fields(&bytes);
    let unknown = [
        Value::from(7),
        Value::from("text"),
        Value::Map(vec![(
            Value::from("nested"),
            Value::Array(vec![Value::Nil]),
        )]),
    ];
    for value in unknown {
        for position in [0, known.len()] {
            let mut extended = known.clone();
            extended.insert(position, (Value::from("unknown"), value.clone()));
            let decoded: T = decode_message(VERSION, &encode(extended)).expect("it is skipped");
            assert_eq!(&decoded, message);
        }
    }
    for missing in 0..known.len() {
        let mut reduced = known.clone();
        let (name, _) = reduced.remove(missing);
        let decoded = decode_message::<T>(VERSION, &encode(reduced));
        if let Err(error) = decoded {
            let name = name.as_str().expect("fields have names");
            let expected = format!("missing field `{name}`");
            assert!(error.to_string().contains(&expected), "{error}");
        }
    }
}

#[test]
fn unknown_fields_are_skipped_and_missing_ones_are_named() {
    check(&samples::orders());
    check(&samples::update_request());
    check(&samples::host_update());
    check(&samples::host_update().view);
    check(&samples::evacuations());
    check(&samples::bootstrap_request());
    check(&samples::bootstrap_reply());
    check(&samples::configuration_part());
    check(&samples::announcement());
    check(&samples::owner_envelope());
    check(&samples::agent_envelope());
    check(&samples::announce_reply());
    check(&samples::ping());
    check(&samples::pong());
    check(&samples::job());
}

#[test]
fn the_number_of_a_target_is_told_where_fields_have_names() {
    let mut orders = samples::orders();
    orders.starts[0].target_number = Some(7);
    for (version, expected) in [(VERSION, Some(7)), (OLDEST_VERSION, None)] {
        let bytes = encode_message(version, &orders).expect("the message is encoded");
        let decoded: model::Orders = decode_message(version, &bytes).expect("it is decoded");
        assert_eq!(decoded.starts[0].target_number, expected);
        assert_eq!(decoded.stops, orders.stops);
    }
}

#[test]
fn an_unknown_variant_is_named() {
    let variant = rmpv::Value::from("Restarted");
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &variant).expect("a vector can be written");
    let error = decode_message::<model::RunEnd>(VERSION, &bytes).expect_err("it is unknown");
    assert!(
        error.to_string().contains("unknown variant `Restarted`"),
        "{error}"
    );
}

proptest! {
    // One malformed message must not end a process.
    #[test]
    fn changed_bytes_are_decoded_or_refused(position: prop::sample::Index, byte: u8) {
        let message = encode_message(VERSION, &samples::host_update()).expect("it is encoded");
        let mut bytes = message.to_vec();
        let position = position.index(bytes.len());
        bytes[position] = byte;
        let _ = decode_message::<model::HostUpdate>(VERSION, &bytes);
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes: Vec<u8>) {
        let _ = decode_message::<model::HostUpdate>(VERSION, &bytes);
        let _ = decode_message::<model::Orders>(VERSION, &bytes);
    }
}
