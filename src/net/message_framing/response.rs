//! The framing of the response to one request, including its interim responses.

use super::{complete_line_length, parse_field, ChunkedDecoder, MAX_HEAD_LINE_BYTES};

/// The position in the response.
#[derive(Clone, Copy, Debug, Default)]
enum ResponseState {
    /// In a head.
    #[default]
    Head,
    /// In a body of a declared length, with the number of bytes that remain.
    Length(u64),
    /// In a chunked body, or after it.
    Chunked(ChunkedDecoder),
    /// After a response without a body, or after a body of a declared length.
    Complete,
    /// The framing is invalid or not supported. Nothing is known about the bytes from here on.
    Untracked,
}

/// The kind of response that a status line announces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StatusKind {
    /// A final response, with the body that its head declares.
    #[default]
    Final,
    /// A final response that has no body, whatever its head declares.
    WithoutBody,
    /// An interim response (1xx). Another response follows.
    Interim,
}

/// The parts of the current head that were read so far.
#[derive(Debug, Default)]
struct ResponseHead {
    line_count: usize,
    status: StatusKind,
    is_chunked: bool,
    length: Option<u64>,
}

/// The framing of the response to one request, as its bytes arrive.
#[derive(Debug, Default)]
pub struct ResponseFraming {
    state: ResponseState,
    head: ResponseHead,
    /// The head's current line, which is incomplete.
    line: Vec<u8>,
    /// The number of data bytes in the chunked body so far.
    chunk_data_bytes: u64,
}

impl ResponseFraming {
    /// Processes the next bytes. Ignores those after the end of the response.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.state {
                ResponseState::Head => bytes = self.feed_head(bytes),
                ResponseState::Length(remaining) => {
                    *remaining = remaining.saturating_sub(bytes.len() as u64);
                    if *remaining == 0 {
                        self.state = ResponseState::Complete;
                    }
                    return;
                }
                ResponseState::Chunked(decoder) => {
                    let data_bytes = &mut self.chunk_data_bytes;
                    let fed = decoder.feed(bytes, |data| *data_bytes += data.len() as u64);
                    if fed.is_err() {
                        self.state = ResponseState::Untracked;
                    }
                    return;
                }
                ResponseState::Complete | ResponseState::Untracked => return,
            }
        }
    }

    /// Processes at most one line, and returns the bytes after it.
    fn feed_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let line_length = complete_line_length(bytes);
        let (line, rest) = bytes.split_at(line_length.unwrap_or(bytes.len()));
        self.line.extend_from_slice(line);
        if self.line.len() > MAX_HEAD_LINE_BYTES {
            self.state = ResponseState::Untracked;
        }
        if line_length.is_some() {
            let line = std::mem::take(&mut self.line);
            self.on_line(line.strip_suffix(b"\r\n").unwrap_or(&line));
        }
        rest
    }

    fn on_line(&mut self, line: &[u8]) {
        self.head.line_count += 1;
        if self.head.line_count == 1 {
            self.on_status_line(line);
        } else if line.is_empty() {
            self.on_head_end();
        } else if let Some((name, value)) = parse_field(line) {
            if name.eq_ignore_ascii_case("transfer-encoding") {
                self.head.is_chunked = value.eq_ignore_ascii_case("chunked");
            } else if name.eq_ignore_ascii_case("content-length") {
                self.head.length = value.parse().ok();
            }
        }
    }

    fn on_status_line(&mut self, line: &[u8]) {
        self.head.status = if line.get(9) == Some(&b'1') {
            StatusKind::Interim
        } else if matches!(line.get(9..12), Some(b"204" | b"304")) {
            StatusKind::WithoutBody
        } else {
            StatusKind::Final
        };
        self.state = if line.starts_with(b"HTTP/1.1 ") {
            ResponseState::Head
        } else {
            ResponseState::Untracked
        };
    }

    fn on_head_end(&mut self) {
        let head = std::mem::take(&mut self.head);
        self.state = match (head.status, head.is_chunked, head.length) {
            (StatusKind::Interim, _, _) => ResponseState::Head,
            (StatusKind::WithoutBody, _, _) => ResponseState::Complete,
            (StatusKind::Final, true, _) => ResponseState::Chunked(ChunkedDecoder::default()),
            (StatusKind::Final, false, Some(0)) => ResponseState::Complete,
            (StatusKind::Final, false, Some(length)) => ResponseState::Length(length),
            // The body ends when the connection closes, which is not tracked.
            (StatusKind::Final, false, None) => ResponseState::Untracked,
        };
    }

    /// Whether the whole response was certainly read, so that its connection is idle.
    pub fn is_complete(&self) -> bool {
        match &self.state {
            ResponseState::Complete => true,
            ResponseState::Chunked(decoder) => decoder.has_ended(),
            ResponseState::Head | ResponseState::Length(_) | ResponseState::Untracked => false,
        }
    }

    /// Returns the decoder of a chunked body and the number of data bytes so far. `None` if the body is not chunked,
    /// has not begun, or its framing is invalid.
    pub fn body(&self) -> Option<(ChunkedDecoder, u64)> {
        match &self.state {
            ResponseState::Chunked(decoder) => Some((*decoder, self.chunk_data_bytes)),
            _ => None,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net/message_framing/response.rs"]
mod tests;
