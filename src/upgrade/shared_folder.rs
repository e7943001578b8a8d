//! The names of the files by which the processes of a dispatcher find each other in a shared folder. The module creates
//! and removes no files.
//!
//! The names are shared between versions and must stay compatible: a process reads files of older and newer versions.

use crate::config::fnv1a_hash;
use std::fs::File;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const ANNOUNCEMENT_SUFFIX: &str = ".notice";
/// The suffix of a claimed start time, whose file becomes an announcement.
const START_TIME_CLAIM_SUFFIX: &str = ".new";
/// The suffix of a ban file that is being written.
const TEMPORARY_BANS_SUFFIX: &str = ".bans-new";
/// The suffix of a file with the claims of request ids.
const CLAIMS_SUFFIX: &str = ".claims";

/// Maximum length of the path of a Unix socket, without the terminating zero.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// The folder, with the prefix that the names of the dispatcher's files have in it.
#[derive(Clone, Debug)]
pub(super) struct SharedFolder {
    path: PathBuf,
    prefix: String,
    /// The open folder; set if its path is too long for the sockets in it.
    handle: Option<Arc<File>>,
}

/// A file of the dispatcher's processes in the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SharedFile {
    /// The announcement of a process.
    Announcement(AnnouncementName),
    /// A ban file that a process has begun to write and not renamed yet.
    TemporaryBans {
        /// The id of that process; `None` if the name does not contain a valid one.
        process_id: Option<u32>,
    },
    /// A generation of the file with the claims of request ids.
    Claims {
        /// Its number.
        generation: u64,
    },
}

/// What the name of an announcement file says about its process. A part that can't be parsed is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AnnouncementName {
    /// When the process started, in Unix microseconds.
    pub started_at: Option<u64>,
    /// The id of the process.
    pub process_id: Option<u32>,
}

impl SharedFolder {
    /// Names the files that the dispatcher with this name has in this folder.
    pub(super) fn new(path: &Path, dispatcher_name: &str) -> SharedFolder {
        let mut folder = SharedFolder {
            path: path.to_owned(),
            // A hash, as the dispatcher's name may contain characters that are special in a path.
            prefix: format!("quartzhall-{:016x}", fnv1a_hash(dispatcher_name)),
            handle: None,
        };
        let socket_path = folder.stream_socket(u64::MAX);
        if socket_path.as_os_str().len() > MAX_SOCKET_PATH_BYTES {
            folder.handle = File::open(path).ok().map(Arc::new);
        }
        folder
    }

    /// Returns the path of the folder.
    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path of the announcement of this process, whose start time is in Unix microseconds.
    pub(super) fn announcement(&self, started_at: u64) -> PathBuf {
        let process_id = std::process::id();
        self.file(&format!(
            "-{started_at:020}-{process_id}{ANNOUNCEMENT_SUFFIX}"
        ))
    }

    /// Returns the path of the file by which a process claims this start time (Unix microseconds). It is the same for
    /// all processes, so that only one can create it.
    pub(super) fn start_time_claim(&self, started_at: u64) -> PathBuf {
        self.file(&format!("-{started_at:020}{START_TIME_CLAIM_SUFFIX}"))
    }

    /// Returns the path of the socket on which the process with this start time (Unix microseconds) receives streams.
    pub(super) fn stream_socket(&self, started_at: u64) -> PathBuf {
        self.file(&format!("-{started_at:020}.sock"))
    }

    /// Returns the path by which to bind, or connect to, the socket on which the process with this start time (Unix
    /// microseconds) receives streams. If [`stream_socket`](Self::stream_socket) is too long for a socket's path, the
    /// returned path leads through the descriptor of the open folder. It is then valid only in this process, as long as
    /// `self` or a clone of it exists.
    pub(super) fn stream_socket_address(&self, started_at: u64) -> PathBuf {
        let path = self.stream_socket(started_at);
        match (&self.handle, path.file_name()) {
            (Some(handle), Some(file_name)) => {
                Path::new(&format!("/proc/self/fd/{}", handle.as_raw_fd())).join(file_name)
            }
            _ => path,
        }
    }

    /// Returns the path of the ban file, which all processes share.
    pub(super) fn bans(&self) -> PathBuf {
        self.file(".bans")
    }

    /// Returns the path under which the process with this start time (Unix microseconds) and this id writes a new ban
    /// file before it renames it. The id alone is not unique: containers that share the folder have ids of their own.
    pub(super) fn temporary_bans(&self, started_at: u64, process_id: u32) -> PathBuf {
        self.file(&format!(
            "-{started_at:020}-{process_id}{TEMPORARY_BANS_SUFFIX}"
        ))
    }

    /// Returns the path of a generation of the file with the claims of request ids, which all processes share.
    pub(super) fn claims(&self, generation: u64) -> PathBuf {
        self.file(&format!("-{generation:020}{CLAIMS_SUFFIX}"))
    }

    fn file(&self, rest: &str) -> PathBuf {
        self.path.join(format!("{}{rest}", self.prefix))
    }

    /// Tells what the file at this path is; `None` if it is not an announcement, temporary ban file or claims file of
    /// this dispatcher.
    pub(super) fn classify(&self, path: &Path) -> Option<SharedFile> {
        let file_name = path.file_name()?.to_str()?;
        let rest = file_name.strip_prefix(&self.prefix)?;
        if let Some(name) = file_name.strip_suffix(TEMPORARY_BANS_SUFFIX) {
            let last_field = name.rsplit('-').next()?;
            return Some(SharedFile::TemporaryBans {
                process_id: last_field.parse().ok(),
            });
        }
        if let Some(name) = rest.strip_suffix(CLAIMS_SUFFIX) {
            let generation = name.strip_prefix('-')?.parse().ok()?;
            return Some(SharedFile::Claims { generation });
        }
        let name = rest.strip_suffix(ANNOUNCEMENT_SUFFIX)?;
        Some(SharedFile::Announcement(AnnouncementName::parse(name)))
    }
}

impl AnnouncementName {
    /// Parses the part of a file name between the prefix and the suffix.
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
