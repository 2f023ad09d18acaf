//! The bytes of submissions that owners have not answered.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// A limited number of bytes, shared by those who hold some of them.
#[derive(Debug)]
pub struct HeldBytes {
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct Hold {
    bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl HeldBytes {
    /// Creates a number of bytes that nobody holds.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
        }
    }

    /// Holds bytes, or returns `None` if more than the limit would be held.
    pub fn try_hold(&self, bytes: usize) -> Option<Hold> {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let used = &self.used;
        used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .ok()?;
        let used = Arc::clone(used);
        Some(Hold { bytes, used })
    }
}
