//! Claims and releases shards, and runs their owners.

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

use crate::assignment::Ownership;
use crate::backend::Platform;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::claim;
use crate::claim::ClaimError;
use crate::claim::ClaimedShard;
use crate::cluster_config::Wave;
use crate::current_config::CurrentConfig;
use crate::evacuation::EvacuatedZones;
use crate::fleet;
use crate::membership::Membership;
use crate::owner;
use crate::owner::OwnerEnd;
use crate::router::LocalRequest;
use crate::router::OWNER_QUEUE_CAPACITY;
use crate::router::OwnerHandle;
use crate::router::Router;
use crate::shard_id::ShardId;
use crate::supervisor;
use crate::topic_cache::TopicCache;
use crate::worker_registry::WorkerRegistry;

/// How often the process checks whether it should claim shards.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);

/// How long the members have to be unchanged before shards are rebalanced.
const REBALANCE_DELAY: Duration = Duration::from_secs(3);

/// How long one read of the owners' topic waits for new records.
const OWNERS_READ_WAIT: Duration = Duration::from_secs(1);

/// The delay before a failed call to the store is repeated.
pub(crate) const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The delay before a shard is claimed again after its owner has appended during a claim. That owner
/// still works, and is likely to have renewed its membership by then.
const PROGRESS_DELAY: Duration = Duration::from_secs(1);

/// The delay before a shard is claimed again for whose jobs there was no memory. Another member has
/// claimed it by then if one has memory for it.
const NO_MEMORY_DELAY: Duration = Duration::from_secs(5);

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
    pub(crate) evacuated: Arc<EvacuatedZones>,
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
    membership: Arc<Membership>,
}

impl ShardManager {
    pub(crate) fn new(context: ManagerContext) -> Arc<Self> {
        let membership = Membership::new(
            Arc::clone(&context.platform.store),
            Arc::clone(&context.router),
            Arc::clone(&context.clock),
        );
        Arc::new(Self {
            context,
            registry: Arc::default(),
            claiming: Mutex::default(),
            stopping: watch::Sender::new(false),
            membership: Arc::new(membership),
        })
    }

    /// Starts the background tasks that maintain the membership, watch the owners and the workers,
    /// and claim shards.
    pub(crate) fn start(self: &Arc<Self>) {
        self.membership.start();
        let manager = Arc::clone(self);
        supervisor::spawn("watch_owners", move || Arc::clone(&manager).watch_owners());
        let registry = Arc::clone(&self.registry);
        let (platform, clock) = (
            self.context.platform.clone(),
            Arc::clone(&self.context.clock),
        );
        supervisor::spawn("worker_registry", move || {
            Arc::clone(&registry).run(platform.clone(), Arc::clone(&clock))
        });
        let manager = Arc::clone(self);
        supervisor::spawn("claim_periodically", move || {
            Arc::clone(&manager).claim_periodically()
        });
    }

    /// Returns whether [`Self::stop`] was called.
    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
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
                    let router = &self.context.router;
                    router.handle_store_answer(self.context.clock.now());
                    let queue_shards = &self.context.router.queue_shards;
                    let changed = changes
                        .changed
                        .iter()
                        .filter(|(key, value)| !queue_shards.apply(key, value.as_deref()));
                    let owners = changed
                        .filter_map(|(key, value)| claim::decode_owner(key, value.as_deref()?));
                    let owners = owners.collect();
                    queue_shards.mark_complete();
                    self.apply_owners(owners);
                    self.stop_superseded_owners();
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

    /// Applies records of the owners' topic, and publishes the owners in this process again whose
    /// record was replaced by that of an earlier owner. Processes that start read only the last
    /// record of a shard, and all have to count the same shards of each member.
    fn apply_owners(self: &Arc<Self>, owners: Vec<(ShardId, Ownership)>) {
        let mut replaced = Vec::new();
        {
            let mut cluster = self.context.router.cluster();
            for (shard, owner) in owners {
                let known = cluster.owner(shard);
                let is_mine = |o: &&Ownership| o.member == self.context.router.me;
                let later = known.filter(|k| k.is_later_than(&owner));
                replaced.extend(later.filter(is_mine).map(|k| (shard, k.clone())));
                cluster.update_owner(shard, owner);
            }
        }
        for (shard, ownership) in replaced {
            let manager = Arc::clone(self);
            tokio::spawn(async move { manager.publish(shard, &ownership).await });
        }
    }

    /// Stops the owners in this process whose shards have been claimed by other processes, so that
    /// callers' requests go to the new owners.
    fn stop_superseded_owners(&self) {
        let superseded: Vec<(ShardId, OwnerHandle)> = {
            let cluster = self.context.router.cluster();
            let me = &self.context.router.me;
            let is_superseded =
                |shard: &ShardId| cluster.owner(*shard).is_some_and(|o| o.member != *me);
            let mut local = self.context.router.local_owners();
            local.extract_if(.., |s, _| is_superseded(s)).collect()
        };
        for (shard, owner) in superseded {
            log::info!(shard:display; "shard_superseded");
            tokio::spawn(async move {
                let (done, _) = oneshot::channel();
                // The send fails if the owner has ended by itself.
                let _ = owner.send(LocalRequest::Release(done)).await;
            });
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

    /// Claims shards that need an owner and releases a shard while this process owns too many.
    async fn claim_periodically(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CLAIM_INTERVAL).await;
            if self.is_stopping() {
                return;
            }
            let now = self.context.clock.now();
            if !self.membership.is_settled(now) {
                continue;
            }
            let shards = self.context.current_config.load().shards();
            let me = &self.context.router.me;
            let to_claim = {
                let mut cluster = self.context.router.cluster();
                cluster.observe_owners(now, &shards);
                metrics::gauge!("shards_without_owner").set(cluster.unowned_shards() as f64);
                cluster.shards_to_claim(now, me, &shards)
            };
            let is_rejoining = self.membership.is_rejoining(now);
            for shard in to_claim {
                let owned = self.context.router.local_owners().contains_key(&shard);
                // An owner that released its shard does not return to it.
                let waits = is_rejoining && self.context.router.cluster().has_unreleased(shard);
                if !owned && !waits && lock(&self.claiming).insert(shard) {
                    tokio::spawn(Arc::clone(&self).claim(shard));
                }
            }
            if self.membership.unchanged_for(now) > REBALANCE_DELAY {
                let excess = self
                    .context
                    .router
                    .cluster()
                    .shard_to_release(now, me, &shards);
                if let Some(shard) = excess {
                    log::info!(shard:display; "shard_rebalanced");
                    self.membership.mark_changed();
                    self.release(shard).await;
                }
            }
        }
    }

    /// Claims a shard and starts its owner.
    async fn claim(self: Arc<Self>, shard: ShardId) {
        match self.try_claim(shard).await {
            Ok(Some((claimed, sent))) if !self.is_stopping() => {
                self.start_owner(shard, claimed, sent).await;
            }
            Ok(_) => {}
            Err(error) => {
                log::info!(shard:display, error:display; "claim_failed");
                let delay = match error {
                    ClaimError::Store(StoreError::OffsetMismatch { .. }) => PROGRESS_DELAY,
                    ClaimError::Store(_) => STORE_RETRY_DELAY,
                    ClaimError::NoMemory => {
                        metrics::counter!("claims_without_memory_total").increment(1);
                        NO_MEMORY_DELAY
                    }
                };
                tokio::time::sleep(delay).await;
            }
        }
        lock(&self.claiming).remove(&shard);
    }

    /// Claims a shard unless it has an owner by now or another member should claim it. What this
    /// process knows of the members and the owners may be old, so it reads both before the claim,
    /// and the claim fails if anyone has appended since then. The reads are made at once, because
    /// callers wait for the claim and each may take long while the store is slow.
    ///
    /// Returns the claimed shard with the time at which the claim was sent.
    async fn try_claim(
        &self,
        shard: ShardId,
    ) -> Result<Option<(ClaimedShard, Instant)>, ClaimError> {
        let platform = &self.context.platform;
        let (head, (), owners) = futures::try_join!(
            claim::read_head(platform, shard),
            self.membership.refresh(),
            claim::read_owners(platform),
        )?;
        let now = self.context.clock.now();
        let shards = self.context.current_config.load().shards();
        let me = &self.context.router.me;
        let to_claim = {
            let mut cluster = self.context.router.cluster();
            for (shard, owner) in owners {
                cluster.update_owner(shard, owner);
            }
            cluster.shards_to_claim(now, me, &shards)
        };
        if !to_claim.contains(&shard) {
            log::info!(shard:display; "claim_abandoned");
            return Ok(None);
        }
        let budget = &self.context.router.job_budget;
        let mut claimed = claim::claim(platform, shard, me, head, budget).await?;
        if shard != ShardId::FLEET {
            claimed.decode_records(shard)?;
        }
        Ok(Some((claimed, now)))
    }

    /// Runs the owner of a claimed shard in the background and publishes it.
    async fn start_owner(
        self: &Arc<Self>,
        shard: ShardId,
        claimed: ClaimedShard,
        claimed_at: Instant,
    ) {
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
        let owned = ownership.clone();
        tokio::spawn(async move {
            let runner = Arc::clone(&manager);
            let task = tokio::spawn(async move {
                runner.run_owner(shard, claimed, claimed_at, incoming).await
            });
            let result = task.await;
            {
                let mut local = manager.context.router.local_owners();
                if local.get(&shard).is_some_and(|o| o.same_channel(&requests)) {
                    local.remove(&shard);
                }
            }
            match result {
                Ok(OwnerEnd::Released) => return,
                Ok(OwnerEnd::OwnershipLost) => {}
                Err(error) => log::error!(shard:display, error:display; "owner_task_failed"),
            }
            manager.give_up(shard, owned).await;
        });
        self.publish(shard, &ownership).await;
    }

    /// Publishes a shard as released whose owner in this process has ended by itself, unless a later
    /// owner is known. This process stays a member, so nobody would claim the shard otherwise: the
    /// owner may have ended in error, and a successor may have failed to publish itself.
    async fn give_up(&self, shard: ShardId, mut ownership: Ownership) {
        {
            let mut cluster = self.context.router.cluster();
            if cluster.owner(shard) != Some(&ownership) {
                return;
            }
            ownership.released = true;
            cluster.update_owner(shard, ownership.clone());
        }
        log::warn!(shard:display, token = ownership.fencing_token; "shard_given_up");
        metrics::counter!("shards_given_up_total").increment(1);
        self.publish(shard, &ownership).await;
    }

    /// Publishes the owner of a shard or its release, and repeats this until it is stored or a later
    /// owner or release is known. A process that is stopping tries it once.
    async fn publish(&self, shard: ShardId, ownership: &Ownership) {
        while let Err(error) = claim::publish_owner(&self.context.platform, shard, ownership).await
        {
            log::warn!(shard:display, error:display; "owner_publish_failed");
            if self.is_stopping() {
                return;
            }
            tokio::time::sleep(STORE_RETRY_DELAY).await;
            if self.context.router.cluster().owner(shard) != Some(ownership) {
                return;
            }
        }
    }

    /// Runs the owner of a shard until the owner ends.
    async fn run_owner(
        &self,
        shard: ShardId,
        claimed: ClaimedShard,
        claimed_at: Instant,
        incoming: mpsc::Receiver<LocalRequest>,
    ) -> OwnerEnd {
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
                evacuated: Arc::clone(&context.evacuated),
                claimed_at,
                takeover_delay: context.takeover_delay,
                maintenance_time: context.maintenance_time,
                move_time: context.move_time,
                command_rate: context.command_rate,
            };
            let end = fleet::run(fleet_context, claimed, incoming, wave_updates).await;
            watcher.abort();
            return end;
        }
        let worker_updates = self.registry.subscribe(shard);
        let owner_context = owner::OwnerContext {
            shard_id: shard,
            platform: context.platform.clone(),
            clock: Arc::clone(&context.clock),
            router: Arc::clone(&context.router),
            current_config: Arc::clone(&context.current_config),
            evacuated: Arc::clone(&context.evacuated),
            timings: context.timings,
            claimed_at,
        };
        owner::run(owner_context, claimed, incoming, worker_updates).await
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
        self.publish(shard, &ownership).await;
    }

    /// Releases every shard of this process and ends its membership.
    pub(crate) async fn stop(&self) {
        self.stopping.send_replace(true);
        self.membership.stop();
        let shards: Vec<ShardId> = self.context.router.local_owners().keys().copied().collect();
        let releases = shards.into_iter().map(|shard| self.release(shard));
        futures::future::join_all(releases).await;
        self.membership.leave().await;
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
