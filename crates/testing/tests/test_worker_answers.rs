use assert_matches::assert_matches;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_platform::WorkerError;
use lavenderhollow_platform::WorkerService;
use lavenderhollow_platform::body_digest;
use lavenderhollow_testing::standin::answer_body;
use serde_json::json;

use crate::setup::Setup;
use crate::setup::sleep_ms;
use crate::setup::task;

/// Guards against a stand-in whose faultless answer would not pass the checks of an entry.
#[tokio::test]
async fn whole_answer_belongs_to_its_request() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let task = task(setup.lease(30.0).await?, 20);
    let answer = setup.start(task.clone()).await?;
    assert_eq!(
        (answer.request, answer.attempt),
        (task.request, task.attempt)
    );
    assert_eq!(answer.body, answer_body(&task.body));
    assert_eq!(answer.length, answer.body.len() as u64);
    assert_eq!(answer.digest, body_digest(&answer.body));
    assert_eq!(setup.runs(task.request).await?, 1);
    Ok(())
}

/// Guards against faults that a check of ids, length and digest could not see.
#[tokio::test]
async fn faulty_answers_differ_from_their_declaration() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let lease = setup.lease(30.0).await?;
    setup.control.patch(json!({"body": "cut"})).await?;
    let result = setup.start(task(lease, 0)).await;
    assert_matches!(result, Err(WorkerError::Unknown(_)));

    setup.control.patch(json!({"body": "short"})).await?;
    let short = setup.start(task(lease, 0)).await?;
    assert!((short.body.len() as u64) < short.length);

    setup.control.patch(json!({"body": "altered"})).await?;
    let altered = setup.start(task(lease, 0)).await?;
    assert_eq!(altered.body.len() as u64, altered.length);
    assert_ne!(body_digest(&altered.body), altered.digest);

    setup
        .control
        .patch(json!({"body": "none", "crossed": true}))
        .await?;
    let (first, second) = (task(lease, 0), task(lease, 0));
    setup.start(first.clone()).await?;
    let crossed = setup.start(second).await?;
    assert_eq!(
        (crossed.request, crossed.attempt),
        (first.request, first.attempt)
    );
    Ok(())
}

/// Guards against runs that are not counted because nobody saw their answer.
#[tokio::test]
async fn runs_are_counted_when_answers_are_lost_or_late() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let lease = setup.lease(30.0).await?;
    setup.control.patch(json!({"answer_lost": true})).await?;
    let lost = task(lease, 0);
    let result = setup.start(lost.clone()).await;
    assert_matches!(result, Err(WorkerError::Unknown(_)));
    assert_eq!(setup.runs(lost.request).await?, 1);

    setup
        .control
        .patch(json!({"answer_lost": false, "late_ms": 2_500}))
        .await?;
    let late = task(lease, 0);
    let result = setup.start(late.clone()).await;
    assert_matches!(result, Err(WorkerError::Unknown(_)));
    assert_eq!(setup.runs(late.request).await?, 1);

    setup
        .control
        .patch(json!({"late_ms": 0, "fail_all": true}))
        .await?;
    let failed = setup.start(late.clone()).await?;
    assert_eq!(failed.status, TaskStatus::Failed);
    assert_eq!(setup.runs(late.request).await?, 2);
    Ok(())
}

/// Guards against a usage report without the lag that entries must live with.
#[tokio::test]
async fn usage_report_lags() -> eyre::Result<()> {
    let setup = Setup::new()?;
    let address = setup.worker.address();
    setup.control.patch(json!({"usage_lag_ms": 500})).await?;
    let lease = setup.lease(30.0).await?;
    let start = setup.spawn(task(lease, 1_500));
    sleep_ms(200).await;
    assert_eq!(setup.calls.usage(address).await?.running.len(), 0);
    sleep_ms(700).await;
    assert_eq!(setup.calls.usage(address).await?.running.len(), 1);
    assert!(start.await?.is_ok());
    Ok(())
}
