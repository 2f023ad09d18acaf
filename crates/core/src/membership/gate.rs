//! The count of requests in flight to one target, with the order that closing needs.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Lets requests to a target in, counts them, and closes.
///
/// A request counts itself before it checks that the gate is open. Whoever closes the gate and
/// then reads zero knows that no request is on its way to the target, whichever snapshot the
/// request path had loaded.
#[derive(Debug, Default)]
pub struct Gate {
    closed: AtomicBool,
    in_flight: AtomicU32,
}

impl Gate {
    /// Lets a request in, unless the gate is closed.
    pub fn enter(self: &Arc<Self>) -> Option<Pass> {
        // The pass is made first, so that it is counted while the flag is read.
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let pass = Pass {
            gate: Arc::clone(self),
        };
        (!self.closed.load(Ordering::SeqCst)).then_some(pass)
    }

    /// Closes or opens the gate.
    pub fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Ordering::SeqCst);
    }

    /// Returns the requests that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }
}

/// A request in flight to a target, until it is dropped.
#[derive(Debug)]
pub struct Pass {
    gate: Arc<Gate>,
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
