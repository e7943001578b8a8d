//! The outcomes of recent requests by their ids, so that a request submitted again is not run again.
//!
//! The cache is bounded in entries and in bytes of text. Each dispatcher has its own.

use crate::config::SessionConfig;
use axum::extract::ws::Message;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Queues messages for a session's socket.
pub(super) type MessageSender = mpsc::Sender<Message>;

/// Identifies a request: ids are unique within a tenant.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct RequestKey {
    /// By name, as a tenant's number may be given to another when settings change.
    pub(super) tenant: Option<String>,
    pub(super) request_id: String,
}

/// How a request ended.
#[derive(Clone)]
pub(super) enum FinalOutcome {
    /// Served, with its text if that was short enough to be cached.
    Served(Option<Arc<str>>),
    /// Nothing was done; the request may be submitted again from this instant on.
    Shed { retry_at: Instant },
    /// Failed, with the reason that the client receives.
    Failed(&'static str),
}

/// How far a request is.
pub(super) enum RequestState {
    /// A task runs it; a session that submits it again is attached to that task.
    InFlight(mpsc::Sender<MessageSender>),
    /// Its client disconnected before anything could have run: it may be submitted again.
    Abandoned,
    Finished(FinalOutcome),
}

/// What is known about a request.
pub(super) struct CachedRequest {
    /// Set by the first submission; later ones don't extend it.
    pub(super) deadline: Instant,
    pub(super) state: RequestState,
}

impl CachedRequest {
    fn text_bytes(&self) -> usize {
        match &self.state {
            RequestState::Finished(FinalOutcome::Served(Some(text))) => text.len(),
            _ => 0,
        }
    }
}

/// Requests by key. The oldest are evicted first.
#[derive(Default)]
pub(super) struct IdempotencyCache {
    requests: HashMap<RequestKey, CachedRequest>,
    insertion_order: VecDeque<RequestKey>,
    text_bytes: usize,
}

impl IdempotencyCache {
    pub(super) fn get(&self, key: &RequestKey) -> Option<&CachedRequest> {
        self.requests.get(key)
    }

    /// Adds a request, or replaces it without a change to its age.
    pub(super) fn insert(&mut self, key: RequestKey, request: CachedRequest) {
        if self.requests.insert(key.clone(), request).is_none() {
            self.insertion_order.push_back(key);
        }
    }

    /// Records the state of a request that its task leaves, and evicts what exceeds the limits.
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

    /// Evicts the oldest request, or makes it the newest if it is in flight: those are bounded by the limits on sessions
    /// and on their requests.
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
