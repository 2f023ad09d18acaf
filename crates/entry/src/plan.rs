//! Buffers, the pace of waves and moves of VMs in the entry's zone.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use lavenderhollow_config::Config;
use lavenderhollow_core::follower::Status;
use lavenderhollow_core::freshness::Installed;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::maintenance::Purpose;
use lavenderhollow_core::membership::owner;
use lavenderhollow_core::planner::PlannedMove;
use lavenderhollow_core::planner::Planner;
use lavenderhollow_core::planner::PoolView;
use lavenderhollow_core::planner::Tuning;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::VmName;

use crate::context::Context;
use crate::message::Summary;
use crate::summary;

/// The slots of a worker, for pools without one that has answered.
const USUAL_SLOTS: u32 = 8;

/// What the planner wants, for the maintenance task.
#[derive(Default)]
pub(crate) struct Plans {
    /// How many VMs of a pool may be out for a wave to go on.
    pub(crate) pace: ArcSwap<BTreeMap<PoolName, u32>>,
    /// Moves to grant drains for; empty in entries that do not lead the zone.
    pub(crate) moves: ArcSwap<Vec<PlannedMove>>,
}

/// Plans for ever. Every entry of a zone plans buffers and pace from the same summaries; one of
/// them plans the moves, and the fold lets one of two racing plans win.
pub(crate) async fn keep(cx: &Arc<Context>) {
    let mut ticks = tokio::time::interval(cx.settings.heartbeat);
    let mut planner: Option<Planner> = None;
    let mut weights = None;
    loop {
        ticks.tick().await;
        let installed = cx.config.load_full();
        if installed.version.get() == 0 || cx.streams.fleet.status() != Status::Following {
            continue;
        }
        if weights != Some(installed.config.weights) {
            weights = Some(installed.config.weights);
            planner = None;
        }
        let present = installed.config.weights;
        let planner = planner.get_or_insert_with(|| Planner::new(present, Tuning::default()));
        round(cx, planner, &installed);
    }
}

fn round(cx: &Context, planner: &mut Planner, installed: &Installed) {
    let now = cx.clock.now();
    let views = views(cx, installed);
    planner.observe(&views, now);
    let plan = planner.plan(&views, &installed.config.automatic, now);
    for (pool, buffer) in &plan.buffers {
        let vms = views.get(pool).map_or(0, |view| view.serving);
        cx.pools.set_buffer(pool, *buffer, vms);
    }
    cx.plans.pace.store(Arc::new(plan.pace));
    let subject = VmName::new("moves").expect("the name is valid");
    let live = cx.peers.live_in_zone(now);
    let leads = owner(&subject, &live) == Some(&cx.settings.name);
    let moves = if leads { plan.moves } else { Vec::new() };
    cx.plans.moves.store(Arc::new(moves));
}

/// Describes the pools as far as they are in this zone.
fn views(cx: &Context, installed: &Installed) -> BTreeMap<PoolName, PoolView> {
    let zone = summary::of_zone(cx);
    let labels = cx.targets.labels();
    cx.streams.fleet.read(|fold| {
        let state = &fold.state().maintenance;
        let names = installed.config.pools.keys();
        let mut views: BTreeMap<PoolName, PoolView> = names
            .map(|name| (name.clone(), PoolView::default()))
            .collect();
        count_vms(cx, state, &labels, &mut views);
        for (name, view) in &mut views {
            describe(state, installed, &zone, name, view);
        }
        views
    })
}

fn count_vms(
    cx: &Context,
    state: &Maintenance,
    labels: &BTreeMap<VmName, PoolName>,
    views: &mut BTreeMap<PoolName, PoolView>,
) {
    for (vm, label) in labels {
        let Some(record) = state.vm(vm) else {
            continue;
        };
        if let Some(view) = views.get_mut(&record.pool) {
            view.borrowed += 1;
            match record.is_out() {
                true => view.out += 1,
                false => view.serving += 1,
            }
            view.slots = view.slots.max(cx.targets.slots(vm));
        }
        if let Some(view) = views.get_mut(label) {
            view.borrowed -= 1;
        }
        if let Some(drain) = &record.drain
            && let Purpose::Move { to, .. } = &drain.purpose
            && let Some(view) = views.get_mut(to)
        {
            view.incoming += 1;
        }
    }
}

fn describe(
    state: &Maintenance,
    installed: &Installed,
    zone: &Summary,
    name: &PoolName,
    view: &mut PoolView,
) {
    let config: &Config = &installed.config;
    let Some(settings) = config.pools.get(name) else {
        return;
    };
    let place = summary::pool_place(installed, name).unwrap_or(u16::MAX);
    let (free, waiting) = zone.room(installed.version, place);
    if view.slots == 0 {
        view.slots = USUAL_SLOTS;
    }
    let all = state.pool(name).map_or(0, |pool| pool.vms.len());
    let here = u64::from(view.serving + view.out);
    let part = u64::from(settings.buffer_slots) * here / (all as u64).max(1);
    view.min_buffer = u32::try_from(part).unwrap_or(u32::MAX);
    view.room = state.room(name);
    view.running = (view.serving * view.slots).saturating_sub(free);
    view.waiting = waiting;
    view.spare = settings.spare;
    let open = state.waves().filter(|(_, wave)| wave.pools.contains(name));
    let due: usize = open.map(|(_, wave)| state.due(wave).count()).sum();
    view.due = u32::try_from(due).unwrap_or(u32::MAX);
}
