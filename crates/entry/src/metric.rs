//! Names of the metrics; docs/operators.md lists their meanings.

/// Requests answered, by `verdict` and `kind`.
pub(crate) const REQUESTS: &str = "requests_total";
/// Attempts sent to targets.
pub(crate) const ATTEMPTS: &str = "attempts_total";
/// Answers that matched no open attempt or were not whole, by `reason`.
pub(crate) const DROPPED_ANSWERS: &str = "dropped_answers_total";
/// Seconds from the arrival of a request to its answer, by `queue`.
pub(crate) const LATENCY: &str = "request_seconds";
/// Requests that run now.
pub(crate) const RUNNING: &str = "running";
/// Requests that wait now.
pub(crate) const WAITING: &str = "waiting";
/// Open targets, by `pool`.
pub(crate) const OPEN_TARGETS: &str = "open_targets";
/// The version of the configuration in force.
pub(crate) const CONFIG_VERSION: &str = "config_version";
/// Seconds since the configuration was confirmed to be the newest.
pub(crate) const CONFIG_AGE: &str = "config_age_seconds";
/// Records read from the log, by `stream` and `outcome`.
pub(crate) const RECORDS: &str = "log_records_total";
/// Failed calls of the log, by `call`.
pub(crate) const LOG_ERRORS: &str = "log_errors_total";
/// Failed calls of peers.
pub(crate) const PEER_ERRORS: &str = "peer_errors_total";
/// Bytes sent to peers.
pub(crate) const PEER_BYTES: &str = "peer_sent_bytes_total";
/// Failed reads of the VM list.
pub(crate) const LIST_ERRORS: &str = "vm_list_errors_total";
/// Failed lease calls to workers.
pub(crate) const LEASE_ERRORS: &str = "lease_errors_total";
/// Durable jobs, by `event`.
pub(crate) const JOBS: &str = "jobs_total";
/// Drain steps taken, by `step`.
pub(crate) const DRAINS: &str = "drain_steps_total";
