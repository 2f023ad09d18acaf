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

use crate::automatic::Action;
use crate::current::Current;
use crate::message::Question;
use crate::message::Reply;
use crate::router::AskFailure;
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
pub(crate) struct OperatorParts {
    pub(crate) metrics: MetricsHandle,
    pub(crate) router: Arc<Router>,
    pub(crate) current: Arc<Current>,
    pub(crate) clock: Arc<dyn Clock>,
    /// How old the configuration may be for work with a key.
    pub(crate) fresh: Duration,
    /// The hash of the operators' token; without one only metrics are served.
    pub(crate) token: Option<KeyHash>,
}

/// A change of the switches of automatic actions.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Switch {
    /// The action; absent for the switch of all actions.
    #[serde(default)]
    pub action: Option<Action>,
    /// Whether the switch is on.
    pub on: bool,
}

type Request = RequestContext<OperatorParts>;

/// Serves operators until the process ends.
///
/// # Errors
///
/// Fails when the address is not free.
pub(crate) async fn serve(parts: OperatorParts, address: SocketAddr) -> eyre::Result<()> {
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
    let server: HttpServer<OperatorParts> =
        ServerBuilder::new(api, parts, Logger::root(Discard, o!()))
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
    body: TypedBody<Switch>,
) -> Result<HttpResponseOk<Switch>, HttpError> {
    check_token(&rqctx)?;
    let parts = rqctx.context();
    let switch = body.into_inner();
    let question = Question::Switch {
        action: switch.action,
        on: switch.on,
    };
    let deadline = parts.clock.now() + COMMAND_LIMIT;
    let answer = parts.router.ask(ShardId::FLEET, &question, deadline).await;
    match answer {
        Ok(Reply::Accepted) => Ok(HttpResponseOk(switch)),
        Err(AskFailure::NotDone) => Err(HttpError::for_unavail(
            None,
            "no owner of the fleet shard was reached; nothing was changed".to_owned(),
        )),
        Ok(_) | Err(AskFailure::Unknown) => Err(doubt(
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

async fn view_of(parts: &OperatorParts) -> StatusView {
    let now = parts.clock.now();
    let asked = Question::Fleet;
    let reply = parts.router.ask(ShardId::FLEET, &asked, now + VIEW_LIMIT);
    let fleet = match reply.await {
        Ok(Reply::Fleet(view)) => Some(*view),
        other => {
            log::info!(answer:? = other; "fleet_not_shown");
            None
        }
    };
    let catalog = parts.current.load();
    let roster = parts.router.roster();
    let owner = |pool: &str| -> Option<Name> {
        let owner = roster.owner(ShardId::of_pool(pool))?;
        (!owner.released).then(|| Arc::clone(&owner.member.vm))
    };
    let pools = catalog.pools.iter().map(|pool| {
        let view = PoolView {
            standby: pool.standby,
            owner: owner(&pool.name),
        };
        (Arc::clone(&pool.name), view)
    });
    let age = parts.current.age(now);
    StatusView {
        vm: Arc::clone(&parts.router.me.vm),
        version: catalog.version,
        config_age: age.map(|age| age.as_secs_f64()),
        takes_keyed: catalog.version > 0 && parts.current.is_fresh(now, parts.fresh),
        members: roster.members().map(|m| Arc::clone(&m.vm)).collect(),
        pools: pools.collect(),
        fleet,
    }
}
