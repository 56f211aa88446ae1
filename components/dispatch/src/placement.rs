//! Placement: chooses the agent for a task.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::agents::{AgentKey, AgentView, Agents};
use crate::rules::{Placement, Policy};

/// A task to place.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest {
    /// Expected run time on an agent with slowness 1, in microseconds.
    pub expected_us: f64,
    /// The last agent that refused the task.
    pub avoid_agent: Option<AgentKey>,
    /// Number of tasks that wait behind this one.
    pub backlog_tasks: u32,
}

/// Returns an agent with room, or none if the task has to wait.
pub fn choose_agent(
    policy: &Policy,
    agents: &Agents,
    candidates: &[AgentKey],
    request: PlacementRequest,
    round_robin_cursor: &mut usize,
    rng: &mut SmallRng,
    now_us: u64,
) -> Option<AgentKey> {
    let is_available = |key: &AgentKey| {
        agents
            .get(*key)
            .is_some_and(|view| view.has_room(now_us) && !view.health.is_ejected(now_us))
    };
    match policy.placement {
        Placement::LeastExpected | Placement::LeastExpectedV1 => {
            least_expected(policy, agents, candidates, request, now_us)
        }
        Placement::LeastConnections => candidates
            .iter()
            .copied()
            .filter(is_available)
            .min_by_key(|key| outstanding(agents, *key)),
        Placement::Random => {
            let available: Vec<AgentKey> =
                candidates.iter().copied().filter(is_available).collect();
            pick(&available, rng)
        }
        Placement::RoundRobin => {
            let count = candidates.len();
            let found = (0..count)
                .map(|step| candidates[(*round_robin_cursor + step) % count])
                .find(is_available)?;
            let position = candidates.iter().position(|key| *key == found)?;
            *round_robin_cursor = position + 1;
            Some(found)
        }
        Placement::PowerOfTwo => {
            let available: Vec<AgentKey> =
                candidates.iter().copied().filter(is_available).collect();
            let first = pick(&available, rng)?;
            let second = pick(&available, rng)?;
            if outstanding(agents, second) < outstanding(agents, first) {
                return Some(second);
            }
            Some(first)
        }
    }
}

fn pick(keys: &[AgentKey], rng: &mut SmallRng) -> Option<AgentKey> {
    if keys.is_empty() {
        return None;
    }
    Some(keys[rng.random_range(0..keys.len())])
}

fn outstanding(agents: &Agents, key: AgentKey) -> u32 {
    agents.get(key).map_or(u32::MAX, |view| view.outstanding)
}

/// Returns the expected time until the agent finishes the task, in microseconds.
fn finish_us(view: &AgentView, expected_us: f64) -> f64 {
    let run_us = expected_us * view.slowness;
    let slots = view.slots();
    if view.outstanding < slots {
        return run_us;
    }
    let ahead = f64::from(view.outstanding - slots + 1) / f64::from(slots);
    run_us + ahead * run_us
}

fn least_expected(
    policy: &Policy,
    agents: &Agents,
    candidates: &[AgentKey],
    request: PlacementRequest,
    now_us: u64,
) -> Option<AgentKey> {
    let mut best: Option<(f64, AgentKey)> = None;
    let mut rate_per_us = 0.0;
    let mut fastest_us = f64::INFINITY;
    for &key in candidates {
        let Some(view) = agents.get(key) else {
            continue;
        };
        if view.health.is_ejected(now_us) || !view.load.ready {
            continue;
        }
        let run_us = request.expected_us * view.slowness;
        rate_per_us += f64::from(view.slots()) / run_us.max(1.0);
        fastest_us = fastest_us.min(run_us);
        if policy.placement == Placement::LeastExpected
            && view.outstanding >= view.slots() + lookahead_tasks(view, run_us)
        {
            continue;
        }
        if !view.has_room(now_us) || (view.health.is_suspect() && view.outstanding > 0) {
            continue;
        }
        let mut score_us = finish_us(view, request.expected_us);
        if request.avoid_agent == Some(key) {
            score_us *= 4.0;
        }
        if best.is_none_or(|(least_us, _)| score_us < least_us) {
            best = Some((score_us, key));
        }
    }
    let (score_us, key) = best?;
    if !policy.waits_for_fast_agent {
        return Some(key);
    }
    let wait_us = f64::from(request.backlog_tasks + 1) / rate_per_us;
    let is_worth_waiting = wait_us + fastest_us < score_us * HOLD_BACK_THRESHOLD;
    (!is_worth_waiting).then_some(key)
}

/// A task waits for a faster agent only if it then finishes in less than this share of the time
/// at the agent with room. The margin allows for rough estimates.
const HOLD_BACK_THRESHOLD: f64 = 0.5;

/// Time from the end of a task until the agent can receive the next one from the owner, in
/// microseconds.
const ROUND_TRIP_US: f64 = 3_000.0;

/// Returns how many tasks may queue at the agent so that no slot idles for a round trip.
///
/// A task queued at one agent cannot move to a slot that becomes free elsewhere. None is queued
/// unless the slots together finish at least one task per round trip.
fn lookahead_tasks(view: &AgentView, run_us: f64) -> u32 {
    (f64::from(view.slots()) * ROUND_TRIP_US / run_us.max(1.0)) as u32
}
