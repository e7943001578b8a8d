//! WebSocket sessions (RFC 6455): each carries many requests, and each request gets one final message.
//!
//! A request outlives the socket that submitted it for a short time, so that a reconnect does not start it again. If
//! the same id is submitted again, the first deadline stays in force and the response comes from the `idempotency_cache`.
//! That cache is bounded, and each process has its own; a request that another process of the dispatcher has, or had, is
//! not begun here (`request_ownership`). `docs/websocket.md` describes the messages.
//!
//! [`SessionFrontend`] owns the state that sessions share; `session` runs one socket, and `request_task` one request.

mod cacheable_text;
mod idempotency_cache;
mod messages;
mod request_lookup;
mod request_ownership;
mod request_task;
mod session;
mod session_activity;

pub use messages::{
    parse, take_complete_utf8, ClientMessage, ClientRequest, InvalidMessage, InvalidMessageReason,
};

use crate::config::SessionConfig;
use crate::dispatcher::DispatcherHandle;
use crate::frontend::memory_budget::ClientMemoryBudget;
use crate::frontend::ShutdownPhase;
use crate::identity::RequestIdGenerator;
use crate::net::adjustable_semaphore::AdjustableSemaphore;
use crate::upgrade::request_claims::RequestClaims;
use axum::extract::ws::WebSocketUpgrade;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::Router;
use idempotency_cache::IdempotencyCache;
use session::Session;
use session_activity::SessionActivity;
use slog::Logger;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// At the session limit, an idle session may be evicted for a new one. A session is idle if for this long it has had no
/// request in flight and its client has sent no text message.
const SESSION_EVICTION_IDLE_TIME: Duration = Duration::from_millis(2000);
/// How long a new session waits for the evicted one to close.
const SESSION_EVICTION_TIMEOUT: Duration = Duration::from_millis(1500);
/// The size of a socket's read buffer. A larger message takes more memory, but only while it is read.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// What a socket's write buffer may hold besides one message: the responses to pings of a client that reads nothing. Any
/// more are dropped, as RFC 6455 allows.
const MAX_WRITE_BUFFER_BYTES: usize = 512 * 1024;

/// The state that all sessions share. Clones share it.
#[derive(Clone)]
pub struct SessionFrontend {
    dispatcher: DispatcherHandle,
    config: Arc<SessionConfig>,
    client_memory: ClientMemoryBudget,
    cache: Arc<Mutex<IdempotencyCache>>,
    session_slots: Arc<Semaphore>,
    /// The requests that all sessions together may have open.
    request_slots: AdjustableSemaphore,
    sessions: Arc<Mutex<HashMap<u64, Arc<SessionActivity>>>>,
    /// The next session's key in `sessions`. Nothing outside this process sees it.
    next_session_number: Arc<AtomicU64>,
    /// Generates the ids under which endpoints know requests.
    request_ids: RequestIdGenerator,
    /// The requests that each process of this dispatcher has.
    claims: RequestClaims,
    shutdown: watch::Receiver<ShutdownPhase>,
    log: Logger,
}

impl SessionFrontend {
    /// Creates the shared state. `request_ids` generates the ids under which endpoints know requests; `claims` tells
    /// which requests other processes of this dispatcher have.
    pub fn new(
        dispatcher: DispatcherHandle,
        config: Arc<SessionConfig>,
        client_memory: ClientMemoryBudget,
        request_ids: RequestIdGenerator,
        claims: RequestClaims,
        shutdown: watch::Receiver<ShutdownPhase>,
        log: Logger,
    ) -> Self {
        SessionFrontend {
            dispatcher,
            client_memory,
            cache: Arc::default(),
            session_slots: Arc::new(Semaphore::new(config.max_sessions)),
            request_slots: AdjustableSemaphore::new(Semaphore::MAX_PERMITS),
            config,
            sessions: Arc::default(),
            next_session_number: Arc::default(),
            request_ids,
            claims,
            shutdown,
            log,
        }
    }

    /// Limits the requests that all sessions together may have open. Without this call there is no limit.
    pub fn with_request_slots(self, request_slots: AdjustableSemaphore) -> Self {
        SessionFrontend {
            request_slots,
            ..self
        }
    }

    /// Waits until all sessions are closed, without asking them to close: [`ShutdownPhase::Closing`] does that.
    /// Requests that outlive their session are not waited for.
    pub async fn wait_until_closed(&self) {
        let _ = self
            .session_slots
            .acquire_many(self.config.max_sessions as u32)
            .await;
    }

    fn sessions(&self) -> MutexGuard<'_, HashMap<u64, Arc<SessionActivity>>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cache(&self) -> MutexGuard<'_, IdempotencyCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Acquires a slot for a new session. At the limit, the session that has been idle for longest is evicted: its
    /// client loses nothing by a reconnect, and silent sessions must not lock others out.
    async fn acquire_session_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.session_slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        let evictable = self.longest_idle_session()?;
        if evictable.idle_time() < SESSION_EVICTION_IDLE_TIME {
            return None;
        }
        evictable.request_close();
        timeout(
            SESSION_EVICTION_TIMEOUT,
            self.session_slots.clone().acquire_owned(),
        )
        .await
        .ok()?
        .ok()
    }

    fn longest_idle_session(&self) -> Option<Arc<SessionActivity>> {
        self.sessions()
            .values()
            .filter(|session| !session.has_requests())
            .min_by_key(|session| session.idle_since())
            .cloned()
    }

    fn allocate_session_number(&self) -> u64 {
        self.next_session_number.fetch_add(1, Ordering::Relaxed)
    }
}

/// Returns the routes: sessions at `/v1/sessions`.
pub fn routes(frontend: SessionFrontend) -> Router {
    Router::new()
        .route("/v1/sessions", get(open_session))
        .with_state(frontend)
}

/// Handles the WebSocket handshake, and runs the session in a task of its own.
async fn open_session(
    State(frontend): State<SessionFrontend>,
    upgrade: WebSocketUpgrade,
) -> Response {
    if *frontend.shutdown.borrow() >= ShutdownPhase::Closing {
        return (StatusCode::SERVICE_UNAVAILABLE, "draining\n").into_response();
    }
    let Some(session_slot) = frontend.acquire_session_slot().await else {
        return (StatusCode::SERVICE_UNAVAILABLE, "too many sessions\n").into_response();
    };
    let max_message_bytes = frontend.config.max_message_bytes;
    let upgrade = upgrade
        .max_message_size(max_message_bytes)
        .max_frame_size(max_message_bytes)
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_write_buffer_size(MAX_WRITE_BUFFER_BYTES);
    upgrade.on_upgrade(move |socket| async move {
        let activity = SessionActivity::new(frontend.config.max_requests);
        let number = frontend.allocate_session_number();
        frontend.sessions().insert(number, activity.clone());
        Session::new(frontend.clone(), activity, socket).run().await;
        frontend.sessions().remove(&number);
        drop(session_slot);
    })
}
