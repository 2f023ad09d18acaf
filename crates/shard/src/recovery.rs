//! Recovering the state of a shard from the records that its earlier owners stored.

use std::collections::BTreeMap;
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

/// The records of a job.
#[derive(Default)]
struct StoredJob {
    job: Option<Job>,
    progress: Option<JobProgress>,
    /// The task records, by the number of the part.
    parts: BTreeMap<u32, Vec<StoredTask>>,
}

impl Shard {
    /// Restores the jobs, the leases of silent workers and the pairs of images that are kept apart
    /// from the stored records. The owner task calls this once, before any other method. Whether the
    /// recovered runs still exist is known only after their workers were polled.
    pub fn restore(&mut self, at: Timestamp, records: Vec<StoredRecord>) {
        let mut jobs: HashMap<JobId, StoredJob> = HashMap::new();
        let (mut leases, mut restarts) = (BTreeMap::new(), BTreeMap::new());
        for record in records {
            match record {
                StoredRecord::Job(job) => {
                    let id = job.id;
                    jobs.entry(id).or_default().job = Some(*job);
                }
                StoredRecord::Progress(id, progress) => {
                    jobs.entry(id).or_default().progress = Some(progress);
                }
                StoredRecord::Tasks(id, part, tasks) => {
                    jobs.entry(id).or_default().parts.insert(part, tasks);
                }
                StoredRecord::Leases(stored) => leases = stored,
                StoredRecord::Restarts(stored) => restarts = stored,
                StoredRecord::Slowdowns(stored) => self.image_slowdown.restore(at, stored),
            }
        }
        for (id, stored) in jobs {
            let (Some(job), Some(progress)) = (stored.job, stored.progress) else {
                // These records of a job are always stored in one batch, so this is not expected.
                self.log_event("job_record_missing", id, || {
                    "cause=missing_record".to_owned()
                });
                continue;
            };
            self.restore_job(at, job, &progress, &stored.parts);
        }
        self.restore_restart_leases(restarts);
        self.restore_leases(leases);
    }

    fn restore_job(
        &mut self,
        at: Timestamp,
        job: Job,
        progress: &JobProgress,
        parts: &BTreeMap<u32, Vec<StoredTask>>,
    ) {
        let id = job.id;
        let age = at.unix.saturating_sub(progress.accepted_at);
        let accepted = at.now.checked_sub(age).unwrap_or(at.now);
        let mut tracked = TrackedJob::new(Arc::new(job), accepted, progress.accepted_at);
        tracked.state = progress.state;
        tracked.stored_state = progress.state;
        tracked.persisted = true;
        tracked.restore_finished(&progress.finished);
        tracked.stored_parts = parts.keys().map(|&part| (part, 0)).collect();
        tracked.finished_at = progress.finished_at.map(|unix| {
            let elapsed: Duration = at.unix.saturating_sub(unix);
            (at.now.checked_sub(elapsed).unwrap_or(at.now), unix)
        });
        let is_final = progress.state.is_final();
        if !is_final {
            self.unfinished.insert(id);
        }
        self.insert_job(id, tracked);
        for task in progress.tasks.iter().chain(parts.values().flatten()) {
            self.restore_task(at, id, task);
        }
        self.count_memory(id);
        let free = self.free_job_memory();
        if let Some(tracked) = self.jobs.get_mut(&id) {
            tracked.create_due_tasks(at.unix, free, &mut self.placement);
            self.due.extend(tracked.next_due().map(|due| (due, id)));
        }
        self.count_memory(id);
        self.count_job(at.now, id);
        self.update_waiting(id);
        // Runs of a job in a final state may still be executing.
        if is_final {
            for run in self.runs_of(id) {
                self.request_stop(run);
            }
            self.drop_tasks(id);
            self.compact(id);
        }
    }

    fn restore_task(&mut self, at: Timestamp, id: JobId, stored: &StoredTask) {
        let task_id = TaskId {
            job: id,
            occurrence: stored.occurrence,
            step: stored.step,
            index: stored.index,
        };
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        if tracked.is_finished(stored.occurrence) {
            if stored.runs.is_empty() {
                // The record of the tasks is older than that of the finished occurrences.
                return;
            }
            tracked.create_finished(stored.occurrence);
        }
        tracked.create_occurrence(stored.occurrence, &mut self.placement);
        if stored.done {
            tracked.mark_done(task_id, &mut self.placement);
        }
        let Some(task) = tracked.task_mut(task_id) else {
            return;
        };
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
                    listed: false,
                    phase: Phase::Recovered,
                    since: at.now,
                    token: 0,
                    progress: 0,
                    metric: 0,
                    cpu_percent: 100,
                    stop_requested: stored.done,
                },
            );
        }
    }
}
