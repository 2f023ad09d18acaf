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
pub struct StoredOrders {
    /// The least time from the last order of each machine to the storing of the set, in
    /// milliseconds; zero for a machine that may be ordered after it.
    #[serde_as(as = "BTreeMap<_, DurationMilliSeconds<u64>>")]
    pub ages: BTreeMap<Name, Duration>,
}

/// The machines that were ordered lately, by this owner and by earlier ones.
#[derive(Clone, Debug)]
pub struct RecentOrders {
    own: BTreeMap<Name, Instant>,
    /// The machines that only earlier owners ordered, with the time from which they may be ordered.
    inherited: BTreeMap<Name, Instant>,
    /// Set while no machine may be ordered, since it is not known which ones earlier owners ordered.
    closed_until: Option<Instant>,
    stored: StoredOrders,
    quiet: Duration,
}

impl RecentOrders {
    /// Creates an empty set; `quiet` is the time between the orders of two owners.
    pub fn new(quiet: Duration) -> Self {
        Self {
            own: BTreeMap::new(),
            inherited: BTreeMap::new(),
            closed_until: None,
            stored: StoredOrders::default(),
            quiet,
        }
    }

    /// Takes the set that an earlier owner stored before this one began at `since`.
    pub fn inherit(&mut self, since: Instant, stored: &StoredOrders) {
        let open = |age: &Duration| since + self.quiet.saturating_sub(*age);
        let ages = stored.ages.iter();
        self.inherited = ages.map(|(m, age)| (Arc::clone(m), open(age))).collect();
    }

    /// Notes that the set that an earlier owner stored can't be read.
    pub fn inherit_unknown(&mut self, since: Instant) {
        self.closed_until = Some(since + self.quiet);
    }

    /// Tells whether no machine may be ordered.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }

    /// Returns the machines that are to be left alone, since earlier owners ordered them lately.
    pub fn inherited(&self, now: Instant) -> Vec<Name> {
        let closed = self.inherited.iter().filter(|(_, open)| now < **open);
        closed.map(|(machine, _)| Arc::clone(machine)).collect()
    }

    /// Notes that machines are about to be ordered; returns the set to be stored first, if the one
    /// that is stored does not cover them.
    pub fn add(&mut self, now: Instant, machines: &[Name]) -> Option<StoredOrders> {
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
    pub fn ordered(&mut self, now: Instant, machine: &Name) {
        self.own.insert(Arc::clone(machine), now);
    }

    /// Returns the set with the present ages if one is stored that differs, for a successor to wait
    /// no longer than it has to.
    pub fn refresh(&mut self, now: Instant) -> Option<StoredOrders> {
        let before = self.stored.clone();
        let present = self.update(now);
        (present != before).then_some(present)
    }

    /// Brings the set to be stored up to date.
    fn update(&mut self, now: Instant) -> StoredOrders {
        let quiet = self.quiet;
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.own.retain(|_, at| age(at) < quiet);
        self.inherited.retain(|_, open| now < *open);
        let inherited = self.inherited.iter();
        let inherited = inherited.map(|(m, open)| (m, quiet.saturating_sub(*open - now)));
        let own = self.own.iter().map(|(m, at)| (m, age(at)));
        let ages = inherited.chain(own).map(|(m, age)| (Arc::clone(m), age));
        self.stored.ages = ages.collect();
        self.stored.clone()
    }
}
