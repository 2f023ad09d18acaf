//! What an entry shows of a deployment.

use std::collections::BTreeMap;

use lavenderhollow_config::Automatic;
use lavenderhollow_config::Config;
use lavenderhollow_core::maintenance::WaveStatus;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::WaveId;

use crate::context::Context;
use crate::summary;

use super::message::PoolView;
use super::message::StatusView;
use super::message::TeamView;
use super::message::WaveView;

/// Describes what this entry knows about the deployment.
pub(super) fn of(cx: &Context) -> StatusView {
    let now = cx.clock.now();
    let installed = cx.config.load_full();
    let config = &installed.config;
    let (age, in_force) = cx.with_freshness(|freshness| {
        let in_force = freshness.in_force(installed.version, now);
        (freshness.age(now), in_force)
    });
    let snapshot = cx.targets.snapshot.load();
    let closed = snapshot.closed().iter();
    let automatic = Automatic::ALL.iter();
    let (waves, drains) = waves(cx);
    StatusView {
        entry: cx.settings.name.to_string(),
        zone: cx.settings.zone.clone(),
        version: installed.version,
        config_age: age.map(|age| age.as_secs_f64()),
        takes_keyed: cx.check_fresh().is_ok(),
        unconfirmed: in_force.unconfirmed,
        pools: pools(cx, config),
        teams: teams(cx, config),
        waves,
        drains,
        closed_here: closed
            .map(|(reason, count)| (reason.to_string(), *count))
            .collect(),
        automatic: automatic
            .map(|action| (action.to_string(), config.automatic.is_on(*action)))
            .collect(),
    }
}

fn pools(cx: &Context, config: &Config) -> BTreeMap<PoolName, PoolView> {
    let snapshot = cx.targets.snapshot.load();
    cx.streams.fleet.read(|fold| {
        let maintenance = &fold.state().maintenance;
        let view = |(name, settings): (&PoolName, &lavenderhollow_config::Pool)| {
            let record = maintenance.pool(name);
            let view = PoolView {
                vms: record.map_or(0, |record| record.vms.len()),
                out: record.map_or(0, |record| record.out),
                max_unavailable: settings.max_unavailable,
                open_here: snapshot.open(name).len(),
            };
            (name.clone(), view)
        };
        config.pools.iter().map(view).collect()
    })
}

fn teams(cx: &Context, config: &Config) -> BTreeMap<TeamName, TeamView> {
    let summaries = cx.peers.summaries(cx.clock.now());
    let installed = cx.config.load_full();
    let view = |(name, settings): (&TeamName, &lavenderhollow_config::Team)| {
        let meter = cx.meters.meter(name);
        let place = summary::team_place(&installed, name).unwrap_or(u16::MAX);
        let elsewhere = summaries
            .iter()
            .filter(|peer| peer.zone == cx.settings.zone)
            .map(|peer| peer.summary.demand(installed.version, place).0);
        let used = u64::from(meter.used()) + elsewhere.sum::<u64>();
        let view = TeamView {
            limit: settings.limit,
            used_in_zone: u32::try_from(used).unwrap_or(u32::MAX),
            usable_here: meter.usable(),
            waiting_here: cx.pools.waiting(name),
        };
        (name.clone(), view)
    };
    config.teams.iter().map(view).collect()
}

fn waves(cx: &Context) -> (BTreeMap<WaveId, WaveView>, usize) {
    cx.streams.fleet.read(|fold| {
        let maintenance = &fold.state().maintenance;
        let waves = maintenance.waves().map(|(id, wave)| {
            let status = match wave.status {
                WaveStatus::Running => "running",
                WaveStatus::Paused => "paused",
                WaveStatus::Failing => "failing",
            };
            let view = WaveView {
                status: status.to_owned(),
                pools: wave.pools.clone(),
                touched: wave.touched,
                failed: wave.failed,
                left: maintenance.due(wave).count(),
            };
            (id, view)
        });
        (waves.collect(), maintenance.drains().count())
    })
}
