//! Cost and quality of placement at 700 workers, against a full scan and first fit.
//!
//! The baselines work on a bare array of counts, without reports, sizes, racks or threads.

use std::time::Instant;

use lavenderhollow_config::Resources;
use lavenderhollow_core::placement::Place;
use lavenderhollow_core::placement::Target;
use lavenderhollow_core::placement::Targets;
use lavenderhollow_types::RackName;
use lavenderhollow_types::VmName;
use rand::Rng;
use rand::RngCore;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 20_261_204;
const WORKERS: usize = 700;
const SLOTS: usize = 8;
const STEPS: usize = 400_000;

const NEED: Resources = Resources {
    milli_cores: 1000,
    memory_mib: 1024,
    accelerators: 0,
};

fn target(index: usize) -> Target {
    Target {
        vm: VmName::new(&format!("vm-{index}")).expect("valid name"),
        rack: RackName::new(&format!("rack-{}", index / 4)).expect("valid name"),
        slots: SLOTS as u32,
        connections: 64,
        size: Resources {
            milli_cores: 32_000,
            memory_mib: 65_536,
            accelerators: 0,
        },
        report: None,
    }
}

/// A way to choose a worker.
trait Choice {
    fn place(&mut self, random: &mut StdRng) -> Option<(usize, Option<Place>)>;
    fn end(&mut self, worker: usize, place: Option<Place>);
}

struct TwoChoices(Targets);

impl Choice for TwoChoices {
    fn place(&mut self, random: &mut StdRng) -> Option<(usize, Option<Place>)> {
        let place = self
            .0
            .choose(Instant::now(), &NEED, &mut || random.next_u64());
        let place = place.ok()?;
        let index = place.vm().as_str()[3..].parse().ok()?;
        Some((index, Some(place)))
    }

    fn end(&mut self, _worker: usize, place: Option<Place>) {
        drop(place);
    }
}

/// Takes the least loaded worker of all.
struct FullScan(Vec<usize>);

impl Choice for FullScan {
    fn place(&mut self, _random: &mut StdRng) -> Option<(usize, Option<Place>)> {
        let (index, used) = self.0.iter().enumerate().min_by_key(|(_, used)| **used)?;
        if *used >= SLOTS {
            return None;
        }
        self.0[index] += 1;
        Some((index, None))
    }

    fn end(&mut self, worker: usize, _place: Option<Place>) {
        self.0[worker] -= 1;
    }
}

/// Takes the first worker with a free slot.
struct FirstFit(Vec<usize>);

impl Choice for FirstFit {
    fn place(&mut self, _random: &mut StdRng) -> Option<(usize, Option<Place>)> {
        let index = self.0.iter().position(|used| *used < SLOTS)?;
        self.0[index] += 1;
        Some((index, None))
    }

    fn end(&mut self, worker: usize, _place: Option<Place>) {
        self.0[worker] -= 1;
    }
}

fn run(name: &str, choice: &mut dyn Choice, load: f64) {
    let mut random = StdRng::seed_from_u64(SEED);
    let wanted = (WORKERS as f64 * SLOTS as f64 * load) as usize;
    let mut open: Vec<(usize, Option<Place>)> = Vec::new();
    let mut used = vec![0usize; WORKERS];
    let (mut squares, mut highest, mut racks) = (0.0, 0, 0);
    let (mut samples, mut refused, mut nanos) = (0.0, 0, 0);
    for step in 0..STEPS {
        while open.len() >= wanted {
            let (worker, place) = open.swap_remove(random.random_range(0..open.len()));
            used[worker] -= 1;
            choice.end(worker, place);
        }
        let start = Instant::now();
        let placed = choice.place(&mut random);
        nanos += start.elapsed().as_nanos();
        match placed {
            Some((worker, place)) => {
                used[worker] += 1;
                open.push((worker, place));
            }
            None => refused += 1,
        }
        if step >= STEPS / 2 && step % 1000 == 0 {
            let mean = open.len() as f64 / WORKERS as f64;
            squares +=
                used.iter().map(|u| (*u as f64 - mean).powi(2)).sum::<f64>() / WORKERS as f64;
            highest += used.iter().max().copied().unwrap_or(0);
            racks += used
                .chunks(4)
                .map(|rack| rack.iter().sum())
                .max()
                .unwrap_or(0);
            samples += 1.0;
        }
    }
    println!(
        "{name:>11} at {load:.2}: {} ns a choice, deviation {:.2} slots, highest worker {:.1} of 8, \
         highest rack {:.1} of 32, {refused} refused",
        nanos / STEPS as u128,
        (squares / samples).sqrt(),
        highest as f64 / samples,
        racks as f64 / samples,
    );
}

fn main() {
    println!("seed {SEED}, {WORKERS} workers, {STEPS} choices");
    for load in [0.3, 0.6, 0.9, 0.98] {
        let targets = (0..WORKERS).map(target).collect();
        run(
            "two choices",
            &mut TwoChoices(Targets::new(targets, &[], None)),
            load,
        );
        run("full scan", &mut FullScan(vec![0; WORKERS]), load);
        run("first fit", &mut FirstFit(vec![0; WORKERS]), load);
    }
}
