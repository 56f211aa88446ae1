//! The operators' folder: files merged in the byte order of their names.

mod consistency;
mod keys;
mod merge;
mod read;

use std::path::Path;

pub use merge::{Merged, Provenance, merge_files};
pub use read::{FileStamp, SourceFile, read_folder, read_stable};

pub(crate) use consistency::validate;
pub(crate) use merge::line_of;

use crate::fault::Fault;

/// Reads and merges the operators' folder.
///
/// # Errors
///
/// Returns every fault found, with the warnings, if at least one of them is an error.
pub fn merge_folder(dir: &Path) -> Result<Merged, Vec<Fault>> {
    let files = read_folder(dir).map_err(|fault| vec![fault])?;
    merge_files(&files)
}
