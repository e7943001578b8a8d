//! Tests of the backend alone: the test sends the commands and receives the events in place of the dispatcher. Attempts
//! and cancels are tested here, connections, releases and probes in the modules.

#[path = "backend/connections.rs"]
mod connections;
#[path = "backend/releases.rs"]
mod releases;
#[path = "backend/support.rs"]
mod support;
mod testbed;

use futures_util::FutureExt;
use quartzhall::dispatcher::{Command, Event, EventReceiver, StreamChunk};
use quartzhall::routing::api::AttemptStatus;
use std::time::Duration;
use support::{
    accept_request_blocking, bind_blocking_endpoint, bind_endpoint, block_address, cancel_attempt,
    next_event, next_status, read_request, start_attempt, AttemptSpec, ExhaustedBackend,
};
use testbed::{start_backend, start_backend_with_queue, Behavior, Fleet, STREAM_EVENTS};
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::{sleep_until, Instant};

/// A stream from a decode replica that pauses after the first event.
struct StartedStream {
    fleet: Fleet,
    commands: Sender<Command>,
    events: EventReceiver,
    stream: Receiver<StreamChunk>,
}

impl StartedStream {
    async fn start(uses_websocket: bool) -> StartedStream {
        let fleet = Fleet::start(uses_websocket).await;
        let (commands, mut events) = start_backend(&websocket_addresses(&fleet, uses_websocket));
        let prefill = start_attempt(1, &fleet.replica_addresses[0]);
        commands.send(prefill).await.unwrap();
        assert_eq!(next_status(&mut events).await, AttemptStatus::PrefillDone);
        fleet.set_behavior(2, Behavior::Pause);
        let decode = start_attempt(1, &fleet.replica_addresses[2]);
        commands.send(decode).await.unwrap();
        let Event::FirstEvent { stream, .. } = next_event(&mut events).await else {
            panic!("no first event")
        };
        StartedStream {
            fleet,
            commands,
            events,
            stream,
        }
    }
}

/// Returns the addresses at which the backend uses WebSocket sessions.
fn websocket_addresses(fleet: &Fleet, uses_websocket: bool) -> Vec<String> {
    if uses_websocket {
        fleet.replica_addresses.clone()
    } else {
        Vec::new()
    }
}

/// A cancel can arrive after the first event was reported, when the dispatcher has given the stream to the client.
/// Cutting a stream that has started would fail the request.
#[tokio::test]
async fn a_cancel_that_crosses_with_the_first_event_does_not_cut_the_stream() {
    for uses_websocket in [false, true] {
        let StartedStream {
            fleet,
            commands,
            mut events,
            mut stream,
        } = StartedStream::start(uses_websocket).await;
        commands.send(cancel_attempt(1)).await.unwrap();
        // Commands are executed in order: once this one has completed, so has the cancel.
        let later = Command::ReleaseReservation {
            id: 9,
            client_request_id: "none".into(),
            addresses: vec![],
        };
        commands.send(later).await.unwrap();
        assert!(matches!(
            next_event(&mut events).await,
            Event::ReleaseCompleted {
                id: 9,
                confirmed: false
            }
        ));
        fleet.resume.notify_one();
        let mut text = Vec::new();
        while let Some(StreamChunk::Data(data)) = stream.recv().await {
            text.extend_from_slice(&data);
        }
        assert_eq!(String::from_utf8(text).unwrap(), STREAM_EVENTS.concat());
        assert_eq!(next_status(&mut events).await, AttemptStatus::Served);
    }
}

/// A stream whose receiver is dropped ends at once, even while its endpoint is silent.
#[tokio::test]
async fn a_stream_whose_receiver_is_dropped_frees_its_endpoint() {
    for uses_websocket in [false, true] {
        let StartedStream {
            fleet,
            commands: _commands,
            mut events,
            stream,
        } = StartedStream::start(uses_websocket).await;
        drop(stream);
        assert_eq!(next_status(&mut events).await, AttemptStatus::Cancelled);
        fleet.assert_all_released().await;
    }
}

/// A blocked endpoint gets no attempts, but still gets releases.
#[tokio::test]
async fn an_attempt_at_an_endpoint_that_is_blocked_is_not_sent_and_a_release_is() {
    let fleet = Fleet::start(false).await;
    let (commands, mut events) = start_backend(&[]);
    let address = &fleet.replica_addresses[0];
    commands.send(block_address(address)).await.unwrap();
    commands.send(start_attempt(1, address)).await.unwrap();
    assert_eq!(next_status(&mut events).await, AttemptStatus::ConnectFailed);
    assert_eq!(fleet.attempts_at(0), 0);
    let release = Command::ReleaseReservation {
        id: 2,
        client_request_id: "x".into(),
        addresses: vec![address.as_str().into()],
    };
    commands.send(release).await.unwrap();
    assert!(matches!(
        next_event(&mut events).await,
        Event::ReleaseCompleted {
            id: 2,
            confirmed: true
        }
    ));
    assert_eq!(fleet.activity.lock().unwrap().release_count, 1);
}

/// Hundreds of attempts may be queued ahead of the command that blocks their endpoint. None of them starts: when
/// commands were executed one by one, the first hundred did.
#[tokio::test]
async fn no_queued_attempt_starts_at_an_endpoint_that_is_blocked_by_then() {
    let fleet = Fleet::start(false).await;
    let (commands, mut events) = start_backend_with_queue(1024, &[]);
    let address = &fleet.replica_addresses[0];
    for id in 0..600 {
        commands.try_send(start_attempt(id, address)).unwrap();
    }
    commands.try_send(block_address(address)).unwrap();
    for _ in 0..600 {
        assert_eq!(next_status(&mut events).await, AttemptStatus::ConnectFailed);
    }
    assert_eq!(fleet.attempts_at(0), 0);
}

/// A client disconnects while its attempt is queued, so that the attempt and its cancel are executed together. Nothing
/// is sent, although an idle connection is available.
#[tokio::test]
async fn an_attempt_whose_cancel_is_queued_with_it_is_not_sent() {
    let fleet = Fleet::start(false).await;
    let (commands, mut events) = start_backend(&[]);
    let address = &fleet.replica_addresses[0];
    commands.send(start_attempt(1, address)).await.unwrap();
    assert_eq!(next_status(&mut events).await, AttemptStatus::PrefillDone);
    commands.try_send(start_attempt(2, address)).unwrap();
    commands.try_send(cancel_attempt(2)).unwrap();
    assert_eq!(next_status(&mut events).await, AttemptStatus::Cancelled);
    commands.send(start_attempt(3, address)).await.unwrap();
    assert_eq!(next_status(&mut events).await, AttemptStatus::PrefillDone);
    let activity = fleet.activity.lock().unwrap();
    let names: Vec<String> = activity
        .attempts
        .iter()
        .map(|(_, name)| name.clone())
        .collect();
    assert_eq!(names, ["n1", "n3"]);
}

/// A request may have run if its connection breaks after it was written. The attempt ends as a reset and is not sent again.
#[tokio::test]
async fn a_connection_that_breaks_after_the_request_is_a_reset_and_is_not_retried() {
    let (listener, address) = bind_endpoint().await;
    let (commands, mut events) = start_backend(&[]);
    commands.send(start_attempt(1, &address)).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    read_request(&mut stream).await;
    drop(stream);
    assert_eq!(next_status(&mut events).await, AttemptStatus::Reset);
    let second_connection = std::future::poll_fn(|context| {
        std::task::Poll::Ready(listener.poll_accept(context).is_ready())
    });
    assert!(
        !second_connection.await,
        "the request is sent again on a second connection"
    );
}

/// A request whose last byte was never written to the socket has certainly not run.
#[tokio::test]
async fn a_connection_that_breaks_before_the_whole_request_is_written_never_ran_it() {
    let (listener, address) = bind_endpoint().await;
    let (commands, mut events) = start_backend(&[]);
    let attempt = AttemptSpec {
        body: vec![b' '; 64 << 20].into(), // more than socket buffers hold
        needs_new_connection: true,
        ..AttemptSpec::new(1, &address)
    };
    commands.send(attempt.command()).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
    drop(stream);
    assert_eq!(next_status(&mut events).await, AttemptStatus::NotSent);
}

/// An attempt is in flight until its connection is closed. Its end must not be reported before that, whichever task
/// runs first, because the client's response may follow at once.
#[tokio::test(start_paused = true)]
async fn the_end_of_an_abandoned_attempt_is_reported_after_its_connection_is_closed() {
    for is_cancelled in [false, true] {
        let (listener, address) = bind_blocking_endpoint();
        let (commands, mut events) = start_backend(&[]);
        let started_at = Instant::now();
        let timeout = Duration::from_millis(if is_cancelled { 5_000 } else { 100 });
        let attempt = AttemptSpec {
            timeout,
            ..AttemptSpec::new(2, &address)
        };
        // Wakes at the same time as the attempt, and so runs before any task that the attempt wakes.
        let mut attempt_deadline = std::pin::pin!(sleep_until(started_at + timeout));
        assert!(attempt_deadline.as_mut().now_or_never().is_none());
        commands.send(attempt.command()).await.unwrap();
        let mut endpoint = accept_request_blocking(listener).await.0;
        let expected = if is_cancelled {
            commands.send(cancel_attempt(2)).await.unwrap();
            AttemptStatus::Cancelled
        } else {
            attempt_deadline.await;
            AttemptStatus::Timeout
        };
        assert_eq!(next_status(&mut events).await, expected);
        let end = std::io::Read::read(&mut endpoint, &mut [0; 16]);
        assert!(matches!(end, Ok(0)), "cancelled {is_cancelled}: {end:?}");
    }
}

/// A request waits for its connection, then declares the time that is left when the connection is established.
#[tokio::test(start_paused = true)]
async fn a_request_declares_the_time_that_is_left_when_its_connection_is_up() {
    let backend = ExhaustedBackend::start().await;
    let (listener, address) = bind_blocking_endpoint();
    let attempt = start_attempt(20, &address);
    backend.commands.send(attempt).await.unwrap();
    backend.free_a_permit_after_200_ms().await;
    let (_endpoint, head) = accept_request_blocking(listener).await;
    let time_left = head
        .lines()
        .find_map(|line| line.strip_prefix("x-expires-in-ms: "))
        .expect("the time that is left");
    let time_left: u64 = time_left.parse().unwrap();
    assert!(
        (4_700..=4_800).contains(&time_left),
        "{time_left} ms of 5 s, 0.2 s later"
    );
}
