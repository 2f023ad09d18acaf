//! Attempts of durable jobs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use lavenderhollow_config::Automatic;
use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::fold::Outcome;
use lavenderhollow_core::jobs::Job;
use lavenderhollow_core::jobs::JobChange;
use lavenderhollow_core::jobs::JobOutcome;
use lavenderhollow_core::jobs::MAX_RESULT;
use lavenderhollow_core::jobs::PendingStart;
use lavenderhollow_core::jobs::RecordedStart;
use lavenderhollow_core::jobs::Stage;
use lavenderhollow_core::permit::Permit;
use lavenderhollow_core::permit::SendError;
use lavenderhollow_core::queue::Class;
use lavenderhollow_core::record::RECORD_WINDOW;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::JobId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::RequestId;
use lavenderhollow_types::Verdict;

use super::RECORD_WAIT;
use super::SWEEP;
use crate::context::Context;
use crate::dispatch;
use crate::dispatch::Reply;
use crate::dispatch::Request;
use crate::dispatch::Start;
use crate::metric;
use crate::pools::Grant;
use crate::pools::Wanted;
use crate::pools::job_key;

/// How long a started attempt keeps its target while the record of the start is not read back.
const START_LIMIT: Duration = Duration::from_secs(2);

/// How long a job waits for a target before it looks at its state again.
const TARGET_WAIT: Duration = Duration::from_secs(30);

/// The longest time that a task of a durable job may run.
const RUN_LIMIT: Duration = Duration::from_hours(24);

/// Runs one attempt of a waiting job.
pub(super) async fn work(cx: &Arc<Context>, id: JobId) {
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
    let record = pending.record().clone().convert();
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
