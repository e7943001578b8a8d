//! Client connections that are idle, slow, pipelined or ambiguous: their timeouts, limits and shutdown, mostly on a
//! paused clock.

mod testbed;

use axum::body::Body;
use axum::routing::{get, post};
use axum::Router;
use quartzhall::frontend::{listener, ShutdownPhase};
use quartzhall::net::adjustable_semaphore::AdjustableSemaphore;
use slog::{o, Discard, Logger};
use std::time::Duration;
use testbed::{Behavior, Fleet, STREAM_EVENTS};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// More bytes than the buffers of a connection hold.
const LONG_RESPONSE_BYTES: usize = 16 << 20;
const GET: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
/// The head of a valid request, up to the header for its body. Its deadline, 4,000,000 s, is beyond all timeouts.
const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: c\r\nX-Qos: status-query\r\nX-Customer: acme\r\nX-Object: 7f3a\r\nX-Expires-In-Ms: 4000000000\r\nX-Props: prompt_len=500,max_out=100\r\n";

async fn send(address: &str, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // With Nagle's algorithm, a second small write would wait for the acknowledgement of the first one, in real time.
    stream.set_nodelay(true).unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads until the text ends with `suffix`, or until the connection ends if that is empty.
async fn read_until(stream: &mut TcpStream, suffix: &str) -> String {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while suffix.is_empty() || !received.ends_with(suffix.as_bytes()) {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read_bytes) => received.extend_from_slice(&buffer[..read_bytes]),
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Reads the response to [`GET`], which must have status 200.
async fn expect_ready(client: &mut TcpStream) {
    assert!(read_until(client, "ready.")
        .await
        .starts_with("HTTP/1.1 200"));
}

/// A running listener without a dispatcher.
struct TestListener {
    address: String,
    shutdown: watch::Sender<ShutdownPhase>,
    task: JoinHandle<()>,
}

/// Starts a listener with `max_connections` connection permits.
async fn listen_with(routes: Router, max_connections: usize) -> TestListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (shutdown, shutdown_receiver) = watch::channel(ShutdownPhase::Serving);
    let task = tokio::spawn(listener::serve(
        listener,
        routes,
        AdjustableSemaphore::new(max_connections),
        shutdown_receiver,
        Logger::root(Discard, o!()),
    ));
    TestListener {
        address,
        shutdown,
        task,
    }
}

/// Starts a listener with the routes that most tests use.
async fn listen(max_connections: usize) -> (String, watch::Sender<ShutdownPhase>) {
    let routes = Router::new()
        .route("/ready", get(|| async { "ready." }))
        .route(
            "/later",
            get(|| async {
                sleep(Duration::from_millis(5)).await;
                "ready."
            }),
        )
        .route("/long", get(|| async { vec![b'x'; LONG_RESPONSE_BYTES] }))
        .route("/post", post(|_: axum::body::Bytes| async {}));
    let listener = listen_with(routes, max_connections).await;
    (listener.address, listener.shutdown)
}

#[tokio::test(start_paused = true)]
async fn an_incomplete_request_is_closed_within_3_s() {
    let fleet = Fleet::start(false).await;
    let half = format!("{HEAD}Content-Length: 900\r\n\r\n{{\"half\":");
    for (text, answer) in [
        ("", ""),
        ("POST /v1/cha", ""),
        (HEAD, ""),
        (&half, "HTTP/1.1 408"),
        ("what?\r\n\r\n", "HTTP/1.1 400"),
    ] {
        let mut client = send(&fleet.http_address, text).await;
        let sent = Instant::now();
        let response = read_until(&mut client, "").await;
        assert!(
            response.starts_with(answer) && response.is_empty() == answer.is_empty(),
            "{text:?}: {response}"
        );
        assert!(
            sent.elapsed() < Duration::from_millis(2500),
            "{text:?}: {:?}",
            sent.elapsed()
        );
    }
    fleet.assert_all_released().await;
}

#[tokio::test(start_paused = true)]
async fn a_request_in_flight_is_not_subject_to_the_head_timeout() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(2, Behavior::Pause);
    let mut client = send(
        &fleet.http_address,
        &format!("{HEAD}Content-Length: 2\r\n\r\n{{}}"),
    )
    .await;
    assert!(read_until(&mut client, "\n\n\r\n")
        .await
        .contains(STREAM_EVENTS[0]));
    sleep(Duration::from_secs(3)).await;
    fleet.resume.notify_one();
    assert!(read_until(&mut client, "0\r\n\r\n")
        .await
        .contains(STREAM_EVENTS[2]));
}

#[tokio::test(start_paused = true)]
async fn at_the_limit_the_longest_idle_connection_is_closed_for_a_new_one() {
    let (address, _shutdown) = listen(8).await;
    let mut idle = Vec::new();
    for _ in 0..5 {
        let mut client = send(&address, GET).await;
        expect_ready(&mut client).await;
        idle.push(client);
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_millis(500)).await;
    // A connection that has sent a part of a head is neither idle nor silent.
    let partial_head = "GET /re";
    let _reading_head = [
        send(&address, partial_head).await,
        send(&address, partial_head).await,
        send(&address, partial_head).await,
    ];
    let started_at = Instant::now();
    let mut new = send(&address, GET).await;
    expect_ready(&mut new).await;
    // The connection was closed when it had been idle for 2 s, and not much later.
    assert!(
        (900..1200).contains(&started_at.elapsed().as_millis()),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(read_until(&mut idle[0], "").await, "");
    idle[1].write_all(GET.as_bytes()).await.unwrap();
    expect_ready(&mut idle[1]).await;
}

/// A request that arrives at the very moment at which its idle connection would be evicted is served. The runtime has
/// not reported its bytes yet, and closing the socket with unread bytes would reset the connection.
#[tokio::test(start_paused = true)]
async fn a_request_that_arrives_as_its_connection_is_replaced_is_answered() {
    for _ in 0..5 {
        let (address, _shutdown) = listen(2).await;
        let mut client = send(&address, GET).await;
        expect_ready(&mut client).await;
        let idle_since = Instant::now();
        sleep(Duration::from_millis(1900)).await;
        let _last_permit = send(&address, "GET /re").await;
        // The listener's timer is due at the same moment; the test's own future is polled first.
        sleep_until(idle_since + Duration::from_millis(2000)).await;
        assert_eq!(client.try_write(GET.as_bytes()).unwrap(), GET.len());
        expect_ready(&mut client).await;
    }
}

/// At the limit, a connection whose response is not completely read is not evicted, although its request is complete.
#[tokio::test(start_paused = true)]
async fn at_the_limit_a_response_that_is_not_read_yet_is_not_cut() {
    let (address, _shutdown) = listen(1).await;
    let mut client = send(&address, &GET.replace("/ready", "/long")).await;
    sleep(Duration::from_secs(5)).await;
    let response = read_until(&mut client, "x").await;
    assert!(response.starts_with("HTTP/1.1 200"));
    let mut received_bytes = response.len();
    let mut buffer = vec![0; 1 << 16];
    while received_bytes < LONG_RESPONSE_BYTES {
        let read_bytes = timeout(Duration::from_secs(1), client.read(&mut buffer))
            .await
            .unwrap()
            .unwrap();
        assert!(
            read_bytes > 0,
            "the response was cut after {received_bytes} bytes"
        );
        received_bytes += read_bytes;
    }
}

/// Clients that send one request and stay connected don't hold all permits: once a new connection had to wait,
/// responses close their connections.
#[tokio::test(start_paused = true)]
async fn near_the_limit_responses_close_their_connections() {
    let (address, _shutdown) = listen(4).await;
    let mut connections = Vec::new();
    let started_at = Instant::now();
    for number in 0..40 {
        let mut client = send(&address, GET).await;
        let response = read_until(&mut client, "ready.").await;
        assert!(response.starts_with("HTTP/1.1 200"));
        assert_eq!(
            response.contains("connection: close"),
            number >= 3,
            "{number}: {response}"
        );
        connections.push(client);
    }
    assert!(
        started_at.elapsed() < Duration::from_millis(3000),
        "{:?}",
        started_at.elapsed()
    );
}

/// Many connections that send nothing don't keep a client waiting for the full head timeout.
#[tokio::test(start_paused = true)]
async fn at_the_limit_silent_connections_are_closed_soon() {
    let (address, _shutdown) = listen(3).await;
    let mut connections = Vec::new();
    for _ in 0..30 {
        connections.push(TcpStream::connect(&address).await.unwrap());
    }
    let started_at = Instant::now();
    let mut client = send(&address, GET).await;
    expect_ready(&mut client).await;
    assert!(
        started_at.elapsed() < Duration::from_millis(3500),
        "{:?}",
        started_at.elapsed()
    );
}

/// A body with both a declared length and a transfer encoding may end in two places. What lies between them is a
/// request to one parser and part of the body to another.
#[tokio::test]
async fn a_request_with_an_ambiguous_body_is_rejected_and_its_connection_closed() {
    let (address, _shutdown) = listen(9).await;
    let ambiguous_headers = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ];
    for headers in ambiguous_headers {
        let text = format!("POST /post HTTP/1.1\r\nHost: x\r\n{headers}\r\n\r\n0\r\n\r\n{GET}");
        // As the first request of its connection or after another one, and split at several positions.
        for before in ["", GET] {
            for cut in [0, 20, before.len() + 40, before.len() + 70] {
                let text = format!("{before}{text}");
                let mut client = send(&address, &text[..cut]).await;
                tokio::task::yield_now().await;
                client.write_all(&text.as_bytes()[cut..]).await.unwrap();
                let response = read_until(&mut client, "").await;
                assert!(
                    response.contains("HTTP/1.1 411") && response.contains("connection: close"),
                    "{headers}: {response}"
                );
                assert_eq!(
                    response.matches("ready.").count(),
                    before.len().min(1),
                    "{response}"
                );
            }
        }
    }
}

/// Chunks without a declared length are not ambiguous.
#[tokio::test]
async fn chunked_bodies_are_read_and_the_connection_is_reused() {
    let (address, _shutdown) = listen(9).await;
    let post =
        "POST /post HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let mut client = send(&address, &format!("{post}{post}{GET}")).await;
    let response = read_until(&mut client, "ready.").await;
    assert_eq!(response.matches("HTTP/1.1 200").count(), 3, "{response}");
    client.write_all(GET.as_bytes()).await.unwrap();
    assert!(read_until(&mut client, "ready.").await.ends_with("ready."));
}

/// A response that the client never reads would occupy its endpoint forever, so the client is disconnected. A response
/// that is read late, but within the timeout of 30 s, continues.
#[tokio::test(start_paused = true)]
async fn a_client_that_reads_nothing_of_its_response_is_disconnected() {
    const FLOOD_BYTES: usize = 64 << 20;
    let flood = || async {
        let chunks = (0..FLOOD_BYTES >> 16).map(|_| Ok::<_, std::io::Error>(vec![b'x'; 1 << 16]));
        Body::from_stream(futures_util::stream::iter(chunks))
    };
    let routes = Router::new().route("/ready", get(flood));
    let listener = listen_with(routes, 2).await;
    for (pause, is_complete) in [(25, true), (35, false)] {
        let mut client = send(&listener.address, GET).await;
        client.read_u8().await.unwrap();
        sleep(Duration::from_secs(pause)).await;
        let response = read_until(&mut client, "0\r\n\r\n").await;
        assert_eq!(
            (
                response.len() > FLOOD_BYTES,
                response.ends_with("0\r\n\r\n")
            ),
            (is_complete, is_complete),
            "{pause} s"
        );
    }
}

/// The disconnect of a client is noticed even if bytes have arrived after its request. hyper alone notices it only if
/// nothing has arrived after the request, and would continue a response that nobody waits for.
#[tokio::test(start_paused = true)]
async fn the_disconnect_of_a_client_with_pipelined_bytes_is_noticed() {
    let request = format!("{HEAD}Content-Length: 2\r\n\r\n{{}}");
    let many = GET.repeat(300);
    // More than is buffered after a request in flight: the end of the stream follows unread bytes.
    let very_many = GET.repeat(3_000);
    for behind in ["", "\r\n", GET, &HEAD[..40], "what?", &many, &very_many] {
        let fleet = Fleet::start(false).await;
        fleet.set_behavior(0, Behavior::Hang);
        fleet.set_behavior(1, Behavior::Hang);
        let client = send(&fleet.http_address, &format!("{request}{behind}")).await;
        fleet
            .wait_until("sent", |activity| activity.in_flight > 0)
            .await;
        drop(client);
        fleet.assert_all_released().await;
        assert_eq!(
            fleet.attempts_at(0) + fleet.attempts_at(1),
            1,
            "{} bytes after the request",
            behind.len()
        );
    }
}

/// Guards against a client whose end is not noticed because it lies behind more bytes than the buffers of both systems
/// hold. It arrives only if the bytes before it are read.
#[tokio::test(start_paused = true)]
async fn the_disconnect_of_a_client_that_sent_more_than_all_buffers_hold_is_noticed() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(0, Behavior::Hang);
    fleet.set_behavior(1, Behavior::Hang);
    let request = format!("{HEAD}Content-Length: 2\r\n\r\n{{}}");
    let mut client = send(&fleet.http_address, &request).await;
    fleet
        .wait_until("sent", |activity| activity.in_flight > 0)
        .await;
    let endless = GET.repeat(500_000);
    let until_blocked = client.write_all(endless.as_bytes());
    let is_blocked = timeout(Duration::from_millis(20), until_blocked).await;
    assert!(is_blocked.is_err(), "all was taken");
    drop(client);
    fleet.assert_all_released().await;
    assert_eq!(fleet.attempts_at(0) + fleet.attempts_at(1), 1);
}

/// A client that sends more requests than are buffered gets the responses to those that are, then the connection's end.
#[tokio::test(start_paused = true)]
async fn requests_beyond_the_buffer_are_not_served() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(2, Behavior::Pause);
    let request = format!("{HEAD}Content-Length: 2\r\n\r\n{{}}");
    let mut client = send(&fleet.http_address, &request).await;
    let first_event = read_until(&mut client, "\n\n\r\n").await;
    assert!(first_event.starts_with("HTTP/1.1 200"), "{first_event}");
    let requests = GET.repeat(2_000);
    client.write_all(requests.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(60)).await;
    fleet.resume.notify_waiters();
    let responses = read_until(&mut client, "").await;
    let served = responses.matches("HTTP/1.1 200").count();
    assert!(served > 400 && served < 600, "{served}");
}

/// Pipelined requests are served one after the other, wherever their bytes are split, until the client's stream ends.
#[tokio::test]
async fn pipelined_requests_are_served_in_order() {
    let (address, _shutdown) = listen(9).await;
    let post = "POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    let text = format!("{GET}{post}\r\n{}", GET.repeat(500));
    for cut in [0, 1, GET.len(), GET.len() + post.len() - 1, text.len()] {
        let mut client = send(&address, &text[..cut]).await;
        tokio::task::yield_now().await;
        client.write_all(&text.as_bytes()[cut..]).await.unwrap();
        let mut response = String::new();
        while response.matches("ready.").count() < 501 {
            let more = read_until(&mut client, "ready.").await;
            assert!(
                more.ends_with("ready."),
                "{} of 501, cut at {cut}",
                response.matches("ready.").count() + more.matches("ready.").count()
            );
            response += &more;
        }
        assert_eq!(response.matches("HTTP/1.1 200").count(), 502);
    }
}

/// A request whose last byte arrives at the very moment at which its head times out is answered, on a new connection and
/// on a reused one. When the state before the wait decided this, half of these requests were dropped, as were half of
/// those that arrived when their idle connection was evicted.
#[tokio::test(start_paused = true)]
async fn a_request_completed_as_its_head_times_out_is_answered() {
    let (address, _shutdown) = listen(90).await;
    for before in ["", GET] {
        for _ in 0..20 {
            let later = GET.replace("ready", "later");
            let mut client =
                send(&address, &format!("{before}{}", &later[..later.len() - 1])).await;
            if !before.is_empty() {
                assert!(read_until(&mut client, "ready.").await.ends_with("ready."));
            }
            // The listener has read what arrived, and nothing else is pending.
            sleep(Duration::from_millis(1)).await;
            assert_eq!(client.try_write(b"\n").unwrap(), 1);
            tokio::time::advance(Duration::from_millis(2200)).await;
            assert!(
                read_until(&mut client, "ready.").await.ends_with("ready."),
                "after {} bytes",
                before.len()
            );
        }
    }
}

/// The last response of a connection is received completely even if more bytes have arrived after its request. Closing
/// the socket with unread bytes would reset the connection, and the client would lose what it has not read of the
/// response.
#[tokio::test]
async fn the_last_response_reaches_a_client_with_pipelined_bytes() {
    const RESPONSE_BYTES: usize = 1 << 20;
    let routes = Router::new().route("/ready", get(|| async { "x".repeat(RESPONSE_BYTES) }));
    let TestListener {
        address,
        shutdown,
        task,
    } = listen_with(routes, 9).await;
    let close = GET.replace("Host", "Connection: close\r\nHost");
    for behind in [1, 1000, 40_000, 200_000] {
        let mut client = send(&address, &close).await;
        client.write_all(&vec![b'?'; behind]).await.unwrap();
        let response = read_until(&mut client, "").await;
        assert!(
            response.len() > RESPONSE_BYTES && response.ends_with("xxx"),
            "{} bytes, with {behind} bytes after the request",
            response.len()
        );
    }
    // A client that is idle until its connection is closed, and only then sends, gets no reset either.
    let mut client = send(&address, GET).await;
    let mut received_bytes = 0;
    while received_bytes < RESPONSE_BYTES {
        received_bytes += client.read(&mut [0; 4096]).await.unwrap();
    }
    shutdown.send(ShutdownPhase::Closing).unwrap();
    while client.read(&mut [0; 4096]).await.unwrap() > 0 {}
    client.write_all(GET.as_bytes()).await.unwrap();
    tokio::task::yield_now().await;
    assert_eq!(client.read(&mut [0; 16]).await.unwrap(), 0);
    drop(client);
    timeout(Duration::from_secs(10), task)
        .await
        .expect("the listener ends")
        .unwrap();
}

/// At shutdown, a request that has partly arrived is answered, and connections in the accept queue are accepted.
#[tokio::test(start_paused = true)]
async fn at_shutdown_requests_that_have_begun_to_arrive_are_answered() {
    for has_partial_second_request in [false, true] {
        let (address, shutdown) = listen(9).await;
        let mut half = send(&address, &GET[..20]).await;
        let mut idle = send(&address, GET).await;
        assert!(read_until(&mut idle, "ready.").await.ends_with("ready."));
        if has_partial_second_request {
            idle.write_all(&GET.as_bytes()[..9]).await.unwrap();
            sleep(Duration::from_millis(1)).await; // the listener has read it, and nothing else is pending
        }
        let mut queued = TcpStream::connect(&address).await.unwrap();
        shutdown.send(ShutdownPhase::Closing).unwrap();
        queued.write_all(GET.as_bytes()).await.unwrap();
        assert!(
            read_until(&mut queued, "").await.ends_with("ready."),
            "a request on a connection from the accept queue is answered"
        );
        half.write_all(&GET.as_bytes()[20..]).await.unwrap();
        assert!(
            read_until(&mut half, "").await.ends_with("ready."),
            "a request of which the first part had arrived is answered"
        );
        if has_partial_second_request {
            idle.write_all(&GET.as_bytes()[9..]).await.unwrap();
            let response = read_until(&mut idle, "").await;
            assert!(
                response.ends_with("ready."),
                "a later request of which the first part had arrived is answered: {response}"
            );
        }
    }
}

/// A complete request of a class that must not run twice, with a body of two bytes.
fn non_idempotent_request() -> String {
    let head = HEAD.replace("status-query", "return-request");
    format!("{head}Content-Length: 2\r\n\r\n{{}}")
}

/// A request that ends arriving late in a shutdown is refused without an attempt, in whatever way it arrives: in pieces, on
/// a kept connection, or behind a request in flight. It used to be started, and the kill cut its stream (review/2).
#[tokio::test(start_paused = true)]
async fn a_request_that_ends_arriving_late_in_a_shutdown_is_refused_and_never_runs() {
    let request = non_idempotent_request();
    let body_start = request.len() - 2;
    for cut in [20, body_start, request.len() - 1] {
        for is_kept in [false, true] {
            let fleet = Fleet::start(false).await;
            let mut client = TcpStream::connect(&fleet.http_address).await.unwrap();
            client.set_nodelay(true).unwrap();
            if is_kept {
                client.write_all(GET.as_bytes()).await.unwrap();
                assert!(read_until(&mut client, "ready\n").await.contains("200"));
            }
            client.write_all(&request.as_bytes()[..cut]).await.unwrap();
            sleep(Duration::from_millis(1)).await; // the listener has read it
            fleet.drain().await;
            sleep(Duration::from_secs(1)).await;
            client.write_all(&request.as_bytes()[cut..]).await.unwrap();
            let response = read_until(&mut client, "").await;
            assert!(
                response.starts_with("HTTP/1.1 503") && response.contains("retry-after: 0.000"),
                "cut at {cut}, kept: {is_kept}: {response}"
            );
            assert_eq!(fleet.activity.lock().unwrap().attempts, []);
        }
    }
}

/// A stream in flight at the shutdown is served whole, and the request that its client has sent behind it is refused.
#[tokio::test(start_paused = true)]
async fn a_request_behind_a_stream_is_refused_after_the_stream_in_a_shutdown() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(2, Behavior::Pause);
    let request = non_idempotent_request();
    let second = request.replace("X-Trace-Id: c", "X-Trace-Id: second");
    let mut client = send(&fleet.http_address, &format!("{request}{second}")).await;
    read_until(&mut client, "\n\n\r\n").await;
    fleet.drain().await;
    sleep(Duration::from_secs(1)).await;
    fleet.resume.notify_one();
    let response = read_until(&mut client, "").await;
    let (stream, refusal) = response.split_once("0\r\n\r\n").expect("the last chunk");
    assert!(stream.contains(STREAM_EVENTS[2]), "{stream}");
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert_eq!(fleet.attempts_at(2), 1);
}

/// At the end of a shutdown, a request whose body has not arrived is refused at once and one whose head has not arrived is
/// closed, while a stream in flight continues. A body used to be read past the kill.
#[tokio::test(start_paused = true)]
async fn at_the_end_of_a_shutdown_what_has_not_arrived_is_refused_and_streams_continue() {
    let fleet = Fleet::start(false).await;
    fleet.set_behavior(2, Behavior::Pause);
    let request = non_idempotent_request();
    let mut stream = send(&fleet.http_address, &request).await;
    assert!(read_until(&mut stream, "\n\n\r\n").await.contains("200"));
    let mut half_head = send(&fleet.http_address, &request[..20]).await;
    let mut half_body = send(&fleet.http_address, &request[..request.len() - 1]).await;
    sleep(Duration::from_millis(1)).await; // the listener has read them
    fleet.drain().await;
    sleep(Duration::from_secs(1)).await;
    let ending = Instant::now();
    fleet.shutdown.send(ShutdownPhase::Ending).unwrap();
    let response = read_until(&mut half_body, "").await;
    assert!(
        response.starts_with("HTTP/1.1 503") && response.contains("retry-after"),
        "{response}"
    );
    assert_eq!(read_until(&mut half_head, "").await, "");
    assert!(ending.elapsed() < Duration::from_millis(100));
    sleep(Duration::from_secs(1)).await;
    fleet.resume.notify_one();
    let response = read_until(&mut stream, "0\r\n\r\n").await;
    assert!(response.contains(STREAM_EVENTS[2]), "{response}");
}
