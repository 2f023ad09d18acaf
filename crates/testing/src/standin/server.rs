//! What the stand-ins' servers share.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use dropshot::ServerContext;
use eyre::WrapErr;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use slog::Discard;
use slog::Logger;
use slog::o;

pub(super) type Answer = Result<Response<Body>, HttpError>;

/// The largest accepted body of a request, in bytes.
pub(super) const MAX_BODY: usize = 8 << 20;

/// Starts a server. Handlers run to their end when the client has gone, as the work of a real
/// service does.
pub(super) fn serve<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    address: SocketAddr,
) -> eyre::Result<HttpServer<C>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, Logger::root(Discard, o!()))
        .config(config)
        .start()
        .wrap_err_with(|| format!("listening on {address}"))
}

/// Answers with JSON.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let bytes = serde_json::to_vec(value).map_err(|e| internal(&e))?;
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(bytes.into())
        .map_err(|e| internal(&e))
}

/// Answers with a status alone.
pub(super) fn empty(status: StatusCode) -> Answer {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    Ok(response)
}

/// A body that breaks the connection after its first part.
struct BrokenBody {
    part: Option<Bytes>,
}

impl hyper::body::Body for BrokenBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Poll::Ready(Some(match self.part.take() {
            Some(part) => Ok(Frame::data(part)),
            None => Err(io::Error::other("broken as the faults demand")),
        }))
    }
}

/// Breaks the connection after `sent`, before the body is complete.
pub(super) fn broken(sent: Bytes) -> Response<Body> {
    Response::new(Body::wrap(BrokenBody { part: Some(sent) }))
}

pub(super) fn internal(error: &dyn std::error::Error) -> HttpError {
    HttpError::for_internal_error(error.to_string())
}

/// Returns settings with the fields of a JSON object replaced.
///
/// # Errors
///
/// Fails when the patch is not an object, or names an unknown field, or a value doesn't fit.
pub fn patched<T: Serialize + DeserializeOwned>(settings: &T, patch: &[u8]) -> eyre::Result<T> {
    let mut value = serde_json::to_value(settings)?;
    let patch: serde_json::Map<String, Value> = serde_json::from_slice(patch)?;
    let Value::Object(fields) = &mut value else {
        eyre::bail!("settings are not an object");
    };
    fields.extend(patch);
    Ok(serde_json::from_value(value)?)
}

pub(super) fn bad_request(error: &dyn std::fmt::Display) -> HttpError {
    HttpError::for_bad_request(None, error.to_string())
}
