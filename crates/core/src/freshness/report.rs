use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lavenderhollow_types::EntryName;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// What an entry answers to a peer that asks about its configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The entry.
    pub entry: EntryName,
    /// The version that the entry has installed.
    pub version: Version,
    /// The time since which changes may have been accepted that this version does not have.
    pub age: Option<Duration>,
    /// Whether the last attempt of the entry to read the log succeeded.
    pub reaches_log: bool,
    /// The greatest version that the entry has heard of.
    pub greatest: Version,
    /// What the entry knows about its zone.
    pub zone: ZoneReport,
}

/// The state of all entries of one availability zone, as one of them knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    pub zone: ZoneName,
    /// The digest of the names of the entries that the report is about. A receiver whose VM list
    /// has other entries for the zone can't use the report for them.
    pub members: u64,
    /// The greatest version that an entry of the zone has installed.
    pub version: Version,
    /// The entries that have a smaller version; zero stands for entries that were not heard.
    pub behind: BTreeMap<EntryName, Version>,
    /// The age of the statement that no entry of the zone reaches the log; nothing when an entry
    /// reaches it or was not heard.
    pub cut_off: Option<Duration>,
}

/// Returns a short digest of a set of names, the same in every entry.
pub(super) fn digest(names: &BTreeSet<EntryName>) -> u64 {
    let mut hash = Sha256::new();
    for name in names {
        hash.update(name.as_str());
        hash.update(b"\n");
    }
    let bytes: [u8; 32] = hash.finalize().into();
    bytes
        .iter()
        .take(8)
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}
