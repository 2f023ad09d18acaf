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

use crate::cluster_config::CallerLimits;
use crate::cluster_config::Route;
use crate::current_config::CurrentConfig;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::router::RequestError;
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
pub struct AuthorizedRequest {
    route: Arc<Route>,
    team: Option<Name>,
    /// The path after the queue's prefix.
    pub job_path: String,
    deadline: Instant,
    /// The caller's hop, which ends with the request.
    span: Span,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiResponse {
    /// The job is stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// The state of the job.
    State(JobState),
    /// The number of the queue's jobs that have not begun.
    Pending(u64),
    /// There is no such job.
    JobNotFound,
    /// There is no such queue.
    QueueNotFound,
    /// The key is missing or not known.
    Unauthorized,
    /// The request is malformed.
    Invalid(String),
    /// The queue is too full; nothing was done.
    QueueFull {
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
    OutcomeUnknown,
}

/// What a caller submits, without what the queue adds.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The text for the tasks.
    pub payload: Name,
    /// The steps.
    pub steps: Vec<Step>,
    /// Set for a repeated job.
    pub repeat: Option<Repeat>,
}

/// Takes callers' requests.
pub struct JobApi {
    current: Arc<CurrentConfig>,
    router: Arc<Router>,
    clock: Arc<dyn Clock>,
    /// How old the configuration may be for a request with a key.
    max_config_age: Duration,
    /// When the process ends, so that every request is answered before.
    ends: Mutex<Option<Instant>>,
}

impl JobApi {
    /// Creates a front; requests with a key need a configuration confirmed within `fresh`.
    pub fn new(
        current: Arc<CurrentConfig>,
        router: Arc<Router>,
        clock: Arc<dyn Clock>,
        max_config_age: Duration,
    ) -> Self {
        Self {
            current,
            router,
            clock,
            max_config_age,
            ends: Mutex::default(),
        }
    }

    /// Answers all further requests by `ends`.
    pub fn set_shutdown_deadline(&self, ends: Instant) {
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
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        wait: Option<Duration>,
        trace: Option<&str>,
    ) -> Result<AuthorizedRequest, ApiResponse> {
        let now = self.clock.now();
        let config = self.current.load();
        if config.version == 0 {
            return Err(unavailable("no_configuration"));
        }
        let Some((route, rest)) = config.route(host, path) else {
            return Err(ApiResponse::QueueNotFound);
        };
        let team = key.and_then(|k| config.keys.get(k)).cloned();
        if !route.allow_anonymous {
            if team.is_none() {
                return Err(ApiResponse::Unauthorized);
            }
            if !self.current.is_fresh(now, self.max_config_age) {
                return Err(unavailable("configuration_not_confirmed"));
            }
        }
        let wait = wait.unwrap_or(LONGEST_REQUEST).min(LONGEST_REQUEST);
        let ends = *self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        let left = ends.map_or(wait, |at| at.saturating_duration_since(now));
        let wait = wait.min(left);
        Ok(AuthorizedRequest {
            route: Arc::clone(route),
            team,
            job_path: rest.to_owned(),
            deadline: now + wait.saturating_sub(ANSWER_MARGIN).max(SHORTEST_REQUEST),
            span: Span::root("caller", trace).with_attribute(|| ("path", path.to_owned())),
        })
    }

    /// Submits a job.
    pub async fn submit(
        &self,
        to: &AuthorizedRequest,
        id: JobId,
        submission: Submission,
    ) -> ApiResponse {
        let job = Job {
            id,
            queue: to.route.queue_settings(),
            team: to.team.clone(),
            payload: submission.payload,
            steps: submission.steps,
            repeat: submission.repeat,
        };
        if let Err(error) = job.validate() {
            return ApiResponse::Invalid(error.to_string());
        }
        let request = ShardRequest::Submit(Box::new(job));
        match self.send(to, &request).await {
            Ok(ShardResponse::Accepted) => ApiResponse::Accepted,
            other => unexpected(other),
        }
    }

    /// Tells the state of a job.
    pub async fn state(&self, to: &AuthorizedRequest, id: JobId) -> ApiResponse {
        match self.send(to, &ShardRequest::State(id)).await {
            Ok(ShardResponse::State(state)) => ApiResponse::State(state),
            Ok(ShardResponse::NotFound) => match self.elsewhere(to, &ShardRequest::State(id)).await
            {
                Some(ShardResponse::State(state)) => ApiResponse::State(state),
                Some(_) => ApiResponse::JobNotFound,
                None => unavailable("owner_not_reached"),
            },
            // Reading changes nothing, so that a lost answer is a plain refusal.
            Err(_) => unavailable("owner_not_reached"),
            other => unexpected(other),
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, to: &AuthorizedRequest, id: JobId) -> ApiResponse {
        match self.send(to, &ShardRequest::Cancel(id)).await {
            Ok(ShardResponse::Accepted) => ApiResponse::Cancelled,
            Ok(ShardResponse::NotFound) => {
                match self.elsewhere(to, &ShardRequest::Cancel(id)).await {
                    Some(ShardResponse::Accepted) => ApiResponse::Cancelled,
                    Some(_) => ApiResponse::JobNotFound,
                    None => unavailable("owner_not_reached"),
                }
            }
            other => unexpected(other),
        }
    }

    /// Counts the queue's jobs that have not begun.
    pub async fn pending(&self, to: &AuthorizedRequest) -> ApiResponse {
        let queue = ShardRequest::Pending(Arc::clone(&to.route.name));
        match self.send(to, &queue).await {
            Ok(ShardResponse::Pending(count)) => ApiResponse::Pending(count),
            Err(_) => unavailable("owner_not_reached"),
            other => unexpected(other),
        }
    }

    async fn send(
        &self,
        to: &AuthorizedRequest,
        request: &ShardRequest,
    ) -> Result<ShardResponse, RequestError> {
        let (shard, context) = (ShardId::of_pool(&to.route.pool), Some(to.span.context()));
        let reply = self
            .router
            .send_traced(context, shard, request, to.deadline);
        reply.await
    }

    /// Asks the other shards about a job that the queue's shard does not know: the queue may have
    /// been served by another pool when the job was submitted. Nothing when one can't be reached.
    async fn elsewhere(
        &self,
        to: &AuthorizedRequest,
        request: &ShardRequest,
    ) -> Option<ShardResponse> {
        let own = ShardId::of_pool(&to.route.pool);
        let config = self.current.load();
        for shard in config.shards() {
            if shard == own || shard == ShardId::FLEET {
                continue;
            }
            let context = Some(to.span.context());
            let reply = self
                .router
                .send_traced(context, shard, request, to.deadline);
            match reply.await {
                Ok(ShardResponse::NotFound) => {}
                Ok(reply) => return Some(reply),
                Err(_) => return None,
            }
        }
        Some(ShardResponse::NotFound)
    }
}

fn unavailable(cause: &'static str) -> ApiResponse {
    ApiResponse::Unavailable {
        cause,
        retry_after: RETRY_AFTER,
    }
}

fn unexpected(reply: Result<ShardResponse, RequestError>) -> ApiResponse {
    match reply {
        Ok(ShardResponse::Refused { retry_after_ms }) => ApiResponse::QueueFull {
            retry_after: Duration::from_millis(retry_after_ms),
        },
        Ok(ShardResponse::NotFound) => ApiResponse::JobNotFound,
        Err(RequestError::OwnerUnreachable) => unavailable("owner_not_reached"),
        Err(RequestError::OutcomeUnknown) => ApiResponse::OutcomeUnknown,
        Ok(reply) => {
            log::error!(reply:? = reply; "unexpected_reply");
            ApiResponse::OutcomeUnknown
        }
    }
}
