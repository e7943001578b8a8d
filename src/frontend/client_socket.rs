//! A client's socket: reports its progress to its [`ClientConnection`], and buffers what is pipelined.
//!
//! hyper reads on only after it has used up all that it was given, and would otherwise not notice that the client has
//! disconnected. So bytes that arrive behind a request in flight are buffered here, where the end of the stream is seen.

use super::admission::ListenerState;
use super::connection::ClientConnection;
use bytes::BytesMut;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// A connection's read buffer: a head must fit, and so much may be buffered behind a request in flight.
pub(super) const READ_BUFFER_BYTES: usize = 16 * 1024;
/// After the last response of a connection, what the client still sends is read for so long ...
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// ... and up to so many bytes: a close over unread bytes resets the connection, and the client loses the response.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// While the buffer behind a request in flight is full, how often it is checked whether the client has disconnected.
const HANGUP_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Bytes read at once behind a request in flight.
const PIPELINE_READ_BYTES: usize = 1024;
/// Bytes read at once while a connection lingers.
const LINGER_READ_BYTES: usize = 4096;

/// What remains of the time and the bytes for a connection that lingers.
struct Linger {
    timer: Pin<Box<Sleep>>,
    bytes_left: usize,
}

/// The socket of a connection.
pub(super) struct ClientSocket {
    stream: TcpStream,
    client: Arc<ClientConnection>,
    /// What has arrived behind the request in flight.
    pipelined: BytesMut,
    /// Whether the client has ended its sending, so that nothing comes behind `pipelined`.
    has_ended: bool,
    listener_state: ListenerState,
    linger: Option<Linger>,
    /// Set while `pipelined` is full.
    hangup_check: Option<Pin<Box<Sleep>>>,
}

impl ClientSocket {
    pub(super) fn new(
        stream: TcpStream,
        client: Arc<ClientConnection>,
        listener_state: ListenerState,
    ) -> Self {
        ClientSocket {
            stream,
            client,
            pipelined: BytesMut::new(),
            has_ended: false,
            listener_state,
            linger: None,
            hangup_check: None,
        }
    }

    /// Ready when the client has disconnected, whatever bytes are unread before that; checks at intervals.
    fn poll_hangup(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if has_hung_up(&self.stream) {
                self.has_ended = true;
                return Poll::Ready(Ok(()));
            }
            let next_check = self
                .hangup_check
                .get_or_insert_with(|| Box::pin(sleep(HANGUP_POLL_INTERVAL)));
            ready!(next_check.as_mut().poll(context));
            self.hangup_check = None;
        }
    }

    /// Buffers what arrives behind a request in flight, up to the limit. Ready when the client has ended its sending.
    fn poll_pipelined(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.has_ended {
            let room = READ_BUFFER_BYTES.saturating_sub(self.pipelined.len());
            if room == 0 {
                return self.poll_hangup(context); // read on when the request is answered
            }
            let mut bytes = [MaybeUninit::uninit(); PIPELINE_READ_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes[..room.min(PIPELINE_READ_BYTES)]);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            self.has_ended = buffer.filled().is_empty();
            self.pipelined.extend_from_slice(buffer.filled());
        }
        Poll::Ready(Ok(()))
    }

    /// Reads from the socket into `buffer`, and keeps back what belongs to a later request.
    fn poll_stream(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let start = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.has_ended = buffer.filled().len() == start;
        let request_bytes = self.client.on_bytes_received(&buffer.filled()[start..]);
        let request_end = start + request_bytes;
        self.pipelined
            .extend_from_slice(&buffer.filled()[request_end..]);
        buffer.set_filled(request_end);
        Poll::Ready(Ok(()))
    }

    /// Moves what was buffered of the next request into `buffer`.
    fn read_pipelined(&mut self, buffer: &mut ReadBuf<'_>) {
        let readable = self.pipelined.len().min(buffer.remaining());
        if readable == 0 {
            return;
        }
        let request_bytes = self.client.on_bytes_received(&self.pipelined[..readable]);
        buffer.put_slice(&self.pipelined.split_to(request_bytes));
    }
}

/// Whether the client has ended its sending or the connection is broken, whatever is unread before that.
fn has_hung_up(stream: &TcpStream) -> bool {
    let mut poll_fds = [PollFd::new(stream, PollFlags::RDHUP)];
    let hangup = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    // A failed call says nothing about the connection: the next check calls again.
    let polled = poll(&mut poll_fds, Some(&Timespec::default()));
    polled.is_ok() && poll_fds[0].revents().intersects(hangup)
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.client.is_response_pending(context) {
            return self.poll_pipelined(context);
        }
        if self.pipelined.is_empty() && !self.has_ended {
            return self.poll_stream(context, buffer);
        }
        self.read_pipelined(buffer);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.client.on_write_polled(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.client.migration_slot().on_flushed(&self.stream);
        }
        flushed
    }

    /// Ends the sending, and then discards what still arrives, up to the client's end or for a bounded time.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let linger = match &mut this.linger {
            Some(linger) => linger,
            None => {
                ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
                // While others wait for a permit, only what has arrived already is read.
                let linger_time = if this.listener_state.is_full() {
                    Duration::ZERO
                } else {
                    LINGER_TIMEOUT
                };
                this.linger.insert(Linger {
                    timer: Box::pin(sleep(linger_time)),
                    bytes_left: MAX_LINGER_BYTES,
                })
            }
        };
        while !this.has_ended && linger.bytes_left > 0 {
            let mut bytes = [MaybeUninit::uninit(); LINGER_READ_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            match Pin::new(&mut this.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) => this.has_ended = buffer.filled().is_empty(),
                Poll::Ready(Err(_)) => this.has_ended = true,
                Poll::Pending => return linger.timer.as_mut().poll(context).map(Ok),
            }
            linger.bytes_left = linger.bytes_left.saturating_sub(buffer.filled().len());
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.client.on_write_polled(&written);
        written
    }
}
