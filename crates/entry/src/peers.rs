//! The other entries: status every second, configuration, and forwarded requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use futures::StreamExt;
use futures::stream;
use lavenderhollow_config::Config;
use lavenderhollow_core::membership::ranked;
use lavenderhollow_platform::VmInfo;
use lavenderhollow_platform::VmState;
use lavenderhollow_types::EntryName;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::VmName;
use lavenderhollow_types::ZoneName;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::client;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;

use crate::context::Context;
use crate::message::Detail;
use crate::message::PeerClient;
use crate::message::PeerError;
use crate::message::StatusReply;
use crate::message::Summary;
use crate::metric;
use crate::seal::Kind;
use crate::seal::Seal;
use crate::seal::Sealed;

/// How many entries of each other zone an entry talks with, in turn.
const LINKS_PER_ZONE: usize = 2;

/// After how many heartbeats an entry of another zone is asked again. Two heartbeats are well below
/// the bound for freshness and halve the traffic between zones.
const ZONE_ROUNDS: u64 = 2;

/// After how many heartbeats the demand of another zone is asked for. Allotments move between zones
/// over several seconds anyhow.
const ZONE_SUMMARY_ROUNDS: u64 = 10;

/// For how long an entry of the own zone that was not heard still counts as live.
const LIVE_FOR: Duration = Duration::from_secs(3);

/// The time for a status or configuration call.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// How many peers are called at once.
const CALLS_AT_ONCE: usize = 64;

/// The largest message between entries, in bytes.
pub(crate) const MAX_MESSAGE: usize = 16 << 20;

/// One other entry.
#[derive(Clone)]
struct Peer {
    name: EntryName,
    zone: ZoneName,
    address: SocketAddr,
    leaving: bool,
    client: Option<PeerClient>,
    heard: Option<Instant>,
    incarnation: Option<Incarnation>,
    closing: bool,
    summary: Summary,
}

/// The latest summary of a peer: its own if it is in this zone, that of its zone if not.
#[derive(Clone, Debug)]
pub(crate) struct PeerSummary {
    pub(crate) name: EntryName,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Incarnation,
    pub(crate) summary: Summary,
}

/// A peer to be asked now, and for what.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Link {
    name: EntryName,
    detail: Detail,
}

/// What a call of a peer failed with.
#[derive(Debug)]
pub(crate) enum CallError {
    /// No connection was open, so that nothing was sent.
    NotSent(String),
    /// The peer may have got the message.
    Unknown(String),
}

/// The other entries of the VM list.
pub(crate) struct Peers {
    pub(crate) seal: Seal,
    zone: ZoneName,
    name: EntryName,
    peers: Mutex<BTreeMap<EntryName, Peer>>,
}

impl Peer {
    fn is_heard(&self, now: Instant) -> bool {
        let heard = self.heard;
        heard.is_some_and(|at| now.saturating_duration_since(at) <= LIVE_FOR)
    }

    fn takes_work(&self, now: Instant) -> bool {
        !self.leaving && !self.closing && self.is_heard(now)
    }
}

impl Peers {
    pub(crate) fn new(name: EntryName, zone: ZoneName, secret: &str) -> Self {
        Self {
            seal: Seal::new(name.clone(), secret),
            zone,
            name,
            peers: Mutex::default(),
        }
    }

    /// Takes the entry VMs of the list.
    pub(crate) fn take_list(&self, me: &EntryName, entries: &[VmInfo]) {
        let mut peers = self.peers();
        let mut listed = BTreeMap::new();
        for info in entries {
            let Ok(name) = EntryName::new(info.name.as_str()) else {
                continue;
            };
            if name == *me {
                continue;
            }
            let same = peers
                .remove(&name)
                .filter(|peer| peer.address == info.address);
            let mut peer = same.unwrap_or_else(|| Peer {
                name: name.clone(),
                zone: info.zone.clone(),
                address: info.address,
                leaving: false,
                client: None,
                heard: None,
                incarnation: None,
                closing: false,
                summary: Summary::default(),
            });
            peer.leaving = info.state == VmState::Leaving;
            listed.insert(name, peer);
        }
        *peers = listed;
    }

    /// Returns the entries of this zone that were heard lately, this one included.
    pub(crate) fn live_in_zone(&self, now: Instant) -> BTreeSet<EntryName> {
        let peers = self.peers();
        let live = peers
            .values()
            .filter(|peer| peer.zone == self.zone && peer.takes_work(now));
        let mut live: BTreeSet<_> = live.map(|peer| peer.name.clone()).collect();
        live.insert(self.name.clone());
        live
    }

    /// Returns the number of listed entries, this one included.
    pub(crate) fn listed(&self) -> usize {
        self.peers().len() + 1
    }

    /// Returns the number of listed entries of a zone, this one included.
    pub(crate) fn listed_in(&self, zone: &ZoneName) -> usize {
        let peers = self.peers();
        let others = peers.values().filter(|peer| peer.zone == *zone).count();
        others + usize::from(*zone == self.zone)
    }

    /// Returns the latest summaries of the entries that were heard lately and take work.
    pub(crate) fn summaries(&self, now: Instant) -> Vec<PeerSummary> {
        let peers = self.peers();
        let live = peers.values().filter(|peer| peer.takes_work(now));
        live.filter_map(|peer| {
            Some(PeerSummary {
                name: peer.name.clone(),
                zone: peer.zone.clone(),
                incarnation: peer.incarnation?,
                summary: peer.summary.clone(),
            })
        })
        .collect()
    }

    /// Returns the incarnations of all entries of this zone, this one's `own` included, or nothing
    /// while an entry on the list has not been heard. A process that none of them is has ended.
    pub(crate) fn incarnations(
        &self,
        own: Incarnation,
        now: Instant,
    ) -> Option<BTreeSet<Incarnation>> {
        let peers = self.peers();
        let mut known = BTreeSet::from([own]);
        for peer in peers.values().filter(|peer| peer.zone == self.zone) {
            known.insert(peer.incarnation.filter(|_| peer.is_heard(now))?);
        }
        Some(known)
    }

    /// Returns the entry that has an incarnation.
    pub(crate) fn by_incarnation(&self, incarnation: Incarnation) -> Option<EntryName> {
        let peers = self.peers();
        let mut matching = peers
            .values()
            .filter(|peer| peer.incarnation == Some(incarnation));
        matching.next().map(|peer| peer.name.clone())
    }

    /// Returns the live entries of a zone, in random order.
    pub(crate) fn in_zone(&self, zone: &ZoneName, now: Instant) -> Vec<EntryName> {
        let peers = self.peers();
        let live = peers
            .values()
            .filter(|peer| peer.zone == *zone && peer.takes_work(now));
        let mut names: Vec<_> = live.map(|peer| peer.name.clone()).collect();
        if !names.is_empty() {
            let start = rand::random_range(0..names.len());
            names.rotate_left(start);
        }
        names
    }

    /// Returns the peers to ask in a round: all of this zone, and of each other zone one in turn.
    fn links(&self, round: u64) -> Vec<Link> {
        let peers = self.peers();
        let mut zones: BTreeMap<&ZoneName, Vec<&EntryName>> = BTreeMap::new();
        for peer in peers.values() {
            zones.entry(&peer.zone).or_default().push(&peer.name);
        }
        let mut links = Vec::new();
        for (zone, names) in zones {
            if *zone == self.zone {
                links.extend(names.into_iter().map(|name| Link {
                    name: name.clone(),
                    detail: Detail::Entry,
                }));
            } else if round.is_multiple_of(ZONE_ROUNDS) {
                links.extend(self.zone_link(names, round));
            }
        }
        links
    }

    /// Chooses which entry of another zone is asked. Entries choose differently, so that the
    /// questions spread over the zone.
    fn zone_link(&self, names: Vec<&EntryName>, round: u64) -> Option<Link> {
        let me = VmName::new(self.name.as_str()).ok()?;
        let ranked = ranked(&me, names);
        let turn = round / ZONE_ROUNDS;
        let count = ranked.len().min(LINKS_PER_ZONE) as u64;
        let place = usize::try_from(turn.checked_rem(count)?).ok()?;
        let detail = match round % ZONE_SUMMARY_ROUNDS {
            0 => Detail::Zone,
            _ => Detail::Freshness,
        };
        let name = (*ranked.get(place)?).clone();
        Some(Link { name, detail })
    }

    /// Returns the connection to a peer, opening it if there is none.
    pub(crate) async fn connect(&self, name: &EntryName) -> Result<PeerClient, CallError> {
        let (address, present) = {
            let peers = self.peers();
            let peer = peers.get(name);
            let peer = peer.ok_or_else(|| CallError::NotSent(format!("{name} is not listed")))?;
            (peer.address, peer.client.clone())
        };
        if let Some(client) = present {
            return Ok(client);
        }
        let mut connecting = tcp::connect(address, Bincode::default);
        connecting.config_mut().max_frame_length(MAX_MESSAGE);
        let transport = tokio::time::timeout(CALL_LIMIT, connecting)
            .await
            .map_err(|_| CallError::NotSent(format!("{name} does not accept a connection")))?
            .map_err(|e| CallError::NotSent(format!("{name} can't be reached: {e}")))?;
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        if let Some(peer) = self.peers().get_mut(name) {
            peer.client = Some(client.clone());
        }
        Ok(client)
    }

    /// Forgets the connection to a peer.
    pub(crate) fn disconnect(&self, name: &EntryName) {
        if let Some(peer) = self.peers().get_mut(name) {
            peer.client = None;
        }
    }

    fn heard(&self, name: &EntryName, at: Instant, reply: StatusReply) {
        if let Some(peer) = self.peers().get_mut(name) {
            peer.heard = peer.heard.max(Some(at));
            peer.incarnation = Some(reply.incarnation);
            peer.closing = reply.closing;
            if let Some(summary) = reply.summary {
                peer.summary = summary;
            }
        }
    }

    /// Seals a message and counts its bytes.
    pub(crate) fn sealed<T: Serialize>(
        &self,
        kind: Kind,
        message: &T,
        wall: SystemTime,
    ) -> Result<Sealed, PeerError> {
        let sealed = self.seal.seal(kind, message, wall)?;
        metrics::counter!(metric::PEER_BYTES).increment(sealed.size());
        Ok(sealed)
    }

    /// Opens a reply.
    pub(crate) fn opened<T: DeserializeOwned>(
        &self,
        kind: Kind,
        sealed: &Sealed,
        wall: SystemTime,
    ) -> Result<T, PeerError> {
        Ok(self.seal.open(kind, sealed, wall)?.1)
    }

    fn peers(&self) -> MutexGuard<'_, BTreeMap<EntryName, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a call context that ends after `limit`.
pub(crate) fn call_context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

/// Tells the linked peers this entry's status and hears theirs, for ever.
pub(crate) async fn gossip(cx: &Arc<Context>) {
    let mut ticks = tokio::time::interval(cx.settings.heartbeat);
    let mut round = 0;
    loop {
        ticks.tick().await;
        let links = cx.peers.links(round);
        round += 1;
        let asked = stream::iter(links).for_each_concurrent(CALLS_AT_ONCE, |link| async move {
            if let Err(error) = ask_status(cx, &link).await {
                metrics::counter!(metric::PEER_ERRORS).increment(1);
                log::debug!("no status of {}: {error:?}", link.name);
                cx.peers.disconnect(&link.name);
            }
        });
        asked.await;
    }
}

async fn ask_status(cx: &Arc<Context>, link: &Link) -> Result<(), CallError> {
    let name = &link.name;
    let client = cx.peers.connect(name).await?;
    let unknown = |e: &dyn std::fmt::Display| CallError::Unknown(e.to_string());
    let (sent, wall) = (cx.clock.now(), cx.clock.wall());
    let sealed = cx.peers.sealed(Kind::Status, &link.detail, wall);
    let reply = client
        .status(call_context(CALL_LIMIT), sealed.map_err(|e| unknown(&e))?)
        .await
        .map_err(|e| unknown(&e))?
        .map_err(|e| unknown(&e))?;
    let reply: StatusReply = cx
        .peers
        .opened(Kind::StatusReply, &reply, cx.clock.wall())
        .map_err(|e| unknown(&e))?;
    let version = reply.report.version;
    let reaches_log = cx.with_freshness(|freshness| {
        freshness.heard(&reply.report, sent);
        freshness.reaches_log()
    });
    cx.peers.heard(name, sent, reply);
    // The log brings small changes; a peer sends the whole document.
    if version > cx.config.load().version && !reaches_log {
        ask_config(cx, name, &client).await?;
    }
    Ok(())
}

/// Gets a newer configuration from a peer. Only a greater version is installed.
async fn ask_config(
    cx: &Arc<Context>,
    name: &EntryName,
    client: &PeerClient,
) -> Result<(), CallError> {
    let unknown = |e: &dyn std::fmt::Display| CallError::Unknown(format!("{name}: {e}"));
    let wall = cx.clock.wall();
    let question = cx.peers.sealed(Kind::Config, &(), wall);
    let reply = client
        .config(call_context(CALL_LIMIT), question.map_err(|e| unknown(&e))?)
        .await
        .map_err(|e| unknown(&e))?
        .map_err(|e| unknown(&e))?;
    let reply: crate::message::ConfigReply = cx
        .peers
        .opened(Kind::ConfigReply, &reply, cx.clock.wall())
        .map_err(|e| unknown(&e))?;
    let config: Config = serde_json::from_str(&reply.document).map_err(|e| unknown(&e))?;
    crate::observers::install(cx, reply.version, &Arc::new(config));
    Ok(())
}
