//! The configuration file, read again at SIGHUP while the dispatcher serves.
//!
//! Only `discovery` is followed. All else was settled at the start: listeners, limits and settings bind tables
//! and connections that are in use, and stay as they are until a restart.

use crate::settings::{Config, Site};
use slog::{info, warn, Logger};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// A file that can't be used, because it is half-written as like as not, is read again after this ...
const AGAIN: Duration = Duration::from_millis(100);
/// ... and less and less often while it stays so, down to once in this.
const SELDOM: Duration = Duration::from_secs(1);

fn read(file: &Path) -> Result<Config, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    let config = Config::parse(&text)?;
    // Settings that make no sense tell of a file that is not what its writer meant.
    Site::new(&config.settings)?;
    Ok(config)
}

/// Tells the address of discovery anew after each SIGHUP. A bad file is logged in one line, the old address
/// holds, and the file is read again shortly.
pub async fn run(file: PathBuf, mut hangup: Signal, discovery: watch::Sender<String>, log: Logger) {
    while hangup.recv().await.is_some() {
        let mut pause = AGAIN;
        let mut logged = false;
        let config = loop {
            match read(&file) {
                Ok(config) => break config,
                Err(error) if !logged => {
                    warn!(log, "the configuration can't be used: the old one holds"; "error" => error);
                    logged = true;
                }
                Err(_) => {}
            }
            sleep(pause).await;
            pause = (pause * 2).min(SELDOM);
        };
        info!(log, "the configuration was read again"; "discovery" => &config.discovery);
        discovery.send_if_modified(|old| {
            let new = config.discovery != *old;
            *old = config.discovery;
            new
        });
    }
}
