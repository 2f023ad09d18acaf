//! The current configuration, and the time at which it was last known to be up to date.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;

use crate::cluster_config::ClusterConfig;

/// The current configuration of a node process, shared by its parts and replaced as a whole.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    config: ArcSwap<ClusterConfig>,
    confirmed_at: Mutex<Option<Instant>>,
}

impl CurrentConfig {
    /// Returns the current configuration, whose version is zero before the first is read.
    pub fn load(&self) -> Arc<ClusterConfig> {
        self.config.load_full()
    }

    /// Replaces the current configuration if the given one has a higher version. Returns whether it
    /// did.
    pub fn update_if_newer(&self, config: ClusterConfig) -> bool {
        let newer = config.version > self.config.load().version;
        if newer {
            self.config.store(Arc::new(config));
        }
        newer
    }

    /// Records that the configuration is up to date as of `at`: every configuration published
    /// before has been applied.
    pub fn confirm(&self, at: Instant) {
        let mut confirmed_at = self.lock();
        *confirmed_at = (*confirmed_at).max(Some(at));
    }

    /// Returns whether the configuration was up to date at most `max_age` ago. Keys are checked
    /// only with a configuration for which this holds, so that revoked keys stop working in time.
    pub fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Returns how long ago the configuration was last known to be up to date; `None` if it never
    /// was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.lock().map(|at| now.saturating_duration_since(at))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.confirmed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
