//! The bytes with which a stream goes to another process, beside the descriptors of its two sockets (the client's
//! first). A contract between versions. Pure: no socket.
//!
//! A header of fixed length, then the parts whose lengths it gives. The receiver answers with [`ACCEPTED`]. A receiver
//! that does not know a frame's version closes the connection; the sender then sends the older one.

use crate::net::message_framing::ChunkedDecoder;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// The receiver's answer: from here on the stream is its own.
pub(super) const ACCEPTED: u8 = b'Y';

const MAGIC_BYTES: usize = 4;
const LENGTH_BYTES: usize = size_of::<u32>();
/// What both versions begin with: magic, position in the chunked body, length of the partial event.
pub(super) const HEADER_BYTES: usize = MAGIC_BYTES + ChunkedDecoder::ENCODED_BYTES + LENGTH_BYTES;
/// What the second version adds to the header: flags, three lengths and the silence in milliseconds.
pub(super) const EXTENSION_BYTES: usize = 1 + 4 * LENGTH_BYTES;

/// No event that has not ended is longer, as in [`EventSplitter`](crate::backend::event_stream::EventSplitter).
const MAX_PARTIAL_EVENT_BYTES: u32 = 64 * 1024;
/// More than a connection keeps back of either.
const MAX_BUFFERED_BYTES: u32 = 4 << 20;
/// No client request id is longer.
const MAX_REQUEST_ID_BYTES: u32 = 128;
/// The flag of a client that was told that its connection ends with the response.
const CLOSES_CONNECTION: u8 = 1;

/// The version of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameVersion {
    /// The position in the stream alone.
    Position,
    /// The request's id and the state of the client's connection, too.
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
    /// The position in the chunked body.
    pub chunks: ChunkedDecoder,
    /// The bytes received so far of the event that has not ended.
    pub partial_event: Bytes,
    /// How long ago the last whole event came.
    pub idle_for: Duration,
}

/// The state of a stream's client side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientState {
    /// The id that the client chose for the request; `None` where the sender's version does not tell it.
    pub client_request_id: Option<Arc<str>>,
    /// The client's connection.
    pub connection: ConnectionState,
}

/// The state of a client's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Bytes of the response that the client's socket has not taken.
    pub unsent: Bytes,
    /// Bytes that the client has sent behind its request, and that were read.
    pub pipelined: Bytes,
    /// The client was told, or may have been told, that the connection ends with this response.
    pub closes_after_response: bool,
}

impl ConnectionState {
    /// Whether a receiver needs to know no more than the position in the stream to go on with it.
    pub(super) fn is_position_enough(&self) -> bool {
        self.unsent.is_empty() && self.pipelined.is_empty()
    }
}

/// A header, as far as both versions have it.
#[derive(Debug)]
pub(super) struct FrameHeader {
    pub(super) version: FrameVersion,
    /// The position in the upstream's chunked body.
    pub(super) chunks: ChunkedDecoder,
    /// How many bytes of an event that has not ended follow.
    pub(super) partial_event_bytes: u32,
}

/// What the second version adds to the header.
#[derive(Debug)]
pub(super) struct FrameExtension {
    pub(super) closes_connection: bool,
    pub(super) unsent_bytes: u32,
    pub(super) pipelined_bytes: u32,
    pub(super) request_id_bytes: u32,
    pub(super) silent_ms: u32,
}

/// Formats a frame. `None` where a part is too long for one.
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
    let silent_ms = u32::try_from(upstream.idle_for.as_millis()).unwrap_or(u32::MAX);
    frame.push(u8::from(*closes_after_response) * CLOSES_CONNECTION);
    frame.extend(length_bytes(unsent, MAX_BUFFERED_BYTES)?);
    frame.extend(length_bytes(pipelined, MAX_BUFFERED_BYTES)?);
    frame.extend(length_bytes(request_id, MAX_REQUEST_ID_BYTES)?);
    frame.extend(silent_ms.to_be_bytes());
    for part in [partial_event, unsent, pipelined] {
        frame.extend_from_slice(part);
    }
    frame.extend_from_slice(request_id);
    Some(frame)
}

fn length_bytes(part: &[u8], max_length: u32) -> Option<[u8; LENGTH_BYTES]> {
    let length = u32::try_from(part.len()).ok()?;
    (length <= max_length).then(|| length.to_be_bytes())
}

/// Takes a number off the front of `bytes`.
fn take_number(bytes: &mut &[u8]) -> Option<u32> {
    let (number, rest) = bytes.split_first_chunk()?;
    *bytes = rest;
    Some(u32::from_be_bytes(*number))
}

impl FrameHeader {
    /// `None` if these bytes are no header, or announce more than an event may be long.
    pub(super) fn parse(bytes: &[u8; HEADER_BYTES]) -> Option<FrameHeader> {
        let (magic, fields) = bytes.split_first_chunk()?;
        let version = FrameVersion::of(*magic)?;
        let (chunks, mut fields) = fields.split_first_chunk()?;
        let partial_event_bytes = take_number(&mut fields)?;
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
    /// `None` if these bytes announce more than a connection keeps back.
    pub(super) fn parse(bytes: &[u8; EXTENSION_BYTES]) -> Option<FrameExtension> {
        let (flags, mut fields) = bytes.split_first()?;
        let extension = FrameExtension {
            closes_connection: flags & CLOSES_CONNECTION != 0,
            unsent_bytes: take_number(&mut fields)?,
            pipelined_bytes: take_number(&mut fields)?,
            request_id_bytes: take_number(&mut fields)?,
            silent_ms: take_number(&mut fields)?,
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
