//! The file: a header, then records, each with its length and its sum.

use crate::Record;
use std::fmt;
use std::io::{self, Read, Write};

/// A recording begins with this.
pub const MARK: [u8; 8] = *b"QHRECORD";
/// The version that is written. Readers take it and those before it.
pub const VERSION: u16 = 1;

/// Before each record: its length and its sum.
const FRAME: usize = 2 + 4;
/// No record is longer.
const LONGEST: usize = 4096;

/// Writes a recording.
pub struct Writer<W> {
    to: W,
}

impl<W: Write> Writer<W> {
    /// Begins one.
    pub fn new(mut to: W) -> io::Result<Writer<W>> {
        to.write_all(&MARK)?;
        to.write_all(&VERSION.to_le_bytes())?;
        Ok(Writer { to })
    }

    /// Adds a record, as one piece.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        let body = postcard::to_stdvec(record).map_err(io::Error::other)?;
        let length = u16::try_from(body.len())
            .ok()
            .filter(|length| usize::from(*length) <= LONGEST);
        let length = length.ok_or_else(|| io::Error::other("a record that is too long"))?;
        let mut framed = Vec::with_capacity(FRAME + body.len());
        framed.extend_from_slice(&length.to_le_bytes());
        framed.extend_from_slice(&sum(length, &body).to_le_bytes());
        framed.extend_from_slice(&body);
        self.to.write_all(&framed)
    }

    /// What was written reaches the file.
    pub fn flush(&mut self) -> io::Result<()> {
        self.to.flush()
    }
}

/// The sum covers the length too: a wrong one must not pass for a record's end.
fn sum(length: u16, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Why a recording is not read, and where.
#[derive(Debug)]
pub struct Damage {
    /// The offset in bytes.
    pub offset: u64,
    /// The reason.
    pub reason: String,
}

impl fmt::Display for Damage {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "at byte {}: {}", self.offset, self.reason)
    }
}

impl std::error::Error for Damage {}

/// Reads a recording, record by record.
pub struct Reader<R> {
    from: R,
    offset: u64,
    cut: bool,
    over: bool,
}

/// Reads until the buffer is full or the file ends; tells how much.
fn fill(from: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut read = 0;
    while read < buffer.len() {
        match from.read(&mut buffer[read..]) {
            Ok(0) => break,
            Ok(more) => read += more,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(read)
}

impl<R: Read> Reader<R> {
    /// Begins to read; what is no recording, or a newer one, is refused.
    pub fn new(mut from: R) -> Result<Reader<R>, Damage> {
        let damage = |reason: &str| Damage {
            offset: 0,
            reason: reason.into(),
        };
        let mut header = [0; MARK.len() + 2];
        let read = fill(&mut from, &mut header).map_err(|error| damage(&error.to_string()))?;
        if read < header.len() || !header.starts_with(&MARK) {
            return Err(damage("not a recording"));
        }
        let version = u16::from_le_bytes([header[MARK.len()], header[MARK.len() + 1]]);
        if version == 0 || version > VERSION {
            let reason = format!("version {version}, and up to {VERSION} are known");
            return Err(Damage {
                offset: MARK.len() as u64,
                reason,
            });
        }
        Ok(Reader {
            from,
            offset: header.len() as u64,
            cut: false,
            over: false,
        })
    }

    /// Whether the file ended within a record: its writer was cut off.
    pub fn was_cut(&self) -> bool {
        self.cut
    }

    /// Bytes up to the end of the last whole record.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    fn damage(&self, reason: impl fmt::Display) -> Damage {
        Damage {
            offset: self.offset,
            reason: reason.to_string(),
        }
    }

    fn record(&mut self) -> Result<Option<Record>, Damage> {
        let mut frame = [0; FRAME];
        match fill(&mut self.from, &mut frame).map_err(|error| self.damage(error))? {
            0 => return Ok(None),
            FRAME => {}
            _ => {
                self.cut = true;
                return Ok(None);
            }
        }
        let length = u16::from_le_bytes([frame[0], frame[1]]);
        if usize::from(length) > LONGEST || length == 0 {
            return Err(self.damage(format!("a record of {length} bytes")));
        }
        let mut body = vec![0; usize::from(length)];
        if fill(&mut self.from, &mut body).map_err(|error| self.damage(error))? < body.len() {
            self.cut = true;
            return Ok(None);
        }
        if frame[2..] != sum(length, &body).to_le_bytes() {
            return Err(self.damage("a record whose sum is wrong"));
        }
        let (record, rest) =
            postcard::take_from_bytes(&body).map_err(|error| self.damage(error))?;
        if !rest.is_empty() {
            return Err(self.damage("a record with more than it says"));
        }
        self.offset += (FRAME + body.len()) as u64;
        Ok(Some(record))
    }
}

impl<R: Read> Iterator for Reader<R> {
    type Item = Result<Record, Damage>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.over {
            return None;
        }
        let next = self.record().transpose();
        self.over = !matches!(next, Some(Ok(_)));
        next
    }
}
