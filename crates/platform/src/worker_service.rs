//! Calls to workers as an interface, and their errors.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::Display;
use derive_more::Error;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::CheckpointAnswer;
use crate::LeaseAnswer;
use crate::LeaseBody;
use crate::RebootBody;
use crate::StartTask;
use crate::TaskAnswer;
use crate::ThrottleBody;
use crate::UsageReport;

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
    /// Refused while tasks run, after another reboot and while another entry's lease runs.
    async fn reboot(&self, worker: SocketAddr, body: RebootBody) -> Result<(), WorkerError>;
}
