//! The frame of a process that serves until it is told to drain.

use std::future::Future;

use config::{LogFormat, LogSettings};
use errors::{Error, ExitCode, Result};
use runtime::{LogOptions, Signals, Stop};
use serde_json::Value;

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
    runtime::init_logging(log_options(log)).map_err(failure)?;
    let signals = Signals::install().map_err(failure)?;
    let served = runtime::run(async {
        let drain = Stop::new();
        let (state, work) = bind(drain.clone())?;
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

fn log_options(settings: &LogSettings) -> LogOptions {
    let parts = settings.parts.iter();
    LogOptions {
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
