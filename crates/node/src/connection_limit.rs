//! Limits the connections of a port that few clients use.

use std::collections::VecDeque;

use tokio::task::AbortHandle;

/// The connections of a port. A new one beyond the limit takes the place of the oldest, since a client
/// that is served reads its response at once, and one that is not may stay for ever.
#[derive(Debug)]
pub struct ConnectionLimit {
    limit: usize,
    /// The tasks that serve the connections, oldest first.
    tasks: VecDeque<AbortHandle>,
}

impl ConnectionLimit {
    /// Creates a limit without connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            tasks: VecDeque::new(),
        }
    }

    /// Ends the oldest connection if there is no room for another one. Returns whether it did.
    pub fn make_room(&mut self) -> bool {
        self.tasks.retain(|task| !task.is_finished());
        if self.tasks.len() < self.limit {
            return false;
        }
        if let Some(oldest) = self.tasks.pop_front() {
            oldest.abort();
        }
        true
    }

    /// Adds the task that serves a connection.
    pub fn add(&mut self, task: AbortHandle) {
        self.tasks.push_back(task);
    }
}
