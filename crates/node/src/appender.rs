//! Appending to the partition that a process owns.
//!
//! Every append names the offset where the partition has to end. A call without an answer is
//! repeated with the same records at the same offset: whichever copy arrives first takes effect,
//! and reading the records at that offset tells whether they are the own ones.

use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_shard::Record;

use crate::backend::Entry;
use crate::backend::Store;
use crate::backend::StoreError;
use crate::backend::Topic;

/// The pause after a call that the store refused or did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// After what time without an append an owner checks that the partition is still its own; well
/// within the time that a successor waits for it.
pub(crate) const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);

/// The process does not own the partition any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLost;

/// Where an owned partition ends.
#[derive(Clone)]
pub struct Appender {
    store: Arc<dyn Store>,
    topic: Topic,
    end: u64,
}

impl Appender {
    /// Creates an appender for a partition that ends at `end`.
    pub fn new(store: Arc<dyn Store>, topic: Topic, end: u64) -> Self {
        Self { store, topic, end }
    }

    /// Returns where the partition ends.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Appends records, however long it takes.
    ///
    /// # Errors
    ///
    /// Fails when another process has appended, which is how a new owner shows.
    pub async fn append(&mut self, records: &[Record]) -> Result<(), OwnershipLost> {
        let count = records.len() as u64;
        loop {
            match self.store.append(self.topic, Some(self.end), records).await {
                Ok(offset) if offset == self.end => {
                    self.end += count;
                    return Ok(());
                }
                Ok(offset) => {
                    // The store answers a conditional append with the offset that was asked for.
                    log::error!(topic:display = self.topic, offset, end = self.end; "append_misplaced");
                    return Err(OwnershipLost);
                }
                Err(StoreError::OffsetMismatch { .. }) => return self.settle(records).await,
                Err(error) => {
                    log::warn!(topic:display = self.topic, error:display; "append_failed");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Checks that the partition still ends where this process left it.
    ///
    /// # Errors
    ///
    /// Fails as the store does; `Moved` tells that another process has appended.
    pub async fn check_ownership(&self) -> Result<(), StoreError> {
        let page = self
            .store
            .read(self.topic, self.end, Duration::ZERO)
            .await?;
        match page.end_offset == self.end {
            true => Ok(()),
            false => Err(StoreError::OffsetMismatch {
                end_offset: page.end_offset,
            }),
        }
    }

    /// Finds out whose records stand at the end that was expected.
    async fn settle(&mut self, records: &[Record]) -> Result<(), OwnershipLost> {
        loop {
            match self.store.read(self.topic, self.end, Duration::ZERO).await {
                Ok(page) => {
                    let own = page.entries.len() >= records.len()
                        && page.entries.iter().zip(records).all(same);
                    if !own {
                        log::info!(topic:display = self.topic, expected = self.end, end = page.end_offset; "partition_lost");
                        return Err(OwnershipLost);
                    }
                    self.end += records.len() as u64;
                    return Ok(());
                }
                Err(StoreError::Trimmed { first }) => {
                    log::warn!(topic:display = self.topic, first; "partition_trimmed");
                    return Err(OwnershipLost);
                }
                Err(error) => {
                    log::warn!(topic:display = self.topic, error:display; "append_unsettled");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

fn same((entry, record): (&Entry, &Record)) -> bool {
    entry.key == record.key && entry.value == record.value
}
