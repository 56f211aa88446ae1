//! Messages of each version, recorded as they were encoded when the version was released.
//!
//! A message whose encoding has changed needs a new version; see `docs/PROTOCOL.md`. With the variable
//! `SHALLOTCROSS_RECORD_MESSAGES` the newest version is recorded instead of compared.

mod samples;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::fmt::Write;
use std::path::PathBuf;

use protocol::{OLDEST_VERSION, VERSION, decode_message, encode_message};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// First version in which fields have names, so that unknown ones are skipped.
const FIRST_NAMED_VERSION: u32 = 6;

/// The messages of a version by name, as hexadecimal digits.
type Recording = BTreeMap<String, String>;

/// Encodes messages, and decodes recorded ones.
struct Codec {
    version: u32,
    recorded: Recording,
    encoded: Recording,
}

impl Codec {
    fn new(version: u32) -> Self {
        let text = if is_recording(version) {
            String::new()
        } else {
            std::fs::read_to_string(path(version)).expect("the version has a recording")
        };
        let lines = text.lines().filter_map(|line| line.split_once(' '));
        let recorded = lines.map(|(name, digits)| (name.to_owned(), digits.to_owned()));
        Self {
            version,
            recorded: recorded.collect(),
            encoded: Recording::new(),
        }
    }

    fn check<T>(&mut self, name: &str, message: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let encoded = encode_message(self.version, message).expect("the message is encoded");
        let decoded: T = decode_message(self.version, &encoded).expect("the message is decoded");
        assert_eq!(&decoded, message, "{name}");
        if let Some(digits) = self.recorded.get(name) {
            let recorded: T = decode_message(self.version, &from_hex(digits))
                .unwrap_or_else(|error| panic!("recorded {name} cannot be decoded: {error}"));
            assert_eq!(&recorded, message, "{name}");
        }
        self.encoded.insert(name.to_owned(), to_hex(&encoded));
    }

    fn check_all(&mut self) {
        self.check("owner_envelope", &samples::owner_envelope());
        self.check("agent_envelope", &samples::agent_envelope());
        self.check("agent_info", &samples::agent_info());
        self.check("announce_reply", &samples::announce_reply());
        self.check("job", &samples::job());
        self.check("submit_replies", &samples::submit_replies());
        self.check("status_replies", &samples::status_replies());
        self.check("cancel_replies", &samples::cancel_replies());
        self.check("ping", &samples::ping());
        self.check("pong", &samples::pong());
        self.check("handover_offer", &samples::handover_offer());
        self.check("handover_reply", &samples::handover_reply());
        self.check("orders", &samples::orders());
        self.check("update_request", &samples::update_request());
        self.check("host_update", &samples::host_update());
        self.check("evacuations", &samples::evacuations());
        self.check("bootstrap_request", &samples::bootstrap_request());
        self.check("bootstrap_reply", &samples::bootstrap_reply());
        self.check("part_request", &samples::part_request());
        self.check("configuration_part", &samples::configuration_part());
        self.check("announcement", &samples::announcement());
        self.check("announcement_reply", &samples::announcement_reply());
    }
}

fn is_recording(version: u32) -> bool {
    version == VERSION && std::env::var_os("SHALLOTCROSS_RECORD_MESSAGES").is_some()
}

fn path(version: u32) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded");
    folder.join(format!("version-{version}.txt"))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string can be extended");
        text
    })
}

fn from_hex(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn messages_of_every_version_are_encoded_as_recorded_and_decoded() {
    for version in OLDEST_VERSION..=VERSION {
        let mut codec = Codec::new(version);
        codec.check_all();
        if is_recording(version) {
            let lines = codec.encoded.iter();
            let text: String = lines
                .map(|(name, digits)| format!("{name} {digits}\n"))
                .collect();
            std::fs::write(path(version), text).expect("the recording is written");
            continue;
        }
        // An older version with names may have got fields that its peers skip.
        if version == VERSION || version < FIRST_NAMED_VERSION {
            assert_eq!(codec.encoded, codec.recorded, "version {version}");
        }
        assert!(
            codec.encoded.keys().eq(codec.recorded.keys()),
            "version {version}"
        );
    }
}
