//! The table of open attempts.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::RequestId;

use super::Digest;

/// Shards of the table, a power of two. An attempt locks its own shard only.
const SHARDS: usize = 64;

/// An answer as a target sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer<B> {
    /// The echoed request id.
    pub request: RequestId,
    /// The echoed attempt id.
    pub attempt: AttemptId,
    /// The length of the body that the target declares, in bytes.
    pub length: u64,
    /// The digest of the body that the target declares.
    pub digest: Digest,
    /// The body as it was received.
    pub body: B,
}

/// Why an answer was dropped. The attempt, if it is open, stays open.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Dropped {
    /// No such attempt is open: the answer is late, repeated or unknown.
    #[display("no open attempt")]
    Unmatched,
    /// The attempt is open for another request.
    #[display("answer to another request")]
    Crossed,
    /// The body is shorter or longer than declared.
    #[display("length differs")]
    Length,
    /// The body differs from its declared digest.
    #[display("digest differs")]
    Digest,
}

/// The attempt id is open already.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("attempt is open already")]
pub struct Duplicate;

/// Counts of dropped answers by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Answers without an open attempt.
    pub unmatched: u64,
    /// Answers to another request than the attempt's.
    pub crossed: u64,
    /// Answers of a wrong length.
    pub length: u64,
    /// Answers of a wrong digest.
    pub digest: u64,
}

/// An attempt that got no valid answer in time.
#[derive(Debug, PartialEq, Eq)]
pub struct Expired<W> {
    /// The attempt.
    pub attempt: AttemptId,
    /// What was waiting for the answer.
    pub waiter: W,
}

#[derive(Debug)]
struct Open<W> {
    request: RequestId,
    until: Instant,
    waiter: W,
}

type Shard<W> = Mutex<HashMap<AttemptId, Open<W>>>;

/// Open attempts by attempt id, each with a waiter `W` for the answer.
#[derive(Debug)]
pub struct Exchange<W> {
    shards: Box<[Shard<W>]>,
    drops: [AtomicU64; 4],
}

impl<W> Default for Exchange<W> {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
            drops: Default::default(),
        }
    }
}

impl<W> Exchange<W> {
    /// Opens an attempt that waits for its answer until `until`.
    ///
    /// # Errors
    ///
    /// Fails when the attempt id is open already.
    pub fn open(
        &self,
        request: RequestId,
        attempt: AttemptId,
        until: Instant,
        waiter: W,
    ) -> Result<(), Duplicate> {
        match self.shard(attempt).entry(attempt) {
            Entry::Occupied(_) => Err(Duplicate),
            Entry::Vacant(vacant) => {
                vacant.insert(Open {
                    request,
                    until,
                    waiter,
                });
                Ok(())
            }
        }
    }

    /// Matches an answer and closes its attempt. The body is checked outside of the shard's lock.
    ///
    /// # Errors
    ///
    /// Drops and counts an answer that matches no open attempt or is not whole.
    pub fn deliver<B: AsRef<[u8]>>(&self, answer: Answer<B>) -> Result<(W, B), Dropped> {
        let result = whole(&answer).and_then(|()| self.take(&answer));
        if let Err(dropped) = result {
            self.drops[dropped as usize].fetch_add(1, Ordering::Relaxed);
            return Err(dropped);
        }
        result.map(|waiter| (waiter, answer.body))
    }

    /// Closes an attempt whose connection ended, and returns its waiter.
    pub fn close(&self, attempt: AttemptId) -> Option<W> {
        self.shard(attempt).remove(&attempt).map(|open| open.waiter)
    }

    /// Closes the attempts whose time is over.
    pub fn expire(&self, now: Instant) -> Vec<Expired<W>> {
        let mut expired = Vec::new();
        for shard in &self.shards {
            let mut open = lock(shard);
            let over = open.extract_if(|_, open| open.until <= now);
            expired.extend(over.map(|(attempt, open)| Expired {
                attempt,
                waiter: open.waiter,
            }));
        }
        expired
    }

    /// Returns the number of open attempts.
    pub fn open_count(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Returns the counts of dropped answers.
    pub fn drops(&self) -> DropCounts {
        let count = |dropped: Dropped| self.drops[dropped as usize].load(Ordering::Relaxed);
        DropCounts {
            unmatched: count(Dropped::Unmatched),
            crossed: count(Dropped::Crossed),
            length: count(Dropped::Length),
            digest: count(Dropped::Digest),
        }
    }

    fn take<B>(&self, answer: &Answer<B>) -> Result<W, Dropped> {
        let mut shard = self.shard(answer.attempt);
        let Entry::Occupied(entry) = shard.entry(answer.attempt) else {
            return Err(Dropped::Unmatched);
        };
        if entry.get().request != answer.request {
            return Err(Dropped::Crossed);
        }
        Ok(entry.remove().waiter)
    }

    fn shard(&self, attempt: AttemptId) -> MutexGuard<'_, HashMap<AttemptId, Open<W>>> {
        // Attempt ids are random in their low bits.
        let index = attempt.as_uuid().as_u128() as usize % SHARDS;
        lock(&self.shards[index])
    }
}

fn whole<B: AsRef<[u8]>>(answer: &Answer<B>) -> Result<(), Dropped> {
    let body = answer.body.as_ref();
    if body.len() as u64 != answer.length {
        return Err(Dropped::Length);
    }
    if Digest::of(body) != answer.digest {
        return Err(Dropped::Digest);
    }
    Ok(())
}

fn lock<W>(shard: &Shard<W>) -> MutexGuard<'_, HashMap<AttemptId, Open<W>>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
