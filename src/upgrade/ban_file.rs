//! Reads, merges and writes the ban file, in which all processes of a dispatcher share their ban records.
//!
//! Each write creates a new file and renames it into place, so that no process reads a partial one. There is no lock.
//! If two processes write at the same time, the records of one are lost; that process sees this at its next read and
//! writes them again.

use super::shared_folder::SharedFolder;
use crate::dispatcher::bans::{BanRecord, BanRecords};
use miniserde::{json, Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::string::FromUtf8Error;
use std::sync::Arc;
use std::time::SystemTime;
use thiserror::Error;

const FORMAT_VERSION: u32 = 1;
/// Maximum size of a ban file that is read. No dispatcher writes a larger one.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Why the ban file could not be read.
#[derive(Debug, Error)]
pub(super) enum BanFileError {
    /// A system call failed; the next call reads the file again.
    #[error(transparent)]
    Unreadable(io::Error),
    /// The file is larger than any that a dispatcher writes.
    #[error("too long")]
    TooLong,
    /// The file is not UTF-8 text.
    #[error(transparent)]
    NotUtf8(#[from] FromUtf8Error),
    /// The text is not JSON, or not of the expected form.
    #[error("not the JSON object that is expected")]
    NotJson(#[source] miniserde::Error),
    /// The file has a format version that this program does not know.
    #[error("unknown version {0}")]
    UnknownVersion(u32),
}

#[derive(Serialize, Deserialize)]
struct BanFileContent {
    version: u32,
    #[serde(rename = "marks")]
    entries: Vec<BanFileEntry>,
}

#[derive(Serialize, Deserialize)]
struct BanFileEntry {
    id: String,
    #[serde(rename = "at")]
    changed_at: u64,
    #[serde(rename = "banned")]
    is_banned: bool,
}

/// Formats the records as the text of a ban file.
fn format_records(records: &BanRecords) -> String {
    let mut entries = Vec::with_capacity(records.len());
    for (id, record) in records {
        entries.push(BanFileEntry {
            id: id.to_string(),
            changed_at: record.at,
            is_banned: record.banned,
        });
    }
    json::to_string(&BanFileContent {
        version: FORMAT_VERSION,
        entries,
    })
}

/// Parses the text of a ban file.
pub(super) fn parse_records(text: &str) -> Result<BanRecords, BanFileError> {
    let content: BanFileContent = json::from_str(text).map_err(BanFileError::NotJson)?;
    if content.version != FORMAT_VERSION {
        return Err(BanFileError::UnknownVersion(content.version));
    }
    let mut records = BanRecords::new();
    for entry in content.entries {
        let record = BanRecord {
            at: entry.changed_at,
            banned: entry.is_banned,
        };
        records.insert(Arc::from(entry.id), record);
    }
    Ok(records)
}

/// Merges the records of this process with those `published` in the file. The newest record of each endpoint id wins,
/// and of two with the same time the ban. `None` if the file needs no change.
pub(super) fn merge_records(own: &BanRecords, published: &BanRecords) -> Option<BanRecords> {
    let mut merged = published.clone();
    for (id, own_record) in own {
        let newest = merged.entry(id.clone()).or_insert(*own_record);
        *newest = (*newest).max(*own_record);
    }
    // The end of a ban is kept only while this process still remembers it.
    merged.retain(|id, record| record.banned || own.contains_key(id));
    if merged == *published {
        return None;
    }
    Some(merged)
}

/// The ban file as one process uses it.
pub(super) struct BanFile {
    path: PathBuf,
    temporary_path: PathBuf,
    last_read: Option<FileVersion>,
}

/// Identifies one written version of the file: as each is a new file, its inode, length or time differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    length: u64,
    modified: SystemTime,
}

impl BanFile {
    /// Creates a value for the ban file in this folder, which need not exist yet, as the process with this start time
    /// (Unix microseconds) uses it.
    pub(super) fn new(folder: &SharedFolder, started_at: u64) -> BanFile {
        BanFile {
            path: folder.bans(),
            temporary_path: folder.temporary_bans(started_at, std::process::id()),
            last_read: None,
        }
    }

    fn current_version(&self) -> Option<FileVersion> {
        let metadata = fs::metadata(&self.path).ok()?;
        Some(FileVersion {
            inode: metadata.ino(),
            length: metadata.len(),
            modified: metadata.modified().ok()?,
        })
    }

    /// Reads the file if it exists and has changed since it was last read; otherwise returns `None`. Invalid contents
    /// are reported once. After [`BanFileError::Unreadable`] the next call reads the file again.
    pub(super) fn read_if_changed(&mut self) -> Result<Option<BanRecords>, BanFileError> {
        let Some(version) = self.current_version() else {
            return Ok(None);
        };
        if self.last_read == Some(version) {
            return Ok(None);
        }
        if version.length > MAX_FILE_BYTES {
            self.last_read = Some(version);
            return Err(BanFileError::TooLong);
        }
        let bytes = fs::read(&self.path).map_err(BanFileError::Unreadable)?;
        self.last_read = Some(version);
        let text = String::from_utf8(bytes)?;
        parse_records(&text).map(Some)
    }

    /// Replaces the file with one that holds these records.
    pub(super) fn write(&self, records: &BanRecords) -> io::Result<()> {
        let mut file = File::create(&self.temporary_path)?;
        file.write_all(format_records(records).as_bytes())?;
        file.sync_all()?;
        fs::rename(&self.temporary_path, &self.path)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/ban_file.rs"]
mod tests;
