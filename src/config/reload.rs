//! The reload task: reads the configuration file again on each SIGHUP while the dispatcher serves.
//!
//! A file is applied as a whole or not at all: it must have all settings that the running configuration has. The core
//! gets its `settings`, and the discovery task switches to a changed `discovery` address. Listeners, `limits`, the zone
//! and the machine types don't change until a restart. The task owns the text of the running configuration.

use super::{Config, ConfigError, Deployment};
use crate::dispatcher::DispatcherHandle;
use slog::{info, warn, Logger};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// The delay before the first retry. A rejected file is read again because it may be half-written.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest delay between retries; the delay doubles with each retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How often the file is read after one SIGHUP before the task gives up until the next one.
const MAX_READS: usize = 10;

/// Why a reload was not applied.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    ReadFile(std::io::Error),
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The core has rejected the settings.
    #[error("{0}")]
    Rejected(String),
    #[error("the dispatcher ends")]
    ShuttingDown,
}

/// The retry state after one SIGHUP.
struct Retries {
    delay: Duration,
    reads_left: usize,
    /// The text of the last logged error; a retry with the same error isn't logged.
    logged_error: String,
}

impl Retries {
    fn new() -> Self {
        Retries {
            delay: INITIAL_RETRY_DELAY,
            reads_left: MAX_READS,
            logged_error: String::new(),
        }
    }

    fn back_off(&mut self) {
        self.delay = (self.delay * 2).min(MAX_RETRY_DELAY);
        self.reads_left -= 1;
    }
}

/// Reads the file and applies it. Returns its text, which is now the text of the running configuration.
async fn apply_file(
    file: &Path,
    running: &str,
    dispatcher: &DispatcherHandle,
    discovery: &watch::Sender<String>,
) -> Result<String, ReloadError> {
    let text = std::fs::read_to_string(file).map_err(ReloadError::ReadFile)?;
    let config = Config::parse_next(running, &text)?;
    let deployment = Deployment::new(&config.settings)?;
    let Some(applied) = dispatcher.apply_settings(deployment).await else {
        return Err(ReloadError::ShuttingDown);
    };
    applied.map_err(|error| ReloadError::Rejected(error.to_string()))?;
    discovery.send_if_modified(|address| {
        let is_new = config.discovery != *address;
        *address = config.discovery;
        is_new
    });
    Ok(text)
}

/// Reloads the file after each SIGHUP, until the signal stream ends. An invalid file is logged in one line and changes
/// nothing. It is read again with growing delays, or at once when the next SIGHUP arrives.
///
/// `running` is the text of the running configuration; a new discovery address is sent on `discovery`.
pub async fn run(
    file: PathBuf,
    mut running: String,
    mut hangup: Signal,
    dispatcher: DispatcherHandle,
    discovery: watch::Sender<String>,
    log: Logger,
) {
    while hangup.recv().await.is_some() {
        let mut retries = Retries::new();
        while retries.reads_left > 0 {
            match apply_file(&file, &running, &dispatcher, &discovery).await {
                Ok(text) => {
                    info!(log, "configuration reloaded"; "discovery" => discovery.borrow().clone());
                    running = text;
                    break;
                }
                Err(error) => {
                    let error = error.to_string();
                    if error != retries.logged_error {
                        warn!(log, "configuration rejected"; "error" => &error);
                        retries.logged_error = error;
                    }
                }
            }
            tokio::select! {
                biased;
                Some(()) = hangup.recv() => retries = Retries::new(),
                () = sleep(retries.delay) => retries.back_off(),
            }
        }
    }
}
