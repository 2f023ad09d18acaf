//! Shards: the unit of ownership.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// The number of shards that pools are spread over: enough that few of some hundred pools share
/// one, and a stable number that every process agrees on.
const SHARDS: u64 = 1_024;

/// A shard: the pools whose names hash to one number, or the fleet as a whole.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}")]
pub struct ShardId(pub u16);

impl ShardId {
    /// The shard of waves and of the teams' limits.
    pub const FLEET: Self = Self(u16::MAX);

    /// Returns the shard of a pool.
    pub fn of_pool(name: &str) -> Self {
        Self((stable_hash(name.as_bytes()) % SHARDS) as u16)
    }
}

/// FNV-1a, which gives every build the same numbers.
pub(crate) fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for &byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^ (hash >> 29)
}
