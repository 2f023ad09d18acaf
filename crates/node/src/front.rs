//! Callers' requests: which queue they mean, whether their key allows it, and the way to the owner.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Job;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::JobState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Repeat;
use lavenderhollow_shard::Step;
use lavenderhollow_trace::Span;
use lavenderhollow_types::Clock;

use crate::catalog::CallerLimits;
use crate::catalog::Route;
use crate::current::Current;
use crate::message::Question;
use crate::message::Reply;
use crate::router::AskFailure;
use crate::router::Router;
use crate::shard_id::ShardId;

/// When a caller may come back after a refusal without a better estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The time kept for the answer's way back to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);

/// The shortest time in which an owner is asked, however little time the caller gives.
const SHORTEST_REQUEST: Duration = Duration::from_millis(60);

/// The longest time that a request is worked on without a deadline of its own.
const LONGEST_REQUEST: Duration = Duration::from_secs(3);

/// A request that may go on: its queue and its team.
#[derive(Debug)]
pub struct Admitted {
    route: Arc<Route>,
    team: Option<Name>,
    /// The path after the queue's prefix.
    pub rest: String,
    deadline: Instant,
    /// The caller's hop, which ends with the request.
    span: Span,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job is stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// The state of the job.
    State(JobState),
    /// The number of the queue's jobs that have not begun.
    Pending(u64),
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The key is missing or not known.
    BadKey,
    /// The request is malformed.
    Invalid(String),
    /// The queue is too full; nothing was done.
    Full {
        /// When to come back.
        retry_after: Duration,
    },
    /// The request can't be served now; nothing was done.
    Unavailable {
        /// What is missing.
        cause: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have been carried out.
    Uncertain,
}

/// What a caller submits, without what the queue adds.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The text for the tasks.
    pub text: Name,
    /// The steps.
    pub steps: Vec<Step>,
    /// Set for a repeated job.
    pub repeat: Option<Repeat>,
}

/// Takes callers' requests.
pub struct Front {
    current: Arc<Current>,
    router: Arc<Router>,
    clock: Arc<dyn Clock>,
    /// How old the configuration may be for a request with a key.
    fresh: Duration,
    /// When the process ends, so that every request is answered before.
    ends: Mutex<Option<Instant>>,
}

impl Front {
    /// Creates a front; requests with a key need a configuration confirmed within `fresh`.
    pub fn new(
        current: Arc<Current>,
        router: Arc<Router>,
        clock: Arc<dyn Clock>,
        fresh: Duration,
    ) -> Self {
        Self {
            current,
            router,
            clock,
            fresh,
            ends: Mutex::default(),
        }
    }

    /// Answers all further requests by `ends`.
    pub fn end_by(&self, ends: Instant) {
        *self.ends.lock().unwrap_or_else(PoisonError::into_inner) = Some(ends);
    }

    /// Returns the limits of callers' connections.
    pub fn limits(&self) -> CallerLimits {
        self.current.load().limits
    }

    /// Finds the queue of a request and checks its key. `trace` is the `traceparent` header of the
    /// W3C recommendation, whose trace the request continues.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is told.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        wait: Option<Duration>,
        trace: Option<&str>,
    ) -> Result<Admitted, Outcome> {
        let now = self.clock.now();
        let catalog = self.current.load();
        if catalog.version == 0 {
            return Err(unavailable("no_configuration"));
        }
        let Some((route, rest)) = catalog.route(host, path) else {
            return Err(Outcome::NoQueue);
        };
        let team = key.and_then(|k| catalog.keys.get(k)).cloned();
        if !route.open {
            if team.is_none() {
                return Err(Outcome::BadKey);
            }
            if !self.current.is_fresh(now, self.fresh) {
                return Err(unavailable("configuration_not_confirmed"));
            }
        }
        let wait = wait.unwrap_or(LONGEST_REQUEST).min(LONGEST_REQUEST);
        let ends = *self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        let left = ends.map_or(wait, |at| at.saturating_duration_since(now));
        let wait = wait.min(left);
        Ok(Admitted {
            route: Arc::clone(route),
            team,
            rest: rest.to_owned(),
            deadline: now + wait.saturating_sub(ANSWER_MARGIN).max(SHORTEST_REQUEST),
            span: Span::root("caller", trace).with_property(|| ("path", path.to_owned())),
        })
    }

    /// Submits a job.
    pub async fn submit(&self, to: &Admitted, id: JobId, submission: Submission) -> Outcome {
        let job = Job {
            id,
            queue: to.route.queue_settings(),
            team: to.team.clone(),
            text: submission.text,
            steps: submission.steps,
            repeat: submission.repeat,
        };
        if let Err(error) = job.check() {
            return Outcome::Invalid(error.to_string());
        }
        let question = Question::Submit(Box::new(job));
        match self.ask(to, &question).await {
            Ok(Reply::Accepted) => Outcome::Accepted,
            other => unexpected(other),
        }
    }

    /// Tells the state of a job.
    pub async fn state(&self, to: &Admitted, id: JobId) -> Outcome {
        match self.ask(to, &Question::State(id)).await {
            Ok(Reply::State(state)) => Outcome::State(state),
            Ok(Reply::Unknown) => match self.elsewhere(to, &Question::State(id)).await {
                Some(Reply::State(state)) => Outcome::State(state),
                Some(_) => Outcome::NoJob,
                None => unavailable("owner_not_reached"),
            },
            // Reading changes nothing, so that a lost answer is a plain refusal.
            Err(_) => unavailable("owner_not_reached"),
            other => unexpected(other),
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, to: &Admitted, id: JobId) -> Outcome {
        match self.ask(to, &Question::Cancel(id)).await {
            Ok(Reply::Accepted) => Outcome::Cancelled,
            Ok(Reply::Unknown) => match self.elsewhere(to, &Question::Cancel(id)).await {
                Some(Reply::Accepted) => Outcome::Cancelled,
                Some(_) => Outcome::NoJob,
                None => unavailable("owner_not_reached"),
            },
            other => unexpected(other),
        }
    }

    /// Counts the queue's jobs that have not begun.
    pub async fn pending(&self, to: &Admitted) -> Outcome {
        let queue = Question::Pending(Arc::clone(&to.route.name));
        match self.ask(to, &queue).await {
            Ok(Reply::Pending(count)) => Outcome::Pending(count),
            Err(_) => unavailable("owner_not_reached"),
            other => unexpected(other),
        }
    }

    async fn ask(&self, to: &Admitted, question: &Question) -> Result<Reply, AskFailure> {
        let (shard, place) = (ShardId::of_pool(&to.route.pool), Some(to.span.place()));
        let reply = self.router.ask_traced(place, shard, question, to.deadline);
        reply.await
    }

    /// Asks the other shards about a job that the queue's shard does not know: the queue may have
    /// been served by another pool when the job was submitted. Nothing when one can't be reached.
    async fn elsewhere(&self, to: &Admitted, question: &Question) -> Option<Reply> {
        let own = ShardId::of_pool(&to.route.pool);
        let catalog = self.current.load();
        for shard in catalog.shards() {
            if shard == own || shard == ShardId::FLEET {
                continue;
            }
            let place = Some(to.span.place());
            let reply = self.router.ask_traced(place, shard, question, to.deadline);
            match reply.await {
                Ok(Reply::Unknown) => {}
                Ok(reply) => return Some(reply),
                Err(_) => return None,
            }
        }
        Some(Reply::Unknown)
    }
}

fn unavailable(cause: &'static str) -> Outcome {
    Outcome::Unavailable {
        cause,
        retry_after: RETRY_AFTER,
    }
}

fn unexpected(reply: Result<Reply, AskFailure>) -> Outcome {
    match reply {
        Ok(Reply::Refused { retry_after_ms }) => Outcome::Full {
            retry_after: Duration::from_millis(retry_after_ms),
        },
        Ok(Reply::Unknown) => Outcome::NoJob,
        Err(AskFailure::NotDone) => unavailable("owner_not_reached"),
        Err(AskFailure::Unknown) => Outcome::Uncertain,
        Ok(reply) => {
            log::error!(reply:? = reply; "unexpected_reply");
            Outcome::Uncertain
        }
    }
}
