//! Serving of admitted requests: here, in the team's home zone, or at a ticket's owner.

mod durable;
mod once;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::exchange::Digest;
use lavenderhollow_core::keyring::Admission;
use lavenderhollow_core::once::Stored;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_trace::Span;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::RequestId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Verdict;

use crate::context::Context;
use crate::dispatch;
use crate::dispatch::Reply;
use crate::dispatch::Request;
use crate::forward;
use crate::message::ForwardFor;
use crate::message::ForwardReply;

pub(crate) use durable::job;
pub(crate) use durable::member;
pub(crate) use durable::store;
pub(crate) use durable::submit;
pub(crate) use once::claim;
pub(crate) use once::ticket;
use once::with_key;
use once::with_ticket;

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
    if let Some(refusal) = cx.pools.never(&request.wanted) {
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
