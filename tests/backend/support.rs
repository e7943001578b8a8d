//! Commands to a backend that runs without a dispatcher core, and stand-in endpoints that read and write raw bytes.

#![allow(dead_code)]

use super::testbed::start_backend;
use bytes::Bytes;
use quartzhall::dispatcher::{Command, Event, EventReceiver, UpstreamRequest};
use quartzhall::routing::api::{AttemptStatus, RequestId};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

/// The number of connections that the backend of a test may open.
pub(crate) const CONNECTION_LIMIT: u64 = 10;
/// The head of a stream's response.
pub(crate) const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The end of a request with the body that [`AttemptSpec::new`] gives it.
const REQUEST_END: &[u8] = b"\r\n\r\n{}";

/// An attempt to start.
pub(crate) struct AttemptSpec {
    pub id: RequestId,
    pub address: String,
    pub body: Bytes,
    pub timeout: Duration,
    pub needs_new_connection: bool,
}

impl AttemptSpec {
    /// Creates an attempt that may use an idle connection, with a timeout of 5 s.
    pub(crate) fn new(id: RequestId, address: &str) -> AttemptSpec {
        AttemptSpec {
            id,
            address: address.to_owned(),
            body: "{}".into(),
            timeout: Duration::from_secs(5),
            needs_new_connection: false,
        }
    }

    /// Returns the command that starts it. The client request id is `n` followed by the request id.
    pub(crate) fn command(self) -> Command {
        Command::StartAttempt {
            id: self.id,
            attempt: 0,
            address: self.address.as_str().into(),
            upstream: UpstreamRequest {
                client_request_id: format!("n{}", self.id).as_str().into(),
                target: "/v1/chat/completions".into(),
                body: self.body,
                stream_can_migrate: true,
            },
            timeout: self.timeout,
            needs_new_connection: self.needs_new_connection,
        }
    }
}

pub(crate) fn start_attempt(id: RequestId, address: &str) -> Command {
    AttemptSpec::new(id, address).command()
}

pub(crate) fn cancel_attempt(id: RequestId) -> Command {
    Command::CancelAttempt { id, attempt: 0 }
}

pub(crate) fn block_address(address: &str) -> Command {
    Command::BlockAddress {
        address: address.into(),
        is_blocked: true,
    }
}

/// Binds a listener for a stand-in endpoint and returns it with its address.
pub(crate) async fn bind_endpoint() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Does the same as [`bind_endpoint`] with a listener of the standard library, which a paused clock does not affect.
pub(crate) fn bind_blocking_endpoint() -> (std::net::TcpListener, String) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Reads a whole request from a raw connection.
pub(crate) async fn read_request(stream: &mut TcpStream) {
    let mut text = Vec::new();
    while !text.ends_with(REQUEST_END) {
        let mut buffer = [0; 1024];
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "the connection ended");
        text.extend_from_slice(&buffer[..count]);
    }
}

/// Writes the response of a prefill endpoint.
pub(crate) async fn write_prefill_response(stream: &mut TcpStream) {
    stream
        .write_all(b"HTTP/1.1 202 OK\r\nContent-Length: 2\r\n\r\n{}")
        .await
        .unwrap();
}

/// Reads a request and writes the response of a prefill endpoint; the connection stays open.
pub(crate) async fn serve_prefill(stream: &mut TcpStream) {
    read_request(stream).await;
    write_prefill_response(stream).await;
}

/// Accepts a connection and reads a whole request from it, on a thread of its own. A paused clock does not advance
/// while the thread runs.
pub(crate) async fn accept_request_blocking(
    listener: std::net::TcpListener,
) -> (std::net::TcpStream, String) {
    let accept = move || {
        let mut stream = listener.accept().unwrap().0;
        let mut text = Vec::new();
        while !text.ends_with(REQUEST_END) {
            let mut buffer = [0; 1024];
            let count = std::io::Read::read(&mut stream, &mut buffer).unwrap();
            text.extend_from_slice(&buffer[..count]);
        }
        stream.set_nonblocking(true).unwrap();
        (stream, String::from_utf8(text).unwrap())
    };
    tokio::task::spawn_blocking(accept).await.unwrap()
}

/// A backend without free connection permits: attempts at an endpoint that never responds hold all of them.
pub(crate) struct ExhaustedBackend {
    pub commands: Sender<Command>,
    pub events: EventReceiver,
    _connections: Vec<(std::net::TcpStream, std::net::SocketAddr)>,
}

impl ExhaustedBackend {
    pub(crate) async fn start() -> ExhaustedBackend {
        let (commands, events) = start_backend(&[]);
        let (listener, address) = bind_blocking_endpoint();
        for id in 0..CONNECTION_LIMIT {
            commands.send(start_attempt(id, &address)).await.unwrap();
        }
        let accept_all = move || {
            (0..CONNECTION_LIMIT)
                .map(|_| listener.accept().unwrap())
                .collect()
        };
        ExhaustedBackend {
            commands,
            events,
            _connections: tokio::task::spawn_blocking(accept_all).await.unwrap(),
        }
    }

    /// Advances the paused clock by 200 ms and cancels one of the attempts, whose permit goes to what waits for one.
    pub(crate) async fn free_a_permit_after_200_ms(&self) {
        tokio::task::yield_now().await;
        tokio::time::advance(Duration::from_millis(200)).await;
        self.commands.send(cancel_attempt(0)).await.unwrap();
    }
}

pub(crate) async fn next_event(events: &mut EventReceiver) -> Event {
    timeout(Duration::from_secs(10), events.recv())
        .await
        .expect("an event")
        .expect("an open queue")
}

/// Returns the status with which the next attempt ends; panics if the next event is another one.
pub(crate) async fn next_status(events: &mut EventReceiver) -> AttemptStatus {
    match next_event(events).await {
        Event::AttemptEnded { reason, .. } => reason.status(),
        other => panic!("{other:?}"),
    }
}
