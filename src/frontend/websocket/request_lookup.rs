//! Looks up in the cache what became of a request that a session submits.

use super::idempotency_cache::{FinalOutcome, IdempotencyCache, RequestKey, RequestState};
use super::messages::ServerMessage;
use super::session::Session;
use axum::extract::ws::Message;
use slog::debug;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A response from the cache, as it is sent again.
pub(super) struct CachedResponse {
    pub(super) event: Message,
    pub(super) final_message: Message,
}

/// What the cache knows about a request that is submitted.
pub(super) enum Lookup {
    /// The request was not submitted before, or is no longer cached.
    Unknown,
    /// The request was submitted before and may run again. Its first deadline stays in force.
    MayRun { deadline: Instant },
    /// The request is in flight, and its messages go to this session from now on.
    Moved { cancel_sender: mpsc::Sender<()> },
    /// The response to send now.
    Answered(Message),
    /// The cached response to send now.
    Cached(CachedResponse),
}

impl Session {
    /// Looks up a request in the cache, and attaches this session to its task if it is in flight.
    pub(super) fn look_up(
        &self,
        cache: &IdempotencyCache,
        key: &RequestKey,
        now: Instant,
    ) -> Lookup {
        let Some(request) = cache.get(key) else {
            return Lookup::Unknown;
        };
        let id = &key.client_request_id;
        let deadline = request.deadline;
        let response = match &request.state {
            RequestState::InFlight(in_flight) => {
                let session = self.attach(self.activity.open_request());
                if in_flight.attachment_sender.try_send(session).is_ok() {
                    debug!(self.frontend.log, "request moved to another session"; "client_request_id" => id,
                        "open_requests" => self.activity.open_requests());
                    return Lookup::Moved {
                        cancel_sender: in_flight.cancel_sender.clone(),
                    };
                }
                // The task has not yet answered the sessions that attached before, and its queue is full. This is not a
                // final message, as the request is still in flight.
                ServerMessage::Error {
                    id: Some(id),
                    reason: "asked too often",
                }
            }
            RequestState::Finished(FinalOutcome::Served(None) | FinalOutcome::ServedElsewhere) => {
                ServerMessage::ServedBefore {
                    id,
                    has_text: false,
                }
            }
            RequestState::Finished(FinalOutcome::Served(Some(text))) => {
                return Lookup::Cached(CachedResponse {
                    event: ServerMessage::Event { id, data: text }.to_message(),
                    final_message: ServerMessage::ServedBefore { id, has_text: true }.to_message(),
                });
            }
            RequestState::Finished(FinalOutcome::Failed(reason)) => {
                ServerMessage::Failed { id, reason }
            }
            RequestState::Finished(FinalOutcome::Shed { retry_at })
                if now < *retry_at || now >= deadline =>
            {
                let retry_after = retry_at.saturating_duration_since(now);
                ServerMessage::Shed { id, retry_after }
            }
            RequestState::Abandoned if now >= deadline => ServerMessage::Failed {
                id,
                reason: "its deadline has passed",
            },
            RequestState::Finished(FinalOutcome::Shed { .. }) | RequestState::Abandoned => {
                return Lookup::MayRun { deadline };
            }
        };
        Lookup::Answered(response.to_message())
    }
}
