//! The workers' registrations, shared among the owners of a process.
//!
//! Few of the registrations change between two reads of the workers' topic. A registration is
//! decoded once for each change, and an owner is notified only if a worker of its shard changed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::WorkerInfo;
use lavenderhollow_trace::LineLimiter;
use lavenderhollow_types::Clock;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::backend::Codec;
use crate::backend::Platform;
use crate::backend::Topic;
use crate::shard_id::ShardId;
use crate::shard_manager::STORE_RETRY_DELAY;
use crate::topic_cache::Changes;
use crate::topic_cache::TopicCache;

/// The interval between reads of the workers' topic. It is short enough because a worker that leaves
/// announces this some seconds before.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// The registered workers of a shard; `None` until the topic was read for the subscriber.
pub(crate) type WorkerUpdates = watch::Receiver<Option<Vec<WorkerInfo>>>;

/// The most lines a second about registrations that can't be decoded.
const MAX_INVALID_LINES: u32 = 5;

/// The decoded registrations by the worker's id.
#[derive(Debug)]
struct Registrations {
    workers: BTreeMap<Name, WorkerInfo>,
    invalid_lines: LineLimiter,
}

impl Registrations {
    fn new(now: Instant) -> Self {
        Self {
            workers: BTreeMap::new(),
            invalid_lines: LineLimiter::new(now, MAX_INVALID_LINES),
        }
    }

    /// Applies the changes of the workers' topic. Returns the shards whose workers changed.
    ///
    /// A record that can't be decoded comes from another writer of the topic, so that it leaves the
    /// last registration of the worker as it is.
    fn apply(&mut self, codec: &dyn Codec, now: Instant, changes: Changes) -> BTreeSet<ShardId> {
        let mut affected = BTreeSet::new();
        for (id, value) in changes.changed {
            let worker = match value
                .map(|value| codec.worker_info(&id, &value))
                .transpose()
            {
                Ok(worker) => worker,
                Err(error) => {
                    self.log_invalid(now, &id, &error);
                    continue;
                }
            };
            let previous = self.workers.get(&*id);
            if previous == worker.as_ref() {
                continue;
            }
            let versions = previous.into_iter().chain(worker.as_ref());
            affected.extend(versions.map(|worker| ShardId::of_pool(&worker.pool)));
            match worker {
                Some(worker) => self.workers.insert(Arc::clone(&worker.id), worker),
                None => self.workers.remove(&*id),
            };
        }
        affected
    }

    fn log_invalid(&mut self, now: Instant, id: &str, error: &str) {
        if let Some(dropped) = self.invalid_lines.take_dropped(now) {
            log::info!(dropped; "worker_decode_lines_dropped");
        }
        if self.invalid_lines.admit() {
            let is_known = self.workers.contains_key(id);
            log::info!(worker = id, is_known, error; "worker_decode_failed");
        }
    }

    /// Returns the workers of a shard in the order of their ids.
    fn of_shard(&self, shard: ShardId) -> Vec<WorkerInfo> {
        let workers = self.workers.values();
        let in_shard = workers.filter(|worker| ShardId::of_pool(&worker.pool) == shard);
        in_shard.cloned().collect()
    }
}

/// The senders of the shards' updates.
type Subscribers = BTreeMap<ShardId, watch::Sender<Option<Vec<WorkerInfo>>>>;

/// Reads the workers' topic while shards of this process need it, and sends each subscriber the
/// workers of its shard when they change.
#[derive(Debug, Default)]
pub(crate) struct WorkerRegistry {
    subscribers: Mutex<Subscribers>,
    subscribed: Notify,
}

impl WorkerRegistry {
    /// Returns the updates of a shard's workers, beginning with all of them once the topic was
    /// read. An earlier subscription of the shard ends.
    pub(crate) fn subscribe(&self, shard: ShardId) -> WorkerUpdates {
        let (sender, receiver) = watch::channel(None);
        self.subscribers().insert(shard, sender);
        self.subscribed.notify_one();
        receiver
    }

    fn subscribers(&self) -> MutexGuard<'_, Subscribers> {
        self.subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the subscriptions of owners that have ended. Returns whether any remain.
    fn has_subscribers(&self) -> bool {
        let mut subscribers = self.subscribers();
        subscribers.retain(|_, sender| !sender.is_closed());
        !subscribers.is_empty()
    }

    /// Reads the topic for as long as the process runs, pausing while there are no subscribers.
    pub(crate) async fn run(self: Arc<Self>, platform: Platform, clock: Arc<dyn Clock>) {
        loop {
            // After a restart of this task there may be subscribers already.
            if !self.has_subscribers() {
                self.subscribed.notified().await;
            }
            self.follow_topic(&platform, &*clock).await;
        }
    }

    /// Reads the whole topic, and then its changes until there are no subscribers.
    async fn follow_topic(&self, platform: &Platform, clock: &dyn Clock) {
        let mut cache = TopicCache::new(Topic::Workers);
        let mut registrations = Registrations::new(clock.now());
        while self.has_subscribers() {
            let delay = match cache.sync(&*platform.store, Duration::ZERO).await {
                Ok(changes) => {
                    let affected = registrations.apply(&*platform.codec, clock.now(), changes);
                    self.publish(&registrations, &affected);
                    READ_INTERVAL
                }
                Err(error) => {
                    log::warn!(error:display; "workers_read_failed");
                    STORE_RETRY_DELAY
                }
            };
            tokio::select! {
                () = self.subscribed.notified() => {}
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    /// Sends the workers of the affected shards, and of shards whose workers were not sent yet.
    fn publish(&self, registrations: &Registrations, affected: &BTreeSet<ShardId>) {
        for (shard, sender) in &*self.subscribers() {
            let is_first = sender.borrow().is_none();
            if is_first || affected.contains(shard) {
                sender.send_replace(Some(registrations.of_shard(*shard)));
            }
        }
    }
}
