use std::time::Duration;

use assert_matches::assert_matches;
use lavenderhollow_platform::LeaseBody;
use lavenderhollow_platform::RebootBody;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_platform::ThrottleBody;
use lavenderhollow_platform::WorkerError;
use lavenderhollow_platform::WorkerRefusalKind;
use lavenderhollow_platform::WorkerService;
use lavenderhollow_types::Incarnation;
use serde_json::json;

use crate::setup::Setup;
use crate::setup::refusal;
use crate::setup::sleep_ms;
use crate::setup::task;

/// Guards against a holder that wakes from a pause and starts work under a lease that has ended,
/// even when it has since been given a new one.
#[tokio::test]
async fn late_start_of_a_paused_holder_is_refused() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let old = setup.lease(0.2).await?;
    sleep_ms(250).await;
    let late = task(old, 0);
    let result = setup.start(late.clone()).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::NoLease));
    let new = setup.lease(30.0).await?;
    let result = setup.start(late.clone()).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::NoLease));
    assert_eq!(setup.runs(late.request).await?, 0);
    assert!(setup.start(task(new, 0)).await.is_ok());

    let mut forged = new;
    forged.end += Duration::from_secs(60);
    let result = setup.start(task(forged, 0)).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::NoLease));
    Ok(())
}

/// Guards against a request that waited at a paused worker and starts after its lease has ended.
#[tokio::test]
async fn start_held_by_a_paused_worker_is_refused_after_the_lease() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let lease = setup.lease(0.2).await?;
    setup.control.patch(json!({"paused": true})).await?;
    let held = task(lease, 0);
    let request = held.request;
    let start = setup.spawn(held);
    sleep_ms(300).await;
    assert!(!start.is_finished());
    setup.control.patch(json!({"paused": false})).await?;
    assert_eq!(refusal(&start.await?), Some(WorkerRefusalKind::NoLease));
    assert_eq!(setup.runs(request).await?, 0);
    Ok(())
}

/// Guards against two holders of one worker.
#[tokio::test]
async fn lease_has_one_holder() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let lease = setup.lease(0.3).await?;
    let address = setup.worker.address();
    let other = LeaseBody {
        holder: Incarnation::random(),
        seconds: Duration::from_secs(30),
    };
    let result = setup.calls.lease(address, other).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::OtherHolder));
    let renewed = setup.lease(0.3).await?;
    assert!(renewed.end >= lease.end);
    sleep_ms(350).await;
    assert!(setup.calls.lease(address, other).await.is_ok());
    let result = setup.start(task(renewed, 0)).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::OtherHolder));
    let result = setup.calls.release(address, setup.holder).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::OtherHolder));
    Ok(())
}

/// Guards against tasks that run on after their lease, when another holder may start them again.
#[tokio::test]
async fn tasks_are_dropped_when_the_lease_lapses() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let lease = setup.lease(0.2).await?;
    let answer = setup.start(task(lease, 4_000)).await?;
    assert_eq!(answer.status, TaskStatus::Dropped);
    setup.lease(30.0).await?;
    let usage = setup.calls.usage(setup.worker.address()).await?;
    assert_eq!(usage.running, []);
    Ok(())
}

/// Guards against a ninth task, a connection beyond the limit, and new work on a leaving worker.
#[tokio::test]
async fn full_and_leaving_workers_refuse() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let lease = setup.lease(30.0).await?;
    let running: Vec<_> = (0..8).map(|_| setup.spawn(task(lease, 2_000))).collect();
    sleep_ms(300).await;
    let result = setup.start(task(lease, 0)).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::NoSlot));
    setup.control.patch(json!({"connections": 8})).await?;
    let result = setup.start(task(lease, 0)).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::NoConnection));
    let patch = json!({"connections": 64, "leaving": true});
    setup.control.patch(patch).await?;
    let result = setup.start(task(lease, 0)).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::Leaving));
    for start in running {
        assert_eq!(start.await??.status, TaskStatus::Succeeded);
    }
    setup
        .calls
        .release(setup.worker.address(), setup.holder)
        .await?;
    let result = setup.lease(1.0).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::Leaving));
    Ok(())
}

/// Guards against a reboot that cuts work, and against one that is not noticed.
#[tokio::test]
async fn reboot_waits_for_tasks_and_comes_back() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let (address, holder) = (setup.worker.address(), setup.holder);
    let first = RebootBody { holder, boots: 0 };
    let lease = setup.lease(30.0).await?;
    let start = setup.spawn(task(lease, 300));
    sleep_ms(100).await;
    let result = setup.calls.reboot(address, first).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::Busy));
    assert_eq!(start.await??.status, TaskStatus::Succeeded);
    setup.calls.reboot(address, first).await?;
    sleep_ms(150).await;
    let result = setup.start(task(lease, 0)).await;
    assert_matches!(result, Err(WorkerError::NotSent(_)));
    for _ in 0..50 {
        sleep_ms(100).await;
        if let Ok(usage) = setup.calls.usage(address).await {
            assert_eq!((usage.boots, usage.lease), (1, None));
            // The same request again, as a repeat that arrives late.
            let result = setup.calls.reboot(address, first).await;
            assert_eq!(refusal(&result), Some(WorkerRefusalKind::Invalid));
            return Ok(());
        }
    }
    eyre::bail!("the worker did not come back");
}

/// Guards against task actions without effect or by others than the holder.
#[tokio::test]
async fn holder_throttles_checkpoints_and_stops() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let (address, holder) = (setup.worker.address(), setup.holder);
    let lease = setup.lease(30.0).await?;
    let long = task(lease, 4_000);
    let attempt = long.attempt;
    let start = setup.spawn(long);
    sleep_ms(200).await;
    let throttle = ThrottleBody { holder, percent: 0 };
    setup.calls.throttle(address, attempt, throttle).await?;
    let first = setup.calls.checkpoint(address, attempt, holder).await?;
    sleep_ms(100).await;
    let second = setup.calls.checkpoint(address, attempt, holder).await?;
    assert!(first.saved > Duration::ZERO);
    assert_eq!(first, second);
    let result = setup
        .calls
        .stop(address, attempt, Incarnation::random())
        .await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::OtherHolder));
    setup.calls.stop(address, attempt, holder).await?;
    assert_eq!(start.await??.status, TaskStatus::Stopped);
    let result = setup.calls.stop(address, attempt, holder).await;
    assert_eq!(refusal(&result), Some(WorkerRefusalKind::NoTask));
    Ok(())
}
