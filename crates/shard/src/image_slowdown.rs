//! Which images slow each other down on the same worker, so that placement keeps them apart.
//!
//! It learns from the run times of short tasks and from the tail latencies of tasks with a target. Each
//! has its own fit for each image ([`SlowdownFit`]). A pair is held for a bounded time after the last
//! evidence: a pair that is kept apart gives none, and may mix again then and be learned anew.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound::Excluded;
use std::ops::Bound::Unbounded;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::colocation::Colocation;
use crate::colocation::Company;
use crate::job::Name;
use crate::job::Step;
use crate::records::Record;
use crate::records::StoredSlowdown;
use crate::shard::Shard;
use crate::shard::Timestamp;
use crate::slowdown_fit::ImageEffect;
use crate::slowdown_fit::Sample;
use crate::slowdown_fit::SlowdownFit;
use crate::slowdown_record::SlowdownRecord;
use crate::tracked_job::Phase;
use crate::worker::RunId;

/// How often effects are estimated for [`MAX_EVALUATED`] images.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);

/// The number of images whose effects are estimated at once. With ten images on 90 workers, one took some
/// 100 us of a whole core, which is 1 ms on a VM with an eighth of a core. All images of a pool with
/// [`MAX_FITS`] of them take their turn within 4 s.
const MAX_EVALUATED: usize = 4;

/// How long a pair is held after its last evidence. Behaviour changes within minutes, and learning a pair
/// anew takes about a minute, so that a pair that still interferes is kept apart most of the time.
pub(crate) const HOLD: Duration = Duration::from_secs(120);

/// The number of images with a fit. Each takes some 25 kB in a pool of 90 workers.
const MAX_FITS: usize = 64;

/// How long after its last sample a fit is dropped: ten half-lives, after which the samples weigh a
/// thousandth.
const MAX_UNUSED: Duration = Duration::from_secs(600);

/// The number of pairs that are held. With the longest names, their record takes half of the 256 KiB of an
/// append.
pub(crate) const MAX_PAIRS: usize = 64;

/// The number of pairs that are learned at once, the strongest first. It bounds the lines of the log to
/// four a second.
const MAX_LEARNED: usize = 1;

/// The slowdown that is worth acting on, as a factor. Estimates are off by half, so that callers don't
/// notice less than a tenth.
const MIN_SLOWDOWN: f64 = 1.1;

/// The slowdown below which a pair is forgotten, as a factor. It is half of [`MIN_SLOWDOWN`], so that a
/// pair near the limit is not learned and forgotten in turn.
const FORGOTTEN_SLOWDOWN: f64 = 1.05;

/// How many standard errors the slowdown has to exceed [`MIN_SLOWDOWN`] by. Some hundred pairs are
/// tested again and again. With the usual error of 0.2, an effect of zero is half an error further away,
/// which one in 4,000 tests exceeds by chance.
const LEARNING_ERRORS: f64 = 3.0;

/// How many standard errors the slowdown of a known pair may be above [`FORGOTTEN_SLOWDOWN`] and be
/// forgotten.
const FORGETTING_ERRORS: f64 = 1.0;

/// The samples that are needed both with the other image and without it. With fewer, the spread of run
/// times is not known well enough for the limits above.
const MIN_SAMPLES: f64 = 10.0;

/// The number of workers that the samples with the other image have to be from. Workers with few samples
/// count less: with two workers, one may have at most three quarters of the samples.
const MIN_WORKERS: f64 = 1.5;

/// The shortest time between two tail latencies of a run that are used. Each covers half a second.
const TAIL_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time between two tail latencies of a run for which the images beside it are still those
/// that the latency shows. Workers wait 1.5 s with the response to a poll.
const MAX_TAIL_INTERVAL: Duration = Duration::from_secs(2);

/// The weight of a tail latency in samples. Those of one run resemble each other, and are rough.
const TAIL_WEIGHT: f64 = 0.5;

/// The ratio of the tail latency to its target up to which tails count as equally good. Best-effort
/// tasks are sped up below it.
const GOOD_TAIL: f64 = 0.6;

/// The highest ratio of the tail latency to its target that is used.
const MAX_TAIL: f64 = 8.0;

/// What a fit explains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Measure {
    /// How long tasks take.
    RunTime,
    /// The tail latencies that tasks report.
    Tail,
}

/// A pair of images.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ImagePair {
    /// The image that is slowed down.
    pub(crate) slowed: Name,
    pub(crate) measure: Measure,
    /// The image beside it.
    pub(crate) beside: Name,
}

/// What is known about a pair whose images are kept apart.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    /// The slowdown in percent, 100 for twice the time.
    pub(crate) percent: u32,
    /// When the pair is forgotten unless there is further evidence.
    pub(crate) until: Instant,
}

/// A pair that was learned or forgotten.
#[derive(Clone, Debug)]
pub(crate) struct PairChange {
    pub(crate) pair: ImagePair,
    pub(crate) percent: u32,
    /// The cause if the pair was forgotten.
    pub(crate) forgotten: Option<&'static str>,
    /// The estimate that decided, absent without one.
    pub(crate) effect: Option<ImageEffect>,
}

/// Learns which images slow each other down, and says which workers to avoid for an image.
#[derive(Debug, Default)]
pub(crate) struct ImageSlowdown {
    pub(crate) colocation: Colocation,
    fits: BTreeMap<(Name, Measure), SlowdownFit>,
    /// The fits with samples since their last estimate.
    changed: BTreeSet<(Name, Measure)>,
    /// The fit that was estimated last. The next one follows it in order.
    estimated: Option<(Name, Measure)>,
    pairs: BTreeMap<ImagePair, Slowdown>,
    /// For each image, those that it is kept apart from.
    apart: BTreeMap<Name, BTreeSet<Name>>,
    next_evaluation: Option<Instant>,
    pub(crate) record: SlowdownRecord,
}

impl ImageSlowdown {
    /// Records that a task with `estimate` completed on a worker, and what ran beside it all the time.
    pub(crate) fn task_completed(
        &mut self,
        now: Instant,
        image: &Name,
        worker: &Name,
        estimate: Duration,
        company: &Company,
    ) {
        let log_seconds = |time: Duration| time.as_secs_f64().max(0.001).ln();
        let sample = Sample {
            worker,
            value: log_seconds(company.elapsed),
            estimate: log_seconds(estimate),
            shares: &company.shares,
            weight: 1.0,
        };
        self.add(now, image, Measure::RunTime, sample);
    }

    /// Records the tail latency that a run reported, as a ratio to its target, and what ran beside it.
    pub(crate) fn tail_reported(
        &mut self,
        now: Instant,
        image: &Name,
        worker: &Name,
        ratio: f64,
        company: &Company,
    ) {
        if company.elapsed > MAX_TAIL_INTERVAL {
            return;
        }
        let sample = Sample {
            worker,
            value: ratio.clamp(GOOD_TAIL, MAX_TAIL).ln(),
            estimate: 0.0,
            shares: &company.shares,
            weight: TAIL_WEIGHT,
        };
        self.add(now, image, Measure::Tail, sample);
    }

    fn add(&mut self, now: Instant, image: &Name, measure: Measure, sample: Sample<'_>) {
        let key = (Arc::clone(image), measure);
        if !self.fits.contains_key(&key) && self.fits.len() >= MAX_FITS {
            let oldest = self.fits.iter().min_by_key(|(_, fit)| fit.last());
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.fits.remove(&oldest);
                self.changed.remove(&oldest);
            }
        }
        let fit = self.fits.entry(key.clone());
        fit.or_insert_with(|| SlowdownFit::new(now))
            .add(now, sample);
        self.changed.insert(key);
    }

    /// Returns the next fit to estimate.
    fn take_changed(&mut self) -> Option<(Name, Measure)> {
        let after = self.estimated.as_ref().map_or(Unbounded, Excluded);
        let next = self.changed.range((after, Unbounded)).next();
        let next = next.or_else(|| self.changed.first())?.clone();
        self.changed.remove(&next);
        self.estimated = Some(next.clone());
        Some(next)
    }

    /// Learns and forgets pairs, at most once in [`EVALUATION_INTERVAL`]. Returns the changes.
    pub(crate) fn evaluate(&mut self, now: Instant) -> Vec<PairChange> {
        let is_early = self.next_evaluation.is_some_and(|next| now < next);
        if is_early || self.fits.is_empty() && self.pairs.is_empty() {
            return Vec::new();
        }
        self.next_evaluation = Some(now + EVALUATION_INTERVAL);
        let is_used = |fit: &SlowdownFit| now.saturating_duration_since(fit.last()) < MAX_UNUSED;
        self.fits.retain(|_, fit| is_used(fit));
        let (mut candidates, mut refuted) = (Vec::new(), Vec::new());
        for _ in 0..MAX_EVALUATED {
            let Some((slowed, measure)) = self.take_changed() else {
                break;
            };
            let fit = self.fits.get_mut(&(Arc::clone(&slowed), measure));
            let Some(fit) = fit else {
                continue;
            };
            for effect in fit.effects(now) {
                let pair = ImagePair {
                    slowed: Arc::clone(&slowed),
                    measure,
                    beside: Arc::clone(&effect.image),
                };
                let excess = excess(&effect);
                match self.pairs.get_mut(&pair) {
                    Some(_) if is_refuted(&effect) => refuted.push((pair, effect)),
                    Some(known) if excess > 0.0 && effect.fresh >= MIN_SAMPLES => {
                        *known = Slowdown {
                            percent: percent(&effect),
                            until: now + HOLD,
                        };
                        fit.reset_fresh(&effect.image);
                    }
                    None if excess > 0.0 => candidates.push((excess, pair, effect)),
                    _ => {}
                }
            }
        }
        let mut changes = Vec::new();
        for (pair, effect) in refuted {
            changes.extend(self.forget(&pair, "refuted", Some(effect)));
        }
        candidates.sort_by(|(a, ..), (b, ..)| b.total_cmp(a));
        for (_, pair, effect) in candidates.into_iter().take(MAX_LEARNED) {
            changes.extend(self.learn(now, pair, effect));
        }
        let ended = self.pairs.iter().filter(|(_, known)| known.until <= now);
        let ended: Vec<ImagePair> = ended.map(|(pair, _)| pair.clone()).collect();
        for pair in ended {
            changes.extend(self.forget(&pair, "expired", None));
        }
        if !changes.is_empty() {
            self.rebuild();
        }
        changes
    }

    /// Adds a pair, in place of the one that expires first if there are too many.
    fn learn(&mut self, now: Instant, pair: ImagePair, effect: ImageEffect) -> Vec<PairChange> {
        let mut changes = Vec::new();
        if self.pairs.len() >= MAX_PAIRS {
            let first = self.pairs.iter().min_by_key(|(_, known)| known.until);
            if let Some(first) = first.map(|(pair, _)| pair.clone()) {
                changes.extend(self.forget(&first, "too_many", None));
            }
        }
        if let Some(fit) = self.fit(&pair) {
            fit.reset_fresh(&pair.beside);
        }
        let known = Slowdown {
            percent: percent(&effect),
            until: now + HOLD,
        };
        self.pairs.insert(pair.clone(), known);
        changes.push(PairChange {
            pair,
            percent: known.percent,
            forgotten: None,
            effect: Some(effect),
        });
        changes
    }

    /// Removes a pair. Without an estimate that refutes it, the samples that it was learned from are
    /// dropped, so that only new ones count.
    fn forget(
        &mut self,
        pair: &ImagePair,
        cause: &'static str,
        effect: Option<ImageEffect>,
    ) -> Option<PairChange> {
        let known = self.pairs.remove(pair)?;
        if effect.is_none()
            && let Some(fit) = self.fit(pair)
        {
            let mean = f64::from(known.percent) / 100.0;
            fit.forget(&pair.beside, mean.ln_1p());
        }
        Some(PairChange {
            pair: pair.clone(),
            percent: known.percent,
            forgotten: Some(cause),
            effect,
        })
    }

    fn fit(&mut self, pair: &ImagePair) -> Option<&mut SlowdownFit> {
        let key = (Arc::clone(&pair.slowed), pair.measure);
        self.fits.get_mut(&key)
    }

    /// Collects anew which images are kept apart.
    fn rebuild(&mut self) {
        self.apart.clear();
        for ImagePair { slowed, beside, .. } in self.pairs.keys() {
            for (a, b) in [(slowed, beside), (beside, slowed)] {
                let others = self.apart.entry(Arc::clone(a)).or_default();
                others.insert(Arc::clone(b));
            }
        }
    }

    /// Returns whether a worker has no runs of images that slow the given one down or that it slows
    /// down.
    pub(crate) fn suits(&self, image: Option<&Name>, worker: &Name) -> bool {
        let others = image.and_then(|image| self.apart.get(image));
        others.is_none_or(|others| !self.colocation.has_any(worker, |i| others.contains(i)))
    }

    /// Returns the number of pairs that are kept apart.
    pub(crate) fn pair_count(&self) -> usize {
        self.pairs.len()
    }

    /// Returns the pairs in their stored form, as of `at`.
    pub(crate) fn stored_pairs(&self, at: Timestamp) -> Vec<StoredSlowdown> {
        let pairs = self.pairs.iter().map(|(pair, known)| StoredSlowdown {
            slowed: Arc::clone(&pair.slowed),
            beside: Arc::clone(&pair.beside),
            is_tail: pair.measure == Measure::Tail,
            percent: known.percent,
            until: at.unix + known.until.saturating_duration_since(at.now),
        });
        pairs.collect()
    }

    /// Restores the pairs that an earlier owner stored and that have not expired. The clocks of two VMs
    /// differ little in comparison with [`HOLD`].
    pub(crate) fn restore(&mut self, at: Timestamp, stored: Vec<StoredSlowdown>) {
        for pair in stored.iter().take(MAX_PAIRS) {
            let remaining = pair.until.saturating_sub(at.unix).min(HOLD);
            if remaining.is_zero() {
                continue;
            }
            let measure = match pair.is_tail {
                true => Measure::Tail,
                false => Measure::RunTime,
            };
            let known = Slowdown {
                percent: pair.percent,
                until: at.now + remaining,
            };
            let pair = ImagePair {
                slowed: Arc::clone(&pair.slowed),
                measure,
                beside: Arc::clone(&pair.beside),
            };
            self.pairs.insert(pair, known);
        }
        self.record.restore(stored);
        self.rebuild();
    }
}

/// Returns by how much the certain part of a slowdown exceeds the one worth acting on; negative if the
/// samples don't suffice.
fn excess(effect: &ImageEffect) -> f64 {
    let suffices = effect.with >= MIN_SAMPLES
        && effect.without >= MIN_SAMPLES
        && effect.workers >= MIN_WORKERS;
    match suffices {
        true => effect.mean - LEARNING_ERRORS * effect.error - MIN_SLOWDOWN.ln(),
        false => f64::NEG_INFINITY,
    }
}

/// Returns whether the images of a known pair don't slow each other down any more.
fn is_refuted(effect: &ImageEffect) -> bool {
    let least = effect.mean - FORGETTING_ERRORS * effect.error;
    effect.with >= MIN_SAMPLES && least < FORGOTTEN_SLOWDOWN.ln()
}

/// Returns the slowdown in percent.
fn percent(effect: &ImageEffect) -> u32 {
    (effect.mean.exp_m1() * 100.0).round() as u32
}

impl Shard {
    fn step_of(&self, id: RunId) -> Option<&Step> {
        let job = self.jobs.get(&id.task.job)?;
        job.job.steps.get(usize::from(id.task.step))
    }

    /// Records that a run with an image executes. `whole` is whether its start was seen, and it begins
    /// its task from the start.
    pub(crate) fn record_execution(&mut self, now: Instant, worker: &Name, id: RunId, whole: bool) {
        let Some(step) = self.step_of(id).filter(|s| s.image.is_some()) else {
            return;
        };
        // A member of a gang waits for the others, and a best-effort task for idle processor time.
        let whole = whole && !step.gang && !step.best_effort && !step.long_running;
        let colocation = &mut self.image_slowdown.colocation;
        colocation.start(now, worker, id, whole);
    }

    /// Records that a run has ended, and learns from its run time if its task is `done`.
    pub(crate) fn record_end(&mut self, now: Instant, worker: &Name, id: RunId, done: bool) {
        let Some(estimate) = self.step_of(id).map(|s| s.estimate) else {
            return;
        };
        let slowdown = &mut self.image_slowdown;
        let company = slowdown.colocation.since_start(now, worker, id);
        if let Some((image, company)) = company.filter(|_| done) {
            slowdown.task_completed(now, &image, worker, estimate, &company);
        }
    }

    /// Learns from the tail latencies in a worker's latest report, which the runs on it hold. Called
    /// before throttling changes the processor shares, which the latencies don't show yet.
    pub(crate) fn record_tails(&mut self, now: Instant, worker_id: &Name) {
        if !self.image_slowdown.colocation.has_runs(worker_id) {
            return;
        }
        let runs = self.workers.get(worker_id).map(|w| &w.runs);
        let tails = runs.into_iter().flatten().filter_map(|&id| {
            let target = self.step_of(id)?.latency_target?.as_secs_f64() * 1_000.0;
            let run = self.run(id)?;
            let is_running = matches!(run.phase, Phase::Running { .. });
            let is_known = is_running && run.listed && run.metric > 0;
            is_known.then(|| (id, run.metric as f64 / target.max(1.0)))
        });
        let tails: Vec<(RunId, f64)> = tails.collect();
        let slowdown = &mut self.image_slowdown;
        for (id, ratio) in tails {
            let company = slowdown
                .colocation
                .since_last(now, worker_id, id, TAIL_INTERVAL);
            if let Some((image, company)) = company {
                slowdown.tail_reported(now, &image, worker_id, ratio, &company);
            }
        }
    }

    /// Records the processor shares of a worker's best-effort runs, after throttling may have changed
    /// them: a task that is stopped slows nothing down.
    pub(crate) fn record_shares(&mut self, now: Instant, worker_id: &Name) {
        if !self.image_slowdown.colocation.has_runs(worker_id) {
            return;
        }
        let runs = self.workers.get(worker_id).map(|w| &w.runs);
        let shares = runs.into_iter().flatten().filter_map(|&id| {
            self.step_of(id).filter(|s| s.best_effort)?;
            Some((id, f64::from(self.run(id)?.cpu_percent) / 100.0))
        });
        let shares: Vec<(RunId, f64)> = shares.collect();
        for (id, share) in shares {
            let colocation = &mut self.image_slowdown.colocation;
            colocation.set_share(now, worker_id, id, share);
        }
    }

    /// Learns and forgets which images slow each other down, and creates a record of that for the next
    /// batch if one is due.
    pub(crate) fn update_slowdowns(&mut self, at: Timestamp) {
        for change in self.image_slowdown.evaluate(at.now) {
            let event = match change.forgotten {
                None => "interference_learned",
                Some(_) => "interference_forgotten",
            };
            let pair = &change.pair;
            self.log_event(event, &pair.slowed, || {
                let (beside, measure) = (&pair.beside, pair.measure);
                let cause = change.forgotten.unwrap_or("slower");
                let percent = change.percent;
                let mut detail = format!(
                    "beside={beside} measure={measure:?} slowdown_percent={percent} cause={cause}"
                );
                if let Some(e) = &change.effect {
                    detail += &format!(
                        " effect={:.2} error={:.2} with={:.0} without={:.0} workers={:.1}",
                        e.mean, e.error, e.with, e.without, e.workers
                    );
                }
                detail
            });
        }
        let slowdown = &mut self.image_slowdown;
        if slowdown.record.is_due(at.now) {
            let pairs = slowdown.stored_pairs(at);
            slowdown.record.update(at.now, pairs);
        }
    }

    /// Returns the record to store before the shard is released, if the stored one is outdated.
    pub(crate) fn release_slowdowns(&mut self, at: Timestamp) -> Option<Record> {
        let pairs = self.image_slowdown.stored_pairs(at);
        let record = &mut self.image_slowdown.record;
        record.update(at.now, pairs);
        record.take_record()
    }

    /// Returns the number of pairs of images that placement keeps apart.
    pub fn interfering_pairs(&self) -> usize {
        self.image_slowdown.pair_count()
    }
}
