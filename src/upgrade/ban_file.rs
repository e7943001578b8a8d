//! The file of bans, which all processes of a dispatcher share: its format, and how it is merged, read and written.
//!
//! Each write is a new file that is renamed into place, so nobody reads half of one. Two processes that write at once
//! need no lock: the one whose records are missing afterwards finds that out and writes them again.

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
/// A larger file was not written by a dispatcher.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Why no bans could be read.
#[derive(Debug, Error)]
pub(super) enum BanFileError {
    /// The file could not be read; it is read again the next time.
    #[error(transparent)]
    Unreadable(io::Error),
    /// It is larger than any that a dispatcher writes.
    #[error("too long")]
    TooLong,
    /// It is no text.
    #[error(transparent)]
    NotUtf8(#[from] FromUtf8Error),
    /// It is no JSON, or not of the form that is written.
    #[error("not the JSON object that is expected")]
    NotJson(#[source] miniserde::Error),
    /// It is of a format that this version does not know.
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

/// The file's text for these records.
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

/// Reads the file's text.
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

/// The records that the file should hold, the newest of each id; `None` where it holds just these.
pub(super) fn merge_records(own: &BanRecords, published: &BanRecords) -> Option<BanRecords> {
    let mut merged = published.clone();
    for (id, own_record) in own {
        let newest = merged.entry(id.clone()).or_insert(*own_record);
        *newest = (*newest).max(*own_record);
    }
    // An ended ban that only the file remembers is of no use to any process.
    merged.retain(|id, record| record.banned || own.contains_key(id));
    if merged == *published {
        return None;
    }
    Some(merged)
}

/// The file of bans, as one process uses it.
pub(super) struct BanFile {
    path: PathBuf,
    temporary_path: PathBuf,
    last_read: Option<FileVersion>,
}

/// Distinguishes a file's contents from the next ones: each is a file of its own, renamed into place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    length: u64,
    modified: SystemTime,
}

impl BanFile {
    /// The file in this folder. It need not exist.
    pub(super) fn new(folder: &SharedFolder) -> BanFile {
        BanFile {
            path: folder.bans(),
            temporary_path: folder.temporary_bans(std::process::id()),
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

    /// Reads the file if it exists and has changed since it was last read. A file with wrong contents is reported
    /// once; one that is [`BanFileError::Unreadable`] is read again with the next call.
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

    /// Replaces the file by one with these records.
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
