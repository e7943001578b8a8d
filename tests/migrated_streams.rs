//! Incident of 3 December: streams that had moved to a new process of an upgrade were cut by the next upgrade.
//!
//! Seen: ten live streams broke at the end of the process that had received them, half a second after SIGTERM to it and
//! over three seconds before the earliest kill, while their endpoints were still writing and their clients waited.
//! How: two upgrades within the life of a stream. The first moved it; the second ended the process that had received it.
//! Cause: a received stream was forwarded by a detached task. Neither the connections and requests that the shutdown waits
//! for nor the migration of streams knew of it, so that the process took itself for idle and exited.
//! Proof: the process exits with 0 while a stream that it has received is open, and logs unfinished work.

mod free_address;
#[path = "upgrade/setup.rs"]
mod setup;
mod testbed;

use setup::{OpenStream, Process, UpgradeSetup};
use testbed::Way;

/// The decode endpoints pause behind the first event until the test lets them go on.
async fn setup_with_pausing_endpoints(name: &str) -> UpgradeSetup {
    let setup = UpgradeSetup::new(name).await;
    for decode_endpoint in 2..4 {
        setup.fleet.way(decode_endpoint, Way::Pause);
    }
    setup
}

async fn start_streams(setup: &UpgradeSetup, count: usize) -> Vec<OpenStream> {
    let mut streams = Vec::new();
    for number in 0..count {
        streams.push(OpenStream::start(setup, &format!("stream-{number}")).await);
    }
    streams
}

/// Ends a process that has a successor: it exits at once, as all its streams move.
async fn upgrade_away(process: Process) {
    process.send_sigterm();
    assert_eq!(process.exit_code().await, Some(0));
}

async fn assert_whole(setup: &UpgradeSetup, streams: Vec<OpenStream>) {
    setup.fleet.go.notify_waiters();
    for stream in streams {
        let response = stream.finish().await;
        let has_all_events = testbed::ANSWER
            .iter()
            .all(|event| response.matches(event).count() == 1);
        assert!(
            has_all_events && response.ends_with("0\r\n\r\n"),
            "{response}"
        );
    }
}

/// Each process but the last is told to end as soon as the next one serves, and has ended before the streams go on.
#[tokio::test]
async fn streams_migrate_with_each_upgrade() {
    let setup = setup_with_pausing_endpoints("series").await;
    let mut current = setup.start_process().await;
    let streams = start_streams(&setup, 8).await;
    for _ in 0..3 {
        let successor = setup.start_process().await;
        upgrade_away(current).await;
        current = successor;
    }
    assert_whole(&setup, streams).await;
    current.send_sigterm();
    assert_eq!(current.exit_code().await, Some(0));
}

/// The process that received the streams is told to end and has no successor: it stays until they are complete.
#[tokio::test]
async fn received_streams_are_finished_by_a_process_without_a_successor() {
    let setup = setup_with_pausing_endpoints("last").await;
    let predecessor = setup.start_process().await;
    let streams = start_streams(&setup, 4).await;
    let successor = setup.start_process().await;
    upgrade_away(predecessor).await;
    successor.send_sigterm();
    // Draining closes the listener half a second later; what is idle ends with that.
    successor.wait_for_log("listener closed").await;
    assert_whole(&setup, streams).await;
    assert_eq!(successor.exit_code().await, Some(0));
}
