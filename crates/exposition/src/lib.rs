//! The metrics of a process, written in the Prometheus text format.

mod recorder;

use eyre::eyre;

pub use crate::recorder::MetricsHandle;

/// Installs the recorder of the process.
///
/// # Errors
///
/// Fails when a recorder is installed already.
pub fn install_recorder() -> eyre::Result<MetricsHandle> {
    let handle = MetricsHandle::default();
    metrics::set_global_recorder(handle.clone())
        .map_err(|_| eyre!("a metrics recorder is installed already"))?;
    Ok(handle)
}
