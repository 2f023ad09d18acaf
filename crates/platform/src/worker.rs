//! Messages of the worker's protocol.

use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use derive_more::Display;
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

/// The body of `DELETE /lease` and the task actions: who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HolderBody {
    /// The entry that holds the worker's lease.
    pub holder: Incarnation,
}

/// The body of `POST /reboot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RebootBody {
    /// The entry that holds the worker's lease.
    pub holder: Incarnation,
    /// The boots that the holder saw; with another number the worker has rebooted since.
    pub boots: u64,
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
