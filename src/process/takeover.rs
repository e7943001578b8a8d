//! Startup beside another process of the same dispatcher.
//!
//! Announces this process to the others, and lets a successor wait until it can take over from its predecessor. The
//! successor waits a limited time for discovery's endpoint list and for a share of the limits. After that it takes over
//! with the configured list and the share that it has. Without any endpoint list it does not take over.

use crate::dispatcher::{Clock, DispatcherHandle, Event, Readiness};
use crate::net::adjustable_semaphore::SHARE_UNITS;
use crate::upgrade::{PeerProcesses, UpgradeCoordinator};
use slog::{warn, Logger};
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// The environment variable that names the folder in which the processes of a dispatcher find each other.
const SHARED_FOLDER_VARIABLE: &str = "TMPDIR";
/// How long the startup waits for the folder to become usable.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts to announce the process.
const ANNOUNCEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// How long a successor waits for discovery's endpoint list; after that it uses the one in its configuration, if any.
const ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a successor waits for [`MIN_TAKEOVER_SHARE`]; after that it takes over with the share that it has.
const RESOURCE_SHARE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The share of the limits with which a successor takes over at once, in units of which [`SHARE_UNITS`] are the whole.
const MIN_TAKEOVER_SHARE: u32 = SHARE_UNITS / 4;

/// Announces this process to the other processes of its dispatcher; `None` if no folder is configured, or if it could
/// not be used in time.
///
/// A folder that is unusable for a moment is tried again. An unannounced process would use the whole limits beside
/// other processes, and could not migrate its streams to them, until it exits.
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

/// Waits until a successor can accept clients. It needs an endpoint list: discovery's, or the configured one if
/// discovery's does not arrive in time. It also waits a limited time for the predecessor to give up a share of the
/// limits.
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
    // After a timeout the process takes over with the share that it has.
    let _ = timeout(RESOURCE_SHARE_TIMEOUT, has_share).await;
}
