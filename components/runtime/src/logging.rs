//! Logging to standard error.

use std::fmt::Arguments;
use std::io;

use derive_more::{Display, Error, From};
use log::{Level, LevelFilter, Log, Metadata, Record, SetLoggerError};
use serde::Serialize;
use strum::{EnumString, IntoStaticStr};

use crate::clock;

/// Part whose records are most of all and seldom wanted.
const CALLS_PART: &str = "tarpc";

/// Form of a log line.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Time, level, part and message, separated by spaces.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// What is logged, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogOptions {
    /// Form of the lines.
    pub format: LogFormat,
    /// Level of all parts that `part_levels` does not name.
    pub level: LevelFilter,
    /// Levels of single parts.
    pub part_levels: Vec<(String, LevelFilter)>,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            level: LevelFilter::Info,
            part_levels: Vec::new(),
        }
    }
}

/// The process already has a logger.
#[derive(Debug, Display, Error, From)]
#[display("logging is already set up")]
pub struct LogError(SetLoggerError);

#[derive(Serialize)]
struct JsonLine<'a> {
    time: &'a str,
    level: &'a str,
    part: &'a str,
    message: &'a str,
}

/// Starts logging to standard error; the target of a record names the part.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn init_logging(options: LogOptions) -> Result<(), LogError> {
    let format = options.format;
    let mut dispatch =
        fern::Dispatch::new()
            .level(options.level)
            .format(move |out, message, record| {
                out.finish(format_args!("{}", format_line(format, message, record)));
            });
    let calls_level = calls_level(&options);
    dispatch = dispatch.level_for(CALLS_PART, calls_level);
    for (part, level) in options.part_levels {
        dispatch = dispatch.level_for(part, level);
    }
    let (max_level, logger) = dispatch.chain(io::stderr()).into_log();
    let quiet = Quiet {
        calls_level,
        logger,
    };
    log::set_boxed_logger(Box::new(quiet))?;
    log::set_max_level(max_level);
    Ok(())
}

/// Returns the level of the part that logs every call several times at level info.
fn calls_level(options: &LogOptions) -> LevelFilter {
    let named = options.part_levels.iter().rev();
    let mut named = named.filter(|(part, _)| part == CALLS_PART);
    named
        .next()
        .map_or(options.level.min(LevelFilter::Warn), |(_, level)| *level)
}

/// Drops the records of calls before the logger looks for the level of their part.
struct Quiet {
    calls_level: LevelFilter,
    logger: Box<dyn Log>,
}

impl Quiet {
    fn drops(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() > self.calls_level && metadata.target().starts_with(CALLS_PART)
    }
}

impl Log for Quiet {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        !self.drops(metadata) && self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.drops(record.metadata()) {
            self.logger.log(record);
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

fn format_line(format: LogFormat, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let time = clock::format_rfc3339_ms(clock::unix_ms());
    let message = message.to_string();
    match format {
        LogFormat::Text => format_text(&time, record.level(), record.target(), &message),
        LogFormat::Json => format_json(&time, record.level(), record.target(), &message),
    }
}

/// Formats a log line as text; line breaks in the message are escaped.
#[must_use]
pub fn format_text(time: &str, level: Level, part: &str, message: &str) -> String {
    let message = message.replace('\n', "\\n").replace('\r', "\\r");
    format!("{time} {level:<5} {part}: {message}")
}

/// Formats a log line as a JSON object.
///
/// # Panics
///
/// Never panics, since strings always have a JSON form.
#[must_use]
pub fn format_json(time: &str, level: Level, part: &str, message: &str) -> String {
    let line = JsonLine {
        time,
        level: level.as_str(),
        part,
        message,
    };
    serde_json::to_string(&line).expect("strings have a JSON form")
}
