//! Queues, and the estimates that early refusal is computed from.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_config::Resources;
use lavenderhollow_core::escrow::Account;
use lavenderhollow_core::escrow::Meter;
use lavenderhollow_core::estimate::Estimate;
use lavenderhollow_core::estimate::Estimator;
use lavenderhollow_core::queue::Class;
use lavenderhollow_core::queue::Queue;
use lavenderhollow_core::queue::Supply;
use lavenderhollow_core::queue::Waiting;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;

const RUN: Duration = Duration::from_secs(2);

fn team(name: &str) -> TeamName {
    TeamName::new(name).unwrap()
}

fn supply(serving: u32, free: u32, buffer: u32) -> Supply {
    Supply {
        serving,
        free,
        buffer,
    }
}

fn request<T>(now: Instant, class: Class, seconds: u64, item: T) -> Waiting<T> {
    Waiting {
        team: team("a"),
        class,
        deadline: now + Duration::from_secs(seconds),
        run_time: RUN,
        item,
    }
}

/// Guards against service in order of arrival, and against normal work that takes the buffer.
#[test]
fn urgent_then_earliest_deadline() {
    let now = Instant::now();
    let mut queue = Queue::new(8);
    let order = [
        (Class::Normal, 90),
        (Class::Normal, 50),
        (Class::Urgent, 80),
        (Class::Urgent, 70),
    ];
    for (class, seconds) in order {
        let request = request(now, class, seconds, seconds);
        queue.push(now, request, supply(4, 4, 0)).unwrap();
    }
    let buffer_only = supply(4, 2, 2);
    let mut pop = |supply| queue.pop(&team("a"), supply).map(|request| request.item);
    assert_eq!(pop(buffer_only), Some(70));
    assert_eq!(pop(buffer_only), Some(80));
    assert_eq!(pop(buffer_only), None);
    assert_eq!(pop(supply(4, 3, 2)), Some(50));
}

/// Guards against requests that wait although they can't end in time, and against a hint for a
/// retry that doesn't follow the backlog.
#[test]
fn late_request_is_refused_early() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    for item in 0..40 {
        let request = request(now, Class::Normal, 60, item);
        queue.push(now, request, supply(4, 0, 0)).unwrap();
    }
    // 40 requests of 2 s on 4 slots take 20 s, so that one more ends after about 22 s.
    let refusal = queue
        .push(now, request(now, Class::Normal, 61, 0), supply(1, 0, 0))
        .unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
    let late = refusal.retry_after.unwrap();
    assert!((20..=24).contains(&late), "{late}");
    let fits = queue.push(now, request(now, Class::Normal, 61, 0), supply(4, 0, 0));
    assert!(fits.is_ok());
    let urgent = queue.push(now, request(now, Class::Urgent, 3, 0), supply(4, 0, 0));
    assert!(urgent.is_ok());
}

/// Guards against a queue without a bound, and against one team that fills another's part.
#[test]
fn bound_is_per_team() {
    let now = Instant::now();
    let mut queue = Queue::new(3);
    let push = |queue: &mut Queue<()>, name: &str| {
        let mut request = request(now, Class::Normal, 900, ());
        request.team = team(name);
        queue.push(now, request, supply(4, 0, 0)).is_ok()
    };
    let taken = (0..5).filter(|_| push(&mut queue, "a")).count();
    assert_eq!(taken, 3);
    assert!(push(&mut queue, "b"));
}

/// Guards against requests that start although their deadline can't be met any more.
#[test]
fn overdue_requests_expire() {
    let now = Instant::now();
    let mut queue = Queue::new(8);
    for seconds in [10, 20, 30] {
        let request = request(now, Class::Normal, seconds, seconds);
        queue.push(now, request, supply(4, 4, 0)).unwrap();
    }
    let expired = queue.expire(now + Duration::from_secs(19));
    let items: Vec<u64> = expired.iter().map(|(request, _)| request.item).collect();
    assert_eq!(items, [10, 20]);
    assert!(
        expired
            .iter()
            .all(|(_, refusal)| refusal.retry_after.is_some())
    );
    assert_eq!(queue.waiting(&team("a")), 1);
}

/// Guards against slots that stay taken after a wave of cancellations, and against tickets that
/// cancel another request.
#[test]
fn cancellation_gives_slots_back() {
    let now = Instant::now();
    let meter = Arc::new(Meter::default());
    let account = Account {
        credited: 1000,
        ..Account::default()
    };
    meter.read(account, &[]);
    let mut queue = Queue::new(1000);
    let mut tickets = Vec::new();
    for _ in 0..1000 {
        let slot = meter.try_take().unwrap();
        let request = request(now, Class::Normal, 900_000, slot);
        tickets.push(queue.push(now, request, supply(8, 0, 0)).unwrap());
    }
    assert!(meter.try_take().is_none());
    let started = queue.pop(&team("a"), supply(8, 1, 0)).unwrap();
    let cancelled = tickets
        .iter()
        .filter(|ticket| queue.cancel(ticket).is_some())
        .count();
    assert_eq!(cancelled, 999);
    assert_eq!(meter.used(), 1);
    assert!(tickets.iter().all(|ticket| queue.cancel(ticket).is_none()));
    drop(started);
    assert_eq!(meter.used(), 0);
}

fn estimate(seconds: u64, memory_mib: u32) -> Estimate {
    Estimate {
        run_time: Duration::from_secs(seconds),
        size: Resources {
            memory_mib,
            ..Resources::default()
        },
    }
}

/// Guards against a wrong declaration that goes on counting after the first request, and that
/// misplaces more than one request before.
#[test]
fn wrong_declaration_costs_one_slot() {
    let (queue, team) = (QueueName::new("proofs").unwrap(), team("a"));
    let mut estimator = Estimator::default();
    estimator.declare(&queue, estimate(1, 128));
    assert_eq!(estimator.trial_bound(&queue, &team), Some(1));
    assert_eq!(
        estimator.quantile(&queue, &team, 0.9),
        Some(estimate(1, 128))
    );
    estimator.observe(&queue, &team, &estimate(100, 4096));
    assert_eq!(estimator.trial_bound(&queue, &team), None);
    let learned = estimator.quantile(&queue, &team, 0.9).unwrap();
    assert!(
        (4096..6000).contains(&learned.size.memory_mib),
        "{learned:?}"
    );
    assert!(
        (100..145).contains(&learned.run_time.as_secs()),
        "{learned:?}"
    );
}

/// Guards against quantiles that never forget, and against buckets that are too wide.
#[test]
fn quantiles_follow_a_change() {
    let (queue, team) = (QueueName::new("proofs").unwrap(), team("a"));
    let mut estimator = Estimator::default();
    estimator.declare(&queue, estimate(1, 128));
    for n in 1..=1000 {
        estimator.observe(&queue, &team, &estimate(n, 1000));
    }
    let p50 = estimator
        .quantile(&queue, &team, 0.5)
        .unwrap()
        .run_time
        .as_secs();
    assert!((900..1450).contains(&p50), "{p50}");
    for _ in 0..200 {
        estimator.observe(&queue, &team, &estimate(10, 1000));
    }
    let p90 = estimator
        .quantile(&queue, &team, 0.9)
        .unwrap()
        .run_time
        .as_secs();
    assert!((10..15).contains(&p90), "{p90}");
}
