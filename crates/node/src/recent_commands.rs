//! The machines that were ordered lately.
//!
//! Two owners of the fleet shard in turn must not order one machine within a short time. The set is
//! stored before an order that is not covered by it, with the time since the last order of each
//! machine, so that a successor knows which machines to leave alone and for how long.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// The machines that were ordered lately, as a successor reads them.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCommands {
    /// The least time from the last order of each machine to the storing of the set, in
    /// milliseconds; zero for a machine that may be ordered after it.
    #[serde_as(as = "BTreeMap<_, DurationMilliSeconds<u64>>")]
    pub ages: BTreeMap<Name, Duration>,
}

/// The machines that were ordered lately, by this owner and by earlier ones.
#[derive(Clone, Debug)]
pub struct RecentCommands {
    own: BTreeMap<Name, Instant>,
    /// The machines that only earlier owners ordered, with the time from which they may be ordered.
    blocked: BTreeMap<Name, Instant>,
    /// Set while no machine may be ordered, since it is not known which ones earlier owners ordered.
    closed_until: Option<Instant>,
    stored: StoredCommands,
    takeover_delay: Duration,
}

impl RecentCommands {
    /// Creates an empty set; `quiet` is the time between the orders of two owners.
    pub fn new(takeover_delay: Duration) -> Self {
        Self {
            own: BTreeMap::new(),
            blocked: BTreeMap::new(),
            closed_until: None,
            stored: StoredCommands::default(),
            takeover_delay,
        }
    }

    /// Takes the set that an earlier owner stored before this one began at `since`.
    pub fn restore(&mut self, since: Instant, stored: &StoredCommands) {
        let open = |age: &Duration| since + self.takeover_delay.saturating_sub(*age);
        let ages = stored.ages.iter();
        self.blocked = ages.map(|(m, age)| (Arc::clone(m), open(age))).collect();
    }

    /// Notes that the set that an earlier owner stored can't be read.
    pub fn block_all(&mut self, since: Instant) {
        self.closed_until = Some(since + self.takeover_delay);
    }

    /// Tells whether no machine may be ordered.
    pub fn all_blocked(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }

    /// Returns the machines that are to be left alone, since earlier owners ordered them lately.
    pub fn blocked(&self, now: Instant) -> Vec<Name> {
        let closed = self.blocked.iter().filter(|(_, open)| now < **open);
        closed.map(|(machine, _)| Arc::clone(machine)).collect()
    }

    /// Notes that machines are about to be ordered; returns the set to be stored first, if the one
    /// that is stored does not cover them.
    pub fn begin(&mut self, now: Instant, machines: &[Name]) -> Option<StoredCommands> {
        for machine in machines {
            self.own.insert(Arc::clone(machine), now);
        }
        let covers = |m: &Name| self.stored.ages.get(m).is_some_and(Duration::is_zero);
        if machines.iter().all(covers) {
            return None;
        }
        Some(self.update(now))
    }

    /// Notes that an order was given, which may have taken some time.
    pub fn mark_sent(&mut self, now: Instant, machine: &Name) {
        self.own.insert(Arc::clone(machine), now);
    }

    /// Returns the set with the present ages if one is stored that differs, for a successor to wait
    /// no longer than it has to.
    pub fn refresh_ages(&mut self, now: Instant) -> Option<StoredCommands> {
        let before = self.stored.clone();
        let present = self.update(now);
        (present != before).then_some(present)
    }

    /// Brings the set to be stored up to date.
    fn update(&mut self, now: Instant) -> StoredCommands {
        let takeover_delay = self.takeover_delay;
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.own.retain(|_, at| age(at) < takeover_delay);
        self.blocked.retain(|_, open| now < *open);
        let blocked = self.blocked.iter();
        let blocked = blocked.map(|(m, open)| (m, takeover_delay.saturating_sub(*open - now)));
        let own = self.own.iter().map(|(m, at)| (m, age(at)));
        let ages = blocked.chain(own).map(|(m, age)| (Arc::clone(m), age));
        self.stored.ages = ages.collect();
        self.stored.clone()
    }
}
