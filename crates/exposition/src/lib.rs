//! Metrics over HTTP in the Prometheus text format.

mod recorder;

use std::net::SocketAddr;

use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::endpoint;
use eyre::WrapErr;
use eyre::eyre;
use http::Response;
use http::header::CONTENT_TYPE;
use slog::Discard;
use slog::Logger;
use slog::o;

pub use crate::recorder::MetricsHandle;

/// Installs the recorder of the process.
///
/// # Errors
///
/// Fails when a recorder is installed already.
pub fn install() -> eyre::Result<MetricsHandle> {
    let handle = MetricsHandle::default();
    metrics::set_global_recorder(handle.clone())
        .map_err(|_| eyre!("a metrics recorder is installed already"))?;
    Ok(handle)
}

/// Serves the metrics and returns the address. The server ends with the process.
///
/// # Errors
///
/// Fails when the address is not free.
pub async fn serve(handle: MetricsHandle, address: SocketAddr) -> eyre::Result<SocketAddr> {
    let mut api = ApiDescription::new();
    api.register(show).map_err(|e| eyre!("metrics: {e}"))?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    let server: HttpServer<MetricsHandle> =
        ServerBuilder::new(api, handle, Logger::root(Discard, o!()))
            .config(config)
            .start()
            .wrap_err_with(|| format!("can't listen on {address}"))?;
    let local = server.local_addr();
    tokio::spawn(server);
    Ok(local)
}

/// Shows the metrics.
#[endpoint { method = GET, path = "/metrics" }]
async fn show(rqctx: RequestContext<MetricsHandle>) -> Result<Response<Body>, HttpError> {
    let text = rqctx.context().render();
    Response::builder()
        .header(CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(text.into())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}
