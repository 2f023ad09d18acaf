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
use crate::job_budget::JobBudget;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::peers::MIN_CALL_TIME;
use crate::peers::PeerError;
use crate::peers::PeerHandler;
use crate::peers::Peers;
use crate::queue_shards::QueueShards;
use crate::shard_id::ShardId;
use crate::takeover_wait::SilentOwner;
use crate::takeover_wait::WaitDecision;

/// The delay before a request is sent to the owner again. A change of owner takes about a hundred
/// times as long.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The delay before a request that may have been carried out is sent again to an owner whose store does
/// not respond. It leaves a small VM processor time for its other calls.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long a request from a peer waits for the owner in this process: as long as callers wait. An owner
/// whose store is slow answers late, and until then the outcome is unknown.
const PEER_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

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
    /// The owner does not respond to this process and got no request, so nothing was done.
    #[display("the owner of the shard does not respond, nothing was sent")]
    OwnerUnresponsive {
        /// The delay after which the request may be repeated.
        retry_after: Duration,
    },
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
    /// When the store last answered a call of this process.
    store_answered_at: Mutex<Option<Instant>>,
    /// The submissions that the owners in this process have not answered.
    held: HeldBytes,
    /// The memory for the jobs of the shards that this process owns.
    pub(crate) job_budget: Arc<JobBudget>,
}

/// The outcome of one attempt to have a request carried out.
enum Attempt {
    /// The owner has responded.
    Answered(ShardResponse),
    /// Nothing was sent.
    NotSent,
    /// The owner may carry the request out.
    Unknown,
    /// Nothing was sent, since the owner does not respond.
    Withheld(SilentOwner),
}

impl Router {
    /// Creates a router that knows no owners yet; `me` identifies this process among the members, and
    /// `memory` is that of its machine, in bytes.
    pub fn new(me: Member, clock: Arc<dyn Clock>, memory: usize) -> Self {
        Self {
            me,
            peers: Peers::new(Arc::clone(&clock)),
            queue_shards: QueueShards::default(),
            clock,
            cluster: Mutex::default(),
            local_owners: Mutex::default(),
            store_answered_at: Mutex::default(),
            held: HeldBytes::new(OWNER_QUEUE_BYTES),
            job_budget: Arc::new(JobBudget::new(memory)),
        }
    }

    /// Records that the store has answered a call of this process.
    pub fn handle_store_answer(&self, now: Instant) {
        let mut answered_at = self.lock_store_answer();
        *answered_at = (*answered_at).max(Some(now));
    }

    /// Returns the time since the store last answered a call of this process.
    pub(crate) fn store_silence(&self, now: Instant) -> Duration {
        let answered_at = *self.lock_store_answer();
        answered_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    fn lock_store_answer(&self) -> MutexGuard<'_, Option<Instant>> {
        self.store_answered_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
        let mut attempts = Attempts::default();
        while self.clock.now() < deadline {
            let attempt = self.try_send(None, shard, request, deadline).await;
            if let Some(response) = self.conclude(&mut attempts, attempt) {
                return response;
            }
            self.wait_until_retry(deadline, RETRY_DELAY).await;
        }
        Err(attempts.error())
    }

    /// Sends a caller's request like [`send`](Self::send), and records the calls as child spans of
    /// `parent`. `attempts` holds the earlier attempts of the request, also those for other shards. A
    /// request of which nothing was sent is refused as soon as its owner is known to be cut off from
    /// this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is refused, or if no owner has responded by then.
    pub async fn send_for_caller(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: &ShardRequest,
        deadline: Instant,
        attempts: &mut Attempts,
    ) -> Result<ShardResponse, RequestError> {
        while self.clock.now() < deadline {
            let attempt = self.try_send(parent, shard, request, deadline).await;
            if let Attempt::Withheld(owner) = attempt
                && !attempts.is_unknown()
                && let WaitDecision::Refuse { retry_after } = owner.decide(self.clock.now())
            {
                return Err(RequestError::OwnerUnresponsive { retry_after });
            }
            let delay = match attempt {
                Attempt::Answered(ShardResponse::Unavailable { .. }) => STORE_RETRY_DELAY,
                _ => RETRY_DELAY,
            };
            if let Some(response) = self.conclude(attempts, attempt) {
                return response;
            }
            self.wait_until_retry(deadline, delay).await;
        }
        Err(attempts.error())
    }

    /// Returns the response to a request if an attempt concludes it. An owner whose store does not
    /// respond says nothing of earlier attempts, and another attempt may still be answered.
    fn conclude(
        &self,
        attempts: &mut Attempts,
        attempt: Attempt,
    ) -> Option<Result<ShardResponse, RequestError>> {
        match attempt {
            Attempt::Answered(ShardResponse::Unavailable { .. }) if attempts.is_unknown() => None,
            Attempt::Answered(response) => Some(attempts.conclude(response)),
            Attempt::NotSent | Attempt::Withheld(_) => None,
            Attempt::Unknown => {
                attempts.add_unknown();
                None
            }
        }
    }

    /// Waits before the next attempt. The last one may have taken all the time that was left.
    async fn wait_until_retry(&self, deadline: Instant, delay: Duration) {
        let remaining = deadline.saturating_duration_since(self.clock.now());
        tokio::time::sleep(delay.min(remaining)).await;
    }

    /// Sends a request to the known owner, here or on another VM, and waits for it until `deadline`.
    async fn try_send(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: &ShardRequest,
        deadline: Instant,
    ) -> Attempt {
        let now = self.clock.now();
        let timeout = deadline.saturating_duration_since(now);
        let is_local = self.local_owners().contains_key(&shard);
        let response = match is_local {
            true => {
                let response = self.send_local(parent, shard, request.clone(), timeout);
                response.await
            }
            false => {
                let (owner, is_member) = {
                    let cluster = self.cluster();
                    let owner = cluster.owner(shard).filter(|o| !o.released);
                    (owner.cloned(), cluster.has_live_owner(shard))
                };
                let Some(owner) = owner.filter(|o| o.member != self.me) else {
                    return Attempt::NotSent;
                };
                let address = &owner.member.address;
                if let Some(since) = self.peers.unresponsive_since(address) {
                    return Attempt::Withheld(SilentOwner {
                        since,
                        is_member,
                        store_silence: self.store_silence(now),
                    });
                }
                let is_owner = || {
                    let cluster = self.cluster();
                    cluster.owner(shard) == Some(&owner)
                };
                let call = (shard, request.clone());
                let response = self.peers.send(address, parent, call, timeout, &is_owner);
                match response.await {
                    // The request was not carried out, and a later owner is known by now.
                    Ok(ShardResponse::Unavailable { .. }) if !is_owner() => {
                        return Attempt::NotSent;
                    }
                    Ok(response) => response,
                    Err(PeerError::NotSent { detail }) => {
                        log::debug!(shard:display, detail:display; "owner_not_reached");
                        return Attempt::NotSent;
                    }
                    Err(PeerError::OutcomeUnknown { detail }) => {
                        log::info!(
                            shard:display, kind = request.kind(), detail:display; "owner_call_failed"
                        );
                        return Attempt::Unknown;
                    }
                }
            }
        };
        match response {
            ShardResponse::NotOwner => Attempt::NotSent,
            ShardResponse::OutcomeUnknown => Attempt::Unknown,
            response => Attempt::Answered(response),
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
        let wait = self.wait_for_owner(shard, &owner, response_receiver);
        match tokio::time::timeout(timeout, wait).await {
            Ok(Some(response)) => response,
            // The owner stopped or is slow. It may already have stored the requested change.
            Ok(None) | Err(_) => ShardResponse::OutcomeUnknown,
        }
    }

    /// Waits for the response of an owner in this process. Gives up early if the owner has been
    /// superseded, since it may wait for its store.
    async fn wait_for_owner(
        &self,
        shard: ShardId,
        owner: &OwnerHandle,
        mut response: oneshot::Receiver<ShardResponse>,
    ) -> Option<ShardResponse> {
        loop {
            if let Ok(result) = tokio::time::timeout(MIN_CALL_TIME, &mut response).await {
                return result.ok();
            }
            let local = self.local_owners();
            let current = local.get(&shard);
            if !current.is_some_and(|o| o.same_channel(owner)) {
                return None;
            }
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
        let response = self
            .0
            .send_local(parent, shard, request, PEER_REQUEST_TIMEOUT);
        response.await
    }

    fn owners(&self) -> Vec<(ShardId, Ownership)> {
        let cluster = self.0.cluster();
        cluster.owners().map(|(s, o)| (s, o.clone())).collect()
    }
}
