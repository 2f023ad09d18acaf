//! The memory that the owners in a process may use for the jobs of their shards.
//!
//! It answers floods of jobs that are valid one by one: large jobs that start later, jobs of thousands of
//! tasks, and small jobs by the ten thousand. The rules leave room for the others: a team gets no more
//! than a multiple of what remains free, so that a second team always finds room, and large jobs get no
//! more than a part of the memory, so that small jobs of the same team are accepted longest. A process
//! takes over a shard only if the shard's jobs fit beside those that it has.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use derive_more::Display;
use lavenderhollow_shard::JobMemory;
use lavenderhollow_shard::Name;

/// The memory that the process takes without callers and jobs, in bytes, whatever the size of the
/// machine. A debug build was measured to take 18,070 kB after its start.
pub const PROCESS_MEMORY: usize = 20_000_000;

/// A megabyte, in bytes.
pub(crate) const MEGABYTE: usize = 1_000_000;

/// The part of the remaining memory that jobs may take, in percent: 28 MB on the smallest VM, of 160 MB.
/// docs/design/caller-memory.md computes what callers within the limits need.
const JOB_MEMORY_PERCENT: usize = 20;

/// The least memory for jobs, in bytes, on machines that are smaller than any that we know.
const MIN_JOB_MEMORY: usize = 4_000_000;

/// A team's jobs may take this many times the memory that is left. One team alone gets four fifths of the
/// memory, two get four ninths each.
const TEAM_FACTOR: usize = 4;

/// The memory of a job above which it counts as large, in bytes: twice that of the average job of the
/// deployments that docs/design/caller-memory.md names.
const LARGE_JOB: usize = 16_384;

/// The part of the memory that large jobs leave to the others, as a divisor.
const SMALL_JOBS_PART: usize = 4;

/// The part of the memory that is left that one job may take, as a divisor.
const JOB_PART: usize = 4;

/// How long callers should wait after a rejection for lack of memory: a few jobs finish in it.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why there is no memory for a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoMemory {
    /// The jobs of its team take too large a part of the memory.
    #[display("team")]
    Team,
    /// The job takes too large a part of the memory that is left.
    #[display("job")]
    Job,
}

/// The memory for the jobs of all shards that a process owns, in bytes.
#[derive(Debug)]
pub struct JobBudget {
    /// The limit by the memory of this machine.
    own_limit: usize,
    shards: Mutex<Shards>,
}

#[derive(Debug, Default)]
struct Shards {
    limit: usize,
    next_id: u64,
    used: BTreeMap<u64, JobMemory>,
    /// What the shards take that are being restored.
    reserved: BTreeMap<u64, usize>,
}

/// The memory of one shard's jobs, which is free again when this is dropped.
#[derive(Debug)]
pub struct ShardMemory {
    budget: Arc<JobBudget>,
    id: u64,
}

impl JobBudget {
    /// Creates the budget of a process on a machine with this memory, in bytes.
    pub fn new(memory: usize) -> Self {
        let own_limit = limit_on(memory);
        Self {
            own_limit,
            shards: Mutex::new(Shards {
                limit: own_limit,
                ..Shards::default()
            }),
        }
    }

    /// Returns the most memory that the jobs may take, in bytes.
    pub fn limit(&self) -> usize {
        self.lock().limit
    }

    /// Sets the memory of the smallest machine that may take over the shards of this process, in MB.
    pub fn set_smallest(&self, memory_mb: u64) {
        let memory =
            usize::try_from(memory_mb).map_or(usize::MAX, |mb| mb.saturating_mul(MEGABYTE));
        self.lock().limit = self.own_limit.min(limit_on(memory));
    }

    /// Adds a shard, whose jobs take no memory yet.
    pub fn add_shard(self: &Arc<Self>) -> ShardMemory {
        let mut shards = self.lock();
        let id = shards.next_id;
        shards.next_id += 1;
        shards.used.insert(id, JobMemory::default());
        ShardMemory {
            budget: Arc::clone(self),
            id,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shards> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the most memory that jobs may take on a machine with this memory, in bytes.
fn limit_on(memory: usize) -> usize {
    let remaining = memory.saturating_sub(PROCESS_MEMORY);
    (remaining / 100 * JOB_MEMORY_PERCENT).max(MIN_JOB_MEMORY)
}

impl Shards {
    fn total(&self) -> usize {
        let used: usize = self.used.values().map(JobMemory::total).sum();
        used + self.reserved.values().sum::<usize>()
    }

    fn of_team(&self, team: Option<&Name>) -> usize {
        self.used.values().map(|used| used.of_team(team)).sum()
    }
}

impl ShardMemory {
    /// Records the memory that the shard's jobs take, and returns the most that they may take, in bytes.
    pub fn update(&self, used: &JobMemory) -> usize {
        let mut shards = self.budget.lock();
        shards.reserved.remove(&self.id);
        if shards.used.get(&self.id) != Some(used) {
            shards.used.insert(self.id, used.clone());
        }
        let total = shards.total();
        metrics::gauge!("job_bytes").set(total as f64);
        (shards.limit + used.total()).saturating_sub(total)
    }

    /// Reserves memory for a shard that is being restored, in place of what was reserved before, until
    /// [`update`](Self::update) is called. Returns whether there is that much. A process without other
    /// jobs takes every shard, since an owner on an equal machine had room for it.
    pub fn reserve(&self, bytes: usize) -> bool {
        let mut shards = self.budget.lock();
        shards.reserved.remove(&self.id);
        let others = shards.total();
        let fits = others == 0 || others + bytes <= shards.limit;
        if fits {
            shards.reserved.insert(self.id, bytes);
        }
        fits
    }

    /// Checks whether there is memory for a further job of a team that takes `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if there is not. The job may be submitted again once others have finished.
    pub fn check(&self, team: Option<&Name>, bytes: usize) -> Result<(), NoMemory> {
        let shards = self.budget.lock();
        let limit = match bytes > LARGE_JOB {
            true => shards.limit - shards.limit / SMALL_JOBS_PART,
            false => shards.limit,
        };
        let free = limit.saturating_sub(shards.total());
        if bytes > free / JOB_PART {
            return Err(NoMemory::Job);
        }
        let of_team = shards.of_team(team) + bytes;
        match of_team > (free - bytes).saturating_mul(TEAM_FACTOR) {
            true => Err(NoMemory::Team),
            false => Ok(()),
        }
    }
}

impl Drop for ShardMemory {
    fn drop(&mut self) {
        let mut shards = self.budget.lock();
        shards.used.remove(&self.id);
        shards.reserved.remove(&self.id);
    }
}
