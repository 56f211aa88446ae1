//! Simple rules of placement, against which the chosen one is compared.

use model::scramble;
use strum::{EnumIter, IntoStaticStr};

use crate::placement::{Candidate, Choice, Wanted};

/// By which rule tasks get their hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PlacementRule {
    /// The slowest host on which the task is surely in time; see `placement`.
    #[default]
    SafeOnSlow,
    /// Any host.
    Random,
    /// One host after the other.
    RoundRobin,
    /// The better of two random hosts.
    TwoChoices,
}

/// Chooses a host by a simple rule, with the number of the choice; `None` for the chosen rule.
pub(crate) fn pick(
    rule: PlacementRule,
    candidates: &[Candidate],
    wanted: &Wanted<'_>,
    number: u64,
) -> Option<(usize, Choice)> {
    let fitting = candidates.iter().enumerate();
    let fitting: Vec<(usize, &Candidate)> = fitting
        .filter(|(_, candidate)| candidate.is_fit(wanted))
        .collect();
    if fitting.is_empty() {
        return None;
    }
    let at = |number: u64| fitting[(number % fitting.len() as u64) as usize];
    let (position, candidate) = match rule {
        PlacementRule::SafeOnSlow => return None,
        PlacementRule::Random => at(draw(number)),
        PlacementRule::RoundRobin => at(number),
        PlacementRule::TwoChoices => {
            let (one, other) = (at(draw(number)), at(draw(!number)));
            if one.1.wait_ms(wanted) <= other.1.wait_ms(wanted) {
                one
            } else {
                other
            }
        }
    };
    Some((position, candidate.choice(wanted)))
}

/// Returns a number that looks drawn, by the number of the choice.
fn draw(number: u64) -> u64 {
    scramble(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}
