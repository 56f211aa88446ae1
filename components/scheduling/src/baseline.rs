//! Baseline placement rules, against which the default rule is compared.

use model::mix64;
use strum::{EnumIter, IntoStaticStr};

use crate::placement::{Candidate, Requirements};

/// Rule by which a host is chosen for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PlacementRule {
    /// The slowest host on which the task finishes in time with a safety margin; see `placement`.
    #[default]
    SafeOnSlow,
    /// A pseudo-random host.
    Random,
    /// Each host in turn.
    RoundRobin,
    /// The one of two pseudo-random hosts with the shorter expected wait.
    TwoChoices,
}

/// Chooses a host by a baseline rule and returns its position among the candidates.
///
/// `number` counts the choices; it drives the round robin and seeds the pseudo-random rules.
/// Returns `None` if no host is eligible, or for the default rule, which is not a baseline.
pub(crate) fn choose(
    rule: PlacementRule,
    candidates: &[Candidate],
    requirements: &Requirements<'_>,
    number: u64,
) -> Option<usize> {
    let eligible = candidates.iter().enumerate();
    let eligible: Vec<(usize, &Candidate)> = eligible
        .filter(|(_, candidate)| candidate.is_eligible(requirements))
        .collect();
    if eligible.is_empty() {
        return None;
    }
    let at = |number: u64| eligible[(number % eligible.len() as u64) as usize];
    let (position, _) = match rule {
        PlacementRule::SafeOnSlow => return None,
        PlacementRule::Random => at(pseudo_random(number)),
        PlacementRule::RoundRobin => at(number),
        PlacementRule::TwoChoices => {
            let (one, other) = (at(pseudo_random(number)), at(pseudo_random(!number)));
            if one.1.wait_ms(requirements) <= other.1.wait_ms(requirements) {
                one
            } else {
                other
            }
        }
    };
    Some(position)
}

/// Returns a pseudo-random number that depends only on the number of the choice.
fn pseudo_random(number: u64) -> u64 {
    mix64(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}
