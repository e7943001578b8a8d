//! The source of a streamed response's data: the HTTP client, or the socket of a received stream.
//!
//! For a migration the source can pause reading and report the exact position in the body.

use super::exchange::{end_reason_after_send, ResponseHead};
use crate::backend::tracked_connection::TrackedConnection;
use crate::dispatcher::EndReason;
use crate::net::message_framing::ChunkedDecoder;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::{debug, Logger};
use socket2::SockRef;
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The size of the read buffer for a received stream's socket.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The source of a stream's data.
pub(super) enum StreamSource {
    /// The HTTP client reads the response to a request of this process.
    HttpClient(HttpClientSource),
    /// Another process has sent the request and read the beginning of the response.
    Received(ReceivedSource),
}

/// The position of a paused source in its body.
pub(super) enum SourcePosition {
    /// All bytes read from the connection were returned. Another process can continue from here.
    CaughtUp {
        /// A duplicate of the connection's descriptor.
        upstream: OwnedFd,
        /// The decoder's state at this position of the chunked body.
        chunks: ChunkedDecoder,
    },
    /// [`StreamSource::next_data`] has not returned all bytes read from the connection.
    Behind,
    /// The body has ended, its framing is unknown, or the connection's descriptor can't be duplicated.
    Unknown,
}

impl StreamSource {
    /// Returns the next data; `None` at the end of the body. Cancel safe: no data is lost if the future is dropped.
    pub(super) async fn next_data(&mut self) -> Option<Result<Bytes, EndReason>> {
        match self {
            StreamSource::HttpClient(source) => source.next_data().await,
            StreamSource::Received(source) => source.next_data().await,
        }
    }

    /// Stops reading from the connection until [`StreamSource::resume`]. A received stream needs no pause, as its
    /// socket is read only by [`StreamSource::next_data`].
    pub(super) fn pause(&self) {
        if let StreamSource::HttpClient(source) = self {
            if let Some(connection) = &source.connection {
                connection.pause_reading();
            }
        }
    }

    /// Resumes reading from the connection.
    pub(super) fn resume(&self) {
        if let StreamSource::HttpClient(source) = self {
            if let Some(connection) = &source.connection {
                connection.resume_reading();
            }
        }
    }

    /// Gives the connection to another process. Dropping this source no longer shuts the connection down.
    pub(super) fn release(&mut self) {
        if let StreamSource::Received(source) = self {
            source.is_released = true;
        }
    }

    /// Returns the position of a paused source.
    pub(super) fn position(&self) -> SourcePosition {
        let position = match self {
            StreamSource::HttpClient(source) => source.position(),
            StreamSource::Received(source) => source.position(),
        };
        position.unwrap_or(SourcePosition::Unknown)
    }
}

/// A response body read by the HTTP client.
pub(super) struct HttpClientSource {
    body: Incoming,
    connection: Option<Arc<TrackedConnection>>,
    /// The data bytes that `next_data` has returned so far.
    returned_bytes: u64,
    log: Logger,
}

impl HttpClientSource {
    pub(super) fn new(head: ResponseHead, log: Logger) -> HttpClientSource {
        HttpClientSource {
            body: head.response.into_body(),
            connection: head.connection,
            returned_bytes: 0,
            log,
        }
    }

    async fn next_data(&mut self) -> Option<Result<Bytes, EndReason>> {
        loop {
            let frame = match self.body.frame().await? {
                Ok(frame) => frame,
                Err(error) => {
                    debug!(self.log, "response stream broken"; "error" => ?error);
                    return Some(Err(end_reason_after_send(&error)));
                }
            };
            if let Ok(data) = frame.into_data() {
                self.returned_bytes += data.len() as u64;
                return Some(Ok(data));
            }
        }
    }

    fn position(&self) -> Option<SourcePosition> {
        let connection = self.connection.as_ref()?;
        let (chunks, read_bytes) = connection.response_body()?;
        if chunks.has_ended() {
            return None;
        }
        if read_bytes != self.returned_bytes {
            return Some(SourcePosition::Behind);
        }
        Some(SourcePosition::CaughtUp {
            upstream: connection.duplicate_descriptor()?,
            chunks,
        })
    }
}

/// The socket of a received stream.
pub(super) struct ReceivedSource {
    socket: TcpStream,
    chunks: ChunkedDecoder,
    is_released: bool,
}

impl Drop for ReceivedSource {
    fn drop(&mut self) {
        // After a withdrawn offer another process may still hold a duplicate of the descriptor, so closing this one
        // alone would not end the connection.
        if !self.is_released {
            let _ = SockRef::from(&self.socket).shutdown(Shutdown::Both); // fails if it is closed already
        }
    }
}

impl ReceivedSource {
    pub(super) fn new(socket: TcpStream, chunks: ChunkedDecoder) -> ReceivedSource {
        ReceivedSource {
            socket,
            chunks,
            is_released: false,
        }
    }

    async fn next_data(&mut self) -> Option<Result<Bytes, EndReason>> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        while !self.chunks.has_ended() {
            let read_bytes = match self.socket.read(&mut buffer).await {
                Ok(0) | Err(_) => return Some(Err(EndReason::ConnectionReset)),
                Ok(read_bytes) => read_bytes,
            };
            let mut data = Vec::new();
            let fed = self.chunks.feed(&buffer[..read_bytes], |chunk| {
                data.extend_from_slice(chunk);
            });
            if fed.is_err() {
                return Some(Err(EndReason::UnreadableResponse));
            }
            if !data.is_empty() {
                return Some(Ok(data.into()));
            }
        }
        None
    }

    fn position(&self) -> Option<SourcePosition> {
        if self.chunks.has_ended() {
            return None;
        }
        Some(SourcePosition::CaughtUp {
            upstream: self.socket.as_fd().try_clone_to_owned().ok()?,
            chunks: self.chunks,
        })
    }
}
