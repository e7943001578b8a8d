//! Connections from clients: taken, bounded, and ended in order.
//!
//! A connection has a [`ClientConnection`], which says what it is doing and since when. Mute and slow clients lose it in
//! time, and at the limit one that stands idle makes room for a new one, so that nobody can lock the others out.

use super::connection::{ClientConnection, Phase, MUTE_TIME, REPLACEABLE_TIME};
use super::ShutdownPhase;
use crate::net::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::net::message_framing::DeclaredBody;
use crate::net::system_errors::AcceptPauses;
use crate::upgrade::stream_migration::MigrationSender;
use axum::body::Body;
use axum::http::{header, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Router;
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use slog::{info, warn, Logger};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant, Sleep};
use tower_service::Service;

/// When an answer was the last one of its connection, what the client still sends is read for so long ...
const LINGER_TIME: Duration = Duration::from_millis(300);
/// ... and up to so many bytes: a close over unread bytes resets the connection, and takes the answer with it.
const LINGER_BYTES: usize = 1 << 20;
/// While no more is read of what comes behind an open request, the client's end is looked for this often.
const END_LOOK: Duration = Duration::from_millis(40);
/// A connection's read buffer: a head must fit, and so much may wait behind a request that is open.
const BUFFER: usize = 16 * 1024;

/// An open request: its client is idle again when it is let go, with the last of its answer.
struct OpenRequest(Arc<ClientConnection>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.answered();
    }
}

/// An answer's body, which holds its request open.
struct TrackedBody {
    body: Body,
    _open: OpenRequest,
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A client's socket, which tells its client that bytes have come. What comes behind a request that is open waits here:
/// the server reads on only while it has read all there is, and else would not notice that the client has gone.
struct ClientSocket {
    stream: TcpStream,
    client: Arc<ClientConnection>,
    behind: BytesMut,
    over: bool, // nothing comes behind that
    listener_state: ListenerState,
    lingers: Option<(Pin<Box<Sleep>>, usize)>, // how long, and for how many bytes
    end_look: Option<Pin<Box<Sleep>>>, // when the client's end is looked for behind bytes that are not read
}

impl ClientSocket {
    fn new(
        stream: TcpStream,
        client: Arc<ClientConnection>,
        listener_state: ListenerState,
    ) -> Self {
        ClientSocket {
            stream,
            client,
            behind: BytesMut::new(),
            over: false,
            listener_state,
            lingers: None,
            end_look: None,
        }
    }

    /// Looks from time to time whether the client has gone, behind bytes that are not read. Ready when it has.
    fn poll_hung_up(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if has_hung_up(&self.stream) {
                self.over = true;
                return Poll::Ready(Ok(()));
            }
            let look = self
                .end_look
                .get_or_insert_with(|| Box::pin(sleep(END_LOOK)));
            ready!(look.as_mut().poll(context));
            self.end_look = None;
        }
    }

    /// Reads what comes behind an open request, until there is no more room for it. Ready at the client's end.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.over {
            let room = BUFFER.saturating_sub(self.behind.len());
            if room == 0 {
                return self.poll_hung_up(context); // read on when the request is answered
            }
            let mut some = [MaybeUninit::uninit(); 1024];
            let mut some = ReadBuf::uninit(&mut some[..room.min(1024)]);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut some))?;
            self.over = some.filled().is_empty();
            self.behind.extend_from_slice(some.filled());
        }
        Poll::Ready(Ok(()))
    }
}

/// Whether the other side has ended its sending, or the connection has broken, whatever lies unread before that.
fn has_hung_up(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    // An error of the call tells nothing: it is looked again.
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(ended)
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.client.awaits_answer(context) {
            return self.poll_end(context);
        }
        if self.behind.is_empty() && !self.over {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
            self.over = buffer.filled().len() == before;
            let belong = self.client.received(&buffer.filled()[before..]);
            self.behind
                .extend_from_slice(&buffer.filled()[before + belong..]);
            buffer.set_filled(before + belong);
            return Poll::Ready(Ok(()));
        }
        let room = self.behind.len().min(buffer.remaining());
        let belong = if room > 0 {
            self.client.received(&self.behind[..room])
        } else {
            0
        };
        buffer.put_slice(&self.behind.split_to(belong));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.client.wrote(&wrote);
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.client.exit.on_flushed(&self.stream);
        }
        flushed
    }

    /// Ends the sending, and then discards what still comes, up to the client's end or for a bounded time.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let (until, left) = match &mut this.lingers {
            Some(lingers) => lingers,
            None => {
                ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
                // Where others wait for a place, only what is there already is read.
                let time = if this.listener_state.is_full() {
                    Duration::ZERO
                } else {
                    LINGER_TIME
                };
                this.lingers.insert((Box::pin(sleep(time)), LINGER_BYTES))
            }
        };
        while !this.over && *left > 0 {
            let mut some = [MaybeUninit::uninit(); 4096];
            let mut some = ReadBuf::uninit(&mut some);
            match Pin::new(&mut this.stream).poll_read(context, &mut some) {
                Poll::Ready(Ok(())) => this.over = some.filled().is_empty(),
                Poll::Ready(Err(_)) => this.over = true,
                Poll::Pending => return until.as_mut().poll(context).map(Ok),
            }
            *left = left.saturating_sub(some.filled().len());
        }
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.client.wrote(&wrote);
        wrote
    }
}

/// What connections know of their listener.
#[derive(Clone)]
struct ListenerState {
    places: ConnectionLimit,
    waited: Arc<Mutex<Option<Instant>>>,
    course: watch::Receiver<ShutdownPhase>,
    mover: MigrationSender,
}

impl ListenerState {
    fn waited(&self) -> MutexGuard<'_, Option<Instant>> {
        self.waited.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A new connection found no place of late, nor one that might be closed for it. Answers then end their
    /// connections, as the protocol allows at any time: crowds of clients that ask once and stay would else take
    /// all places for as long as idle ones are kept.
    fn is_full(&self) -> bool {
        self.waited()
            .is_some_and(|at| at.elapsed() < REPLACEABLE_TIME)
            || self.places.over_limit() > 0
    }

    fn leaves(&self) -> bool {
        *self.course.borrow() > ShutdownPhase::Serving
    }
}

/// Whether a request's body can hide a second request: one that has a length stated beside its chunks, as hyper does
/// not show, or whose head could not be followed.
fn is_doubtful(request: &Request<Incoming>, stated: Option<DeclaredBody>) -> bool {
    let coded = request.headers().contains_key(header::TRANSFER_ENCODING);
    coded && stated.is_none_or(|stated| !stated.chunked || stated.length.is_some())
}

/// Serves one request. A doubtful body is refused, whatever its route.
async fn answer(
    mut routes: Router,
    listener_state: ListenerState,
    client: Arc<ClientConnection>,
    mut request: Request<Incoming>,
) -> Response {
    let stated = client.requests().next_head();
    client.set_phase(Phase::Open);
    let open = OpenRequest(client);
    request.extensions_mut().insert(open.0.exit.clone());
    let mut response = if is_doubtful(&request, stated) {
        let closing = [(header::CONNECTION, "close")];
        (
            StatusCode::LENGTH_REQUIRED,
            closing,
            "a length, or chunks alone, are required\n",
        )
            .into_response()
    } else {
        match routes.call(request).await {
            Ok(response) => response,
            Err(never) => match never {},
        }
    };
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        open.0.requests().stop();
    } else if listener_state.is_full() || listener_state.leaves() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| Body::new(TrackedBody { body, _open: open }))
}

async fn serve_one(
    stream: TcpStream,
    client: Arc<ClientConnection>,
    routes: Router,
    listener_state: ListenerState,
) {
    let _ = stream.set_nodelay(true);
    let (mut course, mover) = (listener_state.course.clone(), listener_state.mover.clone());
    let taken = client.clone();
    let wire = TokioIo::new(ClientSocket::new(
        stream,
        client.clone(),
        listener_state.clone(),
    ));
    let service = service_fn(move |request| {
        let answer = answer(
            routes.clone(),
            listener_state.clone(),
            taken.clone(),
            request,
        );
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(BUFFER);
    let mut connection = pin!(http.serve_connection(wire, service).with_upgrades());
    let mut ending = false;
    loop {
        tokio::select! {
            // First, so that it does not come between a move and its end.
            biased;
            () = client.is_at_rest(&mut course), if !ending => {
                ending = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = connection.as_mut() => return,
            () = client.over() => return,
            // DropReason as it is, without an end: the successor has the socket too.
            moved = client.exit.migrate(&mover) => if moved { return },
        }
    }
}

/// The connections of a listener.
struct Connections {
    listener_state: ListenerState,
    taken: HashMap<tokio::task::Id, Arc<ClientConnection>>,
}

impl Connections {
    /// Serves a connection that has its place.
    fn serve(
        &mut self,
        connections: &mut JoinSet<()>,
        stream: TcpStream,
        place: ConnectionPermit,
        routes: &Router,
    ) {
        let client = ClientConnection::new();
        let (routes, listener_state, of_task) =
            (routes.clone(), self.listener_state.clone(), client.clone());
        let task = connections.spawn(async move {
            serve_one(stream, of_task, routes, listener_state).await;
            drop(place);
        });
        self.taken.insert(task.id(), client);
    }

    /// A place for a new connection. At the limit a mute one, or the one that has stood idle longest, is closed for
    /// it; where none has done so for long enough, the new one waits in the listener's queue.
    async fn place(&self) -> Option<ConnectionPermit> {
        let free = self.listener_state.places.acquire(1);
        let mut free = pin!(free);
        loop {
            let replaceable = self
                .taken
                .values()
                .filter_map(|client| Some((client.replaceable_at()?, client)));
            let first = replaceable.min_by_key(|(at, _)| *at);
            let wait = first.map_or_else(|| Instant::now() + MUTE_TIME, |(at, _)| at);
            if self.listener_state.places.available() == 0 && wait > Instant::now() {
                *self.listener_state.waited() = Some(Instant::now());
            }
            tokio::select! {
                biased;
                place = free.as_mut() => return place,
                () = sleep_until(wait) => {}
            }
            if let Some((_, client)) = first {
                client.close.notify_one();
                // Its task lets go of the place as soon as it runs; one that got a request meanwhile does not.
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Serves clients, as many connections as there are places. When the dispatcher leaves, no more of them are taken;
/// when it ends, those that are idle are closed, and it returns when all are over. Streams that are to move
/// go to the `mover`.
pub async fn serve(
    listener: TcpListener,
    routes: Router,
    places: ConnectionLimit,
    mut course: watch::Receiver<ShutdownPhase>,
    mover: MigrationSender,
    log: Logger,
) {
    let mut tracked = Connections {
        listener_state: ListenerState {
            places,
            waited: Arc::default(),
            course: course.clone(),
            mover,
        },
        taken: HashMap::new(),
    };
    let mut connections = JoinSet::new();
    let mut pauses = AcceptPauses::default();
    let mut leaving = course.clone();
    loop {
        while let Some(ended) = connections.try_join_next_with_id() {
            let task = ended.map_or_else(|error| error.id(), |(task, ())| task);
            tracked.taken.remove(&task);
        }
        let accepted = tokio::select! {
            biased;
            _ = leaving.wait_for(|course| *course > ShutdownPhase::Serving) => break,
            accepted = async {
                let place = tracked.place().await;
                (listener.accept().await, place)
            } => accepted,
        };
        let (stream, place) = match accepted {
            (Ok((stream, _)), Some(place)) => (stream, place),
            (Err(error), _) => {
                let pause = pauses.delay_after(&error);
                warn!(log, "accept failed"; "error" => %error, "pause_ms" => pause.as_millis() as u64);
                sleep(pause).await;
                continue;
            }
            (_, None) => break,
        };
        pauses.reset();
        tracked.serve(&mut connections, stream, place, &routes);
    }
    if *course.borrow() == ShutdownPhase::Closing {
        // Nobody else takes those that came before this and wait in the queue.
        while let (Some(place), Some(Ok((stream, _)))) = (
            tracked.listener_state.places.try_acquire(1),
            listener.accept().now_or_never(),
        ) {
            tracked.serve(&mut connections, stream, place, &routes);
        }
    }
    drop(listener);
    info!(log, "no more connections are taken"; "open" => connections.len());
    let _ = course
        .wait_for(|course| *course == ShutdownPhase::Closing)
        .await;
    while connections.join_next().await.is_some() {}
}
