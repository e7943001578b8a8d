//! Connections to nodes: opened within the dial time and the descriptors allowed.

use crate::net::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::net::message_framing::{ChunkedDecoder, ResponseFraming};
use crate::net::system_errors::is_local_shortage;
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// All places for connections are taken.
pub const CROWDED: io::ErrorKind = io::ErrorKind::ResourceBusy;

/// A connection that took longer than this to come up has taken time that its request had told it has left.
const LATE: Duration = Duration::from_millis(50);
/// Between two tries while this machine is short of something.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(10);
/// So many connections that came up late may wait for the request that is to go on them, at each address.
const MOST_PARKED: usize = 8;

/// The connection came up late and is parked: it is there at once for a request that tells the time that is left now.
#[derive(Debug)]
pub struct LateConnect;

impl std::fmt::Display for LateConnect {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the connection came up late")
    }
}

impl std::error::Error for LateConnect {}

/// What a connection has carried, which tells how it broke.
#[derive(Default)]
pub struct TrackedConnection {
    requests: AtomicU32,
    waits: AtomicBool,
    unwritten: AtomicBool,
    answer: Mutex<ResponseFraming>,
    stream: Weak<TcpStream>,
    frozen: Mutex<(bool, Option<Waker>)>,
    unwanted: AtomicBool,
}

impl TrackedConnection {
    fn answer(&self) -> MutexGuard<'_, ResponseFraming> {
        self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn frozen(&self) -> MutexGuard<'_, (bool, Option<Waker>)> {
        self.frozen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Is let go of, if nothing is under way on it; else it goes on, and is not kept after that.
    fn let_go(&self) {
        self.unwanted.store(true, Ordering::Relaxed);
        if let Some(waker) = self.frozen().1.take() {
            waker.wake();
        }
    }

    /// Is closed at this moment, whatever is under way on it.
    pub fn close(&self) {
        if let Some(stream) = self.stream.upgrade() {
            let _ = SockRef::from(&*stream).shutdown(Shutdown::Both); // it may be closed already
        }
    }

    fn is_idle(&self) -> bool {
        !self.waits.load(Ordering::Relaxed) && self.answer().is_over()
    }

    /// Reads nothing more, or reads on.
    pub fn freeze(&self, freeze: bool) {
        let waker = std::mem::replace(&mut *self.frozen(), (freeze, None)).1;
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Where the body of the last answer stands by all that was read, and how much data it has had so far.
    pub fn body(&self) -> Option<(ChunkedDecoder, u64)> {
        self.answer().body()
    }

    /// The connection's own descriptor once more.
    pub fn descriptor(&self) -> Option<OwnedFd> {
        self.stream.upgrade()?.as_fd().try_clone_to_owned().ok()
    }

    fn read(&self, bytes: &[u8]) {
        self.waits.store(false, Ordering::Relaxed);
        self.answer().feed(bytes);
    }

    fn wrote(&self, wrote: &Poll<io::Result<usize>>, all: usize) {
        if !self.waits.swap(true, Ordering::Relaxed) {
            self.requests.fetch_add(1, Ordering::Relaxed);
            *self.answer() = ResponseFraming::default();
        }
        let whole = matches!(wrote, Poll::Ready(Ok(taken)) if *taken == all);
        self.unwritten.store(!whole, Ordering::Relaxed);
    }

    /// Its request was not the first, and nothing has come back: the node may have closed it while it stood idle.
    pub fn was_kept(&self) -> bool {
        self.requests.load(Ordering::Relaxed) > 1 && self.waits.load(Ordering::Relaxed)
    }

    /// Some of what it was given last was not taken.
    pub fn is_unwritten(&self) -> bool {
        self.unwritten.load(Ordering::Relaxed)
    }
}

/// A connection and its place among the descriptors that may be open.
pub struct Transport {
    stream: Arc<TcpStream>,
    carried: Arc<TrackedConnection>,
    _place: ConnectionPermit,
}

impl Transport {
    fn writes(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                wrote => return Poll::Ready(wrote),
            }
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        {
            let mut frozen = self.carried.frozen();
            frozen.1 = Some(context.waker().clone());
            if frozen.0 {
                return Poll::Pending;
            }
        }
        // To who keeps it, it looks as if its node had closed it.
        if self.carried.unwanted.load(Ordering::Relaxed) && self.carried.is_idle() {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(read) => buffer.advance(read),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(error) => return Poll::Ready(Err(error)),
            }
            if buffer.filled().len() > before {
                self.carried.read(&buffer.filled()[before..]);
            }
            return Poll::Ready(Ok(()));
        }
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = self.writes(context, |stream| stream.try_write(bytes));
        self.carried.wrote(&wrote, bytes.len());
        wrote
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // One that has moved is another process's too: an end here would be one there.
        let moved = self.carried.frozen().0;
        let done = if moved {
            Ok(())
        } else {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)
        };
        Poll::Ready(done.or_else(|error| match error.kind() {
            io::ErrorKind::NotConnected => Ok(()),
            _ => Err(error),
        }))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = self.writes(context, |stream| stream.try_write_vectored(slices));
        self.carried
            .wrote(&wrote, slices.iter().map(|slice| slice.len()).sum());
        wrote
    }
}

/// Connections that came up late, and since when each is up.
type Parked = HashMap<SocketAddr, Vec<(Transport, Instant)>>;

/// Opens connections. Cheap to clone; clones share the places and the bars.
#[derive(Clone)]
pub struct Connector {
    limit: Duration,
    places: ConnectionLimit,
    barred: Arc<Mutex<HashSet<Arc<str>>>>,
    wires: Arc<Mutex<HashMap<SocketAddr, Vec<Weak<TrackedConnection>>>>>,
    parked: Arc<Mutex<Parked>>,
    changed: watch::Sender<()>,
}

impl Connector {
    /// As many connections as there are places, each up within `limit`.
    pub fn new(limit: Duration, places: ConnectionLimit) -> Self {
        Connector {
            limit,
            places,
            barred: Arc::default(),
            wires: Arc::default(),
            parked: Arc::default(),
            changed: watch::Sender::new(()),
        }
    }

    fn barred(&self) -> MutexGuard<'_, HashSet<Arc<str>>> {
        self.barred.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Nothing new may go to this address, not even what waits for a connection; or it may again.
    pub fn bar(&self, address: Arc<str>, barred: bool) {
        if barred {
            let there = address
                .parse()
                .ok()
                .and_then(|address| self.wires().remove(&address));
            there
                .iter()
                .flatten()
                .filter_map(Weak::upgrade)
                .for_each(|carried| carried.let_go());
            self.barred().insert(address);
            self.changed.send_replace(());
        } else {
            self.barred().remove(&address);
        }
    }

    fn wires(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Weak<TrackedConnection>>>> {
        self.wires.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nothing new may go to this address.
    pub fn is_barred(&self, address: &str) -> bool {
        self.barred().contains(address)
    }

    /// Waits until the address is barred while `still` holds; for ever where it does not hold by then.
    pub async fn barred_while(&self, address: &str, still: impl Fn() -> bool) {
        let mut changed = self.changed.subscribe();
        while !(self.is_barred(address) && still()) {
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn parked(&self) -> MutexGuard<'_, Parked> {
        self.parked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a connection that came up late for the request that is sent anew at once, and for no longer.
    fn park(&self, target: SocketAddr, wire: Transport) {
        let mut parked = self.parked();
        parked.retain(|_, there| {
            there.retain(|(_, since)| since.elapsed() < self.limit);
            !there.is_empty()
        });
        let there = parked.entry(target).or_default();
        if there.len() < MOST_PARKED {
            there.push((wire, Instant::now()));
        }
    }

    /// A connection that came up late a moment ago.
    fn take_parked(&self, target: SocketAddr) -> Option<Transport> {
        let mut parked = self.parked();
        let there = parked.get_mut(&target)?;
        let taken = there
            .pop()
            .filter(|(_, since)| since.elapsed() < self.limit);
        if there.is_empty() {
            parked.remove(&target);
        }
        taken.map(|(wire, _)| wire)
    }

    /// Opens a connection for a request that tells the server how long it may take: an error of [`LateConnect`] where the
    /// connection came up, but so late that what the request tells holds no more. A second call finds it.
    pub async fn dial_in_time(&self, address: &str) -> io::Result<Transport> {
        let target: SocketAddr = address.parse().map_err(io::Error::other)?;
        if let Some(wire) = self.take_parked(target) {
            return Ok(wire);
        }
        let began = Instant::now();
        let wire = self.dial(address).await?;
        if began.elapsed() <= LATE {
            return Ok(wire);
        }
        self.park(target, wire);
        Err(io::Error::other(LateConnect))
    }

    /// How long a connection may take to come up.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Opens a connection. Where all places are taken for as long as that may take, the error is [`CROWDED`]:
    /// it tells nothing of the node.
    pub async fn dial(&self, address: &str) -> io::Result<Transport> {
        let target: SocketAddr = address.parse().map_err(io::Error::other)?;
        let place = timeout(self.limit, self.places.acquire(1))
            .await
            .ok()
            .flatten();
        let place = place.ok_or(io::Error::from(CROWDED))?;
        let dialled = connect_within(self.limit, || TcpStream::connect(target)).await;
        dialled.map(|stream| {
            // Without it small writes wait a little, which is no reason to give the connection up.
            let _ = stream.set_nodelay(true);
            let stream = Arc::new(stream);
            let carried = Arc::new(TrackedConnection {
                stream: Arc::downgrade(&stream),
                ..TrackedConnection::default()
            });
            let mut wires = self.wires();
            // Those that are closed go as others are opened, also at nodes that are gone.
            wires.retain(|_, there| {
                there.retain(|carried| carried.strong_count() > 0);
                !there.is_empty()
            });
            wires
                .entry(target)
                .or_default()
                .push(Arc::downgrade(&carried));
            drop(wires);
            Transport {
                stream,
                carried,
                _place: place,
            }
        })
    }
}

/// Connects within this time. While this machine itself is short of something it is tried again, and where that lasts the
/// error is [`CROWDED`]: it tells nothing of the server.
async fn connect_within<T, C>(limit: Duration, mut connect: impl FnMut() -> C) -> io::Result<T>
where
    C: Future<Output = io::Result<T>>,
{
    let until = Instant::now() + limit;
    loop {
        match timeout_at(until, connect()).await {
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            Ok(Err(error)) if is_local_shortage(&error) => {
                if Instant::now() + SHORTAGE_PAUSE >= until {
                    return Err(CROWDED.into());
                }
                sleep(SHORTAGE_PAUSE).await;
            }
            Ok(connected) => return connected,
        }
    }
}

/// A connection as hyper-util's client wants it.
pub struct HttpTransport(TokioIo<Transport>);

impl Connection for HttpTransport {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.0.inner().carried.clone())
    }
}

impl hyper::rt::Read for HttpTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl hyper::rt::Write for HttpTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        hyper::rt::Write::poll_write(Pin::new(&mut self.0), context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        hyper::rt::Write::poll_flush(Pin::new(&mut self.0), context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        hyper::rt::Write::poll_shutdown(Pin::new(&mut self.0), context)
    }

    fn is_write_vectored(&self) -> bool {
        hyper::rt::Write::is_write_vectored(&self.0)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        hyper::rt::Write::poll_write_vectored(Pin::new(&mut self.0), context, slices)
    }
}

impl tower_service::Service<Uri> for Connector {
    type Response = HttpTransport;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<HttpTransport>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let dialer = self.clone();
        Box::pin(async move {
            let address = uri.authority().map_or("", |authority| authority.as_str());
            Ok(HttpTransport(TokioIo::new(
                dialer.dial_in_time(address).await?,
            )))
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/backend/connector.rs"]
mod tests;
