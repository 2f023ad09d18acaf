//! Keeping this process among the live members, and claiming and releasing shards.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Timings;
use lavenderhollow_shard::WorkerInfo;
use lavenderhollow_types::Clock;
use rand::seq::IteratorRandom;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::assignment::Member;
use crate::assignment::Ownership;
use crate::backend::Platform;
use crate::backend::Store;
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

/// How often the process tells the store that it lives; several times in [`MEMBER_TTL`].
const JOIN_EVERY: Duration = Duration::from_millis(400);

/// How often a process that has just become a member does so, until it may claim shards: it learns
/// of other new members with the answer.
const FIRST_JOINS_EVERY: Duration = Duration::from_millis(100);

/// After what silence a member counts as gone. A pause of this length moves its shards.
const MEMBER_TTL: Duration = Duration::from_millis(1_500);

/// How long the members have to be unchanged before a process that has just started claims shards,
/// so that processes that start together see each other first.
const SETTLE: Duration = Duration::from_millis(350);

/// After what time a process claims shards however the members change.
const SETTLE_LIMIT: Duration = Duration::from_secs(3);

/// How often it is checked whether shards need an owner.
const CLAIM_EVERY: Duration = Duration::from_millis(100);

/// How long the members have to be unchanged before shards are spread anew.
const STABLE_FOR: Duration = Duration::from_secs(3);

/// The wait of one read of the owners' topic.
const OWNERS_WAIT: Duration = Duration::from_secs(1);

/// The pause between reads of the workers' entries: a worker that leaves announces it some seconds
/// before.
const WORKERS_EVERY: Duration = Duration::from_millis(300);

/// The pause after a failed call of the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// The time for a question to a peer about owners.
const PEER_LIMIT: Duration = Duration::from_millis(500);

/// The longest wait for a shard's last records at a release.
const RELEASE_LIMIT: Duration = Duration::from_millis(1_500);

/// What ownership works with.
#[derive(Clone)]
pub(crate) struct ManagerContext {
    pub(crate) platform: Platform,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) router: Arc<Router>,
    pub(crate) current: Arc<CurrentConfig>,
    pub(crate) timings: Timings,
    pub(crate) maintenance_time: Duration,
    pub(crate) move_time: Duration,
    /// For how long an earlier owner of the fleet shard may still give orders.
    pub(crate) takeover_delay: Duration,
    pub(crate) waves: watch::Receiver<Vec<Wave>>,
}

/// Claims and releases shards.
pub(crate) struct ShardManager {
    context: ManagerContext,
    claiming: Mutex<BTreeSet<ShardId>>,
    stopping: watch::Sender<bool>,
    joined: Mutex<Option<Instant>>,
    changed: Mutex<Instant>,
}

impl ShardManager {
    pub(crate) fn new(context: ManagerContext) -> Arc<Self> {
        let now = context.clock.now();
        Arc::new(Self {
            context,
            claiming: Mutex::default(),
            stopping: watch::Sender::new(false),
            joined: Mutex::new(None),
            changed: Mutex::new(now),
        })
    }

    /// Starts the tasks that keep members and owners up to date.
    pub(crate) fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).keep_joined());
        tokio::spawn(Arc::clone(self).follow_owners());
        tokio::spawn(Arc::clone(self).keep_claiming());
    }

    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    async fn keep_joined(self: Arc<Self>) {
        let me = self.context.router.me.to_string();
        // The store moves partitions to new members only once this member has seen the change.
        let mut generation = 0;
        let mut refreshed = None;
        while !self.is_stopping() {
            let store = &self.context.platform.store;
            match store.join(&me, MEMBER_TTL, generation).await {
                Ok(current) => {
                    let now = self.context.clock.now();
                    lock(&self.joined).get_or_insert(now);
                    generation = current;
                    if refreshed != Some(current) && self.refresh_members().await {
                        refreshed = Some(current);
                    }
                }
                Err(error) => {
                    log::warn!(error:display; "join_failed");
                    refreshed = None;
                }
            }
            let joined = lock(&self.joined).is_some();
            let first = joined && !self.is_settled(self.context.clock.now());
            let pause = if first { FIRST_JOINS_EVERY } else { JOIN_EVERY };
            tokio::time::sleep(pause).await;
        }
    }

    async fn refresh_members(&self) -> bool {
        let members = match self.context.platform.store.members().await {
            Ok(members) => members,
            Err(error) => {
                log::warn!(error:display; "members_unread");
                return false;
            }
        };
        let members: Vec<Member> = members.iter().filter_map(|m| m.parse().ok()).collect();
        self.remove_earlier_runs(&members).await;
        let (before, after): (Vec<Member>, Vec<Member>) = {
            let mut cluster = self.context.router.cluster();
            let before = cluster.members().cloned().collect();
            cluster.set_members(self.context.clock.now(), members);
            (before, cluster.members().cloned().collect())
        };
        if before != after {
            *lock(&self.changed) = self.context.clock.now();
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

    /// Removes earlier runs on this VM from the members. Otherwise the store keeps partitions for
    /// them until they lapse, and new members are not listed before they get one.
    async fn remove_earlier_runs(&self, members: &[Member]) {
        let me = &self.context.router.me;
        for member in members.iter().filter(|m| m.is_superseded_by(me)) {
            match self.context.platform.store.leave(&member.to_string()).await {
                Ok(()) => log::info!(member:display; "earlier_run_removed"),
                Err(error) => log::warn!(member:display, error:display; "earlier_run_not_removed"),
            }
        }
    }

    async fn follow_owners(self: Arc<Self>) {
        let mut cache = TopicCache::new(Topic::Owners);
        let mut failing = false;
        // A process that stops still takes callers' requests to the owners.
        loop {
            match cache.sync(&*self.context.platform.store, OWNERS_WAIT).await {
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
                        log::warn!(error:display; "owners_unread");
                    }
                    failing = true;
                    self.ask_peer_for_owners().await;
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Learns the owners from another process while the store does not answer this one.
    async fn ask_peer_for_owners(&self) {
        let me = &self.context.router.me;
        let peer = {
            let cluster = self.context.router.cluster();
            let others = cluster.members().filter(|m| *m != me);
            others.choose(&mut rand::rng()).cloned()
        };
        let Some(peer) = peer else {
            return;
        };
        let owners = self.context.router.peers.owners(&peer.address, PEER_LIMIT);
        match owners.await {
            Ok(owners) => {
                let mut cluster = self.context.router.cluster();
                for (shard, owner) in owners {
                    cluster.update_owner(shard, owner);
                }
            }
            Err(error) => log::debug!(peer = &*peer.vm, error:display; "owners_unanswered"),
        }
    }

    /// Tells whether the process has been a member for long enough to claim shards.
    fn is_settled(&self, now: Instant) -> bool {
        let joined = *lock(&self.joined);
        let unchanged = now.saturating_duration_since(*lock(&self.changed));
        joined.is_some_and(|at| {
            now >= at + SETTLE_LIMIT || (now >= at + SETTLE && unchanged >= SETTLE)
        })
    }

    async fn keep_claiming(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CLAIM_EVERY).await;
            if self.is_stopping() {
                return;
            }
            let now = self.context.clock.now();
            if !self.is_settled(now) {
                continue;
            }
            let unchanged = now.saturating_duration_since(*lock(&self.changed));
            let shards = self.context.current.load().shards();
            let me = &self.context.router.me;
            let wanted = self
                .context
                .router
                .cluster()
                .shards_to_claim(now, me, &shards);
            for shard in wanted {
                let owned = self.context.router.local_owners().contains_key(&shard);
                if !owned && lock(&self.claiming).insert(shard) {
                    tokio::spawn(Arc::clone(&self).claim(shard));
                }
            }
            if unchanged > STABLE_FOR {
                let extra = self.context.router.cluster().shard_to_release(me, &shards);
                if let Some(shard) = extra {
                    log::info!(shard:display; "shard_given_away");
                    *lock(&self.changed) = now;
                    self.release(shard).await;
                }
            }
        }
    }

    async fn claim(self: Arc<Self>, shard: ShardId) {
        let result = claim::claim(&self.context.platform, shard, &self.context.router.me).await;
        match result {
            Ok(claimed) if !self.is_stopping() => self.own(shard, claimed).await,
            Ok(_) => {}
            Err(error) => {
                log::info!(shard:display, error:display; "claim_failed");
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
        lock(&self.claiming).remove(&shard);
    }

    /// Runs the owner of a claimed shard in the background and announces it.
    async fn own(self: &Arc<Self>, shard: ShardId, claimed: ClaimedShard) {
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
        let mut left = ownership.clone();
        left.released = true;
        tokio::spawn(async move {
            let owner = Arc::clone(&manager);
            let run = tokio::spawn(async move { owner.run(shard, claimed, incoming).await });
            let result = run.await;
            {
                let mut local = manager.context.router.local_owners();
                if local.get(&shard).is_some_and(|o| o.same_channel(&requests)) {
                    local.remove(&shard);
                }
            }
            if let Err(error) = result {
                // A fault in the decisions must not leave the shard without an owner.
                log::error!(shard:display, error:display; "owner_failed");
                manager
                    .context
                    .router
                    .cluster()
                    .update_owner(shard, left.clone());
                claim::publish_owner(&manager.context.platform, shard, &left).await;
            }
        });
        claim::publish_owner(&self.context.platform, shard, &ownership).await;
    }

    async fn run(
        &self,
        shard: ShardId,
        claimed: ClaimedShard,
        incoming: mpsc::Receiver<LocalRequest>,
    ) {
        let context = &self.context;
        if shard == ShardId::FLEET {
            let (waves, taken) = mpsc::channel(4);
            let mut changes = context.waves.clone();
            let follower = tokio::spawn(async move {
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
                current: Arc::clone(&context.current),
                takeover_delay: context.takeover_delay,
                maintenance_time: context.maintenance_time,
                move_time: context.move_time,
            };
            fleet::run(fleet_context, claimed, incoming, taken).await;
            follower.abort();
            return;
        }
        let (listings, listed) = mpsc::channel(4);
        let follower = tokio::spawn(follow_workers(context.platform.clone(), shard, listings));
        let owner_context = owner::OwnerContext {
            shard_id: shard,
            platform: context.platform.clone(),
            clock: Arc::clone(&context.clock),
            router: Arc::clone(&context.router),
            current: Arc::clone(&context.current),
            timings: context.timings,
        };
        owner::run(owner_context, claimed, incoming, listed).await;
        follower.abort();
    }

    async fn release(&self, shard: ShardId) {
        let owner = self.context.router.local_owners().remove(&shard);
        let Some(owner) = owner else {
            return;
        };
        let (done, finished) = oneshot::channel();
        if owner.send(LocalRequest::Release(done)).await.is_err() {
            return;
        }
        if tokio::time::timeout(RELEASE_LIMIT, finished).await.is_err() {
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

    /// Gives up every shard and leaves the members.
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

/// Sends the list of a shard's workers whenever it changes.
async fn follow_workers(
    platform: Platform,
    shard: ShardId,
    listings: mpsc::Sender<Vec<WorkerInfo>>,
) {
    let store: &dyn Store = &*platform.store;
    let mut cache = TopicCache::new(Topic::Workers);
    let mut last: Option<Vec<WorkerInfo>> = None;
    loop {
        match cache.sync(store, Duration::ZERO).await {
            Ok(_) => {
                let all = cache.records();
                let listed = all.filter_map(|(id, value)| platform.codec.worker_info(id, value));
                let listed: Vec<WorkerInfo> = listed
                    .filter(|l| ShardId::of_pool(&l.pool) == shard)
                    .collect();
                if last.as_ref() != Some(&listed) {
                    last = Some(listed.clone());
                    if listings.send(listed).await.is_err() {
                        return;
                    }
                }
                tokio::time::sleep(WORKERS_EVERY).await;
            }
            Err(error) => {
                log::warn!(shard:display, error:display; "workers_unread");
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
