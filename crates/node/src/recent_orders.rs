//! The machines that were ordered lately.
//!
//! Two owners of the fleet shard in turn must not order one machine within a short time. The set is
//! stored before an order that is not covered by it, so that a successor knows which machines to
//! leave alone, and may order all others at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;

/// The machines that were ordered lately, by this owner and by earlier ones.
#[derive(Clone, Debug)]
pub struct RecentOrders {
    own: BTreeMap<Name, Instant>,
    inherited: BTreeSet<Name>,
    /// When the machines of earlier owners may be ordered.
    open_from: Option<Instant>,
    stored: BTreeSet<Name>,
    quiet: Duration,
}

impl RecentOrders {
    /// Creates an empty set; `quiet` is the time between the orders of two owners.
    pub fn new(quiet: Duration) -> Self {
        Self {
            own: BTreeMap::new(),
            inherited: BTreeSet::new(),
            open_from: None,
            stored: BTreeSet::new(),
            quiet,
        }
    }

    /// Takes the set that an earlier owner stored; this one began at `since`.
    pub fn inherit(&mut self, since: Instant, machines: BTreeSet<Name>) {
        self.stored.clone_from(&machines);
        self.inherited = machines;
        self.open_from = Some(since + self.quiet);
    }

    /// Returns the machines that only earlier owners may have ordered and that are to be left alone.
    pub fn inherited(&self, now: Instant) -> Vec<Name> {
        let closed = self.open_from.is_some_and(|from| now < from);
        let all = self.inherited.iter().filter(|_| closed);
        all.cloned().collect()
    }

    /// Notes that machines are about to be ordered; returns the set to be stored first, if the one
    /// that is stored does not cover them.
    pub fn add(&mut self, now: Instant, machines: &[Name]) -> Option<BTreeSet<Name>> {
        for machine in machines {
            self.own.insert(Arc::clone(machine), now);
        }
        if machines.iter().all(|m| self.stored.contains(m)) {
            return None;
        }
        let quiet = self.quiet;
        self.own
            .retain(|_, at| now.saturating_duration_since(*at) <= quiet);
        self.stored = self.own.keys().cloned().collect();
        self.stored.extend(self.inherited(now));
        Some(self.stored.clone())
    }
}
