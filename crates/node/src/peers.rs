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
use lavenderhollow_types::Clock;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::serde_transport;
use tarpc::serde_transport::tcp;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;

use crate::assignment::Ownership;
use crate::message::Peer;
use crate::message::PeerClient;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::peer_health::PROBE_DELAY;
use crate::peer_health::PeerHealth;
use crate::peer_health::ProbeStep;
use crate::peer_listener::PeerListener;
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

/// The time without an answer after which a call is given up if its connection or its peer is no longer
/// the one to use. The next attempt may reach the successor of an owner that has terminated or hangs.
pub(crate) const MIN_CALL_TIME: Duration = Duration::from_millis(1_200);

/// The time without an answer after which a peer that owes only late answers is watched again. It is
/// long, since all processes wait while the store is slow.
const ANSWER_INTERVAL: Duration = Duration::from_secs(1);

/// How often a peer that does not answer is probed on a new connection. A peer that is reachable again
/// is used after that time at the latest.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// The timeout of a probe. It is long, since a late answer shows that a slow peer is alive.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection that is open or being opened. All calls that need it wait for the same attempt.
#[derive(Clone)]
struct Connection {
    client: Shared<BoxFuture<'static, Result<PeerClient, String>>>,
    /// When the last answer arrived on this connection.
    answered_at: Arc<Mutex<Option<Instant>>>,
}

impl Connection {
    fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.answered_at, &other.answered_at)
    }

    fn has_answered_since(&self, sent: Instant) -> bool {
        lock(&self.answered_at).is_some_and(|at| at >= sent)
    }
}

/// The connections to peers, by address, and which peers respond. A connection is opened on its first
/// use.
#[derive(Clone)]
pub(crate) struct Peers {
    clock: Arc<dyn Clock>,
    connections: Arc<Mutex<BTreeMap<Name, Connection>>>,
    health: Arc<Mutex<PeerHealth>>,
}

impl Peers {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            connections: Arc::default(),
            health: Arc::default(),
        }
    }

    /// Sends a request to the owner of a shard at a peer's address, recorded as a child span of
    /// `parent`. It is given up early once `is_owner` is false or the connection was replaced, since the
    /// peer may then never answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within `timeout`.
    pub(crate) async fn send(
        &self,
        address: &Name,
        parent: Option<SpanContext>,
        (shard, request): (ShardId, ShardRequest),
        timeout: Duration,
        is_owner: impl Fn() -> bool,
    ) -> Result<ShardResponse, PeerError> {
        let span = parent.map(|context| Span::child("peer", context));
        let sent = self.clock.now();
        let deadline = tokio::time::Instant::now() + timeout;
        let connection = self.connection(address);
        self.handle_call(address);
        let client = tokio::time::timeout_at(deadline, self.client(address, &connection));
        // The connection is still being opened for the next call.
        let client = client.await.map_err(|_| PeerError::NotSent {
            detail: "no connection in time".to_owned(),
        })??;
        let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
        let context = span.as_ref().map(Span::context);
        let mut call = pin!(client.send(rpc_context(remaining), context, shard, request));
        loop {
            if let Ok(result) = tokio::time::timeout(PROBE_DELAY, &mut call).await {
                return self.handle_result(address, &connection, sent, result);
            }
            let now = self.clock.now();
            let waited = now.saturating_duration_since(sent);
            // The peer may have answered since this call was sent, and be silent now.
            let answer_due = now.checked_sub(ANSWER_INTERVAL);
            if answer_due.is_some_and(|at| sent < at && !connection.has_answered_since(at)) {
                self.handle_call(address);
            }
            if waited >= MIN_CALL_TIME && !(is_owner() && self.is_current(address, &connection)) {
                return Err(PeerError::OutcomeUnknown {
                    detail: "given up".to_owned(),
                });
            }
        }
    }

    /// Returns since when a peer has not answered if it is unresponsive.
    pub(crate) fn unresponsive_since(&self, address: &Name) -> Option<Instant> {
        lock(&self.health).unresponsive_since(self.clock.now(), address)
    }

    /// Notes that a peer owes an answer, and watches it from then on.
    fn handle_call(&self, address: &Name) {
        let is_unwatched = lock(&self.health).handle_call(self.clock.now(), address);
        if is_unwatched {
            let (peers, address) = (self.clone(), Arc::clone(address));
            tokio::spawn(async move { peers.watch(&address).await });
        }
    }

    /// Notes an answer of a peer.
    fn handle_answer(&self, address: &Name, connection: &Connection) {
        let now = self.clock.now();
        *lock(&connection.answered_at) = Some(now);
        let silence = lock(&self.health).handle_answer(now, address);
        if let Some(silence) = silence {
            let silent_ms = silence.as_millis() as u64;
            log::info!(peer = &**address, silent_ms; "peer_responsive");
        }
    }

    /// Probes a peer while it owes an answer. The first probe uses the current connection, each further
    /// one a new connection.
    async fn watch(&self, address: &Name) {
        loop {
            let now = self.clock.now();
            let step = {
                let mut health = lock(&self.health);
                let step = health.next_step(now, address);
                metrics::gauge!("peers_unresponsive").set(health.unresponsive_count(now) as f64);
                step
            };
            match step {
                ProbeStep::WaitUntil(at) => {
                    tokio::time::sleep(at.saturating_duration_since(now)).await;
                    continue;
                }
                ProbeStep::Stop => return,
                ProbeStep::Forget => {
                    log::info!(peer = &**address; "peer_forgotten");
                    return;
                }
                ProbeStep::Probe => {}
            }
            let connection = self.connection(address);
            let (peers, probed) = (self.clone(), Arc::clone(address));
            let used = connection.clone();
            tokio::spawn(async move { peers.probe(&probed, &used).await });
            tokio::time::sleep(PROBE_INTERVAL).await;
            if connection.has_answered_since(now) {
                continue;
            }
            self.remove(address, &connection);
            let silence = lock(&self.health).handle_failed_probe(self.clock.now(), address);
            if let Some(silence) = silence {
                let silent_ms = silence.as_millis() as u64;
                log::warn!(peer = &**address, silent_ms; "peer_unresponsive");
            }
        }
    }

    /// Calls a peer on a connection, for as long as an answer shows that it is alive.
    async fn probe(&self, address: &Name, connection: &Connection) {
        let Ok(client) = self.client(address, connection).await else {
            return;
        };
        match client.owners(rpc_context(PROBE_TIMEOUT)).await {
            Ok(_) => self.handle_answer(address, connection),
            Err(error) => log::debug!(peer = &**address, error:display; "probe_failed"),
        }
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
        let sent = self.clock.now();
        let connection = self.connection(address);
        let client = self.client(address, &connection).await?;
        let result = client.owners(rpc_context(timeout)).await;
        self.handle_result(address, &connection, sent, result)
    }

    /// Notes the answer to a call that was sent at a time, or counts its error. If the connection has
    /// had no answer since, it may never work again, so that the next call opens a new one.
    fn handle_result<T>(
        &self,
        address: &Name,
        connection: &Connection,
        sent: Instant,
        result: Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        match result {
            Ok(response) => {
                self.handle_answer(address, connection);
                Ok(response)
            }
            Err(error) => {
                metrics::counter!("peer_errors_total").increment(1);
                let is_timeout = matches!(error, RpcError::DeadlineExceeded);
                if !(is_timeout && connection.has_answered_since(sent)) {
                    self.remove(address, connection);
                }
                Err(PeerError::OutcomeUnknown {
                    detail: error.to_string(),
                })
            }
        }
    }

    /// Returns the connection to an address, which is opened if there is none.
    fn connection(&self, address: &Name) -> Connection {
        let mut connections = lock(&self.connections);
        let connection = connections
            .entry(Arc::clone(address))
            .or_insert_with(|| Connection {
                client: connect(Arc::clone(address)).boxed().shared(),
                answered_at: Arc::default(),
            });
        connection.clone()
    }

    /// Waits until a connection is open.
    async fn client(
        &self,
        address: &Name,
        connection: &Connection,
    ) -> Result<PeerClient, PeerError> {
        connection.client.clone().await.map_err(|detail| {
            metrics::counter!("peer_errors_total").increment(1);
            self.remove(address, connection);
            lock(&self.health).handle_unreachable(address);
            PeerError::NotSent { detail }
        })
    }

    /// Returns whether the next call uses a connection.
    fn is_current(&self, address: &Name, connection: &Connection) -> bool {
        let connections = lock(&self.connections);
        connections
            .get(address)
            .is_some_and(|current| current.is_same(connection))
    }

    /// Removes a failed connection, unless a newer one has replaced it.
    fn remove(&self, address: &Name, failed: &Connection) {
        let mut connections = lock(&self.connections);
        if connections
            .get(address)
            .is_some_and(|current| current.is_same(failed))
        {
            connections.remove(address);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
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

/// Starts listening for peers and serves them until the process ends. `memory` is that of the machine, in
/// bytes.
///
/// # Errors
///
/// Returns an error if this process can't listen on the address, for example because it is in
/// use.
pub(crate) async fn serve<H: PeerHandler + Sync>(
    address: SocketAddr,
    handler: H,
    memory: usize,
) -> std::io::Result<()> {
    let listener = PeerListener::bind(address, memory).await?;
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_MESSAGE_BYTES);
    tokio::spawn(listener.run(move |stream| {
        let transport = serde_transport::new(codec.new_framed(stream), Bincode::default());
        let channel = BaseChannel::with_defaults(transport);
        let server = PeerServer(handler.clone());
        channel.execute(server.serve()).for_each(|call| async {
            tokio::spawn(call);
        })
    }));
    Ok(())
}
