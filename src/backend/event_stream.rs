//! Splits an endpoint's `text/event-stream` into events, and detects malformed ones. Does no I/O.

use bytes::{Bytes, BytesMut};

/// The maximum length of an event, and of the bytes buffered while its end is missing.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// The stream contains bytes that can't be part of an event: a line that has an unknown field or is not UTF-8, or more
/// than 64 KiB without an event's end. The rest of the stream is unusable.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed event in a stream")]
pub struct MalformedEvent;

/// Splits a stream after its events, without changing any byte.
#[derive(Default)]
pub struct EventSplitter {
    buffer: BytesMut,     // the bytes since the last event's end
    checked_bytes: usize, // the length of the buffer's lines that were validated
    has_started: bool,    // whether a line of the first event was read
    has_field: bool,      // whether a line of the event that has begun was read
}

/// The field names of the event stream format.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Whether a line is valid: empty, a comment with any content, or a known field in UTF-8.
fn is_valid_line(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    name.is_empty() || FIELD_NAMES.contains(&name) && std::str::from_utf8(line).is_ok()
}

/// Whether a valid line, or the beginning of one, is a field of an event and no comment.
fn is_field_start(line: &[u8]) -> bool {
    !line.is_empty() && line != b"\r" && !line.starts_with(b":")
}

/// Whether an incomplete line can still become a valid one.
fn is_valid_line_start(line: &[u8]) -> bool {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => colon == 0 || FIELD_NAMES.contains(&&line[..colon]),
        None => line == b"\r" || FIELD_NAMES.iter().any(|field| field.starts_with(line)),
    }
}

impl EventSplitter {
    /// Continues a stream that has started. `partial_event` are the bytes since its last event's end.
    pub fn resume(partial_event: &[u8]) -> EventSplitter {
        EventSplitter {
            buffer: partial_event.into(),
            has_started: true,
            ..EventSplitter::default()
        }
    }

    /// Returns the bytes since the last event's end.
    pub fn partial_event(&self) -> Bytes {
        Bytes::copy_from_slice(&self.buffer)
    }

    /// Returns whether an event has begun and not ended. Comments alone are no part of an event.
    pub fn is_within_event(&self) -> bool {
        self.has_field || is_field_start(self.unchecked())
    }

    /// Returns the bytes that were not validated yet.
    fn unchecked(&self) -> &[u8] {
        &self.buffer[self.checked_bytes..]
    }

    /// Adds bytes and returns the complete events, with the comments between them. Comments alone don't start a stream;
    /// they are returned together with the first event.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, MalformedEvent> {
        self.buffer.extend_from_slice(data);
        let mut complete_bytes = 0;
        while let Some(length) = self.unchecked().iter().position(|byte| *byte == b'\n') {
            let line = &self.buffer[self.checked_bytes..][..length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let is_event_end = line.is_empty();
            if !is_event_end && !is_valid_line(line) {
                return Err(MalformedEvent);
            }
            self.has_started |= is_field_start(line);
            self.has_field = !is_event_end && (self.has_field || is_field_start(line));
            self.checked_bytes += length + 1;
            if is_event_end && self.has_started {
                complete_bytes = self.checked_bytes;
            }
        }
        let is_too_long = self.buffer.len() - complete_bytes > MAX_EVENT_BYTES;
        if is_too_long || !is_valid_line_start(self.unchecked()) {
            return Err(MalformedEvent);
        }
        self.checked_bytes -= complete_bytes;
        Ok(self.buffer.split_to(complete_bytes).freeze())
    }

    /// Returns the bytes after the last event, once the stream has ended without an error.
    pub fn finish(self) -> Result<Bytes, MalformedEvent> {
        if !is_valid_line(self.unchecked()) {
            return Err(MalformedEvent);
        }
        Ok(self.buffer.freeze())
    }
}
