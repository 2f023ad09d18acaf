//! The part of a shard's owner that knows of which queues the shard holds jobs, and which of them the
//! configuration sends to other shards by now.

use std::collections::BTreeSet;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Job;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::JobMemory;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Record;
use lavenderhollow_shard::Timestamp;

use crate::backend::StoreError;
use crate::backend::Topic;
use crate::job_budget;
use crate::job_budget::NoMemory;
use crate::message::ShardResponse;
use crate::owner::Event;
use crate::owner::Owner;
use crate::owner::UNAVAILABLE;
use crate::owner::send_event;
use crate::queue_fence::QueueFence;
use crate::queue_shards::queue_record;
use crate::router::Responder;
use crate::shard_id::ShardId;
use crate::shard_manager::STORE_RETRY_DELAY;
use crate::store_health::MAX_APPEND_TIME;

/// How long submissions wait for the registrations of the workers while zones are evacuated. A slow store
/// takes a quarter of a second for a listing, and callers wait for up to three seconds. Jobs are accepted
/// afterwards, so that an outage of the workers' topic does not turn all callers away.
const MAX_WORKERS_WAIT: Duration = Duration::from_secs(1);

/// How often the owner publishes of which queues the shard holds jobs, if they have changed.
const QUEUES_INTERVAL: Duration = Duration::from_secs(1);

/// What an owner knows of the queues of its shard, and the callers that wait for it.
pub(super) struct OwnerQueues {
    /// The queues that have moved to other shards.
    fence: QueueFence,
    waiting: Vec<WaitingSubmission>,
    publish_pending: bool,
    /// When the first publication was sent that has not succeeded since, for submissions that wait.
    unpublished_since: Option<Instant>,
    next_publish: Instant,
    /// The callers to be told that a job is unknown once the ownership is confirmed, with the time of
    /// the request.
    absences: Vec<(Instant, Responder)>,
}

impl OwnerQueues {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            fence: QueueFence::default(),
            waiting: Vec::new(),
            publish_pending: false,
            unpublished_since: None,
            next_publish: now,
            absences: Vec::new(),
        }
    }

    /// Returns whether callers wait for a confirmation of the ownership.
    pub(super) fn has_absences(&self) -> bool {
        !self.absences.is_empty()
    }

    /// Returns whether the store has not stored a publication for longer than it may take.
    pub(super) fn is_publish_late(&self, now: Instant) -> bool {
        let is_late = |at: Instant| now.saturating_duration_since(at) >= MAX_APPEND_TIME;
        self.publish_pending && self.unpublished_since.is_some_and(is_late)
    }

    /// Answers the submissions that wait, none of which was carried out.
    pub(super) fn answer_waiting(&mut self, response: &ShardResponse) {
        for submission in mem::take(&mut self.waiting) {
            // The send fails if the caller has stopped waiting.
            let _ = submission.responder.send(response.clone());
        }
    }
}

/// Changes of the queues of which it is published that the shard holds jobs.
#[derive(Debug, Default)]
pub(super) struct QueueChanges {
    added: Vec<Name>,
    removed: Vec<Name>,
}

impl QueueChanges {
    fn records(&self, shard: ShardId) -> Vec<Record> {
        let added = self.added.iter().map(|q| queue_record(shard, q, true));
        let removed = self.removed.iter().map(|q| queue_record(shard, q, false));
        added.chain(removed).collect()
    }
}

/// A job that waits until it is published that the shard holds jobs of its queue, and until the workers
/// are known while zones are evacuated.
pub(super) struct WaitingSubmission {
    pub(super) job: Box<Job>,
    pub(super) responder: Responder,
}

impl Owner {
    /// Submits a job, unless its queue has moved to another shard. Waits if it is not published yet that
    /// the shard holds jobs of the queue, or if the workers are not known while zones are evacuated.
    pub(super) fn submit(&mut self, at: Timestamp, submission: WaitingSubmission) {
        let WaitingSubmission { job, responder } = submission;
        if !self.shard.holds_job(job.id) {
            let (shard, queue) = (self.context.shard_id, &job.queue.name);
            let config = self.context.current_config.load();
            if !self.queues.fence.accepts(&config, shard, queue) {
                log::info!(
                    shard:display, job:display = job.id, queue = &**queue,
                    version = config.version; "job_of_moved_queue_rejected"
                );
                // The send fails if the caller has stopped waiting.
                let _ = responder.send(ShardResponse::QueueMoved);
                return;
            }
            if self.store_health.is_unresponsive() {
                let _ = responder.send(UNAVAILABLE);
                return;
            }
            if let Err(cause) = self.check_memory(&job) {
                log::info!(
                    shard:display, job:display = job.id, queue = &**queue, cause:display;
                    "job_rejected_for_memory"
                );
                metrics::counter!("jobs_rejected_for_memory_total").increment(1);
                let retry_after = job_budget::RETRY_AFTER;
                let _ = responder.send(ShardResponse::Rejected {
                    retry_after_ms: retry_after.as_millis() as u64,
                });
                return;
            }
            let is_published = self.context.router.queue_shards.contains(shard, queue);
            if !is_published || self.awaits_workers(at.now) {
                self.queues
                    .waiting
                    .push(WaitingSubmission { job, responder });
                return;
            }
        }
        let request_id = self.add_responder(responder);
        self.shard.submit(at, request_id, *job);
    }

    /// Checks whether there is memory for a job, with all jobs of this turn.
    fn check_memory(&self, job: &Job) -> Result<(), NoMemory> {
        self.memory.update(self.shard.job_memory());
        let bytes = JobMemory::of_job(job);
        self.memory.check(job.team.as_ref(), bytes)
    }

    /// Returns whether submissions wait for the registrations of the workers, without which the shard
    /// can't tell that only evacuated zones have capacity for a job.
    fn awaits_workers(&self, now: Instant) -> bool {
        !self.workers_known
            && !self.evacuated.is_empty()
            && now.saturating_duration_since(self.started_at) < MAX_WORKERS_WAIT
    }

    /// Confirms that a job is stored whose queue has moved to another shard by a configuration. That it
    /// is unknown holds only while this process owns the shard, which is checked first.
    pub(super) fn confirm_job(
        &mut self,
        now: Instant,
        id: JobId,
        queue: &Name,
        version: u64,
        responder: Responder,
    ) {
        self.queues.fence.close(queue, version);
        if self.shard.holds_job(id) {
            let request_id = self.add_responder(responder);
            self.shard.confirm(request_id, id);
        } else {
            self.queues.absences.push((now, responder));
        }
    }

    /// Tells the callers that a job is unknown whose requests came before the last confirmation of the
    /// ownership.
    pub(super) fn report_absences(&mut self) {
        let confirmed_at = self.confirmed_at;
        for (_, responder) in self
            .queues
            .absences
            .extract_if(.., |(at, _)| *at <= confirmed_at)
        {
            // The caller may have stopped waiting; it repeats the request.
            let _ = responder.send(ShardResponse::NotFound);
        }
    }

    /// Publishes the queues of which the shard holds jobs, at once if a submission waits for it. Queues
    /// that are sent to other shards are withdrawn when the last of their jobs has been removed.
    pub(super) fn publish_queues(&mut self, at: Timestamp) {
        let now = at.now;
        if self.queues.publish_pending
            || (self.queues.waiting.is_empty() && now < self.queues.next_publish)
        {
            return;
        }
        self.queues.next_publish = now + QUEUES_INTERVAL;
        let (shard, router) = (self.context.shard_id, &self.context.router);
        let config = self.context.current_config.load();
        let published: BTreeSet<Name> = router.queue_shards.of_shard(shard).into_iter().collect();
        let waiting = self.queues.waiting.iter().map(|s| &s.job.queue.name);
        let held: BTreeSet<Name> = self.shard.queues().chain(waiting).cloned().collect();
        let is_served = |queue: &Name| {
            let route = config.queue(queue);
            route.is_some_and(|r| ShardId::of_pool(&r.pool) == shard)
        };
        let unused = published.difference(&held).filter(|q| !is_served(q));
        let changes = QueueChanges {
            added: held.difference(&published).cloned().collect(),
            removed: unused.cloned().collect(),
        };
        let records = changes.records(shard);
        if records.is_empty() {
            // An append without a response may have published the queues.
            self.queues.unpublished_since = None;
            self.submit_waiting(at);
            return;
        }
        // A submission from now on publishes the queue again.
        for queue in &changes.removed {
            router.queue_shards.remove(shard, queue);
        }
        log::info!(shard:display, added:? = changes.added, removed:? = changes.removed; "queues_published");
        self.queues.publish_pending = true;
        self.queues.unpublished_since.get_or_insert(now);
        let (store, events) = (
            Arc::clone(&self.context.platform.store),
            self.events.clone(),
        );
        self.calls.spawn(async move {
            let result = store.append(Topic::Owners, None, &records).await;
            if result.is_err() {
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
            let event = Event::QueuesPublished(changes, result.map(|_| ()));
            send_event(&events, event).await;
        });
    }

    /// Handles the outcome of [`Self::publish_queues`], and submits the jobs that waited for it.
    pub(super) fn handle_queues_published(
        &mut self,
        at: Timestamp,
        changes: &QueueChanges,
        result: Result<(), StoreError>,
    ) {
        let (shard, known) = (self.context.shard_id, &self.context.router.queue_shards);
        self.queues.publish_pending = false;
        if let Err(error) = result {
            log::warn!(shard:display, error:display; "queues_publish_failed");
            if self.queues.waiting.is_empty() {
                self.queues.unpublished_since = None;
            }
            // They are withdrawn again later.
            changes.removed.iter().for_each(|q| known.insert(shard, q));
            return;
        }
        self.queues.unpublished_since = None;
        changes.added.iter().for_each(|q| known.insert(shard, q));
        self.submit_waiting(at);
    }

    /// Submits the jobs that waited until their queues were published. One whose caller has stopped
    /// waiting is left out, as the caller may have submitted it again.
    fn submit_waiting(&mut self, at: Timestamp) {
        for submission in mem::take(&mut self.queues.waiting) {
            if !submission.responder.is_closed() {
                self.submit(at, submission);
            }
        }
    }
}
