//! Validates a TOML table against the keys that it may contain.

use std::net::SocketAddr;

use toml::{Table, Value};

use crate::fault::{Fault, Severity};
use crate::suggest;

/// Maximum length of the name of a firm, team or group.
const MAX_NAME_BYTES: usize = 64;

/// Minimum length of a token.
const MIN_TOKEN_BYTES: usize = 16;

/// A key that a table may contain.
#[derive(Debug)]
pub(crate) struct Key {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    pub(crate) is_required: bool,
}

/// The type of a key's value and its valid range.
#[derive(Debug)]
pub(crate) enum Kind {
    /// A string that is not empty.
    Text,
    /// An IP address with a port.
    Address,
    /// An integer from `min` to `max`, both inclusive.
    Integer { min: u64, max: u64 },
    /// `true` or `false`.
    Boolean,
    /// One of the given strings.
    Choice(&'static [&'static str]),
    /// A list of addresses.
    Addresses { min_count: usize },
    /// A list of names of firms.
    Names,
    /// A list of bearer tokens.
    Tokens,
    /// A table with fixed keys.
    Table(&'static [Key]),
    /// A table whose keys are names chosen by the user and whose values are all of one kind.
    MapOf(&'static Self),
}

impl Key {
    pub(crate) const fn optional(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            is_required: false,
        }
    }

    pub(crate) const fn required(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            is_required: true,
        }
    }

    pub(crate) const fn optional_integer(name: &'static str, min: u64, max: u64) -> Self {
        Self::optional(name, Kind::Integer { min, max })
    }
}

/// Validates one file and collects its faults.
#[derive(Debug)]
pub(crate) struct Checker<'a> {
    file: &'a str,
    unknown_key_severity: Severity,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    /// Creates a checker that reports unknown keys with the given severity.
    pub(crate) fn new(file: &'a str, unknown_key_severity: Severity) -> Self {
        Self {
            file,
            unknown_key_severity,
            faults: Vec::new(),
        }
    }

    /// Checks a table, removes its unknown keys and invalid values, and returns all faults.
    pub(crate) fn check(mut self, table: &mut Table, keys: &[Key]) -> Vec<Fault> {
        self.check_table("", table, keys);
        self.faults
    }

    fn check_table(&mut self, path: &str, table: &mut Table, keys: &[Key]) {
        table.retain(|name, value| {
            let path = join_path(path, name);
            let Some(key) = keys.iter().find(|key| key.name == name) else {
                self.report_unknown_key(&path, name, value, keys);
                return false;
            };
            self.check_entry(&path, value, &key.kind)
        });
    }

    /// Checks a value and returns whether to keep it.
    ///
    /// A table is kept even if it has faults, since its invalid entries were removed from it.
    fn check_entry(&mut self, path: &str, value: &mut Value, kind: &Kind) -> bool {
        let faults_before = self.faults.len();
        self.check_value(path, value, kind);
        let is_nested = matches!(kind, Kind::Table(_) | Kind::MapOf(_));
        (is_nested && value.is_table()) || self.faults.len() == faults_before
    }

    fn report_unknown_key(&mut self, path: &str, name: &str, value: &Value, keys: &[Key]) {
        let names = || keys.iter().map(|key| key.name);
        if let Some(meant) = suggest::match_ignoring_unit(name, names()) {
            self.add_error(
                path,
                "has no unit, or the wrong one",
                &unit_remedy(meant, value),
            );
            return;
        }
        let meant = suggest::closest_match(name, names()).unwrap_or_default();
        self.faults.push(Fault {
            severity: self.unknown_key_severity,
            ..Fault::error(self.file, path, "is not known")
                .with_remedy(format!("did you mean `{meant}`? Correct or remove the key"))
        });
    }

    fn check_value(&mut self, path: &str, value: &mut Value, kind: &Kind) {
        match kind {
            Kind::Text => self.check_text(path, value),
            Kind::Address => self.check_address(path, value),
            Kind::Integer { min, max } => self.check_integer(path, value, *min, *max),
            Kind::Boolean => self.check_boolean(path, value),
            Kind::Choice(choices) => self.check_choice(path, value, choices),
            Kind::Addresses { min_count } => self.check_addresses(path, value, *min_count),
            Kind::Names => self.check_list(path, value, Self::check_name_value),
            Kind::Tokens => self.check_list(path, value, Self::check_token),
            Kind::Table(keys) => self.check_inner_table(path, value, keys),
            Kind::MapOf(kind) => self.check_map(path, value, kind),
        }
    }

    fn check_text(&mut self, path: &str, value: &Value) {
        if value.as_str().is_none_or(str::is_empty) {
            self.add_error(
                path,
                "must be a string that is not empty",
                "write a string in quotes",
            );
        }
    }

    fn check_address(&mut self, path: &str, value: &Value) {
        let parsed = value
            .as_str()
            .and_then(|text| text.parse::<SocketAddr>().ok());
        if parsed.is_none() {
            let remedy = "write an IP number and a port, such as \"10.0.0.5:7100\"";
            self.add_error(path, "is not an address", remedy);
        }
    }

    fn check_integer(&mut self, path: &str, value: &Value, min: u64, max: u64) {
        let Some(number) = value.as_integer() else {
            let name = path.rsplit('.').next().unwrap_or(path);
            self.add_error(path, "must be an integer", &unit_remedy(name, value));
            return;
        };
        if u64::try_from(number).is_ok_and(|number| (min..=max).contains(&number)) {
            return;
        }
        let remedy = format!("write a number from {min} to {max}");
        self.add_error(path, format!("{number} is out of bounds"), &remedy);
    }

    fn check_choice(&mut self, path: &str, value: &Value, choices: &[&str]) {
        let chosen = value.as_str().unwrap_or_default();
        if choices.contains(&chosen) {
            return;
        }
        let remedy = format!("write one of \"{}\"", choices.join("\", \""));
        self.add_error(path, "is not a valid choice", &remedy);
    }

    fn check_boolean(&mut self, path: &str, value: &Value) {
        if !value.is_bool() {
            self.add_error(path, "must be true or false", "write it without quotes");
        }
    }

    fn check_addresses(&mut self, path: &str, value: &Value, min_count: usize) {
        let count = value.as_array().map_or(min_count, Vec::len);
        if count < min_count {
            self.add_error(
                path,
                "holds too few addresses",
                &format!("list at least {min_count}"),
            );
        }
        self.check_list(path, value, Self::check_address);
    }

    fn check_list(&mut self, path: &str, value: &Value, check: fn(&mut Self, &str, &Value)) {
        let Some(items) = value.as_array() else {
            self.add_error(
                path,
                "must be a list",
                "write it in brackets, such as [\"one\", \"two\"]",
            );
            return;
        };
        for (index, item) in items.iter().enumerate() {
            check(self, &format!("{path}[{index}]"), item);
        }
    }

    fn check_name_value(&mut self, path: &str, value: &Value) {
        match value.as_str() {
            Some(name) => self.check_name(path, name),
            None => self.add_error(path, "must be a name", "write a string in quotes"),
        }
    }

    fn check_name(&mut self, path: &str, name: &str) {
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_".contains(c);
        if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed) {
            return;
        }
        let remedy = format!("use a-z, 0-9, `-` and `_`, at most {MAX_NAME_BYTES} bytes");
        self.add_error(path, "is not a valid name", &remedy);
    }

    fn check_token(&mut self, path: &str, value: &Value) {
        let is_valid = value.as_str().is_some_and(|text| {
            text.len() >= MIN_TOKEN_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
        });
        if is_valid {
            return;
        }
        let remedy =
            format!("use at least {MIN_TOKEN_BYTES} printable ASCII characters, no blanks");
        self.add_error(path, "is not a valid token", &remedy);
    }

    fn check_inner_table(&mut self, path: &str, value: &mut Value, keys: &[Key]) {
        match value {
            Value::Table(table) => self.check_table(path, table, keys),
            _ => self.add_error(path, "must be a table", &format!("write it as [{path}]")),
        }
    }

    fn check_map(&mut self, path: &str, value: &mut Value, kind: &Kind) {
        let Value::Table(table) = value else {
            self.add_error(
                path,
                "must be a table",
                &format!("write it as [{path}.NAME]"),
            );
            return;
        };
        table.retain(|name, value| {
            let path = join_path(path, name);
            self.check_name(&path, name);
            self.check_entry(&path, value, kind)
        });
    }

    fn add_error(&mut self, path: &str, message: impl Into<String>, remedy: &str) {
        self.faults
            .push(Fault::error(self.file, path, message).with_remedy(remedy));
    }
}

/// Returns a fault for each required key that is missing.
pub(crate) fn missing_keys(file: &str, path: &str, table: &Table, keys: &[Key]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for key in keys {
        let path = join_path(path, key.name);
        match (table.get(key.name), &key.kind) {
            (Some(Value::Table(inner)), Kind::Table(keys)) => {
                faults.extend(missing_keys(file, &path, inner, keys));
            }
            (None, _) if key.is_required => {
                let remedy = format!("set `{}`", key.name);
                faults.push(Fault::error(file, &path, "is missing").with_remedy(remedy));
            }
            _ => {}
        }
    }
    faults
}

/// Appends a segment to the path of a key, quoted if it is not a valid bare key in TOML.
pub(crate) fn join_path(path: &str, segment: &str) -> String {
    let is_bare = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    let segment = if !segment.is_empty() && segment.chars().all(is_bare) {
        segment.to_owned()
    } else {
        format!("{segment:?}")
    };
    if path.is_empty() {
        return segment;
    }
    format!("{path}.{segment}")
}

/// Returns the remedy for a value of a key with a unit, such as `"5s"` for a key in milliseconds.
fn unit_remedy(name: &str, value: &Value) -> String {
    let example = value.as_str().and_then(suggest::parse_duration_ms);
    match example {
        Some(duration_ms) if name.ends_with("_ms") => format!("write {name} = {duration_ms}"),
        _ => format!("write `{name}` with an integer in the unit that its name ends with"),
    }
}
