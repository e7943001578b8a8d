//! The framing of HTTP/1.1 messages, followed beside the library that parses them: where each head and body ends, and
//! what a head declares of its body. Pure: bytes in, states out. Each connection owns its [`RequestFraming`] or
//! [`ResponseFraming`], and the result does not depend on how its bytes are split.

mod chunked;
mod request;
mod response;

pub use chunked::ChunkedDecoder;
pub use request::{DeclaredBody, RequestFraming};
pub use response::ResponseFraming;

use thiserror::Error;

/// The longest line of a head that is followed.
const MAX_HEAD_LINE_BYTES: usize = 16 * 1024;

/// The bytes are no message that can be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the message framing can't be followed")]
pub struct FramingError;

/// The length of the first line with its line feed, or `None` where the line feed is still to come.
fn complete_line_length(bytes: &[u8]) -> Option<usize> {
    let line_feed = bytes.iter().position(|byte| *byte == b'\n')?;
    Some(line_feed + 1)
}

/// The name and the value of a header field.
fn parse_field(line: &[u8]) -> Option<(&str, &str)> {
    let line = std::str::from_utf8(line).ok()?;
    let (name, value) = line.split_once(':')?;
    Some((name.trim(), value.trim()))
}
