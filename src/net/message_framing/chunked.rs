//! Decodes bodies in the chunked transfer encoding. The decoder's state can be serialized between any two bytes of a
//! body, so that another process can continue to decode it.

use super::FramingError;

/// The maximum number of hexadecimal digits in a chunk's size. It limits chunks to less than 2^60 bytes, more than any
/// body has.
const MAX_SIZE_DIGITS: u8 = 15;
/// The length of the CRLF after a chunk's data.
const LINE_END_BYTES: u8 = 2;

/// The position in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkedState {
    /// In a chunk's size, with the number of digits read so far.
    Size(u8),
    /// After the size, before the end of its line.
    Extension,
    /// Between the two bytes of the CRLF after the size.
    SizeEnd,
    /// In a chunk's data.
    Data,
    /// In the CRLF after the data, with the number of its bytes that remain.
    DataEnd(u8),
    /// At the start of a line in the trailer section, after the last chunk.
    Trailer,
    /// Inside a line of the trailer section.
    TrailerLine,
    /// Between the two bytes of the empty line that ends the body.
    TrailerEnd,
    /// After the body.
    End,
}

/// The decoder of one chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkedDecoder {
    state: ChunkedState,
    /// The number of data bytes that remain of the current chunk. While the chunk's size is read, its value so far.
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
    /// The length of the serialized state, which [`ChunkedDecoder::to_bytes`] returns.
    pub const ENCODED_BYTES: usize = 10;

    /// Decodes the next bytes and passes their data to `on_data`. Returns how many of them belong to the body, which
    /// are fewer than all if the body ends among them.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if the bytes are not a valid chunked body. The decoder must not be used afterwards.
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

    /// Returns the state after a byte that is not data.
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

    /// Serializes the decoder's state, for [`ChunkedDecoder::from_bytes`] in another process.
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

    /// Restores a decoder from its serialized state; `None` if the bytes are not a valid state.
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

    /// Whether the whole body was read.
    pub fn has_ended(&self) -> bool {
        self.state == ChunkedState::End
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net/message_framing/chunked.rs"]
mod tests;
