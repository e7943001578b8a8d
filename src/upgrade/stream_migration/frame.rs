//! The frame in which a stream's state is sent to another process. The descriptors of the client's and the upstream's
//! socket, in this order, accompany its first byte. The format is shared between versions and must stay compatible.
//!
//! A frame is a header of fixed length, followed by the parts whose lengths the header gives. The receiver answers with
//! [`ACCEPTED`]. A receiver that does not know the frame's version closes the connection, and the sender then sends the
//! older version. The module does no I/O.

use crate::net::message_framing::ChunkedDecoder;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// The receiver's answer by which it takes ownership of the stream.
pub(super) const ACCEPTED: u8 = b'Y';

const MAGIC_BYTES: usize = 4;
const LENGTH_BYTES: usize = size_of::<u32>();
/// Size of the header that both versions have: magic, state of the chunked decoder, length of the partial event.
pub(super) const HEADER_BYTES: usize = MAGIC_BYTES + ChunkedDecoder::ENCODED_BYTES + LENGTH_BYTES;
/// Size of what the second version adds to the header: flags, three lengths and the idle time in milliseconds.
pub(super) const EXTENSION_BYTES: usize = 1 + 4 * LENGTH_BYTES;

/// Maximum length of a partial event, the same as in [`EventSplitter`](crate::backend::event_stream::EventSplitter).
const MAX_PARTIAL_EVENT_BYTES: u32 = 64 * 1024;
/// Maximum length of the unsent bytes and of the pipelined bytes. A connection buffers less of either.
const MAX_BUFFERED_BYTES: u32 = 4 << 20;
/// Maximum length of a client request id.
const MAX_REQUEST_ID_BYTES: u32 = 128;
/// Flag of the extension: the client's connection is closed after the response.
const CLOSES_CONNECTION: u8 = 1;

/// The format version of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameVersion {
    /// The first version: only the position in the chunked body and the partial event.
    Position,
    /// The second version: also the idle time, the client request id and the state of the client's connection.
    WithConnection,
}

impl FrameVersion {
    const fn magic(self) -> [u8; MAGIC_BYTES] {
        match self {
            FrameVersion::Position => *b"QHM1",
            FrameVersion::WithConnection => *b"QHM2",
        }
    }

    fn of(magic: [u8; MAGIC_BYTES]) -> Option<FrameVersion> {
        [FrameVersion::Position, FrameVersion::WithConnection]
            .into_iter()
            .find(|version| version.magic() == magic)
    }
}

/// The state of a stream's upstream side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamState {
    /// The decoder of the chunked body, at its current position.
    pub chunks: ChunkedDecoder,
    /// The bytes received so far of an incomplete event.
    pub partial_event: Bytes,
    /// Time since the last complete event. Counts toward the stream's idle timeout in the receiving process.
    pub idle_for: Duration,
}

/// The state of a stream's client side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientState {
    /// The client's own id of the request; `None` if it is unknown, as after a migration in the first version.
    pub client_request_id: Option<Arc<str>>,
    /// The state of the client's connection.
    pub connection: ConnectionState,
}

/// The state of a client's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Bytes of the response that are not written to the client's socket yet.
    pub unsent: Bytes,
    /// Bytes that were read from the client's socket after the request.
    pub pipelined: Bytes,
    /// True if the client was notified, or may have been, that the connection is closed after this response.
    pub closes_after_response: bool,
}

impl ConnectionState {
    /// Returns whether the first version of the frame is enough to continue the stream without losing bytes.
    pub(super) fn fits_first_version(&self) -> bool {
        self.unsent.is_empty() && self.pipelined.is_empty()
    }
}

/// The part of the header that both versions have.
#[derive(Debug)]
pub(super) struct FrameHeader {
    pub(super) version: FrameVersion,
    /// The decoder of the upstream's chunked body, at its current position.
    pub(super) chunks: ChunkedDecoder,
    /// Length of the partial event that follows the header.
    pub(super) partial_event_bytes: u32,
}

/// The part of the header that only the second version has.
#[derive(Debug)]
pub(super) struct FrameExtension {
    /// Whether the client's connection is closed after the response.
    pub(super) closes_connection: bool,
    /// Length of the part of the response that is not written to the client's socket yet.
    pub(super) unsent_bytes: u32,
    /// Length of what was read from the client's socket after the request.
    pub(super) pipelined_bytes: u32,
    /// Length of the client request id; 0 if it is unknown.
    pub(super) request_id_bytes: u32,
    /// Time since the stream's last complete event, in milliseconds.
    pub(super) idle_ms: u32,
}

/// Formats a frame. `None` if a part (partial event, unsent bytes, pipelined bytes, client request id) exceeds its
/// maximum length; the stream then can't migrate.
pub(super) fn format(
    version: FrameVersion,
    upstream: &UpstreamState,
    client: &ClientState,
) -> Option<Vec<u8>> {
    let partial_event = &upstream.partial_event;
    let mut frame = Vec::from(version.magic());
    frame.extend(upstream.chunks.to_bytes());
    frame.extend(length_bytes(partial_event, MAX_PARTIAL_EVENT_BYTES)?);
    if version == FrameVersion::Position {
        frame.extend_from_slice(partial_event);
        return Some(frame);
    }
    let ConnectionState {
        unsent,
        pipelined,
        closes_after_response,
    } = &client.connection;
    let request_id = client.client_request_id.as_deref().unwrap_or("").as_bytes();
    let idle_ms = u32::try_from(upstream.idle_for.as_millis()).unwrap_or(u32::MAX);
    frame.push(u8::from(*closes_after_response) * CLOSES_CONNECTION);
    frame.extend(length_bytes(unsent, MAX_BUFFERED_BYTES)?);
    frame.extend(length_bytes(pipelined, MAX_BUFFERED_BYTES)?);
    frame.extend(length_bytes(request_id, MAX_REQUEST_ID_BYTES)?);
    frame.extend(idle_ms.to_be_bytes());
    for part in [partial_event, unsent, pipelined] {
        frame.extend_from_slice(part);
    }
    frame.extend_from_slice(request_id);
    Some(frame)
}

/// Encodes the length of a part; `None` if it exceeds `max_length`.
fn length_bytes(part: &[u8], max_length: u32) -> Option<[u8; LENGTH_BYTES]> {
    let length = u32::try_from(part.len()).ok()?;
    (length <= max_length).then(|| length.to_be_bytes())
}

/// Removes a big-endian number from the front of `bytes` and returns it; `None` if too few bytes are left.
fn take_u32(bytes: &mut &[u8]) -> Option<u32> {
    let (number, rest) = bytes.split_first_chunk()?;
    *bytes = rest;
    Some(u32::from_be_bytes(*number))
}

impl FrameHeader {
    /// Parses a header; `None` if it is invalid, of an unknown version, or announces too long an event.
    pub(super) fn parse(bytes: &[u8; HEADER_BYTES]) -> Option<FrameHeader> {
        let (magic, fields) = bytes.split_first_chunk()?;
        let version = FrameVersion::of(*magic)?;
        let (chunks, mut fields) = fields.split_first_chunk()?;
        let partial_event_bytes = take_u32(&mut fields)?;
        if partial_event_bytes > MAX_PARTIAL_EVENT_BYTES {
            return None;
        }
        Some(FrameHeader {
            version,
            chunks: ChunkedDecoder::from_bytes(chunks)?,
            partial_event_bytes,
        })
    }
}

impl FrameExtension {
    /// Parses the extension that follows the header in a frame of [`FrameVersion::WithConnection`]. `None` if it
    /// announces a part that exceeds its maximum length.
    pub(super) fn parse(bytes: &[u8; EXTENSION_BYTES]) -> Option<FrameExtension> {
        let (flags, mut fields) = bytes.split_first()?;
        let extension = FrameExtension {
            closes_connection: flags & CLOSES_CONNECTION != 0,
            unsent_bytes: take_u32(&mut fields)?,
            pipelined_bytes: take_u32(&mut fields)?,
            request_id_bytes: take_u32(&mut fields)?,
            idle_ms: take_u32(&mut fields)?,
        };
        let fits = extension.unsent_bytes <= MAX_BUFFERED_BYTES
            && extension.pipelined_bytes <= MAX_BUFFERED_BYTES
            && extension.request_id_bytes <= MAX_REQUEST_ID_BYTES;
        fits.then_some(extension)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/upgrade/stream_migration/frame.rs"]
mod tests;
