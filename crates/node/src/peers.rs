//! Connections between processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use futures::StreamExt;
use lavenderhollow_shard::Name;
use lavenderhollow_trace::Span;
use lavenderhollow_trace::SpanContext;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;

use crate::assignment::Ownership;
use crate::message::Peer;
use crate::message::PeerClient;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::shard_id::ShardId;

/// The time for opening a connection: several round trips within a region.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// The largest message between processes, in bytes: a job's text and steps, with room to spare.
const MAX_MESSAGE: usize = 2 << 20;

/// What a call of a peer failed with.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// Nothing was sent.
    #[display("not sent: {detail}")]
    NotSent {
        /// What happened.
        detail: String,
    },
    /// The peer may have acted.
    #[display("no answer: {detail}")]
    OutcomeUnknown {
        /// What happened.
        detail: String,
    },
}

/// Open connections to peers, by address.
#[derive(Default)]
pub(crate) struct Peers {
    clients: Mutex<BTreeMap<Name, PeerClient>>,
}

impl Peers {
    /// Asks the owner of a shard at an address.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer within `limit`.
    pub(crate) async fn send(
        &self,
        address: &Name,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
        limit: Duration,
    ) -> Result<ShardResponse, PeerError> {
        let span = parent.map(|context| Span::child("peer", context));
        let client = self.client(address).await?;
        let context = span.as_ref().map(Span::context);
        let call = client.send(context_for(limit), context, shard, request);
        let result = call.await;
        self.finish(address, result)
    }

    /// Asks a peer for the owners that it knows.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer within `limit`.
    pub(crate) async fn owners(
        &self,
        address: &Name,
        limit: Duration,
    ) -> Result<Vec<(ShardId, Ownership)>, PeerError> {
        let client = self.client(address).await?;
        let result = client.owners(context_for(limit)).await;
        self.finish(address, result)
    }

    fn finish<T>(&self, address: &Name, result: Result<T, RpcError>) -> Result<T, PeerError> {
        result.map_err(|error| {
            // A connection that gave no answer may be silent for good.
            self.lock().remove(address);
            metrics::counter!("peer_errors_total").increment(1);
            PeerError::OutcomeUnknown {
                detail: error.to_string(),
            }
        })
    }

    async fn client(&self, address: &Name) -> Result<PeerClient, PeerError> {
        if let Some(client) = self.lock().get(address) {
            return Ok(client.clone());
        }
        let not_sent = |detail: String| {
            metrics::counter!("peer_errors_total").increment(1);
            PeerError::NotSent { detail }
        };
        let socket: SocketAddr = address.parse().map_err(|_| not_sent("address".into()))?;
        let mut connect = tcp::connect(socket, Bincode::default);
        connect.config_mut().max_frame_length(MAX_MESSAGE);
        let transport = tokio::time::timeout(CONNECT_LIMIT, connect)
            .await
            .map_err(|_| not_sent("connect timed out".into()))?
            .map_err(|e| not_sent(e.to_string()))?;
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        self.lock().insert(Arc::clone(address), client.clone());
        Ok(client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<Name, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn context_for(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

/// Answers the calls of peers.
pub(crate) trait PeerHandler: Clone + Send + 'static {
    /// Answers a question about a shard; `parent` is the caller's place in a trace.
    fn send(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
    ) -> impl Future<Output = ShardResponse> + Send;

    /// Returns the owners that are known.
    fn owners(&self) -> Vec<(ShardId, Ownership)>;
}

#[derive(Clone)]
struct Server<R>(R);

impl<R: PeerHandler + Sync> Peer for Server<R> {
    async fn send(
        self,
        _: context::Context,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
    ) -> ShardResponse {
        self.0.send(parent, shard, request).await
    }

    async fn owners(self, _: context::Context) -> Vec<(ShardId, Ownership)> {
        self.0.owners()
    }
}

/// Listens for peers until the process ends.
///
/// # Errors
///
/// Fails when the address is not free.
pub(crate) async fn serve<R: PeerHandler + Sync>(
    address: SocketAddr,
    handler: R,
) -> std::io::Result<()> {
    let mut listener = tcp::listen(address, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_MESSAGE);
    tokio::spawn(async move {
        // A connection that fails before its first message concerns that peer alone.
        let connections = listener.filter_map(|connection| async { connection.ok() });
        let mut connections = pin!(connections);
        while let Some(transport) = connections.next().await {
            let server = Server(handler.clone());
            let channel = BaseChannel::with_defaults(transport);
            tokio::spawn(channel.execute(server.serve()).for_each(|call| async {
                tokio::spawn(call);
            }));
        }
    });
    Ok(())
}
