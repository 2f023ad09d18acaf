//! The questionnaire that generates the configuration of a new deployment.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhollow_types::PoolName;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::RegionName;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::AutomaticSwitches;
use crate::Config;
use crate::CostWeights;
use crate::Key;
use crate::Pool;
use crate::Problem;
use crate::Queue;
use crate::Resources;
use crate::Team;
use crate::Zone;

/// The name of the first key of a team.
const FIRST_KEY: &str = "first";

/// How many VMs share a rack in the deployments served today.
const RACK_SIZE: u32 = 4;

/// What the deployment weighs more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Roll-out time and nearness to share weigh more.
    Promptness,
    /// Moves and buffer cost weigh more.
    Economy,
    /// All four measures weigh the same.
    Balanced,
}

impl Priority {
    fn weights(self) -> CostWeights {
        let (prompt, thrifty) = match self {
            Self::Promptness => (4.0, 1.0),
            Self::Economy => (1.0, 4.0),
            Self::Balanced => (1.0, 1.0),
        };
        CostWeights {
            buffer_hour: thrifty,
            vm_move: thrifty,
            rollout_hour: prompt,
            share_distance: prompt,
        }
    }
}

/// One service: a queue with a pool of its own.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service; its pool and its queue are called the same.
    pub name: String,
    /// How many workers serve it.
    pub workers: u32,
    /// Whether work is taken without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may safely run twice.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether the pool lends workers to the others.
    #[serde(default)]
    pub spare: bool,
    /// How long a caller waits at most, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// How long a request runs as far as is known, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "run_time_ms")]
    pub run_time: Duration,
}

/// One organisation that submits work: a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name of the team.
    pub name: String,
    /// The weight of the team when everything is full.
    pub share: u32,
    /// The upper limit, in percent of all slots.
    pub limit_percent: u32,
    /// The availability zone nearest to the team's callers.
    pub home: String,
}

/// The answers to the questionnaire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answers {
    /// The name of the deployment.
    pub deployment: String,
    /// The region of the availability zones.
    pub region: String,
    /// The availability zones.
    pub zones: Vec<String>,
    /// How many slots a worker offers.
    pub slots_per_worker: u32,
    /// The services.
    pub services: Vec<Service>,
    /// The organisations.
    pub organisations: Vec<Organisation>,
    /// What weighs more.
    pub priority: Priority,
}

/// The keys drawn for the teams. They go to the teams and never into the configuration.
pub type TeamKeys = BTreeMap<TeamName, String>;

impl Answers {
    /// Draws a key for each team that has none yet.
    ///
    /// # Errors
    ///
    /// Fails with the organisations whose names are not valid.
    pub fn generate_keys(&self, keys: &mut TeamKeys) -> Result<(), Vec<Problem>> {
        let mut problems = Vec::new();
        for (i, organisation) in self.organisations.iter().enumerate() {
            if let Some(name) = name_at(&mut problems, i, "organisations", &organisation.name) {
                keys.entry(name)
                    .or_insert_with(|| Key::random().expose_secret().to_owned());
            }
        }
        if problems.is_empty() {
            Ok(())
        } else {
            Err(problems)
        }
    }

    /// Generates the configuration. The same answers and keys give the same configuration.
    ///
    /// # Errors
    ///
    /// Fails with every answer that can't be used.
    pub fn to_config(&self, keys: &TeamKeys) -> Result<Config, Vec<Problem>> {
        let mut problems = Vec::new();
        let mut config = Config {
            deployment: self.deployment.clone(),
            weights: self.priority.weights(),
            automatic: AutomaticSwitches::default(),
            ..Config::default()
        };
        self.add_zones(&mut config, &mut problems);
        self.add_services(&mut config, &mut problems);
        self.add_teams(&mut config, keys, &mut problems);
        if problems.is_empty() {
            problems = crate::validate(&config);
        }
        if problems.is_empty() {
            Ok(config)
        } else {
            Err(problems)
        }
    }

    fn slots(&self) -> u32 {
        let workers: u32 = self.services.iter().map(|service| service.workers).sum();
        workers.saturating_mul(self.slots_per_worker)
    }

    fn add_zones(&self, config: &mut Config, problems: &mut Vec<Problem>) {
        let Ok(region) = RegionName::new(&self.region) else {
            return problems.push(Problem::new("region", &self.region, "a valid name"));
        };
        for (i, zone) in self.zones.iter().enumerate() {
            if let Some(name) = name_at::<ZoneName>(problems, i, "zones", zone) {
                let region = region.clone();
                config.zones.insert(name, Zone { region });
            }
        }
    }

    fn add_services(&self, config: &mut Config, problems: &mut Vec<Problem>) {
        for (i, service) in self.services.iter().enumerate() {
            let Some(pool) = name_at::<PoolName>(problems, i, "services", &service.name) else {
                continue;
            };
            let Some(queue) = name_at::<QueueName>(problems, i, "services", &service.name) else {
                continue;
            };
            if service.workers == 0 {
                let place = format!("services.{i}.workers");
                problems.push(Problem::new(place, &service.workers, "1 or more"));
            }
            config.pools.insert(pool.clone(), self.pool(service));
            config.queues.insert(queue, queue_of(service, pool));
        }
    }

    /// Gives a pool a budget of one rack, or less where that is more than a quarter of the pool.
    fn pool(&self, service: &Service) -> Pool {
        Pool {
            max_unavailable: RACK_SIZE.min((service.workers / 4).max(1)),
            racks_at_once: 1,
            buffer_slots: self.slots_per_worker.min(service.workers),
            spare: service.spare,
        }
    }

    fn add_teams(&self, config: &mut Config, keys: &TeamKeys, problems: &mut Vec<Problem>) {
        for (i, organisation) in self.organisations.iter().enumerate() {
            let Some(name) = name_at::<TeamName>(problems, i, "organisations", &organisation.name)
            else {
                continue;
            };
            let Ok(home) = ZoneName::new(&organisation.home) else {
                let place = format!("organisations.{i}.home");
                problems.push(Problem::new(place, &organisation.home, "a declared zone"));
                continue;
            };
            let percent = organisation.limit_percent;
            if percent == 0 || percent > 100 {
                let place = format!("organisations.{i}.limit_percent");
                problems.push(Problem::new(place, &percent, "1 to 100"));
            }
            let hashes = keys.get(&name).map(|text| Key::from_text(text).hash());
            let team = Team {
                share: organisation.share,
                limit: (self.slots().saturating_mul(percent) / 100).max(1),
                home,
                keys: hashes
                    .map(|hash| (FIRST_KEY.to_owned(), hash))
                    .into_iter()
                    .collect(),
            };
            config.teams.insert(name, team);
        }
    }
}

fn queue_of(service: &Service, pool: PoolName) -> Queue {
    Queue {
        pool,
        open: service.open,
        idempotent: service.repeatable,
        max_queued: 64,
        deadline: service.deadline,
        run_time: service.run_time,
        size: Resources::default(),
    }
}

fn name_at<T: TryFrom<String>>(
    problems: &mut Vec<Problem>,
    index: usize,
    section: &str,
    text: &str,
) -> Option<T> {
    let name = T::try_from(text.to_owned()).ok();
    if name.is_none() {
        let place = format!("{section}.{index}");
        problems.push(Problem::new(
            place,
            &text,
            "1 to 63 of a-z, 0-9, '-', '_', '.', '/'",
        ));
    }
    name
}
