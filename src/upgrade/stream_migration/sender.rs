//! Sends streams to another process. Owns each stream until that process accepts it, or until both of its sides are
//! told that it has not migrated.

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

/// Maximum time for the receiver to accept a stream. The stream's events are held back meanwhile, and none may be
/// delayed by as much as 0.3 s.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_millis(120);

/// Minimum time between two warnings of failed migrations, as each stream retries several times a second.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// The process to which streams are sent.
#[derive(Clone, Debug)]
pub struct ReceiverProcess {
    /// When the process started, in Unix microseconds. Identifies it in the log.
    pub started_at: u64,
    /// The path of the Unix socket on which it receives streams.
    pub socket_path: PathBuf,
}

/// State that the tasks of all migrations share.
struct SenderState {
    /// The start time of a receiver that knows only the first version of the frame; 0 if none is known.
    first_version_receiver: AtomicU64,
    /// When a failed migration was last logged as a warning.
    last_warning_at: Mutex<Option<Instant>>,
    log: Logger,
}

impl SenderState {
    /// Logs a failed migration: as a warning once per [`WARNING_INTERVAL`], otherwise at debug level.
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

/// A receiver's reaction to a frame, if no error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acceptance {
    /// The stream has migrated.
    Accepted,
    /// The receiver has closed the connection before it read the whole frame. Most likely it does not know the frame's
    /// version.
    UnknownVersion,
}

/// Sends each of these streams to the process that `receiver` returns when the stream arrives. If it returns `None`,
/// the stream does not migrate. Reports to both sides of each stream whether it has migrated. Never returns, as the
/// process exits if one of its tasks ends.
pub async fn send_streams(
    receiver: impl Fn() -> Option<ReceiverProcess>,
    mut streams: mpsc::Receiver<MigratingStream>,
    log: Logger,
) {
    let state = Arc::new(SenderState {
        first_version_receiver: AtomicU64::new(0),
        last_warning_at: Mutex::default(),
        log,
    });
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            stream = streams.recv() => match stream {
                // Each in its own task, so that a slow migration does not delay the others.
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
        Some(receiver) => {
            send(
                &receiver,
                &upstream_half,
                &client_half,
                &state.first_version_receiver,
            )
            .await
        }
        None => Err(MigrationError::NoReceiver),
    };
    match &result {
        Ok(()) => {
            info!(state.log, "stream migrated"; "client_request_id" => client_request_id,
                "receiver_started_at" => receiver_started_at);
        }
        Err(error) => state.warn_of_failure(client_request_id, receiver_started_at, error),
    }
    // The upstream side is notified first, so that the end of the attempt is reported before the client's side ends.
    let _ = upstream_half.migrated.send(result.is_ok());
    let _ = migrated.send(result.is_ok());
}

/// Sends a stream in the newest frame version that the receiver knows.
async fn send(
    receiver: &ReceiverProcess,
    upstream_half: &UpstreamHalf,
    client_half: &ClientHalf,
    first_version_receiver: &AtomicU64,
) -> Result<(), MigrationError> {
    if first_version_receiver.load(Ordering::Relaxed) != receiver.started_at {
        let version = FrameVersion::WithConnection;
        let path = &receiver.socket_path;
        if send_frame(path, version, upstream_half, client_half).await? == Acceptance::Accepted {
            return Ok(());
        }
    }
    // The first version would lose the unsent and the pipelined bytes.
    if !client_half.state.connection.fits_first_version() {
        return Err(MigrationError::NotAccepted);
    }
    let version = FrameVersion::Position;
    match send_frame(&receiver.socket_path, version, upstream_half, client_half).await? {
        Acceptance::Accepted => {
            first_version_receiver.store(receiver.started_at, Ordering::Relaxed);
            Ok(())
        }
        Acceptance::UnknownVersion => Err(MigrationError::NotAccepted),
    }
}

/// Sends a stream in a frame of this version and waits for the receiver's answer.
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

/// Writes the frame, with the descriptors of both sockets at its first byte.
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

/// Withdraws a stream that the receiver has not accepted in time; returns the receiver's answer if it arrived before
/// the withdrawal.
///
/// The order of the two steps ensures that only one process owns the stream. After the shutdown the receiver can't
/// write its acceptance any more and drops the stream. An acceptance written before is read here.
fn withdraw(connection: &UnixStream) -> io::Result<Option<u8>> {
    SockRef::from(connection).shutdown(Shutdown::Read)?;
    let mut answer = [0];
    match recv(connection, &mut answer[..], RecvFlags::DONTWAIT) {
        Ok((_, 0)) | Err(rustix::io::Errno::AGAIN) => Ok(None),
        Ok(_) => Ok(Some(answer[0])),
        Err(error) => Err(error.into()),
    }
}
