//! Tests of the machines that were ordered lately.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::RecentOrders;
use lavenderhollow_shard::Name;

const QUIET: Duration = Duration::from_secs(3);

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

fn set(members: &[&str]) -> BTreeSet<Name> {
    names(members).into_iter().collect()
}

/// Guards against an order that a successor does not know of, and against an append for each order.
#[test]
fn an_order_is_stored_first_unless_it_is_covered() {
    let now = Instant::now();
    let mut orders = RecentOrders::new(QUIET);
    assert_eq!(orders.add(now, &names(&["m1"])), Some(set(&["m1"])));
    assert_eq!(orders.add(now + QUIET, &names(&["m1"])), None);
    let later = now + QUIET + Duration::from_secs(1);
    assert_eq!(orders.add(later, &names(&["m2"])), Some(set(&["m1", "m2"])));
    let end = later + QUIET * 2;
    assert_eq!(orders.add(end, &names(&["m3"])), Some(set(&["m3"])));
}

/// Guards against two owners that order one machine within a short time: also against a third owner
/// that learns only what the second one stored.
#[test]
fn machines_of_an_earlier_owner_are_left_alone_for_a_while() {
    let now = Instant::now();
    let mut second = RecentOrders::new(QUIET);
    second.inherit(now, set(&["m1"]));
    assert_eq!(second.inherited(now), names(&["m1"]));
    let stored = second.add(now, &names(&["m2"])).unwrap();
    assert_eq!(stored, set(&["m1", "m2"]));
    let mut third = RecentOrders::new(QUIET);
    third.inherit(now, stored);
    assert_eq!(third.inherited(now), names(&["m1", "m2"]));
    assert_eq!(third.inherited(now + QUIET), Vec::<Name>::new());
}
