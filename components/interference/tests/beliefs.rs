//! Combination of the estimates of several hosts.

use interference::{Beliefs, PRIOR_DEVIATION};
use model::{KindKey, PairEffect};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OF: KindKey = KindKey(1);
const BY: KindKey = KindKey(2);

fn effect(log_factor: f64, deviation: f64) -> PairEffect {
    PairEffect {
        of: OF,
        by: BY,
        log_factor_permille: (log_factor * 1_000.0) as i16,
        deviation_permille: (deviation * 1_000.0) as u16,
    }
}

fn update(beliefs: &mut Beliefs, hosts: &[PairEffect]) -> Vec<bool> {
    let summaries = hosts.iter().map(std::slice::from_ref);
    let changes = beliefs.update(summaries);
    changes.iter().map(|change| change.is_believed).collect()
}

/// Guards against evidence that stays at single hosts, where it is too weak.
#[test]
fn weak_evidence_of_many_hosts_adds_up() {
    let mut beliefs = Beliefs::default();
    let weak = effect(0.35, 0.25);
    assert_eq!(update(&mut beliefs, &[weak; 1]), []);
    assert_eq!(update(&mut beliefs, &[weak; 12]), [true]);
    assert!(beliefs.factor(OF, BY) > 1.5, "{}", beliefs.factor(OF, BY));
    assert_eq!(beliefs.factor(BY, OF), 1.0);
    assert!(beliefs.concerns(BY) && !beliefs.concerns(KindKey(3)));
}

/// Guards against noise of many hosts that adds up to a pair.
#[test]
fn noise_of_many_hosts_does_not_add_up() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..1_000 {
        let deviation = rng.random_range(0.08..0.3);
        let shrunk = 1.0 - (deviation / PRIOR_DEVIATION).powi(2);
        let hosts: Vec<PairEffect> = (0..100)
            .map(|_| {
                let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
                effect(normal * deviation * shrunk.sqrt(), deviation)
            })
            .collect();
        assert_eq!(update(&mut Beliefs::default(), &hosts), []);
    }
}

/// Guards against pairs that are dropped and found again with every update.
#[test]
fn a_believed_pair_is_kept_until_its_evidence_has_faded() {
    let mut beliefs = Beliefs::default();
    assert_eq!(update(&mut beliefs, &[effect(0.6, 0.1); 4]), [true]);
    assert_eq!(update(&mut beliefs, &[effect(0.3, 0.2); 4]), []);
    assert_eq!(update(&mut beliefs, &[effect(0.05, 0.38); 4]), [false]);
    assert_eq!(update(&mut beliefs, &[effect(0.6, 0.1); 4]), [true]);
    // All hosts are gone.
    assert_eq!(update(&mut beliefs, &[]), [false]);
    assert_eq!(beliefs.factor(OF, BY), 1.0);
}
