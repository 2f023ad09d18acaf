//! Keeps this process a live member, and claims and releases shards.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Timings;
use lavenderhollow_types::Clock;
use rand::seq::IteratorRandom;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::assignment::Member;
use crate::assignment::Ownership;
use crate::backend::Platform;
use crate::backend::Topic;
use crate::claim;
use crate::claim::ClaimedShard;
use crate::cluster_config::Wave;
use crate::current_config::CurrentConfig;
use crate::fleet;
use crate::owner;
use crate::router::LocalRequest;
use crate::router::OWNER_QUEUE_CAPACITY;
use crate::router::Router;
use crate::shard_id::ShardId;
use crate::topic_cache::TopicCache;
use crate::worker_registry::WorkerRegistry;

/// How often the process renews its membership in the store; several times per [`MEMBER_TTL`].
const JOIN_INTERVAL: Duration = Duration::from_millis(400);

/// How often a process that has just become a member renews its membership until it may claim
/// shards. The responses show whether there are other new members.
const INITIAL_JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// The time after which a membership that is not renewed expires. A process that pauses for this
/// long loses its shards to other members.
const MEMBER_TTL: Duration = Duration::from_millis(1_500);

/// How long the members have to be unchanged before a process that has just started claims shards,
/// so that processes that start at the same time see each other first.
const SETTLE_TIME: Duration = Duration::from_millis(350);

/// The time after which a process claims shards even if the members keep changing.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(3);

/// How often the process checks whether it should claim shards.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);

/// How long the members have to be unchanged before shards are rebalanced.
const REBALANCE_DELAY: Duration = Duration::from_secs(3);

/// How long one read of the owners' topic waits for new records.
const OWNERS_READ_WAIT: Duration = Duration::from_secs(1);

/// The delay before a failed call to the store is repeated.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The timeout of a request to a peer for the owners that it knows.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum time to wait until the owner of a released shard has stored its last records.
const SHARD_RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The components and settings that a [`ShardManager`] and its owners use.
#[derive(Clone)]
pub(crate) struct ManagerContext {
    pub(crate) platform: Platform,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) router: Arc<Router>,
    pub(crate) current_config: Arc<CurrentConfig>,
    pub(crate) timings: Timings,
    pub(crate) maintenance_time: Duration,
    pub(crate) move_time: Duration,
    /// How many commands per second the machine interface accepts.
    pub(crate) command_rate: f64,
    /// How long an earlier owner of the fleet shard may still send commands.
    pub(crate) takeover_delay: Duration,
    pub(crate) waves: watch::Receiver<Vec<Wave>>,
}

/// Claims and releases shards, and runs their owners.
pub(crate) struct ShardManager {
    context: ManagerContext,
    registry: Arc<WorkerRegistry>,
    /// The shards that are being claimed.
    claiming: Mutex<BTreeSet<ShardId>>,
    stopping: watch::Sender<bool>,
    /// When this process became a member.
    joined_at: Mutex<Option<Instant>>,
    /// When the live members last changed or this process last released a shard to rebalance.
    changed_at: Mutex<Instant>,
}

impl ShardManager {
    pub(crate) fn new(context: ManagerContext) -> Arc<Self> {
        let now = context.clock.now();
        Arc::new(Self {
            context,
            registry: Arc::default(),
            claiming: Mutex::default(),
            stopping: watch::Sender::new(false),
            joined_at: Mutex::new(None),
            changed_at: Mutex::new(now),
        })
    }

    /// Starts the background tasks that maintain the membership, watch the owners and the workers,
    /// and claim shards.
    pub(crate) fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).maintain_membership());
        tokio::spawn(Arc::clone(self).watch_owners());
        let registry = Arc::clone(&self.registry);
        tokio::spawn(registry.run(self.context.platform.clone()));
        tokio::spawn(Arc::clone(self).claim_periodically());
    }

    /// Returns whether [`Self::stop`] was called.
    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Renews the membership and reads the members again when they change.
    async fn maintain_membership(self: Arc<Self>) {
        let me = self.context.router.me.to_string();
        // The store moves partitions to new members only after this member has reported the
        // generation of the change.
        let mut generation = 0;
        let mut refreshed_generation = None;
        while !self.is_stopping() {
            let store = &self.context.platform.store;
            match store.join(&me, MEMBER_TTL, generation).await {
                Ok(current) => {
                    let now = self.context.clock.now();
                    lock(&self.joined_at).get_or_insert(now);
                    generation = current;
                    if refreshed_generation != Some(current) && self.refresh_members().await {
                        refreshed_generation = Some(current);
                    }
                }
                Err(error) => {
                    log::warn!(error:display; "join_failed");
                    refreshed_generation = None;
                }
            }
            let joined = lock(&self.joined_at).is_some();
            let is_settling = joined && !self.is_settled(self.context.clock.now());
            let interval = if is_settling {
                INITIAL_JOIN_INTERVAL
            } else {
                JOIN_INTERVAL
            };
            tokio::time::sleep(interval).await;
        }
    }

    /// Reads the live members from the store; returns whether that succeeded.
    async fn refresh_members(&self) -> bool {
        let members = match self.context.platform.store.members().await {
            Ok(members) => members,
            Err(error) => {
                log::warn!(error:display; "members_read_failed");
                return false;
            }
        };
        let members: Vec<Member> = members.iter().filter_map(|m| m.parse().ok()).collect();
        self.remove_stale_members(&members).await;
        let (before, after): (Vec<Member>, Vec<Member>) = {
            let mut cluster = self.context.router.cluster();
            let before = cluster.members().cloned().collect();
            cluster.set_members(self.context.clock.now(), members);
            (before, cluster.members().cloned().collect())
        };
        if before != after {
            *lock(&self.changed_at) = self.context.clock.now();
            let names = |a: &[Member], b: &[Member]| {
                let only = a.iter().filter(|m| !b.contains(m));
                only.map(ToString::to_string).collect::<Vec<_>>().join(",")
            };
            let (gone, new) = (names(&before, &after), names(&after, &before));
            log::info!(
                members = after.len(), gone = gone.as_str(), new = new.as_str(); "members_changed"
            );
        }
        true
    }

    /// Removes earlier processes on this VM from the members. Otherwise the store keeps partitions
    /// for them until their membership expires, and new members are not listed before they get a
    /// partition.
    async fn remove_stale_members(&self, members: &[Member]) {
        let me = &self.context.router.me;
        for member in members.iter().filter(|m| m.is_superseded_by(me)) {
            match self.context.platform.store.leave(&member.to_string()).await {
                Ok(()) => log::info!(member:display; "stale_member_removed"),
                Err(error) => {
                    log::warn!(member:display, error:display; "stale_member_removal_failed");
                }
            }
        }
    }

    /// Updates the cluster state from the owners' topic.
    async fn watch_owners(self: Arc<Self>) {
        let mut cache = TopicCache::new(Topic::Owners);
        let mut failing = false;
        // A process that is stopping still routes callers' requests to the owners.
        loop {
            match cache
                .sync(&*self.context.platform.store, OWNERS_READ_WAIT)
                .await
            {
                Ok(changes) => {
                    failing = false;
                    let mut cluster = self.context.router.cluster();
                    for (key, value) in &changes.changed {
                        let value = value.as_deref();
                        if let Some((shard, owner)) =
                            value.and_then(|v| claim::decode_owner(key, v))
                        {
                            cluster.update_owner(shard, owner);
                        }
                    }
                }
                Err(error) => {
                    if !failing {
                        log::warn!(error:display; "owners_read_failed");
                    }
                    failing = true;
                    self.fetch_owners_from_peer().await;
                    tokio::time::sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Fetches the owners from another process while this one can't read them from the store.
    async fn fetch_owners_from_peer(&self) {
        let me = &self.context.router.me;
        let peer = {
            let cluster = self.context.router.cluster();
            let others = cluster.members().filter(|m| *m != me);
            others.choose(&mut rand::rng()).cloned()
        };
        let Some(peer) = peer else {
            return;
        };
        let owners = self
            .context
            .router
            .peers
            .owners(&peer.address, PEER_TIMEOUT);
        match owners.await {
            Ok(owners) => {
                let mut cluster = self.context.router.cluster();
                for (shard, owner) in owners {
                    cluster.update_owner(shard, owner);
                }
            }
            Err(error) => log::debug!(peer = &*peer.vm, error:display; "peer_owners_failed"),
        }
    }

    /// Returns whether the process has been a member for long enough to claim shards.
    fn is_settled(&self, now: Instant) -> bool {
        let joined = *lock(&self.joined_at);
        let unchanged_for = now.saturating_duration_since(*lock(&self.changed_at));
        joined.is_some_and(|at| {
            now >= at + MAX_SETTLE_TIME || (now >= at + SETTLE_TIME && unchanged_for >= SETTLE_TIME)
        })
    }

    /// Claims shards that need an owner and releases a shard while this process owns too many.
    async fn claim_periodically(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CLAIM_INTERVAL).await;
            if self.is_stopping() {
                return;
            }
            let now = self.context.clock.now();
            if !self.is_settled(now) {
                continue;
            }
            let unchanged_for = now.saturating_duration_since(*lock(&self.changed_at));
            let shards = self.context.current_config.load().shards();
            let me = &self.context.router.me;
            let to_claim = self
                .context
                .router
                .cluster()
                .shards_to_claim(now, me, &shards);
            for shard in to_claim {
                let owned = self.context.router.local_owners().contains_key(&shard);
                if !owned && lock(&self.claiming).insert(shard) {
                    tokio::spawn(Arc::clone(&self).claim(shard));
                }
            }
            if unchanged_for > REBALANCE_DELAY {
                let excess = self
                    .context
                    .router
                    .cluster()
                    .shard_to_release(now, me, &shards);
                if let Some(shard) = excess {
                    log::info!(shard:display; "shard_rebalanced");
                    *lock(&self.changed_at) = now;
                    self.release(shard).await;
                }
            }
        }
    }

    /// Claims a shard and starts its owner.
    async fn claim(self: Arc<Self>, shard: ShardId) {
        let result = claim::claim(&self.context.platform, shard, &self.context.router.me).await;
        match result {
            Ok(claimed) if !self.is_stopping() => self.start_owner(shard, claimed).await,
            Ok(_) => {}
            Err(error) => {
                log::info!(shard:display, error:display; "claim_failed");
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
        lock(&self.claiming).remove(&shard);
    }

    /// Runs the owner of a claimed shard in the background and publishes it.
    async fn start_owner(self: &Arc<Self>, shard: ShardId, claimed: ClaimedShard) {
        let ownership = Ownership {
            member: self.context.router.me.clone(),
            fencing_token: claimed.fencing_token,
            released: false,
        };
        let (requests, incoming) = mpsc::channel(OWNER_QUEUE_CAPACITY);
        self.context
            .router
            .cluster()
            .update_owner(shard, ownership.clone());
        self.context
            .router
            .local_owners()
            .insert(shard, requests.clone());
        let manager = Arc::clone(self);
        let mut release = ownership.clone();
        release.released = true;
        tokio::spawn(async move {
            let runner = Arc::clone(&manager);
            let task =
                tokio::spawn(async move { runner.run_owner(shard, claimed, incoming).await });
            let result = task.await;
            {
                let mut local = manager.context.router.local_owners();
                if local.get(&shard).is_some_and(|o| o.same_channel(&requests)) {
                    local.remove(&shard);
                }
            }
            if let Err(error) = result {
                // The owner task panicked. The shard is published as released, so that it does not
                // stay without an owner.
                log::error!(shard:display, error:display; "owner_task_failed");
                manager
                    .context
                    .router
                    .cluster()
                    .update_owner(shard, release.clone());
                claim::publish_owner(&manager.context.platform, shard, &release).await;
            }
        });
        claim::publish_owner(&self.context.platform, shard, &ownership).await;
    }

    /// Runs the owner of a shard until the owner ends.
    async fn run_owner(
        &self,
        shard: ShardId,
        claimed: ClaimedShard,
        incoming: mpsc::Receiver<LocalRequest>,
    ) {
        let context = &self.context;
        if shard == ShardId::FLEET {
            let (waves, wave_updates) = mpsc::channel(4);
            let mut changes = context.waves.clone();
            let watcher = tokio::spawn(async move {
                loop {
                    let list = changes.borrow_and_update().clone();
                    if waves.send(list).await.is_err() || changes.changed().await.is_err() {
                        return;
                    }
                }
            });
            let fleet_context = fleet::FleetContext {
                platform: context.platform.clone(),
                clock: Arc::clone(&context.clock),
                router: Arc::clone(&context.router),
                current_config: Arc::clone(&context.current_config),
                takeover_delay: context.takeover_delay,
                maintenance_time: context.maintenance_time,
                move_time: context.move_time,
                command_rate: context.command_rate,
            };
            fleet::run(fleet_context, claimed, incoming, wave_updates).await;
            watcher.abort();
            return;
        }
        let worker_updates = self.registry.subscribe(shard);
        let owner_context = owner::OwnerContext {
            shard_id: shard,
            platform: context.platform.clone(),
            clock: Arc::clone(&context.clock),
            router: Arc::clone(&context.router),
            current_config: Arc::clone(&context.current_config),
            timings: context.timings,
        };
        owner::run(owner_context, claimed, incoming, worker_updates).await;
    }

    /// Stops the owner of a shard and publishes the shard as released.
    async fn release(&self, shard: ShardId) {
        let owner = self.context.router.local_owners().remove(&shard);
        let Some(owner) = owner else {
            return;
        };
        let (done, finished) = oneshot::channel();
        if owner.send(LocalRequest::Release(done)).await.is_err() {
            return;
        }
        if tokio::time::timeout(SHARD_RELEASE_TIMEOUT, finished)
            .await
            .is_err()
        {
            log::warn!(shard:display; "release_timed_out");
        }
        let ownership = self.context.router.cluster().owner(shard).cloned();
        let Some(mut ownership) = ownership.filter(|o| o.member == self.context.router.me) else {
            return;
        };
        ownership.released = true;
        self.context
            .router
            .cluster()
            .update_owner(shard, ownership.clone());
        claim::publish_owner(&self.context.platform, shard, &ownership).await;
    }

    /// Releases every shard of this process and ends its membership.
    pub(crate) async fn stop(&self) {
        self.stopping.send_replace(true);
        let shards: Vec<ShardId> = self.context.router.local_owners().keys().copied().collect();
        let releases = shards.into_iter().map(|shard| self.release(shard));
        futures::future::join_all(releases).await;
        let me = self.context.router.me.to_string();
        if let Err(error) = self.context.platform.store.leave(&me).await {
            log::warn!(error:display; "leave_failed");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
