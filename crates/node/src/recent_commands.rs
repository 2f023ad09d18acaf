//! The machines that recently got a command.
//!
//! Two successive owners of the fleet shard must not send commands to the same machine within a
//! short time. Before a command that the stored set does not cover, the set is stored with the time
//! since the last command of each machine. A successor thus knows which machines it must not send
//! commands to, and for how long.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// The machines that recently got a command, as stored for a successor.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCommands {
    /// The minimum time from the last command of each machine to the storing of the set, in
    /// milliseconds; zero for a machine that may get a command after it.
    #[serde_as(as = "BTreeMap<_, DurationMilliSeconds<u64>>")]
    pub ages: BTreeMap<Name, Duration>,
}

/// The machines that recently got a command from this owner or from earlier ones.
#[derive(Clone, Debug)]
pub struct RecentCommands {
    /// The machines that got commands from this owner, with the time of the last one.
    own_commands: BTreeMap<Name, Instant>,
    /// The machines that got commands only from earlier owners, with the time from which this owner
    /// may send them commands.
    blocked: BTreeMap<Name, Instant>,
    /// The time until which no machine may get a command, because it is not known which ones got
    /// commands from earlier owners.
    suspended_until: Option<Instant>,
    /// The set that was last returned to be stored.
    stored: StoredCommands,
    takeover_delay: Duration,
}

impl RecentCommands {
    /// Creates an empty set. `takeover_delay` is the minimum time between the commands of two
    /// owners for the same machine.
    pub fn new(takeover_delay: Duration) -> Self {
        Self {
            own_commands: BTreeMap::new(),
            blocked: BTreeMap::new(),
            suspended_until: None,
            stored: StoredCommands::default(),
            takeover_delay,
        }
    }

    /// Restores the set that an earlier owner stored before this one took over at `owned_since`.
    pub fn restore(&mut self, owned_since: Instant, stored: &StoredCommands) {
        let unblocked_at = |age: &Duration| owned_since + self.takeover_delay.saturating_sub(*age);
        let ages = stored.ages.iter();
        self.blocked = ages
            .map(|(m, age)| (Arc::clone(m), unblocked_at(age)))
            .collect();
    }

    /// Blocks all machines for the takeover delay, because the set that an earlier owner stored
    /// can't be decoded.
    pub fn block_all(&mut self, owned_since: Instant) {
        self.suspended_until = Some(owned_since + self.takeover_delay);
    }

    /// Returns whether no machine may get a command, see [`Self::block_all`].
    pub fn all_blocked(&self, now: Instant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Returns the machines that must not get a command because an earlier owner sent them one
    /// recently.
    pub fn blocked(&self, now: Instant) -> Vec<Name> {
        let still_blocked = self
            .blocked
            .iter()
            .filter(|(_, unblocked_at)| now < **unblocked_at);
        still_blocked
            .map(|(machine, _)| Arc::clone(machine))
            .collect()
    }

    /// Returns the machines for which earlier owners may have sent commands when this one took over.
    pub fn inherited(&self) -> BTreeSet<Name> {
        self.blocked.keys().cloned().collect()
    }

    /// Records that commands for machines are about to be sent. Returns the set that must be stored
    /// first; `None` if the stored one has an age of zero for all of them.
    pub fn begin(&mut self, now: Instant, machines: &[Name]) -> Option<StoredCommands> {
        for machine in machines {
            self.own_commands.insert(Arc::clone(machine), now);
        }
        let covers = |m: &Name| self.stored.ages.get(m).is_some_and(Duration::is_zero);
        if machines.iter().all(covers) {
            return None;
        }
        Some(self.update_stored(now))
    }

    /// Records that the call for a command has ended, with or without a response. It may have taken
    /// some time, so the age of the command counts from its end.
    pub fn mark_finished(&mut self, now: Instant, machine: &Name) {
        self.own_commands.insert(Arc::clone(machine), now);
    }

    /// Returns the set with the current ages if it differs from the stored one. Storing it lets a
    /// successor wait no longer than it has to.
    pub fn refresh_ages(&mut self, now: Instant) -> Option<StoredCommands> {
        let before = self.stored.clone();
        let current = self.update_stored(now);
        (current != before).then_some(current)
    }

    /// Updates the set to be stored to the current ages and drops machines whose time has passed.
    fn update_stored(&mut self, now: Instant) -> StoredCommands {
        let takeover_delay = self.takeover_delay;
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.own_commands.retain(|_, at| age(at) < takeover_delay);
        self.blocked.retain(|_, unblocked_at| now < *unblocked_at);
        let blocked = self.blocked.iter();
        let blocked = blocked
            .map(|(m, unblocked_at)| (m, takeover_delay.saturating_sub(*unblocked_at - now)));
        let own_commands = self.own_commands.iter().map(|(m, at)| (m, age(at)));
        let ages = blocked
            .chain(own_commands)
            .map(|(m, age)| (Arc::clone(m), age));
        self.stored.ages = ages.collect();
        self.stored.clone()
    }
}
