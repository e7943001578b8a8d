//! Connections to nodes: opened within the dial time and the descriptors allowed.

use crate::places::{Place, Places};
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use std::collections::HashSet;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// All places for connections are taken.
pub const CROWDED: io::ErrorKind = io::ErrorKind::ResourceBusy;

/// What a connection has carried, which tells how it broke.
#[derive(Default)]
pub struct Carried {
    requests: AtomicU32,
    waits: AtomicBool,
    unwritten: AtomicBool,
}

impl Carried {
    fn read(&self) {
        self.waits.store(false, Ordering::Relaxed);
    }

    fn wrote(&self, wrote: &Poll<io::Result<usize>>, all: usize) {
        if !self.waits.swap(true, Ordering::Relaxed) {
            self.requests.fetch_add(1, Ordering::Relaxed);
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
pub struct Wire {
    stream: TcpStream,
    carried: Arc<Carried>,
    _place: Place,
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.carried.read();
        }
        read
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.carried.wrote(&wrote, bytes.len());
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.carried.wrote(&wrote, slices.iter().map(|slice| slice.len()).sum());
        wrote
    }
}

/// Opens connections. Cheap to clone; clones share the places and the bars.
#[derive(Clone)]
pub struct Dialer {
    limit: Duration,
    places: Places,
    barred: Arc<Mutex<HashSet<Arc<str>>>>,
    changed: watch::Sender<()>,
}

impl Dialer {
    /// As many connections as there are places, each up within `limit`.
    pub fn new(limit: Duration, places: Places) -> Self {
        Dialer { limit, places, barred: Arc::default(), changed: watch::Sender::new(()) }
    }

    fn barred(&self) -> MutexGuard<'_, HashSet<Arc<str>>> {
        self.barred.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Nothing new may go to this address, not even what waits for a connection; or it may again.
    pub fn bar(&self, address: Arc<str>, barred: bool) {
        if barred {
            self.barred().insert(address);
            self.changed.send_replace(());
        } else {
            self.barred().remove(&address);
        }
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

    /// How long a connection may take to come up.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Opens a connection. Where all places are taken for as long as that may take, the error is [`CROWDED`]:
    /// it tells nothing of the node.
    pub async fn dial(&self, address: &str) -> io::Result<Wire> {
        let target: SocketAddr = address.parse().map_err(io::Error::other)?;
        let place = timeout(self.limit, self.places.take(1)).await.ok().flatten();
        let place = place.ok_or(io::Error::from(CROWDED))?;
        let dialled = timeout(self.limit, async {
            let stream = TcpStream::connect(target).await?;
            stream.set_nodelay(true)?;
            Ok(Wire { stream, carried: Arc::default(), _place: place })
        });
        dialled.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

/// A connection as hyper-util's client wants it.
pub struct HttpWire(TokioIo<Wire>);

impl Connection for HttpWire {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.0.inner().carried.clone())
    }
}

impl hyper::rt::Read for HttpWire {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl hyper::rt::Write for HttpWire {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
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
        mut self: Pin<&mut Self>, context: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        hyper::rt::Write::poll_write_vectored(Pin::new(&mut self.0), context, slices)
    }
}

impl tower_service::Service<Uri> for Dialer {
    type Response = HttpWire;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<HttpWire>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let dialer = self.clone();
        Box::pin(async move {
            let address = uri.authority().map_or("", |authority| authority.as_str());
            Ok(HttpWire(TokioIo::new(dialer.dial(address).await?)))
        })
    }
}
