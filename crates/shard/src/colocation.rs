//! Which images run on which workers, and for which share of its time a run had other images beside it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::Name;
use crate::worker::RunId;

/// The number of images that are followed on a worker, those that run there and those that ran there
/// lately. A worker runs some dozen tasks at once.
const MAX_IMAGES: usize = 64;

/// The share of the time below which an image does not count as having run beside a run.
const MIN_SHARE: f64 = 0.01;

/// The time for which an image has run on a worker.
#[derive(Debug)]
struct Presence {
    image: Name,
    /// The number of runs that are placed on the worker, executing or not.
    placed: u32,
    /// The executing runs with their processor shares, which are below one for throttled runs.
    executing: Vec<(RunId, f64)>,
    /// The time up to which the sums below count.
    at: Instant,
    /// For how many seconds at least one run has executed, times its processor share.
    one: f64,
    /// For how many seconds at least two runs have executed, times the second largest share.
    two: f64,
}

impl Presence {
    fn new(image: &Name, at: Instant) -> Self {
        Self {
            image: Arc::clone(image),
            placed: 0,
            executing: Vec::new(),
            at,
            one: 0.0,
            two: 0.0,
        }
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let (mut first, mut second) = (0.0f64, 0.0f64);
        for &(_, share) in &self.executing {
            second = second.max(share.min(first));
            first = first.max(share);
        }
        self.one += first * elapsed;
        self.two += second * elapsed;
        self.at = self.at.max(now);
    }

    /// Returns for how many seconds runs of the image have executed beside a run of `image`.
    fn beside(&self, image: &Name) -> f64 {
        match self.image == *image {
            true => self.two,
            false => self.one,
        }
    }
}

/// A time from which on the images beside a run are counted.
#[derive(Debug)]
struct Mark {
    at: Instant,
    /// The seconds of each image at that time, as [`Presence::beside`] returns them.
    seconds: Vec<(Name, f64)>,
}

/// A run that is placed on a worker.
#[derive(Debug)]
struct PlacedRun {
    image: Name,
    /// The start of the run; absent until it executes.
    start: Option<Mark>,
    /// The last time at which [`Colocation::since_last`] was asked for the run.
    last: Option<Mark>,
    /// Whether the time from the start to the end of the run will be that of the whole task.
    whole: bool,
}

/// The images on a worker.
#[derive(Debug, Default)]
struct WorkerImages {
    images: Vec<Presence>,
    runs: BTreeMap<RunId, PlacedRun>,
}

impl WorkerImages {
    fn presence(&mut self, image: &Name) -> Option<&mut Presence> {
        self.images.iter_mut().find(|p| p.image == *image)
    }

    /// Adds the image of placed runs, in place of the one that has not run for the longest time if there
    /// are too many.
    fn add_image(&mut self, image: &Name, at: Instant) {
        if self.images.len() >= MAX_IMAGES {
            let unused = self.images.iter().enumerate();
            let unused = unused.filter(|(_, p)| p.placed == 0);
            let Some((oldest, _)) = unused.min_by_key(|(_, p)| p.at) else {
                return;
            };
            self.images.swap_remove(oldest);
        }
        // Earlier runs of the image may have been placed while there were too many.
        let runs = self.runs.values().filter(|r| r.image == *image);
        let mut presence = Presence::new(image, at);
        presence.placed = u32::try_from(runs.count()).unwrap_or(u32::MAX);
        self.images.push(presence);
    }

    fn mark(&self, image: &Name, at: Instant) -> Mark {
        let seconds = self.images.iter();
        let seconds = seconds.map(|p| (Arc::clone(&p.image), p.beside(image)));
        Mark {
            at,
            seconds: seconds.collect(),
        }
    }

    /// Returns what ran beside a run of `image` since `mark`.
    fn since(&self, image: &Name, mark: &Mark, now: Instant) -> Company {
        let elapsed = now.saturating_duration_since(mark.at);
        let seconds = elapsed.as_secs_f64().max(0.001);
        let shares = self.images.iter().map(|p| {
            let before = mark.seconds.iter().find(|(image, _)| *image == p.image);
            let (sum, before) = (p.beside(image), before.map_or(0.0, |(_, s)| *s));
            // An image that was dropped and added again counts from zero.
            let beside = if sum >= before { sum - before } else { sum };
            (Arc::clone(&p.image), (beside / seconds).min(1.0))
        });
        Company {
            elapsed,
            shares: shares.filter(|(_, share)| *share >= MIN_SHARE).collect(),
        }
    }

    fn advance(&mut self, now: Instant) {
        for presence in &mut self.images {
            // The others keep the time at which they last ran.
            if !presence.executing.is_empty() {
                presence.advance(now);
            }
        }
    }
}

/// What ran beside a run in a period.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Company {
    /// The length of the period.
    pub(crate) elapsed: Duration,
    /// For which share of it each image ran beside the run, above zero and at most one.
    pub(crate) shares: Vec<(Name, f64)>,
}

/// The images on all workers.
#[derive(Debug, Default)]
pub(crate) struct Colocation {
    workers: BTreeMap<Name, WorkerImages>,
}

impl Colocation {
    /// Adds a run of an image that is placed on a worker, and does not execute yet.
    pub(crate) fn place(&mut self, now: Instant, worker: &Name, run: RunId, image: &Name) {
        let images = self.workers.entry(Arc::clone(worker)).or_default();
        if images.runs.contains_key(&run) {
            return;
        }
        let placed = PlacedRun {
            image: Arc::clone(image),
            start: None,
            last: None,
            whole: false,
        };
        images.runs.insert(run, placed);
        if let Some(presence) = images.presence(image) {
            presence.placed += 1;
        } else {
            images.add_image(image, now);
        }
    }

    /// Records that a run executes from now on, unless it is known to. `whole` is whether the time
    /// until its end will be that of the whole task.
    pub(crate) fn start(&mut self, now: Instant, worker: &Name, run: RunId, whole: bool) {
        let Some(images) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(placed) = images.runs.get(&run).filter(|r| r.start.is_none()) else {
            return;
        };
        let image = Arc::clone(&placed.image);
        images.advance(now);
        if let Some(presence) = images.presence(&image) {
            presence.at = presence.at.max(now);
            presence.executing.push((run, 1.0));
        }
        let mark = images.mark(&image, now);
        if let Some(placed) = images.runs.get_mut(&run) {
            placed.start = Some(mark);
            placed.whole = whole;
        }
    }

    /// Sets the processor share of a run, at most one.
    pub(crate) fn set_share(&mut self, now: Instant, worker: &Name, run: RunId, share: f64) {
        let Some(images) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(image) = images.runs.get(&run).map(|r| Arc::clone(&r.image)) else {
            return;
        };
        let Some(presence) = images.presence(&image) else {
            return;
        };
        presence.advance(now);
        let mut executing = presence.executing.iter_mut();
        if let Some(executing) = executing.find(|(id, _)| *id == run) {
            executing.1 = share.clamp(0.0, 1.0);
        }
    }

    /// Removes a run from its worker. It counts as having executed until the last call with a time for
    /// the worker.
    pub(crate) fn remove(&mut self, worker: &Name, run: RunId) {
        let Some(images) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(placed) = images.runs.remove(&run) else {
            return;
        };
        if images.runs.is_empty() {
            self.workers.remove(worker);
            return;
        }
        if let Some(presence) = images.presence(&placed.image) {
            presence.placed = presence.placed.saturating_sub(1);
            presence.executing.retain(|(id, _)| *id != run);
        }
    }

    /// Records that the time at which a run started is not known well enough.
    pub(crate) fn distrust(&mut self, worker: &Name, run: RunId) {
        let images = self.workers.get_mut(worker);
        if let Some(placed) = images.and_then(|images| images.runs.get_mut(&run)) {
            placed.whole = false;
        }
    }

    /// Records that the ends of all runs that now are on a worker may become known late.
    pub(crate) fn distrust_all(&mut self, worker: &Name) {
        let images = self.workers.get_mut(worker);
        for placed in images.into_iter().flat_map(|i| i.runs.values_mut()) {
            placed.whole = false;
            placed.last = None;
        }
    }

    /// Returns what ran beside a run since its start, with its image; `None` if its start isn't known
    /// well enough.
    pub(crate) fn since_start(
        &mut self,
        now: Instant,
        worker: &Name,
        run: RunId,
    ) -> Option<(Name, Company)> {
        let images = self.workers.get_mut(worker)?;
        images.advance(now);
        let placed = images.runs.get(&run).filter(|r| r.whole)?;
        let company = images.since(&placed.image, placed.start.as_ref()?, now);
        Some((Arc::clone(&placed.image), company))
    }

    /// Returns what ran beside a run since the last call, with its image; `None` if that was less than
    /// `min` ago or there was none.
    pub(crate) fn since_last(
        &mut self,
        now: Instant,
        worker: &Name,
        run: RunId,
        min: Duration,
    ) -> Option<(Name, Company)> {
        let images = self.workers.get_mut(worker)?;
        let placed = images.runs.get(&run).filter(|r| r.start.is_some())?;
        let is_recent = |mark: &Mark| now.saturating_duration_since(mark.at) < min;
        if placed.last.as_ref().is_some_and(is_recent) {
            return None;
        }
        images.advance(now);
        let placed = images.runs.get(&run)?;
        let last = placed.last.as_ref();
        let company = last.map(|last| images.since(&placed.image, last, now));
        let image = Arc::clone(&placed.image);
        let mark = images.mark(&image, now);
        images.runs.get_mut(&run)?.last = Some(mark);
        Some((image, company?))
    }

    /// Returns whether runs of any of these images are placed on a worker.
    pub(crate) fn has_any(&self, worker: &Name, is_one: impl Fn(&Name) -> bool) -> bool {
        let images = self.workers.get(worker);
        let mut images = images.into_iter().flat_map(|i| &i.images);
        images.any(|p| p.placed > 0 && is_one(&p.image))
    }

    /// Returns whether runs with images are placed on a worker.
    pub(crate) fn has_runs(&self, worker: &Name) -> bool {
        self.workers.contains_key(worker)
    }
}
