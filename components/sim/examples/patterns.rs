//! Prints how the decisions serve each pattern of load.

use sim::patterns;

fn main() {
    let seeds: Vec<u64> = (1..=3).collect();
    let only = std::env::args().nth(1);
    for scenario in patterns() {
        if only.as_deref().is_some_and(|only| only != scenario.name) {
            continue;
        }
        println!("== {}", scenario.name);
        for seed in &seeds {
            print!("{}", scenario.play(*seed));
        }
    }
}
