//! The side of the model nodes: attempts and their cancels, leases, probes, connections.
//!
//! It does what the core commands and tells it how each attempt ended. Nodes speak HTTP/1.1, or WebSocket
//! sessions where the session file names them.

pub mod attempt;
mod connector;
pub mod event_stream;
pub mod http;
pub mod websocket;

use crate::config::Bounds;
use crate::dispatcher::{Command, DispatcherHandle, EndReason, Event};
use crate::net::connection_limit::ConnectionLimit;
use crate::routing::api::{EndpointId, RequestId};
use crate::upgrade::stream_migration::MigrationSignal;
use attempt::{AttemptRequest, AttemptResult, StreamForwarder};
use connector::Connector;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::Http;
use slog::{error, warn, Logger};
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use websocket::SessionPool;

/// A release call waits so long for one server's answer ...
const RELEASE_CALL: Duration = Duration::from_millis(250);
/// ... and after this more servers are called: one at first, and each time as many as were called before.
const RELEASE_STEP: Duration = Duration::from_millis(30);
/// A release is tried for so long in all; servers free by themselves what is left then.
const RELEASE_TRIES: Duration = Duration::from_secs(5);
/// Between two rounds of calls to all servers.
const RELEASE_PAUSE: Duration = Duration::from_millis(20);
/// So much of all connections to nodes may stand idle at one of them.
const IDLE_PART: usize = 12;
/// So many commands are taken at once.
const COMMANDS: usize = 1024;
/// A probe that takes longer has failed.
const PROBE: Duration = Duration::from_secs(1);

/// What tasks of this side share.
#[derive(Clone)]
struct Shared {
    http: Http,
    sessions: SessionPool,
    speak_sessions: Arc<HashSet<String>>,
    door: DispatcherHandle,
    log: Logger,
}

impl Shared {
    async fn attempt(&self, trial: AttemptRequest, passing: StreamForwarder) -> AttemptResult {
        if self.speak_sessions.contains(&*trial.address) {
            self.sessions.attempt(trial, passing).await
        } else {
            self.http.attempt(trial, passing).await
        }
    }

    /// Tells one server to release; true when it said that it has. `fresh`: on a connection of its own, for kept ones may have
    /// fallen silent.
    async fn release_at(&self, name: &str, address: &Arc<str>, fresh: bool) -> bool {
        if self.speak_sessions.contains(&**address) {
            self.sessions.release(name, address, fresh).await
        } else {
            self.http.release(name, address, fresh).await
        }
    }

    /// Has servers release what they hold for a request, and tells whether one said that it has: any server passes it on. The
    /// call counts when a running server has read it, and nothing tells which ones run. So more and more are called until one
    /// answers: all of them within a few steps.
    async fn release(&self, name: &str, addresses: &[Arc<str>]) -> bool {
        let until = Instant::now() + RELEASE_TRIES;
        let mut calls = FuturesUnordered::new();
        let mut fresh = false;
        while Instant::now() < until && !addresses.is_empty() {
            let mut called = 0;
            while called < addresses.len() {
                let next = called.max(1).min(addresses.len() - called);
                for address in &addresses[called..called + next] {
                    calls.push(timeout(RELEASE_CALL, self.release_at(name, address, fresh)));
                }
                called += next;
                if first_done(&mut calls, Instant::now() + RELEASE_STEP).await {
                    return true;
                }
            }
            fresh = true;
            sleep(RELEASE_PAUSE).await;
        }
        let done = first_done(&mut calls, Instant::now() + RELEASE_CALL).await;
        if !done {
            warn!(self.log, "no server has taken a release"; "name" => name, "servers" => addresses.len());
        }
        done
    }

    async fn probe(&self, server: EndpointId, address: &str) {
        // A session carries no probes: its reports come with its answers.
        let answer = timeout(PROBE, self.http.probe(address)).await;
        let (ok, load) = answer.ok().flatten().unwrap_or((false, None));
        self.door
            .send(Event::ProbeCompleted {
                endpoint: server,
                is_healthy: ok,
                load,
            })
            .await;
    }
}

/// Whether one of these calls is done well before this moment; those that have failed are dropped.
async fn first_done<C>(calls: &mut FuturesUnordered<C>, until: Instant) -> bool
where
    C: Future<Output = Result<bool, Elapsed>>,
{
    let done = async {
        while let Some(called) = calls.next().await {
            if called == Ok(true) {
                return true;
            }
        }
        false
    };
    match timeout_at(until, done).await {
        Ok(true) => true,
        Ok(false) => {
            sleep_until(until).await;
            false
        }
        Err(_) => false,
    }
}

/// Does what the core commands, until it ends. `places` are for connections to nodes;
/// `speak_sessions` names the addresses of nodes that speak WebSocket sessions. Streams move to another process
/// when `moving` says so.
pub async fn run(
    mut commands: mpsc::Receiver<Command>,
    door: DispatcherHandle,
    bounds: Bounds,
    places: ConnectionLimit,
    speak_sessions: HashSet<String>,
    moving: MigrationSignal,
    log: Logger,
) {
    let most_idle = (places.capacity() / IDLE_PART).max(1);
    let dialer = Connector::new(Duration::from_micros(bounds.connect_timeout), places);
    // Nodes close what was idle for the settings' time; a request written then would be lost.
    let idle = Duration::from_micros(bounds.endpoint_idle_timeout * 7 / 10);
    let http = Http::new(dialer.clone(), idle, most_idle, log.clone());
    let sessions = SessionPool::new(dialer.clone(), idle, log.clone());
    let shared = Shared {
        http,
        sessions,
        speak_sessions: Arc::new(speak_sessions),
        door,
        log,
    };
    let mut tasks: JoinSet<()> = JoinSet::new();
    let mut trials: HashMap<tokio::task::Id, (RequestId, u32)> = HashMap::new();
    let mut cancels: HashMap<(RequestId, u32), oneshot::Sender<()>> = HashMap::new();
    let mut taken = Vec::new();
    loop {
        tokio::select! {
            count = commands.recv_many(&mut taken, COMMANDS) => {
                if count == 0 {
                    break;
                }
                // What waits is taken at once, and bars are up before any of it is sent.
                Command::blocks_first(&mut taken);
                for command in taken.drain(..) { match command {
                Command::StartAttempt { id, attempt, address, upstream: work, timeout, needs_new_connection: alone } => {
                    let (cancel, cancelled) = oneshot::channel::<()>();
                    let shared = shared.clone();
                    let trial = AttemptRequest { id, attempt, address, work, timeout, alone };
                    let passing = StreamForwarder::new(shared.door.clone(), &trial, moving.clone(), shared.log.clone());
                    let begun = passing.mark();
                    let cancelled = async move {
                        // A cancel may cross with the first event. The core has then given the stream to the
                        // client, so that cutting it would lose the request: it ends when it is let go.
                        if cancelled.await.is_err() || begun.load(Ordering::Relaxed) {
                            std::future::pending::<()>().await;
                        }
                    };
                    let handle = tasks.spawn(async move {
                        let AttemptResult { reason, cached_tokens, completion_tokens, load } = tokio::select! {
                            biased;
                            end = shared.attempt(trial, passing) => end,
                            // Dropping the exchange closes its connection.
                            () = cancelled => EndReason::Cancelled.into(),
                        };
                        shared.door.send(Event::AttemptEnded { id, attempt, reason, cached_tokens, completion_tokens, load }).await;
                    });
                    trials.insert(handle.id(), (id, attempt));
                    cancels.insert((id, attempt), cancel);
                }
                Command::CancelAttempt { id, attempt } => {
                    if let Some(cancel) = cancels.remove(&(id, attempt)) {
                        let _ = cancel.send(());
                    }
                }
                Command::ReleaseReservation { id, client_request_id: name, addresses } => {
                    let shared = shared.clone();
                    tasks.spawn(async move {
                        let done = shared.release(&name, &addresses).await;
                        shared.door.send(Event::ReleaseCompleted { id, confirmed: done }).await;
                    });
                }
                Command::Probe { endpoint: server, address } => {
                    let shared = shared.clone();
                    tasks.spawn(async move { shared.probe(server, &address).await });
                }
                Command::BlockAddress { address, is_blocked: barred } => {
                    if barred {
                        shared.sessions.forget(&address);
                    }
                    dialer.bar(address, barred);
                }
            } } }
            Some(ended) = tasks.join_next_with_id() => {
                let task = match &ended {
                    Ok((task, ())) => *task,
                    Err(error) => error.id(),
                };
                let Some((id, attempt)) = trials.remove(&task) else { continue };
                cancels.remove(&(id, attempt));
                if let Err(error) = ended {
                    // A task that died has told nothing: the core must not wait for it.
                    error!(shared.log, "an attempt's task died"; "error" => %error);
                    let reason = EndReason::TaskPanicked;
                    shared.door.send_detached(Event::AttemptEnded { id, attempt, reason, cached_tokens: 0.0, completion_tokens: 0.0, load: None });
                }
            }
        }
    }
}
