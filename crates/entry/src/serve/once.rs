//! Requests that run at most once: idempotency keys and execution tickets.

use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_core::fold::Outcome;
use lavenderhollow_core::once::ClaimKey;
use lavenderhollow_core::once::PendingClaim;
use lavenderhollow_core::once::Spend;
use lavenderhollow_core::once::Stored;
use lavenderhollow_core::once::Ticket;
use lavenderhollow_core::permit::Permit;
use lavenderhollow_core::zone::ZoneRejection;
use lavenderhollow_trace::Span;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::Verdict;

use super::Arrival;
use super::MAX_HOPS;
use super::answer;
use super::forwarded;
use super::kept;
use super::local;
use super::to_keep;
use crate::context::Context;
use crate::context::RETRY_AFTER;
use crate::dispatch;
use crate::dispatch::Reply;
use crate::dispatch::Request;
use crate::forward;
use crate::message::ForwardFor;
use crate::message::ForwardReply;

/// How long a claim is waited for before the request is refused.
const CLAIM_LIMIT: Duration = Duration::from_secs(3);

pub(super) async fn with_ticket(
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

pub(super) async fn with_key(
    cx: &Arc<Context>,
    arrival: Arrival,
    text: &str,
    span: &Span,
) -> Verdict<Reply> {
    let Some(member) = arrival.admission.team.clone() else {
        let detail = "an idempotency-key needs a team's key: claims are kept for each team";
        return Verdict::NotRun(Refusal::new(RefusalKind::Unauthorized, detail));
    };
    if member.settings.home == cx.settings.zone {
        return claim(cx, &arrival, text, span).await;
    }
    for peer in cx.peers.in_zone(&member.settings.home, cx.clock.now()) {
        let purpose = ForwardFor::Claim(text.to_owned());
        match forward::send(cx, &peer, &arrival, purpose, 0, span).await {
            Ok(reply) => return answer(reply),
            // The claim decides: the request runs at most once, whoever got it.
            Err(error) if error.sent => return Verdict::MayHaveRun(Doubt::new(error.detail)),
            Err(_) => {}
        }
    }
    Verdict::NotRun(forward::home_unreachable())
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
    let record = pending.record().clone().convert();
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
