//! A client's request id has one owner among the processes of a dispatcher, for HTTP and for sessions.
//!
//! Guards against a request that must not run twice and is begun anew by the process of an upgrade that its client
//! reaches when it comes back (review/7).

mod free_address;
#[path = "upgrade/sessions.rs"]
mod sessions;
#[path = "upgrade/setup.rs"]
mod setup;
mod testbed;

use sessions::SessionSetup;
use setup::{request, send_signal, Process, UpgradeSetup};
use std::fs::File;
use std::time::Duration;
use testbed::{Behavior, SessionClient, STREAM_EVENTS};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The numbers of the decode replicas.
const DECODE_REPLICAS: [usize; 2] = [2, 3];
/// The numbers of the prefill replicas.
const PREFILL_REPLICAS: [usize; 2] = [0, 1];
/// How often a request is sent again of which the outcome is not final.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const TIMEOUT: Duration = Duration::from_secs(20);

/// Formats an HTTP request that must not run twice.
fn return_request(id: &str) -> String {
    request(id).replace("status-query", "return-request")
}

/// Counts the attempts at decode replicas, which are those that take effect.
fn decode_attempts(setup: &UpgradeSetup) -> usize {
    let decode_attempts = DECODE_REPLICAS.map(|replica| setup.fleet.attempts_at(replica));
    decode_attempts.iter().sum()
}

fn set_behavior(setup: &UpgradeSetup, replicas: [usize; 2], behavior: Behavior) {
    for replica in replicas {
        setup.fleet.set_behavior(replica, behavior);
    }
}

/// Waits until the replicas together have received this many attempts that take effect.
async fn wait_for_decode_attempts(setup: &UpgradeSetup, count: usize) {
    setup
        .fleet
        .wait_until("attempts at decode replicas", |activity| {
            let attempts = activity.attempts.iter();
            attempts
                .filter(|(replica, _)| DECODE_REPLICAS.contains(replica))
                .count()
                >= count
        })
        .await;
}

async fn send(setup: &UpgradeSetup, text: &str) -> BufReader<TcpStream> {
    let mut connection = setup.connect().await;
    connection.write_all(text.as_bytes()).await.unwrap();
    connection
}

/// Sends a request on a new connection and returns the head of the response.
async fn response_head(setup: &UpgradeSetup, text: &str) -> String {
    let mut connection = send(setup, text).await;
    let mut received = Vec::new();
    while !received.windows(4).any(|window| window == b"\r\n\r\n") {
        let read_bytes = connection.read_buf(&mut received).await.unwrap();
        assert_ne!(read_bytes, 0, "no response");
    }
    String::from_utf8_lossy(&received).into_owned()
}

async fn status(setup: &UpgradeSetup, text: &str) -> String {
    let head = response_head(setup, text).await;
    head[9..12].to_owned()
}

/// Repeats a request until the response has this status.
async fn wait_for_status(setup: &UpgradeSetup, text: &str, expected: &str) {
    let until_expected = async {
        while status(setup, text).await != expected {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, until_expected)
        .await
        .expect("the status");
}

/// Starts a successor, and tells the predecessor to end. From then on new clients reach the successor.
async fn hand_over(setup: &UpgradeSetup, predecessor: &Process) -> Process {
    let successor = setup.start_process().await;
    predecessor.send_sigterm();
    predecessor.wait_for_log("listener closed").await;
    successor
}

/// Sends a request over a session and waits for the first event of its answer.
async fn start_stream(client: &mut SessionClient, id: &str) {
    client.send_request(id, "return-request", 9000).await;
    let (kind, message) = client.receive().await;
    assert_eq!(kind, "event", "{message}");
}

/// Sends a request again over a new session, and returns the type and the text of the final message.
async fn final_message(client: &mut SessionClient, id: &str, class: &str) -> (String, String) {
    client.send_request(id, class, 9000).await;
    client.receive().await
}

#[tokio::test]
async fn http_request_whose_client_left_before_the_first_event_is_not_begun_by_the_successor() {
    let setup = UpgradeSetup::new("claims-http-left").await;
    let predecessor = setup.start_process().await;
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Hang);
    let connection = send(&setup, &return_request("left")).await;
    wait_for_decode_attempts(&setup, 1).await;
    drop(connection);
    let _successor = hand_over(&setup, &predecessor).await;
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Serve);
    assert_eq!(status(&setup, &return_request("left")).await, "409");
    assert_eq!(decode_attempts(&setup), 1);
    assert_eq!(status(&setup, &return_request("another")).await, "200");
}

#[tokio::test]
async fn http_request_that_never_ran_is_begun_by_the_successor() {
    let setup = UpgradeSetup::new("claims-http-waits").await;
    let predecessor = setup.start_process().await;
    set_behavior(&setup, PREFILL_REPLICAS, Behavior::Hang);
    let connection = send(&setup, &return_request("waits")).await;
    setup
        .fleet
        .wait_until("an attempt", |activity| activity.in_flight > 0)
        .await;
    let _successor = hand_over(&setup, &predecessor).await;
    assert_eq!(status(&setup, &return_request("waits")).await, "409");
    drop(connection);
    set_behavior(&setup, PREFILL_REPLICAS, Behavior::Serve);
    wait_for_status(&setup, &return_request("waits"), "200").await;
    assert_eq!(decode_attempts(&setup), 1);
}

#[tokio::test]
async fn http_request_that_streams_or_was_served_is_not_begun_by_the_successor() {
    let setup = UpgradeSetup::new("claims-http-streams").await;
    let predecessor = setup.start_process().await;
    assert_eq!(status(&setup, &return_request("served")).await, "200");
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Pause);
    let stream = setup::OpenStream::start_with(&setup, &return_request("streams")).await;
    let _successor = hand_over(&setup, &predecessor).await;
    assert_eq!(status(&setup, &return_request("served")).await, "409");
    assert_eq!(status(&setup, &return_request("streams")).await, "409");
    setup.fleet.resume.notify_waiters();
    assert!(stream.finish().await.ends_with("0\r\n\r\n"));
    assert_eq!(predecessor.exit_code().await, Some(0));
    // The stream may have ended in either process.
    assert_eq!(status(&setup, &return_request("streams")).await, "409");
    assert_eq!(decode_attempts(&setup), 2);
}

#[tokio::test]
async fn many_http_requests_whose_clients_left_are_not_begun_by_the_successor() {
    const COUNT: usize = 40;
    let setup = UpgradeSetup::new("claims-http-many").await;
    let predecessor = setup.start_process().await;
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Hang);
    let mut connections = Vec::new();
    for number in 0..COUNT {
        connections.push(send(&setup, &return_request(&format!("many-{number}"))).await);
    }
    wait_for_decode_attempts(&setup, COUNT).await;
    drop(connections);
    let _successor = hand_over(&setup, &predecessor).await;
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Serve);
    for number in 0..COUNT {
        let text = return_request(&format!("many-{number}"));
        assert_eq!(status(&setup, &text).await, "409");
    }
    assert_eq!(decode_attempts(&setup), COUNT);
}

#[tokio::test]
async fn http_request_of_a_stopped_predecessor_is_not_begun_by_the_successor() {
    let setup = UpgradeSetup::new("claims-http-stopped").await;
    let predecessor = setup.start_process().await;
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Hang);
    let connection = send(&setup, &return_request("stopped")).await;
    wait_for_decode_attempts(&setup, 1).await;
    let _successor = setup.start_process().await;
    send_signal(predecessor.child.id(), "STOP");
    drop(connection);
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Serve);
    assert_eq!(status(&setup, &return_request("stopped")).await, "409");
    assert_eq!(decode_attempts(&setup), 1);
    assert_eq!(status(&setup, &return_request("new")).await, "200");
}

/// A request that may run again is begun by the successor once the predecessor no longer runs it.
#[tokio::test]
async fn http_requests_of_a_killed_predecessor_are_begun_only_if_they_may_repeat() {
    let setup = UpgradeSetup::new("claims-http-killed").await;
    let predecessor = setup.start_process().await;
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Hang);
    let _once = send(&setup, &return_request("once")).await;
    let _repeatable = send(&setup, &request("repeatable")).await;
    wait_for_decode_attempts(&setup, 2).await;
    let _successor = setup.start_process().await;
    send_signal(predecessor.child.id(), "STOP");
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Serve);
    assert_eq!(status(&setup, &request("repeatable")).await, "409");
    drop(predecessor);
    wait_for_status(&setup, &request("repeatable"), "200").await;
    assert_eq!(status(&setup, &return_request("once")).await, "409");
    assert_eq!(decode_attempts(&setup), 3);
}

#[tokio::test]
async fn http_request_of_a_successor_that_is_taken_back_is_not_begun_by_the_predecessor() {
    let setup = UpgradeSetup::new("claims-http-taken-back").await;
    let predecessor = setup.start_process().await;
    let successor = setup.start_process().await;
    send_signal(predecessor.child.id(), "STOP");
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Hang);
    let connection = send(&setup, &return_request("taken-back")).await;
    wait_for_decode_attempts(&setup, 1).await;
    drop(connection);
    drop(successor);
    send_signal(predecessor.child.id(), "CONT");
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Serve);
    assert_eq!(status(&setup, &return_request("taken-back")).await, "409");
    assert_eq!(decode_attempts(&setup), 1);
}

/// Starts two more processes while the first one, which has the request, still lives.
#[tokio::test]
async fn http_request_is_not_begun_in_a_second_upgrade() {
    let setup = UpgradeSetup::new("claims-http-series").await;
    let first = setup.start_process().await;
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Hang);
    let _connection = send(&setup, &return_request("series")).await;
    wait_for_decode_attempts(&setup, 1).await;
    let second = hand_over(&setup, &first).await;
    let _third = hand_over(&setup, &second).await;
    set_behavior(&setup, DECODE_REPLICAS, Behavior::Serve);
    assert_eq!(status(&setup, &return_request("series")).await, "409");
    assert_eq!(decode_attempts(&setup), 1);
}

/// A process of the version before has no record of its requests. The test has the announcement of one.
#[tokio::test]
async fn requests_that_must_not_run_twice_wait_for_the_end_of_a_process_without_record() {
    let setup = UpgradeSetup::new("claims-version-before").await;
    let _process = setup.start_process().await;
    assert_eq!(status(&setup, &return_request("alone")).await, "200");
    let entries = std::fs::read_dir(&setup.shared_folder).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let own_name = names
        .into_iter()
        .find(|name| name.ends_with(".notice"))
        .unwrap();
    let prefix = &own_name[.."quartzhall-".len() + 16];
    let announcement = setup
        .shared_folder
        .join(format!("{prefix}-{:020}-1.notice", 5));
    let file = File::create(&announcement).unwrap();
    file.try_lock().unwrap();
    std::fs::write(&announcement, format!("1 {:020} leaving  08\n", 5)).unwrap();
    // Each request has an id of its own, as those that are begun before the process is seen keep theirs.
    let mut numbers = 0..;
    let mut next_request = || return_request(&format!("beside-{}", numbers.next().unwrap()));
    let until_refused = async {
        loop {
            let head = response_head(&setup, &next_request()).await;
            if head.starts_with("HTTP/1.1 503") {
                return head.to_ascii_lowercase();
            }
        }
    };
    let head = tokio::time::timeout(TIMEOUT, until_refused).await.unwrap();
    assert!(head.contains("retry-after: 0.500"), "{head}");
    assert_eq!(status(&setup, &request("may-repeat")).await, "200");
    drop(file);
    wait_for_status(&setup, &return_request("after"), "200").await;
}

#[tokio::test]
async fn session_request_that_streams_at_the_predecessor_does_not_run_twice() {
    let setup = SessionSetup::new("claims-session-streams").await;
    let predecessor = setup.upgrade.start_process().await;
    set_behavior(&setup.upgrade, DECODE_REPLICAS, Behavior::Pause);
    let mut client = setup.connect().await;
    start_stream(&mut client, "streams").await;
    let _successor = hand_over(&setup.upgrade, &predecessor).await;
    drop(client);
    // The terminal's socket drops twice.
    let mut client = setup.connect().await;
    client.send_request("streams", "return-request", 9000).await;
    drop(client);
    let mut client = setup.connect().await;
    let (kind, message) = final_message(&mut client, "streams", "return-request").await;
    assert_eq!(kind, "failed", "{message}");
    assert_eq!(decode_attempts(&setup.upgrade), 1);
}

#[tokio::test]
async fn session_requests_before_their_first_event_do_not_run_twice() {
    const COUNT: usize = 20;
    let setup = SessionSetup::new("claims-session-many").await;
    let predecessor = setup.upgrade.start_process().await;
    set_behavior(&setup.upgrade, DECODE_REPLICAS, Behavior::Hang);
    let ids: Vec<String> = (0..COUNT).map(|number| format!("many-{number}")).collect();
    let mut client = setup.connect().await;
    for id in &ids {
        client.send_request(id, "return-request", 9000).await;
    }
    wait_for_decode_attempts(&setup.upgrade, COUNT).await;
    let _successor = hand_over(&setup.upgrade, &predecessor).await;
    set_behavior(&setup.upgrade, DECODE_REPLICAS, Behavior::Serve);
    drop(client);
    let mut client = setup.connect().await;
    for id in &ids {
        client.send_request(id, "return-request", 9000).await;
    }
    for _ in &ids {
        let (kind, message) = client.receive().await;
        assert_eq!(kind, "failed", "{message}");
    }
    assert_eq!(decode_attempts(&setup.upgrade), COUNT);
}

/// The predecessor gives the request up before the upgrade begins.
#[tokio::test]
async fn session_request_that_ended_while_its_terminal_was_away_does_not_run_twice() {
    let setup = SessionSetup::new("claims-session-away").await;
    let predecessor = setup.upgrade.start_process().await;
    set_behavior(&setup.upgrade, DECODE_REPLICAS, Behavior::Pause);
    let mut client = setup.connect().await;
    start_stream(&mut client, "away").await;
    drop(client);
    let has_ended = |activity: &testbed::ReplicaActivity| activity.in_flight == 0;
    setup.upgrade.fleet.wait_until("the end", has_ended).await;
    let _successor = hand_over(&setup.upgrade, &predecessor).await;
    set_behavior(&setup.upgrade, DECODE_REPLICAS, Behavior::Serve);
    let mut client = setup.connect().await;
    let (kind, message) = final_message(&mut client, "away", "return-request").await;
    assert_eq!(kind, "failed", "{message}");
    assert_eq!(decode_attempts(&setup.upgrade), 1);
}

#[tokio::test]
async fn session_request_that_waits_at_the_predecessor_is_served_once_by_the_successor() {
    let setup = SessionSetup::new("claims-session-waits").await;
    let predecessor = setup.upgrade.start_process().await;
    set_behavior(&setup.upgrade, PREFILL_REPLICAS, Behavior::Hang);
    let mut client = setup.connect().await;
    client.send_request("waits", "return-request", 9000).await;
    let is_in_flight = |activity: &testbed::ReplicaActivity| activity.in_flight > 0;
    setup
        .upgrade
        .fleet
        .wait_until("an attempt", is_in_flight)
        .await;
    let _successor = hand_over(&setup.upgrade, &predecessor).await;
    set_behavior(&setup.upgrade, PREFILL_REPLICAS, Behavior::Serve);
    drop(client);
    let mut client = setup.connect().await;
    client.send_request("waits", "return-request", 9000).await;
    let (kind, text) = client.receive_response("waits").await;
    assert_eq!((kind.as_str(), text), ("served", STREAM_EVENTS.concat()));
    assert_eq!(decode_attempts(&setup.upgrade), 1);
}

#[tokio::test]
async fn session_request_that_was_served_by_the_predecessor_is_told_so_by_the_successor() {
    let setup = SessionSetup::new("claims-session-served").await;
    let predecessor = setup.upgrade.start_process().await;
    let mut client = setup.connect().await;
    client.send_request("served", "return-request", 9000).await;
    assert_eq!(client.receive_response("served").await.0, "served");
    let _successor = hand_over(&setup.upgrade, &predecessor).await;
    drop(client);
    assert_eq!(predecessor.exit_code().await, Some(0));
    let mut client = setup.connect().await;
    let (kind, message) = final_message(&mut client, "served", "return-request").await;
    assert_eq!(kind, "served", "{message}");
    assert!(message.contains(r#""recorded":true"#) && message.contains(r#""whole":false"#));
    assert_eq!(decode_attempts(&setup.upgrade), 1);
}

/// The wait for a process that is stopped ends at the request's deadline.
#[tokio::test]
async fn session_request_of_a_stopped_predecessor_fails_at_its_deadline() {
    let setup = SessionSetup::new("claims-session-stopped").await;
    let predecessor = setup.upgrade.start_process().await;
    set_behavior(&setup.upgrade, DECODE_REPLICAS, Behavior::Pause);
    let mut client = setup.connect().await;
    start_stream(&mut client, "stopped").await;
    let _successor = hand_over(&setup.upgrade, &predecessor).await;
    send_signal(predecessor.child.id(), "STOP");
    drop(client);
    let mut client = setup.connect().await;
    client.send_request("stopped", "return-request", 300).await;
    let (kind, message) = client.receive().await;
    assert_eq!(kind, "failed", "{message}");
    set_behavior(&setup.upgrade, DECODE_REPLICAS, Behavior::Serve);
    client.send_request("new", "return-request", 9000).await;
    assert_eq!(client.receive_response("new").await.0, "served");
    assert_eq!(decode_attempts(&setup.upgrade), 2);
}

#[tokio::test]
async fn session_requests_of_a_killed_predecessor_run_again_only_if_they_may_repeat() {
    let setup = SessionSetup::new("claims-session-killed").await;
    let predecessor = setup.upgrade.start_process().await;
    set_behavior(&setup.upgrade, DECODE_REPLICAS, Behavior::Pause);
    let mut client = setup.connect().await;
    start_stream(&mut client, "once").await;
    client
        .send_request("repeatable", "status-query", 9000)
        .await;
    assert_eq!(client.receive().await.0, "event");
    drop(predecessor);
    let _restarted = setup.upgrade.start_process().await;
    set_behavior(&setup.upgrade, DECODE_REPLICAS, Behavior::Serve);
    let mut client = setup.connect().await;
    let (kind, message) = final_message(&mut client, "once", "return-request").await;
    assert_eq!(kind, "failed", "{message}");
    client
        .send_request("repeatable", "status-query", 9000)
        .await;
    assert_eq!(client.receive_response("repeatable").await.0, "served");
    assert_eq!(decode_attempts(&setup.upgrade), 3);
}
