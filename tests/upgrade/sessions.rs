// Each test program uses a part of this module.
#![allow(dead_code)]

//! Processes of the program that also serve sessions, all on one address.

use super::free_address::free_address;
use super::setup::{Process, UpgradeSetup};
use super::testbed::SessionClient;
use std::time::Duration;

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Processes with one configuration, whose session listener has this address.
pub(crate) struct SessionSetup {
    pub upgrade: UpgradeSetup,
    pub session_address: String,
}

impl SessionSetup {
    pub(crate) async fn new(test_name: &str) -> SessionSetup {
        let mut upgrade = UpgradeSetup::new(test_name).await;
        let session_address = free_address();
        let file = upgrade.folder.join("websocket.json");
        std::fs::write(&file, format!(r#"{{"listen":"{session_address}"}}"#)).unwrap();
        upgrade.arguments = vec!["--websocket".into(), file.to_str().unwrap().into()];
        SessionSetup {
            upgrade,
            session_address,
        }
    }

    /// Opens a session with the process that listens, as soon as one does.
    pub(crate) async fn connect(&self) -> SessionClient {
        let connect = async {
            loop {
                if let Some(client) = SessionClient::try_connect(&self.session_address).await {
                    return client;
                }
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(START_TIMEOUT, connect)
            .await
            .expect("a session")
    }

    /// Kills a process, as a crash does, and starts another one with the same configuration.
    pub(crate) async fn restart(&self, process: Process) -> Process {
        drop(process);
        self.upgrade.start_process().await
    }
}
