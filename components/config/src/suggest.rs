//! Suggestions for keys that are not known and for values with a unit.

/// Units that names of keys end with, the longest first.
const UNITS: [&str; 9] = [
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

/// Returns the known name with the smallest edit distance.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known.min_by_key(|candidate| edit_distance(name, candidate))
}

/// Returns the known name that differs from an unknown one only by its unit or its prefix.
pub(crate) fn with_unit<'a>(
    name: &str,
    mut known: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let stem = strip_unit(name);
    known.find(|candidate| {
        let known_stem = strip_unit(candidate);
        let has_unit = known_stem.len() < candidate.len();
        let prefixed = known_stem
            .strip_suffix(stem)
            .is_some_and(|prefix| prefix.ends_with('_'));
        has_unit && (known_stem == stem || prefixed)
    })
}

/// Converts a duration such as `"5s"` to milliseconds.
pub(crate) fn duration_ms(text: &str) -> Option<u64> {
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
    UNITS
        .iter()
        .find_map(|unit| name.strip_suffix(unit))
        .filter(|stem| !stem.is_empty())
        .unwrap_or(name)
}

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
