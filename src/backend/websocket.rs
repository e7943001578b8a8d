//! WebSocket sessions to the nodes that speak them: one request at a time, many in turn.
//!
//! Giving an attempt up closes its session, as it closes an HTTP/1.1 connection. A session that has stood idle is
//! looked at before it is used again, and none goes to a node that drains.

use super::attempt::{parse_load, AttemptRequest, AttemptResult, StreamForwarder};
use super::connector::{Connector, Transport, CROWDED};
use crate::dispatcher::EndReason;
use crate::routing::api::AttemptStatus;
use bytes::Bytes;
use futures_util::{FutureExt, SinkExt, StreamExt};
use miniserde::{json, Deserialize};
use slog::{debug, Logger};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::WebSocketStream;

/// Where nodes take sessions.
const PATH: &str = "/v1/sessions";
/// A node's message may have so many bytes.
const MOST: usize = 256 * 1024;
/// A session's read buffer.
const BUFFER: usize = 8 * 1024;
/// Idle sessions that are kept for a node.
const MOST_IDLE: usize = 16;

type Session = WebSocketStream<Transport>;
/// Idle sessions by address, and since when.
type Idle = HashMap<Arc<str>, Vec<(Session, Instant)>>;

/// A node's message: the fields of all its types.
#[derive(Deserialize)]
pub struct Told {
    #[serde(rename = "type")]
    kind: String,
    id: Option<String>,
    data: Option<String>,
    cached_tokens: Option<f64>,
    never_ran: Option<bool>,
    state_gone: Option<bool>,
    load: Option<String>,
}

/// What a node's message means for the attempt that is out.
pub enum NodeMessage {
    /// Some of the answer.
    Data(Bytes),
    /// The attempt has ended.
    End(AttemptResult),
}

/// Reads a node's message. What makes no sense, or belongs to another request, is an error of the node.
pub fn parse(text: &str, name: &str) -> NodeMessage {
    let error = || NodeMessage::End(EndReason::UnreadableResponse.into());
    let Ok(told) = json::from_str::<Told>(text) else {
        return error();
    };
    if told.id.as_deref() != Some(name) {
        return error();
    }
    let load = told.load.as_deref().and_then(parse_load);
    let kept = told.cached_tokens.unwrap_or(0.0);
    let end = |reason| {
        NodeMessage::End(AttemptResult {
            load,
            ..AttemptResult::from(reason)
        })
    };
    match (told.kind.as_str(), told.data) {
        ("event", Some(data)) => NodeMessage::Data(data.into()),
        ("read", _) => NodeMessage::End(AttemptResult {
            reason: EndReason::PrefillDone,
            cached_tokens: kept,
            completion_tokens: 0.0,
            load,
        }),
        ("served", _) => NodeMessage::End(AttemptResult {
            reason: EndReason::Served,
            cached_tokens: kept,
            completion_tokens: 0.0,
            load,
        }),
        ("refused", _) if told.never_ran == Some(true) => end(if told.state_gone == Some(true) {
            EndReason::KvStateMissing
        } else {
            EndReason::Overloaded
        }),
        ("rejected", _) => end(EndReason::InvalidRequest),
        _ => end(EndReason::ErrorResponse),
    }
}

fn config() -> WebSocketConfig {
    let config = WebSocketConfig::default()
        .max_message_size(Some(MOST))
        .max_frame_size(Some(MOST));
    config.read_buffer_size(BUFFER)
}

/// SessionPool to nodes, and those that are idle.
#[derive(Clone)]
pub struct SessionPool {
    dialer: Connector,
    idle: Arc<Mutex<Idle>>,
    idle_time: Duration,
    log: Logger,
}

impl SessionPool {
    /// No sessions yet. One that was idle for `idle_time` is not used again.
    pub fn new(dialer: Connector, idle_time: Duration, log: Logger) -> Self {
        SessionPool {
            dialer,
            idle: Arc::default(),
            idle_time,
            log,
        }
    }

    fn idle(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the idle sessions to a node.
    pub fn forget(&self, address: &str) {
        self.idle().remove(address);
    }

    fn take(&self, address: &str) -> Option<Session> {
        loop {
            let (mut session, since) = self.idle().get_mut(address)?.pop()?;
            // Anything that waits on an idle session is its end, or nothing that belongs to a new request.
            if since.elapsed() < self.idle_time && session.next().now_or_never().is_none() {
                return Some(session);
            }
        }
    }

    fn keep(&self, address: &Arc<str>, session: Session) {
        if self.dialer.is_barred(address) {
            return;
        }
        let mut idle = self.idle();
        let kept = idle.entry(address.clone()).or_default();
        kept.retain(|(_, since)| since.elapsed() < self.idle_time);
        if kept.len() < MOST_IDLE {
            kept.push((session, Instant::now()));
        }
    }

    /// A new session, or why none came up; nothing has run either way.
    async fn open(&self, address: &str) -> Result<Session, EndReason> {
        let wire = self
            .dialer
            .dial(address)
            .await
            .map_err(|error| match error.kind() {
                CROWDED => EndReason::NoConnectionPermit,
                _ => EndReason::ConnectFailed,
            })?;
        let opened = timeout(self.dialer.limit(), async {
            let url = format!("ws://{address}{PATH}");
            let opened =
                tokio_tungstenite::client_async_with_config(url, wire, Some(config())).await;
            opened
                .map_err(|error| debug!(self.log, "no session"; "error" => %error))
                .ok()
        });
        let (session, _) = opened
            .await
            .ok()
            .flatten()
            .ok_or(EndReason::ConnectFailed)?;
        // The drain rule counts from a send's first byte: one that waited here is checked again.
        if self.dialer.is_barred(address) {
            return Err(EndReason::EndpointBlocked);
        }
        Ok(session)
    }

    /// Runs an attempt to its end.
    pub async fn attempt(
        &self,
        mut trial: AttemptRequest,
        mut passing: StreamForwarder,
    ) -> AttemptResult {
        let until = Instant::now() + trial.timeout;
        if self.dialer.is_barred(&trial.address) {
            return EndReason::NotSent.into();
        }
        // What breaks on a session that was kept may have run, so that what must not run twice gets a new one.
        let kept = if trial.alone {
            None
        } else {
            self.take(&trial.address)
        };
        // How it has broken, until something came back.
        let mut broken = if kept.is_some() {
            EndReason::StaleConnection
        } else {
            EndReason::ConnectionReset
        };
        let mut session = match kept {
            Some(session) => session,
            None => match timeout_at(until, self.open(&trial.address)).await {
                Ok(Ok(session)) => session,
                Ok(Err(reason)) => return reason.into(),
                Err(_) => return EndReason::ConnectFailed.into(),
            },
        };
        // The body goes with its last byte: a long stream keeps none of it.
        let body = std::mem::take(&mut trial.work.body);
        // Text messages carry text: a body that is none is not sent, rather than sent as something else.
        let Ok(body) = std::str::from_utf8(&body) else {
            return EndReason::NotSent.into();
        };
        let request = format!(
            r#"{{"type":"request","id":{},"target":{},"expires_in_ms":{},"body":{}}}"#,
            json::to_string(&*trial.work.client_request_id),
            json::to_string(&*trial.work.target),
            until.saturating_duration_since(Instant::now()).as_millis(),
            json::to_string(body),
        );
        // A message whose last byte was not written is no request.
        match timeout_at(until, session.send(Message::Text(request.into()))).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) if broken == EndReason::StaleConnection => {
                return EndReason::RequestNotWritten.into()
            }
            Ok(Err(_)) => return EndReason::ConnectFailed.into(),
            Err(_) => return EndReason::Timeout.into(),
        }
        loop {
            let message = match passing.next(until, session.next()).await {
                Ok(Some(Ok(message))) => message,
                Ok(Some(Err(_)) | None) => return broken.into(),
                Err(reason) => return reason.into(),
            };
            let text = match message {
                Message::Text(text) => text,
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => continue,
                Message::Close(_) => return broken.into(),
                Message::Binary(_) => return EndReason::UnreadableResponse.into(),
            };
            broken = EndReason::ConnectionReset;
            match parse(&text, &trial.work.client_request_id) {
                NodeMessage::Data(data) => {
                    if let Err(reason) = passing.data(&data).await {
                        return reason.into();
                    }
                }
                NodeMessage::End(end) => {
                    let begun = passing.begun();
                    let end = match end.reason {
                        EndReason::Served => passing
                            .end()
                            .await
                            .map_or_else(AttemptResult::from, |()| end),
                        EndReason::ErrorResponse | EndReason::UnreadableResponse => end,
                        // A stream that ends otherwise has broken.
                        _ if begun => EndReason::ConnectionReset.into(),
                        _ => end,
                    };
                    if !matches!(
                        end.reason.status(),
                        AttemptStatus::Error | AttemptStatus::Reset
                    ) {
                        self.keep(&trial.address, session);
                    }
                    return end;
                }
            }
        }
    }

    /// Asks a node to let go of what is held for a request; true when it said that it has.
    pub async fn release(&self, name: &str, address: &Arc<str>, fresh: bool) -> bool {
        let session = match if fresh { None } else { self.take(address) } {
            Some(session) => Some(session),
            None => self.reopen(address).await,
        };
        let Some(mut session) = session else {
            return false;
        };
        let call = format!(r#"{{"type":"release","id":{}}}"#, json::to_string(name));
        if session.send(Message::Text(call.into())).await.is_err() {
            return false;
        }
        while let Some(Ok(message)) = session.next().await {
            let Message::Text(text) = message else {
                continue;
            };
            let told = json::from_str::<Told>(&text).ok();
            let done = told
                .is_some_and(|told| told.kind == "released" && told.id.as_deref() == Some(name));
            if done {
                self.keep(address, session);
            }
            return done;
        }
        false
    }

    /// A session for a lease call, which a node that drains takes too.
    async fn reopen(&self, address: &str) -> Option<Session> {
        let wire = self.dialer.dial(address).await.ok()?;
        let url = format!("ws://{address}{PATH}");
        let opened = tokio_tungstenite::client_async_with_config(url, wire, Some(config())).await;
        opened.ok().map(|(session, _)| session)
    }
}
