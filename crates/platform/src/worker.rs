//! Messages of the worker's protocol.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::FromStr;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RequestId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::DurationSecondsWithFrac;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;

/// The body of `PUT /lease`.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LeaseBody {
    /// The entry that takes or renews the lease.
    pub holder: Incarnation,
    /// The length of the lease from now on, in seconds with a fraction.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[schemars(with = "f64")]
    pub seconds: Duration,
}

/// A lease as a start request names it.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LeaseRef {
    /// The entry that holds the lease.
    pub holder: Incarnation,
    /// The end by the worker's wall clock, in milliseconds since the Unix epoch.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    #[schemars(with = "i64")]
    pub end: SystemTime,
}

/// The answer of `PUT /lease`.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LeaseAnswer {
    /// The lease, to be sent back unchanged with each start.
    pub lease: LeaseRef,
    /// The time left, in milliseconds. A holder counts it from before it sent the request, on its
    /// own monotonic clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub left: Duration,
}

/// The body of `DELETE /lease`, `POST /reboot` and the task actions: who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HolderBody {
    /// The entry that holds the worker's lease.
    pub holder: Incarnation,
}

/// The body of `POST /tasks/{id}/throttle`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ThrottleBody {
    /// The entry that holds the worker's lease.
    pub holder: Incarnation,
    /// The speed, from 0 to 100 percent.
    pub percent: u8,
}

/// The answer of `POST /tasks/{id}/checkpoint`.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CheckpointAnswer {
    /// The run time that is saved, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub saved: Duration,
}

/// A start request; all fields but the body travel as headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartTask {
    /// The caller's request.
    pub request: RequestId,
    /// This attempt.
    pub attempt: AttemptId,
    /// The lease that the sender holds.
    pub lease: LeaseRef,
    /// The run time of the task, to the millisecond.
    pub run_time: Duration,
    /// The part of the run time that a checkpoint saved, to the millisecond.
    pub saved: Duration,
    /// The trace context, as a W3C `traceparent` value.
    pub trace: Option<String>,
    /// The input.
    pub body: Bytes,
}

/// How a task ended.
#[derive(
    Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// The task ran to its end.
    Succeeded,
    /// The task ran and failed.
    Failed,
    /// The worker ended the task because its lease lapsed or was given back.
    Dropped,
    /// The lease holder stopped the task.
    Stopped,
}

/// An answer as it arrived; the receiver checks that it belongs to its request and is unaltered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskAnswer {
    /// The request that the worker says it answers.
    pub request: RequestId,
    /// The attempt that the worker says it answers.
    pub attempt: AttemptId,
    /// How the task ended.
    pub status: TaskStatus,
    /// The declared length of the body, in bytes.
    pub length: u64,
    /// The declared SHA-256 digest of the body.
    pub digest: [u8; 32],
    /// The body that arrived.
    pub body: Bytes,
}

/// Returns the SHA-256 digest of a body.
pub fn body_digest(body: &[u8]) -> [u8; 32] {
    Sha256::digest(body).into()
}

/// A task that runs on a worker.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RunningTask {
    /// The caller's request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// How long it has run, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub ran: Duration,
}

/// The lagging answer of `GET /usage`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct UsageReport {
    /// The time that the report describes, in milliseconds since the Unix epoch.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    #[schemars(with = "i64")]
    pub as_of: SystemTime,
    /// How often the worker has booted, so that a reboot is seen.
    pub boots: u64,
    /// The lease, if one runs.
    pub lease: Option<LeaseRef>,
    /// Whether the worker takes no new work because it leaves.
    pub leaving: bool,
    /// The number of tasks that fit.
    pub slots: u32,
    /// The tasks that run.
    pub running: Vec<RunningTask>,
}

/// Why a worker refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRefusalKind {
    /// No lease runs, or the lease named in the request has ended.
    #[display("no lease")]
    NoLease,
    /// Another entry holds the lease.
    #[display("held by another entry")]
    OtherHolder,
    /// The worker is leaving.
    #[display("leaving")]
    Leaving,
    /// Tasks run.
    #[display("busy")]
    Busy,
    /// All slots are taken.
    #[display("no free slot")]
    NoSlot,
    /// All connections are taken.
    #[display("no free connection")]
    NoConnection,
    /// No such task runs.
    #[display("no such task")]
    NoTask,
    /// The request is malformed.
    #[display("bad request")]
    Invalid,
}

/// The body of an answer with status 400, 404, 409 or 429: nothing was done.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[display("{kind}: {detail}")]
pub struct WorkerRefusal {
    /// The kind of refusal.
    pub kind: WorkerRefusalKind,
    /// What was wrong, for a person.
    pub detail: String,
    /// The attempt that is refused; a refusal of a start counts only when it names the attempt.
    pub attempt: Option<AttemptId>,
}

/// Why a worker gave no answer of the expected kind.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum WorkerError {
    /// No byte of the request was given to the worker.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The worker refused and did nothing.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] WorkerRefusal),
    /// The worker may have acted on the request.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
}

/// Calls to workers, each named by its address.
#[async_trait]
pub trait WorkerService: Send + Sync {
    /// Takes or renews the lease.
    ///
    /// # Errors
    ///
    /// Refused while another entry's lease runs, and when the worker is leaving and unleased.
    async fn lease(&self, worker: SocketAddr, body: LeaseBody) -> Result<LeaseAnswer, WorkerError>;

    /// Gives the lease back; the worker drops the tasks that run under it.
    ///
    /// # Errors
    ///
    /// Refused unless the caller holds the lease.
    async fn release(&self, worker: SocketAddr, holder: Incarnation) -> Result<(), WorkerError>;

    /// Runs a task and waits for its answer, for at most `limit` in all.
    ///
    /// # Errors
    ///
    /// Refused without the caller's running lease, without a free slot and on a leaving worker.
    async fn start(
        &self,
        worker: SocketAddr,
        task: StartTask,
        limit: Duration,
    ) -> Result<TaskAnswer, WorkerError>;

    /// Reads the lagging usage report.
    ///
    /// # Errors
    ///
    /// Fails when the worker gives no readable answer.
    async fn usage(&self, worker: SocketAddr) -> Result<UsageReport, WorkerError>;

    /// Saves the progress of a task, which goes on.
    ///
    /// # Errors
    ///
    /// Refused unless the caller holds the lease and the task runs.
    async fn checkpoint(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        holder: Incarnation,
    ) -> Result<CheckpointAnswer, WorkerError>;

    /// Sets the speed of a task.
    ///
    /// # Errors
    ///
    /// Refused unless the caller holds the lease and the task runs.
    async fn throttle(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        body: ThrottleBody,
    ) -> Result<(), WorkerError>;

    /// Ends a task.
    ///
    /// # Errors
    ///
    /// Refused unless the caller holds the lease and the task runs.
    async fn stop(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        holder: Incarnation,
    ) -> Result<(), WorkerError>;

    /// Reboots the worker.
    ///
    /// # Errors
    ///
    /// Refused while tasks run and while another entry's lease runs.
    async fn reboot(&self, worker: SocketAddr, holder: Incarnation) -> Result<(), WorkerError>;
}
