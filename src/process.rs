//! Runs a server process: logging, signals, and the drain at its end.

use std::future::Future;
use std::path::PathBuf;

use config::{LogFormat, LogSettings};
use errors::{Error, ExitCode, Result};
use runtime::{LogOptions, LogOutput, Signals, StopSignal};
use serde_json::Value;

use crate::settings_file::SettingsFile;

/// Limit on the log lines per second of a process on the users' platform: enough for several lines
/// per failed request under the worst load, at a few percent of the CPU.
const MAX_LOG_LINES_PER_S: u64 = 300;

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "SHALLOTCROSS_CONFIG";

/// Runs a server process until a signal starts its drain and the drain ends.
///
/// `bind` opens the ports and returns a function for state dumps and the server's future. It is
/// called inside the runtime; the [`StopSignal`] that it receives starts the drain.
pub(crate) fn serve<S, W>(
    part: &str,
    log: &LogSettings,
    bind: impl FnOnce(StopSignal) -> Result<(S, W)>,
) -> Result<ExitCode>
where
    S: Fn() -> Value + 'static,
    W: Future<Output = ()>,
{
    let options = log_options(log, LogOutput::StandardError);
    run_server(part, options, |drain, _| bind(drain))
}

/// Runs a process as [`serve`] does, with rate-limited logs on standard output; `bind` also
/// returns a function that applies changed settings.
pub(crate) fn serve_on_platform<S, W, T, R>(
    part: &'static str,
    log: &LogSettings,
    file: SettingsFile<T>,
    bind: impl FnOnce(StopSignal) -> Result<(S, R, W)>,
) -> Result<ExitCode>
where
    S: Fn() -> Value + 'static,
    W: Future<Output = ()>,
    T: PartialEq + 'static,
    R: Fn(&T) -> Vec<&'static str> + 'static,
{
    let output = LogOutput::BoundedOutput {
        lines_per_s: MAX_LOG_LINES_PER_S,
    };
    run_server(part, log_options(log, output), |drain, signals| {
        let (state, apply_settings, server) = bind(drain)?;
        monoio::spawn(file.watch(part, signals, apply_settings));
        Ok((state, server))
    })
}

/// Returns the path of the settings file from the option, or else from the environment.
pub(crate) fn settings_path(option: Option<String>) -> Result<PathBuf> {
    let path = option.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    path.map(PathBuf::from).ok_or_else(|| {
        Error::new(ExitCode::Usage, "no settings file is given")
            .with_remedy(format!("pass --settings or set {SETTINGS_VARIABLE}"))
    })
}

fn run_server<S, W>(
    part: &str,
    options: LogOptions,
    bind: impl FnOnce(StopSignal, Signals) -> Result<(S, W)>,
) -> Result<ExitCode>
where
    S: Fn() -> Value + 'static,
    W: Future<Output = ()>,
{
    runtime::init_logging(options).map_err(failure)?;
    let signals = Signals::install().map_err(failure)?;
    let result = runtime::run(async {
        let drain = StopSignal::new();
        let (state, server) = bind(drain.clone(), signals.clone())?;
        monoio::spawn(drain_on_signal(signals.clone(), drain));
        monoio::spawn(dump_on_signal(signals, part.to_owned(), state));
        server.await;
        Ok(ExitCode::Ok)
    });
    result.map_err(failure)?
}

/// Runs a future to completion on the runtime.
pub(crate) fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    runtime::run(future).map_err(failure)?
}

async fn drain_on_signal(signals: Signals, drain: StopSignal) {
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
