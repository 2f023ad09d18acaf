//! Which peers respond to this process.
//!
//! A peer is unresponsive if a call has had no answer for [`MAX_SILENCE`] and no answer to any other
//! call has arrived since, or if no connection to it can be opened. It gets no requests then, but only
//! probes, and counts as responsive with its first answer. The alarm may be false, for example while
//! the peer or this process lacks processor time; requests are then merely sent later.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;

/// The time without an answer after which a peer is probed. Most calls are answered by then, also by a
/// slow peer.
pub(crate) const PROBE_DELAY: Duration = Duration::from_millis(250);

/// The time without an answer after which a peer is unresponsive. It leaves a probe as long as a call
/// to a process with 0.12 cores takes.
pub(crate) const MAX_SILENCE: Duration = Duration::from_millis(500);

/// The time after which a peer that no request was for is forgotten and no longer probed. Callers of a
/// queue come more often.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(10);

/// What is known of a peer that has not answered yet.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// When the first call without an answer was sent.
    since: Instant,
    /// Whether a connection could not be opened since.
    unreachable: bool,
    /// Whether a probe had no answer since.
    probed: bool,
    /// When a request was last for this peer.
    used_at: Instant,
}

/// What to do next about a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Wait until this time, and ask again.
    WaitUntil(Instant),
    /// Probe the peer.
    Probe,
    /// Nothing, since the peer has answered.
    Stop,
    /// Nothing, since no request was for the peer for a while.
    Forget,
}

/// The peers that have not answered.
#[derive(Clone, Debug, Default)]
pub struct PeerHealth {
    silences: BTreeMap<Name, Silence>,
    /// The peers for which a task asks for the [next step](Self::next_step).
    watched: BTreeSet<Name>,
}

impl PeerHealth {
    /// Records that a call was sent to a peer, or is still without an answer. Returns whether the caller
    /// has to start a task that watches the peer.
    pub fn handle_call(&mut self, now: Instant, peer: &Name) -> bool {
        let silence = Silence {
            since: now,
            unreachable: false,
            probed: false,
            used_at: now,
        };
        let silence = self.silences.entry(Arc::clone(peer)).or_insert(silence);
        silence.used_at = now;
        self.watched.insert(Arc::clone(peer))
    }

    /// Records an answer of a peer. Returns how long the peer was silent if a probe had no answer.
    pub fn handle_answer(&mut self, now: Instant, peer: &str) -> Option<Duration> {
        let silence = self.silences.remove(peer).filter(|s| s.probed)?;
        Some(now.saturating_duration_since(silence.since))
    }

    /// Records that no connection to a peer could be opened.
    pub fn handle_unreachable(&mut self, peer: &str) {
        if let Some(silence) = self.silences.get_mut(peer) {
            silence.unreachable = true;
        }
    }

    /// Records that a probe of a peer had no answer. Returns for how long the peer has been silent if
    /// this is the first such probe.
    pub fn handle_failed_probe(&mut self, now: Instant, peer: &str) -> Option<Duration> {
        let silence = self.silences.get_mut(peer)?;
        let is_first = !std::mem::replace(&mut silence.probed, true);
        is_first.then(|| now.saturating_duration_since(silence.since))
    }

    /// Returns since when a peer has not answered if it is unresponsive. Notes that a request is for it.
    pub fn unresponsive_since(&mut self, now: Instant, peer: &str) -> Option<Instant> {
        let silence = self.silences.get_mut(peer)?;
        silence.used_at = now;
        silence.is_unresponsive(now).then_some(silence.since)
    }

    /// Returns what the task that watches a peer does next. It ends after [`ProbeStep::Stop`]
    /// and [`ProbeStep::Forget`].
    pub fn next_step(&mut self, now: Instant, peer: &str) -> ProbeStep {
        let Some(silence) = self.silences.get(peer) else {
            self.watched.remove(peer);
            return ProbeStep::Stop;
        };
        if now.saturating_duration_since(silence.used_at) >= MAX_AGE {
            self.silences.remove(peer);
            self.watched.remove(peer);
            return ProbeStep::Forget;
        }
        let probe_at = silence.since + PROBE_DELAY;
        match now >= probe_at || silence.unreachable {
            true => ProbeStep::Probe,
            false => ProbeStep::WaitUntil(probe_at),
        }
    }

    /// Returns the number of peers that are unresponsive.
    pub fn unresponsive_count(&self, now: Instant) -> usize {
        let silences = self.silences.values();
        silences.filter(|s| s.is_unresponsive(now)).count()
    }
}

impl Silence {
    fn is_unresponsive(&self, now: Instant) -> bool {
        self.unreachable || now.saturating_duration_since(self.since) >= MAX_SILENCE
    }
}
