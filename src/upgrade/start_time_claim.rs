//! Claims the start time by which the other processes of the dispatcher know this one.
//!
//! The start time orders the processes, and names the announcement and the stream socket of each. Processes that start
//! together may read the same time from the clock, and while the clock is behind the youngest process they all follow
//! that one. So a process claims its start time before it announces it: it creates a file whose name is that of the
//! time alone, which only one process can do, and announces itself by renaming that file.

use super::shared_folder::{SharedFile, SharedFolder};
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// How many start times are tried, one after another. More than any number of processes that start together.
const MAX_ATTEMPTS: u32 = 1_000;

/// A start time that no other live process has announced or claimed. Dropping the claim gives it up.
pub(super) struct StartTimeClaim {
    folder: SharedFolder,
    started_at: u64,
    /// The claim's file, which becomes the announcement.
    file: File,
    claimed_name: ClaimedName,
}

/// The name of a claim's file; removed on drop, unless the file was renamed.
struct ClaimedName {
    path: PathBuf,
    is_renamed: bool,
}

impl StartTimeClaim {
    /// Claims a start time after those of all live processes: `now`, in Unix microseconds, or the earliest free one
    /// after it.
    ///
    /// # Errors
    ///
    /// A file operation has failed, or none of [`MAX_ATTEMPTS`] start times was free.
    pub(super) fn acquire(folder: &SharedFolder, now: u64) -> io::Result<StartTimeClaim> {
        let mut earliest = now;
        for _ in 0..MAX_ATTEMPTS {
            if let Some(youngest) = youngest_live_process(folder)? {
                earliest = earliest.max(youngest.saturating_add(1));
            }
            if let Some(claim) = StartTimeClaim::try_acquire(folder, earliest)? {
                return Ok(claim);
            }
            earliest = earliest.saturating_add(1);
        }
        Err(io::Error::new(
            ErrorKind::AlreadyExists,
            "no start time is free",
        ))
    }

    /// Claims this start time; `None` if another process has claimed it, or has announced it or a later one.
    fn try_acquire(folder: &SharedFolder, started_at: u64) -> io::Result<Option<StartTimeClaim>> {
        let path = folder.start_time_claim(started_at);
        let created = File::options()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&path);
        let file = match created {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::AlreadyExists => return Ok(None),
            Err(error) => return Err(error),
        };
        let claim = StartTimeClaim {
            folder: folder.clone(),
            started_at,
            file,
            claimed_name: ClaimedName {
                path,
                is_renamed: false,
            },
        };
        // A process that had claimed this time before has renamed its file by now, so that it is found here.
        if youngest_live_process(folder)?.is_some_and(|youngest| youngest >= started_at) {
            return Ok(None);
        }
        Ok(Some(claim))
    }

    /// Returns the claimed start time, in Unix microseconds.
    pub(super) fn started_at(&self) -> u64 {
        self.started_at
    }

    /// Locks the file, writes the announcement's text and renames the file to the announcement's name. Returns the
    /// locked file.
    pub(super) fn announce(mut self, text: &str) -> io::Result<File> {
        self.file.try_lock().map_err(io::Error::from)?;
        self.file.write_all_at(text.as_bytes(), 0)?;
        // The rename comes after the lock: other processes take an unlocked announcement for a dead process's.
        let announcement = self.folder.announcement(self.started_at);
        fs::rename(&self.claimed_name.path, announcement)?;
        self.claimed_name.is_renamed = true;
        Ok(self.file)
    }
}

impl Drop for ClaimedName {
    fn drop(&mut self) {
        if !self.is_renamed {
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Returns when the youngest live process started, in Unix microseconds; `None` if no process is alive.
fn youngest_live_process(folder: &SharedFolder) -> io::Result<Option<u64>> {
    Ok(live_processes(folder)?.into_iter().max())
}

/// Returns whether the process that has announced this start time (Unix microseconds) is alive.
pub(super) fn is_alive(folder: &SharedFolder, started_at: u64) -> io::Result<bool> {
    Ok(live_processes(folder)?.contains(&started_at))
}

/// Returns when the live processes started, in Unix microseconds.
fn live_processes(folder: &SharedFolder) -> io::Result<Vec<u64>> {
    let mut live_processes = Vec::new();
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
            live_processes.push(started_at);
        }
    }
    Ok(live_processes)
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/start_time_claim.rs"]
mod tests;
