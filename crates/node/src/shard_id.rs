//! The ids of shards. A shard is the unit of ownership: one process at a time owns it and schedules
//! its pools.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// The number of shards that pools are hashed to. It is large enough that few out of several
/// hundred pools share a shard, and constant because every process has to map a pool to the same
/// shard.
const POOL_SHARDS: u64 = 1_024;

/// The id of a shard, which contains either the pools whose names have this hash, or the fleet as a
/// whole.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}")]
pub struct ShardId(pub u16);

impl ShardId {
    /// The fleet shard, whose owner runs maintenance waves, moves machines between pools and
    /// divides the teams' limits into quotas.
    pub const FLEET: Self = Self(u16::MAX);

    /// Returns the shard of a pool, from the hash of its name.
    pub fn of_pool(name: &str) -> Self {
        Self((stable_hash(name.as_bytes()) % POOL_SHARDS) as u16)
    }
}

/// Returns the FNV-1a hash of `bytes` with its high bits mixed into the low ones. Unlike the
/// standard library's hasher, it gives the same numbers in every build, so that processes of
/// different versions agree on shards.
pub(crate) fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for &byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^ (hash >> 29)
}
