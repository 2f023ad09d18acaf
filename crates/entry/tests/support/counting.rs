//! Calls of workers that are counted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use lavenderhollow_platform::CheckpointAnswer;
use lavenderhollow_platform::HttpWorkers;
use lavenderhollow_platform::LeaseAnswer;
use lavenderhollow_platform::LeaseBody;
use lavenderhollow_platform::RebootBody;
use lavenderhollow_platform::StartTask;
use lavenderhollow_platform::TaskAnswer;
use lavenderhollow_platform::ThrottleBody;
use lavenderhollow_platform::UsageReport;
use lavenderhollow_platform::WorkerError;
use lavenderhollow_platform::WorkerService;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;

/// How many start calls are open, over all entries that share this count.
#[derive(Debug, Default)]
pub(crate) struct OpenStarts {
    now: AtomicU32,
    most: AtomicU32,
    longest_ms: AtomicU32,
}

impl OpenStarts {
    /// Returns the number of open calls.
    pub(crate) fn now(&self) -> u32 {
        self.now.load(Ordering::SeqCst)
    }

    /// Returns the largest number of open calls since the last reset.
    pub(crate) fn most(&self) -> u32 {
        self.most.load(Ordering::SeqCst)
    }

    /// Returns the longest run time that a call asked for.
    pub(crate) fn longest(&self) -> Duration {
        Duration::from_millis(self.longest_ms.load(Ordering::SeqCst).into())
    }

    fn begin(&self, run_time: Duration) {
        let now = self.now.fetch_add(1, Ordering::SeqCst) + 1;
        self.most.fetch_max(now, Ordering::SeqCst);
        let run_time = u32::try_from(run_time.as_millis()).unwrap_or(u32::MAX);
        self.longest_ms.fetch_max(run_time, Ordering::SeqCst);
    }

    /// Starts a new measurement of the largest number.
    pub(crate) fn reset(&self) {
        self.most.store(self.now(), Ordering::SeqCst);
    }
}

/// Calls workers over HTTP and counts the open start calls.
pub(crate) struct CountingWorkers {
    pub(crate) inner: HttpWorkers,
    pub(crate) open: Arc<OpenStarts>,
}

#[async_trait]
impl WorkerService for CountingWorkers {
    async fn lease(&self, worker: SocketAddr, body: LeaseBody) -> Result<LeaseAnswer, WorkerError> {
        self.inner.lease(worker, body).await
    }

    async fn release(&self, worker: SocketAddr, holder: Incarnation) -> Result<(), WorkerError> {
        self.inner.release(worker, holder).await
    }

    async fn start(
        &self,
        worker: SocketAddr,
        task: StartTask,
        limit: Duration,
    ) -> Result<TaskAnswer, WorkerError> {
        self.open.begin(task.run_time);
        let answer = self.inner.start(worker, task, limit).await;
        self.open.now.fetch_sub(1, Ordering::SeqCst);
        answer
    }

    async fn usage(&self, worker: SocketAddr) -> Result<UsageReport, WorkerError> {
        self.inner.usage(worker).await
    }

    async fn checkpoint(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        holder: Incarnation,
    ) -> Result<CheckpointAnswer, WorkerError> {
        self.inner.checkpoint(worker, attempt, holder).await
    }

    async fn throttle(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        body: ThrottleBody,
    ) -> Result<(), WorkerError> {
        self.inner.throttle(worker, attempt, body).await
    }

    async fn stop(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        holder: Incarnation,
    ) -> Result<(), WorkerError> {
        self.inner.stop(worker, attempt, holder).await
    }

    async fn reboot(&self, worker: SocketAddr, body: RebootBody) -> Result<(), WorkerError> {
        self.inner.reboot(worker, body).await
    }
}
