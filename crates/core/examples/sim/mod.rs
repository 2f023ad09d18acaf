//! A fleet of 50 workers in five pools, stepped by the second, on the real fold, wave driver and
//! planner. Urgent work peaks in each pool in turn; other work fills every slot that no buffer
//! keeps free and runs for ten seconds on average.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_config::Switches;
use lavenderhollow_config::Weights;
use lavenderhollow_core::fold::Context;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::maintenance::Change;
use lavenderhollow_core::maintenance::FailureBound;
use lavenderhollow_core::maintenance::FleetView;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::maintenance::PoolRule;
use lavenderhollow_core::maintenance::Purpose;
use lavenderhollow_core::maintenance::Rules;
use lavenderhollow_core::maintenance::Stage;
use lavenderhollow_core::maintenance::VmLoad;
use lavenderhollow_core::maintenance::WaveDriver;
use lavenderhollow_core::planner::Outlook;
use lavenderhollow_core::planner::Planner;
use lavenderhollow_core::planner::PoolView;
use lavenderhollow_core::planner::Tuning;
use lavenderhollow_core::planner::grants;
use lavenderhollow_core::record::Position;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub(crate) const VMS: usize = 50;
pub(crate) const POOLS: usize = 5;
const SPARE: usize = 4;
const SLOTS: u32 = 8;
/// The mean of a pool's urgent work, in slots; a peak of five times the mean needs more than the
/// 80 slots of a pool.
const MEAN: f64 = 20.0;
/// Seconds of one peak. Each of the five pools peaks in turn.
const PEAK: u64 = 8;
/// Seconds of a reboot.
pub(crate) const REBOOT: u64 = 30;
/// Seconds before the wave starts, in which the planner learns.
const WARM_UP: u64 = 600;
/// Seconds over which the measures are added up.
const WINDOW: u64 = 1800;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Policy {
    Planned(Weights),
    /// A constant buffer of so many slots per serving pool, and no moves.
    Static(u32),
    NoBuffer,
    /// No buffer, no moves, and one VM of the wave at a time.
    OneAtATime,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) budget: u32,
    pub(crate) racks: u32,
    pub(crate) zones: usize,
}

pub(crate) struct Sim {
    policy: Policy,
    planner: Planner,
    state: Maintenance,
    rules: Rules,
    rng: StdRng,
    start: Instant,
    second: u64,
    records: u64,
    drains: BTreeMap<VmName, u64>,
    batch: [f64; POOLS],
    buffers: BTreeMap<PoolName, u32>,
    pace: BTreeMap<PoolName, u32>,
    done: Outlook,
}

fn pool(index: usize) -> PoolName {
    format!("pool-{index}").parse().expect("valid name")
}

fn vm(index: usize) -> VmName {
    format!("vm-{index}").parse().expect("valid name")
}

impl Sim {
    pub(crate) fn new(policy: Policy, limits: Limits, seed: u64) -> Self {
        let rule = PoolRule {
            max_unavailable: limits.budget,
            racks_at_once: limits.racks,
        };
        let rules = Rules {
            version: Version::new(1),
            pools: (0..POOLS).map(|index| (pool(index), rule)).collect(),
            drains: true,
            moves: true,
        };
        let weights = match policy {
            Policy::Planned(weights) => weights,
            _ => Weights::default(),
        };
        let mut sim = Self {
            policy,
            planner: Planner::new(weights, Tuning::default()),
            state: Maintenance::default(),
            rules: rules.clone(),
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            second: 0,
            records: 0,
            drains: BTreeMap::new(),
            batch: [0.0; POOLS],
            buffers: BTreeMap::new(),
            pace: BTreeMap::new(),
            done: Outlook::default(),
        };
        sim.fold(&Change::SetRules(rules));
        for index in 0..VMS {
            sim.fold(&Change::AddVm {
                vm: vm(index),
                zone: format!("zone-{}", index / 4 % limits.zones)
                    .parse()
                    .expect("valid name"),
                rack: format!("rack-{}", index / 4).parse().expect("valid name"),
                pool: pool(index % POOLS),
            });
        }
        sim
    }

    /// Runs the wave to its end and returns the measures over the whole window.
    pub(crate) fn run(mut self) -> Outlook {
        let mut ended = None;
        while self.second < WARM_UP + WINDOW || ended.is_none() {
            if self.second == WARM_UP {
                // Moves of the learning time count: what they changed lasts.
                let moves = self.done.moves;
                self.done = Outlook {
                    moves,
                    ..Outlook::default()
                };
                self.fold(&Change::StartWave {
                    wave: WaveId::from_number(1),
                    command: RecordId::from_number(1),
                    pools: (0..POOLS).map(pool).collect(),
                    bound: FailureBound::default(),
                });
            }
            self.step();
            if ended.is_none() && self.state.has_ended(WaveId::from_number(1)) {
                ended = Some(self.second - WARM_UP);
            }
            assert!(self.second < 100_000, "the wave does not end");
        }
        self.done.rollout = ended.unwrap_or(0) as f64 / 3600.0;
        self.done
    }

    fn fold(&mut self, change: &Change) -> bool {
        self.records += 1;
        let cx = Context {
            position: Position {
                offset: Offset::new(self.records),
                time: SystemTime::UNIX_EPOCH + Duration::from_secs(self.second),
            },
            id: RecordId::from_number(self.records.into()),
            actor: Incarnation::from_number(1),
        };
        self.state.apply(&cx, change).is_ok()
    }

    fn step(&mut self) {
        let now = self.start + Duration::from_secs(self.second);
        let views = self.serve();
        self.planner.observe(&views, now);
        self.advance();
        let loads = self.loads(now);
        if let Policy::Planned(_) = self.policy {
            let plan = self.planner.plan(&views, &Switches::default(), now);
            (self.buffers, self.pace) = (plan.buffers, plan.pace);
            for grant in grants(&self.state, &plan.moves, &loads) {
                self.grant(&grant, &loads);
            }
        }
        let mut view = FleetView::new(self.rules.clone(), now);
        (view.loads, view.pace) = (loads.clone(), self.pace.clone());
        let one = matches!(self.policy, Policy::OneAtATime);
        for change in WaveDriver::default().next(&self.state, &view) {
            if !one || self.drains.is_empty() {
                self.grant(&change, &loads);
            }
        }
        self.second += 1;
    }

    fn demand(&self, index: usize) -> f64 {
        let turn = (self.second / PEAK) as usize % POOLS;
        if turn == index {
            MEAN * 5.0
        } else {
            MEAN / 20.0
        }
    }

    /// Serves one second of work and adds up its measures.
    fn serve(&mut self) -> BTreeMap<PoolName, PoolView> {
        let mut views = BTreeMap::new();
        for index in 0..POOLS {
            let name = pool(index);
            let (vms, out) = self
                .state
                .pool(&name)
                .map_or((0, 0), |p| (p.vms.len() as u32, p.out));
            let capacity = f64::from((vms - out) * SLOTS);
            let demand = self.demand(index);
            let kept = match self.policy {
                Policy::Planned(_) => self.buffers.get(&name).copied().unwrap_or(0),
                Policy::Static(slots) => slots,
                Policy::NoBuffer | Policy::OneAtATime => 0,
            };
            let batch = (self.batch[index] * 0.9).min(capacity);
            let urgent = demand.min(capacity - batch);
            let room = (capacity - urgent - batch - f64::from(kept)).max(0.0);
            self.batch[index] = batch + room;
            let free = (capacity - urgent - self.batch[index]).max(0.0);
            self.done.buffer += free / f64::from(SLOTS) / 3600.0;
            self.done.distance += (demand - urgent) / demand / 3600.0;
            let due = self.state.waves().map(|(_, wave)| {
                let members = self.state.due(wave).filter(|(_, vm)| vm.pool == name);
                members.count() as u32
            });
            let incoming = self
                .state
                .drains()
                .filter(|(_, drain)| match &drain.purpose {
                    Purpose::Move { to, .. } => *to == name,
                    Purpose::Wave(_) => false,
                });
            let view = PoolView {
                serving: vms - out,
                out,
                room: self.state.room(&name),
                slots: SLOTS,
                running: urgent as u32,
                waiting: (demand - urgent) as u32,
                min_buffer: 0,
                spare: index == SPARE,
                due: due.sum(),
                incoming: incoming.count() as u32,
                borrowed: vms as i32 - (VMS / POOLS) as i32,
            };
            views.insert(name, view);
        }
        views
    }

    fn loads(&mut self, now: Instant) -> BTreeMap<VmName, VmLoad> {
        let mut load = |vm: &VmName| {
            let load = VmLoad {
                running: SLOTS,
                remaining: Duration::from_secs(self.rng.random_range(1..=10)),
                as_of: now,
            };
            (vm.clone(), load)
        };
        self.state.vms().map(|(vm, _)| load(vm)).collect()
    }

    fn grant(&mut self, change: &Change, loads: &BTreeMap<VmName, VmLoad>) {
        let accepted = self.fold(change);
        if let (Change::GrantDrain { vm, .. }, true) = (change, accepted) {
            let remaining = loads[vm].remaining.as_secs();
            self.drains.insert(vm.clone(), self.second + remaining + 1);
        }
    }

    /// Takes each drain to its next stage when its time has come; each record takes a second.
    fn advance(&mut self) {
        let ready = self.drains.iter().filter(|(_, at)| **at <= self.second);
        let ready: Vec<VmName> = ready.map(|(vm, _)| vm.clone()).collect();
        for vm in ready {
            let record = self.state.vm(&vm).expect("the VM is recorded").clone();
            let drain = record.drain.expect("a drain is open");
            let stage = |stage| Change::SetStage {
                vm: vm.clone(),
                drain: drain.id,
                stage,
            };
            let (change, wait) = match (drain.stage, &drain.purpose) {
                (Stage::Granted, _) => (stage(Stage::Drained), Some(1)),
                (Stage::Drained, Purpose::Wave(_)) => (stage(Stage::Rebooting(1)), Some(REBOOT)),
                (Stage::Drained, Purpose::Move { to, .. }) => {
                    self.done.moves += 1.0;
                    let (from, to) = (record.pool.clone(), to.clone());
                    (
                        Change::MoveVm {
                            vm: vm.clone(),
                            from,
                            to,
                        },
                        None,
                    )
                }
                _ => (stage(Stage::Back), None),
            };
            assert!(self.fold(&change), "the stage is in order");
            match wait {
                Some(seconds) => drop(self.drains.insert(vm, self.second + seconds)),
                None => drop(self.drains.remove(&vm)),
            }
        }
    }
}
