use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use http::Method;
use lavenderhollow_log::AppendError;
use lavenderhollow_log::Faults;
use lavenderhollow_log::Gone;
use lavenderhollow_log::HttpLog;
use lavenderhollow_log::HttpLogSettings;
use lavenderhollow_log::LogService;
use lavenderhollow_log::MemoryLog;
use lavenderhollow_log::ReadError;
use lavenderhollow_log::ReadFrom;
use lavenderhollow_log::RefusedAppend;
use lavenderhollow_testing::standin::ControlClient;
use lavenderhollow_testing::standin::LogSettings;
use lavenderhollow_testing::standin::LogStandIn;
use lavenderhollow_types::ManualClock;
use lavenderhollow_types::Offset;
use lavenderhollow_types::StreamName;
use serde_json::json;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn start() -> eyre::Result<(LogStandIn, ControlClient, HttpLog)> {
    let server = LogStandIn::start(local(), local(), LogSettings::default())?;
    let control = ControlClient::new(server.control());
    let mut settings = HttpLogSettings::new(server.address());
    settings.answer = Duration::from_millis(500);
    Ok((server, control, HttpLog::new(settings)))
}

/// The name has a slash, which a path must not split.
fn stream() -> StreamName {
    "zone/lahore-a".parse().expect("valid name")
}

fn batch(numbers: impl IntoIterator<Item = u64>) -> Vec<Box<RawValue>> {
    let numbers = numbers.into_iter();
    numbers
        .map(|n| to_raw_value(&n).expect("a number is JSON"))
        .collect()
}

fn from(offset: u64) -> ReadFrom {
    ReadFrom {
        offset: Offset::new(offset),
        max: 100,
        wait: Duration::ZERO,
    }
}

async fn stored(log: &dyn LogService) -> Result<Vec<String>, ReadError> {
    let page = log.read(&stream(), from(0)).await?;
    let texts = page.records.iter().map(|r| r.record.get().to_owned());
    Ok(texts.collect())
}

/// Guards against reporting a refusal after the append took effect.
#[tokio::test]
async fn lost_answer_is_unknown_and_the_record_is_stored() -> eyre::Result<()> {
    let (_server, control, log) = start()?;
    control.patch(json!({"answer_lost": true})).await?;
    let result = log.append(&stream(), batch([1, 2])).await;
    assert_matches!(result, Err(AppendError::Unknown(_)));
    assert_eq!(stored(&log).await?, ["1", "2"]);

    control
        .patch(json!({"answer_lost": false, "slow_ms": 1_500}))
        .await?;
    let result = log.append(&stream(), batch([3])).await;
    assert_matches!(result, Err(AppendError::Unknown(_)));
    control.patch(json!({"slow_ms": 0})).await?;
    assert_eq!(stored(&log).await?, ["1", "2", "3"]);
    Ok(())
}

/// Guards against an outage, an excess of appends or a bad batch that leaves records behind, or
/// that is taken for an unknown outcome, which would cost a repeat.
#[tokio::test]
async fn refused_appends_store_nothing() -> eyre::Result<()> {
    let (_server, control, log) = start()?;
    control.patch(json!({"down": true})).await?;
    let result = log.append(&stream(), batch([1])).await;
    assert_matches!(
        result,
        Err(AppendError::Refused(RefusedAppend::Unavailable))
    );
    assert_matches!(stored(&log).await, Err(ReadError::Unavailable(_)));

    control
        .patch(json!({"down": false, "appends_per_second": 0}))
        .await?;
    let result = log.append(&stream(), batch([2])).await;
    assert_matches!(result, Err(AppendError::Refused(RefusedAppend::Busy)));

    let result = log.append(&stream(), batch([])).await;
    assert_matches!(result, Err(AppendError::Refused(RefusedAppend::Invalid(_))));
    let large = vec![to_raw_value(&"x".repeat(9 << 20))?];
    let result = log.append(&stream(), large).await;
    assert_matches!(result, Err(AppendError::Refused(RefusedAppend::Invalid(_))));
    assert_eq!(stored(&log).await?, Vec::<String>::new());

    let closed = std::net::TcpListener::bind(local())?.local_addr()?;
    let unreachable = HttpLog::new(HttpLogSettings::new(closed));
    let result = unreachable.append(&stream(), batch([3])).await;
    assert_matches!(result, Err(AppendError::Refused(RefusedAppend::NotSent(_))));
    Ok(())
}

/// Guards against a rate limit that lets more appends through than set, or none.
#[tokio::test]
async fn appends_beyond_the_rate_are_refused() -> eyre::Result<()> {
    let (_server, control, log) = start()?;
    control.patch(json!({"appends_per_second": 5})).await?;
    let mut accepted = 0;
    for number in 0..20 {
        match log.append(&stream(), batch([number])).await {
            Ok(_) => accepted += 1,
            Err(error) => assert_eq!(error, AppendError::Refused(RefusedAppend::Busy)),
        }
    }
    // The calls may straddle the end of a second.
    assert!((5..=10).contains(&accepted), "{accepted} appends accepted");
    Ok(())
}

/// Guards against a follower that skips expired records without notice.
#[tokio::test]
async fn read_before_the_oldest_record_is_an_error() -> eyre::Result<()> {
    let (_server, control, log) = start()?;
    log.append(&stream(), batch(0..5)).await?;
    let path = "/streams/zone%2Flahore-a/records?before=3";
    control.call(Method::DELETE, path, None).await?;
    let gone = Gone {
        oldest: Offset::new(3),
        head: Offset::new(5),
    };
    let result = log.read(&stream(), from(2)).await;
    assert_eq!(result.err(), Some(ReadError::Gone(gone)));
    let page = log.read(&stream(), from(3)).await?;
    assert_eq!((page.oldest, page.head), (gone.oldest, gone.head));
    assert_eq!(page.records.len(), 2);
    Ok(())
}

/// Guards against a log in memory that differs from the HTTP client in its errors or retention.
#[tokio::test]
async fn memory_log_has_the_same_faults() -> eyre::Result<()> {
    let clock = Arc::new(ManualClock::default());
    let log = MemoryLog::new(clock.clone());
    let lost = Faults {
        answer_lost: true,
        ..Faults::default()
    };
    log.set_faults(lost);
    let result = log.append(&stream(), batch([1])).await;
    assert_matches!(result, Err(AppendError::Unknown(_)));
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    log.set_faults(down);
    let result = log.append(&stream(), batch([2])).await;
    assert_matches!(
        result,
        Err(AppendError::Refused(RefusedAppend::Unavailable))
    );
    log.set_faults(Faults::default());
    assert_eq!(stored(&log).await?, ["1"]);

    log.set_retention(Some(Duration::from_secs(10)));
    clock.advance(Duration::from_secs(11));
    let gone = Gone {
        oldest: Offset::new(1),
        head: Offset::new(1),
    };
    assert_eq!(stored(&log).await, Err(ReadError::Gone(gone)));
    Ok(())
}
