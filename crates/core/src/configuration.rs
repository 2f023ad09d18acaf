//! The state of the `config` stream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_config::Automatic;
use lavenderhollow_config::Config;
use lavenderhollow_config::KeyHash;
use lavenderhollow_config::KeyName;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::fold::Context;
use crate::fold::Effect;
use crate::fold::State;
use crate::record::Position;

/// The only subject of the stream: every change is a change of the one document.
pub const SUBJECT: &str = "config";

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Replaces the whole document. Without an expected version it also undoes changes that its
    /// author has not seen, such as a withdrawn key.
    Publish(Arc<Config>),
    /// Applies a JSON merge patch (RFC 7396).
    Patch(Value),
    /// Adds a key to a team.
    AddKey {
        /// The team.
        team: TeamName,
        /// The key's name, which the team does not have yet.
        key: KeyName,
        /// The key's hash, which no team has yet.
        hash: KeyHash,
    },
    /// Removes a key of a team.
    WithdrawKey {
        /// The team.
        team: TeamName,
        /// The key's name.
        key: KeyName,
    },
    /// Turns automatic actions on or off.
    SetAutomatic {
        /// The action, or nothing for the switch of all actions.
        action: Option<Automatic>,
        /// Whether it may run.
        on: bool,
    },
}

/// Why a change of the configuration is refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ConfigRejection {
    /// The patched document is not a configuration.
    #[display("not a configuration: {reason}")]
    Invalid {
        /// What the parser says.
        reason: String,
    },
    /// A queue names a pool that does not exist.
    #[display("queue {queue} has an unknown pool")]
    UnknownPool {
        /// The queue.
        queue: QueueName,
    },
    /// A team's home zone does not exist.
    #[display("team {team} has an unknown home zone")]
    UnknownHome {
        /// The team.
        team: TeamName,
    },
    /// A team would get another home zone, where its idempotency claims would not be found.
    #[display("home zone of team {team} can't be changed")]
    HomeChanged {
        /// The team.
        team: TeamName,
    },
    /// Two keys have the same hash, so that a key would not tell its team.
    #[display("key {key} of team {team} is used twice")]
    SharedKey {
        /// The team.
        team: TeamName,
        /// The key's name.
        key: KeyName,
    },
    /// The team does not exist.
    #[display("no team {team}")]
    NoTeam {
        /// The team.
        team: TeamName,
    },
    /// The team has no such key.
    #[display("team {team} has no key {key}")]
    NoKey {
        /// The team.
        team: TeamName,
        /// The key's name.
        key: KeyName,
    },
    /// The team has a key of this name.
    #[display("team {team} has a key {key} already")]
    KeyExists {
        /// The team.
        team: TeamName,
        /// The key's name.
        key: KeyName,
    },
}

/// The accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    version: Version,
    config: Arc<Config>,
    /// The home zones of all teams that ever were. A team that is removed and added again keeps its
    /// home, because its claims are still in that zone's stream.
    homes: BTreeMap<TeamName, ZoneName>,
}

impl ConfigState {
    /// Returns the configuration; it is empty while the version is zero.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the offset of the accepted record plus one, or zero before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    fn changed(&self, change: &ConfigChange) -> Result<Arc<Config>, ConfigRejection> {
        match change {
            ConfigChange::Publish(config) => self.checked(Arc::clone(config)),
            ConfigChange::Patch(patch) => self.checked(self.patched(patch)?),
            ConfigChange::AddKey { team, key, hash } => self.with_key(team, key, *hash),
            ConfigChange::WithdrawKey { team, key } => self.without_key(team, key),
            ConfigChange::SetAutomatic { action, on } => Ok(self.switched(*action, *on)),
        }
    }

    fn checked(&self, config: Arc<Config>) -> Result<Arc<Config>, ConfigRejection> {
        check_references(&config)?;
        check_keys(&config)?;
        self.check_homes(&config)?;
        Ok(config)
    }

    fn patched(&self, patch: &Value) -> Result<Arc<Config>, ConfigRejection> {
        let invalid = |error: serde_json::Error| ConfigRejection::Invalid {
            reason: error.to_string(),
        };
        let mut document = serde_json::to_value(&*self.config).map_err(invalid)?;
        json_patch::merge(&mut document, patch);
        serde_json::from_value(document).map_err(invalid)
    }

    fn with_key(
        &self,
        team: &TeamName,
        key: &KeyName,
        hash: KeyHash,
    ) -> Result<Arc<Config>, ConfigRejection> {
        let mut config = Config::clone(&self.config);
        let mut known = config.teams.values().flat_map(|team| team.keys.values());
        if known.any(|known| *known == hash) {
            return Err(ConfigRejection::SharedKey {
                team: team.clone(),
                key: key.clone(),
            });
        }
        let keys = keys_of(&mut config, team)?;
        if keys.contains_key(key) {
            return Err(ConfigRejection::KeyExists {
                team: team.clone(),
                key: key.clone(),
            });
        }
        keys.insert(key.clone(), hash);
        Ok(Arc::new(config))
    }

    fn without_key(&self, team: &TeamName, key: &KeyName) -> Result<Arc<Config>, ConfigRejection> {
        let mut config = Config::clone(&self.config);
        if keys_of(&mut config, team)?.remove(key).is_none() {
            return Err(ConfigRejection::NoKey {
                team: team.clone(),
                key: key.clone(),
            });
        }
        Ok(Arc::new(config))
    }

    fn switched(&self, action: Option<Automatic>, on: bool) -> Arc<Config> {
        let mut config = Config::clone(&self.config);
        let switches = &mut config.automatic;
        let switch = match action {
            None => &mut switches.all,
            Some(Automatic::Drains) => &mut switches.drains,
            Some(Automatic::Moves) => &mut switches.moves,
            Some(Automatic::Buffers) => &mut switches.buffers,
            Some(Automatic::Quarantine) => &mut switches.quarantine,
            Some(Automatic::Transfers) => &mut switches.transfers,
            Some(Automatic::Reclaims) => &mut switches.reclaims,
            Some(Automatic::Restarts) => &mut switches.restarts,
        };
        *switch = on;
        Arc::new(config)
    }

    fn check_homes(&self, config: &Config) -> Result<(), ConfigRejection> {
        for (name, team) in &config.teams {
            if self.homes.get(name).is_some_and(|home| *home != team.home) {
                return Err(ConfigRejection::HomeChanged { team: name.clone() });
            }
        }
        Ok(())
    }
}

impl State for ConfigState {
    type Change = ConfigChange;
    type Rejection = ConfigRejection;

    fn subject(_: &ConfigChange) -> String {
        SUBJECT.to_owned()
    }

    fn version(_: Version, position: Position) -> Version {
        Version::new(position.offset.next().get())
    }

    fn apply(&mut self, cx: &Context, change: &ConfigChange) -> Result<Effect, ConfigRejection> {
        let config = self.changed(change)?;
        for (name, team) in &config.teams {
            if !self.homes.contains_key(name) {
                self.homes.insert(name.clone(), team.home.clone());
            }
        }
        self.version = <Self as State>::version(self.version, cx.position);
        self.config = config;
        Ok(Effect::Changed)
    }
}

fn keys_of<'a>(
    config: &'a mut Config,
    team: &TeamName,
) -> Result<&'a mut BTreeMap<KeyName, KeyHash>, ConfigRejection> {
    let found = config.teams.get_mut(team);
    found
        .map(|found| &mut found.keys)
        .ok_or_else(|| ConfigRejection::NoTeam { team: team.clone() })
}

/// Checks only what the other modules rely on. Entries of two releases must accept the same
/// records, so that these rules can't grow with the checks of the operators' tool.
fn check_references(config: &Config) -> Result<(), ConfigRejection> {
    for (name, queue) in &config.queues {
        if !config.pools.contains_key(&queue.pool) {
            return Err(ConfigRejection::UnknownPool {
                queue: name.clone(),
            });
        }
    }
    for (name, team) in &config.teams {
        if !config.zones.contains_key(&team.home) {
            return Err(ConfigRejection::UnknownHome { team: name.clone() });
        }
    }
    Ok(())
}

/// Compares the hashes as text, because [`KeyHash`] has no order and comparing every pair took most
/// of the time of a change.
fn check_keys(config: &Config) -> Result<(), ConfigRejection> {
    let mut seen = BTreeSet::new();
    for (name, team) in &config.teams {
        for (key, hash) in &team.keys {
            let text = serde_json::to_string(hash).map_err(|error| ConfigRejection::Invalid {
                reason: error.to_string(),
            })?;
            if !seen.insert(text) {
                return Err(ConfigRejection::SharedKey {
                    team: name.clone(),
                    key: key.clone(),
                });
            }
        }
    }
    Ok(())
}
