//! The records of a shard in the platform's store. Each job has two: the job as submitted and its
//! progress. A further one holds the leases of silent workers. The store retains the latest record
//! of each key, and a new owner restores its whole state from them.

use std::collections::BTreeMap;
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

/// The first byte of each value. Another format of the values needs another number.
const FORMAT_VERSION: u8 = 1;

/// The key of the record of the leases of silent workers. A build that does not know the key ignores
/// the record, and neither follows nor updates it; so the record holds only if no later claim of the
/// shard follows it.
pub const LEASES_KEY: &str = "leases";

/// A keyed record in a topic of the platform's store. A record without a value is a tombstone,
/// which removes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key, unique within the topic.
    pub key: String,
    /// The value, or `None` to remove the key.
    pub value: Option<Vec<u8>>,
}

/// The stored form of a run that may be executing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRun {
    /// The number of the run within its task, counted from one.
    pub number: u32,
    /// The id of the worker that the run was placed on.
    pub worker: Name,
    /// The incarnation of that worker, as its start in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// The stored form of a task that was placed at least once. Of a job in a final state, only tasks
/// with runs that may be executing are stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTask {
    /// The zero-based number of the occurrence.
    pub occurrence: u32,
    /// The zero-based index of the step in the job.
    pub step: u16,
    /// The zero-based index of the task within its step.
    pub index: u32,
    /// Whether the task is done, so that no further run is started.
    pub done: bool,
    /// How many runs of the task have failed.
    pub failures: u32,
    /// The highest run number that was assigned; the next run gets a higher one.
    pub last_run: u32,
    /// The numbers of the runs that are considered lost without a reported outcome. Their workers
    /// may still report one.
    pub lost_runs: Vec<u32>,
    /// The runs that may be executing and have no outcome yet.
    pub runs: Vec<StoredRun>,
}

/// The stored progress of a job, which changes while the job runs.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// The state that is reported to callers.
    pub state: JobState,
    /// When the job was accepted, as time since the Unix epoch. The job's objective counts from
    /// here.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub accepted_at: Duration,
    /// When the job reached its final state, as time since the Unix epoch.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub finished_at: Option<Duration>,
    /// The tasks that were placed at least once, as [`StoredTask`] describes.
    pub tasks: Vec<StoredTask>,
}

/// The stored lease of a worker that does not respond.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredLease {
    /// The incarnation of the worker, as its start in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// How long after the storing of the record the lease can last.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
}

/// A decoded record of a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredRecord {
    /// The leases of silent workers, by the id of the worker.
    Leases(BTreeMap<Name, StoredLease>),
    /// A job as it was submitted.
    Job(Box<Job>),
    /// The progress of a job.
    Progress(JobId, JobProgress),
}

/// A record that can't be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("record {key:?} can't be decoded: {detail}")]
pub struct InvalidRecord {
    /// The key of the record.
    pub key: String,
    /// The part of the record that is invalid, or the decoder's error.
    pub detail: String,
}

fn job_key(id: JobId) -> String {
    format!("j{id}")
}

fn progress_key(id: JobId) -> String {
    format!("p{id}")
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialising into a growing vector fails only for sequences of unknown length, and these types
    // have none.
    postcard::to_extend(value, vec![FORMAT_VERSION]).unwrap_or_default()
}

/// Returns the record that stores a job as it was submitted.
pub fn job_record(job: &Job) -> Record {
    Record {
        key: job_key(job.id),
        value: Some(encode(job)),
    }
}

/// Returns the record that stores the progress of a job.
pub fn progress_record(id: JobId, progress: &JobProgress) -> Record {
    Record {
        key: progress_key(id),
        value: Some(encode(progress)),
    }
}

/// Returns whether `next` is the progress of the job that `record` stores.
pub(crate) fn is_progress_of(next: &Record, record: &Record) -> bool {
    let id = record.key.strip_prefix('j');
    id.is_some() && id == next.key.strip_prefix('p')
}

/// Returns the record of the leases of silent workers, a tombstone if there are none.
pub(crate) fn lease_record(leases: &BTreeMap<Name, StoredLease>) -> Record {
    Record {
        key: LEASES_KEY.to_owned(),
        value: (!leases.is_empty()).then(|| encode(leases)),
    }
}

/// Returns the tombstones that remove both records of a job.
pub(crate) fn tombstones(id: JobId) -> [Record; 2] {
    [job_key(id), progress_key(id)].map(|key| Record { key, value: None })
}

/// Decodes a record of a shard. Returns `None` for other keys, such as the record of a released
/// shard.
///
/// # Errors
///
/// Returns an error if the key is that of one of these records but the key or the value can't be
/// decoded.
pub fn decode_record(key: &str, value: &[u8]) -> Result<Option<StoredRecord>, InvalidRecord> {
    let invalid = |detail: &str| InvalidRecord {
        key: key.to_owned(),
        detail: detail.to_owned(),
    };
    let Some((kind, id)) = key.split_at_checked(1) else {
        return Ok(None);
    };
    if key != LEASES_KEY && kind != "j" && kind != "p" {
        return Ok(None);
    }
    let parse_id = || -> Result<JobId, InvalidRecord> {
        id.parse()
            .map_err(|_| invalid("the key has no valid job id"))
    };
    let Some((&FORMAT_VERSION, body)) = value.split_first() else {
        return Err(invalid(
            "the value is empty or has an unknown format version",
        ));
    };
    let stored = match kind {
        _ if key == LEASES_KEY => postcard::from_bytes(body).map(StoredRecord::Leases),
        "j" => {
            parse_id()?;
            postcard::from_bytes(body).map(|job| StoredRecord::Job(Box::new(job)))
        }
        _ => {
            let id = parse_id()?;
            postcard::from_bytes(body).map(|progress| StoredRecord::Progress(id, progress))
        }
    };
    stored.map(Some).map_err(|e| invalid(&e.to_string()))
}
