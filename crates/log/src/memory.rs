//! A log in memory, with faults.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use lavenderhollow_types::Clock;
use lavenderhollow_types::Offset;
use lavenderhollow_types::StreamName;
use serde_json::value::RawValue;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::AppendError;
use crate::Appended;
use crate::Gone;
use crate::LogService;
use crate::LoggedRecord;
use crate::Page;
use crate::ReadError;
use crate::ReadFrom;
use crate::RefusedAppend;

/// The size at which a page ends early, in bytes of records; a page has at least one record.
const PAGE_BYTES: usize = 1 << 20;

/// Faults of the log, which may come together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Appends and reads fail without effect.
    pub down: bool,
    /// Appends and reads take effect and answer only after this time.
    pub slow: Duration,
    /// Appends take effect, but their answers are lost; reads work.
    pub answer_lost: bool,
}

#[derive(Debug, Default)]
struct Stream {
    records: VecDeque<LoggedRecord>,
    head: u64,
}

impl Stream {
    fn oldest(&self) -> Offset {
        Offset::new(self.head - self.records.len() as u64)
    }

    fn page(&self, from: Offset, max: usize) -> Result<Page, ReadError> {
        let oldest = self.oldest();
        let head = Offset::new(self.head);
        if from < oldest {
            return Err(ReadError::Gone(Gone { oldest, head }));
        }
        let skip = usize::try_from(from.get() - oldest.get()).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits = |record: &&LoggedRecord| {
            let first = bytes == 0;
            bytes += record.record.get().len();
            first || bytes <= PAGE_BYTES
        };
        let records = self.records.iter().skip(skip).take(max).take_while(fits);
        Ok(Page {
            oldest,
            head,
            records: records.cloned().collect(),
        })
    }
}

#[derive(Debug, Default)]
struct Inner {
    streams: HashMap<StreamName, Stream>,
    faults: Faults,
    retention: Option<Duration>,
    rate: Option<u32>,
    window: Option<(Instant, u32)>,
}

impl Inner {
    /// Counts an append in the present second; tells whether it is within the rate.
    fn admit(&mut self) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        let now = Instant::now();
        let (start, count) = match self.window {
            Some((start, count)) if now.duration_since(start) < Duration::from_secs(1) => {
                (start, count)
            }
            _ => (now, 0),
        };
        self.window = Some((start, count.saturating_add(1)));
        count < rate
    }

    fn stream(&mut self, name: &StreamName, clock: &dyn Clock) -> &mut Stream {
        let retention = self.retention;
        let stream = self.streams.entry(name.clone()).or_default();
        let limit = retention.and_then(|kept| clock.wall().checked_sub(kept));
        while let (Some(limit), Some(record)) = (limit, stream.records.front())
            && record.time < limit
        {
            stream.records.pop_front();
        }
        stream
    }
}

/// A log in memory; clones share it.
#[derive(Clone)]
pub struct MemoryLog {
    inner: Arc<Mutex<Inner>>,
    appends: watch::Sender<u64>,
    clock: Arc<dyn Clock>,
}

impl MemoryLog {
    /// Creates an empty log that takes the times of records from `clock`.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            inner: Arc::default(),
            appends: watch::Sender::new(0),
            clock,
        }
    }

    /// Sets the present faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner().faults = faults;
    }

    /// Returns the present faults.
    pub fn faults(&self) -> Faults {
        self.inner().faults
    }

    /// Sets how long records are kept; without a time they are kept for ever.
    pub fn set_retention(&self, retention: Option<Duration>) {
        self.inner().retention = retention;
    }

    /// Sets how many appends a second are accepted; without a number all are.
    pub fn set_rate(&self, rate: Option<u32>) {
        self.inner().rate = rate;
    }

    /// Drops the records before an offset.
    pub fn expire_before(&self, name: &StreamName, offset: Offset) {
        let mut inner = self.inner();
        let stream = inner.stream(name, &*self.clock);
        while stream.oldest() < offset && stream.records.pop_front().is_some() {}
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn store(
        &self,
        name: &StreamName,
        records: Vec<Box<RawValue>>,
    ) -> Result<Appended, RefusedAppend> {
        let mut inner = self.inner();
        if inner.faults.down {
            return Err(RefusedAppend::Unavailable);
        }
        if records.is_empty() {
            return Err(RefusedAppend::Invalid("no records".to_owned()));
        }
        if !inner.admit() {
            return Err(RefusedAppend::Busy);
        }
        let time = self.clock.wall();
        let stream = inner.stream(name, &*self.clock);
        let appended = Appended {
            first: Offset::new(stream.head),
            count: records.len() as u64,
        };
        for record in records {
            let offset = Offset::new(stream.head);
            stream.head += 1;
            stream.records.push_back(LoggedRecord {
                offset,
                time,
                record,
            });
        }
        drop(inner);
        self.appends.send_modify(|count| *count += 1);
        Ok(appended)
    }

    fn page(&self, name: &StreamName, from: ReadFrom) -> Result<Page, ReadError> {
        let mut inner = self.inner();
        if inner.faults.down {
            return Err(ReadError::Unavailable("log is down".to_owned()));
        }
        let stream = inner.stream(name, &*self.clock);
        stream.page(from.offset, from.max)
    }

    async fn delay(&self) {
        let slow = self.faults().slow;
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
    }
}

#[async_trait]
impl LogService for MemoryLog {
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<Box<RawValue>>,
    ) -> Result<Appended, AppendError> {
        let stored = self.store(stream, records).map_err(AppendError::Refused)?;
        self.delay().await;
        match self.faults().answer_lost {
            true => Err(AppendError::Unknown("answer was lost".to_owned())),
            false => Ok(stored),
        }
    }

    async fn read(&self, stream: &StreamName, from: ReadFrom) -> Result<Page, ReadError> {
        let end = Instant::now() + from.wait;
        // Subscribing before the first look leaves no gap in which an append goes unseen.
        let mut appends = self.appends.subscribe();
        loop {
            // The page is read anew after the wait, so that it shows an outage that began meanwhile.
            let over = Instant::now() >= end;
            let page = self.page(stream, from)?;
            if !page.records.is_empty() || from.max == 0 || over {
                self.delay().await;
                return Ok(page);
            }
            // Both a new record and the end of the wait lead to another look.
            let _ = tokio::time::timeout_at(end, appends.changed()).await;
        }
    }
}
