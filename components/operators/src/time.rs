//! Formats timestamps and ages.

const DAY_S: u64 = 86_400;

/// Days from 0000-03-01 to 1970-01-01 in the proleptic Gregorian calendar.
const EPOCH_DAYS: u64 = 719_468;

/// Days in an era: 400 years, after which the Gregorian calendar repeats.
const ERA_DAYS: u64 = 146_097;

/// Formats a timestamp in UTC according to RFC 3339.
pub(crate) fn format_unix_ms(unix_ms: u64) -> String {
    let unix_s = unix_ms / 1_000;
    let (year, month, day) = civil_date(unix_s / DAY_S);
    let second_of_day = unix_s % DAY_S;
    let (hour, minute) = (second_of_day / 3_600, second_of_day / 60 % 60);
    let second = second_of_day % 60;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Formats an age in whole units, with the unit chosen by its size.
pub(crate) fn format_age_ms(age_ms: u64) -> String {
    match age_ms / 1_000 {
        0 => format!("{age_ms} ms"),
        age_s @ 1..120 => format!("{age_s} s"),
        age_s @ 120..7_200 => format!("{} min", age_s / 60),
        age_s @ 7_200..172_800 => format!("{} h", age_s / 3_600),
        age_s => format!("{} days", age_s / DAY_S),
    }
}

/// Returns the year, month and day for a number of days since 1970-01-01.
///
/// Years are counted from March internally, so that the leap day is the last day of a year.
fn civil_date(unix_days: u64) -> (u64, u64, u64) {
    let days = unix_days + EPOCH_DAYS;
    let day_of_era = days % ERA_DAYS;
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let first_day = 365 * year_of_era + year_of_era / 4 - year_of_era / 100;
    let day_of_year = day_of_era - first_day;
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = days / ERA_DAYS * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
