//! Tests of which connections attempts use, and when idle ones are closed.

use super::support::{
    bind_endpoint, block_address, next_event, next_status, read_request, serve_prefill,
    start_attempt, write_prefill_response, AttemptSpec, CONNECTION_LIMIT, STREAM_HEAD,
};
use super::testbed::{start_backend, Behavior, Fleet};
use super::websocket_addresses;
use quartzhall::dispatcher::{Event, StreamChunk};
use quartzhall::routing::api::AttemptStatus;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A pooled connection that breaks under a request says nothing about its endpoint. Other idle ones are likely to break
/// too, so pooling pauses.
#[tokio::test]
async fn an_idle_connection_that_breaks_under_a_request_is_stale_and_pooling_pauses() {
    let (listener, address) = bind_endpoint().await;
    let (commands, mut events) = start_backend(&[]);
    commands.send(start_attempt(1, &address)).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    serve_prefill(&mut stream).await;
    assert_eq!(next_status(&mut events).await, AttemptStatus::PrefillDone);
    commands.send(start_attempt(2, &address)).await.unwrap();
    read_request(&mut stream).await;
    drop(stream);
    assert_eq!(
        next_status(&mut events).await,
        AttemptStatus::StaleConnection
    );
    for id in 3..6 {
        commands.send(start_attempt(id, &address)).await.unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        serve_prefill(&mut stream).await;
        assert_eq!(next_status(&mut events).await, AttemptStatus::PrefillDone);
    }
}

/// A request that must not run twice gets no pooled connection: if that breaks, the request may have run.
#[tokio::test]
async fn an_attempt_that_needs_a_new_connection_uses_no_pooled_one() {
    let (listener, address) = bind_endpoint().await;
    let (commands, mut events) = start_backend(&[]);
    commands.send(start_attempt(1, &address)).await.unwrap();
    let (mut pooled, _) = listener.accept().await.unwrap();
    serve_prefill(&mut pooled).await;
    assert_eq!(next_status(&mut events).await, AttemptStatus::PrefillDone);
    let attempt = AttemptSpec {
        needs_new_connection: true,
        ..AttemptSpec::new(2, &address)
    };
    commands.send(attempt.command()).await.unwrap();
    let (mut unpooled, _) = listener.accept().await.unwrap();
    serve_prefill(&mut unpooled).await;
    assert_eq!(next_status(&mut events).await, AttemptStatus::PrefillDone);
    assert_eq!(
        unpooled.read(&mut [0; 8]).await.unwrap(),
        0,
        "the new connection is not pooled either"
    );
    commands.send(start_attempt(3, &address)).await.unwrap();
    serve_prefill(&mut pooled).await;
    assert_eq!(next_status(&mut events).await, AttemptStatus::PrefillDone);
}

/// An attempt without a connection permit is not sent, and says nothing about its endpoint.
#[tokio::test(start_paused = true)]
async fn an_attempt_without_a_connection_permit_is_not_sent() {
    for uses_websocket in [false, true] {
        let fleet = Fleet::start(uses_websocket).await;
        fleet.set_behavior(0, Behavior::Hang);
        let (commands, mut events) = start_backend(&websocket_addresses(&fleet, uses_websocket));
        for id in 0..CONNECTION_LIMIT {
            let attempt = start_attempt(id, &fleet.replica_addresses[0]);
            commands.send(attempt).await.unwrap();
        }
        fleet
            .wait_until("ten are in flight", |activity| {
                activity.attempts.len() == 10
            })
            .await;
        let attempt = start_attempt(10, &fleet.replica_addresses[1]);
        commands.send(attempt).await.unwrap();
        assert_eq!(next_status(&mut events).await, AttemptStatus::NotSent);
    }
}

async fn assert_closed(stream: &mut TcpStream) {
    let end = timeout(Duration::from_secs(5), stream.read(&mut [0]))
        .await
        .expect("the connection is closed");
    assert!(matches!(end, Ok(0)));
}

/// Blocking an endpoint closes its idle connections at once, and one that carries a stream after the stream's end.
#[tokio::test]
async fn connections_to_a_blocked_endpoint_are_closed_once_they_are_idle() {
    let (listener, address) = bind_endpoint().await;
    let (commands, mut events) = start_backend(&[]);
    commands.send(start_attempt(1, &address)).await.unwrap();
    let (mut idle, _) = listener.accept().await.unwrap();
    read_request(&mut idle).await;
    commands.send(start_attempt(2, &address)).await.unwrap();
    let (mut busy, _) = listener.accept().await.unwrap();
    read_request(&mut busy).await;
    busy.write_all(format!("{STREAM_HEAD}9\r\ndata: 1\n\n\r\n").as_bytes())
        .await
        .unwrap();
    let Event::FirstEvent { mut stream, .. } = next_event(&mut events).await else {
        panic!("no first event")
    };
    write_prefill_response(&mut idle).await;
    assert_eq!(next_status(&mut events).await, AttemptStatus::PrefillDone);
    commands.send(block_address(&address)).await.unwrap();
    assert_closed(&mut idle).await;
    busy.write_all(b"9\r\ndata: 2\n\n\r\n0\r\n\r\n")
        .await
        .unwrap();
    assert_eq!(next_status(&mut events).await, AttemptStatus::Served);
    let mut data = Vec::new();
    while let Some(StreamChunk::Data(chunk)) = stream.recv().await {
        data.extend_from_slice(&chunk);
    }
    assert_eq!(data, b"data: 1\n\ndata: 2\n\n");
    assert_closed(&mut busy).await;
}
