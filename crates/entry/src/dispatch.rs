//! Sending of requests to targets.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lavenderhollow_core::exchange::Answer;
use lavenderhollow_core::exchange::Digest;
use lavenderhollow_core::jobs::RecordedStart;
use lavenderhollow_core::permit::Lease;
use lavenderhollow_core::permit::Permit;
use lavenderhollow_core::permit::SendError;
use lavenderhollow_core::permit::Sent;
use lavenderhollow_core::permit::Unsent;
use lavenderhollow_core::queue::Class;
use lavenderhollow_platform::LeaseRef;
use lavenderhollow_platform::StartTask;
use lavenderhollow_platform::TaskAnswer;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_platform::WorkerError;
use lavenderhollow_trace::FutureExt;
use lavenderhollow_trace::Span;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::RequestId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Verdict;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::metric;
use crate::pools::Ended;
use crate::pools::Grant;
use crate::pools::Wanted;
use crate::pools::job_key;
use crate::trace;

/// How long an attempt waits for an answer that came over another connection.
const CROSSED_WAIT: Duration = Duration::from_secs(1);

/// How much longer than its caller waits a task may run before its connection is given up.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// The pause before a request whose target refused is offered to another one.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// What waits for the answer of an attempt.
pub(crate) type AnswerWaiter = oneshot::Sender<(TaskStatus, Bytes)>;

/// A request that is ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) wanted: Wanted,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Instant,
    /// The declared run time. The learned one contains what the worker adds to it, so that sending
    /// that one would make each request longer than those it was learned from.
    pub(crate) run_time: Duration,
    pub(crate) body: Bytes,
}

/// The answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: TaskStatus,
    pub(crate) body: Bytes,
}

/// Runs a request on a target of this entry, and on others after refusals. An idempotent request is
/// also sent again after doubt, within the retry budget.
pub(crate) async fn run(cx: &Arc<Context>, request: Request, parent: &Span) -> Verdict<Reply> {
    let request = Arc::new(request);
    let mut doubt: Option<Doubt> = None;
    cx.pools.first_try(&request.wanted.pool);
    loop {
        let permit = Permit::new(Arc::clone(&request), request.deadline);
        let verdict = run_permit(cx, permit, parent).await;
        match (verdict, doubt.take()) {
            (Verdict::MayHaveRun(seen), _) => {
                if !request.idempotent || !cx.pools.may_retry(&request.wanted.pool, cx.clock.now())
                {
                    return Verdict::MayHaveRun(seen);
                }
                doubt = Some(seen);
            }
            // An earlier attempt is in doubt, so that this refusal does not make it "not run".
            (Verdict::NotRun(_), Some(seen)) => return Verdict::MayHaveRun(seen),
            (verdict, _) => return verdict,
        }
    }
}

/// Runs a request that may be sent once. Only refusals that are known bring the permit back.
pub(crate) async fn run_permit(
    cx: &Arc<Context>,
    mut permit: Permit<Arc<Request>>,
    parent: &Span,
) -> Verdict<Reply> {
    loop {
        let request = Arc::clone(permit.request());
        let waited = Span::enter_with_parent("wait_for_target", parent);
        let grant = cx
            .pools
            .acquire(cx, &request.wanted, request.deadline)
            .in_span(waited)
            .await;
        let grant = match grant {
            Ok(grant) => grant,
            Err(refusal) => return permit.refuse(refusal),
        };
        match send(cx, Start::Permitted(permit), grant, parent).await {
            Ok(verdict) => return verdict,
            Err(SendError::Unknown(doubt)) => return Verdict::MayHaveRun(doubt),
            Err(SendError::NotSent(back, refusal)) => {
                if cx.clock.now() + REFUSED_PAUSE >= request.deadline {
                    return back.refuse(refusal);
                }
                permit = back;
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
        }
    }
}

/// What allows a request to be sent.
pub(crate) enum Start {
    /// The permit alone.
    Permitted(Permit<Arc<Request>>),
    /// The record of the start of a durable job's attempt, which was read back.
    Recorded(RecordedStart<Arc<Request>>),
}

impl Start {
    fn start(
        self,
        lease: &Lease,
        now: Instant,
    ) -> Result<Sent<Arc<Request>>, SendError<Arc<Request>>> {
        match self {
            Self::Permitted(permit) => permit.start(lease, now),
            Self::Recorded(start) => start.start(lease, now),
        }
    }
}

/// Sends a request to the target of a grant.
///
/// # Errors
///
/// Gives the permit back when the target did not get the request, or doubt.
pub(crate) async fn send(
    cx: &Arc<Context>,
    start: Start,
    grant: Grant,
    parent: &Span,
) -> Result<Verdict<Reply>, SendError<Arc<Request>>> {
    let now = cx.clock.now();
    let sent = start.start(grant.lease(), now)?;
    let attempt = sent.attempt();
    metrics::counter!(metric::ATTEMPTS).increment(1);
    let span = Span::enter_with_parent("target", parent)
        .with_property(|| ("target", grant.vm().to_string()));
    let task = start_task(&sent, &span);
    let limit = sent.request().deadline.saturating_duration_since(now) + ANSWER_MARGIN;
    let (waiter, answer) = oneshot::channel();
    let request = Arc::clone(sent.request());
    if cx
        .exchange
        .open(request.id, attempt, now + limit, waiter)
        .is_err()
    {
        return Err(sent.lost("attempt id is open already"));
    }
    let call = cx
        .workers
        .start(grant.address(), task, limit)
        .in_span(span)
        .await;
    let verdict = finish(cx, sent, call, answer).await;
    if !matches!(verdict, Err(SendError::NotSent(..))) {
        let at = cx.clock.now();
        let ended = Ended {
            succeeded: matches!(&verdict, Ok(Verdict::Ran(r)) if r.status == TaskStatus::Succeeded),
            took: at.saturating_duration_since(now),
            at,
        };
        cx.pools.observe(cx, &request.wanted, grant.vm(), ended);
    }
    verdict
}

fn start_task(sent: &Sent<Arc<Request>>, span: &Span) -> StartTask {
    let request = sent.request();
    StartTask {
        request: request.id,
        attempt: sent.attempt(),
        lease: LeaseRef {
            holder: sent.holder(),
            end: sent.lease_end(),
        },
        run_time: request.run_time,
        saved: Duration::ZERO,
        trace: trace::header_of(span),
        body: request.body.clone(),
    }
}

async fn finish(
    cx: &Context,
    sent: Sent<Arc<Request>>,
    call: Result<TaskAnswer, WorkerError>,
    answer: oneshot::Receiver<(TaskStatus, Bytes)>,
) -> Result<Verdict<Reply>, SendError<Arc<Request>>> {
    let attempt = sent.attempt();
    match call {
        Ok(answer) => deliver(cx, answer),
        Err(WorkerError::Refused(refusal)) => {
            cx.exchange.close(attempt);
            return Err(sent.refused(refusal_status(), refusal.attempt));
        }
        Err(WorkerError::NotSent(detail)) => {
            cx.exchange.close(attempt);
            return Err(sent.unsent(Unsent::connect_failed(detail)));
        }
        Err(WorkerError::Unknown(detail)) => {
            cx.exchange.close(attempt);
            return Err(sent.lost(detail));
        }
    }
    match tokio::time::timeout(CROSSED_WAIT, answer).await {
        Ok(Ok((TaskStatus::Dropped | TaskStatus::Stopped, _))) => {
            Err(sent.lost("the target stopped the task before its end"))
        }
        Ok(Ok((status, body))) => Ok(sent.answered(Reply { status, body })),
        Ok(Err(_)) | Err(_) => {
            cx.exchange.close(attempt);
            Err(sent.lost("the target's answer was not whole or not to this request"))
        }
    }
}

/// The platform client reports a refusal only for a status that refuses and the echoed attempt.
fn refusal_status() -> u16 {
    lavenderhollow_core::permit::STATUS_CONFLICT
}

/// Hands an answer to the attempt that it names, which may not be the one of its connection.
fn deliver(cx: &Context, answer: TaskAnswer) {
    let status = answer.status;
    let matched = cx.exchange.deliver(Answer {
        request: answer.request,
        attempt: answer.attempt,
        length: answer.length,
        digest: Digest::from_bytes(answer.digest),
        body: answer.body,
    });
    match matched {
        Ok((waiter, body)) => {
            // The waiter is gone when its caller's time is over.
            let _ = waiter.send((status, body));
        }
        Err(dropped) => {
            let reason = dropped.to_string();
            metrics::counter!(metric::DROPPED_ANSWERS, "reason" => reason).increment(1);
        }
    }
}

/// Describes what a request needs of its pool.
pub(crate) fn wanted(
    cx: &Context,
    admission: &lavenderhollow_core::keyring::Admission,
    urgent: bool,
    body: &[u8],
) -> Wanted {
    let team: Option<TeamName> = admission.team.as_ref().map(|team| team.name.clone());
    let expected = cx.pools.expected(admission);
    Wanted {
        pool: admission.settings.pool.clone(),
        queue: admission.queue.clone(),
        job: job_key(&admission.queue, team.as_ref(), body),
        team,
        class: if urgent { Class::Urgent } else { Class::Normal },
        run_time: expected.run_time,
        size: expected.size,
    }
}
