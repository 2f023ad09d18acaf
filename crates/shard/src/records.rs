//! The records of a shard in the platform's store. Each job has two: the job as submitted and its
//! progress. The tasks of a job with many of them are in further ones. Another one holds the leases of
//! silent workers, and another one the pairs of images that are kept apart. The store retains the latest
//! record of each key, and a new owner restores its whole state from them.

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

/// The first byte of the progress of a job with finished occurrences or with task records. A build
/// that doesn't know them would run tasks again.
const DIVIDED_FORMAT_VERSION: u8 = 2;

/// The number of tasks whose rows are stored in one record. A row has some 30 bytes, and at most about
/// 200; the store takes 256 KiB.
pub(crate) const TASKS_PER_RECORD: u64 = 1_024;

/// The key of the record of the leases of silent workers. A build that does not know the key ignores
/// the record, and neither follows nor updates it; so the record holds only if no later claim of the
/// shard follows it.
pub const LEASES_KEY: &str = "leases";

/// The key of the record of the leases of restarted workers.
const RESTARTS_KEY: &str = "restarts";

/// The key of the record of the pairs of images that are kept apart. A build that does not know the key
/// ignores the record, as [`decode_record`] returns nothing for it.
const SLOWDOWNS_KEY: &str = "slowdowns";

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
    /// The tasks that were placed at least once, as [`StoredTask`] describes, apart from those in task
    /// records.
    pub tasks: Vec<StoredTask>,
    /// The finished occurrences of a job that is not final, as the first and the last one of each
    /// range.
    #[serde(skip)]
    pub finished: Vec<(u32, u32)>,
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

/// The stored form of a pair of images that is kept apart.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSlowdown {
    /// The image that is slowed down.
    pub slowed: Name,
    /// The image beside it.
    pub beside: Name,
    /// Whether tail latencies show it. Otherwise run times do.
    pub is_tail: bool,
    /// The slowdown in percent, 100 for twice the time.
    pub percent: u32,
    /// Until when the pair is kept apart without further evidence, as time since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub until: Duration,
}

/// A decoded record of a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredRecord {
    /// The leases of silent workers, by the id of the worker.
    Leases(BTreeMap<Name, StoredLease>),
    /// The leases that calls meant for earlier incarnations may have granted, by the id of the worker.
    Restarts(BTreeMap<Name, StoredLease>),
    /// The pairs of images that are kept apart.
    Slowdowns(Vec<StoredSlowdown>),
    /// A job as it was submitted.
    Job(Box<Job>),
    /// The progress of a job.
    Progress(JobId, JobProgress),
    /// The tasks of a part of a job, by the number of the part.
    Tasks(JobId, u32, Vec<StoredTask>),
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

fn tasks_key(id: JobId, part: u32) -> String {
    format!("t{id}.{part}")
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    append_encoded(vec![FORMAT_VERSION], value)
}

fn append_encoded<T: Serialize>(bytes: Vec<u8>, value: &T) -> Vec<u8> {
    // Serialising into a growing vector fails only for sequences of unknown length, and these types
    // have none.
    postcard::to_extend(value, bytes).unwrap_or_default()
}

/// Returns the record that stores a job as it was submitted.
pub fn job_record(job: &Job) -> Record {
    Record {
        key: job_key(job.id),
        value: Some(encode(job)),
    }
}

/// Returns the record that stores the progress of a job. `divided` is whether the tasks of the job are
/// in task records.
pub fn progress_record(id: JobId, progress: &JobProgress, divided: bool) -> Record {
    let value = match divided || !progress.finished.is_empty() {
        true => {
            let start = append_encoded(vec![DIVIDED_FORMAT_VERSION], progress);
            append_encoded(start, &progress.finished)
        }
        false => encode(progress),
    };
    Record {
        key: progress_key(id),
        value: Some(value),
    }
}

/// Returns the record that stores the tasks of a part of a job, a tombstone if there are none.
pub(crate) fn tasks_record(id: JobId, part: u32, tasks: &[StoredTask]) -> Record {
    Record {
        key: tasks_key(id, part),
        value: (!tasks.is_empty()).then(|| encode(&tasks)),
    }
}

/// Returns whether `next` is the progress of the job that `record` stores.
pub(crate) fn is_progress_of(next: &Record, record: &Record) -> bool {
    let id = record.key.strip_prefix('j');
    id.is_some() && id == next.key.strip_prefix('p')
}

/// Returns whether `next` belongs to the same job as `record`, and follows it.
pub(crate) fn is_continuation(next: &Record, record: &Record) -> bool {
    let id = |key: &str, kinds: &[char]| {
        let id = key.strip_prefix(kinds)?;
        id.split('.').next().map(str::to_owned)
    };
    let first = id(&record.key, &['j', 'p']);
    first.is_some() && first == id(&next.key, &['p', 't'])
}

/// Returns the record of the leases of silent workers, a tombstone if there are none.
pub(crate) fn lease_record(leases: &BTreeMap<Name, StoredLease>) -> Record {
    Record {
        key: LEASES_KEY.to_owned(),
        value: (!leases.is_empty()).then(|| encode(leases)),
    }
}

/// Returns the record of the leases of restarted workers, a tombstone if there are none.
pub(crate) fn restarts_record(leases: &BTreeMap<Name, StoredLease>) -> Record {
    Record {
        key: RESTARTS_KEY.to_owned(),
        value: (!leases.is_empty()).then(|| encode(leases)),
    }
}

/// Returns the record of the pairs of images that are kept apart, a tombstone if there are none.
pub(crate) fn slowdowns_record(pairs: &[StoredSlowdown]) -> Record {
    Record {
        key: SLOWDOWNS_KEY.to_owned(),
        value: (!pairs.is_empty()).then(|| encode(&pairs)),
    }
}

/// Returns the tombstones that remove the records of a job, with those of the given parts.
pub(crate) fn tombstones(
    id: JobId,
    parts: impl IntoIterator<Item = u32>,
) -> impl Iterator<Item = Record> {
    let parts = parts.into_iter().map(move |part| tasks_key(id, part));
    let keys = [job_key(id), progress_key(id)].into_iter().chain(parts);
    keys.map(|key| Record { key, value: None })
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
    if ![LEASES_KEY, RESTARTS_KEY, SLOWDOWNS_KEY].contains(&key) && !["j", "p", "t"].contains(&kind)
    {
        return Ok(None);
    }
    let parse_id = || -> Result<JobId, InvalidRecord> {
        id.parse()
            .map_err(|_| invalid("the key has no valid job id"))
    };
    let body = match value.split_first() {
        Some((&FORMAT_VERSION, body)) => body,
        Some((&DIVIDED_FORMAT_VERSION, body)) if kind == "p" => {
            let id = parse_id()?;
            let decode = || {
                let (mut progress, rest) = postcard::take_from_bytes::<JobProgress>(body)?;
                progress.finished = postcard::from_bytes(rest)?;
                Ok(StoredRecord::Progress(id, progress))
            };
            return decode()
                .map(Some)
                .map_err(|e: postcard::Error| invalid(&e.to_string()));
        }
        _ => {
            return Err(invalid(
                "the value is empty or has an unknown format version",
            ));
        }
    };
    let stored = match kind {
        _ if key == LEASES_KEY => postcard::from_bytes(body).map(StoredRecord::Leases),
        _ if key == RESTARTS_KEY => postcard::from_bytes(body).map(StoredRecord::Restarts),
        _ if key == SLOWDOWNS_KEY => postcard::from_bytes(body).map(StoredRecord::Slowdowns),
        "j" => {
            parse_id()?;
            postcard::from_bytes(body).map(|job| StoredRecord::Job(Box::new(job)))
        }
        "t" => {
            let (id, part) = id
                .split_once('.')
                .ok_or_else(|| invalid("the key names no part of a job"))?;
            let id = id
                .parse()
                .map_err(|_| invalid("the key has no valid job id"))?;
            let part = part
                .parse()
                .map_err(|_| invalid("the key has no valid number of a part"))?;
            postcard::from_bytes(body).map(|tasks| StoredRecord::Tasks(id, part, tasks))
        }
        _ => {
            let id = parse_id()?;
            postcard::from_bytes(body).map(|progress| StoredRecord::Progress(id, progress))
        }
    };
    stored.map(Some).map_err(|e| invalid(&e.to_string()))
}
