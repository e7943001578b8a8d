//! Splits an endpoint's stream (`text/event-stream`) into its events, and finds where it is malformed.

use bytes::{Bytes, BytesMut};

/// The most bytes that are buffered without an event's end; no valid event is longer.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Bytes that can't be an event: the rest of the stream is of no use.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed event in a stream")]
pub struct MalformedEvent;

/// Splits a stream at the ends of its events and changes nothing in it.
#[derive(Default)]
pub struct EventSplitter {
    buffer: BytesMut,     // what came since the last event's end
    checked_bytes: usize, // how many of them are lines that were checked
    has_started: bool,
}

/// The fields that a line can have.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Whether a line is valid: a comment, whatever it contains, or one of the fields.
fn is_line(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    name.is_empty() || FIELDS.contains(&name) && std::str::from_utf8(line).is_ok()
}

/// Whether a line that has not ended can become a valid one.
fn may_be_line(line: &[u8]) -> bool {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => colon == 0 || FIELDS.contains(&&line[..colon]),
        None => line == b"\r" || FIELDS.iter().any(|field| field.starts_with(line)),
    }
}

impl EventSplitter {
    /// Continues a stream whose first event has been forwarded, and of whose next one these bytes have come.
    pub fn resume(partial_event: &[u8]) -> EventSplitter {
        EventSplitter {
            buffer: partial_event.into(),
            has_started: true,
            ..EventSplitter::default()
        }
    }

    /// The bytes since the last event's end.
    pub fn partial_event(&self) -> Bytes {
        Bytes::copy_from_slice(&self.buffer)
    }

    /// The bytes whose lines were not checked yet.
    fn unchecked(&self) -> &[u8] {
        &self.buffer[self.checked_bytes..]
    }

    /// Adds bytes and returns the whole events, with the comments between them. Comments alone don't start a stream:
    /// they are returned with the first event.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, MalformedEvent> {
        self.buffer.extend_from_slice(data);
        let mut whole_bytes = 0;
        while let Some(length) = self.unchecked().iter().position(|byte| *byte == b'\n') {
            let line = &self.unchecked()[..length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let is_event_end = line.is_empty();
            if !is_event_end && !is_line(line) {
                return Err(MalformedEvent);
            }
            self.has_started |= !is_event_end && !line.starts_with(b":");
            self.checked_bytes += length + 1;
            if is_event_end && self.has_started {
                whole_bytes = self.checked_bytes;
            }
        }
        let is_too_long = self.buffer.len() - whole_bytes > MAX_EVENT_BYTES;
        if is_too_long || !may_be_line(self.unchecked()) {
            return Err(MalformedEvent);
        }
        self.checked_bytes -= whole_bytes;
        Ok(self.buffer.split_to(whole_bytes).freeze())
    }

    /// What came after the last event, when the stream has ended without an error.
    pub fn finish(self) -> Result<Bytes, MalformedEvent> {
        if !is_line(self.unchecked()) {
            return Err(MalformedEvent);
        }
        Ok(self.buffer.freeze())
    }
}
