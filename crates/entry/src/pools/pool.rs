//! One pool in this entry: its targets and what runs on them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use arc_swap::ArcSwap;
use lavenderhollow_config::Config;
use lavenderhollow_config::Team;
use lavenderhollow_core::membership::OpenTarget;
use lavenderhollow_core::membership::Pass;
use lavenderhollow_core::membership::Snapshot;
use lavenderhollow_core::placement::Place;
use lavenderhollow_core::placement::Targets;
use lavenderhollow_core::queue::Class;
use lavenderhollow_core::retry::RetryBudget;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::VmName;
use tokio::sync::Notify;

use super::Ended;
use super::grant::Grant;
use super::grant::Use;
use super::grant::Wanted;
use super::health::Health;
use super::seat::Waiters;
use crate::context::Context;

/// The part of the slots that a buffer takes at most, as a divisor.
const BUFFER_PART: u32 = 2;

/// How many chosen targets that closed meanwhile are passed over.
const CHOICES: usize = 4;

/// The open targets of a pool at one time.
#[derive(Default)]
struct View {
    targets: Targets,
    open: BTreeMap<VmName, OpenTarget>,
    slots: u32,
}

/// One pool in this entry.
pub(super) struct Pool {
    pub(super) name: PoolName,
    pub(super) waiting: AtomicUsize,
    pub(super) retry: RetryBudget,
    pub(super) waiters: Mutex<Waiters>,
    /// The slots to keep free in the zone, and the VMs that the pool has there.
    buffer: AtomicU64,
    vms: AtomicU64,
    view: ArcSwap<View>,
    running: ArcSwap<HashMap<TeamName, Arc<AtomicU64>>>,
    wake: Arc<Notify>,
    health: Health,
}

impl Pool {
    pub(super) fn new(name: PoolName, config: &Config, wake: &Arc<Notify>, now: Instant) -> Self {
        let queues = config.queues.values().filter(|queue| queue.pool == name);
        let bound = queues.map(|queue| queue.max_queued).max().unwrap_or(0);
        Self {
            name,
            waiting: AtomicUsize::new(0),
            retry: RetryBudget::new(now),
            waiters: Mutex::new(Waiters::new(bound as usize)),
            buffer: AtomicU64::new(0),
            vms: AtomicU64::new(0),
            view: ArcSwap::default(),
            running: ArcSwap::default(),
            wake: Arc::clone(wake),
            health: Health::default(),
        }
    }

    pub(super) fn configure(&self, teams: &BTreeMap<TeamName, Team>) {
        self.waiters().set_weights(teams);
    }

    pub(super) fn set_buffer(&self, slots: u32, vms: u32) {
        self.buffer.store(slots.into(), Ordering::Release);
        self.vms.store(vms.into(), Ordering::Release);
    }

    /// Takes over the open targets of a snapshot.
    pub(super) fn set_targets(&self, cx: &Context, snapshot: &Snapshot) {
        let open = snapshot.open(&self.name);
        let listed = cx.targets.placement_targets(open);
        let present = self.view.load();
        let shapes = cx.targets.shapes(&self.name);
        let workers: Vec<VmName> = open.iter().map(|target| target.vm.clone()).collect();
        self.health.set_workers(&workers);
        self.view.store(Arc::new(View {
            slots: listed.iter().map(|target| target.slots).sum(),
            targets: Targets::new(listed, &shapes, Some(&present.targets)),
            open: open
                .iter()
                .map(|target| (target.vm.clone(), target.clone()))
                .collect(),
        }));
    }

    /// Checks that a request can run in this pool at all.
    ///
    /// # Errors
    ///
    /// Refuses a quarantined request and one that no worker of the pool is large enough for.
    pub(super) fn check(&self, wanted: &Wanted) -> Result<(), Refusal> {
        if self.health.is_quarantined(wanted.job) {
            let detail = "the same request failed on several workers that serve others";
            return Err(Refusal::new(RefusalKind::Quarantined, detail));
        }
        self.view.load().targets.check(&wanted.size)
    }

    pub(super) fn observe(&self, wanted: &Wanted, worker: &VmName, ended: Ended, acts: bool) {
        let succeeded = ended.succeeded;
        self.health
            .record(&self.name, wanted.job, worker, succeeded, ended.at, acts);
    }

    /// Takes a slot of the team's limit and a target without waiting.
    ///
    /// # Errors
    ///
    /// Refuses with `Impossible` when no worker could ever run the request, and with another kind
    /// when there is no room now.
    pub(super) fn grab(&self, cx: &Context, wanted: &Wanted) -> Result<Grant, Refusal> {
        if wanted.class == Class::Normal && self.free() <= self.buffer() {
            let detail = "the free slots are kept for urgent work";
            return Err(Refusal::new(RefusalKind::Overloaded, detail));
        }
        let slot = match &wanted.team {
            Some(team) => Some(cx.meters.try_take(team).ok_or_else(at_limit)?),
            None => None,
        };
        let (target, pass, place) = self.choose(cx.clock.now(), wanted)?;
        let lease = cx.targets.lease(&target.vm).ok_or_else(no_target)?;
        Ok(Grant {
            target,
            lease,
            _pass: pass,
            _place: place,
            _slot: slot,
            _use: self.count(&wanted.share_team()),
        })
    }

    /// Chooses a target with room that is open now.
    fn choose(&self, now: Instant, wanted: &Wanted) -> Result<(OpenTarget, Pass, Place), Refusal> {
        let view = self.view.load();
        for _ in 0..CHOICES {
            let place = view
                .targets
                .choose(now, &wanted.size, &mut rand::random::<u64>)?;
            let target = view.open.get(place.vm());
            if let Some(target) = target.filter(|target| self.health.is_open(&target.vm, now))
                && let Some(pass) = target.enter(now)
            {
                self.health.started(&target.vm);
                return Ok((target.clone(), pass, place));
            }
        }
        Err(no_target())
    }

    /// Returns this entry's part of the pool's buffer. It never takes more than a part of the
    /// slots, so that a pool that lost most of its targets still serves normal work.
    pub(super) fn buffer(&self) -> u32 {
        let view = self.view.load();
        let vms = self.vms.load(Ordering::Acquire).max(1);
        let open = view.open.len() as u64;
        let part = self.buffer.load(Ordering::Acquire) * open.min(vms) / vms;
        u32::try_from(part)
            .unwrap_or(u32::MAX)
            .min(view.slots / BUFFER_PART)
    }

    /// Returns the slots of the open targets.
    pub(super) fn slots(&self) -> u32 {
        self.view.load().slots
    }

    /// Returns the free slots of the open targets.
    pub(super) fn free(&self) -> u32 {
        let view = self.view.load();
        let used = view.open.values().map(|target| target.gate.in_flight());
        view.slots.saturating_sub(used.sum())
    }

    fn count(&self, team: &TeamName) -> Use {
        Use::new(self.counter(team), Arc::clone(&self.wake))
    }

    /// Returns the number of running requests of each team.
    pub(super) fn running(&self) -> Vec<(TeamName, u64)> {
        let running = self.running.load();
        let counts = running.iter();
        counts
            .map(|(team, count)| (team.clone(), count.load(Ordering::Acquire)))
            .collect()
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
}

fn no_target() -> Refusal {
    Refusal::new(RefusalKind::NoTarget, "no target is open")
}

fn at_limit() -> Refusal {
    let detail = "the team uses all slots of its limit that this entry may give";
    Refusal::new(RefusalKind::Limit, detail)
}
