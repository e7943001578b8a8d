//! One socket of a session: receives client messages, sends the responses, and closes with the matching close code.
//!
//! The session owns the socket. Its requests run in tasks of their own, which queue their messages here and may outlive
//! the session for a short time.

use super::cacheable_text::CacheableText;
use super::idempotency_cache::{
    CachedRequest, InFlightRequest, MessageSender, QueuedMessage, RequestKey,
};
use super::messages::{parse, ClientMessage, ClientRequest, InvalidMessage, ServerMessage};
use super::request_lookup::{CachedResponse, Lookup};
use super::request_task::{RequestResources, RequestTask};
use super::session_activity::{AttachedSession, OpenRequest, SessionActivity};
use super::SessionFrontend;
use crate::config::Deployment;
use crate::frontend::ShutdownPhase;
use axum::extract::ws::{close_code, CloseFrame, Message, WebSocket};
use bytes::Bytes;
use futures_util::FutureExt;
use slog::debug;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval_at, timeout, Instant, Interval};

/// The most messages that may be queued for a session's socket.
const MAX_QUEUED_MESSAGES: usize = 32;
/// The most repeated submissions of a request in flight that may wait for its task.
const MAX_QUEUED_ATTACHMENTS: usize = 4;
/// The retry delay for a request beyond the session's limit of requests in flight, or beyond the memory for clients.
const LIMIT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The most steps of a session, such as messages that it reads or sends, before other tasks have a turn.
const MAX_STEPS_PER_TURN: u32 = 16;
/// Time for the closing handshake.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A close code and the reason that is sent with it.
type CloseReason = (u16, &'static str);

/// The action that follows an event of a session.
enum SessionStep {
    Continue,
    Send(Message),
    /// Send a message of a request.
    SendQueued(QueuedMessage),
    /// Send both messages of a cached response.
    SendCached(CachedResponse),
    /// Close with this code and this reason.
    Close(CloseReason),
    /// The client has disconnected or timed out, so that there is no closing handshake.
    Disconnect,
}

/// One session, which lasts as long as its socket.
pub(super) struct Session {
    pub(super) frontend: SessionFrontend,
    pub(super) activity: Arc<SessionActivity>,
    socket: WebSocket,
    message_sender: MessageSender,
    /// Messages from request tasks, to be sent on the socket.
    queued_messages: mpsc::Receiver<QueuedMessage>,
    /// Cancels the requests that this socket submitted, first or again, by client request id.
    cancel_senders: HashMap<String, mpsc::Sender<()>>,
    /// When the client last sent a message of any type; at first, when it connected.
    last_received_at: Instant,
    /// Set in [`ShutdownPhase::Closing`]: the session closes as soon as it is idle.
    is_shutting_down: bool,
}

impl Session {
    pub(super) fn new(
        frontend: SessionFrontend,
        activity: Arc<SessionActivity>,
        socket: WebSocket,
    ) -> Session {
        let (message_sender, queued_messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        Session {
            frontend,
            activity,
            socket,
            message_sender,
            queued_messages,
            cancel_senders: HashMap::new(),
            last_received_at: Instant::now(),
            is_shutting_down: false,
        }
    }

    /// Runs the session until its socket is closed.
    pub(super) async fn run(mut self) {
        let ping_interval = Duration::from_millis(self.frontend.config.ping_interval_ms);
        let mut pings = interval_at(self.last_received_at + ping_interval, ping_interval);
        let mut shutdown = self.frontend.shutdown.clone();
        let mut steps_of_turn = 0;
        loop {
            // What the client has sent at once may keep this task ready for long.
            steps_of_turn += 1;
            if steps_of_turn > MAX_STEPS_PER_TURN {
                tokio::task::yield_now().await;
                steps_of_turn = 0;
            }
            let step = if self.is_shutting_down && self.is_idle() {
                self.close_or_read((close_code::AWAY, "the dispatcher ends"))
                    .await
            } else {
                self.next_step(&mut pings, &mut shutdown).await
            };
            match step {
                SessionStep::Continue => {}
                SessionStep::Send(message) => {
                    if !self.send(message).await {
                        return;
                    }
                }
                SessionStep::SendQueued(QueuedMessage { message, _chunk }) => {
                    if !self.send(message).await {
                        return;
                    }
                }
                // Nothing more is read before the client has taken both, so that no more than one response waits.
                SessionStep::SendCached(CachedResponse {
                    event,
                    final_message,
                }) => {
                    if !(self.send(event).await && self.send(final_message).await) {
                        return;
                    }
                }
                SessionStep::Close(reason) => return self.close(reason).await,
                SessionStep::Disconnect => return,
            }
        }
    }

    /// Returns whether the session owes no final message and none is queued.
    fn is_idle(&self) -> bool {
        !self.activity.has_requests() && self.queued_messages.is_empty()
    }

    /// Waits for the next event and handles it.
    async fn next_step(
        &mut self,
        pings: &mut Interval,
        shutdown: &mut watch::Receiver<ShutdownPhase>,
    ) -> SessionStep {
        let activity = self.activity.clone();
        tokio::select! {
            biased;
            Some(queued) = self.queued_messages.recv() => SessionStep::SendQueued(queued),
            () = wait_until_closing(shutdown), if !self.is_shutting_down => {
                self.is_shutting_down = true;
                SessionStep::Continue
            }
            // The loop then checks again whether the session is idle.
            () = activity.wait_until_no_requests(), if self.is_shutting_down => SessionStep::Continue,
            () = activity.close_requested() => {
                if self.is_idle() {
                    self.close_or_read((close_code::AGAIN, "no session is free")).await
                } else {
                    SessionStep::Continue
                }
            }
            _ = pings.tick() => self.on_ping_due(),
            received = self.socket.recv() => self.on_received(received),
        }
    }

    /// Closes the idle session, unless a message has arrived: that is handled first, so that a request gets its final
    /// message. Near the end of the shutdown the session closes in any case.
    async fn close_or_read(&mut self, reason: CloseReason) -> SessionStep {
        if *self.frontend.shutdown.borrow() >= ShutdownPhase::Ending {
            return SessionStep::Close(reason);
        }
        // Lets the runtime notice what has arrived.
        tokio::task::yield_now().await;
        match self.socket.recv().now_or_never() {
            Some(received) => self.on_received(received),
            None => SessionStep::Close(reason),
        }
    }

    fn session_timeout(&self) -> Duration {
        Duration::from_millis(self.frontend.config.session_timeout_ms)
    }

    /// Returns a ping to send. If nothing was received for the session timeout, disconnects without a closing
    /// handshake.
    fn on_ping_due(&self) -> SessionStep {
        if self.last_received_at.elapsed() > self.session_timeout() {
            debug!(self.frontend.log, "session timed out");
            return SessionStep::Disconnect;
        }
        SessionStep::Send(Message::Ping(Bytes::new()))
    }

    fn on_received(&mut self, received: Option<Result<Message, axum::Error>>) -> SessionStep {
        self.last_received_at = Instant::now();
        match received {
            None | Some(Ok(Message::Close(_))) => SessionStep::Disconnect,
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => SessionStep::Continue,
            Some(Ok(Message::Binary(_))) => {
                SessionStep::Close((close_code::UNSUPPORTED, "text messages only"))
            }
            Some(Ok(Message::Text(text))) => {
                self.activity.on_message(self.last_received_at);
                self.cancel_senders
                    .retain(|_, cancel_sender| !cancel_sender.is_closed());
                self.on_text(&text)
            }
            Some(Err(error)) => SessionStep::Close(close_reason(&*error.into_inner())),
        }
    }

    /// Sends a message. Returns false if the client has disconnected, or has read nothing for the session timeout.
    async fn send(&mut self, message: Message) -> bool {
        let sent = timeout(self.session_timeout(), self.socket.send(message)).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Closes the socket with a closing handshake, for at most [`CLOSE_TIMEOUT`]. Requests in flight continue in their
    /// tasks.
    async fn close(mut self, (code, reason): CloseReason) {
        debug!(self.frontend.log, "session closing"; "code" => code, "open_requests" => self.activity.open_requests(),
            "queued_messages" => self.queued_messages.len());
        let close = Message::Close(Some(CloseFrame {
            code,
            reason: reason.into(),
        }));
        let handshake = async {
            if self.socket.send(close).await.is_ok() {
                // The client's own close frame ends the handshake; anything that it sends before that is read and
                // discarded.
                while let Some(Ok(_)) = self.socket.recv().await {}
            }
        };
        let _ = timeout(CLOSE_TIMEOUT, handshake).await;
    }

    /// Handles a client message. The returned step sends the response if it is available at once.
    fn on_text(&mut self, text: &str) -> SessionStep {
        let deployment = self.frontend.dispatcher.deployment();
        match parse(text, &deployment) {
            Ok(ClientMessage::Request(request)) => self.on_request(request, &deployment),
            Ok(ClientMessage::Cancel { id }) => {
                if let Some(cancel_sender) = self.cancel_senders.remove(&id) {
                    let _ = cancel_sender.try_send(());
                }
                SessionStep::Continue
            }
            Err(InvalidMessage { id, reason }) => {
                let reason = &reason.to_string();
                let response = match &id {
                    Some(id) => ServerMessage::Failed { id, reason },
                    None => ServerMessage::Error { id: None, reason },
                };
                SessionStep::Send(response.to_message())
            }
        }
    }

    /// Answers a request from the cache, or starts its task. The cache stays locked from the lookup to the insertion.
    fn on_request(&mut self, request: ClientRequest, deployment: &Deployment) -> SessionStep {
        let ClientRequest { id, metadata, body } = request;
        let key = RequestKey {
            tenant: metadata
                .tenant
                .map(|tenant| deployment.tenants.name(tenant as u32).to_owned()),
            client_request_id: id,
        };
        let now = Instant::now();
        let frontend = self.frontend.clone();
        let mut cache = frontend.cache();
        let deadline = match self.look_up(&cache, &key, now) {
            Lookup::Unknown => now + Duration::from_micros(metadata.time_left),
            Lookup::MayRun { deadline } => deadline,
            Lookup::Moved { cancel_sender } => {
                self.cancel_senders
                    .insert(key.client_request_id, cancel_sender);
                return SessionStep::Continue;
            }
            Lookup::Answered(response) => return SessionStep::Send(response),
            Lookup::Cached(response) => return SessionStep::SendCached(response),
        };
        // A request over a limit is not started, so that the same id may be submitted again.
        let Some((open_request, resources, body)) = self.try_acquire_resources(body) else {
            let shed = ServerMessage::Shed {
                id: &key.client_request_id,
                retry_after: LIMIT_RETRY_AFTER,
            };
            return SessionStep::Send(shed.to_message());
        };
        let (attachment_sender, attachments) = mpsc::channel(MAX_QUEUED_ATTACHMENTS);
        let (cancel_sender, cancelled) = mpsc::channel(1);
        self.cancel_senders
            .insert(key.client_request_id.clone(), cancel_sender.clone());
        let in_flight = InFlightRequest {
            attachment_sender,
            cancel_sender,
        };
        cache.insert(key.clone(), CachedRequest::in_flight(deadline, in_flight));
        let task = RequestTask {
            frontend: frontend.clone(),
            key,
            class: deployment.settings.classes[metadata.class].clone(),
            metadata,
            body,
            _resources: resources,
            deadline,
            session: self.attach(open_request),
            attachments,
            cancelled,
            reattach_until: None,
            response: CacheableText::default(),
            end_report: None,
        };
        tokio::spawn(task.run());
        SessionStep::Continue
    }

    /// Acquires what a new request needs, and ties the memory of the body to it. `None` at one of the limits.
    fn try_acquire_resources(&self, body: Bytes) -> Option<(OpenRequest, RequestResources, Bytes)> {
        let open_request = self.activity.try_open_request()?;
        let client_memory = &self.frontend.client_memory;
        let body_memory = client_memory.try_reserve_session_body(body.len())?;
        let resources = RequestResources {
            _answer_memory: client_memory.try_reserve_session_answer()?,
            _slot: self.frontend.request_slots.try_acquire(1)?,
        };
        Some((open_request, resources, body_memory.attach(body)))
    }

    /// Returns what a task needs to send the messages of this request to the session.
    pub(super) fn attach(&self, open_request: OpenRequest) -> AttachedSession {
        AttachedSession {
            message_sender: self.message_sender.clone(),
            _open_request: open_request,
        }
    }
}

async fn wait_until_closing(shutdown: &mut watch::Receiver<ShutdownPhase>) {
    let _ = shutdown
        .wait_for(|phase| *phase >= ShutdownPhase::Closing)
        .await;
}

fn close_reason(error: &(dyn std::error::Error + 'static)) -> CloseReason {
    use tokio_tungstenite::tungstenite::Error;
    match error.downcast_ref::<Error>() {
        Some(Error::Capacity(_)) => (close_code::SIZE, "the message is too big"),
        Some(Error::Utf8(_)) => (close_code::INVALID, "the text is not UTF-8"),
        _ => (close_code::PROTOCOL, "not the protocol"),
    }
}
