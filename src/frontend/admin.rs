//! Operators' calls: one line a connection, one line back that begins with `ACK` or `NAK`. It renders what the core
//! knows and asks the core; it decides nothing.

use crate::dispatcher::bans::BanError;
use crate::dispatcher::{DispatcherHandle, Readiness};
use crate::net::system_errors::AcceptPauses;
use slog::{info, warn, Logger};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Callers at once, out of the spare descriptors. When there are more, the one that came first has not ended its
/// line for longest, and makes room.
const MOST_CALLERS: usize = 12;
/// A line is no longer than this, its end included.
const LONGEST: usize = 512;
/// A caller has so long for its line ...
const LINE_TIME: Duration = Duration::from_secs(10);
/// ... and so long to take the answer and close.
const END_TIME: Duration = Duration::from_secs(1);

/// What operators can ask for.
#[derive(Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// To leave a replica out.
    Disable(Arc<str>),
    /// To use it again.
    Enable(Arc<str>),
}

/// Reads a line without its end.
pub fn parse(line: &[u8]) -> Result<Call, &'static str> {
    let line = std::str::from_utf8(line).map_err(|_| "the line is not UTF-8")?;
    let mut words = line.split_ascii_whitespace();
    let verb = words.next().ok_or("the line is empty")?;
    let named = |word: Option<&str>| word.map(Arc::from).ok_or("the replica's id is missing");
    let call = match verb {
        "ready" => Call::Ready,
        "disable-server" => Call::Disable(named(words.next())?),
        "enable-server" => Call::Enable(named(words.next())?),
        _ => return Err("unknown call: ready, disable-server ID and enable-server ID are known"),
    };
    match words.next() {
        None => Ok(call),
        Some(_) => Err("a word too many"),
    }
}

/// The line up to its end; the error is the answer.
async fn line(stream: &mut TcpStream) -> Result<Vec<u8>, &'static str> {
    let mut line = Vec::new();
    let mut buffer = [0; LONGEST];
    loop {
        let room = LONGEST - line.len();
        let read = stream
            .read(&mut buffer[..room])
            .await
            .map_err(|_| "the line broke")?;
        line.extend_from_slice(&buffer[..read]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Ok(line);
        }
        // UpstreamHalf a line may be the beginning of another id.
        if read == 0 {
            return Err("the line has no end");
        }
        if line.len() == LONGEST {
            return Err("the line is too long");
        }
    }
}

async fn ask(door: &DispatcherHandle, call: Call) -> Result<(), &'static str> {
    let (id, banned) = match call {
        Call::Ready => {
            return match door.readiness() {
                Readiness::Ready => Ok(()),
                Readiness::Starting | Readiness::Standby => Err("starting"),
                Readiness::Draining => Err("draining"),
            }
        }
        Call::Disable(id) => (id, true),
        Call::Enable(id) => (id, false),
    };
    match door.set_ban(id, banned).await {
        Some(Ok(())) => Ok(()),
        Some(Err(BanError::Unknown)) => Err("no replica of this id was listed"),
        Some(Err(BanError::TooMany)) => Err("too many replicas are out of use"),
        None => Err("the dispatcher ends"),
    }
}

async fn serve_one(mut stream: TcpStream, door: DispatcherHandle, log: Logger) {
    let Ok(line) = timeout(LINE_TIME, line(&mut stream)).await else {
        return;
    };
    let answer = match line.as_deref().map_err(|error| *error).and_then(parse) {
        Ok(call) => {
            let words = format!("{call:?}");
            let answer = ask(&door, call).await;
            if words != "Ready" {
                info!(log, "an operator's call"; "call" => words, "answer" => ?answer);
            }
            answer
        }
        Err(error) => Err(error),
    };
    let answer = match answer {
        Ok(()) => "ACK\n".to_owned(),
        Err(reason) => format!("NAK {reason}\n"),
    };
    // What the caller sends beyond its line is read and dropped: to close before would reset the answer.
    let _ = timeout(END_TIME, async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        let mut rest = [0; LONGEST];
        while stream.read(&mut rest).await? > 0 {}
        std::io::Result::Ok(())
    })
    .await;
}

/// Answers operators for as long as the dispatcher runs.
pub async fn serve(listener: TcpListener, door: DispatcherHandle, log: Logger) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    let mut pauses = AcceptPauses::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                pauses.reset();
                callers.retain(|caller| !caller.is_finished());
                if callers.len() >= MOST_CALLERS {
                    if let Some(first) = callers.pop_front() {
                        first.abort();
                    }
                }
                callers.push_back(
                    tokio::spawn(serve_one(stream, door.clone(), log.clone())).abort_handle(),
                );
            }
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(pauses.delay_after(&error)).await;
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/admin.rs"]
mod tests;
