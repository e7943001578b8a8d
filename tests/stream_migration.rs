//! Migration of a single stream with a forced order of steps: which process owns the stream if the receiver is slow,
//! exits or gets no descriptors, or if the offer is withdrawn. Sender and receiver both run in the test's process.

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

/// The byte with which the receiver accepts a stream.
const ACCEPTED: u8 = b'Y';
/// Length of the frame of an [`Offer`]: header, extension and client request id.
const FRAME_BYTES: usize = 18 + 17 + "moves".len();

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// The path of a Unix socket, whose file is removed on drop.
struct SocketPath(PathBuf);

impl SocketPath {
    fn new() -> SocketPath {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("quartzhall-migration-{}-{number}.sock", std::process::id());
        SocketPath(std::env::temp_dir().join(name))
    }

    /// Starts a sender of streams to the process that listens on this path.
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

/// Returns a connected pair: the dispatcher's socket and its peer's.
async fn socket_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (accepted.unwrap().0, connected.unwrap())
}

/// A stream that its upstream side has offered for migration.
struct Offer {
    slot: MigrationSlot,
    client: TcpStream,
    claim: OfferClaim,
    upstream_migrated: oneshot::Receiver<bool>,
    /// The sockets of the client and of the endpoint, which stay open.
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

    /// Adds the client half, as a connection does when it has written everything before the offer.
    fn flush(&self) {
        self.slot.on_flushed(&self.client, || ConnectionState {
            unsent: Bytes::new(),
            pipelined: Bytes::new(),
            closes_after_response: false,
        });
    }

    /// Migrates the stream. Returns what the client's side and the upstream side were told: whether it has migrated.
    async fn migrate(mut self, sender: &MigrationSender) -> (bool, bool) {
        self.flush();
        let client_result = timeout(Duration::from_secs(5), self.slot.migrate(sender))
            .await
            .expect("a result in time");
        let upstream_result = (&mut self.upstream_migrated).await.unwrap_or(false);
        assert_eq!(self.slot.is_frozen(), client_result);
        (client_result, upstream_result)
    }
}

async fn read_frame(connection: &mut UnixStream) {
    let mut frame = [0; FRAME_BYTES];
    // Two reads: the system ends a read after data that came with descriptors.
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
    // The receiver has the whole frame, but its failed write tells it that it does not own the stream.
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
    // The receiver owned the stream from its acceptance on. Continuing here could send events twice.
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
    assert!(offer.claim.claim(), "the upstream side withdraws first");
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

/// Starts to receive streams on this path, and returns the queue of received ones.
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

/// The frontend has closed its queue at shutdown: a stream accepted after that would have no owner.
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

/// The frontend closes its queue while streams are being sent: each stream either reaches the frontend or stays with
/// its sender.
#[tokio::test]
async fn stream_is_seen_by_a_frontend_that_ends_or_stays_with_its_sender() {
    for yields_before_close in 0..40 {
        let path = SocketPath::new();
        let mut received = receive_at(&path);
        let sender = path.sender();
        let offers = [Offer::new().await, Offer::new().await];
        let [first, second] = offers.map(|offer| offer.migrate(&sender));
        let close = async {
            for _ in 0..yields_before_close {
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
        assert_eq!(seen, migrated, "closed after {yields_before_close} yields");
        assert_eq!((first.0, second.0), (first.1, second.1));
    }
}

/// The system drops the descriptors of a frame if the receiving process has too many open.
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
