//! The records of the claims file and their text. The format is shared between versions and must stay compatible.

use std::fmt::Write;

const FORMAT_VERSION: &str = "1";
/// The number of hexadecimal digits of a key.
const KEY_DIGITS: usize = 32;
/// The number of hexadecimal digits of a start time or a claim's number.
const NUMBER_DIGITS: usize = 16;

/// Identifies a request among all those of the dispatcher's clients.
///
/// It is a hash of the client request id, so that a record has a fixed length whatever the client has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey(u128);

impl RequestKey {
    /// Returns the key of a request over HTTP, whose client request id is unique among all clients.
    pub fn of_http_request(client_request_id: &str) -> RequestKey {
        RequestKey::hash("http", "", client_request_id)
    }

    /// Returns the key of a session's request, whose client request id is unique within its tenant.
    pub fn of_session_request(tenant: Option<&str>, client_request_id: &str) -> RequestKey {
        RequestKey::hash("session", tenant.unwrap_or_default(), client_request_id)
    }

    fn hash(frontend: &str, tenant: &str, client_request_id: &str) -> RequestKey {
        let mut hasher = blake3::Hasher::new();
        for part in [frontend, tenant, client_request_id] {
            // The length keeps the parts apart.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut key = [0; 16];
        hasher.finalize_xof().fill(&mut key);
        RequestKey(u128::from_be_bytes(key))
    }
}

/// Identifies one claim among those of all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClaimId {
    /// The start time of the process that has made the claim, in Unix microseconds.
    pub owner: u64,
    /// The number of the claim among those of its process.
    pub number: u64,
}

/// How a claimed request has ended. Ordered by what they permit, the most first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClaimEnd {
    /// The request may be begun again, by any process: it did not run, or its class allows a repeat.
    Released,
    /// The request was served.
    Served,
    /// The request was not served and may have run.
    MayHaveRun,
}

/// One record of the claims file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Record {
    /// The process with this start time (Unix microseconds) records its claims.
    ProcessStarted { owner: u64 },
    /// A process claims a request. The claim is void if another process has the request, unless that is
    /// `replaced_owner`.
    Claimed {
        key: RequestKey,
        claim: ClaimId,
        replaced_owner: u64,
    },
    /// A claimed request has ended.
    Ended {
        key: RequestKey,
        claim: ClaimId,
        end: ClaimEnd,
    },
}

impl Record {
    /// Formats the record as a line. The line break before it separates it from an earlier line that was written only
    /// in part.
    pub(super) fn to_line(self) -> String {
        let mut line = format!("\n{FORMAT_VERSION} ");
        // Writing to a string never fails.
        let _ = match self {
            Record::ProcessStarted { owner } => write!(line, "p {owner:016x}"),
            Record::Claimed {
                key,
                claim,
                replaced_owner,
            } => write!(
                line,
                "c {:016x} {:016x} {:032x} {replaced_owner:016x}",
                claim.owner, claim.number, key.0
            ),
            Record::Ended { key, claim, end } => write!(
                line,
                "{} {:016x} {:016x} {:032x}",
                end.letter(),
                claim.owner,
                claim.number,
                key.0
            ),
        };
        line.push('\n');
        line
    }

    /// Parses a line without its line breaks. Returns `None` if it is empty, incomplete, invalid or of another format
    /// version.
    pub(super) fn parse(line: &str) -> Option<Record> {
        let mut fields = line.split(' ');
        if fields.next()? != FORMAT_VERSION {
            return None;
        }
        let kind = fields.next()?;
        let owner = parse_number(fields.next()?)?;
        let record = if kind == "p" {
            Record::ProcessStarted { owner }
        } else {
            let number = parse_number(fields.next()?)?;
            let claim = ClaimId { owner, number };
            let key = RequestKey(parse_hex(fields.next()?, KEY_DIGITS)?);
            match kind {
                "c" => Record::Claimed {
                    key,
                    claim,
                    replaced_owner: parse_number(fields.next()?)?,
                },
                _ => Record::Ended {
                    key,
                    claim,
                    end: ClaimEnd::from_letter(kind)?,
                },
            }
        };
        if fields.next().is_some() {
            return None;
        }
        Some(record)
    }
}

impl ClaimEnd {
    fn letter(self) -> &'static str {
        match self {
            ClaimEnd::Released => "r",
            ClaimEnd::Served => "s",
            ClaimEnd::MayHaveRun => "m",
        }
    }

    fn from_letter(letter: &str) -> Option<ClaimEnd> {
        match letter {
            "r" => Some(ClaimEnd::Released),
            "s" => Some(ClaimEnd::Served),
            "m" => Some(ClaimEnd::MayHaveRun),
            _ => None,
        }
    }
}

fn parse_number(text: &str) -> Option<u64> {
    u64::try_from(parse_hex(text, NUMBER_DIGITS)?).ok()
}

/// Parses a number of exactly this many hexadecimal digits. One that was cut short would be another number.
fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    if text.len() != digits {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}
