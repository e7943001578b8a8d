//! The announcements of a dispatcher's processes, one file each: publishes this process's own, and finds out from the
//! others' which processes live.
//!
//! A process keeps its file locked while it lives. The lock ends with the process however that ends, so a file without
//! one is a dead process's and is removed; a killed process leaves nothing that would stop a start.

use super::process_announcement::{ProcessAnnouncement, ProcessState};
use super::resource_shares::{MAX_SHARE, STARTING_SHARE};
use super::shared_folder::{AnnouncementName, SharedFile, SharedFolder};
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// The folder is read after this even if its modification time is the same: a change within one tick of the file
/// system's clock does not show in it.
const MAX_SCAN_AGE: Duration = Duration::from_secs(1);

/// What a process sees of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerProcesses {
    /// The share of the limits that this process uses, in units of
    /// [`SHARE_UNITS`](crate::net::adjustable_semaphore::SHARE_UNITS).
    pub share: u32,
    /// How many processes of this dispatcher live, this one included.
    pub processes: u32,
    /// Whether a process that is older than this one lives.
    pub predecessor: bool,
    /// When the youngest process that is younger than this one started, in Unix microseconds, if any lives.
    pub successor: Option<u64>,
    /// When the youngest other process that accepts clients started, in Unix microseconds, if any does.
    pub serving: Option<u64>,
}

impl PeerProcesses {
    /// When the process started, in Unix microseconds, to which this one's streams migrate. One that has not begun to serve
    /// may never do so, and one that is told to end would have to hand them on: such a process is the last choice, which
    /// is still better than the end of this one.
    pub fn stream_receiver(&self) -> Option<u64> {
        self.serving.or(self.successor)
    }
}

/// This process's announcement, whose file it owns and removes in the end, and the others' as they were last read.
pub(super) struct ProcessAnnouncements {
    folder: SharedFolder,
    own_file: File,
    own_path: PathBuf,
    own: ProcessAnnouncement,
    is_published: bool,
    others: Vec<ProcessAnnouncement>,
    last_scan: Option<FolderScan>,
}

/// A reading of the folder that went to its end.
#[derive(Clone, Copy)]
struct FolderScan {
    folder_modified: SystemTime,
    finished_at: Instant,
}

/// A file of bans that was being written, by the process with this number.
struct TemporaryBans {
    process_id: Option<u32>,
    path: PathBuf,
}

impl ProcessAnnouncements {
    /// Publishes an announcement of this process and reads the others'.
    ///
    /// `now`, in Unix microseconds, is when it started, unless a living process has announced the same or a later time,
    /// as after the wall clock was set back: then this one comes right after that.
    pub(super) fn publish(folder: SharedFolder, now: u64) -> io::Result<ProcessAnnouncements> {
        let started_at = match youngest_live_process(&folder)? {
            Some(youngest) => now.max(youngest.saturating_add(1)),
            None => now,
        };
        let temporary_path = folder.temporary_announcement(started_at);
        let own_file = File::options()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&temporary_path)?;
        // Nobody else would remove a file that was not finished.
        let announced = ProcessAnnouncements::announce(folder, own_file, started_at);
        if announced.is_err() {
            let _ = fs::remove_file(&temporary_path);
        }
        announced
    }

    /// Fills the file of a new process and gives it the name under which others read it.
    fn announce(
        folder: SharedFolder,
        own_file: File,
        started_at: u64,
    ) -> io::Result<ProcessAnnouncements> {
        own_file.try_lock().map_err(io::Error::from)?;
        let temporary_path = folder.temporary_announcement(started_at);
        let mut announcements = ProcessAnnouncements {
            own_path: folder.announcement(started_at),
            folder,
            own_file,
            own: ProcessAnnouncement {
                started_at,
                state: ProcessState::Starting,
                share: STARTING_SHARE,
            },
            is_published: true,
            others: Vec::new(),
            last_scan: None,
        };
        announcements.write_own()?;
        // It gets its name only now that it is locked: before, another process would take it for a dead one's.
        fs::rename(&temporary_path, &announcements.own_path)?;
        announcements.scan()?;
        Ok(announcements)
    }

    /// What this process announces.
    pub(super) fn own(&self) -> ProcessAnnouncement {
        self.own
    }

    /// What the other live processes announced when the folder was last scanned.
    pub(super) fn others(&self) -> &[ProcessAnnouncement] {
        &self.others
    }

    /// Announces this from now on. After an error the file is written with the next update.
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

    /// Whether the announcements may have changed since the last scan. While this process is alone, only a new file
    /// matters, which shows in the folder's modification time.
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

    /// Reads the others' announcements, and removes the files of dead processes. After an error what is known of the
    /// others stays as it was: half a reading of the folder could miss a live process.
    pub(super) fn scan(&mut self) -> io::Result<()> {
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
                None => {}
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

    /// Reads a live process's announcement. A dead process's files are removed; `None` for these, and for one that
    /// can't be opened.
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
                // A process whose announcement can't be read may be using as much as any predecessor does.
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

    /// What this process sees of the others, as of the last scan.
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

/// When the youngest live process started, in Unix microseconds, if any lives.
fn youngest_live_process(folder: &SharedFolder) -> io::Result<Option<u64>> {
    let mut youngest = None;
    for entry in fs::read_dir(folder.path())? {
        let path = entry?.path();
        let Some(SharedFile::Announcement(name)) = folder.classify(&path) else {
            continue;
        };
        let Some(started_at) = name.started_at else {
            continue;
        };
        let is_alive = File::open(&path).is_ok_and(|file| file.try_lock_shared().is_err());
        if is_alive {
            youngest = youngest.max(Some(started_at));
        }
    }
    Ok(youngest)
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/announcements.rs"]
mod tests;
