//! The framing of HTTP/1.1 messages, followed beside the library that reads them: where each head and body ends, and
//! what a head states of its body. Pure: bytes in, states out; any cut of the bytes gives the same.

/// A head's line is no longer than this.
const LONGEST_LINE: usize = 16 * 1024;
/// Heads that may be told and not yet asked for.
const MOST_HEADS: usize = 64;

/// The bytes could not be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FramingLost;

/// Where a body in chunks stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// In the digits of a size; so many were read.
    Size(u8),
    /// Behind them, up to the line's end.
    Extension,
    /// A line's end has begun.
    SizeEnd,
    /// In the data.
    Data,
    /// The data's own line end, which has so many bytes left.
    DataEnd(u8),
    /// At the start of a line after the last chunk.
    Trailer,
    /// In such a line.
    TrailerLine,
    /// Such an empty line's end has begun.
    TrailerEnd,
    /// At the end.
    End,
}

/// A body in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkedDecoder {
    at: At,
    left: u64,
}

impl Default for ChunkedDecoder {
    fn default() -> Self {
        ChunkedDecoder {
            at: At::Size(0),
            left: 0,
        }
    }
}

impl ChunkedDecoder {
    /// Reads on, and hands each piece of data on. Tells how many bytes belong to the body; fewer than all where it has
    /// ended.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        mut data: impl FnMut(&[u8]),
    ) -> Result<usize, FramingLost> {
        let mut read = 0;
        while read < bytes.len() && self.at != At::End {
            if self.at == At::Data {
                let piece = usize::try_from(self.left)
                    .unwrap_or(usize::MAX)
                    .min(bytes.len() - read);
                data(&bytes[read..read + piece]);
                read += piece;
                self.left -= piece as u64;
                if self.left == 0 {
                    self.at = At::DataEnd(2);
                }
                continue;
            }
            self.at = self.next(bytes[read])?;
            read += 1;
        }
        Ok(read)
    }

    fn next(&mut self, byte: u8) -> Result<At, FramingLost> {
        Ok(match (self.at, byte) {
            (At::Size(digits), _) if byte.is_ascii_hexdigit() => {
                let digit = (byte as char).to_digit(16).unwrap_or(0);
                // 2^60 bytes never come: what says so is none of ours.
                if digits >= 15 {
                    return Err(FramingLost);
                }
                self.left = self.left * 16 + u64::from(digit);
                At::Size(digits + 1)
            }
            (At::Size(0), _) => return Err(FramingLost),
            (At::Size(_) | At::Extension, b'\r') => At::SizeEnd,
            (At::Size(_), b' ' | b'\t' | b';') => At::Extension,
            (At::Extension, b'\n') => return Err(FramingLost),
            (At::Extension, _) => At::Extension,
            (At::SizeEnd, b'\n') if self.left > 0 => At::Data,
            (At::SizeEnd, b'\n') => At::Trailer,
            (At::DataEnd(2), b'\r') => At::DataEnd(1),
            (At::DataEnd(1), b'\n') => {
                self.left = 0;
                At::Size(0)
            }
            (At::Trailer, b'\r') => At::TrailerEnd,
            (At::Trailer, b'\n') => return Err(FramingLost),
            (At::TrailerLine, b'\n') => At::Trailer,
            (At::Trailer | At::TrailerLine, _) => At::TrailerLine,
            (At::TrailerEnd, b'\n') => At::End,
            _ => return Err(FramingLost),
        })
    }

    /// The length of what [`ChunkedDecoder::to_bytes`] gives.
    pub const BYTES: usize = 10;

    /// Where it stands, for another process.
    pub fn to_bytes(self) -> [u8; ChunkedDecoder::BYTES] {
        let (at, count) = match self.at {
            At::Size(digits) => (0, digits),
            At::Extension => (1, 0),
            At::SizeEnd => (2, 0),
            At::Data => (3, 0),
            At::DataEnd(left) => (4, left),
            At::Trailer => (5, 0),
            At::TrailerLine => (6, 0),
            At::TrailerEnd => (7, 0),
            At::End => (8, 0),
        };
        let mut bytes = [0; ChunkedDecoder::BYTES];
        bytes[..2].copy_from_slice(&[at, count]);
        bytes[2..].copy_from_slice(&self.left.to_be_bytes());
        bytes
    }

    /// Goes on from there.
    pub fn from_bytes(bytes: &[u8; ChunkedDecoder::BYTES]) -> Option<ChunkedDecoder> {
        let [at, count, left @ ..] = bytes;
        let at = match (at, count) {
            (0, 0..=15) => At::Size(*count),
            (1, 0) => At::Extension,
            (2, 0) => At::SizeEnd,
            (3, 0) => At::Data,
            (4, 1..=2) => At::DataEnd(*count),
            (5, 0) => At::Trailer,
            (6, 0) => At::TrailerLine,
            (7, 0) => At::TrailerEnd,
            (8, 0) => At::End,
            _ => return None,
        };
        Some(ChunkedDecoder {
            at,
            left: u64::from_be_bytes(*left),
        })
    }

    /// Whether all of the body was read.
    pub fn ended(&self) -> bool {
        self.at == At::End
    }
}

/// The answer to one request, as its bytes come.
#[derive(Debug, Default)]
pub struct ResponseFraming {
    line: Vec<u8>,
    lines: usize,
    interim: bool,
    chunked: bool,
    bodiless: bool,
    length: Option<u64>,
    over: bool,
    body: Option<ChunkedDecoder>,
    lost: bool,
    data: u64,
}

impl ResponseFraming {
    /// Reads on.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && !self.lost && !self.over {
            if let (None, 0, Some(left)) = (self.body, self.lines, &mut self.length) {
                *left = left.saturating_sub(bytes.len() as u64);
                self.over = *left == 0;
                return;
            }
            let Some(body) = &mut self.body else {
                let end = bytes
                    .iter()
                    .position(|byte| *byte == b'\n')
                    .map(|end| end + 1);
                let (line, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
                bytes = rest;
                self.line.extend_from_slice(line);
                self.lost = self.line.len() > LONGEST_LINE;
                if end.is_some() {
                    let line = std::mem::take(&mut self.line);
                    self.end_line(line.strip_suffix(b"\r\n").unwrap_or(&line));
                }
                continue;
            };
            let data = &mut self.data;
            let fed = body.feed(bytes, |piece| *data += piece.len() as u64);
            // What comes behind the end is none of this answer's.
            self.lost = fed.is_err();
            self.over = body.ended();
            return;
        }
    }

    fn end_line(&mut self, line: &[u8]) {
        self.lines += 1;
        if self.lines == 1 {
            self.interim = line.get(9) == Some(&b'1');
            self.bodiless = matches!(line.get(9..12), Some(b"204" | b"304"));
            self.lost = !line.starts_with(b"HTTP/1.1 ");
        } else if line.is_empty() {
            self.lines = 0;
            match (self.interim, self.chunked) {
                (true, _) => *self = ResponseFraming::default(),
                (false, _) if self.bodiless => self.over = true,
                (false, true) => self.body = Some(ChunkedDecoder::default()),
                (false, false) => {
                    self.over = self.length == Some(0);
                    self.lost = self.length.is_none();
                }
            }
        } else if let Some((name, value)) = std::str::from_utf8(line)
            .ok()
            .and_then(|it| it.split_once(':'))
        {
            if name.trim().eq_ignore_ascii_case("transfer-encoding") {
                self.chunked = value.trim().eq_ignore_ascii_case("chunked");
            } else if name.trim().eq_ignore_ascii_case("content-length") {
                self.length = value.trim().parse().ok();
            }
        }
    }

    /// Whether all of it was read, for certain: its connection is idle then.
    pub fn is_over(&self) -> bool {
        self.over && !self.lost
    }

    /// Where its body stands, and how much data there was, if it comes in chunks and could be followed.
    pub fn body(&self) -> Option<(ChunkedDecoder, u64)> {
        self.body
            .filter(|_| !self.lost)
            .map(|body| (body, self.data))
    }
}

/// What a request's head states of its body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeclaredBody {
    /// It comes in chunks.
    pub chunked: bool,
    /// It has a length.
    pub length: Option<u64>,
    /// Its coding is none that is known here.
    pub coded: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Head,
    Length(u64),
    ChunkedDecoder(ChunkedDecoder),
    /// The bytes could not be followed: nothing is said of any later head.
    FramingLost,
}

/// The requests on one connection.
#[derive(Debug)]
pub struct RequestFraming {
    part: Part,
    line: Vec<u8>,
    lines: usize,
    stated: DeclaredBody,
    heads: std::collections::VecDeque<DeclaredBody>,
    ended: u64,
}

impl Default for RequestFraming {
    fn default() -> Self {
        RequestFraming {
            part: Part::Head,
            line: Vec::new(),
            lines: 0,
            stated: DeclaredBody::default(),
            heads: Default::default(),
            ended: 0,
        }
    }
}

impl RequestFraming {
    /// Reads on, to the end of a request at most. Tells how many bytes belong to it.
    pub fn feed(&mut self, all: &[u8]) -> usize {
        let (mut bytes, ended) = (all, self.ended);
        while !bytes.is_empty() && self.ended == ended {
            let read = match &mut self.part {
                Part::FramingLost => return all.len(),
                Part::Length(left) => {
                    let piece = usize::try_from(*left)
                        .unwrap_or(usize::MAX)
                        .min(bytes.len());
                    *left -= piece as u64;
                    if *left == 0 {
                        (self.part, self.ended) = (Part::Head, self.ended + 1);
                    }
                    Ok(piece)
                }
                Part::ChunkedDecoder(chunks) => {
                    let read = chunks.feed(bytes, |_| {});
                    if chunks.ended() {
                        (self.part, self.ended) = (Part::Head, self.ended + 1);
                    }
                    read
                }
                Part::Head => self.head(bytes),
            };
            match read {
                Ok(read) => bytes = &bytes[read..],
                Err(FramingLost) => {
                    self.stop();
                    return all.len();
                }
            }
        }
        all.len() - bytes.len()
    }

    /// RequestFraming that have come whole.
    pub fn ended(&self) -> u64 {
        self.ended
    }

    /// What comes from now on is no request, or can't be followed.
    pub fn stop(&mut self) {
        self.part = Part::FramingLost;
        self.line = Vec::new();
    }

    /// What the next head states, in their order. `None`: it can't be told.
    pub fn next_head(&mut self) -> Option<DeclaredBody> {
        self.heads.pop_front()
    }

    /// Reads up to a line's end, and the line.
    fn head(&mut self, bytes: &[u8]) -> Result<usize, FramingLost> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let read = end.map_or(bytes.len(), |end| end + 1);
        if self.line.len() + read > LONGEST_LINE {
            return Err(FramingLost);
        }
        self.line.extend_from_slice(&bytes[..read]);
        if end.is_some() {
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\n").unwrap_or(&line);
            self.end_line(line.strip_suffix(b"\r").unwrap_or(line))?;
        }
        Ok(read)
    }

    fn end_line(&mut self, line: &[u8]) -> Result<(), FramingLost> {
        if !line.is_empty() {
            self.lines += 1;
            return if self.lines == 1 {
                Ok(())
            } else {
                self.field(line)
            };
        }
        // Empty lines before a request are passed over.
        if self.lines == 0 {
            return Ok(());
        }
        self.lines = 0;
        let stated = std::mem::take(&mut self.stated);
        if self.heads.len() >= MOST_HEADS || stated.coded && !stated.chunked {
            return Err(FramingLost);
        }
        self.heads.push_back(stated);
        self.part = match stated {
            DeclaredBody { chunked: true, .. } => Part::ChunkedDecoder(ChunkedDecoder::default()),
            DeclaredBody {
                length: Some(length),
                ..
            } if length > 0 => Part::Length(length),
            _ => {
                self.ended += 1;
                Part::Head
            }
        };
        Ok(())
    }

    fn field(&mut self, line: &[u8]) -> Result<(), FramingLost> {
        let line = std::str::from_utf8(line).unwrap_or("");
        let Some((name, value)) = line.split_once(':') else {
            return Ok(());
        };
        let (name, value) = (name.trim(), value.trim());
        if name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let length = value.parse().ok().filter(|_| digits).ok_or(FramingLost)?;
            if self.stated.length.is_some_and(|other| other != length) {
                return Err(FramingLost);
            }
            self.stated.length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            // One header with the one coding; all else is not followed.
            let again = self.stated.coded;
            self.stated.coded = true;
            self.stated.chunked = !again && value.eq_ignore_ascii_case("chunked");
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net/message_framing.rs"]
mod tests;
