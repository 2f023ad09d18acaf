//! The four measures and their cost under each user's weights, for the policy tuned to either
//! user, a static spare and no buffer.

#[allow(dead_code)]
mod sim;

use lavenderhollow_core::planner::BOARD;
use lavenderhollow_core::planner::HAMAKAZE;
use lavenderhollow_core::planner::cost;
use sim::Limits;
use sim::Policy;
use sim::Sim;

fn main() {
    println!("weights: hamakaze {HAMAKAZE:?}\n         board {BOARD:?}");
    println!("policy zones seed | buffer h, moves, roll-out s, distance h | cost hamakaze, board");
    let policies = [
        ("hamakaze", Policy::Planned(HAMAKAZE)),
        ("board", Policy::Planned(BOARD)),
        ("static-40", Policy::Static(40)),
        ("static-80", Policy::Static(80)),
        ("none", Policy::NoBuffer),
    ];
    for zones in [4, 3] {
        for seed in [1, 2, 3] {
            for (name, policy) in policies {
                let limits = Limits {
                    budget: 3,
                    racks: 2,
                    zones,
                };
                let done = Sim::new(policy, limits, seed).run();
                println!(
                    "{name} {zones} {seed} | {:.2} {:.0} {:.0} {:.4} | {:.2} {:.2}",
                    done.buffer,
                    done.moves,
                    done.rollout * 3600.0,
                    done.distance,
                    cost(&HAMAKAZE, &done),
                    cost(&BOARD, &done)
                );
            }
        }
    }
}
