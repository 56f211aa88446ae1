//! Process runtime: single-threaded executor, clocks, pauses between attempts, logging, signals,
//! metrics and state dumps.

mod backoff;
mod clock;
mod dump;
mod executor;
mod line_sink;
mod logging;
mod metrics;
mod process;
mod signals;
mod stop;
mod suspension;

pub use backoff::{Backoff, BackoffBuilder};
pub use clock::{
    clock_drift_ms, format_rfc3339_ms, instant_at, monotonic_us, resample_clock, unix_ms, uptime_ms,
};
pub use dump::{DumpError, dump_on_signal, dump_to_string, write_dump, write_dump_to};
pub use executor::{TOKIO_TIMER_POLL_MS, run};
pub use line_sink::{LineSink, MAX_LINE_BYTES, SinkCounts};
pub use logging::{
    LogError, LogFormat, LogOptions, LogOutput, flush_log, format_json, format_text, init_logging,
    log_counts,
};
pub use metrics::{Metrics, MetricsError};
pub use process::generate_process_key;
pub use signals::{SIGNAL_POLL_MS, Signals};
pub use stop::{StopSignal, Stopped};
pub use suspension::SuspensionWatch;

pub use prometheus;
