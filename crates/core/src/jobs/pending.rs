//! A job whose attempt waits for its record.

use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::JobId;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::VmName;

use super::change::JobChange;
use super::change::JobRejection;
use crate::fold::Outcome;
use crate::permit::Lease;
use crate::permit::Permit;
use crate::permit::SendError;
use crate::permit::Sent;
use crate::record::Record;

/// A job whose `Start` record is appended and not read back yet. It can't be sent.
///
/// It makes no verdict: a job that is not started here may be started by another entry.
#[derive(Debug)]
#[must_use]
pub struct PendingStart<R> {
    permit: Permit<R>,
    job: JobId,
    attempt: AttemptId,
    record: Record<JobChange>,
}

impl<R> PendingStart<R> {
    /// Makes the `Start` record of a new attempt on the worker that `lease` is for.
    pub fn new(
        permit: Permit<R>,
        job: JobId,
        worker: VmName,
        lease: &Lease,
        owner: Incarnation,
        wall: SystemTime,
    ) -> Self {
        let attempt = AttemptId::random();
        let change = JobChange::Start {
            job,
            attempt,
            worker,
            lease_end: lease.end,
        };
        let record = Record {
            id: RecordId::random(),
            created: wall,
            actor: owner,
            expected: None,
            change,
        };
        Self {
            permit,
            job,
            attempt,
            record,
        }
    }

    /// Returns the record to append. A repeated append uses the same record.
    pub fn record(&self) -> &Record<JobChange> {
        &self.record
    }

    /// Frees the attempt when the fold accepted its record at its first occurrence. Otherwise the
    /// permit is dropped, because the job is another's, has ended or is running.
    pub fn resolve(self, outcome: &Outcome<JobRejection>) -> Option<RecordedStart<R>> {
        outcome.is_accepted().then_some(RecordedStart {
            permit: self.permit,
            job: self.job,
            attempt: self.attempt,
        })
    }

    /// Gives the attempt up before its record was read back. The returned change puts the job back
    /// to waiting if the record is accepted later.
    pub fn abandon(self) -> JobChange {
        not_started(self.job, self.attempt)
    }
}

/// An attempt whose `Start` record was accepted.
#[derive(Debug)]
#[must_use]
pub struct RecordedStart<R> {
    permit: Permit<R>,
    job: JobId,
    attempt: AttemptId,
}

impl<R> RecordedStart<R> {
    /// Returns the job.
    pub fn job(&self) -> JobId {
        self.job
    }

    /// Returns the recorded attempt.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Does what [`Permit::start`] does, under the recorded attempt.
    ///
    /// # Errors
    ///
    /// Gives the permit back when the deadline has passed or the lease has ended.
    pub fn start(self, lease: &Lease, now: Instant) -> Result<Sent<R>, SendError<R>> {
        self.permit.start_as(self.attempt, lease, now)
    }

    /// Gives the attempt up. The returned change puts the job back to waiting.
    pub fn abandon(self) -> JobChange {
        not_started(self.job, self.attempt)
    }
}

fn not_started(job: JobId, attempt: AttemptId) -> JobChange {
    JobChange::Return {
        job,
        attempt,
        doubt: false,
    }
}
