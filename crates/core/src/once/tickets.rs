//! The table of execution tickets of one incarnation.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::Doubt;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::Verdict;
use lavenderhollow_types::ZoneName;

use super::Stored;
use super::ticket::Signer;
use super::ticket::Ticket;
use super::ticket::TicketError;
use crate::exchange::Digest;
use crate::permit::Permit;

/// Shards of the table. A ticket locks its own shard only.
const SHARDS: u64 = 64;

/// Bounds of the table of tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// How long a ticket can be spent after it was issued.
    pub unspent: Duration,
    /// How long a spent ticket waits to be settled. It bounds what requests leave behind whose
    /// connection ended before they were settled.
    pub running: Duration,
    /// How long an answer is kept for repeats.
    pub kept: Duration,
    /// The most tickets that are held at once.
    pub count: usize,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            unspent: Duration::from_secs(300),
            running: Duration::from_secs(6 * 3600),
            kept: Duration::from_secs(600),
            count: 65_536,
        }
    }
}

/// The right to dispatch the request of one ticket. It is given once.
#[derive(Debug)]
#[must_use]
pub struct Grant {
    sequence: u64,
}

impl Grant {
    /// Makes the permit of the ticket's request and the handle to settle it with.
    pub fn permit<R>(self, request: R, deadline: Instant) -> (Permit<R>, Running) {
        let running = Running {
            sequence: self.sequence,
        };
        (Permit::new(request, deadline), running)
    }
}

/// A ticket whose request was taken to be dispatched.
#[derive(Debug)]
#[must_use]
pub struct Running {
    sequence: u64,
}

/// What becomes of a submission with a ticket.
#[derive(Debug)]
#[must_use]
pub enum Spend {
    /// The ticket is spent by this submission, which may be dispatched.
    Granted(Grant),
    /// An earlier submission is not settled yet.
    Running,
    /// The submission is not dispatched; this is its verdict.
    Answered(Verdict<Stored>),
}

#[derive(Debug)]
enum Stage {
    Unspent,
    Running(Digest),
    Settled(Digest, Verdict<Stored>),
}

#[derive(Debug)]
struct Held {
    /// The time after which the ticket is forgotten.
    until: Instant,
    stage: Stage,
}

type Shard = Mutex<BTreeMap<u64, Held>>;

/// The tickets that one incarnation issued.
///
/// Only an issued ticket that is in the table and unspent is ever dispatched. A ticket that was
/// forgotten is answered with [`Verdict::MayHaveRun`].
pub struct Tickets {
    zone: ZoneName,
    incarnation: Incarnation,
    signer: Signer,
    limits: TicketLimits,
    next: AtomicU64,
    shards: Box<[Shard]>,
}

impl fmt::Debug for Tickets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tickets")
            .field("zone", &self.zone)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl Tickets {
    /// Creates an empty table. `secret` is drawn at random by each incarnation.
    pub fn new(
        zone: ZoneName,
        incarnation: Incarnation,
        secret: &[u8; 32],
        limits: TicketLimits,
    ) -> Self {
        Self {
            zone,
            incarnation,
            signer: Signer::new(secret),
            limits,
            next: AtomicU64::new(0),
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
        }
    }

    /// Issues a ticket and returns its text.
    ///
    /// # Errors
    ///
    /// Fails when the table is full of tickets that can't be forgotten.
    pub fn issue(&self, now: Instant) -> Result<String, TicketError> {
        let sequence = self.next.fetch_add(1, Ordering::Relaxed);
        let mut shard = self.shard(sequence);
        let most = self.limits.count.div_ceil(SHARDS as usize);
        if shard.len() >= most {
            shard.retain(|_, held| held.is_kept(now));
        }
        if shard.len() >= most {
            return Err(TicketError::Full);
        }
        let held = Held {
            until: now + self.limits.unspent,
            stage: Stage::Unspent,
        };
        shard.insert(sequence, held);
        drop(shard);
        Ok(self.signer.sign(&Ticket {
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            sequence,
        }))
    }

    /// Checks that a ticket was issued by this incarnation.
    ///
    /// # Errors
    ///
    /// Fails when the text is malformed, another process's, or not signed by this one.
    pub fn verify(&self, text: &str) -> Result<Ticket, TicketError> {
        let ticket = Ticket::parse(text)?;
        if ticket.zone != self.zone || ticket.incarnation != self.incarnation {
            return Err(TicketError::Foreign);
        }
        self.signer.check(text)?;
        Ok(ticket)
    }

    /// Spends a ticket for the request with this digest, or answers a repeat.
    pub fn spend(&self, text: &str, digest: Digest, now: Instant) -> Spend {
        let ticket = match self.verify(text) {
            Ok(ticket) => ticket,
            Err(TicketError::Foreign) => return unknown("ticket's owner is another process"),
            Err(error) => return invalid(error.to_string()),
        };
        let mut shard = self.shard(ticket.sequence);
        let Some(held) = shard
            .get_mut(&ticket.sequence)
            .filter(|held| held.is_kept(now))
        else {
            return unknown("ticket's history is no longer kept");
        };
        match &held.stage {
            Stage::Unspent => {
                held.until = now + self.limits.running;
                held.stage = Stage::Running(digest);
                Spend::Granted(Grant {
                    sequence: ticket.sequence,
                })
            }
            Stage::Running(first) | Stage::Settled(first, _) if *first != digest => {
                invalid("ticket was used for another request")
            }
            Stage::Running(_) => Spend::Running,
            Stage::Settled(_, verdict) => Spend::Answered(verdict.clone()),
        }
    }

    /// Keeps the verdict on a ticket's request for repeats. Takes the handle, so that a ticket is
    /// settled once.
    #[expect(clippy::needless_pass_by_value, reason = "the handle is used up")]
    pub fn settle(&self, running: Running, verdict: Verdict<Stored>, now: Instant) {
        let mut shard = self.shard(running.sequence);
        if let Some(held) = shard.get_mut(&running.sequence)
            && let Stage::Running(digest) = held.stage
        {
            held.until = now + self.limits.kept;
            held.stage = Stage::Settled(digest, verdict);
        }
    }

    /// Forgets tickets and answers whose time is over.
    pub fn expire(&self, now: Instant) {
        for shard in &self.shards {
            lock(shard).retain(|_, held| held.is_kept(now));
        }
    }

    /// Returns the number of tickets that are held.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Tells whether no ticket is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, sequence: u64) -> MutexGuard<'_, BTreeMap<u64, Held>> {
        lock(&self.shards[(sequence % SHARDS) as usize])
    }
}

impl Held {
    fn is_kept(&self, now: Instant) -> bool {
        now < self.until
    }
}

fn lock(shard: &Shard) -> MutexGuard<'_, BTreeMap<u64, Held>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unknown(detail: &str) -> Spend {
    Spend::Answered(Verdict::MayHaveRun(Doubt::new(detail)))
}

fn invalid(detail: impl Into<String>) -> Spend {
    Spend::Answered(Verdict::NotRun(Refusal::new(RefusalKind::Invalid, detail)))
}
