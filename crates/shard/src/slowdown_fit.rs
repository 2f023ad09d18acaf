//! Estimates by how much the images beside the tasks of one image slow these down.
//!
//! A linear model of a logarithm (of a run time, or of a tail latency relative to its target): an offset
//! of the image, an offset of the worker, a term for the caller's estimate, and for each image beside
//! it the share of the time for which it was there. The terms are fitted together, so that an image is
//! not blamed for another one that often runs at the same time. The offsets of the workers are random
//! effects: what is slow on a whole worker hardly counts, and two workers that differ are weak evidence.
//!
//! Only sums are kept, and all of them decay at the same rate.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::Name;

/// The time after which a sample counts half. Behaviour changes within seconds to minutes. An image with
/// three runs a second, a quarter of them beside the other one, needs about a minute of samples until a
/// slowdown by half is certain; with 30 s, it was not learned at all.
pub(crate) const HALF_LIFE: Duration = Duration::from_secs(60);

/// The images whose effects are fitted for one image. A worker runs some dozen tasks at once.
const MAX_SLOTS: usize = 24;

/// How long an image has a slot before another one may get it that runs as often. It is enough to learn
/// most effects, and all images of a pool with some dozen of them take their turn within minutes.
const MIN_SLOT_TIME: Duration = Duration::from_secs(120);

/// The workers with offsets of their own. A pool has 50 to 90.
const MAX_WORKERS: usize = 96;

/// The index of the logarithm in a row.
const VALUE: usize = 0;

/// The index of the logarithm of the estimate in a row.
const ESTIMATE: usize = 1;

/// The index of the first image's share in a row.
const FIRST_SLOT: usize = 2;

/// The length of a row.
const ROW: usize = FIRST_SLOT + MAX_SLOTS;

/// By how much workers are expected to differ, as a standard deviation of the logarithm. It is a factor of
/// 1.6, more than between the kinds of machines in a pool, so that even two slow workers are no evidence.
const WORKER_SPREAD: f64 = 0.5;

/// The noise that is assumed until it can be estimated, as a standard deviation of the logarithm. Run
/// times of one image vary by half or more.
const INITIAL_NOISE: f64 = 0.5;

/// The weight of the assumption that an effect is zero, in samples. One sample moves an estimate only
/// half way.
const PRIOR_WEIGHT: f64 = 1.0;

/// The lowest noise that is assumed, as a standard deviation of the logarithm. The owner measures times
/// of half a second to within some 20 ms.
const MIN_NOISE: f64 = 0.05;

/// By how much a logarithm may differ from the mean of its image, or from that scaled by the estimate,
/// a factor of 7. A single task that is stuck must not outweigh many others.
const MAX_DEVIATION: f64 = 2.0;

/// The weight of samples from which on their mean is used to limit the next ones.
const MIN_MEAN_WEIGHT: f64 = 20.0;

/// The samples without which no effect is estimated.
const MIN_WEIGHT: f64 = 30.0;

/// After how many half-lives the sums are scaled, so that weights stay in the range of the numbers.
const MAX_HALF_LIVES: f64 = 20.0;

/// The weight below which the offset of a worker is dropped, in samples.
const MIN_WORKER_WEIGHT: f64 = 0.01;

/// An image whose effect is fitted.
#[derive(Debug)]
struct Slot {
    image: Name,
    seen: Instant,
    /// When the image got the slot.
    since: Instant,
    /// The highest likely effect in the last estimate, two standard errors above the mean.
    limit: f64,
    /// The shares since [`SlowdownFit::reset_fresh`], not decayed.
    fresh: f64,
}

/// The sums of the rows of one worker.
#[derive(Debug)]
struct WorkerSums {
    weight: f64,
    rows: Vec<f64>,
}

/// One observation of a task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample<'a> {
    pub(crate) worker: &'a Name,
    /// The logarithm whose mean is explained.
    pub(crate) value: f64,
    /// The logarithm of the caller's estimate, zero if that doesn't matter.
    pub(crate) estimate: f64,
    /// For which share of the time each image was beside the task.
    pub(crate) shares: &'a [(Name, f64)],
    pub(crate) weight: f64,
}

/// The estimated effect of an image beside the tasks.
#[derive(Clone, Debug)]
pub(crate) struct ImageEffect {
    pub(crate) image: Name,
    /// By how much the logarithm rises when the image is there all the time.
    pub(crate) mean: f64,
    /// The standard error of the mean.
    pub(crate) error: f64,
    /// The samples with the image, by their shares.
    pub(crate) with: f64,
    /// The samples without it.
    pub(crate) without: f64,
    /// The number of workers with the image, where those with more samples count more.
    pub(crate) workers: f64,
    /// The samples with the image since [`SlowdownFit::reset_fresh`], not decayed.
    pub(crate) fresh: f64,
}

/// The sums for the tasks of one image.
#[derive(Debug)]
pub(crate) struct SlowdownFit {
    /// The time at which a sample has the weight one.
    epoch: Instant,
    last: Instant,
    slots: Vec<Slot>,
    /// The sums of the products of two entries of a row.
    products: Vec<f64>,
    workers: BTreeMap<Name, WorkerSums>,
    /// The variance of the noise in the last estimate.
    variance: f64,
}

impl SlowdownFit {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            last: now,
            slots: Vec::new(),
            products: vec![0.0; ROW * ROW],
            workers: BTreeMap::new(),
            variance: INITIAL_NOISE * INITIAL_NOISE,
        }
    }

    /// Returns when the last sample was added.
    pub(crate) fn last(&self) -> Instant {
        self.last
    }

    /// Returns the weight of a sample that is taken now, which grows instead of the others' shrinking.
    fn growth(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.epoch).as_secs_f64();
        (age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Adds an observation.
    pub(crate) fn add(&mut self, now: Instant, sample: Sample<'_>) {
        self.rescale(now);
        self.last = now;
        let mut row = [0.0; ROW];
        row[VALUE] = self.limit(sample.value, sample.estimate);
        row[ESTIMATE] = sample.estimate;
        for (image, share) in sample.shares {
            if let Some(slot) = self.slot(now, image) {
                row[FIRST_SLOT + slot] = *share;
                if let Some(slot) = self.slots.get_mut(slot) {
                    slot.fresh += share * sample.weight;
                }
            }
        }
        let weight = sample.weight * self.growth(now);
        for (products, a) in self.products.chunks_exact_mut(ROW).zip(row) {
            if a != 0.0 {
                for (product, b) in products.iter_mut().zip(row) {
                    *product += weight * a * b;
                }
            }
        }
        if !self.workers.contains_key(sample.worker) && self.workers.len() >= MAX_WORKERS {
            self.drop_lightest_worker();
        }
        let sums = self.workers.entry(Arc::clone(sample.worker));
        let sums = sums.or_insert_with(|| WorkerSums {
            weight: 0.0,
            rows: vec![0.0; ROW],
        });
        sums.weight += weight;
        for (sum, a) in sums.rows.iter_mut().zip(row) {
            *sum += weight * a;
        }
    }

    /// Returns a logarithm, limited to the neighbourhood of the mean so far, and of what the estimate
    /// lets expect. Without the latter, large tasks would count as faster than estimated, and those of
    /// medium size as slower.
    fn limit(&self, value: f64, estimate: f64) -> f64 {
        let weight: f64 = self.workers.values().map(|w| w.weight).sum();
        if weight < MIN_MEAN_WEIGHT {
            return value;
        }
        let mean = |column: usize| {
            let sum: f64 = self.workers.values().map(|w| w.rows[column]).sum();
            sum / weight
        };
        let mean_value = mean(VALUE);
        let expected = mean_value + estimate - mean(ESTIMATE);
        let least = mean_value.min(expected) - MAX_DEVIATION;
        let most = mean_value.max(expected) + MAX_DEVIATION;
        value.clamp(least, most)
    }

    /// Returns the slot of an image that was seen now. If there are too many images, a new one gets the
    /// slot of one that is not seen any more, or that has had it for [`MIN_SLOT_TIME`], whichever is the
    /// least likely to have an effect. Otherwise no image would keep its slot until it is learned.
    fn slot(&mut self, now: Instant, image: &Name) -> Option<usize> {
        let known = self.slots.iter().position(|s| s.image == *image);
        if let Some(index) = known {
            self.slots.get_mut(index)?.seen = now;
            return known;
        }
        let slot = Slot {
            image: Arc::clone(image),
            seen: now,
            since: now,
            limit: f64::INFINITY,
            fresh: 0.0,
        };
        if self.slots.len() < MAX_SLOTS {
            self.slots.push(slot);
            return Some(self.slots.len() - 1);
        }
        let is_past = |at: Instant, time: Duration| now.saturating_duration_since(at) >= time;
        let likely = |s: &Slot| match is_past(s.seen, HALF_LIFE) {
            true => f64::NEG_INFINITY,
            false => s.limit,
        };
        let slots = self.slots.iter().enumerate();
        let free = slots.filter(|(_, s)| {
            is_past(s.seen, HALF_LIFE) || s.seen < now && is_past(s.since, MIN_SLOT_TIME)
        });
        let (index, _) = free.min_by(|(_, a), (_, b)| likely(a).total_cmp(&likely(b)))?;
        self.clear(index);
        *self.slots.get_mut(index)? = slot;
        Some(index)
    }

    /// Removes what is known about an image beside the tasks. `mean` is its estimated effect. It is removed
    /// from the samples, which would count as slow ones without the image otherwise.
    pub(crate) fn forget(&mut self, image: &Name, mean: f64) {
        let Some(slot) = self.slots.iter().position(|s| s.image == *image) else {
            return;
        };
        let column = FIRST_SLOT + slot;
        let products = &mut self.products;
        products[VALUE] += mean * mean * products[column * ROW + column]
            - 2.0 * mean * products[column * ROW + VALUE];
        for index in 0..ROW {
            if index != VALUE {
                products[index * ROW + VALUE] -= mean * products[index * ROW + column];
                products[index] = products[index * ROW + VALUE];
            }
        }
        for worker in self.workers.values_mut() {
            worker.rows[VALUE] -= mean * worker.rows[column];
        }
        self.clear(slot);
    }

    fn clear(&mut self, slot: usize) {
        let column = FIRST_SLOT + slot;
        for (index, products) in self.products.chunks_exact_mut(ROW).enumerate() {
            match index == column {
                true => products.fill(0.0),
                false => products[column] = 0.0,
            }
        }
        for worker in self.workers.values_mut() {
            worker.rows[column] = 0.0;
        }
        if let Some(slot) = self.slots.get_mut(slot) {
            slot.fresh = 0.0;
        }
    }

    /// Starts to count the samples with an image anew.
    pub(crate) fn reset_fresh(&mut self, image: &Name) {
        if let Some(slot) = self.slots.iter_mut().find(|s| s.image == *image) {
            slot.fresh = 0.0;
        }
    }

    /// Drops a worker's offset. What differed among its own samples still counts.
    fn drop_worker(&mut self, worker: &Name) {
        let Some(sums) = self.workers.remove(worker) else {
            return;
        };
        for (products, a) in self.products.chunks_exact_mut(ROW).zip(&sums.rows) {
            for (product, b) in products.iter_mut().zip(&sums.rows) {
                *product -= a * b / sums.weight;
            }
        }
    }

    fn drop_lightest_worker(&mut self) {
        let workers = self.workers.iter();
        let lightest = workers.min_by(|(_, a), (_, b)| a.weight.total_cmp(&b.weight));
        if let Some(name) = lightest.map(|(name, _)| Arc::clone(name)) {
            self.drop_worker(&name);
        }
    }

    /// Scales all sums from time to time, so that new samples have a weight near one again.
    fn rescale(&mut self, now: Instant) {
        let growth = self.growth(now);
        if growth.log2() < MAX_HALF_LIVES {
            return;
        }
        self.epoch = now;
        for product in &mut self.products {
            *product /= growth;
        }
        for worker in self.workers.values_mut() {
            worker.weight /= growth;
            for sum in &mut worker.rows {
                *sum /= growth;
            }
        }
        let light = self.workers.iter();
        let light = light.filter(|(_, w)| w.weight < MIN_WORKER_WEIGHT);
        let light: Vec<Name> = light.map(|(name, _)| Arc::clone(name)).collect();
        for name in light {
            self.drop_worker(&name);
        }
    }

    /// Returns the estimated effects of the images beside the tasks.
    pub(crate) fn effects(&mut self, now: Instant) -> Vec<ImageEffect> {
        let growth = self.growth(now);
        let weight: f64 = self.workers.values().map(|w| w.weight).sum::<f64>() / growth;
        if weight < MIN_WEIGHT {
            return Vec::new();
        }
        let scatter = self.scatter(growth);
        let size = FIRST_SLOT + self.slots.len() - 1;
        let mut matrix = vec![vec![0.0; size]; size];
        for (i, row) in matrix.iter_mut().enumerate() {
            for (j, entry) in row.iter_mut().enumerate() {
                *entry = scatter[(i + 1) * ROW + j + 1];
            }
            row[i] += PRIOR_WEIGHT;
        }
        let Some(inverse) = invert(matrix) else {
            return Vec::new();
        };
        let targets: Vec<f64> = (0..size).map(|i| scatter[(i + 1) * ROW + VALUE]).collect();
        let means = inverse.iter().map(|row| dot(row, &targets));
        let means: Vec<f64> = means.collect();
        let unexplained = scatter[VALUE] - dot(&means, &targets);
        let freedom = (weight - size as f64 - 1.0).max(1.0);
        let variance = (unexplained / freedom).max(MIN_NOISE * MIN_NOISE);
        self.variance = variance;
        let slots = self.slots.iter().enumerate();
        let effects = slots.map(|(index, slot)| {
            let column = FIRST_SLOT + index;
            let shares = self.workers.values().map(|w| w.rows[column] / growth);
            let (with, squares) = shares.fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
            ImageEffect {
                image: Arc::clone(&slot.image),
                mean: means[column - 1],
                error: (variance * inverse[column - 1][column - 1]).max(0.0).sqrt(),
                with,
                without: weight - with,
                workers: if squares > 0.0 {
                    with * with / squares
                } else {
                    0.0
                },
                fresh: slot.fresh,
            }
        });
        let effects: Vec<ImageEffect> = effects.collect();
        for (slot, effect) in self.slots.iter_mut().zip(&effects) {
            slot.limit = effect.mean + 2.0 * effect.error;
        }
        effects
    }

    /// Returns the sums of products after the offsets of the image and of its workers are removed, those
    /// of the workers as far as the number of their samples allows.
    fn scatter(&self, growth: f64) -> Vec<f64> {
        let mut center = [0.0; ROW];
        let mut total = 0.0;
        let known = |w: &&WorkerSums| w.weight > 0.0;
        // The weight with which the mean of a worker counts as an observation of the image's offset.
        let ratio = self.variance / (WORKER_SPREAD * WORKER_SPREAD);
        let between = |weight: f64| weight * ratio / (weight + ratio);
        for worker in self.workers.values().filter(known) {
            let share = between(worker.weight / growth);
            total += share;
            for (center, sum) in center.iter_mut().zip(&worker.rows) {
                *center += share * sum / worker.weight;
            }
        }
        for center in &mut center {
            *center /= f64::max(total, f64::MIN_POSITIVE);
        }
        let mut scatter: Vec<f64> = self.products.iter().map(|p| p / growth).collect();
        let used = FIRST_SLOT + self.slots.len();
        for worker in self.workers.values().filter(known) {
            let weight = worker.weight / growth;
            let share = between(weight);
            let mut means = [0.0; ROW];
            for (mean, sum) in means.iter_mut().zip(&worker.rows) {
                *mean = sum / worker.weight;
            }
            for i in 0..used {
                for j in 0..used {
                    scatter[i * ROW + j] += share * (means[i] - center[i]) * (means[j] - center[j])
                        - weight * means[i] * means[j];
                }
            }
        }
        scatter
    }
}

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// Returns the inverse of a symmetric, positive definite matrix; `None` if it has none.
fn invert(mut matrix: Vec<Vec<f64>>) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    let mut inverse: Vec<Vec<f64>> = (0..size)
        .map(|i| (0..size).map(|j| f64::from(u8::from(i == j))).collect())
        .collect();
    for i in 0..size {
        let pivot = matrix[i][i];
        if pivot <= f64::EPSILON {
            return None;
        }
        for entry in matrix[i].iter_mut().chain(inverse[i].iter_mut()) {
            *entry /= pivot;
        }
        let (source, unit) = (matrix[i].clone(), inverse[i].clone());
        for j in (0..size).filter(|j| *j != i) {
            let factor = matrix[j][i];
            if factor != 0.0 {
                for (entry, s) in matrix[j].iter_mut().zip(&source) {
                    *entry -= factor * s;
                }
                for (entry, s) in inverse[j].iter_mut().zip(&unit) {
                    *entry -= factor * s;
                }
            }
        }
    }
    Some(inverse)
}
