//! Reads a folder that may be edited during the read.
//!
//! The folder is listed before and after its files are read. If the two lists differ, or a file is
//! not as long as listed, the read is repeated, so that half-written files are never merged.

use std::fs;
use std::io;
use std::path::Path;
use std::time::SystemTime;

use crate::fault::Fault;

/// Maximum number of attempts to read a folder that changes during each of them.
const MAX_READ_ATTEMPTS: usize = 3;

/// A file as read from the operators' folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceFile {
    /// Name of the file without its folder.
    pub name: String,
    /// Content of the file.
    pub bytes: Vec<u8>,
}

/// Properties of a file that show whether it has changed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileStamp {
    /// Name of the file without its folder.
    pub name: String,
    /// Length of the file.
    pub length_bytes: u64,
    /// Time of the last modification.
    pub modified: Option<SystemTime>,
}

/// Reads the configuration files of a folder.
///
/// # Errors
///
/// Returns a fault if the folder or a file cannot be read, if there is no file, or if the
/// folder keeps changing.
pub fn read_folder(dir: &Path) -> Result<Vec<SourceFile>, Fault> {
    let folder = dir.display().to_string();
    read_stable(&folder, || list_files(dir), |name| fs::read(dir.join(name)))
}

/// Reads files through closures until the list is the same before and after a read.
///
/// # Errors
///
/// Returns a fault if a closure fails, if there is no file, or if the list keeps changing.
pub fn read_stable(
    folder: &str,
    mut list: impl FnMut() -> io::Result<Vec<FileStamp>>,
    mut read: impl FnMut(&str) -> io::Result<Vec<u8>>,
) -> Result<Vec<SourceFile>, Fault> {
    let mut last_error = None;
    for _ in 0..MAX_READ_ATTEMPTS {
        let before = sorted(list().map_err(|error| unreadable_fault(folder, "", &error))?);
        let files = read_all(&before, &mut read);
        let after = sorted(list().map_err(|error| unreadable_fault(folder, "", &error))?);
        if before != after {
            continue;
        }
        match files {
            Ok(files) if files.is_empty() => return Err(empty_folder_fault(folder)),
            Ok(files) if has_listed_lengths(&files, &before) => return Ok(files),
            Ok(_) => {}
            Err(fault) => last_error = Some(fault),
        }
    }
    Err(last_error.unwrap_or_else(|| changing_folder_fault(folder)))
}

fn list_files(dir: &Path) -> io::Result<Vec<FileStamp>> {
    let mut stamps = Vec::new();
    for entry in fs::read_dir(dir)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if !is_configuration_file(&name) {
            continue;
        }
        let metadata = fs::metadata(entry.path())?;
        stamps.push(FileStamp {
            name,
            length_bytes: metadata.len(),
            modified: metadata.modified().ok(),
        });
    }
    Ok(stamps)
}

fn is_configuration_file(name: &str) -> bool {
    name.ends_with(".toml") && !name.starts_with('.') && !name.starts_with('#')
}

fn read_all(
    stamps: &[FileStamp],
    read: &mut impl FnMut(&str) -> io::Result<Vec<u8>>,
) -> Result<Vec<SourceFile>, Fault> {
    let mut files = Vec::with_capacity(stamps.len());
    for stamp in stamps {
        let bytes = read(&stamp.name).map_err(|error| unreadable_fault(&stamp.name, "", &error))?;
        files.push(SourceFile {
            name: stamp.name.clone(),
            bytes,
        });
    }
    Ok(files)
}

fn has_listed_lengths(files: &[SourceFile], stamps: &[FileStamp]) -> bool {
    let same_length = |(file, stamp): (&SourceFile, &FileStamp)| {
        u64::try_from(file.bytes.len()).is_ok_and(|length| length == stamp.length_bytes)
    };
    files.iter().zip(stamps).all(same_length)
}

fn sorted(mut stamps: Vec<FileStamp>) -> Vec<FileStamp> {
    stamps.sort();
    stamps
}

fn unreadable_fault(file: &str, key: &str, error: &io::Error) -> Fault {
    Fault::error(file, key, format!("cannot be read: {error}"))
        .with_remedy("check that it exists and that its permissions allow reading")
}

fn empty_folder_fault(folder: &str) -> Fault {
    Fault::error(folder, "", "holds no configuration file")
        .with_remedy("add at least one file whose name ends with `.toml`")
}

fn changing_folder_fault(folder: &str) -> Fault {
    Fault::error(
        folder,
        "",
        format!("changed during each of {MAX_READ_ATTEMPTS} readings"),
    )
    .with_remedy("wait until nobody edits the folder and try again")
}
