//! Programs of this build and of the release in production.

use std::path::Path;

use soak::{Profile, Programs, production_programs};

/// The build whose programs a process runs.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Build {
    /// The programs under test.
    #[default]
    Current,
    /// The programs of the release in production.
    Production,
}

impl Build {
    /// Returns the paths of the programs; builds those of the release if they are missing.
    pub fn programs(self) -> Programs {
        match self {
            Self::Current => Programs {
                entry: env!("CARGO_BIN_EXE_shallotcross").into(),
                agent: env!("CARGO_BIN_EXE_shallotcross-agent").into(),
            },
            Self::Production => {
                let repository = Path::new(env!("CARGO_MANIFEST_DIR"));
                let programs = production_programs(repository, Profile::current());
                programs.expect("the release in production is built")
            }
        }
    }
}
