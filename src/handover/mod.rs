//! Two versions of one dispatcher side by side: the inherited socket, what the processes know of each other, and what
//! they share, by files in `$TMPDIR`.
//!
//! Each process has a notice, a file that it keeps locked while it lives, so that one that was killed leaves nothing
//! that would stop a start. Replicas that operators have taken out are in one file for all; see [`merged`].

pub mod shares;

use crate::bans::{Mark, Marks};
use crate::dispatch::{Door, Event};
use miniserde::{json, Deserialize, Serialize};
use shares::{Notice, Phase};
use slog::{info, warn, Logger};
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::UnixListener;
use tokio::sync::watch;
use tokio::time::sleep;

/// While it is alone a process looks this often whether another one has started ...
const ALONE: Duration = Duration::from_millis(100);
/// ... and beside another one, what that one says.
const BESIDE: Duration = Duration::from_millis(40);
/// A longer file of bans is none of ours.
const LONGEST: u64 = 4 << 20;

/// Takes the listening socket that was inherited as this descriptor; it is checked to be one.
#[allow(unsafe_code)]
pub fn inherited(descriptor: &str) -> Result<std::net::TcpListener, String> {
    use std::os::fd::{FromRawFd, IntoRawFd};
    let wrong = |error: &dyn std::fmt::Display| format!("the inherited socket {descriptor:?}: {error}");
    let number: i32 = descriptor.parse().map_err(|_| wrong(&"not the number of a descriptor"))?;
    if number < 3 {
        return Err(wrong(&"not the number of a descriptor that is handed on"));
    }
    // SAFETY: whoever started this process left the descriptor open for it, by its word in the environment, and
    // nothing here has it from elsewhere: this runs once, before anything else opens one. If that word is wrong, the
    // number is not open, or no listening socket: then it is given back untouched below, before it can be closed.
    let socket = unsafe { socket2::Socket::from_raw_fd(number) };
    match socket.is_listener().and_then(|listens| Ok((listens, socket.set_nonblocking(true)?)).map(|it| it.0))
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
fn marks_text(marks: &Marks) -> String {
    let line =
        |(id, mark): (&Arc<str>, &Mark)| MarkLine { id: id.to_string(), at: mark.at, banned: mark.banned };
    json::to_string(&MarkFile { version: 1, marks: marks.iter().map(line).collect() })
}

/// Reads the file of bans; the error is one line.
fn parse_marks(text: &str) -> Result<Marks, String> {
    let file: MarkFile = json::from_str(text).map_err(|_| "not the JSON object that is expected")?;
    if file.version != 1 {
        return Err(format!("unknown version {}", file.version));
    }
    let mark = |line: MarkLine| (Arc::from(line.id), Mark { at: line.at, banned: line.banned });
    Ok(file.marks.into_iter().map(mark).collect())
}

/// What the file should say, where that is not what it says: the newest word on each id. Two that write at once need
/// no lock: who finds that its word is missing writes it again.
fn merged(own: &Marks, file: &Marks) -> Option<Marks> {
    let mut all = file.clone();
    for (id, mark) in own {
        let known = all.entry(id.clone()).or_insert(*mark);
        *known = (*known).max(*mark);
    }
    // An ended ban that only the file remembers is of no use to anybody.
    all.retain(|id, mark| mark.banned || own.contains_key(id));
    (all != *file).then_some(all)
}

/// What a process sees of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The part of the limits that this one keeps to.
    pub part: u32,
    /// Processes of this dispatcher, this one included.
    pub processes: u32,
    /// An older one lives.
    pub predecessor: bool,
    /// The youngest one that is younger than this, if any lives: when it started.
    pub successor: Option<u64>,
}

/// The files of one process.
pub struct Handover {
    folder: PathBuf,
    name: String,
    file: File,
    path: PathBuf,
    own: Notice,
    others: Vec<Notice>,
    looked: Option<SystemTime>,
    bans_read: Option<(SystemTime, u64)>,
    log: Logger,
}

impl Handover {
    /// Posts a notice in this folder, for this name, and looks who is there.
    pub fn start(folder: &Path, name: &str, born: u64, log: Logger) -> io::Result<Handover> {
        // The name becomes part of a path.
        let name = format!("quartzhall-{:016x}", crate::settings::hash(name));
        let unique = format!("{name}-{born:020}-{}", std::process::id());
        let (hidden, path) = (folder.join(format!("{unique}.new")), folder.join(format!("{unique}.notice")));
        let file = File::options().read(true).write(true).create_new(true).open(&hidden)?;
        file.try_lock().map_err(io::Error::from)?;
        let own = Notice { born, phase: Phase::Starting, part: shares::START };
        let folder = folder.to_owned();
        let mut handover = Handover {
            folder,
            name,
            file,
            path,
            own,
            others: Vec::new(),
            looked: None,
            bans_read: None,
            log,
        };
        handover.publish()?;
        // Under its own name only now, when it is locked: nobody takes it for that of a dead process.
        fs::rename(&hidden, &handover.path)?;
        handover.look()?;
        Ok(handover)
    }

    fn publish(&self) -> io::Result<()> {
        self.file.write_all_at(self.own.line().as_bytes(), 0)
    }

    /// Reads the others' notices and removes those of dead processes.
    fn look(&mut self) -> io::Result<()> {
        self.looked = fs::metadata(&self.folder)?.modified().ok();
        self.others.clear();
        for entry in fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let file_name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
            if path == self.path || !file_name.starts_with(&self.name) || !file_name.ends_with(".notice") {
                continue;
            }
            let born = file_name.get(self.name.len() + 1..).and_then(|it| it.get(..20)?.parse().ok());
            let Ok(mut file) = File::open(&path) else { continue };
            match file.try_lock_shared() {
                Ok(()) => {
                    let _ = fs::remove_file(&path);
                    if let Some(born) = born {
                        let _ = fs::remove_file(self.doors()(born));
                    }
                }
                Err(TryLockError::WouldBlock) => {
                    let mut line = String::new();
                    let _ = file.read_to_string(&mut line);
                    // One that can't be read may be using all that an older process may.
                    let unread = Notice { born: born.unwrap_or(0), phase: Phase::Serving, part: 15 };
                    self.others.push(Notice::parse(&line).unwrap_or(unread));
                }
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        Ok(())
    }

    /// Whether anything can have changed since the last look: while alone, only a new file.
    fn is_new(&self) -> bool {
        let modified = fs::metadata(&self.folder).and_then(|it| it.modified()).ok();
        !self.others.is_empty() || modified.is_none() || modified != self.looked
    }

    /// What this process sees now.
    pub fn view(&self) -> View {
        View {
            part: self.own.part,
            processes: 1 + self.others.len() as u32,
            predecessor: self.others.iter().any(|other| other.born < self.own.born),
            successor: self.others.iter().map(|other| other.born).filter(|born| *born > self.own.born).max(),
        }
    }

    /// Where processes of this dispatcher take streams in, by when they started.
    pub fn doors(&self) -> impl Fn(u64) -> PathBuf + use<> {
        let (folder, name) = (self.folder.clone(), self.name.clone());
        move |born| folder.join(format!("{name}-{born:020}.sock"))
    }

    /// Listens there for a predecessor's streams.
    pub fn listen(&self) -> io::Result<UnixListener> {
        UnixListener::bind(self.doors()(self.own.born))
    }

    fn bans_path(&self) -> PathBuf {
        self.folder.join(format!("{}.bans", self.name))
    }

    /// The file of bans, where there is one that was not read yet.
    pub fn new_bans(&mut self) -> Option<Marks> {
        let path = self.bans_path();
        let metadata = fs::metadata(&path).ok()?;
        let stamp = (metadata.modified().ok()?, metadata.len());
        if self.bans_read == Some(stamp) {
            return None;
        }
        let read = match metadata.len() {
            0..=LONGEST => fs::read_to_string(&path).map_err(|error| error.to_string()),
            _ => Err("too long".to_owned()),
        };
        self.bans_read = Some(stamp);
        match read.and_then(|text| parse_marks(&text)) {
            Ok(marks) => Some(marks),
            Err(error) => {
                warn!(self.log, "the file of bans can't be used: what is known holds"; "error" => error);
                Some(Marks::new())
            }
        }
    }

    /// Writes the file of bans beside and renames it: nobody reads half of it.
    fn write_bans(&self, marks: &Marks) -> io::Result<()> {
        let hidden = self.folder.join(format!("{}-{}.bans-new", self.name, std::process::id()));
        File::create(&hidden)?.write_all(marks_text(marks).as_bytes())?;
        fs::rename(&hidden, self.bans_path())
    }

    fn notes(&self, what: &str, done: io::Result<()>) {
        // A file that vanishes while it is read is as if it had been read a moment later.
        if let Err(error) = done.or_else(|error| match error.kind() {
            ErrorKind::NotFound => Ok(()),
            _ => Err(error),
        }) {
            warn!(self.log, "the upgrade's files fail"; "at" => what, "error" => %error);
        }
    }
}

impl Drop for Handover {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
        let _ = fs::remove_file(self.doors()(self.own.born));
    }
}

/// The limits that processes share.
pub trait Limits {
    /// Keeps to so many of [`crate::places::PARTS`] parts from now on. Tells the part that is in use, rounded up.
    fn set(&self, part: u32) -> u32;
}

/// Looks after the files for as long as the process runs. `phase` is what it is doing.
pub async fn run(
    mut handover: Handover, limits: impl Limits, door: Door, mut phase: watch::Receiver<Phase>,
    view: watch::Sender<View>,
) {
    let mut own_bans = door.marks();
    // What the file says is told to the core below, also what it said first: it may have changed since the start.
    let mut in_file = Marks::new();
    let log = handover.log.clone();
    loop {
        if handover.is_new() {
            let looked = handover.look();
            handover.notes("others", looked);
        }
        let said = *phase.borrow_and_update();
        let wanted = shares::wanted(&handover.own, &handover.others);
        let used = limits.set(wanted);
        let own = Notice { phase: said, part: wanted.max(used.min(handover.own.part)), ..handover.own };
        if own != handover.own {
            info!(log, "share of the limits"; "part" => own.part, "phase" => ?own.phase, "others" => handover.others.len());
            handover.own = own;
            handover.notes("notice", handover.publish());
        }
        let now = handover.view();
        if view.send_if_modified(|old| std::mem::replace(old, now) != now) {
            door.tell_first(Event::Share { part: wanted, processes: now.processes }).await;
        }

        if let Some(marks) = handover.new_bans() {
            in_file = marks;
            door.tell_first(Event::Marks(in_file.clone())).await;
        }
        let own_marks = own_bans.borrow_and_update().clone();
        if let Some(marks) = merged(&own_marks, &in_file) {
            handover.notes("bans", handover.write_bans(&marks));
            in_file = marks;
        }
        let pause = if handover.others.is_empty() { ALONE } else { BESIDE };
        tokio::select! {
            () = sleep(pause) => {}
            Ok(()) = own_bans.changed() => {}
            Ok(()) = phase.changed() => {}
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/handover.rs"]
mod tests;
