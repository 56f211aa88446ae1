//! The frame of a process that serves until it is told to drain.

use std::future::Future;
use std::path::PathBuf;

use config::{LogFormat, LogSettings};
use errors::{Error, ExitCode, Result};
use runtime::{LogOptions, LogOutput, Signals, Stop};
use serde_json::Value;

use crate::settings_file::SettingsFile;

/// Log lines of a process on the users' platform, in a second at most: several for each request
/// that fails under the worst load, at a few percent of the processor.
const LINES_PER_S: u64 = 300;

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "SHALLOTCROSS_CONFIG";

/// Runs a process until a signal has drained it.
///
/// `bind` opens the ports and returns the state for dumps and the work; it is called inside
/// the runtime, with the switch that starts the drain.
pub(crate) fn serve<S, W>(
    part: &str,
    log: &LogSettings,
    bind: impl FnOnce(Stop) -> Result<(S, W)>,
) -> Result<ExitCode>
where
    S: Fn() -> Value + 'static,
    W: Future<Output = ()>,
{
    let options = log_options(log, LogOutput::StandardError);
    run_served(part, options, |drain, _| bind(drain))
}

/// Runs a process as [`serve`] does, with bounded logs on standard output; `bind` also returns
/// what puts changed settings into force.
pub(crate) fn serve_on_platform<S, W, T, R>(
    part: &'static str,
    log: &LogSettings,
    file: SettingsFile<T>,
    bind: impl FnOnce(Stop) -> Result<(S, R, W)>,
) -> Result<ExitCode>
where
    S: Fn() -> Value + 'static,
    W: Future<Output = ()>,
    T: PartialEq + 'static,
    R: Fn(&T) -> Vec<&'static str> + 'static,
{
    let output = LogOutput::BoundedOutput {
        lines_per_s: LINES_PER_S,
    };
    run_served(part, log_options(log, output), |drain, signals| {
        let (state, apply_reloadable, work) = bind(drain)?;
        monoio::spawn(file.follow(part, signals, apply_reloadable));
        Ok((state, work))
    })
}

/// Returns the path of the settings: that of the option, or that of the environment.
pub(crate) fn settings_path(option: Option<String>) -> Result<PathBuf> {
    let path = option.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    path.map(PathBuf::from).ok_or_else(|| {
        Error::new(ExitCode::Usage, "no settings file is named")
            .with_remedy(format!("give --settings or set {SETTINGS_VARIABLE}"))
    })
}

fn run_served<S, W>(
    part: &str,
    options: LogOptions,
    bind: impl FnOnce(Stop, Signals) -> Result<(S, W)>,
) -> Result<ExitCode>
where
    S: Fn() -> Value + 'static,
    W: Future<Output = ()>,
{
    runtime::init_logging(options).map_err(failure)?;
    let signals = Signals::install().map_err(failure)?;
    let served = runtime::run(async {
        let drain = Stop::new();
        let (state, work) = bind(drain.clone(), signals.clone())?;
        monoio::spawn(drain_on_signal(signals.clone(), drain));
        monoio::spawn(dump_on_signal(signals, part.to_owned(), state));
        work.await;
        Ok(ExitCode::Ok)
    });
    served.map_err(failure)?
}

/// Runs a future on the executor of the process.
pub(crate) fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    runtime::run(work).map_err(failure)?
}

async fn drain_on_signal(signals: Signals, drain: Stop) {
    signals.drain_requested().await;
    drain.stop();
}

async fn dump_on_signal(signals: Signals, part: String, state: impl Fn() -> Value) {
    runtime::dump_on_signal(&signals, &part, state).await;
}

#[expect(clippy::needless_pass_by_value, reason = "for use with map_err")]
fn failure(error: impl ToString) -> Error {
    Error::new(ExitCode::Failure, error.to_string())
}

fn log_options(settings: &LogSettings, output: LogOutput) -> LogOptions {
    let parts = settings.parts.iter();
    LogOptions {
        output,
        format: match settings.format {
            LogFormat::Text => runtime::LogFormat::Text,
            LogFormat::Json => runtime::LogFormat::Json,
        },
        level: settings.level.into(),
        part_levels: parts
            .map(|(part, level)| (part.clone(), (*level).into()))
            .collect(),
    }
}
