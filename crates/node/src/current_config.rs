//! The configuration in force and how long ago it was known to be the newest.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;

use crate::cluster_config::ClusterConfig;

/// The configuration in force.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    config: ArcSwap<ClusterConfig>,
    confirmed: Mutex<Option<Instant>>,
}

impl CurrentConfig {
    /// Returns the configuration in force.
    pub fn load(&self) -> Arc<ClusterConfig> {
        self.config.load_full()
    }

    /// Installs a configuration unless it is older than the one in force; tells whether it did.
    pub fn update_if_newer(&self, config: ClusterConfig) -> bool {
        let newer = config.version > self.config.load().version;
        if newer {
            self.config.store(Arc::new(config));
        }
        newer
    }

    /// Notes that everything published before `at` has been taken in.
    pub fn confirm(&self, at: Instant) {
        let mut confirmed = self.lock();
        *confirmed = (*confirmed).max(Some(at));
    }

    /// Tells whether everything published up to `bound` ago has been taken in.
    pub fn is_fresh(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }

    /// Returns how long ago the configuration was known to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.lock().map(|at| now.saturating_duration_since(at))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
