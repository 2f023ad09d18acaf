//! Tests of the memory of callers' connections, and of the choice of those that end.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::CONNECTION_CHARGE;
use lavenderhollow_node::CallerBounds;
use lavenderhollow_node::CallerBudget;
use lavenderhollow_node::LARGE_READ_CHARGE;
use lavenderhollow_node::Reason;
use lavenderhollow_node::Room;
use lavenderhollow_node::Victim;

/// The rate of the slowest caller within the limits, in bytes per second.
const RATE: f64 = 100_000.0;

/// A budget whose connections have their ids as handles, and a clock.
struct Fixture {
    budget: CallerBudget<u64>,
    now: Instant,
    victims: Vec<Victim<u64>>,
    opened: u64,
}

impl Fixture {
    /// Creates a budget for `connections` connections and `bytes` bytes beyond their charge.
    fn new(connections: usize, bytes: usize) -> Self {
        let bounds = CallerBounds {
            memory: connections * CONNECTION_CHARGE + bytes,
            connections,
        };
        Self {
            budget: CallerBudget::new(bounds),
            now: Instant::now(),
            victims: Vec::new(),
            opened: 0,
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Opens a connection a millisecond after the last one, once those that end for it have closed.
    fn open(&mut self) -> u64 {
        self.pass(1);
        let mut room = self.budget.make_room(self.now, &mut self.victims);
        if room == Room::Later {
            for victim in &self.victims {
                self.budget.close(victim.handle);
            }
            room = self.budget.make_room(self.now, &mut self.victims);
        }
        assert_eq!(room, Room::Granted);
        let id = self.budget.open(self.now, self.opened);
        // The handle is the id, so that a victim's handle tells which connection ends.
        assert_eq!(id, self.opened);
        self.opened += 1;
        id
    }

    /// Opens a connection that receives a body.
    fn upload(&mut self) -> u64 {
        let id = self.open();
        assert!(self.budget.begin_request(id) && self.budget.begin_body(id, self.now));
        id
    }

    fn charge(&mut self, id: u64, bytes: usize) -> Room {
        self.budget
            .charge_body(id, bytes, self.now, &mut self.victims)
    }

    /// Receives `bytes` bytes of a body in all.
    fn receive(&mut self, id: u64, bytes: usize) -> Room {
        let room = self.charge(id, bytes);
        self.budget.record(id, bytes, RATE);
        room
    }

    fn ended(&mut self) -> Vec<(u64, Reason)> {
        let victims = std::mem::take(&mut self.victims);
        victims.into_iter().map(|v| (v.handle, v.reason)).collect()
    }
}

/// Guards against bodies that together exceed the memory: the slowest upload ends for another, and its
/// bytes are free at once.
#[test]
fn the_upload_that_is_furthest_behind_ends_first() {
    let mut fixture = Fixture::new(10, 100_000);
    let (slow, fast) = (fixture.upload(), fixture.upload());
    let idle = fixture.open();
    assert_eq!(fixture.receive(slow, 10_000), Room::Granted);
    assert_eq!(fixture.receive(fast, 80_000), Room::Granted);
    fixture.pass(1_000);
    let new = fixture.upload();
    // Seven free connections leave room for more bytes.
    assert_eq!(fixture.receive(new, 120_000), Room::Granted);
    assert_eq!(fixture.ended(), vec![(slow, Reason::SlowUpload)]);
    assert_eq!(fixture.receive(slow, 1), Room::Refused(Reason::NoRoom));
    assert!(!fixture.budget.begin_serving(slow));
    assert!(fixture.budget.begin_request(idle));
}

/// Guards against callers within the limits that are refused while idle connections could end instead.
#[test]
fn the_connection_that_has_been_idle_longest_ends_before_an_upload_in_time() {
    let mut fixture = Fixture::new(3, 0);
    let (first, second) = (fixture.open(), fixture.open());
    assert!(fixture.budget.begin_request(first));
    fixture.pass(1);
    fixture.budget.finish_request(first, fixture.now);
    fixture.pass(1_000);
    let upload = fixture.upload();
    assert_eq!(fixture.receive(upload, 3_000), Room::Granted);
    assert_eq!(fixture.ended(), vec![(second, Reason::Idle)]);
}

/// Guards against uploads in time that leave no room for anybody else: the oldest ends for a new
/// caller, and not the other way round.
#[test]
fn the_oldest_upload_ends_if_all_are_in_time() {
    let mut fixture = Fixture::new(2, 0);
    let (first, second) = (fixture.upload(), fixture.upload());
    let new = fixture.upload();
    assert_eq!(fixture.ended(), vec![(first, Reason::OldestUpload)]);
    let refused = Room::Refused(Reason::OldestUpload);
    assert_eq!(fixture.charge(second, CONNECTION_CHARGE), refused);
    assert_eq!(fixture.ended(), vec![]);
    assert_eq!(fixture.charge(new, CONNECTION_CHARGE / 16), Room::Granted);
    assert_eq!(fixture.ended(), vec![(second, Reason::OldestUpload)]);
}

/// Guards against uploads in time that keep new callers out: a connection that has just opened does not
/// end for them.
#[test]
fn a_new_connection_does_not_end_for_an_upload() {
    let mut fixture = Fixture::new(10, 0);
    let uploads: Vec<u64> = (0..8).map(|_| fixture.upload()).collect();
    fixture.open();
    assert_eq!(
        fixture.receive(uploads[0], CONNECTION_CHARGE),
        Room::Granted
    );
    let room = fixture.receive(uploads[1], CONNECTION_CHARGE);
    assert_eq!(room, Room::Granted);
    assert_eq!(fixture.ended(), vec![(uploads[0], Reason::OldestUpload)]);
}

/// Guards against a flood of bodies that lack their last byte and keep new callers out, since they are
/// ahead of the slowest rate.
#[test]
fn an_almost_complete_upload_ends_for_one_that_begins() {
    let mut fixture = Fixture::new(10, 0);
    let flood: Vec<u64> = (0..5).map(|_| fixture.upload()).collect();
    for id in &flood {
        let share = 4 * CONNECTION_CHARGE / 5;
        assert_eq!(fixture.receive(*id, share), Room::Granted);
    }
    let new = fixture.upload();
    assert_eq!(fixture.receive(new, CONNECTION_CHARGE), Room::Granted);
    assert_eq!(fixture.ended(), vec![(flood[0], Reason::OldestUpload)]);
}

/// Guards against the end of a connection whose request an owner may carry out.
#[test]
fn a_connection_that_an_owner_serves_does_not_end() {
    let mut fixture = Fixture::new(2, 0);
    let (first, second) = (fixture.open(), fixture.upload());
    assert!(fixture.budget.begin_request(first) && fixture.budget.begin_serving(second));
    fixture.pass(60_000);
    let now = fixture.now;
    let room = fixture.budget.make_room(now, &mut fixture.victims);
    assert_eq!(room, Room::Refused(Reason::NoRoom));
    assert_eq!(fixture.ended(), vec![]);
    fixture.budget.finish_request(first, now);
    fixture.open();
    assert_eq!(fixture.ended(), vec![(first, Reason::Idle)]);
}

/// Guards against the end of a connection whose request an owner may carry out, since the caller sends
/// the next one before the response and there is no room for a larger read buffer.
#[test]
fn a_connection_that_an_owner_serves_may_send_on() {
    let mut fixture = Fixture::new(2, 0);
    let (first, second) = (fixture.open(), fixture.open());
    assert!(fixture.budget.begin_request(first) && fixture.budget.begin_request(second));
    let now = fixture.now;
    let room = fixture.budget.enlarge(first, now, &mut fixture.victims);
    assert_eq!(room, Room::Granted);
    assert_eq!(fixture.ended(), vec![]);
    let used = 2 * CONNECTION_CHARGE + LARGE_READ_CHARGE;
    assert_eq!(fixture.budget.used(), used);
    fixture.budget.close(first);
    assert_eq!(fixture.budget.used(), CONNECTION_CHARGE);
}

/// Guards against callers who send the next request early and use up the budget with charges that stay
/// until they leave.
#[test]
fn what_arrives_while_a_request_is_served_is_charged_until_its_response() {
    let mut fixture = Fixture::new(8, 0);
    let id = fixture.open();
    for _ in 0..2 {
        assert!(fixture.budget.begin_request(id));
        fixture.budget.add_unread(id);
        fixture.budget.add_unread(id);
        assert!(fixture.budget.used() > CONNECTION_CHARGE);
        fixture.budget.finish_request(id, fixture.now);
        assert_eq!(fixture.budget.used(), CONNECTION_CHARGE);
    }
    fixture.budget.close(id);
    assert_eq!(fixture.budget.used(), 0);
}

/// Guards against connections that were told to close and are still open, and that together exceed the
/// bounds.
#[test]
fn connections_that_close_slowly_delay_new_ones() {
    let mut fixture = Fixture::new(80, 0);
    let ids: Vec<u64> = (0..80).map(|_| fixture.open()).collect();
    // A sixteenth of the memory holds five connections.
    for _ in 0..5 {
        fixture.open();
    }
    assert_eq!(fixture.ended().len(), 5);
    let now = fixture.now;
    let room = fixture.budget.make_room(now, &mut fixture.victims);
    assert_eq!(room, Room::Later);
    assert_eq!(fixture.ended(), vec![]);
    fixture.budget.close(ids[0]);
    fixture.open();
    assert_eq!(fixture.ended(), vec![(ids[5], Reason::Idle)]);
}

/// Guards against charges that are not returned, after which the budget is used up without callers.
#[test]
fn all_charges_end_with_their_connections() {
    let mut fixture = Fixture::new(4, 3 * LARGE_READ_CHARGE);
    let ids: Vec<u64> = (0..4).map(|_| fixture.upload()).collect();
    let now = fixture.now;
    for id in &ids {
        // The second time, the connection is charged already.
        for _ in 0..2 {
            let room = fixture.budget.enlarge(*id, now, &mut fixture.victims);
            assert!(room == Room::Granted || *id == ids[3], "{room:?}");
        }
        fixture.receive(*id, 100);
    }
    fixture.budget.finish_request(ids[1], now);
    for id in ids {
        fixture.budget.close(id);
    }
    assert_eq!(fixture.budget.used(), 0);
}
