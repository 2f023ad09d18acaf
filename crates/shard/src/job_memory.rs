//! An estimate of the memory that the jobs of a shard take.
//!
//! It counts what callers can make large: the names and payloads of jobs, and their tasks. An owner
//! rejects jobs that would take more memory than its machine has.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::job::Job;
use crate::job::JobId;
use crate::job::Name;
use crate::records::StoredRecord;
use crate::shard::Shard;

/// The memory of an unfinished job beside its names, payload and tasks, in bytes: its state and its
/// places in the sets and maps of the shard. A job of one task was measured to take 3,486 bytes, of which
/// 728 are its [`Job::approximate_size`].
const JOB_BYTES: usize = 2_560;

/// An estimate of the memory of a finished job, in bytes: its entry in a map that is half full.
const FINISHED_BYTES: usize = 160;

/// An estimate of the memory of a task with a run, in bytes. A task without one was measured to take 95.
pub(crate) const TASK_BYTES: usize = 256;

/// The memory that the jobs of a shard take, in bytes, by the team that submitted them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobMemory {
    total: usize,
    teams: BTreeMap<Option<Name>, usize>,
}

impl JobMemory {
    /// Returns the memory that a submitted job takes, in bytes. It includes the tasks of one
    /// occurrence.
    pub fn of_job(job: &Job) -> usize {
        let tasks: usize = job.steps.iter().map(|s| s.count as usize).sum();
        Self::of_tasks(job.approximate_size(), tasks)
    }

    /// Returns the memory of an unfinished job with the given size and number of tasks, in bytes.
    pub(crate) fn of_tasks(size: usize, tasks: usize) -> usize {
        JOB_BYTES + size + tasks.saturating_mul(TASK_BYTES)
    }

    /// Returns the memory that the jobs of stored records take once they are restored, in bytes.
    pub fn of_records(records: &[StoredRecord]) -> usize {
        let mut jobs: HashMap<JobId, (usize, bool)> = HashMap::new();
        for record in records {
            match record {
                StoredRecord::Job(job) => {
                    jobs.entry(job.id).or_default().0 = Self::of_job(job);
                }
                StoredRecord::Progress(id, progress) => {
                    jobs.entry(*id).or_default().1 = progress.state.is_final();
                }
                _ => {}
            }
        }
        let bytes = jobs.into_values().map(|(bytes, is_final)| match is_final {
            true => FINISHED_BYTES,
            false => bytes,
        });
        bytes.sum()
    }

    /// Returns the memory of all jobs, in bytes.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the memory of the jobs of a team, or of anonymous callers, in bytes.
    pub fn of_team(&self, team: Option<&Name>) -> usize {
        self.teams.get(&team.cloned()).copied().unwrap_or_default()
    }

    /// Adds bytes of a team, or of anonymous callers.
    pub fn add(&mut self, team: Option<Name>, bytes: usize) {
        self.replace(team, 0, bytes);
    }

    /// Counts `after` bytes of a team in place of `before`.
    fn replace(&mut self, team: Option<Name>, before: usize, after: usize) {
        self.total = (self.total + after).saturating_sub(before);
        let used = self.teams.entry(team).or_default();
        *used = (*used + after).saturating_sub(before);
        if *used == 0 {
            self.teams.retain(|_, used| *used > 0);
        }
    }
}

impl Shard {
    /// Returns the memory that the jobs of the shard take.
    pub fn job_memory(&self) -> &JobMemory {
        &self.job_memory
    }

    /// Sets the most memory that the jobs may take, in bytes. Beyond it, the occurrences of a repeated
    /// job begin one after the other. [`Shard::submit`] accepts jobs all the same.
    pub fn set_job_memory_limit(&mut self, limit: usize) {
        self.job_memory_limit = limit;
    }

    /// Returns the memory that is left for further occurrences of jobs, in bytes.
    pub(crate) fn free_job_memory(&self) -> usize {
        self.job_memory_limit
            .saturating_sub(self.job_memory.total())
    }

    /// Counts the memory of a job anew, after it was added or its tasks were created or dropped.
    pub(crate) fn count_memory(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let bytes = job.memory();
        let before = std::mem::replace(&mut job.counted_bytes, bytes);
        if before != bytes {
            self.job_memory.replace(job.job.team.clone(), before, bytes);
        }
    }

    /// Removes what is counted for a job, which was taken out of the shard.
    pub(crate) fn forget_memory(&mut self, team: Option<Name>, bytes: usize) {
        self.job_memory.replace(team, bytes, 0);
    }

    /// Counts the memory of a finished job of a team.
    pub(crate) fn count_finished_memory(&mut self, team: Option<Name>) {
        self.job_memory.add(team, FINISHED_BYTES);
    }

    /// Removes what is counted for a finished job of a team.
    pub(crate) fn forget_finished_memory(&mut self, team: Option<Name>) {
        self.job_memory.replace(team, FINISHED_BYTES, 0);
    }
}
