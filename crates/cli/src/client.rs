//! The HTTP client for the operator API of the entry VMs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use lavenderhollow_http::CallError;
use lavenderhollow_http::CallLimits;
use lavenderhollow_http::HttpClient;
use lavenderhollow_node::StatusView;
use lavenderhollow_node::SwitchUpdate;
use lexopt::Parser;
use lexopt::ValueExt;
use tokio::runtime::Runtime;

use crate::exit::Code;
use crate::exit::Failure;
use crate::input::read_text;

/// The help text of [`ClientOptions`].
pub(crate) const OPTIONS_HELP: &str = "\
  --entry ADDRESS      the operator address of an entry VM; may be repeated, and the first that
                       can be reached is used (default: LAVENDERHOLLOW_ENTRIES, separated by commas)
  --token-file FILE    the file with the operator token
                       (default: LAVENDERHOLLOW_TOKEN_FILE)
";

const ENTRIES_ENV: &str = "LAVENDERHOLLOW_ENTRIES";
const TOKEN_FILE_ENV: &str = "LAVENDERHOLLOW_TOKEN_FILE";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const CALL_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(10),
    max_body: 16 << 20,
};

/// The options that all commands that call the operator API share.
#[derive(Debug, Default)]
pub(crate) struct ClientOptions {
    entries: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
}

impl ClientOptions {
    /// Parses the long option `name`, which the command itself does not have.
    ///
    /// # Errors
    ///
    /// Fails when the option is unknown or its value is malformed.
    pub(crate) fn parse_option(&mut self, name: &str, parser: &mut Parser) -> eyre::Result<()> {
        match name {
            "entry" => self.entries.push(parser.value()?.parse()?),
            "token-file" => self.token_file = Some(parser.value()?.into()),
            _ => return Err(lexopt::Error::UnexpectedOption(format!("--{name}")).into()),
        }
        Ok(())
    }

    /// Creates the client, with the environment variables as defaults.
    pub(crate) fn into_client(mut self) -> eyre::Result<Client> {
        if self.entries.is_empty()
            && let Ok(list) = std::env::var(ENTRIES_ENV)
        {
            for entry in list.split(',') {
                let address = entry.trim().parse();
                let address = address.wrap_err_with(|| {
                    format!("{ENTRIES_ENV}: {entry:?} is not an address of the form IP:PORT")
                })?;
                self.entries.push(address);
            }
        }
        let usage_error = |message: String| Failure::new(Code::Usage, message);
        if self.entries.is_empty() {
            return Err(
                usage_error(format!("no entry address: use --entry or {ENTRIES_ENV}")).into(),
            );
        }
        let from_env = || std::env::var_os(TOKEN_FILE_ENV).map(PathBuf::from);
        let file = self.token_file.or_else(from_env);
        let file = file.ok_or_else(|| {
            usage_error(format!(
                "no operator token: use --token-file or {TOKEN_FILE_ENV}"
            ))
        })?;
        Ok(Client {
            token: read_text(&file)?.trim().to_owned(),
            entries: self.entries,
            http: HttpClient::new(CONNECT_TIMEOUT, 1),
            runtime: Runtime::new().wrap_err("can't start the runtime")?,
        })
    }
}

/// A client of the operator API.
pub(crate) struct Client {
    entries: Vec<SocketAddr>,
    token: String,
    http: HttpClient,
    runtime: Runtime,
}

impl Client {
    pub(crate) fn status(&self) -> eyre::Result<StatusView> {
        let (status, body) = self.call(&Method::GET, "/v1/status", &Bytes::new())?;
        if status != StatusCode::OK {
            return Err(response_failure(status, &body).into());
        }
        serde_json::from_slice(&body).wrap_err("can't decode the response of the entry")
    }

    pub(crate) fn set_automatic(&self, switch: SwitchUpdate) -> eyre::Result<()> {
        let body = serde_json::to_vec(&switch)?;
        let (status, response) = self.call(&Method::PUT, "/v1/automatic", &body.into())?;
        match status {
            StatusCode::OK => Ok(()),
            _ => Err(response_failure(status, &response).into()),
        }
    }

    /// Calls the entries in turn until one can be reached. A request that may have been sent is not
    /// repeated at another entry.
    fn call(&self, method: &Method, path: &str, body: &Bytes) -> eyre::Result<(StatusCode, Bytes)> {
        let mut errors = Vec::new();
        for entry in &self.entries {
            let request = Request::builder()
                .method(method.clone())
                .uri(format!("http://{entry}{path}"))
                .header(AUTHORIZATION, format!("Bearer {}", self.token))
                .header(CONTENT_TYPE, "application/json")
                .body(body.clone())?;
            let response = self.runtime.block_on(self.http.call(request, CALL_LIMITS));
            match response {
                Ok(response) => return Ok((response.status(), response.into_body())),
                Err(CallError::NotSent { detail }) => errors.push(format!("{entry}: {detail}")),
                Err(error) => {
                    let message = format!("no response from {entry}: {error}");
                    return Err(Failure::new(Code::OutcomeUnknown, message).into());
                }
            }
        }
        let message = format!("can't connect to any entry: {}", errors.join("; "));
        Err(Failure::new(Code::Failed, message).into())
    }
}

/// Converts an error response to a failure. Only with status 504, when the entry itself got no
/// response in time, is it unknown whether a change took effect.
fn response_failure(status: StatusCode, body: &Bytes) -> Failure {
    let code = match status {
        StatusCode::GATEWAY_TIMEOUT => Code::OutcomeUnknown,
        _ if status.is_client_error() => Code::Rejected,
        _ => Code::Failed,
    };
    let json = serde_json::from_slice::<serde_json::Value>(body).ok();
    let message = json.as_ref().and_then(|d| d.get("message")?.as_str());
    let text = String::from_utf8_lossy(body);
    let message = message.unwrap_or(&text);
    Failure::new(code, format!("the entry returned {status}: {message}"))
}
