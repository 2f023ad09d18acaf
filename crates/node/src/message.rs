//! The messages that node processes send to each other. They are encoded by position, so the order
//! of variants and fields is part of the format.

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
use crate::automatic::FleetAction;
use crate::shard_id::ShardId;
use crate::status::FleetView;

/// A request to the owner of a shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ShardRequest {
    /// Accept and store a job.
    Submit(Box<Job>),
    /// Cancel a job.
    Cancel(JobId),
    /// Return the state of a job.
    State(JobId),
    /// Return the number of a queue's jobs that have not started.
    Pending(Name),
    /// Drain a worker for the maintenance of its machine. The owner of the fleet shard repeats this
    /// until the worker is drained.
    DrainWorker {
        /// The name of the worker.
        worker: Name,
        /// Whether the worker is drained even if its pool is under load.
        urgent: bool,
    },
    /// Release an idle worker, so that its machine can move to another pool. Sent by the owner of
    /// the fleet shard.
    ReleaseWorker(Name),
    /// Handle the end of a worker's incarnation that was caused by a command to its machine. The
    /// worker's runs are lost.
    WorkerTerminated(Name),
    /// Record a shard's usage of the teams' limits and the demand of its pools, and return the
    /// shard's quotas. Only the owner of the fleet shard handles this.
    ReportUsage(ShardUsage),
    /// Return the status of the fleet. Only the owner of the fleet shard handles this.
    FleetStatus,
    /// Set the switch of an automatic action, or the one for all actions. Only the owner of the
    /// fleet shard handles this.
    SetSwitch {
        /// The action; `None` for the switch for all actions.
        action: Option<FleetAction>,
        /// Whether the switch is on.
        on: bool,
    },
    /// Confirm that a job is stored, which was submitted before its queue moved to another shard. An
    /// owner that does not know the job accepts no new ones of the queue from then on, unless a later
    /// configuration sends the queue to its shard.
    ConfirmJob {
        /// The job.
        id: JobId,
        /// The name of the job's queue.
        queue: Name,
        /// The version of the configuration that sends the queue to another shard.
        version: u64,
    },
}

impl ShardRequest {
    /// Returns the name of the request's kind in logs and traces.
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
            Self::ConfirmJob { .. } => "confirm",
        }
    }
}

/// One shard's usage of the teams' limits, and the demand of its pools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardUsage {
    /// The shard that reports.
    pub shard: ShardId,
    /// The fencing token of the shard's owner.
    pub fencing_token: u64,
    /// One report for each team.
    pub teams: Vec<TeamReport>,
    /// The capacity and the demand of each of the shard's pools.
    pub pools: Vec<(Name, PoolDemand)>,
}

/// One shard's usage of one team's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamReport {
    /// The name of the team.
    pub team: Name,
    /// The resources that the team's runs in this shard use.
    pub used: Resources,
    /// The resources of the tasks that wait for a higher quota.
    pub pending: Resources,
    /// The resources of the first waiting task or gang, which starts only as a whole.
    pub next_unit: Option<Resources>,
    /// The shard's current quota for the team; `None` before the first.
    pub quota: Option<Resources>,
}

/// The quotas that a shard gets in response to its usage report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentQuotas {
    /// The quota of each team that has a limit.
    pub quotas: Vec<(Name, Resources)>,
    /// Whether another shard waits for a part of one of the limits, so that a quota which has shrunk
    /// is to be confirmed at once.
    pub claimed: bool,
}

/// The response of the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardResponse {
    /// The request was carried out. The job, its cancellation or the switch is stored.
    Accepted,
    /// The job was rejected and will not run unless it is submitted again.
    Rejected {
        /// How long the caller should wait before submitting it again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The shard has no such job or worker.
    NotFound,
    /// The state of a job.
    State(JobState),
    /// The number of a queue's jobs that have not started.
    Pending(u64),
    /// The worker is drained or released, so its machine may go down or move.
    Drained,
    /// The worker is still in use, so its machine may not go down or move yet.
    Busy,
    /// The drain is deferred, since the worker's pool is under load.
    Deferred,
    /// The shard's quota for each team.
    Quotas(SentQuotas),
    /// The status of the fleet.
    Fleet(Box<FleetView>),
    /// This process does not own the shard; nothing was done.
    NotOwner,
    /// The owner lost the shard, stopped or took too long; the request may have been carried out.
    OutcomeUnknown,
    /// The configuration sends the job's queue to another shard; nothing was done.
    QueueMoved,
    /// The owner's store does not respond. The request was not carried out and never will be.
    Unavailable {
        /// How long the caller should wait before a retry, in milliseconds.
        retry_after_ms: u64,
    },
}

impl From<Response> for ShardResponse {
    fn from(response: Response) -> Self {
        match response {
            Response::Accepted => Self::Accepted,
            Response::Rejected { retry_after } => Self::Rejected {
                retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            },
            Response::NotFound => Self::NotFound,
        }
    }
}

/// The RPC service that each node process offers to its peers.
#[tarpc::service]
pub(crate) trait Peer {
    /// Sends a request to the owner of a shard in the called process; `parent` is the span of the
    /// caller.
    async fn send(
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
    ) -> ShardResponse;

    /// Returns the shard owners known to the called process.
    async fn owners() -> Vec<(ShardId, Ownership)>;
}
