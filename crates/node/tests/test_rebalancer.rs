//! Tests of the planning of machine moves between pools.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::Rebalancer;
use lavenderhollow_node::backend::Machine;
use lavenderhollow_node::backend::MachineState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PoolDemand;
use lavenderhollow_shard::Resources;

const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// The CPU capacity of each machine, in millicores.
const CPU: u64 = 32_000;

/// Longer than a worker has to be idle before its machine may move.
const LONG_IDLE: Duration = Duration::from_secs(60);

fn cpu(cpu: u64) -> Resources {
    Resources {
        cpu,
        ..Resources::default()
    }
}

fn machine(name: &str, pool: &str) -> Machine {
    let worker = (pool != "spare").then(|| Name::from(format!("worker-of-{name}")));
    Machine {
        name: name.into(),
        pool: pool.into(),
        state: MachineState::Up,
        worker,
        capacity: cpu(CPU),
        zone: "".into(),
    }
}

/// A rebalancer with the machines and demands that it plans for.
struct TestFleet {
    now: Instant,
    list: Vec<Machine>,
    demands: BTreeMap<Name, PoolDemand>,
    excluded: BTreeSet<Name>,
    rebalancer: Rebalancer,
}

impl TestFleet {
    /// Creates pools `a` and `b` with four idle machines each, and two standby machines.
    fn new() -> Self {
        let names = ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"];
        let mut list: Vec<Machine> = names.iter().map(|n| machine(n, &n[..1])).collect();
        list.push(machine("s1", "spare"));
        list.push(machine("s2", "spare"));
        let mut fleet = Self {
            now: Instant::now(),
            list,
            demands: BTreeMap::new(),
            excluded: BTreeSet::new(),
            rebalancer: Rebalancer::new(MOVE_TIME),
        };
        fleet.rebalancer.observe(fleet.now, &fleet.list);
        fleet.set_demand("a", 0, LONG_IDLE);
        fleet.set_demand("b", 0, LONG_IDLE);
        fleet
    }

    /// Sets the demand of a pool, in machines, and for how long its workers have been idle.
    fn set_demand(&mut self, pool: &str, machines: u64, idle: Duration) {
        let machines_in_pool = self.list.iter().filter(|m| &*m.pool == pool);
        let workers = machines_in_pool.filter_map(|m| m.worker.clone());
        let idle: Vec<_> = workers.map(|worker| (worker, idle)).collect();
        let demand = PoolDemand {
            offered: cpu(CPU * idle.len() as u64),
            needed: cpu(CPU * machines),
            reserved: cpu(CPU * machines),
            idle,
        };
        self.demands.insert(pool.into(), demand);
    }

    /// Sets a demand of waiting tasks only, in machines, none of which can run on the idle workers.
    fn set_backlog(&mut self, pool: &str, machines: u64, idle: Duration) {
        self.set_demand(pool, machines, idle);
        if let Some(demand) = self.demands.get_mut(pool) {
            demand.reserved = cpu(0);
        }
    }

    /// Makes all workers of a pool busy.
    fn set_busy(&mut self, pool: &str) {
        if let Some(demand) = self.demands.get_mut(pool) {
            demand.idle.clear();
        }
    }

    /// Returns the planned moves, each as `machine:source>destination`.
    fn plan(&self) -> Vec<String> {
        self.plan_at_most(usize::MAX)
    }

    /// Returns at most `limit` planned moves, each as `machine:source>destination`.
    fn plan_at_most(&self, limit: usize) -> Vec<String> {
        let standby = BTreeSet::from([Name::from("spare")]);
        let plan = self
            .rebalancer
            .plan(&self.list, &self.demands, &standby, &self.excluded, limit);
        plan.iter()
            .map(|m| format!("{}:{}>{}", m.machine, m.from, m.to))
            .collect()
    }

    /// Plans moves and marks them as requested.
    fn mark_moves_requested(&mut self) {
        let standby = BTreeSet::from([Name::from("spare")]);
        let plan = self.rebalancer.plan(
            &self.list,
            &self.demands,
            &standby,
            &self.excluded,
            usize::MAX,
        );
        for planned in plan {
            self.rebalancer.mark_requested(self.now, &planned);
        }
    }

    /// Puts a machine into a pool, as if a move was completed.
    fn move_machine(&mut self, name: &str, pool: &str) {
        for m in &mut self.list {
            if &*m.name == name {
                *m = machine(name, pool);
            }
        }
    }
}

/// Guards against machines that move although every pool has enough capacity.
#[test]
fn no_machine_moves_while_every_pool_has_capacity() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 4, Duration::ZERO);
    assert_eq!(fleet.plan(), Vec::<String>::new());
}

/// Guards against a peak for which no machines move, or for which machines of another pool move
/// before the standby machines.
#[test]
fn standby_machines_are_moved_first() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 6, Duration::ZERO);
    assert_eq!(fleet.plan(), ["s1:spare>a", "s2:spare>a"]);
}

/// Guards against a pool that releases more machines than it can do without and lacks them at the
/// start of its own peak.
#[test]
fn a_pool_releases_at_most_half_of_its_machines() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 20, Duration::ZERO);
    let plan = fleet.plan();
    let released = plan.iter().filter(|m| m.contains(":b>a")).count();
    assert_eq!((plan.len(), released), (4, 2), "{plan:?}");
    fleet.set_demand("b", 4, LONG_IDLE);
    assert_eq!(fleet.plan().len(), 2, "the pool needs all of its machines");
    fleet.set_demand("b", 0, Duration::from_millis(100));
    assert_eq!(fleet.plan().len(), 2, "only the standby machines may move");
}

/// Guards against idle machines that stay in a pool, or return to their origin pool, because tasks
/// wait there that can't run on them, while another pool lacks capacity.
#[test]
fn idle_machines_of_a_pool_with_a_backlog_are_released() {
    let mut fleet = TestFleet::new();
    fleet.move_machine("s1", "b");
    fleet.move_machine("s2", "b");
    fleet.set_backlog("b", 7, LONG_IDLE);
    fleet.set_demand("a", 20, Duration::ZERO);
    let mut plan = fleet.plan();
    plan.sort();
    assert_eq!(plan, ["b1:b>a", "b2:b>a", "s1:b>a", "s2:b>a"]);
    fleet.set_demand("b", 7, LONG_IDLE);
    assert_eq!(
        fleet.plan(),
        ["s1:b>spare", "s2:b>spare"],
        "the whole demand of b is reserved"
    );
}

/// Guards against more machines that are sent to a pool while the first ones are still moving.
#[test]
fn moving_machines_count_as_capacity() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 6, Duration::ZERO);
    fleet.mark_moves_requested();
    assert_eq!(fleet.plan(), Vec::<String>::new());
}

/// Guards against machines that go to a pool with a smaller shortage while another lacks more.
#[test]
fn the_pool_with_the_largest_shortage_is_served_first() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 5, Duration::ZERO);
    fleet.set_demand("b", 8, Duration::ZERO);
    assert_eq!(fleet.plan(), ["s1:spare>b", "s2:spare>b"]);
}

/// Guards against machines that stay in a pool, and cost money, after the peak that they were moved
/// for, and against a new owner that takes the current pool of a moved machine for its origin pool.
#[test]
fn an_idle_machine_returns_to_its_origin_pool() {
    let mut fleet = TestFleet::new();
    fleet.move_machine("s1", "a");
    fleet.set_demand("a", 0, Duration::from_millis(500));
    assert_eq!(
        fleet.plan(),
        Vec::<String>::new(),
        "idle for too short a time"
    );
    fleet.set_demand("a", 0, LONG_IDLE);
    assert_eq!(fleet.plan(), ["s1:a>spare"]);
    let mut successor = Rebalancer::new(MOVE_TIME);
    successor.restore_origin("s1".into(), "spare".into());
    successor.observe(fleet.now, &fleet.list);
    fleet.rebalancer = successor;
    assert_eq!(fleet.plan(), ["s1:a>spare"]);
}

/// Guards against a machine that returns to its origin pool and leaves it again instead of moving
/// to the next peak directly.
#[test]
fn a_machine_outside_its_origin_pool_moves_to_the_next_peak() {
    let mut fleet = TestFleet::new();
    fleet.move_machine("s1", "a");
    fleet.move_machine("s2", "a");
    fleet.set_demand("a", 0, LONG_IDLE);
    fleet.set_demand("b", 5, Duration::ZERO);
    assert_eq!(fleet.plan(), ["s1:a>b", "s2:a>spare"]);
}

/// Guards against moves of machines that a wave is about to take down.
#[test]
fn machines_of_a_wave_do_not_move() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 6, Duration::ZERO);
    fleet.excluded = ["s1", "s2", "b1", "b2"].map(Name::from).into();
    assert_eq!(fleet.plan(), ["b3:b>a", "b4:b>a"]);
}

/// Guards against a move command without a response that is forgotten, so that tasks start on the
/// worker although its machine may still move.
#[test]
fn an_unconfirmed_move_is_repeated_until_the_machine_arrives() {
    let mut fleet = TestFleet::new();
    fleet.move_machine("s1", "b");
    fleet.set_demand("b", 0, LONG_IDLE);
    fleet.set_demand("a", 5, Duration::ZERO);
    fleet.mark_moves_requested();
    let later = fleet.now + MOVE_TIME * 10;
    assert_eq!(fleet.rebalancer.observe(later, &fleet.list), vec![]);
    assert_eq!(fleet.rebalancer.unconfirmed().len(), 1);
    fleet.move_machine("s1", "a");
    let terminated = fleet.rebalancer.observe(later, &fleet.list);
    assert_eq!(terminated, [("b".into(), "worker-of-s1".into())]);
    assert_eq!(
        fleet.rebalancer.observe(later, &fleet.list),
        vec![],
        "each worker is returned once"
    );
    assert_eq!(fleet.rebalancer.unconfirmed().len(), 0);
}

/// Guards against move commands that are repeated without a pause after a rejection, or repeated at
/// all after the machine interface called them invalid.
#[test]
fn rejected_moves_back_off_and_invalid_moves_are_not_repeated() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 5, Duration::ZERO);
    fleet.mark_moves_requested();
    fleet.rebalancer.mark_rejected(fleet.now, &"s1".into());
    assert_eq!(fleet.plan(), ["s2:spare>a"]);
    fleet.mark_moves_requested();
    fleet.rebalancer.mark_invalid(&"s2".into());
    fleet.rebalancer.observe(fleet.now + LONG_IDLE, &fleet.list);
    fleet.demands.remove("b");
    assert_eq!(fleet.plan(), ["s1:spare>a"]);
    fleet.mark_moves_requested();
    fleet.rebalancer.mark_invalid(&"s1".into());
    assert_eq!(fleet.plan(), Vec::<String>::new());
}

/// Guards against repeated commands to return a machine whose origin pool no longer accepts it.
#[test]
fn a_machine_that_cannot_return_to_its_origin_pool_stays() {
    let mut fleet = TestFleet::new();
    fleet.move_machine("s1", "a");
    fleet.set_demand("a", 0, LONG_IDLE);
    fleet.mark_moves_requested();
    fleet.rebalancer.mark_invalid(&"s1".into());
    assert_eq!(fleet.plan(), Vec::<String>::new());
}

/// Guards against a machine that counts as moving forever because the command to move it was lost
/// and its worker restarted under another id.
#[test]
fn an_unconfirmed_move_ends_when_the_machine_has_another_worker() {
    let mut fleet = TestFleet::new();
    fleet.move_machine("s1", "b");
    fleet.set_demand("b", 0, LONG_IDLE);
    fleet.set_demand("a", 5, Duration::ZERO);
    fleet.mark_moves_requested();
    fleet.rebalancer.observe(fleet.now, &fleet.list);
    assert!(
        fleet.rebalancer.is_moving("s1"),
        "the command may still be executed"
    );
    for m in fleet.list.iter_mut().filter(|m| &*m.name == "s1") {
        m.worker = Some("restarted".into());
    }
    fleet.rebalancer.observe(fleet.now, &fleet.list);
    assert!(!fleet.rebalancer.is_moving("s1"));
}

/// Guards against machines that count twice between their arrival and the end of the time that
/// workers have to register, so that a peak gets no more machines meanwhile.
#[test]
fn a_machine_that_has_arrived_counts_once() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 6, Duration::ZERO);
    fleet.mark_moves_requested();
    for name in ["s1", "s2"] {
        fleet.rebalancer.mark_confirmed(fleet.now, &name.into());
        fleet.move_machine(name, "a");
    }
    fleet.rebalancer.observe(fleet.now, &fleet.list);
    fleet.set_demand("a", 8, Duration::ZERO);
    fleet.set_busy("a");
    assert_eq!(fleet.plan(), ["b1:b>a", "b2:b>a"]);
}

/// Guards against machines that stay idle in the pool that they moved to last, because they count as
/// moving until the time is over that workers have to register.
#[test]
fn an_idle_machine_that_has_arrived_moves_on() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 6, Duration::ZERO);
    fleet.mark_moves_requested();
    fleet.set_demand("a", 0, Duration::ZERO);
    fleet.set_demand("b", 6, Duration::ZERO);
    fleet.rebalancer.mark_confirmed(fleet.now, &"s1".into());
    fleet.move_machine("s1", "a");
    fleet.rebalancer.observe(fleet.now, &fleet.list);
    assert!(
        !fleet.plan().contains(&"s1:a>b".to_owned()),
        "idle for too short a time"
    );
    fleet.set_demand("a", 0, Duration::from_secs(1));
    assert!(
        fleet.plan().contains(&"s1:a>b".to_owned()),
        "{:?}",
        fleet.plan()
    );
    fleet.mark_moves_requested();
    let unconfirmed = fleet.rebalancer.unconfirmed();
    assert!(
        unconfirmed
            .iter()
            .any(|m| &*m.machine == "s1" && &*m.to == "b")
    );
}

/// Guards against an owner that plans the moves of a whole peak, of which it can send only a few,
/// each time that it sends some.
#[test]
fn a_plan_has_the_most_urgent_moves_up_to_its_limit() {
    let mut fleet = TestFleet::new();
    fleet.set_demand("a", 8, Duration::ZERO);
    let all = fleet.plan();
    assert_eq!(all, ["s1:spare>a", "s2:spare>a", "b1:b>a", "b2:b>a"]);
    for limit in 0..all.len() {
        assert_eq!(fleet.plan_at_most(limit), all[..limit]);
    }
    fleet.move_machine("s1", "a");
    fleet.set_demand("a", 0, LONG_IDLE);
    assert_eq!(fleet.plan(), ["s1:a>spare"]);
    assert_eq!(fleet.plan_at_most(0), Vec::<String>::new());
}

/// Guards against a move of a machine in an evacuated zone to a pool that lacks capacity, where nothing
/// would be started on it: of an idle machine, of one on standby, and of one whose command is repeated.
#[test]
fn machines_in_evacuated_zones_do_not_move() {
    let mut fleet = TestFleet::new();
    for machine in &mut fleet.list {
        machine.zone = machine.name[1..].into();
    }
    fleet.rebalancer.observe(fleet.now, &fleet.list);
    fleet.set_demand("a", 8, LONG_IDLE);
    fleet.set_busy("a");
    let zones = |names: &[&str]| {
        let names = names.iter().map(|name| Name::from(*name));
        Arc::new(names.collect::<BTreeSet<Name>>())
    };
    let moved_from = |plan: Vec<String>| -> BTreeSet<String> {
        plan.iter().map(|m| m[1..2].to_owned()).collect()
    };
    assert!(moved_from(fleet.plan()).is_superset(&["1".into(), "2".into()].into()));
    fleet.rebalancer.set_evacuated_zones(&zones(&["1", "3"]));
    assert_eq!(
        moved_from(fleet.plan()),
        ["2".to_owned()].into(),
        "pool b retains two machines in other zones"
    );
    fleet.rebalancer.set_evacuated_zones(&zones(&[]));
    fleet.mark_moves_requested();
    let requested = fleet.rebalancer.unconfirmed();
    assert!(requested.iter().any(|m| &m.machine[1..] == "1"));
    fleet.rebalancer.set_evacuated_zones(&zones(&["1"]));
    fleet.rebalancer.observe(fleet.now, &fleet.list);
    let repeated = fleet.rebalancer.unconfirmed();
    assert!(!repeated.is_empty());
    assert!(
        repeated.iter().all(|m| &m.machine[1..] != "1"),
        "{repeated:?}"
    );
    let allowed = fleet.rebalancer.without_evacuated(requested, &fleet.list);
    assert_eq!(allowed, repeated);
}

/// Guards against a pool that gets no other machine because one in an evacuated zone is on its way to
/// it, which adds no capacity.
#[test]
fn a_machine_in_an_evacuated_zone_adds_no_capacity_to_its_destination() {
    let mut fleet = TestFleet::new();
    fleet.list[8].zone = "1".into();
    fleet.set_demand("a", 5, LONG_IDLE);
    fleet.set_busy("a");
    fleet.mark_moves_requested();
    assert_eq!(fleet.rebalancer.unconfirmed().len(), 1);
    fleet.rebalancer.observe(fleet.now, &fleet.list);
    assert_eq!(fleet.plan(), [""; 0], "s1 is on its way");
    let zones = Arc::new(BTreeSet::from([Name::from("1")]));
    fleet.rebalancer.set_evacuated_zones(&zones);
    assert_eq!(fleet.plan(), ["s2:spare>a"]);
}
