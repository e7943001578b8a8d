//! Clients: one request at a time on a connection, some of them leave early.

use crate::config::{LONGEST_DEADLINE, SAFE_CLASS, SINGLE_CLASS};
use crate::oracle::Oracle;
use rand::Rng;
use rand_pcg::Pcg32;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Part of the requests that must not run twice, and part of the clients that leave before their answer.
const SINGLE: f64 = 0.3;
const LEAVES: f64 = 0.1;
/// A client that has waited so long beyond its time stops watching; the oracle has judged by then.
const WATCHES: Duration = Duration::from_secs(4);

/// A process, as its clients see it.
pub struct Target {
    /// Its number.
    pub process: usize,
    /// Where it listens.
    pub address: String,
    /// Judges.
    pub oracle: Arc<Oracle>,
}

/// One request, drawn.
pub struct Asked {
    id: String,
    single: bool,
    wait: Duration,
    leaves_after: Option<Duration>,
    text: String,
}

impl Asked {
    /// Draws a request of this number.
    pub fn draw(process: usize, number: u64, rng: &mut Pcg32) -> Asked {
        let id = format!("{process:04x}{number:012x}");
        let single = rng.gen_bool(SINGLE);
        let wait = Duration::from_millis(rng.gen_range(900..=LONGEST_DEADLINE.as_millis() as u64));
        let leaves_after = rng
            .gen_bool(LEAVES)
            .then(|| Duration::from_millis(rng.gen_range(20..900)));
        let (class, expires) = (
            if single { SINGLE_CLASS } else { SAFE_CLASS },
            wait.as_millis(),
        );
        let (session, prompt) = (rng.gen_range(0..200), rng.gen_range(100..2_000));
        let body = "x".repeat(prompt);
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: acme\r\nX-Object: {session:x}\r\nX-Expires-In-Ms: {expires}\r\nX-Props: prompt_len={prompt},max_out=50\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Asked {
            id,
            single,
            wait,
            leaves_after,
            text,
        }
    }
}

/// Sends a request on a connection of its own and watches what comes.
pub async fn ask(target: Arc<Target>, asked: Asked) {
    let began = Instant::now();
    let Ok(mut stream) = TcpStream::connect(&target.address).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(asked.text.as_bytes()).await.is_err() {
        return;
    }
    let oracle = &target.oracle;
    oracle.sent(&asked.id, target.process, asked.single, asked.wait);
    let patience = asked.leaves_after.unwrap_or(asked.wait + WATCHES);
    let Ok(answer) = timeout(patience, head(&mut stream)).await else {
        drop(stream);
        if asked.leaves_after.is_some() {
            oracle.client_gone(&asked.id);
        }
        return;
    };
    let Some((status, mut rest)) = answer else {
        let excused = oracle.was_down_since(target.process, began);
        return oracle.closed_unanswered(&asked.id, excused);
    };
    oracle.answered(&asked.id, status);
    if status == 200 {
        let _ = timeout(WATCHES, stream.read_to_end(&mut rest)).await;
        oracle.stream_over(&asked.id, rest.ends_with(b"0\r\n\r\n"));
    }
}

/// The status of an answer and what came behind its head; `None` at the connection's end.
async fn head(stream: &mut TcpStream) -> Option<(u16, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut some = [0; 4096];
    loop {
        let read = stream.read(&mut some).await.ok().filter(|read| *read > 0)?;
        bytes.extend_from_slice(&some[..read]);
        let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        return Some((status, bytes.split_off(end + 4)));
    }
}
