//! Zones that operators have evacuated. Their workers get no tasks, and starts that were placed there
//! before the evacuation was known are not sent. What already runs there continues.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::job::Job;
use crate::job::Name;
use crate::job::Resources;
use crate::job::Step;
use crate::policy::StepId;
use crate::shard::Effect;
use crate::shard::Shard;
use crate::shard::StartRequest;
use crate::worker::RunId;
use crate::worker::Worker;
use crate::worker::WorkerInfo;

/// The delay after which a caller may submit a job again that only evacuated zones have capacity for.
/// A machine from another zone takes two seconds to move to the pool.
pub(crate) const EVACUATION_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The evacuated zones, and what the shard has logged and withheld because of them.
#[derive(Debug, Default)]
pub(crate) struct Evacuation {
    zones: Arc<BTreeSet<Name>>,
    /// The number of registered workers in each evacuated zone, as it was logged last.
    logged: BTreeMap<Name, usize>,
    /// The starts that were withheld since [`Shard::take_withheld_starts`].
    withheld: u64,
}

impl Evacuation {
    /// Returns whether a worker is in an evacuated zone. A worker without a zone never is.
    pub(crate) fn includes(&self, worker: &WorkerInfo) -> bool {
        !worker.zone.is_empty() && self.zones.contains(&worker.zone)
    }
}

/// Why a stored start is not sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Obstacle {
    /// The worker is in an evacuated zone.
    #[display("evacuated")]
    Evacuated,
    /// The run was removed or is to be stopped, or the worker can't be granted a lease.
    #[display("run_ended_or_no_lease")]
    Other,
}

/// The start requests of a gang are identified by its step and by the number of their runs.
type GangRun = (StepId, u32);

fn gang_run(id: RunId) -> GangRun {
    (StepId::of(id.task), id.number)
}

impl Shard {
    /// Sets the zones whose workers get no tasks. Workers that join one of them later get none either.
    ///
    /// The caller sets them before it reports a batch with [`Shard::batch_stored`], which withholds the
    /// starts on workers of these zones.
    pub fn set_evacuated_zones(&mut self, zones: &Arc<BTreeSet<Name>>) {
        if self.evacuation.zones == *zones {
            return;
        }
        self.evacuation.zones = Arc::clone(zones);
        let is_changed = |w: &Worker| w.evacuated != self.evacuation.includes(&w.info);
        let changed = self.workers.iter().filter(|(_, w)| is_changed(w));
        let changed: Vec<Name> = changed.map(|(id, _)| Arc::clone(id)).collect();
        for id in changed {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.evacuated = !worker.evacuated;
            }
        }
        self.log_evacuated_workers();
    }

    /// Returns how many starts were withheld since the last call because of an evacuation.
    pub fn take_withheld_starts(&mut self) -> u64 {
        mem::take(&mut self.evacuation.withheld)
    }

    /// Logs how many registered workers each evacuated zone has, if that has changed.
    pub(crate) fn log_evacuated_workers(&mut self) {
        if self.evacuation.zones.is_empty() && self.evacuation.logged.is_empty() {
            return;
        }
        let mut affected: BTreeMap<Name, usize> = BTreeMap::new();
        let mut registered = 0;
        for worker in self.workers.values().filter(|w| w.registered) {
            registered += 1;
            if worker.evacuated {
                let zone = Arc::clone(&worker.info.zone);
                *affected.entry(zone).or_default() += 1;
            }
        }
        let earlier = mem::replace(&mut self.evacuation.logged, affected.clone());
        let zones: BTreeSet<&Name> = earlier.keys().chain(affected.keys()).collect();
        for zone in zones {
            let of = |counts: &BTreeMap<Name, usize>| counts.get(zone).copied().unwrap_or(0);
            let (workers, before) = (of(&affected), of(&earlier));
            if workers != before {
                self.log_event("evacuated_workers_changed", zone, || {
                    format!("workers={workers} before={before} registered={registered}")
                });
            }
        }
    }

    /// Sends the start requests among the effects of a stored batch, and releases the other effects.
    ///
    /// Of a gang all starts are sent or none: tasks that wait for the others fail.
    pub(crate) fn release_effects(&mut self, now: Instant, effects: Vec<Effect>) {
        let broken = self.broken_gangs(&effects);
        let mut withheld: Vec<RunId> = Vec::new();
        for effect in effects {
            let (worker, request) = match effect {
                Effect::Start(worker, request) => (worker, request),
                other => {
                    self.effects.push(other);
                    continue;
                }
            };
            let id = request.run;
            let gang_obstacle = broken.get(&gang_run(id)).copied();
            match gang_obstacle.or_else(|| self.start_obstacle(&worker, id)) {
                None => self.send_start(now, worker, request),
                Some(obstacle) => {
                    if obstacle == Obstacle::Evacuated {
                        withheld.push(id);
                    }
                    self.remove_run(id);
                }
            }
        }
        for ((step, number), obstacle) in broken {
            self.log_event("gang_withheld", step, || {
                format!("run={number} cause={obstacle}")
            });
        }
        if let Some(first) = withheld.first() {
            let starts = withheld.len();
            self.evacuation.withheld += starts as u64;
            self.log_event("starts_withheld", first.task, || {
                format!("run={} starts={starts} cause=evacuated", first.number)
            });
        }
    }

    /// Returns the gangs of which a start can't be sent, with the reason. An evacuation is the reason if
    /// it is one of several.
    fn broken_gangs(&self, effects: &[Effect]) -> BTreeMap<GangRun, Obstacle> {
        let mut broken = BTreeMap::new();
        for effect in effects {
            let Effect::Start(worker, StartRequest { run: id, .. }) = effect else {
                continue;
            };
            if !self.is_gang(*id) {
                continue;
            }
            match self.start_obstacle(worker, *id) {
                Some(Obstacle::Evacuated) => {
                    broken.insert(gang_run(*id), Obstacle::Evacuated);
                }
                Some(Obstacle::Other) => {
                    broken.entry(gang_run(*id)).or_insert(Obstacle::Other);
                }
                None => {}
            }
        }
        broken
    }

    fn is_gang(&self, id: RunId) -> bool {
        let job = self.jobs.get(&id.task.job);
        let step = job.and_then(|j| j.job.steps.get(usize::from(id.task.step)));
        step.is_some_and(|s| s.gang)
    }

    /// Returns why the stored start of a run can't be sent, `None` if it can.
    fn start_obstacle(&self, worker_id: &Name, id: RunId) -> Option<Obstacle> {
        let (Some(run), Some(worker)) = (self.run(id), self.workers.get(worker_id)) else {
            return Some(Obstacle::Other);
        };
        if run.stop_requested {
            return Some(Obstacle::Other);
        }
        if worker.evacuated {
            return Some(Obstacle::Evacuated);
        }
        let has_lease = worker.lease.has_clock() && !self.silent_leases.is_withheld(worker_id);
        (!has_lease).then_some(Obstacle::Other)
    }

    /// Returns whether a step of a job fits on the workers of its pool only if those in evacuated zones
    /// are counted, so that the job could not complete during the evacuation.
    pub(crate) fn needs_evacuated_zone(&self, job: &Job) -> bool {
        !self.evacuation.zones.is_empty()
            && job
                .steps
                .iter()
                .any(|step| self.step_needs_evacuated_zone(step, &job.queue.pool))
    }

    fn step_needs_evacuated_zone(&self, step: &Step, pool: &Name) -> bool {
        let needed = match step.gang {
            true => u64::from(step.count),
            false => 1,
        };
        let most = step.max_per_worker.map_or(u64::MAX, u64::from);
        let (mut inside, mut outside) = (0, 0);
        for worker in self.workers.values() {
            let info = &worker.info;
            let has_label = |label: &Name| info.labels.contains(label);
            // A worker that announced that it leaves gets no tasks any more.
            if info.pool != *pool
                || !worker.registered
                || info.draining
                || !step.required_label.as_ref().is_none_or(has_label)
            {
                continue;
            }
            let places = info
                .capacity
                .count_fitting(Resources::default(), step.allocation());
            match worker.evacuated {
                true => inside += places.min(most),
                false => outside += places.min(most),
            }
            if outside >= needed {
                return false;
            }
        }
        inside + outside >= needed
    }
}
