use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use lavenderhollow_types::EntryName;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;

use super::report::Report;
use super::report::ZoneReport;
use super::report::digest;

/// What an entry of the own zone said last.
#[derive(Clone, Debug)]
struct Peer {
    version: Version,
    reaches_log: bool,
    at: Instant,
}

/// What an entry of another zone said last about that zone.
#[derive(Clone, Debug)]
struct Heard {
    report: ZoneReport,
    at: Instant,
}

/// A statement about all entries of a zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneState {
    /// The version of each entry.
    pub(super) versions: BTreeMap<EntryName, Version>,
    /// The time at which no entry had reached the log.
    pub(super) cut_off: Option<Instant>,
}

/// The entries of one zone on the VM list.
#[derive(Clone, Debug, Default)]
struct Members {
    names: BTreeSet<EntryName>,
    digest: u64,
}

/// The entries of the VM list and the latest report of each zone.
#[derive(Clone, Debug)]
pub(super) struct Zones {
    own: ZoneName,
    entries: BTreeMap<ZoneName, Members>,
    peers: BTreeMap<EntryName, Peer>,
    heard: BTreeMap<ZoneName, Heard>,
}

impl Zones {
    pub(super) fn new(own: ZoneName) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            peers: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    pub(super) fn set_entries(&mut self, entries: impl Iterator<Item = (EntryName, ZoneName)>) {
        let mut names: BTreeMap<ZoneName, BTreeSet<EntryName>> = BTreeMap::new();
        for (entry, zone) in entries {
            names.entry(zone).or_default().insert(entry);
        }
        self.entries.retain(|zone, _| names.contains_key(zone));
        for (zone, names) in names {
            let members = self.entries.entry(zone).or_default();
            if members.names != names {
                members.digest = digest(&names);
                members.names = names;
            }
        }
        let members = self.entries.get(&self.own);
        self.peers
            .retain(|name, _| members.is_some_and(|members| members.names.contains(name)));
        self.heard.retain(|zone, _| self.entries.contains_key(zone));
    }

    pub(super) fn own(&self) -> &ZoneName {
        &self.own
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &ZoneName> {
        self.entries.keys()
    }

    /// Keeps a report unless it answers an earlier question than the one that is known.
    pub(super) fn heard(&mut self, report: &Report, sent: Instant) {
        if report.zone.zone != self.own {
            let newer = |heard: &Heard| heard.at <= sent;
            if self.heard.get(&report.zone.zone).is_none_or(newer) {
                let heard = Heard {
                    report: report.zone.clone(),
                    at: sent,
                };
                self.heard.insert(report.zone.zone.clone(), heard);
            }
        } else if self
            .peers
            .get(&report.entry)
            .is_none_or(|peer| peer.at <= sent)
        {
            let peer = Peer {
                version: report.version,
                reaches_log: report.reaches_log,
                at: sent,
            };
            self.peers.insert(report.entry.clone(), peer);
        }
    }

    /// Returns what is known about a zone. The own entry counts as just heard.
    pub(super) fn state(&self, zone: &ZoneName, own: &Own<'_>) -> ZoneState {
        let nobody = Members::default();
        let members = self.entries.get(zone).unwrap_or(&nobody);
        if *zone == self.own {
            self.own_state(members, own)
        } else {
            self.other_state(zone, members)
        }
    }

    /// Returns the report about the own zone.
    pub(super) fn report(&self, own: &Own<'_>) -> ZoneReport {
        let nobody = Members::default();
        let members = self.entries.get(&self.own).unwrap_or(&nobody);
        let state = self.own_state(members, own);
        let version = state.versions.values().max().copied().unwrap_or_default();
        let cut_off = state.cut_off;
        let mut behind = state.versions;
        behind.retain(|_, known| *known < version);
        ZoneReport {
            zone: self.own.clone(),
            members: members.digest,
            version,
            behind,
            cut_off: cut_off.map(|at| own.now.saturating_duration_since(at)),
        }
    }

    fn own_state(&self, members: &Members, own: &Own<'_>) -> ZoneState {
        let mut versions = BTreeMap::from([(own.entry.clone(), own.version)]);
        let mut cut_off = (!own.reaches_log).then_some(own.now);
        for member in members.names.iter().filter(|member| *member != own.entry) {
            let peer = self.peers.get(member);
            let version = peer.map_or(Version::default(), |peer| peer.version);
            versions.insert(member.clone(), version);
            let silent = peer.filter(|peer| !peer.reaches_log).map(|peer| peer.at);
            cut_off = cut_off.zip(silent).map(|(a, b)| a.min(b));
        }
        ZoneState { versions, cut_off }
    }

    fn other_state(&self, zone: &ZoneName, members: &Members) -> ZoneState {
        let heard = self.heard.get(zone);
        let matching = heard.filter(|heard| heard.report.members == members.digest);
        let Some(Heard { report, at }) = matching else {
            let unknown = members
                .names
                .iter()
                .map(|name| (name.clone(), Version::default()));
            return ZoneState {
                versions: unknown.collect(),
                cut_off: None,
            };
        };
        let version = |name: &EntryName| report.behind.get(name).copied();
        ZoneState {
            versions: members
                .names
                .iter()
                .map(|name| (name.clone(), version(name).unwrap_or(report.version)))
                .collect(),
            cut_off: report.cut_off.and_then(|age| at.checked_sub(age)),
        }
    }
}

/// The entry that looks at the zones.
#[derive(Clone, Copy, Debug)]
pub(super) struct Own<'a> {
    pub(super) entry: &'a EntryName,
    pub(super) version: Version,
    pub(super) reaches_log: bool,
    pub(super) now: Instant,
}
