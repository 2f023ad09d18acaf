//! Serving of admitted requests: here, in the team's home zone, or at a ticket's owner.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bytes::Bytes;
use fastrace::Span;
use lavenderhollow_config::Key;
use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::exchange::Digest;
use lavenderhollow_core::fold::Outcome;
use lavenderhollow_core::jobs::JobSpec;
use lavenderhollow_core::jobs::new_job;
use lavenderhollow_core::keyring::Admission;
use lavenderhollow_core::keyring::Member;
use lavenderhollow_core::once::ClaimKey;
use lavenderhollow_core::once::PendingClaim;
use lavenderhollow_core::once::Spend;
use lavenderhollow_core::once::Stored;
use lavenderhollow_core::once::Ticket;
use lavenderhollow_core::permit::Permit;
use lavenderhollow_core::zone::ZoneRejection;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::JobId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::RequestId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Verdict;

use crate::context::Context;
use crate::context::RETRY_AFTER;
use crate::dispatch;
use crate::dispatch::Reply;
use crate::dispatch::Request;
use crate::forward;
use crate::jobs;
use crate::message::ForwardFor;
use crate::message::ForwardReply;
use crate::message::JobView;

/// How long a claim is waited for before the request is refused.
const CLAIM_LIMIT: Duration = Duration::from_secs(3);

/// How long a request waits between looks for a target here or room at a peer.
const ROOM_PAUSE: Duration = Duration::from_millis(50);

/// How often a request is forwarded at most: to the owner's zone and to the owner.
const MAX_HOPS: u8 = 2;

/// The status codes that kept answers have.
const STATUS_SUCCEEDED: u16 = 200;
const STATUS_FAILED: u16 = 500;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) admission: Admission,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    pub(crate) idempotency: Option<String>,
    pub(crate) ticket: Option<String>,
    pub(crate) urgent: bool,
}

impl Arrival {
    fn team(&self) -> Option<TeamName> {
        self.admission.team.as_ref().map(|team| team.name.clone())
    }

    /// Identifies the whole request, so that a key can't be used for another one.
    fn digest(&self) -> Digest {
        let team = self
            .team()
            .map_or_else(String::new, |team| team.to_string());
        let mut bytes = format!("{}\n{team}\n", self.admission.queue).into_bytes();
        bytes.extend_from_slice(&self.body);
        Digest::of(&bytes)
    }
}

/// Serves a caller's request.
pub(crate) async fn request(cx: &Arc<Context>, arrival: Arrival, span: &Span) -> Verdict<Reply> {
    let _open = match cx.gate.enter() {
        Ok(open) => open,
        Err(refusal) => {
            let identified = arrival.ticket.is_some() || arrival.idempotency.is_some();
            return refuse_early(refusal, identified);
        }
    };
    if let Some(ticket) = arrival.ticket.clone() {
        return with_ticket(cx, arrival, &ticket, span).await;
    }
    if let Some(key) = arrival.idempotency.clone() {
        return with_key(cx, arrival, &key, span).await;
    }
    if !arrival.admission.settings.idempotent {
        let detail = "this queue runs a request at most once: send an idempotency-key (a UUID of \
                      version 7) or an execution-ticket";
        return Verdict::NotRun(Refusal::new(RefusalKind::Invalid, detail));
    }
    plain(cx, &arrival, 0, span).await
}

/// Runs an idempotent request here, or at a peer with room while no target is open here.
pub(crate) async fn plain(
    cx: &Arc<Context>,
    arrival: &Arrival,
    hops: u8,
    span: &Span,
) -> Verdict<Reply> {
    let pool = &arrival.admission.settings.pool;
    let request = local(cx, arrival);
    if let Some(refusal) = cx.pools.never(cx, &request.wanted) {
        return Verdict::NotRun(refusal);
    }
    while cx.targets.snapshot.load().open(pool).is_empty() {
        let peer = forward::with_room(cx, pool, hops).filter(|_| hops < MAX_HOPS);
        if let Some(peer) = peer {
            match forward::send(cx, &peer, arrival, ForwardFor::Room, hops, span).await {
                Ok(reply) => return answer(reply),
                Err(doubt) if doubt.sent => return Verdict::MayHaveRun(Doubt::new(doubt.detail)),
                Err(_) => {}
            }
        }
        if cx.clock.now() + ROOM_PAUSE >= arrival.deadline {
            break;
        }
        tokio::time::sleep(ROOM_PAUSE).await;
    }
    dispatch::run(cx, request, span).await
}

/// Refuses a submission before the history of its key or ticket was looked at.
///
/// Such a refusal would be false as "not run" if an earlier submission with the same key or ticket
/// ran. A submission without either is its own request, and did not run.
pub(crate) fn refuse_early(refusal: Refusal, identified: bool) -> Verdict<Reply> {
    let mends = matches!(refusal.kind, RefusalKind::Stale | RefusalKind::Closing);
    if !identified || !mends {
        return Verdict::NotRun(refusal);
    }
    let detail = format!(
        "{}; this submission did not run, an earlier one with the same key or ticket may have: ask \
         again with it",
        refusal.detail
    );
    Verdict::MayHaveRun(Doubt::new(detail))
}

/// Makes the request to be sent to a target of this entry.
pub(crate) fn local(cx: &Context, arrival: &Arrival) -> Request {
    Request {
        id: RequestId::random(),
        wanted: dispatch::wanted(cx, &arrival.admission, arrival.urgent, &arrival.body),
        idempotent: arrival.admission.settings.idempotent,
        deadline: arrival.deadline,
        run_time: arrival.admission.settings.run_time,
        body: arrival.body.clone(),
    }
}

async fn with_ticket(
    cx: &Arc<Context>,
    arrival: Arrival,
    text: &str,
    span: &Span,
) -> Verdict<Reply> {
    answer(ticket(cx, &arrival, text, 0, span).await)
}

/// Serves a submission with a ticket here or at the ticket's owner.
///
/// An entry of another zone may not know the owner's address. It forwards to its zone, whose entries
/// all know each other.
pub(crate) async fn ticket(
    cx: &Arc<Context>,
    arrival: &Arrival,
    text: &str,
    hops: u8,
    span: &Span,
) -> ForwardReply {
    let ticket = match Ticket::parse(text) {
        Ok(ticket) => ticket,
        Err(error) => {
            return ForwardReply::NotRun(Refusal::new(RefusalKind::Invalid, error.to_string()));
        }
    };
    if ticket.incarnation == cx.incarnation {
        return forwarded(spend(cx, arrival, text, span).await);
    }
    // An earlier submission may have run at the owner, so that no failure here means "not run".
    let doubt = |detail: String| ForwardReply::MayHaveRun(Doubt::new(detail));
    let owner = cx.peers.by_incarnation(ticket.incarnation);
    let in_zone = || {
        let mut names = cx.peers.in_zone(&ticket.zone, cx.clock.now()).into_iter();
        names.next().filter(|_| ticket.zone != cx.settings.zone)
    };
    let next = owner.or_else(in_zone).filter(|_| hops < MAX_HOPS);
    let Some(next) = next else {
        return doubt("the ticket's owner can't be reached".to_owned());
    };
    let purpose = ForwardFor::Ticket(text.to_owned());
    match forward::send(cx, &next, arrival, purpose, hops, span).await {
        Ok(reply) => reply,
        Err(error) => doubt(error.detail),
    }
}

/// Runs the request of one of this entry's own tickets, once.
pub(crate) async fn spend(
    cx: &Arc<Context>,
    arrival: &Arrival,
    text: &str,
    span: &Span,
) -> Verdict<Reply> {
    let grant = match cx.tickets.spend(text, arrival.digest(), cx.clock.now()) {
        Spend::Granted(grant) => grant,
        Spend::Answered(verdict) => return kept(verdict),
        Spend::Running => {
            return Verdict::MayHaveRun(Doubt::new("an earlier submission is still running"));
        }
    };
    let request = Arc::new(local(cx, arrival));
    let (permit, running) = grant.permit(request, arrival.deadline);
    let verdict = dispatch::run_permit(cx, permit, span).await;
    cx.tickets
        .settle(running, to_keep(&verdict), cx.clock.now());
    verdict
}

async fn with_key(cx: &Arc<Context>, arrival: Arrival, text: &str, span: &Span) -> Verdict<Reply> {
    let Some(member) = arrival.admission.team.clone() else {
        let detail = "an idempotency-key needs a team's key: claims are kept for each team";
        return Verdict::NotRun(Refusal::new(RefusalKind::Unauthorized, detail));
    };
    if member.settings.home == cx.settings.zone {
        let verdict = claim(cx, &arrival, text, span).await;
        return verdict;
    }
    let unreachable = |detail: &str| {
        let refusal = Refusal::new(RefusalKind::LogUnavailable, detail);
        Verdict::NotRun(refusal.retry_after(RETRY_AFTER))
    };
    for peer in cx.peers.in_zone(&member.settings.home, cx.clock.now()) {
        let purpose = ForwardFor::Claim(text.to_owned());
        match forward::send(cx, &peer, &arrival, purpose, 0, span).await {
            Ok(reply) => return answer(reply),
            // The claim decides: the request runs at most once, whoever got it.
            Err(error) if error.sent => return Verdict::MayHaveRun(Doubt::new(error.detail)),
            Err(_) => {}
        }
    }
    unreachable("the team's home zone can't be reached")
}

/// Claims an idempotency key in this zone's stream and runs the request if the claim wins.
pub(crate) async fn claim(
    cx: &Arc<Context>,
    arrival: &Arrival,
    text: &str,
    span: &Span,
) -> Verdict<Reply> {
    let invalid = |detail: String| Verdict::NotRun(Refusal::new(RefusalKind::Invalid, detail));
    let key: ClaimKey = match text.parse() {
        Ok(key) => key,
        Err(error) => return invalid(format!("idempotency-key: {error}")),
    };
    let Some(team) = arrival.team() else {
        return invalid("an idempotency-key needs a team's key".to_owned());
    };
    let permit = Permit::new(Arc::new(local(cx, arrival)), arrival.deadline);
    let (digest, wall) = (arrival.digest(), cx.clock.wall());
    let pending = cx.streams.zone.read(|fold| {
        let claims = &fold.state().claims;
        PendingClaim::new(permit, key, &team, digest, cx.incarnation, wall, claims)
    });
    let pending = match pending {
        Ok(pending) => pending,
        Err(verdict) => return kept(verdict),
    };
    match resolve(cx, pending).await {
        Ok(permit) => {
            let verdict = dispatch::run_permit(cx, permit, span).await;
            settle(cx, key, to_keep(&verdict));
            verdict
        }
        Err(verdict) => kept(verdict),
    }
}

async fn resolve(
    cx: &Arc<Context>,
    pending: PendingClaim<Arc<Request>>,
) -> Result<Permit<Arc<Request>>, Verdict<Stored>> {
    let record = pending.record();
    let record = lavenderhollow_core::record::Record {
        id: record.id,
        created: record.created,
        actor: record.actor,
        expected: record.expected,
        change: record.change.clone().into(),
    };
    match cx.streams.zone.propose_record(record, CLAIM_LIMIT).await {
        Ok(outcome) => {
            let outcome = claim_outcome(&outcome);
            cx.streams
                .zone
                .read(|fold| pending.resolve(&outcome, &fold.state().claims))
        }
        Err(error) => {
            let refusal = Refusal::new(RefusalKind::LogUnavailable, error.to_string());
            let (verdict, change) = pending.abandon(refusal.retry_after(RETRY_AFTER));
            cx.streams.zone.submit(change.into(), None);
            Err(verdict)
        }
    }
}

fn claim_outcome(
    outcome: &Outcome<ZoneRejection>,
) -> Outcome<lavenderhollow_core::once::ClaimRejection> {
    match outcome {
        Outcome::Accepted(version) => Outcome::Accepted(*version),
        Outcome::Rejected(ZoneRejection::Claim(rejection)) => Outcome::Rejected(*rejection),
        Outcome::Conflict(version) => Outcome::Conflict(*version),
        Outcome::Duplicate => Outcome::Duplicate,
        Outcome::Snapshot => Outcome::Snapshot,
        Outcome::Rejected(_) | Outcome::Expired => Outcome::Expired,
        Outcome::Foreign => Outcome::Foreign,
    }
}

fn settle(cx: &Context, key: ClaimKey, verdict: Verdict<Stored>) {
    let change = lavenderhollow_core::once::ClaimChange::Settle {
        key,
        outcome: verdict.into(),
    };
    cx.streams.zone.submit(change.into(), None);
}

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
    let refusal = Refusal::new(
        RefusalKind::LogUnavailable,
        "the team's home zone can't be reached",
    );
    Err(refusal.retry_after(RETRY_AFTER))
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

/// Returns what is kept of a verdict for repeats; a large answer is kept without its body.
fn to_keep(verdict: &Verdict<Reply>) -> Verdict<Stored> {
    match verdict {
        Verdict::Ran(reply) => {
            let status = match reply.status {
                TaskStatus::Succeeded => STATUS_SUCCEEDED,
                _ => STATUS_FAILED,
            };
            Verdict::Ran(Stored::new(status, Body::from(&reply.body[..])))
        }
        Verdict::NotRun(refusal) => Verdict::NotRun(refusal.clone()),
        Verdict::MayHaveRun(doubt) => Verdict::MayHaveRun(doubt.clone()),
    }
}

/// Returns the verdict for a repeat.
fn kept(verdict: Verdict<Stored>) -> Verdict<Reply> {
    match verdict {
        Verdict::Ran(Stored {
            body: Some(body),
            status,
            ..
        }) => Verdict::Ran(Reply {
            status: match status {
                STATUS_SUCCEEDED => TaskStatus::Succeeded,
                _ => TaskStatus::Failed,
            },
            body: Bytes::copy_from_slice(body.as_ref()),
        }),
        Verdict::Ran(_) => {
            let detail = "the request ran, but its answer was too large to be kept for a repeat";
            Verdict::MayHaveRun(Doubt::new(detail))
        }
        Verdict::NotRun(refusal) => Verdict::NotRun(refusal),
        Verdict::MayHaveRun(doubt) => Verdict::MayHaveRun(doubt),
    }
}

fn answer(reply: ForwardReply) -> Verdict<Reply> {
    match reply {
        ForwardReply::NotRun(refusal) => Verdict::NotRun(refusal),
        ForwardReply::MayHaveRun(doubt) => Verdict::MayHaveRun(doubt),
        ForwardReply::Ran { succeeded, body } => Verdict::Ran(Reply {
            status: match succeeded {
                true => TaskStatus::Succeeded,
                false => TaskStatus::Failed,
            },
            body: body.into(),
        }),
        ForwardReply::Submitted => Verdict::MayHaveRun(Doubt::new("the job was stored")),
    }
}

/// Turns a verdict into the answer to a forwarded request.
pub(crate) fn forwarded(verdict: Verdict<Reply>) -> ForwardReply {
    match verdict {
        Verdict::Ran(reply) => ForwardReply::Ran {
            succeeded: reply.status == TaskStatus::Succeeded,
            body: reply.body.to_vec(),
        },
        Verdict::NotRun(refusal) => ForwardReply::NotRun(refusal),
        Verdict::MayHaveRun(doubt) => ForwardReply::MayHaveRun(doubt),
    }
}
