use std::sync::Arc;

use arc_swap::ArcSwap;
use arc_swap::Guard;
use lavenderhollow_config::Config;
use lavenderhollow_types::Version;

use crate::keyring::KeyRing;

/// A configuration with what the request path needs of it.
#[derive(Clone, Debug, Default)]
pub struct Installed {
    /// The version; zero before the first configuration.
    pub version: Version,
    /// The document.
    pub config: Arc<Config>,
    /// The keys and queues.
    pub keys: KeyRing,
}

impl Installed {
    /// Prepares a configuration to be installed.
    pub fn new(version: Version, config: Arc<Config>) -> Self {
        let keys = KeyRing::new(&config);
        Self {
            version,
            config,
            keys,
        }
    }
}

/// The configuration of a process, which only a newer one replaces.
#[derive(Debug, Default)]
pub struct Current(ArcSwap<Installed>);

impl Current {
    /// Returns the configuration for a short time, without a lock.
    pub fn load(&self) -> Guard<Arc<Installed>> {
        self.0.load()
    }

    /// Returns the configuration to be kept across other work.
    pub fn load_full(&self) -> Arc<Installed> {
        self.0.load_full()
    }

    /// Installs a configuration if it is newer than the present one, and tells whether it did. The
    /// log follower and several peers may install at the same time.
    pub fn install(&self, new: impl Into<Arc<Installed>>) -> bool {
        let new = new.into();
        let before = self.0.rcu(|present| {
            let newest = if new.version > present.version {
                &new
            } else {
                present
            };
            Arc::clone(newest)
        });
        new.version > before.version
    }
}
