//! The operators' commands: one line a connection, answered by one line that begins with `ACK` or `NAK`.
//!
//! It renders what the dispatcher reports and submits bans to it; the dispatcher decides and owns the ban list.

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

/// Connections at once, out of the descriptors in reserve. When there are more, the oldest is closed: it has not
/// completed its line for longest.
const MAX_CONNECTIONS: usize = 12;
/// The longest line, its end included.
const MAX_LINE_BYTES: usize = 512;
/// For the complete line.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// For the client to read the response and close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A command.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether this process accepts clients.
    Ready,
    /// Bans an endpoint, by its id.
    Disable(Arc<str>),
    /// Lifts an endpoint's ban.
    Enable(Arc<str>),
}

/// Why a command was not carried out; the text is sent to the operator behind `NAK`.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The connection failed before the line's end.
    #[error("the line broke")]
    Read(#[source] io::Error),
    /// The connection ended before the line did.
    #[error("the line has no end")]
    Unterminated,
    /// The line is over 512 bytes.
    #[error("the line is too long")]
    LineTooLong,
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8(#[source] std::str::Utf8Error),
    /// The line has no words.
    #[error("the line is empty")]
    Empty,
    /// The first word is no command.
    #[error("unknown call: ready, disable-server ID and enable-server ID are known")]
    UnknownCommand,
    /// A command lacks the endpoint's id.
    #[error("the replica's id is missing")]
    MissingId,
    /// Words follow a complete command.
    #[error("a word too many")]
    TrailingWords,
    /// The process does not serve yet.
    #[error("starting")]
    Starting,
    /// The process accepts no new clients any more.
    #[error("draining")]
    Draining,
    /// The endpoint was never listed.
    #[error("no replica of this id was listed")]
    UnknownEndpoint,
    /// The ban list is full.
    #[error("too many replicas are out of use")]
    TooManyBans,
    /// The dispatcher has ended.
    #[error("the dispatcher ends")]
    DispatcherEnded,
}

/// Parses a line without its end.
///
/// # Errors
///
/// Returns why the line is not a command.
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

/// Reads a line, and returns it without its end.
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
        // Half a line is not carried out: its id may be the beginning of another one.
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
    // What the client sends behind its line is read and discarded: a close over unread bytes would reset the connection,
    // and the client would lose the response.
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
    let mut pauses = AcceptBackoff::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                pauses.reset();
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
                sleep(pauses.delay_after(&error)).await;
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/admin.rs"]
mod tests;
