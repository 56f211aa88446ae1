//! Logging to standard error, or through a bounded buffer to standard output.

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

/// Log target of the RPC library, which logs every call several times at level info; these
/// records outnumber all others and are seldom needed.
const RPC_PART: &str = "tarpc";

/// Format of a log line.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Time, level, part and message, separated by spaces, then the fields as `name=value`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// Output of the log lines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LogOutput {
    /// Writes each line to standard error at once.
    #[default]
    StandardError,
    /// Buffers lines and writes them to standard output without blocking in [`flush_log`].
    BoundedOutput {
        /// Largest number of lines per second; further ones are dropped and counted.
        lines_per_s: u64,
    },
}

/// Options of the logger; a part is the log target of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogOptions {
    /// Output of the lines.
    pub output: LogOutput,
    /// Format of the lines.
    pub format: LogFormat,
    /// Level of all parts that `part_levels` does not list.
    pub level: LevelFilter,
    /// Levels of individual parts.
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
#[display("the process already has a logger")]
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

/// Buffer of [`LogOutput::BoundedOutput`].
static LINE_SINK: OnceLock<Arc<Mutex<LineSink>>> = OnceLock::new();

/// Installs the logger of the process.
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
    let rpc_level = rpc_level(&options);
    dispatch = dispatch.level_for(RPC_PART, rpc_level);
    for (part, level) in options.part_levels {
        dispatch = dispatch.level_for(part, level);
    }
    let dispatch = match options.output {
        LogOutput::StandardError => dispatch.chain(io::stderr()),
        LogOutput::BoundedOutput { lines_per_s } => dispatch.chain(bounded_output(lines_per_s)),
    };
    let (max_level, logger) = dispatch.into_log();
    let filter = RpcFilter { rpc_level, logger };
    log::set_boxed_logger(Box::new(filter))?;
    log::set_max_level(max_level);
    Ok(())
}

fn bounded_output(lines_per_s: u64) -> fern::Output {
    let shared_sink = LINE_SINK.get_or_init(|| Arc::new(Mutex::new(LineSink::new(lines_per_s))));
    let shared_sink = Arc::clone(shared_sink);
    fern::Output::call(move |record| {
        let mut sink = shared_sink.lock().unwrap_or_else(PoisonError::into_inner);
        sink.push(clock::monotonic_us() / 1_000, &record.args().to_string());
    })
}

/// Writes the buffered lines to standard output, as many as it accepts without blocking.
pub fn flush_log() {
    let Some(shared_sink) = LINE_SINK.get() else {
        return;
    };
    let mut sink = shared_sink.lock().unwrap_or_else(PoisonError::into_inner);
    sink.flush_to(&mut io::stdout().lock());
}

/// Returns the line counts of [`LogOutput::BoundedOutput`].
#[must_use]
pub fn log_counts() -> SinkCounts {
    LINE_SINK
        .get()
        .map_or_else(SinkCounts::default, |shared_sink| {
            shared_sink
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .counts()
        })
}

/// Returns the level of [`RPC_PART`]: the one set for it, or else the general level, capped at
/// [`LevelFilter::Warn`].
fn rpc_level(options: &LogOptions) -> LevelFilter {
    let overrides = options.part_levels.iter().rev();
    let mut overrides = overrides.filter(|(part, _)| part == RPC_PART);
    overrides
        .next()
        .map_or(options.level.min(LevelFilter::Warn), |(_, level)| *level)
}

/// Filters out the records of [`RPC_PART`] before the logger looks up the level of their part.
struct RpcFilter {
    rpc_level: LevelFilter,
    logger: Box<dyn Log>,
}

impl RpcFilter {
    fn is_filtered_out(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() > self.rpc_level && metadata.target().starts_with(RPC_PART)
    }
}

impl Log for RpcFilter {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        !self.is_filtered_out(metadata) && self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.is_filtered_out(record.metadata()) {
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
    let fields = collect_fields(record);
    match format {
        LogFormat::Text => format_text(&time, record.level(), record.target(), &message, &fields),
        LogFormat::Json => format_json(&time, record.level(), record.target(), &message, &fields),
    }
}

/// Returns the key-value fields of a record.
fn collect_fields(record: &Record<'_>) -> Map<String, serde_json::Value> {
    let mut fields = FieldCollector(Map::new());
    // The visitor never fails.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
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
