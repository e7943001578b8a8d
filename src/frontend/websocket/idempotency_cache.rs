//! Caches the outcomes of recent requests by client request id, so that a request submitted again does not run again.
//!
//! The cache is bounded in entries and in bytes of text. Each process has its own; which process may begin a request at
//! all is decided by [`crate::upgrade::request_claims`].

use super::session_activity::AttachedSession;
use crate::config::SessionConfig;
use axum::extract::ws::Message;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A message for a session's socket, with the chunk of the answer that it was made from: the chunk counts as unread
/// until the message is sent.
pub(super) struct QueuedMessage {
    pub(super) message: Message,
    pub(super) _chunk: Option<Bytes>,
}

/// Queues messages for a session's socket.
pub(super) type MessageSender = mpsc::Sender<QueuedMessage>;

/// Identifies a request. Client request ids are unique within a tenant.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct RequestKey {
    /// The tenant's name: changed settings may give its number to another tenant.
    pub(super) tenant: Option<String>,
    pub(super) client_request_id: String,
}

/// How a request ended.
#[derive(Clone)]
pub(super) enum FinalOutcome {
    /// Served, with the response text if that was short enough to be cached.
    Served(Option<Arc<str>>),
    /// Served by another process of this dispatcher, so that the text is not known here.
    ServedElsewhere,
    /// Shed; the request may be submitted again from this time on.
    Shed { retry_at: Instant },
    /// Failed, with the reason that the client receives.
    Failed(&'static str),
}

/// The channels to the task that runs a request.
pub(super) struct InFlightRequest {
    /// Takes the sessions that submit the request again. Its messages go to the last one.
    pub(super) attachment_sender: mpsc::Sender<AttachedSession>,
    /// Cancels the request.
    pub(super) cancel_sender: mpsc::Sender<()>,
}

/// The progress of a request.
pub(super) enum RequestState {
    /// A task runs the request.
    InFlight(InFlightRequest),
    /// The client disconnected before the response began, and the request did not run or is idempotent. It may be
    /// submitted again.
    Abandoned,
    Finished(FinalOutcome),
}

/// A request in the cache.
pub(super) struct CachedRequest {
    /// Set by the first submission; later ones don't extend it.
    pub(super) deadline: Instant,
    pub(super) state: RequestState,
}

impl CachedRequest {
    /// Creates a request that a task has begun to run.
    pub(super) fn in_flight(deadline: Instant, request: InFlightRequest) -> CachedRequest {
        CachedRequest {
            deadline,
            state: RequestState::InFlight(request),
        }
    }

    /// Returns the size of the cached response text, in bytes; 0 if none is cached.
    fn text_bytes(&self) -> usize {
        match &self.state {
            RequestState::Finished(FinalOutcome::Served(Some(text))) => text.len(),
            _ => 0,
        }
    }
}

/// The cached requests by key. The oldest are evicted first.
#[derive(Default)]
pub(super) struct IdempotencyCache {
    requests: HashMap<RequestKey, CachedRequest>,
    insertion_order: VecDeque<RequestKey>,
    /// The total size of all cached response texts.
    text_bytes: usize,
}

impl IdempotencyCache {
    pub(super) fn get(&self, key: &RequestKey) -> Option<&CachedRequest> {
        self.requests.get(key)
    }

    /// Adds a request, or replaces it without changing its age.
    pub(super) fn insert(&mut self, key: RequestKey, request: CachedRequest) {
        if self.requests.insert(key.clone(), request).is_none() {
            self.insertion_order.push_back(key);
        }
    }

    /// Records the state in which a task leaves its request, and evicts the oldest requests beyond the limits.
    pub(super) fn finish(&mut self, key: &RequestKey, state: RequestState, config: &SessionConfig) {
        if let Some(request) = self.requests.get_mut(key) {
            request.state = state;
            self.text_bytes += request.text_bytes();
        }
        for _ in 0..self.insertion_order.len() {
            let is_within_limits = self.insertion_order.len() <= config.max_cached_responses
                && self.text_bytes <= config.max_cache_bytes;
            if is_within_limits {
                break;
            }
            self.evict_oldest();
        }
    }

    /// Evicts the oldest request. One in flight becomes the newest instead: the limits on sessions and on their
    /// requests bound the number of those.
    fn evict_oldest(&mut self) {
        let Some(oldest) = self.insertion_order.pop_front() else {
            return;
        };
        let Some(request) = self.requests.get(&oldest) else {
            return;
        };
        if matches!(request.state, RequestState::InFlight(_)) {
            self.insertion_order.push_back(oldest);
        } else {
            self.text_bytes -= request.text_bytes();
            self.requests.remove(&oldest);
        }
    }
}
