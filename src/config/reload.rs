//! The configuration file, read again at SIGHUP while the dispatcher serves.
//!
//! A file is taken whole or not at all: it has to have all that the running one has. Its `settings` go to the core,
//! and `discovery` is followed. Listeners, limits, zone and kinds of machines hold until a restart.

use crate::config::{Config, Deployment};
use crate::dispatcher::DispatcherHandle;
use slog::{info, warn, Logger};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// A file that can't be used, because it is half-written as like as not, is read again after this ...
const AGAIN: Duration = Duration::from_millis(100);
/// ... and less and less often while it stays so, down to once in this ...
const SELDOM: Duration = Duration::from_secs(1);
/// ... and so often in all; then it is left until the next SIGHUP.
const READINGS: usize = 10;

/// Reads the file and has it taken; its text is the running one then.
async fn take(
    file: &Path,
    running: &str,
    door: &DispatcherHandle,
    discovery: &watch::Sender<String>,
) -> Result<String, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    let config = Config::parse_next(running, &text)?;
    let site = Deployment::new(&config.settings)?;
    door.apply_settings(site)
        .await
        .ok_or("the dispatcher ends")?
        .map_err(|error| error.to_string())?;
    discovery.send_if_modified(|old| {
        let new = config.discovery != *old;
        *old = config.discovery;
        new
    });
    Ok(text)
}

/// Takes the file after each SIGHUP. A bad one is logged in one line and nothing of it is taken; it is read again
/// shortly, and at once when the next SIGHUP comes.
pub async fn run(
    file: PathBuf,
    mut running: String,
    mut hangup: Signal,
    door: DispatcherHandle,
    discovery: watch::Sender<String>,
    log: Logger,
) {
    while hangup.recv().await.is_some() {
        let (mut pause, mut left, mut logged) = (AGAIN, READINGS, String::new());
        while left > 0 {
            match take(&file, &running, &door, &discovery).await {
                Ok(text) => {
                    info!(log, "the configuration was read again"; "discovery" => discovery.borrow().clone());
                    running = text;
                    break;
                }
                Err(error) if error != logged => {
                    warn!(log, "the configuration can't be used: the old one holds"; "error" => &error);
                    logged = error;
                }
                Err(_) => {}
            }
            tokio::select! {
                biased;
                Some(()) = hangup.recv() => (pause, left, logged) = (AGAIN, READINGS, String::new()),
                () = sleep(pause) => (pause, left) = ((pause * 2).min(SELDOM), left - 1),
            }
        }
    }
}
