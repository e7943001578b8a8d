//! The node side alone: a test stands in the core's place.

mod testbed;

use futures_util::FutureExt;
use quartzhall::dispatcher::{Command, Event, EventReceiver, StreamChunk, UpstreamRequest};
use quartzhall::routing::api::{AttemptStatus, RequestId};
use std::time::Duration;
use testbed::{node_side, node_side_for, Fleet, Way, ANSWER};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::{sleep_until, timeout, Instant};

fn work(name: &str) -> UpstreamRequest {
    UpstreamRequest {
        client_request_id: name.into(),
        target: "/v1/chat/completions".into(),
        body: "{}".into(),
    }
}

fn send(id: RequestId, address: &str) -> Command {
    let (work, timeout) = (work(&format!("n{id}")), Duration::from_secs(5));
    Command::StartAttempt {
        id,
        attempt: 0,
        address: address.into(),
        upstream: work,
        timeout,
        needs_new_connection: false,
    }
}

fn send_alone(id: RequestId, address: &str) -> Command {
    let Command::StartAttempt {
        upstream: work,
        timeout,
        ..
    } = send(id, address)
    else {
        unreachable!()
    };
    Command::StartAttempt {
        id,
        attempt: 0,
        address: address.into(),
        upstream: work,
        timeout,
        needs_new_connection: true,
    }
}

/// Reads a whole request from a raw connection.
async fn hear(stream: &mut TcpStream) {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n{}") {
        let mut some = [0; 1024];
        let read = stream.read(&mut some).await.unwrap();
        assert!(read > 0, "the connection ended");
        text.extend_from_slice(&some[..read]);
    }
}

/// Reads a request and answers it as a reader does, on a connection that stays open.
async fn read_for(stream: &mut TcpStream) {
    hear(stream).await;
    stream
        .write_all(b"HTTP/1.1 202 OK\r\nContent-Length: 2\r\n\r\n{}")
        .await
        .unwrap();
}

async fn next(inbox: &mut EventReceiver) -> Event {
    timeout(Duration::from_secs(10), inbox.recv())
        .await
        .expect("an event")
        .expect("an open queue")
}

async fn ended(inbox: &mut EventReceiver) -> AttemptStatus {
    match next(inbox).await {
        Event::AttemptEnded { reason, .. } => reason.status(),
        other => panic!("{other:?}"),
    }
}

/// A stream that has begun at a writer, which pauses after the first event.
async fn begun(
    over_sessions: bool,
) -> (Fleet, Sender<Command>, EventReceiver, Receiver<StreamChunk>) {
    let fleet = Fleet::start(over_sessions).await;
    let speak = if over_sessions {
        fleet.addresses.clone()
    } else {
        Vec::new()
    };
    let (commands, mut inbox) = node_side(&speak);
    commands.send(send(1, &fleet.addresses[0])).await.unwrap();
    assert_eq!(ended(&mut inbox).await, AttemptStatus::PrefillDone);
    fleet.way(2, Way::Pause);
    commands.send(send(1, &fleet.addresses[2])).await.unwrap();
    let Event::FirstEvent { stream, .. } = next(&mut inbox).await else {
        panic!("no first event")
    };
    (fleet, commands, inbox, stream)
}

/// A cancel can cross with the first event: the core has handed the stream to the client when the cancel
/// arrives. A stream that has begun is not withdrawn; cutting it would lose the request.
#[tokio::test]
async fn a_cancel_that_crosses_with_the_first_event_cuts_no_stream() {
    for over_sessions in [false, true] {
        let (fleet, commands, mut inbox, mut stream) = begun(over_sessions).await;
        commands
            .send(Command::CancelAttempt { id: 1, attempt: 0 })
            .await
            .unwrap();
        // Once a later command has been done, so has the cancel.
        let probe = Command::ReleaseReservation {
            id: 9,
            client_request_id: "none".into(),
            addresses: vec![],
        };
        commands.send(probe).await.unwrap();
        assert!(matches!(
            next(&mut inbox).await,
            Event::ReleaseCompleted {
                id: 9,
                confirmed: false
            }
        ));
        fleet.go.notify_one();
        let mut text = Vec::new();
        while let Some(StreamChunk::Data(data)) = stream.recv().await {
            text.extend_from_slice(&data);
        }
        assert_eq!(String::from_utf8(text).unwrap(), ANSWER.concat());
        assert_eq!(ended(&mut inbox).await, AttemptStatus::Served);
    }
}

/// A stream that nobody wants ends at once, also while its node is silent.
#[tokio::test]
async fn a_stream_that_is_dropped_frees_its_node() {
    for over_sessions in [false, true] {
        let (fleet, _commands, mut inbox, stream) = begun(over_sessions).await;
        drop(stream);
        assert_eq!(ended(&mut inbox).await, AttemptStatus::Cancelled);
        fleet.nothing_left().await;
    }
}

/// Nothing goes to a node that was barred while the send waited for a connection, and leases still do.
#[tokio::test]
async fn a_send_that_waits_when_its_node_is_barred_is_not_sent() {
    let fleet = Fleet::start(false).await;
    let (commands, mut inbox) = node_side(&[]);
    let address = &fleet.addresses[0];
    commands
        .send(Command::BlockAddress {
            address: address.as_str().into(),
            is_blocked: true,
        })
        .await
        .unwrap();
    commands.send(send(1, address)).await.unwrap();
    assert_eq!(ended(&mut inbox).await, AttemptStatus::ConnectFailed);
    assert_eq!(fleet.sent_to(0), 0);
    let addresses = vec![address.as_str().into()];
    commands
        .send(Command::ReleaseReservation {
            id: 2,
            client_request_id: "x".into(),
            addresses,
        })
        .await
        .unwrap();
    assert!(matches!(
        next(&mut inbox).await,
        Event::ReleaseCompleted {
            id: 2,
            confirmed: true
        }
    ));
    assert_eq!(fleet.ledger.lock().unwrap().released, 1);
}

/// Hundreds of sends may wait to be taken when their node is told to leave: none of them is begun after that. ReceivedStream one
/// by one, the first hundred were.
#[tokio::test]
async fn no_send_that_waits_to_be_taken_goes_to_a_node_that_is_barred_by_then() {
    let fleet = Fleet::start(false).await;
    let (commands, mut inbox) = node_side_for(1024, &[]);
    let address = &fleet.addresses[0];
    for id in 0..600 {
        commands.try_send(send(id, address)).unwrap();
    }
    commands
        .try_send(Command::BlockAddress {
            address: address.as_str().into(),
            is_blocked: true,
        })
        .unwrap();
    for _ in 0..600 {
        assert_eq!(ended(&mut inbox).await, AttemptStatus::ConnectFailed);
    }
    assert_eq!(fleet.sent_to(0), 0);
}

/// A client leaves as its request is sent on: the cancel is taken with the send, and a kept connection is at hand. Nothing
/// is begun for a client that has gone.
#[tokio::test]
async fn a_send_whose_cancel_is_taken_with_it_is_not_begun() {
    let fleet = Fleet::start(false).await;
    let (commands, mut inbox) = node_side(&[]);
    let address = &fleet.addresses[0];
    commands.send(send(1, address)).await.unwrap();
    assert_eq!(ended(&mut inbox).await, AttemptStatus::PrefillDone);
    commands.try_send(send(2, address)).unwrap();
    commands
        .try_send(Command::CancelAttempt { id: 2, attempt: 0 })
        .unwrap();
    assert_eq!(ended(&mut inbox).await, AttemptStatus::Cancelled);
    commands.send(send(3, address)).await.unwrap();
    assert_eq!(ended(&mut inbox).await, AttemptStatus::PrefillDone);
    let names: Vec<String> = fleet
        .ledger
        .lock()
        .unwrap()
        .sent
        .iter()
        .map(|(_, name)| name.clone())
        .collect();
    assert_eq!(names, ["n1", "n3"]);
}

/// A refused connection proves that nothing ran; a lease call goes on to a node that can be reached.
#[tokio::test]
async fn a_refused_connection_never_ran_and_a_lease_call_tries_the_next_node() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let nowhere = closed.local_addr().unwrap().to_string();
        drop(closed);
        let speak = [vec![nowhere.clone()], fleet.addresses.clone()].concat();
        let (commands, mut inbox) = node_side(if over_sessions { &speak } else { &[] });
        commands.send(send(1, &nowhere)).await.unwrap();
        assert_eq!(ended(&mut inbox).await, AttemptStatus::ConnectFailed);
        let addresses = vec![nowhere.as_str().into(), fleet.addresses[1].as_str().into()];
        commands
            .send(Command::ReleaseReservation {
                id: 2,
                client_request_id: "x".into(),
                addresses,
            })
            .await
            .unwrap();
        assert!(matches!(
            next(&mut inbox).await,
            Event::ReleaseCompleted {
                id: 2,
                confirmed: true
            }
        ));
        assert_eq!(fleet.ledger.lock().unwrap().released, 1);
    }
}

/// The time in which a state must be let go runs on while a node does not answer: others are called before it is given up.
#[tokio::test(start_paused = true)]
async fn a_lease_call_does_not_wait_for_nodes_that_are_silent() {
    let fleet = Fleet::start(false).await;
    let (commands, mut inbox) = node_side(&[]);
    let silent = [
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
    ];
    let silent = silent
        .each_ref()
        .map(|it| it.local_addr().unwrap().to_string());
    let addresses = silent
        .iter()
        .chain(&fleet.addresses[1..2])
        .map(|it| it.as_str().into())
        .collect();
    let begun = tokio::time::Instant::now();
    commands
        .send(Command::ReleaseReservation {
            id: 2,
            client_request_id: "x".into(),
            addresses,
        })
        .await
        .unwrap();
    assert!(matches!(
        next(&mut inbox).await,
        Event::ReleaseCompleted {
            id: 2,
            confirmed: true
        }
    ));
    assert_eq!(fleet.ledger.lock().unwrap().released, 1);
    assert!(
        begun.elapsed() < Duration::from_millis(300),
        "{:?}",
        begun.elapsed()
    );
}

/// A connection that breaks after the request was written may have run: a reset, and it is sent only once.
#[tokio::test]
async fn a_connection_that_breaks_after_the_request_is_a_reset_and_is_not_sent_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (commands, mut inbox) = node_side(&[]);
    commands.send(send(1, &address)).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    hear(&mut stream).await;
    drop(stream);
    assert_eq!(ended(&mut inbox).await, AttemptStatus::Reset);
    let again = std::future::poll_fn(|context| {
        std::task::Poll::Ready(listener.poll_accept(context).is_ready())
    });
    assert!(!again.await, "no library resends it");
}

/// A kept connection that breaks under a request tells nothing of its node; others would break the same way, so
/// that none is kept for a time.
#[tokio::test]
async fn a_kept_connection_that_breaks_is_stale_and_none_is_kept_then() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (commands, mut inbox) = node_side(&[]);
    commands.send(send(1, &address)).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    read_for(&mut stream).await;
    assert_eq!(ended(&mut inbox).await, AttemptStatus::PrefillDone);
    commands.send(send(2, &address)).await.unwrap();
    hear(&mut stream).await;
    drop(stream);
    assert_eq!(ended(&mut inbox).await, AttemptStatus::StaleConnection);
    for id in 3..6 {
        commands.send(send(id, &address)).await.unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        read_for(&mut stream).await;
        assert_eq!(ended(&mut inbox).await, AttemptStatus::PrefillDone);
    }
}

/// What must not run twice never goes on a kept connection: were that closed meanwhile, it might have run.
#[tokio::test]
async fn what_must_not_run_twice_goes_on_a_connection_of_its_own() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (commands, mut inbox) = node_side(&[]);
    commands.send(send(1, &address)).await.unwrap();
    let (mut kept, _) = listener.accept().await.unwrap();
    read_for(&mut kept).await;
    assert_eq!(ended(&mut inbox).await, AttemptStatus::PrefillDone);
    commands.send(send_alone(2, &address)).await.unwrap();
    let (mut alone, _) = listener.accept().await.unwrap();
    read_for(&mut alone).await;
    assert_eq!(ended(&mut inbox).await, AttemptStatus::PrefillDone);
    assert_eq!(
        alone.read(&mut [0; 8]).await.unwrap(),
        0,
        "it is not kept either"
    );
    commands.send(send(3, &address)).await.unwrap();
    read_for(&mut kept).await;
    assert_eq!(ended(&mut inbox).await, AttemptStatus::PrefillDone);
}

/// A request whose last byte was never taken by a connection has certainly not run.
#[tokio::test]
async fn a_connection_that_breaks_under_half_a_request_never_ran_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (commands, mut inbox) = node_side(&[]);
    let Command::StartAttempt {
        upstream: work,
        timeout,
        ..
    } = send(1, &address)
    else {
        unreachable!()
    };
    let body = vec![b' '; 64 << 20].into(); // more than sockets take
    let long = Command::StartAttempt {
        id: 1,
        attempt: 0,
        address: address.as_str().into(),
        upstream: UpstreamRequest { body, ..work },
        timeout,
        needs_new_connection: true,
    };
    commands.send(long).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
    drop(stream);
    assert_eq!(ended(&mut inbox).await, AttemptStatus::NotSent);
}

/// A send that finds all places taken was never tried, and tells nothing of its node.
#[tokio::test(start_paused = true)]
async fn a_send_that_finds_no_place_is_moot() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        fleet.way(0, Way::Wait);
        let speak = if over_sessions {
            fleet.addresses.clone()
        } else {
            Vec::new()
        };
        let (commands, mut inbox) = node_side(&speak);
        for id in 0..10 {
            commands.send(send(id, &fleet.addresses[0])).await.unwrap();
        }
        fleet
            .until("ten are out", |ledger| ledger.sent.len() == 10)
            .await;
        commands.send(send(10, &fleet.addresses[1])).await.unwrap();
        assert_eq!(ended(&mut inbox).await, AttemptStatus::NotSent);
    }
}

/// Connections that were kept to a node that may get nothing new are let go of; one on which a stream runs is not, until
/// that has ended.
#[tokio::test]
async fn kept_connections_to_a_barred_node_are_let_go() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (commands, mut inbox) = node_side(&[]);
    commands.send(send(1, &address)).await.unwrap();
    let (mut idle, _) = listener.accept().await.unwrap();
    hear(&mut idle).await;
    commands.send(send(2, &address)).await.unwrap();
    let (mut busy, _) = listener.accept().await.unwrap();
    hear(&mut busy).await;
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    busy.write_all(format!("{head}9\r\ndata: 1\n\n\r\n").as_bytes())
        .await
        .unwrap();
    let Event::FirstEvent { mut stream, .. } = next(&mut inbox).await else {
        panic!("no first event")
    };
    idle.write_all(b"HTTP/1.1 202 OK\r\nContent-Length: 2\r\n\r\n{}")
        .await
        .unwrap();
    assert_eq!(ended(&mut inbox).await, AttemptStatus::PrefillDone);
    commands
        .send(Command::BlockAddress {
            address: address.as_str().into(),
            is_blocked: true,
        })
        .await
        .unwrap();
    let gone = timeout(Duration::from_secs(5), idle.read(&mut [0]))
        .await
        .expect("let go");
    assert!(matches!(gone, Ok(0)));
    busy.write_all(b"9\r\ndata: 2\n\n\r\n0\r\n\r\n")
        .await
        .unwrap();
    assert_eq!(ended(&mut inbox).await, AttemptStatus::Served);
    let mut whole = Vec::new();
    while let Some(StreamChunk::Data(data)) = stream.recv().await {
        whole.extend_from_slice(&data);
    }
    assert_eq!(whole, b"data: 1\n\ndata: 2\n\n");
    let gone = timeout(Duration::from_secs(5), busy.read(&mut [0]))
        .await
        .expect("let go");
    assert!(matches!(gone, Ok(0)));
}

/// Accepts a connection and reads a whole request from it, on a thread of its own: the paused clock stands meanwhile.
async fn hear_paused(listener: std::net::TcpListener) -> (std::net::TcpStream, String) {
    let hears = move || {
        let mut stream = listener.accept().unwrap().0;
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n{}") {
            let mut some = [0; 1024];
            let read = std::io::Read::read(&mut stream, &mut some).unwrap();
            text.extend_from_slice(&some[..read]);
        }
        stream.set_nonblocking(true).unwrap();
        (stream, String::from_utf8(text).unwrap())
    };
    tokio::task::spawn_blocking(hears).await.unwrap()
}

/// An attempt that is given up is out until its connection is closed: what follows from its end, such as a refusal, must not
/// come before that, whichever task runs first.
#[tokio::test(start_paused = true)]
async fn the_end_of_an_attempt_that_is_given_up_is_told_after_its_connection_is_closed() {
    for cancels in [false, true] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (commands, mut inbox) = node_side(&[]);
        let began = Instant::now();
        let limit = Duration::from_millis(if cancels { 5_000 } else { 100 });
        let Command::StartAttempt {
            id,
            attempt,
            address,
            upstream: work,
            needs_new_connection: alone,
            ..
        } = send(2, &address)
        else {
            unreachable!()
        };
        let send = Command::StartAttempt {
            id,
            attempt,
            address,
            upstream: work,
            timeout: limit,
            needs_new_connection: alone,
        };
        // Wakes together with the attempt, and so runs before what that one wakes.
        let mut with_attempt = std::pin::pin!(sleep_until(began + limit));
        assert!(with_attempt.as_mut().now_or_never().is_none());
        commands.send(send).await.unwrap();
        let mut server = hear_paused(listener).await.0;
        let expected = match cancels {
            true => {
                commands
                    .send(Command::CancelAttempt { id: 2, attempt: 0 })
                    .await
                    .unwrap();
                AttemptStatus::Cancelled
            }
            false => {
                with_attempt.await;
                AttemptStatus::Timeout
            }
        };
        assert_eq!(ended(&mut inbox).await, expected);
        let end = std::io::Read::read(&mut server, &mut [0; 16]);
        assert!(matches!(end, Ok(0)), "cancels {cancels}: {end:?}");
    }
}

/// A connection takes its time, or is waited for: what the server is told is what is left by then.
#[tokio::test(start_paused = true)]
async fn the_time_that_a_server_is_told_is_what_is_left_when_its_connection_is_up() {
    let (commands, inbox) = node_side(&[]);
    // All places are taken by attempts at a server that says nothing.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for id in 0..10 {
        commands
            .send(send(id, &silent.local_addr().unwrap().to_string()))
            .await
            .unwrap();
    }
    let accepts = move || {
        (0..10)
            .map(|_| silent.accept().unwrap())
            .collect::<Vec<_>>()
    };
    let _connections = tokio::task::spawn_blocking(accepts).await.unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    commands
        .send(send(20, &listener.local_addr().unwrap().to_string()))
        .await
        .unwrap();
    tokio::task::yield_now().await;
    tokio::time::advance(Duration::from_millis(200)).await;
    commands
        .send(Command::CancelAttempt { id: 0, attempt: 0 })
        .await
        .unwrap();
    let (_server, head) = hear_paused(listener).await;
    let told = head
        .lines()
        .find_map(|line| line.strip_prefix("x-expires-in-ms: "))
        .expect("the time that is left");
    let told: u64 = told.parse().unwrap();
    assert!(
        (4_700..=4_800).contains(&told),
        "{told} ms of 5 s, 0.2 s later"
    );
    drop(inbox);
}

/// A probe tells no time: on a connection that came up late it is asked all the same, and blames nobody.
#[tokio::test(start_paused = true)]
async fn a_probe_is_answered_on_a_connection_that_came_up_late() {
    let (commands, mut inbox) = node_side(&[]);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for id in 0..10 {
        commands
            .send(send(id, &silent.local_addr().unwrap().to_string()))
            .await
            .unwrap();
    }
    let accepts = move || {
        (0..10)
            .map(|_| silent.accept().unwrap())
            .collect::<Vec<_>>()
    };
    let _connections = tokio::task::spawn_blocking(accepts).await.unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string().into();
    commands
        .send(Command::Probe {
            endpoint: 9,
            address,
        })
        .await
        .unwrap();
    tokio::task::yield_now().await;
    tokio::time::advance(Duration::from_millis(200)).await;
    commands
        .send(Command::CancelAttempt { id: 0, attempt: 0 })
        .await
        .unwrap();
    let answers = move || {
        let mut stream = listener.accept().unwrap().0;
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        if std::io::Read::read(&mut stream, &mut [0; 1024]).unwrap_or(0) > 0 {
            std::io::Write::write_all(&mut stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .unwrap();
        }
        stream
    };
    let _answered = tokio::task::spawn_blocking(answers).await.unwrap();
    loop {
        match next(&mut inbox).await {
            Event::ProbeCompleted {
                endpoint: server,
                is_healthy: ok,
                ..
            } => return assert_eq!((server, ok), (9, true)),
            Event::AttemptEnded { .. } => {}
            other => panic!("{other:?}"),
        }
    }
}
