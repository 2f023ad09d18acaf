//! Following a keyed topic of the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::backend::Entry;
use crate::backend::Page;
use crate::backend::Store;
use crate::backend::StoreError;
use crate::backend::Topic;

/// A copy of the newest records of a keyed topic.
#[derive(Debug)]
pub struct TopicCache {
    topic: Topic,
    next: Option<u64>,
    records: BTreeMap<String, (u64, Option<Vec<u8>>)>,
}

/// What one step of following found.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The keys that changed, and their values.
    pub changed: Vec<(String, Option<Vec<u8>>)>,
    /// Whether the copy had everything when the store answered.
    pub up_to_date: bool,
}

impl TopicCache {
    /// Creates a copy without records.
    pub fn new(topic: Topic) -> Self {
        Self {
            topic,
            next: None,
            records: BTreeMap::new(),
        }
    }

    /// Returns the records.
    pub fn records(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let all = self.records.iter();
        all.filter_map(|(key, (_, value))| Some((key.as_str(), value.as_deref()?)))
    }

    /// Takes in what has changed, and waits for a change for up to `wait`.
    ///
    /// # Errors
    ///
    /// Fails when the store has no usable answer; the copy stays as it is.
    pub async fn sync(&mut self, store: &dyn Store, wait: Duration) -> Result<Changes, StoreError> {
        let Some(from) = self.next else {
            return self.rebuild(store).await;
        };
        match store.read(self.topic, from, wait).await {
            Ok(page) => Ok(self.take(page, from)),
            Err(StoreError::Trimmed { .. }) => self.rebuild(store).await,
            Err(error) => Err(error),
        }
    }

    fn take(&mut self, page: Page, from: u64) -> Changes {
        let mut changes = Changes::default();
        let mut next = from;
        for entry in page.entries {
            next = next.max(entry.offset + 1);
            self.set(entry, &mut changes);
        }
        self.next = Some(next);
        changes.up_to_date = next >= page.end_offset;
        changes
    }

    fn set(&mut self, entry: Entry, changes: &mut Changes) {
        let known = self.records.get(&entry.key);
        if known.is_some_and(|(offset, _)| *offset >= entry.offset) {
            return;
        }
        changes
            .changed
            .push((entry.key.clone(), entry.value.clone()));
        self.records.insert(entry.key, (entry.offset, entry.value));
    }

    /// Reads the newest record of every key. The pages are not a snapshot, so that reading goes on
    /// from where the topic ended at the first of them.
    async fn rebuild(&mut self, store: &dyn Store) -> Result<Changes, StoreError> {
        let mut entries = Vec::new();
        let mut first_end = None;
        let mut after: Option<String> = None;
        loop {
            let page = store.read_latest(self.topic, after.as_deref()).await?;
            let end = *first_end.get_or_insert(page.end_offset);
            after = page.entries.last().map(|e| e.key.clone());
            let more = page.has_more && after.is_some();
            entries.extend(page.entries);
            if !more {
                return Ok(self.replace(entries, end));
            }
        }
    }

    fn replace(&mut self, entries: Vec<Entry>, end: u64) -> Changes {
        let mut changes = Changes::default();
        let listed: BTreeSet<&str> = entries.iter().map(|e| e.key.as_str()).collect();
        for (key, (offset, value)) in &mut self.records {
            if !listed.contains(key.as_str()) && value.is_some() && *offset < end {
                *value = None;
                changes.changed.push((key.clone(), None));
            }
        }
        for entry in entries {
            self.set(entry, &mut changes);
        }
        self.next = Some(end);
        changes.up_to_date = true;
        changes
    }
}
