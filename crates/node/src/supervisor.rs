//! Keeps the background tasks running that a process can't do without.

use std::time::Duration;

/// The delay before a task that panicked starts again, so that one that panics at once doesn't take
/// the whole processor time.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task in the background, and starts it again if it panics. Without this, an unexpected error
/// in one of these tasks would leave a process that seems to work, but, for example, notices no
/// change of the configuration any more.
pub(crate) fn spawn<F>(name: &'static str, mut start: impl FnMut() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            log::error!(task = name, error:display; "background_task_failed");
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}
