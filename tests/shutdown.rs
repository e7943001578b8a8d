//! Requests that end arriving late in a shutdown, at real processes with and without another process that serves.
//!
//! Guards against a stream that begins so late that the kill cuts it (review/2). Such a request used to be admitted up to
//! the kill.

mod free_address;
#[path = "upgrade/setup.rs"]
mod setup;
mod testbed;

use setup::{request, send_request, OpenStream, Process, UpgradeSetup};
use testbed::Behavior;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The log line of the moment from which on late requests are refused.
const ADMISSION_ENDED: &str = "admission ended";

/// Returns a connection that the only process has accepted and served a request on.
async fn connect(setup: &UpgradeSetup) -> BufReader<TcpStream> {
    let mut connection = setup.connect().await;
    let response = send_request(&mut connection, "first").await.unwrap();
    assert_eq!(response.status, 200);
    connection
}

/// Sends all of a request but its last byte, terminates the process, and sends the last byte once admission has ended.
async fn send_over_shutdown(
    connection: &mut BufReader<TcpStream>,
    process: &Process,
    request: &str,
) {
    let (first, last) = request.split_at(request.len() - 1);
    connection.write_all(first.as_bytes()).await.unwrap();
    process.send_sigterm();
    process.wait_for_log(ADMISSION_ENDED).await;
    connection.write_all(last.as_bytes()).await.unwrap();
}

#[tokio::test]
async fn late_request_is_refused_where_no_other_process_serves() {
    let setup = UpgradeSetup::new("late-alone").await;
    let process = setup.start_process().await;
    let mut connection = connect(&setup).await;
    let attempts = setup.attempt_count();
    send_over_shutdown(&mut connection, &process, &request("late")).await;
    let mut response = String::new();
    connection.read_to_string(&mut response).await.unwrap();
    assert!(
        response.starts_with("HTTP/1.1 503") && response.contains("retry-after: 0.000"),
        "{response}"
    );
    assert_eq!(setup.attempt_count(), attempts, "the request never ran");
    process.wait_for_log("reason: ShuttingDown").await;
    assert_eq!(process.exit_code().await, Some(0));
}

#[tokio::test]
async fn late_request_is_served_and_its_stream_migrates_where_another_process_serves() {
    let setup = UpgradeSetup::new("late-upgrade").await;
    let predecessor = setup.start_process().await;
    let mut connection = connect(&setup).await;
    for decode_endpoint in 2..4 {
        setup.fleet.set_behavior(decode_endpoint, Behavior::Pause);
    }
    let _successor = setup.start_process().await;
    send_over_shutdown(&mut connection, &predecessor, &request("late")).await;
    let stream = OpenStream {
        connection,
        received: Vec::new(),
    };
    // The process has nothing left once the stream has migrated.
    assert_eq!(predecessor.exit_code().await, Some(0));
    setup.fleet.resume.notify_waiters();
    let response = stream.finish().await;
    assert!(
        response.starts_with("HTTP/1.1 200") && response.contains(testbed::STREAM_EVENTS[2]),
        "{response}"
    );
}
