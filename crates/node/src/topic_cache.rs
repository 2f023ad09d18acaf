//! An in-memory copy of a keyed topic of the store, kept up to date by repeated reads.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::backend::Entry;
use crate::backend::Page;
use crate::backend::Store;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::listing::read_all_latest;

/// A copy of the latest record of each key of a topic.
#[derive(Debug)]
pub struct TopicCache {
    topic: Topic,
    next_offset: Option<u64>,
    records: BTreeMap<String, (u64, Option<Vec<u8>>)>,
}

/// The changes that one call of [`TopicCache::sync`] applied.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The keys that changed, and their new values; `None` for a removed key.
    pub changed: Vec<(String, Option<Vec<u8>>)>,
    /// Whether the copy contained every record of the topic when the store responded.
    pub up_to_date: bool,
}

impl TopicCache {
    /// Creates an empty copy; the first [`sync`](Self::sync) reads the whole topic.
    pub fn new(topic: Topic) -> Self {
        Self {
            topic,
            next_offset: None,
            records: BTreeMap::new(),
        }
    }

    /// Returns the keys and values in the order of the keys, without removed keys.
    pub fn records(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let records = self.records.iter();
        records.filter_map(|(key, (_, value))| Some((key.as_str(), value.as_deref()?)))
    }

    /// Applies the changes since the last call, and waits for up to `wait` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the store rejects the read or has no usable response. The copy is
    /// unchanged then.
    pub async fn sync(&mut self, store: &dyn Store, wait: Duration) -> Result<Changes, StoreError> {
        let Some(from) = self.next_offset else {
            return self.rebuild(store).await;
        };
        match store.read(self.topic, from, wait).await {
            Ok(page) => Ok(self.apply_page(page, from)),
            Err(StoreError::Compacted { .. }) => self.rebuild(store).await,
            Err(error) => Err(error),
        }
    }

    /// Applies the records of a page that was read from the offset `from`.
    fn apply_page(&mut self, page: Page, from: u64) -> Changes {
        let mut changes = Changes::default();
        let next_offset = page.next_offset.max(from);
        for entry in page.entries {
            self.apply_entry(entry, &mut changes);
        }
        self.next_offset = Some(next_offset);
        changes.up_to_date = next_offset >= page.end_offset;
        changes
    }

    /// Applies a record unless the copy has the same or a newer one of its key.
    fn apply_entry(&mut self, entry: Entry, changes: &mut Changes) {
        let cached = self.records.get(&entry.key);
        if cached.is_some_and(|(offset, _)| *offset >= entry.offset) {
            return;
        }
        changes
            .changed
            .push((entry.key.clone(), entry.value.clone()));
        self.records.insert(entry.key, (entry.offset, entry.value));
    }

    /// Reads the latest record of every key. The pages are not a snapshot, so further reads start
    /// at the offset at which the topic ended when the first page was read.
    async fn rebuild(&mut self, store: &dyn Store) -> Result<Changes, StoreError> {
        let listing = read_all_latest(store, self.topic).await?;
        Ok(self.replace_records(listing.entries, listing.end_offset))
    }

    /// Replaces the copy by a listing of the topic that was started when the topic ended at `end`.
    /// A key that is not listed was removed, unless its record is newer than `end`.
    fn replace_records(&mut self, entries: Vec<Entry>, end: u64) -> Changes {
        let mut changes = Changes::default();
        let listed: BTreeSet<&str> = entries.iter().map(|e| e.key.as_str()).collect();
        for (key, (offset, value)) in &mut self.records {
            if !listed.contains(key.as_str()) && value.is_some() && *offset < end {
                *value = None;
                changes.changed.push((key.clone(), None));
            }
        }
        for entry in entries {
            self.apply_entry(entry, &mut changes);
        }
        self.next_offset = Some(end);
        changes.up_to_date = true;
        changes
    }
}
