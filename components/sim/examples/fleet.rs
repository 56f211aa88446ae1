//! Prints how a large fleet serves rising load: `fleet [entries] [hosts]`.

use sim::{Scenario, deployment, usual_load};

/// Time over which clients submit jobs, in milliseconds.
const LOAD_MS: u64 = 2_500;

/// Load as a multiple of the usual one, which uses about 70 % of the capacity.
const FACTORS: [f64; 4] = [1.0, 1.3, 1.6, 2.0];

fn main() {
    let mut args = std::env::args().skip(1);
    let mut number = |default: usize| {
        args.next()
            .map_or(default, |text| text.parse().expect("a number"))
    };
    let (entries, hosts) = (number(18), number(82));
    for factor in FACTORS {
        let scenario = Scenario {
            name: "fleet",
            deployment: deployment(entries, hosts),
            load: usual_load(hosts, factor),
            load_ms: LOAD_MS,
            faults: Vec::new(),
        };
        println!("load {factor}\n{}", scenario.run(1));
    }
}
