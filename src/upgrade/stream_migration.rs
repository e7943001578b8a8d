//! Live streams that move to a successor, with the sockets of their client and of their node.
//!
//! The node's side offers its [`UpstreamHalf`] down the stream's own channel, behind the last event; the client's side adds its
//! socket when all before it is written. [`carry`] hands both over, and says to both sides whether that was done: where
//! it was not, they go on. In the successor [`take_in`] passes the events on to the end.

use crate::backend::event_stream::EventStream;
use crate::net::connection_limit::ConnectionLimit;
use crate::net::message_framing::{ChunkedDecoder, FramingLost};
use crate::net::system_errors::AcceptPauses;
use bytes::Bytes;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use slog::{info, warn, Logger};
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// UpstreamHalf an event is no longer than this, as for [`EventStream`].
const LONGEST_PART: usize = 64 * 1024;
/// What a predecessor says of a stream, beside the two descriptors: a mark, where its chunks stand, and how many bytes
/// of an event follow.
const HEAD: usize = MARK.len() + ChunkedDecoder::BYTES + 4;
const MARK: [u8; 4] = *b"QHM1";
/// The successor's yes.
const TAKEN: u8 = b'Y';
/// So many streams move at once.
const AT_ONCE: usize = 12;
/// A stream without a whole event for so long has broken.
const SILENCE: Duration = Duration::from_secs(4);
/// A client that takes nothing for so long is gone.
const STALL: Duration = Duration::from_secs(30);
/// A predecessor has so long to say what it hands over.
const SAYING: Duration = Duration::from_secs(1);

/// The node's side of a stream: nothing more is read from it here.
#[derive(Debug)]
pub struct UpstreamHalf {
    /// Its socket.
    pub upstream: OwnedFd,
    /// Where its body stands.
    pub chunks: ChunkedDecoder,
    /// Bytes of an event that has not ended.
    pub partial_event: Bytes,
    /// Told whether it has moved; where it is dropped, it has not.
    pub migrated: oneshot::Sender<bool>,
}

/// Says when streams are to move. Few move at a time: each needs descriptors beyond its own meanwhile.
#[derive(Clone)]
pub struct MigrationSignal {
    on: watch::Receiver<bool>,
    turns: Arc<Semaphore>,
}

impl MigrationSignal {
    /// Waits until streams are to move, and for a turn.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        let mut on = self.on.clone();
        if on.wait_for(|on| *on).await.is_ok() {
            if let Ok(turn) = self.turns.clone().acquire_owned().await {
                return turn;
            }
        }
        std::future::pending().await
    }
}

/// A signal, and what turns it on.
pub fn migration_signal() -> (watch::Sender<bool>, MigrationSignal) {
    let (turn_on, on) = watch::channel(false);
    (
        turn_on,
        MigrationSignal {
            on,
            turns: Arc::new(Semaphore::new(AT_ONCE)),
        },
    )
}

/// Pieces of a stream are compared in tests; one that moves is like no other.
impl PartialEq for UpstreamHalf {
    fn eq(&self, _: &UpstreamHalf) -> bool {
        false
    }
}

/// Both sides of a stream.
pub struct MigratingStream {
    half: UpstreamHalf,
    client: OwnedFd,
    moved: oneshot::Sender<bool>,
}

/// Where a client's connection finds out that its stream is to move.
#[derive(Default)]
pub struct MigrationSlot {
    ends: Mutex<(Option<UpstreamHalf>, Option<OwnedFd>)>,
    ready: Notify,
}

impl MigrationSlot {
    fn ends(&self) -> MutexGuard<'_, (Option<UpstreamHalf>, Option<OwnedFd>)> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The stream's node side is offered: the connection has been given all before it.
    pub fn offer(&self, half: UpstreamHalf) {
        *self.ends() = (Some(half), None);
    }

    /// All that the connection was given is written.
    pub fn on_flushed(&self, client: impl AsFd) {
        let mut ends = self.ends();
        if ends.0.is_some() && ends.1.is_none() {
            match client.as_fd().try_clone_to_owned() {
                Ok(client) => {
                    ends.1 = Some(client);
                    self.ready.notify_one();
                }
                Err(_) => ends.0 = None,
            }
        }
    }

    /// Waits until the stream is to move, and has it moved. True when it has: then this side is over.
    pub async fn migrate(&self, mover: &Option<mpsc::Sender<MigratingStream>>) -> bool {
        loop {
            self.ready.notified().await;
            let (Some(half), Some(client)) = std::mem::take(&mut *self.ends()) else {
                continue;
            };
            let (moved, told) = oneshot::channel();
            if let Some(mover) = mover {
                let _ = mover
                    .send(MigratingStream {
                        half,
                        client,
                        moved,
                    })
                    .await;
            }
            return told.await.unwrap_or(false);
        }
    }
}

/// Hands streams over to the process that takes them in at this path, where there is one.
pub async fn send_streams(
    path: impl Fn() -> Option<PathBuf>,
    mut streams: mpsc::Receiver<MigratingStream>,
    log: Logger,
) {
    while let Some(whole) = streams.recv().await {
        let (path, log) = (path(), log.clone());
        // Each by itself: one that takes long keeps no other waiting.
        tokio::spawn(async move {
            let MigratingStream {
                half,
                client,
                moved,
            } = whole;
            let done = match path {
                Some(path) => hand_over(path, &half, client).await,
                None => Err(ErrorKind::NotFound.into()),
            };
            if let Err(error) = &done {
                warn!(log, "a stream could not be moved: it goes on here"; "error" => %error);
            }
            let _ = moved.send(done.is_ok());
            let _ = half.migrated.send(done.is_ok());
        });
    }
    // All connections are over; the process may have something else to end.
    std::future::pending().await
}

async fn hand_over(path: PathBuf, half: &UpstreamHalf, client: OwnedFd) -> io::Result<()> {
    let mut stream = UnixStream::connect(path).await?;
    let length = u32::try_from(half.partial_event.len()).map_err(io::Error::other)?;
    let head = [&MARK[..], &half.chunks.to_bytes(), &length.to_be_bytes()].concat();
    let descriptors = [client.as_fd(), half.upstream.as_fd()];
    let sent = stream.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        Ok(sendmsg(
            &stream,
            &[IoSlice::new(&head)],
            &mut control,
            SendFlags::NOSIGNAL,
        )?)
    });
    if sent.await? != HEAD {
        return Err(ErrorKind::WriteZero.into());
    }
    stream.write_all(&half.partial_event).await?;
    // Without an end to the waiting: a yes that is not waited for would leave two that pass the stream on.
    match stream.read_u8().await? {
        TAKEN => Ok(()),
        _ => Err(ErrorKind::InvalidData.into()),
    }
}

/// A stream as it is taken in.
struct ReceivedStream {
    client: TcpStream,
    node: TcpStream,
    chunks: ChunkedDecoder,
    part: Vec<u8>,
}

fn tcp(descriptor: OwnedFd) -> io::Result<TcpStream> {
    let stream = std::net::TcpStream::from(descriptor);
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Hears what a predecessor hands over, and says yes.
async fn take(mut stream: UnixStream) -> io::Result<ReceivedStream> {
    // Who else may be there has another user's rights at most, and no business here.
    if stream.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
        return Err(ErrorKind::PermissionDenied.into());
    }
    let mut head = [0; HEAD];
    let mut descriptors: Vec<OwnedFd> = Vec::new();
    let read = stream.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let told = recvmsg(
            &stream,
            &mut [IoSliceMut::new(&mut head)],
            &mut control,
            RecvFlags::CMSG_CLOEXEC,
        )?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(rights) = message {
                descriptors.extend(rights);
            }
        }
        Ok(told.bytes)
    });
    let whole = read.await? == HEAD && head.starts_with(&MARK) && descriptors.len() == 2;
    let chunks = head[MARK.len()..]
        .first_chunk()
        .and_then(ChunkedDecoder::from_bytes)
        .filter(|_| whole);
    let chunks = chunks.ok_or(ErrorKind::InvalidData)?;
    let length = head
        .last_chunk()
        .map_or(u32::MAX, |length| u32::from_be_bytes(*length)) as usize;
    if length > LONGEST_PART {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut part = vec![0; length];
    stream.read_exact(&mut part).await?;
    let (node, client) = (descriptors.pop(), descriptors.pop());
    let (Some(node), Some(client)) = (node, client) else {
        return Err(ErrorKind::InvalidData.into());
    };
    let taken = ReceivedStream {
        client: tcp(client)?,
        node: tcp(node)?,
        chunks,
        part,
    };
    // From the yes on the stream is this process's.
    stream.write_u8(TAKEN).await?;
    Ok(taken)
}

/// Takes in the streams of a predecessor. They take places where there are some; for want of one none is cut.
pub async fn receive_streams(
    listener: UnixListener,
    clients: ConnectionLimit,
    nodes: ConnectionLimit,
    log: Logger,
) {
    let mut pauses = AcceptPauses::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => {
                pauses.reset();
                stream
            }
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(pauses.delay_after(&error)).await;
                continue;
            }
        };
        let (log, places) = (log.clone(), (clients.try_acquire(1), nodes.try_acquire(1)));
        tokio::spawn(async move {
            let _places = places;
            match timeout(SAYING, take(stream))
                .await
                .map_err(io::Error::from)
                .flatten()
            {
                Ok(taken) => {
                    info!(log, "a stream was taken in");
                    let ended = pass_on(taken).await;
                    if let Err(error) = ended {
                        info!(log, "a stream that was taken in has broken"; "error" => %error);
                    }
                }
                Err(error) => warn!(log, "a stream could not be taken in"; "error" => %error),
            }
        });
    }
}

/// Passes a stream's events on, whole ones as they come, up to its end. An error: it ends without the last chunk.
async fn pass_on(taken: ReceivedStream) -> io::Result<()> {
    let ReceivedStream {
        mut client,
        mut node,
        mut chunks,
        part,
    } = taken;
    let spoilt = || io::Error::from(ErrorKind::InvalidData);
    let mut events = EventStream::resume();
    let first = events.push(&part).map_err(|_| spoilt())?;
    write_chunk(&mut client, &first).await?;
    let mut buffer = vec![0; 16 * 1024];
    let mut silent_at = tokio::time::Instant::now() + SILENCE;
    while !chunks.ended() {
        let read = tokio::select! {
            read = tokio::time::timeout_at(silent_at, node.read(&mut buffer)) => read??,
            () = gone(&client) => return Err(ErrorKind::ConnectionReset.into()),
        };
        if read == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let mut data = Vec::new();
        chunks
            .feed(&buffer[..read], |piece| data.extend_from_slice(piece))
            .map_err(|FramingLost| spoilt())?;
        let whole = events.push(&data).map_err(|_| spoilt())?;
        if !whole.is_empty() {
            write_chunk(&mut client, &whole).await?;
            silent_at = tokio::time::Instant::now() + SILENCE;
        }
    }
    let rest = events.finish().map_err(|_| spoilt())?;
    write_chunk(&mut client, &rest).await?;
    stalls(client.write_all(b"0\r\n\r\n")).await?;
    client.shutdown().await
}

async fn stalls<T>(write: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(STALL, write).await?
}

async fn write_chunk(client: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    if data.is_empty() {
        return Ok(());
    }
    let chunk = [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat();
    stalls(client.write_all(&chunk)).await
}

/// Waits until the client has closed its connection. What it sends before its answer's end waits.
async fn gone(client: &TcpStream) {
    let mut byte = [0];
    loop {
        match client.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => std::future::pending().await,
        }
    }
}

/// The way out of a process: what connections give their streams to.
pub type MigrationSender = Option<mpsc::Sender<MigratingStream>>;

/// An exit that may be shared.
pub type SharedMigrationSlot = Arc<MigrationSlot>;
