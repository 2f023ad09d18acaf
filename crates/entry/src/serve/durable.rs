//! Submission, state and cancellation of durable jobs.

use std::sync::Arc;
use std::time::SystemTime;

use lavenderhollow_config::Key;
use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::jobs::JobSpec;
use lavenderhollow_core::jobs::new_job;
use lavenderhollow_core::keyring::Member;
use lavenderhollow_core::once::ClaimKey;
use lavenderhollow_trace::Span;
use lavenderhollow_types::JobId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;

use super::Arrival;
use crate::context::Context;
use crate::forward;
use crate::jobs;
use crate::message::ForwardFor;
use crate::message::ForwardReply;
use crate::message::JobView;

/// Stores a durable job in the team's home zone and returns its id.
///
/// # Errors
///
/// Refuses the job; it will not run.
pub(crate) async fn submit(
    cx: &Arc<Context>,
    arrival: Arrival,
    span: &Span,
) -> Result<JobId, Refusal> {
    let _open = cx.gate.enter()?;
    let Some(member) = arrival.admission.team.clone() else {
        let detail = "a durable job needs a team's key";
        return Err(Refusal::new(RefusalKind::Unauthorized, detail));
    };
    let wall = cx.clock.wall();
    let job = match &arrival.idempotency {
        Some(text) => job_of(text, wall)?,
        None => new_job(wall),
    };
    if member.settings.home == cx.settings.zone {
        store(cx, &arrival, job).await?;
        return Ok(job);
    }
    for peer in cx.peers.in_zone(&member.settings.home, cx.clock.now()) {
        let purpose = ForwardFor::Submit(job.to_string());
        match forward::send(cx, &peer, &arrival, purpose, 0, span).await {
            Ok(ForwardReply::Submitted) => return Ok(job),
            Ok(ForwardReply::NotRun(refusal)) => return Err(refusal),
            // Submitting the same job again is harmless, because the id is the same.
            Ok(_) | Err(_) => {}
        }
    }
    Err(forward::home_unreachable())
}

fn job_of(text: &str, wall: SystemTime) -> Result<JobId, Refusal> {
    let invalid = |e: &dyn std::fmt::Display| {
        Refusal::new(RefusalKind::Invalid, format!("idempotency-key: {e}"))
    };
    let key: ClaimKey = text.parse().map_err(|e| invalid(&e))?;
    key.check_age(wall)?;
    Ok(key.as_uuid().into())
}

/// Stores a durable job in this zone's stream.
///
/// # Errors
///
/// Refuses the job; it will not run.
pub(crate) async fn store(cx: &Context, arrival: &Arrival, job: JobId) -> Result<(), Refusal> {
    let Some(team) = arrival.team() else {
        return Err(Refusal::new(
            RefusalKind::Unauthorized,
            "a durable job needs a team",
        ));
    };
    let left = arrival.deadline.saturating_duration_since(cx.clock.now());
    let settings = &arrival.admission.settings;
    let spec = JobSpec {
        team,
        queue: arrival.admission.queue.clone(),
        idempotent: settings.idempotent,
        urgent: arrival.urgent,
        deadline: cx.clock.wall() + left,
        slots: 1,
        run_time: settings.run_time,
        body: Body::from(&arrival.body[..]),
    };
    jobs::submit(cx, job, spec).await
}

/// Returns the team whose key came with a request that names no queue.
///
/// # Errors
///
/// Refuses a key that is missing, unknown or can't be trusted now.
pub(crate) fn member(cx: &Context, key: Option<&Key>) -> Result<Arc<Member>, Refusal> {
    let Some(key) = key else {
        return Err(Refusal::new(RefusalKind::Unauthorized, "key is missing"));
    };
    cx.admit_team(key)
}

/// Shows or cancels a durable job, here or in the team's home zone.
///
/// # Errors
///
/// Refuses when the team has no such job or its home zone can't be reached.
pub(crate) async fn job(
    cx: &Arc<Context>,
    member: &Member,
    job: JobId,
    cancel: bool,
) -> Result<JobView, Refusal> {
    if member.settings.home != cx.settings.zone {
        return forward::job(cx, member, job, cancel).await;
    }
    let missing = || Refusal::new(RefusalKind::NoQueue, "the team has no such job");
    let view = jobs::view(cx, &member.name, job).ok_or_else(missing)?;
    if !cancel {
        return Ok(view);
    }
    jobs::cancel(cx, job).await?;
    jobs::view(cx, &member.name, job).ok_or_else(missing)
}
