//! Bounded queues with deadlines and early refusal.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;

/// The shortest wait that a refusal suggests; less would bring the caller back into the same peak.
const MIN_RETRY: Duration = Duration::from_secs(1);

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

/// The slots that a request competes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Supply {
    /// The slots that serve the team, for the expected wait.
    pub serving: u32,
    /// The free slots of the pool, its buffer included.
    pub free: u32,
    /// The pool's buffer.
    pub buffer: u32,
}

impl Supply {
    fn free_for(&self, class: Class) -> u32 {
        match class {
            Class::Urgent => self.free,
            Class::Normal => self.free.saturating_sub(self.buffer),
        }
    }
}

/// Names a waiting request, for its cancellation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    team: TeamName,
    place: Place,
}

/// The order of service within a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Place {
    class: Class,
    deadline: Instant,
    sequence: u64,
}

/// The waiting requests of one queue in one entry.
///
/// Waiting requests hold no slot, so that a cancellation has nothing to give back but the item.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    bound: usize,
    sequence: u64,
    teams: HashMap<TeamName, BTreeMap<Place, Waiting<T>>>,
}

impl<T> Queue<T> {
    /// Creates a queue that holds `bound` requests of each team.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            sequence: 0,
            teams: HashMap::new(),
        }
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Refuses the request as overloaded if the team's part is full or the deadline can't be met.
    pub fn push(
        &mut self,
        now: Instant,
        request: Waiting<T>,
        supply: Supply,
    ) -> Result<Ticket, Refusal> {
        let place = Place {
            class: request.class,
            deadline: request.deadline,
            sequence: self.sequence,
        };
        self.check(now, &request, place, supply)?;
        self.sequence += 1;
        let team = request.team.clone();
        let waiting = self.teams.entry(team.clone()).or_default();
        waiting.insert(place, request);
        Ok(Ticket { team, place })
    }

    /// Takes a team's next request, if the free slots allow its class.
    pub fn pop(&mut self, team: &TeamName, supply: Supply) -> Option<Waiting<T>> {
        let waiting = self.teams.get_mut(team)?;
        let (place, _) = waiting.first_key_value()?;
        if supply.free_for(place.class) == 0 {
            return None;
        }
        let (_, request) = waiting.pop_first()?;
        self.forget_empty(team);
        Some(request)
    }

    /// Returns a team's next request, if the free slots allow its class.
    pub fn peek(&self, team: &TeamName, supply: Supply) -> Option<&Waiting<T>> {
        let (place, request) = self.teams.get(team)?.first_key_value()?;
        (supply.free_for(place.class) > 0).then_some(request)
    }

    /// Returns the class of a team's next request.
    pub fn next_class(&self, team: &TeamName) -> Option<Class> {
        let (place, _) = self.teams.get(team)?.first_key_value()?;
        Some(place.class)
    }

    /// Removes a request and returns it, or nothing if it is not waiting any more.
    ///
    /// The ticket holds the request's place, so that a wave of cancellations needs no scan.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<Waiting<T>> {
        let request = self.teams.get_mut(&ticket.team)?.remove(&ticket.place);
        self.forget_empty(&ticket.team);
        request
    }

    /// Removes the requests whose deadlines can't be met any more.
    pub fn expire(&mut self, now: Instant) -> Vec<(Waiting<T>, Refusal)> {
        let mut expired = Vec::new();
        for waiting in self.teams.values_mut() {
            let late =
                waiting.extract_if(.., |_, request| now + request.run_time > request.deadline);
            expired.extend(late.map(|(_, request)| {
                let refusal = overloaded("the deadline can't be met any more", request.run_time);
                (request, refusal)
            }));
        }
        self.teams.retain(|_, waiting| !waiting.is_empty());
        expired
    }

    /// Returns how many requests of a team wait.
    pub fn waiting(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, BTreeMap::len)
    }

    /// Returns the teams with waiting requests.
    pub fn teams(&self) -> impl Iterator<Item = &TeamName> {
        self.teams.keys()
    }

    fn check(
        &self,
        now: Instant,
        request: &Waiting<T>,
        place: Place,
        supply: Supply,
    ) -> Result<(), Refusal> {
        if now + request.run_time > request.deadline {
            let detail = "the deadline is shorter than the expected run time";
            return Err(Refusal::new(RefusalKind::Overloaded, detail));
        }
        let wait = self.expected_wait(&request.team, place, supply);
        if self.waiting(&request.team) >= self.bound {
            return Err(overloaded("the team's queue is full", wait));
        }
        let late = (now + wait + request.run_time).saturating_duration_since(request.deadline);
        if late > Duration::ZERO {
            return Err(overloaded("the deadline can't be met", late));
        }
        Ok(())
    }

    /// Returns the expected time until a request at this place starts. A team's part is bounded,
    /// so that the sum over what is ahead is short.
    fn expected_wait(&self, team: &TeamName, place: Place, supply: Supply) -> Duration {
        let ahead = self.teams.get(team).into_iter();
        let ahead = ahead.flat_map(|waiting| waiting.range(..place));
        let (mut count, mut work) = (0, Duration::ZERO);
        for (_, request) in ahead {
            count += 1;
            work += request.run_time;
        }
        if count < supply.free_for(place.class) {
            return Duration::ZERO;
        }
        // Half a run time is what the running work of the same kind still needs on average.
        let mean = work / count.max(1);
        (work + mean / 2) / supply.serving.max(1)
    }

    fn forget_empty(&mut self, team: &TeamName) {
        if self.teams.get(team).is_some_and(BTreeMap::is_empty) {
            self.teams.remove(team);
        }
    }
}

fn overloaded(detail: &str, wait: Duration) -> Refusal {
    Refusal::new(RefusalKind::Overloaded, detail).retry_after(wait.max(MIN_RETRY))
}
