//! Moves allotments of upper limits to where they are needed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use lavenderhollow_config::Automatic;
use lavenderhollow_config::Config;
use lavenderhollow_core::escrow::Account;
use lavenderhollow_core::escrow::Change;
use lavenderhollow_core::escrow::Evidence;
use lavenderhollow_core::escrow::HALF_LIFE;
use lavenderhollow_core::escrow::HolderDemand;
use lavenderhollow_core::escrow::Meter;
use lavenderhollow_core::escrow::Rebalancer;
use lavenderhollow_core::escrow::Step;
use lavenderhollow_core::escrow::TeamEscrow;
use lavenderhollow_core::fleet::FleetChange;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::membership::owner;
use lavenderhollow_core::record::Record;
use lavenderhollow_core::zone::ZoneChange;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;
use lavenderhollow_types::VmName;
use lavenderhollow_types::ZoneName;

use crate::context::Context;
use crate::peers::PeerSummary;
use crate::submitted::Submitted;

/// The part of a limit that is spread over all entries whatever their demand, as a divisor.
const BASE_DIVISOR: u64 = 4;

/// The state of the task.
#[derive(Default)]
struct Desk {
    entries: BTreeMap<TeamName, Rebalancer<Incarnation>>,
    zones: BTreeMap<TeamName, Rebalancer<ZoneName>>,
    submitted: Submitted,
    limits: BTreeMap<TeamName, LimitHistory>,
}

/// The limits of a team that this entry has seen since the one that its zone's stream mirrors.
#[derive(Debug, Default)]
struct LimitHistory(Vec<(Version, u64)>);

impl LimitHistory {
    /// Notes the limit of a version and returns the highest one that allotments may come from.
    fn highest(&mut self, limit: u64, version: Version, mirrored: (Version, u64)) -> u64 {
        if self.0.last().is_none_or(|(_, last)| *last != limit) {
            self.0.push((version, limit));
        }
        self.0.retain(|(seen, _)| *seen > mirrored.0);
        let seen = self.0.iter().map(|(_, limit)| *limit);
        seen.chain([mirrored.1, limit]).max().unwrap_or(limit)
    }
}

/// One team in one round.
struct Round<'a> {
    cx: &'a Context,
    team: &'a TeamName,
    limit: u64,
    version: Version,
    /// The place of the team in the configuration.
    place: u16,
    summaries: &'a [PeerSummary],
    leads: bool,
    transfers: bool,
    now: Instant,
}

/// Keeps the allotments near the demand, for ever.
pub(crate) async fn keep(cx: &Arc<Context>) {
    let mut desk = Desk::default();
    let mut ticks = tokio::time::interval(cx.settings.heartbeat);
    loop {
        ticks.tick().await;
        if cx.gate.is_closing() {
            continue;
        }
        let installed = cx.config.load_full();
        if installed.version.get() > 0 {
            desk.round(cx, &installed.config, installed.version);
        }
    }
}

impl Desk {
    fn round(&mut self, cx: &Context, config: &Config, version: Version) {
        let now = cx.clock.now();
        let summaries = cx.peers.summaries(now);
        let live = cx.peers.live_in_zone(now);
        let subject = VmName::new("allotments").expect("the name is valid");
        let leads = owner(&subject, &live) == Some(&cx.settings.name);
        for (place, (team, settings)) in (0..).zip(&config.teams) {
            let round = Round {
                place,
                cx,
                team,
                limit: settings.limit.into(),
                version,
                summaries: &summaries,
                leads,
                transfers: config.automatic.is_on(Automatic::Transfers),
                now,
            };
            self.scale(&round);
            self.fleet_records(&round);
            self.zone_records(&round);
        }
    }

    /// Scales the use at once when the limit is lower than one that allotments may come from. A
    /// limit may have been raised and mirrored in the fleet's stream before it was lowered, so that
    /// the zone's mirrored limit alone does not tell.
    fn scale(&mut self, round: &Round<'_>) {
        let mirrored = round.zone_escrow();
        let history = self.limits.entry(round.team.clone()).or_default();
        let mirrored = (mirrored.version, mirrored.limit);
        let highest = history.highest(round.limit, round.version, mirrored);
        let lowered = (round.limit < highest).then_some((round.limit, highest));
        round.cx.meters.meter(round.team).lower(lowered);
    }

    /// Submits changes of the zones' allotments. One entry of the zone speaks for it.
    fn fleet_records(&mut self, round: &Round<'_>) {
        if !round.leads {
            return;
        }
        let cx = round.cx;
        let (escrow, version) = cx.streams.fleet.read(|fold| {
            let escrow = fold.state().allotments.teams.get(round.team).cloned();
            (
                escrow.unwrap_or_default(),
                fold.version(&subject(round.team)),
            )
        });
        if escrow.limit != round.limit && round.version > escrow.version {
            let change = Change::SetLimit {
                team: round.team.clone(),
                limit: round.limit,
                version: round.version,
                withheld: 0,
            };
            return self.submit_fleet(round, change, version);
        }
        let local = round.zone_escrow();
        let account = escrow.holders.get(&cx.settings.zone).copied();
        let account = account.unwrap_or_default();
        let released = local.zone.returned.saturating_sub(account.returned);
        if released > 0 {
            let change = Change::Return {
                team: round.team.clone(),
                from: cx.settings.zone.clone(),
                at: account.returned,
                amount: released,
            };
            return self.submit_fleet(round, change, version);
        }
        if !round.transfers {
            return;
        }
        let demands = round.zone_demands(&escrow);
        let steps = self
            .zones
            .entry(round.team.clone())
            .or_insert_with(|| Rebalancer::new(HALF_LIFE))
            .steps(round.now, escrow.unallotted(), &demands);
        for step in steps {
            match step {
                Step::Allot { to, amount } if to == cx.settings.zone => {
                    let change = Change::Allot {
                        team: round.team.clone(),
                        to,
                        amount,
                        lease: cx.settings.lease,
                    };
                    self.submit_fleet(round, change, version);
                }
                Step::Transfer { from, amount, .. } if from == cx.settings.zone => {
                    self.release(round, &local, amount);
                }
                Step::Allot { .. } | Step::Transfer { .. } => {}
            }
        }
    }

    /// Releases slots of the zone, which the fleet's stream then gives to another zone.
    fn release(&mut self, round: &Round<'_>, local: &TeamEscrow<Incarnation>, amount: u64) {
        let amount = amount.min(local.releasable());
        if amount > 0 {
            let change = Change::Release {
                team: round.team.clone(),
                at: local.zone.returned,
                amount,
            };
            self.submit_zone(round, change, "release");
        }
    }

    /// Submits changes of the entries' allotments.
    fn zone_records(&mut self, round: &Round<'_>) {
        let cx = round.cx;
        let local = round.zone_escrow();
        if round.leads {
            self.fund(round, &local);
            // The fleet's stream allots nothing while the sum is above a lowered limit.
            self.release(round, &local, local.zone.excess());
        }
        self.give_excess(round);
        if !round.transfers {
            return;
        }
        let demands = round.entry_demands(&local);
        let steps = self
            .entries
            .entry(round.team.clone())
            .or_insert_with(|| Rebalancer::new(HALF_LIFE))
            .steps(round.now, local.unallotted(), &demands);
        for step in steps {
            match step {
                Step::Allot { to, amount } if to == cx.incarnation => {
                    let change = Change::Allot {
                        team: round.team.clone(),
                        to,
                        amount,
                        lease: cx.settings.lease,
                    };
                    self.submit_zone(round, change, "allot");
                }
                Step::Transfer { from, to, amount } if from == cx.incarnation => {
                    self.transfer(round, to, amount);
                }
                Step::Allot { .. } | Step::Transfer { .. } => {}
            }
        }
    }

    /// Takes credits and limits of the fleet's stream into the zone's stream.
    fn fund(&mut self, round: &Round<'_>, local: &TeamEscrow<Incarnation>) {
        let cx = round.cx;
        let (account, limit, version) = cx.streams.fleet.read(|fold| {
            let allotments = &fold.state().allotments;
            let escrow = allotments.teams.get(round.team);
            let account: Account = allotments.account(round.team, &cx.settings.zone);
            let limits = escrow.map(|escrow| (escrow.limit, escrow.version));
            let (limit, version) = limits.unwrap_or_default();
            (account, limit, version)
        });
        if version > local.version {
            let change = Change::SetLimit {
                team: round.team.clone(),
                limit,
                version,
                withheld: account.withheld,
            };
            self.submit_zone(round, change, "limit");
        } else if account.credited > local.zone.credited {
            let change = Change::Fund {
                team: round.team.clone(),
                credit: local.zone.credited,
                amount: account.credited - local.zone.credited,
            };
            self.submit_zone(round, change, "fund");
        }
    }

    fn give_excess(&mut self, round: &Round<'_>) {
        let meter = round.cx.meters.meter(round.team);
        let excess = meter.excess();
        if excess > 0 {
            self.give(round, excess, None);
        }
    }

    fn transfer(&mut self, round: &Round<'_>, to: Incarnation, amount: u64) {
        self.give(round, amount, Some(to));
    }

    /// Reduces this entry's own use and then submits the gift.
    fn give(&mut self, round: &Round<'_>, amount: u64, to: Option<Incarnation>) {
        let cx = round.cx;
        let key = format!("{}/give", round.team);
        if !self
            .submitted
            .may_submit(key, round.zone_version(), round.now)
        {
            return;
        }
        let meter = cx.meters.meter(round.team);
        if let Some(record) = gift(cx, round.team, &meter, amount, to) {
            cx.streams.zone.submit_record(record);
        }
    }

    fn submit_fleet(&mut self, round: &Round<'_>, change: Change<ZoneName>, version: Version) {
        let key = format!("{}/fleet", round.team);
        if self.submitted.may_submit(key, version, round.now) {
            let change = FleetChange::from(change);
            round.cx.streams.fleet.submit(change, Some(version));
        }
    }

    fn submit_zone(&mut self, round: &Round<'_>, change: Change<Incarnation>, what: &str) {
        let key = format!("{}/{what}", round.team);
        if self
            .submitted
            .may_submit(key, round.zone_version(), round.now)
        {
            round.cx.streams.zone.submit(ZoneChange::from(change), None);
        }
    }
}

impl Round<'_> {
    fn zone_version(&self) -> Version {
        let subject = subject(self.team);
        self.cx.streams.zone.read(|fold| fold.version(&subject))
    }

    fn zone_escrow(&self) -> TeamEscrow<Incarnation> {
        self.cx.streams.zone.read(|fold| {
            let escrow = fold.state().allotments.teams.get(self.team);
            escrow.cloned().unwrap_or_default()
        })
    }

    /// Returns the slots that even an idle entry asks for, so that it can serve at once and while
    /// the log is down.
    fn base(&self) -> u64 {
        let entries = self.cx.peers.listed() as u64;
        (self.limit / BASE_DIVISOR / entries).max(1)
    }

    /// Returns the demand of every entry of the zone that holds or wants something.
    fn entry_demands(&self, local: &TeamEscrow<Incarnation>) -> Vec<HolderDemand<Incarnation>> {
        let cx = self.cx;
        let meter = cx.meters.meter(self.team);
        let mine = HolderDemand {
            holder: cx.incarnation,
            usable: meter.usable().into(),
            used: meter.used().into(),
            waiting: cx.pools.waiting(self.team) as u64,
        };
        let own_zone = |peer: &&PeerSummary| peer.zone == cx.settings.zone;
        let others = self.summaries.iter().filter(own_zone).map(|peer| {
            let account = local.holders.get(&peer.incarnation);
            let (used, waiting) = peer.summary.demand(self.version, self.place);
            HolderDemand {
                holder: peer.incarnation,
                usable: account.map_or(0, Account::usable),
                used,
                waiting,
            }
        });
        let mut demands: Vec<_> = others.collect();
        demands.push(mine);
        // The order breaks ties, so that it has to be the same in every entry: otherwise each
        // leaves free slots to another one.
        demands.sort_by_key(|demand| demand.holder);
        let base = self.base();
        for demand in &mut demands {
            demand.waiting = demand.waiting.max(base.saturating_sub(demand.used));
        }
        demands
    }

    /// Returns the demand of every zone, as far as its entries were heard.
    fn zone_demands(&self, escrow: &TeamEscrow<ZoneName>) -> Vec<HolderDemand<ZoneName>> {
        let cx = self.cx;
        let meter = cx.meters.meter(self.team);
        let mut sums: BTreeMap<ZoneName, (u64, u64)> = BTreeMap::new();
        let own = sums.entry(cx.settings.zone.clone()).or_default();
        *own = (meter.used().into(), cx.pools.waiting(self.team) as u64);
        let mut others: BTreeMap<ZoneName, (u64, u64)> = BTreeMap::new();
        for peer in self.summaries {
            let demand = peer.summary.demand(self.version, self.place);
            if peer.zone == cx.settings.zone {
                own.0 += demand.0;
                own.1 += demand.1;
            } else {
                // Every entry of another zone sums up the whole zone; the larger view counts.
                let sum = others.entry(peer.zone.clone()).or_default();
                *sum = (*sum).max(demand);
            }
        }
        sums.extend(others);
        let demands = sums.into_iter().map(|(zone, (used, waiting))| {
            let entries = cx.peers.listed_in(&zone) as u64;
            HolderDemand {
                usable: escrow.holders.get(&zone).map_or(0, Account::usable),
                used,
                waiting: waiting.max((self.base() * entries).saturating_sub(used)),
                holder: zone,
            }
        });
        demands.collect()
    }
}

fn subject(team: &TeamName) -> String {
    lavenderhollow_core::escrow::Escrow::<ZoneName>::subject(&Change::Return {
        team: team.clone(),
        from: ZoneName::new("any").expect("the name is valid"),
        at: 0,
        amount: 0,
    })
}

/// Reduces this entry's own use by up to `amount` and makes the record that gives the slots to
/// another entry or back to the zone.
fn gift(
    cx: &Context,
    team: &TeamName,
    meter: &Meter,
    amount: u64,
    to: Option<Incarnation>,
) -> Option<Record<ZoneChange>> {
    let id = RecordId::random();
    let gift = meter.give(id, amount)?;
    let (team, from) = (team.clone(), cx.incarnation);
    let change = match to {
        Some(to) => Change::Transfer {
            team,
            from,
            to,
            at: gift.at,
            amount: gift.amount,
            lease: cx.settings.lease,
        },
        None => Change::Return {
            team,
            from,
            at: gift.at,
            amount: gift.amount,
        },
    };
    Some(Record {
        id,
        ..cx.streams.zone.record(change.into(), None)
    })
}

/// Makes the record that takes back what a gone holder had.
pub(crate) fn reclaim(holder: Incarnation, evidence: Evidence) -> ZoneChange {
    Change::Reclaim { holder, evidence }.into()
}

/// Returns everything that this entry does not use, before it stops, and waits up to `limit` until
/// the records are read back: the appending task ends with the process.
pub(crate) async fn give_all(cx: &Context, limit: Duration) -> usize {
    let mut records = Vec::new();
    for (team, meter) in cx.meters.all().iter() {
        if let Some(record) = gift(cx, team, meter, u64::MAX, None) {
            records.push(cx.streams.zone.propose_record(record, limit));
        }
    }
    let given = records.len();
    let unconfirmed = join_all(records)
        .await
        .iter()
        .filter(|r| r.is_err())
        .count();
    if unconfirmed > 0 {
        log::warn!(unconfirmed; "allotments were not confirmed as returned before the stop");
    }
    given
}
