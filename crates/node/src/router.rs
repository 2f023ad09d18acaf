//! Sends requests to the owner of a shard, in this process or on another VM.

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
use crate::attempts::Attempts;
use crate::held_bytes::HeldBytes;
use crate::held_bytes::Hold;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::peers::PeerError;
use crate::peers::PeerHandler;
use crate::peers::Peers;
use crate::queue_shards::QueueShards;
use crate::shard_id::ShardId;

/// The delay before a request is sent to the owner again. A change of owner takes about a hundred
/// times as long.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The timeout of one attempt. An owner that takes longer has likely terminated or hangs, and the
/// next attempt may reach its successor.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The number of requests that may be queued for one owner in this process.
pub(crate) const OWNER_QUEUE_CAPACITY: usize = 1_024;

/// The most bytes of submissions that the owners in this process hold unanswered, a tenth of the memory
/// of the smallest VM. Jobs of 5 kB fill the queues of three owners with it.
const OWNER_QUEUE_BYTES: usize = 16_000_000;

/// How long the caller of a submission beyond that should wait: an owner takes several turns per second.
const OWNER_RETRY_MS: u64 = 1_000;

/// Why a request to the owner of a shard has no response.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RequestError {
    /// No owner received the request, so nothing was done.
    #[display("no owner of the shard was reached")]
    OwnerUnreachable,
    /// An owner received the request and may have carried it out.
    #[display("no response from the owner, outcome unknown")]
    OutcomeUnknown,
}

/// A request to the owner of a shard in this process.
pub(crate) enum LocalRequest {
    /// Handle a request and send the response.
    Send(ShardRequest, Responder),
    /// Release the shard once all changes in progress are stored, then signal completion.
    Release(oneshot::Sender<()>),
}

/// Sends the response to a request. The bytes of a submission are held until then, also if its sender
/// has stopped waiting.
#[derive(Debug)]
pub(crate) struct Responder {
    sender: oneshot::Sender<ShardResponse>,
    _hold: Option<Hold>,
}

impl Responder {
    /// Sends the response.
    ///
    /// # Errors
    ///
    /// Returns the response if the sender of the request has stopped waiting.
    pub(crate) fn send(self, response: ShardResponse) -> Result<(), ShardResponse> {
        self.sender.send(response)
    }

    /// Returns whether the sender of the request has stopped waiting.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// The sender of requests to an owner in this process.
pub(crate) type OwnerHandle = mpsc::Sender<LocalRequest>;

/// Finds the owners of shards and sends requests to them.
pub struct Router {
    pub(crate) me: Member,
    pub(crate) peers: Peers,
    /// The shards that hold jobs of each queue.
    pub(crate) queue_shards: QueueShards,
    clock: Arc<dyn Clock>,
    cluster: Mutex<ClusterState>,
    local_owners: Mutex<BTreeMap<ShardId, OwnerHandle>>,
    /// The submissions that the owners in this process have not answered.
    held: HeldBytes,
}

impl Router {
    /// Creates a router that knows no owners yet; `me` identifies this process among the members.
    pub fn new(me: Member, clock: Arc<dyn Clock>) -> Self {
        Self {
            me,
            peers: Peers::default(),
            queue_shards: QueueShards::default(),
            clock,
            cluster: Mutex::default(),
            local_owners: Mutex::default(),
            held: HeldBytes::new(OWNER_QUEUE_BYTES),
        }
    }

    /// Locks and returns the known members and shard owners.
    pub fn cluster(&self) -> MutexGuard<'_, ClusterState> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the handles of the owners that run in this process.
    pub(crate) fn local_owners(&self) -> MutexGuard<'_, BTreeMap<ShardId, OwnerHandle>> {
        self.local_owners
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request to the owner of a shard, and repeats it until there is a response or
    /// `deadline` has passed. Repeating is safe, since owners carry out a repeated request only
    /// once.
    ///
    /// # Errors
    ///
    /// Returns an error if no owner has responded by then.
    pub async fn send(
        &self,
        shard: ShardId,
        request: &ShardRequest,
        deadline: Instant,
    ) -> Result<ShardResponse, RequestError> {
        self.send_traced(None, shard, request, deadline).await
    }

    /// Does the same as [`send`](Self::send), and records the calls as child spans of `parent`.
    ///
    /// # Errors
    ///
    /// Returns an error if no owner has responded by then.
    pub async fn send_traced(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: &ShardRequest,
        deadline: Instant,
    ) -> Result<ShardResponse, RequestError> {
        let mut attempts = Attempts::default();
        loop {
            let remaining = deadline.saturating_duration_since(self.clock.now());
            if remaining.is_zero() {
                return Err(attempts.error());
            }
            let timeout = remaining.min(ATTEMPT_TIMEOUT);
            match self.send_once(parent, shard, request, timeout).await {
                Ok(ShardResponse::NotOwner) => {}
                Ok(ShardResponse::OutcomeUnknown) => attempts.add_unknown(),
                Ok(response) => return attempts.conclude(response),
                Err(PeerError::NotSent { detail }) => {
                    log::debug!(shard:display, detail:display; "owner_not_reached");
                }
                Err(PeerError::OutcomeUnknown { detail }) => {
                    log::info!(
                        shard:display, kind = request.kind(), detail:display; "owner_call_failed"
                    );
                    attempts.add_unknown();
                }
            }
            // The attempt may have taken all the time that was left.
            let remaining = deadline.saturating_duration_since(self.clock.now());
            tokio::time::sleep(RETRY_DELAY.min(remaining)).await;
        }
    }

    /// Sends a request to the known owner, here or on another VM, and waits up to `timeout`.
    async fn send_once(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: &ShardRequest,
        timeout: Duration,
    ) -> Result<ShardResponse, PeerError> {
        if self.local_owners().contains_key(&shard) {
            let response = self.send_local(parent, shard, request.clone(), timeout);
            return Ok(response.await);
        }
        let owner = self.cluster().owner(shard).cloned();
        match owner {
            Some(owner) if owner.member != self.me && !owner.released => {
                let address = &owner.member.address;
                self.peers
                    .send(address, parent, shard, request.clone(), timeout)
                    .await
            }
            _ => Ok(ShardResponse::NotOwner),
        }
    }

    /// Sends a request to an owner in this process. Returns `NotOwner` if there is none or its
    /// queue is full, and `Rejected` if too many bytes of submissions have no answer yet.
    pub(crate) async fn send_local(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
        timeout: Duration,
    ) -> ShardResponse {
        let _span = parent.map(|context| {
            let span = Span::child("owner", context).with_attribute(|| ("kind", request.kind()));
            span.with_attribute(|| ("shard", shard.to_string()))
        });
        let owner = self.local_owners().get(&shard).cloned();
        let Some(owner) = owner else {
            return ShardResponse::NotOwner;
        };
        let hold = match &request {
            ShardRequest::Submit(job) => {
                let Some(hold) = self.held.try_hold(job.approximate_size()) else {
                    metrics::counter!("submissions_not_held_total").increment(1);
                    return ShardResponse::Rejected {
                        retry_after_ms: OWNER_RETRY_MS,
                    };
                };
                Some(hold)
            }
            _ => None,
        };
        let (sender, response_receiver) = oneshot::channel();
        let responder = Responder {
            sender,
            _hold: hold,
        };
        // A full queue rejects the request at once, since its owner is too slow to respond in time.
        if owner
            .try_send(LocalRequest::Send(request, responder))
            .is_err()
        {
            return ShardResponse::NotOwner;
        }
        match tokio::time::timeout(timeout, response_receiver).await {
            Ok(Ok(response)) => response,
            // The owner stopped or is slow. It may already have stored the requested change.
            Ok(Err(_)) | Err(_) => ShardResponse::OutcomeUnknown,
        }
    }
}

/// Serves peers: passes their requests to the owners in this process, and lists the known owners.
#[derive(Clone)]
pub(crate) struct RouterHandler(pub(crate) Arc<Router>);

impl PeerHandler for RouterHandler {
    async fn send(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
    ) -> ShardResponse {
        let response = self.0.send_local(parent, shard, request, ATTEMPT_TIMEOUT);
        response.await
    }

    fn owners(&self) -> Vec<(ShardId, Ownership)> {
        let cluster = self.0.cluster();
        cluster.owners().map(|(s, o)| (s, o.clone())).collect()
    }
}
