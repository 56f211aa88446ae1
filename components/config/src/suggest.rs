//! Suggestions for unknown keys and for durations written with a unit.

/// Unit suffixes of key names. A suffix comes before any other that it ends with, since the first
/// match is stripped.
const UNIT_SUFFIXES: [&str; 9] = [
    "_tasks_per_s",
    "_percent",
    "_bytes",
    "_tasks",
    "_min",
    "_ms",
    "_us",
    "_s",
    "_m",
];

/// Returns the known name with the smallest edit distance to `name`.
pub(crate) fn closest_match<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    known.min_by_key(|candidate| edit_distance(name, candidate))
}

/// Returns the first known name with a unit that matches `name` apart from the unit and a prefix:
/// for `deadline` or `deadline_s`, both `deadline_ms` and `max_deadline_ms` match.
pub(crate) fn match_ignoring_unit<'a>(
    name: &str,
    mut known: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let stem = strip_unit(name);
    known.find(|candidate| {
        let known_stem = strip_unit(candidate);
        let has_unit = known_stem.len() < candidate.len();
        let has_prefix = known_stem
            .strip_suffix(stem)
            .is_some_and(|prefix| prefix.ends_with('_'));
        has_unit && (known_stem == stem || has_prefix)
    })
}

/// Parses a duration such as `"5s"`; returns milliseconds.
pub(crate) fn parse_duration_ms(text: &str) -> Option<u64> {
    let text = text.trim();
    let digits_end = text.find(|c: char| !c.is_ascii_digit())?;
    let number: u64 = text[..digits_end].parse().ok()?;
    let factor_ms = match text[digits_end..].trim() {
        "ms" => 1,
        "s" | "sec" => 1_000,
        "m" | "min" => 60_000,
        _ => return None,
    };
    number.checked_mul(factor_ms)
}

fn strip_unit(name: &str) -> &str {
    UNIT_SUFFIXES
        .iter()
        .find_map(|unit| name.strip_suffix(unit))
        .filter(|stem| !stem.is_empty())
        .unwrap_or(name)
}

/// Returns the Levenshtein distance.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut previous: Vec<usize> = (0..=right.len()).collect();
    for (row, from) in left.chars().enumerate() {
        let mut current = vec![row + 1];
        for (column, to) in right.iter().enumerate() {
            let replace = previous[column] + usize::from(from != *to);
            let insert = current[column] + 1;
            let delete = previous[column + 1] + 1;
            current.push(replace.min(insert).min(delete));
        }
        previous = current;
    }
    previous[right.len()]
}
