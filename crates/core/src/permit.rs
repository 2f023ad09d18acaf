//! The right to send a request once.
//!
//! A request that may be sent is held in a [`Permit`]. [`Permit::start`] is the step that precedes
//! the first byte to a target. It consumes the permit; afterwards only a refusal that the target
//! itself reported for the same attempt gives a permit back. A verdict `NotRun` on a dispatched
//! request is made from a permit, so that neither a retry nor a `NotRun` after doubt compiles:
//!
//! ```compile_fail,E0382
//! use std::time::Instant;
//! use lavenderhollow_core::permit::Lease;
//! use lavenderhollow_core::permit::Permit;
//!
//! fn send_twice(permit: Permit<String>, lease: Lease, now: Instant) {
//!     let _first = permit.start(&lease, now);
//!     let _second = permit.start(&lease, now);
//! }
//! ```
//!
//! ```compile_fail,E0599
//! use lavenderhollow_core::permit::Sent;
//! use lavenderhollow_types::Refusal;
//! use lavenderhollow_types::RefusalKind;
//! use lavenderhollow_types::Verdict;
//!
//! fn refuse_after_doubt(sent: Sent<String>) -> Verdict<String> {
//!     sent.refuse(Refusal::new(RefusalKind::NoTarget, "connection lost"))
//! }
//! ```
//!
//! ```compile_fail,E0599
//! use lavenderhollow_core::permit::Permit;
//!
//! fn copy(permit: &Permit<String>) -> Permit<String> {
//!     Permit::clone(permit)
//! }
//! ```

use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::Verdict;

/// The HTTP status of a target that has no room or another lease holder.
pub const STATUS_CONFLICT: u16 = 409;
/// The HTTP status of a target that takes no more requests now.
pub const STATUS_BUSY: u16 = 429;

/// A worker's lease as its holder sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The process that holds the lease.
    pub holder: Incarnation,
    /// The end by the holder's monotonic clock, measured from before the lease was requested.
    pub until: Instant,
    /// The end as the worker reported it. Start requests carry it back; only the worker compares
    /// it with a clock.
    pub end: SystemTime,
}

/// A request that may be sent.
#[derive(Debug)]
#[must_use]
pub struct Permit<R> {
    request: R,
    deadline: Instant,
}

impl<R> Permit<R> {
    /// Permits a request that no target has seen. `deadline` is the last moment to start it.
    pub fn new(request: R, deadline: Instant) -> Self {
        Self { request, deadline }
    }

    /// Returns the request.
    pub fn request(&self) -> &R {
        &self.request
    }

    /// Returns the last moment to start the request.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Takes the step that precedes the first byte to a target, under a new attempt id.
    ///
    /// # Errors
    ///
    /// Gives the permit back when the deadline has passed or the lease has ended.
    pub fn start(self, lease: &Lease, now: Instant) -> Result<Sent<R>, SendError<R>> {
        self.start_as(AttemptId::random(), lease, now)
    }

    /// Does what [`Permit::start`] does, under the attempt id of a `Start` record.
    pub(crate) fn start_as(
        self,
        attempt: AttemptId,
        lease: &Lease,
        now: Instant,
    ) -> Result<Sent<R>, SendError<R>> {
        if now >= self.deadline {
            let refusal = Refusal::new(RefusalKind::Overloaded, "deadline passed before the start");
            return Err(SendError::NotSent(self, refusal));
        }
        if now >= lease.until {
            let refusal = Refusal::new(RefusalKind::NoTarget, "lease ended before the start");
            return Err(SendError::NotSent(self, refusal));
        }
        Ok(Sent {
            permit: self,
            attempt,
            holder: lease.holder,
            lease_end: lease.end,
        })
    }

    /// Gives the request up: it did not run and will not run.
    pub fn refuse<T>(self, refusal: Refusal) -> Verdict<T> {
        Verdict::NotRun(refusal)
    }
}

/// A request of which a target may have received bytes.
#[derive(Debug)]
#[must_use]
pub struct Sent<R> {
    permit: Permit<R>,
    attempt: AttemptId,
    holder: Incarnation,
    lease_end: SystemTime,
}

impl<R> Sent<R> {
    /// Returns the request, to be written to the target.
    pub fn request(&self) -> &R {
        &self.permit.request
    }

    /// Returns the attempt id, which the target echoes.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Returns the lease holder that the start request names.
    pub fn holder(&self) -> Incarnation {
        self.holder
    }

    /// Returns the lease's end that the start request carries.
    pub fn lease_end(&self) -> SystemTime {
        self.lease_end
    }

    /// Ends the attempt with an answer that [`crate::exchange::Exchange`] has matched.
    pub fn answered<T>(self, answer: T) -> Verdict<T> {
        Verdict::Ran(answer)
    }

    /// Ends the attempt after a status that is not an answer.
    ///
    /// The permit comes back for status 409 or 429 with this attempt's id; anything else is doubt.
    pub fn refused(self, status: u16, echoed: Option<AttemptId>) -> SendError<R> {
        let known = matches!(status, STATUS_CONFLICT | STATUS_BUSY);
        if !known || echoed != Some(self.attempt) {
            return self.lost(format!("target answered {status} without a known refusal"));
        }
        let detail = format!("target refused the start with {status}");
        SendError::NotSent(self.permit, Refusal::new(RefusalKind::NoTarget, detail))
    }

    /// Ends the attempt of which the transport knows that no byte was given to a target.
    pub fn unsent(self, proof: Unsent) -> SendError<R> {
        let refusal = Refusal::new(RefusalKind::NoTarget, proof.detail);
        SendError::NotSent(self.permit, refusal)
    }

    /// Ends the attempt without a valid answer.
    pub fn lost(self, detail: impl Into<String>) -> SendError<R> {
        SendError::Unknown(Doubt::new(detail))
    }
}

/// A transport's statement that it gave no byte of an attempt to a target. Transports make it only
/// when no connection to the target was open.
#[derive(Debug)]
pub struct Unsent {
    detail: String,
}

impl Unsent {
    /// States that the connection failed before any byte of the request.
    pub fn connect_failed(detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
        }
    }
}

/// Why a send brought no answer.
#[derive(Debug)]
#[must_use]
pub enum SendError<R> {
    /// No target ran the request: no byte was sent, or the target's refusal is known.
    NotSent(Permit<R>, Refusal),
    /// The request may have run; the permit is consumed.
    Unknown(Doubt),
}

impl<R> SendError<R> {
    /// Turns the error into the verdict for the caller, giving up the permit.
    pub fn verdict<T>(self) -> Verdict<T> {
        match self {
            Self::NotSent(permit, refusal) => permit.refuse(refusal),
            Self::Unknown(doubt) => Verdict::MayHaveRun(doubt),
        }
    }
}
