//! Handles callers' requests to the job API: finds the queue, checks the key, and sends the request
//! to the owner of the queue's shard.

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

use crate::attempts::Attempts;
use crate::cluster_config::CallerLimits;
use crate::cluster_config::Route;
use crate::current_config::CurrentConfig;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::router::RequestError;
use crate::router::Router;
use crate::shard_id::ShardId;

/// The retry delay sent with a rejection for which there is no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The part of a request's time that is reserved for sending the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(40);

/// The shortest time for which the process waits for an owner's response, even if the caller's
/// timeout is shorter.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(60);

/// The longest time for which a request is handled. It applies if the caller gives no timeout or a
/// longer one.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(3);

/// The delay before a submission is tried again, while this process has not read the shards of the
/// queues yet, or the owner has another version of the configuration.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(60);

/// A request whose queue exists and whose key, if the queue needs one, is valid.
#[derive(Debug)]
pub struct AuthorizedRequest {
    route: Arc<Route>,
    team: Option<Name>,
    /// The rest of the path after the queue's prefix.
    pub job_path: String,
    deadline: Instant,
    /// The root span of the request in this process, which ends when the request is dropped.
    span: Span,
}

/// The outcome of a request, from which the response to the caller is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiResponse {
    /// The job was accepted and is stored.
    Accepted,
    /// The job was cancelled, and the cancellation is stored.
    Cancelled,
    /// The state of the job.
    State(JobState),
    /// The number of the queue's jobs that have not started.
    Pending(u64),
    /// There is no such job.
    JobNotFound,
    /// There is no such queue.
    QueueNotFound,
    /// The key is missing or unknown.
    Unauthorized,
    /// The request is malformed, for the given reason.
    Invalid(String),
    /// The queue is too full; nothing was done.
    QueueFull {
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
    /// The request can't be handled now; nothing was done.
    Unavailable {
        /// What is missing, such as `no_configuration`; callers receive it.
        cause: &'static str,
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
    /// There is no response from the owner; the request may have been carried out.
    OutcomeUnknown,
}

/// A job as the caller submits it, without the settings of its queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The payload that is passed to every task.
    pub payload: Name,
    /// The steps of the job.
    pub steps: Vec<Step>,
    /// When the job repeats; `None` for a job that runs once.
    pub repeat: Option<Repeat>,
}

/// The job API of a node process, which handles callers' requests.
pub struct JobApi {
    current_config: Arc<CurrentConfig>,
    router: Arc<Router>,
    clock: Arc<dyn Clock>,
    /// The highest [age](CurrentConfig::age) of the configuration for requests that need a key.
    max_config_age: Duration,
    /// The time by which all responses have to be sent before the process stops; `None` until
    /// shutdown begins.
    shutdown_deadline: Mutex<Option<Instant>>,
}

impl JobApi {
    /// Creates the job API. Requests that need a key are rejected unless the configuration was
    /// known to be up to date within the last `max_config_age`.
    pub fn new(
        current_config: Arc<CurrentConfig>,
        router: Arc<Router>,
        clock: Arc<dyn Clock>,
        max_config_age: Duration,
    ) -> Self {
        Self {
            current_config,
            router,
            clock,
            max_config_age,
            shutdown_deadline: Mutex::default(),
        }
    }

    /// Limits the time of all further requests so that their responses are sent before `deadline`.
    pub fn set_shutdown_deadline(&self, deadline: Instant) {
        *self
            .shutdown_deadline
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(deadline);
    }

    /// Returns the limits of callers' connections in the current configuration.
    pub fn limits(&self) -> CallerLimits {
        self.current_config.load().limits
    }

    /// Finds the queue of a request and checks its key. `timeout` is the time that the caller
    /// allows. `trace` is the value of the W3C `traceparent` header, whose trace the request
    /// continues.
    ///
    /// # Errors
    ///
    /// Returns the response to the caller if there is no such queue, the key is not valid, or the
    /// configuration is missing or too old to check a key with.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        timeout: Option<Duration>,
        trace: Option<&str>,
    ) -> Result<AuthorizedRequest, ApiResponse> {
        let now = self.clock.now();
        let config = self.current_config.load();
        if config.version == 0 {
            return Err(unavailable("no_configuration"));
        }
        let Some((route, job_path)) = config.route(host, path) else {
            return Err(ApiResponse::QueueNotFound);
        };
        let team = key.and_then(|k| config.keys.get(k)).cloned();
        if !route.allow_anonymous {
            if team.is_none() {
                return Err(ApiResponse::Unauthorized);
            }
            if !self.current_config.is_fresh(now, self.max_config_age) {
                return Err(unavailable("configuration_not_confirmed"));
            }
        }
        let timeout = timeout.unwrap_or(MAX_REQUEST_TIME).min(MAX_REQUEST_TIME);
        let shutdown = *self
            .shutdown_deadline
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let remaining = shutdown.map_or(timeout, |at| at.saturating_duration_since(now));
        let timeout = timeout.min(remaining);
        Ok(AuthorizedRequest {
            route: Arc::clone(route),
            team,
            job_path: job_path.to_owned(),
            deadline: now
                + timeout
                    .saturating_sub(RESPONSE_MARGIN)
                    .max(MIN_REQUEST_TIME),
            span: Span::root("caller", trace).with_attribute(|| ("path", path.to_owned())),
        })
    }

    /// Submits a job to the queue of the request. Returns [`ApiResponse::Accepted`] once it is
    /// stored.
    pub async fn submit(
        &self,
        authorized: &AuthorizedRequest,
        id: JobId,
        submission: Submission,
    ) -> ApiResponse {
        let mut job = Job {
            id,
            queue: authorized.route.queue_settings(),
            team: authorized.team.clone(),
            payload: submission.payload,
            steps: submission.steps,
            repeat: submission.repeat,
        };
        if let Err(error) = job.validate() {
            return ApiResponse::Invalid(error.to_string());
        }
        while !self.router.queue_shards.is_complete() {
            if !self.wait_until_retry(authorized).await {
                return unavailable("queues_not_known");
            }
        }
        let mut attempts = Attempts::default();
        loop {
            match self.submit_once(authorized, &job, &mut attempts).await {
                Ok(ShardResponse::Accepted) => return ApiResponse::Accepted,
                Ok(ShardResponse::QueueMoved) => {}
                other => return error_response(other),
            }
            // Two processes apply a configuration at different times.
            if !self.wait_until_retry(authorized).await {
                return ApiResponse::OutcomeUnknown;
            }
            let config = self.current_config.load();
            let Some(route) = config.queue(&authorized.route.name) else {
                return match attempts.is_unknown() {
                    true => ApiResponse::OutcomeUnknown,
                    false => ApiResponse::QueueNotFound,
                };
            };
            job.queue = route.queue_settings();
        }
    }

    /// Waits before a further attempt. Returns whether there is time for it.
    async fn wait_until_retry(&self, authorized: &AuthorizedRequest) -> bool {
        let remaining = authorized
            .deadline
            .saturating_duration_since(self.clock.now());
        tokio::time::sleep(MOVE_RETRY_DELAY.min(remaining)).await;
        !remaining.is_zero()
    }

    /// Submits a job to the shard of its queue. The shards of the pools that served the queue before are
    /// asked first: if one of them knows the job, it is not submitted again.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::OutcomeUnknown`] if a shard that may know the job does not respond, and
    /// otherwise the error of the submission. `attempts` holds the attempts to submit the job to any
    /// shard.
    async fn submit_once(
        &self,
        authorized: &AuthorizedRequest,
        job: &Job,
        attempts: &mut Attempts,
    ) -> Result<ShardResponse, RequestError> {
        let shard = ShardId::of_pool(&job.queue.pool);
        let confirm = ShardRequest::ConfirmJob {
            id: job.id,
            queue: Arc::clone(&job.queue.name),
            version: self.current_config.load().version,
        };
        for other in self.former_shards(&job.queue.name, shard) {
            match self.send_to(authorized, other, &confirm).await {
                Ok(ShardResponse::NotFound) => {}
                Ok(response @ ShardResponse::Accepted) => return Ok(response),
                other_result => {
                    log::info!(
                        shard:display = other, job:display = job.id, answer:? = other_result;
                        "former_shard_not_reached"
                    );
                    return Err(RequestError::OutcomeUnknown);
                }
            }
        }
        let submit = ShardRequest::Submit(Box::new(job.clone()));
        self.send_attempts(authorized, shard, &submit, attempts)
            .await
    }

    /// Returns the shards other than `current` that hold jobs of a queue. A shard whose pools were
    /// removed from the configuration counts only while it has a live owner, since nobody claims it
    /// afterwards.
    fn former_shards(&self, queue: &str, current: ShardId) -> Vec<ShardId> {
        let mut shards = self.router.queue_shards.of_queue(queue);
        shards.remove(&current);
        if shards.is_empty() {
            return Vec::new();
        }
        let configured = self.current_config.load().shards();
        let cluster = self.router.cluster();
        shards.retain(|s| configured.contains(s) || cluster.has_live_owner(*s));
        shards.into_iter().collect()
    }

    /// Returns the state of a job, also if its queue was served by another pool at its submission.
    pub async fn state(&self, authorized: &AuthorizedRequest, id: JobId) -> ApiResponse {
        match self.send(authorized, &ShardRequest::State(id)).await {
            Ok(ShardResponse::State(state)) => ApiResponse::State(state),
            Ok(ShardResponse::NotFound) => match self
                .send_to_other_shards(authorized, &ShardRequest::State(id))
                .await
            {
                Ok(ShardResponse::State(state)) => ApiResponse::State(state),
                Ok(ShardResponse::NotFound) => ApiResponse::JobNotFound,
                other => read_error(other),
            },
            other => read_error(other),
        }
    }

    /// Cancels a job, also if its queue was served by another pool at its submission.
    pub async fn cancel(&self, authorized: &AuthorizedRequest, id: JobId) -> ApiResponse {
        match self.send(authorized, &ShardRequest::Cancel(id)).await {
            Ok(ShardResponse::Accepted) => ApiResponse::Cancelled,
            Ok(ShardResponse::NotFound) => {
                match self
                    .send_to_other_shards(authorized, &ShardRequest::Cancel(id))
                    .await
                {
                    Ok(ShardResponse::Accepted) => ApiResponse::Cancelled,
                    other => error_response(other),
                }
            }
            other => error_response(other),
        }
    }

    /// Returns the number of the queue's jobs that have not started, also of those in shards that
    /// served the queue before.
    pub async fn queued_jobs(&self, authorized: &AuthorizedRequest) -> ApiResponse {
        let queue = &authorized.route.name;
        let current = ShardId::of_pool(&authorized.route.pool);
        let mut shards = self.former_shards(queue, current);
        shards.push(current);
        let request = ShardRequest::Pending(Arc::clone(queue));
        let mut total = 0;
        for shard in shards {
            match self.send_to(authorized, shard, &request).await {
                Ok(ShardResponse::Pending(count)) => total += count,
                other => return read_error(other),
            }
        }
        ApiResponse::Pending(total)
    }

    /// Sends a request to the owner of the queue's shard.
    async fn send(
        &self,
        authorized: &AuthorizedRequest,
        request: &ShardRequest,
    ) -> Result<ShardResponse, RequestError> {
        let shard = ShardId::of_pool(&authorized.route.pool);
        self.send_to(authorized, shard, request).await
    }

    /// Sends a request to the owner of a shard.
    async fn send_to(
        &self,
        authorized: &AuthorizedRequest,
        shard: ShardId,
        request: &ShardRequest,
    ) -> Result<ShardResponse, RequestError> {
        self.send_attempts(authorized, shard, request, &mut Attempts::default())
            .await
    }

    /// Sends a request to the owner of a shard, of which there may have been earlier attempts.
    async fn send_attempts(
        &self,
        authorized: &AuthorizedRequest,
        shard: ShardId,
        request: &ShardRequest,
        attempts: &mut Attempts,
    ) -> Result<ShardResponse, RequestError> {
        let context = Some(authorized.span.context());
        let deadline = authorized.deadline;
        self.router
            .send_for_caller(context, shard, request, deadline, attempts)
            .await
    }

    /// Sends a request for a job that the queue's shard does not know to the other shards, since
    /// the queue may have been served by another pool when the job was submitted. Returns the error
    /// of the first that gives no response.
    async fn send_to_other_shards(
        &self,
        authorized: &AuthorizedRequest,
        request: &ShardRequest,
    ) -> Result<ShardResponse, RequestError> {
        let queue_shard = ShardId::of_pool(&authorized.route.pool);
        let config = self.current_config.load();
        for shard in config.shards() {
            if shard == queue_shard || shard == ShardId::FLEET {
                continue;
            }
            match self.send_to(authorized, shard, request).await {
                Ok(ShardResponse::NotFound) => {}
                result => return result,
            }
        }
        Ok(ShardResponse::NotFound)
    }
}

fn unavailable(cause: &'static str) -> ApiResponse {
    ApiResponse::Unavailable {
        cause,
        retry_after: DEFAULT_RETRY_AFTER,
    }
}

/// Counts and returns a refusal of a request that was not carried out and never will be.
fn refused(cause: &'static str, retry_after: Duration) -> ApiResponse {
    metrics::counter!("requests_refused_total", "cause" => cause).increment(1);
    ApiResponse::Unavailable { cause, retry_after }
}

/// Returns the response to the caller if reading failed. Reading changes nothing, so an unknown outcome
/// is reported as unavailable.
fn read_error(result: Result<ShardResponse, RequestError>) -> ApiResponse {
    match result {
        Err(RequestError::OutcomeUnknown) => unavailable("owner_not_reached"),
        other => error_response(other),
    }
}

/// Returns the response to the caller if the owner's response is not the one for success.
fn error_response(result: Result<ShardResponse, RequestError>) -> ApiResponse {
    match result {
        Ok(ShardResponse::Rejected { retry_after_ms }) => ApiResponse::QueueFull {
            retry_after: Duration::from_millis(retry_after_ms),
        },
        Ok(ShardResponse::NotFound) => ApiResponse::JobNotFound,
        Ok(ShardResponse::Unavailable { retry_after_ms }) => {
            refused("store_unresponsive", Duration::from_millis(retry_after_ms))
        }
        Err(RequestError::OwnerUnreachable) => unavailable("owner_not_reached"),
        Err(RequestError::OwnerUnresponsive { retry_after }) => {
            refused("owner_unresponsive", retry_after)
        }
        Err(RequestError::OutcomeUnknown) => ApiResponse::OutcomeUnknown,
        Ok(response) => {
            log::error!(reply:? = response; "unexpected_response");
            ApiResponse::OutcomeUnknown
        }
    }
}
