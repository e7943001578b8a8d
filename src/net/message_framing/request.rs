//! The framing of the requests on one connection.

use super::{complete_line_length, parse_field, ChunkedDecoder, FramingError, MAX_HEAD_LINE_BYTES};
use std::collections::VecDeque;

/// The number of heads that may wait for [`RequestFraming::next_head`]; a connection with more is not tracked further.
const MAX_PENDING_HEADS: usize = 64;

/// What the head of a request declares about its body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeclaredBody {
    /// The only transfer encoding is `chunked`.
    pub is_chunked: bool,
    /// The declared length in bytes; `None` without a `Content-Length` field.
    pub length: Option<u64>,
    /// The head declares any transfer encoding, supported here or not.
    pub has_transfer_encoding: bool,
}

/// The position in the requests of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RequestState {
    /// In a head, or before one.
    #[default]
    Head,
    /// In a body of a declared length, with the number of bytes that remain.
    Length(u64),
    /// In a chunked body.
    Chunked(ChunkedDecoder),
    /// The framing is invalid or not supported, or tracking was stopped. Later requests are unknown.
    Untracked,
}

/// The framing of the requests on one connection.
#[derive(Debug, Default)]
pub struct RequestFraming {
    state: RequestState,
    /// The head's current line, which is incomplete.
    line: Vec<u8>,
    /// The number of complete lines in the current head.
    line_count: usize,
    /// What the current head has declared so far.
    declared: DeclaredBody,
    pending_heads: VecDeque<DeclaredBody>,
    completed_requests: u64,
}

impl RequestFraming {
    /// Processes the next bytes, but none after the end of the current request. Returns how many were processed.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let completed_before = self.completed_requests;
        let mut consumed = 0;
        while consumed < bytes.len() && self.completed_requests == completed_before {
            match self.feed_state(&bytes[consumed..]) {
                Ok(length) => consumed += length,
                Err(FramingError) => {
                    self.stop();
                    return bytes.len();
                }
            }
        }
        consumed
    }

    /// Processes bytes that belong to the current state, and returns how many those are.
    fn feed_state(&mut self, bytes: &[u8]) -> Result<usize, FramingError> {
        match &mut self.state {
            RequestState::Untracked => Ok(bytes.len()),
            RequestState::Head => self.feed_head(bytes),
            RequestState::Length(remaining) => {
                let length = usize::try_from(*remaining)
                    .unwrap_or(usize::MAX)
                    .min(bytes.len());
                *remaining -= length as u64;
                if *remaining == 0 {
                    self.on_request_end();
                }
                Ok(length)
            }
            RequestState::Chunked(decoder) => {
                let length = decoder.feed(bytes, |_| {})?;
                if decoder.has_ended() {
                    self.on_request_end();
                }
                Ok(length)
            }
        }
    }

    fn on_request_end(&mut self) {
        self.state = RequestState::Head;
        self.completed_requests += 1;
    }

    /// Returns the number of requests that were read completely.
    pub fn completed_requests(&self) -> u64 {
        self.completed_requests
    }

    /// Stops tracking, because the following bytes are not requests or their framing is invalid.
    pub fn stop(&mut self) {
        self.state = RequestState::Untracked;
        self.line = Vec::new();
    }

    /// Removes and returns the declaration of the oldest pending head, in the order of the requests. `None` if tracking
    /// has stopped before that head.
    pub fn next_head(&mut self) -> Option<DeclaredBody> {
        self.pending_heads.pop_front()
    }

    /// Processes at most one line, and returns the number of bytes processed.
    fn feed_head(&mut self, bytes: &[u8]) -> Result<usize, FramingError> {
        let line_length = complete_line_length(bytes);
        let length = line_length.unwrap_or(bytes.len());
        if self.line.len() + length > MAX_HEAD_LINE_BYTES {
            return Err(FramingError);
        }
        self.line.extend_from_slice(&bytes[..length]);
        if line_length.is_some() {
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\n").unwrap_or(&line);
            self.on_line(line.strip_suffix(b"\r").unwrap_or(line))?;
        }
        Ok(length)
    }

    fn on_line(&mut self, line: &[u8]) -> Result<(), FramingError> {
        if line.is_empty() {
            // Empty lines before a request line are ignored (RFC 9112, section 2.2).
            if self.line_count == 0 {
                return Ok(());
            }
            return self.on_head_end();
        }
        self.line_count += 1;
        if self.line_count == 1 {
            return Ok(());
        }
        self.on_field(line)
    }

    fn on_head_end(&mut self) -> Result<(), FramingError> {
        self.line_count = 0;
        let declared = std::mem::take(&mut self.declared);
        let has_unknown_encoding = declared.has_transfer_encoding && !declared.is_chunked;
        if self.pending_heads.len() >= MAX_PENDING_HEADS || has_unknown_encoding {
            return Err(FramingError);
        }
        self.pending_heads.push_back(declared);
        if declared.is_chunked {
            self.state = RequestState::Chunked(ChunkedDecoder::default());
            return Ok(());
        }
        match declared.length {
            Some(length) if length > 0 => self.state = RequestState::Length(length),
            _ => self.on_request_end(),
        }
        Ok(())
    }

    fn on_field(&mut self, line: &[u8]) -> Result<(), FramingError> {
        let Some((name, value)) = parse_field(line) else {
            return Ok(());
        };
        if name.eq_ignore_ascii_case("content-length") {
            let length = parse_length(value)?;
            if self.declared.length.is_some_and(|other| other != length) {
                return Err(FramingError);
            }
            self.declared.length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            // Only a single field with `chunked` as its only encoding is supported.
            let is_repeated = self.declared.has_transfer_encoding;
            self.declared.has_transfer_encoding = true;
            self.declared.is_chunked = !is_repeated && value.eq_ignore_ascii_case("chunked");
        }
        Ok(())
    }
}

/// Parses a `Content-Length` value. Stricter than `str::parse`, which accepts a sign.
fn parse_length(value: &str) -> Result<u64, FramingError> {
    if !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(FramingError);
    }
    value.parse().map_err(|_| FramingError)
}

#[cfg(test)]
#[path = "../../../tests/unit/net/message_framing/request.rs"]
mod tests;
