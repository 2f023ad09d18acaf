//! Learned quantiles of sizes and run times.

use std::collections::HashMap;
use std::time::Duration;

use lavenderhollow_config::Resources;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::TeamName;

/// Buckets of a histogram. With two buckets for each factor of two, they reach from 1 to 2^28: in
/// milliseconds three days, in MiB or thousandths of a core more than any worker.
const BUCKETS: usize = 57;

/// What one new observation weighs more than the one before it. The weight of the last 50
/// observations is about two thirds of the whole, which follows a change of a job within minutes.
const GROWTH: f32 = 1.02;

/// The weight at which a histogram is scaled down, far below the range of the counts.
const MAX_WEIGHT: f32 = 1e6;

/// What the declaration weighs, in observations. One real observation outweighs it.
const PRIOR_WEIGHT: f32 = 0.5;

/// What a request is expected to need, or was seen to need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The run time.
    pub run_time: Duration,
    /// The size.
    pub size: Resources,
}

/// Counts of values in buckets whose bounds grow by the square root of two.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [f32; BUCKETS],
    total: f32,
    weight: f32,
}

impl Histogram {
    fn with_prior(value: u64) -> Self {
        let mut histogram = Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
            weight: PRIOR_WEIGHT,
        };
        histogram.add(value);
        histogram.weight = 1.0;
        histogram
    }

    fn add(&mut self, value: u64) {
        self.counts[bucket(value)] += self.weight;
        self.total += self.weight;
        self.weight *= GROWTH;
        if self.weight > MAX_WEIGHT {
            let scale = self.weight.recip();
            self.counts.iter_mut().for_each(|count| *count *= scale);
            self.total *= scale;
            self.weight = 1.0;
        }
    }

    fn quantile(&self, q: f64) -> u64 {
        let wanted = f64::from(self.total) * q.clamp(0.0, 1.0);
        let mut sum = 0.0;
        let mut last = 0;
        for (index, count) in self.counts.iter().enumerate() {
            if *count > 0.0 {
                sum += f64::from(*count);
                last = index;
                if sum >= wanted {
                    break;
                }
            }
        }
        upper_bound(last)
    }
}

/// Returns the index of the first bucket whose upper bound is at least `value`.
fn bucket(value: u64) -> usize {
    match value {
        0 => 0,
        _ => ((2.0 * (value as f64).log2() - 1e-9).ceil().max(0.0) as usize + 1).min(BUCKETS - 1),
    }
}

fn upper_bound(bucket: usize) -> u64 {
    match bucket {
        0 => 0,
        _ => 2f64.powf((bucket - 1) as f64 / 2.0).round() as u64,
    }
}

#[derive(Clone, Debug)]
struct Learned {
    observed: bool,
    run_time: Histogram,
    milli_cores: Histogram,
    memory_mib: Histogram,
    accelerators: Histogram,
}

impl Learned {
    fn new(prior: &Estimate) -> Self {
        Self {
            observed: false,
            run_time: Histogram::with_prior(millis(prior.run_time)),
            milli_cores: Histogram::with_prior(prior.size.milli_cores.into()),
            memory_mib: Histogram::with_prior(prior.size.memory_mib.into()),
            accelerators: Histogram::with_prior(prior.size.accelerators.into()),
        }
    }

    fn add_size(&mut self, size: &Resources) {
        self.observed = true;
        self.milli_cores.add(size.milli_cores.into());
        self.memory_mib.add(size.memory_mib.into());
        self.accelerators.add(size.accelerators.into());
    }

    fn quantile(&self, q: f64) -> Estimate {
        let clip = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        Estimate {
            run_time: Duration::from_millis(self.run_time.quantile(q)),
            size: Resources {
                milli_cores: clip(self.milli_cores.quantile(q)),
                memory_mib: clip(self.memory_mib.quantile(q)),
                accelerators: clip(self.accelerators.quantile(q)),
            },
        }
    }
}

/// Learns run times and sizes for each queue and team.
///
/// The state of a queue and team is about 1 KB, whatever was observed.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    queues: HashMap<QueueName, Known>,
}

#[derive(Clone, Debug)]
struct Known {
    prior: Estimate,
    teams: HashMap<TeamName, Box<Learned>>,
}

impl Estimator {
    /// Sets the declaration of a queue, the prior of all its teams. What was learned stays.
    pub fn declare(&mut self, queue: &QueueName, prior: Estimate) {
        let known = self.queues.entry(queue.clone()).or_insert_with(|| Known {
            prior,
            teams: HashMap::new(),
        });
        known.prior = prior;
    }

    /// Removes a queue.
    pub fn remove(&mut self, queue: &QueueName) {
        self.queues.remove(queue);
    }

    /// Learns from a request that ended. A queue that was not declared is ignored.
    pub fn observe(&mut self, queue: &QueueName, team: &TeamName, seen: &Estimate) {
        if let Some(learned) = self.learned(queue, team) {
            learned.run_time.add(millis(seen.run_time));
            learned.add_size(&seen.size);
        }
    }

    /// Learns the size of a request that still runs, from a usage report.
    pub fn observe_size(&mut self, queue: &QueueName, team: &TeamName, size: &Resources) {
        if let Some(learned) = self.learned(queue, team) {
            learned.add_size(size);
        }
    }

    /// Returns the estimate at a quantile between 0 and 1, rounded up by at most the factor of a
    /// bucket; the declaration if nothing was observed.
    pub fn quantile(&self, queue: &QueueName, team: &TeamName, q: f64) -> Option<Estimate> {
        let known = self.queues.get(queue)?;
        match known.teams.get(team).filter(|learned| learned.observed) {
            Some(learned) => Some(learned.quantile(q)),
            None => Some(known.prior),
        }
    }

    /// Returns how many requests may run at once while only the declaration is known, or nothing
    /// once a size was observed. A wrong declaration costs one slot, not one for each request.
    pub fn trial_bound(&self, queue: &QueueName, team: &TeamName) -> Option<u32> {
        let known = self.queues.get(queue)?;
        let observed = known
            .teams
            .get(team)
            .is_some_and(|learned| learned.observed);
        (!observed).then_some(1)
    }

    fn learned(&mut self, queue: &QueueName, team: &TeamName) -> Option<&mut Learned> {
        let known = self.queues.get_mut(queue)?;
        let prior = known.prior;
        let entry = known.teams.entry(team.clone());
        Some(entry.or_insert_with(|| Box::new(Learned::new(&prior))))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
