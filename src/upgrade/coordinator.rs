//! Coordinates this process with the others of its dispatcher: keeps its announcement and its share of the limits up to
//! date, and exchanges bans through the shared file.
//!
//! The coordinator owns this process's announcement and its side of the ban file; [`run`] owns the coordinator for as
//! long as the process runs.

use super::announcements::{PeerProcesses, ProcessAnnouncements};
use super::ban_file::{self, BanFile, BanFileError};
use super::process_announcement::{ProcessAnnouncement, ProcessState};
use super::resource_shares;
use super::shared_folder::SharedFolder;
use crate::dispatcher::bans::BanRecords;
use crate::dispatcher::{DispatcherHandle, Event};
use slog::{info, warn, Logger};
use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// How often the folder is checked for another process while this one is alone.
const POLL_INTERVAL_ALONE: Duration = Duration::from_millis(100);
/// How often the others' announcements are read while there are any.
const POLL_INTERVAL_WITH_PEERS: Duration = Duration::from_millis(40);
/// The least time between two warnings of failed file operations.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// The limits that the processes of a dispatcher share.
pub trait ResourceLimits {
    /// Lowers or raises the limits to this share, in units of [`crate::net::adjustable_semaphore::SHARE_UNITS`]. Returns
    /// the share that is in use, rounded up; it is larger for a while after the limits were lowered.
    fn apply_share(&self, share: u32) -> u32;
}

/// This process's files in the folder that it has in common with the others.
pub struct UpgradeCoordinator {
    folder: SharedFolder,
    announcements: ProcessAnnouncements,
    ban_file: BanFile,
    last_warning_at: Option<Instant>,
    log: Logger,
}

impl UpgradeCoordinator {
    /// Announces this process in the folder and finds out which others live.
    ///
    /// `name` is the dispatcher's; `now` is in Unix microseconds. This process comes after all live ones, whatever the
    /// wall clock says now and said when they started.
    pub fn start(
        folder: &Path,
        name: &str,
        now: u64,
        log: Logger,
    ) -> io::Result<UpgradeCoordinator> {
        let folder = SharedFolder::new(folder, name);
        Ok(UpgradeCoordinator {
            announcements: ProcessAnnouncements::publish(folder.clone(), now)?,
            ban_file: BanFile::new(&folder),
            folder,
            last_warning_at: None,
            log,
        })
    }

    /// What this process sees of the others.
    pub fn peer_processes(&self) -> PeerProcesses {
        self.announcements.peer_processes()
    }

    /// The path at which a process receives streams, by when it started in Unix microseconds.
    pub fn stream_socket_path(&self) -> impl Fn(u64) -> PathBuf + use<> {
        let folder = self.folder.clone();
        move |started_at| folder.stream_socket_address(started_at)
    }

    /// Listens at this process's path for the streams of a predecessor.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let started_at = self.announcements.own().started_at;
        let path = self.folder.stream_socket_address(started_at);
        match UnixListener::bind(&path) {
            // No other live process started then: a dead one has left the socket.
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                fs::remove_file(&path)?;
                UnixListener::bind(&path)
            }
            result => result,
        }
    }

    /// Reads the file of bans if it has changed since it was last read. A file with wrong contents holds no records.
    pub fn read_changed_bans(&mut self) -> Option<BanRecords> {
        match self.ban_file.read_if_changed() {
            Ok(records) => records,
            Err(BanFileError::Unreadable(error)) => {
                self.warn_of_failure("read bans", &error);
                None
            }
            Err(error) => {
                warn!(self.log, "ban file invalid"; "error" => %error);
                Some(BanRecords::new())
            }
        }
    }

    /// Reads the others' announcements where they may have changed.
    fn scan_if_needed(&mut self) {
        if !self.announcements.needs_scan() {
            return;
        }
        if let Err(error) = self.announcements.scan() {
            self.warn_of_failure("scan announcements", &error);
        }
    }

    /// Moves the limits towards this process's share and announces what it uses. Returns the share that it aims for.
    fn update_share(&mut self, state: ProcessState, limits: &impl ResourceLimits) -> u32 {
        let announced = self.announcements.own();
        let target = resource_shares::target_share(&announced, self.announcements.others());
        let in_use = limits.apply_share(target);
        let updated = ProcessAnnouncement {
            state,
            // What was announced before stays announced as far as it is still in use.
            share: target.max(in_use.min(announced.share)),
            ..announced
        };
        if updated != announced {
            info!(self.log, "resource share updated"; "share" => updated.share, "state" => ?updated.state,
                "peers" => self.announcements.others().len());
        }
        if let Err(error) = self.announcements.update(updated) {
            self.warn_of_failure("write announcement", &error);
        }
        target
    }

    /// Writes the file of bans if it lacks any of these records, and returns what it holds then. After an error it is
    /// tried again the next time: a successor depends on it.
    fn publish_bans(&mut self, own: &BanRecords, published: BanRecords) -> BanRecords {
        let Some(merged) = ban_file::merge_records(own, &published) else {
            return published;
        };
        match self.ban_file.write(&merged) {
            Ok(()) => merged,
            Err(error) => {
                self.warn_of_failure("write bans", &error);
                published
            }
        }
    }

    fn poll_interval(&self) -> Duration {
        if self.announcements.others().is_empty() {
            POLL_INTERVAL_ALONE
        } else {
            POLL_INTERVAL_WITH_PEERS
        }
    }

    /// Logs a failed operation, which is tried again, but not each time.
    fn warn_of_failure(&mut self, operation: &str, error: &io::Error) {
        // A file that vanishes while it is read is as if it had been read a moment later.
        if error.kind() == ErrorKind::NotFound {
            return;
        }
        let was_warned = self
            .last_warning_at
            .is_some_and(|warned_at| warned_at.elapsed() < WARNING_INTERVAL);
        if !was_warned {
            self.last_warning_at = Some(Instant::now());
            warn!(self.log, "upgrade file operation failed"; "operation" => operation, "error" => %error);
        }
    }
}

/// Coordinates this process with the others until it ends.
///
/// `process_state` is what to announce of this process; `peer_processes` gets what it sees of the others. The
/// dispatcher is sent each change of the share, and the bans that other processes have recorded.
pub async fn run(
    mut coordinator: UpgradeCoordinator,
    limits: impl ResourceLimits,
    dispatcher: DispatcherHandle,
    mut process_state: watch::Receiver<ProcessState>,
    peer_processes: watch::Sender<PeerProcesses>,
) {
    let mut own_bans = dispatcher.ban_records();
    // Empty at first, so that the dispatcher gets the file's records also where the file was read before this task
    // began: it may have changed in between.
    let mut published_bans = BanRecords::new();
    loop {
        coordinator.scan_if_needed();
        let state = *process_state.borrow_and_update();
        let share = coordinator.update_share(state, &limits);
        let peers = coordinator.peer_processes();
        let has_changed = peer_processes
            .send_if_modified(|published| std::mem::replace(published, peers) != peers);
        if has_changed {
            let event = Event::ResourceShareChanged {
                share,
                processes: peers.processes,
            };
            dispatcher.send_urgent(event).await;
        }

        if let Some(records) = coordinator.read_changed_bans() {
            published_bans = records;
            let event = Event::BanRecordsReceived(published_bans.clone());
            dispatcher.send_urgent(event).await;
        }
        let own_records = own_bans.borrow_and_update().clone();
        published_bans = coordinator.publish_bans(&own_records, published_bans);

        tokio::select! {
            () = sleep(coordinator.poll_interval()) => {}
            Ok(()) = own_bans.changed() => {}
            Ok(()) = process_state.changed() => {}
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upgrade/coordinator.rs"]
mod tests;
