//! The path from discovery's HTTP responses to the core's events. A list must reach the core in time: no request may go
//! to an endpoint that discovery has announced as draining.

mod testbed;

use futures_util::FutureExt;
use quartzhall::config::{Deployment, SettingsObject};
use quartzhall::discovery;
use quartzhall::dispatcher::{self, DispatcherHandle, Event, EventReceiver, UpstreamRequest};
use quartzhall::routing::api::RequestMetadata;
use slog::{o, Discard, Logger};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

/// Returns the test settings with this number of dispatchers. Discovery is an agent on this machine if `has_local_agent`,
/// otherwise a remote service.
fn deployment(has_local_agent: bool, dispatcher_count: u32) -> Deployment {
    let mode = if has_local_agent {
        "automatic"
    } else {
        "subscribe"
    };
    let settings = format!(r#""membership_mode":"{mode}","balancers":{dispatcher_count}"#);
    let profile = testbed::SETTINGS.replacen(r#""balancers":1"#, &settings, 1);
    let profile: SettingsObject = miniserde::json::from_str(&profile).unwrap();
    Deployment::new(&profile).unwrap()
}

/// A response of the fake discovery: raw bytes, and whether it closes the connection after them.
#[derive(Clone, Copy)]
enum FakeResponse {
    Nothing,
    Text(&'static str),
    TextAndClose(&'static str),
}

/// A fake discovery. It answers requests with the given responses in order, and all further requests with the last one.
struct FakeDiscovery {
    address: String,
    request_count: Arc<AtomicUsize>,
    /// The most connections that were open at the same time.
    max_open_connections: Arc<AtomicUsize>,
}

impl FakeDiscovery {
    async fn start(responses: &'static [FakeResponse]) -> FakeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let discovery = FakeDiscovery {
            address: listener.local_addr().unwrap().to_string(),
            request_count: Arc::default(),
            max_open_connections: Arc::default(),
        };
        let request_count = discovery.request_count.clone();
        let max_open = discovery.max_open_connections.clone();
        let open = Arc::new(AtomicUsize::new(0));
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let request_count = request_count.clone();
                let open = open.clone();
                max_open.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                tokio::spawn(async move {
                    serve(&mut stream, responses, &request_count).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        discovery
    }

    fn request_count(&self) -> usize {
        self.request_count.load(Ordering::SeqCst)
    }
}

async fn serve(
    stream: &mut TcpStream,
    responses: &'static [FakeResponse],
    request_count: &AtomicUsize,
) {
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => received.extend_from_slice(&buffer[..length]),
        }
        while let Some(head_length) = head_length(&received) {
            received.drain(..head_length);
            let index = request_count
                .fetch_add(1, Ordering::SeqCst)
                .min(responses.len() - 1);
            match responses[index] {
                FakeResponse::Nothing => {}
                FakeResponse::Text(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                FakeResponse::TextAndClose(text) => {
                    stream.write_all(text.as_bytes()).await.unwrap();
                    return;
                }
            }
        }
    }
}

fn head_length(received: &[u8]) -> Option<usize> {
    let end = received
        .windows(4)
        .position(|window| window == b"\r\n\r\n")?;
    Some(end + 4)
}

/// A running watch on discovery, and the core's ends of its event channel. The watch stops when this is dropped.
struct Watch {
    dispatcher: DispatcherHandle,
    events: EventReceiver,
    _task: JoinSet<()>,
    _address: watch::Sender<String>,
}

impl Watch {
    fn start(
        discovery: &FakeDiscovery,
        has_local_agent: bool,
        dispatcher_count: u32,
        known_revision: Option<u64>,
    ) -> Watch {
        let (dispatcher, events) =
            dispatcher::channel(Arc::new(deployment(has_local_agent, dispatcher_count)));
        let (address_sender, address) = watch::channel(discovery.address.clone());
        let mut task = JoinSet::new();
        task.spawn(discovery::run(
            address,
            deployment(has_local_agent, dispatcher_count),
            7,
            known_revision,
            dispatcher.clone(),
            Logger::root(Discard, o!()),
        ));
        Watch {
            dispatcher,
            events,
            _task: task,
            _address: address_sender,
        }
    }

    /// Waits for a list of endpoints, and returns how long that took.
    async fn wait_for_list(&mut self) -> Duration {
        let started = Instant::now();
        let list = timeout(Duration::from_secs(60), async {
            while !matches!(
                self.events.recv().await,
                Some(Event::EndpointsChanged { .. })
            ) {}
        });
        list.await.expect("the list");
        started.elapsed()
    }
}

/// A list that arrives while the core's queue is full of requests is handled before them. It used to wait for a free
/// place in that queue.
#[tokio::test]
async fn list_is_handled_before_queued_requests() {
    let discovery = FakeDiscovery::start(&[FakeResponse::Text(OK), FakeResponse::Nothing]).await;
    let mut watch = Watch::start(&discovery, true, 1, None);
    let mut queued = Vec::new();
    let dispatcher = watch.dispatcher.clone();
    let submit = |number| {
        let request = UpstreamRequest {
            client_request_id: format!("n{number}").into(),
            target: "/".into(),
            body: "{}".into(),
            stream_can_migrate: true,
        };
        tokio::task::unconstrained(dispatcher.submit(RequestMetadata::default(), request))
            .now_or_never()
    };
    while let Some(pending) = submit(queued.len()) {
        queued.push(pending);
    }
    assert!(queued.len() > 4000, "a full queue");
    // The next request to discovery shows that the list has been sent to the core.
    let list_sent = timeout(Duration::from_secs(20), async {
        while discovery.request_count() < 2 {
            tokio::task::yield_now().await;
        }
    });
    list_sent
        .await
        .expect("the list is sent although the queue is full");
    assert!(
        matches!(
            watch.events.recv().await,
            Some(Event::EndpointsChanged { .. })
        ),
        "a request was handled before the list"
    );
}

const OK: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{\"revision\":7,\"complete\":true,\"members\":[]}";
const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno";
const SERVICE_UNAVAILABLE: &str = "HTTP/1.1 503 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
const MALFORMED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n[what?";
const TRUNCATED_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{\"revision\":7,";
const TRUNCATED_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Le";
const UNFINISHED_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"rev\r\n";

/// Whatever the outcome of earlier requests, a list arrives within 6 s if discovery answers by then, and at once if
/// discovery is an agent on this machine. After a response that was not a list, the next request used to be sent up to
/// 24 s later.
#[tokio::test(start_paused = true)]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
async fn list_arrives_in_time_after_any_failed_requests() {
    let sequences: &[&'static [FakeResponse]] = &[
        &[
            FakeResponse::Text(ERROR),
            FakeResponse::Text(OK),
            FakeResponse::Nothing,
        ],
        &[
            FakeResponse::Text(SERVICE_UNAVAILABLE),
            FakeResponse::Text(SERVICE_UNAVAILABLE),
            FakeResponse::Text(OK),
            FakeResponse::Nothing,
        ],
        &[
            FakeResponse::Text(MALFORMED),
            FakeResponse::Text(MALFORMED),
            FakeResponse::Text(MALFORMED),
            FakeResponse::Text(OK),
            FakeResponse::Nothing,
        ],
        &[
            FakeResponse::TextAndClose(TRUNCATED_BODY),
            FakeResponse::Text(ERROR),
            FakeResponse::Text(OK),
            FakeResponse::Nothing,
        ],
        &[
            FakeResponse::TextAndClose(TRUNCATED_HEAD),
            FakeResponse::TextAndClose(""),
            FakeResponse::Text(ERROR),
            FakeResponse::Text(OK),
            FakeResponse::Nothing,
        ],
        &[
            FakeResponse::Text(UNFINISHED_CHUNKS),
            FakeResponse::Text(OK),
            FakeResponse::Nothing,
        ],
        &[
            FakeResponse::Text(TRUNCATED_HEAD),
            FakeResponse::Text(OK),
            FakeResponse::Nothing,
        ],
        &[
            FakeResponse::Nothing,
            FakeResponse::Text(OK),
            FakeResponse::Nothing,
        ],
        &[
            FakeResponse::Nothing,
            FakeResponse::Text(MALFORMED),
            FakeResponse::Text(OK),
            FakeResponse::Nothing,
        ],
    ];
    for (has_local_agent, known_revision, max_ms_per_failure) in [
        (true, None, 150),
        (true, Some(7), 1_150),
        (false, None, 6_000),
        (false, Some(7), 6_000),
    ] {
        for (index, responses) in sequences.iter().enumerate() {
            for dispatcher_count in [1, 300] {
                let discovery = FakeDiscovery::start(responses).await;
                let mut watch = Watch::start(
                    &discovery,
                    has_local_agent,
                    dispatcher_count,
                    known_revision,
                );
                let elapsed = watch.wait_for_list().await;
                // The bound holds for each failed request, because any of them may be the last one before discovery
                // recovers.
                let failures = responses.len() as u32 - 2;
                let max_elapsed = Duration::from_millis(max_ms_per_failure) * failures;
                assert!(
                    elapsed <= max_elapsed,
                    "{elapsed:?} of {max_elapsed:?}: sequence {index}, local agent: {has_local_agent}, \
                     {dispatcher_count} dispatchers"
                );
                assert!(discovery.request_count() + 1 >= responses.len());
            }
        }
    }
}

/// While discovery does not respond, the connection of each request is closed when the request times out.
#[tokio::test(start_paused = true)]
async fn requests_that_timed_out_leave_no_connections() {
    let discovery = FakeDiscovery::start(&[FakeResponse::Nothing]).await;
    let _watch = Watch::start(&discovery, true, 300, Some(7));
    while discovery.request_count() < 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let max_open = discovery.max_open_connections.load(Ordering::SeqCst);
    assert!(max_open <= 2, "{max_open} connections at once");
}

/// A discovery that ignores the hold time and always returns the same list is not requested in a busy loop.
#[tokio::test(start_paused = true)]
async fn discovery_that_ignores_the_hold_time_is_polled_with_delays() {
    let discovery = FakeDiscovery::start(&[FakeResponse::Text(OK)]).await;
    let mut watch = Watch::start(&discovery, true, 1, None);
    let started = Instant::now();
    while discovery.request_count() < 100 {
        watch.events.recv().await;
    }
    assert!(
        started.elapsed() > Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
}
