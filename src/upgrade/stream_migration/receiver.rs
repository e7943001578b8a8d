//! Receives streams from the predecessor. Owns each stream from its acceptance to its end.

use super::forwarder;
use super::frame::{FrameHeader, ACCEPTED, HEADER_BYTES};
use super::{MigrationError, StreamSockets};
use crate::net::connection_limit::ConnectionLimit;
use crate::net::message_framing::ChunkedDecoder;
use crate::net::system_errors::AcceptPauses;
use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use slog::{info, warn, Logger};
use std::io::{self, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::time::{sleep, timeout};

/// How long a predecessor may take to send a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(1);

/// A stream that was received and is not forwarded yet.
pub(super) struct ReceivedStream {
    pub(super) client: TcpStream,
    pub(super) upstream: TcpStream,
    /// The position in the upstream's chunked body.
    pub(super) chunks: ChunkedDecoder,
    /// The bytes of the event that has not ended.
    pub(super) partial_event: Vec<u8>,
}

/// Receives the streams of a predecessor and forwards each to its end. Each counts against both limits where these
/// have room; a stream for which there is none is not cut off.
pub async fn receive_streams(
    listener: UnixListener,
    client_limit: ConnectionLimit,
    upstream_limit: ConnectionLimit,
    log: Logger,
) {
    let mut pauses = AcceptPauses::default();
    loop {
        let connection = match listener.accept().await {
            Ok((connection, _)) => connection,
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(pauses.delay_after(&error)).await;
                continue;
            }
        };
        pauses.reset();
        let log = log.clone();
        let client_permit = client_limit.try_acquire(1);
        let upstream_permit = upstream_limit.try_acquire(1);
        tokio::spawn(async move {
            receive_and_forward(connection, &log).await;
            drop(client_permit);
            drop(upstream_permit);
        });
    }
}

async fn receive_and_forward(connection: UnixStream, log: &Logger) {
    let received = match timeout(FRAME_TIMEOUT, receive(connection)).await {
        Ok(received) => received,
        Err(_) => Err(MigrationError::FrameTimeout),
    };
    let stream = match received {
        Ok(stream) => stream,
        Err(error) => {
            warn!(log, "stream migration rejected"; "error" => %error);
            return;
        }
    };
    let sockets = StreamSockets::of(&stream.client, &stream.upstream);
    info!(log, "stream received"; "sockets" => %sockets);
    match forwarder::forward(stream).await {
        Ok(()) => info!(log, "received stream complete"; "sockets" => %sockets),
        Err(error) => {
            info!(log, "received stream broken"; "sockets" => %sockets, "error" => %error);
        }
    }
}

/// Receives a frame with its descriptors, and accepts the stream.
async fn receive(mut connection: UnixStream) -> Result<ReceivedStream, MigrationError> {
    // The folder may be writable for other users; their processes are never predecessors.
    if connection.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
        return Err(MigrationError::ForeignUser);
    }
    let mut header = [0; HEADER_BYTES];
    let mut descriptors: Vec<OwnedFd> = Vec::new();
    let receive_header = connection.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let message = recvmsg(
            &connection,
            &mut [IoSliceMut::new(&mut header)],
            &mut control,
            RecvFlags::CMSG_CLOEXEC,
        )?;
        for ancillary in control.drain() {
            if let RecvAncillaryMessage::ScmRights(rights) = ancillary {
                descriptors.extend(rights);
            }
        }
        Ok(message.bytes)
    });
    if receive_header.await? != HEADER_BYTES {
        return Err(MigrationError::InvalidFrame);
    }
    let header = FrameHeader::parse(&header).ok_or(MigrationError::InvalidFrame)?;
    let [client, upstream] =
        <[OwnedFd; 2]>::try_from(descriptors).map_err(|_| MigrationError::InvalidFrame)?;
    let mut partial_event = vec![0; header.partial_event_bytes as usize];
    connection.read_exact(&mut partial_event).await?;
    let received = ReceivedStream {
        client: tcp_stream(client)?,
        upstream: tcp_stream(upstream)?,
        chunks: header.chunks,
        partial_event,
    };
    // The last step: once this is written, the sender forwards no more of the stream.
    connection.write_u8(ACCEPTED).await?;
    Ok(received)
}

fn tcp_stream(descriptor: OwnedFd) -> io::Result<TcpStream> {
    let stream = std::net::TcpStream::from(descriptor);
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
