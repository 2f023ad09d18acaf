//! The folded jobs of a zone.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use lavenderhollow_types::Incarnation;
use lavenderhollow_types::JobId;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;

use super::change::JobChange;
use super::change::JobRejection;
use super::index::Index;
use super::job::Attempt;
use super::job::Job;
use super::job::JobSpec;
use super::job::Stage;
use super::job::job_time;
use crate::fold::Context;
use crate::fold::Effect;
use crate::fold::State;
use crate::once::CLAIM_WINDOW;
use crate::once::LOG_AHEAD;
use crate::once::to_millis;

/// The largest request body or result of a durable job, in bytes.
pub const MAX_RESULT: usize = 16 * 1024;
/// How long a finished job is kept after its end.
pub const FINISHED_RETENTION: Duration = Duration::from_secs(3600);
/// The longest lease that counts. It bounds how long a wrong clock of an owner delays a takeover.
pub const MAX_LEASE: Duration = Duration::from_secs(3600);
/// How long after a lease's end a job can be taken over. It covers the difference between the
/// clocks of the log and of the worker. A larger difference can make an idempotent job run twice
/// at once; a job that is not idempotent is never started again.
pub const LEASE_MARGIN: Duration = Duration::from_secs(5);

/// All jobs are one subject, because a job that is dropped by age would leave its version in the
/// fold. Stage, owner and attempt decide which change wins.
const SUBJECT: &str = "jobs";

/// The durable jobs of a zone.
///
/// A job that is dropped can't be submitted again: it is kept until its id, which carries its time,
/// is refused by the same log time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "Folded")]
pub struct Jobs {
    folded: Folded,
    index: Index,
}

impl Serialize for Jobs {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.folded.serialize(serializer)
    }
}

#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Folded {
    jobs: BTreeMap<JobId, Job>,
    /// The greatest log time of an accepted change.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    latest: SystemTime,
}

impl From<Folded> for Jobs {
    fn from(folded: Folded) -> Self {
        let mut index = Index::default();
        for (id, job) in &folded.jobs {
            index.insert(*id, job);
        }
        Self { folded, index }
    }
}

impl Default for Jobs {
    fn default() -> Self {
        Self::from(Folded {
            jobs: BTreeMap::new(),
            latest: SystemTime::UNIX_EPOCH,
        })
    }
}

impl Jobs {
    /// Returns a job.
    pub fn get(&self, job: JobId) -> Option<&Job> {
        self.folded.jobs.get(&job)
    }

    /// Returns the number of jobs, finished ones included.
    pub fn len(&self) -> usize {
        self.folded.jobs.len()
    }

    /// Tells whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.folded.jobs.is_empty()
    }

    /// Returns the next job that `owner` should start: urgent ones first, then by deadline.
    pub fn next(&self, owner: Incarnation) -> Option<JobId> {
        self.waiting(owner).next()
    }

    /// Lists the waiting jobs of `owner` in the order in which they should start.
    pub fn waiting(&self, owner: Incarnation) -> impl Iterator<Item = JobId> {
        self.index.waiting(owner)
    }

    /// Lists the unfinished jobs of `owner`, to be taken over when it is gone.
    pub fn owned(&self, owner: Incarnation) -> impl Iterator<Item = JobId> {
        self.index.owned(owner)
    }

    /// Lists the owners of unfinished jobs.
    pub fn owners(&self) -> impl Iterator<Item = Incarnation> {
        self.index.owners()
    }

    /// Lists the running jobs whose lease has lapsed by the log's time `now`.
    pub fn lapsed(&self, now: SystemTime) -> impl Iterator<Item = JobId> {
        self.index.lapsed(now, LEASE_MARGIN)
    }

    fn submit(&self, cx: &Context, id: JobId, spec: &JobSpec) -> Result<Job, JobRejection> {
        if self.folded.jobs.contains_key(&id) {
            return Err(JobRejection::Exists);
        }
        let time = job_time(id).ok_or(JobRejection::BadId)?;
        let now = self.now(cx);
        if time + CLAIM_WINDOW < now || time > now + LOG_AHEAD {
            return Err(JobRejection::BadId);
        }
        if spec.body.as_ref().len() > MAX_RESULT {
            return Err(JobRejection::TooLarge);
        }
        Ok(Job {
            spec: spec.clone(),
            owner: cx.actor,
            attempts: 0,
            doubt: false,
            cancelled: false,
            stage: Stage::Waiting,
        })
    }

    fn changed(&self, cx: &Context, change: &JobChange) -> Result<Job, JobRejection> {
        if let JobChange::Submit { job, spec } = change {
            return self.submit(cx, *job, spec);
        }
        let now = self.now(cx);
        let mut job = self.get(change.job()).ok_or(JobRejection::Unknown)?.clone();
        let anyone = matches!(
            change,
            JobChange::Cancel { .. } | JobChange::TakeOver { .. }
        );
        if !anyone && job.owner != cx.actor {
            return Err(JobRejection::NotOwner);
        }
        match change {
            JobChange::Submit { .. } => return Err(JobRejection::Exists),
            JobChange::Start {
                attempt,
                worker,
                lease_end,
                ..
            } => {
                let lapse = to_millis(*lease_end).clamp(now, now + MAX_LEASE);
                job.start(Attempt {
                    id: *attempt,
                    worker: worker.clone(),
                    lapse,
                })?;
            }
            JobChange::Return { attempt, doubt, .. } => job.put_back(*attempt, *doubt, now)?,
            JobChange::Finish {
                attempt, outcome, ..
            } => job.finish(*attempt, outcome, now)?,
            JobChange::Cancel { .. } => job.cancel(now)?,
            JobChange::TakeOver { attempt, .. } => job.take_over(cx.actor, *attempt, now)?,
        }
        Ok(job)
    }

    fn now(&self, cx: &Context) -> SystemTime {
        self.folded.latest.max(to_millis(cx.position.time))
    }

    fn put(&mut self, id: JobId, job: Job) {
        if let Some(old) = self.folded.jobs.get(&id) {
            self.index.remove(id, old);
        }
        self.index.insert(id, &job);
        self.folded.jobs.insert(id, job);
    }

    fn drop_finished(&mut self, now: SystemTime) {
        self.folded.latest = now;
        while let Some(id) = self.index.first_expired(now) {
            if let Some(job) = self.folded.jobs.remove(&id) {
                self.index.remove(id, &job);
            }
        }
    }
}

impl State for Jobs {
    type Change = JobChange;
    type Rejection = JobRejection;

    fn subject(_: &JobChange) -> String {
        SUBJECT.into()
    }

    fn apply(&mut self, cx: &Context, change: &JobChange) -> Result<Effect, JobRejection> {
        let job = self.changed(cx, change)?;
        let now = self.now(cx);
        self.put(change.job(), job);
        self.drop_finished(now);
        Ok(Effect::Changed)
    }
}
