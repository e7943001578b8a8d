//! The socket of a client connection: reports its progress to its [`ClientConnection`], and buffers pipelined requests.
//!
//! hyper reads on only after it has consumed all bytes that it was given, and would otherwise not notice that the
//! client has disconnected. So bytes that arrive after a request in flight are buffered here, and the end of the
//! client's stream is detected here. That end may lie behind more bytes than the buffers of both systems hold; so what
//! arrives after a full buffer is discarded. Nothing that a client has sent after it is served then.
//!
//! hyper also serves connections on which another process has begun a response. The socket gives hyper a synthetic
//! request, and discards the response head that hyper writes, because the other process has already sent one.

use super::admission::ListenerState;
use super::connection::ClientConnection;
use super::discarded_head::DiscardedHead;
use super::memory_budget::{MemoryReservation, HEAD_BYTES};
use crate::upgrade::stream_migration::ConnectionState;
use bytes::{Buf, Bytes, BytesMut};
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

/// The size of a connection's read buffer. It bounds a request's head, and the bytes that are buffered after a request
/// in flight.
pub(super) const READ_BUFFER_BYTES: usize = HEAD_BYTES;
/// How long a connection lingers after its last response: what the client still sends is read and discarded. Closing a
/// socket with unread bytes would reset the connection, and the client would lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// The most bytes that are discarded while a connection lingers.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// How long the buffer for pipelined requests may be full before what follows is discarded. A client that waits for its
/// responses in turn is not affected, as each frees the buffer.
const FULL_BUFFER_TIMEOUT: Duration = Duration::from_millis(40);
/// The most bytes per read after a request in flight.
const PIPELINE_READ_BYTES: usize = 1024;
/// The most bytes per read of what is discarded.
const DISCARD_READ_BYTES: usize = 4096;

/// The most response bytes that are buffered here for a slow client, to be handed over when its stream migrates. Any
/// more stays with hyper, so that back-pressure reaches the endpoint.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// The request that hyper reads first on a connection on which another process has begun a response.
const RESUMING_REQUEST: &[u8] = b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

/// The remaining time and bytes of a connection that lingers.
struct Linger {
    timer: Pin<Box<Sleep>>,
    bytes_left: usize,
}

/// The socket of a client connection.
pub(super) struct ClientSocket {
    stream: TcpStream,
    client: Arc<ClientConnection>,
    /// Bytes received after the request in flight.
    pipelined: BytesMut,
    /// Response bytes that hyper has written and the socket has not accepted yet.
    unsent: BytesMut,
    /// The memory of `unsent`; released when it is empty.
    unsent_memory: Vec<MemoryReservation>,
    /// Set while the head of a resumed response is discarded.
    discarded_head: Option<DiscardedHead>,
    /// Whether the client has closed its sending side, so that nothing follows `pipelined`.
    is_read_closed: bool,
    listener_state: ListenerState,
    linger: Option<Linger>,
    /// When reading goes on although `pipelined` is full; set while it is.
    full_buffer_timer: Option<Pin<Box<Sleep>>>,
    /// Set once bytes after those in `pipelined` were discarded, so that nothing that follows can be served.
    has_discarded: bool,
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
            unsent: BytesMut::new(),
            unsent_memory: Vec::new(),
            discarded_head: None,
            is_read_closed: false,
            listener_state,
            linger: None,
            full_buffer_timer: None,
            has_discarded: false,
        }
    }

    /// Resumes a connection that another process has left in the middle of a response.
    pub(super) fn resume(mut self, state: &ConnectionState) -> Self {
        self.pipelined.extend_from_slice(RESUMING_REQUEST);
        self.pipelined.extend_from_slice(&state.pipelined);
        self.unsent.extend_from_slice(&state.unsent);
        self.discarded_head = Some(DiscardedHead::default());
        self
    }

    /// Returns the state from which another process can resume the connection.
    fn state(&self) -> ConnectionState {
        let pipelined = if self.has_discarded {
            Bytes::new()
        } else {
            self.pipelined.clone().freeze()
        };
        ConnectionState {
            unsent: self.unsent.clone().freeze(),
            pipelined,
            closes_after_response: self.has_discarded || self.client.closes_after_response(),
        }
    }

    /// Returns whether another process may own the socket at this moment.
    fn is_frozen(&self) -> bool {
        self.client.migration_slot().is_frozen()
    }

    /// Writes the unsent bytes. Ready when there are none left.
    fn poll_unsent(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.unsent.is_empty() {
            let written = Pin::new(&mut self.stream).poll_write(context, &self.unsent);
            self.client.on_write_polled(&written);
            let written_bytes = ready!(written)?;
            if written_bytes == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.unsent.advance(written_bytes);
        }
        if !self.unsent_memory.is_empty() {
            self.unsent = BytesMut::new();
            self.unsent_memory.clear();
        }
        Poll::Ready(Ok(()))
    }

    /// Buffers bytes that the socket does not accept, if the stream is to migrate. hyper then reaches the stream's
    /// offer to migrate even if the client reads slowly.
    fn buffer_for_migration(&mut self, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let has_room = self.unsent.len() + bytes.len() <= MAX_UNSENT_BYTES;
        if !has_room || !self.listener_state.is_migration_due() {
            return Poll::Pending;
        }
        let client_memory = self.listener_state.client_memory();
        let Some(memory) = client_memory.try_reserve_for_migration(bytes.len()) else {
            return Poll::Pending;
        };
        self.unsent_memory.push(memory);
        self.unsent.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    /// Ready when the client has disconnected, even if bytes before that are unread. While `pipelined` stays full, discards
    /// what follows: the client's end may not have arrived before those bytes are read.
    fn poll_hangup(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if has_hung_up(&self.stream) {
            self.is_read_closed = true;
            return Poll::Ready(Ok(()));
        }
        if !self.has_discarded {
            let timer = self
                .full_buffer_timer
                .get_or_insert_with(|| Box::pin(sleep(FULL_BUFFER_TIMEOUT)));
            ready!(timer.as_mut().poll(context));
        }
        while !self.is_read_closed {
            let mut bytes = [MaybeUninit::uninit(); DISCARD_READ_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            self.is_read_closed = buffer.filled().is_empty();
            self.has_discarded = true;
        }
        Poll::Ready(Ok(()))
    }

    /// Buffers bytes that arrive after a request in flight, up to the limit. Ready when the client has closed its
    /// sending side.
    fn poll_pipelined(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.is_read_closed {
            let room = READ_BUFFER_BYTES.saturating_sub(self.pipelined.len());
            if room == 0 || self.has_discarded {
                return self.poll_hangup(context);
            }
            self.full_buffer_timer = None;
            let mut bytes = [MaybeUninit::uninit(); PIPELINE_READ_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes[..room.min(PIPELINE_READ_BYTES)]);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            self.is_read_closed = buffer.filled().is_empty();
            self.pipelined.extend_from_slice(buffer.filled());
            self.client.set_has_pipelined(!self.pipelined.is_empty());
        }
        Poll::Ready(Ok(()))
    }

    /// Reads from the socket into `buffer`, and holds back the bytes of a later request in `pipelined`.
    fn poll_stream(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.client.is_upgraded() && has_hung_up(&self.stream) {
            self.is_read_closed = true; // what the client has sent before its end is dropped
            return Poll::Ready(Ok(()));
        }
        let start = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.is_read_closed = buffer.filled().len() == start;
        let request_bytes = self.client.on_bytes_received(&buffer.filled()[start..]);
        let request_end = start + request_bytes;
        self.pipelined
            .extend_from_slice(&buffer.filled()[request_end..]);
        self.client.set_has_pipelined(!self.pipelined.is_empty());
        buffer.set_filled(request_end);
        Poll::Ready(Ok(()))
    }

    /// Moves buffered bytes of the next request into `buffer`.
    fn read_pipelined(&mut self, buffer: &mut ReadBuf<'_>) {
        let readable = self.pipelined.len().min(buffer.remaining());
        if readable == 0 {
            return;
        }
        let request_bytes = self.client.on_bytes_received(&self.pipelined[..readable]);
        buffer.put_slice(&self.pipelined.split_to(request_bytes));
        self.client.set_has_pipelined(!self.pipelined.is_empty());
    }
}

/// Returns whether the client has closed its sending side or the connection is broken, even if bytes before that are
/// unread.
fn has_hung_up(stream: &TcpStream) -> bool {
    let mut poll_fds = [PollFd::new(stream, PollFlags::RDHUP)];
    let hangup = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    // A failed `poll` says nothing about the connection; the next check repeats it.
    let polled = poll(&mut poll_fds, Some(&Timespec::default()));
    polled.is_ok() && poll_fds[0].revents().intersects(hangup)
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_frozen() {
            return Poll::Pending; // polled again when the stream continues in this process
        }
        if self.client.is_response_pending(context) {
            return self.poll_pipelined(context);
        }
        if self.pipelined.is_empty() && !self.is_read_closed && !self.has_discarded {
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
        let this = &mut *self;
        if let Some(head) = &mut this.discarded_head {
            let discarded_bytes = head.feed(bytes);
            if head.is_complete() {
                this.discarded_head = None;
            }
            return Poll::Ready(Ok(discarded_bytes));
        }
        if this.is_frozen() {
            return Poll::Pending; // polled again when the stream continues in this process
        }
        if this.poll_unsent(context)?.is_pending() {
            return this.buffer_for_migration(bytes);
        }
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.client.on_write_polled(&written);
        if written.is_pending() {
            return this.buffer_for_migration(bytes);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.is_frozen() {
            return Poll::Ready(Ok(()));
        }
        if this.poll_unsent(context)?.is_pending() && !this.listener_state.is_migration_due() {
            return Poll::Pending;
        }
        ready!(Pin::new(&mut this.stream).poll_flush(context))?;
        let slot = this.client.migration_slot();
        slot.on_flushed(&this.stream, || this.state());
        Poll::Ready(Ok(()))
    }

    /// Closes the sending side, then discards what still arrives until the client closes its side or a limit is
    /// reached.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(this.poll_unsent(context))?;
        }
        let linger = match &mut this.linger {
            Some(linger) => linger,
            None => {
                ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
                // While other clients wait for a permit, only bytes that have already arrived are read.
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
        while !this.is_read_closed && linger.bytes_left > 0 {
            let mut bytes = [MaybeUninit::uninit(); DISCARD_READ_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            match Pin::new(&mut this.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) => this.is_read_closed = buffer.filled().is_empty(),
                Poll::Ready(Err(_)) => this.is_read_closed = true,
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
        let first = slices.iter().find(|slice| !slice.is_empty());
        let first = first.map_or(&[][..], |slice| slice);
        let is_direct =
            self.discarded_head.is_none() && self.unsent.is_empty() && !self.is_frozen();
        if !is_direct {
            return self.poll_write(context, first);
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.client.on_write_polled(&written);
        if written.is_pending() {
            return self.buffer_for_migration(first);
        }
        written
    }
}
