//! Taking a shard over from what its earlier owners stored.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::job::Job;
use crate::job::JobId;
use crate::job::TaskId;
use crate::records::JobProgress;
use crate::records::StoredRecord;
use crate::records::StoredTask;
use crate::shard::Shard;
use crate::shard::Timestamp;
use crate::tracked_job::Phase;
use crate::tracked_job::Run;
use crate::tracked_job::TrackedJob;

impl Shard {
    /// Rebuilds the jobs from the stored records.
    pub fn restore(&mut self, at: Timestamp, records: Vec<StoredRecord>) {
        let mut jobs: HashMap<JobId, (Option<Job>, Option<JobProgress>)> = HashMap::new();
        for record in records {
            match record {
                StoredRecord::Job(job) => {
                    let id = job.id;
                    jobs.entry(id).or_default().0 = Some(*job);
                }
                StoredRecord::Progress(id, progress) => {
                    jobs.entry(id).or_default().1 = Some(progress);
                }
            }
        }
        for (id, (job, progress)) in jobs {
            let (Some(job), Some(progress)) = (job, progress) else {
                // A job and its progress are always stored together.
                self.log_event("incomplete_job", id, || "cause=missing_record".to_owned());
                continue;
            };
            self.restore_job(at, job, &progress);
        }
    }

    fn restore_job(&mut self, at: Timestamp, job: Job, progress: &JobProgress) {
        let id = job.id;
        let age = at.unix.saturating_sub(progress.accepted_at);
        let accepted = at.now.checked_sub(age).unwrap_or(at.now);
        let mut active = TrackedJob::new(Arc::new(job), accepted, progress.accepted_at);
        active.state = progress.state;
        active.stored_state = progress.state;
        active.persisted = true;
        active.finished = progress.finished_at.map(|unix| {
            let since: Duration = at.unix.saturating_sub(unix);
            (at.now.checked_sub(since).unwrap_or(at.now), unix)
        });
        let is_final = progress.state.is_final();
        if !is_final {
            self.unfinished.insert(id);
        }
        self.jobs.insert(id, active);
        for task in &progress.tasks {
            self.restore_task(at, id, task);
        }
        if let Some(active) = self.jobs.get_mut(&id) {
            active.create_due_tasks(at.unix);
        }
        if is_final {
            for run in self.runs_of(id) {
                self.request_stop(run);
            }
        }
    }

    fn restore_task(&mut self, at: Timestamp, id: JobId, stored: &StoredTask) {
        let task_id = TaskId {
            job: id,
            occurrence: stored.occurrence,
            step: stored.step,
            index: stored.index,
        };
        let Some(active) = self.jobs.get_mut(&id) else {
            return;
        };
        active.occurrence_tasks(stored.occurrence);
        let Some(task) = active.task_mut(task_id) else {
            return;
        };
        task.done = stored.done;
        task.failures = stored.failures;
        task.last_run = stored.last_run;
        task.lost_runs.clone_from(&stored.lost_runs);
        for run in &stored.runs {
            self.add_run(
                task_id,
                Run {
                    number: run.number,
                    worker: Arc::clone(&run.worker),
                    incarnation: run.incarnation,
                    phase: Phase::Recovered,
                    since: at.now,
                    progress: 0,
                    metric: 0,
                    cpu_percent: 100,
                    stop_requested: false,
                },
            );
        }
    }
}
