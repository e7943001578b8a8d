//! What a process announces to the other processes of its dispatcher, and the line of text that carries it. Pure: no
//! clock, no file.

use crate::net::adjustable_semaphore::SHARE_UNITS;

const FORMAT_VERSION: &str = "1";

/// The stage of its life that a process is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It does not accept clients yet.
    Starting,
    /// It accepts clients.
    Serving,
    /// It accepts no more clients and drains those it has.
    Leaving,
}

/// What a process announces to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessAnnouncement {
    /// When it started, in Unix microseconds. Unique among live processes, and greater for a later process.
    pub started_at: u64,
    /// The stage of its life that it is in.
    pub state: ProcessState,
    /// The share of the limits that it uses at most, in units of which [`SHARE_UNITS`] are the whole.
    pub share: u32,
}

impl ProcessAnnouncement {
    /// Formats the announcement as a line. Lines have one length, so that a write at the file's start replaces all of
    /// the previous one.
    pub fn to_line(&self) -> String {
        let state = match self.state {
            ProcessState::Starting => "starting",
            ProcessState::Serving => "serving ",
            ProcessState::Leaving => "leaving ",
        };
        format!(
            "{FORMAT_VERSION} {:020} {state} {:02}\n",
            self.started_at, self.share
        )
    }

    /// Reads a whole line, with its line break. `None` for anything that [`ProcessAnnouncement::to_line`] can't have
    /// written.
    pub fn parse(line: &str) -> Option<ProcessAnnouncement> {
        let mut fields = line.strip_suffix('\n')?.split_ascii_whitespace();
        let version = fields.next()?;
        let started_at = fields.next()?;
        let state = match fields.next()? {
            "starting" => ProcessState::Starting,
            "serving" => ProcessState::Serving,
            "leaving" => ProcessState::Leaving,
            _ => return None,
        };
        let share = fields.next()?.parse().ok()?;
        if version != FORMAT_VERSION || share > SHARE_UNITS || fields.next().is_some() {
            return None;
        }
        Some(ProcessAnnouncement {
            started_at: started_at.parse().ok()?,
            state,
            share,
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/process_announcement.rs"]
mod tests;
