//! Publishes the announcement of this process and reads those of the dispatcher's other live processes.
//!
//! Each process has one announcement file and keeps it locked while it lives. The operating system releases the lock
//! when the process exits for any reason. A file that is not locked therefore belongs to a dead process and is removed.
//! So the files of a killed process never prevent a start.

use super::process_announcement::{ProcessAnnouncement, ProcessState};
use super::resource_shares::{MAX_SHARE, STARTING_SHARE};
use super::shared_folder::{AnnouncementName, SharedFile, SharedFolder};
use super::start_time_claim::StartTimeClaim;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Maximum time between two scans of the folder. Its modification time does not always show a change: two changes
/// within one tick of the file system's clock leave the same time.
const MAX_SCAN_AGE: Duration = Duration::from_secs(1);

/// What a process knows of the dispatcher's other processes. The default value is that of a process that was not
/// announced to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerProcesses {
    /// The share of the limits that this process announces, in units of which
    /// [`SHARE_UNITS`](crate::net::adjustable_semaphore::SHARE_UNITS) are the whole; 0 if it was not announced.
    pub share: u32,
    /// The number of live processes of the dispatcher, including this one; 0 if it was not announced.
    pub processes: u32,
    /// True if an older process than this one is alive.
    pub predecessor: bool,
    /// When the youngest successor of this process started, in Unix microseconds; `None` if there is none.
    pub successor: Option<u64>,
    /// When the youngest other process that accepts clients started, in Unix microseconds; `None` if no other one does.
    pub serving: Option<u64>,
}

impl PeerProcesses {
    /// Returns the start time, in Unix microseconds, of the process to which this one's streams can migrate. `None` if
    /// there is no such process.
    ///
    /// A process that serves is preferred. A successor that does not serve is the fallback: a starting one may never
    /// serve, and a leaving one has to migrate the streams again. Either is better than streams that are cut when this
    /// process exits.
    pub fn stream_receiver(&self) -> Option<u64> {
        self.serving.or(self.successor)
    }
}

/// The announcement of this process, whose file is removed on drop, and those of the others as of the last scan.
pub(super) struct ProcessAnnouncements {
    folder: SharedFolder,
    own_file: File,
    own_path: PathBuf,
    own: ProcessAnnouncement,
    /// Whether the file holds `own`; false after a failed write.
    is_published: bool,
    others: Vec<ProcessAnnouncement>,
    /// `None` before the first complete scan.
    last_scan: Option<FolderScan>,
}

/// A complete scan of the folder.
#[derive(Clone, Copy)]
struct FolderScan {
    /// The folder's modification time before the scan.
    folder_modified: SystemTime,
    finished_at: Instant,
}

/// A ban file that a process has begun to write; its name contains the id of that process, if it is valid.
struct TemporaryBans {
    process_id: Option<u32>,
    path: PathBuf,
}

impl ProcessAnnouncements {
    /// Publishes an announcement of this process and reads those of the others.
    ///
    /// `now`, in Unix microseconds, is announced as its start time, unless a live process has claimed the same time or
    /// has announced the same or a later one. The latter happens after the wall clock was set back. The announced time
    /// is then the earliest free one after that of the youngest process.
    pub(super) fn publish(folder: SharedFolder, now: u64) -> io::Result<ProcessAnnouncements> {
        let claim = StartTimeClaim::acquire(&folder, now)?;
        let own = ProcessAnnouncement {
            started_at: claim.started_at(),
            state: ProcessState::Starting,
            share: STARTING_SHARE,
        };
        let mut announcements = ProcessAnnouncements {
            own_file: claim.announce(&own.to_line())?,
            own_path: folder.announcement(own.started_at),
            folder,
            own,
            is_published: true,
            others: Vec::new(),
            last_scan: None,
        };
        announcements.scan()?;
        Ok(announcements)
    }

    /// Returns what this process announces.
    pub(super) fn own(&self) -> ProcessAnnouncement {
        self.own
    }

    /// Returns what the other live processes announced, as of the last scan.
    pub(super) fn others(&self) -> &[ProcessAnnouncement] {
        &self.others
    }

    /// Changes the announcement of this process. After an error the next update writes the file again.
    pub(super) fn update(&mut self, own: ProcessAnnouncement) -> io::Result<()> {
        if own == self.own && self.is_published {
            return Ok(());
        }
        self.own = own;
        let written = self.write_own();
        self.is_published = written.is_ok();
        written
    }

    fn write_own(&self) -> io::Result<()> {
        self.own_file.write_all_at(self.own.to_line().as_bytes(), 0)
    }

    /// Returns whether the announcements may have changed since the last scan. While this process is alone, only a new
    /// file matters, which the folder's modification time shows.
    pub(super) fn needs_scan(&self) -> bool {
        if !self.others.is_empty() {
            return true;
        }
        let Some(last_scan) = self.last_scan else {
            return true;
        };
        let folder_modified = fs::metadata(self.folder.path())
            .and_then(|metadata| metadata.modified())
            .ok();
        folder_modified != Some(last_scan.folder_modified)
            || last_scan.finished_at.elapsed() >= MAX_SCAN_AGE
    }

    /// Reads the announcements of the others, and removes the files of dead processes. After an error the result of the
    /// previous scan is kept, as an incomplete scan could miss a live process.
    pub(super) fn scan(&mut self) -> io::Result<()> {
        // Read before the listing, so that a change during the scan leads to another scan.
        let folder_modified = fs::metadata(self.folder.path())?.modified()?;
        let mut others = Vec::new();
        let mut live_process_ids = vec![std::process::id()];
        let mut temporary_bans = Vec::new();
        for entry in fs::read_dir(self.folder.path())? {
            let path = entry?.path();
            if path == self.own_path {
                continue;
            }
            match self.folder.classify(&path) {
                Some(SharedFile::TemporaryBans { process_id }) => {
                    temporary_bans.push(TemporaryBans { process_id, path });
                }
                Some(SharedFile::Announcement(name)) => {
                    if let Some(announcement) = self.read_or_remove(&path, name)? {
                        others.push(announcement);
                        live_process_ids.extend(name.process_id);
                    }
                }
                Some(SharedFile::Claims { .. }) | None => {}
            }
        }
        for file in temporary_bans {
            let is_writer_alive = file
                .process_id
                .is_some_and(|process_id| live_process_ids.contains(&process_id));
            if !is_writer_alive {
                let _ = fs::remove_file(file.path);
            }
        }
        self.others = others;
        self.last_scan = Some(FolderScan {
            folder_modified,
            finished_at: Instant::now(),
        });
        Ok(())
    }

    /// Reads the announcement of a live process. If the process is dead, removes its files and returns `None`. Also
    /// returns `None` if the file can't be opened.
    fn read_or_remove(
        &self,
        path: &Path,
        name: AnnouncementName,
    ) -> io::Result<Option<ProcessAnnouncement>> {
        let Ok(mut file) = File::open(path) else {
            return Ok(None);
        };
        match file.try_lock_shared() {
            Ok(()) => {
                let _ = fs::remove_file(path);
                if let Some(started_at) = name.started_at {
                    let _ = fs::remove_file(self.folder.stream_socket(started_at));
                }
                Ok(None)
            }
            Err(TryLockError::WouldBlock) => {
                let mut line = String::new();
                let _ = file.read_to_string(&mut line);
                // A process whose announcement is unreadable may use the largest share there is.
                let assumed = ProcessAnnouncement {
                    started_at: name.started_at.unwrap_or(0),
                    state: ProcessState::Serving,
                    share: MAX_SHARE,
                };
                let announcement = ProcessAnnouncement::parse(&line).unwrap_or(assumed);
                Ok(Some(announcement))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Returns what this process knows of the others, as of the last scan.
    pub(super) fn peer_processes(&self) -> PeerProcesses {
        let started_at = self.own.started_at;
        let mut predecessor = false;
        let mut successor = None;
        let mut serving = None;
        for other in &self.others {
            predecessor |= other.started_at < started_at;
            if other.state == ProcessState::Serving {
                serving = serving.max(Some(other.started_at));
            }
            if other.started_at > started_at {
                successor = successor.max(Some(other.started_at));
            }
        }
        PeerProcesses {
            share: self.own.share,
            processes: 1 + self.others.len() as u32,
            predecessor,
            successor,
            serving,
        }
    }
}

impl Drop for ProcessAnnouncements {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.own_path);
        let _ = fs::remove_file(self.folder.stream_socket(self.own.started_at));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/announcements.rs"]
mod tests;
