//! Orders of the jobs. Every change of one job costs a few set operations, so that cancellation
//! waves and takeovers never scan all jobs.

use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;
use std::time::SystemTime;

use lavenderhollow_types::Incarnation;
use lavenderhollow_types::JobId;

use super::job::Job;
use super::job::Stage;
use super::job::job_time;
use super::state::FINISHED_RETENTION;
use crate::once::CLAIM_WINDOW;

/// Waiting jobs of an owner: urgent first, then by deadline.
type Rank = (Incarnation, bool, SystemTime, JobId);

#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Index {
    waiting: BTreeSet<Rank>,
    owned: BTreeSet<(Incarnation, JobId)>,
    running: BTreeSet<(SystemTime, JobId)>,
    finished: BTreeSet<(SystemTime, JobId)>,
}

impl Index {
    pub(super) fn insert(&mut self, id: JobId, job: &Job) {
        match &job.stage {
            Stage::Waiting => {
                self.waiting.insert(rank(id, job));
                self.owned.insert((job.owner, id));
            }
            Stage::Running(attempt) => {
                self.running.insert((attempt.lapse, id));
                self.owned.insert((job.owner, id));
            }
            Stage::Finished { at, .. } => {
                self.finished.insert((expiry(id, *at), id));
            }
        }
    }

    pub(super) fn remove(&mut self, id: JobId, job: &Job) {
        match &job.stage {
            Stage::Waiting => {
                self.waiting.remove(&rank(id, job));
                self.owned.remove(&(job.owner, id));
            }
            Stage::Running(attempt) => {
                self.running.remove(&(attempt.lapse, id));
                self.owned.remove(&(job.owner, id));
            }
            Stage::Finished { at, .. } => {
                self.finished.remove(&(expiry(id, *at), id));
            }
        }
    }

    pub(super) fn waiting(&self, owner: Incarnation) -> impl Iterator<Item = JobId> {
        let first = (owner, false, SystemTime::UNIX_EPOCH, JobId::from_number(0));
        let mine = move |rank: &&Rank| rank.0 == owner;
        self.waiting
            .range(first..)
            .take_while(mine)
            .map(|rank| rank.3)
    }

    pub(super) fn owned(&self, owner: Incarnation) -> impl Iterator<Item = JobId> {
        let first = (owner, JobId::from_number(0));
        let last = (owner, JobId::from_number(u128::MAX));
        self.owned.range(first..=last).map(|(_, id)| *id)
    }

    /// Visits each owner once, whatever the number of its jobs.
    pub(super) fn owners(&self) -> impl Iterator<Item = Incarnation> {
        let last = |owner| (owner, JobId::from_number(u128::MAX));
        let first = self.owned.first().map(|(owner, _)| *owner);
        std::iter::successors(first, move |owner| {
            let after = (Bound::Excluded(last(*owner)), Bound::Unbounded);
            let after = self.owned.range(after).next();
            after.map(|(owner, _)| *owner)
        })
    }

    pub(super) fn lapsed(&self, now: SystemTime, margin: Duration) -> impl Iterator<Item = JobId> {
        let over = move |entry: &&(SystemTime, JobId)| entry.0 + margin < now;
        self.running.iter().take_while(over).map(|(_, id)| *id)
    }

    pub(super) fn first_expired(&self, now: SystemTime) -> Option<JobId> {
        let (expiry, id) = self.finished.first()?;
        (*expiry < now).then_some(*id)
    }
}

fn rank(id: JobId, job: &Job) -> Rank {
    (job.owner, !job.spec.urgent, job.spec.deadline, id)
}

/// The log time after which a finished job is dropped. Its id is out of the window by then.
fn expiry(id: JobId, at: SystemTime) -> SystemTime {
    let window = job_time(id).unwrap_or(at) + CLAIM_WINDOW;
    window.max(at + FINISHED_RETENTION)
}
