//! Messages between entries.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use lavenderhollow_core::freshness::Report;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::JobId;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RequestId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::seal::SealError;
use crate::seal::Sealed;

/// How much a status question asks for. Summaries are the larger part of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Detail {
    /// Freshness alone.
    Freshness,
    /// Freshness and the entry's own summary.
    Entry,
    /// Freshness and the sum over the entry's availability zone.
    Zone,
}

/// What is in use and waiting of one team's limit.
///
/// Teams are named by their place in the configuration, which makes a message several times
/// smaller than names do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TeamDemand {
    pub(crate) team: u16,
    pub(crate) used: u32,
    pub(crate) waiting: u32,
}

/// Free slots and waiting requests of one pool, which is named by its place in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PoolRoom {
    pub(crate) pool: u16,
    pub(crate) free: u32,
    pub(crate) waiting: u32,
}

/// Demand and free slots of an entry or of a zone. Teams and pools without any are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Summary {
    /// The configuration whose teams and pools are meant.
    pub(crate) version: Version,
    pub(crate) teams: Vec<TeamDemand>,
    pub(crate) pools: Vec<PoolRoom>,
}

impl Summary {
    /// Returns the demand of a team in use and waiting, if the summary is of this configuration.
    pub(crate) fn demand(&self, version: Version, team: u16) -> (u64, u64) {
        let mut teams = self.teams.iter().filter(|_| self.version == version);
        let demand = teams.find(|demand| demand.team == team);
        demand.map_or((0, 0), |demand| (demand.used.into(), demand.waiting.into()))
    }

    /// Returns the free slots and the waiting requests of a pool, if the summary is of this
    /// configuration.
    pub(crate) fn room(&self, version: Version, pool: u16) -> (u32, u32) {
        let mut pools = self.pools.iter().filter(|_| self.version == version);
        let room = pools.find(|room| room.pool == pool);
        room.map_or((0, 0), |room| (room.free, room.waiting))
    }

    /// Adds another summary of the same configuration.
    pub(crate) fn add(&mut self, other: &Self) {
        if other.version != self.version {
            return;
        }
        for demand in &other.teams {
            match self.teams.iter_mut().find(|d| d.team == demand.team) {
                Some(sum) => {
                    sum.used = sum.used.saturating_add(demand.used);
                    sum.waiting = sum.waiting.saturating_add(demand.waiting);
                }
                None => self.teams.push(*demand),
            }
        }
        for room in &other.pools {
            match self.pools.iter_mut().find(|r| r.pool == room.pool) {
                Some(sum) => {
                    sum.free = sum.free.saturating_add(room.free);
                    sum.waiting = sum.waiting.saturating_add(room.waiting);
                }
                None => self.pools.push(*room),
            }
        }
    }
}

/// The answer to a status question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StatusReply {
    pub(crate) incarnation: Incarnation,
    /// Whether the entry is shutting down, so that it gets no slots and no work any more.
    pub(crate) closing: bool,
    pub(crate) report: Report,
    pub(crate) summary: Option<Summary>,
}

/// A configuration as a peer has it installed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ConfigReply {
    pub(crate) version: Version,
    /// The document as JSON.
    pub(crate) document: String,
}

/// Why a request is forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ForwardFor {
    /// The receiver has free targets.
    Room,
    /// The receiver's zone keeps the team's claims; the text is the idempotency key.
    Claim(String),
    /// The receiver owns the ticket with this text.
    Ticket(String),
    /// The receiver's zone keeps the team's durable jobs; the text is the job's id.
    Submit(String),
}

/// A question about a durable job, or its cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobQuestion {
    pub(crate) team: TeamName,
    pub(crate) job: JobId,
    pub(crate) cancel: bool,
    pub(crate) hops: u8,
}

/// The state of a durable job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobView {
    pub(crate) job: JobId,
    pub(crate) state: JobState,
    pub(crate) attempts: u32,
    /// Why the job ended without success.
    pub(crate) detail: Option<String>,
    /// The result of a job that succeeded.
    pub(crate) result: Option<Vec<u8>>,
}

/// Where a durable job is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobState {
    #[display("waiting")]
    Waiting,
    #[display("running")]
    Running,
    #[display("succeeded")]
    Succeeded,
    #[display("failed")]
    Failed,
    #[display("not_run")]
    NotRun,
    #[display("may_have_run")]
    MayHaveRun,
}

/// A request that another entry is to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Forward {
    pub(crate) request: RequestId,
    pub(crate) queue: QueueName,
    pub(crate) team: Option<TeamName>,
    pub(crate) purpose: ForwardFor,
    pub(crate) urgent: bool,
    /// The time left until the caller's deadline.
    pub(crate) left: Duration,
    pub(crate) trace: Option<String>,
    /// How often the request was forwarded before; it is forwarded once at most.
    pub(crate) hops: u8,
    pub(crate) body: Vec<u8>,
}

/// What became of a forwarded request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ForwardReply {
    NotRun(Refusal),
    MayHaveRun(Doubt),
    Ran {
        succeeded: bool,
        body: Vec<u8>,
    },
    /// The durable job is in the log.
    Submitted,
}

/// Why a peer does not answer a message.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerError {
    /// The message is not trusted.
    #[display("{_0}")]
    Seal(SealError),
    /// The peer has no configuration yet.
    #[display("peer has no configuration yet")]
    #[from(skip)]
    NoConfig,
}

/// The calls between entries. Each argument and answer is sealed.
#[tarpc::service]
pub(crate) trait Peer {
    /// Exchanges status and summary.
    async fn status(question: Sealed) -> Result<Sealed, PeerError>;
    /// Gets the installed configuration.
    async fn config(question: Sealed) -> Result<Sealed, PeerError>;
    /// Asks about a durable job.
    async fn job(question: Sealed) -> Result<Sealed, PeerError>;
    /// Runs a request.
    async fn forward(request: Sealed) -> Result<Sealed, PeerError>;
}
