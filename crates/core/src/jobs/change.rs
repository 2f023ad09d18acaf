//! Changes of the jobs.

use std::time::SystemTime;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::JobId;
use lavenderhollow_types::VmName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;

use super::job::JobOutcome;
use super::job::JobSpec;

/// A change of the jobs. The actor of its record is the entry that owns the job, but for `Cancel`
/// and `TakeOver`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobChange {
    /// Takes a job in; the actor becomes its owner.
    Submit {
        /// The new job.
        job: JobId,
        /// What it is.
        spec: Box<JobSpec>,
    },
    /// Starts an attempt; the owner dispatches it after reading this back as accepted.
    Start {
        /// The waiting job.
        job: JobId,
        /// The new attempt.
        attempt: AttemptId,
        /// The worker.
        worker: VmName,
        /// The end of the worker's lease.
        #[serde_as(as = "TimestampMilliSeconds<i64>")]
        lease_end: SystemTime,
    },
    /// Puts a job back to waiting after an attempt that brought no answer.
    Return {
        /// The running job.
        job: JobId,
        /// The attempt that ended.
        attempt: AttemptId,
        /// Whether the attempt may have run. Only idempotent jobs are returned after doubt.
        doubt: bool,
    },
    /// Ends a job.
    Finish {
        /// The job.
        job: JobId,
        /// The attempt that ended it; absent when the job was waiting.
        attempt: Option<AttemptId>,
        /// How it ended.
        outcome: JobOutcome,
    },
    /// Ends a waiting job, or asks the owner of a running one to stop it.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Makes the actor the owner of a job whose owner is gone.
    TakeOver {
        /// The job.
        job: JobId,
        /// The running attempt that the actor saw.
        attempt: Option<AttemptId>,
    },
}

impl JobChange {
    /// Returns the job that is changed.
    pub fn job(&self) -> JobId {
        match self {
            Self::Submit { job, .. }
            | Self::Start { job, .. }
            | Self::Return { job, .. }
            | Self::Finish { job, .. }
            | Self::Cancel { job }
            | Self::TakeOver { job, .. } => *job,
        }
    }
}

/// Why a change of the jobs is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum JobRejection {
    /// The id is taken.
    #[display("job exists")]
    Exists,
    /// The id is no UUID of version 7, or its time is outside of the window by the log's time.
    #[display("job id is outside of the window")]
    BadId,
    /// There is no such job.
    #[display("no such job")]
    Unknown,
    /// The actor is not the owner.
    #[display("actor is not the owner")]
    NotOwner,
    /// The job is not in the stage that the change needs, or another attempt is running.
    #[display("job is in another stage")]
    Stage,
    /// The body or the result is too large.
    #[display("body is too large")]
    TooLarge,
    /// An attempt may have run, so that the job can't run again or end as not run.
    #[display("an attempt may have run")]
    Doubt,
    /// The lease of the running attempt has not lapsed.
    #[display("lease has not lapsed")]
    LeaseHeld,
}
