//! Claims shards with a conditional append to the shard's partition. The offset of the claim
//! determines the fencing token.

use std::mem;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use lavenderhollow_shard::JobMemory;
use lavenderhollow_shard::LEASES_KEY;
use lavenderhollow_shard::Record;
use lavenderhollow_shard::StoredRecord;
use lavenderhollow_shard::decode_record;

use crate::appender::Appender;
use crate::appender::OwnershipLost;
use crate::assignment::Member;
use crate::assignment::Ownership;
use crate::backend::Entry;
use crate::backend::Platform;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::job_budget::JobBudget;
use crate::job_budget::ShardMemory;
use crate::listing::read_all_latest;
use crate::listing::read_latest_while;
use crate::shard_id::ShardId;

/// The key of the record with which a process claims a shard.
const CLAIM_KEY: &str = "owner";

/// The key of the last record of an owner that releases its shard.
const RELEASE_KEY: &str = "released";

/// A key that sorts just before [`LEASES_KEY`] and [`CLAIM_KEY`], so that the page after it begins
/// with these two.
const BEFORE_LEASES: &str = "lease";

/// Returns the last record of an owner that releases its shard.
pub(crate) fn release_record(fencing_token: u64) -> Record {
    Record {
        key: RELEASE_KEY.to_owned(),
        value: Some(fencing_token.to_string().into_bytes()),
    }
}

/// A shard that this process claimed.
pub struct ClaimedShard {
    /// Appends to the partition of the shard.
    pub appender: Appender,
    /// The token of this owner for requests to workers.
    pub fencing_token: u64,
    /// Whether the previous owner released the shard, so that it sends no more commands.
    pub released: bool,
    /// The latest record of each key of the shard. The one of the leases of silent workers is missing
    /// if the previous owner did not store it.
    pub entries: Vec<Entry>,
    /// The records that [`Self::decode_records`] has decoded.
    pub records: Vec<StoredRecord>,
    /// The memory for the shard's jobs.
    pub memory: ShardMemory,
}

impl ClaimedShard {
    /// Decodes the entries of a shard with jobs, and reserves the memory of the jobs. Drops each entry
    /// once it is decoded, since the entries take as much memory as the records.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError::NoMemory`] if there is none for the jobs.
    pub fn decode_records(&mut self, shard: ShardId) -> Result<(), ClaimError> {
        for entry in mem::take(&mut self.entries) {
            let Some(value) = entry.value else {
                continue;
            };
            match decode_record(&entry.key, &value) {
                Ok(Some(decoded)) => self.records.push(decoded),
                Ok(None) => {}
                Err(error) => log::error!(shard:display, error:display; "record_decode_failed"),
            }
        }
        match self.memory.reserve(JobMemory::of_records(&self.records)) {
            true => Ok(()),
            false => Err(ClaimError::NoMemory),
        }
    }
}

/// Why a shard was not claimed.
#[derive(Debug, Display, Error, From)]
pub enum ClaimError {
    /// A call to the store failed.
    #[display("{_0}")]
    Store(StoreError),
    /// The process has no memory for the jobs of the shard beside those that it has.
    #[display("no memory for the jobs of the shard")]
    NoMemory,
}

/// What a claim is based on, as of one read of the shard's partition.
#[derive(Clone, Debug)]
pub struct PartitionHead {
    /// The offset at which the partition ends.
    pub end_offset: u64,
    /// The record of the leases of silent workers if the owner with the last claim stored it.
    leases: Option<Record>,
}

/// Reads what a claim of a shard is based on.
///
/// # Errors
///
/// Returns the error of a failed read.
pub async fn read_head(platform: &Platform, shard: ShardId) -> Result<PartitionHead, StoreError> {
    let page = platform
        .store
        .read_latest(Topic::Shard(shard), Some(BEFORE_LEASES.as_bytes()))
        .await?;
    Ok(PartitionHead {
        end_offset: page.end_offset,
        leases: valid_leases(&page.entries),
    })
}

/// Claims a shard if its partition still ends where `head` says, and reads the records of its
/// earlier owners. After the claim no other process can append to the shard's partition without a
/// new claim, so the pages that are read are a snapshot.
///
/// The record of the leases of silent workers holds only if the previous owner stored it, since an
/// owner with an older build may have renewed these leases. Such a record is stored again with the
/// claim, so that it still holds if this process stores nothing else.
///
/// The records are counted in `budget` while they are read. Without memory for them the shard stays without
/// an owner, and its records as they are.
///
/// # Errors
///
/// Returns the error of a failed read, [`StoreError::OffsetMismatch`] if another process has
/// appended, and [`ClaimError::NoMemory`].
pub async fn claim(
    platform: &Platform,
    shard: ShardId,
    me: &Member,
    head: PartitionHead,
    budget: &Arc<JobBudget>,
) -> Result<ClaimedShard, ClaimError> {
    let topic = Topic::Shard(shard);
    let end_offset = head.end_offset;
    let mut appender = Appender::new(platform.store.clone(), topic, end_offset);
    let record = Record {
        key: CLAIM_KEY.to_owned(),
        value: Some(me.to_string().into_bytes()),
    };
    let mut records = vec![record];
    records.extend(head.leases);
    if let Err(OwnershipLost) = appender.append(&records).await {
        return Err(StoreError::OffsetMismatch { end_offset }.into());
    }
    // An offset may be zero, and workers treat a missing token as zero.
    let fencing_token = end_offset + 1;
    let memory = budget.add_shard();
    let fits = |entries: &[Entry]| memory.reserve(entries.iter().map(entry_size).sum());
    let listing = read_latest_while(&*platform.store, topic, fits).await?;
    let mut entries = listing.ok_or(ClaimError::NoMemory)?.entries;
    // A record at a lower offset did not hold, or it would have been stored again.
    entries.retain(|e| e.key != LEASES_KEY || e.offset > end_offset);
    let released = entries
        .iter()
        .any(|e| e.key == RELEASE_KEY && e.offset + 1 == end_offset);
    Ok(ClaimedShard {
        appender,
        fencing_token,
        released,
        entries,
        records: Vec::new(),
        memory,
    })
}

/// Returns the memory of a record that was read, in bytes.
fn entry_size(entry: &Entry) -> usize {
    size_of::<Entry>() + entry.key.len() + entry.value.as_ref().map_or(0, Vec::len)
}

/// Returns the record of the leases of silent workers if the owner with the last claim stored it.
fn valid_leases(entries: &[Entry]) -> Option<Record> {
    let entry = |key: &str| entries.iter().find(|e| e.key == key);
    let (claim, leases) = (entry(CLAIM_KEY)?, entry(LEASES_KEY)?);
    let is_valid = leases.offset > claim.offset && leases.value.is_some();
    is_valid.then(|| Record {
        key: leases.key.clone(),
        value: leases.value.clone(),
    })
}

/// Publishes the owner of a shard in the owners' topic, so that other processes find it.
///
/// # Errors
///
/// Returns the error of the append, or an error if the record can't be encoded.
pub(crate) async fn publish_owner(
    platform: &Platform,
    shard: ShardId,
    owner: &Ownership,
) -> Result<(), StoreError> {
    let value = postcard::to_allocvec(owner).map_err(|error| StoreError::Rejected {
        detail: format!("can't encode the owner: {error}"),
    })?;
    let record = Record {
        key: shard.to_string(),
        value: Some(value),
    };
    platform
        .store
        .append(Topic::Owners, None, &[record])
        .await?;
    Ok(())
}

/// Reads the published owners of all shards.
///
/// # Errors
///
/// Returns the error of a failed read.
pub(crate) async fn read_owners(
    platform: &Platform,
) -> Result<Vec<(ShardId, Ownership)>, StoreError> {
    let listing = read_all_latest(&*platform.store, Topic::Owners).await?;
    let entries = listing.entries.iter();
    let owners = entries.filter_map(|e| decode_owner(&e.key, e.value.as_deref()?));
    Ok(owners.collect())
}

/// Decodes a record of the owners' topic; `None` if it is not valid.
pub(crate) fn decode_owner(key: &str, value: &[u8]) -> Option<(ShardId, Ownership)> {
    let shard = ShardId(key.parse().ok()?);
    let owner = postcard::from_bytes(value).ok()?;
    Some((shard, owner))
}
