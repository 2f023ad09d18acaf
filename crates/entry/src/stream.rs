//! One stream of the log, followed and appended to by this process.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::fold::Outcome;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::follower::Batch;
use lavenderhollow_core::follower::Event;
use lavenderhollow_core::follower::Follower;
use lavenderhollow_core::follower::Page;
use lavenderhollow_core::follower::Status;
use lavenderhollow_core::follower::Urgency;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Position;
use lavenderhollow_core::record::Record;
use lavenderhollow_log::LogService;
use lavenderhollow_log::ReadError;
use lavenderhollow_log::ReadFrom;
use lavenderhollow_types::Clock;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::StreamName;
use lavenderhollow_types::Version;
use serde_json::Value;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::metric;

/// The most records that one read asks for.
const PAGE_RECORDS: usize = 500;

/// The pause after a page that ends at a record of a newer version of the program.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);

/// The pause after a failed read.
const READ_RETRY: Duration = Duration::from_millis(200);

/// The longest sleep of the appending task, after which it looks for records to give up.
const APPEND_IDLE: Duration = Duration::from_secs(1);

/// The longest random delay before a snapshot.
const SNAPSHOT_DELAY: Duration = Duration::from_secs(30);

/// What a stream tells the rest of the process.
pub(crate) trait Observer<S: State>: Send + Sync {
    /// Takes in a page. `at_head` is the time before which the fold has everything, when the fold
    /// is at the log's head.
    fn folded(&self, follower: &Follower<S>, events: &[Event<S>], at_head: Option<Instant>);

    /// Takes in that the log could not be read.
    fn unreachable(&self) {}
}

/// Why the outcome of a record is not known.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum ProposeError {
    /// The record was not read back in time; it may still be accepted.
    #[display("the log did not confirm the record in time")]
    Unconfirmed,
    /// The stream's history is lost or not read yet.
    #[display("the log's history is not known yet")]
    NotFollowing,
}

/// What the process needs to follow a stream.
pub(crate) struct StreamParts {
    pub(crate) name: StreamName,
    pub(crate) log: Arc<dyn LogService>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) actor: Incarnation,
    pub(crate) writers: usize,
    pub(crate) retention: Duration,
    /// How long a read waits for new records. It bounds the age of a confirmation.
    pub(crate) wait: Duration,
}

type Waiter<S> = oneshot::Sender<Outcome<<S as State>::Rejection>>;

struct Inner<S: State> {
    follower: Follower<S>,
    waiters: HashMap<RecordId, Waiter<S>>,
}

/// A stream of the log. The lock is never taken on the path of a synchronous idempotent request.
pub(crate) struct Stream<S: State> {
    parts: StreamParts,
    inner: Mutex<Inner<S>>,
    queued: Notify,
}

impl<S> Stream<S>
where
    S: State + Send + 'static,
    S::Change: Send,
    S::Rejection: Send,
{
    pub(crate) fn new(parts: StreamParts) -> Self {
        let now = parts.clock.now();
        let follower = Follower::new(parts.writers, parts.retention, now);
        Self {
            inner: Mutex::new(Inner {
                follower,
                waiters: HashMap::new(),
            }),
            parts,
            queued: Notify::new(),
        }
    }

    /// Reads the folded state.
    pub(crate) fn read<T>(&self, f: impl FnOnce(&Fold<S>) -> T) -> T {
        f(self.inner().follower.fold())
    }

    /// Tells how far the fold is.
    pub(crate) fn status(&self) -> Status {
        self.inner().follower.status()
    }

    /// Changes the number of entries that share the append budget.
    pub(crate) fn set_writers(&self, writers: usize) {
        self.inner().follower.set_writers(writers);
    }

    /// Appends a change without waiting for its outcome.
    pub(crate) fn submit(&self, change: S::Change, expected: Option<Version>) -> RecordId {
        let record = self.record(change, expected);
        let id = record.id;
        self.submit_record(record);
        id
    }

    /// Appends a record without waiting for its outcome.
    pub(crate) fn submit_record(&self, record: Record<S::Change>) {
        self.enqueue(record, Urgency::Normal, None);
    }

    /// Appends a change and waits until it is read back.
    pub(crate) async fn propose(
        &self,
        change: S::Change,
        expected: Option<Version>,
        limit: Duration,
    ) -> Result<Outcome<S::Rejection>, ProposeError> {
        self.propose_record(self.record(change, expected), limit)
            .await
    }

    /// Appends a record whose id the caller chose and waits until it is read back.
    pub(crate) async fn propose_record(
        &self,
        record: Record<S::Change>,
        limit: Duration,
    ) -> Result<Outcome<S::Rejection>, ProposeError> {
        if self.status() != Status::Following {
            return Err(ProposeError::NotFollowing);
        }
        let (sender, outcome) = oneshot::channel();
        self.enqueue(record, Urgency::Urgent, Some(sender));
        match tokio::time::timeout(limit, outcome).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unconfirmed),
        }
    }

    /// Makes a record of this process.
    pub(crate) fn record(&self, change: S::Change, expected: Option<Version>) -> Record<S::Change> {
        Record {
            id: RecordId::random(),
            created: self.parts.clock.wall(),
            actor: self.parts.actor,
            expected,
            change,
        }
    }

    fn enqueue(&self, record: Record<S::Change>, urgency: Urgency, waiter: Option<Waiter<S>>) {
        let mut inner = self.inner();
        if let Some(waiter) = waiter {
            inner.waiters.insert(record.id, waiter);
        }
        let now = self.parts.clock.now();
        inner.follower.submit(record, urgency, now);
        drop(inner);
        self.queued.notify_one();
    }

    /// Reads the stream for ever.
    pub(crate) async fn follow(&self, observer: &dyn Observer<S>) {
        loop {
            let next = self.inner().follower.next();
            let from = ReadFrom {
                offset: next,
                max: PAGE_RECORDS,
                wait: self.parts.wait,
            };
            let sent = self.parts.clock.now();
            match self.parts.log.read(&self.parts.name, from).await {
                Ok(page) => {
                    let page = typed(page);
                    let cut_short = page.unknown;
                    self.take(page.page, sent, observer);
                    if cut_short {
                        // The log answers at once, and the record stays unknown until this program
                        // is replaced by a newer one.
                        tokio::time::sleep(UNKNOWN_RETRY).await;
                    }
                }
                Err(ReadError::Gone(gone)) => {
                    let page = Page {
                        oldest: gone.oldest,
                        head: gone.head,
                        items: Vec::new(),
                    };
                    self.take(page, sent, observer);
                }
                Err(error) => {
                    self.count_error("read", &error);
                    observer.unreachable();
                    tokio::time::sleep(READ_RETRY).await;
                }
            }
        }
    }

    fn take(&self, page: Page<S>, sent: Instant, observer: &dyn Observer<S>) {
        let head = page.head;
        let mut inner = self.inner();
        let events = inner.follower.take(page, self.parts.clock.now());
        for event in &events {
            if let Event::Settled { id, outcome } = event
                && let Some(waiter) = inner.waiters.remove(id)
            {
                let outcome = match outcome {
                    Outcome::Duplicate => inner.follower.fold().recall(*id),
                    _ => None,
                }
                .unwrap_or_else(|| outcome.clone());
                // The waiter may have given up; the outcome is in the fold all the same.
                let _ = waiter.send(outcome);
            }
        }
        let at_head = inner.follower.is_at_head(head).then_some(sent);
        observer.folded(&inner.follower, &events, at_head);
        inner.waiters.retain(|_, waiter| !waiter.is_closed());
        drop(inner);
        self.count_records(&events);
    }

    /// Appends queued records and due snapshots for ever.
    pub(crate) async fn append(&self) {
        loop {
            let now = self.parts.clock.now();
            let batch = self.inner().follower.flush(now);
            if let Some(batch) = batch {
                self.append_batch(batch).await;
                continue;
            }
            self.append_snapshot().await;
            let due = self.flush_at();
            let idle = due.map_or(APPEND_IDLE, |at| at.saturating_duration_since(now));
            let _ = tokio::time::timeout(idle.min(APPEND_IDLE), self.queued.notified()).await;
            self.give_up();
        }
    }

    fn flush_at(&self) -> Option<Instant> {
        self.inner().follower.flush_at()
    }

    async fn append_batch(&self, batch: Batch<S::Change>) {
        let number = batch.number;
        let records: Vec<Box<RawValue>> = batch
            .records
            .into_iter()
            .filter_map(|record| to_raw_value(&Item::<_, Fold<S>>::Change(record)).ok())
            .collect();
        let answer = self.parts.log.append(&self.parts.name, records).await;
        if let Err(error) = &answer {
            self.count_error("append", error);
        }
        let now = self.parts.clock.now();
        self.inner().follower.answered(number, answer.is_ok(), now);
    }

    async fn append_snapshot(&self) {
        let delay = SNAPSHOT_DELAY.mul_f64(rand::random::<f64>());
        let (now, wall) = (self.parts.clock.now(), self.parts.clock.wall());
        let Some(item) = self.inner().follower.snapshot(now, wall, delay) else {
            return;
        };
        let Ok(record) = to_raw_value(&item) else {
            return;
        };
        let answer = self.parts.log.append(&self.parts.name, vec![record]).await;
        if let Err(error) = answer {
            self.count_error("snapshot", &error);
            self.inner().follower.snapshot_failed();
        }
    }

    fn give_up(&self) {
        let now = self.parts.clock.now();
        let mut inner = self.inner();
        for event in inner.follower.give_up(now) {
            if let Event::Unknown(id) = event {
                inner.waiters.remove(&id);
            }
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner<S>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_error(&self, call: &'static str, error: &dyn std::fmt::Display) {
        let stream = self.parts.name.to_string();
        metrics::counter!(metric::LOG_ERRORS, "call" => call, "stream" => stream).increment(1);
        log::debug!("log {call} of {} failed: {error}", self.parts.name);
    }

    fn count_records(&self, events: &[Event<S>]) {
        for event in events {
            if let Event::Folded { outcome, .. } = event {
                let outcome = if outcome.is_accepted() {
                    "accepted"
                } else {
                    "no_effect"
                };
                let stream = self.parts.name.to_string();
                let labels = [("stream", stream), ("outcome", outcome.to_owned())];
                metrics::counter!(metric::RECORDS, &labels).increment(1);
            }
        }
    }
}

/// A page whose records are read.
struct Typed<S: State> {
    page: Page<S>,
    /// Whether the page ends before a record that this version does not know.
    unknown: bool,
}

/// Reads the records of a page.
///
/// What is no record at all has no effect, nor has a snapshot that can't be read, because a snapshot
/// changes no state. A record with a change that this version of the program does not know ends the
/// page: skipping it would give another state than newer entries have.
fn typed<S: State>(page: lavenderhollow_log::Page) -> Typed<S> {
    let mut unknown = false;
    let mut items = Vec::with_capacity(page.records.len());
    for logged in page.records {
        let position = Position {
            offset: logged.offset,
            time: logged.time,
        };
        match serde_json::from_str(logged.record.get()) {
            Ok(item) => items.push((position, item)),
            Err(_) if is_foreign(logged.record.get()) => items.push((position, Item::Foreign)),
            Err(error) => {
                log::error!("record {} of the log is not known: {error}", logged.offset);
                unknown = true;
                break;
            }
        }
    }
    Typed {
        unknown,
        page: Page {
            oldest: page.oldest,
            head: page.head,
            items,
        },
    }
}

fn is_foreign(text: &str) -> bool {
    let item = serde_json::from_str::<Item<Value, Value>>(text);
    !matches!(item, Ok(Item::Change(_)))
}
