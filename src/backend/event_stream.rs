//! The events of a node's stream (`text/event-stream`), told from what is none.

use bytes::{Bytes, BytesMut};

/// What comes without an event's end is held up to this; no event is longer.
const MOST: usize = 64 * 1024;

/// Something that is no event: the rest of the stream is of no use.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedEvent;

/// Cuts a stream at the ends of its events, and changes nothing in it.
#[derive(Default)]
pub struct EventStream {
    part: BytesMut, // what came since the last end
    read: usize,    // how much of it are lines that have been read
    begun: bool,
}

/// The fields that a line can have.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Whether a line can stand in a stream: a comment, whatever it says, or one of the fields.
fn is_line(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    name.is_empty() || FIELDS.contains(&name) && std::str::from_utf8(line).is_ok()
}

/// Whether a line that has not ended can become one.
fn may_be_line(line: &[u8]) -> bool {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => colon == 0 || FIELDS.contains(&&line[..colon]),
        None => line == b"\r" || FIELDS.iter().any(|field| field.starts_with(line)),
    }
}

impl EventStream {
    /// Of a stream whose first event has passed.
    pub fn resumed() -> EventStream {
        EventStream {
            begun: true,
            ..EventStream::default()
        }
    }

    /// What came since the last event's end.
    pub fn part(&self) -> Bytes {
        Bytes::copy_from_slice(&self.part)
    }

    /// Takes what has come and gives the whole events, and the comments beside them, as far as they have come.
    /// Comments alone don't begin a stream: they go with the first event.
    pub fn take(&mut self, data: &[u8]) -> Result<Bytes, MalformedEvent> {
        self.part.extend_from_slice(data);
        let mut whole = 0;
        while let Some(length) = self.part[self.read..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line = &self.part[self.read..self.read + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            self.read += length + 1;
            if line.is_empty() {
                whole = if self.begun { self.read } else { 0 };
            } else if is_line(line) {
                self.begun |= !line.starts_with(b":");
            } else {
                return Err(MalformedEvent);
            }
        }
        if self.part.len() - whole > MOST || !may_be_line(&self.part[self.read..]) {
            return Err(MalformedEvent);
        }
        self.read -= whole;
        Ok(self.part.split_to(whole).freeze())
    }

    /// What came after the last event when the stream has ended well.
    pub fn rest(mut self) -> Result<Bytes, MalformedEvent> {
        let whole = is_line(&self.part[self.read..]);
        whole
            .then(|| self.part.split().freeze())
            .ok_or(MalformedEvent)
    }
}
