//! The frontend for operators: one command line per connection, answered by one line that begins with `ACK` or `NAK`.
//!
//! It reports the dispatcher's readiness and submits bans. The dispatcher decides on them and owns the ban list.

use crate::dispatcher::bans::BanError;
use crate::dispatcher::{DispatcherHandle, Readiness};
use crate::net::system_errors::AcceptBackoff;
use slog::{info, warn, Logger};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// The most connections at once, out of the reserved file descriptors. When one more arrives, the oldest is closed: its
/// line has been incomplete for longest.
const MAX_CONNECTIONS: usize = 12;
/// The longest accepted line, including its line end.
const MAX_LINE_BYTES: usize = 512;
/// Time for the client to send its complete line.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the client to read the response and close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// An operator's command.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Asks whether this process accepts clients.
    Ready,
    /// Bans an endpoint, given by its id.
    Disable(Arc<str>),
    /// Lifts the ban of an endpoint, given by its id.
    Enable(Arc<str>),
}

/// Why a command was not executed. The text is sent to the operator after `NAK`.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The connection failed before the end of the line.
    #[error("the line broke")]
    Read(#[source] io::Error),
    /// The client closed the connection before the end of the line.
    #[error("the line has no end")]
    Unterminated,
    /// The line is longer than 512 bytes.
    #[error("the line is too long")]
    LineTooLong,
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8(#[source] std::str::Utf8Error),
    /// The line has no words.
    #[error("the line is empty")]
    Empty,
    /// The first word is not a command.
    #[error("unknown call: ready, disable-server ID and enable-server ID are known")]
    UnknownCommand,
    /// A command lacks the endpoint's id.
    #[error("the replica's id is missing")]
    MissingId,
    /// Further words follow a complete command.
    #[error("a word too many")]
    TrailingWords,
    /// The process does not serve clients yet.
    #[error("starting")]
    Starting,
    /// The process is shutting down.
    #[error("draining")]
    Draining,
    /// No endpoint with this id was ever listed.
    #[error("no replica of this id was listed")]
    UnknownEndpoint,
    /// The ban list is full.
    #[error("too many replicas are out of use")]
    TooManyBans,
    /// The dispatcher has stopped.
    #[error("the dispatcher ends")]
    DispatcherEnded,
}

/// Parses a line that has no line end.
///
/// # Errors
///
/// Returns why the line is not a valid command.
pub fn parse(line: &[u8]) -> Result<AdminCommand, AdminError> {
    let line = std::str::from_utf8(line).map_err(AdminError::NotUtf8)?;
    let mut words = line.split_ascii_whitespace();
    let verb = words.next().ok_or(AdminError::Empty)?;
    let command = match verb {
        "ready" => AdminCommand::Ready,
        "disable-server" => AdminCommand::Disable(parse_id(words.next())?),
        "enable-server" => AdminCommand::Enable(parse_id(words.next())?),
        _ => return Err(AdminError::UnknownCommand),
    };
    if words.next().is_some() {
        return Err(AdminError::TrailingWords);
    }
    Ok(command)
}

fn parse_id(word: Option<&str>) -> Result<Arc<str>, AdminError> {
    let id = word.ok_or(AdminError::MissingId)?;
    Ok(id.into())
}

/// Reads a line and returns it without its line end.
async fn read_line(stream: &mut TcpStream) -> Result<Vec<u8>, AdminError> {
    let mut line = Vec::new();
    let mut buffer = [0; MAX_LINE_BYTES];
    loop {
        let room = MAX_LINE_BYTES - line.len();
        let read_bytes = stream
            .read(&mut buffer[..room])
            .await
            .map_err(AdminError::Read)?;
        line.extend_from_slice(&buffer[..read_bytes]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Ok(line);
        }
        // An incomplete line is not executed: its id may be only the beginning of the intended one.
        if read_bytes == 0 {
            return Err(AdminError::Unterminated);
        }
        if line.len() == MAX_LINE_BYTES {
            return Err(AdminError::LineTooLong);
        }
    }
}

async fn execute(dispatcher: &DispatcherHandle, command: AdminCommand) -> Result<(), AdminError> {
    match command {
        AdminCommand::Ready => match dispatcher.readiness() {
            Readiness::Ready => Ok(()),
            Readiness::Starting | Readiness::Standby => Err(AdminError::Starting),
            Readiness::Draining => Err(AdminError::Draining),
        },
        AdminCommand::Disable(id) => set_ban(dispatcher, id, true).await,
        AdminCommand::Enable(id) => set_ban(dispatcher, id, false).await,
    }
}

async fn set_ban(
    dispatcher: &DispatcherHandle,
    id: Arc<str>,
    is_banned: bool,
) -> Result<(), AdminError> {
    match dispatcher.set_ban(id, is_banned).await {
        Some(Ok(())) => Ok(()),
        Some(Err(BanError::Unknown)) => Err(AdminError::UnknownEndpoint),
        Some(Err(BanError::TooMany)) => Err(AdminError::TooManyBans),
        None => Err(AdminError::DispatcherEnded),
    }
}

/// Parses and executes a line. Commands that change something are logged.
async fn handle_line(
    line: &[u8],
    dispatcher: &DispatcherHandle,
    log: &Logger,
) -> Result<(), AdminError> {
    let command = parse(line)?;
    if command == AdminCommand::Ready {
        return execute(dispatcher, command).await;
    }
    let command_text = format!("{command:?}");
    let result = execute(dispatcher, command).await;
    info!(log, "admin command"; "command" => command_text, "result" => response_line(&result).trim_end());
    result
}

fn response_line(result: &Result<(), AdminError>) -> String {
    match result {
        Ok(()) => "ACK\n".to_owned(),
        Err(error) => format!("NAK {error}\n"),
    }
}

async fn serve_connection(mut stream: TcpStream, dispatcher: DispatcherHandle, log: Logger) {
    let Ok(line) = timeout(LINE_TIMEOUT, read_line(&mut stream)).await else {
        return;
    };
    let result = match line {
        Ok(line) => handle_line(&line, &dispatcher, &log).await,
        Err(error) => Err(error),
    };
    let response = response_line(&result);
    // Anything that the client sends after its line is read and discarded. Closing a socket with unread bytes would
    // reset the connection, and the client would lose the response.
    let _ = timeout(CLOSE_TIMEOUT, async {
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await?;
        let mut discarded = [0; MAX_LINE_BYTES];
        while stream.read(&mut discarded).await? > 0 {}
        io::Result::Ok(())
    })
    .await;
}

/// Serves operators for as long as the process runs.
pub async fn serve(listener: TcpListener, dispatcher: DispatcherHandle, log: Logger) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    let mut backoff = AcceptBackoff::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                backoff.reset();
                connections.retain(|connection| !connection.is_finished());
                if connections.len() >= MAX_CONNECTIONS {
                    if let Some(oldest) = connections.pop_front() {
                        oldest.abort();
                    }
                }
                let serving = serve_connection(stream, dispatcher.clone(), log.clone());
                connections.push_back(tokio::spawn(serving).abort_handle());
            }
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(backoff.delay_after(&error)).await;
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/admin.rs"]
mod tests;
