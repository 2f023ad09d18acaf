//! What the HTTP servers share.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use eyre::WrapErr;
use slog::Discard;
use slog::Logger;
use slog::o;

use crate::context::Context;

/// Starts a server. A handler whose client has gone runs to its end, because the work that it sent
/// to a target goes on as well.
pub(crate) fn serve(
    api: ApiDescription<Arc<Context>>,
    cx: &Arc<Context>,
    address: SocketAddr,
    max_body: usize,
) -> eyre::Result<HttpServer<Arc<Context>>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: max_body,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, Arc::clone(cx), Logger::root(Discard, o!()))
        .config(config)
        .start()
        .wrap_err_with(|| format!("can't listen on {address}"))
}
