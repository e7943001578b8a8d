//! The files to which all processes of a dispatcher append the records of their claims.
//!
//! The operating system appends each record in one step, so the file orders the records of all processes, and no
//! process ever waits for another one. A file is full at [`MAX_FILE_BYTES`]: what is appended beyond is void, and is
//! appended again to the next generation of the file. The two newest generations are kept.

use super::record::Record;
use crate::upgrade::shared_folder::{SharedFile, SharedFolder};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::FileExt;

/// The size at which a file is full. A record has up to about 80 bytes.
pub(super) const MAX_FILE_BYTES: u64 = 2 << 20;
/// How much is read at once, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// The generation of the file that is in use, and the position up to which it was read.
pub(super) struct ClaimFile {
    folder: SharedFolder,
    generation: u64,
    file: File,
    read_bytes: u64,
    /// The start of a line whose end was not read yet.
    partial_line: Vec<u8>,
}

impl ClaimFile {
    /// Opens the oldest file of the dispatcher that is kept, or creates the first one.
    pub(super) fn open(folder: &SharedFolder) -> io::Result<ClaimFile> {
        let generation = first_generation_after(folder, 0)?.unwrap_or(1);
        Ok(ClaimFile {
            file: open_generation(folder, generation)?,
            folder: folder.clone(),
            generation,
            read_bytes: 0,
            partial_line: Vec::new(),
        })
    }

    /// Appends a record. It counts only if [`ClaimFile::read`] returns it.
    pub(super) fn append(&mut self, record: Record) -> io::Result<()> {
        let line = record.to_line();
        let written_bytes = self.file.write(line.as_bytes())?;
        if written_bytes < line.len() {
            return Err(ErrorKind::WriteZero.into());
        }
        Ok(())
    }

    /// Passes the records that were appended since the last call to `apply`. Returns whether the file is full.
    pub(super) fn read(&mut self, mut apply: impl FnMut(Record)) -> io::Result<bool> {
        let mut buffer = [0; READ_BYTES];
        while self.read_bytes < MAX_FILE_BYTES {
            let unread = MAX_FILE_BYTES - self.read_bytes;
            let length = buffer.len().min(unread as usize);
            let bytes = match self.file.read_at(&mut buffer[..length], self.read_bytes) {
                Ok(0) => return Ok(false),
                Ok(bytes) => bytes,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            self.read_bytes += bytes as u64;
            for byte in &buffer[..bytes] {
                if *byte != b'\n' {
                    self.partial_line.push(*byte);
                    continue;
                }
                let line = std::mem::take(&mut self.partial_line);
                if let Some(record) = std::str::from_utf8(&line).ok().and_then(Record::parse) {
                    apply(record);
                }
            }
        }
        Ok(true)
    }

    /// Goes on to the next generation, and removes the files before the one that was in use.
    pub(super) fn open_next(&mut self) -> io::Result<()> {
        let existing = first_generation_after(&self.folder, self.generation)?;
        let next = existing.unwrap_or(self.generation + 1);
        self.file = open_generation(&self.folder, next)?;
        remove_generations_before(&self.folder, self.generation)?;
        self.generation = next;
        self.read_bytes = 0;
        self.partial_line.clear();
        Ok(())
    }
}

fn open_generation(folder: &SharedFolder, generation: u64) -> io::Result<File> {
    let path = folder.claims(generation);
    File::options()
        .read(true)
        .append(true)
        .create(true)
        .open(path)
}

/// Returns the numbers of all generations whose files exist.
fn generations(folder: &SharedFolder) -> io::Result<Vec<u64>> {
    let mut generations = Vec::new();
    for entry in fs::read_dir(folder.path())? {
        if let Some(SharedFile::Claims { generation }) = folder.classify(&entry?.path()) {
            generations.push(generation);
        }
    }
    Ok(generations)
}

fn first_generation_after(folder: &SharedFolder, generation: u64) -> io::Result<Option<u64>> {
    let generations = generations(folder)?.into_iter();
    Ok(generations.filter(|found| *found > generation).min())
}

fn remove_generations_before(folder: &SharedFolder, generation: u64) -> io::Result<()> {
    for found in generations(folder)? {
        if found < generation {
            // Another process may have removed it.
            let _ = fs::remove_file(folder.claims(found));
        }
    }
    Ok(())
}
