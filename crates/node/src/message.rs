//! Messages between processes.

use lavenderhollow_shard::Job;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::JobState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PoolDemand;
use lavenderhollow_shard::Resources;
use lavenderhollow_shard::Response;
use lavenderhollow_trace::SpanContext;
use serde::Deserialize;
use serde::Serialize;

use crate::assignment::Ownership;
use crate::automatic::AutomaticAction;
use crate::shard_id::ShardId;
use crate::status::FleetView;

/// What is asked of the owner of a shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ShardRequest {
    /// Take a job in.
    Submit(Box<Job>),
    /// Cancel a job.
    Cancel(JobId),
    /// Tell the state of a job.
    State(JobId),
    /// Count the jobs of a queue that have not begun.
    Pending(Name),
    /// Keep a worker free for the upkeep of its machine.
    DrainWorker {
        /// The worker.
        worker: Name,
        /// Whether a pool under load has to give it as well.
        urgent: bool,
    },
    /// Give a worker away, so that its machine can move to another pool.
    ReleaseWorker(Name),
    /// Take in that a worker's life was ended by an order to its machine.
    WorkerTerminated(Name),
    /// Take a shard's use of the teams' limits and its pools' demands, and tell its allotments.
    /// Only the owner of the fleet shard answers.
    ReportUsage(ShardUsage),
    /// Tell what the owner of the fleet shard knows. Only it answers.
    FleetStatus,
    /// Turn the switch of an automatic action, or that of all actions. Only the owner of the fleet
    /// shard answers.
    SetSwitch {
        /// The action; nothing for all actions.
        action: Option<AutomaticAction>,
        /// Whether the switch is on.
        on: bool,
    },
}

impl ShardRequest {
    /// Returns a short name for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Cancel(_) => "cancel",
            Self::State(_) => "state",
            Self::Pending(_) => "pending",
            Self::DrainWorker { .. } => "vacate",
            Self::ReleaseWorker(_) => "lend",
            Self::WorkerTerminated(_) => "ended",
            Self::ReportUsage(_) => "allot",
            Self::FleetStatus => "fleet",
            Self::SetSwitch { .. } => "switch",
        }
    }
}

/// What one shard uses of the teams' limits, and what its pools need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardUsage {
    /// The shard.
    pub shard: ShardId,
    /// The token of its owner.
    pub fencing_token: u64,
    /// A row for each team.
    pub teams: Vec<TeamReport>,
    /// The demands of the shard's pools.
    pub pools: Vec<(Name, PoolDemand)>,
}

/// What a shard uses of one team's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamReport {
    /// The team.
    pub team: Name,
    /// What runs.
    pub used: Resources,
    /// What waits for a higher allotment.
    pub pending: Resources,
    /// The allotment in force; nothing before the first.
    pub quota: Option<Resources>,
}

/// The answer of the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardResponse {
    /// What was asked is taken in; the job, its cancellation or the switch is stored.
    Accepted,
    /// The job was not accepted and never runs.
    Refused {
        /// When it may be submitted again, in milliseconds.
        retry_after_ms: u64,
    },
    /// There is no such job.
    NotFound,
    /// The state of a job.
    State(JobState),
    /// A number of jobs.
    Pending(u64),
    /// The worker's machine may go down.
    Drained,
    /// The worker's machine may not go down yet.
    Busy,
    /// The pool needs the worker now.
    Deferred,
    /// The allotments of a shard, for each team.
    Quotas(Vec<(Name, Resources)>),
    /// What the owner of the fleet shard knows.
    Fleet(Box<FleetView>),
    /// This process does not own the shard; nothing was done.
    NotOwner,
    /// The owner lost the shard before the answer was certain.
    OutcomeUnknown,
}

impl From<Response> for ShardResponse {
    fn from(answer: Response) -> Self {
        match answer {
            Response::Accepted => Self::Accepted,
            Response::Refused { retry_after } => Self::Refused {
                retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            },
            Response::NotFound => Self::NotFound,
        }
    }
}

/// The calls between processes.
#[tarpc::service]
pub(crate) trait Peer {
    /// Asks the owner of a shard; `parent` is the caller's place in a trace.
    async fn send(
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
    ) -> ShardResponse;

    /// Returns the owners of shards as far as they are known.
    async fn owners() -> Vec<(ShardId, Ownership)>;
}
