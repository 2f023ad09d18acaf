//! The leases of silent workers, whose latest ends an owner hands over with the shard.
//!
//! A new owner can't know until when an earlier one renewed the lease of a worker that does not
//! respond, and has to assume that this went on until shortly after it acquired the shard. An owner
//! therefore stores for how long at most the lease of each silent worker can still last. From then
//! on it renews this lease only after it has stored that the worker is silent no longer.
//!
//! The time is stored as a length from the storing of the record on. The clocks of two VMs may
//! differ, so the time between the storing and the next claim doesn't count.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::Name;
use crate::polling::EXPIRY_MARGIN;
use crate::records::Record;
use crate::records::StoredLease;
use crate::records::lease_record;
use crate::shard::Shard;
use crate::shard::Timestamp;
use crate::worker::RunId;
use crate::worker::Worker;

/// How long a worker has to be silent before the end of its lease is stored. A worker whose
/// connections were reset responds to the next poll, and needs no record.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// By how much the stored remaining time of a lease may exceed the actual one before it is stored
/// anew.
const MAX_EXCESS: Duration = Duration::from_millis(500);

/// The time at which the lease of an incarnation of a worker has ended for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseEnd {
    pub(crate) incarnation: u64,
    pub(crate) at: Instant,
}

impl LeaseEnd {
    /// Returns the record of the lease as of `now`.
    pub(crate) fn stored(self, now: Instant) -> StoredLease {
        StoredLease {
            incarnation: self.incarnation,
            remaining: self.at.saturating_duration_since(now),
        }
    }
}

/// What an owner knows about the leases of silent workers, and what is stored of it.
#[derive(Debug, Default)]
pub(crate) struct SilentLeases {
    /// The ends of the leases that earlier owners granted to workers with recovered runs.
    earlier: BTreeMap<Name, LeaseEnd>,
    /// The remaining times of the last record that was created, whether or not it is stored yet.
    recorded: BTreeMap<Name, StoredLease>,
    /// The workers whose leases must not be renewed, because a successor may rely on a record.
    withheld: BTreeSet<Name>,
    /// The record for the next batch.
    pending: Option<Record>,
}

impl SilentLeases {
    /// Returns whether the lease of a worker must not be renewed.
    pub(crate) fn is_withheld(&self, worker_id: &Name) -> bool {
        self.withheld.contains(worker_id)
    }

    /// Takes the record for the next batch, with the workers that it names.
    pub(crate) fn take_record(&mut self) -> Option<(Record, BTreeSet<Name>)> {
        let record = self.pending.take()?;
        Some((record, self.recorded.keys().cloned().collect()))
    }

    /// Handles that a record which names `silent` is stored. Returns the workers whose leases may be
    /// renewed again.
    pub(crate) fn handle_stored(&mut self, silent: BTreeSet<Name>) -> Vec<Name> {
        let mut withheld = silent;
        withheld.extend(self.recorded.keys().cloned());
        let released = self.withheld.difference(&withheld).cloned().collect();
        self.withheld = withheld;
        released
    }

    /// Drops what earlier owners granted to a worker that has no runs any more.
    pub(crate) fn forget(&mut self, worker_id: &Name) {
        self.earlier.remove(worker_id);
    }

    /// Returns whether the last record names the same leases, and none that ends noticeably sooner
    /// than it says.
    fn is_current(&self, leases: &BTreeMap<Name, StoredLease>) -> bool {
        self.recorded.len() == leases.len()
            && self.recorded.iter().all(|(id, recorded)| {
                leases.get(id).is_some_and(|lease| {
                    lease.incarnation == recorded.incarnation
                        && lease.remaining <= recorded.remaining
                        && recorded.remaining - lease.remaining < MAX_EXCESS
                })
            })
    }

    /// Creates the record of `leases`, and withholds them.
    fn record(&mut self, leases: BTreeMap<Name, StoredLease>) -> Record {
        self.withheld.extend(leases.keys().cloned());
        self.recorded = leases;
        lease_record(&self.recorded)
    }
}

impl Shard {
    /// Returns for how long after it acquired the shard an owner has to expect leases that earlier
    /// owners granted.
    ///
    /// An earlier owner may have gone on granting leases for `takeover_wait`. A lease lasts about
    /// 2 % longer on a worker whose clock is as slow as the platform allows.
    fn earlier_lease(&self) -> Duration {
        self.timings.takeover_wait + self.timings.lease.mul_f64(1.02)
    }

    /// Restores the ends of the leases of workers with recovered runs. `stored` are those that the
    /// previous owner stored, or an earlier one whose record is still valid.
    pub(crate) fn restore_leases(&mut self, stored: BTreeMap<Name, StoredLease>) {
        let at = self.owned_since + self.earlier_lease();
        let runs: Vec<RunId> = self.jobs.keys().flat_map(|&id| self.runs_of(id)).collect();
        for id in runs {
            let Some((worker, incarnation)) =
                self.run(id).map(|r| (Arc::clone(&r.worker), r.incarnation))
            else {
                continue;
            };
            let end = self.silent_leases.earlier.entry(worker);
            let end = end.or_insert(LeaseEnd { incarnation, at });
            end.incarnation = end.incarnation.max(incarnation);
        }
        for (id, lease) in &stored {
            let Some(end) = self.silent_leases.earlier.get_mut(id) else {
                continue;
            };
            if lease.incarnation >= end.incarnation {
                *end = LeaseEnd {
                    incarnation: lease.incarnation,
                    at: self.owned_since + lease.remaining,
                };
                self.log_event("silent_worker_inherited", id, || {
                    format!("remaining_ms={}", lease.remaining.as_millis())
                });
            }
        }
        for (id, end) in &mut self.silent_leases.earlier {
            if let Some(at) = self.restart_leases.earlier(id) {
                end.at = end.at.max(at);
            }
        }
        self.silent_leases.withheld = stored.keys().cloned().collect();
        self.silent_leases.recorded = stored;
    }

    /// Returns when the lease of a worker has ended for certain, if nothing renews it any more.
    pub(crate) fn lease_end(&self, worker: &Worker) -> Instant {
        let granted = self.granted_lease_end(worker);
        let misdirected = worker.misdirected_lease_end;
        misdirected.map_or(granted, |at| at.max(granted))
    }

    /// Returns when the leases that this owner and earlier ones granted to a worker's incarnation
    /// have ended for certain.
    fn granted_lease_end(&self, worker: &Worker) -> Instant {
        if let (true, Some(at)) = (worker.synced, worker.lease.expires_at()) {
            return at;
        }
        // Until this owner has granted a lease to this incarnation, one that an earlier owner
        // granted may still be valid.
        match self.silent_leases.earlier.get(&worker.info.id) {
            Some(end) if end.incarnation == worker.info.incarnation => end.at,
            _ => worker.incarnation_since + self.earlier_lease(),
        }
    }

    /// Returns the recovered runs whose leases have ended, on workers that this owner does not know.
    pub(crate) fn take_expired_orphans(&mut self, now: Instant) -> Vec<RunId> {
        let workers = &self.workers;
        let earlier = &mut self.silent_leases.earlier;
        let ended = earlier.extract_if(.., |id, end| {
            workers.get(id).is_none() && end.at + EXPIRY_MARGIN <= now
        });
        let unattached = ended.filter_map(|(id, _)| self.unattached.get(&id));
        unattached.flatten().copied().collect()
    }

    /// Creates a record of the leases of silent workers for the next batch if the last one differs.
    pub(crate) fn update_lease_record(&mut self, now: Instant) {
        let is_silent = |since, calls_failed| {
            calls_failed && now.saturating_duration_since(since) >= MIN_SILENCE
        };
        let leases = self.leases_to_store(now, is_silent);
        if !self.silent_leases.is_current(&leases) {
            self.silent_leases.pending = Some(self.silent_leases.record(leases));
        }
    }

    /// Returns the records to store last before the shard is released. The record of the leases names
    /// the workers that have not responded to this owner and those that may hold longer leases than
    /// it granted, so that its successor doesn't consider their runs lost too early. The record of the
    /// pairs of images that are kept apart is absent if the stored one is still valid.
    pub fn release_records(&mut self, at: Timestamp) -> Vec<Record> {
        let mut records: Vec<Record> = self.release_slowdowns(at).into_iter().collect();
        let mut leases = self.leases_to_store(at.now, |_, _| true);
        leases.extend(self.misdirected_leases(at.now));
        if !leases.is_empty() || !self.silent_leases.recorded.is_empty() {
            records.push(self.silent_leases.record(leases));
        }
        records
    }

    /// Returns the remaining leases of the workers with runs that may hold leases on the clock of an
    /// earlier incarnation.
    fn misdirected_leases(&self, now: Instant) -> BTreeMap<Name, StoredLease> {
        let workers = self.workers.iter();
        let holders = workers.filter(|(_, worker)| {
            let end = worker.misdirected_lease_end;
            !worker.runs.is_empty() && end.is_some_and(|end| end > now)
        });
        holders
            .map(|(id, worker)| {
                let end = LeaseEnd {
                    incarnation: worker.info.incarnation,
                    at: self.lease_end(worker),
                };
                (Arc::clone(id), end.stored(now))
            })
            .collect()
    }

    /// Returns the remaining leases of the workers with runs that are silent according to
    /// `is_silent`, which gets the last contact and whether calls have failed since. Of those in the
    /// last record, all that still are silent are returned.
    fn leases_to_store(
        &self,
        now: Instant,
        is_silent: impl Fn(Instant, bool) -> bool,
    ) -> BTreeMap<Name, StoredLease> {
        let recorded = &self.silent_leases.recorded;
        let known = self.workers.iter().filter_map(|(id, worker)| {
            let since = worker.silent_since.filter(|_| !worker.runs.is_empty())?;
            let end = LeaseEnd {
                incarnation: worker.info.incarnation,
                at: self.lease_end(worker),
            };
            let is_silent = recorded.contains_key(id) || is_silent(since, !worker.reachable);
            is_silent.then_some((id, end))
        });
        let orphaned = self.silent_leases.earlier.iter().filter_map(|(id, end)| {
            let is_silent = recorded.contains_key(id) || is_silent(self.owned_since, true);
            (is_silent && self.workers.get(id).is_none()).then_some((id, *end))
        });
        let all = known.chain(orphaned);
        all.map(|(id, end)| (Arc::clone(id), end.stored(now)))
            .collect()
    }
}
