//! What the process needs of the platform, as interfaces.

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

/// A keyed topic of the platform's store: the newest record of each key is retained.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// What operators publish.
    #[display("operator")]
    Operator,
    /// The workers' own entries.
    #[display("workers")]
    Workers,
    /// What operators read of the system.
    #[display("status")]
    Status,
    /// Which member owns which shard.
    #[display("owners")]
    Owners,
    /// The records of one shard.
    #[display("shard/{_0}")]
    Shard(ShardId),
}

/// Why a call of the store has no usable answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The topic does not end where the append wanted it to; nothing was done.
    #[display("the topic ends at {end_offset}")]
    OffsetMismatch {
        /// The offset after the last record.
        end_offset: u64,
    },
    /// The records are no longer there.
    #[display("records before {first} are gone")]
    Trimmed {
        /// The first offset that is retained.
        first: u64,
    },
    /// The store refused; nothing was done.
    #[display("refused: {detail}")]
    Refused {
        /// What it answered.
        detail: String,
    },
    /// There is no answer; the call may have been carried out, or may be later.
    #[display("no answer: {detail}")]
    OutcomeUnknown {
        /// What happened.
        detail: String,
    },
}

/// A record with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The offset of the record.
    pub offset: u64,
    /// The key.
    pub key: String,
    /// The value; nothing when the key was removed.
    pub value: Option<Vec<u8>>,
}

/// Records, and where the topic ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records, in the order of their offsets or keys.
    pub entries: Vec<Entry>,
    /// The offset after the last record of the topic.
    pub end_offset: u64,
    /// Whether more records follow.
    pub has_more: bool,
}

/// The platform's store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Appends records all or nothing and returns the offset of the first. With `at`, only if the
    /// topic ends there.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreError`] tells.
    async fn append(
        &self,
        topic: Topic,
        expected_end: Option<u64>,
        records: &[Record],
    ) -> Result<u64, StoreError>;

    /// Reads records from an offset on, and waits for one for up to `wait`.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreError`] tells.
    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError>;

    /// Reads the newest records of the keys after `after`.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreError`] tells.
    async fn read_latest(&self, topic: Topic, after: Option<&str>) -> Result<Page, StoreError>;

    /// Keeps a member among the live ones for `ttl`. Takes the number that the last call returned,
    /// or zero, and returns one that changes with the set of members.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreError`] tells.
    async fn join(&self, member: &str, ttl: Duration, generation: u64) -> Result<u64, StoreError>;

    /// Removes a member from the live ones.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreError`] tells.
    async fn leave(&self, member: &str) -> Result<(), StoreError>;

    /// Returns the live members.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreError`] tells.
    async fn members(&self) -> Result<Vec<Name>, StoreError>;
}

/// The worker that a call is meant for, and the token that it carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The id of the worker.
    pub id: Name,
    /// Where it is reached.
    pub address: Name,
    /// The token of the shard's owner.
    pub fencing_token: u64,
}

/// Why a look at a worker has no lists.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum PollError {
    /// The worker has seen a higher token.
    #[display("a higher token was seen")]
    StaleToken,
    /// Another worker answers at the address.
    #[display("another worker answers")]
    WrongWorker,
    /// There is no usable answer.
    #[display("no answer")]
    NoResponse,
}

/// The workers.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Orders the start of a task.
    async fn start(&self, target: &Target, order: &StartRequest) -> StartOutcome;

    /// Orders the stop of a run; tells whether the worker confirmed it.
    async fn stop(&self, target: &Target, run: RunId) -> bool;

    /// Looks at a worker and renews its lease.
    ///
    /// # Errors
    ///
    /// Fails as [`PollError`] tells.
    async fn poll(&self, target: &Target, order: PollRequest) -> Result<WorkerReport, PollError>;

    /// Sets the share at which a filling task works, in percent; tells whether it was confirmed.
    async fn throttle(&self, target: &Target, run: RunId, percent: u32) -> bool;
}

/// The workers that may run a step, with their tickets, and for how long these hold.
pub type PolicyDecision = (Vec<(Name, Name)>, Duration);

/// The policy service of queues that ask for one.
#[async_trait]
pub trait PolicyClient: Send + Sync {
    /// Asks which workers may run a step; nothing when there is no usable answer.
    async fn allowed_workers(&self, step: StepId, workers: &[Name]) -> Option<PolicyDecision>;
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It serves its pool.
    Up,
    /// It is in upkeep, so that the life of its worker has ended.
    Maintenance,
    /// It moves or is down.
    Unavailable,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The name of the machine.
    pub name: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// What it does.
    pub state: MachineState,
    /// The worker that runs on it.
    pub worker: Option<Name>,
    /// What it offers.
    pub capacity: Resources,
}

/// What came of an order for a machine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum MachineResponse {
    /// It was carried out, now or before.
    #[display("done")]
    Done,
    /// A higher token was seen.
    #[display("deposed")]
    StaleToken,
    /// The machine is not up, or leaves.
    #[display("busy")]
    Busy,
    /// The machine does not belong to the wave, the pool does not take it, or there is no such
    /// machine.
    #[display("impossible")]
    Invalid,
    /// The platform refused for now; nothing was done.
    #[display("refused")]
    Unavailable,
    /// There is no answer; it may have been carried out.
    #[display("unknown")]
    OutcomeUnknown,
}

/// Who orders something of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The name of the VM.
    pub name: Name,
    /// The token of the fleet shard's owner.
    pub fencing_token: u64,
}

/// The machines.
#[async_trait]
pub trait Machines: Send + Sync {
    /// Lists the machines; nothing when there is no usable answer.
    async fn list(&self) -> Option<Vec<Machine>>;

    /// Orders the upkeep of a machine for a wave.
    async fn start_maintenance(
        &self,
        holder: &LeaseHolder,
        machine: &str,
        wave: u64,
    ) -> MachineResponse;

    /// Orders the move of a machine to another pool.
    async fn move_to(&self, holder: &LeaseHolder, machine: &str, pool: &str) -> MachineResponse;
}

/// Decodes what others write into the store, and encodes what operators read.
pub trait Codec: Send + Sync {
    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Fails with what is wrong with it.
    fn config(&self, value: &[u8]) -> Result<ClusterConfig, String>;

    /// Decodes a worker's entry; nothing when it names no usable worker.
    fn worker_info(&self, id: &str, value: &[u8]) -> Option<WorkerInfo>;

    /// Decodes a wave; nothing when the key is of something else.
    fn wave(&self, key: &str, value: &[u8]) -> Option<Wave>;

    /// Returns the key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Encodes the state of a wave.
    fn wave_status(&self, wave: u64, completed: bool) -> Record;
}

/// All of the platform.
#[derive(Clone)]
pub struct Platform {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The machines; nothing where the platform has no interface for them.
    pub machines: Option<Arc<dyn Machines>>,
    /// The policy service; nothing where the platform has none.
    pub policy: Option<Arc<dyn PolicyClient>>,
    /// The formats of the others' records.
    pub codec: Arc<dyn Codec>,
}
