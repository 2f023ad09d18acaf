//! Answers to the calls of other entries.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use lavenderhollow_core::keyring::Admission;
use lavenderhollow_trace::Span;
use lavenderhollow_types::JobId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::message::ConfigReply;
use crate::message::Detail;
use crate::message::Forward;
use crate::message::ForwardFor;
use crate::message::ForwardReply;
use crate::message::JobQuestion;
use crate::message::JobView;
use crate::message::Peer;
use crate::message::PeerError;
use crate::message::StatusReply;
use crate::peers::MAX_MESSAGE;
use crate::seal::Kind;
use crate::seal::Sealed;
use crate::serve;
use crate::serve::Arrival;
use crate::summary;
use crate::trace;

/// Answers one connection.
#[derive(Clone)]
struct PeerServer {
    cx: Arc<Context>,
}

/// Listens for peers, and returns the address and the server to be run. Dropping the server closes
/// its connections, so that peers do not take a stopped entry for a live one.
///
/// # Errors
///
/// Fails when the address is not free.
pub(crate) async fn listen(
    cx: &Arc<Context>,
    address: SocketAddr,
) -> std::io::Result<(SocketAddr, BoxFuture<'static, ()>)> {
    let mut listener = tcp::listen(address, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_MESSAGE);
    let local = listener.local_addr();
    let cx = Arc::clone(cx);
    let server = async move {
        let mut open = JoinSet::new();
        // A connection that fails before its first message concerns that peer alone.
        let connections = listener.filter_map(|connection| async { connection.ok() });
        let mut connections = pin!(connections);
        while let Some(transport) = connections.next().await {
            let server = PeerServer {
                cx: Arc::clone(&cx),
            };
            let channel = BaseChannel::with_defaults(transport);
            open.spawn(channel.execute(server.serve()).for_each(|call| async {
                tokio::spawn(call);
            }));
            while open.try_join_next().is_some() {}
        }
    };
    Ok((local, server.boxed()))
}

impl Peer for PeerServer {
    async fn status(self, _: context::Context, question: Sealed) -> Result<Sealed, PeerError> {
        let (cx, wall) = (&self.cx, self.cx.clock.wall());
        let (_, detail): (_, Detail) = cx.peers.seal.open(Kind::Status, &question, wall)?;
        let now = cx.clock.now();
        let reply = StatusReply {
            incarnation: cx.incarnation,
            closing: cx.gate.is_closing(),
            report: cx.with_freshness(|freshness| freshness.report(now)),
            summary: summary::of(cx, detail),
        };
        cx.peers.sealed(Kind::StatusReply, &reply, wall)
    }

    async fn config(self, _: context::Context, question: Sealed) -> Result<Sealed, PeerError> {
        let (cx, wall) = (&self.cx, self.cx.clock.wall());
        let (_, ()) = cx.peers.seal.open(Kind::Config, &question, wall)?;
        let installed = cx.config.load_full();
        if installed.version.get() == 0 {
            return Err(PeerError::NoConfig);
        }
        let document = serde_json::to_string(&*installed.config);
        let reply = ConfigReply {
            version: installed.version,
            document: document.map_err(|_| PeerError::NoConfig)?,
        };
        cx.peers.sealed(Kind::ConfigReply, &reply, wall)
    }

    async fn job(self, _: context::Context, question: Sealed) -> Result<Sealed, PeerError> {
        let (cx, wall) = (&self.cx, self.cx.clock.wall());
        let (_, question): (_, JobQuestion) = cx.peers.seal.open(Kind::Job, &question, wall)?;
        let reply: Result<JobView, Refusal> = answer_job(cx, &question).await;
        cx.peers.sealed(Kind::JobReply, &reply, cx.clock.wall())
    }

    async fn forward(self, _: context::Context, request: Sealed) -> Result<Sealed, PeerError> {
        let (cx, wall) = (&self.cx, self.cx.clock.wall());
        let (_, forward): (_, Forward) = cx.peers.seal.open(Kind::Forward, &request, wall)?;
        let span = trace::hop("forwarded", forward.trace.as_deref());
        let reply = run(cx, forward, &span).await;
        cx.peers.sealed(Kind::ForwardReply, &reply, cx.clock.wall())
    }
}

async fn answer_job(cx: &Arc<Context>, question: &JobQuestion) -> Result<JobView, Refusal> {
    let member = cx.member_named(&question.team)?;
    if member.settings.home != cx.settings.zone {
        let detail = "this entry is not in the team's home zone";
        return Err(Refusal::new(RefusalKind::NoTarget, detail));
    }
    serve::job(cx, &member, question.job, question.cancel).await
}

async fn run(cx: &Arc<Context>, forward: Forward, span: &Span) -> ForwardReply {
    let _open = match cx.gate.enter() {
        Ok(open) => open,
        Err(refusal) => return ForwardReply::NotRun(refusal),
    };
    let arrival = match arrival_of(cx, &forward) {
        Ok(arrival) => arrival,
        Err(refusal) => return ForwardReply::NotRun(refusal),
    };
    match &forward.purpose {
        ForwardFor::Room => serve::forwarded(serve::plain(cx, &arrival, forward.hops, span).await),
        ForwardFor::Claim(key) => serve::forwarded(serve::claim(cx, &arrival, key, span).await),
        ForwardFor::Ticket(text) => serve::ticket(cx, &arrival, text, forward.hops, span).await,
        ForwardFor::Submit(job) => submit(cx, &arrival, job).await,
    }
}

async fn submit(cx: &Arc<Context>, arrival: &Arrival, job: &str) -> ForwardReply {
    let Ok(job) = job.parse::<JobId>() else {
        return ForwardReply::NotRun(Refusal::new(RefusalKind::Invalid, "job id is malformed"));
    };
    match serve::store(cx, arrival, job).await {
        Ok(()) => ForwardReply::Submitted,
        Err(refusal) => ForwardReply::NotRun(refusal),
    }
}

/// Admits a forwarded request again: the sender checked the key, the team and the queue have to
/// exist here too.
fn arrival_of(cx: &Context, forward: &Forward) -> Result<Arrival, Refusal> {
    let installed = cx.config.load();
    let team: Option<TeamName> = forward.team.clone();
    let member = team.map(|team| cx.member_named(&team)).transpose()?;
    let settings = installed.config.queues.get(&forward.queue);
    let Some(settings) = settings.cloned() else {
        return Err(Refusal::new(RefusalKind::NoQueue, "no such queue"));
    };
    let admission = Admission {
        team: member,
        queue: forward.queue.clone(),
        settings: Arc::new(settings),
    };
    if admission.is_keyed() {
        cx.check_fresh()?;
    }
    let left = forward.left.min(admission.settings.deadline);
    Ok(Arrival {
        admission,
        body: Bytes::copy_from_slice(&forward.body),
        deadline: cx.clock.now() + left,
        idempotency: None,
        ticket: None,
        urgent: forward.urgent,
    })
}
