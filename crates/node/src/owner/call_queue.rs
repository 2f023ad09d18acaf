//! The calls of an owner to workers that are in progress, and those that wait for them.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The most calls in progress, four seconds of the busiest queue that we know: 36.5 jobs of 12.8 tasks per
/// second. A call takes some milliseconds.
const MAX_PARALLEL: usize = 2_048;

/// How long a call waits, about as long as for the response of a worker: the decision that it carries out is
/// too old afterwards.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The calls of one kind. Tasks that take little of a worker are placed, and stopped, by the thousand at
/// once; what waits takes much less memory than a call in progress.
#[derive(Debug)]
pub(super) struct CallQueue<T> {
    in_progress: usize,
    waiting: VecDeque<(Instant, T)>,
}

impl<T> Default for CallQueue<T> {
    fn default() -> Self {
        Self {
            in_progress: 0,
            waiting: VecDeque::new(),
        }
    }
}

impl<T> CallQueue<T> {
    /// Adds a call, which waits for its turn.
    pub(super) fn add(&mut self, now: Instant, call: T) {
        self.waiting.push_back((now, call));
    }

    /// Removes and returns a call that has waited for too long.
    pub(super) fn next_expired(&mut self, now: Instant) -> Option<T> {
        let is_expired =
            |(at, _): &mut (Instant, T)| now.saturating_duration_since(*at) >= MAX_WAIT;
        self.waiting.pop_front_if(is_expired).map(|(_, call)| call)
    }

    /// Removes and returns the next call to make, `None` while too many are in progress.
    pub(super) fn begin_next(&mut self) -> Option<T> {
        if self.in_progress >= MAX_PARALLEL {
            return None;
        }
        let (_, call) = self.waiting.pop_front()?;
        self.in_progress += 1;
        Some(call)
    }

    /// Records that a call has ended.
    pub(super) fn finish(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }
}
