//! Where the data of a streamed response comes from: a connection on which this process has sent the request, or one that
//! another process has handed over in the middle of its stream. Owns the connection's reading.

use super::exchange::{reason_may_have_run, ResponseHead};
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

/// Bytes read at once from a connection that was handed over.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The source of a stream's data.
pub(super) enum StreamSource {
    /// The HTTP client reads the response.
    Client(ClientSource),
    /// Another process has sent the request and read the response's beginning.
    Received(ReceivedSource),
}

/// Where a source stands that has been paused.
pub(super) enum SourcePosition {
    /// All bytes that were read from the connection have been returned: another process can go on from here.
    Reached {
        /// A duplicate of the connection's descriptor.
        upstream: OwnedFd,
        /// The position in the chunked body.
        chunks: ChunkedDecoder,
    },
    /// Bytes that were read are still to be returned by [`StreamSource::next_data`].
    Behind,
    /// The body has ended, or its framing can't be followed.
    Unknown,
}

impl StreamSource {
    /// The next data; `None` at the end of the body. Nothing is lost where this is dropped before it returns.
    pub(super) async fn next_data(&mut self) -> Option<Result<Bytes, EndReason>> {
        match self {
            StreamSource::Client(source) => source.next_data().await,
            StreamSource::Received(source) => source.next_data().await,
        }
    }

    /// Reads no more from the connection until [`StreamSource::resume`].
    pub(super) fn pause(&self) {
        if let StreamSource::Client(source) = self {
            if let Some(connection) = &source.connection {
                connection.pause_reading();
            }
        }
    }

    /// Reads again.
    pub(super) fn resume(&self) {
        if let StreamSource::Client(source) = self {
            if let Some(connection) = &source.connection {
                connection.resume_reading();
            }
        }
    }

    /// The connection belongs to another process from now on: it is not ended here.
    pub(super) fn release(&mut self) {
        if let StreamSource::Received(source) = self {
            source.is_released = true;
        }
    }

    /// Where a paused source stands.
    pub(super) fn position(&self) -> SourcePosition {
        let position = match self {
            StreamSource::Client(source) => source.position(),
            StreamSource::Received(source) => source.position(),
        };
        position.unwrap_or(SourcePosition::Unknown)
    }
}

/// A response that the HTTP client reads.
pub(super) struct ClientSource {
    body: Incoming,
    connection: Option<Arc<TrackedConnection>>,
    returned_bytes: u64,
    log: Logger,
}

impl ClientSource {
    pub(super) fn new(head: ResponseHead, log: Logger) -> ClientSource {
        ClientSource {
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
                    return Some(Err(reason_may_have_run(&error)));
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
        Some(SourcePosition::Reached {
            upstream: connection.duplicate_descriptor()?,
            chunks,
        })
    }
}

/// A connection that another process has handed over.
pub(super) struct ReceivedSource {
    socket: TcpStream,
    chunks: ChunkedDecoder,
    is_released: bool,
}

impl Drop for ReceivedSource {
    fn drop(&mut self) {
        // A process that an offer was withdrawn from may still have a descriptor, so that a close alone ends nothing.
        if !self.is_released {
            let _ = SockRef::from(&self.socket).shutdown(Shutdown::Both); // it may be closed already
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
        Some(SourcePosition::Reached {
            upstream: self.socket.as_fd().try_clone_to_owned().ok()?,
            chunks: self.chunks,
        })
    }
}
