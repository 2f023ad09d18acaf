//! What the process does with what it reads from its streams.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Instant;

use lavenderhollow_config::Config;
use lavenderhollow_core::configuration::ConfigState;
use lavenderhollow_core::fleet::FleetState;
use lavenderhollow_core::follower::Event;
use lavenderhollow_core::follower::Follower;
use lavenderhollow_core::freshness::Installed;
use lavenderhollow_core::zone::ZoneState;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;

use crate::context::Context;
use crate::metric;
use crate::stream::Observer;

/// Installs a configuration unless the present one is as new.
pub(crate) fn install(cx: &Context, version: Version, config: &Arc<Config>) {
    let zones: Vec<_> = config.zones.keys().cloned().collect();
    if cx
        .config
        .install(Installed::new(version, Arc::clone(config)))
    {
        cx.pools.configure(config, cx.clock.now());
        metrics::gauge!(metric::CONFIG_VERSION).set(version.get() as f64);
        log::info!(version = version.get(); "configuration installed");
    }
    cx.with_freshness(|freshness| freshness.installed(version, zones));
}

/// Observes the `config` stream.
pub(crate) struct ConfigObserver(pub(crate) Weak<Context>);

impl Observer<ConfigState> for ConfigObserver {
    fn folded(
        &self,
        follower: &Follower<ConfigState>,
        _: &[Event<ConfigState>],
        at_head: Option<Instant>,
    ) {
        let Some(cx) = self.0.upgrade() else {
            return;
        };
        let state = follower.state();
        let version = state.version();
        if version > cx.config.load().version {
            install(&cx, version, state.config());
        }
        cx.with_freshness(|freshness| match at_head {
            Some(sent) => freshness.log_read(version, sent),
            None => freshness.log_reached(),
        });
        report_age(&cx);
    }

    fn unreachable(&self) {
        if let Some(cx) = self.0.upgrade() {
            cx.with_freshness(lavenderhollow_core::freshness::Freshness::log_failed);
            report_age(&cx);
        }
    }
}

fn report_age(cx: &Context) {
    let now = cx.clock.now();
    if let Some(age) = cx.with_freshness(|freshness| freshness.age(now)) {
        metrics::gauge!(metric::CONFIG_AGE).set(age.as_secs_f64());
    }
}

/// Observes the `fleet` stream.
pub(crate) struct FleetObserver(pub(crate) Weak<Context>);

impl Observer<FleetState> for FleetObserver {
    fn folded(
        &self,
        follower: &Follower<FleetState>,
        _: &[Event<FleetState>],
        at_head: Option<Instant>,
    ) {
        let Some(cx) = self.0.upgrade() else {
            return;
        };
        let now = cx.clock.now();
        if let Some(confirmed) = at_head {
            let maintenance = &follower.state().maintenance;
            cx.targets.on_fold(maintenance, confirmed, now);
            cx.pools.set_vms(maintenance);
            cx.pools.targets_changed(&cx);
        }
    }

    fn unreachable(&self) {
        let Some(cx) = self.0.upgrade() else {
            return;
        };
        let now = cx.clock.now();
        if let Some(since) = unchanged_since(&cx, now) {
            cx.streams.fleet.read(|fold| {
                let maintenance = &fold.state().maintenance;
                cx.targets.on_unchanged(maintenance, since, now);
            });
            cx.pools.targets_changed(&cx);
        }
    }
}

/// Returns since when no entry can have read a new record, when every zone was heard and none
/// reaches the log.
fn unchanged_since(cx: &Context, now: Instant) -> Option<Instant> {
    cx.with_freshness(|freshness| {
        let known = freshness.keyed_until(now)?;
        let known = known.checked_sub(cx.settings.staleness_bound)?;
        // Without this the time may be that of a read of the `config` stream by a peer, which says
        // nothing about the `fleet` stream.
        let by_zones = freshness.age(now)? > now.saturating_duration_since(known);
        (by_zones && !freshness.reaches_log()).then_some(known)
    })
}

/// Observes the stream of the entry's zone.
pub(crate) struct ZoneObserver(pub(crate) Weak<Context>);

impl Observer<ZoneState> for ZoneObserver {
    fn folded(
        &self,
        follower: &Follower<ZoneState>,
        events: &[Event<ZoneState>],
        _: Option<Instant>,
    ) {
        let Some(cx) = self.0.upgrade() else {
            return;
        };
        let settled: Vec<RecordId> = events
            .iter()
            .filter_map(|event| match event {
                Event::Settled { id, .. } => Some(*id),
                _ => None,
            })
            .collect();
        let allotments = &follower.state().allotments;
        for team in allotments.teams.keys() {
            let account = allotments.account(team, &cx.incarnation);
            cx.meters.meter(team).read(account, &settled);
        }
        cx.pools.wake();
        cx.jobs.wake.notify_one();
    }
}
