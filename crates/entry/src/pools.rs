//! Waiting for a target: per pool, by share and deadline.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use lavenderhollow_config::Config;
use lavenderhollow_config::Resources;
use lavenderhollow_core::escrow::Slot;
use lavenderhollow_core::estimate::Estimate;
use lavenderhollow_core::estimate::Estimator;
use lavenderhollow_core::keyring::Admission;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::membership::OpenTarget;
use lavenderhollow_core::membership::Pass;
use lavenderhollow_core::queue::Class;
use lavenderhollow_core::queue::Queue;
use lavenderhollow_core::queue::Supply;
use lavenderhollow_core::queue::Ticket;
use lavenderhollow_core::queue::Waiting;
use lavenderhollow_core::retry::RetryBudget;
use lavenderhollow_core::share::Amount;
use lavenderhollow_core::share::Shares;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::VmName;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::context::RETRY_AFTER;

/// Stands for callers without a key, who share one place in the order of teams.
const ANONYMOUS: &str = "_anonymous_";

/// The quantile of learned run times that waiting times are computed with.
const RUN_TIME_QUANTILE: f64 = 0.75;

/// The part of the slots that a buffer takes at most, as a divisor.
const LEAST_NORMAL_PART: u32 = 2;

/// How often waiting requests are looked at without a reason.
const SWEEP: Duration = Duration::from_millis(100);

/// What a request needs of its pool.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) pool: PoolName,
    pub(crate) queue: QueueName,
    pub(crate) team: Option<TeamName>,
    pub(crate) class: Class,
    pub(crate) run_time: Duration,
    pub(crate) size: Resources,
}

impl Wanted {
    fn share_team(&self) -> TeamName {
        let anonymous = || TeamName::new(ANONYMOUS).expect("the name is valid");
        self.team.clone().unwrap_or_else(anonymous)
    }
}

/// The right to use a target and, for a team, a slot of its limit. Dropping it gives both back.
#[derive(Debug)]
pub(crate) struct Grant {
    target: OpenTarget,
    _pass: Pass,
    _slot: Option<Slot>,
    _use: Option<Use>,
}

impl Grant {
    pub(crate) fn vm(&self) -> &VmName {
        &self.target.vm
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.target.address
    }
}

/// Counts one running request of a team in a pool, and wakes the pool when it ends.
#[derive(Debug)]
struct Use {
    count: Arc<AtomicU64>,
    wake: Arc<Notify>,
}

impl Drop for Use {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
        self.wake.notify_one();
    }
}

type Seat = oneshot::Sender<Result<Grant, Refusal>>;

struct Inner {
    queue: Queue<Seat>,
    shares: Shares,
    counted: HashMap<TeamName, u64>,
    sizes: HashMap<TeamName, Amount>,
}

/// One pool in this entry.
struct Pool {
    name: PoolName,
    buffer: AtomicU64,
    /// The VMs of the pool in all zones.
    vms: AtomicU64,
    waiting: AtomicUsize,
    running: ArcSwap<HashMap<TeamName, Arc<AtomicU64>>>,
    wake: Arc<Notify>,
    retry: RetryBudget,
    inner: Mutex<Inner>,
}

/// The pools of this entry.
#[derive(Default)]
pub(crate) struct Pools {
    pools: ArcSwap<HashMap<PoolName, Arc<Pool>>>,
    wake: Arc<Notify>,
    estimator: Mutex<Estimator>,
}

impl Pools {
    /// Takes over the pools, shares and declarations of a configuration.
    pub(crate) fn configure(&self, config: &Config, now: Instant) {
        let present = self.pools.load();
        let mut pools = HashMap::new();
        for (name, settings) in &config.pools {
            let pool = present.get(name).cloned();
            let pool =
                pool.unwrap_or_else(|| Arc::new(Pool::new(name.clone(), config, &self.wake, now)));
            pool.buffer
                .store(settings.buffer_slots.into(), Ordering::Release);
            let mut inner = pool.inner();
            for (team, settings) in &config.teams {
                inner.shares.set_weight(team, settings.share);
            }
            drop(inner);
            pools.insert(name.clone(), pool);
        }
        self.pools.store(Arc::new(pools));
        let mut estimator = self.estimator();
        for (name, queue) in &config.queues {
            let prior = Estimate {
                run_time: queue.run_time,
                size: queue.size,
            };
            estimator.declare(name, prior);
        }
    }

    /// Returns how long a request probably runs.
    pub(crate) fn expected_run_time(&self, admission: &Admission) -> Duration {
        let Some(team) = &admission.team else {
            return admission.settings.run_time;
        };
        let estimator = self.estimator();
        let estimate = estimator.quantile(&admission.queue, &team.name, RUN_TIME_QUANTILE);
        estimate.map_or(admission.settings.run_time, |estimate| estimate.run_time)
    }

    /// Learns from a request that ran.
    pub(crate) fn observe(&self, wanted: &Wanted, succeeded: bool, took: Duration) {
        if let (true, Some(team)) = (succeeded, &wanted.team) {
            let seen = Estimate {
                run_time: took,
                size: wanted.size,
            };
            self.estimator().observe(&wanted.queue, team, &seen);
        }
    }

    /// Counts a first try for the retry budget.
    pub(crate) fn first_try(&self, pool: &PoolName) {
        if let Some(pool) = self.pools.load().get(pool) {
            pool.retry.first_try();
        }
    }

    /// Takes a retry from the pool's budget, if there is one.
    pub(crate) fn may_retry(&self, pool: &PoolName, now: Instant) -> bool {
        let pools = self.pools.load();
        pools
            .get(pool)
            .is_some_and(|pool| pool.retry.try_retry(now))
    }

    /// Returns how many requests of a team wait in all pools.
    pub(crate) fn waiting(&self, team: &TeamName) -> usize {
        let pools = self.pools.load();
        let waiting = pools
            .values()
            .filter(|pool| pool.waiting.load(Ordering::Acquire) > 0);
        waiting.map(|pool| pool.inner().queue.waiting(team)).sum()
    }

    /// Returns how many requests wait in all pools.
    pub(crate) fn waiting_in_all(&self) -> usize {
        let pools = self.pools.load();
        let waiting = pools
            .values()
            .map(|pool| pool.waiting.load(Ordering::Acquire));
        waiting.sum()
    }

    /// Takes over how many VMs each pool has.
    pub(crate) fn set_vms(&self, maintenance: &Maintenance) {
        for (name, pool) in self.pools.load().iter() {
            let vms = maintenance.pool(name).map_or(0, |pool| pool.vms.len());
            pool.vms.store(vms as u64, Ordering::Release);
        }
    }

    /// Looks at the waiting requests of every pool after targets or allotments changed.
    pub(crate) fn targets_changed(&self) {
        self.wake.notify_one();
    }

    /// Gets a target for a request, waiting for one until the deadline.
    ///
    /// # Errors
    ///
    /// Refuses when the pool is unknown, the team's queue is full or the deadline can't be met.
    pub(crate) async fn acquire(
        &self,
        cx: &Arc<Context>,
        wanted: &Wanted,
        deadline: Instant,
    ) -> Result<Grant, Refusal> {
        let pool = self.pools.load().get(&wanted.pool).cloned();
        let Some(pool) = pool else {
            let detail = format!("pool {} is not configured", wanted.pool);
            return Err(Refusal::new(RefusalKind::NoTarget, detail));
        };
        if pool.waiting.load(Ordering::Acquire) == 0
            && let Some(grant) = pool.grab(cx, wanted)
        {
            return Ok(grant);
        }
        pool.wait(cx, wanted, deadline).await
    }

    /// Serves the waiting requests of every pool, for ever.
    pub(crate) async fn serve(&self, cx: &Arc<Context>) {
        loop {
            // A wake-up may be for a request that ends while this task looks at another pool.
            let _ = tokio::time::timeout(SWEEP, self.wake.notified()).await;
            let pools: Vec<_> = self.pools.load().values().cloned().collect();
            for pool in pools {
                if pool.waiting.load(Ordering::Acquire) > 0 {
                    pool.pump(cx);
                }
            }
        }
    }

    fn estimator(&self) -> MutexGuard<'_, Estimator> {
        self.estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a waiting request out of its queue when its caller stops waiting.
struct Seated {
    pool: Arc<Pool>,
    ticket: Ticket,
}

impl Drop for Seated {
    fn drop(&mut self) {
        self.pool.inner().queue.cancel(&self.ticket);
        self.pool.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Pool {
    fn new(name: PoolName, config: &Config, wake: &Arc<Notify>, now: Instant) -> Self {
        let queues = config.queues.values().filter(|queue| queue.pool == name);
        let bound = queues.map(|queue| queue.max_queued).max().unwrap_or(0);
        Self {
            buffer: AtomicU64::new(0),
            vms: AtomicU64::new(0),
            waiting: AtomicUsize::new(0),
            running: ArcSwap::default(),
            wake: Arc::clone(wake),
            retry: RetryBudget::new(now),
            inner: Mutex::new(Inner {
                queue: Queue::new(bound as usize),
                shares: Shares::new(Amount::default()),
                counted: HashMap::new(),
                sizes: HashMap::new(),
            }),
            name,
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a slot of the team's limit and a target without waiting.
    fn grab(&self, cx: &Context, wanted: &Wanted) -> Option<Grant> {
        if wanted.class == Class::Normal && self.free(cx) <= self.buffer(cx).into() {
            return None;
        }
        let slot = match &wanted.team {
            Some(team) => Some(cx.meters.try_take(team)?),
            None => None,
        };
        let (target, pass) = self.choose(cx)?;
        let counted = self.count(&wanted.share_team());
        Some(Grant {
            target,
            _pass: pass,
            _slot: slot,
            _use: Some(counted),
        })
    }

    /// Chooses the less loaded of two random open targets, then any with room.
    fn choose(&self, cx: &Context) -> Option<(OpenTarget, Pass)> {
        let snapshot = cx.targets.snapshot.load();
        let open = snapshot.open(&self.name);
        let now = cx.clock.now();
        if open.is_empty() {
            return None;
        }
        let start = rand::random_range(0..open.len());
        let other = rand::random_range(0..open.len());
        let first = if open[other].gate.in_flight() < open[start].gate.in_flight() {
            other
        } else {
            start
        };
        (0..open.len())
            .map(|step| &open[(first + step) % open.len()])
            .find_map(|target| Some((target.clone(), enter(cx, target, now)?)))
    }

    /// Returns this entry's part of the pool's buffer. It never takes more than a part of the slots,
    /// so that a pool that lost most of its targets still serves normal work.
    fn buffer(&self, cx: &Context) -> u32 {
        let most = self.slots(cx) / LEAST_NORMAL_PART;
        let vms = self.vms.load(Ordering::Acquire).max(1);
        let open = cx.targets.snapshot.load().open(&self.name).len() as u64;
        let part = self.buffer.load(Ordering::Acquire) * open.min(vms) / vms;
        u32::try_from(part).unwrap_or(u32::MAX).min(most)
    }

    fn free(&self, cx: &Context) -> u64 {
        let snapshot = cx.targets.snapshot.load();
        let free = snapshot.open(&self.name).iter().map(|target| {
            let slots = cx.targets.slots(&target.vm);
            u64::from(slots.saturating_sub(target.gate.in_flight()))
        });
        free.sum()
    }

    fn count(&self, team: &TeamName) -> Use {
        let count = self.counter(team);
        count.fetch_add(1, Ordering::AcqRel);
        Use {
            count,
            wake: Arc::clone(&self.wake),
        }
    }

    fn counter(&self, team: &TeamName) -> Arc<AtomicU64> {
        if let Some(count) = self.running.load().get(team) {
            return Arc::clone(count);
        }
        self.running.rcu(|running| {
            let mut running = HashMap::clone(running);
            running.entry(team.clone()).or_default();
            running
        });
        self.running.load().get(team).cloned().unwrap_or_default()
    }

    async fn wait(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        wanted: &Wanted,
        deadline: Instant,
    ) -> Result<Grant, Refusal> {
        let (seat, granted) = oneshot::channel();
        let seated = self.enqueue(cx, wanted, deadline, seat)?;
        self.pump(cx);
        let left = deadline.saturating_duration_since(cx.clock.now());
        let result = tokio::time::timeout(left, granted).await;
        drop(seated);
        match result {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => {
                let detail = "no target became free before the deadline";
                Err(Refusal::new(RefusalKind::Overloaded, detail).retry_after(RETRY_AFTER))
            }
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        cx: &Context,
        wanted: &Wanted,
        deadline: Instant,
        seat: Seat,
    ) -> Result<Seated, Refusal> {
        let team = wanted.share_team();
        let free = u32::try_from(self.free(cx)).unwrap_or(u32::MAX);
        let usable = match &wanted.team {
            Some(team) => cx.meters.usable(team),
            None => u32::MAX,
        };
        let supply = Supply {
            serving: usable.min(self.slots(cx)),
            free: free.min(usable),
            buffer: self.buffer(cx),
        };
        let waiting = Waiting {
            team: team.clone(),
            class: wanted.class,
            deadline,
            run_time: wanted.run_time,
            item: seat,
        };
        let mut inner = self.inner();
        let ticket = inner.queue.push(cx.clock.now(), waiting, supply)?;
        inner.shares.set_waiting(&team, true);
        inner.sizes.insert(team, Amount::request(&wanted.size));
        drop(inner);
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Ok(Seated {
            pool: Arc::clone(self),
            ticket,
        })
    }

    fn slots(&self, cx: &Context) -> u32 {
        let snapshot = cx.targets.snapshot.load();
        let open = snapshot.open(&self.name);
        open.iter().map(|target| cx.targets.slots(&target.vm)).sum()
    }

    /// Gives free targets to waiting requests, the team furthest below its share first.
    fn pump(&self, cx: &Context) {
        let mut inner = self.inner();
        for (waiting, refusal) in inner.queue.expire(cx.clock.now()) {
            let _ = waiting.item.send(Err(refusal));
        }
        self.settle_shares(cx, &mut inner);
        loop {
            let order: Vec<TeamName> = inner.shares.order().cloned().collect();
            let served = order
                .iter()
                .any(|team| self.serve_team(cx, &mut inner, team));
            if !served {
                return;
            }
        }
    }

    fn serve_team(&self, cx: &Context, inner: &mut Inner, team: &TeamName) -> bool {
        let anonymous = team.as_str() == ANONYMOUS;
        let slot = if anonymous {
            None
        } else {
            match cx.meters.try_take(team) {
                Some(slot) => Some(slot),
                None => return false,
            }
        };
        let free = u32::try_from(self.free(cx)).unwrap_or(u32::MAX);
        let supply = Supply {
            serving: self.slots(cx),
            free,
            buffer: self.buffer(cx),
        };
        let Some((target, pass)) = self.choose(cx) else {
            return false;
        };
        let Some(waiting) = inner.queue.pop(team, supply) else {
            if inner.queue.waiting(team) == 0 {
                inner.shares.set_waiting(team, false);
            }
            return false;
        };
        if inner.queue.waiting(team) == 0 {
            inner.shares.set_waiting(team, false);
        }
        let counted = self.count(team);
        self.settle_team(inner, team);
        // A grant that nobody waits for is dropped, which frees its target and slot.
        let _ = waiting.item.send(Ok(Grant {
            target,
            _pass: pass,
            _slot: slot,
            _use: Some(counted),
        }));
        true
    }

    fn settle_shares(&self, cx: &Context, inner: &mut Inner) {
        let slots = u64::from(self.slots(cx));
        inner.shares.set_capacity(Amount {
            slots,
            ..Amount::default()
        });
        let teams: Vec<TeamName> = self.running.load().keys().cloned().collect();
        for team in teams {
            self.settle_team(inner, &team);
        }
    }

    /// Tells the shares what started and ended since they were told last.
    fn settle_team(&self, inner: &mut Inner, team: &TeamName) {
        let running = self.counter(team).load(Ordering::Acquire);
        let amount = inner.sizes.get(team).copied().unwrap_or(Amount {
            slots: 1,
            ..Amount::default()
        });
        let counted = inner.counted.entry(team.clone()).or_default();
        while *counted < running {
            inner.shares.started(team, &amount);
            *counted += 1;
        }
        while *counted > running {
            inner.shares.finished(team, &amount);
            *counted -= 1;
        }
    }
}

/// Enters a target that has a free slot.
fn enter(cx: &Context, target: &OpenTarget, now: Instant) -> Option<Pass> {
    let pass = target.enter(now)?;
    (target.gate.in_flight() <= cx.targets.slots(&target.vm)).then_some(pass)
}
