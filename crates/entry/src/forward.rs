//! Forwarding of requests to other entries.

use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_core::keyring::Member;
use lavenderhollow_trace::FutureExt;
use lavenderhollow_trace::Span;
use lavenderhollow_types::EntryName;
use lavenderhollow_types::JobId;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::RequestId;

use crate::context::Context;
use crate::context::RETRY_AFTER;
use crate::message::Forward;
use crate::message::ForwardFor;
use crate::message::ForwardReply;
use crate::message::JobQuestion;
use crate::message::JobView;
use crate::peers::CallError;
use crate::peers::call_context;
use crate::seal::Kind;
use crate::serve::Arrival;
use crate::summary;
use crate::trace;

/// How much longer than the caller's deadline a forwarded request is waited for.
const MARGIN: Duration = Duration::from_secs(2);

/// The time for a question about a job.
const JOB_LIMIT: Duration = Duration::from_secs(5);

/// Why a forwarded request has no reply.
#[derive(Debug)]
pub(crate) struct ForwardError {
    /// Whether the peer may have got the request.
    pub(crate) sent: bool,
    pub(crate) detail: String,
}

impl From<CallError> for ForwardError {
    fn from(error: CallError) -> Self {
        let (sent, detail) = match error {
            CallError::NotSent(detail) => (false, detail),
            CallError::Unknown(detail) => (true, detail),
        };
        Self { sent, detail }
    }
}

/// Returns the peer with the most free slots of a pool, as far as its summary says.
///
/// Entries of this zone come first. The summary of another zone's entry is that of its zone: it may
/// have no room itself, and then forwards within its zone. A request that came from another entry
/// stays in the zone.
pub(crate) fn with_room(cx: &Context, pool: &PoolName, hops: u8) -> Option<EntryName> {
    let installed = cx.config.load_full();
    let place = summary::pool_place(&installed, pool)?;
    let summaries = cx.peers.summaries(cx.clock.now());
    let rooms = summaries.iter().filter_map(|peer| {
        let near = peer.zone == cx.settings.zone;
        let (free, _) = peer.summary.room(installed.version, place);
        (free > 0 && (near || hops == 0)).then_some((near, free, &peer.name))
    });
    let (_, _, name) = rooms.max()?;
    Some(name.clone())
}

/// Sends a request to a peer and waits for its reply.
///
/// # Errors
///
/// Fails without a reply; the error says whether the peer may have got the request.
pub(crate) async fn send(
    cx: &Arc<Context>,
    peer: &EntryName,
    arrival: &Arrival,
    purpose: ForwardFor,
    hops: u8,
    parent: &Span,
) -> Result<ForwardReply, ForwardError> {
    let span = Span::enter_with_parent("peer", parent).with_property(|| ("peer", peer.to_string()));
    let left = arrival.deadline.saturating_duration_since(cx.clock.now());
    let forward = Forward {
        request: RequestId::random(),
        queue: arrival.admission.queue.clone(),
        team: arrival
            .admission
            .team
            .as_ref()
            .map(|team| team.name.clone()),
        purpose,
        urgent: arrival.urgent,
        left,
        trace: trace::header_of(&span),
        hops: hops + 1,
        body: arrival.body.to_vec(),
    };
    let client = cx.peers.connect(peer).await?;
    let not_sent = |e: &dyn std::fmt::Display| ForwardError {
        sent: false,
        detail: e.to_string(),
    };
    let sealed = cx.peers.sealed(Kind::Forward, &forward, cx.clock.wall());
    let sealed = sealed.map_err(|e| not_sent(&e))?;
    let call = client.forward(call_context(left + MARGIN), sealed);
    let reply = call.in_span(span).await;
    let unknown = |e: &dyn std::fmt::Display| ForwardError {
        sent: true,
        detail: format!("{peer} gave no answer: {e}"),
    };
    match reply {
        // The peer refused the message itself, before it looked at the request.
        Ok(Err(error)) => Err(not_sent(&error)),
        Ok(Ok(reply)) => {
            let opened = cx.peers.opened(Kind::ForwardReply, &reply, cx.clock.wall());
            opened.map_err(|e| unknown(&e))
        }
        Err(error) => {
            cx.peers.disconnect(peer);
            Err(unknown(&error))
        }
    }
}

/// Returns the refusal when no entry of a team's home zone can be reached.
pub(crate) fn home_unreachable() -> Refusal {
    let detail = "the team's home zone can't be reached";
    Refusal::new(RefusalKind::LogUnavailable, detail).retry_after(RETRY_AFTER)
}

/// Asks an entry of the team's home zone about a durable job.
///
/// # Errors
///
/// Refuses when no entry of the home zone answers or the team has no such job.
pub(crate) async fn job(
    cx: &Arc<Context>,
    member: &Member,
    job: JobId,
    cancel: bool,
) -> Result<JobView, Refusal> {
    let question = JobQuestion {
        team: member.name.clone(),
        job,
        cancel,
        hops: 1,
    };
    for peer in cx.peers.in_zone(&member.settings.home, cx.clock.now()) {
        if let Ok(reply) = ask_job(cx, &peer, &question).await {
            return reply;
        }
    }
    Err(home_unreachable())
}

async fn ask_job(
    cx: &Arc<Context>,
    peer: &EntryName,
    question: &JobQuestion,
) -> Result<Result<JobView, Refusal>, CallError> {
    let unknown = |e: &dyn std::fmt::Display| CallError::Unknown(e.to_string());
    let client = cx.peers.connect(peer).await?;
    let sealed = cx.peers.sealed(Kind::Job, question, cx.clock.wall());
    let reply = client
        .job(call_context(JOB_LIMIT), sealed.map_err(|e| unknown(&e))?)
        .await
        .map_err(|e| unknown(&e))?
        .map_err(|e| unknown(&e))?;
    let opened = cx.peers.opened(Kind::JobReply, &reply, cx.clock.wall());
    opened.map_err(|e| unknown(&e))
}
