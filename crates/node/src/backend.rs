//! The traits through which the node process uses the platform: its store, workers, machines and
//! policy service, and the formats of the records that it exchanges with operators and workers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::Display;
use derive_more::Error;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PollRequest;
use lavenderhollow_shard::Record;
use lavenderhollow_shard::Resources;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::StartOutcome;
use lavenderhollow_shard::StartRequest;
use lavenderhollow_shard::StepId;
use lavenderhollow_shard::WorkerInfo;
use lavenderhollow_shard::WorkerReport;

use crate::cluster_config::ClusterConfig;
use crate::cluster_config::Wave;
use crate::shard_id::ShardId;

/// A keyed topic of the platform's store, which retains the latest record of each key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// The configuration, the maintenance waves and the requests to evacuate zones, published by
    /// operators.
    #[display("operator")]
    Operator,
    /// The workers' registrations, each written by the worker itself.
    #[display("workers")]
    Workers,
    /// The status of maintenance waves, written for operators.
    #[display("status")]
    Status,
    /// The owner of each shard.
    #[display("owners")]
    Owners,
    /// The records of one shard, written by its owner: a partition of its own in the store.
    #[display("shard/{_0}")]
    Shard(ShardId),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The topic does not end at the offset that the append expects; nothing was appended.
    #[display("offset mismatch: the topic ends at offset {end_offset}")]
    OffsetMismatch {
        /// The offset after the topic's last record.
        end_offset: u64,
    },
    /// The store has compacted the topic: records at the requested offset are no longer retained.
    #[display("records before offset {first} are no longer retained")]
    Compacted {
        /// The first offset from which reading is possible.
        first: u64,
    },
    /// The store rejected the call, or the call could not be encoded; nothing was done.
    #[display("rejected by the store: {detail}")]
    Rejected {
        /// The store's response, or why the call could not be encoded.
        detail: String,
    },
    /// The store refused the records of an append as such, for example for their size; nothing was
    /// appended, and a repeat is refused as well.
    #[display("the records are refused by the store: {detail}")]
    Refused {
        /// The store's response, or why the records could not be encoded.
        detail: String,
    },
    /// There is no usable response. The call may have been carried out, or may be carried out
    /// later.
    #[display("no usable response, outcome unknown: {detail}")]
    OutcomeUnknown {
        /// The connection error, or what is wrong with the response.
        detail: String,
    },
}

/// A record read from a topic, with its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The offset of the record in its topic.
    pub offset: u64,
    /// The key of the record.
    pub key: String,
    /// The value; `None` if the record removes the key.
    pub value: Option<Vec<u8>>,
}

/// Consecutive records of a topic. Records that can't be decoded are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records, ordered by offset.
    pub entries: Vec<Entry>,
    /// The offset after the last record of this page, whether that could be decoded or not.
    pub next_offset: u64,
    /// The offset after the last record of the topic.
    pub end_offset: u64,
}

/// One page of the latest record of each key of a topic. Records whose key can't be decoded are left
/// out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The records, ordered by key.
    pub entries: Vec<Entry>,
    /// The last key of this page, as it is stored, if more records follow. It need not be UTF-8.
    pub next_after: Option<Vec<u8>>,
    /// The offset after the last record of the topic.
    pub end_offset: u64,
}

/// The platform's store: an append-only log of records per topic, and the set of live members.
#[async_trait]
pub trait Store: Send + Sync {
    /// Returns how many bytes one append may have so that the store takes it and one read returns it.
    fn max_append_bytes(&self) -> usize;

    /// Appends all of the records or none, and returns the offset of the first. With
    /// `expected_end`, appends only if the topic ends at that offset.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store rejects the call or has no usable response.
    async fn append(
        &self,
        topic: Topic,
        expected_end: Option<u64>,
        records: &[Record],
    ) -> Result<u64, StoreError>;

    /// Reads records from the offset `from` on, and waits for up to `wait` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store rejects the call or has no usable response.
    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError>;

    /// Reads a page of the latest record of each key, for the keys that sort after `after`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store rejects the call or has no usable response.
    async fn read_latest(&self, topic: Topic, after: Option<&[u8]>) -> Result<Listing, StoreError>;

    /// Registers a member as live, or renews its registration, for `ttl`. `generation` is the
    /// number that the last call returned, or zero. The returned number changes with the set of
    /// members.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store rejects the call or has no usable response.
    async fn join(&self, member: &str, ttl: Duration, generation: u64) -> Result<u64, StoreError>;

    /// Removes a member from the set of live members.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store rejects the call or has no usable response.
    async fn leave(&self, member: &str) -> Result<(), StoreError>;

    /// Returns the live members, as the strings that they joined with.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store rejects the call or has no usable response.
    async fn members(&self) -> Result<Vec<Name>, StoreError>;
}

/// The worker that a call is sent to, and the fencing token that it carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The id of the worker; a call that reaches a different worker is rejected.
    pub id: Name,
    /// The address of the worker.
    pub address: Name,
    /// The fencing token of the shard's owner. Workers reject a lower token than one they have
    /// seen.
    pub fencing_token: u64,
}

/// Why polling a worker returned no report.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum PollError {
    /// The worker has seen a higher fencing token, so this owner has been superseded.
    #[display("a higher token was seen")]
    StaleToken,
    /// A different worker responded at the address.
    #[display("another worker answers")]
    WrongWorker,
    /// There is no usable response.
    #[display("no answer")]
    NoResponse,
}

/// Calls to the workers.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Requests the start of a run on the worker.
    async fn start(&self, target: &Target, request: &StartRequest) -> StartOutcome;

    /// Requests the stop of a run. Returns whether the worker confirmed it.
    async fn stop(&self, target: &Target, run: RunId) -> bool;

    /// Polls a worker for its report and renews its lease.
    ///
    /// # Errors
    ///
    /// Returns a [`PollError`] if the worker rejects the poll or has no usable response.
    async fn poll(&self, target: &Target, request: PollRequest) -> Result<WorkerReport, PollError>;

    /// Throttles the run of a best-effort task to `percent` of its CPU. Returns whether the worker
    /// confirmed it.
    async fn throttle(&self, target: &Target, run: RunId, percent: u32) -> bool;
}

/// The workers that may run a step, each with its ticket, and how long the tickets are valid.
pub type PolicyDecision = (Vec<(Name, Name)>, Duration);

/// A client of the policy service, for queues with a placement policy.
#[async_trait]
pub trait PolicyClient: Send + Sync {
    /// Asks which of the workers may run a step. Returns `None` if there is no usable response.
    async fn allowed_workers(&self, step: StepId, workers: &[Name]) -> Option<PolicyDecision>;
}

/// The state of a machine, as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// The machine serves its pool.
    Up,
    /// The machine is under maintenance, so the incarnation of its worker has ended.
    Maintenance,
    /// The machine is down or on its way to another pool.
    Unavailable,
}

/// A machine in the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The name of the machine.
    pub name: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// Whether the machine is up, under maintenance or unavailable.
    pub state: MachineState,
    /// The worker that runs on the machine, if one does.
    pub worker: Option<Name>,
    /// The resources that the machine offers.
    pub capacity: Resources,
    /// The zone that the machine is in; empty if the list names none.
    pub zone: Name,
}

impl Machine {
    /// Returns whether the machine is in one of the zones. A machine without a zone is in none.
    pub(crate) fn is_in(&self, zones: &BTreeSet<Name>) -> bool {
        !self.zone.is_empty() && zones.contains(&self.zone)
    }
}

/// The outcome of a command for a machine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum MachineResponse {
    /// The command was carried out, now or by an earlier call.
    #[display("done")]
    Done,
    /// The platform has seen a higher fencing token; nothing was done.
    #[display("deposed")]
    StaleToken,
    /// The machine is not up, or is leaving its pool.
    #[display("busy")]
    Busy,
    /// The machine does not belong to the wave, the pool does not accept it, or there is no such
    /// machine.
    #[display("impossible")]
    Invalid,
    /// The platform rejected the command for now; nothing was done.
    #[display("refused")]
    Unavailable,
    /// There is no usable response; the command may have been carried out.
    #[display("unknown")]
    OutcomeUnknown,
}

/// The owner of the fleet shard, on whose behalf commands are sent to the machine interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The name of the VM whose process owns the fleet shard.
    pub name: Name,
    /// The fencing token of the owner of the fleet shard.
    pub fencing_token: u64,
}

/// The machine interface: the list of machines, and the commands for them.
#[async_trait]
pub trait Machines: Send + Sync {
    /// Lists the machines. Returns `None` if there is no usable response.
    async fn list(&self) -> Option<Vec<Machine>>;

    /// Starts the maintenance of a machine for a wave.
    async fn start_maintenance(
        &self,
        holder: &LeaseHolder,
        machine: &str,
        wave: u64,
    ) -> MachineResponse;

    /// Starts the move of a machine to another pool.
    async fn move_to(&self, holder: &LeaseHolder, machine: &str, pool: &str) -> MachineResponse;
}

/// Decodes the records that operators and workers write into the store, and encodes those that
/// operators read.
pub trait Codec: Send + Sync {
    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with a configuration that can't be used.
    fn config(&self, value: &[u8]) -> Result<ClusterConfig, String>;

    /// Decodes a worker's registration.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with a record that describes no usable worker.
    fn worker_info(&self, id: &str, value: &[u8]) -> Result<WorkerInfo, String>;

    /// Decodes a maintenance wave. Returns `None` if the key is not that of a wave or the value
    /// can't be decoded.
    fn wave(&self, key: &str, value: &[u8]) -> Option<Wave>;

    /// Decodes a request to evacuate a zone, and returns the name of the zone, which is not empty.
    /// Returns `None` for the keys of other records.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with a request that can't be used, or with a key that no
    /// record of operators has.
    fn evacuation(&self, key: &str, value: &[u8]) -> Result<Option<Name>, String>;

    /// Returns the key under which operators publish the configuration.
    fn config_key(&self) -> &'static str;

    /// Encodes the status of a wave, for [`Topic::Status`].
    fn wave_status(&self, wave: u64, completed: bool) -> Record;
}

/// The clients for all parts of the platform.
#[derive(Clone)]
pub struct Platform {
    /// The client of the store.
    pub store: Arc<dyn Store>,
    /// The client of the workers.
    pub workers: Arc<dyn Workers>,
    /// The client of the machine interface; `None` if the platform has none.
    pub machines: Option<Arc<dyn Machines>>,
    /// The client of the policy service; `None` if the platform has none.
    pub policy: Option<Arc<dyn PolicyClient>>,
    /// The formats of the records that operators and workers exchange with the process.
    pub codec: Arc<dyn Codec>,
}
