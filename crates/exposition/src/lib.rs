//! Metrics over HTTP in the Prometheus text format.

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
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::Discard;
use slog::Logger;
use slog::o;

/// Installs the recorder of the process.
///
/// # Errors
///
/// Fails when a recorder is installed already.
pub fn install() -> eyre::Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .install_recorder()
        .wrap_err("can't install the metrics recorder")
}

/// Serves the metrics and returns the address. The server ends with the process.
///
/// # Errors
///
/// Fails when the address is not free.
pub async fn serve(handle: PrometheusHandle, address: SocketAddr) -> eyre::Result<SocketAddr> {
    let mut api = ApiDescription::new();
    api.register(show).map_err(|e| eyre!("metrics: {e}"))?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    let server: HttpServer<PrometheusHandle> =
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
async fn show(rqctx: RequestContext<PrometheusHandle>) -> Result<Response<Body>, HttpError> {
    let text = rqctx.context().render();
    Response::builder()
        .header(CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(text.into())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}
