//! Records the metrics of a process and renders them in the Prometheus text format.

mod recorder;

use eyre::eyre;

pub use crate::recorder::MetricsHandle;

/// Installs the metrics recorder of the process and returns a handle to render its metrics. The
/// `node` command calls it once at startup.
///
/// # Errors
///
/// Fails when a recorder is already installed.
pub fn install_recorder() -> eyre::Result<MetricsHandle> {
    let handle = MetricsHandle::default();
    metrics::set_global_recorder(handle.clone())
        .map_err(|_| eyre!("a metrics recorder is already installed"))?;
    Ok(handle)
}
