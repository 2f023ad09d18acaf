//! Accepts the connections of peers, and bounds what a client that is no peer can make the process hold.
//!
//! A connection counts as unproven until its first message is complete: a peer connects only to send
//! one, and does so at once. Afterwards the connection is not limited.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::held_bytes::HeldBytes;
use crate::held_bytes::Hold;

/// The most connections without a complete message. Peers of a whole fleet that start at the same time
/// connect in a few turns.
const MAX_UNPROVEN: usize = 128;

/// For how long an unproven connection is not closed in favour of a new one: several times what a peer needs
/// to send its first message, also on a VM that gets little processor time.
const MIN_UNPROVEN_TIME: Duration = Duration::from_millis(500);

/// The time limit for the first message, as for the body of a caller's request.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// The size of a message up to which it is not counted, in bytes. The connection's read buffer holds it.
const SMALL_MESSAGE: usize = 4_096;

/// The part of the machine's memory that larger first messages may take together, as a divisor: 8 MB on
/// the smallest VM, 30 jobs of the largest body of 262,144 bytes.
const MEMORY_PART: usize = 20;

/// The delay before the next connection is accepted after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The size of the length prefix of a message, in bytes.
const LENGTH_BYTES: usize = 4;

/// Accepts the connections of peers.
pub(crate) struct PeerListener {
    listener: TcpListener,
    unproven: Arc<Unproven>,
}

/// The unproven connections.
#[derive(Debug)]
struct Unproven {
    connections: Mutex<BTreeMap<u64, UnprovenConnection>>,
    /// The bytes of their first messages.
    bytes: HeldBytes,
    /// Is notified when a connection is proven or closed.
    changed: Notify,
}

#[derive(Debug)]
struct UnprovenConnection {
    since: Instant,
    close: Arc<Notify>,
}

impl Unproven {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, UnprovenConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is room for another connection. Closes the oldest one if it is old enough.
    async fn make_room(&self) {
        loop {
            let wait_until = {
                let mut connections = self.lock();
                let Some(oldest) = connections.first_entry() else {
                    return;
                };
                let closes_at = oldest.get().since + MIN_UNPROVEN_TIME;
                if connections.len() < MAX_UNPROVEN {
                    return;
                }
                if closes_at <= Instant::now() {
                    if let Some((_, oldest)) = connections.pop_first() {
                        oldest.close.notify_one();
                    }
                    metrics::counter!("connections_refused_total", "reason" => "peers")
                        .increment(1);
                    return;
                }
                closes_at
            };
            tokio::select! {
                () = tokio::time::sleep_until(wait_until) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

impl PeerListener {
    /// Listens on an address. `memory` is that of the machine, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub(crate) async fn bind(address: SocketAddr, memory: usize) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            unproven: Arc::new(Unproven {
                connections: Mutex::default(),
                bytes: HeldBytes::new(memory / MEMORY_PART),
                changed: Notify::new(),
            }),
        })
    }

    /// Runs `serve` on each accepted connection, until it ends or the connection is closed because it
    /// sends no complete message.
    pub(crate) async fn run<F>(self, serve: impl Fn(PeerStream) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        for id in 0.. {
            self.unproven.make_room().await;
            let stream = loop {
                match self.listener.accept().await {
                    Ok((stream, _)) => break stream,
                    Err(error) => {
                        log::warn!(error:display; "accept_failed");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            };
            let proof = Arc::new(Proof::new(id, Arc::clone(&self.unproven)));
            let close = proof.register();
            let serving = serve(PeerStream::new(stream, Arc::clone(&proof)));
            tokio::spawn(async move {
                let expired = async {
                    tokio::time::sleep(FIRST_MESSAGE_TIMEOUT).await;
                    if proof.is_complete() {
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    () = serving => {}
                    () = close.notified() => {}
                    () = expired => {}
                }
                proof.unregister();
            });
        }
    }
}

/// Whether the first message of a connection is complete.
#[derive(Debug)]
struct Proof {
    id: u64,
    unproven: Arc<Unproven>,
    complete: AtomicBool,
}

impl Proof {
    fn new(id: u64, unproven: Arc<Unproven>) -> Self {
        Self {
            id,
            unproven,
            complete: AtomicBool::new(false),
        }
    }

    /// Adds the connection to the unproven ones. Returns what is notified when it has to close.
    fn register(&self) -> Arc<Notify> {
        let close = Arc::<Notify>::default();
        let connection = UnprovenConnection {
            since: Instant::now(),
            close: Arc::clone(&close),
        };
        self.unproven.lock().insert(self.id, connection);
        close
    }

    fn unregister(&self) {
        if self.unproven.lock().remove(&self.id).is_some() {
            self.unproven.changed.notify_one();
        }
    }

    fn set_complete(&self) {
        self.complete.store(true, Ordering::Relaxed);
        self.unregister();
    }

    fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Relaxed)
    }
}

/// The part of the first message that was read.
#[derive(Debug)]
enum FirstMessage {
    /// A part of its length was read.
    Length {
        bytes: [u8; LENGTH_BYTES],
        read: usize,
    },
    /// A part of its content was read.
    Content {
        remaining: usize,
        _hold: Option<Hold>,
    },
    Complete,
}

impl FirstMessage {
    /// Follows the bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for the message.
    fn advance(&mut self, mut bytes: &[u8], budget: &HeldBytes) -> io::Result<()> {
        while let Some((&first, rest)) = bytes.split_first() {
            match self {
                Self::Length {
                    bytes: length,
                    read,
                } => {
                    if let Some(byte) = length.get_mut(*read) {
                        *byte = first;
                    }
                    *read += 1;
                    bytes = rest;
                    if *read == LENGTH_BYTES {
                        let remaining = u32::from_be_bytes(*length) as usize;
                        let hold = match remaining > SMALL_MESSAGE {
                            true => Some(budget.try_hold(remaining).ok_or_else(no_memory)?),
                            false => None,
                        };
                        *self = Self::Content {
                            remaining,
                            _hold: hold,
                        };
                    }
                }
                Self::Content { remaining, .. } => {
                    let read = bytes.len().min(*remaining);
                    *remaining -= read;
                    bytes = bytes.get(read..).unwrap_or_default();
                }
                Self::Complete => return Ok(()),
            }
            if matches!(self, Self::Content { remaining: 0, .. }) {
                *self = Self::Complete;
            }
        }
        Ok(())
    }
}

fn no_memory() -> io::Error {
    io::Error::new(
        io::ErrorKind::OutOfMemory,
        "no memory for the first message of a connection",
    )
}

/// The connection of a peer.
pub(crate) struct PeerStream {
    stream: TcpStream,
    message: FirstMessage,
    proof: Arc<Proof>,
}

impl PeerStream {
    fn new(stream: TcpStream, proof: Arc<Proof>) -> Self {
        Self {
            stream,
            message: FirstMessage::Length {
                bytes: [0; LENGTH_BYTES],
                read: 0,
            },
            proof,
        }
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if matches!(self.message, FirstMessage::Complete) {
            return Poll::Ready(Ok(()));
        }
        let read = buffer.filled().get(before..).unwrap_or_default();
        let this = &mut *self;
        this.message.advance(read, &this.proof.unproven.bytes)?;
        if matches!(this.message, FirstMessage::Complete) {
            this.proof.set_complete();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
