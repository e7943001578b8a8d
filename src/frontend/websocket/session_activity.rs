//! What request tasks and other sessions see of a session: how long it has been idle, and how many requests it owes a final
//! message.
//!
//! A request counts at the session to which its messages go, from its submission there until its final message is queued or
//! it has moved to another session. A session closes of its own accord only while it has no request.

use super::idempotency_cache::{MessageSender, QueuedMessage};
use axum::extract::ws::Message;
use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::error::SendError;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// The shared part of a session's state.
pub(super) struct SessionActivity {
    /// When the client last sent a text message or a request of the session last ended; at first, when it connected.
    last_active_at: Mutex<Instant>,
    /// Number of requests that the session owes a final message.
    open_requests: watch::Sender<usize>,
    /// Limit of open requests for new ones. Requests that move here may exceed it.
    max_requests: usize,
    close_requested: Notify,
}

impl SessionActivity {
    pub(super) fn new(max_requests: usize) -> Arc<SessionActivity> {
        Arc::new(SessionActivity {
            last_active_at: Mutex::new(Instant::now()),
            open_requests: watch::Sender::new(0),
            max_requests,
            close_requested: Notify::new(),
        })
    }

    fn last_active_at(&self) -> MutexGuard<'_, Instant> {
        self.last_active_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the client has sent a text message.
    pub(super) fn on_message(&self, received_at: Instant) {
        *self.last_active_at() = received_at;
    }

    pub(super) fn idle_since(&self) -> Instant {
        *self.last_active_at()
    }

    pub(super) fn idle_time(&self) -> Duration {
        self.idle_since().elapsed()
    }

    pub(super) fn open_requests(&self) -> usize {
        *self.open_requests.borrow()
    }

    pub(super) fn has_requests(&self) -> bool {
        self.open_requests() > 0
    }

    /// Waits until the session owes no final message.
    pub(super) async fn wait_until_no_requests(&self) {
        let mut open_requests = self.open_requests.subscribe();
        let _ = open_requests.wait_for(|open| *open == 0).await;
    }

    /// Counts a new request; `None` at the limit.
    pub(super) fn try_open_request(self: &Arc<Self>) -> Option<OpenRequest> {
        if self.open_requests() >= self.max_requests {
            return None;
        }
        Some(self.open_request())
    }

    /// Counts a request that is in flight already, also beyond the limit.
    pub(super) fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.send_modify(|open| *open += 1);
        OpenRequest(self.clone())
    }

    /// Asks the session to close, which it does only if it is still idle.
    pub(super) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits until the session is asked to close.
    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }
}

/// Counts one request at a session until it is dropped.
pub(super) struct OpenRequest(Arc<SessionActivity>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        *self.0.last_active_at() = Instant::now();
        self.0.open_requests.send_modify(|open| *open -= 1);
    }
}

/// The session to which the messages of a request go. The request counts there for as long as this exists.
pub(super) struct AttachedSession {
    pub(super) message_sender: MessageSender,
    pub(super) _open_request: OpenRequest,
}

impl AttachedSession {
    /// Queues a message for the session's socket. Waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the message if the session has closed.
    pub(super) async fn send(&self, message: Message) -> Result<(), SendError<QueuedMessage>> {
        self.send_with_chunk(message, None).await
    }

    /// Does the same as [`AttachedSession::send`] with the chunk of the answer that the message was made from.
    pub(super) async fn send_with_chunk(
        &self,
        message: Message,
        chunk: Option<Bytes>,
    ) -> Result<(), SendError<QueuedMessage>> {
        let queued = QueuedMessage {
            message,
            _chunk: chunk,
        };
        self.message_sender.send(queued).await
    }

    /// Waits until the session has closed.
    pub(super) async fn closed(&self) {
        self.message_sender.closed().await;
    }
}
