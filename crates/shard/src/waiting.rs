//! What placement passes read of a job with waiting tasks. It is kept together, so that a job whose
//! tasks fit nowhere costs a pass little.

use crate::job::Job;
use crate::job::JobId;
use crate::job::Name;
use crate::job::Resources;
use crate::policy::StepId;
use crate::tracked_job::RankBasis;
use crate::tracked_job::TrackedJob;

/// A job with tasks that wait for a place.
#[derive(Debug)]
pub(crate) struct WaitingJob {
    pub(crate) basis: RankBasis,
    pub(crate) pool: Name,
    pub(crate) team: Option<Name>,
    /// The steps with waiting tasks.
    pub(crate) steps: Vec<WaitingStep>,
}

/// A step with tasks that wait for a place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingStep {
    pub(crate) occurrence: u32,
    /// The index of the step in the job.
    pub(crate) index: u16,
    /// The resources that each task requests.
    pub(crate) resources: Resources,
    /// See [`Step::allocation`](crate::job::Step::allocation).
    pub(crate) allocation: Resources,
    /// Whether a task that fits nowhere has no effect but to wait: the step is no gang and not
    /// long-running, and needs no tickets.
    pub(crate) only_waits: bool,
}

impl WaitingStep {
    /// Returns the id of the step in a job.
    pub(crate) fn id(&self, job: JobId) -> StepId {
        StepId {
            job,
            occurrence: self.occurrence,
            step: self.index,
        }
    }
}

impl WaitingJob {
    /// Returns the waiting part of a job, `None` if no task of it waits.
    pub(crate) fn of(tracked: &TrackedJob, needs_ticket: impl Fn(StepId) -> bool) -> Option<Self> {
        if tracked.state.is_final() || tracked.waiting.is_empty() {
            return None;
        }
        let job: &Job = &tracked.job;
        let steps = tracked.waiting.iter().filter_map(|&(occurrence, index)| {
            let step = job.steps.get(usize::from(index))?;
            let mut waiting_step = WaitingStep {
                occurrence,
                index,
                resources: step.resources,
                allocation: step.allocation(),
                only_waits: !step.gang && !step.long_running,
            };
            waiting_step.only_waits &= !needs_ticket(waiting_step.id(job.id));
            Some(waiting_step)
        });
        Some(Self {
            basis: tracked.rank_basis(),
            pool: Name::clone(&job.queue.pool),
            team: job.team.clone(),
            steps: steps.collect(),
        })
    }
}
