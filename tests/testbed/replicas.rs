//! Stand-in prefill and decode replicas, over HTTP/1.1 and over sessions.

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
pub(crate) const ANSWER: [&str; 3] = [
    "data: {\"n\":1}\n\n",
    "data: {\"n\":\"ä\"}\n\n",
    "data: [DONE]\n\n",
];

/// How a replica behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Way {
    /// It serves.
    Serve,
    /// It accepts the request and never responds.
    Wait,
    /// It responds with an error.
    Fail,
    /// It rejects all requests.
    Full,
    /// It aborts the stream after a first event; in prefill, it closes the connection without a response.
    Break,
    /// It sends a first event and aborts the stream once `go` is notified.
    BreakLater,
    /// It sends a first event and continues once `go` is notified.
    Pause,
    /// Its response is malformed.
    Garbage,
}

/// What all replicas have reserved, and what was sent to them.
#[derive(Default)]
pub(crate) struct Ledger {
    /// Requests whose KV cache is reserved.
    pub states: BTreeSet<String>,
    /// Requests in flight.
    pub places: usize,
    /// All attempts: the replica's number and the request's id.
    pub sent: Vec<(usize, String)>,
    /// Releases that were received.
    pub released: usize,
}

pub(super) struct StandInReplica {
    number: usize,
    is_prefill: bool,
    behavior: Mutex<Way>,
    ledger: Arc<Mutex<Ledger>>,
    go: Arc<Notify>,
}

struct InFlightGuard(Arc<Mutex<Ledger>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.lock().unwrap().places -= 1;
    }
}

/// A part of a response. If the channel closes without a final one, the connection is aborted.
enum ResponsePart {
    Prefilled,
    Event(&'static str),
    End,
    Rejected { is_kv_missing: bool },
    Failed,
    Malformed,
}

impl StandInReplica {
    /// Creates a replica that serves.
    pub(super) fn new(
        number: usize,
        is_prefill: bool,
        ledger: Arc<Mutex<Ledger>>,
        go: Arc<Notify>,
    ) -> Arc<StandInReplica> {
        Arc::new(StandInReplica {
            number,
            is_prefill,
            behavior: Mutex::new(Way::Serve),
            ledger,
            go,
        })
    }

    /// Changes how it behaves from the next attempt on.
    pub(super) fn set_behavior(&self, behavior: Way) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Its routes.
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

    /// Executes one attempt; its response is sent on the channel.
    async fn execute(self: Arc<Self>, id: String, parts: mpsc::Sender<ResponsePart>) {
        self.ledger.lock().unwrap().places += 1;
        let _in_flight = InFlightGuard(self.ledger.clone());
        self.ledger
            .lock()
            .unwrap()
            .sent
            .push((self.number, id.clone()));
        let behavior = *self.behavior.lock().unwrap();
        let work = async {
            match behavior {
                Way::Wait => std::future::pending().await,
                Way::Fail => drop(parts.send(ResponsePart::Failed).await),
                Way::Full => drop(
                    parts
                        .send(ResponsePart::Rejected {
                            is_kv_missing: false,
                        })
                        .await,
                ),
                Way::Garbage => drop(parts.send(ResponsePart::Malformed).await),
                Way::Break if self.is_prefill => {}
                Way::Serve | Way::Pause | Way::BreakLater if self.is_prefill => {
                    self.ledger.lock().unwrap().states.insert(id.clone());
                    let _ = parts.send(ResponsePart::Prefilled).await;
                }
                _ => {
                    if !self.ledger.lock().unwrap().states.remove(&id) {
                        return drop(
                            parts
                                .send(ResponsePart::Rejected {
                                    is_kv_missing: true,
                                })
                                .await,
                        );
                    }
                    let _ = parts.send(ResponsePart::Event(ANSWER[0])).await;
                    if behavior == Way::Break {
                        return;
                    }
                    if matches!(behavior, Way::Pause | Way::BreakLater) {
                        self.go.notified().await;
                    }
                    if behavior == Way::BreakLater {
                        return;
                    }
                    let _ = parts.send(ResponsePart::Event(ANSWER[1])).await;
                    let _ = parts.send(ResponsePart::Event(ANSWER[2])).await;
                    let _ = parts.send(ResponsePart::End).await;
                }
            }
        };
        tokio::select! {
            () = work => {}
            () = parts.closed() => {}
        }
    }

    fn release(&self, id: &str) {
        let mut ledger = self.ledger.lock().unwrap();
        ledger.states.remove(id);
        ledger.released += 1;
    }
}

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
        // The connection ends without a response.
        None => Response::new(Body::from_stream(futures_util::stream::once(async {
            Err::<Bytes, _>(io::Error::other("broken"))
        }))),
    }
}

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
