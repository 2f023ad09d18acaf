//! Which shards hold jobs of which queue. After the configuration has sent a queue to another pool,
//! jobs that were accepted before are still in the shard of the earlier pool, and a repeated
//! submission of such a job has to find it there.
//!
//! The owner of a shard publishes this in the owners' topic before it accepts the first job of a
//! queue, so that every process knows it whenever the queue moves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::Record;

use crate::shard_id::ShardId;
use crate::shard_id::stable_hash;

/// The prefix of the keys of these records in the owners' topic.
const KEY_PREFIX: &str = "queue/";

/// The shards that hold jobs of each queue, as far as this process knows them.
#[derive(Debug, Default)]
pub struct QueueShards(Mutex<Known>);

#[derive(Debug, Default)]
struct Known {
    /// Whether the topic has been read since the process started.
    complete: bool,
    shards: BTreeMap<Name, BTreeSet<ShardId>>,
    /// The shard and the queue of each record, by its key.
    records: BTreeMap<String, (ShardId, Name)>,
}

impl QueueShards {
    /// Returns the shards that hold jobs of a queue.
    pub fn of_queue(&self, queue: &str) -> BTreeSet<ShardId> {
        self.lock().shards.get(queue).cloned().unwrap_or_default()
    }

    /// Returns whether the records have been read since the process started. Until then a queue may
    /// have been served by any shard.
    pub fn is_complete(&self) -> bool {
        self.lock().complete
    }

    /// Records that all records of the topic have been applied.
    pub fn mark_complete(&self) {
        self.lock().complete = true;
    }

    /// Returns whether it is published that a shard holds jobs of a queue.
    pub(crate) fn contains(&self, shard: ShardId, queue: &str) -> bool {
        let known = self.lock();
        let shards = known.shards.get(queue);
        shards.is_some_and(|s| s.contains(&shard))
    }

    /// Returns the queues of which a shard holds jobs.
    pub(crate) fn of_shard(&self, shard: ShardId) -> Vec<Name> {
        let known = self.lock();
        let records = known.records.values().filter(|(s, _)| *s == shard);
        records.map(|(_, queue)| Arc::clone(queue)).collect()
    }

    /// Records that a shard holds jobs of a queue.
    pub(crate) fn insert(&self, shard: ShardId, queue: &Name) {
        self.insert_key(key(shard, queue), shard, queue);
    }

    /// Records that a shard holds no jobs of a queue any more.
    pub(crate) fn remove(&self, shard: ShardId, queue: &str) {
        self.remove_key(&key(shard, queue));
    }

    /// Applies a record of the owners' topic. Returns whether it is one of these records.
    pub fn apply(&self, key: &str, value: Option<&[u8]>) -> bool {
        let Some(rest) = key.strip_prefix(KEY_PREFIX) else {
            return false;
        };
        let shard = rest.split_once('/').and_then(|(s, _)| s.parse().ok());
        match (shard, value.map(std::str::from_utf8)) {
            (_, None) => self.remove_key(key),
            (Some(shard), Some(Ok(queue))) => {
                self.insert_key(key.to_owned(), ShardId(shard), &queue.into());
            }
            _ => log::warn!(key; "queue_record_invalid"),
        }
        true
    }

    fn insert_key(&self, key: String, shard: ShardId, queue: &Name) {
        let mut known = self.lock();
        let shards = known.shards.entry(Arc::clone(queue)).or_default();
        shards.insert(shard);
        known.records.insert(key, (shard, Arc::clone(queue)));
    }

    fn remove_key(&self, key: &str) {
        let mut known = self.lock();
        if let Some((shard, queue)) = known.records.remove(key)
            && let Some(shards) = known.shards.get_mut(&queue)
        {
            shards.remove(&shard);
            if shards.is_empty() {
                known.shards.remove(&queue);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the key of a record. It has the hash of the queue's name, since the store limits keys to
/// 255 bytes.
fn key(shard: ShardId, queue: &str) -> String {
    format!("{KEY_PREFIX}{shard}/{:016x}", stable_hash(queue.as_bytes()))
}

/// Returns the record that a shard holds jobs of a queue, or the one that removes this.
pub(crate) fn queue_record(shard: ShardId, queue: &str, held: bool) -> Record {
    Record {
        key: key(shard, queue),
        value: held.then(|| queue.as_bytes().to_vec()),
    }
}
