//! The recording file: a header, then records, each framed with its length and its checksum.
//!
//! Header: [`MARK`] and [`VERSION`]. Frame: the body's length (2 bytes), the checksum (4 bytes), the body in postcard. All
//! numbers are little-endian.

use crate::Record;
use std::error::Error;
use std::fmt;
use std::io::{self, Read, Write};

/// The first bytes of a recording.
pub const MARK: [u8; 8] = *b"QHRECORD";
/// The version that is written. Readers accept it and those before it.
pub const VERSION: u16 = 1;

/// Bytes of the header.
const HEADER_BYTES: usize = MARK.len() + 2;
/// Bytes of the length and the checksum before each record.
const FRAME_BYTES: usize = 2 + 4;
/// The longest body of a record, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Writes a recording.
pub struct Writer<W> {
    output: W,
}

impl<W: Write> Writer<W> {
    /// Begins a recording by writing its header.
    ///
    /// # Errors
    ///
    /// Returns the error of the output.
    pub fn new(mut output: W) -> io::Result<Writer<W>> {
        output.write_all(&MARK)?;
        output.write_all(&VERSION.to_le_bytes())?;
        Ok(Writer { output })
    }

    /// Appends a record with a single write.
    ///
    /// # Errors
    ///
    /// Returns the error of the output, or one of the kind `Other` if the record cannot be encoded or is too long.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        let body = postcard::to_stdvec(record).map_err(io::Error::other)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(io::Error::other("a record that is too long"));
        }
        let length = body.len() as u16;
        let mut framed = Vec::with_capacity(FRAME_BYTES + body.len());
        framed.extend_from_slice(&length.to_le_bytes());
        framed.extend_from_slice(&checksum(length, &body).to_le_bytes());
        framed.extend_from_slice(&body);
        self.output.write_all(&framed)
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

/// The checksum covers the length too: a damaged length must not pass for the end of a record.
fn checksum(length: u16, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// What is wrong with a recording.
#[derive(Debug)]
pub enum DamageReason {
    /// The file cannot be read.
    Io(io::Error),
    /// The header is missing.
    NotARecording,
    /// The file is of a version that this program does not know.
    UnknownVersion(u16),
    /// A record has this length in bytes, which is not possible.
    BadLength(u16),
    /// A record's checksum does not match.
    BadChecksum,
    /// A record cannot be decoded.
    Decode(postcard::Error),
    /// A record is shorter than its frame says.
    TrailingBytes,
}

impl fmt::Display for DamageReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DamageReason::Io(error) => error.fmt(formatter),
            DamageReason::NotARecording => formatter.write_str("not a recording"),
            DamageReason::UnknownVersion(version) => {
                write!(
                    formatter,
                    "version {version}, and up to {VERSION} are known"
                )
            }
            DamageReason::BadLength(length) => write!(formatter, "a record of {length} bytes"),
            DamageReason::BadChecksum => formatter.write_str("a record whose sum is wrong"),
            DamageReason::Decode(error) => error.fmt(formatter),
            DamageReason::TrailingBytes => formatter.write_str("a record with more than it says"),
        }
    }
}

/// Why a recording is not read any further, and where.
#[derive(Debug)]
pub struct Damage {
    /// The offset in bytes.
    pub offset: u64,
    /// The reason.
    pub reason: DamageReason,
}

impl fmt::Display for Damage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at byte {}: {}", self.offset, self.reason)
    }
}

impl Error for Damage {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match &self.reason {
            DamageReason::Io(error) => Some(error),
            DamageReason::Decode(error) => Some(error),
            DamageReason::NotARecording
            | DamageReason::UnknownVersion(_)
            | DamageReason::BadLength(_)
            | DamageReason::BadChecksum
            | DamageReason::TrailingBytes => None,
        }
    }
}

/// Reads a recording, record by record.
pub struct Reader<R> {
    input: R,
    offset: u64,
    is_truncated: bool,
    is_finished: bool,
}

/// Reads until the buffer is full or the input ends, and returns the number of bytes.
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
    /// Reads the header.
    ///
    /// # Errors
    ///
    /// Fails if the input cannot be read, is not a recording, or is of a newer version.
    pub fn new(mut input: R) -> Result<Reader<R>, Damage> {
        let mut header = [0; HEADER_BYTES];
        let count = read_up_to(&mut input, &mut header).map_err(|error| Damage {
            offset: 0,
            reason: DamageReason::Io(error),
        })?;
        if count < header.len() || !header.starts_with(&MARK) {
            return Err(Damage {
                offset: 0,
                reason: DamageReason::NotARecording,
            });
        }
        let version = u16::from_le_bytes([header[MARK.len()], header[MARK.len() + 1]]);
        if version == 0 || version > VERSION {
            return Err(Damage {
                offset: MARK.len() as u64,
                reason: DamageReason::UnknownVersion(version),
            });
        }
        Ok(Reader {
            input,
            offset: HEADER_BYTES as u64,
            is_truncated: false,
            is_finished: false,
        })
    }

    /// Whether the file ended within a record, because its writer was interrupted.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Bytes up to the end of the last complete record.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    fn read_record(&mut self) -> Result<Option<Record>, DamageReason> {
        let mut frame = [0; FRAME_BYTES];
        let count = read_up_to(&mut self.input, &mut frame).map_err(DamageReason::Io)?;
        if count < FRAME_BYTES {
            self.is_truncated = count > 0;
            return Ok(None);
        }
        let length = u16::from_le_bytes([frame[0], frame[1]]);
        if usize::from(length) > MAX_BODY_BYTES || length == 0 {
            return Err(DamageReason::BadLength(length));
        }
        let mut body = vec![0; usize::from(length)];
        let count = read_up_to(&mut self.input, &mut body).map_err(DamageReason::Io)?;
        if count < body.len() {
            self.is_truncated = true;
            return Ok(None);
        }
        if frame[2..] != checksum(length, &body).to_le_bytes() {
            return Err(DamageReason::BadChecksum);
        }
        let (record, rest) = postcard::take_from_bytes(&body).map_err(DamageReason::Decode)?;
        if !rest.is_empty() {
            return Err(DamageReason::TrailingBytes);
        }
        self.offset += (FRAME_BYTES + body.len()) as u64;
        Ok(Some(record))
    }
}

impl<R: Read> Iterator for Reader<R> {
    type Item = Result<Record, Damage>;

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
            Err(reason) => {
                self.is_finished = true;
                let offset = self.offset;
                Some(Err(Damage { offset, reason }))
            }
        }
    }
}
