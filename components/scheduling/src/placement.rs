//! Choice of a host for a task.
//!
//! Many entries place tasks on the same hosts, with views that are up to a few hundred milliseconds
//! old. Hosts differ in speed and size, and an answer has the same value at any time before its
//! objective. A placement is safe if the task is likely to finish in time even when its wait exceeds
//! the forecast by `WAIT_MARGIN_FACTOR`, and leaves a share of the host's CPU free. A task goes to the
//! slowest host with a safe placement, which keeps the fast hosts for the tasks that need them. A
//! task without a safe placement goes to the host where it finishes first. How likely a task is in
//! time follows from the observed error of the forecasts for its kind (`run_times`); the objective
//! grows with the work, so that a wrong forecast costs little on a host of usual speed. A task of a kind
//! that slows others down, or is slowed down by them, weighs the extra run time like a wait
//! (`disturbance`).

use std::cmp::Ordering;
use std::rc::Rc;

use model::{
    KindKey, KindRuns, MOST_URGENT, Opening, Resources, count_runs, required_free_resources,
};
use run_times::{Race, RunTime, chance_in_time};

use crate::baseline::{self, PlacementRule};
use crate::disturbance::Separation;
use crate::host::HostSlot;
use crate::quarantine::HostChoice;

/// Factor by which the wait may exceed its forecast in a safe placement.
const WAIT_MARGIN_FACTOR: f64 = 1.5;

/// Factor on the uncertainty of a host's speed by which the host may be slower in a safe placement.
const SPEED_MARGIN_DEVIATIONS: f64 = 2.0;

/// Probability of being in time from which on a placement is safe.
const SAFE_CHANCE: f64 = 0.97;

/// Share of a host's CPU that must stay free after a safe placement, because other entries place
/// tasks on the host at the same time with views of the same age.
const SPARE_CPU_SHARE: f64 = 0.2;

/// Round-trip time of messages to a host, in milliseconds.
pub(crate) const ROUND_TRIP_MS: f64 = 6.0;

/// Width of the speed classes; hosts of one class rank as equally fast, in thousandths.
const SPEED_CLASS_PERMILLE: u32 = 200;

/// Width of the time classes; waits or finish times of one class rank as equal, in milliseconds.
const TIME_CLASS_MS: f64 = 10.0;

/// A host on which a task may be placed, with the load expected there.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) slot: HostSlot,
    pub(crate) labels: Vec<Rc<str>>,
    pub(crate) is_same_domain: bool,
    pub(crate) capacity: Resources,
    pub(crate) free: Resources,
    pub(crate) speed_permille: u32,
    /// Standard deviation of the logarithm of the speed.
    pub(crate) speed_log_deviation: f64,
    pub(crate) backlog_core_ms: u64,
    pub(crate) waiting_core_ms: u64,
    pub(crate) urgent_core_ms: u64,
    pub(crate) openings: Vec<Opening>,
    pub(crate) urgent_openings: Vec<Opening>,
    pub(crate) placed_tasks: u16,
    /// Time in which a task must end because the agent shuts down, in milliseconds; infinite if it
    /// does not.
    pub(crate) closes_in_ms: f64,
    /// Whether quarantined tasks go to this host.
    pub(crate) is_quarantine_host: bool,
    /// Number of runs there by kind; empty unless a pair of kinds is kept apart.
    pub(crate) runs: Vec<KindRuns>,
}

/// Requirements of a task for its host.
#[derive(Debug, Clone)]
pub(crate) struct Requirements<'a> {
    pub(crate) kind: KindKey,
    /// How kinds slow this one down or are slowed down by it, if any do.
    pub(crate) separation: Option<Separation<'a>>,
    pub(crate) needs: Resources,
    /// Expected run time on a host of speed 1.
    pub(crate) run_time: RunTime,
    /// Speed of the hosts by which the objective counts, in thousandths.
    pub(crate) usual_speed_permille: f64,
    /// Time until the objective of the task if it had no work, in milliseconds; negative if that
    /// time has passed.
    pub(crate) allowance_ms: f64,
    /// Time left for the task until the caller stops waiting, in milliseconds.
    pub(crate) time_left_ms: f64,
    pub(crate) stretch: f64,
    pub(crate) priority: u8,
    pub(crate) required_label: Option<&'a Rc<str>>,
    pub(crate) preferred_label: Option<&'a Rc<str>>,
    pub(crate) remote_data_factor: f64,
    pub(crate) max_per_host: Option<u16>,
    pub(crate) avoided_hosts: &'a [HostSlot],
    /// Which hosts the task goes to because of a quarantine.
    pub(crate) host_choice: HostChoice,
}

/// A host chosen for a task, with the expected times from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Choice {
    pub(crate) host: HostSlot,
    pub(crate) wait_ms: f64,
    pub(crate) finish_ms: f64,
    /// Expected run time on the host.
    pub(crate) run_time: RunTime,
    /// Probability that the task ends before its objective.
    pub(crate) chance_in_time: f64,
    /// Probability that the task ends before the caller stops waiting.
    pub(crate) chance_served: f64,
    pub(crate) is_safe: bool,
    /// Whether the task starts at once and leaves room for tasks of other entries.
    pub(crate) is_room_idle: bool,
}

/// What is expected of a task on a host.
#[derive(Debug, Clone, Copy)]
struct Outlook {
    wait_ms: f64,
    run_time: RunTime,
    finish_ms: f64,
    /// Whether a share of the host's CPU stays free.
    leaves_room: bool,
    is_safe: bool,
}

/// Sort key of a candidate, compared field by field; the smallest is chosen.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    /// Whether another host should be used because of a quarantine.
    is_second_choice: bool,
    /// 0 if the placement is safe; for a task that has to be kept apart, if it is likely in time.
    tier: u8,
    /// Class of wait and extra run time of a task that has to be kept apart.
    separation_class: f64,
    /// Whether a task that has to be kept apart leaves no room for tasks of other entries.
    fills_host: bool,
    speed_class: u32,
    time_class: f64,
    is_other_domain: bool,
    used_share: f64,
    finish_ms: f64,
}

/// Chooses a host for a task and adds the task to the load of that candidate.
///
/// The default rule returns an avoided host only if no other is eligible; the baseline rules
/// ignore `avoided_hosts`. `number` counts the choices; only the baseline rules use it.
pub(crate) fn choose(
    candidates: &mut [Candidate],
    requirements: &Requirements<'_>,
    rule: PlacementRule,
    number: u64,
) -> Option<Choice> {
    let best = match rule {
        PlacementRule::SafeOnSlow => best_candidate(candidates, requirements, true)
            .or_else(|| best_candidate(candidates, requirements, false)),
        _ => baseline::choose(rule, candidates, requirements, number),
    };
    let chosen = &mut candidates[best?];
    let choice = chosen.choice(requirements);
    chosen.reserve(requirements);
    Some(choice)
}

/// Returns the position of the eligible candidate with the smallest rank.
fn best_candidate(
    candidates: &[Candidate],
    requirements: &Requirements<'_>,
    excludes_avoided: bool,
) -> Option<usize> {
    let mut best: Option<(Rank, usize)> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        if !candidate.is_eligible(requirements)
            || excludes_avoided && requirements.avoided_hosts.contains(&candidate.slot)
        {
            continue;
        }
        let rank = candidate.rank(&candidate.outlook(requirements), requirements);
        let is_better = best
            .as_ref()
            .is_none_or(|(best, _)| rank.partial_cmp(best) == Some(Ordering::Less));
        if is_better {
            best = Some((rank, at));
        }
    }
    best.map(|(_, at)| at)
}

impl Candidate {
    pub(crate) fn is_eligible(&self, requirements: &Requirements<'_>) -> bool {
        let has_label = |label: &Rc<str>| self.labels.contains(label);
        let is_confined = requirements.host_choice == HostChoice::QuarantineOnly;
        (self.is_quarantine_host || !is_confined)
            && self.capacity.can_fit(&requirements.needs)
            && requirements.required_label.is_none_or(has_label)
            && requirements
                .max_per_host
                .is_none_or(|most| self.placed_tasks < most)
            && self.can_end(requirements)
    }

    /// Returns whether the task is expected to end before the agent shuts down.
    fn can_end(&self, requirements: &Requirements<'_>) -> bool {
        if self.closes_in_ms.is_infinite() {
            return true;
        }
        let run_ms = self.run_time(requirements).median_ms;
        self.wait_ms(requirements) + run_ms + ROUND_TRIP_MS <= self.closes_in_ms
    }

    /// Returns the expected run time on this host.
    fn run_time(&self, requirements: &Requirements<'_>) -> RunTime {
        let run_time = requirements.run_time.at_speed(self.speed_permille);
        RunTime {
            median_ms: run_time.median_ms * self.remote_factor(requirements),
            ..run_time
        }
    }

    /// Returns the run of a task that waits that long against its objective.
    fn race(&self, requirements: &Requirements<'_>, wait_ms: f64) -> Race {
        let usual_speed = requirements.usual_speed_permille.max(1.0);
        Race {
            run_time: RunTime {
                median_ms: requirements.run_time.median_ms * 1_000.0 / usual_speed,
                ..requirements.run_time
            },
            allowance_ms: requirements.allowance_ms,
            stretch: requirements.stretch,
            wait_ms: wait_ms + ROUND_TRIP_MS,
            slowness: usual_speed / f64::from(self.speed_permille.max(1))
                * self.remote_factor(requirements),
        }
    }

    /// Returns the factor by which the task runs longer if its data is elsewhere.
    fn remote_factor(&self, requirements: &Requirements<'_>) -> f64 {
        let is_data_remote = requirements
            .preferred_label
            .is_some_and(|label| !self.labels.contains(label));
        if is_data_remote {
            requirements.remote_data_factor
        } else {
            1.0
        }
    }

    /// Estimates how long a task waits for free resources, in milliseconds, by the agent's forecast
    /// of its room; a task of the most urgent class waits only for queued ones of its class. Small
    /// tasks of other classes also leave room for an urgent task.
    pub(crate) fn wait_ms(&self, requirements: &Requirements<'_>) -> f64 {
        let openings = if requirements.priority == MOST_URGENT {
            &self.urgent_openings
        } else {
            &self.openings
        };
        let required =
            required_free_resources(&requirements.needs, requirements.priority, &self.capacity);
        let opening = openings.iter().find(|at| at.free.can_fit(&required));
        if let Some(opening) = opening {
            return f64::from(opening.in_ms);
        }
        let after_last_ms = openings.last().map_or(0, |opening| opening.in_ms);
        f64::from(after_last_ms).max(self.wait_for_work_ms(requirements, &required))
    }

    /// Estimates the wait of a task for which the agent forecasts no room.
    ///
    /// Assumes that running tasks end evenly over twice their mean remaining time, and that all
    /// waiting tasks start first; for a task of the most urgent class, only those of its class do.
    fn wait_for_work_ms(&self, requirements: &Requirements<'_>, required: &Resources) -> f64 {
        let waiting_core_ms = if requirements.priority == MOST_URGENT {
            self.urgent_core_ms
        } else {
            self.waiting_core_ms
        };
        let cores = f64::from(self.capacity.cpu_millis.max(1)) / 1_000.0;
        let running_core_ms = self.backlog_core_ms.saturating_sub(self.waiting_core_ms) as f64;
        let missing_millis = required.cpu_millis.saturating_sub(self.free.cpu_millis);
        let missing_cores = f64::from(missing_millis.max(1)) / 1_000.0;
        let cores_free_ms = 2.0 * running_core_ms / cores * (missing_cores / cores);
        cores_free_ms + waiting_core_ms as f64 / cores
    }

    /// Returns the choice of this host for a task.
    pub(crate) fn choice(&self, requirements: &Requirements<'_>) -> Choice {
        let outlook = self.outlook(requirements);
        let until_objective = self.race(requirements, outlook.wait_ms);
        let until_caller_leaves = Race {
            allowance_ms: requirements.time_left_ms,
            stretch: 0.0,
            ..until_objective
        };
        Choice {
            host: self.slot,
            wait_ms: outlook.wait_ms,
            finish_ms: outlook.finish_ms,
            run_time: outlook.run_time,
            chance_in_time: chance_in_time(&until_objective),
            chance_served: chance_in_time(&until_caller_leaves),
            is_safe: outlook.is_safe,
            is_room_idle: outlook.leaves_room && outlook.wait_ms < 1.0,
        }
    }

    /// Returns what is expected of a task on this host.
    fn outlook(&self, requirements: &Requirements<'_>) -> Outlook {
        let wait_ms = self.wait_ms(requirements);
        let run_time = self.run_time(requirements);
        let spare_millis = self.free.saturating_sub(&requirements.needs).cpu_millis;
        let leaves_room =
            f64::from(spare_millis) >= SPARE_CPU_SHARE * f64::from(self.capacity.cpu_millis);
        Outlook {
            wait_ms,
            run_time,
            finish_ms: wait_ms + run_time.median_ms + ROUND_TRIP_MS,
            leaves_room,
            is_safe: leaves_room && self.is_in_time_with_margins(requirements, wait_ms, 1.0),
        }
    }

    /// Returns whether the task is very likely in time even if it waits longer than expected, and the
    /// host is slower; `factor` is that on its run time from its neighbors.
    fn is_in_time_with_margins(
        &self,
        requirements: &Requirements<'_>,
        wait_ms: f64,
        factor: f64,
    ) -> bool {
        let expected = self.race(requirements, wait_ms * WAIT_MARGIN_FACTOR);
        let speed_margin = (self.speed_log_deviation * SPEED_MARGIN_DEVIATIONS).exp();
        let cautious = Race {
            slowness: expected.slowness * speed_margin * factor,
            ..expected
        };
        chance_in_time(&cautious) >= SAFE_CHANCE
    }

    /// Returns the rank of this host for a task that expects this outlook.
    fn rank(&self, outlook: &Outlook, requirements: &Requirements<'_>) -> Rank {
        let used_millis =
            self.capacity.cpu_millis - self.free.cpu_millis.min(self.capacity.cpu_millis);
        let is_safe = outlook.is_safe;
        let rank = Rank {
            is_second_choice: match requirements.host_choice {
                HostChoice::Any | HostChoice::QuarantineOnly => false,
                HostChoice::QuarantineFirst => !self.is_quarantine_host,
                HostChoice::OthersFirst => self.is_quarantine_host,
            },
            tier: u8::from(!is_safe),
            separation_class: 0.0,
            fills_host: false,
            speed_class: if is_safe {
                self.speed_permille / SPEED_CLASS_PERMILLE
            } else {
                0
            },
            time_class: if is_safe {
                (outlook.wait_ms / TIME_CLASS_MS).floor()
            } else {
                (outlook.finish_ms / TIME_CLASS_MS).floor()
            },
            is_other_domain: !self.is_same_domain,
            used_share: f64::from(used_millis) / f64::from(self.capacity.cpu_millis.max(1)),
            finish_ms: outlook.finish_ms,
        };
        match requirements.separation {
            Some(separation) => self.rank_apart(&rank, outlook, requirements, &separation),
            None => rank,
        }
    }

    /// Returns the rank for a task that has to be kept apart from some kinds.
    ///
    /// Extra run time comes before the room that a placement leaves, and after the task's own objective:
    /// a task that waits too long for a place apart is worth less than what it spares the others.
    fn rank_apart(
        &self,
        rank: &Rank,
        outlook: &Outlook,
        requirements: &Requirements<'_>,
        separation: &Separation<'_>,
    ) -> Rank {
        let run_ms = outlook.run_time.median_ms;
        let disturbance = separation.disturbance(run_ms, &self.runs);
        let own_factor = disturbance.own_factor;
        let is_in_time = self.is_in_time_with_margins(requirements, outlook.wait_ms, own_factor);
        let finish_ms = outlook.finish_ms + (own_factor - 1.0) * run_ms;
        let separation_ms = if is_in_time {
            finish_ms - run_ms - ROUND_TRIP_MS
        } else {
            finish_ms
        };
        Rank {
            tier: u8::from(!is_in_time),
            separation_class: ((separation_ms + disturbance.others_ms) / TIME_CLASS_MS).floor(),
            fills_host: !outlook.is_safe,
            finish_ms,
            ..*rank
        }
    }

    fn reserve(&mut self, requirements: &Requirements<'_>) {
        let wait_ms = self.wait_ms(requirements);
        let openings = self.openings.iter_mut().chain(&mut self.urgent_openings);
        for opening in openings.filter(|opening| f64::from(opening.in_ms) >= wait_ms) {
            opening.free = opening.free.saturating_sub(&requirements.needs);
        }
        let core_ms = f64::from(requirements.needs.cpu_millis)
            * self.run_time(requirements).median_ms
            / 1_000.0;
        if self.free.can_fit(&requirements.needs) {
            self.free = self.free.saturating_sub(&requirements.needs);
        } else {
            self.waiting_core_ms += core_ms as u64;
            if requirements.priority == MOST_URGENT {
                self.urgent_core_ms += core_ms as u64;
            }
        }
        self.backlog_core_ms += core_ms as u64;
        self.placed_tasks += 1;
        if requirements.separation.is_some() {
            count_runs(&mut self.runs, requirements.kind, 1);
        }
    }
}
