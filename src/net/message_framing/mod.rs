//! Tracks the framing of HTTP/1.1 messages: where each head and body ends, and what a head declares about its body.
//!
//! Each connection owns a [`RequestFraming`] or a [`ResponseFraming`], which see the same bytes as the HTTP library
//! that parses the messages. They do no I/O, and their result does not depend on how the bytes are split.

mod chunked;
mod request;
mod response;

pub use chunked::ChunkedDecoder;
pub use request::{DeclaredBody, RequestFraming};
pub use response::ResponseFraming;

use thiserror::Error;

/// The maximum length of a line in a head.
const MAX_HEAD_LINE_BYTES: usize = 16 * 1024;

/// The bytes are not an HTTP/1.1 message, or use framing that is not supported here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("invalid or unsupported message framing")]
pub struct FramingError;

/// Returns the length of the first line with its line feed; `None` if the line feed is missing.
fn complete_line_length(bytes: &[u8]) -> Option<usize> {
    let line_feed = bytes.iter().position(|byte| *byte == b'\n')?;
    Some(line_feed + 1)
}

/// Splits a header field into its name and its value; `None` if the line is not a field.
fn parse_field(line: &[u8]) -> Option<(&str, &str)> {
    let line = std::str::from_utf8(line).ok()?;
    let (name, value) = line.split_once(':')?;
    Some((name.trim(), value.trim()))
}
