//! The discovery client: long-polls the endpoint list over HTTP and sends each list to the dispatcher as an event.
//!
//! Discovery may not respond, reject requests or send invalid lists. Each failure is logged and the request is retried;
//! the dispatcher keeps its current list meanwhile. [`ListWatcher`] owns the backoff and the deployment with which list
//! entries are parsed. A [`WatchState`] exists for as long as one address is watched.

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

/// The delay after a response that has no new revision and arrived within this time. Without it, a discovery service
/// that ignores the hold time would be polled in a busy loop.
const MIN_IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum size of a response body.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Time to connect to discovery. The timeout of the whole request also applies.
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

/// Why a request for the list failed.
#[derive(Debug, Error)]
enum PollError {
    /// The response's status is not 200.
    #[error("status {0}")]
    Rejected(StatusCode),
    /// The response's body is not a valid list.
    #[error(transparent)]
    InvalidList(#[from] ListError),
    /// The address can't be used in a URI.
    #[error(transparent)]
    InvalidAddress(#[from] hyper::http::Error),
    /// The connection failed, or ended before the head of a response.
    #[error(transparent)]
    Unreachable(#[from] hyper_util::client::legacy::Error),
    /// The body is truncated, or longer than [`MAX_LIST_BYTES`].
    #[error(transparent)]
    IncompleteBody(Box<dyn std::error::Error + Send + Sync>),
    /// The request has timed out.
    #[error("no answer in time")]
    Timeout,
}

impl PollError {
    /// Returns whether discovery has sent a complete response, and so has spent work on the request.
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

/// Watches the endpoint list at the current value of `address` for as long as the dispatcher runs. `seed` must differ
/// between dispatchers. `known_revision` is the revision of the dispatcher's current list; `None`: it has none.
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
    // Each poll costs a remote discovery service work, and the dispatchers of a fleet may be restarted together.
    if watcher.deployment.settings.must_poll_endpoints && known_revision.is_some() {
        sleep(watcher.backoff.initial_delay()).await;
    }
    loop {
        let current = address.borrow_and_update().clone();
        tokio::select! {
            // Once the sender is dropped, this branch is disabled and the address no longer changes.
            Ok(()) = address.changed() => info!(watcher.log, "discovery address changed"),
            () = watcher.watch(&current, known_revision) => return,
        }
        // Revisions of different discovery services are not comparable.
        known_revision = None;
        watcher.backoff.reset();
    }
}

/// The state of the client that is kept when discovery's address changes.
struct ListWatcher {
    deployment: Deployment,
    backoff: Backoff,
    dispatcher: DispatcherHandle,
    log: Logger,
}

impl ListWatcher {
    /// Watches one address, from `known_revision` or from a full list on. Dropping the future closes its connections.
    async fn watch(&mut self, address: &str, known_revision: Option<u64>) {
        let client = http_client();
        let has_local_agent = !self.deployment.settings.must_poll_endpoints;
        let mut state = WatchState::starting_at(known_revision, has_local_agent);
        loop {
            let poll = state.next_poll();
            let started = Instant::now();
            let response = timeout(poll.timeout, fetch_list(&client, address, &poll.target)).await;
            match response.unwrap_or(Err(PollError::Timeout)) {
                Ok(list) => self.handle_list(&mut state, &list, started).await,
                Err(error) => self.on_error(&mut state, &error, started).await,
            }
        }
    }

    async fn handle_list(&mut self, state: &mut WatchState, list: &EndpointList, started: Instant) {
        self.backoff.reset();
        debug!(self.log, "endpoint list received"; "revision" => list.revision, "is_full" => list.complete,
            "endpoints" => list.members.len());
        let has_changes = !list.members.is_empty() || list.complete;
        let is_newer = state.on_response(list.revision);
        if is_newer || has_changes {
            let event = endpoints_changed_event(&mut self.deployment, list, &self.log);
            // Ahead of queued requests, so that none of them is sent to an endpoint that is now draining.
            self.dispatcher.send_urgent(event).await;
        }
        if !is_newer && started.elapsed() < MIN_IDLE_POLL_INTERVAL {
            sleep(MIN_IDLE_POLL_INTERVAL).await;
        }
    }

    async fn on_error(&mut self, state: &mut WatchState, error: &PollError, started: Instant) {
        let was_responsive = state.is_responsive();
        let delay = if error.is_answered() {
            let max_delay = state.max_backoff(started.elapsed());
            self.backoff.next_delay_within(max_delay)
        } else {
            state.on_timeout()
        };
        let retry_in_ms = delay.as_millis() as u64;
        if was_responsive {
            warn!(self.log, "endpoint list request failed"; "error" => %error, "retry_in_ms" => retry_in_ms);
        } else {
            debug!(self.log, "endpoint list request failed again"; "error" => %error, "retry_in_ms" => retry_in_ms);
        }
        self.dispatcher.send(Event::EndpointListFailed).await;
        sleep(delay).await;
    }
}
