//! One target as an entry sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::VmName;

use super::Gate;
use super::Pass;
use crate::maintenance::Usage;

/// The ages above which a target is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The age of what the target reported last.
    pub probe: Duration,
    /// The age of the latest confirmation that the fold was at the log's head.
    pub fold: Duration,
    /// How long before its end a lease is no longer used for starts.
    pub lease_margin: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            probe: Duration::from_secs(3),
            fold: Duration::from_secs(5),
            lease_margin: Duration::from_millis(500),
        }
    }
}

/// A target of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// The VM.
    pub vm: VmName,
    /// Where its worker listens.
    pub address: SocketAddr,
    /// Whether the platform is removing it.
    pub leaving: bool,
}

/// Why a target gets no work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Closed {
    /// The target is not known.
    #[display("unknown")]
    Unknown,
    /// The latest list does not show it.
    #[display("unlisted")]
    Unlisted,
    /// It is leaving, by the list or by its own report.
    #[display("leaving")]
    Leaving,
    /// The fold does not know it yet.
    #[display("unrecorded")]
    Unrecorded,
    /// A drain is recorded.
    #[display("draining")]
    Draining,
    /// It is recorded as out of service.
    #[display("out")]
    Out,
    /// This entry does not hold its lease.
    #[display("no lease")]
    NoLease,
    /// It has reported nothing within the bound.
    #[display("not answering")]
    NotAnswering,
    /// The fold was not confirmed within the bound, so that a drain may have been missed.
    #[display("fold is stale")]
    StaleFold,
}

/// A target that may get work until a given time.
#[derive(Clone, Debug)]
pub struct OpenTarget {
    /// The VM.
    pub vm: VmName,
    /// Where its worker listens.
    pub address: SocketAddr,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// The end of the lease, which goes into each start request.
    pub lease_end: Instant,
    /// The time from which no work may be started without a newer snapshot.
    pub until: Instant,
    /// Counts the requests in flight.
    pub gate: Arc<Gate>,
}

impl OpenTarget {
    /// Counts a request in, unless the target has closed since the snapshot or by its age. The
    /// caller keeps the pass until the end of the request is known.
    pub fn enter(&self, now: Instant) -> Option<Pass> {
        (now < self.until).then(|| self.gate.enter()).flatten()
    }
}

/// The facts about one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Target {
    pub(super) listed: Option<ListedTarget>,
    pub(super) usage: Option<Usage>,
    pub(super) lease_since: Option<Instant>,
    pub(super) lease_end: Option<Instant>,
    pub(super) pool: Option<PoolName>,
    pub(super) draining: bool,
    pub(super) out: bool,
    pub(super) gate: Arc<Gate>,
}

impl Target {
    /// Returns the target with the time until which it is open.
    pub(super) fn open(
        &self,
        bounds: &Bounds,
        folded: Option<Instant>,
        now: Instant,
    ) -> Result<OpenTarget, Closed> {
        let listed = self.listed.as_ref().ok_or(Closed::Unlisted)?;
        if listed.leaving || self.usage.is_some_and(|usage| usage.leaving) {
            return Err(Closed::Leaving);
        }
        let pool = self.pool.as_ref().ok_or(Closed::Unrecorded)?;
        if self.draining {
            return Err(Closed::Draining);
        }
        if self.out {
            return Err(Closed::Out);
        }
        let lease_end = self.lease_end.ok_or(Closed::NoLease)?;
        let lease = lease_end.checked_sub(bounds.lease_margin);
        let lease = lease.filter(|end| now < *end).ok_or(Closed::NoLease)?;
        let probe = self.usage.map(|usage| usage.as_of + bounds.probe);
        let probe = probe.filter(|end| now < *end).ok_or(Closed::NotAnswering)?;
        let fold = folded.map(|at| at + bounds.fold);
        let fold = fold.filter(|end| now < *end).ok_or(Closed::StaleFold)?;
        Ok(OpenTarget {
            vm: listed.vm.clone(),
            address: listed.address,
            pool: pool.clone(),
            lease_end,
            until: lease.min(probe).min(fold),
            gate: Arc::clone(&self.gate),
        })
    }
}
