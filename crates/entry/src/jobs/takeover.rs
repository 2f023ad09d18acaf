//! Takeover of the jobs and reclaim of the allotments of entries that have ended.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Instant;

use lavenderhollow_config::Automatic;
use lavenderhollow_core::escrow::CLOCK_MARGIN;
use lavenderhollow_core::escrow::Evidence;
use lavenderhollow_core::jobs::JobChange;
use lavenderhollow_core::jobs::LEASE_MARGIN;
use lavenderhollow_core::jobs::Stage;
use lavenderhollow_core::zone::ZoneChange;
use lavenderhollow_types::Incarnation;

use crate::allotments;
use crate::context::Context;
use crate::metric;

/// Takes over the jobs and reclaims the allotments of entries of the zone that have ended.
pub(super) fn take_over(cx: &Arc<Context>) {
    let now = cx.clock.now();
    let Some(known) = cx.peers.incarnations(cx.incarnation, now) else {
        return;
    };
    let config = cx.config.load_full();
    let (owners, holders) = cx.streams.zone.read(|fold| {
        let state = fold.state();
        let owners: BTreeSet<_> = state.jobs.owners().filter(|o| !known.contains(o)).collect();
        let teams = state.allotments.teams.values();
        let holders = teams.flat_map(|team| team.holders.keys().copied());
        let holders: BTreeSet<_> = holders.filter(|h| !known.contains(h)).collect();
        (owners, holders)
    });
    let mut gone = cx.jobs.gone.lock().unwrap_or_else(PoisonError::into_inner);
    gone.retain(|who, _| owners.contains(who) || holders.contains(who));
    for who in owners.iter().chain(&holders) {
        gone.entry(*who).or_insert(now);
    }
    let over = |at: &Instant, margin| now >= *at + cx.settings.lease + margin;
    if config.config.automatic.is_on(Automatic::Reclaims) {
        for holder in &holders {
            // The fold compares the evidence with the log's clock, hence the larger margin.
            let at = gone.get(holder).filter(|at| over(at, CLOCK_MARGIN));
            if let Some(at) = at
                && cx.jobs.may_reclaim(*holder, now)
            {
                let evidence = Evidence {
                    gone: cx.clock.wall() - now.saturating_duration_since(*at),
                };
                let change = allotments::reclaim(*holder, evidence);
                cx.streams.zone.submit(change, None);
            }
        }
    }
    for owner in &owners {
        let ended = gone.get(owner).is_some_and(|at| over(at, LEASE_MARGIN));
        take_over_jobs(cx, *owner, ended);
    }
}

/// Takes over waiting jobs at once, and running ones after their leases have ended.
fn take_over_jobs(cx: &Context, owner: Incarnation, ended: bool) {
    let changes: Vec<ZoneChange> = cx.streams.zone.read(|fold| {
        let jobs = &fold.state().jobs;
        let owned = jobs.owned(owner).filter_map(|id| {
            let job = jobs.get(id)?;
            let taken = match &job.stage {
                Stage::Waiting => Some((id, None)),
                Stage::Running(attempt) if ended => Some((id, Some(attempt.id))),
                _ => None,
            };
            taken.filter(|_| cx.jobs.may_ask(id, cx.clock.now()))
        });
        owned
            .map(|(job, attempt)| JobChange::TakeOver { job, attempt }.into())
            .collect()
    });
    for change in changes {
        metrics::counter!(metric::JOBS, "event" => "takeover").increment(1);
        cx.streams.zone.submit(change, None);
    }
}
