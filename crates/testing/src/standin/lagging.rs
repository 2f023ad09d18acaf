//! Values that are seen late.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The history of a value, read with a lag.
#[derive(Clone, Debug)]
pub struct Lagging<T> {
    history: VecDeque<(Instant, T)>,
}

impl<T: Clone> Lagging<T> {
    /// Starts the history.
    pub fn new(now: Instant, value: T) -> Self {
        Self {
            history: VecDeque::from([(now, value)]),
        }
    }

    /// Returns the newest value.
    ///
    /// # Panics
    ///
    /// Never, since the history starts with a value and keeps one.
    pub fn newest(&self) -> &T {
        &self.history.back().expect("history is not empty").1
    }

    /// Adds a value, and forgets those that no reader with a lag of up to `keep` will see.
    pub fn push(&mut self, now: Instant, value: T, keep: Duration) {
        self.history.push_back((now, value));
        while let Some((next, _)) = self.history.get(1)
            && now.duration_since(*next) > keep
        {
            self.history.pop_front();
        }
    }

    /// Returns the value as it was `lag` before `now`, or the first one known.
    ///
    /// # Panics
    ///
    /// Never, since the history starts with a value and keeps one.
    pub fn get(&self, now: Instant, lag: Duration) -> &T {
        let seen = |time: &Instant| now.duration_since(*time) >= lag;
        let old = self.history.iter().rev().find(|(time, _)| seen(time));
        &old.or(self.history.front())
            .expect("history is not empty")
            .1
    }
}
