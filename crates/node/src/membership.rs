//! Keeps this process a live member, and follows the other members.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::Clock;
use tokio::sync::watch;

use crate::assignment::Member;
use crate::backend::Store;
use crate::backend::StoreError;
use crate::router::Router;
use crate::shard_manager::STORE_RETRY_DELAY;
use crate::shard_manager::lock;
use crate::supervisor;

/// How often the process renews its membership in the store; several times per [`MEMBER_TTL`].
const JOIN_INTERVAL: Duration = Duration::from_millis(400);

/// How often a process that has just become a member renews its membership until it may claim
/// shards. The responses show whether there are other new members.
const INITIAL_JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// The time after which a membership that is not renewed expires. A process that pauses for this
/// long loses its shards to other members.
const MEMBER_TTL: Duration = Duration::from_millis(1_500);

/// The number of renewals that may wait for a response at the same time. It spans the time after
/// which the store's client gives a call up.
const MAX_PENDING: usize = 4;

/// The time without a response after which a process renews its membership only once the store has
/// responded to a read. Its calls may reach the store although no response reaches the process, and
/// its owners are suspended then.
const MAX_UNANSWERED: Duration = Duration::from_secs(3);

/// How long a process that stops waits for its last renewals, which would make it a member again if
/// they arrived after it left.
const LEAVE_DELAY: Duration = Duration::from_millis(500);

/// How long the members have to be unchanged before a process that has just started claims shards,
/// so that processes that start at the same time see each other first.
const SETTLE_TIME: Duration = Duration::from_millis(350);

/// The time after which a process claims shards even if the members keep changing.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(3);

/// How long a process whose membership has lapsed claims no shards from other processes after it is a
/// member again. The cause may be the store, and the others then renew their memberships within this
/// time.
const REJOIN_DELAY: Duration = Duration::from_secs(1);

/// What the store said about the set of members.
#[derive(Debug, Default)]
struct Generation {
    /// The number of the renewal whose response was used last.
    renewal: u64,
    /// The number that changes with the set of members.
    value: u64,
}

/// The membership of this process, and the members that it sees.
pub(crate) struct Membership {
    store: Arc<dyn Store>,
    router: Arc<Router>,
    clock: Arc<dyn Clock>,
    generation: Mutex<Generation>,
    /// The generation to read the members of; `None` after a failed renewal.
    current: watch::Sender<Option<u64>>,
    /// When the last successful read of the members was started; locked while they are read.
    refreshing: tokio::sync::Mutex<Option<Instant>>,
    /// The number of renewals that have no response yet.
    pending: watch::Sender<usize>,
    stopping: watch::Sender<bool>,
    /// When this process became a member.
    joined_at: watch::Sender<Option<Instant>>,
    /// When the store last answered a renewal.
    renewed_at: Mutex<Option<Instant>>,
    /// When this process became a member again after its membership had lapsed.
    rejoined_at: Mutex<Option<Instant>>,
    /// When the store last responded.
    answered_at: Mutex<Instant>,
    /// When the live members last changed or this process last released a shard to rebalance.
    changed_at: Mutex<Instant>,
}

impl Membership {
    pub(crate) fn new(store: Arc<dyn Store>, router: Arc<Router>, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        Self {
            store,
            router,
            clock,
            generation: Mutex::default(),
            current: watch::Sender::new(None),
            refreshing: tokio::sync::Mutex::default(),
            pending: watch::Sender::new(0),
            stopping: watch::Sender::new(false),
            joined_at: watch::Sender::new(None),
            renewed_at: Mutex::default(),
            rejoined_at: Mutex::default(),
            answered_at: Mutex::new(now),
            changed_at: Mutex::new(now),
        }
    }

    /// Starts the background tasks that renew the membership and read the members.
    pub(crate) fn start(self: &Arc<Self>) {
        let membership = Arc::clone(self);
        supervisor::spawn("renew_periodically", move || {
            Arc::clone(&membership).renew_periodically()
        });
        let membership = Arc::clone(self);
        supervisor::spawn("follow_members", move || {
            Arc::clone(&membership).follow_members()
        });
    }

    /// Renews the membership at fixed times. A renewal waits for nothing else: neither for the
    /// response to the one before nor for the list of members, which may take longer than
    /// [`MEMBER_TTL`] while the store is slow or the process lacks processor time.
    async fn renew_periodically(self: Arc<Self>) {
        let mut joined = self.joined_at.subscribe();
        let mut next = tokio::time::Instant::now();
        let mut renewal = 0;
        while !*self.stopping.borrow() {
            if *self.pending.borrow() < MAX_PENDING {
                renewal += 1;
                self.pending.send_modify(|n| *n += 1);
                tokio::spawn(Arc::clone(&self).renew_if_answered(renewal));
            }
            let has_joined = joined.borrow_and_update().is_some();
            let is_settling = has_joined && !self.is_settled(self.clock.now());
            next += match is_settling {
                true => INITIAL_JOIN_INTERVAL,
                false => JOIN_INTERVAL,
            };
            next = next.max(tokio::time::Instant::now());
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                // The first response starts the time in which the members have to be unchanged.
                _ = joined.changed(), if !has_joined => {
                    next = tokio::time::Instant::now() + INITIAL_JOIN_INTERVAL;
                    tokio::time::sleep_until(next).await;
                }
            }
        }
    }

    /// Renews the membership once, unless the store has not responded for [`MAX_UNANSWERED`] and
    /// doesn't respond to a read now.
    async fn renew_if_answered(self: Arc<Self>, renewal: u64) {
        let now = self.clock.now();
        let unanswered = now.saturating_duration_since(*lock(&self.answered_at));
        let is_answered = unanswered < MAX_UNANSWERED || self.probe().await;
        if is_answered && !*self.stopping.borrow() {
            self.renew(renewal).await;
        }
        self.pending.send_modify(|n| *n -= 1);
    }

    /// Returns whether the store responds to a read of the members.
    async fn probe(&self) -> bool {
        match self.store.members().await {
            Ok(_) => {
                let now = self.clock.now();
                *lock(&self.answered_at) = now;
                self.router.handle_store_answer(now);
                true
            }
            Err(error) => {
                log::warn!(error:display; "store_unanswered");
                false
            }
        }
    }

    /// Renews the membership once and notes the generation of the members.
    async fn renew(&self, renewal: u64) {
        let me = self.router.me.to_string();
        // The store moves partitions to new members only after this member has reported the
        // generation of the change.
        let known = lock(&self.generation).value;
        let result = self.store.join(&me, MEMBER_TTL, known).await;
        match result {
            Ok(value) => {
                let now = self.clock.now();
                self.note_renewal(now);
                let mut generation = lock(&self.generation);
                // Responses may overtake each other.
                if renewal > generation.renewal {
                    *generation = Generation { renewal, value };
                    let is_other =
                        |current: &mut Option<u64>| current.replace(value) != Some(value);
                    self.current.send_if_modified(is_other);
                }
                *lock(&self.answered_at) = now;
                self.router.handle_store_answer(now);
                self.joined_at.send_if_modified(|at| {
                    let is_first = at.is_none();
                    at.get_or_insert(now);
                    is_first
                });
            }
            Err(error) => {
                log::warn!(error:display; "join_failed");
                self.current.send_replace(None);
            }
        }
    }

    /// Notes that the store has answered a renewal, and whether the membership had lapsed before.
    fn note_renewal(&self, now: Instant) {
        let previous = lock(&self.renewed_at).replace(now);
        if previous.is_some_and(|at| now.saturating_duration_since(at) > MEMBER_TTL) {
            *lock(&self.rejoined_at) = Some(now);
            log::info!("membership_lapsed");
        }
    }

    /// Reads the members again whenever their generation changes, and after failed renewals.
    async fn follow_members(self: Arc<Self>) {
        let mut current = self.current.subscribe();
        while current.changed().await.is_ok() && !*self.stopping.borrow() {
            let is_known = current.borrow_and_update().is_some();
            if is_known && let Err(error) = self.refresh().await {
                log::warn!(error:display; "members_read_failed");
                tokio::time::sleep(STORE_RETRY_DELAY).await;
                current.mark_changed();
            }
        }
    }

    /// Reads the live members from the store. Calls that wait at the same time share a read that is
    /// started after them.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed read.
    pub(crate) async fn refresh(&self) -> Result<(), StoreError> {
        let called_at = self.clock.now();
        // Responses may overtake each other, and an older list must not replace a newer one.
        let mut refreshed_at = self.refreshing.lock().await;
        if refreshed_at.is_some_and(|at| at > called_at) {
            return Ok(());
        }
        let started_at = self.clock.now();
        let members = self.store.members().await?;
        let members: Vec<Member> = members.iter().filter_map(|m| m.parse().ok()).collect();
        self.remove_stale_members(&members).await;
        let (before, after): (Vec<Member>, Vec<Member>) = {
            let mut cluster = self.router.cluster();
            let before = cluster.members().cloned().collect();
            cluster.set_members(self.clock.now(), members);
            if let Some(memory_mb) = cluster.smallest_memory() {
                self.router.job_budget.set_smallest(memory_mb);
            }
            (before, cluster.members().cloned().collect())
        };
        if before != after {
            self.mark_changed();
            let names = |a: &[Member], b: &[Member]| {
                let only = a.iter().filter(|m| !b.contains(m));
                only.map(ToString::to_string).collect::<Vec<_>>().join(",")
            };
            let (gone, new) = (names(&before, &after), names(&after, &before));
            log::info!(
                members = after.len(), gone = gone.as_str(), new = new.as_str(); "members_changed"
            );
        }
        *refreshed_at = Some(started_at);
        Ok(())
    }

    /// Removes earlier processes on this VM from the members. Otherwise the store keeps partitions
    /// for them until their membership expires, and new members are not listed before they get a
    /// partition.
    async fn remove_stale_members(&self, members: &[Member]) {
        let me = &self.router.me;
        for member in members.iter().filter(|m| m.is_superseded_by(me)) {
            match self.store.leave(&member.to_string()).await {
                Ok(()) => log::info!(member:display; "stale_member_removed"),
                Err(error) => {
                    log::warn!(member:display, error:display; "stale_member_removal_failed");
                }
            }
        }
    }

    /// Starts the time anew for which the members are unchanged.
    pub(crate) fn mark_changed(&self) {
        *lock(&self.changed_at) = self.clock.now();
    }

    /// Returns for how long the members are unchanged.
    pub(crate) fn unchanged_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(*lock(&self.changed_at))
    }

    /// Returns whether the process has been a member for long enough to claim shards.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        let joined = *self.joined_at.borrow();
        joined.is_some_and(|at| {
            now >= at + MAX_SETTLE_TIME
                || (now >= at + SETTLE_TIME && self.unchanged_for(now) >= SETTLE_TIME)
        })
    }

    /// Returns whether the process became a member again less than [`REJOIN_DELAY`] ago.
    pub(crate) fn is_rejoining(&self, now: Instant) -> bool {
        lock(&self.rejoined_at).is_some_and(|at| now < at + REJOIN_DELAY)
    }

    /// Ends the renewals, once the shards of this process are about to be released.
    pub(crate) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Ends the membership after [`Self::stop`]. A renewal that is answered only afterwards may have
    /// made the process a member again, so the process then leaves once more, in the background while
    /// it answers its last callers.
    pub(crate) async fn leave(self: &Arc<Self>) {
        let are_ended = self.wait_for_renewals(LEAVE_DELAY).await;
        self.leave_once().await;
        if !are_ended {
            log::warn!("renewals_pending");
            let membership = Arc::clone(self);
            tokio::spawn(async move {
                membership.wait_for_renewals(MEMBER_TTL).await;
                membership.leave_once().await;
            });
        }
    }

    /// Waits until no renewal is pending, and returns whether that was so within `timeout`.
    async fn wait_for_renewals(&self, timeout: Duration) -> bool {
        let mut pending = self.pending.subscribe();
        let ended = pending.wait_for(|&n| n == 0);
        tokio::time::timeout(timeout, ended).await.is_ok()
    }

    async fn leave_once(&self) {
        let me = self.router.me.to_string();
        if let Err(error) = self.store.leave(&me).await {
            log::warn!(error:display; "leave_failed");
        }
    }
}
