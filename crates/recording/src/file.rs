//! Encoding and decoding of recording files: a header, then a sequence of framed records.
//!
//! - Header: [`MAGIC`] (8 bytes), [`VERSION`] (2 bytes).
//! - Frame of a record: the length of the body (2 bytes), the CRC-32 of length and body (4 bytes), the body in the postcard
//!   encoding.
//!
//! The integers of the header and the frames are little-endian. A writer that is interrupted leaves a truncated last record,
//! which the reader reports apart from damage.

use crate::Record;
use std::error::Error;
use std::fmt;
use std::io::{self, Read, Write};

/// The magic bytes at the start of a recording.
pub const MAGIC: [u8; 8] = *b"QHRECORD";
/// The format version that [`Writer`] writes. [`Reader`] accepts versions 1 to this one.
pub const VERSION: u16 = 1;

/// The length of the header: magic bytes and version.
const HEADER_BYTES: usize = MAGIC.len() + 2;
/// The length of what precedes the body in a frame: the body's length and the checksum.
const FRAME_HEADER_BYTES: usize = 2 + 4;
/// The maximum length of a record's body. It bounds what a reader allocates for a damaged length.
const MAX_BODY_BYTES: usize = 4096;

/// Writes a recording.
pub struct Writer<W> {
    output: W,
}

impl<W: Write> Writer<W> {
    /// Writes the header.
    ///
    /// # Errors
    ///
    /// Returns the error of the output.
    pub fn new(mut output: W) -> io::Result<Writer<W>> {
        output.write_all(&MAGIC)?;
        output.write_all(&VERSION.to_le_bytes())?;
        Ok(Writer { output })
    }

    /// Appends a record with a single write.
    ///
    /// # Errors
    ///
    /// Returns the error of the output. Returns one of the kind [`io::ErrorKind::Other`] if the record cannot be encoded or is
    /// longer than the format allows.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        let body = postcard::to_stdvec(record).map_err(io::Error::other)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(io::Error::other("record exceeds the maximum length"));
        }
        let length = body.len() as u16;
        let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&checksum(length, &body).to_le_bytes());
        frame.extend_from_slice(&body);
        self.output.write_all(&frame)
    }

    /// Flushes the output.
    ///
    /// # Errors
    ///
    /// Returns the error of the output.
    pub fn flush(&mut self) -> io::Result<()> {
        self.output.flush()
    }
}

/// Returns the CRC-32 of a frame. It includes the length, so that a damaged length is detected.
fn checksum(length: u16, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// The cause of a failed read. A truncated last record is not an error, see [`Reader::is_truncated`].
#[derive(Debug)]
pub enum ReadErrorKind {
    /// The input returned an error.
    Io(io::Error),
    /// The input does not begin with a complete header.
    NotARecording,
    /// The format version is 0 or newer than [`VERSION`].
    UnsupportedVersion(u16),
    /// The length of a body, in bytes, is 0 or greater than the maximum.
    BadLength(u16),
    /// The checksum of a frame does not match.
    BadChecksum,
    /// A body cannot be decoded.
    Decode(postcard::Error),
    /// A body has more bytes than its record.
    TrailingBytes,
}

impl fmt::Display for ReadErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadErrorKind::Io(error) => error.fmt(formatter),
            ReadErrorKind::NotARecording => formatter.write_str("not a recording"),
            ReadErrorKind::UnsupportedVersion(version) => {
                write!(
                    formatter,
                    "unsupported version {version}, the newest supported version is {VERSION}"
                )
            }
            ReadErrorKind::BadLength(length) => {
                write!(formatter, "invalid record length of {length} bytes")
            }
            ReadErrorKind::BadChecksum => {
                formatter.write_str("checksum of the record does not match")
            }
            ReadErrorKind::Decode(error) => error.fmt(formatter),
            ReadErrorKind::TrailingBytes => {
                formatter.write_str("extra bytes after the record in its frame")
            }
        }
    }
}

/// The position and the cause of a failed read.
#[derive(Debug)]
pub struct ReadError {
    /// Bytes from the start of the file to the header field or the frame that could not be read.
    pub offset: u64,
    /// The cause.
    pub kind: ReadErrorKind,
}

impl fmt::Display for ReadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at byte {}: {}", self.offset, self.kind)
    }
}

impl Error for ReadError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match &self.kind {
            ReadErrorKind::Io(error) => Some(error),
            ReadErrorKind::Decode(error) => Some(error),
            ReadErrorKind::NotARecording
            | ReadErrorKind::UnsupportedVersion(_)
            | ReadErrorKind::BadLength(_)
            | ReadErrorKind::BadChecksum
            | ReadErrorKind::TrailingBytes => None,
        }
    }
}

/// Iterates over the records of a recording. It ends after the last complete record or after the first error.
pub struct Reader<R> {
    input: R,
    offset: u64,
    is_truncated: bool,
    is_finished: bool,
}

/// Reads until the buffer is full or the input ends. Returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}

impl<R: Read> Reader<R> {
    /// Reads and checks the header.
    ///
    /// # Errors
    ///
    /// Fails if the input cannot be read, is not a recording, or has an unsupported version. An input shorter than the header
    /// is not a recording.
    pub fn new(mut input: R) -> Result<Reader<R>, ReadError> {
        let mut header = [0; HEADER_BYTES];
        let count = read_up_to(&mut input, &mut header).map_err(|error| ReadError {
            offset: 0,
            kind: ReadErrorKind::Io(error),
        })?;
        if count < header.len() || !header.starts_with(&MAGIC) {
            return Err(ReadError {
                offset: 0,
                kind: ReadErrorKind::NotARecording,
            });
        }
        let version = u16::from_le_bytes([header[MAGIC.len()], header[MAGIC.len() + 1]]);
        if version == 0 || version > VERSION {
            return Err(ReadError {
                offset: MAGIC.len() as u64,
                kind: ReadErrorKind::UnsupportedVersion(version),
            });
        }
        Ok(Reader {
            input,
            offset: HEADER_BYTES as u64,
            is_truncated: false,
            is_finished: false,
        })
    }

    /// Returns whether the input ended within a record, because its writer was interrupted. False until the iterator has
    /// reached the end of the input.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Returns the bytes from the start of the input to the end of the last record that was read.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Reads the next record; `None` at the end of the input, also if that is within a record.
    fn read_record(&mut self) -> Result<Option<Record>, ReadErrorKind> {
        let mut frame_header = [0; FRAME_HEADER_BYTES];
        let count = read_up_to(&mut self.input, &mut frame_header).map_err(ReadErrorKind::Io)?;
        if count < FRAME_HEADER_BYTES {
            self.is_truncated = count > 0;
            return Ok(None);
        }
        let length = u16::from_le_bytes([frame_header[0], frame_header[1]]);
        if usize::from(length) > MAX_BODY_BYTES || length == 0 {
            return Err(ReadErrorKind::BadLength(length));
        }
        let mut body = vec![0; usize::from(length)];
        let count = read_up_to(&mut self.input, &mut body).map_err(ReadErrorKind::Io)?;
        if count < body.len() {
            self.is_truncated = true;
            return Ok(None);
        }
        if frame_header[2..] != checksum(length, &body).to_le_bytes() {
            return Err(ReadErrorKind::BadChecksum);
        }
        let (record, rest) = postcard::take_from_bytes(&body).map_err(ReadErrorKind::Decode)?;
        if !rest.is_empty() {
            return Err(ReadErrorKind::TrailingBytes);
        }
        self.offset += (FRAME_HEADER_BYTES + body.len()) as u64;
        Ok(Some(record))
    }
}

impl<R: Read> Iterator for Reader<R> {
    type Item = Result<Record, ReadError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.is_finished {
            return None;
        }
        match self.read_record() {
            Ok(Some(record)) => Some(Ok(record)),
            Ok(None) => {
                self.is_finished = true;
                None
            }
            Err(kind) => {
                self.is_finished = true;
                let offset = self.offset;
                Some(Err(ReadError { offset, kind }))
            }
        }
    }
}
