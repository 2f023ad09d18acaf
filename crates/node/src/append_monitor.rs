//! Notices that the store rejects the appends of this process while it serves its other calls.
//!
//! The owners of such a process can store nothing, so that they accept no jobs and start no tasks. As
//! long as the process stays a member, no other process claims their shards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Record;
use lavenderhollow_types::Clock;

use crate::backend::Listing;
use crate::backend::Page;
use crate::backend::Store;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::shard_manager::lock;

/// How long the store may reject all appends to a shard before the process should give its shards up.
/// Several repetitions fall into this time, and a short overload of the store has passed after it.
const MAX_REJECTED: Duration = Duration::from_secs(1);

/// The time after the last rejection for which the process should own no shards, unless an append to
/// the same shard succeeds. Otherwise it would claim shards again that it can't append to.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Appends to a shard that the store rejected, with none that it took in between.
#[derive(Clone, Copy, Debug)]
struct Rejections {
    first: Instant,
    last: Instant,
}

/// A store whose rejections of appends to shards are recorded.
pub(crate) struct AppendMonitor {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    rejections: Mutex<BTreeMap<Topic, Rejections>>,
}

impl AppendMonitor {
    pub(crate) fn new(store: Arc<dyn Store>, clock: Arc<dyn Clock>) -> Self {
        Self {
            store,
            clock,
            rejections: Mutex::default(),
        }
    }

    /// Returns whether the store has rejected all appends to a shard for [`MAX_REJECTED`].
    pub(crate) fn is_rejecting(&self) -> bool {
        let now = self.clock.now();
        let mut rejections = lock(&self.rejections);
        rejections.retain(|_, r| now.saturating_duration_since(r.last) < RECOVERY_TIME);
        rejections
            .values()
            .any(|r| r.last.saturating_duration_since(r.first) >= MAX_REJECTED)
    }

    /// Records the outcome of an append. One without a response may have been carried out, and shows
    /// nothing.
    fn record(&self, topic: Topic, result: &Result<u64, StoreError>) {
        let mut rejections = lock(&self.rejections);
        match result {
            Err(StoreError::Rejected { .. }) => {
                let now = self.clock.now();
                let first = rejections.get(&topic).map_or(now, |r| r.first);
                rejections.insert(topic, Rejections { first, last: now });
            }
            Err(StoreError::OutcomeUnknown { .. }) => {}
            Ok(_) | Err(StoreError::OffsetMismatch { .. } | StoreError::Compacted { .. }) => {
                rejections.remove(&topic);
            }
        }
    }
}

#[async_trait]
impl Store for AppendMonitor {
    async fn append(
        &self,
        topic: Topic,
        expected_end: Option<u64>,
        records: &[Record],
    ) -> Result<u64, StoreError> {
        let result = self.store.append(topic, expected_end, records).await;
        if matches!(topic, Topic::Shard(_)) {
            self.record(topic, &result);
        }
        result
    }

    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError> {
        self.store.read(topic, from, wait).await
    }

    async fn read_latest(&self, topic: Topic, after: Option<&[u8]>) -> Result<Listing, StoreError> {
        self.store.read_latest(topic, after).await
    }

    async fn join(&self, member: &str, ttl: Duration, generation: u64) -> Result<u64, StoreError> {
        self.store.join(member, ttl, generation).await
    }

    async fn leave(&self, member: &str) -> Result<(), StoreError> {
        self.store.leave(member).await
    }

    async fn members(&self) -> Result<Vec<Name>, StoreError> {
        self.store.members().await
    }
}
