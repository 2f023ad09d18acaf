//! The leases that calls meant for an earlier incarnation of a worker may have granted to a later one,
//! and their record in the store.
//!
//! The deadlines in such calls are on another clock, so that the leases may be as long as the platform
//! allows. An owner that ends without releasing its shard can't hand them over then, so it stores until
//! when they last at the latest as soon as it learns of a restart, before it starts tasks on the new
//! incarnation. A successor adds this to what it assumes of its predecessor's own leases.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use crate::job::Name;
use crate::records::Record;
use crate::records::StoredLease;
use crate::records::restarts_record;
use crate::shard::Shard;
use crate::silent_leases::LeaseEnd;

/// What an owner knows of these leases beside its own workers, and what is stored of them.
#[derive(Debug, Default)]
pub(crate) struct RestartLeases {
    /// The ends of the leases that earlier owners stored.
    earlier: BTreeMap<Name, LeaseEnd>,
    /// The ends in the last record that was created, whether or not it is stored yet.
    recorded: BTreeMap<Name, LeaseEnd>,
    /// The record for the next batch.
    pending: Option<Record>,
}

impl RestartLeases {
    /// Takes the record for the next batch.
    pub(crate) fn take_record(&mut self) -> Option<Record> {
        self.pending.take()
    }

    /// Returns when the lease of a worker ends that an earlier owner stored.
    pub(crate) fn earlier(&self, worker_id: &Name) -> Option<Instant> {
        self.earlier.get(worker_id).map(|end| end.at)
    }
}

impl Shard {
    /// Restores the leases that earlier owners stored. The time between the storing and the claim
    /// doesn't count, since the clocks of two VMs may differ.
    pub(crate) fn restore_restart_leases(&mut self, stored: BTreeMap<Name, StoredLease>) {
        for (id, lease) in &stored {
            self.log_event("restart_lease_inherited", id, || {
                let remaining = lease.remaining.as_millis();
                format!("born={} remaining_ms={remaining}", lease.incarnation)
            });
        }
        let owned_since = self.owned_since;
        let ends = stored.into_iter().map(|(id, lease)| {
            let end = LeaseEnd {
                incarnation: lease.incarnation,
                at: owned_since + lease.remaining,
            };
            (id, end)
        });
        let ends: BTreeMap<Name, LeaseEnd> = ends.collect();
        self.restart_leases.recorded.clone_from(&ends);
        self.restart_leases.earlier = ends;
    }

    /// Creates a record for the next batch if a lease has become known that the last one lacks, or if
    /// all of those in it have ended. After each restart there is one, so that a higher fencing token
    /// follows it.
    pub(crate) fn update_restart_record(&mut self, now: Instant) {
        let mut ends = self.restart_leases.earlier.clone();
        for (id, worker) in self.workers.iter() {
            if let Some(at) = worker.misdirected_lease_end {
                let end = LeaseEnd {
                    incarnation: worker.info.incarnation,
                    at,
                };
                ends.insert(Arc::clone(id), end);
            }
        }
        ends.retain(|_, end| end.at > now);
        let leases = &mut self.restart_leases;
        let is_covered = |id: &Name, end: &LeaseEnd| {
            let recorded = leases.recorded.get(id);
            recorded.is_some_and(|r| r.incarnation == end.incarnation && r.at >= end.at)
        };
        let is_missing = ends.iter().any(|(id, end)| !is_covered(id, end));
        let is_required = !self.restarted.is_empty();
        if is_required || is_missing || ends.is_empty() && !leases.recorded.is_empty() {
            let stored = ends
                .iter()
                .map(|(id, end)| (Arc::clone(id), end.stored(now)));
            leases.pending = Some(restarts_record(&stored.collect()));
            leases.recorded = ends;
        }
    }
}
