//! Bounded queues with deadlines and early refusal.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::Refusal;
use lavenderhollow_types::TeamName;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Served before normal work of the same team; may use the pool's buffer.
    Urgent,
    /// Everything else.
    Normal,
}

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting<T> {
    /// The team.
    pub team: TeamName,
    /// How urgent it is.
    pub class: Class,
    /// The time by which it has to end.
    pub deadline: Instant,
    /// The learned run time.
    pub run_time: Duration,
    /// What the caller attached.
    pub item: T,
}

/// Names a waiting request, for its cancellation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    team: TeamName,
    class: Class,
    deadline: Instant,
    sequence: u64,
}

/// The waiting requests of one queue in one entry.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    bound: usize,
    items: Vec<T>,
}

impl<T> Queue<T> {
    /// Creates a queue that holds `bound` requests of each team.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            items: Vec::new(),
        }
    }
    /// Adds a request. `slots` is the number of slots that serve the team, `free` those that are
    /// free now.
    ///
    /// # Errors
    ///
    /// Refuses the request as overloaded if the team's part is full or the deadline can't be met.
    pub fn push(
        &mut self,
        _now: Instant,
        _request: Waiting<T>,
        _slots: u32,
        _free: u32,
    ) -> Result<Ticket, Refusal> {
        let _ = self.bound;
        todo!()
    }
    /// Takes a team's next request, if the free slots of the pool allow its class.
    pub fn pop(&mut self, _team: &TeamName, _free: u32, _buffer: u32) -> Option<Waiting<T>> {
        todo!()
    }
    /// Removes a request and returns it, or nothing if it is not waiting any more.
    pub fn cancel(&mut self, _ticket: &Ticket) -> Option<Waiting<T>> {
        todo!()
    }
    /// Removes the requests whose deadlines can't be met any more.
    pub fn expire(&mut self, _now: Instant) -> Vec<(Waiting<T>, Refusal)> {
        todo!()
    }
    /// Returns how many requests of a team wait.
    pub fn waiting(&self, _team: &TeamName) -> usize {
        self.items.len()
    }
}
