//! The configuration that operators publish: queues by host and path, pools, teams and their keys.

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

/// A queue, the host and path under which callers reach it, and the settings of its jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the queue.
    pub name: Name,
    /// The host name in callers' requests, compared without regard to case.
    pub host: Name,
    /// The prefix of the path of callers' requests.
    pub prefix: Name,
    /// The pool whose workers run the queue's tasks.
    pub pool: Name,
    /// Whether the queue accepts requests without a key.
    pub allow_anonymous: bool,
    /// The priority of the queue's jobs; zero is the most urgent.
    pub priority: u32,
    /// The number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// The factor by which the length of a job's critical path is multiplied in its objective.
    pub slack_factor: f64,
    /// The fixed part of a job's objective, added to the part for its critical path.
    pub base_objective: Duration,
    /// The placement policy; set if starts of the queue's tasks need tickets.
    pub policy: Option<PlacementPolicy>,
}

impl Route {
    /// Returns the settings that are stored with a job when it is accepted. Later changes of the
    /// configuration don't apply to it, apart from the policy service.
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

/// A team, with its share of the capacity and its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// The name of the team.
    pub name: Name,
    /// The team's share when capacity is short, in jobs per second. Zero means that the share is
    /// not limited.
    pub weight: u64,
    /// The resources that the team's running tasks may use across all workers. Zero means no limit.
    pub limit: Resources,
}

/// A pool of machines and the workers on them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The name of the pool.
    pub name: Name,
    /// Whether the machines of the pool are on standby: switched off until they move to another
    /// pool.
    pub standby: bool,
}

/// Limits of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request body, in bytes.
    pub max_body: usize,
    /// The largest header section of a request, in bytes.
    pub max_header: usize,
    /// The time within which the header section of a request has to arrive.
    pub header_timeout: Duration,
    /// The time after which an idle connection is closed.
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

/// One version of the configuration, published by operators as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterConfig {
    /// The version, which increases with every change; zero before the first configuration is read.
    pub version: u64,
    /// The queues, by host and path prefix.
    pub routes: Vec<Arc<Route>>,
    /// The pools, including standby pools.
    pub pools: Vec<Pool>,
    /// The teams, with their shares and limits.
    pub teams: Vec<Team>,
    /// The team that each API key belongs to.
    pub keys: HashMap<String, Name>,
    /// The limits of callers' connections.
    pub limits: CallerLimits,
}

/// A maintenance wave, published by operators: machines that have to be maintained within a time
/// limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// The number that identifies the wave.
    pub number: u64,
    /// The machines to maintain.
    pub machines: Vec<Name>,
    /// The time within which all of the machines have to be maintained.
    pub time_limit: Duration,
    /// How many of the machines may be down at the same time.
    pub max_unavailable: usize,
}

impl ClusterConfig {
    /// Returns the queue with the longest prefix that matches a host and path, and the rest of the
    /// path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        let matching = self.routes.iter().filter_map(|r| {
            let same_host = r.host.eq_ignore_ascii_case(host);
            let rest = path.strip_prefix(&*r.prefix)?;
            same_host.then_some((r, rest))
        });
        matching.max_by_key(|(r, _)| r.prefix.len())
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|r| &*r.name == name)
    }

    /// Returns the shards that need an owner: those of the pools and, once a configuration has been
    /// read, the fleet shard.
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

    /// Returns the number of shards that the teams' limits are divided among: all but the fleet shard.
    pub fn quota_shards(&self) -> usize {
        self.shards().len().saturating_sub(1)
    }

    /// Returns the number of jobs per second that each team may submit within its share. A team
    /// without an entry has no such limit.
    pub fn team_rates(&self) -> BTreeMap<Name, u64> {
        let limited = self.teams.iter().filter(|t| t.weight > 0);
        limited.map(|t| (Arc::clone(&t.name), t.weight)).collect()
    }

    /// Returns the resource limit of each team across all workers; zero means no limit.
    pub fn team_limits(&self) -> BTreeMap<Name, Resources> {
        let teams = self.teams.iter();
        teams.map(|t| (Arc::clone(&t.name), t.limit)).collect()
    }
}
