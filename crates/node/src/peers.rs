//! RPC connections between the node processes of a deployment.

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

/// The timeout for opening a connection: several round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The largest message between processes, in bytes. It has to hold a job's payload and steps, with
/// a margin.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Why a call to a peer failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The request was not sent, so nothing was done.
    #[display("request not sent: {detail}")]
    NotSent {
        /// The cause: a bad address, a failed connect or a connect timeout.
        detail: String,
    },
    /// The request was sent, and the peer may have carried it out.
    #[display("no response, outcome unknown: {detail}")]
    OutcomeUnknown {
        /// The error of the call, such as a timeout or a lost connection.
        detail: String,
    },
}

/// The open connections to peers, by address. A connection is opened on its first use.
#[derive(Default)]
pub(crate) struct Peers {
    clients: Mutex<BTreeMap<Name, PeerClient>>,
}

impl Peers {
    /// Sends a request to the owner of a shard at a peer's address, recorded as a child span of
    /// `parent`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within `timeout`.
    pub(crate) async fn send(
        &self,
        address: &Name,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
        timeout: Duration,
    ) -> Result<ShardResponse, PeerError> {
        let span = parent.map(|context| Span::child("peer", context));
        let client = self.client(address).await?;
        let context = span.as_ref().map(Span::context);
        let call = client.send(rpc_context(timeout), context, shard, request);
        let result = call.await;
        self.handle_result(address, result)
    }

    /// Asks a peer for the shard owners that it knows.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within `timeout`.
    pub(crate) async fn owners(
        &self,
        address: &Name,
        timeout: Duration,
    ) -> Result<Vec<(ShardId, Ownership)>, PeerError> {
        let client = self.client(address).await?;
        let result = client.owners(rpc_context(timeout)).await;
        self.handle_result(address, result)
    }

    /// Drops the connection and counts an error if a call failed.
    fn handle_result<T>(
        &self,
        address: &Name,
        result: Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        result.map_err(|error| {
            // A connection on which a call got no response may never work again, so the next call
            // opens a new one.
            self.lock().remove(address);
            metrics::counter!("peer_errors_total").increment(1);
            PeerError::OutcomeUnknown {
                detail: error.to_string(),
            }
        })
    }

    /// Returns the open connection to an address, or opens one.
    async fn client(&self, address: &Name) -> Result<PeerClient, PeerError> {
        if let Some(client) = self.lock().get(address) {
            return Ok(client.clone());
        }
        let not_sent = |detail: String| {
            metrics::counter!("peer_errors_total").increment(1);
            PeerError::NotSent { detail }
        };
        let socket: SocketAddr = address
            .parse()
            .map_err(|_| not_sent("invalid peer address".into()))?;
        let mut connect = tcp::connect(socket, Bincode::default);
        connect.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connect)
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

/// Returns the context of a call that times out after `timeout`.
fn rpc_context(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// Handles the calls of peers.
pub(crate) trait PeerHandler: Clone + Send + 'static {
    /// Handles a request to the owner of a shard; `parent` is the span of the calling process.
    fn send(
        &self,
        parent: Option<SpanContext>,
        shard: ShardId,
        request: ShardRequest,
    ) -> impl Future<Output = ShardResponse> + Send;

    /// Returns the shard owners known to this process.
    fn owners(&self) -> Vec<(ShardId, Ownership)>;
}

#[derive(Clone)]
struct PeerServer<H>(H);

impl<H: PeerHandler + Sync> Peer for PeerServer<H> {
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

/// Starts listening for peers and serves them until the process ends.
///
/// # Errors
///
/// Returns an error if this process can't listen on the address, for example because it is in
/// use.
pub(crate) async fn serve<H: PeerHandler + Sync>(
    address: SocketAddr,
    handler: H,
) -> std::io::Result<()> {
    let mut listener = tcp::listen(address, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    tokio::spawn(async move {
        // A connection that fails before its first message affects only that peer.
        let connections = listener.filter_map(|connection| async { connection.ok() });
        let mut connections = pin!(connections);
        while let Some(transport) = connections.next().await {
            let server = PeerServer(handler.clone());
            let channel = BaseChannel::with_defaults(transport);
            tokio::spawn(channel.execute(server.serve()).for_each(|call| async {
                tokio::spawn(call);
            }));
        }
    });
    Ok(())
}
