//! Accounts for the memory that callers' connections use, and chooses which of them to end when it is
//! used up.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// The charge for an open connection, in bytes: hyper's read and write buffers of 8,192 bytes each, of
/// which most pages are in use, its state and that of the task. 15 kB were measured in a debug build.
pub const CONNECTION_CHARGE: usize = 16_384;

/// The further charge for a connection that has sent more than fits into the first read buffer, in
/// bytes: hyper doubles the buffer up to the largest header section of 16,384 bytes. Headers of that
/// size were measured to take 28 kB a connection.
pub const LARGE_READ_CHARGE: usize = 16_384;

/// The further charge for a connection that sends on while its request is served, in bytes: what the
/// kernel keeps of it, which is twice the size that was asked for.
pub const UNREAD_CHARGE: usize = 65_536;

/// The charge for a request that is being served, as a multiple of its body: the job, its copies for
/// the attempt and for the call, and the encoded message.
pub const SERVING_FACTOR: usize = 4;

/// How far an upload may be behind the slowest rate before it is refused in favour of others. It covers
/// several round trips of a caller that is far away.
const UPLOAD_GRACE: Duration = Duration::from_millis(500);

/// How long a connection is idle before it ends in favour of uploads in time. A caller that has just
/// connected sends its request within a round trip.
const IDLE_GRACE: Duration = Duration::from_millis(500);

/// The most connections that were told to close and are still open, beyond the limit of connections.
pub const MAX_CLOSING: usize = 32;

/// The part of the budget by which connections that were told to close may exceed it: 1 / 16, which
/// holds more than [`MAX_CLOSING`] connections on the smallest VM.
const CLOSING_SHARE: usize = 16;

/// The least number of received bytes between two updates of an upload's rank, so that small frames
/// cost no update each.
const RANK_STEP: usize = 4_096;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It waits for a request, or sends a response.
    Idle {
        /// The time of its last response, or at which it was opened.
        since: Instant,
    },
    /// It receives the body of a request.
    Receiving {
        /// The time at which the body began.
        start: Instant,
        /// The bytes that `rank` takes into account.
        ranked: usize,
        /// The time at which a caller with the slowest rate would have begun.
        rank: Instant,
    },
    /// Its request is handled by an owner, so that it is not ended.
    Serving,
    /// It was told to close.
    Closing,
}

/// An open connection.
#[derive(Debug)]
struct Connection<H> {
    state: State,
    handle: H,
    /// The charge that ends with the connection, in bytes.
    fixed: usize,
    /// Whether it is charged for a larger read buffer.
    is_large: bool,
    /// Whether it is charged for bytes that the kernel keeps.
    has_unread: bool,
    /// The charge for the body of its request, in bytes.
    body: usize,
}

/// The reason for which a connection is ended or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its body arrives more slowly than that of any caller within the limits.
    SlowUpload,
    /// Its body is the oldest of those that arrive, and nothing else can end.
    OldestUpload,
    /// It has been idle longest.
    Idle,
    /// Nothing can end in its favour.
    NoRoom,
}

impl Reason {
    /// Returns the label of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::SlowUpload => "slow_upload",
            Self::OldestUpload => "oldest_upload",
            Self::Idle => "idle",
            Self::NoRoom => "no_room",
        }
    }
}

/// A connection that was chosen to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Victim<H> {
    /// The handle that the connection was opened with.
    pub handle: H,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Whether something fits into the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// It fits, and is charged.
    Granted,
    /// It fits once a connection that was told to close has closed.
    Later,
    /// It does not fit, for the given reason.
    Refused(Reason),
}

/// The bounds of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// The memory for callers, in bytes.
    pub memory: usize,
    /// The most open connections.
    pub connections: usize,
}

/// The memory that callers' connections use. Each connection has a handle, which is returned when the
/// connection is to end.
///
/// The bytes of an upload that is chosen are free at once, so the caller of this type has to drop them.
/// All else that a connection is charged with is free once it is [closed](Self::close).
#[derive(Debug)]
pub struct CallerBudget<H> {
    bounds: CallerBounds,
    connections: HashMap<u64, Connection<H>>,
    next_id: u64,
    /// The charge of all connections, in bytes.
    used: usize,
    /// The part of `used` that belongs to connections that were told to close.
    closing_bytes: usize,
    /// The number of these connections.
    closing_count: usize,
    /// Idle connections, the one that has been idle longest first.
    idle: BTreeSet<(Instant, u64)>,
    /// Uploads by rank, the one that is furthest behind first.
    ranks: BTreeSet<(Instant, u64)>,
    /// Uploads, the oldest first.
    uploads: BTreeSet<(Instant, u64)>,
}

impl<H: Clone> CallerBudget<H> {
    /// Creates a budget without connections.
    pub fn new(bounds: CallerBounds) -> Self {
        Self {
            bounds,
            connections: HashMap::new(),
            next_id: 0,
            used: 0,
            closing_bytes: 0,
            closing_count: 0,
            idle: BTreeSet::new(),
            ranks: BTreeSet::new(),
            uploads: BTreeSet::new(),
        }
    }

    /// Returns the charge of all connections, in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Makes room for a new connection. Appends the connections that have to end for it to `victims`.
    /// If there is room, [`open`](Self::open) takes it.
    pub fn make_room(&mut self, now: Instant, victims: &mut Vec<Victim<H>>) -> Room {
        self.find_room(None, CONNECTION_CHARGE, now, victims)
    }

    /// Adds an idle connection, and returns its id.
    pub fn open(&mut self, now: Instant, handle: H) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            state: State::Idle { since: now },
            handle,
            fixed: CONNECTION_CHARGE,
            is_large: false,
            has_unread: false,
            body: 0,
        };
        self.connections.insert(id, connection);
        self.idle.insert((now, id));
        self.used += CONNECTION_CHARGE;
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: u64) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let charge = connection.fixed + connection.body;
        self.used -= charge;
        if connection.state == State::Closing {
            self.closing_bytes -= charge;
            self.closing_count -= 1;
        }
        self.unlist(id, connection.state);
    }

    /// Charges a connection for a larger read buffer, once. One whose request is served does not end
    /// for it, so that the budget may be exceeded until others end.
    pub fn enlarge(&mut self, id: u64, now: Instant, victims: &mut Vec<Victim<H>>) -> Room {
        let connection = self.connections.get(&id);
        if connection.is_some_and(|c| c.is_large) {
            return Room::Granted;
        }
        let room = match connection.is_some_and(|c| c.state == State::Serving) {
            true => Room::Granted,
            false => self.find_room(Some(id), LARGE_READ_CHARGE, now, victims),
        };
        if room == Room::Granted
            && let Some(connection) = self.connections.get_mut(&id)
        {
            connection.is_large = true;
            connection.fixed += LARGE_READ_CHARGE;
            self.used += LARGE_READ_CHARGE;
        }
        room
    }

    /// Charges a connection for bytes that arrive while its request is served, once. It does not end
    /// then, so that the budget may be exceeded until others end.
    pub fn add_unread(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.state == State::Serving && !connection.has_unread {
            connection.has_unread = true;
            connection.fixed += UNREAD_CHARGE;
            self.used += UNREAD_CHARGE;
        }
    }

    /// Notes that a request has arrived. Returns whether the connection may serve it.
    pub fn begin_request(&mut self, id: u64) -> bool {
        self.set_state(id, State::Serving)
    }

    /// Notes that the body of a request is awaited. Returns whether the connection may receive it.
    pub fn begin_body(&mut self, id: u64, now: Instant) -> bool {
        let state = State::Receiving {
            start: now,
            ranked: 0,
            rank: now,
        };
        self.set_state(id, state)
    }

    /// Notes how many bytes of a body have arrived. `slowest_rate` is that of the slowest caller within
    /// the limits, in bytes per second.
    pub fn record(&mut self, id: u64, received: usize, slowest_rate: f64) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let State::Receiving { start, ranked, .. } = connection.state else {
            return;
        };
        if received - ranked < RANK_STEP {
            return;
        }
        let state = State::Receiving {
            start,
            ranked: received,
            rank: start + Duration::from_secs_f64(received as f64 / slowest_rate),
        };
        self.set_state(id, state);
    }

    /// Returns whether a connection receives the body of a request.
    pub fn is_receiving(&self, id: u64) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|c| matches!(c.state, State::Receiving { .. }))
    }

    /// Charges a connection `charge` bytes for the body of its request, in place of the charge before.
    /// Appends the connections that have to end for it to `victims`.
    pub fn charge_body(
        &mut self,
        id: u64,
        charge: usize,
        now: Instant,
        victims: &mut Vec<Victim<H>>,
    ) -> Room {
        let body = self.connections.get(&id).map_or(0, |c| c.body);
        let extra = charge.saturating_sub(body);
        let room = self.find_room(Some(id), extra, now, victims);
        if room == Room::Granted {
            self.set_body(id, charge);
        }
        room
    }

    /// Notes that the body is complete and its request is handled. Returns whether it may be.
    pub fn begin_serving(&mut self, id: u64) -> bool {
        self.set_state(id, State::Serving)
    }

    /// Notes that a request has its response, and ends the charges for its body and for what arrived while
    /// it was served.
    pub fn finish_request(&mut self, id: u64, now: Instant) {
        self.set_body(id, 0);
        let served = self.connections.get_mut(&id);
        // From now on the process reads what the caller has sent on.
        if let Some(connection) = served.filter(|c| c.state == State::Serving && c.has_unread) {
            connection.has_unread = false;
            connection.fixed -= UNREAD_CHARGE;
            self.used -= UNREAD_CHARGE;
        }
        self.set_state(id, State::Idle { since: now });
    }

    /// Looks for room for `extra` bytes of the connection `id`, or of a new one if it is `None`.
    fn find_room(
        &mut self,
        id: Option<u64>,
        extra: usize,
        now: Instant,
        victims: &mut Vec<Victim<H>>,
    ) -> Room {
        let is_closing = |c: &Connection<H>| c.state == State::Closing;
        if id.is_some_and(|id| self.connections.get(&id).is_none_or(is_closing)) {
            return Room::Refused(Reason::NoRoom);
        }
        let count = usize::from(id.is_none());
        // Each turn ends a connection, and the room that it ends for is bounded.
        while !self.is_within(extra, count) {
            if !self.may_exceed(extra, count) && self.closing_count > 0 && id.is_none() {
                return Room::Later;
            }
            let Some((victim, reason)) = self.victim(now) else {
                return match self.closing_count > 0 && id.is_none() {
                    true => Room::Later,
                    false => Room::Refused(Reason::NoRoom),
                };
            };
            if id == Some(victim) {
                return Room::Refused(reason);
            }
            let frees_at_once = self.connections.get(&victim).is_some_and(|c| c.body > 0);
            if id.is_some() && !frees_at_once && !self.may_exceed(extra, count) {
                return Room::Refused(Reason::NoRoom);
            }
            self.end(victim, reason, victims);
        }
        match self.may_exceed(extra, count) {
            true => Room::Granted,
            false if id.is_none() => Room::Later,
            false => Room::Refused(Reason::NoRoom),
        }
    }

    /// Returns whether `extra` bytes and `count` connections fit once all connections that were told to
    /// close have closed.
    fn is_within(&self, extra: usize, count: usize) -> bool {
        let open = self.connections.len() - self.closing_count;
        self.used - self.closing_bytes + extra <= self.bounds.memory
            && open + count <= self.bounds.connections
    }

    /// Returns whether what is still open may exceed the bounds by that much until then.
    fn may_exceed(&self, extra: usize, count: usize) -> bool {
        let memory = self.bounds.memory + self.bounds.memory / CLOSING_SHARE;
        self.used + extra <= memory
            && self.connections.len() + count <= self.bounds.connections + MAX_CLOSING
    }

    /// Chooses the connection that ends first.
    fn victim(&self, now: Instant) -> Option<(u64, Reason)> {
        let is_slow = |(rank, _): &&(Instant, u64)| *rank + UPLOAD_GRACE < now;
        if let Some((_, id)) = self.ranks.first().filter(is_slow) {
            return Some((*id, Reason::SlowUpload));
        }
        let longest_idle = self.idle.first();
        let is_idle = |(since, _): &&(Instant, u64)| *since + IDLE_GRACE < now;
        if let Some((_, id)) = longest_idle.filter(is_idle) {
            return Some((*id, Reason::Idle));
        }
        // By rank, a body that has just begun would come before one that lacks its last byte.
        if let Some((_, id)) = self.uploads.first() {
            return Some((*id, Reason::OldestUpload));
        }
        longest_idle.map(|(_, id)| (*id, Reason::Idle))
    }

    /// Tells a connection to close.
    fn end(&mut self, id: u64, reason: Reason, victims: &mut Vec<Victim<H>>) {
        self.set_body(id, 0);
        self.set_state(id, State::Closing);
        if let Some(connection) = self.connections.get(&id) {
            self.closing_bytes += connection.fixed;
            self.closing_count += 1;
            let handle = connection.handle.clone();
            victims.push(Victim { handle, reason });
        }
    }

    fn set_body(&mut self, id: u64, body: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.used = self.used - connection.body + body;
            connection.body = body;
        }
    }

    /// Changes the state of a connection, unless it was told to close.
    fn set_state(&mut self, id: u64, state: State) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        if connection.state == State::Closing {
            return false;
        }
        let before = std::mem::replace(&mut connection.state, state);
        self.unlist(id, before);
        match state {
            State::Idle { since } => self.idle.insert((since, id)),
            State::Receiving { start, rank, .. } => {
                self.ranks.insert((rank, id)) && self.uploads.insert((start, id))
            }
            State::Serving | State::Closing => true,
        };
        true
    }

    /// Removes a connection that was in `state` from the lists of those that may end.
    fn unlist(&mut self, id: u64, state: State) {
        match state {
            State::Idle { since } => self.idle.remove(&(since, id)),
            State::Receiving { start, rank, .. } => {
                self.ranks.remove(&(rank, id)) && self.uploads.remove(&(start, id))
            }
            State::Serving | State::Closing => true,
        };
    }
}
