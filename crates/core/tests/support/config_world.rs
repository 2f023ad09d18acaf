//! Nine entries in three zones that follow the `config` stream, with the faults of the platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_config::Config;
use lavenderhollow_config::Key;
use lavenderhollow_core::configuration::ConfigChange;
use lavenderhollow_core::configuration::ConfigState;
use lavenderhollow_core::follower::Batch;
use lavenderhollow_core::follower::Event;
use lavenderhollow_core::follower::Follower;
use lavenderhollow_core::follower::Page;
use lavenderhollow_core::follower::Status;
use lavenderhollow_core::follower::Urgency;
use lavenderhollow_core::freshness::Current;
use lavenderhollow_core::freshness::Freshness;
use lavenderhollow_core::freshness::Installed;
use lavenderhollow_core::freshness::Report;
use lavenderhollow_core::freshness::STALENESS_BOUND;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Record;
use lavenderhollow_testing::FakeLog;
use lavenderhollow_testing::Fault;
use lavenderhollow_types::EntryName;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

pub(crate) const ZONES: usize = 3;
pub(crate) const ENTRIES: usize = 9;
pub(crate) const KEYS: usize = 4;
pub(crate) const RETENTION: Duration = Duration::from_secs(1200);
const POLL: Duration = Duration::from_secs(1);
/// The lag of the VM list.
const LIST_LAG: Duration = Duration::from_secs(2);
const PAGE: usize = 50;

pub(crate) fn key(number: usize) -> Key {
    Key::from_text(&format!("key {number}"))
}

pub(crate) fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{number}")).unwrap()
}

/// Returns a configuration with one team that has these keys.
pub(crate) fn document(keys: &BTreeSet<usize>) -> Config {
    let hash = |number: &usize| (format!("k{number}"), key(*number).hash());
    let keys: BTreeMap<_, _> = keys.iter().map(hash).collect();
    let zones: BTreeMap<_, _> = (0..ZONES)
        .map(|number| (zone(number), json!({"region": "r"})))
        .collect();
    let queue = json!({"pool": "p", "deadline_ms": 1000, "run_time_ms": 10});
    let team = json!({"share": 1, "limit": 10, "home": "zone-0", "keys": keys});
    serde_json::from_value(json!({
        "deployment": "test", "zones": zones, "pools": {"p": {"max_unavailable": 1}},
        "queues": {"q": queue}, "teams": {"t": team},
    }))
    .unwrap()
}

pub(crate) struct Node {
    pub(crate) name: EntryName,
    pub(crate) zone: usize,
    pub(crate) started: Instant,
    pub(crate) follower: Follower<ConfigState>,
    pub(crate) fresh: Freshness,
    pub(crate) current: Current,
    accepts: BTreeSet<usize>,
    actor: Incarnation,
    ahead: Duration,
    poll: Instant,
}

impl Node {
    pub(crate) fn version(&self) -> Version {
        self.current.load().version
    }

    /// Returns the keys that the entry takes work for.
    pub(crate) fn admitted(&self, now: Instant) -> BTreeSet<usize> {
        if self.fresh.check(now).is_ok() {
            self.accepts.clone()
        } else {
            BTreeSet::new()
        }
    }

    fn install(&mut self, new: &Arc<Installed>) {
        if self.current.install(Arc::clone(new)) {
            let zones = new.config.zones.keys();
            self.fresh.installed(new.version, zones.cloned());
            let admits = |number: &usize| new.keys.admit(Some(&key(*number)), "q").is_ok();
            self.accepts = (0..KEYS).filter(admits).collect();
        }
    }
}

#[derive(Clone)]
enum Message {
    Page(Page<ConfigState>, Instant),
    Report(Report, Arc<Installed>, Instant),
    Answer(u64, bool),
}

struct Mail {
    at: Instant,
    to: Incarnation,
    message: Message,
}

/// A record that an entry folded as accepted.
pub(crate) struct Accepted {
    pub(crate) version: Version,
    pub(crate) record: Record<ConfigChange>,
    pub(crate) config: Arc<Config>,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    /// The time since which nothing fails.
    pub(crate) calm: Instant,
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) accepted: Vec<Accepted>,
    pub(crate) log: FakeLog<ConfigState>,
    pub(crate) cut_peers: [bool; ZONES],
    pub(crate) cut_log: [bool; ZONES],
    /// The longest delay of a message; a tenth of the messages also arrive twice.
    pub(crate) delay: Duration,
    /// Whether the VM list answers.
    pub(crate) listed: bool,
    list: Vec<(EntryName, ZoneName)>,
    list_read: Instant,
    wall: SystemTime,
    mail: Vec<Mail>,
    late: Vec<(Instant, Batch<ConfigChange>)>,
    rng: StdRng,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(100_000);
        let mut world = Self {
            now,
            calm: now,
            nodes: (0..ENTRIES).map(|_| None).collect(),
            accepted: Vec::new(),
            log: FakeLog::default(),
            cut_peers: [false; ZONES],
            cut_log: [false; ZONES],
            delay: Duration::from_millis(100),
            listed: true,
            list: Vec::new(),
            list_read: now,
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000),
            mail: Vec::new(),
            late: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        (0..ENTRIES).for_each(|number| world.start(number));
        world
    }

    /// Starts an entry, which replaces one that may still run.
    pub(crate) fn start(&mut self, number: usize) {
        let zone_number = number % ZONES;
        let name = EntryName::new(&format!("entry-{number}-{}", self.rng.random::<u16>())).unwrap();
        self.nodes[number] = Some(Node {
            fresh: Freshness::new(name.clone(), zone(zone_number), STALENESS_BOUND),
            name,
            zone: zone_number,
            started: self.now,
            follower: Follower::new(ENTRIES, RETENTION, self.now),
            current: Current::default(),
            accepts: BTreeSet::new(),
            actor: Incarnation::from_number(self.rng.random()),
            ahead: Duration::from_secs(3600),
            poll: self.now,
        });
        self.calm = self.now;
    }

    pub(crate) fn faulty(&self) -> bool {
        self.log.fault != Fault::None
            || self.cut_peers.contains(&true)
            || self.cut_log.contains(&true)
            || self.delay > Duration::from_millis(500)
            || !self.listed
            || self.nodes.iter().any(Option::is_none)
    }

    /// Tells whether records expired before any running entry read them, so that none can know the
    /// configuration.
    pub(crate) fn history_lost(&self) -> bool {
        let mut nodes = self.nodes.iter().flatten();
        nodes.all(|node| node.follower.status() != Status::Following)
    }

    /// Sets how far the wall clock of an entry is ahead, plus one hour.
    pub(crate) fn jump_wall(&mut self, number: usize, ahead: Duration) {
        if let Some(node) = &mut self.nodes[number] {
            node.ahead = ahead;
        }
    }

    pub(crate) fn submit(
        &mut self,
        number: usize,
        expected: Option<Version>,
        change: ConfigChange,
    ) {
        let id = RecordId::from_number(self.rng.random());
        let wall = self.wall;
        let Some(node) = &mut self.nodes[number] else {
            return;
        };
        let record = Record {
            id,
            created: wall + node.ahead - Duration::from_secs(3600),
            actor: node.actor,
            expected,
            change,
        };
        node.follower.submit(record, Urgency::Urgent, self.now);
    }

    /// Lets time pass in steps and calls `check` after each.
    pub(crate) fn run(&mut self, steps: u32, step: Duration, check: &mut impl FnMut(&World)) {
        for _ in 0..steps {
            self.now += step;
            self.wall += step;
            self.log.expire(RETENTION, self.wall);
            if self.faulty() {
                self.calm = self.now;
            }
            if self.listed && self.list_read + LIST_LAG <= self.now {
                self.read_list();
            }
            self.append_late();
            self.deliver();
            for number in 0..ENTRIES {
                self.work(number);
            }
            check(self);
        }
    }

    fn send(&mut self, to: Incarnation, message: &Message) {
        let copies = if self.rng.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.delay.mul_f64(self.rng.random());
            let message = message.clone();
            self.mail.push(Mail { at, to, message });
        }
    }

    fn append(&mut self, batch: &Batch<ConfigChange>) -> bool {
        let mut stored = true;
        for record in &batch.records {
            let item = Item::Change(record.clone());
            stored &= self.log.append(item, self.wall).is_ok();
        }
        stored
    }

    fn append_late(&mut self) {
        let late = std::mem::take(&mut self.late);
        for (at, batch) in late {
            if at > self.now {
                self.late.push((at, batch));
            } else {
                self.append(&batch);
            }
        }
    }

    fn deliver(&mut self) {
        let (due, mail) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|mail| mail.at <= self.now);
        self.mail = mail;
        let due: Vec<Mail> = due;
        for Mail { to, message, .. } in due {
            let mut nodes = self.nodes.iter_mut().flatten();
            if let Some(node) = nodes.find(|node| node.actor == to) {
                receive(node, message, self.now, &mut self.accepted);
            }
        }
    }

    fn work(&mut self, number: usize) {
        let Some(mut node) = self.nodes[number].take() else {
            return;
        };
        if node.poll <= self.now {
            node.poll = self.now + POLL;
            node.fresh.set_entries(self.list.iter().cloned());
            self.read_log(&mut node);
            self.ask_peers(&mut node);
        }
        self.append_own(&mut node);
        self.nodes[number] = Some(node);
    }

    fn read_list(&mut self) {
        let nodes = self.nodes.iter().flatten();
        let entries = nodes.map(|node| (node.name.clone(), zone(node.zone)));
        self.list = entries.collect();
        self.list_read = self.now;
    }

    fn read_log(&mut self, node: &mut Node) {
        let (oldest, head) = (self.log.oldest(), self.log.head());
        let from = node.follower.next().max(oldest);
        match self.log.read(from, PAGE) {
            Ok(items) if !self.cut_log[node.zone] => {
                let page = Page {
                    oldest,
                    head,
                    items,
                };
                self.send(node.actor, &Message::Page(page, self.now));
            }
            _ => node.fresh.log_failed(),
        }
    }

    fn ask_peers(&mut self, node: &mut Node) {
        for other_zone in 0..ZONES {
            let cut = self.cut_peers[other_zone] || self.cut_peers[node.zone];
            let chosen = self.rng.random_range(0..ENTRIES / ZONES);
            for index in 0..ENTRIES / ZONES {
                let number = index * ZONES + other_zone;
                let asked = other_zone == node.zone || (index == chosen && !cut);
                let Some(peer) = self.nodes[number].as_mut().filter(|_| asked) else {
                    continue;
                };
                peer.fresh.noticed(node.version());
                let installed = Arc::clone(&peer.current.load());
                let report = peer.fresh.report(self.now);
                self.send(node.actor, &Message::Report(report, installed, self.now));
            }
        }
    }

    fn append_own(&mut self, node: &mut Node) {
        let reachable = !self.cut_log[node.zone];
        node.follower.give_up(self.now);
        if let Some(batch) = node.follower.flush(self.now) {
            let stored = reachable && self.append(&batch);
            self.send(node.actor, &Message::Answer(batch.number, stored));
            if !stored && reachable {
                let delay = Duration::from_secs(self.rng.random_range(1..700));
                self.late.push((self.now + delay, batch));
            }
        }
        let delay = Duration::from_secs(self.rng.random_range(0..30));
        let wall = self.wall + node.ahead - Duration::from_secs(3600);
        if let Some(item) = node.follower.snapshot(self.now, wall, delay) {
            let item = serde_json::from_value(serde_json::to_value(item).unwrap()).unwrap();
            if !reachable || self.log.append(item, self.wall).is_err() {
                node.follower.snapshot_failed();
            }
        }
    }
}

fn receive(node: &mut Node, message: Message, now: Instant, accepted: &mut Vec<Accepted>) {
    match message {
        Message::Answer(number, stored) => node.follower.answered(number, stored, now),
        Message::Report(report, installed, sent) => {
            node.fresh.heard(&report, sent);
            node.install(&installed);
        }
        Message::Page(mut page, sent) => {
            let head = page.head;
            // Items are given one by one to see the state after each.
            for item in std::mem::take(&mut page.items) {
                let one = Page {
                    items: vec![item],
                    ..page.clone()
                };
                let events = node.follower.take(one, now);
                accepted.extend(events.into_iter().filter_map(|event| accept(node, event)));
            }
            node.follower.take(page, now);
            node.fresh.log_reached();
            if node.follower.is_at_head(head) {
                let state = node.follower.state().clone();
                let new = Installed::new(state.version(), Arc::clone(state.config()));
                node.install(&Arc::new(new));
                node.fresh.log_read(state.version(), sent);
            }
        }
    }
}

fn accept(node: &Node, event: Event<ConfigState>) -> Option<Accepted> {
    let Event::Folded {
        record, outcome, ..
    } = event
    else {
        return None;
    };
    outcome.is_accepted().then(|| Accepted {
        version: node.follower.state().version(),
        record,
        config: Arc::clone(node.follower.state().config()),
    })
}
