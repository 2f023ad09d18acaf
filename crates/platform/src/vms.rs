//! The platform's lagging list of VMs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use async_trait::async_trait;
use derive_more::Display;
use derive_more::Error;
use http::Method;
use http::StatusCode;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::RackName;
use lavenderhollow_types::VmName;
use lavenderhollow_types::ZoneName;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;

use crate::CallError;
use crate::HttpClient;
use crate::Limits;
use crate::json_request;

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be removed soon.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct VmInfo {
    /// The unique name.
    pub name: VmName,
    /// The address of the VM's service.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The rack.
    pub rack: RackName,
    /// The pool that the platform has the VM in.
    pub pool: PoolName,
    /// Whether the VM stays.
    pub state: VmState,
    /// What the VM offers to work.
    #[serde(default)]
    pub size: VmSize,
}

/// What a VM offers to work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct VmSize {
    /// Processor time, in thousandths of a core.
    pub milli_cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Default for VmSize {
    /// Returns the usual size: 32 cores and 64 GiB.
    fn default() -> Self {
        Self {
            milli_cores: 32_000,
            memory_mib: 64 << 10,
            accelerators: 0,
        }
    }
}

/// The answer of `GET /vms`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct VmPage {
    /// The time that the list describes, in milliseconds since the Unix epoch.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    #[schemars(with = "i64")]
    pub as_of: SystemTime,
    /// All VMs.
    pub vms: Vec<VmInfo>,
}

/// Why the list could not be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum VmListError {
    /// The list service gave no whole answer.
    #[display("VM list unavailable: {_0}")]
    Unavailable(#[error(not(source))] CallError),
    /// The list service answered with an error status.
    #[display("VM list answered {_0}")]
    Status(#[error(not(source))] u16),
    /// The answer is not a VM list.
    #[display("VM list not readable: {_0}")]
    Invalid(#[error(not(source))] String),
}

/// The platform's list of VMs.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails when the list service gives no readable answer.
    async fn vms(&self) -> Result<VmPage, VmListError>;
}

/// Reads the list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: HttpClient,
    address: SocketAddr,
    limits: Limits,
}

impl HttpVmList {
    /// Limits for a list of 15,000 VMs of about 200 bytes each, with room to spare.
    pub const DEFAULT_LIMITS: Limits = Limits {
        time: Duration::from_secs(5),
        body: 8 << 20,
    };

    /// Creates a client for the list at `address`.
    pub fn new(client: HttpClient, address: SocketAddr, limits: Limits) -> Self {
        Self {
            client,
            address,
            limits,
        }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn vms(&self) -> Result<VmPage, VmListError> {
        let request = json_request::<()>(Method::GET, self.address, "/vms", None)
            .map_err(VmListError::Unavailable)?;
        let response = self.client.call(request, self.limits).await;
        let response = response.map_err(VmListError::Unavailable)?;
        if response.status() != StatusCode::OK {
            return Err(VmListError::Status(response.status().as_u16()));
        }
        serde_json::from_slice(response.body()).map_err(|e| VmListError::Invalid(e.to_string()))
    }
}
