//! Dumps of the process's state as JSON lines.

use std::io::{self, Write};

use derive_more::{Display, Error, From};
use serde::Serialize;

use crate::clock;
use crate::signals::Signals;

/// Error of writing a dump.
#[derive(Debug, Display, Error, From)]
pub enum DumpError {
    /// The state cannot be serialized as JSON.
    #[display("state cannot be serialised: {_0}")]
    Serialise(serde_json::Error),
    /// Writing to the output failed.
    #[display("dump cannot be written: {_0}")]
    Write(io::Error),
}

#[derive(Serialize)]
struct Dump<'a, T> {
    dump: &'a str,
    time: String,
    monotonic_us: u64,
    state: &'a T,
}

/// Returns the state of a part of the process as one JSON object on one line.
///
/// # Errors
///
/// Fails if the state cannot be serialized as JSON.
pub fn dump_to_string<T: Serialize>(part: &str, state: &T) -> Result<String, DumpError> {
    let dump = Dump {
        dump: part,
        time: clock::format_rfc3339_ms(clock::unix_ms()),
        monotonic_us: clock::monotonic_us(),
        state,
    };
    Ok(serde_json::to_string(&dump)?)
}

/// Writes the state of a part of the process to `output` as one line.
///
/// # Errors
///
/// Fails if the state cannot be serialized as JSON or the write fails.
pub fn write_dump_to<T: Serialize>(
    output: &mut impl Write,
    part: &str,
    state: &T,
) -> Result<(), DumpError> {
    let mut line = dump_to_string(part, state)?;
    line.push('\n');
    output.write_all(line.as_bytes())?;
    Ok(())
}

/// Writes the state of a part of the process to standard error as one line.
///
/// # Errors
///
/// Fails if the state cannot be serialized as JSON or the write to standard error fails.
pub fn write_dump<T: Serialize>(part: &str, state: &T) -> Result<(), DumpError> {
    write_dump_to(&mut io::stderr().lock(), part, state)
}

/// Writes a dump to standard error each time one is requested; never returns.
pub async fn dump_on_signal<T: Serialize>(signals: &Signals, part: &str, state: impl Fn() -> T) {
    loop {
        signals.dump_requested().await;
        if let Err(error) = write_dump(part, &state()) {
            log::warn!(target: "runtime", "Dump failed: {error}.");
        }
    }
}
