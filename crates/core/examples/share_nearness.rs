//! Nearness to share of six teams under turning peaks, against first come first served.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_config::Resources;
use lavenderhollow_core::queue::Class;
use lavenderhollow_core::queue::Queue;
use lavenderhollow_core::queue::Supply;
use lavenderhollow_core::queue::Waiting;
use lavenderhollow_core::share::Amount;
use lavenderhollow_core::share::Shares;
use lavenderhollow_types::TeamName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 20_261_205;
const SLOTS: usize = 80;
const STEP: Duration = Duration::from_millis(100);
const STEPS: usize = 36_000;
const RUN_STEPS: usize = 10;
/// Two large teams and four small ones: weight and part of the arrivals at the mean.
const TEAMS: [(&str, u32, f64); 6] = [
    ("large-a", 4, 4.0),
    ("large-b", 4, 4.0),
    ("small-a", 1, 1.0),
    ("small-b", 1, 1.0),
    ("small-c", 1, 1.0),
    ("small-d", 1, 1.0),
];
const QUEUES: usize = 5;
/// Each queue peaks for this many steps in its turn.
const PEAK_STEPS: usize = 80;

/// Chooses whose request starts next.
trait Policy {
    fn arrive(&mut self, now: Instant, team: usize) -> bool;
    fn next(&mut self, now: Instant, free: usize) -> Option<usize>;
    fn ended(&mut self, team: usize);
    fn waiting(&self, team: usize) -> usize;
}

struct ByShare {
    names: Vec<TeamName>,
    shares: Shares,
    queue: Queue<()>,
    amount: Amount,
}

impl ByShare {
    fn new() -> Self {
        let amount = Amount::request(&Resources::default());
        let mut shares = Shares::new(Amount {
            slots: SLOTS as u64,
            milli_cores: 320_000,
            memory_mib: 640_000,
            accelerators: 0,
        });
        let names: Vec<_> = TEAMS
            .iter()
            .map(|(name, ..)| TeamName::new(name).expect("valid name"))
            .collect();
        for (name, (_, weight, _)) in names.iter().zip(TEAMS) {
            shares.set_weight(name, weight);
        }
        Self {
            names,
            shares,
            queue: Queue::new(64),
            amount,
        }
    }

    fn supply(free: usize) -> Supply {
        Supply {
            serving: SLOTS as u32,
            free: free as u32,
            buffer: 0,
        }
    }
}

impl Policy for ByShare {
    fn arrive(&mut self, now: Instant, team: usize) -> bool {
        let request = Waiting {
            team: self.names[team].clone(),
            class: Class::Normal,
            deadline: now + Duration::from_secs(30),
            run_time: STEP * RUN_STEPS as u32,
            item: (),
        };
        let pushed = self.queue.push(now, request, Self::supply(0)).is_ok();
        self.shares
            .set_waiting(&self.names[team], self.queue.waiting(&self.names[team]) > 0);
        pushed
    }

    fn next(&mut self, _now: Instant, free: usize) -> Option<usize> {
        let name = self.shares.order().next()?.clone();
        self.queue.pop(&name, Self::supply(free))?;
        self.shares.started(&name, &self.amount);
        self.shares
            .set_waiting(&name, self.queue.waiting(&name) > 0);
        self.names.iter().position(|known| *known == name)
    }

    fn ended(&mut self, team: usize) {
        self.shares.finished(&self.names[team], &self.amount);
    }

    fn waiting(&self, team: usize) -> usize {
        self.queue.waiting(&self.names[team])
    }
}

/// First come first served, with the same bound for each team.
#[derive(Default)]
struct Arrival {
    queue: VecDeque<usize>,
    waiting: [usize; TEAMS.len()],
}

impl Policy for Arrival {
    fn arrive(&mut self, _now: Instant, team: usize) -> bool {
        let room = self.waiting[team] < 64;
        if room {
            self.queue.push_back(team);
            self.waiting[team] += 1;
        }
        room
    }

    fn next(&mut self, _now: Instant, _free: usize) -> Option<usize> {
        let team = self.queue.pop_front()?;
        self.waiting[team] -= 1;
        Some(team)
    }

    fn ended(&mut self, _team: usize) {}

    fn waiting(&self, team: usize) -> usize {
        self.waiting[team]
    }
}

/// Divides the slots by weight among demands, as max-min fairness does.
fn fair(demands: &[usize]) -> Vec<f64> {
    let mut parts = vec![0.0; demands.len()];
    let mut left = SLOTS as f64;
    let mut open: Vec<usize> = (0..demands.len()).collect();
    while !open.is_empty() && left > 1e-9 {
        let weights: f64 = open.iter().map(|&t| f64::from(TEAMS[t].1)).sum();
        let level = left / weights;
        let need: Vec<f64> = demands
            .iter()
            .zip(&parts)
            .map(|(d, p)| *d as f64 - p)
            .collect();
        let met: Vec<usize> = open
            .iter()
            .copied()
            .filter(|&t| need[t] <= level * f64::from(TEAMS[t].1))
            .collect();
        let given: Vec<usize> = if met.is_empty() {
            open.clone()
        } else {
            met.clone()
        };
        for &t in &given {
            let part = need[t].min(level * f64::from(TEAMS[t].1));
            parts[t] += part;
            left -= part;
        }
        if met.is_empty() {
            break;
        }
        open.retain(|t| !met.contains(t));
    }
    parts
}

/// Returns the arrivals of a team in one step. In turn each queue takes five times its mean, and
/// each queue's peak is driven by one team more than the others.
fn arrivals(random: &mut StdRng, step: usize, team: usize) -> usize {
    let turn = step / PEAK_STEPS;
    let mean = 0.9 * SLOTS as f64 / RUN_STEPS as f64 * TEAMS[team].2 / 12.0;
    let mut rate = 0.0;
    for queue in 0..QUEUES {
        let factor = if turn % QUEUES == queue { 5.0 } else { 0.25 };
        let own = if (turn + team) % TEAMS.len() == queue {
            2.5
        } else {
            0.7
        };
        rate += mean / QUEUES as f64 * factor * own;
    }
    let whole = rate.floor();
    whole as usize + usize::from(random.random::<f64>() < rate - whole)
}

fn run(name: &str, policy: &mut dyn Policy) -> f64 {
    let mut random = StdRng::seed_from_u64(SEED);
    let start = Instant::now();
    let mut running: VecDeque<(usize, usize)> = VecDeque::new();
    let mut used = [0usize; TEAMS.len()];
    let (mut distance, mut full, mut refused, mut idle, mut started) = (0.0, 0.0, 0, 0, 0);
    for step in 0..STEPS {
        let now = start + STEP * step as u32;
        while running.front().is_some_and(|(end, _)| *end <= step) {
            if let Some((_, team)) = running.pop_front() {
                used[team] -= 1;
                policy.ended(team);
            }
        }
        for team in 0..TEAMS.len() {
            for _ in 0..arrivals(&mut random, step, team) {
                refused += usize::from(!policy.arrive(now, team));
            }
        }
        while running.len() < SLOTS
            && let Some(team) = policy.next(now, SLOTS - running.len())
        {
            started += 1;
            used[team] += 1;
            running.push_back((step + RUN_STEPS, team));
        }
        let waiting: usize = (0..TEAMS.len()).map(|team| policy.waiting(team)).sum();
        idle += (SLOTS - running.len()).min(waiting);
        if running.len() == SLOTS && waiting > 0 {
            let demands: Vec<usize> = (0..TEAMS.len())
                .map(|t| used[t] + policy.waiting(t))
                .collect();
            let parts = fair(&demands);
            let off: f64 = used
                .iter()
                .zip(&parts)
                .map(|(u, p)| (*u as f64 - p).abs())
                .sum();
            distance += off / 2.0 / SLOTS as f64;
            full += 1.0;
        }
    }
    println!(
        "{name:>24}: distance from share {:.4} of the pool in {full} full steps, {started} started, \
         {refused} refused, {idle} slot steps idle while work waits",
        distance / full
    );
    distance / full
}

fn main() {
    println!("seed {SEED}, {SLOTS} slots, {STEPS} steps of 100 ms");
    let shares = run("shares", &mut ByShare::new());
    let arrival = run("first come first served", &mut Arrival::default());
    println!("ratio {:.3}", shares / arrival);
    pick_cost();
}

/// Measures one pick with its start and end at 98 teams.
fn pick_cost() {
    let mut shares = Shares::new(Amount {
        slots: 5600,
        milli_cores: 22_400_000,
        memory_mib: 44_800_000,
        accelerators: 0,
    });
    let amount = Amount::request(&Resources::default());
    for team in 0..98 {
        let name = TeamName::new(&format!("team-{team}")).expect("valid name");
        shares.set_weight(&name, 1 + team % 4);
        shares.set_waiting(&name, true);
    }
    let (count, start) = (1_000_000u32, Instant::now());
    let mut open = VecDeque::new();
    for _ in 0..count {
        let Some(name) = shares.order().next().cloned() else {
            break;
        };
        shares.started(&name, &amount);
        open.push_back(name);
        if open.len() > 4000
            && let Some(name) = open.pop_front()
        {
            shares.finished(&name, &amount);
        }
    }
    println!(
        "98 teams: {} ns a pick, start and end",
        start.elapsed().as_nanos() / u128::from(count)
    );
}
