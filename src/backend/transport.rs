//! The byte stream of one connection to an endpoint. The [`Transport`] owns the socket and its connection permit, and
//! records its reads and writes in a [`TrackedConnection`].

use super::tracked_connection::TrackedConnection;
use crate::net::adjustable_semaphore::Permit;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connected socket with its connection permit. Dropping it frees both.
pub struct Transport {
    stream: Arc<TcpStream>,
    connection: Arc<TrackedConnection>,
    _permit: Permit,
}

impl Transport {
    /// Wraps a connected socket, which holds `permit` until it is dropped.
    pub(super) fn new(stream: TcpStream, permit: Permit) -> Self {
        let stream = Arc::new(stream);
        let connection = Arc::new(TrackedConnection::new(&stream));
        Transport {
            stream,
            connection,
            _permit: permit,
        }
    }

    /// Returns the record of this connection's traffic.
    pub fn connection(&self) -> &Arc<TrackedConnection> {
        &self.connection
    }

    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                written => return Poll::Ready(written),
            }
        }
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        if self.connection.needs_shutdown() {
            self.connection.close();
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.register_reader(context.waker()) {
            return Poll::Pending;
        }
        // Reports an end of stream, so that the connection pool drops the connection as if the endpoint had closed it.
        if self.connection.should_close() {
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(count) => buffer.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(error) => return Poll::Ready(Err(error)),
            }
            if buffer.filled().len() > filled_before {
                self.connection.on_read(&buffer.filled()[filled_before..]);
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
        let written = self.poll_write_with(context, |stream| stream.try_write(bytes));
        self.connection.on_write(&written, bytes.len());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Reading stays paused on a connection whose stream has migrated. Another process shares the socket then, and a
        // shutdown here would break it there.
        if self.connection.is_reading_paused() {
            return Poll::Ready(Ok(()));
        }
        let result = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        Poll::Ready(match result {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        })
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.poll_write_with(context, |stream| stream.try_write_vectored(slices));
        let length = slices.iter().map(|slice| slice.len()).sum();
        self.connection.on_write(&written, length);
        written
    }
}
