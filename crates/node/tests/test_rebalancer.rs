//! Tests of the moves of machines between pools.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::Rebalancer;
use lavenderhollow_node::backend::Machine;
use lavenderhollow_node::backend::MachineState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PoolDemand;
use lavenderhollow_shard::Resources;

const MIGRATION: Duration = Duration::from_millis(1_500);

/// The processor time of each machine, in thousandths of a core.
const CPU: u64 = 32_000;

/// Longer than a worker has to be idle before its machine goes anywhere.
const LONG: Duration = Duration::from_secs(60);

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
    }
}

/// Machines, what their pools need, and the decisions about them.
struct Fleet {
    now: Instant,
    list: Vec<Machine>,
    demands: BTreeMap<Name, PoolDemand>,
    kept: BTreeSet<Name>,
    rebalancer: Rebalancer,
}

impl Fleet {
    /// Pools `a` and `b` with four idle machines each, and two spare machines.
    fn new() -> Self {
        let names = ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"];
        let mut list: Vec<Machine> = names.iter().map(|n| machine(n, &n[..1])).collect();
        list.push(machine("s1", "spare"));
        list.push(machine("s2", "spare"));
        let mut fleet = Self {
            now: Instant::now(),
            list,
            demands: BTreeMap::new(),
            kept: BTreeSet::new(),
            rebalancer: Rebalancer::new(MIGRATION),
        };
        fleet.rebalancer.observe(fleet.now, &fleet.list);
        fleet.need("a", 0, LONG);
        fleet.need("b", 0, LONG);
        fleet
    }

    /// Reports what a pool needs, in machines, and for how long its workers have been idle.
    fn need(&mut self, pool: &str, machines: u64, idle: Duration) {
        let own = self.list.iter().filter(|m| &*m.pool == pool);
        let workers = own.filter_map(|m| m.worker.clone());
        let idle: Vec<_> = workers.map(|worker| (worker, idle)).collect();
        let demand = PoolDemand {
            offered: cpu(CPU * idle.len() as u64),
            needed: cpu(CPU * machines),
            reserved: cpu(CPU * machines),
            idle,
        };
        self.demands.insert(pool.into(), demand);
    }

    /// Reports a backlog in a pool, in machines, of which nothing runs on the idle workers.
    fn backlog(&mut self, pool: &str, machines: u64, idle: Duration) {
        self.need(pool, machines, idle);
        if let Some(demand) = self.demands.get_mut(pool) {
            demand.reserved = cpu(0);
        }
    }

    /// Plans, and returns the machine, where it leaves and where it goes.
    fn plan(&self) -> Vec<String> {
        let standby = BTreeSet::from([Name::from("spare")]);
        let plan = self
            .rebalancer
            .plan(&self.list, &self.demands, &standby, &self.kept);
        plan.iter()
            .map(|m| format!("{}:{}>{}", m.machine, m.from, m.to))
            .collect()
    }

    /// Orders what is planned.
    fn order(&mut self) {
        let standby = BTreeSet::from([Name::from("spare")]);
        let plan = self
            .rebalancer
            .plan(&self.list, &self.demands, &standby, &self.kept);
        for planned in plan {
            self.rebalancer.mark_ordered(self.now, &planned);
        }
    }

    /// Has a machine arrive in a pool.
    fn arrive(&mut self, name: &str, pool: &str) {
        for m in &mut self.list {
            if &*m.name == name {
                *m = machine(name, pool);
            }
        }
    }
}

/// Guards against machines that move although every pool has enough.
#[test]
fn nothing_moves_while_no_pool_lacks_anything() {
    let mut fleet = Fleet::new();
    fleet.need("a", 4, Duration::ZERO);
    assert_eq!(fleet.plan(), Vec::<String>::new());
}

/// Guards against a peak that gets no help, or help from a pool before the spare machines.
#[test]
fn a_pool_that_lacks_machines_gets_those_that_stand_by_first() {
    let mut fleet = Fleet::new();
    fleet.need("a", 6, Duration::ZERO);
    assert_eq!(fleet.plan(), ["s1:spare>a", "s2:spare>a"]);
}

/// Guards against a pool that gives away more than it can do without, and then lacks it at the
/// beginning of its own peak.
#[test]
fn a_pool_lends_at_most_half_of_its_machines() {
    let mut fleet = Fleet::new();
    fleet.need("a", 20, Duration::ZERO);
    let plan = fleet.plan();
    let lent = plan.iter().filter(|m| m.contains(":b>a")).count();
    assert_eq!((plan.len(), lent), (4, 2), "{plan:?}");
    fleet.need("b", 4, LONG);
    assert_eq!(fleet.plan().len(), 2, "the pool needs all of its machines");
    fleet.need("b", 0, Duration::from_millis(100));
    assert_eq!(fleet.plan().len(), 2, "only the spare machines are idle");
}

/// Guards against idle machines that stay in a pool, or go home, because work waits there that can't
/// run on them, while another pool lacks them.
#[test]
fn idle_machines_of_a_pool_with_a_backlog_are_lent() {
    let mut fleet = Fleet::new();
    fleet.arrive("s1", "b");
    fleet.arrive("s2", "b");
    fleet.backlog("b", 7, LONG);
    fleet.need("a", 20, Duration::ZERO);
    let mut plan = fleet.plan();
    plan.sort();
    assert_eq!(plan, ["b1:b>a", "b2:b>a", "s1:b>a", "s2:b>a"]);
    fleet.need("b", 7, LONG);
    assert_eq!(fleet.plan(), ["s1:b>spare", "s2:b>spare"], "all of it runs");
}

/// Guards against machines that are sent again while the first ones are on their way.
#[test]
fn machines_on_their_way_count() {
    let mut fleet = Fleet::new();
    fleet.need("a", 6, Duration::ZERO);
    fleet.order();
    assert_eq!(fleet.plan(), Vec::<String>::new());
}

/// Guards against two pools in need of which one gets everything.
#[test]
fn the_pool_that_lacks_most_is_served_first() {
    let mut fleet = Fleet::new();
    fleet.need("a", 5, Duration::ZERO);
    fleet.need("b", 8, Duration::ZERO);
    assert_eq!(fleet.plan(), ["s1:spare>b", "s2:spare>b"]);
}

/// Guards against machines that stay, and are paid for, after the peak that they were sent for,
/// and against an owner that takes the place of a lent machine for its home.
#[test]
fn a_machine_that_nobody_needs_returns_home() {
    let mut fleet = Fleet::new();
    fleet.arrive("s1", "a");
    fleet.need("a", 0, Duration::from_millis(500));
    assert_eq!(fleet.plan(), Vec::<String>::new(), "a short gap");
    fleet.need("a", 0, LONG);
    assert_eq!(fleet.plan(), ["s1:a>spare"]);
    let mut successor = Rebalancer::new(MIGRATION);
    successor.restore_origin("s1".into(), "spare".into());
    successor.observe(fleet.now, &fleet.list);
    fleet.rebalancer = successor;
    assert_eq!(fleet.plan(), ["s1:a>spare"]);
}

/// Guards against a visiting machine that goes home and back instead of to the next peak.
#[test]
fn a_visiting_machine_goes_on_to_the_next_peak() {
    let mut fleet = Fleet::new();
    fleet.arrive("s1", "a");
    fleet.arrive("s2", "a");
    fleet.need("a", 0, LONG);
    fleet.need("b", 5, Duration::ZERO);
    assert_eq!(fleet.plan(), ["s1:a>b", "s2:a>spare"]);
}

/// Guards against moves of machines that a wave is about to take down.
#[test]
fn machines_of_a_wave_stay() {
    let mut fleet = Fleet::new();
    fleet.need("a", 6, Duration::ZERO);
    fleet.kept = ["s1", "s2", "b1", "b2"].map(Name::from).into();
    assert_eq!(fleet.plan(), ["b3:b>a", "b4:b>a"]);
}

/// Guards against an order without an answer that is forgotten, so that its worker is used again
/// although its machine may leave.
#[test]
fn an_order_without_an_answer_is_repeated_until_the_machine_is_there() {
    let mut fleet = Fleet::new();
    fleet.arrive("s1", "b");
    fleet.need("b", 0, LONG);
    fleet.need("a", 5, Duration::ZERO);
    fleet.order();
    let later = fleet.now + MIGRATION * 10;
    assert_eq!(fleet.rebalancer.observe(later, &fleet.list), vec![]);
    assert_eq!(fleet.rebalancer.unconfirmed().len(), 1);
    fleet.arrive("s1", "a");
    let ended = fleet.rebalancer.observe(later, &fleet.list);
    assert_eq!(ended, [("b".into(), "worker-of-s1".into())]);
    assert_eq!(
        fleet.rebalancer.observe(later, &fleet.list),
        vec![],
        "told once"
    );
    assert_eq!(fleet.rebalancer.unconfirmed().len(), 0);
}

/// Guards against orders that are refused again and again.
#[test]
fn a_refused_machine_rests_and_an_impossible_pool_is_not_asked_again() {
    let mut fleet = Fleet::new();
    fleet.need("a", 5, Duration::ZERO);
    fleet.order();
    fleet.rebalancer.mark_refused(fleet.now, &"s1".into());
    assert_eq!(fleet.plan(), ["s2:spare>a"]);
    fleet.order();
    fleet.rebalancer.mark_invalid(&"s2".into());
    fleet.rebalancer.observe(fleet.now + LONG, &fleet.list);
    fleet.demands.remove("b");
    assert_eq!(fleet.plan(), ["s1:spare>a"]);
    fleet.order();
    fleet.rebalancer.mark_invalid(&"s1".into());
    assert_eq!(fleet.plan(), Vec::<String>::new());
}

/// Guards against a machine that is sent home again and again although its home takes it no more.
#[test]
fn a_machine_whose_home_does_not_take_it_stays() {
    let mut fleet = Fleet::new();
    fleet.arrive("s1", "a");
    fleet.need("a", 0, LONG);
    fleet.order();
    fleet.rebalancer.mark_invalid(&"s1".into());
    assert_eq!(fleet.plan(), Vec::<String>::new());
}

/// Guards against a machine that counts as on its way for ever because the order to move it was lost
/// and its worker has begun a new life under another id.
#[test]
fn a_lost_order_is_given_up_when_another_worker_lives_on_the_machine() {
    let mut fleet = Fleet::new();
    fleet.arrive("s1", "b");
    fleet.need("b", 0, LONG);
    fleet.need("a", 5, Duration::ZERO);
    fleet.order();
    fleet.rebalancer.observe(fleet.now, &fleet.list);
    assert!(
        fleet.rebalancer.is_moving("s1"),
        "the order may still be carried out"
    );
    for m in fleet.list.iter_mut().filter(|m| &*m.name == "s1") {
        m.worker = Some("reborn".into());
    }
    fleet.rebalancer.observe(fleet.now, &fleet.list);
    assert!(!fleet.rebalancer.is_moving("s1"));
}
