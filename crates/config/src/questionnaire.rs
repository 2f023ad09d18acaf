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

/// The name under which the configuration lists the generated key of a team.
const FIRST_KEY: &str = "first";

/// The number of VMs in a rack of today's deployments.
const RACK_SIZE: u32 = 4;

/// Which costs have a higher weight in the generated [`CostWeights`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Roll-out time and the distance of teams from their share have four times the weight.
    Promptness,
    /// VM moves and free buffer capacity have four times the weight.
    Economy,
    /// All four costs have the same weight.
    Balanced,
}

impl Priority {
    fn weights(self) -> CostWeights {
        let (promptness, economy) = match self {
            Self::Promptness => (4.0, 1.0),
            Self::Economy => (1.0, 4.0),
            Self::Balanced => (1.0, 1.0),
        };
        CostWeights {
            buffer_hour: economy,
            vm_move: economy,
            rollout_hour: promptness,
            share_distance: promptness,
        }
    }
}

/// A service: one queue and the pool that serves only this queue.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service, and of its pool and its queue.
    pub name: String,
    /// The number of workers in the pool.
    pub workers: u32,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may safely run twice.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether workers of the pool may be moved to other pools that need capacity.
    #[serde(default)]
    pub spare: bool,
    /// The longest time that a caller waits for a request to complete, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The expected run time of a request, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "run_time_ms")]
    pub run_time: Duration,
}

/// An organisation that submits requests, as one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name of the team.
    pub name: String,
    /// The weight of the team, by which capacity is divided when it does not suffice for all teams.
    pub share: u32,
    /// The upper limit, from 1 to 100 percent of all slots.
    pub limit_percent: u32,
    /// The availability zone nearest to the team's callers.
    pub home: String,
}

/// The answers to the questionnaire, which the command reads from a file or asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answers {
    /// The name of the deployment, for display only.
    pub deployment: String,
    /// The region of all availability zones.
    pub region: String,
    /// The names of the availability zones.
    pub zones: Vec<String>,
    /// The number of slots of each worker.
    pub slots_per_worker: u32,
    /// The services, each with its own pool.
    pub services: Vec<Service>,
    /// The organisations that submit requests.
    pub organisations: Vec<Organisation>,
    /// Which costs have a higher weight.
    pub priority: Priority,
}

/// The generated secret keys by team. They are handed to the teams and never written to the
/// configuration.
pub type TeamKeys = BTreeMap<TeamName, String>;

impl Answers {
    /// Generates a key for each team that `keys` has no entry for.
    ///
    /// # Errors
    ///
    /// Fails with the organisations whose names are not valid.
    pub fn generate_keys(&self, keys: &mut TeamKeys) -> Result<(), Vec<Problem>> {
        let mut problems = Vec::new();
        for (i, organisation) in self.organisations.iter().enumerate() {
            if let Some(name) = parse_name(&mut problems, i, "organisations", &organisation.name) {
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

    /// Generates the configuration. The result depends only on the answers and the keys.
    ///
    /// # Errors
    ///
    /// Fails with a problem for every invalid answer.
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

    fn total_slots(&self) -> u32 {
        let workers: u32 = self.services.iter().map(|service| service.workers).sum();
        workers.saturating_mul(self.slots_per_worker)
    }

    fn add_zones(&self, config: &mut Config, problems: &mut Vec<Problem>) {
        let Ok(region) = RegionName::new(&self.region) else {
            return problems.push(Problem::new("region", &self.region, "a valid name"));
        };
        for (i, zone) in self.zones.iter().enumerate() {
            if let Some(name) = parse_name::<ZoneName>(problems, i, "zones", zone) {
                let region = region.clone();
                config.zones.insert(name, Zone { region });
            }
        }
    }

    fn add_services(&self, config: &mut Config, problems: &mut Vec<Problem>) {
        for (i, service) in self.services.iter().enumerate() {
            let Some(pool) = parse_name::<PoolName>(problems, i, "services", &service.name) else {
                continue;
            };
            let Some(queue) = parse_name::<QueueName>(problems, i, "services", &service.name)
            else {
                continue;
            };
            if service.workers == 0 {
                let path = format!("services.{i}.workers");
                problems.push(Problem::new(path, &service.workers, "1 or more"));
            }
            config.pools.insert(pool.clone(), self.build_pool(service));
            config.queues.insert(queue, build_queue(service, pool));
        }
    }

    /// Builds a pool whose availability budget is one rack, or a quarter of the pool if that is
    /// less, and at least one VM.
    fn build_pool(&self, service: &Service) -> Pool {
        Pool {
            max_unavailable: RACK_SIZE.min((service.workers / 4).max(1)),
            racks_at_once: 1,
            buffer_slots: self.slots_per_worker.min(service.workers),
            spare: service.spare,
        }
    }

    fn add_teams(&self, config: &mut Config, keys: &TeamKeys, problems: &mut Vec<Problem>) {
        for (i, organisation) in self.organisations.iter().enumerate() {
            let Some(name) =
                parse_name::<TeamName>(problems, i, "organisations", &organisation.name)
            else {
                continue;
            };
            let Ok(home) = ZoneName::new(&organisation.home) else {
                let path = format!("organisations.{i}.home");
                problems.push(Problem::new(path, &organisation.home, "a declared zone"));
                continue;
            };
            let percent = organisation.limit_percent;
            if percent == 0 || percent > 100 {
                let path = format!("organisations.{i}.limit_percent");
                problems.push(Problem::new(path, &percent, "1 to 100"));
            }
            let key_hash = keys.get(&name).map(|text| Key::from_text(text).hash());
            let team = Team {
                share: organisation.share,
                limit: (self.total_slots().saturating_mul(percent) / 100).max(1),
                home,
                keys: key_hash
                    .map(|hash| (FIRST_KEY.to_owned(), hash))
                    .into_iter()
                    .collect(),
            };
            config.teams.insert(name, team);
        }
    }
}

fn build_queue(service: &Service, pool: PoolName) -> Queue {
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

fn parse_name<T: TryFrom<String>>(
    problems: &mut Vec<Problem>,
    index: usize,
    section: &str,
    text: &str,
) -> Option<T> {
    let name = T::try_from(text.to_owned()).ok();
    if name.is_none() {
        let path = format!("{section}.{index}");
        problems.push(Problem::new(
            path,
            &text,
            "1 to 63 of a-z, 0-9, '-', '_', '.', '/'",
        ));
    }
    name
}
