//! The decoder of chunked bodies. Its state is ten bytes, which another process can take over between any two bytes of a
//! body.

use super::FramingError;

/// The most hexadecimal digits of a chunk's size: no body has 2^60 bytes.
const MAX_SIZE_DIGITS: u8 = 15;
/// The length of the line end behind a chunk's data.
const LINE_END_BYTES: u8 = 2;

/// The position in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkedState {
    /// In a chunk's size, behind so many digits.
    Size(u8),
    /// Behind the size, up to the line end.
    Extension,
    /// Between the two bytes of the line end behind the size.
    SizeEnd,
    /// In the data.
    Data,
    /// In the line end behind the data, of which so many bytes remain.
    DataEnd(u8),
    /// At the start of a line behind the last chunk.
    Trailer,
    /// Inside such a line.
    TrailerLine,
    /// Between the two bytes of the empty line that ends the body.
    TrailerEnd,
    /// Behind the body.
    End,
}

/// The decoder of one chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkedDecoder {
    state: ChunkedState,
    /// The bytes of the current chunk's data that are still to come; while its size is read, the size so far.
    remaining: u64,
}

impl Default for ChunkedDecoder {
    fn default() -> Self {
        ChunkedDecoder {
            state: ChunkedState::Size(0),
            remaining: 0,
        }
    }
}

impl ChunkedDecoder {
    /// The length of what [`ChunkedDecoder::to_bytes`] returns.
    pub const ENCODED_BYTES: usize = 10;

    /// Reads on and passes data to `on_data`. Returns how many of the bytes belong to the body: fewer than all where the
    /// body has ended.
    ///
    /// # Errors
    ///
    /// [`FramingError`] where the bytes are no chunked body. The decoder is not to be used any more.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        mut on_data: impl FnMut(&[u8]),
    ) -> Result<usize, FramingError> {
        let mut consumed = 0;
        while consumed < bytes.len() && !self.has_ended() {
            if self.state != ChunkedState::Data {
                self.state = self.next_state(bytes[consumed])?;
                consumed += 1;
                continue;
            }
            let remaining = usize::try_from(self.remaining).unwrap_or(usize::MAX);
            let length = remaining.min(bytes.len() - consumed);
            on_data(&bytes[consumed..consumed + length]);
            consumed += length;
            self.remaining -= length as u64;
            if self.remaining == 0 {
                self.state = ChunkedState::DataEnd(LINE_END_BYTES);
            }
        }
        Ok(consumed)
    }

    /// The state behind a byte that is no data.
    fn next_state(&mut self, byte: u8) -> Result<ChunkedState, FramingError> {
        use ChunkedState::*;
        Ok(match (self.state, byte) {
            (Size(MAX_SIZE_DIGITS..), _) if byte.is_ascii_hexdigit() => return Err(FramingError),
            (Size(digits), _) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16).unwrap_or(0);
                self.remaining = self.remaining * 16 + u64::from(digit);
                Size(digits + 1)
            }
            (Size(0), _) => return Err(FramingError),
            (Size(_) | Extension, b'\r') => SizeEnd,
            (Size(_), b' ' | b'\t' | b';') => Extension,
            (Extension, b'\n') => return Err(FramingError),
            (Extension, _) => Extension,
            (SizeEnd, b'\n') if self.remaining > 0 => Data,
            (SizeEnd, b'\n') => Trailer,
            (DataEnd(LINE_END_BYTES), b'\r') => DataEnd(1),
            (DataEnd(1), b'\n') => {
                self.remaining = 0;
                Size(0)
            }
            (Trailer, b'\r') => TrailerEnd,
            (Trailer, b'\n') => return Err(FramingError),
            (TrailerLine, b'\n') => Trailer,
            (Trailer | TrailerLine, _) => TrailerLine,
            (TrailerEnd, b'\n') => End,
            _ => return Err(FramingError),
        })
    }

    /// The decoder's state as another process takes it over with [`ChunkedDecoder::from_bytes`].
    pub fn to_bytes(self) -> [u8; ChunkedDecoder::ENCODED_BYTES] {
        let (code, count) = match self.state {
            ChunkedState::Size(digits) => (0, digits),
            ChunkedState::Extension => (1, 0),
            ChunkedState::SizeEnd => (2, 0),
            ChunkedState::Data => (3, 0),
            ChunkedState::DataEnd(remaining) => (4, remaining),
            ChunkedState::Trailer => (5, 0),
            ChunkedState::TrailerLine => (6, 0),
            ChunkedState::TrailerEnd => (7, 0),
            ChunkedState::End => (8, 0),
        };
        let mut bytes = [0; ChunkedDecoder::ENCODED_BYTES];
        bytes[0] = code;
        bytes[1] = count;
        bytes[2..].copy_from_slice(&self.remaining.to_be_bytes());
        bytes
    }

    /// The decoder whose state these bytes are; `None` where they are none.
    pub fn from_bytes(bytes: &[u8; ChunkedDecoder::ENCODED_BYTES]) -> Option<ChunkedDecoder> {
        let [code, count, remaining @ ..] = bytes;
        let state = match (code, count) {
            (0, 0..=MAX_SIZE_DIGITS) => ChunkedState::Size(*count),
            (1, 0) => ChunkedState::Extension,
            (2, 0) => ChunkedState::SizeEnd,
            (3, 0) => ChunkedState::Data,
            (4, 1..=LINE_END_BYTES) => ChunkedState::DataEnd(*count),
            (5, 0) => ChunkedState::Trailer,
            (6, 0) => ChunkedState::TrailerLine,
            (7, 0) => ChunkedState::TrailerEnd,
            (8, 0) => ChunkedState::End,
            _ => return None,
        };
        Some(ChunkedDecoder {
            state,
            remaining: u64::from_be_bytes(*remaining),
        })
    }

    /// Whether all of the body was read.
    pub fn has_ended(&self) -> bool {
        self.state == ChunkedState::End
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net/message_framing/chunked.rs"]
mod tests;
