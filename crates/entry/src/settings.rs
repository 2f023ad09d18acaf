//! The settings of an entry process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lavenderhollow_config::KeyHash;
use lavenderhollow_config::ParseError;
use lavenderhollow_config::Problem;
use lavenderhollow_config::parse;
use lavenderhollow_types::EntryName;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// The shortest peer secret that is accepted, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// How often a lease is renewed within its length.
const PROBES_PER_LEASE: u32 = 6;

/// The shortest worker lease. A lease is renewed after a third of it, so that a shorter one would
/// lapse on a slow call.
const MIN_LEASE: Duration = Duration::from_millis(500);

/// Where the process listens. Port 0 takes a free port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for peers; the VM list names it for this VM.
    pub peers: SocketAddr,
    /// The address that serves metrics.
    pub metrics: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the log service.
    pub log: SocketAddr,
    /// The address of the VM list.
    pub vms: SocketAddr,
}

/// Where finished spans go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Traces {
    /// Spans are dropped.
    #[default]
    Off,
    /// Each span is a line of JSON in the log on standard error.
    Log,
    /// Each span is a line of JSON in a file.
    File(PathBuf),
}

/// The settings of an entry process.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the entry VM, as the VM list has it.
    pub name: EntryName,
    /// The availability zone of the entry VM.
    pub zone: ZoneName,
    /// Where the process listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// The pool that the VM list has entry VMs in.
    #[serde(default = "default_entry_pool")]
    pub entry_pool: PoolName,
    /// The SHA-256 hash of the operators' token.
    pub operator_token: KeyHash,
    /// The secret that entries of a deployment authenticate messages with.
    pub peer_secret: String,
    /// How old a confirmation of the configuration may be for keyed work, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "staleness_bound_ms", default = "default_staleness")]
    pub staleness_bound: Duration,
    /// The length of worker leases, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms", default = "default_lease")]
    pub lease: Duration,
    /// How often workers are probed and their leases renewed, in milliseconds; a sixth of the lease
    /// if it is not set.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "probe_ms", default)]
    pub probe: Option<Duration>,
    /// How often peers are asked, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_ms", default = "default_heartbeat")]
    pub heartbeat: Duration,
    /// How often the VM list is read, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "list_interval_ms", default = "default_list_interval")]
    pub list_interval: Duration,
    /// How long the platform's log keeps records, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "log_retention_ms", default = "default_retention")]
    pub log_retention: Duration,
    /// How long a shutdown waits for open requests, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "shutdown_limit_ms", default = "default_shutdown")]
    pub shutdown_limit: Duration,
    /// The largest request body that is taken, in bytes.
    #[serde(default = "default_body")]
    pub max_body_bytes: usize,
    /// Where finished spans go.
    #[serde(default)]
    pub traces: Traces,
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Fails with every value that can't be used.
    pub fn from_text(text: &str) -> Result<Self, ParseError> {
        let settings: Self = parse(text)?;
        let problems = settings.problems();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(ParseError::Problems { problems })
        }
    }

    /// Returns how often workers are probed and their leases renewed.
    pub fn probe(&self) -> Duration {
        self.probe.unwrap_or(self.lease / PROBES_PER_LEASE)
    }

    fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if self.peer_secret.len() < MIN_SECRET_BYTES {
            let allowed = format!("at least {MIN_SECRET_BYTES} bytes");
            problems.push(Problem::new("peer_secret", &"(hidden)", allowed));
        }
        if self.lease < MIN_LEASE {
            let allowed = format!("at least {}", MIN_LEASE.as_millis());
            problems.push(Problem::new("lease_ms", &self.lease.as_millis(), allowed));
        }
        let positive = [
            ("staleness_bound_ms", self.staleness_bound),
            ("heartbeat_ms", self.heartbeat),
            ("list_interval_ms", self.list_interval),
            ("log_retention_ms", self.log_retention),
        ];
        for (field, value) in positive {
            if value.is_zero() {
                problems.push(Problem::new(field, &0, "1 or more"));
            }
        }
        let probe = self.probe();
        if probe.is_zero() || probe * 3 > self.lease {
            let allowed = "at most a third of lease_ms";
            problems.push(Problem::new("probe_ms", &probe.as_millis(), allowed));
        }
        if self.heartbeat * 2 > self.staleness_bound {
            let allowed = "at most half of staleness_bound_ms";
            problems.push(Problem::new(
                "heartbeat_ms",
                &self.heartbeat.as_millis(),
                allowed,
            ));
        }
        problems
    }
}

fn default_entry_pool() -> PoolName {
    PoolName::new("entries").expect("the default name is valid")
}

fn default_staleness() -> Duration {
    Duration::from_secs(5)
}

fn default_lease() -> Duration {
    Duration::from_secs(6)
}

fn default_heartbeat() -> Duration {
    Duration::from_secs(1)
}

fn default_list_interval() -> Duration {
    Duration::from_secs(1)
}

fn default_retention() -> Duration {
    Duration::from_hours(24)
}

fn default_shutdown() -> Duration {
    Duration::from_secs(60)
}

fn default_body() -> usize {
    1 << 20
}
