//! Checks that names of the users' platform occur only in its adapter.

use std::fs;
use std::path::{Path, PathBuf};

/// Names of fields and calls of the platform that have no other meaning in the code.
const NAMES: [&str; 23] = [
    "run-start",
    "run-stop",
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "kv-keep",
    "ackCursor",
    "fencingToken",
    "expiresMs",
    "clockMs",
    "heartbeatAddress",
    "coldRemainingMs",
    "memoryRequestMb",
    "estimatedMs",
    "bestEffort",
    "targetDurationMs",
    "atRevision",
    "hasMore",
    "staleRead",
    "op/config",
    "op/evacuate",
];

fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if path.is_dir() && name != "tests" && name != "target" {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

#[test]
fn names_of_the_platform_occur_only_in_the_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "components", "examples"] {
        rust_files(&root.join(folder), &mut files);
    }
    assert!(files.len() > 100, "{}", files.len());
    for file in files {
        let text = fs::read_to_string(&file).expect("text");
        for name in NAMES {
            assert!(!text.contains(name), "{}: {name}", file.display());
        }
    }
}
