//! Calls to the operators' interface of the entries.

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

/// The help text of the options that every operator's command has.
pub(crate) const OPTIONS_HELP: &str = "\
  --entry ADDRESS      the operators' address of an entry; may be repeated, and the first that
                       answers is used (default: LAVENDERHOLLOW_ENTRIES, separated by commas)
  --token-file FILE    the file with the operators' token
                       (default: LAVENDERHOLLOW_TOKEN_FILE)
";

const ENTRIES_VARIABLE: &str = "LAVENDERHOLLOW_ENTRIES";
const TOKEN_VARIABLE: &str = "LAVENDERHOLLOW_TOKEN_FILE";

const CONNECT_LIMIT: Duration = Duration::from_secs(1);

const CALL_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(10),
    max_body: 16 << 20,
};

/// The options that every operator's command has.
#[derive(Debug, Default)]
pub(crate) struct ClientOptions {
    entries: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
}

impl ClientOptions {
    /// Takes a long option that the command itself does not know.
    ///
    /// # Errors
    ///
    /// Fails when these options do not know it either, or its value is malformed.
    pub(crate) fn parse_option(&mut self, name: &str, parser: &mut Parser) -> eyre::Result<()> {
        match name {
            "entry" => self.entries.push(parser.value()?.parse()?),
            "token-file" => self.token_file = Some(parser.value()?.into()),
            _ => return Err(lexopt::Error::UnexpectedOption(format!("--{name}")).into()),
        }
        Ok(())
    }

    /// Creates the client.
    pub(crate) fn into_client(mut self) -> eyre::Result<Client> {
        if self.entries.is_empty()
            && let Ok(list) = std::env::var(ENTRIES_VARIABLE)
        {
            for entry in list.split(',') {
                let address = entry.trim().parse();
                let address = address
                    .wrap_err_with(|| format!("{ENTRIES_VARIABLE}: {entry:?} is no address"))?;
                self.entries.push(address);
            }
        }
        let usage = |message: String| Failure::new(Code::Usage, message);
        if self.entries.is_empty() {
            return Err(usage(format!("no entry: use --entry or {ENTRIES_VARIABLE}")).into());
        }
        let from_variable = || std::env::var_os(TOKEN_VARIABLE).map(PathBuf::from);
        let file = self.token_file.or_else(from_variable);
        let file =
            file.ok_or_else(|| usage(format!("no token: use --token-file or {TOKEN_VARIABLE}")))?;
        Ok(Client {
            token: read_text(&file)?.trim().to_owned(),
            entries: self.entries,
            http: HttpClient::new(CONNECT_LIMIT, 1),
            runtime: Runtime::new().wrap_err("can't start the runtime")?,
        })
    }
}

/// A client of the operators' interface.
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
            return Err(failure(status, &body).into());
        }
        serde_json::from_slice(&body).wrap_err("the entry's answer can't be read")
    }

    pub(crate) fn set_automatic(&self, switch: SwitchUpdate) -> eyre::Result<()> {
        let body = serde_json::to_vec(&switch)?;
        let (status, answer) = self.call(&Method::PUT, "/v1/automatic", &body.into())?;
        match status {
            StatusCode::OK => Ok(()),
            _ => Err(failure(status, &answer).into()),
        }
    }

    /// Calls the entries in turn until one can be reached.
    fn call(&self, method: &Method, path: &str, body: &Bytes) -> eyre::Result<(StatusCode, Bytes)> {
        let mut unreached = Vec::new();
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
                Err(CallError::NotSent { detail }) => unreached.push(format!("{entry}: {detail}")),
                Err(error) => {
                    let message = format!("{entry} gave no answer: {error}");
                    return Err(Failure::new(Code::OutcomeUnknown, message).into());
                }
            }
        }
        let message = format!("no entry can be reached: {}", unreached.join("; "));
        Err(Failure::new(Code::Failed, message).into())
    }
}

/// Says what an answer without success means. Only an entry that got no answer of its own leaves
/// open whether a change took effect.
fn failure(status: StatusCode, body: &Bytes) -> Failure {
    let code = match status {
        StatusCode::GATEWAY_TIMEOUT => Code::OutcomeUnknown,
        _ if status.is_client_error() => Code::Rejected,
        _ => Code::Failed,
    };
    let document = serde_json::from_slice::<serde_json::Value>(body).ok();
    let message = document.as_ref().and_then(|d| d.get("message")?.as_str());
    let text = String::from_utf8_lossy(body);
    let message = message.unwrap_or(&text);
    Failure::new(code, format!("the entry answered {status}: {message}"))
}
