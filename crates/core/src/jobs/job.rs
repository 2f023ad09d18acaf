//! One durable job.

use std::time::Duration;
use std::time::SystemTime;

use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::JobId;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::VmName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;
use uuid::Uuid;

use crate::exchange::Body;
use crate::once::ClaimKey;

/// Draws the id of a new job, a UUID of version 7. A caller's idempotency key serves as the id of
/// its job, so that a repeated submission is the same job.
pub fn new_job(wall: SystemTime) -> JobId {
    ClaimKey::from_parts(wall, rand::random()).as_uuid().into()
}

/// Returns the time in a job's id, or nothing if the id is not a UUID of version 7.
pub fn job_time(job: JobId) -> Option<SystemTime> {
    let key = ClaimKey::try_from(Uuid::from(job)).ok()?;
    Some(key.time())
}

/// What a job is, as submitted.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The team that pays.
    pub team: TeamName,
    /// The queue.
    pub queue: QueueName,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Whether the job goes before the team's normal work.
    pub urgent: bool,
    /// The time by which the job should be done.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub deadline: SystemTime,
    /// The declared slots.
    pub slots: u32,
    /// The declared run time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub run_time: Duration,
    /// The request body.
    pub body: Body,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// It ran, with this result.
    Succeeded(Body),
    /// It ran and failed.
    Failed(String),
    /// No attempt of it ran.
    NotRun(Refusal),
    /// An attempt of it may have run.
    MayHaveRun(Doubt),
}

/// An attempt that is recorded as started.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The attempt.
    pub id: AttemptId,
    /// The worker that it was started on.
    pub worker: VmName,
    /// The time by the log after which the worker's lease has lapsed.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub lapse: SystemTime,
}

/// Where a job is.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It can be started by its owner.
    Waiting,
    /// An attempt is started.
    Running(Attempt),
    /// It has ended.
    Finished {
        /// The last attempt.
        attempt: Option<AttemptId>,
        /// How it ended.
        outcome: JobOutcome,
        /// The log's time of the end.
        #[serde_as(as = "TimestampMilliSeconds<i64>")]
        at: SystemTime,
    },
}

/// A durable job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was submitted.
    pub spec: JobSpec,
    /// The process that starts its attempts.
    pub owner: Incarnation,
    /// The number of attempts started.
    pub attempts: u32,
    /// Whether an earlier attempt may have run.
    pub doubt: bool,
    /// Whether the job is cancelled while it runs.
    pub cancelled: bool,
    /// Where it is.
    pub stage: Stage,
}
