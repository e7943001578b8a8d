//! Sends streams to another process. Owns each stream until that process has accepted it.

use super::frame::{self, FrameVersion, ACCEPTED};
use super::slot::{ClientHalf, MigratingStream, UpstreamHalf};
use super::MigrationError;
use rustix::net::{recv, sendmsg, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use slog::{debug, info, warn, Logger};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

/// How long a process may take to accept a stream: meanwhile none of its events is forwarded, and none may be late by
/// 0.3 s.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_millis(120);

/// Failures are logged no more often than this: streams try again several times a second.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// A process that receives streams.
#[derive(Clone, Debug)]
pub struct ReceiverProcess {
    /// When it started, in Unix microseconds; names it in the log.
    pub started_at: u64,
    /// Where it receives streams.
    pub socket_path: PathBuf,
}

/// What the migrations of a process have learned and logged, shared by their tasks.
struct SenderState {
    /// When the process started that knows no more than the first version of the frame.
    old_receiver: AtomicU64,
    last_warning_at: Mutex<Option<Instant>>,
    log: Logger,
}

impl SenderState {
    fn warn_of_failure(
        &self,
        client_request_id: Option<&str>,
        receiver: Option<u64>,
        error: &MigrationError,
    ) {
        let mut last_warning_at = self
            .last_warning_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last_warning_at.is_some_and(|instant| instant.elapsed() < WARNING_INTERVAL) {
            debug!(self.log, "stream migration failed"; "client_request_id" => client_request_id,
                "receiver_started_at" => receiver, "error" => %error);
            return;
        }
        *last_warning_at = Some(Instant::now());
        warn!(self.log, "stream migration failed"; "client_request_id" => client_request_id,
            "receiver_started_at" => receiver, "error" => %error);
    }
}

/// Whether a stream has migrated, where no error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acceptance {
    Accepted,
    /// The receiver has closed the connection over unread bytes: it does not know the frame's version.
    UnknownVersion,
}

/// Sends each of these streams to the process that receives them at that moment, where there is one, and reports to
/// both of its sides whether it has migrated. Never returns, as the process may have more to end than its connections.
pub async fn send_streams(
    receiver: impl Fn() -> Option<ReceiverProcess>,
    mut streams: mpsc::Receiver<MigratingStream>,
    log: Logger,
) {
    let state = Arc::new(SenderState {
        old_receiver: AtomicU64::new(0),
        last_warning_at: Mutex::default(),
        log,
    });
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            stream = streams.recv() => match stream {
                // A task of its own: a stream that takes long delays no other.
                Some(stream) => {
                    tasks.spawn(send_and_report(receiver(), stream, state.clone()));
                }
                None => std::future::pending().await,
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn send_and_report(
    receiver: Option<ReceiverProcess>,
    stream: MigratingStream,
    state: Arc<SenderState>,
) {
    let MigratingStream {
        upstream_half,
        client_half,
        migrated,
    } = stream;
    let client_request_id = client_half.state.client_request_id.as_deref();
    let receiver_started_at = receiver.as_ref().map(|receiver| receiver.started_at);
    let result = match receiver {
        Some(receiver) => send(&receiver, &upstream_half, &client_half, &state.old_receiver).await,
        None => Err(MigrationError::NoReceiver),
    };
    match &result {
        Ok(()) => {
            info!(state.log, "stream migrated"; "client_request_id" => client_request_id,
                "receiver_started_at" => receiver_started_at);
        }
        Err(error) => state.warn_of_failure(client_request_id, receiver_started_at, error),
    }
    // The upstream side first: the end of the attempt is then reported before the client's side is gone.
    let _ = upstream_half.migrated.send(result.is_ok());
    let _ = migrated.send(result.is_ok());
}

/// Sends a stream in the newest version of the frame that the receiver knows.
async fn send(
    receiver: &ReceiverProcess,
    upstream_half: &UpstreamHalf,
    client_half: &ClientHalf,
    old_receiver: &AtomicU64,
) -> Result<(), MigrationError> {
    if old_receiver.load(Ordering::Relaxed) != receiver.started_at {
        let version = FrameVersion::WithConnection;
        let path = &receiver.socket_path;
        if send_frame(path, version, upstream_half, client_half).await? == Acceptance::Accepted {
            return Ok(());
        }
    }
    // What the first version can't carry would be lost.
    if !client_half.state.connection.is_position_enough() {
        return Err(MigrationError::NotAccepted);
    }
    let version = FrameVersion::Position;
    match send_frame(&receiver.socket_path, version, upstream_half, client_half).await? {
        Acceptance::Accepted => {
            old_receiver.store(receiver.started_at, Ordering::Relaxed);
            Ok(())
        }
        Acceptance::UnknownVersion => Err(MigrationError::NotAccepted),
    }
}

async fn send_frame(
    path: &Path,
    version: FrameVersion,
    upstream_half: &UpstreamHalf,
    client_half: &ClientHalf,
) -> Result<Acceptance, MigrationError> {
    let frame = frame::format(version, &upstream_half.state, &client_half.state)
        .ok_or(MigrationError::FrameTooLong)?;
    let mut connection = UnixStream::connect(path).await?;
    let exchange = async {
        send_with_descriptors(&mut connection, &frame, upstream_half, client_half).await?;
        connection.read_u8().await
    };
    let answer = match timeout(ACCEPTANCE_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) if is_reset(&error) => return Ok(Acceptance::UnknownVersion),
        Ok(Err(error)) if error.kind() == io::ErrorKind::UnexpectedEof => {
            return Err(MigrationError::NotAccepted);
        }
        Ok(Err(error)) => return Err(error.into()),
        Err(_) => withdraw(&connection)?,
    };
    match answer {
        Some(ACCEPTED) => Ok(Acceptance::Accepted),
        Some(_) => Err(MigrationError::NotAccepted),
        None => Err(MigrationError::AcceptanceTimeout),
    }
}

async fn send_with_descriptors(
    connection: &mut UnixStream,
    frame: &[u8],
    upstream_half: &UpstreamHalf,
    client_half: &ClientHalf,
) -> io::Result<()> {
    let descriptors = [client_half.client.as_fd(), upstream_half.upstream.as_fd()];
    let sent = connection
        .async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
            let frame = [IoSlice::new(frame)];
            Ok(sendmsg(
                &*connection,
                &frame,
                &mut control,
                SendFlags::NOSIGNAL,
            )?)
        })
        .await?;
    connection.write_all(&frame[sent..]).await
}

fn is_reset(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
    )
}

/// Takes the offer back, or returns the answer that has come before that. The order is what keeps the stream with one
/// process: from the shutdown on the receiver's write of its acceptance fails, and it then drops the stream.
fn withdraw(connection: &UnixStream) -> io::Result<Option<u8>> {
    SockRef::from(connection).shutdown(Shutdown::Read)?;
    let mut answer = [0];
    match recv(connection, &mut answer[..], RecvFlags::DONTWAIT) {
        Ok((_, 0)) | Err(rustix::io::Errno::AGAIN) => Ok(None),
        Ok(_) => Ok(Some(answer[0])),
        Err(error) => Err(error.into()),
    }
}
