//! The targets of this entry: the VM list, leases and probes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use arc_swap::ArcSwap;
use futures::StreamExt;
use futures::stream;
use lavenderhollow_config::Resources;
use lavenderhollow_core::maintenance::ListedVm;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::maintenance::Sightings;
use lavenderhollow_core::maintenance::Usage;
use lavenderhollow_core::membership::Bounds;
use lavenderhollow_core::membership::Holder;
use lavenderhollow_core::membership::LeaseAction;
use lavenderhollow_core::membership::ListedTarget;
use lavenderhollow_core::membership::Membership;
use lavenderhollow_core::membership::OpenTarget;
use lavenderhollow_core::membership::Snapshot;
use lavenderhollow_core::membership::lease_action;
use lavenderhollow_core::permit::Lease;
use lavenderhollow_core::placement::Target;
use lavenderhollow_platform::LeaseBody;
use lavenderhollow_platform::UsageReport;
use lavenderhollow_platform::VmInfo;
use lavenderhollow_platform::VmPage;
use lavenderhollow_platform::VmSize;
use lavenderhollow_platform::VmState;
use lavenderhollow_platform::WorkerError;
use lavenderhollow_types::EntryName;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::VmName;
use lavenderhollow_types::ZoneName;

use crate::context::Context;
use crate::metric;

/// How many workers are called at once. A zone of the largest fleet has about 700.
const CALLS_AT_ONCE: usize = 64;

/// After how many probes without an answer a worker counts as failed.
const MISSED_PROBES: u32 = 3;

/// For how long lists must omit a VM before it is forgotten.
const GONE_AFTER: Duration = Duration::from_secs(60);

/// The connections that a worker offers. One entry leases it, and so has all of them.
const CONNECTIONS: u32 = 64;

/// The parts of the view that only the heartbeat tasks use.
struct View {
    membership: Membership,
    sightings: Sightings,
    listed: BTreeMap<VmName, VmInfo>,
    slots: HashMap<VmName, u32>,
    /// When a worker that this entry polls answered last, or was polled first.
    answered: HashMap<VmName, Instant>,
    listed_at: Option<Instant>,
    folded_at: Option<Instant>,
}

/// The targets of this entry. The request path reads the snapshot and the leases without a lock.
pub(crate) struct Targets {
    view: Mutex<View>,
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
    leases: ArcSwap<HashMap<VmName, Lease>>,
    slots: ArcSwap<HashMap<VmName, u32>>,
    /// The sizes of all workers of each pool in all zones, each size once.
    shapes: ArcSwap<HashMap<PoolName, Vec<Resources>>>,
}

impl Targets {
    pub(crate) fn new(zone: ZoneName, probe: Duration) -> Self {
        let default = Bounds::default();
        let membership = Membership::new(Bounds {
            probe: default.probe.max(probe * MISSED_PROBES),
            ..default
        });
        Self {
            snapshot: membership.reader(),
            leases: ArcSwap::default(),
            slots: ArcSwap::default(),
            shapes: ArcSwap::default(),
            view: Mutex::new(View {
                membership,
                sightings: Sightings::new(zone, GONE_AFTER),
                listed: BTreeMap::new(),
                slots: HashMap::new(),
                answered: HashMap::new(),
                listed_at: None,
                folded_at: None,
            }),
        }
    }

    /// Returns the lease of a worker, if this entry holds it.
    pub(crate) fn lease(&self, vm: &VmName) -> Option<Lease> {
        self.leases.load().get(vm).cloned()
    }

    /// Returns how many tasks fit on a worker, as it reported.
    pub(crate) fn slots(&self, vm: &VmName) -> u32 {
        self.slots.load().get(vm).copied().unwrap_or(0)
    }

    /// Returns the sizes of the workers of a pool in all zones.
    pub(crate) fn shapes(&self, pool: &PoolName) -> Vec<Resources> {
        self.shapes.load().get(pool).cloned().unwrap_or_default()
    }

    /// Describes open targets for the choice of one.
    pub(crate) fn placement_targets(&self, open: &[OpenTarget]) -> Vec<Target> {
        let view = self.view();
        let targets = open.iter().filter_map(|target| {
            let info = view.listed.get(&target.vm)?;
            Some(Target {
                vm: target.vm.clone(),
                rack: info.rack.clone(),
                slots: view.slots.get(&target.vm).copied().unwrap_or(0),
                connections: CONNECTIONS,
                size: resources(info.size),
                report: None,
            })
        });
        targets.collect()
    }

    /// Takes in the fold, which had everything that was stored before `confirmed`.
    pub(crate) fn on_fold(&self, state: &Maintenance, confirmed: Instant, now: Instant) {
        let mut view = self.view();
        view.folded_at = view.folded_at.max(Some(confirmed));
        view.membership.on_fold(state, confirmed);
        view.membership.publish(now);
    }

    /// Takes in that the fold is still the newest, because no entry has read a record since.
    pub(crate) fn on_unchanged(&self, state: &Maintenance, since: Instant, now: Instant) {
        let mut view = self.view();
        view.membership.on_fold(state, since);
        view.membership.publish(now);
    }

    /// Returns when the fold was last known to be at the log's head.
    pub(crate) fn folded_at(&self) -> Option<Instant> {
        self.view().folded_at
    }

    /// Locks the view for the maintenance task.
    pub(crate) fn with_membership<T>(&self, f: impl FnOnce(&mut Membership) -> T) -> T {
        f(&mut self.view().membership)
    }

    /// Compares lists and answers with the fold for the maintenance task.
    pub(crate) fn with_sightings<T>(
        &self,
        now: Instant,
        bound: Duration,
        f: impl FnOnce(&Sightings, &BTreeMap<VmName, bool>, Option<Instant>) -> T,
    ) -> T {
        let view = self.view();
        let answers = view
            .answered
            .iter()
            .map(|(vm, at)| (vm.clone(), now.saturating_duration_since(*at) <= bound))
            .collect();
        f(&view.sightings, &answers, view.listed_at)
    }

    /// Returns the workers whose lease this entry holds, with their addresses.
    pub(crate) fn held(&self) -> Vec<(VmName, SocketAddr)> {
        let view = self.view();
        let leases = self.leases.load();
        let held = leases.keys().filter_map(|vm| view.listed.get(vm));
        held.map(|info| (info.name.clone(), info.address)).collect()
    }

    /// Returns the address of a listed worker.
    pub(crate) fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.view().listed.get(vm).map(|info| info.address)
    }

    fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, view: &View, now: Instant) {
        view.membership.publish(now);
        self.slots.store(Arc::new(view.slots.clone()));
    }

    fn set_lease(&self, vm: &VmName, lease: Option<&Lease>) {
        self.leases.rcu(|leases| {
            let mut leases = HashMap::clone(leases);
            match lease {
                Some(lease) => leases.insert(vm.clone(), lease.clone()),
                None => leases.remove(vm),
            };
            leases
        });
    }
}

/// Reads the VM list for ever.
pub(crate) async fn follow_list(cx: &Context) {
    let mut ticks = tokio::time::interval(cx.settings.list_interval);
    loop {
        ticks.tick().await;
        match cx.vms.vms().await {
            Ok(page) => take_list(cx, page),
            Err(error) => {
                metrics::counter!(metric::LIST_ERRORS).increment(1);
                log::debug!("the VM list can't be read: {error}");
            }
        }
    }
}

fn take_list(cx: &Context, page: VmPage) {
    take_shapes(cx, &page);
    let now = cx.clock.now();
    let as_of = described(page.as_of, cx.clock.wall(), now);
    let (entries, workers): (Vec<_>, Vec<_>) = page
        .vms
        .into_iter()
        .partition(|info| info.pool == cx.settings.entry_pool);
    cx.peers.take_list(&cx.settings.name, &entries);
    let names = entries.iter().filter_map(|info| {
        let name = EntryName::new(info.name.as_str()).ok()?;
        Some((name, info.zone.clone()))
    });
    cx.with_freshness(|freshness| freshness.set_entries(names));
    let own: Vec<_> = workers
        .into_iter()
        .filter(|info| info.zone == cx.settings.zone)
        .collect();
    cx.streams.fleet.read(|fold| {
        let mut view = cx.targets.view();
        let listed: Vec<_> = own.iter().map(listed_vm).collect();
        let maintenance = &fold.state().maintenance;
        view.sightings.on_list(maintenance, &listed, as_of);
        view.membership
            .on_list(own.iter().map(listed_target).collect(), as_of);
        view.listed = own
            .into_iter()
            .map(|info| (info.name.clone(), info))
            .collect();
        view.listed_at = view.listed_at.max(Some(as_of));
        let View {
            listed,
            answered,
            slots,
            ..
        } = &mut *view;
        answered.retain(|vm, _| listed.contains_key(vm));
        slots.retain(|vm, _| listed.contains_key(vm));
        cx.targets.publish(&view, now);
    });
}

fn take_shapes(cx: &Context, page: &VmPage) {
    let mut shapes: BTreeMap<PoolName, BTreeSet<VmSize>> = BTreeMap::new();
    cx.streams.fleet.read(|fold| {
        let maintenance = &fold.state().maintenance;
        for info in &page.vms {
            let recorded = maintenance.vm(&info.name);
            let pool = recorded.map_or(&info.pool, |record| &record.pool);
            match shapes.get_mut(pool) {
                Some(sizes) => drop(sizes.insert(info.size)),
                None => drop(shapes.insert(pool.clone(), BTreeSet::from([info.size]))),
            }
        }
    });
    let shapes = shapes
        .into_iter()
        .map(|(pool, sizes)| (pool, sizes.into_iter().map(resources).collect()));
    cx.targets.shapes.store(Arc::new(shapes.collect()));
}

fn resources(size: VmSize) -> Resources {
    Resources {
        milli_cores: size.milli_cores,
        memory_mib: size.memory_mib,
        accelerators: size.accelerators,
    }
}

/// Converts the platform's time of a report to the monotonic time, never later than now.
fn described(as_of: SystemTime, wall: SystemTime, now: Instant) -> Instant {
    let age = wall.duration_since(as_of).unwrap_or_default();
    now.checked_sub(age).unwrap_or(now)
}

fn listed_vm(info: &VmInfo) -> ListedVm {
    ListedVm {
        vm: info.name.clone(),
        zone: info.zone.clone(),
        rack: info.rack.clone(),
        pool: info.pool.clone(),
        leaving: info.state == VmState::Leaving,
    }
}

fn listed_target(info: &VmInfo) -> ListedTarget {
    ListedTarget {
        vm: info.name.clone(),
        address: info.address,
        leaving: info.state == VmState::Leaving,
    }
}

/// Keeps the leases of this entry's workers and probes them, for ever.
pub(crate) async fn keep_leases(cx: &Context) {
    let mut ticks = tokio::time::interval(cx.settings.probe);
    loop {
        ticks.tick().await;
        let live = cx.peers.live_in_zone(cx.clock.now());
        let workers: Vec<_> = {
            let view = cx.targets.view();
            let listed = view.listed.values();
            listed
                .map(|info| (info.name.clone(), info.address))
                .collect()
        };
        stream::iter(workers)
            .for_each_concurrent(CALLS_AT_ONCE, |(vm, address)| {
                keep_lease(cx, &live, vm, address)
            })
            .await;
        let now = cx.clock.now();
        cx.targets.publish(&cx.targets.view(), now);
        cx.pools.targets_changed(cx);
        report_open(cx);
    }
}

async fn keep_lease(cx: &Context, live: &BTreeSet<EntryName>, vm: VmName, address: SocketAddr) {
    let held = cx.targets.lease(&vm).is_some();
    // A worker refuses a lease that another entry holds, so that there is no need to know here
    // whether one does.
    let holder = if held {
        Holder::Me
    } else {
        Holder::Nobody(Duration::ZERO)
    };
    match lease_action(&cx.settings.name, &vm, live, holder) {
        LeaseAction::Take | LeaseAction::Renew => {
            take_lease(cx, &vm, address).await;
            probe(cx, &vm, address).await;
        }
        LeaseAction::GiveBack => give_back(cx, &vm, address).await,
        LeaseAction::Leave => {
            cx.targets.view().answered.remove(&vm);
        }
    }
}

/// Takes or renews the lease of a worker.
pub(crate) async fn take_lease(cx: &Context, vm: &VmName, address: SocketAddr) {
    if cx.gate.is_closing() && cx.targets.lease(vm).is_none() {
        return;
    }
    let sent = cx.clock.now();
    let body = LeaseBody {
        holder: cx.incarnation,
        seconds: cx.settings.lease,
    };
    match cx.workers.lease(address, body).await {
        Ok(answer) => {
            let lease = Lease {
                holder: answer.lease.holder,
                until: sent + answer.left,
                end: answer.lease.end,
            };
            let mut view = cx.targets.view();
            view.membership.on_lease(vm, Some(lease.until), sent);
            cx.targets.set_lease(vm, Some(&lease));
        }
        Err(error) => {
            metrics::counter!(metric::LEASE_ERRORS).increment(1);
            let lapsed = cx
                .targets
                .lease(vm)
                .is_some_and(|lease| lease.until <= sent);
            if lapsed || matches!(error, WorkerError::Refused(_)) {
                drop_lease(cx, vm);
            }
        }
    }
}

fn drop_lease(cx: &Context, vm: &VmName) {
    let now = cx.clock.now();
    let mut view = cx.targets.view();
    view.membership.on_lease(vm, None, now);
    cx.targets.set_lease(vm, None);
    cx.targets.publish(&view, now);
}

async fn probe(cx: &Context, vm: &VmName, address: SocketAddr) {
    let sent = cx.clock.now();
    let report = cx.workers.usage(address).await;
    let mut view = cx.targets.view();
    match report {
        Ok(report) => {
            let usage = usage_of(cx, &report, sent);
            view.membership.on_answer(vm, usage);
            view.answered.insert(vm.clone(), sent);
            view.slots.insert(vm.clone(), report.slots);
        }
        Err(_) => {
            view.answered.entry(vm.clone()).or_insert(sent);
        }
    }
}

/// Takes a report as describing a time no later than the question, whatever the worker's clock
/// says.
fn usage_of(cx: &Context, report: &UsageReport, sent: Instant) -> Usage {
    let as_of = described(report.as_of, cx.clock.wall(), cx.clock.now());
    Usage {
        running: u32::try_from(report.running.len()).unwrap_or(u32::MAX),
        boot: report.boots,
        leaving: report.leaving,
        as_of: as_of.min(sent),
    }
}

/// Returns the time without an answer after which a worker counts as failed.
pub(crate) fn failed_after(cx: &Context) -> Duration {
    cx.settings.probe * MISSED_PROBES
}

/// Gives a lease back once no work of this entry is on the worker.
pub(crate) async fn give_back(cx: &Context, vm: &VmName, address: SocketAddr) {
    let now = cx.clock.now();
    let idle = {
        let mut view = cx.targets.view();
        view.membership.on_lease(vm, None, now);
        view.membership.publish(now);
        view.membership.target_view(vm, now).in_flight == 0
    };
    if !idle {
        // The lease has to cover the work that runs, though the target is closed for new work.
        let body = LeaseBody {
            holder: cx.incarnation,
            seconds: cx.settings.lease,
        };
        let _ = cx.workers.lease(address, body).await;
        return;
    }
    if cx.workers.release(address, cx.incarnation).await.is_ok() {
        cx.targets.set_lease(vm, None);
    }
}

fn report_open(cx: &Context) {
    for (pool, targets) in cx.targets.snapshot.load().pools() {
        let count = u32::try_from(targets.len()).unwrap_or(u32::MAX);
        let pool = pool.to_string();
        metrics::gauge!(metric::OPEN_TARGETS, "pool" => pool).set(count);
    }
}
