//! The verdict on a request: whether it may have run.

use std::time::Duration;

use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Says whether a request ran.
///
/// `NotRun` is a promise: no target was given any byte of the request, or the target is known to
/// have refused it. Only `NotRun` may be retried by a caller without an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Verdict<T> {
    /// The request did not run and will not run.
    NotRun(Refusal),
    /// The request may have run; nothing will send it again.
    MayHaveRun(Doubt),
    /// The request ran, with this answer.
    Ran(T),
}

impl<T> Verdict<T> {
    /// Maps the answer of a request that ran.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Verdict<U> {
        match self {
            Self::NotRun(refusal) => Verdict::NotRun(refusal),
            Self::MayHaveRun(doubt) => Verdict::MayHaveRun(doubt),
            Self::Ran(answer) => Verdict::Ran(f(answer)),
        }
    }
}

/// Why a request was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The key is missing, unknown or withdrawn.
    #[display("key not accepted")]
    Unauthorized,
    /// The configuration may be outdated, so that a key can't be trusted.
    #[display("configuration not fresh")]
    Stale,
    /// No such queue, or the queue is not open to this team.
    #[display("queue not available")]
    NoQueue,
    /// The request is malformed or too large.
    #[display("bad request")]
    Invalid,
    /// The team runs as much as its upper limit or allotment allows.
    #[display("limit reached")]
    Limit,
    /// The queue is full, or the deadline can't be met.
    #[display("overloaded")]
    Overloaded,
    /// No target is open.
    #[display("no target")]
    NoTarget,
    /// The job fits no worker, now or later.
    #[display("impossible")]
    Impossible,
    /// The job failed on several good workers.
    #[display("quarantined")]
    Quarantined,
    /// The history of the idempotency key can no longer be known.
    #[display("key history unknown")]
    Expired,
    /// The log does not answer, and the request needs it.
    #[display("log unavailable")]
    LogUnavailable,
    /// The caller cancelled the request before it started.
    #[display("cancelled")]
    Cancelled,
    /// The entry is shutting down.
    #[display("shutting down")]
    Closing,
}

/// A refusal of a request that did not run.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[display("not run: {kind}: {detail}")]
pub struct Refusal {
    /// The kind of refusal.
    pub kind: RefusalKind,
    /// What was wrong, for a person.
    pub detail: String,
    /// The time after which a retry is worthwhile, in seconds.
    pub retry_after: Option<u32>,
}

impl Refusal {
    /// Creates a refusal without a hint for a retry.
    pub fn new(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Adds the time after which a retry is worthwhile, rounded up to whole seconds.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        let rounded = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        self.retry_after = Some(u32::try_from(rounded).unwrap_or(u32::MAX));
        self
    }
}

/// Why it is not known whether a request ran.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[display("may have run: {detail}")]
pub struct Doubt {
    /// What happened, for a person.
    pub detail: String,
}

impl Doubt {
    /// Creates a doubt.
    pub fn new(detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
        }
    }
}
