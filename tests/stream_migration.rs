//! The hand-over of one stream between two processes, with the order of its steps forced: who owns the stream where the
//! receiver is slow, withdraws, ends, or lacks descriptors. Here both sides are in one process.

use bytes::Bytes;
use quartzhall::net::message_framing::ChunkedDecoder;
use quartzhall::upgrade::stream_migration::{
    self, ConnectionState, MigrationHandle, MigrationSender, MigrationSlot, OfferClaim,
    ReceivedStream, ReceiverProcess, UpstreamHalf, UpstreamState,
};
use slog::{o, Discard, Logger};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

const ACCEPTED: u8 = b'Y';
/// The frame of [`Offer`]: header, extension and the request's id.
const FRAME_BYTES: usize = 18 + 17 + "moves".len();

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// A path for a socket, which is removed in the end.
struct SocketPath(PathBuf);

impl SocketPath {
    fn new() -> SocketPath {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("quartzhall-migration-{}-{number}.sock", std::process::id());
        SocketPath(std::env::temp_dir().join(name))
    }

    /// Where streams are sent that migrate to whoever listens here.
    fn sender(&self) -> MigrationSender {
        let (streams, queue) = mpsc::channel(4);
        let process = ReceiverProcess {
            started_at: 1,
            socket_path: self.0.clone(),
        };
        tokio::spawn(stream_migration::send_streams(
            move || Some(process.clone()),
            queue,
            log(),
        ));
        let (_, signal) = stream_migration::migration_signal();
        Some(MigrationHandle { streams, signal })
    }
}

impl Drop for SocketPath {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A connected pair: the dispatcher's socket, and the other side's.
async fn socket_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (accepted.unwrap().0, connected.unwrap())
}

/// A stream that is offered, as its two sides see it.
struct Offer {
    slot: MigrationSlot,
    client: TcpStream,
    claim: OfferClaim,
    upstream_migrated: oneshot::Receiver<bool>,
    /// The other ends of its sockets.
    _peers: [TcpStream; 2],
}

impl Offer {
    async fn new() -> Offer {
        let (client, client_peer) = socket_pair().await;
        let (upstream, upstream_peer) = socket_pair().await;
        let (migrated, upstream_migrated) = oneshot::channel();
        let claim = OfferClaim::default();
        let slot = MigrationSlot::default();
        let half = UpstreamHalf {
            upstream: OwnedFd::from(upstream.into_std().unwrap()),
            state: UpstreamState {
                chunks: ChunkedDecoder::default(),
                partial_event: Bytes::new(),
                idle_for: Duration::ZERO,
            },
            claim: claim.clone(),
            migrated,
        };
        slot.offer(half, Some("moves".into()));
        Offer {
            slot,
            client,
            claim,
            upstream_migrated,
            _peers: [client_peer, upstream_peer],
        }
    }

    fn flush(&self) {
        self.slot.on_flushed(&self.client, || ConnectionState {
            unsent: Bytes::new(),
            pipelined: Bytes::new(),
            closes_after_response: false,
        });
    }

    /// Sends the stream, and returns whether each of its sides was told that it has migrated.
    async fn migrate(mut self, sender: &MigrationSender) -> (bool, bool) {
        self.flush();
        let client_side = timeout(Duration::from_secs(5), self.slot.migrate(sender))
            .await
            .expect("an answer in time");
        let upstream_side = (&mut self.upstream_migrated).await.unwrap_or(false);
        assert_eq!(self.slot.is_frozen(), client_side);
        (client_side, upstream_side)
    }
}

async fn read_frame(connection: &mut UnixStream) {
    let mut frame = [0; FRAME_BYTES];
    // Descriptors end a read, whatever follows them.
    connection.read_exact(&mut frame[..18]).await.unwrap();
    connection.read_exact(&mut frame[18..]).await.unwrap();
}

#[tokio::test]
async fn stream_stays_where_the_receiver_never_answers_and_a_late_acceptance_fails() {
    let path = SocketPath::new();
    let listener = UnixListener::bind(&path.0).unwrap();
    let sender = path.sender();
    let offer = Offer::new().await;
    assert_eq!(offer.migrate(&sender).await, (false, false));
    let (mut connection, _) = listener.accept().await.unwrap();
    read_frame(&mut connection).await;
    // The receiver has the whole frame, and learns that the stream is not its own.
    let accepted = connection.write_all(&[ACCEPTED]).await;
    assert!(accepted.is_err());
}

#[tokio::test]
async fn stream_stays_where_the_receiver_ends_before_its_answer() {
    let path = SocketPath::new();
    let listener = UnixListener::bind(&path.0).unwrap();
    let sender = path.sender();
    let offer = Offer::new().await;
    let (outcome, ()) = tokio::join!(offer.migrate(&sender), async {
        let (mut connection, _) = listener.accept().await.unwrap();
        read_frame(&mut connection).await;
        drop(connection);
    });
    assert_eq!(outcome, (false, false));
    drop(listener);
    let offer = Offer::new().await;
    assert_eq!(
        offer.migrate(&sender).await,
        (false, false),
        "nobody listens"
    );
}

#[tokio::test]
async fn stream_migrates_where_the_receiver_ends_after_its_answer() {
    let path = SocketPath::new();
    let listener = UnixListener::bind(&path.0).unwrap();
    let sender = path.sender();
    let offer = Offer::new().await;
    let (outcome, ()) = tokio::join!(offer.migrate(&sender), async {
        let (mut connection, _) = listener.accept().await.unwrap();
        read_frame(&mut connection).await;
        connection.write_all(&[ACCEPTED]).await.unwrap();
    });
    // From its acceptance on it was the receiver's; to go on here would send events twice.
    assert_eq!(outcome, (true, true));
}

#[tokio::test]
async fn stream_stays_in_a_process_that_is_alone() {
    let offer = Offer::new().await;
    assert_eq!(offer.migrate(&None).await, (false, false));
}

#[tokio::test]
async fn offer_that_was_withdrawn_is_not_sent() {
    let offer = Offer::new().await;
    assert!(offer.claim.claim(), "the upstream side withdraws it first");
    offer.flush();
    assert!(!offer.slot.is_frozen());
    assert!(!offer.upstream_migrated.await.unwrap_or(false));
}

#[tokio::test]
async fn offer_that_is_taken_can_not_be_withdrawn() {
    let offer = Offer::new().await;
    offer.flush();
    assert!(offer.slot.is_frozen());
    assert!(!offer.claim.claim());
}

/// The receiving side of a process, with its queue of streams.
fn receive_at(path: &SocketPath) -> mpsc::Receiver<ReceivedStream> {
    let listener = UnixListener::bind(&path.0).unwrap();
    let (queue, received) = mpsc::channel(1);
    tokio::spawn(stream_migration::receive_streams(listener, queue, log()));
    received
}

#[tokio::test]
async fn received_stream_arrives_with_its_state() {
    let path = SocketPath::new();
    let mut received = receive_at(&path);
    let sender = path.sender();
    let offer = Offer::new().await;
    assert_eq!(offer.migrate(&sender).await, (true, true));
    let stream = received.recv().await.unwrap();
    assert_eq!(
        stream.client_state.client_request_id.as_deref(),
        Some("moves")
    );
    assert!(!stream.client_state.connection.closes_after_response);
}

/// The process ends: its frontend has closed the queue, and nothing is accepted that it would not see.
#[tokio::test]
async fn process_that_ends_accepts_no_stream() {
    let path = SocketPath::new();
    let mut received = receive_at(&path);
    received.close();
    let sender = path.sender();
    let offer = Offer::new().await;
    assert_eq!(offer.migrate(&sender).await, (false, false));
    assert!(received.recv().await.is_none());
}

/// The frontend closes the queue while streams are on their way: each is either seen by it or stays with its sender.
#[tokio::test]
async fn stream_is_seen_by_a_frontend_that_ends_or_stays_with_its_sender() {
    for turns_before_close in 0..40 {
        let path = SocketPath::new();
        let mut received = receive_at(&path);
        let sender = path.sender();
        let offers = [Offer::new().await, Offer::new().await];
        let [first, second] = offers.map(|offer| offer.migrate(&sender));
        let close = async {
            for _ in 0..turns_before_close {
                tokio::task::yield_now().await;
            }
            received.close();
            let mut count = 0;
            while received.recv().await.is_some() {
                count += 1;
            }
            count
        };
        let (first, second, seen) = tokio::join!(first, second, close);
        let migrated = usize::from(first.0) + usize::from(second.0);
        assert_eq!(seen, migrated, "closed after {turns_before_close} turns");
        assert_eq!((first.0, second.0), (first.1, second.1));
    }
}

/// Where the receiver's process is short of descriptors, the system drops those of the frame.
#[tokio::test]
async fn frame_without_its_descriptors_is_not_accepted() {
    let path = SocketPath::new();
    let mut received = receive_at(&path);
    let mut connection = UnixStream::connect(&path.0).await.unwrap();
    let chunks = ChunkedDecoder::default().to_bytes();
    let frame = [&b"QHM1"[..], &chunks, &0u32.to_be_bytes()].concat();
    connection.write_all(&frame).await.unwrap();
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).await.unwrap();
    assert!(answer.is_empty());
    assert!(received.try_recv().is_err());
}
