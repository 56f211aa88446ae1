//! Monotonic clock and wall clock of the process.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

const SECONDS_PER_DAY: u64 = 86_400;

/// Start of the process on the monotonic clock and on the wall clock.
struct ClockOrigin {
    started: Instant,
    /// Wall clock at the start of the process, as derived from the latest sample.
    unix_started_ms: AtomicU64,
}

fn clock_origin() -> &'static ClockOrigin {
    static ORIGIN: OnceLock<ClockOrigin> = OnceLock::new();
    ORIGIN.get_or_init(|| ClockOrigin {
        started: Instant::now(),
        unix_started_ms: AtomicU64::new(system_unix_ms()),
    })
}

fn system_unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Returns the microseconds since the process started, on a monotonic clock.
#[must_use]
pub fn monotonic_us() -> u64 {
    clock_origin().started.elapsed().as_micros() as u64
}

/// Returns the milliseconds since the host booted, on a monotonic clock that includes the time
/// for which the host was suspended.
///
/// Falls back to [`monotonic_us`] if the system has no such clock.
#[must_use]
pub fn uptime_ms() -> u64 {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000,
        Err(_) => monotonic_us() / 1_000,
    }
}

/// Converts a time of [`monotonic_us`] to an [`Instant`].
///
/// Returns the current time if the result would overflow [`Instant`].
#[must_use]
pub fn instant_at(monotonic_us: u64) -> Instant {
    let started = clock_origin().started;
    started
        .checked_add(Duration::from_micros(monotonic_us))
        .unwrap_or_else(Instant::now)
}

/// Returns the wall clock in milliseconds since the Unix epoch.
///
/// The system's wall clock is sampled once and advanced by the monotonic clock, so a step of
/// the system's clock has no effect until [`resample_clock`] is called.
#[must_use]
pub fn unix_ms() -> u64 {
    let clock_origin = clock_origin();
    let elapsed_ms = clock_origin.started.elapsed().as_millis() as u64;
    clock_origin.unix_started_ms.load(Ordering::Relaxed) + elapsed_ms
}

/// Returns how far the system's wall clock is ahead of [`unix_ms`], in milliseconds.
#[must_use]
pub fn clock_drift_ms() -> i64 {
    system_unix_ms() as i64 - unix_ms() as i64
}

/// Samples the system's wall clock again and returns the drift that was corrected, in
/// milliseconds.
pub fn resample_clock() -> i64 {
    let drift_ms = clock_drift_ms();
    let unix_started_ms = &clock_origin().unix_started_ms;
    let corrected_ms = unix_started_ms
        .load(Ordering::Relaxed)
        .saturating_add_signed(drift_ms);
    unix_started_ms.store(corrected_ms, Ordering::Relaxed);
    drift_ms
}

/// Formats a wall clock time as RFC 3339 in UTC with milliseconds.
#[must_use]
pub fn format_rfc3339_ms(unix_ms: u64) -> String {
    let seconds = unix_ms / 1_000;
    let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
    let second_of_day = seconds % SECONDS_PER_DAY;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
        unix_ms % 1_000,
    )
}

/// Converts days since the Unix epoch to year, month and day of the Gregorian calendar.
///
/// Years are counted from March, so that the leap day is the last day of a year. 719,468 is the
/// number of days from 0000-03-01 to 1970-01-01, and 146,097 that of a 400-year cycle.
fn civil_date(days_since_epoch: u64) -> (u64, u64, u64) {
    let days = days_since_epoch + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let months_since_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * months_since_march + 2) / 5 + 1;
    let month = if months_since_march < 10 {
        months_since_march + 3
    } else {
        months_since_march - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
