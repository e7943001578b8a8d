//! Stand-in prefill and decode replicas, each over HTTP/1.1 and over WebSocket sessions.
//!
//! Both transports execute an attempt in the same way ([`StandInReplica::execute`]). A decode replica rejects a request
//! whose KV cache no prefill replica has reserved.

use axum::body::Body;
use axum::extract::ws::{Message, WebSocket, WebSocketUpgrade};
use axum::extract::{Path, Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::Router;
use bytes::Bytes;
use miniserde::json;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, Notify};

/// The events of a complete stream.
pub(crate) const STREAM_EVENTS: [&str; 3] = [
    "data: {\"n\":1}\n\n",
    "data: {\"n\":\"ä\"}\n\n",
    "data: [DONE]\n\n",
];

/// How a replica treats its attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behavior {
    /// It serves the attempt completely.
    Serve,
    /// It accepts the attempt and never responds.
    Hang,
    /// It responds with an error.
    Error,
    /// It rejects the attempt, with the statement that it never ran.
    Reject,
    /// It aborts the stream after a first event; in prefill, it closes the connection without a response.
    Abort,
    /// It sends a first event and aborts the stream once `resume` is notified.
    PauseThenAbort,
    /// It sends a first event and continues once `resume` is notified.
    Pause,
    /// Its response is malformed.
    Malformed,
}

/// What all replicas of a test bed hold, and what they have received.
#[derive(Default)]
pub(crate) struct ReplicaActivity {
    /// Client request ids whose KV cache is reserved.
    pub kv_caches: BTreeSet<String>,
    /// Attempts in flight.
    pub in_flight: usize,
    /// All attempts in the order of their arrival: the replica's number and the client request id.
    pub attempts: Vec<(usize, String)>,
    /// Release requests that were received.
    pub release_count: usize,
}

/// A server in the place of a prefill or decode replica.
pub(super) struct StandInReplica {
    number: usize,
    is_prefill: bool,
    behavior: Mutex<Behavior>,
    activity: Arc<Mutex<ReplicaActivity>>,
    resume: Arc<Notify>,
}

/// Takes an attempt off the count of those in flight when it is dropped.
struct InFlightGuard(Arc<Mutex<ReplicaActivity>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.lock().unwrap().in_flight -= 1;
    }
}

/// A part of a response. If the channel closes before a final part, the connection is aborted.
enum ResponsePart {
    /// The prefill is done, and the KV cache is reserved.
    Prefilled,
    /// One event of the stream; the only part after which more parts follow.
    Event(&'static str),
    /// The end of a complete stream.
    End,
    /// The attempt never ran, either because its KV cache is missing or by [`Behavior::Reject`].
    Rejected { is_kv_missing: bool },
    /// An error of an attempt that may have run.
    Failed,
    /// Bytes that are no response of the protocol.
    Malformed,
}

impl StandInReplica {
    /// Creates a replica that serves.
    pub(super) fn new(
        number: usize,
        is_prefill: bool,
        activity: Arc<Mutex<ReplicaActivity>>,
        resume: Arc<Notify>,
    ) -> Arc<StandInReplica> {
        Arc::new(StandInReplica {
            number,
            is_prefill,
            behavior: Mutex::new(Behavior::Serve),
            activity,
            resume,
        })
    }

    /// Changes how the replica behaves from its next attempt on.
    pub(super) fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Returns the replica's HTTP and WebSocket routes.
    pub(super) fn routes(self: Arc<Self>) -> Router {
        let release = |State(replica): State<Arc<Self>>, Path(id): Path<String>| async move {
            replica.release(&id);
            StatusCode::NO_CONTENT
        };
        let upgrade = |State(replica): State<Arc<Self>>, upgrade: WebSocketUpgrade| async move {
            upgrade.on_upgrade(move |socket| serve_session(replica, socket))
        };
        Router::new()
            .route("/v1/chat/completions", post(serve_http))
            .route("/kv/leases/{name}", delete(release))
            .route("/v1/sessions", get(upgrade))
            .with_state(self)
    }

    /// Executes one attempt and sends its response on the channel; stops when the receiver is dropped.
    async fn execute(self: Arc<Self>, id: String, parts: mpsc::Sender<ResponsePart>) {
        self.activity.lock().unwrap().in_flight += 1;
        let _in_flight = InFlightGuard(self.activity.clone());
        self.activity
            .lock()
            .unwrap()
            .attempts
            .push((self.number, id.clone()));
        let behavior = *self.behavior.lock().unwrap();
        let work = async {
            match behavior {
                Behavior::Hang => std::future::pending().await,
                Behavior::Error => drop(parts.send(ResponsePart::Failed).await),
                Behavior::Reject => drop(
                    parts
                        .send(ResponsePart::Rejected {
                            is_kv_missing: false,
                        })
                        .await,
                ),
                Behavior::Malformed => drop(parts.send(ResponsePart::Malformed).await),
                Behavior::Abort if self.is_prefill => {}
                Behavior::Serve | Behavior::Pause | Behavior::PauseThenAbort if self.is_prefill => {
                    self.activity.lock().unwrap().kv_caches.insert(id.clone());
                    let _ = parts.send(ResponsePart::Prefilled).await;
                }
                _ => {
                    if !self.activity.lock().unwrap().kv_caches.remove(&id) {
                        return drop(
                            parts
                                .send(ResponsePart::Rejected {
                                    is_kv_missing: true,
                                })
                                .await,
                        );
                    }
                    let _ = parts.send(ResponsePart::Event(STREAM_EVENTS[0])).await;
                    if behavior == Behavior::Abort {
                        return;
                    }
                    if matches!(behavior, Behavior::Pause | Behavior::PauseThenAbort) {
                        self.resume.notified().await;
                    }
                    if behavior == Behavior::PauseThenAbort {
                        return;
                    }
                    let _ = parts.send(ResponsePart::Event(STREAM_EVENTS[1])).await;
                    let _ = parts.send(ResponsePart::Event(STREAM_EVENTS[2])).await;
                    let _ = parts.send(ResponsePart::End).await;
                }
            }
        };
        tokio::select! {
            () = work => {}
            () = parts.closed() => {}
        }
    }

    /// Frees the KV cache of a request and counts the release, also if nothing was reserved.
    fn release(&self, id: &str) {
        let mut activity = self.activity.lock().unwrap();
        activity.kv_caches.remove(id);
        activity.release_count += 1;
    }
}

/// Serves one attempt over HTTP/1.1.
async fn serve_http(State(replica): State<Arc<StandInReplica>>, request: Request) -> Response {
    let id = request.headers()["x-trace-id"].to_str().unwrap().to_owned();
    axum::body::to_bytes(request.into_body(), 1 << 20)
        .await
        .unwrap();
    let (sender, mut parts) = mpsc::channel(1);
    tokio::spawn(replica.execute(id, sender));
    match parts.recv().await {
        Some(ResponsePart::Prefilled) => {
            (StatusCode::ACCEPTED, r#"{"cached_tokens":7}"#).into_response()
        }
        Some(ResponsePart::Rejected { is_kv_missing }) => {
            let status = if is_kv_missing {
                StatusCode::GONE
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            (status, [("x-never-ran", "1")]).into_response()
        }
        Some(ResponsePart::Event(first)) => {
            let stream = futures_util::stream::unfold(
                (Some(first), parts),
                |(first, mut parts)| async move {
                    let next = match first {
                        Some(first) => Some(ResponsePart::Event(first)),
                        None => parts.recv().await,
                    };
                    match next {
                        Some(ResponsePart::Event(data)) => {
                            Some((Ok(Bytes::from(data)), (None, parts)))
                        }
                        Some(_) => None,
                        None => Some((Err(io::Error::other("broken")), (None, parts))),
                    }
                },
            );
            (
                [("content-type", "text/event-stream")],
                Body::from_stream(stream),
            )
                .into_response()
        }
        Some(ResponsePart::Malformed) => (StatusCode::OK, "\u{1}what?").into_response(),
        Some(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        // An error before the first body byte: the connection ends without a response.
        None => Response::new(Body::from_stream(futures_util::stream::once(async {
            Err::<Bytes, _>(io::Error::other("broken"))
        }))),
    }
}

/// Serves the attempts and releases of one session, one after the other.
async fn serve_session(replica: Arc<StandInReplica>, mut socket: WebSocket) {
    while let Some(Ok(message)) = socket.recv().await {
        let Message::Text(text) = message else {
            continue;
        };
        let fields: BTreeMap<String, json::Value> = json::from_str(&text).unwrap();
        let field = |key: &str| match fields.get(key) {
            Some(json::Value::String(value)) => value.clone(),
            _ => String::new(),
        };
        let id = field("id");
        let message_with = |rest: &str| {
            Message::Text(format!("{{\"id\":{},{rest}}}", json::to_string(&id)).into())
        };
        if field("type") == "release" {
            replica.release(&id);
            socket.send(message_with(r#""type":"released""#)).await.ok();
            continue;
        }
        let (sender, mut parts) = mpsc::channel(1);
        tokio::spawn(replica.clone().execute(id.clone(), sender));
        loop {
            let part = tokio::select! {
                part = parts.recv() => part,
                // Nothing but a close arrives while an attempt is in flight.
                _ = socket.recv() => return,
            };
            let (message, is_final) = match part {
                None => return,
                Some(ResponsePart::Event(data)) => (
                    message_with(&format!(
                        r#""type":"event","data":{}"#,
                        json::to_string(data)
                    )),
                    false,
                ),
                Some(ResponsePart::Prefilled) => (
                    message_with(r#""type":"read","cached_tokens":7,"load":"TEXT inflight=1""#),
                    true,
                ),
                Some(ResponsePart::End) => (message_with(r#""type":"served""#), true),
                Some(ResponsePart::Rejected { is_kv_missing }) => (
                    message_with(&format!(
                        r#""type":"refused","never_ran":true,"state_gone":{is_kv_missing}"#
                    )),
                    true,
                ),
                Some(ResponsePart::Failed) => (message_with(r#""type":"failed""#), true),
                Some(ResponsePart::Malformed) => (Message::Text("[what".into()), true),
            };
            if socket.send(message).await.is_err() {
                return;
            }
            if is_final {
                break;
            }
        }
    }
}
