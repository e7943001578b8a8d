//! The bytes with which a stream goes to the successor, beside the descriptors of its two sockets (the client's first).
//! A contract between versions. Pure: no socket.
//!
//! A header of fixed length, then the bytes of the event that has not ended. The receiver answers with [`ACCEPTED`].

use crate::net::message_framing::ChunkedDecoder;

/// The receiver's answer: from here on the stream is its own.
pub(super) const ACCEPTED: u8 = b'Y';

const MAGIC: [u8; 4] = *b"QHM1";
pub(super) const HEADER_BYTES: usize = MAGIC.len() + ChunkedDecoder::BYTES + size_of::<u32>();

/// No event that has not ended is longer, as in [`EventStream`](crate::backend::event_stream::EventStream).
const MAX_PARTIAL_EVENT_BYTES: u32 = 64 * 1024;

/// A frame's header.
pub(super) struct FrameHeader {
    /// The position in the upstream's chunked body.
    pub(super) chunks: ChunkedDecoder,
    /// How many bytes follow the header.
    pub(super) partial_event_bytes: u32,
}

impl FrameHeader {
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let chunks = self.chunks.to_bytes();
        let length = self.partial_event_bytes.to_be_bytes();
        [&MAGIC[..], &chunks, &length].concat()
    }

    /// `None` if these bytes are no header, or announce more than an event may be long.
    pub(super) fn parse(bytes: &[u8; HEADER_BYTES]) -> Option<FrameHeader> {
        let fields = bytes.strip_prefix(&MAGIC)?;
        let (chunks, length) = fields.split_first_chunk()?;
        let partial_event_bytes = u32::from_be_bytes(*length.first_chunk()?);
        if partial_event_bytes > MAX_PARTIAL_EVENT_BYTES {
            return None;
        }
        Some(FrameHeader {
            chunks: ChunkedDecoder::from_bytes(chunks)?,
            partial_event_bytes,
        })
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/upgrade/stream_migration/frame.rs"]
mod tests;
