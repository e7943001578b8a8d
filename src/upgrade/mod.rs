//! Two versions of one dispatcher side by side: the inherited socket, what the processes know of each other, and what
//! they share, by files in `$TMPDIR`.
//!
//! Each process has a notice, a file that it keeps locked while it lives, so that one that was killed leaves nothing
//! that would stop a start. Replicas that operators have taken out are in one file for all; see [`merged`].

pub mod resource_shares;
pub mod stream_migration;

use crate::dispatcher::bans::{BanRecord, BanRecords};
use crate::dispatcher::{DispatcherHandle, Event};
use miniserde::{json, Deserialize, Serialize};
use resource_shares::{ProcessAnnouncement, ProcessState};
use slog::{info, warn, Logger};
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::UnixListener;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// While it is alone a process looks this often whether another one has started ...
const ALONE: Duration = Duration::from_millis(100);
/// ... and beside another one, what that one says.
const BESIDE: Duration = Duration::from_millis(40);
/// Whatever the folder's own time says, the files are looked at after this: a change within one tick of it shows no other time.
const LOOK_AT_LEAST: Duration = Duration::from_secs(1);
/// While the files fail, that is logged this often.
const WARN_EACH: Duration = Duration::from_secs(10);
/// A longer file of bans is none of ours.
const LONGEST: u64 = 4 << 20;
/// Endings of the files: notices, notices and bans that are being written, and sockets that take streams in.
const NOTICE: &str = ".notice";
const NEW_NOTICE: &str = ".new";
const NEW_BANS: &str = ".bans-new";

/// Takes the listening socket that was inherited as this descriptor; it is checked to be one.
#[allow(unsafe_code)]
pub fn inherited_listener(descriptor: &str) -> Result<std::net::TcpListener, String> {
    use std::os::fd::{FromRawFd, IntoRawFd};
    let wrong =
        |error: &dyn std::fmt::Display| format!("the inherited socket {descriptor:?}: {error}");
    let number: i32 = descriptor
        .parse()
        .map_err(|_| wrong(&"not the number of a descriptor"))?;
    if number < 3 {
        return Err(wrong(&"not the number of a descriptor that is handed on"));
    }
    // SAFETY: whoever started this process left the descriptor open for it, by its word in the environment, and
    // nothing here has it from elsewhere: this runs once, before anything else opens one. If that word is wrong, the
    // number is not open, or no listening socket: then it is given back untouched below, before it can be closed.
    let socket = unsafe { socket2::Socket::from_raw_fd(number) };
    match socket
        .is_listener()
        .and_then(|listens| Ok((listens, socket.set_nonblocking(true)?)).map(|it| it.0))
    {
        Ok(true) => Ok(socket.into()),
        Ok(false) => {
            let _ = socket.into_raw_fd();
            Err(wrong(&"it does not listen"))
        }
        Err(error) => {
            let _ = socket.into_raw_fd();
            Err(wrong(&error))
        }
    }
}

#[derive(Serialize, Deserialize)]
struct MarkLine {
    id: String,
    at: u64,
    banned: bool,
}

#[derive(Serialize, Deserialize)]
struct MarkFile {
    version: u32,
    marks: Vec<MarkLine>,
}

/// The file of bans, as text.
fn marks_text(marks: &BanRecords) -> String {
    let line = |(id, mark): (&Arc<str>, &BanRecord)| MarkLine {
        id: id.to_string(),
        at: mark.at,
        banned: mark.banned,
    };
    json::to_string(&MarkFile {
        version: 1,
        marks: marks.iter().map(line).collect(),
    })
}

/// Reads the file of bans; the error is one line.
fn parse_marks(text: &str) -> Result<BanRecords, String> {
    let file: MarkFile =
        json::from_str(text).map_err(|_| "not the JSON object that is expected")?;
    if file.version != 1 {
        return Err(format!("unknown version {}", file.version));
    }
    let mark = |line: MarkLine| {
        (
            Arc::from(line.id),
            BanRecord {
                at: line.at,
                banned: line.banned,
            },
        )
    };
    Ok(file.marks.into_iter().map(mark).collect())
}

/// What the file should say, where that is not what it says: the newest word on each id. Two that write at once need
/// no lock: who finds that its word is missing writes it again.
fn merged(own: &BanRecords, file: &BanRecords) -> Option<BanRecords> {
    let mut all = file.clone();
    for (id, mark) in own {
        let known = all.entry(id.clone()).or_insert(*mark);
        *known = (*known).max(*mark);
    }
    // An ended ban that only the file remembers is of no use to anybody.
    all.retain(|id, mark| mark.banned || own.contains_key(id));
    (all != *file).then_some(all)
}

/// When a process started, in the order of them, and its number, by the name of its notice.
fn born_and_process(name: &str, file_name: &str) -> (Option<u64>, Option<u32>) {
    let rest = file_name
        .strip_prefix(name)
        .and_then(|rest| rest.strip_prefix('-')?.strip_suffix(NOTICE));
    let parts = rest.and_then(|rest| rest.split_once('-'));
    (
        parts.and_then(|(born, _)| born.parse().ok()),
        parts.and_then(|(_, process)| process.parse().ok()),
    )
}

/// Where the youngest living process of this name stands in the order, if any lives.
fn born_of_living(folder: &Path, name: &str) -> io::Result<Option<u64>> {
    let mut youngest = None;
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let file_name = path.file_name().and_then(|it| it.to_str()).unwrap_or("");
        let Some(born) = born_and_process(name, file_name).0 else {
            continue;
        };
        let is_held = File::open(&path).is_ok_and(|file| file.try_lock_shared().is_err());
        youngest = if is_held {
            youngest.max(Some(born))
        } else {
            youngest
        };
    }
    Ok(youngest)
}

/// What a process sees of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerProcesses {
    /// The part of the limits that this one keeps to.
    pub share: u32,
    /// Processes of this dispatcher, this one included.
    pub processes: u32,
    /// An older one lives.
    pub predecessor: bool,
    /// The youngest one that is younger than this, if any lives: when it started.
    pub successor: Option<u64>,
}

/// The files of one process.
pub struct UpgradeCoordinator {
    folder: PathBuf,
    name: String,
    file: File,
    path: PathBuf,
    own: ProcessAnnouncement,
    published: bool,
    others: Vec<ProcessAnnouncement>,
    looked: Option<(SystemTime, Instant)>,
    bans_read: Option<FileStamp>,
    warned_at: Option<Instant>,
    log: Logger,
}

/// What tells one state of a file from the next: each is a file of its own, renamed into place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    length: u64,
    modified: SystemTime,
}

impl UpgradeCoordinator {
    /// Posts a notice in this folder, for this name, and looks who is there. It comes after all that are there, whatever the
    /// wall clock said when they started and says now; `now` is its part of that order where it is alone.
    pub fn start(
        folder: &Path,
        name: &str,
        now: u64,
        log: Logger,
    ) -> io::Result<UpgradeCoordinator> {
        // The name becomes part of a path.
        let name = format!("quartzhall-{:016x}", crate::config::fnv1a_hash(name));
        let youngest = born_of_living(folder, &name)?;
        let born = youngest.map_or(now, |youngest| now.max(youngest.saturating_add(1)));
        let unique = format!("{name}-{born:020}-{}", std::process::id());
        let (hidden, path) = (
            folder.join(format!("{unique}{NEW_NOTICE}")),
            folder.join(format!("{unique}{NOTICE}")),
        );
        let file = File::options()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&hidden)?;
        file.try_lock().map_err(io::Error::from)?;
        let own = ProcessAnnouncement {
            started_at: born,
            state: ProcessState::Starting,
            share: resource_shares::START,
        };
        let folder = folder.to_owned();
        let mut handover = UpgradeCoordinator {
            folder,
            name,
            file,
            path,
            own,
            published: true,
            others: Vec::new(),
            looked: None,
            bans_read: None,
            warned_at: None,
            log,
        };
        handover.write_announcement()?;
        // Under its own name only now, when it is locked: nobody takes it for that of a dead process.
        fs::rename(&hidden, &handover.path)?;
        handover.scan_announcements()?;
        Ok(handover)
    }

    fn write_announcement(&self) -> io::Result<()> {
        self.file.write_all_at(self.own.to_line().as_bytes(), 0)
    }

    /// Writes the notice where it does not say what holds; what could not be written is written the next time.
    fn update_announcement(&mut self, own: ProcessAnnouncement) {
        if own == self.own && self.published {
            return;
        }
        self.own = own;
        let written = self.write_announcement();
        self.published = written.is_ok();
        self.notes("notice", written);
    }

    /// Reads the others' notices and removes those of dead processes.
    fn scan_announcements(&mut self) -> io::Result<()> {
        let looked = fs::metadata(&self.folder)?.modified()?;
        let (mut others, mut unfinished, mut living) =
            (Vec::new(), Vec::new(), vec![std::process::id()]);
        for entry in fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let file_name = path
                .file_name()
                .and_then(|name| name.to_str())
                .unwrap_or("");
            if path == self.path || !file_name.starts_with(&self.name) {
                continue;
            }
            if let Some(rest) = file_name.strip_suffix(NEW_BANS) {
                let process = rest
                    .rsplit('-')
                    .next()
                    .and_then(|it| it.parse::<u32>().ok());
                unfinished.push((process, path));
                continue;
            }
            if !file_name.ends_with(NOTICE) {
                continue;
            }
            let (born, process) = born_and_process(&self.name, file_name);
            let Ok(mut file) = File::open(&path) else {
                continue;
            };
            match file.try_lock_shared() {
                Ok(()) => {
                    let _ = fs::remove_file(&path);
                    if let Some(born) = born {
                        let _ = fs::remove_file(self.stream_socket_path()(born));
                    }
                }
                Err(TryLockError::WouldBlock) => {
                    let mut line = String::new();
                    let _ = file.read_to_string(&mut line);
                    // One that can't be read may be using all that an older process may.
                    let unread = ProcessAnnouncement {
                        started_at: born.unwrap_or(0),
                        state: ProcessState::Serving,
                        share: 15,
                    };
                    others.push(ProcessAnnouncement::parse(&line).unwrap_or(unread));
                    living.extend(process);
                }
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        // What a process was writing when it was killed is of no use to anybody.
        let is_dead =
            |process: &Option<u32>| process.is_none_or(|process| !living.contains(&process));
        for (_, path) in unfinished.iter().filter(|(process, _)| is_dead(process)) {
            let _ = fs::remove_file(path);
        }
        // Only a look that went to its end counts: half of one could miss a living process.
        (self.others, self.looked) = (others, Some((looked, Instant::now())));
        Ok(())
    }

    /// Whether anything can have changed since the last look: while alone, only a new file.
    fn needs_scan(&self) -> bool {
        let modified = fs::metadata(&self.folder).and_then(|it| it.modified()).ok();
        let is_as_it_was = |(at, looked): (SystemTime, Instant)| {
            modified == Some(at) && looked.elapsed() < LOOK_AT_LEAST
        };
        !self.others.is_empty() || !self.looked.is_some_and(is_as_it_was)
    }

    /// What this process sees now.
    pub fn peer_processes(&self) -> PeerProcesses {
        PeerProcesses {
            share: self.own.share,
            processes: 1 + self.others.len() as u32,
            predecessor: self
                .others
                .iter()
                .any(|other| other.started_at < self.own.started_at),
            successor: self
                .others
                .iter()
                .map(|other| other.started_at)
                .filter(|born| *born > self.own.started_at)
                .max(),
        }
    }

    /// Where processes of this dispatcher take streams in, by when they started.
    pub fn stream_socket_path(&self) -> impl Fn(u64) -> PathBuf + use<> {
        let (folder, name) = (self.folder.clone(), self.name.clone());
        move |born| folder.join(format!("{name}-{born:020}.sock"))
    }

    /// Listens there for a predecessor's streams.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let path = self.stream_socket_path()(self.own.started_at);
        match UnixListener::bind(&path) {
            // No living process has this one's place in the order: a dead one has left it.
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                fs::remove_file(&path)?;
                UnixListener::bind(&path)
            }
            bound => bound,
        }
    }

    fn bans_path(&self) -> PathBuf {
        self.folder.join(format!("{}.bans", self.name))
    }

    /// The file of bans, where there is one that was not read yet.
    pub fn read_changed_bans(&mut self) -> Option<BanRecords> {
        let path = self.bans_path();
        let metadata = fs::metadata(&path).ok()?;
        let stamp = FileStamp {
            inode: metadata.ino(),
            length: metadata.len(),
            modified: metadata.modified().ok()?,
        };
        if self.bans_read == Some(stamp) {
            return None;
        }
        let read = match metadata.len() {
            0..=LONGEST => match fs::read(&path) {
                Ok(bytes) => String::from_utf8(bytes).map_err(|error| error.to_string()),
                // It was not read, and is read the next time.
                Err(error) => {
                    self.notes("bans read", Err(error));
                    return None;
                }
            },
            _ => Err("too long".to_owned()),
        };
        self.bans_read = Some(stamp);
        match read.and_then(|text| parse_marks(&text)) {
            Ok(marks) => Some(marks),
            Err(error) => {
                warn!(self.log, "the file of bans can't be used: what is known holds"; "error" => error);
                Some(BanRecords::new())
            }
        }
    }

    /// Writes the file of bans beside and renames it: nobody reads half of it.
    fn write_bans(&self, marks: &BanRecords) -> io::Result<()> {
        let hidden = self
            .folder
            .join(format!("{}-{}{NEW_BANS}", self.name, std::process::id()));
        let mut file = File::create(&hidden)?;
        file.write_all(marks_text(marks).as_bytes())?;
        file.sync_all()?;
        fs::rename(&hidden, self.bans_path())
    }

    fn notes(&mut self, what: &str, done: io::Result<()>) {
        // A file that vanishes while it is read is as if it had been read a moment later.
        if let Err(error) = done.or_else(|error| match error.kind() {
            ErrorKind::NotFound => Ok(()),
            _ => Err(error),
        }) {
            if self.warned_at.is_none_or(|at| at.elapsed() >= WARN_EACH) {
                self.warned_at = Some(Instant::now());
                warn!(self.log, "the upgrade's files fail, tried again"; "at" => what, "error" => %error);
            }
        }
    }
}

impl Drop for UpgradeCoordinator {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
        let _ = fs::remove_file(self.stream_socket_path()(self.own.started_at));
    }
}

/// The limits that processes share.
pub trait ResourceLimits {
    /// Keeps to so many of [`crate::net::connection_limit::SHARE_UNITS`] parts from now on. Tells the part that is in use, rounded up.
    fn set(&self, part: u32) -> u32;
}

/// Looks after the files for as long as the process runs. `phase` is what it is doing.
pub async fn run(
    mut handover: UpgradeCoordinator,
    limits: impl ResourceLimits,
    door: DispatcherHandle,
    mut phase: watch::Receiver<ProcessState>,
    view: watch::Sender<PeerProcesses>,
) {
    let mut own_bans = door.ban_records();
    // What the file says is told to the core below, also what it said first: it may have changed since the start.
    let mut in_file = BanRecords::new();
    let log = handover.log.clone();
    loop {
        if handover.needs_scan() {
            let looked = handover.scan_announcements();
            handover.notes("others", looked);
        }
        let said = *phase.borrow_and_update();
        let wanted = resource_shares::target_share(&handover.own, &handover.others);
        let used = limits.set(wanted);
        let own = ProcessAnnouncement {
            state: said,
            share: wanted.max(used.min(handover.own.share)),
            ..handover.own
        };
        if own != handover.own {
            info!(log, "share of the limits"; "part" => own.share, "phase" => ?own.state, "others" => handover.others.len());
        }
        handover.update_announcement(own);
        let now = handover.peer_processes();
        if view.send_if_modified(|old| std::mem::replace(old, now) != now) {
            door.send_urgent(Event::ResourceShareChanged {
                share: wanted,
                processes: now.processes,
            })
            .await;
        }

        if let Some(marks) = handover.read_changed_bans() {
            in_file = marks;
            door.send_urgent(Event::BanRecordsReceived(in_file.clone()))
                .await;
        }
        let own_marks = own_bans.borrow_and_update().clone();
        if let Some(marks) = merged(&own_marks, &in_file) {
            // What could not be written is still owed to a successor, and is written the next time.
            match handover.write_bans(&marks) {
                Ok(()) => in_file = marks,
                Err(error) => handover.notes("bans", Err(error)),
            }
        }
        let pause = if handover.others.is_empty() {
            ALONE
        } else {
            BESIDE
        };
        tokio::select! {
            () = sleep(pause) => {}
            Ok(()) = own_bans.changed() => {}
            Ok(()) = phase.changed() => {}
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/coordinator.rs"]
mod tests;
