//! The task that owns a shard. It passes requests of callers and responses of the workers, the store
//! and the policy service to [`Shard`], which makes the decisions, and executes their effects.

mod call_queue;
mod queues;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::DrainStatus;
use lavenderhollow_shard::Effect;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PollFailure;
use lavenderhollow_shard::RequestId;
use lavenderhollow_shard::Resources;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::Shard;
use lavenderhollow_shard::StartOutcome;
use lavenderhollow_shard::StartRequest;
use lavenderhollow_shard::StepId;
use lavenderhollow_shard::Timestamp;
use lavenderhollow_shard::Timings;
use lavenderhollow_shard::WorkerReport;
use lavenderhollow_shard::split_batch;
use lavenderhollow_types::Clock;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::appender::Appender;
use crate::appender::OWNERSHIP_CHECK_INTERVAL;
use crate::appender::OwnershipLost;
use crate::backend::Platform;
use crate::backend::PolicyDecision;
use crate::backend::PollError;
use crate::backend::StoreError;
use crate::backend::Target;
use crate::claim;
use crate::claim::ClaimedShard;
use crate::clock::timestamp;
use crate::cluster_config::ClusterConfig;
use crate::cluster_config::Pool;
use crate::current_config::CurrentConfig;
use crate::evacuation::EvacuatedZones;
use crate::interference_metrics::InterferenceMetrics;
use crate::job_budget::ShardMemory;
use crate::message::SentQuotas;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::message::ShardUsage;
use crate::message::TeamReport;
use crate::owner::call_queue::CallQueue;
use crate::owner::queues::OwnerQueues;
use crate::owner::queues::QueueChanges;
use crate::owner::queues::WaitingSubmission;
use crate::owner_load::OwnerLoad;
use crate::owner_load::Work;
use crate::router::LocalRequest;
use crate::router::Responder;
use crate::router::Router;
use crate::shard_id::ShardId;
use crate::shard_quotas;
use crate::store_health::STORE_RETRY_AFTER;
use crate::store_health::StoreHealth;
use crate::worker_registry::WorkerUpdates;

/// The maximum number of requests and events that are handled before decisions are made.
const MAX_EVENT_BATCH: usize = 64;

/// The capacity of the queue of results from the store, workers and other services.
const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// How often an owner that makes no decisions checks whether it can make them again.
const PAUSED_INTERVAL: Duration = Duration::from_millis(100);

/// How often the owner reports its usage of the teams' limits and the demand of its pools to the
/// owner of the fleet shard.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// How often the owner reports while a task or gang has begun to wait that needs more than an even part
/// of its team's limit. It starts once the other shards have confirmed smaller quotas.
const CLAIM_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// For how long it reports that often. Shards whose tasks don't need their quotas have confirmed smaller
/// ones by then; the others take as long as their tasks.
const CLAIM_REPORT_TIME: Duration = Duration::from_millis(600);

/// The timeout of a usage report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// The timeout for storing the record that the shard was released.
pub(crate) const RELEASE_RECORD_TIMEOUT: Duration = Duration::from_millis(600);

/// The response to requests that are not carried out since the store does not respond.
const UNAVAILABLE: ShardResponse = ShardResponse::Unavailable {
    retry_after_ms: STORE_RETRY_AFTER.as_millis() as u64,
};

/// The components and settings that the owner of a shard uses.
pub(crate) struct OwnerContext {
    pub(crate) shard_id: ShardId,
    pub(crate) platform: Platform,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) router: Arc<Router>,
    pub(crate) current_config: Arc<CurrentConfig>,
    pub(crate) evacuated: Arc<EvacuatedZones>,
    pub(crate) timings: Timings,
    /// When the claim of the shard was sent. A successor may have claimed it since.
    pub(crate) claimed_at: Instant,
}

/// The result of a call that the owner made in the background.
enum Event {
    Started(Name, RunId, StartOutcome),
    Stopped(Name, RunId, bool),
    Polled(Name, Instant, Result<WorkerReport, PollError>),
    Throttled(Name, RunId, bool),
    Stored(Instant, Result<Appender, OwnershipLost>),
    /// A part of the batch in flight is stored, and the next part was sent.
    PartStored,
    PolicyAnswered(StepId, Option<PolicyDecision>),
    /// The check began at the given time, when the partition was expected to end at the offset.
    OwnershipChecked(Instant, u64, Result<(), StoreError>),
    Quotas(Option<SentQuotas>),
    QueuesPublished(QueueChanges, Result<(), StoreError>),
}

/// The state of the task that owns a shard.
struct Owner {
    context: OwnerContext,
    shard: Shard,
    fencing_token: u64,
    /// Absent while an append is in progress.
    appender: Option<Appender>,
    events: mpsc::Sender<Event>,
    calls: JoinSet<()>,
    /// The memory of the shard's jobs in the budget of the process.
    memory: ShardMemory,
    /// The callers that wait for a response.
    responders: HashMap<RequestId, Responder>,
    next_request: u64,
    /// When the ownership was last confirmed by an append or a check.
    confirmed_at: Instant,
    check_pending: bool,
    last_report: Option<Instant>,
    /// Since when such a task or gang waits.
    claim_since: Option<Instant>,
    report_pending: bool,
    /// Whether a quota shrank that another shard claims, which the next report confirms.
    confirm_quotas: bool,
    /// Whether decisions are suspended because the ownership is not confirmed.
    suspended: bool,
    /// Whether the batch in flight is stored, and its effects wait until the ownership is confirmed.
    batch_stored: bool,
    /// When the owner began.
    started_at: Instant,
    /// Whether the shard knows the registrations of its workers.
    workers_known: bool,
    /// The evacuated zones that the shard knows.
    evacuated: Arc<BTreeSet<Name>>,
    /// The configuration whose policy services the shard knows.
    policy_config: Arc<ClusterConfig>,
    queues: OwnerQueues,
    /// The start requests, with their workers.
    starts: CallQueue<(Name, StartRequest)>,
    /// The stop requests, with their workers.
    stops: CallQueue<(Name, RunId)>,
    store_health: StoreHealth,
    /// Set while the shard is being released; receives a message when that is done.
    release_reply: Option<oneshot::Sender<()>>,
    load: OwnerLoad,
    interference: InterferenceMetrics,
}

/// Why the owner of a shard ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerEnd {
    /// The process released the shard.
    Released,
    /// The owner found that another process owns the shard, or could not go on.
    OwnershipLost,
}

/// Runs the owner of a shard until the shard is released or another process owns it.
pub(crate) async fn run(
    context: OwnerContext,
    mut claimed: ClaimedShard,
    mut requests: mpsc::Receiver<LocalRequest>,
    mut worker_updates: WorkerUpdates,
) -> OwnerEnd {
    let (events, mut incoming) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let at = timestamp(&*context.clock);
    let shard = restore_shard(&context, &mut claimed, at);
    let confirmed_at = context.claimed_at;
    let mut owner = Owner {
        context,
        shard,
        memory: claimed.memory,
        fencing_token: claimed.fencing_token,
        appender: Some(claimed.appender),
        events,
        calls: JoinSet::new(),
        responders: HashMap::new(),
        next_request: 0,
        confirmed_at,
        check_pending: false,
        last_report: None,
        claim_since: None,
        report_pending: false,
        confirm_quotas: false,
        suspended: false,
        batch_stored: false,
        started_at: at.now,
        workers_known: false,
        evacuated: Arc::default(),
        policy_config: Arc::default(),
        queues: OwnerQueues::new(at.now),
        starts: CallQueue::default(),
        stops: CallQueue::default(),
        store_health: StoreHealth::default(),
        release_reply: None,
        load: OwnerLoad::new(at.now),
        interference: InterferenceMetrics::default(),
    };
    loop {
        owner.update_evacuated();
        owner.update_queue_policies();
        let wait = owner.time_until_tick();
        let turn_start;
        let mut handled = 0;
        tokio::select! {
            Some(request) = requests.recv() => {
                turn_start = owner.context.clock.now();
                handled += 1;
                owner.handle_local_request(request);
            }
            Some(event) = incoming.recv() => {
                turn_start = owner.context.clock.now();
                handled += 1;
                if owner.handle_event(event).is_err() {
                    break;
                }
            }
            Ok(()) = worker_updates.changed() => {
                let at = timestamp(&*owner.context.clock);
                turn_start = at.now;
                handled += 1;
                if let Some(list) = &*worker_updates.borrow_and_update() {
                    owner.shard.update_workers(at, list.clone());
                    owner.workers_known = true;
                }
            }
            () = tokio::time::sleep(wait) => turn_start = owner.context.clock.now(),
        }
        let mut lost = false;
        for _ in 0..MAX_EVENT_BATCH {
            if let Ok(request) = requests.try_recv() {
                owner.handle_local_request(request);
            } else if let Ok(event) = incoming.try_recv() {
                lost |= owner.handle_event(event).is_err();
            } else {
                break;
            }
            handled += 1;
        }
        let handled_at = owner.context.clock.now();
        owner.load.add(
            Work::Events,
            handled_at.saturating_duration_since(turn_start),
        );
        if lost || owner.make_decisions().is_err() {
            break;
        }
        owner.finish_turn(turn_start, handled);
        if owner.release_reply.is_some() && owner.appender.is_some() {
            break;
        }
    }
    requests.close();
    while let Ok(request) = requests.try_recv() {
        if let LocalRequest::Send(_, responder) = request {
            // The send fails if the caller has stopped waiting.
            let _ = responder.send(ShardResponse::NotOwner);
        }
    }
    owner.stop().await
}

/// Creates the state of a claimed shard from the records of its earlier owners, which it takes out of
/// `claimed`.
fn restore_shard(context: &OwnerContext, claimed: &mut ClaimedShard, at: Timestamp) -> Shard {
    let mut timings = context.timings;
    if claimed.released {
        timings.takeover_wait = Duration::ZERO;
    }
    let mut shard = Shard::new(timings, at.now);
    shard.set_fencing_token(claimed.fencing_token);
    let records = mem::take(&mut claimed.records);
    let restored = records.len();
    shard.restore(at, records);
    log::info!(
        shard:display = context.shard_id, token = claimed.fencing_token, records = restored,
        released = claimed.released, open_jobs = shard.unfinished_jobs(); "shard_acquired"
    );
    shard
}

impl Owner {
    /// Ends the owner. If the shard is being released, stores this, unless another process owns it.
    async fn stop(mut self) -> OwnerEnd {
        log::info!(
            shard:display = self.context.shard_id, token = self.fencing_token,
            released = self.release_reply.is_some(), open_jobs = self.shard.unfinished_jobs();
            "shard_owner_stopped"
        );
        self.queues.answer_waiting(&ShardResponse::NotOwner);
        self.withdraw_unsent(&ShardResponse::NotOwner, "owner_ends");
        self.write_log_events();
        if self.store_health.is_unresponsive() {
            metrics::gauge!("shards_without_store").decrement(1.0);
        }
        let Some(done) = self.release_reply.take() else {
            return OwnerEnd::OwnershipLost;
        };
        if let Some(mut appender) = self.appender.take() {
            let at = timestamp(&*self.context.clock);
            let mut records = self.shard.release_records(at);
            records.push(claim::release_record(self.fencing_token));
            let appended = appender.append(&records);
            if tokio::time::timeout(RELEASE_RECORD_TIMEOUT, appended)
                .await
                .is_err()
            {
                log::warn!(shard:display = self.context.shard_id; "release_record_timed_out");
            }
        }
        // The receiver is dropped only when the process ends.
        let _ = done.send(());
        OwnerEnd::Released
    }

    /// Returns the time until the shard has to make its next decisions. While it makes none, polls that
    /// are overdue stay so, and only events are waited for.
    fn time_until_tick(&self) -> Duration {
        if !self.makes_decisions() {
            return PAUSED_INTERVAL;
        }
        let now = self.context.clock.now();
        let mut next = self.shard.next_tick(now);
        if !self.report_pending {
            next = next.min(self.next_report(now));
        }
        next.saturating_duration_since(now)
    }

    /// Returns whether the shard makes decisions: it is not suspended, and not being released.
    fn makes_decisions(&self) -> bool {
        !self.suspended && self.release_reply.is_none()
    }

    fn handle_local_request(&mut self, request: LocalRequest) {
        match request {
            LocalRequest::Release(done) => self.release_reply = Some(done),
            LocalRequest::Send(request, responder) => self.handle_request(request, responder),
        }
    }

    fn handle_request(&mut self, request: ShardRequest, responder: Responder) {
        let at = timestamp(&*self.context.clock);
        if self.release_reply.is_some() {
            // The send fails if the caller has stopped waiting.
            let _ = responder.send(ShardResponse::NotOwner);
            return;
        }
        let response = match request {
            ShardRequest::Submit(job) => {
                let submission = WaitingSubmission { job, responder };
                self.submit(at, submission);
                return;
            }
            ShardRequest::ConfirmJob { id, queue, version } => {
                self.confirm_job(at.now, id, &queue, version, responder);
                return;
            }
            ShardRequest::Cancel(_) if self.store_health.is_unresponsive() => UNAVAILABLE,
            ShardRequest::Cancel(id) => {
                let request_id = self.add_responder(responder);
                self.shard.cancel(at, request_id, id);
                return;
            }
            // The job may still be withdrawn.
            ShardRequest::State(id) if self.shard.is_unsent(id) => UNAVAILABLE,
            ShardRequest::State(id) => match self.shard.state(id) {
                Some(state) => ShardResponse::State(state),
                // A successor may know the job.
                None if self.store_health.is_unresponsive() => UNAVAILABLE,
                None => ShardResponse::NotFound,
            },
            ShardRequest::Pending(queue) => {
                ShardResponse::Pending(self.shard.queued_jobs(&queue) as u64)
            }
            ShardRequest::DrainWorker { worker, urgent } => {
                match self.shard.drain(at, &worker, urgent) {
                    DrainStatus::Drained => ShardResponse::Drained,
                    DrainStatus::Busy => ShardResponse::Busy,
                    DrainStatus::Deferred => ShardResponse::Deferred,
                    DrainStatus::UnknownWorker => ShardResponse::NotFound,
                }
            }
            ShardRequest::ReleaseWorker(worker) => match self.shard.release_idle(at, &worker) {
                true => ShardResponse::Drained,
                false => ShardResponse::Busy,
            },
            ShardRequest::WorkerTerminated(worker) => {
                self.shard.handle_termination(&worker);
                ShardResponse::Accepted
            }
            ShardRequest::ReportUsage(_)
            | ShardRequest::FleetStatus
            | ShardRequest::SetSwitch { .. } => ShardResponse::NotOwner,
        };
        let _ = responder.send(response);
    }

    /// Stores the responder of a request and returns the id with which the shard refers to it.
    fn add_responder(&mut self, responder: Responder) -> RequestId {
        self.next_request += 1;
        let request_id = RequestId(self.next_request);
        self.responders.insert(request_id, responder);
        request_id
    }

    fn handle_event(&mut self, event: Event) -> Result<(), OwnershipLost> {
        let at = timestamp(&*self.context.clock);
        match event {
            Event::Started(worker, run, outcome) => {
                self.starts.finish();
                self.shard.handle_start(at, &worker, run, outcome);
            }
            Event::Stopped(worker, run, done) => {
                self.stops.finish();
                self.shard.handle_stop(at, &worker, run, done);
            }
            Event::Polled(worker, sent, Ok(report)) => {
                self.shard.handle_report(at, &worker, sent, &report);
            }
            Event::Polled(worker, _, Err(error)) => {
                let failure = match error {
                    PollError::StaleToken => PollFailure::StaleToken,
                    PollError::WrongWorker => PollFailure::WrongWorker,
                    PollError::NoResponse => PollFailure::NoResponse,
                };
                self.shard.handle_poll_failure(at, &worker, failure);
            }
            Event::Throttled(worker, run, done) => {
                if !done {
                    self.shard.handle_throttle_failure(&worker, run);
                }
            }
            Event::PolicyAnswered(step, decision) => self.shard.handle_policy(at, step, decision),
            Event::Stored(sent, result) => {
                let appender = result?;
                // A successor's token is higher than the offset at which its claim is stored.
                self.shard.set_fencing_token(appender.end_offset());
                self.appender = Some(appender);
                self.store_health.handle_answer();
                self.record_store_answer(at.now);
                self.record_confirmation(sent);
                self.batch_stored = true;
            }
            Event::PartStored => {
                self.store_health.handle_sent(at.now);
                self.record_store_answer(at.now);
            }
            Event::OwnershipChecked(sent, offset, result) => {
                self.check_pending = false;
                match result {
                    Ok(()) => {
                        self.record_store_answer(at.now);
                        self.record_confirmation(sent);
                    }
                    Err(StoreError::OffsetMismatch { .. }) if self.has_appended_since(offset) => {}
                    Err(StoreError::OffsetMismatch { .. }) => return Err(OwnershipLost),
                    Err(error) => {
                        log::warn!(
                            shard:display = self.context.shard_id, error:display;
                            "ownership_check_failed"
                        );
                    }
                }
            }
            Event::QueuesPublished(changes, result) => {
                self.handle_queues_published(at, &changes, result);
            }
            Event::Quotas(quotas) => {
                self.report_pending = false;
                if let Some(sent) = quotas {
                    let has_shrunk = self.shard.set_quotas(&sent.quotas.into_iter().collect());
                    self.confirm_quotas = has_shrunk && sent.claimed;
                }
            }
        }
        Ok(())
    }

    /// Returns whether an append of this owner has moved the end of the partition from `offset`, or is
    /// in progress and may have done so.
    fn has_appended_since(&self, offset: u64) -> bool {
        let end = self.appender.as_ref().map(Appender::end_offset);
        end != Some(offset)
    }

    fn record_store_answer(&self, now: Instant) {
        self.context.router.handle_store_answer(now);
    }

    /// Decides whether the store responds. While it does not, submissions that are in no batch yet are
    /// withdrawn and refused.
    fn update_store_health(&mut self, now: Instant) {
        let silence = self.context.router.store_silence(now);
        if self.store_health.update(now, silence, !self.suspended) {
            let unresponsive = self.store_health.is_unresponsive();
            let silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
            log::warn!(
                shard:display = self.context.shard_id, unresponsive, silence_ms;
                "shard_store_changed"
            );
            metrics::gauge!("shards_without_store").increment(match unresponsive {
                true => 1.0,
                false => -1.0,
            });
        }
        // A successor is known if the shard is being released.
        let response = match self.release_reply {
            Some(_) => ShardResponse::NotOwner,
            None => UNAVAILABLE,
        };
        if self.store_health.is_unresponsive() {
            self.withdraw_unsent(&response, "store_unresponsive");
        }
        if self.store_health.is_unresponsive() || self.queues.is_publish_late(now) {
            self.queues.answer_waiting(&response);
        }
    }

    /// Withdraws the submissions that are in no batch yet, with a response that tells that they were not
    /// carried out.
    fn withdraw_unsent(&mut self, response: &ShardResponse, cause: &'static str) {
        let now = self.context.clock.now();
        for request_id in self.shard.withdraw_unsent(now, cause) {
            metrics::counter!("submissions_withdrawn_total").increment(1);
            if let Some(responder) = self.responders.remove(&request_id) {
                // The send fails if the caller has stopped waiting.
                let _ = responder.send(response.clone());
            }
        }
    }

    /// Records that this process owned the shard at the time `sent`.
    fn record_confirmation(&mut self, sent: Instant) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Makes the decisions that are due and executes their effects.
    fn make_decisions(&mut self) -> Result<(), OwnershipLost> {
        let at = timestamp(&*self.context.clock);
        // A successor waits this long before it considers the runs on unreachable workers ended.
        let unconfirmed_for = at.now.saturating_duration_since(self.confirmed_at);
        let suspended = unconfirmed_for > self.context.timings.takeover_wait;
        if suspended != self.suspended {
            self.suspended = suspended;
            log::warn!(
                shard:display = self.context.shard_id, suspended,
                unconfirmed_ms = unconfirmed_for.as_millis() as u64; "scheduling_state_changed"
            );
        }
        // A request to evacuate a zone or a configuration may have become known since the turn began.
        self.update_evacuated();
        self.update_queue_policies();
        self.update_store_health(at.now);
        if !suspended && mem::take(&mut self.batch_stored) {
            self.shard.batch_stored(at);
        }
        if self.makes_decisions() {
            self.shard.tick(at);
        }
        if self.shard.is_superseded() {
            log::info!(
                shard:display = self.context.shard_id, token = self.fencing_token;
                "fencing_token_stale"
            );
            return Err(OwnershipLost);
        }
        let decided_at = self.add_work(Work::Decisions, at.now);
        self.report_absences();
        self.publish_queues(at);
        self.store_batch();
        let encoded_at = self.add_work(Work::Records, decided_at);
        self.check_ownership(at.now, unconfirmed_for);
        self.update_claim(at.now);
        self.report_usage(at.now);
        for effect in self.shard.take_effects() {
            self.execute_effect(effect);
        }
        self.send_starts();
        self.send_stops();
        let withheld = self.shard.take_withheld_starts();
        if withheld > 0 {
            metrics::counter!("starts_withheld_total").increment(withheld);
        }
        self.write_log_events();
        while self.calls.try_join_next().is_some() {}
        self.add_work(Work::Effects, encoded_at);
        Ok(())
    }

    /// Writes the decisions of the shard to the log.
    fn write_log_events(&mut self) {
        for log_event in self.shard.take_log_events() {
            log::info!(
                shard:display = self.context.shard_id, subject = log_event.subject.as_str(),
                detail = log_event.detail.as_str(); "{}", log_event.event
            );
        }
    }

    /// Passes the evacuated zones to the shard if they have changed.
    fn update_evacuated(&mut self) {
        let zones = self.context.evacuated.load();
        if !Arc::ptr_eq(&zones, &self.evacuated) {
            self.shard.set_evacuated_zones(&zones);
            self.evacuated = zones;
        }
    }

    /// Tells the shard which of its queues have a policy service, after the configuration has changed. A
    /// queue that another pool serves now may have jobs left here.
    fn update_queue_policies(&mut self) {
        let config = self.context.current_config.load();
        if Arc::ptr_eq(&config, &self.policy_config) {
            return;
        }
        let queues: BTreeSet<&Name> = self.shard.queues().collect();
        let routes = config.routes.iter().filter(|route| {
            ShardId::of_pool(&route.pool) == self.context.shard_id || queues.contains(&route.name)
        });
        let policies = routes.map(|route| (Arc::clone(&route.name), route.policy.is_some()));
        let policies = policies.collect();
        self.shard.set_queue_policies(policies);
        self.policy_config = config;
    }

    /// Adds the time since `start` to a part of the work, and returns the current time.
    fn add_work(&mut self, work: Work, start: Instant) -> Instant {
        let now = self.context.clock.now();
        self.load.add(work, now.saturating_duration_since(start));
        now
    }

    /// Records the length of a turn of the loop, and logs the load now and then.
    fn finish_turn(&mut self, start: Instant, handled: u64) {
        let now = self.context.clock.now();
        let taken = now.saturating_duration_since(start);
        metrics::histogram!("owner_turn_seconds").record(taken.as_secs_f64());
        self.load.count_turn(handled, taken);
        self.interference.update(&self.shard);
        self.update_memory();
        let (id, token) = (self.context.shard_id, self.fencing_token);
        self.load.log_if_due(now, id, token, &self.shard);
    }

    /// Records the memory that the shard's jobs take, and tells the shard how much they may take.
    fn update_memory(&mut self) {
        let limit = self.memory.update(self.shard.job_memory());
        self.shard.set_job_memory_limit(limit);
    }

    /// Starts to append the next records of the shard, unless an append is in progress.
    fn store_batch(&mut self) {
        while self.appender.is_some() {
            let Some(records) = self.shard.next_batch() else {
                return;
            };
            let at = timestamp(&*self.context.clock);
            if records.is_empty() {
                if self.suspended {
                    self.batch_stored = true;
                    return;
                }
                self.shard.batch_stored(at);
                continue;
            }
            metrics::counter!("shard_records_total").increment(records.len() as u64);
            let Some(mut appender) = self.appender.take() else {
                return;
            };
            let events = self.events.clone();
            let batches = split_batch(records, self.context.platform.store.max_append_bytes());
            self.store_health.handle_sent(at.now);
            self.calls.spawn(async move {
                let mut result = Ok(());
                for (part, records) in batches.into_iter().enumerate() {
                    if result.is_ok() && part > 0 {
                        send_event(&events, Event::PartStored).await;
                    }
                    if result.is_ok() {
                        result = appender.append(&records).await;
                    }
                }
                let event = Event::Stored(at.now, result.map(|()| appender));
                send_event(&events, event).await;
            });
        }
    }

    /// Starts an ownership check if no append has confirmed the ownership recently, or if a caller waits
    /// for it.
    fn check_ownership(&mut self, now: Instant, unconfirmed_for: Duration) {
        let is_due = unconfirmed_for >= OWNERSHIP_CHECK_INTERVAL || self.queues.has_absences();
        if !is_due || self.check_pending {
            return;
        }
        let Some(appender) = self.appender.clone() else {
            return;
        };
        self.check_pending = true;
        let events = self.events.clone();
        self.calls.spawn(async move {
            let result = appender.check_ownership().await;
            if result.is_err() {
                // Delays the next check, so that a failing store is not called without a pause.
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            let event = Event::OwnershipChecked(now, appender.end_offset(), result);
            send_event(&events, event).await;
        });
    }

    /// Returns when the next usage report is due.
    fn next_report(&self, now: Instant) -> Instant {
        let Some(last_report) = self.last_report.filter(|_| !self.confirm_quotas) else {
            return now;
        };
        let is_new = |since: Instant| now.saturating_duration_since(since) < CLAIM_REPORT_TIME;
        let interval = match self.claim_since.is_some_and(is_new) {
            true => CLAIM_REPORT_INTERVAL,
            false => REPORT_INTERVAL,
        };
        last_report + interval
    }

    /// Updates since when a task or gang waits that needs more than an even part of its team's limit.
    fn update_claim(&mut self, now: Instant) {
        let config = self.context.current_config.load();
        let is_large =
            |unit, limit| shard_quotas::exceeds_even_quota(unit, limit, config.quota_shards());
        match self.shard.has_waiting_unit(is_large) {
            true => self.claim_since = self.claim_since.or(Some(now)),
            false => self.claim_since = None,
        }
    }

    /// Starts to send a usage report if one is due. Its response holds the quotas of the shard.
    fn report_usage(&mut self, now: Instant) {
        if self.report_pending || now < self.next_report(now) {
            return;
        }
        self.last_report = Some(now);
        self.report_pending = true;
        self.confirm_quotas = false;
        let config = self.context.current_config.load();
        let limits: BTreeMap<Name, Resources> = config.team_limits();
        self.shard.set_share_rates(config.team_rates());
        let in_shard = |pool: &&Pool| ShardId::of_pool(&pool.name) == self.context.shard_id;
        let pools = config.pools.iter().filter(in_shard);
        let pools = pools.map(|pool| {
            let demand = self.shard.pool_demand(now, &pool.name);
            (Arc::clone(&pool.name), demand)
        });
        let pools = pools.collect();
        self.shard.set_team_limits(&limits);
        let mut teams: Vec<TeamReport> = self
            .shard
            .team_usage()
            .into_iter()
            .filter(|row| limits.contains_key(&row.name))
            .map(|row| TeamReport {
                team: row.name,
                used: row.used,
                pending: row.pending,
                next_unit: row.next_unit,
                quota: row.quota,
            })
            .collect();
        for team in limits.into_keys() {
            if !teams.iter().any(|row| row.team == team) {
                teams.push(TeamReport {
                    team,
                    used: Resources::default(),
                    pending: Resources::default(),
                    next_unit: None,
                    quota: None,
                });
            }
        }
        let request = ShardRequest::ReportUsage(ShardUsage {
            shard: self.context.shard_id,
            fencing_token: self.fencing_token,
            teams,
            pools,
        });
        let (router, events) = (Arc::clone(&self.context.router), self.events.clone());
        self.calls.spawn(async move {
            let response = router
                .send(ShardId::FLEET, &request, now + REPORT_TIMEOUT)
                .await;
            let quotas = match response {
                Ok(ShardResponse::Quotas(sent)) => Some(sent),
                Ok(other) => {
                    log::warn!(reply:? = other; "usage_report_rejected");
                    None
                }
                Err(error) => {
                    log::info!(error:display; "usage_report_failed");
                    None
                }
            };
            send_event(&events, Event::Quotas(quotas)).await;
        });
    }

    /// Sends the start requests whose turn has come. Those that have waited for too long are not sent, so
    /// that their tasks are placed again.
    fn send_starts(&mut self) {
        let at = timestamp(&*self.context.clock);
        while let Some((worker, request)) = self.starts.next_expired(at.now) {
            let (shard, outcome) = (&mut self.shard, StartOutcome::Withheld);
            shard.handle_start(at, &worker, request.run, outcome);
        }
        while let Some((worker, request)) = self.starts.begin_next() {
            let Some(target) = self.target(&worker) else {
                self.starts.finish();
                continue;
            };
            metrics::counter!("starts_total").increment(1);
            let events = self.events.clone();
            let workers = Arc::clone(&self.context.platform.workers);
            self.calls.spawn(async move {
                let outcome = workers.start(&target, &request).await;
                send_event(&events, Event::Started(worker, request.run, outcome)).await;
            });
        }
    }

    /// Sends the stop requests whose turn has come. The shard sends those again that are not confirmed.
    fn send_stops(&mut self) {
        let now = self.context.clock.now();
        while self.stops.next_expired(now).is_some() {}
        while let Some((worker, run)) = self.stops.begin_next() {
            let Some(target) = self.target(&worker) else {
                self.stops.finish();
                continue;
            };
            metrics::counter!("stops_total").increment(1);
            let events = self.events.clone();
            let workers = Arc::clone(&self.context.platform.workers);
            self.calls.spawn(async move {
                let done = workers.stop(&target, run).await;
                send_event(&events, Event::Stopped(worker, run, done)).await;
            });
        }
    }

    fn target(&self, worker: &Name) -> Option<Target> {
        let address = self.shard.address(worker)?;
        Some(Target {
            id: Arc::clone(worker),
            address,
            fencing_token: self.shard.fencing_token(worker),
        })
    }

    fn execute_effect(&mut self, effect: Effect) {
        let events = self.events.clone();
        let workers = Arc::clone(&self.context.platform.workers);
        match effect {
            Effect::Respond(request_id, response) => {
                if let Some(responder) = self.responders.remove(&request_id) {
                    // The caller may have stopped waiting; the outcome is stored anyway.
                    let _ = responder.send(response.into());
                }
            }
            Effect::Start(worker, request) => {
                self.starts.add(self.context.clock.now(), (worker, request));
            }
            Effect::Stop(worker, run) => {
                let now = self.context.clock.now();
                self.stops.add(now, (worker, run));
            }
            Effect::Poll(worker, request) => {
                let Some(target) = self.target(&worker) else {
                    return;
                };
                metrics::counter!("looks_total").increment(1);
                let sent = self.context.clock.now();
                self.calls.spawn(async move {
                    let result = workers.poll(&target, request).await;
                    send_event(&events, Event::Polled(worker, sent, result)).await;
                });
            }
            Effect::QueryPolicy(step, workers) => {
                let policy = self.context.platform.policy.clone();
                metrics::counter!("advice_total").increment(1);
                self.calls.spawn(async move {
                    let decision = match policy {
                        Some(policy) => policy.allowed_workers(step, &workers).await,
                        None => {
                            log::error!(step:display; "no_policy_service");
                            None
                        }
                    };
                    send_event(&events, Event::PolicyAnswered(step, decision)).await;
                });
            }
            Effect::Throttle(worker, run, percent) => {
                let Some(target) = self.target(&worker) else {
                    return;
                };
                self.calls.spawn(async move {
                    let done = workers.throttle(&target, run, percent).await;
                    send_event(&events, Event::Throttled(worker, run, done)).await;
                });
            }
        }
    }
}

/// Sends the result of a call to the owner. An owner that has ended does not need it.
async fn send_event(events: &mpsc::Sender<Event>, event: Event) {
    if events.send(event).await.is_err() {
        log::debug!("late_call_result");
    }
}
