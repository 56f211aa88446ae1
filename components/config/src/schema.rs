//! Checks a TOML table against the keys that it may hold.

use std::net::SocketAddr;

use toml::{Table, Value};

use crate::fault::{Fault, Severity};
use crate::suggest;

/// Longest name of a firm, team or group, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Shortest token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// A key that a table may hold.
#[derive(Debug)]
pub(crate) struct Key {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    pub(crate) required: bool,
}

/// What a key may hold.
#[derive(Debug)]
pub(crate) enum Kind {
    Text,
    Address,
    Integer { min: u64, max: u64 },
    Choice(&'static [&'static str]),
    Addresses { min_count: usize },
    Names,
    Tokens,
    Table(&'static [Key]),
    Named(&'static Self),
}

impl Key {
    pub(crate) const fn optional(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: false,
        }
    }

    pub(crate) const fn required(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: true,
        }
    }

    pub(crate) const fn integer(name: &'static str, min: u64, max: u64) -> Self {
        Self::optional(name, Kind::Integer { min, max })
    }
}

/// Collects the faults of one file.
#[derive(Debug)]
pub(crate) struct Checker<'a> {
    file: &'a str,
    unknown_keys: Severity,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    /// Builds a checker that reports unknown keys with the given severity.
    pub(crate) fn new(file: &'a str, unknown_keys: Severity) -> Self {
        Self {
            file,
            unknown_keys,
            faults: Vec::new(),
        }
    }

    /// Checks a table, removes its unknown keys and invalid values, and returns all faults.
    pub(crate) fn check(mut self, table: &mut Table, keys: &[Key]) -> Vec<Fault> {
        self.table("", table, keys);
        self.faults
    }

    fn table(&mut self, path: &str, table: &mut Table, keys: &[Key]) {
        table.retain(|name, value| {
            let path = join(path, name);
            let Some(key) = keys.iter().find(|key| key.name == name) else {
                self.unknown(&path, name, value, keys);
                return false;
            };
            self.is_usable(&path, value, &key.kind)
        });
    }

    /// Checks a value and tells whether it can be used, at least in part.
    fn is_usable(&mut self, path: &str, value: &mut Value, kind: &Kind) -> bool {
        let fault_count = self.faults.len();
        self.value(path, value, kind);
        let nested = matches!(kind, Kind::Table(_) | Kind::Named(_));
        (nested && value.is_table()) || self.faults.len() == fault_count
    }

    fn unknown(&mut self, path: &str, name: &str, value: &Value, keys: &[Key]) {
        let names = || keys.iter().map(|key| key.name);
        if let Some(meant) = suggest::with_unit(name, names()) {
            self.error(
                path,
                "has no unit, or the wrong one",
                &unit_remedy(meant, value),
            );
            return;
        }
        let meant = suggest::nearest(name, names()).unwrap_or_default();
        self.faults.push(Fault {
            severity: self.unknown_keys,
            ..Fault::error(self.file, path, "is not known")
                .with_remedy(format!("did you mean `{meant}`? Correct or remove the key"))
        });
    }

    fn value(&mut self, path: &str, value: &mut Value, kind: &Kind) {
        match kind {
            Kind::Text => self.text(path, value),
            Kind::Address => self.address(path, value),
            Kind::Integer { min, max } => self.integer(path, value, *min, *max),
            Kind::Choice(choices) => self.choice(path, value, choices),
            Kind::Addresses { min_count } => self.addresses(path, value, *min_count),
            Kind::Names => self.list(path, value, Self::name_in_list),
            Kind::Tokens => self.list(path, value, Self::token),
            Kind::Table(keys) => self.inner_table(path, value, keys),
            Kind::Named(kind) => self.named(path, value, kind),
        }
    }

    fn text(&mut self, path: &str, value: &Value) {
        if value.as_str().is_none_or(str::is_empty) {
            self.error(
                path,
                "must be a string that is not empty",
                "write a string in quotes",
            );
        }
    }

    fn address(&mut self, path: &str, value: &Value) {
        let parsed = value
            .as_str()
            .and_then(|text| text.parse::<SocketAddr>().ok());
        if parsed.is_none() {
            let remedy = "write an IP number and a port, such as \"10.0.0.5:7100\"";
            self.error(path, "is not an address", remedy);
        }
    }

    fn integer(&mut self, path: &str, value: &Value, min: u64, max: u64) {
        let Some(number) = value.as_integer() else {
            let name = path.rsplit('.').next().unwrap_or(path);
            self.error(path, "must be an integer", &unit_remedy(name, value));
            return;
        };
        if u64::try_from(number).is_ok_and(|number| (min..=max).contains(&number)) {
            return;
        }
        let remedy = format!("write a number from {min} to {max}");
        self.error(path, format!("{number} is out of bounds"), &remedy);
    }

    fn choice(&mut self, path: &str, value: &Value, choices: &[&str]) {
        let chosen = value.as_str().unwrap_or_default();
        if choices.contains(&chosen) {
            return;
        }
        let remedy = format!("write one of \"{}\"", choices.join("\", \""));
        self.error(path, "is not a known choice", &remedy);
    }

    fn addresses(&mut self, path: &str, value: &Value, min_count: usize) {
        let count = value.as_array().map_or(min_count, Vec::len);
        if count < min_count {
            self.error(
                path,
                "holds too few addresses",
                &format!("list at least {min_count}"),
            );
        }
        self.list(path, value, Self::address);
    }

    fn list(&mut self, path: &str, value: &Value, check: fn(&mut Self, &str, &Value)) {
        let Some(items) = value.as_array() else {
            self.error(
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

    fn name_in_list(&mut self, path: &str, value: &Value) {
        match value.as_str() {
            Some(name) => self.name(path, name),
            None => self.error(path, "must be a name", "write a string in quotes"),
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_".contains(c);
        if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed) {
            return;
        }
        let remedy = format!("use a-z, 0-9, `-` and `_`, at most {MAX_NAME_BYTES} bytes");
        self.error(path, "is not a valid name", &remedy);
    }

    fn token(&mut self, path: &str, value: &Value) {
        let valid = value.as_str().is_some_and(|text| {
            text.len() >= MIN_TOKEN_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
        });
        if valid {
            return;
        }
        let remedy =
            format!("use at least {MIN_TOKEN_BYTES} printable ASCII characters, no blanks");
        self.error(path, "is not a valid token", &remedy);
    }

    fn inner_table(&mut self, path: &str, value: &mut Value, keys: &[Key]) {
        match value {
            Value::Table(table) => self.table(path, table, keys),
            _ => self.error(path, "must be a table", &format!("write it as [{path}]")),
        }
    }

    fn named(&mut self, path: &str, value: &mut Value, kind: &Kind) {
        let Value::Table(table) = value else {
            self.error(
                path,
                "must be a table",
                &format!("write it as [{path}.NAME]"),
            );
            return;
        };
        table.retain(|name, value| {
            let path = join(path, name);
            self.name(&path, name);
            self.is_usable(&path, value, kind)
        });
    }

    fn error(&mut self, path: &str, message: impl Into<String>, remedy: &str) {
        self.faults
            .push(Fault::error(self.file, path, message).with_remedy(remedy));
    }
}

/// Reports the required keys that are missing.
pub(crate) fn missing(file: &str, path: &str, table: &Table, keys: &[Key]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for key in keys {
        let path = join(path, key.name);
        match (table.get(key.name), &key.kind) {
            (Some(Value::Table(inner)), Kind::Table(keys)) => {
                faults.extend(missing(file, &path, inner, keys));
            }
            (None, _) if key.required => {
                let remedy = format!("set `{}`", key.name);
                faults.push(Fault::error(file, &path, "is missing").with_remedy(remedy));
            }
            _ => {}
        }
    }
    faults
}

/// Appends a segment to the path of a key, quoted where TOML asks for it.
pub(crate) fn join(path: &str, segment: &str) -> String {
    let bare = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    let segment = if !segment.is_empty() && segment.chars().all(bare) {
        segment.to_owned()
    } else {
        format!("{segment:?}")
    };
    if path.is_empty() {
        return segment;
    }
    format!("{path}.{segment}")
}

fn unit_remedy(name: &str, value: &Value) -> String {
    let example = value.as_str().and_then(suggest::duration_ms);
    match example {
        Some(duration_ms) if name.ends_with("_ms") => format!("write {name} = {duration_ms}"),
        _ => format!("write `{name}` with an integer in the unit that its name ends with"),
    }
}
