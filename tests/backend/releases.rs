//! Tests of reservation releases and of probes.

use super::support::{
    bind_blocking_endpoint, bind_endpoint, next_event, next_status, start_attempt, ExhaustedBackend,
};
use super::testbed::{start_backend, Fleet};
use quartzhall::dispatcher::{Command, Event};
use quartzhall::routing::api::AttemptStatus;
use std::time::Duration;
use tokio::time::Instant;

/// A refused connection proves that the request never ran. A release continues with an endpoint that can be reached.
#[tokio::test]
async fn a_refused_connection_never_ran_and_a_release_tries_the_next_endpoint() {
    for uses_websocket in [false, true] {
        let fleet = Fleet::start(uses_websocket).await;
        let (closed, closed_address) = bind_endpoint().await;
        drop(closed);
        let with_sessions = [
            vec![closed_address.clone()],
            fleet.replica_addresses.clone(),
        ]
        .concat();
        let (commands, mut events) =
            start_backend(if uses_websocket { &with_sessions } else { &[] });
        let attempt = start_attempt(1, &closed_address);
        commands.send(attempt).await.unwrap();
        assert_eq!(next_status(&mut events).await, AttemptStatus::ConnectFailed);
        let release = Command::ReleaseReservation {
            id: 2,
            client_request_id: "x".into(),
            addresses: vec![
                closed_address.as_str().into(),
                fleet.replica_addresses[1].as_str().into(),
            ],
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
}

/// A KV cache must be released in time even if some endpoints don't respond. Others are called before the calls to the
/// silent ones time out.
#[tokio::test(start_paused = true)]
async fn a_release_does_not_wait_for_endpoints_that_are_silent() {
    let fleet = Fleet::start(false).await;
    let (commands, mut events) = start_backend(&[]);
    let (_first_silent, first_address) = bind_endpoint().await;
    let (_second_silent, second_address) = bind_endpoint().await;
    let started_at = Instant::now();
    let release = Command::ReleaseReservation {
        id: 2,
        client_request_id: "x".into(),
        addresses: vec![
            first_address.as_str().into(),
            second_address.as_str().into(),
            fleet.replica_addresses[1].as_str().into(),
        ],
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
    assert!(
        started_at.elapsed() < Duration::from_millis(300),
        "{:?}",
        started_at.elapsed()
    );
}

/// A probe declares no time left, so it is sent on a connection that was established late, and does not fail.
#[tokio::test(start_paused = true)]
async fn a_probe_is_answered_on_a_connection_that_came_up_late() {
    let mut backend = ExhaustedBackend::start().await;
    let (listener, address) = bind_blocking_endpoint();
    let probe = Command::Probe {
        endpoint: 9,
        address: address.into(),
    };
    backend.commands.send(probe).await.unwrap();
    backend.free_a_permit_after_200_ms().await;
    let answer_probe = move || {
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
    let _endpoint = tokio::task::spawn_blocking(answer_probe).await.unwrap();
    loop {
        match next_event(&mut backend.events).await {
            Event::ProbeCompleted {
                endpoint,
                is_healthy,
                ..
            } => {
                assert_eq!((endpoint, is_healthy), (9, true));
                return;
            }
            Event::AttemptEnded { .. } => {}
            other => panic!("{other:?}"),
        }
    }
}
