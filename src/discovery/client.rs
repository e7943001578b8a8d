//! Discovery: the list of members and the watch on it, told to the core as member events.
//!
//! The agent may be silent or talk nonsense; both are logged and tried again, and the list held stays valid.

use crate::config::{Deployment, EndpointLine, EndpointList};
use crate::discovery::backoff::Backoff;
use crate::discovery::watch_state::WatchState;
use crate::dispatcher::{DiscoveredEndpoint, DispatcherHandle, Event};
use crate::routing::api::{EndpointRecord, EndpointStatus};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use miniserde::json;
use slog::{debug, info, warn, Logger};
use std::time::Duration;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout, Instant};

/// Who answers sooner, with nothing newer, does not wait as a watch should, and is called again after this.
const IDLE: Duration = Duration::from_millis(20);
/// A list is not read beyond this.
const LONGEST: usize = 4 * 1024 * 1024;

/// A member's line in the core's terms; an error where it makes no sense. Who is announced as leaving leaves, whatever
/// else its line says: where the rest can't be read, that stays as it was told before.
pub fn parse_endpoint(
    site: &mut Deployment,
    line: &EndpointLine,
) -> Result<DiscoveredEndpoint, String> {
    let id = line
        .id
        .as_deref()
        .filter(|id| !id.is_empty())
        .ok_or("no id")?;
    let state = match line.phase.as_deref() {
        Some("Ready") => EndpointStatus::Ready,
        Some("Terminating") => EndpointStatus::Draining,
        Some("Gone") => EndpointStatus::Removed,
        other => return Err(format!("unknown phase {other:?}")),
    };
    let zone = site.zone_id(line.locality.as_deref());
    let whole = || {
        let address = line.host_port.as_deref().unwrap_or_default();
        address
            .parse::<std::net::SocketAddr>()
            .map_err(|_| format!("no address: {address:?}"))?;
        let record = site.endpoint_record(0, id, line.flavor.as_deref());
        Ok((address, record.map_err(|error| error.to_string())?))
    };
    let (address, entry, partial) = match whole() {
        Ok((address, entry)) => (address, entry, false),
        Err(_) if state != EndpointStatus::Ready => ("", EndpointRecord::default(), true),
        Err(error) => return Err(error),
    };
    let started = line
        .up_since_ms
        .filter(|at| *at > 0.0)
        .map(|ms| (ms * 1000.0) as u64);
    let entry = EndpointRecord {
        zone,
        cell: line.cell.unwrap_or(u32::MAX),
        status: state,
        started_at: started,
        ..entry
    };
    Ok(DiscoveredEndpoint {
        id: id.into(),
        address: address.into(),
        record: entry,
        is_partial: partial,
    })
}

/// A list in the core's terms. A line that makes no sense is logged and left out.
pub fn endpoints_changed(site: &mut Deployment, list: &EndpointList, log: &Logger) -> Event {
    let mut members = Vec::new();
    for line in &list.members {
        let line = EndpointLine::from(line);
        match parse_endpoint(site, &line) {
            Ok(member) => members.push(member),
            Err(error) => {
                warn!(log, "a member makes no sense"; "member" => line.id, "error" => error)
            }
        }
    }
    Event::EndpointsChanged {
        is_full: list.complete,
        endpoints: members,
    }
}

/// Reads a list as discovery writes it.
pub fn parse_list(text: &[u8]) -> Result<EndpointList, String> {
    let text = std::str::from_utf8(text).map_err(|_| "not UTF-8")?;
    json::from_str(text).map_err(|_| "not a list of members".to_owned())
}

type Agent = Client<HttpConnector, Empty<Bytes>>;

fn agent() -> Agent {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(500)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// Why there is no list.
enum Failure {
    /// An answer that is none.
    Answered(String),
    /// Nobody answered.
    Silent(String),
}

async fn call(agent: &Agent, address: &str, target: &str) -> Result<EndpointList, Failure> {
    let silent = |error: &dyn std::fmt::Display| Failure::Silent(error.to_string());
    let request = Request::get(format!("http://{address}{target}")).body(Empty::new());
    let response = agent
        .request(request.map_err(|error| silent(&error))?)
        .await;
    let response = response.map_err(|error| silent(&error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), LONGEST).collect().await;
    let body = body.map_err(|error| silent(&error))?.to_bytes();
    if status != StatusCode::OK {
        return Err(Failure::Answered(format!("status {status}")));
    }
    parse_list(&body).map_err(Failure::Answered)
}

/// Watches discovery for as long as the dispatcher runs, at the address that it was last told of.
/// `seed` is this dispatcher's own; `known` the revision of the list that it has, if it has one.
pub async fn run(
    mut address: Receiver<String>,
    mut site: Deployment,
    seed: u64,
    mut known: Option<u64>,
    door: DispatcherHandle,
    log: Logger,
) {
    let mut backoff = Backoff::new(site.settings.dispatchers, seed);
    // Where lists must be asked for, that costs discovery work, and all that were ended together start together.
    if site.settings.must_poll_endpoints && known.is_some() {
        sleep(backoff.initial_delay()).await;
    }
    loop {
        let now = address.borrow_and_update().clone();
        tokio::select! {
            // The sender is gone: the address is the last one.
            Ok(()) = address.changed() => info!(log, "discovery has moved"),
            () = follow(&now, &mut site, known, &mut backoff, &door, &log) => return,
        }
        // Another agent's revisions need not be this one's.
        known = None;
        backoff.reset();
    }
}

/// Watches one address, from the revision that is known on, or from a full list. Its connections end with it.
async fn follow(
    address: &str,
    site: &mut Deployment,
    known: Option<u64>,
    backoff: &mut Backoff,
    door: &DispatcherHandle,
    log: &Logger,
) {
    let agent = agent();
    let mut watch = WatchState::starting_at(known, !site.settings.must_poll_endpoints);
    loop {
        let next = watch.next_poll();
        let began = Instant::now();
        let called = timeout(next.patience, call(&agent, address, &next.target)).await;
        match called.unwrap_or_else(|_| Err(Failure::Silent("no answer in time".into()))) {
            Ok(list) => {
                backoff.reset();
                debug!(log, "a list"; "revision" => list.revision, "complete" => list.complete,
                    "members" => list.members.len());
                let news = !list.members.is_empty() || list.complete;
                let newer = watch.on_response(list.revision);
                if newer || news {
                    // Who leaves is not to be sent what comes meanwhile.
                    door.send_urgent(endpoints_changed(site, &list, log)).await;
                }
                if !newer && began.elapsed() < IDLE {
                    sleep(IDLE).await;
                }
            }
            Err(failure) => {
                let heard_before = watch.is_synced();
                let (error, pause) = match failure {
                    Failure::Answered(error) => (
                        error,
                        backoff.next_delay_within(watch.max_backoff(began.elapsed())),
                    ),
                    Failure::Silent(error) => (error, watch.on_timeout()),
                };
                let again_in_ms = pause.as_millis() as u64;
                if heard_before {
                    warn!(log, "discovery failed"; "error" => error, "again_in_ms" => again_in_ms);
                } else {
                    debug!(log, "discovery is still silent"; "error" => error, "again_in_ms" => again_in_ms);
                }
                door.send(Event::EndpointListFailed).await;
                sleep(pause).await;
            }
        }
    }
}
