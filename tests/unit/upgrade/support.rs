//! Helpers for the unit tests of the upgrade modules.

use super::coordinator::UpgradeCoordinator;
use super::process_announcement::{ProcessAnnouncement, ProcessState};
use super::shared_folder::SharedFolder;
use crate::dispatcher::bans::{BanRecord, BanRecords};
use slog::{o, Discard, Logger};
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

pub(super) const DISPATCHER_NAME: &str = "n1";

/// A new folder for one test; removed on drop with everything in it.
pub(super) struct TemporaryFolder {
    pub(super) path: PathBuf,
}

impl TemporaryFolder {
    pub(super) fn new(test_name: &str) -> TemporaryFolder {
        let name = format!("quartzhall-upgrade-{}-{test_name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        TemporaryFolder { path }
    }

    pub(super) fn shared(&self) -> SharedFolder {
        SharedFolder::new(&self.path, DISPATCHER_NAME)
    }

    pub(super) fn start_coordinator(&self, now: u64) -> UpgradeCoordinator {
        let log = Logger::root(Discard, o!());
        UpgradeCoordinator::start(&self.path, DISPATCHER_NAME, now, log).unwrap()
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

pub(super) fn announcement(
    started_at: u64,
    state: ProcessState,
    share: u32,
) -> ProcessAnnouncement {
    ProcessAnnouncement {
        started_at,
        state,
        share,
    }
}

pub(super) fn ban_record(changed_at: u64, is_banned: bool) -> BanRecord {
    BanRecord {
        at: changed_at,
        banned: is_banned,
    }
}

/// Returns the ban records of a single ban.
pub(super) fn single_ban(banned_at: u64) -> BanRecords {
    BanRecords::from([(Arc::from("r1"), ban_record(banned_at, true))])
}
