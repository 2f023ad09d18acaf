//! The operators' interface of a process: metrics, status, and the switches of automatic actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ClientErrorStatusCode;
use dropshot::ConfigDropshot;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::TypedBody;
use dropshot::endpoint;
use eyre::WrapErr;
use eyre::eyre;
use http::Response;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use lavenderhollow_config::Key;
use lavenderhollow_config::KeyHash;
use lavenderhollow_exposition::MetricsHandle;
use lavenderhollow_shard::Name;
use lavenderhollow_types::Clock;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use slog::Discard;
use slog::Logger;
use slog::o;

use crate::automatic::AutomaticAction;
use crate::current_config::CurrentConfig;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::router::RequestError;
use crate::router::Router;
use crate::shard_id::ShardId;
use crate::status::PoolView;
use crate::status::StatusView;

/// How long the owner of the fleet shard is asked for a command: longer than a shard is without an
/// owner after a process is lost.
const COMMAND_LIMIT: Duration = Duration::from_secs(5);

/// How long it is asked for what it shows. Status is also wanted while there is no owner.
const VIEW_LIMIT: Duration = Duration::from_secs(1);

/// What the interface works with.
pub(crate) struct OperatorContext {
    pub(crate) metrics: MetricsHandle,
    pub(crate) router: Arc<Router>,
    pub(crate) current: Arc<CurrentConfig>,
    pub(crate) clock: Arc<dyn Clock>,
    /// How old the configuration may be for work with a key.
    pub(crate) max_config_age: Duration,
    /// The hash of the operators' token; without one only metrics are served.
    pub(crate) token: Option<KeyHash>,
}

/// A change of the switches of automatic actions.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SwitchUpdate {
    /// The action; absent for the switch of all actions.
    #[serde(default)]
    pub action: Option<AutomaticAction>,
    /// Whether the switch is on.
    pub on: bool,
}

type Request = RequestContext<OperatorContext>;

/// Serves operators until the process ends.
///
/// # Errors
///
/// Fails when the address is not free.
pub(crate) async fn serve(context: OperatorContext, address: SocketAddr) -> eyre::Result<()> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(show_metrics)
        .and_then(|()| api.register(show_status))
        .and_then(|()| api.register(set_automatic));
    registered.map_err(|e| eyre!("the operators' interface: {e}"))?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    let server: HttpServer<OperatorContext> =
        ServerBuilder::new(api, context, Logger::root(Discard, o!()))
            .config(config)
            .start()
            .wrap_err_with(|| format!("can't listen on {address}"))?;
    tokio::spawn(server);
    Ok(())
}

/// Shows the metrics.
#[endpoint { method = GET, path = "/metrics" }]
async fn show_metrics(rqctx: Request) -> Result<Response<Body>, HttpError> {
    let text = rqctx.context().metrics.render();
    Response::builder()
        .header(CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(text.into())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Shows what this process knows about the deployment.
#[endpoint { method = GET, path = "/v1/status" }]
async fn show_status(rqctx: Request) -> Result<Response<Body>, HttpError> {
    check_token(&rqctx)?;
    let view = view_of(rqctx.context()).await;
    let internal = |detail: String| HttpError::for_internal_error(detail);
    let body = serde_json::to_vec(&view).map_err(|e| internal(e.to_string()))?;
    Response::builder()
        .header(CONTENT_TYPE, "application/json")
        .body(body.into())
        .map_err(|e| internal(e.to_string()))
}

/// Turns the switch of an automatic action.
#[endpoint { method = PUT, path = "/v1/automatic" }]
async fn set_automatic(
    rqctx: Request,
    body: TypedBody<SwitchUpdate>,
) -> Result<HttpResponseOk<SwitchUpdate>, HttpError> {
    check_token(&rqctx)?;
    let context = rqctx.context();
    let switch = body.into_inner();
    let request = ShardRequest::SetSwitch {
        action: switch.action,
        on: switch.on,
    };
    let deadline = context.clock.now() + COMMAND_LIMIT;
    let answer = context
        .router
        .send(ShardId::FLEET, &request, deadline)
        .await;
    match answer {
        Ok(ShardResponse::Accepted) => Ok(HttpResponseOk(switch)),
        Err(RequestError::OwnerUnreachable) => Err(HttpError::for_unavail(
            None,
            "no owner of the fleet shard was reached; nothing was changed".to_owned(),
        )),
        Ok(_) | Err(RequestError::OutcomeUnknown) => Err(doubt(
            "the owner of the fleet shard gave no answer; repeat the command, the switch may be \
             turned already",
        )),
    }
}

fn check_token(rqctx: &Request) -> Result<(), HttpError> {
    let refuse = |status: ClientErrorStatusCode, message: &str| {
        HttpError::for_client_error(None, status, message.to_owned())
    };
    let Some(expected) = rqctx.context().token else {
        let message = "this process has no operator token, so that it takes no commands";
        return Err(refuse(ClientErrorStatusCode::FORBIDDEN, message));
    };
    let header = rqctx.request.headers().get(AUTHORIZATION);
    let token = header.and_then(|v| v.to_str().ok()?.strip_prefix("Bearer "));
    if token.is_none_or(|token| Key::from_text(token).hash() != expected) {
        let message = "the operator token is missing or wrong";
        return Err(refuse(ClientErrorStatusCode::UNAUTHORIZED, message));
    }
    Ok(())
}

/// Says that a command may have been carried out.
fn doubt(message: &str) -> HttpError {
    HttpError {
        status_code: ErrorStatusCode::GATEWAY_TIMEOUT,
        error_code: None,
        external_message: message.to_owned(),
        internal_message: message.to_owned(),
        headers: None,
    }
}

async fn view_of(context: &OperatorContext) -> StatusView {
    let now = context.clock.now();
    let asked = ShardRequest::FleetStatus;
    let reply = context
        .router
        .send(ShardId::FLEET, &asked, now + VIEW_LIMIT);
    let fleet = match reply.await {
        Ok(ShardResponse::Fleet(view)) => Some(*view),
        other => {
            log::info!(answer:? = other; "fleet_not_shown");
            None
        }
    };
    let config = context.current.load();
    let cluster = context.router.cluster();
    let owner = |pool: &str| -> Option<Name> {
        let owner = cluster.owner(ShardId::of_pool(pool))?;
        (!owner.released).then(|| Arc::clone(&owner.member.vm))
    };
    let pools = config.pools.iter().map(|pool| {
        let view = PoolView {
            standby: pool.standby,
            owner: owner(&pool.name),
        };
        (Arc::clone(&pool.name), view)
    });
    let age = context.current.age(now);
    StatusView {
        vm: Arc::clone(&context.router.me.vm),
        version: config.version,
        config_age: age.map(|age| age.as_secs_f64()),
        takes_keyed: config.version > 0 && context.current.is_fresh(now, context.max_config_age),
        members: cluster.members().map(|m| Arc::clone(&m.vm)).collect(),
        pools: pools.collect(),
        fleet,
    }
}
