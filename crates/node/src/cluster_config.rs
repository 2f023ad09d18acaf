//! The configuration in force: queues by host and path, pools, teams and their keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::PlacementPolicy;
use lavenderhollow_shard::QueueSettings;
use lavenderhollow_shard::Resources;

use crate::shard_id::ShardId;

/// A queue and where callers reach it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the queue.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// What a path has to begin with.
    pub prefix: Name,
    /// The pool that runs the queue's tasks.
    pub pool: Name,
    /// Whether the queue takes work without a key.
    pub allow_anonymous: bool,
    /// Zero is the most urgent.
    pub priority: u32,
    /// How many failed runs end a task's job.
    pub max_attempts: u32,
    /// The factor of the longest chain in a job's objective.
    pub slack_factor: f64,
    /// The fixed part of a job's objective.
    pub base_objective: Duration,
    /// Set when starts need tickets.
    pub policy: Option<PlacementPolicy>,
}

impl Route {
    /// Returns the settings that a job of this queue is accepted with.
    pub fn queue_settings(&self) -> QueueSettings {
        QueueSettings {
            name: Arc::clone(&self.name),
            pool: Arc::clone(&self.pool),
            priority: self.priority,
            max_attempts: self.max_attempts,
            slack_factor: self.slack_factor,
            base_objective: self.base_objective,
            policy: self.policy,
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// The name.
    pub name: Name,
    /// Its share when everything is full, in jobs a second.
    pub weight: u64,
    /// What it may have running across all workers; zero means no limit.
    pub limit: Resources,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The name.
    pub name: Name,
    /// Whether its machines are off.
    pub standby: bool,
}

/// Limits of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest body, in bytes.
    pub max_body: usize,
    /// The largest header section, in bytes.
    pub max_header: usize,
    /// The time for the header section of a request.
    pub header_timeout: Duration,
    /// The time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body: 262_144,
            max_header: 16_384,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterConfig {
    /// The version; zero means that there is none.
    pub version: u64,
    /// The queues.
    pub routes: Vec<Arc<Route>>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The team of each key.
    pub keys: HashMap<String, Name>,
    /// The limits of callers' connections.
    pub limits: CallerLimits,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// The number of the wave.
    pub number: u64,
    /// The machines that are due.
    pub machines: Vec<Name>,
    /// The time within which they are due.
    pub time_limit: Duration,
    /// How many may be down at once.
    pub max_unavailable: usize,
}

impl ClusterConfig {
    /// Returns the queue of a host and path, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        let matching = self.routes.iter().filter_map(|r| {
            let same_host = r.host.eq_ignore_ascii_case(host);
            let rest = path.strip_prefix(&*r.prefix)?;
            same_host.then_some((r, rest))
        });
        matching.max_by_key(|(r, _)| r.prefix.len())
    }

    /// Returns the shards that need an owner.
    pub fn shards(&self) -> BTreeSet<ShardId> {
        let mut shards: BTreeSet<ShardId> = self
            .pools
            .iter()
            .map(|p| ShardId::of_pool(&p.name))
            .collect();
        if self.version > 0 {
            shards.insert(ShardId::FLEET);
        }
        shards
    }

    /// Returns how many jobs a second each team may submit within its share.
    pub fn team_rates(&self) -> BTreeMap<Name, u64> {
        let all = self.teams.iter().filter(|t| t.weight > 0);
        all.map(|t| (Arc::clone(&t.name), t.weight)).collect()
    }

    /// Returns the limit of each team.
    pub fn team_limits(&self) -> BTreeMap<Name, Resources> {
        let all = self.teams.iter();
        all.map(|t| (Arc::clone(&t.name), t.limit)).collect()
    }
}
