//! Validation of the names that callers choose: job IDs, groups, task kinds and firms.

use derive_more::{Display, Error};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Reason why a name is invalid.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    #[display("is empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[display("is longer than {MAX_NAME_BYTES} bytes")]
    TooLong,
    /// The name contains a character other than a letter, a digit or one of `._:-`.
    #[display("holds a character other than A-Z, a-z, 0-9 and ._:-")]
    BadCharacter,
    /// The name is `.` or `..`; HTTP clients remove such dot segments from paths.
    #[display("is a dot segment")]
    DotSegment,
}

/// Checks that a name consists of 1 to [`MAX_NAME_BYTES`] bytes of `A-Z a-z 0-9 . _ : -` and is
/// not a dot segment.
///
/// # Errors
///
/// Fails with the first rule that the name violates.
pub fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong);
    }
    if !name.bytes().all(is_name_byte) {
        return Err(NameError::BadCharacter);
    }
    if name == "." || name == ".." {
        return Err(NameError::DotSegment);
    }
    Ok(())
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"._:-".contains(&byte)
}
