//! Percent-encoding of arbitrary text in header values.

use std::fmt::Write;

use http::HeaderValue;

/// Percent-encodes all bytes except visible ASCII characters other than the percent sign.
pub(crate) fn encode(text: &str) -> HeaderValue {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_graphic() && byte != b'%' {
            encoded.push(char::from(byte));
        } else {
            write!(encoded, "%{byte:02X}").expect("writing to a string does not fail");
        }
    }
    HeaderValue::try_from(encoded).expect("the encoded text is visible ASCII")
}

/// Decodes text; returns `None` if the encoding is malformed or the result is not UTF-8.
pub(crate) fn decode(value: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(value.len());
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let high = hex_digit(bytes.next()?)?;
            let low = hex_digit(bytes.next()?)?;
            decoded.push(high * 16 + low);
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).ok()
}

fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}
