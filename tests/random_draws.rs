//! Random choices that endpoints and discovery can see: processes of one configuration make different ones.
//!
//! Guards against processes that choose alike because all their random numbers follow from the configuration's seed.
//! Such processes call discovery in step when it fails, and sample the same endpoints.

mod free_address;
#[path = "upgrade/setup.rs"]
mod setup;
mod testbed;

use setup::{Process, UpgradeSetup};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LOG_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of delays that are compared. That independent ones are all equal, in milliseconds, is out of question.
const DELAYS: usize = 8;

/// Starts a discovery service that rejects every call, and returns its address.
async fn start_failing_discovery() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let response = b"HTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            let mut request = [0; 4096];
            let _ = connection.read(&mut request).await;
            let _ = connection.write_all(response).await;
        }
    });
    address
}

/// Returns the values of a field of the process's log once there are at least `count` of them.
async fn log_values(process: &Process, field: &str, count: usize) -> Vec<String> {
    let prefix = format!("{field}: ");
    let until_logged = async {
        loop {
            let log = process.log();
            // Only whole lines: the last one may still be written.
            let whole_lines = log.rsplit_once('\n').map_or("", |(lines, _)| lines);
            let values: Vec<String> = whole_lines
                .lines()
                .filter_map(|line| line.split_once(&prefix))
                .map(|(_, rest)| rest.split(',').next().unwrap_or_default().to_owned())
                .collect();
            if values.len() >= count {
                return values[..count].to_vec();
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(LOG_TIMEOUT, until_logged)
        .await
        .unwrap_or_else(|_| panic!("{field} not logged {count} times: {}", process.log()))
}

#[tokio::test]
async fn processes_of_one_configuration_call_failing_discovery_at_different_times() {
    let mut setup = UpgradeSetup::new("discovery-draws").await;
    setup.discovery_address = start_failing_discovery().await;
    setup.arguments = vec!["--log".into(), "debug".into()];
    let processes = [setup.spawn_process().await, setup.spawn_process().await];
    let first = log_values(&processes[0], "retry_in_ms", DELAYS).await;
    let second = log_values(&processes[1], "retry_in_ms", DELAYS).await;
    assert_ne!(first, second);
}

#[tokio::test]
async fn processes_of_one_configuration_have_routers_with_different_seeds() {
    let setup = UpgradeSetup::new("routing-draws").await;
    let predecessor = setup.start_process().await;
    let successor = setup.start_process().await;
    let first = log_values(&predecessor, "routing_seed", 1).await;
    let second = log_values(&successor, "routing_seed", 1).await;
    assert_ne!(first, second);
    // A crash, and a start with the same configuration.
    drop(predecessor);
    let restarted = setup.start_process().await;
    let third = log_values(&restarted, "routing_seed", 1).await;
    assert!(third != first && third != second, "{third:?}");
}
