//! Receives streams from other processes, and owns each until the frontend takes it from the queue.
//!
//! A stream is accepted only when it has a place in the frontend's queue. So none is accepted and then lost while the
//! process shuts down.

use super::frame::{
    ClientState, ConnectionState, FrameExtension, FrameHeader, FrameVersion, UpstreamState,
    ACCEPTED, EXTENSION_BYTES, HEADER_BYTES,
};
use super::MigrationError;
use crate::net::system_errors::AcceptBackoff;
use bytes::Bytes;
use rustix::net::{recvmsg, send, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendFlags};
use slog::{info, warn, Logger};
use std::io::{self, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Maximum time in which a frame has to arrive.
const FRAME_TIMEOUT: Duration = Duration::from_secs(1);

/// A stream that this process has accepted.
#[derive(Debug)]
pub struct ReceivedStream {
    /// The socket of the connection to the client.
    pub client: TcpStream,
    /// The state of the client's connection.
    pub client_state: ClientState,
    /// The upstream side, from which the backend continues to read.
    pub upstream: ReceivedUpstream,
}

/// The upstream side of a received stream: the connection to the endpoint that produces it.
#[derive(Debug)]
pub struct ReceivedUpstream {
    /// The socket of the connection to the endpoint.
    pub socket: TcpStream,
    /// The position up to which the sender has read the response, and the event that is incomplete there.
    pub state: UpstreamState,
}

/// Receives streams from other processes and queues them for the frontend, which owns them from then on. Accepts none
/// once the queue is closed. Never returns, as the process exits if one of its tasks ends.
pub async fn receive_streams(
    listener: UnixListener,
    queue: mpsc::Sender<ReceivedStream>,
    log: Logger,
) {
    let mut backoff = AcceptBackoff::default();
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = tasks.join_next() => continue,
        };
        match accepted {
            Ok((connection, _)) => {
                backoff.reset();
                tasks.spawn(receive_and_queue(connection, queue.clone(), log.clone()));
            }
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(backoff.delay_after(&error)).await;
            }
        }
    }
}

/// Handles one connection of a sender: receives its frame, and accepts the stream or logs why not.
async fn receive_and_queue(
    connection: UnixStream,
    queue: mpsc::Sender<ReceivedStream>,
    log: Logger,
) {
    let sender_process = connection.peer_cred().ok().and_then(|peer| peer.pid());
    let received = match timeout(FRAME_TIMEOUT, receive(&connection)).await {
        Ok(received) => received,
        Err(_) => Err(MigrationError::FrameTimeout),
    };
    let accepted = match received {
        Ok(stream) => accept(&connection, stream, &queue, sender_process, &log).await,
        Err(error) => Err(error),
    };
    if let Err(error) = accepted {
        warn!(log, "stream migration rejected"; "sender_process" => sender_process, "error" => %error);
    }
}

/// Accepts a stream and queues it. Reserves a place in the queue first, so that every accepted stream has an owner:
/// when the frontend closes the queue at shutdown, it still waits for reserved places. `sender_process` is the sender's
/// process id for the log, `None` if the system does not tell it.
async fn accept(
    connection: &UnixStream,
    stream: ReceivedStream,
    queue: &mpsc::Sender<ReceivedStream>,
    sender_process: Option<i32>,
    log: &Logger,
) -> Result<(), MigrationError> {
    let permit = queue
        .reserve()
        .await
        .map_err(|_| MigrationError::ProcessEnds)?;
    // The write needs no wait, as a single byte fits into the connection's empty send buffer. It fails if the sender
    // has withdrawn the stream. Once it has succeeded, the sender forwards no more of the stream.
    send(
        connection,
        &[ACCEPTED],
        SendFlags::DONTWAIT | SendFlags::NOSIGNAL,
    )
    .map_err(io::Error::from)?;
    info!(log, "stream received"; "client_request_id" => stream.client_state.client_request_id.as_deref(),
        "sender_process" => sender_process, "unsent_bytes" => stream.client_state.connection.unsent.len(),
        "pipelined_bytes" => stream.client_state.connection.pipelined.len());
    permit.send(stream);
    Ok(())
}

/// Receives a frame and its descriptors.
async fn receive(connection: &UnixStream) -> Result<ReceivedStream, MigrationError> {
    // The folder may be writable by other users, whose processes do not belong to this dispatcher.
    if connection.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
        return Err(MigrationError::ForeignUser);
    }
    let (header, descriptors) = receive_header(connection).await?;
    let mut frame = FrameReader(connection);
    let extension = match header.version {
        FrameVersion::Position => None,
        FrameVersion::WithConnection => {
            let bytes = frame.read_array::<EXTENSION_BYTES>().await?;
            Some(FrameExtension::parse(&bytes).ok_or(MigrationError::InvalidFrame)?)
        }
    };
    let partial_event = frame.read(header.partial_event_bytes).await?;
    let client_state = match &extension {
        Some(extension) => frame.read_client_state(extension).await?,
        None => ClientState {
            client_request_id: None,
            connection: ConnectionState {
                unsent: Bytes::new(),
                pipelined: Bytes::new(),
                closes_after_response: true,
            },
        },
    };
    let idle_ms = extension.map_or(0, |extension| extension.idle_ms);
    let [client, upstream] =
        <[OwnedFd; 2]>::try_from(descriptors).map_err(|_| MigrationError::MissingDescriptor)?;
    Ok(ReceivedStream {
        client: tcp_stream(client)?,
        client_state,
        upstream: ReceivedUpstream {
            socket: tcp_stream(upstream)?,
            state: UpstreamState {
                chunks: header.chunks,
                partial_event,
                idle_for: Duration::from_millis(idle_ms.into()),
            },
        },
    })
}

/// Receives the header and the descriptors, which accompany its first byte.
async fn receive_header(
    connection: &UnixStream,
) -> Result<(FrameHeader, Vec<OwnedFd>), MigrationError> {
    let mut header = [0; HEADER_BYTES];
    let mut descriptors = Vec::new();
    let receive = connection.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let message = recvmsg(
            connection,
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
    if receive.await? != HEADER_BYTES {
        return Err(MigrationError::InvalidFrame);
    }
    let header = FrameHeader::parse(&header).ok_or(MigrationError::InvalidFrame)?;
    Ok((header, descriptors))
}

/// Reads the parts of a frame that follow the header.
struct FrameReader<'a>(&'a UnixStream);

impl FrameReader<'_> {
    async fn read_exact(&mut self, mut buffer: &mut [u8]) -> io::Result<()> {
        while !buffer.is_empty() {
            self.0.readable().await?;
            match self.0.try_read(buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read_bytes) => buffer = &mut buffer[read_bytes..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    async fn read_array<const N: usize>(&mut self) -> io::Result<[u8; N]> {
        let mut bytes = [0; N];
        self.read_exact(&mut bytes).await?;
        Ok(bytes)
    }

    async fn read(&mut self, length: u32) -> io::Result<Bytes> {
        let mut bytes = vec![0; length as usize];
        self.read_exact(&mut bytes).await?;
        Ok(bytes.into())
    }

    async fn read_client_state(
        &mut self,
        extension: &FrameExtension,
    ) -> Result<ClientState, MigrationError> {
        let unsent = self.read(extension.unsent_bytes).await?;
        let pipelined = self.read(extension.pipelined_bytes).await?;
        let request_id = self.read(extension.request_id_bytes).await?;
        let request_id =
            std::str::from_utf8(&request_id).map_err(|_| MigrationError::InvalidFrame)?;
        Ok(ClientState {
            client_request_id: (!request_id.is_empty()).then(|| request_id.into()),
            connection: ConnectionState {
                unsent,
                pipelined,
                closes_after_response: extension.closes_connection,
            },
        })
    }
}

fn tcp_stream(descriptor: OwnedFd) -> io::Result<TcpStream> {
    let stream = std::net::TcpStream::from(descriptor);
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
