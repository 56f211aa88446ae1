//! Merges files and records which file each value came from.

use std::collections::BTreeMap;
use std::mem;
use std::str;

use toml::{Table, Value};

use super::consistency::{Inconsistency, find_inconsistencies};
use super::keys;
use super::read::SourceFile;
use crate::configuration::Configuration;
use crate::fault::{Fault, Severity};
use crate::schema::{Checker, join_path};

/// Name of the file that set each value, by the path of its key.
pub type Provenance = BTreeMap<String, String>;

/// The result of merging a folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// The merged configuration.
    pub configuration: Configuration,
    /// Name of the file that set each value.
    pub provenance: Provenance,
    /// Faults that do not prevent the use of the configuration.
    pub warnings: Vec<Fault>,
}

/// Merges files in the byte order of their names, in whatever order they are given.
///
/// For each key, the value in the last file that sets it is used.
///
/// # Errors
///
/// Returns every fault found, with the warnings, if at least one of them is an error.
pub fn merge_files(files: &[SourceFile]) -> Result<Merged, Vec<Fault>> {
    let mut sorted: Vec<&SourceFile> = files.iter().collect();
    sorted.sort_by(|left, right| left.name.as_bytes().cmp(right.name.as_bytes()));
    let mut merger = Merger::default();
    for file in sorted {
        merger.add_file(file);
    }
    merger.finish()
}

#[derive(Debug, Default)]
struct Merger {
    table: Table,
    provenance: Provenance,
    faults: Vec<Fault>,
    has_unparsed_file: bool,
}

impl Merger {
    fn add_file(&mut self, file: &SourceFile) {
        let mut table = match parse(file) {
            Ok(table) => table,
            Err(fault) => {
                self.has_unparsed_file = true;
                self.faults.push(fault);
                return;
            }
        };
        let checker = Checker::new(&file.name, Severity::Warning);
        self.faults.extend(checker.check(&mut table, keys::ROOT));
        merge_table(&mut self.table, table, "", &file.name, &mut self.provenance);
    }

    fn finish(mut self) -> Result<Merged, Vec<Fault>> {
        // The values of a file that could not be parsed are missing, which would cause false
        // inconsistencies.
        if self.has_unparsed_file {
            return Err(self.faults);
        }
        let configuration: Configuration = match mem::take(&mut self.table).try_into() {
            Ok(configuration) => configuration,
            Err(error) => {
                self.faults
                    .push(Fault::error("merged", "", error.message()));
                return Err(self.faults);
            }
        };
        let mut found = find_inconsistencies(&configuration, &self.provenance);
        found.retain(|inconsistency| !self.is_consequence(inconsistency));
        self.faults
            .extend(found.into_iter().map(|inconsistency| inconsistency.fault));
        if self.faults.iter().any(Fault::is_error) {
            return Err(self.faults);
        }
        Ok(Merged {
            configuration,
            provenance: self.provenance,
            warnings: self.faults,
        })
    }

    /// Returns whether an inconsistency may only be due to an invalid value that was removed.
    fn is_consequence(&self, inconsistency: &Inconsistency) -> bool {
        let mut errors = self.faults.iter().filter(|fault| fault.is_error());
        errors.any(|error| inconsistency.is_caused_by(error))
    }
}

fn parse(file: &SourceFile) -> Result<Table, Fault> {
    if file.bytes.is_empty() {
        return Err(Fault::error(&file.name, "line 1", "is empty")
            .with_remedy("save its content again, or remove the file"));
    }
    let text = str::from_utf8(&file.bytes).map_err(|error| {
        let line = line_of(&file.bytes, error.valid_up_to());
        Fault::error(&file.name, &line, "is not valid UTF-8")
            .with_remedy("save the file in the encoding UTF-8")
    })?;
    text.parse::<Table>().map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        Fault::error(&file.name, &line_of(&file.bytes, offset), error.message())
            .with_remedy("correct the TOML at this line")
    })
}

/// Returns the line that contains the byte at `offset`, in the form `line N`.
pub(crate) fn line_of(bytes: &[u8], offset: usize) -> String {
    let end = offset.min(bytes.len());
    let breaks = bytes[..end].iter().filter(|byte| **byte == b'\n').count();
    format!("line {}", breaks + 1)
}

/// Merges a table of `file` into `base` and records the file as the source of each value.
///
/// The source of a table is recorded only if the table is empty.
fn merge_table(
    base: &mut Table,
    overriding: Table,
    path: &str,
    file: &str,
    provenance: &mut Provenance,
) {
    for (name, value) in overriding {
        let path = join_path(path, &name);
        match value {
            Value::Table(overriding) => {
                let inner = base
                    .entry(name)
                    .or_insert_with(|| Value::Table(Table::new()));
                if overriding.is_empty() {
                    provenance
                        .entry(path.clone())
                        .or_insert_with(|| file.to_owned());
                }
                // The schema check ensures that a key is a table in all files or in none.
                if let Value::Table(inner) = inner {
                    merge_table(inner, overriding, &path, file, provenance);
                }
            }
            value => {
                base.insert(name, value);
                provenance.insert(path, file.to_owned());
            }
        }
    }
}
