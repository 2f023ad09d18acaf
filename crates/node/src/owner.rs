//! The owner of a shard as a task: it drives the decisions of [`Shard`] with what the store, the
//! workers and the callers say.

use std::collections::BTreeMap;
use std::collections::HashMap;
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
use lavenderhollow_shard::StepId;
use lavenderhollow_shard::Timings;
use lavenderhollow_shard::WorkerInfo;
use lavenderhollow_shard::WorkerReport;
use lavenderhollow_shard::decode_record;
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
use crate::cluster_config::Pool;
use crate::current_config::CurrentConfig;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::message::ShardUsage;
use crate::message::TeamReport;
use crate::router::LocalRequest;
use crate::router::Router;
use crate::shard_id::ShardId;

/// How many events are taken in before decisions are made.
const EVENTS_AT_ONCE: usize = 64;

/// How many answers of the store and of workers may wait.
const EVENT_QUEUE: usize = 4_096;

/// How often the owner reports its use of the teams' limits and its pools' demands.
const ALLOT_EVERY: Duration = Duration::from_millis(300);

/// The time for a report of the use of the limits.
const ALLOT_LIMIT: Duration = Duration::from_millis(800);

/// The time for storing that the shard was given up.
pub(crate) const RELEASE_RECORD_TIMEOUT: Duration = Duration::from_millis(600);

/// What the owner of a shard works with.
pub(crate) struct OwnerContext {
    pub(crate) shard_id: ShardId,
    pub(crate) platform: Platform,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) router: Arc<Router>,
    pub(crate) current: Arc<CurrentConfig>,
    pub(crate) timings: Timings,
}

enum Event {
    Started(Name, RunId, StartOutcome),
    Stopped(Name, RunId, bool),
    Polled(Name, Instant, Result<WorkerReport, PollError>),
    Throttled(Name, RunId, bool),
    Stored(Instant, Result<Appender, OwnershipLost>),
    PolicyAnswered(StepId, Option<PolicyDecision>),
    Confirmed(Instant, Result<(), StoreError>),
    Quotas(Option<Vec<(Name, Resources)>>),
}

/// The owner of a shard.
struct Owner {
    context: OwnerContext,
    shard: Shard,
    fencing_token: u64,
    appender: Option<Appender>,
    events: mpsc::Sender<Event>,
    calls: JoinSet<()>,
    answers: HashMap<RequestId, oneshot::Sender<ShardResponse>>,
    next_request: u64,
    confirmed: Instant,
    confirming: bool,
    next_allot: Instant,
    allotting: bool,
    suspended: bool,
    releasing: Option<oneshot::Sender<()>>,
}

/// Runs the owner of a shard until it is released or loses the shard.
pub(crate) async fn run(
    context: OwnerContext,
    claimed: ClaimedShard,
    mut requests: mpsc::Receiver<LocalRequest>,
    mut listings: mpsc::Receiver<Vec<WorkerInfo>>,
) {
    let (events, mut incoming) = mpsc::channel(EVENT_QUEUE);
    let at = timestamp(&*context.clock);
    let mut timings = context.timings;
    if claimed.released {
        timings.takeover_wait = Duration::ZERO;
    }
    let mut shard = Shard::new(timings, at.now);
    let mut records = Vec::new();
    for entry in &claimed.entries {
        let Some(value) = &entry.value else {
            continue;
        };
        match decode_record(&entry.key, value) {
            Ok(Some(stored)) => records.push(stored),
            Ok(None) => {}
            Err(error) => {
                log::error!(shard:display = context.shard_id, error:display; "record_unreadable");
            }
        }
    }
    let restored = records.len();
    shard.restore(at, records);
    log::info!(
        shard:display = context.shard_id, token = claimed.fencing_token, records = restored,
        released = claimed.released, open_jobs = shard.unfinished_jobs(); "shard_owned"
    );
    let mut owner = Owner {
        context,
        shard,
        fencing_token: claimed.fencing_token,
        appender: Some(claimed.appender),
        events,
        calls: JoinSet::new(),
        answers: HashMap::new(),
        next_request: 0,
        confirmed: at.now,
        confirming: false,
        next_allot: at.now,
        allotting: false,
        suspended: false,
        releasing: None,
    };
    loop {
        let pause = owner.pause();
        tokio::select! {
            Some(request) = requests.recv() => owner.take_request(request),
            Some(event) = incoming.recv() => {
                if owner.take_event(event).is_err() {
                    break;
                }
            }
            Some(list) = listings.recv() => {
                let at = timestamp(&*owner.context.clock);
                owner.shard.update_workers(at, list);
            }
            () = tokio::time::sleep(pause) => {}
        }
        let mut lost = false;
        for _ in 0..EVENTS_AT_ONCE {
            if let Ok(request) = requests.try_recv() {
                owner.take_request(request);
            } else if let Ok(event) = incoming.try_recv() {
                lost |= owner.take_event(event).is_err();
            } else {
                break;
            }
        }
        if lost || owner.decide().is_err() {
            break;
        }
        if owner.releasing.is_some() && owner.appender.is_some() {
            break;
        }
    }
    log::info!(
        shard:display = owner.context.shard_id, token = owner.fencing_token,
        released = owner.releasing.is_some(), open_jobs = owner.shard.unfinished_jobs(); "shard_left"
    );
    if let Some(done) = owner.releasing.take() {
        if let Some(mut appender) = owner.appender.take() {
            let records = [claim::release_record(owner.fencing_token)];
            let appended = appender.append(&records);
            if tokio::time::timeout(RELEASE_RECORD_TIMEOUT, appended)
                .await
                .is_err()
            {
                log::warn!(shard:display = owner.context.shard_id; "release_not_stored");
            }
        }
        // The receiver is gone only when the process ends.
        let _ = done.send(());
    }
}

impl Owner {
    fn pause(&self) -> Duration {
        let now = self.context.clock.now();
        self.shard.next_tick(now).saturating_duration_since(now)
    }

    fn take_request(&mut self, request: LocalRequest) {
        match request {
            LocalRequest::Release(done) => self.releasing = Some(done),
            LocalRequest::Send(request, answer) => self.handle_request(request, answer),
        }
    }

    fn handle_request(&mut self, request: ShardRequest, answer: oneshot::Sender<ShardResponse>) {
        let at = timestamp(&*self.context.clock);
        if self.releasing.is_some() {
            // The asker is gone when nobody receives this.
            let _ = answer.send(ShardResponse::NotOwner);
            return;
        }
        let reply = match request {
            ShardRequest::Submit(job) => {
                let request_id = self.request_id(answer);
                self.shard.submit(at, request_id, *job);
                return;
            }
            ShardRequest::Cancel(id) => {
                let request_id = self.request_id(answer);
                self.shard.cancel(at, request_id, id);
                return;
            }
            ShardRequest::State(id) => self
                .shard
                .state(id)
                .map_or(ShardResponse::NotFound, ShardResponse::State),
            ShardRequest::Pending(queue) => {
                ShardResponse::Pending(self.shard.pending(&queue) as u64)
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
        let _ = answer.send(reply);
    }

    fn request_id(&mut self, answer: oneshot::Sender<ShardResponse>) -> RequestId {
        self.next_request += 1;
        let request_id = RequestId(self.next_request);
        self.answers.insert(request_id, answer);
        request_id
    }

    fn take_event(&mut self, event: Event) -> Result<(), OwnershipLost> {
        let at = timestamp(&*self.context.clock);
        match event {
            Event::Started(worker, run, answer) => {
                self.shard.handle_start(at, &worker, run, answer);
            }
            Event::Stopped(worker, run, done) => self.shard.handle_stop(at, &worker, run, done),
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
            Event::PolicyAnswered(step, answer) => self.shard.handle_policy(at, step, answer),
            Event::Stored(sent, result) => {
                self.appender = Some(result?);
                self.confirm(sent);
                self.shard.batch_stored(at);
            }
            Event::Confirmed(sent, result) => {
                self.confirming = false;
                match result {
                    Ok(()) => self.confirm(sent),
                    // An append of this owner may have been under way.
                    Err(StoreError::OffsetMismatch { .. }) if self.appender.is_none() => {}
                    Err(StoreError::OffsetMismatch { .. }) => return Err(OwnershipLost),
                    Err(error) => {
                        log::warn!(shard:display = self.context.shard_id, error:display; "confirm_failed");
                    }
                }
            }
            Event::Quotas(rows) => {
                self.allotting = false;
                if let Some(rows) = rows {
                    self.shard.set_quotas(&rows.into_iter().collect());
                }
            }
        }
        Ok(())
    }

    fn confirm(&mut self, sent: Instant) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// Makes the decisions that are due and carries out their effects.
    fn decide(&mut self) -> Result<(), OwnershipLost> {
        let at = timestamp(&*self.context.clock);
        // A successor waits this long before it takes unreachable workers' runs for over.
        let unconfirmed = at.now.saturating_duration_since(self.confirmed);
        let suspended = unconfirmed > self.context.timings.takeover_wait;
        if suspended != self.suspended {
            self.suspended = suspended;
            log::warn!(
                shard:display = self.context.shard_id, suspended,
                unconfirmed_ms = unconfirmed.as_millis() as u64; "ownership_confirmation"
            );
        }
        if !suspended && self.releasing.is_none() {
            self.shard.tick(at);
        }
        if self.shard.is_superseded() {
            return Err(OwnershipLost);
        }
        self.store_batch();
        self.check_ownership(at.now, unconfirmed);
        self.report_use(at.now);
        for effect in self.shard.take_effects() {
            self.carry_out(effect);
        }
        for log_event in self.shard.take_log_events() {
            log::info!(
                shard:display = self.context.shard_id, subject = log_event.subject.as_str(),
                detail = log_event.detail.as_str(); "{}", log_event.event
            );
        }
        while self.calls.try_join_next().is_some() {}
        Ok(())
    }

    fn store_batch(&mut self) {
        while self.appender.is_some() {
            let Some(records) = self.shard.next_batch() else {
                return;
            };
            let at = timestamp(&*self.context.clock);
            if records.is_empty() {
                self.shard.batch_stored(at);
                continue;
            }
            metrics::counter!("shard_records_total").increment(records.len() as u64);
            let Some(mut appender) = self.appender.take() else {
                return;
            };
            let events = self.events.clone();
            self.calls.spawn(async move {
                let result = appender.append(&records).await;
                let event = Event::Stored(at.now, result.map(|()| appender));
                send(&events, event).await;
            });
        }
    }

    fn check_ownership(&mut self, now: Instant, unconfirmed: Duration) {
        if unconfirmed < OWNERSHIP_CHECK_INTERVAL || self.confirming {
            return;
        }
        let Some(appender) = self.appender.clone() else {
            return;
        };
        self.confirming = true;
        let events = self.events.clone();
        self.calls.spawn(async move {
            let result = appender.check_ownership().await;
            if result.is_err() {
                // Keeps a store that refuses from being asked without a pause.
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            send(&events, Event::Confirmed(now, result)).await;
        });
    }

    fn report_use(&mut self, now: Instant) {
        if now < self.next_allot || self.allotting {
            return;
        }
        self.next_allot = now + ALLOT_EVERY;
        self.allotting = true;
        let config = self.context.current.load();
        let limits: BTreeMap<Name, Resources> = config.team_limits();
        self.shard.set_share_rates(config.team_rates());
        let own = |pool: &&Pool| ShardId::of_pool(&pool.name) == self.context.shard_id;
        let pools = config.pools.iter().filter(own);
        let pools = pools.map(|pool| {
            let demand = self.shard.pool_demand(now, &pool.name);
            (Arc::clone(&pool.name), demand)
        });
        let pools = pools.collect();
        let mut teams: Vec<TeamReport> = self
            .shard
            .team_usage()
            .into_iter()
            .filter(|row| limits.contains_key(&row.name))
            .map(|row| TeamReport {
                team: row.name,
                used: row.used,
                pending: row.pending,
                quota: row.quota,
            })
            .collect();
        for team in limits.into_keys() {
            if !teams.iter().any(|row| row.team == team) {
                teams.push(TeamReport {
                    team,
                    used: Resources::default(),
                    pending: Resources::default(),
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
            let reply = router
                .send(ShardId::FLEET, &request, now + ALLOT_LIMIT)
                .await;
            let rows = match reply {
                Ok(ShardResponse::Quotas(rows)) => Some(rows),
                Ok(other) => {
                    log::warn!(reply:? = other; "allotment_refused");
                    None
                }
                Err(error) => {
                    log::info!(error:display; "allotment_unanswered");
                    None
                }
            };
            send(&events, Event::Quotas(rows)).await;
        });
    }

    fn target(&self, worker: &Name) -> Option<Target> {
        let address = self.shard.address(worker)?;
        Some(Target {
            id: Arc::clone(worker),
            address,
            fencing_token: self.fencing_token,
        })
    }

    fn carry_out(&mut self, effect: Effect) {
        let events = self.events.clone();
        let workers = Arc::clone(&self.context.platform.workers);
        match effect {
            Effect::Respond(request_id, answer) => {
                if let Some(sender) = self.answers.remove(&request_id) {
                    // The asker may have gone; the outcome is stored all the same.
                    let _ = sender.send(answer.into());
                }
            }
            Effect::Start(worker, order) => {
                let Some(target) = self.target(&worker) else {
                    return;
                };
                metrics::counter!("starts_total").increment(1);
                self.calls.spawn(async move {
                    let answer = workers.start(&target, &order).await;
                    send(&events, Event::Started(worker, order.run, answer)).await;
                });
            }
            Effect::Stop(worker, run) => {
                let Some(target) = self.target(&worker) else {
                    return;
                };
                metrics::counter!("stops_total").increment(1);
                self.calls.spawn(async move {
                    let done = workers.stop(&target, run).await;
                    send(&events, Event::Stopped(worker, run, done)).await;
                });
            }
            Effect::Poll(worker, order) => {
                let Some(target) = self.target(&worker) else {
                    return;
                };
                metrics::counter!("looks_total").increment(1);
                let sent = self.context.clock.now();
                self.calls.spawn(async move {
                    let result = workers.poll(&target, order).await;
                    send(&events, Event::Polled(worker, sent, result)).await;
                });
            }
            Effect::QueryPolicy(step, workers) => {
                let policy = self.context.platform.policy.clone();
                metrics::counter!("advice_total").increment(1);
                self.calls.spawn(async move {
                    let answer = match policy {
                        Some(policy) => policy.allowed_workers(step, &workers).await,
                        None => {
                            log::error!(step:display; "no_policy_service");
                            None
                        }
                    };
                    send(&events, Event::PolicyAnswered(step, answer)).await;
                });
            }
            Effect::Throttle(worker, run, percent) => {
                let Some(target) = self.target(&worker) else {
                    return;
                };
                self.calls.spawn(async move {
                    let done = workers.throttle(&target, run, percent).await;
                    send(&events, Event::Throttled(worker, run, done)).await;
                });
            }
        }
    }
}

/// Reports the outcome of a call; an owner that has ended does not need it.
async fn send(events: &mpsc::Sender<Event>, event: Event) {
    if events.send(event).await.is_err() {
        log::debug!("outcome of a call after the end of its owner");
    }
}
