//! Sends streams to the successor. Owns each stream until the successor has accepted it.

use super::frame::{FrameHeader, ACCEPTED, HEADER_BYTES};
use super::slot::{MigratingStream, UpstreamHalf};
use super::{MigrationError, StreamSockets};
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use slog::{info, warn, Logger};
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::UnixStream;
use tokio::sync::mpsc;

/// Sends each of these streams to the process that receives at `successor_path`, where there is one, and reports to
/// both of its sides whether it has migrated. Never returns, as the process may have more to end than its connections.
pub async fn send_streams(
    successor_path: impl Fn() -> Option<PathBuf>,
    mut streams: mpsc::Receiver<MigratingStream>,
    log: Logger,
) {
    while let Some(stream) = streams.recv().await {
        // A task of its own: a stream that takes long delays no other.
        tokio::spawn(send_and_report(successor_path(), stream, log.clone()));
    }
    std::future::pending::<()>().await;
}

async fn send_and_report(path: Option<PathBuf>, stream: MigratingStream, log: Logger) {
    let MigratingStream {
        upstream_half,
        client,
        migrated,
    } = stream;
    let sockets = StreamSockets::of(&client, &upstream_half.upstream);
    let result = match &path {
        Some(path) => send(path, &upstream_half, client).await,
        None => Err(MigrationError::NoSuccessor),
    };
    match &result {
        Ok(()) => {
            info!(log, "stream migrated"; "sockets" => %sockets, "successor" => path.map(|path| path.display().to_string()));
        }
        Err(error) => {
            warn!(log, "stream migration failed"; "sockets" => %sockets, "error" => %error);
        }
    }
    let _ = migrated.send(result.is_ok());
    let _ = upstream_half.migrated.send(result.is_ok());
}

async fn send(
    path: &Path,
    upstream_half: &UpstreamHalf,
    client: OwnedFd,
) -> Result<(), MigrationError> {
    let mut connection = UnixStream::connect(path).await?;
    let header = FrameHeader {
        chunks: upstream_half.chunks,
        partial_event_bytes: u32::try_from(upstream_half.partial_event.len())
            .map_err(|_| MigrationError::PartialEventTooLong)?,
    }
    .to_bytes();
    let descriptors = [client.as_fd(), upstream_half.upstream.as_fd()];
    let send_header = connection.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        let header = [IoSlice::new(&header)];
        Ok(sendmsg(
            &connection,
            &header,
            &mut control,
            SendFlags::NOSIGNAL,
        )?)
    });
    if send_header.await? != HEADER_BYTES {
        return Err(MigrationError::HeaderTruncated);
    }
    connection.write_all(&upstream_half.partial_event).await?;
    // Without a timeout: if an acceptance was missed, two processes would forward the stream.
    match connection.read_u8().await? {
        ACCEPTED => Ok(()),
        _ => Err(MigrationError::NotAccepted),
    }
}
