//! Key that identifies the process.

use model::ProcessKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Generates a random, non-zero key for this incarnation of the process.
///
/// # Panics
///
/// Panics if the operating system provides no random numbers.
#[must_use]
pub fn generate_process_key() -> ProcessKey {
    ProcessKey(StdRng::from_os_rng().random_range(1..=u64::MAX))
}
