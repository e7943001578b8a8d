//! Calls endpoints over WebSocket sessions: attempts and releases. A session serves many requests, one at a time.
//!
//! Cancelling an attempt closes its session, as it closes an HTTP/1.1 connection. An idle session is checked before it
//! is reused, and endpoints that drain get no requests. The pool owns the idle sessions; an attempt owns the session
//! that it uses.

mod messages;

pub use messages::{parse_message, EndpointMessage};

use super::attempt::{AttemptRequest, AttemptResult, ConnectionPolicy, StreamForwarder};
use super::connector::{ConnectError, Connector};
use super::transport::Transport;
use crate::dispatcher::EndReason;
use crate::routing::api::AttemptStatus;
use futures_util::{FutureExt, SinkExt, StreamExt};
use messages::{is_release_confirmation, release_message, request_message};
use slog::{debug, Logger};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as WebSocketError, Message};
use tokio_tungstenite::WebSocketStream;

/// The path of an endpoint's WebSocket handshake.
const SESSION_PATH: &str = "/v1/sessions";
/// The maximum length of an endpoint's message.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The size of a session's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// The maximum number of idle sessions pooled for an endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

type Session = WebSocketStream<Transport>;

struct IdleSession {
    session: Session,
    idle_since: Instant,
}

type IdleSessions = HashMap<Arc<str>, Vec<IdleSession>>;

/// Opens sessions to endpoints and pools idle ones. Cheap to clone; clones share the pool.
#[derive(Clone)]
pub struct SessionPool {
    connector: Connector,
    idle: Arc<Mutex<IdleSessions>>,
    idle_timeout: Duration,
    log: Logger,
}

impl SessionPool {
    /// Creates an empty pool. Sessions that were idle for `idle_timeout` are not reused.
    pub fn new(connector: Connector, idle_timeout: Duration, log: Logger) -> Self {
        SessionPool {
            connector,
            idle: Arc::default(),
            idle_timeout,
            log,
        }
    }

    fn idle(&self) -> MutexGuard<'_, IdleSessions> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the idle sessions to an endpoint.
    pub fn close_idle(&self, address: &str) {
        self.idle().remove(address);
    }

    /// Removes the newest usable session to this endpoint from the pool. Unusable ones that it finds first are closed.
    fn take_idle(&self, address: &str) -> Option<Session> {
        loop {
            let mut idle = self.idle().get_mut(address)?.pop()?;
            // A session with unread input is unusable: it was closed, or has a message that belongs to no request.
            if idle.idle_since.elapsed() < self.idle_timeout
                && idle.session.next().now_or_never().is_none()
            {
                return Some(idle.session);
            }
        }
    }

    /// Pools a session whose request has ended. Closes it instead if the endpoint is blocked or its pool is full.
    fn return_idle(&self, address: &Arc<str>, session: Session) {
        if self.connector.blocked_endpoints().is_blocked(address) {
            return;
        }
        let mut idle = self.idle();
        let sessions = idle.entry(address.clone()).or_default();
        sessions.retain(|idle| idle.idle_since.elapsed() < self.idle_timeout);
        if sessions.len() < MAX_IDLE_PER_ENDPOINT {
            sessions.push(IdleSession {
                session,
                idle_since: Instant::now(),
            });
        }
    }

    /// Opens a session for an attempt. If that fails, nothing has run.
    async fn open(&self, address: &str) -> Result<Session, EndReason> {
        let transport = match self.connector.connect(address).await {
            Ok(transport) => transport,
            Err(ConnectError::NoPermit) => return Err(EndReason::NoConnectionPermit),
            Err(_) => return Err(EndReason::ConnectFailed),
        };
        let handshake = handshake(address, transport);
        let session = match timeout(self.connector.connect_timeout(), handshake).await {
            Ok(Ok(session)) => session,
            Ok(Err(error)) => {
                debug!(self.log, "session handshake failed"; "address" => address, "error" => %error);
                return Err(EndReason::ConnectFailed);
            }
            Err(_) => return Err(EndReason::ConnectFailed),
        };
        // An endpoint that drains serves only requests whose first byte it got before. This one may have begun to drain
        // while the session was opened.
        if self.connector.blocked_endpoints().is_blocked(address) {
            return Err(EndReason::EndpointBlocked);
        }
        Ok(session)
    }

    /// Opens a session for a release, which blocked endpoints get too.
    async fn open_for_release(&self, address: &str) -> Option<Session> {
        let transport = self.connector.connect(address).await.ok()?;
        handshake(address, transport).await.ok()
    }

    /// Runs an attempt to its end.
    pub async fn attempt(
        &self,
        mut request: AttemptRequest,
        mut forwarder: StreamForwarder,
    ) -> AttemptResult {
        let deadline = Instant::now() + request.timeout;
        if self
            .connector
            .blocked_endpoints()
            .is_blocked(&request.address)
        {
            return EndReason::NotSent.into();
        }
        let (mut session, break_reason) = match self.session_for(&request, deadline).await {
            Ok(session) => session,
            Err(reason) => return reason.into(),
        };
        if let Err(reason) = send_request(&mut session, &mut request, deadline, break_reason).await
        {
            return reason.into();
        }
        let response = receive_response(
            &mut session,
            &request,
            &mut forwarder,
            deadline,
            break_reason,
        );
        let result = match response.await {
            Ok(result) => result,
            Err(reason) => return reason.into(),
        };
        let result = finish_stream(result, forwarder).await;
        if !matches!(
            result.reason.status(),
            AttemptStatus::Error | AttemptStatus::Reset
        ) {
            self.return_idle(&request.address, session);
        }
        result
    }

    /// Returns a session for an attempt, and the attempt's end reason if the session breaks before the first message
    /// from the endpoint. On a reused session the request may have run then, so a request that must not run twice gets
    /// a new session.
    async fn session_for(
        &self,
        request: &AttemptRequest,
        deadline: Instant,
    ) -> Result<(Session, EndReason), EndReason> {
        let idle = match request.connection {
            ConnectionPolicy::AllowPooled => self.take_idle(&request.address),
            ConnectionPolicy::RequireNew => None,
        };
        if let Some(session) = idle {
            return Ok((session, EndReason::StaleConnection));
        }
        match timeout_at(deadline, self.open(&request.address)).await {
            Ok(Ok(session)) => Ok((session, EndReason::ConnectionReset)),
            Ok(Err(reason)) => Err(reason),
            Err(_) => Err(EndReason::ConnectFailed),
        }
    }

    /// Asks an endpoint to release a request's reservation. Returns whether the endpoint confirmed the release.
    pub async fn release(
        &self,
        client_request_id: &str,
        address: &Arc<str>,
        policy: ConnectionPolicy,
    ) -> bool {
        let idle = match policy {
            ConnectionPolicy::AllowPooled => self.take_idle(address),
            ConnectionPolicy::RequireNew => None,
        };
        let session = match idle {
            Some(session) => Some(session),
            None => self.open_for_release(address).await,
        };
        let Some(mut session) = session else {
            return false;
        };
        let message = Message::Text(release_message(client_request_id).into());
        if session.send(message).await.is_err() {
            return false;
        }
        while let Some(Ok(message)) = session.next().await {
            let Message::Text(text) = message else {
                continue;
            };
            let is_confirmed = is_release_confirmation(&text, client_request_id);
            if is_confirmed {
                self.return_idle(address, session);
            }
            return is_confirmed;
        }
        false
    }
}

/// Opens a session on a new connection to `address` (host and port). Sets no time limit: the caller does.
async fn handshake(address: &str, transport: Transport) -> Result<Session, WebSocketError> {
    let config = WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .read_buffer_size(READ_BUFFER_BYTES);
    let url = format!("ws://{address}{SESSION_PATH}");
    let (session, _response) =
        tokio_tungstenite::client_async_with_config(url, transport, Some(config)).await?;
    Ok(session)
}

/// Sends the attempt's request and frees its body. An error is the reason for which the attempt ended; `break_reason`
/// tells whether the session is a reused one, which may have been closed.
async fn send_request(
    session: &mut Session,
    request: &mut AttemptRequest,
    deadline: Instant,
    break_reason: EndReason,
) -> Result<(), EndReason> {
    // Frees the body's memory once it is sent, because the stream may take long.
    let body = std::mem::take(&mut request.upstream.body);
    // A text message must be UTF-8. Any other body is not sent.
    let Ok(body) = std::str::from_utf8(&body) else {
        return Err(EndReason::NotSent);
    };
    let message = request_message(
        &request.upstream.client_request_id,
        &request.upstream.target,
        deadline.saturating_duration_since(Instant::now()),
        body,
    );
    // If the message was not written completely, the endpoint has not received a request.
    match timeout_at(deadline, session.send(Message::Text(message.into()))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) if break_reason == EndReason::StaleConnection => {
            Err(EndReason::RequestNotWritten)
        }
        Ok(Err(_)) => Err(EndReason::ConnectFailed),
        Err(_) => Err(EndReason::Timeout),
    }
}

/// Forwards the stream until the endpoint ends the attempt. After an error the session must not be reused.
async fn receive_response(
    session: &mut Session,
    request: &AttemptRequest,
    forwarder: &mut StreamForwarder,
    deadline: Instant,
    mut break_reason: EndReason,
) -> Result<AttemptResult, EndReason> {
    loop {
        let message = match forwarder.next(deadline, session.next()).await? {
            Some(Ok(message)) => message,
            Some(Err(_)) | None => return Err(break_reason),
        };
        let text = match message {
            Message::Text(text) => text,
            Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => continue,
            Message::Close(_) => return Err(break_reason),
            Message::Binary(_) => return Err(EndReason::UnreadableResponse),
        };
        break_reason = EndReason::ConnectionReset;
        match parse_message(&text, &request.upstream.client_request_id) {
            EndpointMessage::Data(data) => forwarder.forward(&data).await?,
            EndpointMessage::End(result) => return Ok(result),
        }
    }
}

/// Ends the forwarded stream according to the endpoint's result, and returns the attempt's result.
async fn finish_stream(result: AttemptResult, forwarder: StreamForwarder) -> AttemptResult {
    match result.reason {
        EndReason::Served => match forwarder.finish().await {
            Ok(()) => result,
            Err(reason) => reason.into(),
        },
        EndReason::ErrorResponse | EndReason::UnreadableResponse => result,
        // Any other result after the stream has started means that the stream broke.
        _ if forwarder.has_started() => EndReason::ConnectionReset.into(),
        _ => result,
    }
}
