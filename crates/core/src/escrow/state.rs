//! The folded escrow.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhollow_types::Incarnation;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;
use serde::Deserialize;
use serde::Serialize;

use super::account::Account;
use super::change::Change;
use super::change::Evidence;
use super::change::Holder;
use super::change::Rejection;
use crate::fold::Context;
use crate::fold::Effect;
use crate::fold::State;

/// How far the clocks of the VM list and of the log may differ.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(10);

/// The allotments of one team in one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound = "H: Holder")]
pub struct TeamEscrow<H: Holder> {
    /// The mirrored limit across the fleet.
    pub limit: u64,
    /// The configuration version of the mirrored limit.
    pub version: Version,
    /// The zone's own account with the `fleet` stream: what was funded, released and withheld.
    /// Unused in an escrow that is not funded.
    pub zone: Account,
    /// The holders.
    pub holders: BTreeMap<H, Account>,
}

impl<H: Holder> Default for TeamEscrow<H> {
    fn default() -> Self {
        Self {
            limit: 0,
            version: Version::default(),
            zone: Account::default(),
            holders: BTreeMap::new(),
        }
    }
}

impl<H: Holder> TeamEscrow<H> {
    /// Returns the most that may be allotted.
    pub fn ceiling(&self) -> u64 {
        if H::FUNDED {
            self.zone.usable()
        } else {
            self.limit
        }
    }

    /// Returns the slots that count as allotted.
    pub fn allotted(&self) -> u64 {
        self.holders.values().map(Account::amount).sum()
    }

    /// Returns the slots that can be allotted now; zero while the sum is above the ceiling.
    pub fn unallotted(&self) -> u64 {
        self.ceiling().saturating_sub(self.allotted())
    }

    /// Returns the slots that a zone can release now.
    pub fn releasable(&self) -> u64 {
        self.zone.amount().saturating_sub(self.allotted())
    }

    /// Scales what the holders may use to the ceiling.
    ///
    /// A holder goes on counting with its whole amount until it returns the excess, because it may
    /// not have read the new limit yet.
    fn scale(&mut self) {
        let ceiling = self.ceiling();
        if self.allotted() <= ceiling {
            for account in self.holders.values_mut() {
                account.set_usable(account.amount());
            }
            return;
        }
        let usable: u64 = self.holders.values().map(Account::usable).sum();
        if usable > ceiling {
            for account in self.holders.values_mut() {
                account.set_usable(portion(account.usable(), ceiling, usable));
            }
        }
    }

    fn set_limit(&mut self, limit: u64, version: Version, withheld: u64) -> Result<(), Rejection> {
        if version <= self.version {
            return Err(Rejection::OldVersion(self.version));
        }
        self.limit = limit;
        self.version = version;
        self.zone.withheld = withheld;
        self.scale();
        Ok(())
    }

    fn fund(&mut self, credit: u64, amount: u64) -> Result<(), Rejection> {
        if !H::FUNDED {
            return Err(Rejection::NotApplicable);
        }
        follows(self.zone.credited, credit)?;
        self.zone.credit(amount);
        Ok(())
    }

    fn release(&mut self, at: u64, amount: u64) -> Result<(), Rejection> {
        if !H::FUNDED {
            return Err(Rejection::NotApplicable);
        }
        follows(self.zone.returned, at)?;
        enough(self.releasable(), amount)?;
        self.zone.returned += amount;
        Ok(())
    }

    fn allot(&mut self, to: &H, amount: u64, lease: Duration) -> Result<(), Rejection> {
        if self.version == Version::default() {
            return Err(Rejection::NoLimit);
        }
        enough(self.unallotted(), amount)?;
        self.credit(to, amount, lease);
        Ok(())
    }

    fn credit(&mut self, to: &H, amount: u64, lease: Duration) {
        let account = self.holders.entry(to.clone()).or_default();
        account.credit(amount);
        account.lease = account.lease.max(lease);
    }

    fn give(
        &mut self,
        actor: Incarnation,
        from: &H,
        at: u64,
        amount: u64,
    ) -> Result<(), Rejection> {
        if !from.is_actor(actor) {
            return Err(Rejection::NotHolder);
        }
        let account = self.holders.get_mut(from).ok_or(Rejection::UnknownHolder)?;
        follows(account.returned, at)?;
        enough(account.amount(), amount)?;
        account.returned += amount;
        Ok(())
    }

    /// Checks that a transfer moves slots that the giver may use. While the giver owes an excess,
    /// the receiver would gain slots that the lowered limit has taken away.
    fn owes_nothing(&self, from: &H) -> Result<(), Rejection> {
        match self.holders.get(from).map_or(0, Account::excess) {
            0 => Ok(()),
            excess => Err(Rejection::Excess(excess)),
        }
    }
}

/// The escrow of all teams in one stream.
///
/// In the `fleet` stream zones hold parts of a team's limit. In a zone's stream incarnations hold
/// parts of what the zone was credited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound = "H: Holder")]
pub struct Escrow<H: Holder> {
    /// The teams.
    pub teams: BTreeMap<TeamName, TeamEscrow<H>>,
}

impl<H: Holder> Default for Escrow<H> {
    fn default() -> Self {
        Self {
            teams: BTreeMap::new(),
        }
    }
}

impl<H: Holder> Escrow<H> {
    /// Returns a holder's account of a team; empty if it holds nothing.
    pub fn account(&self, team: &TeamName, holder: &H) -> Account {
        self.teams
            .get(team)
            .and_then(|escrow| escrow.holders.get(holder))
            .copied()
            .unwrap_or_default()
    }

    fn team(&mut self, team: &TeamName) -> Result<&mut TeamEscrow<H>, Rejection> {
        self.teams.get_mut(team).ok_or(Rejection::NoLimit)
    }

    fn reclaim(&mut self, cx: &Context, holder: &H, evidence: Evidence) -> Result<(), Rejection> {
        // A zone's slots live on in its own stream, which returns them by Release.
        if !H::FUNDED {
            return Err(Rejection::NotApplicable);
        }
        let accounts = self.teams.values().filter_map(|t| t.holders.get(holder));
        let lease = accounts
            .map(|account| account.lease)
            .max()
            .ok_or(Rejection::UnknownHolder)?;
        if evidence.gone + lease + CLOCK_MARGIN > cx.position.time {
            return Err(Rejection::LeaseRuns);
        }
        for escrow in self.teams.values_mut() {
            escrow.holders.remove(holder);
        }
        Ok(())
    }
}

impl<H: Holder> State for Escrow<H> {
    type Change = Change<H>;
    type Rejection = Rejection;

    fn subject(change: &Change<H>) -> String {
        match change {
            Change::SetLimit { team, .. }
            | Change::Fund { team, .. }
            | Change::Allot { team, .. }
            | Change::Transfer { team, .. }
            | Change::Return { team, .. }
            | Change::Release { team, .. } => format!("escrow/{team}"),
            Change::Reclaim { holder, .. } => format!("holder/{holder}"),
        }
    }

    fn apply(&mut self, cx: &Context, change: &Change<H>) -> Result<Effect, Rejection> {
        match change {
            Change::SetLimit {
                team,
                limit,
                version,
                withheld,
            } => {
                let escrow = self.teams.entry(team.clone()).or_default();
                escrow.set_limit(*limit, *version, *withheld)?;
            }
            Change::Fund {
                team,
                credit,
                amount,
            } => {
                let escrow = self.teams.entry(team.clone()).or_default();
                escrow.fund(*credit, *amount)?;
            }
            Change::Allot {
                team,
                to,
                amount,
                lease,
            } => self.team(team)?.allot(to, *amount, *lease)?,
            Change::Transfer {
                team,
                from,
                to,
                at,
                amount,
                lease,
            } => {
                let escrow = self.team(team)?;
                escrow.owes_nothing(from)?;
                escrow.give(cx.actor, from, *at, *amount)?;
                escrow.credit(to, *amount, *lease);
            }
            Change::Return {
                team,
                from,
                at,
                amount,
            } => self.team(team)?.give(cx.actor, from, *at, *amount)?,
            Change::Release { team, at, amount } => self.team(team)?.release(*at, *amount)?,
            Change::Reclaim { holder, evidence } => self.reclaim(cx, holder, *evidence)?,
        }
        Ok(Effect::Changed)
    }
}

/// Returns `part * numerator / denominator`, rounded down.
pub(super) fn portion(part: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(part) * u128::from(numerator) / u128::from(denominator.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

fn follows(total: u64, position: u64) -> Result<(), Rejection> {
    if total == position {
        Ok(())
    } else {
        Err(Rejection::Position(total))
    }
}

fn enough(available: u64, amount: u64) -> Result<(), Rejection> {
    if amount == 0 {
        Err(Rejection::NotApplicable)
    } else if amount > available {
        Err(Rejection::TooMuch(available))
    } else {
        Ok(())
    }
}
