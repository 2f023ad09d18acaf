//! Carries out maintenance: sightings, grants and drains.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_core::fleet::FleetChange;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::follower::Status;
use lavenderhollow_core::maintenance::Change;
use lavenderhollow_core::maintenance::Drain;
use lavenderhollow_core::maintenance::DrainStep;
use lavenderhollow_core::maintenance::FleetView;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::maintenance::Rules;
use lavenderhollow_core::maintenance::VmLoad;
use lavenderhollow_core::maintenance::WaveDriver;
use lavenderhollow_core::membership::owner;
use lavenderhollow_core::planner;
use lavenderhollow_platform::RebootBody;
use lavenderhollow_types::VmName;

use crate::context::Context;
use crate::metric;
use crate::submitted::Submitted;
use crate::targets;

/// The state of the task. It can be lost: every drain is driven from its folded record.
#[derive(Default)]
struct Driver {
    drains: BTreeMap<VmName, Drain>,
    submitted: Submitted,
}

/// Drives maintenance for the workers that this entry owns, for ever.
pub(crate) async fn keep(cx: &Arc<Context>) {
    let mut driver = Driver::default();
    let mut ticks = tokio::time::interval(cx.settings.heartbeat / 2);
    loop {
        ticks.tick().await;
        if cx.gate.is_closing() || cx.streams.fleet.status() != Status::Following {
            continue;
        }
        driver.submit_changes(cx);
        driver.step_drains(cx).await;
    }
}

impl Driver {
    fn submit_changes(&mut self, cx: &Context) {
        let now = cx.clock.now();
        for change in changes(cx, now) {
            self.submit(cx, change, now);
        }
    }

    /// Submits a change on condition of the version that the decision was made from.
    fn submit(&mut self, cx: &Context, change: Change, now: Instant) {
        let subject = Maintenance::subject(&change);
        let version = cx.streams.fleet.read(|fold| fold.version(&subject));
        if !self.submitted.may_submit(subject, version, now) {
            return;
        }
        let change = FleetChange::from(change);
        cx.streams.fleet.submit(change, Some(version));
    }

    async fn step_drains(&mut self, cx: &Arc<Context>) {
        let now = cx.clock.now();
        let live = cx.peers.live_in_zone(now);
        let open = cx.streams.fleet.read(|fold| {
            let maintenance = &fold.state().maintenance;
            let drains = maintenance.drains();
            let own = drains.filter(|(vm, _)| owner(vm, &live) == Some(&cx.settings.name));
            own.map(|(vm, record)| (vm.clone(), record.clone()))
                .collect::<BTreeMap<_, _>>()
        });
        self.drains.retain(|vm, _| open.contains_key(vm));
        for (vm, record) in &open {
            self.drains
                .entry(vm.clone())
                .or_insert_with(|| Drain::new(vm.clone(), record, now));
        }
        for vm in open.keys() {
            self.step_drain(cx, vm).await;
        }
    }

    async fn step_drain(&mut self, cx: &Arc<Context>, vm: &VmName) {
        let Some(address) = cx.targets.address(vm) else {
            return;
        };
        let now = cx.clock.now();
        let view = cx
            .targets
            .with_membership(|membership| membership.target_view(vm, now));
        let Some(drain) = self.drains.get_mut(vm) else {
            return;
        };
        let step = cx
            .streams
            .fleet
            .read(|fold| drain.step(&fold.state().maintenance, &view, now));
        let name = match step {
            DrainStep::Wait => return,
            DrainStep::Done => {
                self.drains.remove(vm);
                "done"
            }
            DrainStep::TakeLease => {
                targets::take_lease(cx, vm, address).await;
                "take_lease"
            }
            DrainStep::Checkpoint => {
                checkpoint(cx, address).await;
                "checkpoint"
            }
            DrainStep::Record(change) => {
                self.submit(cx, change, now);
                "record"
            }
            DrainStep::Reboot { boot } => {
                let body = RebootBody {
                    holder: cx.incarnation,
                    boots: boot,
                };
                let answer = cx.workers.reboot(address, body).await;
                if let Err(error) = answer {
                    log::warn!("{vm} does not reboot: {error}");
                }
                "reboot"
            }
        };
        metrics::counter!(metric::DRAINS, "step" => name).increment(1);
    }
}

async fn checkpoint(cx: &Context, address: std::net::SocketAddr) {
    let Ok(report) = cx.workers.usage(address).await else {
        return;
    };
    for task in report.running {
        // A task that can't checkpoint is waited for.
        let _ = cx
            .workers
            .checkpoint(address, task.attempt, cx.incarnation)
            .await;
    }
}

/// Returns the changes that the list, the answers and the running waves ask for.
fn changes(cx: &Context, now: Instant) -> Vec<Change> {
    let live = cx.peers.live_in_zone(now);
    let mine = |vm: &VmName| owner(vm, &live) == Some(&cx.settings.name);
    let installed = cx.config.load_full();
    let loads = loads(cx, now);
    let bound = targets::failed_after(cx);
    let folded = cx.targets.folded_at();
    cx.streams.fleet.read(|fold| {
        let state = &fold.state().maintenance;
        cx.targets
            .with_sightings(now, bound, |sightings, answers, listed_at| {
                let Some(listed) = listed_at else {
                    return Vec::new();
                };
                let mut changes = sightings.changes(state, answers);
                changes.retain(|change| subject_vm(change).is_none_or(mine));
                let Some(folded) = folded else {
                    return changes;
                };
                let mut view = FleetView::new(Rules::of(installed.version, &installed.config), now);
                view.folded = folded;
                view.listed = listed;
                let moves = cx.plans.moves.load();
                changes.extend(planner::grants(state, &moves, &loads));
                view.loads = loads;
                view.suspects = sightings.suspects(state, answers);
                view.pace = BTreeMap::clone(&cx.plans.pace.load());
                changes.extend(WaveDriver::default().next(state, &view));
                changes
            })
    })
}

fn subject_vm(change: &Change) -> Option<&VmName> {
    match change {
        Change::AddVm { vm, .. }
        | Change::RemoveVm { vm }
        | Change::Out { vm, .. }
        | Change::Back { vm } => Some(vm),
        _ => None,
    }
}

/// Returns the load of the workers whose lease this entry holds. It may grant drains for these.
fn loads(cx: &Context, now: Instant) -> BTreeMap<VmName, VmLoad> {
    let held = cx.targets.held();
    cx.targets.with_membership(|membership| {
        let loads = held.into_iter().filter_map(|(vm, _)| {
            let view = membership.target_view(&vm, now);
            let usage = view.usage?;
            let load = VmLoad {
                running: usage.running.max(view.in_flight),
                remaining: Duration::ZERO,
                as_of: usage.as_of,
            };
            Some((vm, load))
        });
        loads.collect()
    })
}
