//! End-to-end tests of the HTTP/1.1 frontend, which compare bytes where they matter.

mod testbed;

use quartzhall::config::{Deployment, SettingsObject};
use quartzhall::dispatcher::{self, DrainSchedule, Event, Outcome, Readiness, StreamChunk};
use quartzhall::frontend::memory_budget::ClientMemoryBudget;
use quartzhall::frontend::{http, listener, ShutdownPhase};
use quartzhall::net::adjustable_semaphore::AdjustableSemaphore;
use quartzhall::upgrade::request_claims::RequestClaims;
use slog::{o, Discard, Logger};
use std::sync::Arc;
use std::time::Duration;
use testbed::{Behavior, Fleet, SETTINGS, STREAM_EVENTS};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// The head of a valid request, up to the header for its body. `NAME` stands for the client request id.
const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: NAME\r\nX-Qos: return-request\r\nX-Customer: acme\r\nX-Object: 7f3a\r\nX-Expires-In-Ms: 2000\r\nX-Props: prefix=5c0f,prompt_len=500,prefix_len=200,max_out=100\r\n";

/// Returns a valid request with this client request id.
fn request(name: &str) -> String {
    format!(
        "{}Content-Length: 2\r\n\r\n{{}}",
        HEAD.replace("NAME", name)
    )
}

struct Client(TcpStream);

impl Client {
    async fn connect(fleet: &Fleet) -> Client {
        Client(TcpStream::connect(&fleet.http_address).await.unwrap())
    }

    async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the text ends with `suffix`, or until the connection ends if that is empty.
    async fn read_until(&mut self, suffix: &str) -> String {
        let mut received = Vec::new();
        let mut buffer = [0; 4096];
        let reads = async {
            while !received.ends_with(suffix.as_bytes()) || suffix.is_empty() {
                match self.0.read(&mut buffer).await {
                    Ok(0) | Err(_) => break,
                    Ok(read_bytes) => received.extend_from_slice(&buffer[..read_bytes]),
                }
            }
        };
        let finished = tokio::time::timeout(Duration::from_secs(10), reads).await;
        assert!(
            finished.is_ok(),
            "the response does not end: {:?}",
            String::from_utf8_lossy(&received)
        );
        String::from_utf8_lossy(&received).into_owned()
    }

    /// Sends a request on a connection of its own and returns the response.
    async fn exchange(fleet: &Fleet, text: &str) -> String {
        let mut client = Client::connect(fleet).await;
        client
            .write(&text.replacen("Host: x\r\n", "Host: x\r\nConnection: close\r\n", 1))
            .await;
        client.read_until("").await
    }
}

#[tokio::test]
async fn a_stream_is_forwarded_unchanged_and_the_connection_is_reused() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        let mut client = Client::connect(&fleet).await;
        for name in ["a1", "a2"] {
            client.write(&request(name)).await;
            let text = client.read_until("0\r\n\r\n").await;
            assert!(
                text.starts_with("HTTP/1.1 200") && text.contains("text/event-stream"),
                "{text}"
            );
            let body = text.split("\r\n\r\n").nth(1).unwrap().to_owned();
            assert!(
                STREAM_EVENTS.iter().all(|event| text.contains(event)),
                "{body}"
            );
        }
        fleet.assert_all_released().await;
    }
}

#[tokio::test]
async fn invalid_requests_reach_no_endpoint() {
    let fleet = Fleet::start(false).await;
    let valid = request("b");
    for (from, to, code) in [
        ("X-Trace-Id: b\r\n", "", "400"),
        ("X-Trace-Id: b\r\n", "X-Trace-Id: a/b\r\n", "400"),
        ("X-Qos: return-request", "X-Qos: other", "400"),
        ("X-Customer: acme", "X-Customer: nobody", "400"),
        ("X-Object: 7f3a\r\n", "", "400"),
        ("X-Expires-In-Ms: 2000", "X-Expires-In-Ms: soon", "400"),
        ("prompt_len=500", "prompt_len=-5", "400"),
        (",max_out=100", "", "400"),
        (
            "Content-Length: 2\r\n\r\n{}",
            "Content-Length: 300000\r\n\r\n",
            "413",
        ),
        ("POST /v1/chat/completions", "POST /v2/other", "404"),
        (
            "POST /v1/chat/completions",
            "PUT /v1/chat/completions",
            "405",
        ),
    ] {
        assert!(valid.contains(from), "{from}");
        let text = Client::exchange(&fleet, &valid.replacen(from, to, 1)).await;
        assert!(
            text.starts_with(&format!("HTTP/1.1 {code}")),
            "{from:?}, {to:?}: {text}"
        );
    }
    // A body without a declared length is read up to the limit only.
    let chunk = format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000));
    let chunked = format!(
        "{}Transfer-Encoding: chunked\r\n\r\n{}",
        HEAD.replace("NAME", "c"),
        chunk.repeat(3)
    );
    let text = Client::exchange(&fleet, &chunked).await;
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert!(fleet.activity.lock().unwrap().attempts.is_empty());
    fleet.assert_all_released().await;
}

/// A chunked body reaches the endpoint complete, with its length declared.
/// Guards against clients that stop in large bodies and hold the memory for all that they have declared, so that others
/// wait up to the time limit of a body.
#[tokio::test(start_paused = true)]
async fn bodies_that_stop_half_way_hold_up_no_other_client() {
    let fleet = Fleet::start(false).await;
    let mut stopped = Vec::new();
    for number in 0..45 {
        let mut client = Client(TcpStream::connect(&fleet.http_address).await.unwrap());
        let head = request(&format!("stopped-{number}"))
            .replace("Content-Length: 2", "Content-Length: 262144");
        client
            .write(&head.replace("{}", &"x".repeat(128 * 1024)))
            .await;
        stopped.push(client);
    }
    let started_at = tokio::time::Instant::now();
    let mut client = Client(TcpStream::connect(&fleet.http_address).await.unwrap());
    client.write(&request("small")).await;
    let response = client.read_until("0\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let elapsed = started_at.elapsed();
    assert!(
        elapsed < std::time::Duration::from_millis(300),
        "{elapsed:?}"
    );
}

#[tokio::test]
async fn a_chunked_body_is_served() {
    let fleet = Fleet::start(false).await;
    let chunked = format!(
        "{}Transfer-Encoding: chunked\r\n\r\n1\r\n{{\r\n1\r\n}}\r\n0\r\n\r\n",
        HEAD.replace("NAME", "c")
    );
    let text = Client::exchange(&fleet, &chunked).await;
    assert!(
        text.starts_with("HTTP/1.1 200") && STREAM_EVENTS.iter().all(|event| text.contains(event)),
        "{text}"
    );
    fleet.assert_all_released().await;
}

#[tokio::test]
async fn a_broken_stream_ends_without_the_last_chunk() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.set_behavior(2, Behavior::PauseThenAbort);
        let mut client = Client::connect(&fleet).await;
        client.write(&request("broken")).await;
        assert!(client
            .read_until("\n\n\r\n")
            .await
            .contains(STREAM_EVENTS[0]));
        fleet.resume.notify_one();
        let rest = client.read_until("").await;
        assert_eq!(rest, "", "no last chunk");
        fleet.assert_all_released().await;
    }
}

/// A client that requests the rest of a stream, or that just retries, sends a new request with a new id and receives a
/// complete response.
#[tokio::test]
async fn a_client_that_requests_the_rest_of_a_stream_is_served_a_complete_response() {
    let fleet = Fleet::start(false).await;
    for (name, mark) in [("b1", "1"), ("b2", "again")] {
        let marked = request(name).replacen(
            "Host: x\r\n",
            &format!("Host: x\r\nX-Second-Try: {mark}\r\n"),
            1,
        );
        let text = Client::exchange(&fleet, &marked).await;
        assert!(
            text.starts_with("HTTP/1.1 200") && text.ends_with("0\r\n\r\n"),
            "{text}"
        );
        assert!(
            STREAM_EVENTS.iter().all(|event| text.contains(event)),
            "{text}"
        );
    }
    fleet.assert_all_released().await;
}

#[tokio::test]
async fn shed_failed_and_duplicate_requests_have_their_status_codes() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(2, Behavior::Error);
    let text = Client::exchange(&fleet, &request("f")).await;
    assert!(text.starts_with("HTTP/1.1 502"), "{text}");
    fleet.set_behavior(2, Behavior::Pause);
    let mut first = Client::connect(&fleet).await;
    first.write(&request("same")).await;
    fleet
        .wait_until("the response streams", |activity| {
            activity
                .attempts
                .iter()
                .filter(|(replica, _)| *replica == 2)
                .count()
                == 2
        })
        .await;
    let text = Client::exchange(&fleet, &request("same")).await;
    assert!(text.starts_with("HTTP/1.1 409"), "{text}");
    fleet.resume.notify_one();
    assert!(first
        .read_until("0\r\n\r\n")
        .await
        .contains(STREAM_EVENTS[2]));
    fleet.set_behavior(0, Behavior::Reject);
    fleet.set_behavior(1, Behavior::Reject);
    let text = Client::exchange(&fleet, &request("r")).await;
    assert!(
        text.starts_with("HTTP/1.1 503") && text.to_lowercase().contains("retry-after: 0.5"),
        "{text}"
    );
    fleet.assert_all_released().await;
}

#[tokio::test]
async fn a_client_disconnect_releases_its_request_before_and_after_the_first_event() {
    for over_sessions in [false, true] {
        for behavior in [Behavior::Hang, Behavior::Pause] {
            let fleet = Fleet::start(over_sessions).await;
            fleet.set_behavior(2, behavior);
            let mut client = Client::connect(&fleet).await;
            client.write(&request("gone")).await;
            if behavior == Behavior::Pause {
                client.read_until("\n\n\r\n").await;
            }
            fleet
                .wait_until("the request is at the decode endpoint", |activity| {
                    activity.attempts.len() == 2
                })
                .await;
            drop(client);
            fleet.assert_all_released().await;
        }
    }
}

#[tokio::test]
async fn readiness_follows_the_dispatcher_and_idle_connections_close_at_shutdown() {
    let fleet = Fleet::start(false).await;
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(Client::exchange(&fleet, &get("/ready"))
        .await
        .starts_with("HTTP/1.1 200"));
    fleet
        .dispatcher
        .send(Event::Drain(DrainSchedule {
            admit_within: Duration::from_secs(3),
            respond_within: Duration::from_secs(3),
        }))
        .await;
    fleet
        .dispatcher
        .wait_for_readiness(Readiness::Draining)
        .await;
    assert!(Client::exchange(&fleet, &get("/ready"))
        .await
        .starts_with("HTTP/1.1 503"));
    // While the dispatcher drains, requests on new connections are served.
    assert!(Client::exchange(&fleet, &request("late"))
        .await
        .starts_with("HTTP/1.1 200"));
    let mut idle = Client::connect(&fleet).await;
    idle.write(&get("/ready")).await;
    assert!(idle
        .read_until("draining\n")
        .await
        .starts_with("HTTP/1.1 503"));
    fleet.shutdown.send(ShutdownPhase::Closing).unwrap();
    assert_eq!(
        idle.read_until("").await,
        "",
        "an idle connection is closed"
    );
    tokio::time::timeout(Duration::from_secs(5), fleet.frontend_task)
        .await
        .expect("the frontends end")
        .unwrap();
}

/// A client that never completes its body does not keep its connection.
#[tokio::test]
async fn a_body_that_takes_too_long_times_out() {
    let fleet = Fleet::start(false).await;
    let slow = request("slow").replace("X-Expires-In-Ms: 2000", "X-Expires-In-Ms: 100");
    let text = Client::exchange(&fleet, slow.strip_suffix('}').unwrap()).await;
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(fleet.activity.lock().unwrap().attempts.is_empty());
}

/// A WebSocket text message can't carry a body that is not UTF-8, so the request is not sent to an endpoint over a
/// session.
#[tokio::test]
async fn a_body_that_is_not_utf8_is_not_sent_to_a_websocket_endpoint() {
    let fleet = Fleet::start(true).await;
    let mut client = Client::connect(&fleet).await;
    let text = request("bytes").replace("Host: x", "Host: x\r\nConnection: close");
    client.write(text.strip_suffix("{}").unwrap()).await;
    client.0.write_all(b"\xff\xfe").await.unwrap();
    let text = client.read_until("").await;
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(fleet.activity.lock().unwrap().attempts.is_empty());
    fleet.assert_all_released().await;
}

/// If a stream breaks right after its first event, before any of it was sent, the client still receives the event. The
/// connection then ends without the last chunk.
#[tokio::test]
async fn chunks_received_before_a_stream_breaks_are_sent() {
    let log = Logger::root(Discard, o!());
    let profile: SettingsObject = miniserde::json::from_str(SETTINGS).unwrap();
    let (dispatcher_handle, mut events) =
        dispatcher::channel(Arc::new(Deployment::new(&profile).unwrap()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_shutdown_sender, shutdown) = watch::channel(ShutdownPhase::Serving);
    let routes = http::routes(
        dispatcher_handle,
        ClientMemoryBudget::new(1_000),
        RequestClaims::disabled(),
        log.clone(),
    );
    tokio::spawn(listener::serve(
        listener,
        routes,
        AdjustableSemaphore::new(4),
        shutdown,
        log,
    ));
    let mut client = Client(TcpStream::connect(address).await.unwrap());
    client.write(&request("b")).await;
    // The test stands in for the dispatcher.
    let Some(Event::RequestArrived {
        outcome: outcome_sender,
        ..
    }) = events.recv().await
    else {
        panic!("no request")
    };
    let (chunks, stream) = mpsc::channel(4);
    chunks
        .try_send(StreamChunk::Data(STREAM_EVENTS[0].into()))
        .unwrap();
    drop(chunks);
    outcome_sender.send(Outcome::Stream(stream)).unwrap();
    let text = client.read_until("").await;
    assert!(
        text.starts_with("HTTP/1.1 200") && text.contains(STREAM_EVENTS[0]),
        "{text:?}"
    );
    assert!(!text.ends_with("0\r\n\r\n"), "{text:?}");
}
