//! One request of a session: submits it to the dispatcher and forwards the response.
//!
//! The task owns the request from its submission to its final message. Meanwhile the client may reconnect: the response
//! then goes to another socket.

use super::cacheable_text::CacheableText;
use super::idempotency_cache::{FinalOutcome, RequestKey, RequestState};
use super::messages::{take_complete_utf8, ServerMessage};
use super::request_ownership::Ownership;
use super::session_activity::AttachedSession;
use super::SessionFrontend;
use crate::dispatcher::{Outcome, PendingRequest, StreamChunk, UpstreamRequest};
use crate::frontend::memory_budget::MemoryReservation;
use crate::net::adjustable_semaphore::Permit;
use crate::routing::api::{Idempotency, RequestClass, RequestMetadata};
use crate::upgrade::request_claims::{ClaimEnd, RequestClaim};
use axum::extract::ws::Message;
use bytes::Bytes;
use slog::debug;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};

/// Time for the dispatcher to report, after a client has disconnected, whether its request may have run.
const DISCONNECT_REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// One request of a session.
pub(super) struct RequestTask {
    pub(super) frontend: SessionFrontend,
    pub(super) key: RequestKey,
    /// The class as it was when the request was submitted.
    pub(super) class: RequestClass,
    /// The metadata as submitted; its `time_left` is replaced by the time left until `deadline`.
    pub(super) metadata: RequestMetadata,
    pub(super) body: Bytes,
    /// The deadline of the first submission of this client request id.
    pub(super) deadline: Instant,
    /// The session that submitted the request last.
    pub(super) session: AttachedSession,
    /// Receives the sessions that submit the request again while it is in flight.
    pub(super) attachments: mpsc::Receiver<AttachedSession>,
    /// Receives the client's cancellation.
    pub(super) cancelled: mpsc::Receiver<()>,
    /// Set while no socket is attached: the time until which a session may attach.
    pub(super) reattach_until: Option<Instant>,
    pub(super) response: CacheableText,
    pub(super) _resources: RequestResources,
    /// Receives whether the last submission to the dispatcher may have run; `None` before the first one.
    pub(super) end_report: Option<oneshot::Receiver<bool>>,
}

/// What a request holds of the limits that all sessions share, until its task ends.
pub(super) struct RequestResources {
    /// The memory for the part of the answer that the client has not read.
    pub(super) _answer_memory: MemoryReservation,
    /// Its place among the requests of all sessions.
    pub(super) _slot: Permit,
}

/// How a submission of the request to the dispatcher ended.
enum SubmissionResult {
    Final(FinalOutcome),
    /// The client disconnected before the first event.
    Abandoned {
        may_have_run: bool,
    },
}

/// An event during a submission to the dispatcher.
enum SubmissionEvent {
    /// The client has cancelled the request.
    Cancelled,
    /// A session has submitted the request again.
    Attached(AttachedSession),
    /// The attached socket was closed.
    Detached,
    /// No session has submitted the request again in time.
    ReattachWindowEnded,
    /// The dispatcher's outcome; `None`: the dispatcher has stopped without one.
    Outcome(Option<Outcome>),
    /// The next chunk of the stream; `None`: the stream has broken.
    Chunk(Option<StreamChunk>),
}

impl RequestTask {
    /// Runs the request and reports its outcome. If the client has disconnected and reconnected meanwhile, the request
    /// is submitted to the dispatcher again.
    pub(super) async fn run(mut self) {
        let claim = match self.claim().await {
            Ownership::Owned(claim) => claim,
            Ownership::Final(outcome) => return self.finish(outcome).await,
            Ownership::Abandoned => return,
        };
        let is_idempotent = self.class.idempotency == Idempotency::Idempotent;
        let outcome = loop {
            match self.run_submission().await {
                SubmissionResult::Final(outcome) => break outcome,
                // A request that may have run is submitted again only if its class is idempotent.
                SubmissionResult::Abandoned { may_have_run: true } if !is_idempotent => {
                    break FinalOutcome::Failed("the session closed; it may have run");
                }
                SubmissionResult::Abandoned { .. } => {}
            }
            if !self.reattach_or_abandon() {
                return claim.end(ClaimEnd::Released);
            }
            if Instant::now() >= self.deadline {
                break FinalOutcome::Failed("its deadline has passed");
            }
        };
        match &outcome {
            FinalOutcome::Served(_) | FinalOutcome::ServedElsewhere => claim.end(ClaimEnd::Served),
            FinalOutcome::Failed(_) => claim.end(ClaimEnd::MayHaveRun),
            FinalOutcome::Shed { .. } => self.end_shed(claim),
        }
        self.finish(outcome).await;
    }

    /// Ends the claim of a request that was shed as soon as the core knows whether it may have run all the same.
    fn end_shed(&mut self, claim: RequestClaim) {
        match self.end_report.take() {
            Some(end_report) => claim.end_when_reported(end_report),
            // It was never submitted.
            None => claim.end(ClaimEnd::Released),
        }
    }

    /// Attaches to a session that has submitted the request again. Without one, marks the request as abandoned and
    /// returns false. Both happen under the cache's lock, so that a session that submits the request now finds either
    /// this task or the abandoned request.
    pub(super) fn reattach_or_abandon(&mut self) -> bool {
        let mut cache = self.frontend.cache();
        match self.attachments.try_recv() {
            Ok(session) => {
                self.session = session;
                true
            }
            Err(_) => {
                cache.finish(&self.key, RequestState::Abandoned, &self.frontend.config);
                false
            }
        }
    }

    /// Sends the final message and caches the outcome.
    async fn finish(&mut self, outcome: FinalOutcome) {
        let id = &self.key.client_request_id;
        let final_message = match &outcome {
            FinalOutcome::Served(_) => ServerMessage::Served { id },
            FinalOutcome::ServedElsewhere => ServerMessage::ServedBefore {
                id,
                has_text: false,
            },
            FinalOutcome::Shed { retry_at } => ServerMessage::Shed {
                id,
                retry_after: retry_at.saturating_duration_since(Instant::now()),
            },
            FinalOutcome::Failed(reason) => ServerMessage::Failed { id, reason },
        }
        .to_message();
        let _ = self.session.send(final_message.clone()).await;
        self.frontend.cache().finish(
            &self.key,
            RequestState::Finished(outcome),
            &self.frontend.config,
        );
        // From here on, a session that submits the request finds it in the cache. One that submitted it just before is
        // answered here.
        while let Ok(session) = self.attachments.try_recv() {
            self.session = session;
            if !self.response.text.is_empty() {
                let event = self.event(&self.response.text);
                let _ = self.session.send(event).await;
            }
            let _ = self.session.send(final_message.clone()).await;
        }
    }

    fn event(&self, data: &str) -> Message {
        let id = &self.key.client_request_id;
        ServerMessage::Event { id, data }.to_message()
    }

    /// Submits the request to the dispatcher and forwards its response.
    async fn run_submission(&mut self) -> SubmissionResult {
        if !self.is_class_unchanged() {
            return SubmissionResult::Final(FinalOutcome::Failed("its class is gone"));
        }
        let (pending_request, mut outcome) = self.submit().await;
        self.reattach_until = None;
        let mut chunks: Option<mpsc::Receiver<StreamChunk>> = None;
        let mut undecoded: Vec<u8> = Vec::new();
        loop {
            let is_streaming = chunks.is_some();
            let event = self.next_event(&mut outcome, &mut chunks).await;
            let final_outcome = match event {
                SubmissionEvent::Cancelled => {
                    drop(pending_request);
                    return SubmissionResult::Final(FinalOutcome::Failed("cancelled"));
                }
                SubmissionEvent::Attached(session) => self.on_attached(session).await,
                SubmissionEvent::Detached => {
                    self.start_reattach_window();
                    None
                }
                SubmissionEvent::ReattachWindowEnded => {
                    debug!(self.frontend.log, "session closed with a request in flight"; "is_streaming" => is_streaming);
                    if is_streaming {
                        drop(pending_request);
                        return SubmissionResult::Final(FinalOutcome::Failed(
                            "the session closed while the answer streamed",
                        ));
                    }
                    return self.disconnect(pending_request).await;
                }
                SubmissionEvent::Outcome(Some(Outcome::Stream(stream))) => {
                    chunks = Some(stream);
                    None
                }
                SubmissionEvent::Outcome(outcome) => Some(final_outcome(outcome)),
                SubmissionEvent::Chunk(chunk) => self.on_chunk(chunk, &mut undecoded).await,
            };
            if let Some(final_outcome) = final_outcome {
                return SubmissionResult::Final(final_outcome);
            }
        }
    }

    /// Returns whether the class is still the one that the request was submitted with. While a request waits for its
    /// client to reconnect, changed settings may give the number of its class to another class.
    fn is_class_unchanged(&self) -> bool {
        let deployment = self.frontend.dispatcher.deployment();
        let Some(class) = deployment.settings.classes.get(self.metadata.class) else {
            return false;
        };
        // `is_active` is not compared: a class that accepts no new requests still serves the earlier ones.
        let class = RequestClass {
            is_active: true,
            ..class.clone()
        };
        class == self.class
    }

    async fn submit(&mut self) -> (PendingRequest, oneshot::Receiver<Outcome>) {
        let upstream_id = self.frontend.request_ids.next_id();
        debug!(self.frontend.log, "session request submitted"; "session_request_id" => &self.key.client_request_id,
            "tenant" => self.key.tenant.as_deref(), "client_request_id" => &upstream_id);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let metadata = RequestMetadata {
            time_left: time_left.as_micros() as u64,
            ..self.metadata.clone()
        };
        let upstream_request = UpstreamRequest {
            client_request_id: upstream_id.into(),
            target: "/v1/chat/completions".into(),
            body: self.body.clone(),
            stream_can_migrate: false,
        };
        let (report_sender, end_report) = oneshot::channel();
        self.end_report = Some(end_report);
        self.frontend
            .dispatcher
            .submit_with_report(metadata, upstream_request, Some(report_sender))
            .await
    }

    /// Waits for the next event. `chunks` is `None` until the stream begins. While no socket is attached, no chunk is
    /// received, so that the stream waits for the client.
    async fn next_event(
        &mut self,
        outcome: &mut oneshot::Receiver<Outcome>,
        chunks: &mut Option<mpsc::Receiver<StreamChunk>>,
    ) -> SubmissionEvent {
        let is_streaming = chunks.is_some();
        let next_chunk = async {
            match chunks {
                Some(chunks) => chunks.recv().await,
                None => std::future::pending().await,
            }
        };
        let is_detached = self.reattach_until.is_some();
        let reattach_window_end = self.reattach_until.unwrap_or_else(Instant::now);
        tokio::select! {
            biased;
            Some(()) = self.cancelled.recv() => SubmissionEvent::Cancelled,
            Some(session) = self.attachments.recv() => SubmissionEvent::Attached(session),
            () = self.session.closed(), if !is_detached => SubmissionEvent::Detached,
            () = sleep_until(reattach_window_end), if is_detached => SubmissionEvent::ReattachWindowEnded,
            outcome = outcome, if !is_streaming => SubmissionEvent::Outcome(outcome.ok()),
            chunk = next_chunk, if is_streaming && !is_detached => SubmissionEvent::Chunk(chunk),
        }
    }

    pub(super) fn start_reattach_window(&mut self) {
        let reattach_window = Duration::from_millis(self.frontend.config.reattach_window_ms);
        self.reattach_until = Some(Instant::now() + reattach_window);
    }

    /// Switches to another socket, which receives the response from its beginning.
    async fn on_attached(&mut self, session: AttachedSession) -> Option<FinalOutcome> {
        self.session = session;
        self.reattach_until = None;
        if self.response.is_over_limit {
            return Some(FinalOutcome::Failed(
                "its answer is too long to be sent anew",
            ));
        }
        if !self.response.text.is_empty() {
            let event = self.event(&self.response.text);
            let _ = self.session.send(event).await;
        }
        None
    }

    /// Tells the dispatcher that the client has disconnected. If the dispatcher does not report in time whether the
    /// request may have run, assumes that it may have.
    async fn disconnect(&self, pending_request: PendingRequest) -> SubmissionResult {
        let report = self.frontend.dispatcher.disconnect(pending_request);
        let may_have_run = match timeout(DISCONNECT_REPORT_TIMEOUT, report).await {
            Ok(Some(may_have_run)) => may_have_run,
            Ok(None) | Err(_) => true,
        };
        SubmissionResult::Abandoned { may_have_run }
    }

    /// Forwards a chunk of the response. `undecoded` holds the bytes of a character that is not complete yet.
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
                    self.forward_text(&text, data).await;
                }
                None
            }
            Some(StreamChunk::End) if undecoded.is_empty() => {
                Some(FinalOutcome::Served(self.response.complete_text()))
            }
            Some(StreamChunk::Migrate(half)) => {
                // A session stays with its process, so its streams don't migrate.
                drop(half);
                None
            }
            Some(StreamChunk::End) | None => Some(FinalOutcome::Failed("the stream broke")),
        }
    }

    /// Forwards the text of a chunk.
    async fn forward_text(&mut self, text: &str, chunk: Bytes) {
        let event = self.event(text);
        let sent = self.session.send_with_chunk(event, Some(chunk)).await;
        let max_cached_bytes = self.frontend.config.max_cached_response_bytes;
        self.response.push(text, max_cached_bytes);
        if sent.is_err() {
            self.start_reattach_window();
        }
    }
}

/// Returns the final outcome of a request that has no stream. `None`: the dispatcher has stopped without an outcome.
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
