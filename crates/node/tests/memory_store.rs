//! A store in memory with delays, and a node that uses it, in simulated time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use async_trait::async_trait;
use lavenderhollow_node::ClusterConfig;
use lavenderhollow_node::Node;
use lavenderhollow_node::NodeSettings;
use lavenderhollow_node::Pool;
use lavenderhollow_node::Route;
use lavenderhollow_node::Wave;
use lavenderhollow_node::backend::Codec;
use lavenderhollow_node::backend::Entry;
use lavenderhollow_node::backend::Listing;
use lavenderhollow_node::backend::Page;
use lavenderhollow_node::backend::Platform;
use lavenderhollow_node::backend::PollError;
use lavenderhollow_node::backend::Store;
use lavenderhollow_node::backend::StoreError;
use lavenderhollow_node::backend::Target;
use lavenderhollow_node::backend::Topic;
use lavenderhollow_node::backend::Workers;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PollRequest;
use lavenderhollow_shard::Record;
use lavenderhollow_shard::Resources;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::RunStatus;
use lavenderhollow_shard::StartOutcome;
use lavenderhollow_shard::StartRequest;
use lavenderhollow_shard::WorkerInfo;
use lavenderhollow_shard::WorkerReport;
use lavenderhollow_types::Clock;
use tokio::time::Instant;

/// The time that a call takes at first.
const CALL_TIME: Duration = Duration::from_millis(4);

/// The most bytes that an append may have.
const MAX_APPEND_BYTES: usize = 64 << 10;

/// The memory of the machine of each process, in bytes: that of the smallest VM.
pub(crate) const MEMORY: usize = 160_000_000;

/// The time after which a caller gives up a call without a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The interval at which a read that waits looks for new records.
const READ_INTERVAL: Duration = Duration::from_millis(10);

/// What the store holds, and what it was asked.
#[derive(Default)]
pub(crate) struct State {
    /// The records of each topic.
    pub(crate) topics: HashMap<Topic, Vec<Record>>,
    /// The members, with the time at which they expire.
    pub(crate) members: BTreeMap<String, Instant>,
    pub(crate) generation: u64,
    /// When a call to join was sent.
    pub(crate) joins: Vec<Instant>,
    /// How long reads, appends and calls to leave take.
    pub(crate) call_time: Duration,
    /// How much longer reads of a shard's partition take, before they see its end.
    pub(crate) shard_read_time: Duration,
    /// How long a call to join takes; it takes effect after half of it.
    pub(crate) join_time: Duration,
    /// How long the response with the members takes.
    pub(crate) members_time: Duration,
    /// Whether the responses to calls to join and to list the members are lost.
    pub(crate) responses_lost: bool,
    /// How many responses with the members were sent.
    pub(crate) member_lists: usize,
    /// How much longer listings of a shard's records take.
    pub(crate) listing_time: Duration,
    /// How much longer the response to an append to a shard takes after the append is stored.
    pub(crate) append_response_time: Duration,
    /// Whether the responses to appends are lost.
    pub(crate) append_responses_lost: bool,
    /// Whether reads of the owners' topic that wait for a record get no response.
    pub(crate) owners_hang: bool,
    /// Whether someone else appends to a shard after each read of its end.
    pub(crate) rival_appends: bool,
    /// Whether the store rejects appends to the owners' topic.
    pub(crate) owner_appends_fail: bool,
    /// Whether the store rejects reads of the operators' topic.
    pub(crate) operator_reads_fail: bool,
    /// Whether the store rejects all calls.
    pub(crate) outage: bool,
    /// How many appends were refused as such.
    pub(crate) refused_appends: usize,
    /// How many appends failed because the topic ended elsewhere.
    pub(crate) mismatches: usize,
}

impl State {
    /// Adds a member or renews its membership.
    pub(crate) fn join(&mut self, member: &str, ttl: Duration) {
        let expires_at = Instant::now() + ttl;
        if self.members.insert(member.to_owned(), expires_at).is_none() {
            self.generation += 1;
        }
    }

    /// Removes the members whose time has passed.
    pub(crate) fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, at| *at > Instant::now());
        self.generation += u64::from(self.members.len() != before);
    }

    /// Appends a record.
    pub(crate) fn put(&mut self, topic: Topic, key: &str, value: &[u8]) {
        self.topics.entry(topic).or_default().push(Record {
            key: key.to_owned(),
            value: Some(value.to_vec()),
        });
    }

    /// Appends a record that removes a key.
    pub(crate) fn remove(&mut self, topic: Topic, key: &str) {
        self.topics.entry(topic).or_default().push(Record {
            key: key.to_owned(),
            value: None,
        });
    }

    /// Returns the values of the records of a key, in the order of their offsets.
    pub(crate) fn values(&self, topic: Topic, key: &str) -> Vec<String> {
        let records = self.topics.get(&topic).into_iter().flatten();
        let values = records.filter(|r| r.key == key).flat_map(|r| &r.value);
        values
            .map(|v| String::from_utf8_lossy(v).into_owned())
            .collect()
    }
}

/// The key of records of a job that the store refuses.
pub(crate) const REFUSED_KEY: &str = "j00000000000000ff";

/// A store in memory, and the workers beside it.
#[derive(Default)]
pub(crate) struct MemoryStore {
    state: Mutex<State>,
    pub(crate) workers: Arc<MemoryWorkers>,
}

impl MemoryStore {
    /// Creates a store with a configuration that has no pools.
    pub(crate) fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state().put(Topic::Operator, "config", b"");
        store.state().call_time = CALL_TIME;
        store.state().join_time = CALL_TIME;
        store.state().members_time = CALL_TIME;
        store
    }

    async fn delay(&self) {
        let time = self.state().call_time;
        tokio::time::sleep(time).await;
    }

    /// Returns an error if the store is unavailable.
    fn check_available(&self) -> Result<(), StoreError> {
        let outage = self.state().outage;
        reject_if(outage)
    }

    /// Waits until the caller gives up if responses are lost.
    async fn lose_response(&self) -> Result<(), StoreError> {
        if !self.state().responses_lost {
            return Ok(());
        }
        tokio::time::sleep(CALL_TIMEOUT).await;
        Err(unknown_outcome())
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a node on a VM.
    pub(crate) async fn start_node(self: &Arc<Self>, vm: &str) -> Node {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        self.start_node_at(vm, address, Arc::new(SimulatedClock))
            .await
    }

    /// Starts a node on a VM with an address for its peers.
    pub(crate) async fn start_node_at(
        self: &Arc<Self>,
        vm: &str,
        peer_address: SocketAddr,
        clock: Arc<dyn Clock>,
    ) -> Node {
        let settings = NodeSettings {
            vm: vm.into(),
            peer_address,
            operator_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            operator_token: None,
            max_lease: Duration::from_secs(6),
            job_retention: Duration::from_secs(120),
            key_revocation: Duration::from_secs(5),
            takeover_delay: Duration::from_secs(3),
            maintenance_time: Duration::from_secs(2),
            move_time: Duration::from_secs(2),
            command_rate: 200.0,
            cpu_limit: 120,
            memory: MEMORY,
        };
        let platform = Platform {
            store: Arc::clone(self) as Arc<dyn Store>,
            workers: Arc::clone(&self.workers) as Arc<dyn Workers>,
            machines: None,
            policy: None,
            codec: Arc::new(PoolCodec),
        };
        let node = Node::start(settings, platform, clock, None).await;
        node.expect("a free port")
    }
}

#[async_trait]
impl Store for MemoryStore {
    fn max_append_bytes(&self) -> usize {
        MAX_APPEND_BYTES
    }

    async fn append(
        &self,
        topic: Topic,
        expected_end: Option<u64>,
        records: &[Record],
    ) -> Result<u64, StoreError> {
        self.check_available()?;
        let bytes = records.iter().map(|r| r.value.as_ref().map_or(0, Vec::len));
        reject_if(bytes.sum::<usize>() > MAX_APPEND_BYTES)?;
        if records.iter().any(|r| r.key.starts_with(REFUSED_KEY)) {
            self.state().refused_appends += 1;
            return Err(StoreError::Refused {
                detail: "400 Bad Request".to_owned(),
            });
        }
        reject_if(topic == Topic::Owners && self.state().owner_appends_fail)?;
        let result = {
            let mut state = self.state();
            let log = state.topics.entry(topic).or_default();
            let end_offset = log.len() as u64;
            if expected_end.is_none_or(|end| end == end_offset) {
                log.extend_from_slice(records);
                Ok(end_offset)
            } else {
                state.mismatches += 1;
                Err(StoreError::OffsetMismatch { end_offset })
            }
        };
        self.delay().await;
        let is_shard = matches!(topic, Topic::Shard(_));
        let (time, lost) = {
            let state = self.state();
            (state.append_response_time, state.append_responses_lost)
        };
        if is_shard {
            tokio::time::sleep(time).await;
        }
        match lost {
            true => Err(unknown_outcome()),
            false => result,
        }
    }

    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError> {
        self.check_available()?;
        reject_if(topic == Topic::Operator && self.state().operator_reads_fail)?;
        let deadline = Instant::now() + wait;
        self.delay().await;
        if matches!(topic, Topic::Shard(_)) {
            let time = self.state().shard_read_time;
            tokio::time::sleep(time).await;
        }
        while topic == Topic::Owners && !wait.is_zero() && self.state().owners_hang {
            tokio::time::sleep(READ_INTERVAL).await;
        }
        loop {
            let page = {
                let mut state = self.state();
                let log = state.topics.entry(topic).or_default();
                let entries = (0..).zip(log.iter()).filter(|(offset, _)| *offset >= from);
                Page {
                    entries: entries.map(entry).collect(),
                    next_offset: log.len() as u64,
                    end_offset: log.len() as u64,
                }
            };
            if !page.entries.is_empty() || Instant::now() >= deadline {
                return Ok(page);
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    async fn read_latest(&self, topic: Topic, after: Option<&[u8]>) -> Result<Listing, StoreError> {
        self.check_available()?;
        self.delay().await;
        if matches!(topic, Topic::Shard(_)) {
            let time = self.state().listing_time;
            tokio::time::sleep(time).await;
        }
        let mut state = self.state();
        let log = state.topics.entry(topic).or_default();
        let latest: BTreeMap<&str, (u64, &Record)> = (0..)
            .zip(log.iter())
            .map(|(offset, r)| (r.key.as_str(), (offset, r)))
            .collect();
        let listed = latest
            .into_iter()
            .filter(|(key, (_, r))| after.is_none_or(|a| key.as_bytes() > a) && r.value.is_some());
        let page = Listing {
            entries: listed.map(|(_, row)| entry(row)).collect(),
            next_after: None,
            end_offset: log.len() as u64,
        };
        if state.rival_appends && matches!(topic, Topic::Shard(_)) {
            state.put(topic, "j1", b"progress");
        }
        Ok(page)
    }

    async fn join(&self, member: &str, ttl: Duration, _: u64) -> Result<u64, StoreError> {
        self.check_available()?;
        let delay = {
            let mut state = self.state();
            state.joins.push(Instant::now());
            state.join_time / 2
        };
        tokio::time::sleep(delay).await;
        self.state().join(member, ttl);
        tokio::time::sleep(delay).await;
        self.lose_response().await?;
        let mut state = self.state();
        state.expire();
        Ok(state.generation)
    }

    async fn leave(&self, member: &str) -> Result<(), StoreError> {
        {
            let mut state = self.state();
            state.members.remove(member);
            state.generation += 1;
        }
        self.delay().await;
        Ok(())
    }

    async fn members(&self) -> Result<Vec<Name>, StoreError> {
        self.check_available()?;
        let (members, delay) = {
            let mut state = self.state();
            state.expire();
            let members = state.members.keys().map(|m| m.as_str().into()).collect();
            (members, state.members_time)
        };
        tokio::time::sleep(delay).await;
        self.lose_response().await?;
        self.state().member_lists += 1;
        Ok(members)
    }
}

/// Returns an error if a call is rejected.
fn reject_if(rejected: bool) -> Result<(), StoreError> {
    match rejected {
        true => Err(StoreError::Rejected {
            detail: "unavailable".to_owned(),
        }),
        false => Ok(()),
    }
}

fn unknown_outcome() -> StoreError {
    StoreError::OutcomeUnknown {
        detail: "no response".to_owned(),
    }
}

fn entry((offset, record): (u64, &Record)) -> Entry {
    Entry {
        offset,
        key: record.key.clone(),
        value: record.value.clone(),
    }
}

/// The time of the paused runtime.
pub(crate) struct SimulatedClock;

impl Clock for SimulatedClock {
    fn now(&self) -> std::time::Instant {
        Instant::now().into_std()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Workers that carry out every start and whose tasks never end.
pub(crate) struct MemoryWorkers {
    calls: Mutex<WorkerCalls>,
    /// The time from which the workers' clocks count.
    created: Instant,
}

impl Default for MemoryWorkers {
    fn default() -> Self {
        Self {
            calls: Mutex::default(),
            created: Instant::now(),
        }
    }
}

/// The calls that workers have received.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerCalls {
    /// The runs that were started, with the name of the worker.
    pub(crate) starts: Vec<(Name, RunId)>,
    /// The number of polls.
    pub(crate) polls: usize,
}

impl MemoryWorkers {
    /// Returns the reading of the workers' clocks, in milliseconds.
    fn clock_ms(&self) -> u64 {
        self.created.elapsed().as_millis() as u64 + 1_000
    }

    pub(crate) fn calls(&self) -> MutexGuard<'_, WorkerCalls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The start of the workers' only incarnation.
const INCARNATION: u64 = 1;

#[async_trait]
impl Workers for MemoryWorkers {
    async fn start(&self, target: &Target, request: &StartRequest) -> StartOutcome {
        let start = (Arc::clone(&target.id), request.run);
        self.calls().starts.push(start);
        StartOutcome::Started(self.clock_ms())
    }

    async fn stop(&self, _: &Target, _: RunId) -> bool {
        false
    }

    async fn poll(&self, target: &Target, request: PollRequest) -> Result<WorkerReport, PollError> {
        self.calls().polls += 1;
        tokio::time::sleep(request.wait.max(CALL_TIME)).await;
        let starts = self.calls().starts.clone();
        let running = starts.into_iter().filter(|(id, _)| *id == target.id);
        Ok(WorkerReport {
            clock_ms: self.clock_ms(),
            incarnation: INCARNATION,
            running: running
                .map(|(_, run)| RunStatus {
                    run,
                    checkpoint: "".into(),
                    progress: 0,
                    metric: 0,
                })
                .collect(),
            finished: Vec::new(),
            truncated: false,
        })
    }

    async fn throttle(&self, _: &Target, _: RunId, _: u32) -> bool {
        false
    }
}

/// A configuration that can't be decoded.
pub(crate) const INVALID_CONFIG: &[u8] = b"invalid";

/// A configuration whose decoding panics.
pub(crate) const PANICKING_CONFIG: &[u8] = b"panic";

/// The host of callers' requests to the queues of [`PoolCodec`].
pub(crate) const HOST: &str = "jobs.test";

/// Decodes a configuration of words, separated by spaces: `POOL` is a pool, `QUEUE>POOL` a queue at
/// the path `/QUEUE/` and its pool, and `@N` the version.
struct PoolCodec;

/// Returns a queue that a pool serves.
pub(crate) fn route(queue: &str, pool: &str) -> Arc<Route> {
    Arc::new(Route {
        name: queue.into(),
        host: HOST.into(),
        prefix: format!("/{queue}/").into(),
        pool: pool.into(),
        allow_anonymous: true,
        priority: 0,
        max_attempts: 2,
        slack_factor: 2.0,
        base_objective: Duration::from_secs(1),
        policy: None,
    })
}

impl Codec for PoolCodec {
    fn config(&self, value: &[u8]) -> Result<ClusterConfig, String> {
        assert_ne!(value, PANICKING_CONFIG);
        if value == INVALID_CONFIG {
            return Err("invalid".to_owned());
        }
        let mut config = ClusterConfig {
            version: 1,
            ..ClusterConfig::default()
        };
        for word in String::from_utf8_lossy(value).split_whitespace() {
            if let Some(version) = word.strip_prefix('@') {
                config.version = version.parse().map_err(|_| word.to_owned())?;
                continue;
            }
            let pool = word.split_once('>').map_or(word, |(queue, pool)| {
                config.routes.push(route(queue, pool));
                pool
            });
            if config.pools.iter().all(|p| &*p.name != pool) {
                config.pools.push(Pool {
                    name: pool.into(),
                    standby: false,
                });
            }
        }
        Ok(config)
    }

    /// The record of a worker is the name of its pool, which may be followed by `@` and its zone.
    fn worker_info(&self, id: &str, value: &[u8]) -> Result<WorkerInfo, String> {
        let value = std::str::from_utf8(value).map_err(|e| e.to_string())?;
        let (pool, zone) = value.split_once('@').unwrap_or((value, ""));
        Ok(WorkerInfo {
            id: id.into(),
            pool: pool.into(),
            address: "127.0.0.1:9".into(),
            labels: Vec::new(),
            capacity: Resources {
                cpu: 32_000,
                memory: 64_000,
                gpu: 0,
            },
            draining: false,
            incarnation: INCARNATION,
            zone: zone.into(),
        })
    }

    fn wave(&self, _: &str, _: &[u8]) -> Option<Wave> {
        None
    }

    /// The key of a request is `evacuate/ZONE`, and its value is ignored.
    fn evacuation(&self, key: &str, _: &[u8]) -> Result<Option<Name>, String> {
        Ok(key.strip_prefix("evacuate/").map(Name::from))
    }

    fn config_key(&self) -> &'static str {
        "config"
    }

    fn wave_status(&self, wave: u64, _: bool) -> Record {
        Record {
            key: wave.to_string(),
            value: None,
        }
    }
}
