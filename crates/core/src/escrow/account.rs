//! What one holder owns of a team's limit.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Running totals of one holder.
///
/// Totals only grow, so that a position in a total identifies a credit or a return, and a repeat
/// of either is recognised without a list of past ids.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Slots given to the holder so far.
    pub credited: u64,
    /// Slots that the holder has given back so far.
    pub returned: u64,
    /// The total that the holder has to have given back; it rises when a limit is lowered.
    pub withheld: u64,
    /// The longest task lease that the holder gives out under the allotment, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
}

impl Account {
    /// Returns the slots that count against the limit.
    pub fn amount(&self) -> u64 {
        self.credited - self.returned
    }

    /// Returns the slots that the holder may use.
    ///
    /// A zone may read what is withheld before it takes in the credits, so that `withheld` may be
    /// above `credited`.
    pub fn usable(&self) -> u64 {
        self.credited
            .saturating_sub(self.returned.max(self.withheld))
    }

    /// Returns the slots that the holder has to give back.
    pub fn excess(&self) -> u64 {
        self.withheld.saturating_sub(self.returned)
    }

    pub(super) fn credit(&mut self, amount: u64) {
        self.credited += amount;
    }

    pub(super) fn set_usable(&mut self, usable: u64) {
        self.withheld = self.credited - usable.min(self.amount());
    }
}
