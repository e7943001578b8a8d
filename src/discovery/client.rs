//! The watch on discovery: requests over HTTP, and the lists they bring as events for the dispatcher.
//!
//! Discovery may be silent, reject requests or send invalid lists. Each is logged and the request repeated; the list that
//! the dispatcher has stays valid meanwhile. [`ListWatcher`] owns the deployment by which records are read and the
//! backoff; a [`WatchState`] lives as long as the watch on one address.

use crate::config::{Deployment, EndpointList};
use crate::discovery::backoff::Backoff;
use crate::discovery::endpoint_list::{endpoints_changed_event, parse_list, ListError};
use crate::discovery::watch_state::WatchState;
use crate::dispatcher::{DispatcherHandle, Event};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use slog::{debug, info, warn, Logger};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout, Instant};

/// The delay after a response without a newer revision that came sooner than this, so that a discovery which ignores the
/// hold time is not polled in a busy loop.
const MIN_IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The longest list that is read.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// Why a request brought no list.
#[derive(Debug, Error)]
enum PollError {
    /// Discovery answered with another status than 200.
    #[error("status {0}")]
    Rejected(StatusCode),
    /// Discovery answered with an invalid list.
    #[error(transparent)]
    InvalidList(#[from] ListError),
    /// The address makes no URI.
    #[error(transparent)]
    InvalidAddress(#[from] hyper::http::Error),
    /// No connection, or none that brought a response.
    #[error(transparent)]
    Unreachable(#[from] hyper_util::client::legacy::Error),
    /// The body broke off, or is longer than [`MAX_LIST_BYTES`].
    #[error(transparent)]
    IncompleteBody(Box<dyn std::error::Error + Send + Sync>),
    /// The request has timed out.
    #[error("no answer in time")]
    Timeout,
}

impl PollError {
    /// Whether discovery has answered, and so spent work on the request.
    fn is_answered(&self) -> bool {
        matches!(self, PollError::Rejected(_) | PollError::InvalidList(_))
    }
}

async fn fetch_list(
    client: &HttpClient,
    address: &str,
    target: &str,
) -> Result<EndpointList, PollError> {
    let request = Request::get(format!("http://{address}{target}")).body(Empty::new())?;
    let response = client.request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
        .collect()
        .await
        .map_err(PollError::IncompleteBody)?
        .to_bytes();
    if status != StatusCode::OK {
        return Err(PollError::Rejected(status));
    }
    Ok(parse_list(&body)?)
}

/// Watches discovery for as long as the dispatcher runs, at the address that `address` holds at any time.
/// `seed` is this dispatcher's own; `known_revision` is the revision of the list that the dispatcher has, if it has one.
pub async fn run(
    mut address: Receiver<String>,
    deployment: Deployment,
    seed: u64,
    mut known_revision: Option<u64>,
    dispatcher: DispatcherHandle,
    log: Logger,
) {
    let backoff = Backoff::new(deployment.settings.dispatchers, seed);
    let mut watcher = ListWatcher {
        deployment,
        backoff,
        dispatcher,
        log,
    };
    // Polling costs discovery work, and dispatchers that were restarted together start together.
    if watcher.deployment.settings.must_poll_endpoints && known_revision.is_some() {
        sleep(watcher.backoff.initial_delay()).await;
    }
    loop {
        let current = address.borrow_and_update().clone();
        tokio::select! {
            // Once the sender is dropped this branch is disabled: the address is the last one.
            Ok(()) = address.changed() => info!(watcher.log, "discovery address changed"),
            () = watcher.watch(&current, known_revision) => return,
        }
        // Revisions of another discovery are not comparable.
        known_revision = None;
        watcher.backoff.reset();
    }
}

/// What stays the same, or goes on, when discovery's address changes.
struct ListWatcher {
    deployment: Deployment,
    backoff: Backoff,
    dispatcher: DispatcherHandle,
    log: Logger,
}

impl ListWatcher {
    /// Watches one address, from the known revision on or from a full list. Its connections close when this is dropped.
    async fn watch(&mut self, address: &str, known_revision: Option<u64>) {
        let client = http_client();
        let is_pushed = !self.deployment.settings.must_poll_endpoints;
        let mut state = WatchState::starting_at(known_revision, is_pushed);
        loop {
            let poll = state.next_poll();
            let started = Instant::now();
            let response = timeout(poll.timeout, fetch_list(&client, address, &poll.target)).await;
            match response.unwrap_or(Err(PollError::Timeout)) {
                Ok(list) => self.on_list(&mut state, &list, started).await,
                Err(error) => self.on_error(&mut state, &error, started).await,
            }
        }
    }

    async fn on_list(&mut self, state: &mut WatchState, list: &EndpointList, started: Instant) {
        self.backoff.reset();
        debug!(self.log, "endpoint list received"; "revision" => list.revision, "is_full" => list.complete,
            "endpoints" => list.members.len());
        let has_changes = !list.members.is_empty() || list.complete;
        let is_newer = state.on_response(list.revision);
        if is_newer || has_changes {
            let event = endpoints_changed_event(&mut self.deployment, list, &self.log);
            // Ahead of waiting requests: none of them may be sent to an endpoint that drains.
            self.dispatcher.send_urgent(event).await;
        }
        if !is_newer && started.elapsed() < MIN_IDLE_POLL_INTERVAL {
            sleep(MIN_IDLE_POLL_INTERVAL).await;
        }
    }

    async fn on_error(&mut self, state: &mut WatchState, error: &PollError, started: Instant) {
        let was_synced = state.is_synced();
        let delay = if error.is_answered() {
            let max_delay = state.max_backoff(started.elapsed());
            self.backoff.next_delay_within(max_delay)
        } else {
            state.on_timeout()
        };
        let retry_in_ms = delay.as_millis() as u64;
        if was_synced {
            warn!(self.log, "endpoint list request failed"; "error" => %error, "retry_in_ms" => retry_in_ms);
        } else {
            debug!(self.log, "endpoint list request failed again"; "error" => %error, "retry_in_ms" => retry_in_ms);
        }
        self.dispatcher.send(Event::EndpointListFailed).await;
        sleep(delay).await;
    }
}
