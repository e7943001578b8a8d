//! Names of the files with which the processes of one dispatcher find each other in their common folder. Owns no file.
//!
//! The names are a contract between versions: a process reads those that an older or a newer one has written.

use crate::config::fnv1a_hash;
use std::fs::File;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const ANNOUNCEMENT_SUFFIX: &str = ".notice";
/// An announcement whose file is not locked yet.
const TEMPORARY_ANNOUNCEMENT_SUFFIX: &str = ".new";
/// A ban file that is being written.
const TEMPORARY_BANS_SUFFIX: &str = ".bans-new";

/// The longest path of a socket file, in bytes.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// The folder, and the prefix that the names of one dispatcher's files have.
#[derive(Clone, Debug)]
pub(super) struct SharedFolder {
    path: PathBuf,
    prefix: String,
    /// The open folder, where its path is too long for sockets in it.
    handle: Option<Arc<File>>,
}

/// A file that another process of the dispatcher may have left in the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SharedFile {
    /// A process announcement.
    Announcement(AnnouncementName),
    /// A ban file that was being written by this process, where the name tells which.
    TemporaryBans {
        /// The process's number.
        process_id: Option<u32>,
    },
}

/// What the name of an announcement's file says of its process, where it can be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AnnouncementName {
    /// When it started, in Unix microseconds.
    pub started_at: Option<u64>,
    /// Its process number.
    pub process_id: Option<u32>,
}

impl SharedFolder {
    /// The files in this folder of the dispatcher with this name.
    pub(super) fn new(path: &Path, dispatcher_name: &str) -> SharedFolder {
        let mut folder = SharedFolder {
            path: path.to_owned(),
            // A hash, as the name may hold characters that have a meaning in a path.
            prefix: format!("quartzhall-{:016x}", fnv1a_hash(dispatcher_name)),
            handle: None,
        };
        let socket_path = folder.stream_socket(u64::MAX);
        if socket_path.as_os_str().len() > MAX_SOCKET_PATH_BYTES {
            folder.handle = File::open(path).ok().map(Arc::new);
        }
        folder
    }

    /// The folder's own path.
    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// The announcement of this process.
    pub(super) fn announcement(&self, started_at: u64) -> PathBuf {
        self.own_announcement(started_at, ANNOUNCEMENT_SUFFIX)
    }

    /// The announcement of this process while its file is not locked yet.
    pub(super) fn temporary_announcement(&self, started_at: u64) -> PathBuf {
        self.own_announcement(started_at, TEMPORARY_ANNOUNCEMENT_SUFFIX)
    }

    fn own_announcement(&self, started_at: u64, suffix: &str) -> PathBuf {
        let process_id = std::process::id();
        self.file(&format!("-{started_at:020}-{process_id}{suffix}"))
    }

    /// The socket on which the process that started then receives streams.
    pub(super) fn stream_socket(&self, started_at: u64) -> PathBuf {
        self.file(&format!("-{started_at:020}.sock"))
    }

    /// A path by which the system finds that socket, for listening and for connecting: where its own is too long for a
    /// socket, one by the descriptor of the folder. Valid while this folder's value lives.
    pub(super) fn stream_socket_address(&self, started_at: u64) -> PathBuf {
        let path = self.stream_socket(started_at);
        match (&self.handle, path.file_name()) {
            (Some(handle), Some(file_name)) => {
                Path::new(&format!("/proc/self/fd/{}", handle.as_raw_fd())).join(file_name)
            }
            _ => path,
        }
    }

    /// The file of bans, one for all processes.
    pub(super) fn bans(&self) -> PathBuf {
        self.file(".bans")
    }

    /// The file of bans as the process with this number writes it.
    pub(super) fn temporary_bans(&self, process_id: u32) -> PathBuf {
        self.file(&format!("-{process_id}{TEMPORARY_BANS_SUFFIX}"))
    }

    fn file(&self, rest: &str) -> PathBuf {
        self.path.join(format!("{}{rest}", self.prefix))
    }

    /// What the file at this path is; `None` if it is not one of this dispatcher's announcements or temporary files.
    pub(super) fn classify(&self, path: &Path) -> Option<SharedFile> {
        let file_name = path.file_name()?.to_str()?;
        let rest = file_name.strip_prefix(&self.prefix)?;
        if let Some(name) = file_name.strip_suffix(TEMPORARY_BANS_SUFFIX) {
            let last_field = name.rsplit('-').next()?;
            return Some(SharedFile::TemporaryBans {
                process_id: last_field.parse().ok(),
            });
        }
        let name = rest.strip_suffix(ANNOUNCEMENT_SUFFIX)?;
        Some(SharedFile::Announcement(AnnouncementName::parse(name)))
    }
}

impl AnnouncementName {
    /// Reads what stands between the prefix and the suffix.
    fn parse(name: &str) -> AnnouncementName {
        let fields = name
            .strip_prefix('-')
            .and_then(|fields| fields.split_once('-'));
        let Some((started_at, process_id)) = fields else {
            return AnnouncementName::default();
        };
        AnnouncementName {
            started_at: started_at.parse().ok(),
            process_id: process_id.parse().ok(),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/shared_folder.rs"]
mod tests;
