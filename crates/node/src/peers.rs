//! RPC connections between the node processes of a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::future::Shared;
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

/// A connection that is open or being opened. All calls that need it wait for the same attempt.
type Connection = Shared<BoxFuture<'static, Result<PeerClient, String>>>;

/// The connections to peers, by address. A connection is opened on its first use.
#[derive(Default)]
pub(crate) struct Peers {
    connections: Mutex<BTreeMap<Name, Connection>>,
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
        let deadline = tokio::time::Instant::now() + timeout;
        let connection = self.connection(address);
        let client = tokio::time::timeout_at(deadline, self.client(address, &connection));
        // The connection is still being opened for the next call.
        let client = client.await.map_err(|_| PeerError::NotSent {
            detail: "no connection in time".to_owned(),
        })??;
        let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
        let context = span.as_ref().map(Span::context);
        let call = client.send(rpc_context(remaining), context, shard, request);
        let result = call.await;
        self.handle_result(address, &connection, result)
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
        let connection = self.connection(address);
        let client = self.client(address, &connection).await?;
        let result = client.owners(rpc_context(timeout)).await;
        self.handle_result(address, &connection, result)
    }

    /// Drops the connection and counts an error if a call failed.
    fn handle_result<T>(
        &self,
        address: &Name,
        connection: &Connection,
        result: Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        result.map_err(|error| {
            // A connection on which a call got no response may never work again, so the next call
            // opens a new one.
            self.remove(address, connection);
            PeerError::OutcomeUnknown {
                detail: error.to_string(),
            }
        })
    }

    /// Returns the connection to an address, which is opened if there is none.
    fn connection(&self, address: &Name) -> Connection {
        let mut connections = self.lock();
        let connection = connections
            .entry(Arc::clone(address))
            .or_insert_with(|| connect(Arc::clone(address)).boxed().shared());
        connection.clone()
    }

    /// Waits until a connection is open.
    async fn client(
        &self,
        address: &Name,
        connection: &Connection,
    ) -> Result<PeerClient, PeerError> {
        connection.clone().await.map_err(|detail| {
            self.remove(address, connection);
            PeerError::NotSent { detail }
        })
    }

    /// Removes a failed connection, unless a newer one has replaced it, and counts the error.
    fn remove(&self, address: &Name, failed: &Connection) {
        metrics::counter!("peer_errors_total").increment(1);
        let mut connections = self.lock();
        if connections
            .get(address)
            .is_some_and(|current| current.ptr_eq(failed))
        {
            connections.remove(address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to the peer at an address.
async fn connect(address: Name) -> Result<PeerClient, String> {
    let socket: SocketAddr = address.parse().map_err(|_| "invalid peer address")?;
    let mut connect = tcp::connect(socket, Bincode::default);
    connect.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    let transport = tokio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_| "connect timed out")?
        .map_err(|error| error.to_string())?;
    Ok(PeerClient::new(client::Config::default(), transport).spawn())
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
