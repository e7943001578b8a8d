//! Coordinates this process with the others of its dispatcher. Keeps its announcement and its share of the limits up to
//! date, and exchanges bans through the ban file.
//!
//! The coordinator owns the announcement of this process and its access to the ban file. [`run`] owns the coordinator
//! from the end of startup until the process exits.

use super::announcements::{PeerProcesses, ProcessAnnouncements};
use super::ban_file::{self, BanFile, BanFileError};
use super::process_announcement::{ProcessAnnouncement, ProcessState};
use super::request_claims::RequestClaims;
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

/// Time between two checks for another process while this one is alone.
const POLL_INTERVAL_ALONE: Duration = Duration::from_millis(100);
/// Time between two readings of the announcements while there are other processes.
const POLL_INTERVAL_WITH_PEERS: Duration = Duration::from_millis(40);
/// Minimum time between two warnings about failed file operations.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// Limits on resources that the processes of a dispatcher share.
pub trait ResourceLimits {
    /// Sets the limits to this share, in units of which [`SHARE_UNITS`](crate::net::adjustable_semaphore::SHARE_UNITS)
    /// are the whole. Returns the share that is in use, rounded up. After the limits were lowered, it exceeds the new
    /// share until enough has been released.
    fn apply_share(&self, share: u32) -> u32;
}

/// Coordinates this process with the dispatcher's other processes, through files in a folder that they share.
pub struct UpgradeCoordinator {
    folder: SharedFolder,
    announcements: ProcessAnnouncements,
    ban_file: BanFile,
    request_claims: RequestClaims,
    last_warning_at: Option<Instant>,
    log: Logger,
}

impl UpgradeCoordinator {
    /// Announces this process in the folder and reads the announcements of the others.
    ///
    /// `name` is the dispatcher's; `now` is in Unix microseconds. This process counts as the youngest of the live ones
    /// even if the wall clock has been set back since they started.
    pub fn start(
        folder: &Path,
        name: &str,
        now: u64,
        log: Logger,
    ) -> io::Result<UpgradeCoordinator> {
        let folder = SharedFolder::new(folder, name);
        let announcements = ProcessAnnouncements::publish(folder.clone(), now)?;
        let started_at = announcements.own().started_at;
        let request_claims = RequestClaims::open(folder.clone(), started_at, log.clone());
        request_claims.set_peers(announcements.others());
        Ok(UpgradeCoordinator {
            ban_file: BanFile::new(&folder, started_at),
            request_claims,
            announcements,
            folder,
            last_warning_at: None,
            log,
        })
    }

    /// Returns what this process knows of the others.
    pub fn peer_processes(&self) -> PeerProcesses {
        self.announcements.peer_processes()
    }

    /// Returns the claims of request ids, which this process shares with the others.
    pub fn request_claims(&self) -> RequestClaims {
        self.request_claims.clone()
    }

    /// Returns a function from a process's start time, in Unix microseconds, to the path of the socket on which that
    /// process receives streams.
    pub fn stream_socket_path(&self) -> impl Fn(u64) -> PathBuf + use<> {
        let folder = self.folder.clone();
        move |started_at| folder.stream_socket_address(started_at)
    }

    /// Binds the socket on which this process receives the streams of other processes.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let started_at = self.announcements.own().started_at;
        let path = self.folder.stream_socket_address(started_at);
        match UnixListener::bind(&path) {
            // Start times of live processes are unique, so this socket was left by a dead one.
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                fs::remove_file(&path)?;
                UnixListener::bind(&path)
            }
            result => result,
        }
    }

    /// Reads the ban file if it has changed since it was last read. Returns `None` if the file is unchanged, does not
    /// exist or could not be read. An invalid file counts as one without records.
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

    /// Reads the announcements of the others if they may have changed.
    fn scan_if_needed(&mut self) {
        if !self.announcements.needs_scan() {
            return;
        }
        if let Err(error) = self.announcements.scan() {
            self.warn_of_failure("scan announcements", &error);
        }
        self.request_claims.set_peers(self.announcements.others());
    }

    /// Sets the limits to this process's target share, and announces that share, or a larger one while more is still in
    /// use. Returns the target.
    fn update_share(&mut self, state: ProcessState, limits: &impl ResourceLimits) -> u32 {
        let announced = self.announcements.own();
        let target = resource_shares::target_share(&announced, self.announcements.others());
        let in_use = limits.apply_share(target);
        let updated = ProcessAnnouncement {
            state,
            // The announced share falls only as fast as what is in use above the target is released.
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

    /// Merges the records of this process with those in the file, writes the file if it changes, and returns the
    /// records in it. After an error the next call tries again, as a successor depends on the file.
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

    /// Logs a failed file operation, but not the error that a file does not exist. Logs at most one line per
    /// [`WARNING_INTERVAL`] for all operations together, as each is retried at every poll.
    fn warn_of_failure(&mut self, operation: &str, error: &io::Error) {
        // Another process may remove a file between its listing and its reading, which is no failure.
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

/// Coordinates this process with the others. Never returns.
///
/// `process_state` is the state to announce; `peer_processes` receives what this process knows of the others. The
/// dispatcher receives each change of the share, and the ban records that other processes have published.
pub async fn run(
    mut coordinator: UpgradeCoordinator,
    limits: impl ResourceLimits,
    dispatcher: DispatcherHandle,
    mut process_state: watch::Receiver<ProcessState>,
    peer_processes: watch::Sender<PeerProcesses>,
) {
    let mut own_bans = dispatcher.ban_records();
    // Empty at first, even if the startup has read the file: it may have changed since then, and the dispatcher must
    // receive its current records.
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
