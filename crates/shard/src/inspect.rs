//! Views of a shard's jobs and workers, with which tests check the sums that the shard keeps.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use crate::job::Resources;
use crate::records::JobProgress;
use crate::shard::Shard;
use crate::worker::Worker;
use crate::worker::WorkerInfo;

/// A job that is not final.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The job as it was submitted.
    pub job: Arc<Job>,
    /// The progress as it is stored next.
    pub progress: JobProgress,
    /// The number of occurrences that have begun and have not finished.
    pub occurrences: u32,
    /// The time since the job was accepted.
    pub age: Duration,
    /// Whether the job was over its team's share when it was submitted.
    pub over_share: bool,
}

/// A worker, as placement sees it.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The latest registration.
    pub info: WorkerInfo,
    /// The resources allocated to tasks.
    pub used: Resources,
    /// The part of `used` that is allocated to long-running tasks, summed over the runs.
    pub long_running: Resources,
    /// Whether tasks may be placed on the worker.
    pub schedulable: bool,
    /// Whether the worker is in an evacuated zone.
    pub evacuated: bool,
}

impl Shard {
    /// Returns the jobs that are not final.
    pub fn job_views(&self, now: Instant) -> Vec<JobView> {
        let jobs = self.unfinished.iter().filter_map(|id| self.jobs.get(id));
        let views = jobs.map(|j| JobView {
            job: Arc::clone(&j.job),
            progress: j.progress(),
            occurrences: u32::try_from(j.open_occurrences()).unwrap_or(u32::MAX),
            age: now.saturating_duration_since(j.accepted_at),
            over_share: j.over_share,
        });
        views.collect()
    }

    /// Returns the workers in the order of their ids.
    pub fn worker_views(&self, now: Instant) -> Vec<WorkerView> {
        let views = self.workers.values().map(|w| WorkerView {
            info: w.info.clone(),
            used: w.used,
            long_running: self.sum_long_running(w),
            schedulable: w.is_schedulable(now),
            evacuated: w.evacuated,
        });
        views.collect()
    }

    /// Returns what is allocated to the long-running tasks of a worker.
    fn sum_long_running(&self, worker: &Worker) -> Resources {
        let mut sum = Resources::default();
        for run in worker.runs.iter().filter(|run| self.is_long_running(**run)) {
            sum.add(self.allocation_of(run.task));
        }
        sum
    }
}
