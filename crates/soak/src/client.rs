//! Load generation: each client sends one request on a connection of its own, and some clients disconnect early.
//!
//! The module holds no state; what a client observes is recorded in the [`Oracle`].

use crate::config::{IDEMPOTENT_CLASS, MAX_DEADLINE, NON_IDEMPOTENT_CLASS};
use crate::oracle::Oracle;
use crate::wire::split_head;
use rand::Rng;
use rand_pcg::Pcg32;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Fraction of the requests that must not run twice.
const NON_IDEMPOTENT_FRACTION: f64 = 0.3;
/// Fraction of the clients that disconnect before their response.
const EARLY_DISCONNECT_FRACTION: f64 = 0.1;
/// How long a client waits beyond its deadline; the oracle has judged by then.
const MAX_OVERTIME: Duration = Duration::from_secs(4);

/// A dispatcher, as its clients see it.
pub struct Target {
    /// The dispatcher's number.
    pub process: usize,
    /// Where it listens.
    pub address: String,
    /// Records what clients observe.
    pub oracle: Arc<Oracle>,
}

/// One randomly drawn request.
pub struct ClientRequest {
    id: String,
    is_non_idempotent: bool,
    deadline: Duration,
    disconnect_after: Option<Duration>,
    text: String,
}

impl ClientRequest {
    /// Draws request `number` to dispatcher `process`.
    pub fn draw(process: usize, number: u64, rng: &mut Pcg32) -> ClientRequest {
        let id = format!("{process:04x}{number:012x}");
        let is_non_idempotent = rng.gen_bool(NON_IDEMPOTENT_FRACTION);
        let deadline = Duration::from_millis(rng.gen_range(900..=MAX_DEADLINE.as_millis() as u64));
        let disconnect_after = if rng.gen_bool(EARLY_DISCONNECT_FRACTION) {
            Some(Duration::from_millis(rng.gen_range(20..900)))
        } else {
            None
        };
        let class = if is_non_idempotent {
            NON_IDEMPOTENT_CLASS
        } else {
            IDEMPOTENT_CLASS
        };
        let expires = deadline.as_millis();
        let session = rng.gen_range(0..200);
        let prompt_tokens = rng.gen_range(100..2_000);
        let body = "x".repeat(prompt_tokens);
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: acme\r\nX-Object: {session:x}\r\nX-Expires-In-Ms: {expires}\r\nX-Props: prompt_len={prompt_tokens},max_out=50\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        ClientRequest {
            id,
            is_non_idempotent,
            deadline,
            disconnect_after,
            text,
        }
    }
}

/// Sends a request on a connection of its own and records the response in the oracle.
pub async fn send_request(target: Arc<Target>, request: ClientRequest) {
    let started = Instant::now();
    let Ok(mut stream) = TcpStream::connect(&target.address).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(request.text.as_bytes()).await.is_err() {
        return;
    }
    let oracle = &target.oracle;
    oracle.on_request_sent(
        &request.id,
        target.process,
        request.is_non_idempotent,
        request.deadline,
    );
    let max_wait = request
        .disconnect_after
        .unwrap_or(request.deadline + MAX_OVERTIME);
    let Ok(response) = timeout(max_wait, read_response_head(&mut stream)).await else {
        drop(stream);
        if request.disconnect_after.is_some() {
            oracle.on_client_disconnected(&request.id);
        }
        return;
    };
    let Some((status, mut body)) = response else {
        let is_excused = oracle.was_killed_since(target.process, started);
        return oracle.on_closed_without_response(&request.id, is_excused);
    };
    oracle.on_response(&request.id, status);
    if status == 200 {
        let _ = timeout(MAX_OVERTIME, stream.read_to_end(&mut body)).await;
        oracle.on_stream_ended(&request.id, body.ends_with(b"0\r\n\r\n"));
    }
}

/// Reads a response's head: its status, and the bytes that followed the head; `None` if the connection ends before.
async fn read_response_head(stream: &mut TcpStream) -> Option<(u16, Vec<u8>)> {
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk).await.ok()?;
        if count == 0 {
            return None;
        }
        received.extend_from_slice(&chunk[..count]);
        let Some((head, body_start)) = split_head(&received) else {
            continue;
        };
        let status = head.split(' ').nth(1)?.parse().ok()?;
        return Some((status, received.split_off(body_start)));
    }
}
