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

use setup::{request, send_signal, OpenStream, Process, UpgradeSetup};
use testbed::Behavior;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The decode endpoints pause behind the first event until the test lets them go on.
async fn setup_with_pausing_endpoints(name: &str) -> UpgradeSetup {
    let setup = UpgradeSetup::new(name).await;
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

/// Ends a process that has a successor: it exits at once, as all its streams move.
async fn upgrade_away(process: Process) {
    process.send_sigterm();
    assert_eq!(process.exit_code().await, Some(0));
}

async fn assert_whole(setup: &UpgradeSetup, streams: Vec<OpenStream>) {
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

/// A client sends its next request while the stream still comes. Whichever process has the connection then answers it, on
/// that connection: the client was not told that it ends.
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
        upgrade_away(current).await;
        current = successor;
    }
    setup.fleet.resume.notify_waiters();
    let mut response = stream.finish_connected().await;
    assert!(response.text().ends_with("0\r\n\r\n"));
    response.received.clear();
    let both_responses = async {
        while !response.text().contains(testbed::STREAM_EVENTS[0]) {
            let read_bytes = response.connection.read_buf(&mut response.received).await;
            assert_ne!(read_bytes.unwrap(), 0, "{}", response.text());
        }
        setup.fleet.resume.notify_waiters();
        response.finish().await
    };
    let second = tokio::time::timeout(std::time::Duration::from_secs(20), both_responses)
        .await
        .expect("the second response");
    assert!(
        second.starts_with("HTTP/1.1 200") && second.ends_with("0\r\n\r\n"),
        "{second}"
    );
}

/// The process is told to end before its successor has started.
#[tokio::test]
async fn streams_migrate_to_a_process_that_starts_after_the_signal() {
    let setup = setup_with_pausing_endpoints("late").await;
    let predecessor = setup.start_process().await;
    let streams = start_streams(&setup, 4).await;
    predecessor.send_sigterm();
    predecessor.wait_for_log("listener closed").await;
    let _successor = setup.start_process().await;
    assert_eq!(predecessor.exit_code().await, Some(0));
    assert_whole(&setup, streams).await;
}

/// The newer process is told to end, and the older one goes on to serve: what the newer one has goes to it.
#[tokio::test]
async fn streams_migrate_back_when_an_upgrade_is_taken_back() {
    let setup = setup_with_pausing_endpoints("back").await;
    let first = setup.start_process().await;
    let streams = start_streams(&setup, 4).await;
    let second = setup.start_process().await;
    let third = setup.start_process().await;
    first.send_sigterm();
    assert_eq!(first.exit_code().await, Some(0));
    upgrade_away(third).await;
    assert_whole(&setup, streams).await;
    drop(second);
}

/// Both processes are told to end at once, the older one twice: each finishes what it has.
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
    assert_whole(&setup, streams).await;
    assert_eq!(first.exit_code().await, Some(0));
    assert_eq!(second.exit_code().await, Some(0));
}

/// The successor stands still while it is offered the streams: they go on in the process that has them, and migrate
/// once it runs again.
#[tokio::test]
async fn streams_go_on_here_while_the_successor_stands_still() {
    let setup = setup_with_pausing_endpoints("stopped").await;
    let predecessor = setup.start_process().await;
    let finished_here = start_streams(&setup, 4).await;
    let successor = setup.start_process().await;
    send_signal(successor.child.id(), "STOP");
    predecessor.send_sigterm();
    predecessor.wait_for_log("not accepted in time").await;
    assert_whole(&setup, finished_here).await;
    send_signal(successor.child.id(), "CONT");
    assert_eq!(predecessor.exit_code().await, Some(0));
}

/// The successor knows no endpoints and never serves. Shortly before the predecessor may be killed its streams go there all
/// the same: they need no endpoint list.
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
    assert_whole(&setup, streams).await;
}

/// The folder in which processes find each other is not there for a moment at the start.
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
    upgrade_away(process).await;
    assert_whole(&setup, streams).await;
}

/// A client of HTTP/1.0 gets its stream without chunks, which no other process could go on with.
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
    assert!(!has_log_of_a_migration(&setup));
}

fn has_log_of_a_migration(setup: &UpgradeSetup) -> bool {
    let entries = std::fs::read_dir(&setup.folder).unwrap();
    let mut logs = entries.filter_map(|entry| std::fs::read_to_string(entry.unwrap().path()).ok());
    logs.any(|log| log.contains("stream migrated"))
}
