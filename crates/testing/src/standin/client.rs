//! Calls to the control addresses of stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::Limits;
use lavenderhollow_platform::json_request;
use serde_json::Value;

use super::Runs;

/// Limits of a call; the largest answer is the count of runs.
const LIMITS: Limits = Limits {
    time: Duration::from_secs(5),
    body: 64 << 20,
};

/// Calls the control address of one stand-in.
#[derive(Clone, Debug)]
pub struct ControlClient {
    client: HttpClient,
    control: SocketAddr,
}

impl ControlClient {
    /// Creates a client for a control address.
    pub fn new(control: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(Duration::from_secs(1), 1),
            control,
        }
    }

    /// Changes settings; the fields that `patch` doesn't name stay.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer or refuses the patch.
    pub async fn patch(&self, patch: Value) -> eyre::Result<()> {
        let patched = self.call(Method::PATCH, "/settings", Some(&patch));
        patched.await.map(drop)
    }

    /// Returns how often a worker started a task for each request.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer or is not a worker.
    pub async fn runs(&self) -> eyre::Result<Runs> {
        let runs = self.call(Method::GET, "/runs", None).await?;
        Ok(serde_json::from_value(runs)?)
    }

    /// Sends any call, and returns the JSON of its answer or null.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer or refuses the call.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> eyre::Result<Value> {
        let request = json_request(method, self.control, path, body)?;
        let response = self.client.call(request, LIMITS).await?;
        let text = String::from_utf8_lossy(response.body());
        eyre::ensure!(
            response.status().is_success(),
            "{}: {text}",
            response.status()
        );
        match text.is_empty() {
            true => Ok(Value::Null),
            false => Ok(serde_json::from_str(&text)?),
        }
    }
}
