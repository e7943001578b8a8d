//! Forwards a received stream from its upstream to its client. Owns both sockets.

use super::receiver::ReceivedStream;
use super::MigrationError;
use crate::backend::event_stream::EventStream;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// A stream without a whole event for so long has broken.
const UPSTREAM_TIMEOUT: Duration = Duration::from_secs(4);
/// A client that accepts none of a write for so long has left.
const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(30);
const READ_BUFFER_BYTES: usize = 16 * 1024;
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Forwards the stream's events, each once it is whole, up to the stream's end. After an error the client's connection
/// is closed without the last chunk, so that the client sees that the stream has broken.
pub(super) async fn forward(stream: ReceivedStream) -> Result<(), MigrationError> {
    let ReceivedStream {
        mut client,
        mut upstream,
        mut chunks,
        partial_event,
    } = stream;
    let mut events = EventStream::resume();
    let whole_events = events
        .push(&partial_event)
        .map_err(|_| MigrationError::MalformedStream)?;
    write_chunk(&mut client, &whole_events).await?;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut silent_at = Instant::now() + UPSTREAM_TIMEOUT;
    while !chunks.ended() {
        let read = tokio::select! {
            read = timeout_at(silent_at, upstream.read(&mut buffer)) => read,
            () = client_disconnected(&client) => return Err(MigrationError::ClientDisconnected),
        };
        let read = read.map_err(|_| MigrationError::UpstreamSilent)??;
        if read == 0 {
            return Err(MigrationError::UpstreamDisconnected);
        }
        let mut data = Vec::new();
        chunks
            .feed(&buffer[..read], |chunk| data.extend_from_slice(chunk))
            .map_err(|_| MigrationError::MalformedStream)?;
        let whole_events = events
            .push(&data)
            .map_err(|_| MigrationError::MalformedStream)?;
        if !whole_events.is_empty() {
            write_chunk(&mut client, &whole_events).await?;
            silent_at = Instant::now() + UPSTREAM_TIMEOUT;
        }
    }
    let last_event = events
        .finish()
        .map_err(|_| MigrationError::MalformedStream)?;
    write_chunk(&mut client, &last_event).await?;
    within_write_timeout(client.write_all(LAST_CHUNK)).await?;
    client.shutdown().await?;
    Ok(())
}

async fn within_write_timeout(
    write: impl Future<Output = io::Result<()>>,
) -> Result<(), MigrationError> {
    match timeout(CLIENT_WRITE_TIMEOUT, write).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(MigrationError::ClientStalled),
    }
}

/// Writes the data as one chunk; none where there is no data, as an empty chunk would end the response.
async fn write_chunk(client: &mut TcpStream, data: &[u8]) -> Result<(), MigrationError> {
    if data.is_empty() {
        return Ok(());
    }
    let size_line = format!("{:x}\r\n", data.len());
    let chunk = [size_line.as_bytes(), data, b"\r\n"].concat();
    within_write_timeout(client.write_all(&chunk)).await
}

/// Waits until the client has closed its connection. What it sends before its response's end stays unread.
async fn client_disconnected(client: &TcpStream) {
    let mut byte = [0];
    match client.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
