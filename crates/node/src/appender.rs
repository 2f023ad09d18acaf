//! Appends records to the partition that a process owns.
//!
//! Every append names the offset at which the partition must end. A call without a response is
//! repeated with the same records at the same offset: the copy that arrives first takes effect, and
//! reading the records at that offset shows whether they are those of this process.

use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_shard::Record;

use crate::backend::Entry;
use crate::backend::Store;
use crate::backend::StoreError;
use crate::backend::Topic;

/// The delay before a call that the store rejected, or to which it did not respond, is repeated.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The time without an append after which an owner checks that it still owns the partition. It is
/// well within the time that a successor waits before it acts.
pub(crate) const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);

/// The error that this process no longer owns the partition, because another process has claimed
/// it, or can't go on as its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLost;

/// Appends to an owned partition, for which it keeps track of the end.
#[derive(Clone)]
pub struct Appender {
    store: Arc<dyn Store>,
    topic: Topic,
    end_offset: u64,
}

impl Appender {
    /// Creates an appender for a partition that ends at `end_offset`, as the claim of the shard
    /// found it.
    pub fn new(store: Arc<dyn Store>, topic: Topic, end_offset: u64) -> Self {
        Self {
            store,
            topic,
            end_offset,
        }
    }

    /// Returns the offset after the last record that this process appended.
    pub fn end_offset(&self) -> u64 {
        self.end_offset
    }

    /// Appends records and repeats the call until its outcome is known, however long that takes.
    ///
    /// # Errors
    ///
    /// Returns [`OwnershipLost`] if another process has appended, which shows that the shard has a
    /// new owner, if the store no longer retains the records that would show it, or if it refuses the
    /// records as such. The shard is then claimed anew: what is not stored had no effect, and without
    /// it the shard goes on.
    pub async fn append(&mut self, records: &[Record]) -> Result<(), OwnershipLost> {
        let count = records.len() as u64;
        loop {
            match self
                .store
                .append(self.topic, Some(self.end_offset), records)
                .await
            {
                Ok(offset) if offset == self.end_offset => {
                    self.end_offset += count;
                    return Ok(());
                }
                Ok(offset) => {
                    // A store that works returns the expected offset for a conditional append.
                    log::error!(
                        topic:display = self.topic, offset, end = self.end_offset;
                        "append_offset_mismatch"
                    );
                    return Err(OwnershipLost);
                }
                Err(StoreError::OffsetMismatch { .. }) => return self.resolve(records).await,
                Err(error @ StoreError::Refused { .. }) => {
                    log::error!(topic:display = self.topic, records = count, error:display; "append_refused");
                    return Err(OwnershipLost);
                }
                Err(error) => {
                    log::warn!(topic:display = self.topic, error:display; "append_failed");
                    tokio::time::sleep(APPEND_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Checks that the partition still ends where this process left it.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed read, and [`StoreError::OffsetMismatch`] if another process has
    /// appended.
    pub async fn check_ownership(&self) -> Result<(), StoreError> {
        let page = self
            .store
            .read(self.topic, self.end_offset, Duration::ZERO)
            .await?;
        if page.end_offset == self.end_offset {
            return Ok(());
        }
        log::info!(
            topic:display = self.topic, expected = self.end_offset, end = page.end_offset;
            "ownership_check_mismatch"
        );
        Err(StoreError::OffsetMismatch {
            end_offset: page.end_offset,
        })
    }

    /// Reads the records at the expected end to find out whether an earlier copy of this append
    /// took effect and this process still owns the partition. The records of this process show only
    /// the former: the claim of a successor may follow them.
    async fn resolve(&mut self, records: &[Record]) -> Result<(), OwnershipLost> {
        loop {
            match self
                .store
                .read(self.topic, self.end_offset, Duration::ZERO)
                .await
            {
                Ok(page) => {
                    let count = records.len() as u64;
                    let stored = page.entries.len() >= records.len()
                        && page.entries.iter().zip(records).all(is_same_record);
                    if !stored || page.end_offset != self.end_offset + count {
                        log::info!(
                            topic:display = self.topic, expected = self.end_offset,
                            end = page.end_offset, stored; "ownership_lost"
                        );
                        return Err(OwnershipLost);
                    }
                    self.end_offset += count;
                    return Ok(());
                }
                Err(StoreError::Compacted { first }) => {
                    log::warn!(topic:display = self.topic, first; "partition_compacted");
                    return Err(OwnershipLost);
                }
                Err(error) => {
                    log::warn!(topic:display = self.topic, error:display; "append_outcome_unknown");
                    tokio::time::sleep(APPEND_RETRY_DELAY).await;
                }
            }
        }
    }
}

fn is_same_record((entry, record): (&Entry, &Record)) -> bool {
    entry.key == record.key && entry.value == record.value
}
