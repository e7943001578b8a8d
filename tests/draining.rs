//! What discovery tells, from its wire to the core: nothing may go to a server that has been told to leave.

mod testbed;

use futures_util::FutureExt;
use quartzhall::config::{Deployment, SettingsObject};
use quartzhall::discovery;
use quartzhall::dispatcher::{self, Event, EventReceiver, UpstreamRequest};
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

fn site(pushed: bool, balancers: u32) -> Deployment {
    let mode = if pushed { "automatic" } else { "subscribe" };
    let set = format!(r#""membership_mode":"{mode}","balancers":{balancers}"#);
    let profile = testbed::PROFILE.replacen(r#""balancers":1"#, &set, 1);
    let profile: SettingsObject = miniserde::json::from_str(&profile).unwrap();
    Deployment::new(&profile).unwrap()
}

/// What the stand-in answers a call with: bytes as they are, and whether it closes the connection then.
#[derive(Clone, Copy)]
enum Says {
    Nothing,
    Text(&'static str),
    Cut(&'static str),
}

/// An agent that answers its calls in turn as told, the last way from then on, and counts them; and how many connections it
/// has open at most, at any time.
async fn agent(says: &'static [Says]) -> (String, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (calls, most): (Arc<AtomicUsize>, Arc<AtomicUsize>) = Default::default();
    let open = Arc::new(AtomicUsize::new(0));
    let (counted, counted_most) = (calls.clone(), most.clone());
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (calls, open) = (counted.clone(), open.clone());
            counted_most.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            tokio::spawn(async move {
                serve(&mut stream, says, &calls).await;
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, calls, most)
}

async fn serve(stream: &mut TcpStream, says: &'static [Says], calls: &AtomicUsize) {
    let mut text = Vec::new();
    let mut some = [0; 1024];
    loop {
        match stream.read(&mut some).await {
            Ok(0) | Err(_) => return,
            Ok(read) => text.extend_from_slice(&some[..read]),
        }
        while let Some(end) = text.windows(4).position(|it| it == b"\r\n\r\n") {
            text.drain(..end + 4);
            let turn = calls.fetch_add(1, Ordering::SeqCst).min(says.len() - 1);
            match says[turn] {
                Says::Nothing => {}
                Says::Text(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                Says::Cut(text) => {
                    stream.write_all(text.as_bytes()).await.unwrap();
                    return;
                }
            }
        }
    }
}

/// Discovery's task ends with the set that is returned.
fn follow(
    address: String,
    pushed: bool,
    balancers: u32,
    known: Option<u64>,
) -> (dispatcher::DispatcherHandle, EventReceiver, JoinSet<()>) {
    let (door, inbox) = dispatcher::channel(Arc::new(site(pushed, balancers)));
    let (set, told) = watch::channel(address);
    std::mem::forget(set); // the address stays as it is
    let log = Logger::root(Discard, o!());
    let mut task = JoinSet::new();
    task.spawn(discovery::run(
        told,
        site(pushed, balancers),
        7,
        known,
        door.clone(),
        log,
    ));
    (door, inbox, task)
}

/// Waits for the list; how long that took.
async fn heard(inbox: &mut EventReceiver) -> Duration {
    let began = Instant::now();
    let told = timeout(Duration::from_secs(60), async {
        while !matches!(inbox.recv().await, Some(Event::EndpointsChanged { .. })) {}
    });
    told.await.expect("the list");
    began.elapsed()
}

/// The core's queue is full of requests when a list comes: the list is heard first. It waited for a place behind them.
#[tokio::test]
async fn a_list_is_heard_before_the_requests_that_wait() {
    let (address, calls, _) = agent(&[Says::Text(OK), Says::Nothing]).await;
    let (door, mut inbox, _task) = follow(address, true, 1, None);
    let mut waiting = Vec::new();
    let ask = |number| {
        let work = UpstreamRequest {
            client_request_id: format!("n{number}").into(),
            target: "/".into(),
            body: "{}".into(),
        };
        tokio::task::unconstrained(door.submit(RequestMetadata::default(), work)).now_or_never()
    };
    while let Some(asked) = ask(waiting.len()) {
        waiting.push(asked);
    }
    assert!(waiting.len() > 4000, "a full queue");
    // The list is told when discovery is watched again.
    let told = timeout(Duration::from_secs(20), async {
        while calls.load(Ordering::SeqCst) < 2 {
            tokio::task::yield_now().await;
        }
    });
    told.await.expect("a list that waits for no request");
    assert!(
        matches!(inbox.recv().await, Some(Event::EndpointsChanged { .. })),
        "a request came first"
    );
}

const OK: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{\"revision\":7,\"complete\":true,\"members\":[]}";
const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno";
const BUSY: &str = "HTTP/1.1 503 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
const GARBLED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n[what?";
const HALF: &str = "HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{\"revision\":7,";
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Le";
const ENDLESS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"rev\r\n";

/// Whatever came of earlier calls, what discovery has is heard within 6 s where it answers by then, and at once where it
/// is an agent on this machine. After an answer that was no list the next call was made up to 24 s later.
#[tokio::test(start_paused = true)]
async fn a_list_is_heard_in_time_whatever_came_of_the_calls_before() {
    let orders: &[&'static [Says]] = &[
        &[Says::Text(ERROR), Says::Text(OK), Says::Nothing],
        &[
            Says::Text(BUSY),
            Says::Text(BUSY),
            Says::Text(OK),
            Says::Nothing,
        ],
        &[
            Says::Text(GARBLED),
            Says::Text(GARBLED),
            Says::Text(GARBLED),
            Says::Text(OK),
            Says::Nothing,
        ],
        &[
            Says::Cut(HALF),
            Says::Text(ERROR),
            Says::Text(OK),
            Says::Nothing,
        ],
        &[
            Says::Cut(HEAD),
            Says::Cut(""),
            Says::Text(ERROR),
            Says::Text(OK),
            Says::Nothing,
        ],
        &[Says::Text(ENDLESS), Says::Text(OK), Says::Nothing],
        &[Says::Text(HEAD), Says::Text(OK), Says::Nothing],
        &[Says::Nothing, Says::Text(OK), Says::Nothing],
        &[
            Says::Nothing,
            Says::Text(GARBLED),
            Says::Text(OK),
            Says::Nothing,
        ],
    ];
    for (pushed, known, each) in [
        (true, None, 150),
        (true, Some(7), 1_150),
        (false, None, 6_000),
        (false, Some(7), 6_000),
    ] {
        for (at, order) in orders.iter().enumerate() {
            for balancers in [1, 300] {
                let (address, calls, _) = agent(order).await;
                let (_door, mut inbox, _task) = follow(address, pushed, balancers, known);
                let took = heard(&mut inbox).await;
                // Each failed call is the last one before discovery could be reached: the bound is for one of them.
                let most = Duration::from_millis(each) * (order.len() as u32 - 2);
                assert!(
                    took <= most,
                    "{took:?} of {most:?}: order {at}, pushed: {pushed}, {balancers} balancers"
                );
                assert!(calls.load(Ordering::SeqCst) + 1 >= order.len());
            }
        }
    }
}

/// Discovery is silent for a long time: each call's connection is closed when the call is given up.
#[tokio::test(start_paused = true)]
async fn silent_calls_leave_no_connections() {
    let (address, calls, most) = agent(&[Says::Nothing]).await;
    let (_door, _inbox, _task) = follow(address, true, 300, Some(7));
    while calls.load(Ordering::SeqCst) < 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let most = most.load(Ordering::SeqCst);
    assert!(most <= 2, "{most} connections at once");
}

/// A discovery that answers each watch at once, with the same list, is not called without a pause.
#[tokio::test(start_paused = true)]
async fn who_does_not_wait_is_not_called_without_a_pause() {
    let (address, calls, _) = agent(&[Says::Text(OK)]).await;
    let (_door, mut inbox, _task) = follow(address, true, 1, None);
    let began = Instant::now();
    while calls.load(Ordering::SeqCst) < 100 {
        inbox.recv().await;
    }
    assert!(
        began.elapsed() > Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
}
