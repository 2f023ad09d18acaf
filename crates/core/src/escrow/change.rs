//! Changes of an escrow and the reasons for refusing them.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;

use derive_more::Display;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_with::DurationMilliSeconds;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;

/// Who can hold a part of a limit.
pub trait Holder:
    Clone + Ord + fmt::Debug + fmt::Display + Serialize + DeserializeOwned + 'static
{
    /// Whether the stream's escrow gets its slots from another stream by [`Change::Fund`].
    ///
    /// A funded escrow allots what was funded; an escrow that is not funded allots the limit.
    const FUNDED: bool;

    /// Tells whether a process may give away what this holder owns.
    fn is_actor(&self, actor: Incarnation) -> bool;
}

impl Holder for ZoneName {
    const FUNDED: bool = false;

    // Any entry of the zone speaks for it: the slots were released in the zone's own stream before.
    fn is_actor(&self, _actor: Incarnation) -> bool {
        true
    }
}

impl Holder for Incarnation {
    const FUNDED: bool = true;

    fn is_actor(&self, actor: Incarnation) -> bool {
        *self == actor
    }
}

/// Shows that a holder can't run work any more.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The time of the VM list that shows the holder's VM gone, in milliseconds since the epoch.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub gone: SystemTime,
}

/// A change of an escrow.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", bound = "H: Holder")]
pub enum Change<H> {
    /// Mirrors a team's limit from the configuration.
    SetLimit {
        /// The team.
        team: TeamName,
        /// The limit across the fleet.
        limit: u64,
        /// The configuration version; a smaller one than the mirrored version has no effect.
        version: Version,
        /// In a funded escrow, the zone's [`Account::withheld`] in the `fleet` stream under this
        /// version; zero elsewhere.
        withheld: u64,
    },
    /// Takes a credit of the `fleet` stream into a zone's stream.
    Fund {
        /// The team.
        team: TeamName,
        /// The id of the credit: what was funded before it. It counts once.
        credit: u64,
        /// The slots of the credit.
        amount: u64,
    },
    /// Gives a holder a part that is not allotted.
    Allot {
        /// The team.
        team: TeamName,
        /// The receiver.
        to: H,
        /// The slots.
        amount: u64,
        /// The longest task lease that the receiver gives out, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lease: Duration,
    },
    /// Moves slots from a holder to another.
    Transfer {
        /// The team.
        team: TeamName,
        /// The giver.
        from: H,
        /// The receiver.
        to: H,
        /// The id of the gift: what the giver had returned before it. It counts once.
        at: u64,
        /// The slots.
        amount: u64,
        /// The longest task lease that the receiver gives out, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lease: Duration,
    },
    /// Gives slots back to the unallotted part.
    Return {
        /// The team.
        team: TeamName,
        /// The giver.
        from: H,
        /// The id of the gift: what the giver had returned before it. It counts once.
        at: u64,
        /// The slots.
        amount: u64,
    },
    /// Releases an unallotted part of a zone, so that `fleet` may return or transfer it.
    Release {
        /// The team.
        team: TeamName,
        /// The id of the release: what was released before it. It counts once.
        at: u64,
        /// The slots.
        amount: u64,
    },
    /// Takes back everything from a holder that is gone.
    Reclaim {
        /// The holder.
        holder: H,
        /// What shows that it is gone.
        evidence: Evidence,
    },
}

/// Why an escrow refuses a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Rejection {
    /// The mirrored configuration is as new or newer.
    #[display("configuration version is not newer than {_0}")]
    OldVersion(Version),
    /// The team has no mirrored limit.
    #[display("no limit is mirrored for the team")]
    NoLimit,
    /// The change counted before, or one before it is missing.
    #[display("position does not follow {_0}")]
    Position(u64),
    /// Less than that is available.
    #[display("only {_0} slots are available")]
    TooMuch(u64),
    /// The giver has to return an excess first.
    #[display("the giver has to return {_0} slots first")]
    Excess(u64),
    /// Only the holder itself gives its allotment away.
    #[display("the actor is not the giver")]
    NotHolder,
    /// The holder owns nothing.
    #[display("unknown holder")]
    UnknownHolder,
    /// A lease given out under the allotment may still run.
    #[display("a lease of the holder may still run")]
    LeaseRuns,
    /// The change has no meaning in this stream, or an amount of zero.
    #[display("the change does not apply")]
    NotApplicable,
}
