//! The graceful stop of an entry itself.

use std::time::Duration;
use std::time::Instant;

/// How long an entry waits for its leases and allotments to be handed over. After that the
/// leases lapse and the allotments are reclaimed, which cuts no request.
const HAND_OVER: Duration = Duration::from_secs(15);

/// What an entry that shuts down knows about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShutdownView {
    /// Requests that were accepted and not answered, and attempts of durable jobs in flight.
    pub open: u32,
    /// Leases, allotments and pending records that are not handed over.
    pub held: u32,
}

/// What an entry that shuts down does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Stop accepting requests; refuse them as `not run` and fail the balancer's health check.
    StopAccepting,
    /// Wait until the open requests are answered.
    Finish {
        /// Requests that are still open.
        open: u32,
    },
    /// Give back leases and allotments.
    HandOver,
    /// Wait until the hand-over is confirmed.
    Confirm {
        /// What is not handed over yet.
        held: u32,
    },
    /// Exit the process.
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Accepting,
    Finishing,
    HandingOver(Instant),
}

/// Decides the order in which an entry stops. No step is taken back: a request that is still
/// accepted by another thread during the hand-over only delays the exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    phase: Phase,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            phase: Phase::Accepting,
        }
    }
}

impl Shutdown {
    /// Returns the next step.
    pub fn step(&mut self, view: &ShutdownView, now: Instant) -> ShutdownStep {
        match self.phase {
            Phase::Accepting => {
                self.phase = Phase::Finishing;
                ShutdownStep::StopAccepting
            }
            _ if view.open > 0 => ShutdownStep::Finish { open: view.open },
            Phase::Finishing => {
                self.phase = Phase::HandingOver(now);
                ShutdownStep::HandOver
            }
            Phase::HandingOver(since) if view.held > 0 && now < since + HAND_OVER => {
                ShutdownStep::Confirm { held: view.held }
            }
            Phase::HandingOver(_) => ShutdownStep::Exit,
        }
    }
}
