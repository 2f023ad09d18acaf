use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use lavenderhollow_log::HttpLog;
use lavenderhollow_log::HttpLogSettings;
use lavenderhollow_log::LogService;
use lavenderhollow_log::Page;
use lavenderhollow_log::ReadError;
use lavenderhollow_log::ReadFrom;
use lavenderhollow_testing::standin::LogSettings;
use lavenderhollow_testing::standin::LogStandIn;
use lavenderhollow_types::Offset;
use lavenderhollow_types::StreamName;
use serde_json::value::to_raw_value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn from(offset: u64, wait: Duration) -> ReadFrom {
    ReadFrom {
        offset: Offset::new(offset),
        max: 100,
        wait,
    }
}

/// Guards against followers that see a new record only at their next poll.
#[tokio::test]
async fn long_poll_ends_with_the_new_record() -> eyre::Result<()> {
    let server = LogStandIn::start(local(), local(), LogSettings::default())?;
    let log = HttpLog::new(HttpLogSettings::new(server.address()));
    let follower = log.clone();
    let read = tokio::spawn(async move {
        let from = from(0, Duration::from_secs(20));
        follower.read(&StreamName::config(), from).await
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(
        !read.is_finished(),
        "the read waits while nothing is stored"
    );
    let start = Instant::now();
    let record = to_raw_value("a record")?;
    log.append(&StreamName::config(), vec![record]).await?;
    assert_eq!(read.await??.records.len(), 1);
    assert!(start.elapsed() < Duration::from_secs(2));
    Ok(())
}

/// Guards against a wait that outlasts its time, or that fails as a timeout of the client.
#[tokio::test]
async fn long_poll_without_a_record_gives_an_empty_page() -> eyre::Result<()> {
    let server = LogStandIn::start(local(), local(), LogSettings::default())?;
    let log = HttpLog::new(HttpLogSettings::new(server.address()));
    let from = from(7, Duration::from_millis(200));
    let start = Instant::now();
    let page = log.read(&StreamName::config(), from).await?;
    assert!(start.elapsed() >= Duration::from_millis(200));
    assert_eq!((page.head, page.records.len()), (Offset::new(0), 0));
    Ok(())
}

/// Reads one page from a server that answers with `body`.
async fn read_answer(body: &str, limit: usize) -> eyre::Result<Result<Page, ReadError>> {
    let listener = TcpListener::bind(local()).await?;
    let mut settings = HttpLogSettings::new(listener.local_addr()?);
    settings.page = limit;
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let server = tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await?;
        let mut request = [0; 4096];
        let _ = connection.read(&mut request).await?;
        connection.write_all(answer.as_bytes()).await
    });
    let log = HttpLog::new(settings);
    let result = log
        .read(&StreamName::fleet(), from(4, Duration::ZERO))
        .await;
    server.await??;
    Ok(result)
}

/// Guards against folding a page as whole when records are missing or the wanted ones.
#[tokio::test]
async fn pages_with_gaps_are_refused() -> eyre::Result<()> {
    let page = |first: u64, second: u64, head: u64| {
        format!(
            r#"{{"oldest":0,"head":{head},"records":[
                {{"offset":{first},"time":1,"record":{{}}}},
                {{"offset":{second},"time":2,"record":{{}}}}]}}"#
        )
    };
    let whole = read_answer(&page(4, 5, 6), 4096).await?;
    assert_eq!(whole?.records.len(), 2);
    for (first, second, head) in [(4, 6, 7), (3, 4, 7), (5, 6, 7), (4, 4, 7), (4, 5, 5)] {
        let result = read_answer(&page(first, second, head), 4096).await?;
        assert_matches!(
            result,
            Err(ReadError::Invalid(_)),
            "{first} {second} {head}"
        );
    }
    Ok(())
}

/// Guards against an answer that fills the memory of an entry.
#[tokio::test]
async fn oversize_page_is_refused() -> eyre::Result<()> {
    let body = format!(
        r#"{{"oldest":0,"head":0,"records":[]{}}}"#,
        " ".repeat(5000)
    );
    assert!(read_answer(&body, 8192).await?.is_ok());
    assert_matches!(read_answer(&body, 4096).await?, Err(ReadError::Invalid(_)));
    Ok(())
}
