//! The log service as an interface.

use std::time::Duration;
use std::time::SystemTime;

use async_trait::async_trait;
use derive_more::Display;
use derive_more::Error;
use lavenderhollow_types::Offset;
use lavenderhollow_types::StreamName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;

/// The body of an append.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The records, each any JSON value, stored in this order and without others between them.
    pub records: Vec<Box<RawValue>>,
}

/// The answer of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first record of the batch.
    pub first: Offset,
    /// The number of records that were stored.
    pub count: u64,
}

/// Where and how to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadFrom {
    /// The first wanted offset.
    pub offset: Offset,
    /// The largest number of records to return.
    pub max: usize,
    /// How long the log may hold the answer until a record is there, to the millisecond.
    pub wait: Duration,
}

/// A stored record.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoggedRecord {
    /// The offset in the stream.
    pub offset: Offset,
    /// When the log stored the record, in milliseconds since the Unix epoch.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub time: SystemTime,
    /// The record.
    pub record: Box<RawValue>,
}

/// The answer of a read: consecutive records from the wanted offset on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// The oldest retained offset; equal to `head` when nothing is retained.
    pub oldest: Offset,
    /// The offset of the next record to be stored.
    pub head: Offset,
    /// The records; fewer than asked for when they are large.
    pub records: Vec<LoggedRecord>,
}

/// The body of an answer with status 410: the wanted offset is no longer retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// The oldest retained offset.
    pub oldest: Offset,
    /// The offset of the next record to be stored.
    pub head: Offset,
}

/// Why the log stored nothing of a batch.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RefusedAppend {
    /// The log could not be reached, so that no byte was sent.
    #[display("log not reached: {_0}")]
    NotSent(String),
    /// The log is out of service (status 503).
    #[display("log out of service")]
    Unavailable,
    /// Too many appends a second (status 429).
    #[display("too many appends")]
    Busy,
    /// The log does not accept this batch, now or later (status 400 or 413).
    #[display("batch not accepted: {_0}")]
    Invalid(String),
}

/// Why an append has no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AppendError {
    /// Nothing was stored, and nothing will be.
    #[display("append refused: {_0}")]
    Refused(#[error(not(source))] RefusedAppend),
    /// The batch may have been stored, or may yet be.
    #[display("outcome of append unknown: {_0}")]
    Unknown(#[error(not(source))] String),
}

/// Why a read failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadError {
    /// The wanted offset is no longer retained.
    #[display("offset is gone, oldest is {}", _0.oldest)]
    Gone(#[error(not(source))] Gone),
    /// The log does not answer, or not in time.
    #[display("log unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The answer breaks the protocol.
    #[display("answer of the log not valid: {_0}")]
    Invalid(#[error(not(source))] String),
}

/// An append-only log of streams.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends a batch; all of it is stored or nothing.
    ///
    /// # Errors
    ///
    /// Fails when the log refuses the batch or when the outcome is unknown.
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<Box<RawValue>>,
    ) -> Result<Appended, AppendError>;

    /// Reads records from an offset on. An offset at or after the head gives an empty page once
    /// the wait is over.
    ///
    /// # Errors
    ///
    /// Fails when the offset is no longer retained or the log does not answer.
    async fn read(&self, stream: &StreamName, from: ReadFrom) -> Result<Page, ReadError>;
}
