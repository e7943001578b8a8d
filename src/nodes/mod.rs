//! The side of the model nodes: attempts and their cancels, leases, probes, connections.
//!
//! It does what the core commands and tells it how each attempt ended. Nodes speak HTTP/1.1, or WebSocket
//! sessions where the session file names them.

pub mod attempt;
mod connections;
pub mod events;
pub mod http;
pub mod sessions;

use crate::api::{RequestId, ServerId};
use crate::dispatch::{Command, Door, EndReason, Event};
use crate::moving::Signal;
use crate::places::Places;
use crate::settings::Bounds;
use attempt::{End, Passing, Trial};
use connections::Dialer;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::Http;
use sessions::Sessions;
use slog::{error, warn, Logger};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// A lease call waits so long for one node's answer ...
const LEASE_CALL: Duration = Duration::from_millis(150);
/// ... and the next node is called after this, ...
const LEASE_STEP: Duration = Duration::from_millis(50);
/// ... and so long in all; nodes free by themselves what is left then.
const LEASE_TRIES: Duration = Duration::from_secs(5);
/// Between two rounds of lease calls.
const LEASE_PAUSE: Duration = Duration::from_millis(20);
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
    sessions: Sessions,
    speak_sessions: Arc<HashSet<String>>,
    door: Door,
    log: Logger,
}

impl Shared {
    async fn attempt(&self, trial: Trial, passing: Passing) -> End {
        if self.speak_sessions.contains(&*trial.address) {
            self.sessions.attempt(trial, passing).await
        } else {
            self.http.attempt(trial, passing).await
        }
    }

    async fn release_at(&self, name: &str, address: &Arc<str>) -> bool {
        if self.speak_sessions.contains(&**address) {
            self.sessions.release(name, address).await
        } else {
            self.http.release(name, address).await
        }
    }

    /// Lets go of what is held for a request: any node passes it on. One that can't be reached may have died with the
    /// state, and the time in which it must be let go runs on: the next node is called before one is given up.
    async fn release(&self, name: &str, addresses: &[Arc<str>]) -> bool {
        let until = Instant::now() + LEASE_TRIES;
        let mut calls = FuturesUnordered::new();
        while Instant::now() < until && !addresses.is_empty() {
            for address in addresses {
                calls.push(timeout(LEASE_CALL, self.release_at(name, address)));
                if let Ok(Some(Ok(true))) = timeout(LEASE_STEP, calls.next()).await {
                    return true;
                }
            }
            sleep(LEASE_PAUSE).await;
        }
        warn!(self.log, "a lease could not be let go"; "name" => name, "servers" => addresses.len());
        false
    }

    async fn probe(&self, server: ServerId, address: &str) {
        // A session carries no probes: its reports come with its answers.
        let answer = timeout(PROBE, self.http.probe(address)).await;
        let (ok, load) = answer.ok().flatten().unwrap_or((false, None));
        self.door.tell(Event::Probed { server, ok, load }).await;
    }
}

/// Does what the core commands, until it ends. `places` are for connections to nodes;
/// `speak_sessions` names the addresses of nodes that speak WebSocket sessions. Streams move to another process
/// when `moving` says so.
pub async fn run(
    mut commands: mpsc::Receiver<Command>, door: Door, bounds: Bounds, places: Places,
    speak_sessions: HashSet<String>, moving: Signal, log: Logger,
) {
    let most_idle = (places.whole() / IDLE_PART).max(1);
    let dialer = Dialer::new(Duration::from_micros(bounds.dial), places);
    // Nodes close what was idle for the settings' time; a request written then would be lost.
    let idle = Duration::from_micros(bounds.idle * 7 / 10);
    let http = Http::new(dialer.clone(), idle, most_idle, log.clone());
    let sessions = Sessions::new(dialer.clone(), idle, log.clone());
    let shared = Shared { http, sessions, speak_sessions: Arc::new(speak_sessions), door, log };
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
                Command::bars_first(&mut taken);
                for command in taken.drain(..) { match command {
                Command::Send { id, attempt, address, work, timeout, alone } => {
                    let (cancel, cancelled) = oneshot::channel::<()>();
                    let shared = shared.clone();
                    let trial = Trial { id, attempt, address, work, timeout, alone };
                    let passing = Passing::new(shared.door.clone(), &trial, moving.clone(), shared.log.clone());
                    let begun = passing.mark();
                    let cancelled = async move {
                        // A cancel may cross with the first event. The core has then given the stream to the
                        // client, so that cutting it would lose the request: it ends when it is let go.
                        if cancelled.await.is_err() || begun.load(Ordering::Relaxed) {
                            std::future::pending::<()>().await;
                        }
                    };
                    let handle = tasks.spawn(async move {
                        let End { reason, note, written, load } = tokio::select! {
                            biased;
                            end = shared.attempt(trial, passing) => end,
                            // Dropping the exchange closes its connection.
                            () = cancelled => EndReason::Cancelled.into(),
                        };
                        shared.door.tell(Event::Ended { id, attempt, reason, note, written, load }).await;
                    });
                    trials.insert(handle.id(), (id, attempt));
                    cancels.insert((id, attempt), cancel);
                }
                Command::Cancel { id, attempt } => {
                    if let Some(cancel) = cancels.remove(&(id, attempt)) {
                        let _ = cancel.send(());
                    }
                }
                Command::Release { id, name, addresses } => {
                    let shared = shared.clone();
                    tasks.spawn(async move {
                        let done = shared.release(&name, &addresses).await;
                        shared.door.tell(Event::Released { id, done }).await;
                    });
                }
                Command::Probe { server, address } => {
                    let shared = shared.clone();
                    tasks.spawn(async move { shared.probe(server, &address).await });
                }
                Command::Bar { address, barred } => {
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
                    let reason = EndReason::TaskDied;
                    shared.door.post(Event::Ended { id, attempt, reason, note: 0.0, written: 0.0, load: None });
                }
            }
        }
    }
}
