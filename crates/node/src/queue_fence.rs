//! Decides whether the owner of a shard may accept new jobs of a queue.

use std::collections::BTreeMap;
use std::sync::Arc;

use lavenderhollow_shard::Name;

use crate::cluster_config::ClusterConfig;
use crate::shard_id::ShardId;

/// The queues that have moved away from a shard, as its owner knows from other processes.
///
/// Processes apply a configuration at different times. A process with the later version that has asked
/// this shard for a job in vain may have submitted the job to another shard. A process with the earlier
/// version may still send the same job here, where it must not be accepted any more.
#[derive(Debug, Default)]
pub struct QueueFence {
    /// The version of the configuration that has moved each queue.
    moved: BTreeMap<Name, u64>,
}

impl QueueFence {
    /// Records that a configuration sends a queue to another shard.
    pub fn close(&mut self, queue: &Name, version: u64) {
        let known = self.moved.entry(Arc::clone(queue)).or_default();
        *known = version.max(*known);
    }

    /// Returns whether a shard accepts new jobs of a queue. A queue that `config` does not have may
    /// have been added by a later one.
    pub fn accepts(&self, config: &ClusterConfig, shard: ShardId, queue: &str) -> bool {
        let is_closed = self.moved.get(queue).is_some_and(|v| *v >= config.version);
        let route = config.queue(queue);
        !is_closed && route.is_none_or(|r| ShardId::of_pool(&r.pool) == shard)
    }
}
