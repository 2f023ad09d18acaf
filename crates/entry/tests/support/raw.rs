//! Exchanges over plain TCP, for messages that an HTTP client refuses to send.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long an answer is waited for.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// The most bytes that are read of an answer.
const MAX_ANSWER: u64 = 64 << 10;

/// Sends bytes, ends the sending side, and returns what comes back until the end.
///
/// # Errors
///
/// Fails when nobody listens, or the server neither answers nor closes.
pub(crate) async fn exchange(address: SocketAddr, bytes: &[u8]) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    // The server may close before it has read everything, which is an answer too.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let mut limited = stream.take(MAX_ANSWER);
    let read = limited.read_to_end(&mut answer);
    let _ = tokio::time::timeout(ANSWER_LIMIT, read).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Sends bytes and returns the open connection.
///
/// # Errors
///
/// Fails when nobody listens.
pub(crate) async fn send_part(address: SocketAddr, bytes: &[u8]) -> eyre::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    Ok(stream)
}
