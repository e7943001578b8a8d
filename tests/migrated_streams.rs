//! Streams that have migrated once must survive the next upgrade as well (incident of 3 December).
//!
//! Guards against a process that exits while streams that it has received are still open. A received stream used to be
//! forwarded by a detached task, which neither the shutdown nor the migration of streams knew of. In a second upgrade
//! within the life of a stream the process considered itself idle: it exited with status 0, half a second after SIGTERM
//! and over three seconds before the earliest kill, logged unfinished work, and cut the streams.

mod free_address;
#[path = "upgrade/setup.rs"]
mod setup;
mod testbed;

use setup::{request, send_signal, OpenStream, Process, UpgradeSetup};
use testbed::Behavior;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Creates a setup whose decode endpoints pause after the first event until the test resumes them.
async fn setup_with_pausing_endpoints(test_name: &str) -> UpgradeSetup {
    let setup = UpgradeSetup::new(test_name).await;
    for decode_endpoint in 2..4 {
        setup.fleet.set_behavior(decode_endpoint, Behavior::Pause);
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

/// Terminates a process that has a successor: it exits without waiting for its streams, as all of them migrate.
async fn terminate_after_migration(process: Process) {
    process.send_sigterm();
    assert_eq!(process.exit_code().await, Some(0));
}

/// Resumes the endpoints and asserts that each stream is complete, with every event once.
async fn assert_complete(setup: &UpgradeSetup, streams: Vec<OpenStream>) {
    setup.fleet.resume.notify_waiters();
    for stream in streams {
        let response = stream.finish().await;
        let has_all_events = testbed::STREAM_EVENTS
            .iter()
            .all(|event| response.matches(event).count() == 1);
        assert!(
            has_all_events && response.ends_with("0\r\n\r\n"),
            "{response}"
        );
    }
}

/// Each process but the last gets SIGTERM as soon as its successor serves, and has exited before the streams resume.
#[tokio::test]
async fn streams_migrate_with_each_upgrade() {
    let setup = setup_with_pausing_endpoints("series").await;
    let mut current = setup.start_process().await;
    let streams = start_streams(&setup, 8).await;
    for _ in 0..3 {
        let successor = setup.start_process().await;
        terminate_after_migration(current).await;
        current = successor;
    }
    assert_complete(&setup, streams).await;
    current.send_sigterm();
    assert_eq!(current.exit_code().await, Some(0));
}

/// The process that has received the streams gets SIGTERM and has no successor: it runs until they are complete.
#[tokio::test]
async fn received_streams_are_finished_by_a_process_without_a_successor() {
    let setup = setup_with_pausing_endpoints("last").await;
    let predecessor = setup.start_process().await;
    let streams = start_streams(&setup, 4).await;
    let successor = setup.start_process().await;
    terminate_after_migration(predecessor).await;
    successor.send_sigterm();
    // The listener closes half a second after SIGTERM. A process that considers itself idle exits then.
    successor.wait_for_log("listener closed").await;
    assert_complete(&setup, streams).await;
    assert_eq!(successor.exit_code().await, Some(0));
}

/// A client sends its next request while it still receives the stream. The process that has the connection when the
/// stream ends serves that request on the same connection, as the client was not told that the connection is closed.
#[tokio::test]
async fn request_sent_behind_a_migrating_stream_is_answered() {
    let setup = setup_with_pausing_endpoints("pipelined").await;
    let mut current = setup.start_process().await;
    let mut stream = OpenStream::start(&setup, "first").await;
    let next_request = request("second");
    let (read_by_first, read_by_second) = next_request.split_at(next_request.len() / 2);
    for part in [read_by_first, read_by_second] {
        stream.connection.write_all(part.as_bytes()).await.unwrap();
        let successor = setup.start_process().await;
        terminate_after_migration(current).await;
        current = successor;
    }
    setup.fleet.resume.notify_waiters();
    let mut response = stream.finish_connected().await;
    assert!(response.text().ends_with("0\r\n\r\n"));
    response.received.clear();
    let read_second_response = async {
        while !response.text().contains(testbed::STREAM_EVENTS[0]) {
            let read_bytes = response.connection.read_buf(&mut response.received).await;
            assert_ne!(read_bytes.unwrap(), 0, "{}", response.text());
        }
        setup.fleet.resume.notify_waiters();
        response.finish().await
    };
    let second = tokio::time::timeout(std::time::Duration::from_secs(20), read_second_response)
        .await
        .expect("the second response");
    assert!(
        second.starts_with("HTTP/1.1 200") && second.ends_with("0\r\n\r\n"),
        "{second}"
    );
}

/// The process gets SIGTERM before its successor has started.
#[tokio::test]
async fn streams_migrate_to_a_process_that_starts_after_the_signal() {
    let setup = setup_with_pausing_endpoints("late").await;
    let predecessor = setup.start_process().await;
    let streams = start_streams(&setup, 4).await;
    predecessor.send_sigterm();
    predecessor.wait_for_log("listener closed").await;
    let _successor = setup.start_process().await;
    assert_eq!(predecessor.exit_code().await, Some(0));
    assert_complete(&setup, streams).await;
}

/// An upgrade is rolled back: the newest process gets SIGTERM, and its streams migrate to the older one, which serves.
#[tokio::test]
async fn streams_migrate_back_when_an_upgrade_is_taken_back() {
    let setup = setup_with_pausing_endpoints("back").await;
    let first = setup.start_process().await;
    let streams = start_streams(&setup, 4).await;
    let second = setup.start_process().await;
    let third = setup.start_process().await;
    first.send_sigterm();
    assert_eq!(first.exit_code().await, Some(0));
    terminate_after_migration(third).await;
    assert_complete(&setup, streams).await;
    drop(second);
}

/// Both processes get SIGTERM at the same time, the older one twice. Each finishes its own streams.
#[tokio::test]
async fn streams_are_finished_by_processes_that_all_are_told_to_end() {
    let setup = setup_with_pausing_endpoints("both").await;
    let first = setup.start_process().await;
    let second = setup.start_process().await;
    let streams = start_streams(&setup, 8).await;
    for process in [&first, &second, &first] {
        process.send_sigterm();
    }
    first.wait_for_log("listener closed").await;
    second.wait_for_log("listener closed").await;
    assert_complete(&setup, streams).await;
    assert_eq!(first.exit_code().await, Some(0));
    assert_eq!(second.exit_code().await, Some(0));
}

/// SIGSTOP has stopped the successor when the streams are sent to it. They continue in the predecessor, which exits
/// when they are complete.
#[tokio::test]
async fn streams_continue_here_while_the_successor_is_stopped() {
    let setup = setup_with_pausing_endpoints("stopped").await;
    let predecessor = setup.start_process().await;
    let streams = start_streams(&setup, 4).await;
    let successor = setup.start_process().await;
    send_signal(successor.child.id(), "STOP");
    predecessor.send_sigterm();
    predecessor.wait_for_log("not accepted in time").await;
    assert_complete(&setup, streams).await;
    send_signal(successor.child.id(), "CONT");
    assert_eq!(predecessor.exit_code().await, Some(0));
}

/// The successor has no endpoint list and never serves. The streams still migrate to it shortly before the predecessor
/// may be killed, as they need no endpoint list.
#[tokio::test]
async fn streams_migrate_to_a_process_that_never_serves_rather_than_be_cut() {
    let mut setup = setup_with_pausing_endpoints("unready").await;
    let predecessor = setup.start_process().await;
    let streams = start_streams(&setup, 4).await;
    setup.discovery_address = "127.0.0.1:1".to_owned();
    let successor = setup.spawn_process().await;
    successor.wait_for_log("starting, tasks").await;
    predecessor.send_sigterm();
    assert_eq!(predecessor.exit_code().await, Some(0));
    assert_complete(&setup, streams).await;
}

/// The folder in which processes find each other does not exist yet when the process starts.
#[tokio::test]
async fn process_is_announced_once_its_folder_can_be_used() {
    let mut setup = setup_with_pausing_endpoints("folder").await;
    setup.shared_folder = setup.folder.join("later");
    let process = setup.spawn_process().await;
    process.wait_for_log("stage: listening").await;
    std::fs::create_dir(&setup.shared_folder).unwrap();
    process.wait_until_ready().await;
    let streams = start_streams(&setup, 4).await;
    let _successor = setup.start_process().await;
    terminate_after_migration(process).await;
    assert_complete(&setup, streams).await;
}

/// An HTTP/1.0 client gets its stream without chunked encoding. Such a stream can't migrate.
#[tokio::test]
async fn stream_without_chunks_stays_where_it_began() {
    let setup = setup_with_pausing_endpoints("old-client").await;
    let predecessor = setup.start_process().await;
    let request = request("old").replace("HTTP/1.1", "HTTP/1.0");
    let stream = OpenStream::start_with(&setup, &request).await;
    let _successor = setup.start_process().await;
    predecessor.send_sigterm();
    predecessor.wait_for_log("listener closed").await;
    setup.fleet.resume.notify_waiters();
    let response = stream.finish().await;
    assert!(
        response.ends_with(&testbed::STREAM_EVENTS.concat()),
        "{response}"
    );
    assert_eq!(predecessor.exit_code().await, Some(0));
    assert!(!has_logged_migration(&setup));
}

fn has_logged_migration(setup: &UpgradeSetup) -> bool {
    let entries = std::fs::read_dir(&setup.folder).unwrap();
    let mut logs = entries.filter_map(|entry| std::fs::read_to_string(entry.unwrap().path()).ok());
    logs.any(|log| log.contains("stream migrated"))
}
