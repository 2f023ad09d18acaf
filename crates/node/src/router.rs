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
use lavenderhollow_trace::Place;
use lavenderhollow_trace::Span;
use lavenderhollow_types::Clock;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::election::Member;
use crate::election::Ownership;
use crate::election::Roster;
use crate::message::Question;
use crate::message::Reply;
use crate::peers::PeerFailure;
use crate::peers::Peers;
use crate::peers::Responder;
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
pub enum AskFailure {
    /// No owner was reached; nothing was done.
    #[display("no owner reached")]
    NotDone,
    /// An owner may have acted.
    #[display("outcome unknown")]
    Unknown,
}

/// A request to the owner of a shard in this process.
pub(crate) enum LocalRequest {
    /// Answer a question.
    Ask(Question, oneshot::Sender<Reply>),
    /// Give the shard up once what is under way is stored.
    Release(oneshot::Sender<()>),
}

/// The way to an owner in this process.
pub(crate) type LocalOwner = mpsc::Sender<LocalRequest>;

/// Finds owners.
pub struct Router {
    pub(crate) me: Member,
    pub(crate) peers: Peers,
    clock: Arc<dyn Clock>,
    roster: Mutex<Roster>,
    local: Mutex<BTreeMap<ShardId, LocalOwner>>,
}

impl Router {
    /// Creates a router that knows no owner.
    pub fn new(me: Member, clock: Arc<dyn Clock>) -> Self {
        Self {
            me,
            peers: Peers::default(),
            clock,
            roster: Mutex::default(),
            local: Mutex::default(),
        }
    }

    /// Gives access to what is known of members and owners.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn local(&self) -> MutexGuard<'_, BTreeMap<ShardId, LocalOwner>> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the owner of a shard until `deadline`. Questions may be repeated, since owners take
    /// each of them once.
    ///
    /// # Errors
    ///
    /// Fails when no owner has answered by then.
    pub async fn ask(
        &self,
        shard: ShardId,
        question: &Question,
        deadline: Instant,
    ) -> Result<Reply, AskFailure> {
        self.ask_traced(None, shard, question, deadline).await
    }

    /// Asks as [`ask`](Self::ask) does, with spans for the hops below `parent`.
    ///
    /// # Errors
    ///
    /// Fails when no owner has answered by then.
    pub async fn ask_traced(
        &self,
        parent: Option<Place>,
        shard: ShardId,
        question: &Question,
        deadline: Instant,
    ) -> Result<Reply, AskFailure> {
        let mut failure = AskFailure::NotDone;
        loop {
            let left = deadline.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return Err(failure);
            }
            let limit = left.min(ATTEMPT_LIMIT);
            match self.attempt(parent, shard, question, limit).await {
                Ok(Reply::NotOwner) => {}
                Ok(Reply::Uncertain) => failure = AskFailure::Unknown,
                Ok(reply) => return Ok(reply),
                Err(PeerFailure::NotSent { detail }) => {
                    log::debug!(shard:display, detail:display; "owner_not_reached");
                }
                Err(PeerFailure::Unknown { detail }) => {
                    log::info!(shard:display, kind = question.kind(), detail:display; "owner_silent");
                    failure = AskFailure::Unknown;
                }
            }
            tokio::time::sleep(RETRY_PAUSE.min(left)).await;
        }
    }

    async fn attempt(
        &self,
        parent: Option<Place>,
        shard: ShardId,
        question: &Question,
        limit: Duration,
    ) -> Result<Reply, PeerFailure> {
        if self.local().contains_key(&shard) {
            let reply = self.ask_local(parent, shard, question.clone(), limit);
            return Ok(reply.await);
        }
        let owner = self.roster().owner(shard).cloned();
        match owner {
            Some(owner) if owner.member != self.me && !owner.released => {
                let address = &owner.member.address;
                self.peers
                    .ask(address, parent, shard, question.clone(), limit)
                    .await
            }
            _ => Ok(Reply::NotOwner),
        }
    }

    /// Asks an owner in this process.
    pub(crate) async fn ask_local(
        &self,
        parent: Option<Place>,
        shard: ShardId,
        question: Question,
        limit: Duration,
    ) -> Reply {
        let _span = parent.map(|place| {
            let span = Span::below("owner", place).with_property(|| ("kind", question.kind()));
            span.with_property(|| ("shard", shard.to_string()))
        });
        let owner = self.local().get(&shard).cloned();
        let Some(owner) = owner else {
            return Reply::NotOwner;
        };
        let (answer, answered) = oneshot::channel();
        // A full queue refuses at once: its owner is too slow to answer in time.
        if owner.try_send(LocalRequest::Ask(question, answer)).is_err() {
            return Reply::NotOwner;
        }
        match tokio::time::timeout(limit, answered).await {
            Ok(Ok(reply)) => reply,
            // The owner ended, or is slow: what it was asked may be stored.
            Ok(Err(_)) | Err(_) => Reply::Uncertain,
        }
    }
}

/// Answers peers with what this process owns.
#[derive(Clone)]
pub(crate) struct RouterResponder(pub(crate) Arc<Router>);

impl Responder for RouterResponder {
    async fn ask(&self, parent: Option<Place>, shard: ShardId, question: Question) -> Reply {
        let reply = self.0.ask_local(parent, shard, question, ATTEMPT_LIMIT);
        reply.await
    }

    fn owners(&self) -> Vec<(ShardId, Ownership)> {
        let roster = self.0.roster();
        roster.owners().map(|(s, o)| (s, o.clone())).collect()
    }
}
