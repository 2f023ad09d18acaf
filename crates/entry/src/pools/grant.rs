//! What a request wants of a pool and what it is granted.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lavenderhollow_config::Resources;
use lavenderhollow_core::escrow::Slot;
use lavenderhollow_core::evidence::JobKey;
use lavenderhollow_core::membership::OpenTarget;
use lavenderhollow_core::membership::Pass;
use lavenderhollow_core::permit::Lease;
use lavenderhollow_core::placement::Place;
use lavenderhollow_core::queue::Class;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::VmName;
use tokio::sync::Notify;

/// Stands for callers without a key, who share one place in the order of teams.
const ANONYMOUS: &str = "_anonymous_";

/// What a request needs of its pool.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) pool: PoolName,
    pub(crate) queue: QueueName,
    pub(crate) team: Option<TeamName>,
    pub(crate) class: Class,
    pub(crate) run_time: Duration,
    pub(crate) size: Resources,
    /// Identifies what is submitted, to recognise what fails everywhere.
    pub(crate) job: JobKey,
}

impl Wanted {
    /// Returns the team that the request counts for in the shares.
    pub(super) fn share_team(&self) -> TeamName {
        self.team.clone().unwrap_or_else(anonymous)
    }
}

/// Returns the name that stands for callers without a key.
pub(super) fn anonymous() -> TeamName {
    TeamName::new(ANONYMOUS).expect("the name is valid")
}

/// Returns the key that a request is recognised by. It is used in this process only.
pub(crate) fn job_key(queue: &QueueName, team: Option<&TeamName>, body: &[u8]) -> JobKey {
    let mut hasher = DefaultHasher::new();
    (queue, team, body).hash(&mut hasher);
    hasher.finish()
}

/// The right to use a target and, for a team, a slot of its limit. Dropping it gives both back.
#[derive(Debug)]
pub(crate) struct Grant {
    pub(super) target: OpenTarget,
    pub(super) lease: Lease,
    pub(super) _pass: Pass,
    pub(super) _place: Place,
    pub(super) _slot: Option<Slot>,
    /// Dropped last, so that the pool is woken when everything else is free.
    pub(super) _use: Use,
}

impl Grant {
    pub(crate) fn vm(&self) -> &VmName {
        &self.target.vm
    }

    /// Returns the lease of the target as it was at the grant.
    pub(crate) fn lease(&self) -> &Lease {
        &self.lease
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.target.address
    }
}

/// Counts one running request of a team in a pool, and wakes the pools when it ends.
#[derive(Debug)]
pub(super) struct Use {
    count: Arc<AtomicU64>,
    wake: Arc<Notify>,
}

impl Use {
    pub(super) fn new(count: Arc<AtomicU64>, wake: Arc<Notify>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self { count, wake }
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
        self.wake.notify_one();
    }
}
