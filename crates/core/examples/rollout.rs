//! Roll-out time of a wave over 50 workers against its lower bound and against one at a time.

#[allow(dead_code)]
mod sim;

use lavenderhollow_core::planner::BOARD;
use lavenderhollow_core::planner::HAMAKAZE;
use sim::Limits;
use sim::Policy;
use sim::Sim;

/// The time that budget and rack rule alone allow, if no drain waited for work or records.
///
/// Racks of four hold at most one VM of a pool, so that any budget lets a rack go as a whole.
fn lower_bound(limits: Limits) -> f64 {
    let racks = sim::VMS.div_ceil(4) as u32;
    let per_pool = (sim::VMS / sim::POOLS) as u32;
    let rounds = racks
        .div_ceil(limits.racks)
        .max(per_pool.div_ceil(limits.budget));
    f64::from(rounds) * sim::REBOOT as f64
}

fn main() {
    println!("zones budget racks seed | seconds: bound hamakaze board one | ratios to the bound");
    for (zones, budget, racks) in [
        (4, 2, 1),
        (3, 2, 1),
        (4, 3, 2),
        (3, 3, 2),
        (4, 3, 4),
        (3, 3, 4),
    ] {
        for seed in [1, 2, 3] {
            let limits = Limits {
                budget,
                racks,
                zones,
            };
            let seconds = |policy| Sim::new(policy, limits, seed).run().rollout * 3600.0;
            let bound = lower_bound(limits);
            let planned = seconds(Policy::Planned(HAMAKAZE));
            let board = seconds(Policy::Planned(BOARD));
            let one = seconds(Policy::OneAtATime);
            println!(
                "{zones} {budget} {racks} {seed} | {bound:.0} {planned:.0} {board:.0} {one:.0} | \
                 {:.2} {:.2} {:.2}",
                planned / bound,
                board / bound,
                one / bound
            );
        }
    }
}
