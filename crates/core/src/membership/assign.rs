//! Assignment of workers to the entries of their zone.

use std::cmp::Reverse;
use std::time::Duration;

use lavenderhollow_types::EntryName;
use lavenderhollow_types::VmName;

/// How long each entry in the order of a worker waits for the one before it to take a lapsed
/// lease. Peers still count a paused entry as live for some seconds.
pub const TAKEOVER_STEP: Duration = Duration::from_secs(3);

/// Who holds the lease of a worker, as far as an entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// This entry holds the lease.
    Me,
    /// Another entry holds a lease that has not lapsed.
    Other,
    /// Nobody holds the lease since this long ago: it lapsed or was given back.
    Nobody(Duration),
}

/// What an entry does about the lease of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Ask the worker for the lease; the worker decides.
    Take,
    /// Renew the lease.
    Renew,
    /// Give the lease back as soon as none of this entry's work is on the worker and no drain of
    /// it is between its stages.
    GiveBack,
    /// Leave the lease alone.
    Leave,
}

/// Returns the live entries in the order in which they take the lease of a worker.
///
/// Every entry that knows the same live entries computes the same order, and an entry that comes
/// or goes changes the order of the others for no worker.
pub fn ranked<'a>(
    vm: &VmName,
    live: impl IntoIterator<Item = &'a EntryName>,
) -> Vec<&'a EntryName> {
    let mut entries: Vec<_> = live.into_iter().collect();
    entries.sort_by_cached_key(|entry| (Reverse(weight(vm, entry)), (*entry).clone()));
    entries.dedup();
    entries
}

/// Returns the live entry that should hold the lease of a worker.
pub fn owner<'a>(
    vm: &VmName,
    live: impl IntoIterator<Item = &'a EntryName>,
) -> Option<&'a EntryName> {
    live.into_iter()
        .max_by_key(|entry| (weight(vm, entry), Reverse(*entry)))
}

/// Decides what the entry `me` does about the lease of a worker.
pub fn lease_action<'a>(
    me: &EntryName,
    vm: &VmName,
    live: impl IntoIterator<Item = &'a EntryName>,
    holder: Holder,
) -> LeaseAction {
    let order = ranked(vm, live);
    let Some(rank) = order.iter().position(|entry| *entry == me) else {
        return match holder {
            Holder::Me => LeaseAction::GiveBack,
            Holder::Other | Holder::Nobody(_) => LeaseAction::Leave,
        };
    };
    let turn = TAKEOVER_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
    match holder {
        Holder::Me if rank == 0 => LeaseAction::Renew,
        Holder::Me => LeaseAction::GiveBack,
        Holder::Nobody(since) if since >= turn => LeaseAction::Take,
        Holder::Other | Holder::Nobody(_) => LeaseAction::Leave,
    }
}

/// Hashes a worker and an entry with FNV-1a and the finaliser of SplitMix64. The result is the
/// same in every process and version, unlike that of the standard hasher.
fn weight(vm: &VmName, entry: &EntryName) -> u64 {
    let bytes = vm.as_str().bytes().chain([0]).chain(entry.as_str().bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
