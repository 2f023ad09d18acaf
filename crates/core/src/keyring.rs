//! Admission of requests by key.

use std::collections::BTreeMap;
use std::sync::Arc;

use lavenderhollow_config::Config;
use lavenderhollow_config::Key;
use lavenderhollow_config::KeyHash;
use lavenderhollow_config::Queue;
use lavenderhollow_config::Team;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;

/// A team as the request path sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The team's name.
    pub name: TeamName,
    /// The team's settings.
    pub settings: Team,
}

/// The right of a request to be queued for a team.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// The team whose key came with the request; nothing in an open queue without a key.
    pub team: Option<Arc<Member>>,
    /// The queue's name.
    pub queue: QueueName,
    /// The queue's settings.
    pub settings: Arc<Queue>,
}

impl Admission {
    /// Tells whether the work is taken because of a key, so that the configuration must be fresh.
    pub fn is_keyed(&self) -> bool {
        !self.settings.open
    }
}

/// The keys and queues of one configuration.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    keys: Vec<(KeyHash, Arc<Member>)>,
    queues: BTreeMap<QueueName, Arc<Queue>>,
}

impl KeyRing {
    /// Takes the keys and queues of a configuration.
    pub fn new(config: &Config) -> Self {
        let queues = config.queues.iter();
        let mut keys = Vec::new();
        for (name, team) in &config.teams {
            let member = Arc::new(Member {
                name: name.clone(),
                settings: team.clone(),
            });
            let hashes = team.keys.values();
            keys.extend(hashes.map(|hash| (*hash, Arc::clone(&member))));
        }
        Self {
            keys,
            queues: queues
                .map(|(name, queue)| (name.clone(), Arc::new(queue.clone())))
                .collect(),
        }
    }

    /// Admits a request with or without a key to a queue.
    ///
    /// An unknown key is refused in an open queue too, so that its caller does not take the work to
    /// be done for its team.
    ///
    /// # Errors
    ///
    /// Refuses with [`RefusalKind::Unauthorized`] when the key is unknown, or missing in a queue
    /// that is not open, and with [`RefusalKind::NoQueue`] when there is no such queue.
    pub fn admit(&self, key: Option<&Key>, queue: &str) -> Result<Admission, Refusal> {
        let team = key.map(|key| self.member(key)).transpose()?;
        let Some((name, settings)) = self.queues.get_key_value(queue) else {
            return Err(Refusal::new(RefusalKind::NoQueue, "no such queue"));
        };
        if team.is_none() && !settings.open {
            return Err(Refusal::new(RefusalKind::Unauthorized, "key is missing"));
        }
        Ok(Admission {
            team,
            queue: name.clone(),
            settings: Arc::clone(settings),
        })
    }

    /// Returns the team of a key. It compares with every key, so that the time taken does not depend
    /// on which one matches.
    ///
    /// # Errors
    ///
    /// Refuses with [`RefusalKind::Unauthorized`] when the key is unknown.
    pub fn member(&self, key: &Key) -> Result<Arc<Member>, Refusal> {
        let hash = key.hash();
        let mut found = None;
        for (known, member) in &self.keys {
            if *known == hash {
                found = Some(member);
            }
        }
        found
            .cloned()
            .ok_or_else(|| Refusal::new(RefusalKind::Unauthorized, "key is not known"))
    }
}
