//! Reaching the owner of a shard, here or on another VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_trace::Span;
use lavenderhollow_trace::SpanContext;
use lavenderhollow_types::Clock;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::assignment::ClusterState;
use crate::assignment::Member;
use crate::assignment::Ownership;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::peers::PeerError;
use crate::peers::PeerHandler;
use crate::peers::Peers;
use crate::shard_id::ShardId;

/// The pause before an owner is looked for again; a change of owner takes some hundred times this.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The longest wait for one answer: an owner that takes longer is likely gone or frozen, and its
/// successor can answer.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(1_200);

/// How many questions may wait for one local owner.
pub(crate) const QUEUE_LENGTH: usize = 1_024;

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RequestError {
    /// No owner was reached; nothing was done.
    #[display("no owner reached")]
    OwnerUnreachable,
    /// An owner may have acted.
    #[display("outcome unknown")]
    OutcomeUnknown,
}

/// A request to the owner of a shard in this process.
pub(crate) enum LocalRequest {
    /// Answer a question.
    Send(ShardRequest, oneshot::Sender<ShardResponse>),
    /// Give the shard up once what is under way is stored.
    Release(oneshot::Sender<()>),
}

/// The way to an owner in this process.
pub(crate) type OwnerHandle = mpsc::Sender<LocalRequest>;

/// Finds owners.
pub struct Router {
    pub(crate) me: Member,
    pub(crate) peers: Peers,
    clock: Arc<dyn Clock>,
    cluster: Mutex<ClusterState>,
    local: Mutex<BTreeMap<ShardId, OwnerHandle>>,
}

impl Router {
    /// Creates a router that knows no owner.
    pub fn new(me: Member, clock: Arc<dyn Clock>) -> Self {
        Self {
            me,
            peers: Peers::default(),
            clock,
            cluster: Mutex::default(),
            local: Mutex::default(),
        }
    }

    /// Gives access to what is known of members and owners.
    pub fn cluster(&self) -> MutexGuard<'_, ClusterState> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn local(&self) -> MutexGuard<'_, BTreeMap<ShardId, OwnerHandle>> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the owner of a shard until `deadline`. Questions may be repeated, since owners take
    /// each of them once.
    ///
    /// # Errors
    ///
    /// Fails when no owner has answered by then.
    pub async fn send(
        &self,
        shard: ShardId,
        request: &ShardRequest,
        deadline: Instant,
    ) -> Result<ShardResponse, RequestError> {
        self.send_traced(None, shard, request, deadline).await
    }

    /// Asks as [`send`](Self::send) does, with spans for the hops below `parent`.
    ///
    /// # Errors
    ///
    /// Fails when no owner has answered by then.
    pub async fn send_traced(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: &ShardRequest,
        deadline: Instant,
    ) -> Result<ShardResponse, RequestError> {
        let mut failure = RequestError::OwnerUnreachable;
        loop {
            let left = deadline.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return Err(failure);
            }
            let limit = left.min(ATTEMPT_LIMIT);
            match self.attempt(parent, shard, request, limit).await {
                Ok(ShardResponse::NotOwner) => {}
                Ok(ShardResponse::OutcomeUnknown) => failure = RequestError::OutcomeUnknown,
                Ok(reply) => return Ok(reply),
                Err(PeerError::NotSent { detail }) => {
                    log::debug!(shard:display, detail:display; "owner_not_reached");
                }
                Err(PeerError::OutcomeUnknown { detail }) => {
                    log::info!(shard:display, kind = request.kind(), detail:display; "owner_silent");
                    failure = RequestError::OutcomeUnknown;
                }
            }
            tokio::time::sleep(RETRY_PAUSE.min(left)).await;
        }
    }

    async fn attempt(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: &ShardRequest,
        limit: Duration,
    ) -> Result<ShardResponse, PeerError> {
        if self.local().contains_key(&shard) {
            let reply = self.send_local(parent, shard, request.clone(), limit);
            return Ok(reply.await);
        }
        let owner = self.cluster().owner(shard).cloned();
        match owner {
            Some(owner) if owner.member != self.me && !owner.released => {
                let address = &owner.member.address;
                self.peers
                    .send(address, parent, shard, request.clone(), limit)
                    .await
            }
            _ => Ok(ShardResponse::NotOwner),
        }
    }

    /// Asks an owner in this process.
    pub(crate) async fn send_local(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
        limit: Duration,
    ) -> ShardResponse {
        let _span = parent.map(|context| {
            let span = Span::child("owner", context).with_attribute(|| ("kind", request.kind()));
            span.with_attribute(|| ("shard", shard.to_string()))
        });
        let owner = self.local().get(&shard).cloned();
        let Some(owner) = owner else {
            return ShardResponse::NotOwner;
        };
        let (answer, answered) = oneshot::channel();
        // A full queue refuses at once: its owner is too slow to answer in time.
        if owner.try_send(LocalRequest::Send(request, answer)).is_err() {
            return ShardResponse::NotOwner;
        }
        match tokio::time::timeout(limit, answered).await {
            Ok(Ok(reply)) => reply,
            // The owner ended, or is slow: what it was asked may be stored.
            Ok(Err(_)) | Err(_) => ShardResponse::OutcomeUnknown,
        }
    }
}

/// Answers peers with what this process owns.
#[derive(Clone)]
pub(crate) struct RouterHandler(pub(crate) Arc<Router>);

impl PeerHandler for RouterHandler {
    async fn send(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
    ) -> ShardResponse {
        let reply = self.0.send_local(parent, shard, request, ATTEMPT_LIMIT);
        reply.await
    }

    fn owners(&self) -> Vec<(ShardId, Ownership)> {
        let cluster = self.0.cluster();
        cluster.owners().map(|(s, o)| (s, o.clone())).collect()
    }
}
