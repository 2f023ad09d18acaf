//! Withdraws submissions that are in no batch yet, while the store does not respond.
//!
//! None of their records has been sent to the store and no start request to a worker, so that the
//! jobs are removed without a trace. The same jobs may be submitted again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;
use std::time::Instant;

use crate::job::JobId;
use crate::job::JobState;
use crate::shard::Effect;
use crate::shard::RequestId;
use crate::shard::Shard;

/// The jobs whose records are in no batch yet, with the requests that wait for their storage.
pub(crate) type UnsentJobs = BTreeMap<JobId, Vec<RequestId>>;

impl Shard {
    /// Removes the jobs that are in no batch yet, as if they had never been submitted, and returns the
    /// requests that were waiting for their storage. These requests get no [`Effect::Respond`]. `cause`
    /// goes to the log.
    ///
    /// A job that was cancelled meanwhile stays, since its runs may be stopping.
    pub fn withdraw_unsent(&mut self, now: Instant, cause: &'static str) -> Vec<RequestId> {
        let unsent = mem::take(&mut self.unsent);
        let jobs: BTreeSet<JobId> = unsent.keys().copied().collect();
        if jobs.is_empty() {
            return Vec::new();
        }
        for &id in &jobs {
            self.withdraw(now, id);
            self.log_event("job_withdrawn", id, || format!("cause={cause}"));
        }
        let requests: BTreeSet<RequestId> = unsent.into_values().flatten().collect();
        self.due.retain(|(_, id)| !jobs.contains(id));
        self.retain_deferred(|effect| match effect {
            Effect::Respond(request, _) => !requests.contains(request),
            Effect::Start(_, start) => !jobs.contains(&start.run.task.job),
            _ => true,
        });
        requests.into_iter().collect()
    }

    /// Removes a job that is in no batch yet from everything that counts it.
    fn withdraw(&mut self, now: Instant, id: JobId) {
        for run in self.runs_of(id) {
            self.remove_run(run);
        }
        self.arrivals.remove(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // A final job adds nothing to the load of its pool.
        job.state = JobState::Cancelled;
        if let Some(team) = job.job.team.as_ref().filter(|_| !job.over_share) {
            self.share_limiter.refund(team);
        }
        self.count_job(now, id);
        self.drop_tickets(id);
        self.unfinished.remove(&id);
        self.remove_job(id);
        self.forget_changes(id);
        self.update_waiting(id);
    }
}
