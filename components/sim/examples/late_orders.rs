//! Prints how a fleet is served while its targets leave calls unanswered, and how many calls time
//! out: `late_orders [share] [seeds]`.

use sim::{Fault, FaultKind, Scenario, deployment, usual_load};

const ENTRIES: usize = 12;

const HOSTS: usize = 54;

/// Time over which clients submit jobs, in milliseconds.
const LOAD_MS: u64 = 4_000;

fn main() {
    let mut args = std::env::args().skip(1);
    let share = args.next();
    let share = share.map_or(0.055, |text| text.parse().expect("a share"));
    let seeds = args.next();
    let seeds = seeds.map_or(3, |text| text.parse().expect("a number"));
    let late_orders = |place| Fault {
        kind: FaultKind::LateOrders,
        place,
        at_ms: 0,
        for_ms: LOAD_MS,
        strength: share,
    };
    for seed in 1..=seeds {
        let scenario = Scenario {
            name: "late_orders",
            deployment: deployment(ENTRIES, HOSTS),
            load: usual_load(HOSTS, 1.0),
            load_ms: LOAD_MS,
            faults: (0..HOSTS).map(late_orders).collect(),
        };
        println!("seed {seed}\n{}", scenario.run(seed));
    }
}
