//! One request of a session: submits it to the dispatcher and forwards the response.
//!
//! The task owns the request from its submission to its final message, and may move to another socket in between.

use super::idempotency_cache::{FinalOutcome, MessageSender, RequestKey, RequestState};
use super::messages::{take_complete_utf8, ServerMessage};
use super::SessionFrontend;
use crate::dispatcher::{Outcome, PendingRequest, StreamChunk, UpstreamRequest};
use crate::routing::api::{Idempotency, RequestClass, RequestMetadata};
use axum::extract::ws::Message;
use bytes::Bytes;
use slog::debug;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};
use tokio::time::{sleep_until, timeout, Instant};

/// How long the dispatcher may take to report whether a request may have run whose client has disconnected.
const DISCONNECT_REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// One request of a session.
pub(super) struct RequestTask {
    pub(super) frontend: SessionFrontend,
    pub(super) key: RequestKey,
    /// The class as it was when the request was submitted.
    pub(super) class: RequestClass,
    pub(super) metadata: RequestMetadata,
    pub(super) body: Bytes,
    pub(super) deadline: Instant,
    /// To the socket that submitted the request last.
    pub(super) message_sender: MessageSender,
    /// Sessions that submit the request again while it is in flight.
    pub(super) attachments: mpsc::Receiver<MessageSender>,
    pub(super) cancelled: mpsc::Receiver<()>,
    /// While no socket is attached: until when one may be.
    pub(super) detached_until: Option<Instant>,
    pub(super) response: CacheableText,
}

/// The text of a response so far, while it is short enough to be cached.
#[derive(Default)]
pub(super) struct CacheableText {
    text: String,
    is_over_limit: bool,
}

impl CacheableText {
    /// Adds to the text. Once that is over the limit, nothing more is added.
    fn push(&mut self, text: &str, max_bytes: usize) {
        if self.text.len() + text.len() > max_bytes {
            self.is_over_limit = true;
        }
        if !self.is_over_limit {
            self.text.push_str(text);
        }
    }

    /// The complete text, unless it is over the limit.
    fn complete_text(&self) -> Option<Arc<str>> {
        if self.is_over_limit {
            return None;
        }
        Some(self.text.as_str().into())
    }
}

/// How an attempt to run the request ended.
enum AttemptResult {
    Final(FinalOutcome),
    /// Its client disconnected before a first event.
    Abandoned {
        may_have_run: bool,
    },
}

/// What happened to an attempt in flight.
enum AttemptEvent {
    Cancelled,
    Attached(MessageSender),
    Detached,
    ReattachWindowEnded,
    Outcome(Option<Outcome>),
    Chunk(Option<StreamChunk>),
}

impl RequestTask {
    /// Runs the request and reports its outcome. `slot` is the session's permit for it.
    pub(super) async fn run(mut self, slot: OwnedSemaphorePermit) {
        let is_repeatable = self.class.idempotency == Idempotency::Idempotent;
        let outcome = loop {
            match self.run_attempt().await {
                AttemptResult::Final(outcome) => break outcome,
                // What may have run is never sent again, unless its class allows a repeat.
                AttemptResult::Abandoned { may_have_run: true } if !is_repeatable => {
                    break FinalOutcome::Failed("the session closed; it may have run");
                }
                AttemptResult::Abandoned { .. } => {}
            }
            if !self.reattach_or_abandon() {
                return;
            }
            if Instant::now() >= self.deadline {
                break FinalOutcome::Failed("its deadline has passed");
            }
        };
        self.finish(outcome).await;
        drop(slot);
    }

    /// Attaches to a session that has submitted the request again; without one, marks the request abandoned and returns
    /// false. Both happen under the cache's lock, so that a session that submits it now finds either this task or the
    /// abandoned request.
    fn reattach_or_abandon(&mut self) -> bool {
        let mut cache = self.frontend.cache();
        match self.attachments.try_recv() {
            Ok(message_sender) => {
                self.message_sender = message_sender;
                true
            }
            Err(_) => {
                cache.finish(&self.key, RequestState::Abandoned, &self.frontend.config);
                false
            }
        }
    }

    /// Sends the final message, and caches the outcome.
    async fn finish(&mut self, outcome: FinalOutcome) {
        let id = &self.key.request_id;
        let final_message = match &outcome {
            FinalOutcome::Served(_) => ServerMessage::Served { id },
            FinalOutcome::Shed { retry_at } => ServerMessage::Shed {
                id,
                retry_after: retry_at.saturating_duration_since(Instant::now()),
            },
            FinalOutcome::Failed(reason) => ServerMessage::Failed { id, reason },
        }
        .to_message();
        let _ = self.message_sender.send(final_message.clone()).await;
        self.frontend.cache().finish(
            &self.key,
            RequestState::Finished(outcome),
            &self.frontend.config,
        );
        // From here on a session that submits the request finds it in the cache; one that did so just before is
        // answered here.
        while let Ok(message_sender) = self.attachments.try_recv() {
            if !self.response.text.is_empty() {
                let _ = message_sender.send(self.event(&self.response.text)).await;
            }
            let _ = message_sender.send(final_message.clone()).await;
        }
    }

    fn event(&self, data: &str) -> Message {
        let id = &self.key.request_id;
        ServerMessage::Event { id, data }.to_message()
    }

    /// Submits the request to the dispatcher and forwards its response.
    async fn run_attempt(&mut self) -> AttemptResult {
        if !self.is_class_unchanged() {
            return AttemptResult::Final(FinalOutcome::Failed("its class is gone"));
        }
        let (pending_request, mut outcome) = self.submit().await;
        self.detached_until = None;
        let mut chunks: Option<mpsc::Receiver<StreamChunk>> = None;
        let mut undecoded: Vec<u8> = Vec::new();
        loop {
            let is_streaming = chunks.is_some();
            let event = self.next_event(&mut outcome, &mut chunks).await;
            let final_outcome = match event {
                AttemptEvent::Cancelled => {
                    drop(pending_request);
                    return AttemptResult::Final(FinalOutcome::Failed("cancelled"));
                }
                AttemptEvent::Attached(message_sender) => self.on_attached(message_sender).await,
                AttemptEvent::Detached => {
                    self.start_reattach_window();
                    None
                }
                AttemptEvent::ReattachWindowEnded => {
                    debug!(self.frontend.log, "session closed with a request in flight"; "is_streaming" => is_streaming);
                    if is_streaming {
                        drop(pending_request);
                        return AttemptResult::Final(FinalOutcome::Failed(
                            "the session closed while the answer streamed",
                        ));
                    }
                    return self.disconnect(pending_request).await;
                }
                AttemptEvent::Outcome(Some(Outcome::Stream(stream))) => {
                    chunks = Some(stream);
                    None
                }
                AttemptEvent::Outcome(outcome) => Some(final_outcome(outcome)),
                AttemptEvent::Chunk(chunk) => self.on_chunk(chunk, &mut undecoded).await,
            };
            if let Some(final_outcome) = final_outcome {
                return AttemptResult::Final(final_outcome);
            }
        }
    }

    /// Whether the class is still the one that the request was submitted with: a request that waited for its client may
    /// find its class's number given to another.
    fn is_class_unchanged(&self) -> bool {
        let deployment = self.frontend.dispatcher.deployment();
        let Some(class) = deployment.settings.classes.get(self.metadata.class) else {
            return false;
        };
        // A class that takes no new requests still serves those that it has.
        let class = RequestClass {
            is_active: true,
            ..class.clone()
        };
        class == self.class
    }

    async fn submit(&self) -> (PendingRequest, oneshot::Receiver<Outcome>) {
        let number = self.frontend.take_number();
        let upstream_id = format!("ws-{:016x}-{number}", self.frontend.boot_id);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let metadata = RequestMetadata {
            time_left: time_left.as_micros() as u64,
            ..self.metadata.clone()
        };
        let upstream_request = UpstreamRequest {
            client_request_id: upstream_id.into(),
            target: "/v1/chat/completions".into(),
            body: self.body.clone(),
        };
        self.frontend
            .dispatcher
            .submit(metadata, upstream_request)
            .await
    }

    async fn next_event(
        &mut self,
        outcome: &mut oneshot::Receiver<Outcome>,
        chunks: &mut Option<mpsc::Receiver<StreamChunk>>,
    ) -> AttemptEvent {
        let is_streaming = chunks.is_some();
        let next_chunk = async {
            match chunks {
                Some(chunks) => chunks.recv().await,
                None => std::future::pending().await,
            }
        };
        let is_detached = self.detached_until.is_some();
        let reattach_window_end = self.detached_until.unwrap_or_else(Instant::now);
        tokio::select! {
            biased;
            Some(()) = self.cancelled.recv() => AttemptEvent::Cancelled,
            Some(message_sender) = self.attachments.recv() => AttemptEvent::Attached(message_sender),
            () = self.message_sender.closed(), if !is_detached => AttemptEvent::Detached,
            () = sleep_until(reattach_window_end), if is_detached => AttemptEvent::ReattachWindowEnded,
            outcome = outcome, if !is_streaming => AttemptEvent::Outcome(outcome.ok()),
            chunk = next_chunk, if is_streaming && !is_detached => AttemptEvent::Chunk(chunk),
        }
    }

    fn start_reattach_window(&mut self) {
        let reattach_window = Duration::from_millis(self.frontend.config.reattach_window_ms);
        self.detached_until = Some(Instant::now() + reattach_window);
    }

    /// Moves to another socket, which receives the response from its beginning.
    async fn on_attached(&mut self, message_sender: MessageSender) -> Option<FinalOutcome> {
        self.message_sender = message_sender;
        self.detached_until = None;
        if self.response.is_over_limit {
            return Some(FinalOutcome::Failed(
                "its answer is too long to be sent anew",
            ));
        }
        if !self.response.text.is_empty() {
            let event = self.event(&self.response.text);
            let _ = self.message_sender.send(event).await;
        }
        None
    }

    /// Tells the dispatcher that the client has disconnected. If the dispatcher does not report in time whether the
    /// request may have run, it may have.
    async fn disconnect(&self, pending_request: PendingRequest) -> AttemptResult {
        let report = self.frontend.dispatcher.disconnect(pending_request);
        let may_have_run = match timeout(DISCONNECT_REPORT_TIMEOUT, report).await {
            Ok(Some(may_have_run)) => may_have_run,
            Ok(None) | Err(_) => true,
        };
        AttemptResult::Abandoned { may_have_run }
    }

    /// Forwards a chunk of the response. `undecoded` has the bytes of a character that the last chunk ended in.
    async fn on_chunk(
        &mut self,
        chunk: Option<StreamChunk>,
        undecoded: &mut Vec<u8>,
    ) -> Option<FinalOutcome> {
        match chunk {
            Some(StreamChunk::Data(data)) => {
                undecoded.extend_from_slice(&data);
                let Some(text) = take_complete_utf8(undecoded) else {
                    return Some(FinalOutcome::Failed("the answer is not text"));
                };
                if !text.is_empty() {
                    self.forward_text(&text).await;
                }
                None
            }
            Some(StreamChunk::End) if undecoded.is_empty() => {
                Some(FinalOutcome::Served(self.response.complete_text()))
            }
            Some(StreamChunk::Migrate(half)) => {
                // A session stays with its process: its streams are not migrated.
                drop(half);
                None
            }
            Some(StreamChunk::End) | None => Some(FinalOutcome::Failed("the stream broke")),
        }
    }

    async fn forward_text(&mut self, text: &str) {
        let sent = self.message_sender.send(self.event(text)).await;
        let max_cached_bytes = self.frontend.config.max_cached_response_bytes;
        self.response.push(text, max_cached_bytes);
        if sent.is_err() {
            self.start_reattach_window();
        }
    }
}

/// The final outcome for one that is no stream. `None`: the dispatcher has ended without an outcome.
fn final_outcome(outcome: Option<Outcome>) -> FinalOutcome {
    match outcome {
        Some(Outcome::Shed { retry_after }) => FinalOutcome::Shed {
            retry_at: Instant::now() + retry_after,
        },
        Some(Outcome::InvalidRequest) => FinalOutcome::Failed("a node found the request bad"),
        Some(Outcome::Stream(_) | Outcome::DuplicateId | Outcome::Failed) | None => {
            FinalOutcome::Failed("failed")
        }
    }
}
