//! Identity of the process.

use model::ProcessKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Draws the key of this incarnation of the process at random; it is never zero.
///
/// # Panics
///
/// Panics if the system provides no random numbers.
#[must_use]
pub fn generate_process_key() -> ProcessKey {
    ProcessKey(StdRng::from_os_rng().random_range(1..=u64::MAX))
}
