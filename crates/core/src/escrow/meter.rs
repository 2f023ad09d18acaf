//! What one process may start now for a team.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use lavenderhollow_types::RecordId;

use super::account::Account;
use super::state::portion;

/// A reduction that the giver has made in memory, to be put into a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gift {
    /// The `at` of the record.
    pub at: u64,
    /// The slots.
    pub amount: u64,
}

/// Two counts in one word, so that a start and a reduction can't pass each other.
#[derive(Clone, Copy)]
struct Word {
    usable: u32,
    used: u32,
}

impl Word {
    fn unpack(word: u64) -> Self {
        Self {
            usable: (word >> 32) as u32,
            used: (word & u64::from(u32::MAX)) as u32,
        }
    }

    fn pack(self) -> u64 {
        u64::from(self.usable) << 32 | u64::from(self.used)
    }
}

#[derive(Debug, Default)]
struct Book {
    account: Account,
    pending: Vec<(RecordId, u64)>,
    /// The new and the old limit while a lowered limit is not mirrored yet.
    lowered: Option<(u64, u64)>,
}

impl Book {
    fn pending(&self) -> u64 {
        self.pending.iter().map(|(_, amount)| amount).sum()
    }

    /// Returns what is left once all pending gifts are accepted.
    fn kept(&self) -> Account {
        let mut account = self.account;
        account.returned = (account.returned + self.pending()).min(account.credited);
        account
    }

    fn usable(&self) -> u32 {
        let usable = self.kept().usable();
        let scaled = match self.lowered {
            Some((new, old)) => portion(usable, new, old),
            None => usable,
        };
        u32::try_from(scaled).unwrap_or(u32::MAX)
    }
}

#[derive(Debug, Default)]
struct Shared {
    word: AtomicU64,
}

impl Shared {
    fn update(&self, f: impl Fn(Word) -> Option<Word>) -> bool {
        self.word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                f(Word::unpack(word)).map(Word::pack)
            })
            .is_ok()
    }

    fn load(&self) -> Word {
        Word::unpack(self.word.load(Ordering::Acquire))
    }
}

/// Counts the work of one team in one process against the process's allotment.
///
/// Starting takes one atomic operation. The lock is taken only when the allotment changes.
#[derive(Debug, Default)]
pub struct Meter {
    shared: Arc<Shared>,
    book: Mutex<Book>,
}

/// The right to run one piece of work; dropping it gives it back.
#[derive(Debug)]
#[must_use]
pub struct Slot {
    shared: Arc<Shared>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.update(|word| {
            let used = word.used.saturating_sub(1);
            Some(Word { used, ..word })
        });
    }
}

impl Meter {
    /// Takes the right to run one piece of work, or nothing if the allotment is used up.
    pub fn try_take(&self) -> Option<Slot> {
        let taken = self.shared.update(|word| {
            (word.used < word.usable).then_some(Word {
                used: word.used + 1,
                ..word
            })
        });
        taken.then(|| Slot {
            shared: Arc::clone(&self.shared),
        })
    }

    /// Returns the number of slots in use.
    pub fn used(&self) -> u32 {
        self.shared.load().used
    }

    /// Returns the number of slots that may be in use.
    pub fn usable(&self) -> u32 {
        self.shared.load().usable
    }

    /// Takes over the account after the fold has read on.
    ///
    /// `settled` names the records of gifts whose outcome was read, accepted or not. A gift whose
    /// outcome is unknown stays deducted.
    pub fn read(&self, account: Account, settled: &[RecordId]) {
        let mut book = self.book();
        book.account = account;
        book.pending.retain(|(id, _)| !settled.contains(id));
        self.store(&book);
    }

    /// Scales the use at once when a configuration lowers the limit from `old` to `new`, until the
    /// lowered limit is mirrored in the stream. `None` ends the scaling.
    pub fn lower(&self, limits: Option<(u64, u64)>) {
        let mut book = self.book();
        book.lowered = limits.filter(|(new, old)| new < old);
        self.store(&book);
    }

    /// Reduces the process's own use by up to `amount` slots that are not in use.
    ///
    /// The caller appends the gift in the record `id` afterwards and passes `id` to
    /// [`Meter::read`] when its outcome is known.
    pub fn give(&self, id: RecordId, amount: u64) -> Option<Gift> {
        let mut book = self.book();
        let amount = amount.min(book.kept().amount().saturating_sub(self.used().into()));
        if amount == 0 {
            return None;
        }
        let at = book.kept().returned;
        book.pending.push((id, amount));
        let kept = book.kept().amount();
        let usable = book.usable();
        let reduced = self
            .shared
            .update(|word| (u64::from(word.used) <= kept).then_some(Word { usable, ..word }));
        if !reduced {
            book.pending.pop();
            return None;
        }
        Some(Gift { at, amount })
    }

    /// Returns the slots that have to be returned because a limit was lowered and are not in use.
    pub fn excess(&self) -> u64 {
        let kept = self.book().kept();
        let unused = kept.amount().saturating_sub(self.used().into());
        kept.excess().min(unused)
    }

    fn store(&self, book: &Book) {
        let usable = book.usable();
        self.shared.update(|word| Some(Word { usable, ..word }));
    }

    fn book(&self) -> std::sync::MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
