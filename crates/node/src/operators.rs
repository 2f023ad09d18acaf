//! The HTTP server for operators: metrics, status, and the switches of automatic actions.

use std::net::Ipv4Addr;
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
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::automatic::FleetAction;
use crate::connection_limit::ConnectionLimit;
use crate::current_config::CurrentConfig;
use crate::evacuation::EvacuatedZones;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::router::RequestError;
use crate::router::Router;
use crate::shard_id::ShardId;
use crate::status::PoolView;
use crate::status::StatusView;

/// The timeout of a request to the owner of the fleet shard to set a switch. It is longer than the
/// time for which a shard has no owner after a process is lost.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeout of a status request to the owner of the fleet shard. It is short because operators
/// also need the rest of the status while that shard has no owner.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// The most connections of operators and of collectors of metrics: some of each, every few seconds.
const MAX_CONNECTIONS: usize = 16;

/// The file descriptors that the connections take: each is relayed on another one.
pub const OPERATOR_FDS: usize = 3 * MAX_CONNECTIONS;

/// How long a connection may last, longer than the slowest command. A flood's connection ends after it.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(30);

/// The delay before the next connection is accepted after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The state shared by the request handlers.
pub(crate) struct OperatorContext {
    pub(crate) metrics: MetricsHandle,
    pub(crate) router: Arc<Router>,
    pub(crate) current_config: Arc<CurrentConfig>,
    pub(crate) evacuated: Arc<EvacuatedZones>,
    pub(crate) clock: Arc<dyn Clock>,
    /// The highest [age](CurrentConfig::age) of the configuration for requests that need a key.
    pub(crate) max_config_age: Duration,
    /// The hash of the operators' token; without one, only metrics are served.
    pub(crate) token: Option<KeyHash>,
}

/// The JSON body that changes the switch of an automatic action, and the response to it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Switch", expecting = "struct Switch")]
#[serde(deny_unknown_fields)]
pub struct SwitchUpdate {
    /// The action; absent for the switch for all actions.
    #[serde(default)]
    pub action: Option<FleetAction>,
    /// Whether the switch is on.
    pub on: bool,
}

type Request = RequestContext<OperatorContext>;

/// Starts the HTTP server for operators, which runs until the process ends.
///
/// # Errors
///
/// Returns an error if the process can't listen on the address, for example because it is in
/// use.
pub(crate) async fn serve(context: OperatorContext, address: SocketAddr) -> eyre::Result<()> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(show_metrics)
        .and_then(|()| api.register(show_status))
        .and_then(|()| api.register(set_automatic));
    registered.map_err(|e| eyre!("can't register the endpoints for operators: {e}"))?;
    let listen_error = || format!("can't listen for operators on {address}");
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(listen_error)?;
    // dropshot does not limit its connections, so that it gets them only from the relay.
    let config = ConfigDropshot {
        bind_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        ..ConfigDropshot::default()
    };
    let server: HttpServer<OperatorContext> =
        ServerBuilder::new(api, context, Logger::root(Discard, o!()))
            .config(config)
            .start()
            .wrap_err_with(listen_error)?;
    tokio::spawn(relay_connections(listener, server.local_addr()));
    tokio::spawn(server);
    Ok(())
}

/// Relays at most [`MAX_CONNECTIONS`] connections to the HTTP server at an address. A new connection takes
/// the place of the oldest.
async fn relay_connections(listener: TcpListener, server: SocketAddr) {
    let mut connections = ConnectionLimit::new(MAX_CONNECTIONS);
    loop {
        let mut stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:display; "accept_failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if connections.make_room() {
            metrics::counter!("connections_refused_total", "reason" => "operators").increment(1);
        }
        let relayed = tokio::spawn(async move {
            let relay = async {
                let mut upstream = TcpStream::connect(server).await?;
                tokio::io::copy_bidirectional(&mut stream, &mut upstream).await
            };
            match tokio::time::timeout(MAX_CONNECTION_TIME, relay).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => log::debug!(error:display; "operator_connection_failed"),
                Err(_) => log::debug!("operator_connection_expired"),
            }
        });
        connections.add(relayed.abort_handle());
    }
}

/// Returns the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn show_metrics(rqctx: Request) -> Result<Response<Body>, HttpError> {
    let text = rqctx.context().metrics.render();
    Response::builder()
        .header(CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(text.into())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Returns the status of the deployment as known to this process, in JSON.
#[endpoint { method = GET, path = "/v1/status" }]
async fn show_status(rqctx: Request) -> Result<Response<Body>, HttpError> {
    check_token(&rqctx)?;
    let view = status_view(rqctx.context()).await;
    let internal = |detail: String| HttpError::for_internal_error(detail);
    let body = serde_json::to_vec(&view).map_err(|e| internal(e.to_string()))?;
    Response::builder()
        .header(CONTENT_TYPE, "application/json")
        .body(body.into())
        .map_err(|e| internal(e.to_string()))
}

/// Sets the switch of an automatic action, and responds once the change is stored.
#[endpoint { method = PUT, path = "/v1/automatic" }]
async fn set_automatic(
    rqctx: Request,
    body: TypedBody<SwitchUpdate>,
) -> Result<HttpResponseOk<SwitchUpdate>, HttpError> {
    check_token(&rqctx)?;
    let context = rqctx.context();
    let update = body.into_inner();
    let request = ShardRequest::SetSwitch {
        action: update.action,
        on: update.on,
    };
    let deadline = context.clock.now() + SWITCH_TIMEOUT;
    let response = context
        .router
        .send(ShardId::FLEET, &request, deadline)
        .await;
    match response {
        Ok(ShardResponse::Accepted) => Ok(HttpResponseOk(update)),
        Err(RequestError::OwnerUnreachable | RequestError::OwnerUnresponsive { .. }) => {
            Err(HttpError::for_unavail(
                None,
                "no owner of the fleet shard was reached; nothing was changed".to_owned(),
            ))
        }
        Ok(_) | Err(RequestError::OutcomeUnknown) => Err(outcome_unknown_error(
            "the owner of the fleet shard gave no answer; repeat the command, the switch may be \
             turned already",
        )),
    }
}

/// Checks the `Authorization` header against the operators' token.
fn check_token(rqctx: &Request) -> Result<(), HttpError> {
    let client_error = |status: ClientErrorStatusCode, message: &str| {
        HttpError::for_client_error(None, status, message.to_owned())
    };
    let Some(expected) = rqctx.context().token else {
        let message = "this process has no operator token, so that it takes no commands";
        return Err(client_error(ClientErrorStatusCode::FORBIDDEN, message));
    };
    let header = rqctx.request.headers().get(AUTHORIZATION);
    let token = header.and_then(|v| v.to_str().ok()?.strip_prefix("Bearer "));
    if token.is_none_or(|token| Key::from_text(token).hash() != expected) {
        let message = "the operator token is missing or wrong";
        return Err(client_error(ClientErrorStatusCode::UNAUTHORIZED, message));
    }
    Ok(())
}

/// Returns the error for a request that may have been carried out.
fn outcome_unknown_error(message: &str) -> HttpError {
    HttpError {
        status_code: ErrorStatusCode::GATEWAY_TIMEOUT,
        error_code: None,
        external_message: message.to_owned(),
        internal_message: message.to_owned(),
        headers: None,
    }
}

/// Collects the status, of which the fleet's part comes from the owner of the fleet shard.
async fn status_view(context: &OperatorContext) -> StatusView {
    let now = context.clock.now();
    let request = ShardRequest::FleetStatus;
    let response = context
        .router
        .send(ShardId::FLEET, &request, now + STATUS_TIMEOUT);
    let fleet = match response.await {
        Ok(ShardResponse::Fleet(view)) => Some(*view),
        other => {
            log::info!(answer:? = other; "fleet_status_unavailable");
            None
        }
    };
    let config = context.current_config.load();
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
    let age = context.current_config.age(now);
    StatusView {
        vm: Arc::clone(&context.router.me.vm),
        version: config.version,
        config_age: age.map(|age| age.as_secs_f64()),
        takes_keyed: config.version > 0
            && context.current_config.is_fresh(now, context.max_config_age),
        members: cluster.members().map(|m| Arc::clone(&m.vm)).collect(),
        pools: pools.collect(),
        fleet,
        evacuated: (*context.evacuated.load()).clone(),
    }
}
