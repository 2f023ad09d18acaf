use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::EntryName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;

use super::report::Report;
use super::view::InForce;
use super::zones::Own;
use super::zones::Zones;

/// The default age up to which a configuration counts as fresh. Of the 8 s in which a change is in
/// force, it leaves 3 s for the operator's tool and the log.
pub const STALENESS_BOUND: Duration = Duration::from_secs(5);

/// Knows how fresh the installed configuration is and where its version is in force.
///
/// A confirmation at an instant means that the installed configuration has every change that was
/// accepted before that instant. It stays true when a newer configuration is installed.
#[derive(Clone, Debug)]
pub struct Freshness {
    entry: EntryName,
    bound: Duration,
    version: Version,
    confirmed: Option<Instant>,
    /// The greatest version that was heard of, and a confirmation that holds once it is installed.
    greatest: Version,
    promised: Option<Instant>,
    reaches_log: bool,
    configured: BTreeSet<ZoneName>,
    zones: Zones,
}

impl Freshness {
    /// Creates the state of an entry without a configuration.
    pub fn new(entry: EntryName, zone: ZoneName, bound: Duration) -> Self {
        Self {
            entry,
            bound,
            version: Version::default(),
            confirmed: None,
            greatest: Version::default(),
            promised: None,
            reaches_log: false,
            configured: BTreeSet::new(),
            zones: Zones::new(zone),
        }
    }

    /// Takes the entries of the VM list.
    pub fn set_entries(&mut self, entries: impl IntoIterator<Item = (EntryName, ZoneName)>) {
        self.zones.set_entries(entries.into_iter());
    }

    /// Notes that a configuration with these zones is installed. An older version changes nothing.
    pub fn installed(&mut self, version: Version, zones: impl IntoIterator<Item = ZoneName>) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.configured = zones.into_iter().collect();
        if version >= self.greatest {
            self.greatest = version;
            self.confirmed = self.confirmed.max(self.promised.take());
        }
    }

    /// Notes a read of the log, begun at `sent`, after which the fold of this entry was at the log's
    /// head with this configuration version.
    pub fn log_read(&mut self, version: Version, sent: Instant) {
        self.reaches_log = true;
        self.confirm(version, sent);
    }

    /// Notes a read of the log that succeeded but did not get to its head.
    pub fn log_reached(&mut self) {
        self.reaches_log = true;
    }

    /// Notes that a read of the log failed.
    pub fn log_failed(&mut self) {
        self.reaches_log = false;
    }

    /// Takes a peer's answer to a question that was sent at `sent`. The whole time since then counts
    /// as age, because it is not known when in it the peer answered.
    pub fn heard(&mut self, report: &Report, sent: Instant) {
        self.noticed(report.version.max(report.greatest));
        if let Some(at) = report.age.and_then(|age| sent.checked_sub(age)) {
            self.confirm(report.version, at);
        }
        self.zones.heard(report, sent);
    }

    /// Notes that a version exists, from a message whose age is not known.
    pub fn noticed(&mut self, version: Version) {
        if version > self.greatest {
            self.greatest = version;
            self.promised = None;
        }
    }

    /// Returns the report that answers a peer's question.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            entry: self.entry.clone(),
            version: self.version,
            age: self.age(now),
            reaches_log: self.reaches_log,
            greatest: self.greatest,
            zone: self.zones.report(&self.own(now)),
        }
    }

    /// Tells whether the last attempt of this entry to read the log succeeded.
    pub fn reaches_log(&self) -> bool {
        self.reaches_log
    }

    /// Returns the latest instant at which no entry of this zone had reached the log, if all of them
    /// were heard.
    pub fn zone_cut_off(&self, now: Instant) -> Option<Instant> {
        let own = self.own(now);
        self.zones.state(self.zones.own(), &own).cut_off
    }

    /// Returns the time since the installed configuration was confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// Returns the instant up to which keyed work may be taken if nothing more is heard.
    pub fn keyed_until(&self, now: Instant) -> Option<Instant> {
        let known = self.confirmed.max(self.unchanged(now))?;
        Some(known + self.bound)
    }

    /// Refuses keyed work when the configuration is not confirmed fresh.
    ///
    /// # Errors
    ///
    /// Refuses with [`RefusalKind::Stale`].
    pub fn check(&self, now: Instant) -> Result<(), Refusal> {
        if self.keyed_until(now).is_some_and(|until| now <= until) {
            return Ok(());
        }
        let detail = "the configuration is not confirmed by the log or the other zones";
        Err(Refusal::new(RefusalKind::Stale, detail).retry_after(self.bound))
    }

    /// Tells which entries have a version, as far as the reports say.
    pub fn in_force(&self, version: Version, now: Instant) -> InForce {
        let mut view = InForce::default();
        for zone in self.every_zone() {
            let state = self.zones.state(zone, &self.own(now));
            let confirmed = state.versions.values().all(|known| *known >= version);
            if state.versions.is_empty() || !confirmed {
                view.unconfirmed.insert(zone.clone());
            }
            view.entries.extend(state.versions);
        }
        view
    }

    fn confirm(&mut self, version: Version, at: Instant) {
        self.noticed(version);
        if version <= self.version {
            self.confirmed = self.confirmed.max(Some(at));
        } else if version == self.greatest {
            self.promised = self.promised.max(Some(at));
        }
    }

    /// Returns the latest instant before which no entry can have accepted a change: every zone says
    /// that it does not reach the log, and nobody has a newer version.
    fn unchanged(&self, now: Instant) -> Option<Instant> {
        if self.version == Version::default() || self.greatest > self.version {
            return None;
        }
        let own = self.own(now);
        let mut oldest = now;
        for zone in self.every_zone() {
            oldest = oldest.min(self.zones.state(zone, &own).cut_off?);
        }
        Some(oldest)
    }

    fn every_zone(&self) -> BTreeSet<&ZoneName> {
        self.configured.iter().chain(self.zones.names()).collect()
    }

    fn own(&self, now: Instant) -> Own<'_> {
        Own {
            entry: &self.entry,
            version: self.version,
            reaches_log: self.reaches_log,
            now,
        }
    }
}
