//! The records of a shard in the platform's store: one for what was submitted, one for how far it
//! is. The newest of each key is retained, and all that a new owner needs is in them.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::job::Job;
use crate::job::JobId;
use crate::job::JobState;
use crate::job::Name;

/// The first byte of each value; a later format takes another.
const FORMAT: u8 = 1;

/// A record: a key and a value. A record without a value removes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value, or nothing.
    pub value: Option<Vec<u8>>,
}

/// A run of a task that may be under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRun {
    /// The number of the run.
    pub number: u32,
    /// The worker that it was ordered from.
    pub worker: Name,
    /// The start of that worker's life, in milliseconds since 1970.
    pub incarnation: u64,
}

/// A task that has been started at least once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTask {
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// The index within the step.
    pub index: u32,
    /// Whether it is done.
    pub done: bool,
    /// How many runs have failed.
    pub failures: u32,
    /// The highest run number.
    pub last_run: u32,
    /// Runs that were taken for over without a listed end, which may still be listed.
    pub lost_runs: Vec<u32>,
    /// The runs that may be under way.
    pub runs: Vec<StoredRun>,
}

/// How far a job is.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// What callers see.
    pub state: JobState,
    /// When the job was accepted, as time since 1970.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub accepted_at: Duration,
    /// When the job reached its final state, as time since 1970.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub finished_at: Option<Duration>,
    /// The tasks that have been started.
    pub tasks: Vec<StoredTask>,
}

/// What a record of a shard says.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredRecord {
    /// A job as it was submitted.
    Job(Box<Job>),
    /// How far a job is.
    Progress(JobId, JobProgress),
}

/// Why a record can't be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("record {key:?} can't be decoded: {detail}")]
pub struct InvalidRecord {
    /// The key.
    pub key: String,
    /// What is wrong.
    pub detail: String,
}

fn job_key(id: JobId) -> String {
    format!("j{id}")
}

fn progress_key(id: JobId) -> String {
    format!("p{id}")
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialising into a growing vector fails only for types without a length, which these have.
    postcard::to_extend(value, vec![FORMAT]).unwrap_or_default()
}

/// Returns the record of a submitted job.
pub fn job_record(job: &Job) -> Record {
    Record {
        key: job_key(job.id),
        value: Some(encode(job)),
    }
}

/// Returns the record of a job's progress.
pub fn progress_record(id: JobId, progress: &JobProgress) -> Record {
    Record {
        key: progress_key(id),
        value: Some(encode(progress)),
    }
}

/// Returns the records that remove a job.
pub(crate) fn tombstones(id: JobId) -> [Record; 2] {
    [job_key(id), progress_key(id)].map(|key| Record { key, value: None })
}

/// Decodes a record; records of other kinds give nothing.
///
/// # Errors
///
/// Fails when the record is a job's but can't be decoded.
pub fn decode_record(key: &str, value: &[u8]) -> Result<Option<StoredRecord>, InvalidRecord> {
    let invalid = |detail: &str| InvalidRecord {
        key: key.to_owned(),
        detail: detail.to_owned(),
    };
    let Some((kind, id)) = key.split_at_checked(1) else {
        return Ok(None);
    };
    if kind != "j" && kind != "p" {
        return Ok(None);
    }
    let id: JobId = id.parse().map_err(|_| invalid("no job id"))?;
    let Some((&FORMAT, body)) = value.split_first() else {
        return Err(invalid("unknown format"));
    };
    let stored = match kind {
        "j" => postcard::from_bytes(body).map(|job| StoredRecord::Job(Box::new(job))),
        _ => postcard::from_bytes(body).map(|progress| StoredRecord::Progress(id, progress)),
    };
    stored.map(Some).map_err(|e| invalid(&e.to_string()))
}
