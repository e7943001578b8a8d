//! What a process announces to the other processes of its dispatcher, and the line of text in which it does so. The
//! format is shared between versions and must stay compatible. The module does no I/O and reads no clock.

use crate::net::adjustable_semaphore::SHARE_UNITS;

const FORMAT_VERSION: &str = "1";

/// The stage of the life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process does not accept clients yet.
    Starting,
    /// The process accepts clients.
    Serving,
    /// The process shuts down: it drains, and soon accepts no more clients.
    Leaving,
}

/// The announcement of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessAnnouncement {
    /// When the process started, in Unix microseconds. Unique among live processes, and greater for a later one.
    pub started_at: u64,
    /// The stage of the process's life.
    pub state: ProcessState,
    /// The largest share of the limits that the process may be using, in units of which [`SHARE_UNITS`] are the
    /// whole.
    pub share: u32,
}

impl ProcessAnnouncement {
    /// Formats the announcement as a line. All lines have the same length, so that a write at the start of the file
    /// replaces the whole previous line.
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

    /// Parses a whole line, including its line break. Returns `None` if the line is incomplete, invalid or of another
    /// format version.
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
