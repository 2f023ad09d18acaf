//! Tests of entries in this process against stand-ins of the platform on loopback.

mod support;
mod test_bad_input;
mod test_limits;
mod test_log_outage;
mod test_pools;
mod test_settings;
mod test_shutdown;
mod test_verdicts;
