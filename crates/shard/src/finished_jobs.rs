//! What a shard keeps of jobs that have finished: callers ask for their states for a while.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::job::JobId;
use crate::job::JobState;
use crate::job::Name;
use crate::shard::Shard;
use crate::tracked_job::TrackedJob;

/// A job whose final state is stored and of which nothing runs.
#[derive(Clone, Debug)]
pub(crate) struct FinishedJob {
    pub(crate) state: JobState,
    finished_at: Instant,
    queue: Name,
    team: Option<Name>,
}

/// The finished jobs, by their ids.
#[derive(Debug, Default)]
pub(crate) struct FinishedJobs {
    jobs: HashMap<JobId, FinishedJob>,
}

impl FinishedJobs {
    pub(crate) fn get(&self, id: JobId) -> Option<&FinishedJob> {
        self.jobs.get(&id)
    }

    /// Returns the jobs that finished more than `retention` ago.
    fn expired(&self, now: Instant, retention: Duration) -> Vec<JobId> {
        let is_expired =
            |job: &FinishedJob| now.saturating_duration_since(job.finished_at) > retention;
        let expired = self.jobs.iter().filter(|(_, job)| is_expired(job));
        expired.map(|(&id, _)| id).collect()
    }
}

impl TrackedJob {
    /// Returns what is kept of the job once it has finished, `None` while more of it is needed: to
    /// stop its runs or to store its final state.
    fn to_finished(&self) -> Option<FinishedJob> {
        let is_stored = self.persisted && self.stored_state == self.state;
        let is_settled = self.occurrences.is_empty() && self.stored_parts.is_empty();
        let (finished_at, _) = self.finished_at?;
        (self.state.is_final() && is_stored && is_settled).then(|| FinishedJob {
            state: self.state,
            finished_at,
            queue: Name::clone(&self.job.queue.name),
            team: self.job.team.clone(),
        })
    }
}

impl Shard {
    /// Keeps only the states of the jobs that have finished, and removes those whose retention has
    /// ended. It runs only now and then, since it iterates over all jobs.
    pub(crate) fn collect_finished(&mut self, now: Instant) {
        let dirty = &self.dirty;
        let settled = self.jobs.iter().filter(|(id, _)| !dirty.contains(id));
        let settled = settled.filter_map(|(&id, job)| Some((id, job.to_finished()?)));
        let settled: Vec<(JobId, FinishedJob)> = settled.collect();
        for (id, finished) in settled {
            self.keep_finished(id, finished);
        }
        for id in self.finished.expired(now, self.timings.retention) {
            if let Some(job) = self.finished.jobs.remove(&id) {
                self.forget_finished_memory(job.team);
                self.forget_queue_job(&job.queue);
                self.add_tombstones(id);
            }
        }
    }

    /// Keeps only the state of a job if it has finished.
    pub(crate) fn compact(&mut self, id: JobId) {
        let finished = self.jobs.get(&id).and_then(TrackedJob::to_finished);
        if let Some(finished) = finished {
            self.keep_finished(id, finished);
        }
    }

    fn keep_finished(&mut self, id: JobId, mut finished: FinishedJob) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.forget_memory(job.job.team.clone(), job.counted_bytes);
        self.count_finished_memory(finished.team.clone());
        // The names of a job that came from another process are copies of their own.
        if let Some((queue, _)) = self.queue_jobs.get_key_value(&finished.queue) {
            finished.queue = Name::clone(queue);
        }
        self.finished.jobs.insert(id, finished);
    }
}
