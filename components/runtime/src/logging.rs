//! Logging to standard error, or as bounded lines to standard output.

use std::fmt::Arguments;
use std::io;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use derive_more::{Display, Error, From};
use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record, SetLoggerError};
use serde::Serialize;
use serde_json::Map;
use strum::{EnumString, IntoStaticStr};

use crate::clock;
use crate::line_sink::{LineSink, SinkCounts};

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

/// Where log lines go.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LogOutput {
    /// To standard error, at once.
    #[default]
    StandardError,
    /// To standard output without ever blocking, when [`flush_log`] is called.
    BoundedOutput {
        /// Lines in a second at most; the others are counted.
        lines_per_s: u64,
    },
}

/// What is logged, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogOptions {
    /// Where the lines go.
    pub output: LogOutput,
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
            output: LogOutput::default(),
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
    #[serde(flatten)]
    fields: &'a Map<String, serde_json::Value>,
}

/// Lines of [`LogOutput::BoundedOutput`] that wait to be written.
static KEPT_LINES: OnceLock<Arc<Mutex<LineSink>>> = OnceLock::new();

/// Starts logging; the target of a record names the part.
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
    let dispatch = match options.output {
        LogOutput::StandardError => dispatch.chain(io::stderr()),
        LogOutput::BoundedOutput { lines_per_s } => dispatch.chain(bounded_output(lines_per_s)),
    };
    let (max_level, logger) = dispatch.into_log();
    let quiet = Quiet {
        calls_level,
        logger,
    };
    log::set_boxed_logger(Box::new(quiet))?;
    log::set_max_level(max_level);
    Ok(())
}

fn bounded_output(lines_per_s: u64) -> fern::Output {
    let kept = KEPT_LINES.get_or_init(|| Arc::new(Mutex::new(LineSink::new(lines_per_s))));
    let kept = Arc::clone(kept);
    fern::Output::call(move |record| {
        let mut sink = kept.lock().unwrap_or_else(PoisonError::into_inner);
        sink.push(clock::monotonic_us() / 1_000, &record.args().to_string());
    })
}

/// Writes the kept lines to standard output, as far as its reader takes them without blocking.
pub fn flush_log() {
    let Some(kept) = KEPT_LINES.get() else {
        return;
    };
    let mut sink = kept.lock().unwrap_or_else(PoisonError::into_inner);
    sink.flush_to(&mut io::stdout().lock());
}

/// Returns what became of the lines of [`LogOutput::BoundedOutput`].
#[must_use]
pub fn log_counts() -> SinkCounts {
    KEPT_LINES.get().map_or_else(SinkCounts::default, |kept| {
        kept.lock().unwrap_or_else(PoisonError::into_inner).counts()
    })
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
    let fields = fields_of(record);
    match format {
        LogFormat::Text => format_text(&time, record.level(), record.target(), &message, &fields),
        LogFormat::Json => format_json(&time, record.level(), record.target(), &message, &fields),
    }
}

/// Returns the named values of a record.
fn fields_of(record: &Record<'_>) -> Map<String, serde_json::Value> {
    let mut fields = Fields(Map::new());
    // The visitor accepts every value.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(truth) = value.to_bool() {
            truth.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Formats a log line as text; line breaks in the message are escaped.
#[must_use]
pub fn format_text(
    time: &str,
    level: Level,
    part: &str,
    message: &str,
    fields: &Map<String, serde_json::Value>,
) -> String {
    let mut line = format!("{time} {level:<5} {part}: {message}");
    for (name, value) in fields {
        line.push_str(&format!(" {name}={value}"));
    }
    line.replace('\n', "\\n").replace('\r', "\\r")
}

/// Formats a log line as a JSON object.
///
/// # Panics
///
/// Never panics, since strings and numbers always have a JSON form.
#[must_use]
pub fn format_json(
    time: &str,
    level: Level,
    part: &str,
    message: &str,
    fields: &Map<String, serde_json::Value>,
) -> String {
    let line = JsonLine {
        time,
        level: level.as_str(),
        part,
        message,
        fields,
    };
    serde_json::to_string(&line).expect("strings and numbers have a JSON form")
}
