//! The start beside another process of the same dispatcher: the announcement, and the wait until this one can take over.

use crate::dispatcher::{Clock, DispatcherHandle, Event, Readiness};
use crate::net::adjustable_semaphore::SHARE_UNITS;
use crate::upgrade::{PeerProcesses, UpgradeCoordinator};
use slog::{warn, Logger};
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// The environment variable that names the folder through which processes of one dispatcher find each other.
const SHARED_FOLDER_VARIABLE: &str = "TMPDIR";
/// How long a start waits for a folder that fails ...
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// ... and how often it tries.
const ANNOUNCEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// A successor waits this long for discovery's endpoint list; then it uses the one in its configuration.
const ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// A successor waits this long for its share of the limits; then it takes over with what it has.
const RESOURCE_SHARE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The share of the limits, in [`SHARE_UNITS`], with which a successor takes over at once.
const MIN_TAKEOVER_SHARE: u32 = SHARE_UNITS / 4;

/// Announces this process to other processes of its dispatcher, if they have a folder in common.
///
/// A folder that fails for a moment is tried again: a process that is not announced would take all limits for itself, and
/// no other one could receive its streams, for as long as it lives.
pub(super) async fn announce(name: &str, clock: Clock, log: &Logger) -> Option<UpgradeCoordinator> {
    let folder = std::env::var_os(SHARED_FOLDER_VARIABLE)?;
    if folder.is_empty() {
        return None;
    }
    let give_up_at = Instant::now() + ANNOUNCEMENT_TIMEOUT;
    loop {
        match UpgradeCoordinator::start(Path::new(&folder), name, clock.now(), log.clone()) {
            Ok(coordinator) => return Some(coordinator),
            Err(_) if Instant::now() < give_up_at => sleep(ANNOUNCEMENT_RETRY_INTERVAL).await,
            Err(error) => {
                warn!(log, "process announcement failed"; "error" => %error);
                return None;
            }
        }
    }
}

/// Waits until a successor can accept clients: it has an endpoint list, discovery's own if that arrives soon, and its
/// share of the limits, if the predecessor reduces its own soon.
pub(super) async fn wait_until_ready(
    dispatcher: &DispatcherHandle,
    configured_endpoints: Option<Event>,
    mut peers: watch::Receiver<PeerProcesses>,
) {
    let has_endpoints = dispatcher.wait_for_readiness(Readiness::Standby);
    if timeout(ENDPOINT_LIST_TIMEOUT, has_endpoints).await.is_err() {
        if let Some(endpoints) = configured_endpoints {
            dispatcher.send(endpoints).await;
        }
        dispatcher.wait_for_readiness(Readiness::Standby).await;
    }
    let has_share = peers.wait_for(|peers| peers.share >= MIN_TAKEOVER_SHARE);
    // Without its share in time the process takes over with the smaller one.
    let _ = timeout(RESOURCE_SHARE_TIMEOUT, has_share).await;
}
