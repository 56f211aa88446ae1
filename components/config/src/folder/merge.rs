//! Merges files and records which file each value came from.

use std::collections::BTreeMap;
use std::mem;
use std::str;

use toml::{Table, Value};

use super::contradictions::{Contradiction, contradictions};
use super::keys;
use super::read::SourceFile;
use crate::configuration::Configuration;
use crate::fault::{Fault, Severity};
use crate::schema::{Checker, join};

/// Name of the file that each value came from, by the path of its key.
pub type Provenance = BTreeMap<String, String>;

/// The result of merging a folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// The merged configuration.
    pub configuration: Configuration,
    /// Name of the file that each value came from.
    pub provenance: Provenance,
    /// Faults that do not prevent the use of the configuration.
    pub warnings: Vec<Fault>,
}

/// Merges files in the byte order of their names, whatever order they are given in.
///
/// # Errors
///
/// Returns every fault found, with the warnings, if at least one of them is an error.
pub fn merge_files(files: &[SourceFile]) -> Result<Merged, Vec<Fault>> {
    let mut sorted: Vec<&SourceFile> = files.iter().collect();
    sorted.sort_by(|left, right| left.name.as_bytes().cmp(right.name.as_bytes()));
    let mut merge = Merge::default();
    for file in sorted {
        merge.add(file);
    }
    merge.finish()
}

#[derive(Debug, Default)]
struct Merge {
    table: Table,
    provenance: Provenance,
    faults: Vec<Fault>,
    is_incomplete: bool,
}

impl Merge {
    fn add(&mut self, file: &SourceFile) {
        let mut table = match parse(file) {
            Ok(table) => table,
            Err(fault) => {
                self.is_incomplete = true;
                self.faults.push(fault);
                return;
            }
        };
        let checker = Checker::new(&file.name, Severity::Warning);
        self.faults.extend(checker.check(&mut table, keys::ROOT));
        overlay(&mut self.table, table, "", &file.name, &mut self.provenance);
    }

    fn finish(mut self) -> Result<Merged, Vec<Fault>> {
        // What a file that was left out would have set looks like a contradiction.
        if self.is_incomplete {
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
        let mut found = contradictions(&configuration, &self.provenance);
        found.retain(|contradiction| !self.is_consequence(contradiction));
        self.faults
            .extend(found.into_iter().map(|contradiction| contradiction.fault));
        if self.faults.iter().any(Fault::is_error) {
            return Err(self.faults);
        }
        Ok(Merged {
            configuration,
            provenance: self.provenance,
            warnings: self.faults,
        })
    }

    /// Tells whether a contradiction may only be due to an invalid value that was left out.
    fn is_consequence(&self, contradiction: &Contradiction) -> bool {
        let mut errors = self.faults.iter().filter(|fault| fault.is_error());
        errors.any(|error| contradiction.follows_from(error))
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

/// Names the line that holds the byte at `offset`.
pub(crate) fn line_of(bytes: &[u8], offset: usize) -> String {
    let end = offset.min(bytes.len());
    let breaks = bytes[..end].iter().filter(|byte| **byte == b'\n').count();
    format!("line {}", breaks + 1)
}

fn overlay(base: &mut Table, over: Table, path: &str, file: &str, provenance: &mut Provenance) {
    for (name, value) in over {
        let path = join(path, &name);
        match value {
            Value::Table(over) => {
                let inner = base
                    .entry(name)
                    .or_insert_with(|| Value::Table(Table::new()));
                if over.is_empty() {
                    provenance
                        .entry(path.clone())
                        .or_insert_with(|| file.to_owned());
                }
                // The schema has made sure that a table meets a table.
                if let Value::Table(inner) = inner {
                    overlay(inner, over, &path, file, provenance);
                }
            }
            value => {
                base.insert(name, value);
                provenance.insert(path, file.to_owned());
            }
        }
    }
}
