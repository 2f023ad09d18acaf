//! Stranded part of a limit and overshoot with kills and pauses, against a static split.

#[path = "escrow_stranded/entry.rs"]
mod entry;
#[path = "escrow_stranded/stream.rs"]
mod stream;
#[path = "escrow_stranded/world.rs"]
mod world;

use rand::SeedableRng;
use rand::rngs::StdRng;

use world::Outcome;
use world::World;

const SEEDS: [u64; 3] = [20_261_206, 1, 2];
const STEPS: u64 = 36_000;

fn run(name: &str, seed: u64, moving: bool) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut world = World::new(moving);
    for _ in 0..STEPS {
        world.step(&mut random);
    }
    let outcome = world.outcome;
    println!(
        "{name:>7}: stranded {:.4} of the limit, {} steps above the limit, {} started, {} lost, \
         {} records, {} kills, {} pauses",
        outcome.stranded / STEPS as f64,
        outcome.overshoot,
        outcome.started,
        outcome.lost,
        outcome.records,
        outcome.kills,
        outcome.pauses,
    );
    outcome
}

fn main() {
    for seed in SEEDS {
        println!(
            "seed {seed}, {STEPS} steps of 100 ms, limit {}",
            world::LIMIT
        );
        let moving = run("escrow", seed, true);
        let fixed = run("static", seed, false);
        println!("ratio {:.3}", moving.stranded / fixed.stranded);
    }
}
