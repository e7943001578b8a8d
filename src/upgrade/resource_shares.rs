//! What part of a dispatcher's limits each of its processes keeps to. Pure: no clock, no file.

use crate::net::connection_limit::SHARE_UNITS;

/// A process that starts beside another has this part, which the other one leaves free for it.
pub const START: u32 = 1;
/// The part of an older process that still takes clients ...
const OLDER: u32 = 7;
/// ... and of one that only ends what it has.
const LEAVING: u32 = 4;

/// What a process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It takes no clients yet.
    Starting,
    /// It takes clients.
    Serving,
    /// It takes no more of them.
    Leaving,
}

/// What a process tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessAnnouncement {
    /// When it started, in Unix microseconds; later ones come after earlier ones.
    pub started_at: u64,
    /// What it is doing.
    pub state: ProcessState,
    /// The part of the limits that it keeps to.
    pub share: u32,
}

impl ProcessAnnouncement {
    /// The notice as a line, always of the same length: it is written over in one piece.
    pub fn to_line(&self) -> String {
        let phase = match self.state {
            ProcessState::Starting => "starting",
            ProcessState::Serving => "serving ",
            ProcessState::Leaving => "leaving ",
        };
        format!("1 {:020} {phase} {:02}\n", self.started_at, self.share)
    }

    /// Reads a notice.
    pub fn parse(line: &str) -> Option<ProcessAnnouncement> {
        let mut words = line.strip_suffix('\n')?.split_ascii_whitespace();
        let (version, born, phase, part) =
            (words.next()?, words.next()?, words.next()?, words.next()?);
        let phase = match phase {
            "starting" => ProcessState::Starting,
            "serving" => ProcessState::Serving,
            "leaving" => ProcessState::Leaving,
            _ => return None,
        };
        let part = part.parse().ok().filter(|part| *part <= SHARE_UNITS)?;
        (version == "1" && words.next().is_none()).then_some(ProcessAnnouncement {
            started_at: born.parse().ok()?,
            state: phase,
            share: part,
        })
    }
}

/// The part to which a process is to come, given what it and the others keep to. No sum of what all of them come
/// to is over the whole, and one part stays free for a process that starts.
pub fn target_share(own: &ProcessAnnouncement, others: &[ProcessAnnouncement]) -> u32 {
    let youngest = others.iter().all(|other| other.started_at < own.started_at);
    if !youngest {
        return if own.state == ProcessState::Leaving {
            LEAVING
        } else {
            OLDER
        }
        .min(own.share.max(START));
    }
    let kept: u32 = others.iter().map(|other| other.share).sum();
    let rest = SHARE_UNITS.saturating_sub(kept);
    if others.is_empty() {
        rest - START
    } else {
        rest.max(START)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/resource_shares.rs"]
mod tests;
