use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::HttpWorkers;
use lavenderhollow_platform::LeaseBody;
use lavenderhollow_platform::LeaseRef;
use lavenderhollow_platform::StartTask;
use lavenderhollow_platform::TaskAnswer;
use lavenderhollow_platform::WorkerError;
use lavenderhollow_platform::WorkerLimits;
use lavenderhollow_platform::WorkerRefusalKind;
use lavenderhollow_platform::WorkerService;
use lavenderhollow_testing::standin::ControlClient;
use lavenderhollow_testing::standin::WorkerSettings;
use lavenderhollow_testing::standin::WorkerStandIn;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RequestId;

pub(crate) fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(crate) fn client() -> HttpClient {
    HttpClient::new(Duration::from_millis(500), 8)
}

/// A worker and one entry that calls it.
pub(crate) struct Setup {
    pub(crate) worker: WorkerStandIn,
    pub(crate) control: ControlClient,
    pub(crate) calls: HttpWorkers,
    pub(crate) holder: Incarnation,
}

impl Setup {
    pub(crate) fn new() -> eyre::Result<Self> {
        let worker = WorkerStandIn::start(local(), local(), WorkerSettings::default())?;
        Ok(Self {
            control: ControlClient::new(worker.control()),
            worker,
            calls: HttpWorkers::new(client(), WorkerLimits::default()),
            holder: Incarnation::random(),
        })
    }

    pub(crate) async fn lease(&self, seconds: f64) -> Result<LeaseRef, WorkerError> {
        let body = LeaseBody {
            holder: self.holder,
            seconds: Duration::from_secs_f64(seconds),
        };
        let answer = self.calls.lease(self.worker.address(), body).await?;
        Ok(answer.lease)
    }

    pub(crate) async fn start(&self, task: StartTask) -> Result<TaskAnswer, WorkerError> {
        let limit = Duration::from_secs(2);
        self.calls.start(self.worker.address(), task, limit).await
    }

    /// Starts a task in the background.
    pub(crate) fn spawn(
        &self,
        task: StartTask,
    ) -> tokio::task::JoinHandle<Result<TaskAnswer, WorkerError>> {
        let (calls, address) = (self.calls.clone(), self.worker.address());
        tokio::spawn(async move { calls.start(address, task, Duration::from_secs(5)).await })
    }

    pub(crate) async fn runs(&self, request: RequestId) -> eyre::Result<u32> {
        let runs = self.control.runs().await?.runs;
        Ok(runs.get(&request).copied().unwrap_or(0))
    }
}

pub(crate) fn task(lease: LeaseRef, run_ms: u64) -> StartTask {
    StartTask {
        request: RequestId::random(),
        attempt: AttemptId::random(),
        lease,
        run_time: Duration::from_millis(run_ms),
        saved: Duration::ZERO,
        trace: None,
        body: Bytes::from_static(b"renewal 4711"),
    }
}

pub(crate) fn refusal<T>(result: &Result<T, WorkerError>) -> Option<WorkerRefusalKind> {
    match result {
        Err(WorkerError::Refused(refusal)) => Some(refusal.kind),
        _ => None,
    }
}

pub(crate) async fn sleep_ms(time: u64) {
    tokio::time::sleep(Duration::from_millis(time)).await;
}
