//! Durable jobs of this entry: submission, attempts and takeover.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lavenderhollow_config::Automatic;
use lavenderhollow_core::escrow::CLOCK_MARGIN;
use lavenderhollow_core::escrow::Evidence;
use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::fold::Outcome;
use lavenderhollow_core::jobs::Attempt;
use lavenderhollow_core::jobs::Job;
use lavenderhollow_core::jobs::JobChange;
use lavenderhollow_core::jobs::JobOutcome;
use lavenderhollow_core::jobs::JobRejection;
use lavenderhollow_core::jobs::JobSpec;
use lavenderhollow_core::jobs::LEASE_MARGIN;
use lavenderhollow_core::jobs::MAX_RESULT;
use lavenderhollow_core::jobs::PendingStart;
use lavenderhollow_core::jobs::RecordedStart;
use lavenderhollow_core::jobs::Stage;
use lavenderhollow_core::permit::Permit;
use lavenderhollow_core::permit::SendError;
use lavenderhollow_core::queue::Class;
use lavenderhollow_core::record::RECORD_WINDOW;
use lavenderhollow_core::record::Record;
use lavenderhollow_core::zone::ZoneChange;
use lavenderhollow_core::zone::ZoneRejection;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::JobId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::RequestId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Verdict;
use tokio::sync::Notify;

use crate::allotments;
use crate::context::Context;
use crate::context::RETRY_AFTER;
use crate::dispatch;
use crate::dispatch::Reply;
use crate::dispatch::Request;
use crate::dispatch::Start;
use crate::message::JobState;
use crate::message::JobView;
use crate::metric;
use crate::pools::Grant;
use crate::pools::Wanted;
use crate::pools::job_key;

/// How long a submission waits for its record to be read back.
const SUBMIT_LIMIT: Duration = Duration::from_secs(4);

/// How long a started attempt keeps its target while the record of the start is not read back.
const START_LIMIT: Duration = Duration::from_secs(2);

/// How long a job waits for a target before it looks at its state again.
const TARGET_WAIT: Duration = Duration::from_secs(30);

/// How often jobs are looked at without a reason.
const SWEEP: Duration = Duration::from_millis(500);

/// How long a record of the sweep is waited for before it is submitted again.
const RECORD_WAIT: Duration = Duration::from_secs(3);

/// The longest time that a task of a durable job may run.
const RUN_LIMIT: Duration = Duration::from_hours(24);

/// The jobs that tasks of this process work on.
#[derive(Default)]
pub(crate) struct DurableJobs {
    pub(crate) wake: Notify,
    active: Mutex<BTreeSet<JobId>>,
    gone: Mutex<BTreeMap<Incarnation, Instant>>,
    /// Jobs with a record under way that the sweep would submit again.
    asked: Mutex<BTreeMap<JobId, Instant>>,
    /// Holders whose reclaim is under way.
    reclaimed: Mutex<BTreeMap<Incarnation, Instant>>,
    /// Cancelled jobs whose workers were told to stop them.
    stopped: Mutex<BTreeMap<JobId, Instant>>,
}

impl DurableJobs {
    fn active(&self) -> MutexGuard<'_, BTreeSet<JobId>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the sweep may submit a record for a job now, and notes that it does.
    fn may_ask(&self, job: JobId, now: Instant) -> bool {
        note_once(&self.asked, job, now)
    }

    /// Tells whether a reclaim may be submitted now, and notes that it is.
    fn may_reclaim(&self, holder: Incarnation, now: Instant) -> bool {
        note_once(&self.reclaimed, holder, now)
    }

    /// Tells whether the worker of a cancelled job may be called now, and notes that it is.
    fn may_stop(&self, job: JobId, now: Instant) -> bool {
        note_once(&self.stopped, job, now)
    }

    /// Returns the number of jobs that are worked on.
    pub(crate) fn open(&self) -> usize {
        self.active().len()
    }
}

/// Notes the time of a record and returns true, unless one was noted less than `RECORD_WAIT` ago.
fn note_once<K: Ord>(noted: &Mutex<BTreeMap<K, Instant>>, key: K, now: Instant) -> bool {
    let mut noted = noted.lock().unwrap_or_else(PoisonError::into_inner);
    noted.retain(|_, at| now < *at + RECORD_WAIT);
    // An earlier time stays: a caller that asks again and again must be let through in the end.
    match noted.contains_key(&key) {
        true => false,
        false => noted.insert(key, now).is_none(),
    }
}

/// Stores a job in the log.
///
/// # Errors
///
/// Refuses the job. It was not stored, or its storing will end as not run.
pub(crate) async fn submit(cx: &Context, job: JobId, spec: JobSpec) -> Result<(), Refusal> {
    let submitted = spec.clone();
    let change = JobChange::Submit {
        job,
        spec: Box::new(spec),
    };
    let outcome = cx
        .streams
        .zone
        .propose(change.into(), None, SUBMIT_LIMIT)
        .await;
    match outcome {
        Ok(Outcome::Accepted(_)) => {
            metrics::counter!(metric::JOBS, "event" => "submitted").increment(1);
            cx.jobs.wake.notify_one();
            Ok(())
        }
        Ok(Outcome::Rejected(ZoneRejection::Job(JobRejection::Exists))) => {
            repeated(cx, job, &submitted)
        }
        Ok(outcome) => {
            let detail = match outcome {
                Outcome::Rejected(rejection) => rejection.to_string(),
                _ => "the log refused the job".to_owned(),
            };
            Err(Refusal::new(RefusalKind::Invalid, detail))
        }
        Err(error) => {
            withdraw(cx, job);
            let refusal = Refusal::new(RefusalKind::LogUnavailable, error.to_string());
            Err(refusal.retry_after(RETRY_AFTER))
        }
    }
}

/// A repeated submission is the same job when team, queue and body are the same. A finished job
/// has no body any more, so that team and queue decide.
fn repeated(cx: &Context, job: JobId, spec: &JobSpec) -> Result<(), Refusal> {
    let same = cx.streams.zone.read(|fold| {
        let known = fold.state().jobs.get(job);
        known.is_some_and(|known| {
            let finished = matches!(known.stage, Stage::Finished { .. });
            let same = (&known.spec.team, &known.spec.queue) == (&spec.team, &spec.queue);
            same && (finished || known.spec.body == spec.body)
        })
    });
    if same {
        return Ok(());
    }
    let detail = "the idempotency key was used for another job";
    Err(Refusal::new(RefusalKind::Invalid, detail))
}

/// Cancels a job whose submission was refused but may still be stored.
fn withdraw(cx: &Context, job: JobId) {
    cx.streams
        .zone
        .submit(JobChange::Cancel { job }.into(), None);
}

/// Returns a job of a team.
pub(crate) fn view(cx: &Context, team: &TeamName, id: JobId) -> Option<JobView> {
    let job = cx
        .streams
        .zone
        .read(|fold| fold.state().jobs.get(id).cloned())?;
    (job.spec.team == *team).then(|| describe(id, job))
}

fn describe(id: JobId, job: Job) -> JobView {
    let (state, detail, result) = match job.stage {
        Stage::Waiting => (JobState::Waiting, None, None),
        Stage::Running(_) => (JobState::Running, None, None),
        Stage::Finished { outcome, .. } => match outcome {
            JobOutcome::Succeeded(body) => {
                (JobState::Succeeded, None, Some(body.as_ref().to_vec()))
            }
            JobOutcome::Failed(detail) => (JobState::Failed, Some(detail), None),
            JobOutcome::NotRun(refusal) => (JobState::NotRun, Some(refusal.detail), None),
            JobOutcome::MayHaveRun(doubt) => (JobState::MayHaveRun, Some(doubt.detail), None),
        },
    };
    JobView {
        job: id,
        state,
        attempts: job.attempts,
        detail,
        result,
    }
}

/// Asks for the cancellation of a job.
pub(crate) async fn cancel(cx: &Context, job: JobId) -> Result<(), Refusal> {
    let change = JobChange::Cancel { job };
    let outcome = cx
        .streams
        .zone
        .propose(change.into(), None, SUBMIT_LIMIT)
        .await;
    outcome.map(drop).map_err(|error| {
        Refusal::new(RefusalKind::LogUnavailable, error.to_string()).retry_after(RETRY_AFTER)
    })
}

/// Starts waiting jobs and takes over those of gone entries, for ever.
pub(crate) async fn keep(cx: &Arc<Context>) {
    loop {
        let _ = tokio::time::timeout(SWEEP, cx.jobs.wake.notified()).await;
        if cx.gate.is_closing() {
            continue;
        }
        stop_cancelled(cx);
        start_waiting(cx);
        take_over(cx);
    }
}

/// Stops the tasks of cancelled jobs. The attempt's own answer records the end of the job.
fn stop_cancelled(cx: &Arc<Context>) {
    let tasks: Vec<(JobId, Attempt)> = cx.streams.zone.read(|fold| {
        let jobs = &fold.state().jobs;
        let owned = jobs.owned(cx.incarnation).filter_map(|id| {
            let job = jobs.get(id).filter(|job| job.cancelled)?;
            match &job.stage {
                Stage::Running(attempt) => Some((id, attempt.clone())),
                _ => None,
            }
        });
        owned.collect()
    });
    for (job, attempt) in tasks {
        let Some(address) = cx.targets.address(&attempt.worker) else {
            continue;
        };
        if cx.jobs.may_stop(job, cx.clock.now()) {
            let cx = Arc::clone(cx);
            tokio::spawn(async move {
                // A task that has ended meanwhile is unknown to the worker. After another failure
                // the sweep tries again.
                let stopped = cx.workers.stop(address, attempt.id, cx.incarnation);
                if let Err(error) = stopped.await {
                    log::debug!("cancelled job {job} was not stopped: {error}");
                }
            });
        }
    }
}

fn start_waiting(cx: &Arc<Context>) {
    let (waiting, stranded) = cx.streams.zone.read(|fold| {
        let jobs = &fold.state().jobs;
        let waiting: Vec<JobId> = jobs.waiting(cx.incarnation).collect();
        let running = jobs.owned(cx.incarnation).filter_map(|id| {
            let job = jobs.get(id)?;
            match &job.stage {
                Stage::Running(attempt) => Some((id, attempt.id)),
                _ => None,
            }
        });
        (waiting, running.collect::<Vec<_>>())
    });
    let mut active = cx.jobs.active();
    for (job, attempt) in stranded {
        // No task works on the job, so that its recorded attempt was never sent.
        if !active.contains(&job) && cx.jobs.may_ask(job, cx.clock.now()) {
            let doubt = false;
            let change = JobChange::Return {
                job,
                attempt,
                doubt,
            };
            cx.streams.zone.submit(change.into(), None);
        }
    }
    for job in waiting {
        if active.insert(job) {
            let cx = Arc::clone(cx);
            tokio::spawn(async move {
                work(&cx, job).await;
                cx.jobs.active().remove(&job);
                cx.jobs.wake.notify_one();
            });
        }
    }
}

/// Runs one attempt of a waiting job.
async fn work(cx: &Arc<Context>, id: JobId) {
    let job = cx
        .streams
        .zone
        .read(|fold| fold.state().jobs.get(id).cloned());
    let Some(job) = job.filter(|job| matches!(job.stage, Stage::Waiting)) else {
        return;
    };
    if job.attempts > 0 && !cx.config.load().config.automatic.is_on(Automatic::Restarts) {
        return;
    }
    let Some(wanted) = wanted(cx, &job) else {
        return;
    };
    let deadline = cx.clock.now() + TARGET_WAIT + wanted.run_time;
    let grant = match cx.pools.acquire(cx, &wanted, deadline).await {
        Ok(grant) => grant,
        Err(refusal) => return end_refused(cx, id, refusal).await,
    };
    let request = Arc::new(Request {
        id: RequestId::from(id.as_uuid()),
        wanted,
        idempotent: job.spec.idempotent,
        deadline: cx.clock.now() + RUN_LIMIT,
        run_time: job.spec.run_time,
        body: Bytes::copy_from_slice(job.spec.body.as_ref()),
    });
    let Some(start) = record_start(cx, id, &request, &grant).await else {
        return;
    };
    let attempt = start.attempt();
    let span = crate::trace::hop("job", None);
    let result = dispatch::send(cx, Start::Recorded(start), grant, &span).await;
    record_end(cx, id, attempt, &request, result).await;
}

/// Ends a waiting job that no worker will ever run. Any other refusal may pass.
async fn end_refused(cx: &Context, job: JobId, refusal: Refusal) {
    let kind = refusal.kind;
    if !matches!(kind, RefusalKind::Impossible | RefusalKind::Quarantined) {
        return;
    }
    let doubt = cx
        .streams
        .zone
        .read(|fold| fold.state().jobs.get(job).is_some_and(|job| job.doubt));
    let outcome = match doubt {
        true => JobOutcome::MayHaveRun(Doubt::new("an attempt brought no answer")),
        false => JobOutcome::NotRun(refusal),
    };
    let change = JobChange::Finish {
        job,
        attempt: None,
        outcome,
    };
    // Without an outcome the job is still waiting, and the sweep looks at it again.
    let ended = cx.streams.zone.propose(change.into(), None, RECORD_WAIT);
    if ended.await.is_ok_and(|outcome| outcome.is_accepted()) {
        metrics::counter!(metric::JOBS, "event" => "finished").increment(1);
    }
}

fn wanted(cx: &Context, job: &Job) -> Option<Wanted> {
    let installed = cx.config.load();
    let queue = installed.config.queues.get(&job.spec.queue)?;
    Some(Wanted {
        pool: queue.pool.clone(),
        queue: job.spec.queue.clone(),
        team: Some(job.spec.team.clone()),
        class: if job.spec.urgent {
            Class::Urgent
        } else {
            Class::Normal
        },
        run_time: job.spec.run_time,
        size: queue.size,
        job: job_key(
            &job.spec.queue,
            Some(&job.spec.team),
            job.spec.body.as_ref(),
        ),
    })
}

/// Records the start of an attempt, which may be sent only when the record was read back.
async fn record_start(
    cx: &Arc<Context>,
    job: JobId,
    request: &Arc<Request>,
    grant: &Grant,
) -> Option<RecordedStart<Arc<Request>>> {
    let permit = Permit::new(Arc::clone(request), request.deadline);
    let (lease, wall) = (grant.lease(), cx.clock.wall());
    let worker = grant.vm().clone();
    let pending = PendingStart::new(permit, job, worker, lease, cx.incarnation, wall);
    let record = zone_record(pending.record());
    let outcome = cx.streams.zone.propose_record(record, START_LIMIT).await;
    match outcome {
        Ok(Outcome::Accepted(version)) => pending.resolve(&Outcome::Accepted(version)),
        Ok(_) => None,
        Err(_) => {
            // The record may still be accepted; the job then goes back to waiting.
            cx.streams.zone.submit(pending.abandon().into(), None);
            None
        }
    }
}

fn zone_record(record: &Record<JobChange>) -> Record<ZoneChange> {
    Record {
        id: record.id,
        created: record.created,
        actor: record.actor,
        expected: record.expected,
        change: record.change.clone().into(),
    }
}

/// Records how an attempt ended, until the log has it.
async fn record_end(
    cx: &Arc<Context>,
    job: JobId,
    attempt: AttemptId,
    request: &Request,
    result: Result<Verdict<Reply>, SendError<Arc<Request>>>,
) {
    let change = end_of(job, attempt, request, result);
    let event = match &change {
        JobChange::Finish { .. } => "finished",
        _ => "returned",
    };
    loop {
        let record = cx.streams.zone.record(change.clone().into(), None);
        match cx.streams.zone.propose_record(record, RECORD_WINDOW).await {
            Ok(_) => break,
            Err(_) => tokio::time::sleep(SWEEP).await,
        }
    }
    metrics::counter!(metric::JOBS, "event" => event).increment(1);
}

fn end_of(
    job: JobId,
    attempt: AttemptId,
    request: &Request,
    result: Result<Verdict<Reply>, SendError<Arc<Request>>>,
) -> JobChange {
    let finish = |outcome| JobChange::Finish {
        job,
        attempt: Some(attempt),
        outcome,
    };
    let give_back = |doubt| JobChange::Return {
        job,
        attempt,
        doubt,
    };
    match result {
        Ok(Verdict::Ran(reply)) => finish(outcome_of(&reply)),
        Ok(Verdict::NotRun(_)) | Err(SendError::NotSent(..)) => give_back(false),
        Ok(Verdict::MayHaveRun(_)) | Err(SendError::Unknown(_)) if request.idempotent => {
            give_back(true)
        }
        Ok(Verdict::MayHaveRun(doubt)) | Err(SendError::Unknown(doubt)) => {
            finish(JobOutcome::MayHaveRun(doubt))
        }
    }
}

fn outcome_of(reply: &Reply) -> JobOutcome {
    if reply.status != TaskStatus::Succeeded {
        let text = String::from_utf8_lossy(&reply.body);
        return JobOutcome::Failed(text.chars().take(1024).collect());
    }
    if reply.body.len() > MAX_RESULT {
        let detail = format!(
            "the result has {} bytes, over {MAX_RESULT}",
            reply.body.len()
        );
        return JobOutcome::Failed(detail);
    }
    JobOutcome::Succeeded(Body::from(&reply.body[..]))
}

/// Takes over the jobs and reclaims the allotments of entries of the zone that have ended.
fn take_over(cx: &Arc<Context>) {
    let now = cx.clock.now();
    let Some(known) = cx.peers.incarnations(cx.incarnation, now) else {
        return;
    };
    let config = cx.config.load_full();
    let (owners, holders) = cx.streams.zone.read(|fold| {
        let state = fold.state();
        let owners: BTreeSet<_> = state.jobs.owners().filter(|o| !known.contains(o)).collect();
        let teams = state.allotments.teams.values();
        let holders = teams.flat_map(|team| team.holders.keys().copied());
        let holders: BTreeSet<_> = holders.filter(|h| !known.contains(h)).collect();
        (owners, holders)
    });
    let mut gone = cx.jobs.gone.lock().unwrap_or_else(PoisonError::into_inner);
    gone.retain(|who, _| owners.contains(who) || holders.contains(who));
    for who in owners.iter().chain(&holders) {
        gone.entry(*who).or_insert(now);
    }
    let over = |at: &Instant, margin| now >= *at + cx.settings.lease + margin;
    if config.config.automatic.is_on(Automatic::Reclaims) {
        for holder in &holders {
            // The fold compares the evidence with the log's clock, hence the larger margin.
            let at = gone.get(holder).filter(|at| over(at, CLOCK_MARGIN));
            if let Some(at) = at
                && cx.jobs.may_reclaim(*holder, now)
            {
                let evidence = Evidence {
                    gone: cx.clock.wall() - now.saturating_duration_since(*at),
                };
                let change = allotments::reclaim(*holder, evidence);
                cx.streams.zone.submit(change, None);
            }
        }
    }
    for owner in &owners {
        let ended = gone.get(owner).is_some_and(|at| over(at, LEASE_MARGIN));
        take_over_jobs(cx, *owner, ended);
    }
}

/// Takes over waiting jobs at once, and running ones after their leases have ended.
fn take_over_jobs(cx: &Context, owner: Incarnation, ended: bool) {
    let changes: Vec<ZoneChange> = cx.streams.zone.read(|fold| {
        let jobs = &fold.state().jobs;
        let owned = jobs.owned(owner).filter_map(|id| {
            let job = jobs.get(id)?;
            let taken = match &job.stage {
                Stage::Waiting => Some((id, None)),
                Stage::Running(attempt) if ended => Some((id, Some(attempt.id))),
                _ => None,
            };
            taken.filter(|_| cx.jobs.may_ask(id, cx.clock.now()))
        });
        owned
            .map(|(job, attempt)| JobChange::TakeOver { job, attempt }.into())
            .collect()
    });
    for change in changes {
        metrics::counter!(metric::JOBS, "event" => "takeover").increment(1);
        cx.streams.zone.submit(change, None);
    }
}
