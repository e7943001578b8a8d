//! Stand-in readers and writers on loopback, and a dispatcher put together as `main` does it.

#![allow(dead_code)]

mod profile;

use axum::body::Body;
use axum::extract::ws::{Message, WebSocket, WebSocketUpgrade};
use axum::extract::{Path, Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::Router;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use miniserde::json;
use quartzhall::config::{Deployment, EndpointList, SessionConfig, SettingsObject};
use quartzhall::dispatcher::{self, Clock, Core, DispatcherHandle, Event};
use quartzhall::frontend::memory_budget::BodyMemoryBudget;
use quartzhall::frontend::{admin, health_check, http, listener, websocket, ShutdownPhase};
use quartzhall::net::connection_limit::ConnectionLimit;
use quartzhall::{backend, discovery};
use slog::{o, Discard, Logger};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream};

pub use profile::PROFILE;

pub const ANSWER: [&str; 3] = [
    "data: {\"n\":1}\n\n",
    "data: {\"n\":\"ä\"}\n\n",
    "data: [DONE]\n\n",
];

/// How a node behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Serve,
    /// It holds its place and says nothing.
    Wait,
    /// It says that it failed.
    Fail,
    /// It turns all away.
    Full,
    /// It breaks off after a first event, or before one where it reads.
    Break,
    /// It sends a first event and breaks off once `go` is told.
    BreakLater,
    /// It sends a first event and goes on once `go` is told.
    Pause,
    /// It answers what makes no sense.
    Garbage,
}

/// What all nodes hold, and what was sent to them.
#[derive(Default)]
pub struct Ledger {
    pub states: BTreeSet<String>,
    pub places: usize,
    pub sent: Vec<(usize, String)>,
    pub released: usize,
}

struct Node {
    number: usize,
    reads: bool,
    way: Mutex<Way>,
    ledger: Arc<Mutex<Ledger>>,
    go: Arc<Notify>,
}

struct ConnectionPermit(Arc<Mutex<Ledger>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.lock().unwrap().places -= 1;
    }
}

/// What a node says; `None` on the channel without `End`: it breaks off.
enum Say {
    Read,
    Event(&'static str),
    End,
    Full(bool),
    Failed,
    Garbage,
}

impl Node {
    /// Runs one request; what it says comes on the channel.
    async fn run(self: Arc<Self>, name: String, say: mpsc::Sender<Say>) {
        self.ledger.lock().unwrap().places += 1;
        let _place = ConnectionPermit(self.ledger.clone());
        self.ledger
            .lock()
            .unwrap()
            .sent
            .push((self.number, name.clone()));
        let way = *self.way.lock().unwrap();
        let work = async {
            match way {
                Way::Wait => std::future::pending().await,
                Way::Fail => drop(say.send(Say::Failed).await),
                Way::Full => drop(say.send(Say::Full(false)).await),
                Way::Garbage => drop(say.send(Say::Garbage).await),
                Way::Break if self.reads => {}
                Way::Serve | Way::Pause | Way::BreakLater if self.reads => {
                    self.ledger.lock().unwrap().states.insert(name.clone());
                    let _ = say.send(Say::Read).await;
                }
                _ => {
                    if !self.ledger.lock().unwrap().states.remove(&name) {
                        return drop(say.send(Say::Full(true)).await);
                    }
                    let _ = say.send(Say::Event(ANSWER[0])).await;
                    if way == Way::Break {
                        return;
                    }
                    if matches!(way, Way::Pause | Way::BreakLater) {
                        self.go.notified().await;
                    }
                    if way == Way::BreakLater {
                        return;
                    }
                    let _ = say.send(Say::Event(ANSWER[1])).await;
                    let _ = say.send(Say::Event(ANSWER[2])).await;
                    let _ = say.send(Say::End).await;
                }
            }
        };
        tokio::select! {
            () = work => {}
            () = say.closed() => {}
        }
    }

    fn release(&self, name: &str) {
        let mut ledger = self.ledger.lock().unwrap();
        ledger.states.remove(name);
        ledger.released += 1;
    }
}

async fn http(State(node): State<Arc<Node>>, request: Request) -> Response {
    let name = request.headers()["x-trace-id"].to_str().unwrap().to_owned();
    axum::body::to_bytes(request.into_body(), 1 << 20)
        .await
        .unwrap();
    let (say, mut said) = mpsc::channel(1);
    tokio::spawn(node.run(name, say));
    match said.recv().await {
        Some(Say::Read) => (StatusCode::ACCEPTED, r#"{"cached_tokens":7}"#).into_response(),
        Some(Say::Full(gone)) => {
            let code = if gone {
                StatusCode::GONE
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            (code, [("x-never-ran", "1")]).into_response()
        }
        Some(Say::Event(first)) => {
            let stream =
                futures_util::stream::unfold((Some(first), said), |(first, mut said)| async move {
                    let next = match first {
                        Some(first) => Some(Say::Event(first)),
                        None => said.recv().await,
                    };
                    match next {
                        Some(Say::Event(data)) => Some((Ok(Bytes::from(data)), (None, said))),
                        Some(_) => None,
                        None => Some((Err(io::Error::other("broken")), (None, said))),
                    }
                });
            (
                [("content-type", "text/event-stream")],
                Body::from_stream(stream),
            )
                .into_response()
        }
        Some(Say::Garbage) => (StatusCode::OK, "\u{1}what?").into_response(),
        Some(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        // The connection ends without an answer.
        None => Response::new(Body::from_stream(futures_util::stream::once(async {
            Err::<Bytes, _>(io::Error::other("broken"))
        }))),
    }
}

async fn session(node: Arc<Node>, mut socket: WebSocket) {
    while let Some(Ok(message)) = socket.recv().await {
        let Message::Text(text) = message else {
            continue;
        };
        let told: BTreeMap<String, json::Value> = json::from_str(&text).unwrap();
        let word = |key: &str| match told.get(key) {
            Some(json::Value::String(word)) => word.clone(),
            _ => String::new(),
        };
        let id = word("id");
        let put = |rest: &str| {
            Message::Text(format!("{{\"id\":{},{rest}}}", json::to_string(&id)).into())
        };
        if word("type") == "release" {
            node.release(&id);
            socket.send(put(r#""type":"released""#)).await.ok();
            continue;
        }
        let (say, mut said) = mpsc::channel(1);
        tokio::spawn(node.clone().run(id.clone(), say));
        loop {
            let say = tokio::select! {
                say = said.recv() => say,
                // Nothing but a close comes while a request is out.
                _ = socket.recv() => return,
            };
            let (message, over) = match say {
                None => return,
                Some(Say::Event(data)) => (
                    put(&format!(
                        r#""type":"event","data":{}"#,
                        json::to_string(data)
                    )),
                    false,
                ),
                Some(Say::Read) => (
                    put(r#""type":"read","cached_tokens":7,"load":"TEXT inflight=1""#),
                    true,
                ),
                Some(Say::End) => (put(r#""type":"served""#), true),
                Some(Say::Full(gone)) => (
                    put(&format!(
                        r#""type":"refused","never_ran":true,"state_gone":{gone}"#
                    )),
                    true,
                ),
                Some(Say::Failed) => (put(r#""type":"failed""#), true),
                Some(Say::Garbage) => (Message::Text("[what".into()), true),
            };
            if socket.send(message).await.is_err() {
                return;
            }
            if over {
                break;
            }
        }
    }
}

/// The node side alone, with a test in the core's place.
pub fn node_side(
    over_sessions: &[String],
) -> (mpsc::Sender<dispatcher::Command>, dispatcher::EventReceiver) {
    node_side_for(16, over_sessions)
}

/// The same, and so many commands may wait for it.
pub fn node_side_for(
    waiting: usize,
    over_sessions: &[String],
) -> (mpsc::Sender<dispatcher::Command>, dispatcher::EventReceiver) {
    let profile: SettingsObject = json::from_str(PROFILE).unwrap();
    let site = Arc::new(Deployment::new(&profile).unwrap());
    let bounds = site.bounds;
    let (door, inbox) = dispatcher::channel(site);
    let (commands, commanded) = mpsc::channel(waiting);
    let speak = over_sessions.iter().cloned().collect();
    tokio::spawn(backend::run(
        commanded,
        door,
        bounds,
        ConnectionLimit::new(10),
        speak,
        quartzhall::upgrade::stream_migration::migration_signal().1,
        Logger::root(Discard, o!()),
    ));
    (commands, inbox)
}

/// The stand-ins and the dispatcher before them.
pub struct Fleet {
    pub door: DispatcherHandle,
    pub ledger: Arc<Mutex<Ledger>>,
    pub go: Arc<Notify>,
    pub platform: String,
    pub sessions: String,
    pub management: String,
    pub stop: watch::Sender<ShutdownPhase>,
    pub over: tokio::task::JoinHandle<()>,
    pub addresses: Vec<String>,
    nodes: Vec<Arc<Node>>,
    site: Mutex<Deployment>,
    log: Logger,
}

async fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

impl Fleet {
    /// Two readers (0, 1) and two writers (2, 3), over HTTP/1.1 or sessions. Writer 3 is not told of at first.
    pub async fn start(over_sessions: bool) -> Fleet {
        let log = Logger::root(Discard, o!());
        let (ledger, go) = (
            Arc::new(Mutex::new(Ledger::default())),
            Arc::new(Notify::new()),
        );
        let (mut standing, mut addresses) = (Vec::new(), Vec::new());
        for number in 0..4 {
            let way = Mutex::new(Way::Serve);
            let (ledger, go) = (ledger.clone(), go.clone());
            let node = Arc::new(Node {
                number,
                reads: number < 2,
                way,
                ledger,
                go,
            });
            let lease = |State(node): State<Arc<Node>>, Path(name): Path<String>| async move {
                node.release(&name);
                StatusCode::NO_CONTENT
            };
            let up = |State(node): State<Arc<Node>>, upgrade: WebSocketUpgrade| async move {
                upgrade.on_upgrade(move |socket| session(node, socket))
            };
            let routes = Router::new()
                .route("/v1/chat/completions", post(http))
                .route("/kv/leases/{name}", delete(lease))
                .route("/v1/sessions", get(up))
                .with_state(node.clone());
            let (listener, address) = bind().await;
            tokio::spawn(async move { axum::serve(listener, routes).await });
            standing.push(node);
            addresses.push(address);
        }
        let profile: SettingsObject = json::from_str(PROFILE).unwrap();
        let (site, second) = (
            Deployment::new(&profile).unwrap(),
            Deployment::new(&profile).unwrap(),
        );
        let clock = Clock::start();
        let site = Arc::new(site);
        let (door, inbox) = dispatcher::channel(site.clone());
        let core = Core::new(site.clone(), 100, 7, clock.now(), log.clone());
        let (commands, commanded) = mpsc::channel(64);
        let speak = if over_sessions {
            addresses.iter().cloned().collect()
        } else {
            Default::default()
        };
        tokio::spawn(backend::run(
            commanded,
            door.clone(),
            site.bounds,
            ConnectionLimit::new(100),
            speak,
            quartzhall::upgrade::stream_migration::migration_signal().1,
            log.clone(),
        ));
        tokio::spawn(dispatcher::run(core, clock, inbox, commands, None, None));
        let (stop, stopped) = watch::channel(ShutdownPhase::Serving);
        let options = r#"{"most_sessions":4,"most_message":4000,"reattach_ms":200,"most_requests":8,"record_text":4000}"#;
        let options = Arc::new(SessionConfig::parse(options).unwrap());
        let (listener, sessions) = bind().await;
        let rooms = BodyMemoryBudget::new(10_000);
        let shared = websocket::SessionFrontend::new(
            door.clone(),
            options,
            rooms.clone(),
            1,
            stopped.clone(),
            log.clone(),
        );
        let routes = websocket::routes(shared.clone()).merge(health_check::routes(door.clone()));
        let front = listener::serve(
            listener,
            routes,
            ConnectionLimit::new(50),
            stopped.clone(),
            None,
            log.clone(),
        );
        let (calls, management) = bind().await;
        tokio::spawn(admin::serve(calls, door.clone(), log.clone()));
        let (listener, platform) = bind().await;
        let routes = http::routes(door.clone(), rooms, log.clone());
        let thin = listener::serve(
            listener,
            routes,
            ConnectionLimit::new(50),
            stopped,
            None,
            log.clone(),
        );
        let over = tokio::spawn(async move {
            tokio::join!(front, thin);
            shared.wait_until_closed().await;
        });
        let site = Mutex::new(second);
        let nodes = standing;
        let fleet = Fleet {
            door,
            ledger,
            go,
            platform,
            sessions,
            management,
            stop,
            over,
            nodes,
            addresses,
            site,
            log,
        };
        fleet
            .tell(&[(0, "Ready"), (1, "Ready"), (2, "Ready")])
            .await;
        fleet
            .door
            .wait_for_readiness(dispatcher::Readiness::Ready)
            .await;
        fleet
    }

    pub fn way(&self, number: usize, way: Way) {
        *self.nodes[number].way.lock().unwrap() = way;
    }

    /// Discovery tells of changes.
    pub async fn tell(&self, phases: &[(usize, &str)]) {
        let line = |(number, phase): &(usize, &str)| {
            let kind = if *number < 2 { "prefill" } else { "decode" };
            let address = &self.addresses[*number];
            format!(
                r#"{{"id":"n{number}","host_port":"{address}","locality":"east","flavor":"{kind}","cell":1,"phase":"{phase}"}}"#
            )
        };
        let lines: Vec<String> = phases.iter().map(line).collect();
        let text = format!(
            r#"{{"revision":1,"complete":false,"members":[{}]}}"#,
            lines.join(",")
        );
        let list: EndpointList = discovery::parse_list(text.as_bytes()).unwrap();
        let event = discovery::endpoints_changed(&mut self.site.lock().unwrap(), &list, &self.log);
        self.door.send(event).await;
    }

    pub fn sent_to(&self, number: usize) -> usize {
        self.ledger
            .lock()
            .unwrap()
            .sent
            .iter()
            .filter(|(node, _)| *node == number)
            .count()
    }

    /// Waits until something holds at the nodes.
    pub async fn until(&self, what: &str, holds: impl Fn(&Ledger) -> bool) {
        let waits = async {
            while !holds(&self.ledger.lock().unwrap()) {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(Duration::from_secs(10), waits)
            .await
            .unwrap_or_else(|_| panic!("never: {what}"));
    }

    /// Within 1 s nothing is left: no state, no place, nothing in the core's table.
    pub async fn nothing_left(&self) {
        let waits = async {
            self.door.wait_until_idle().await;
            self.until("nothing held", |ledger| {
                ledger.states.is_empty() && ledger.places == 0
            })
            .await;
        };
        let left = || {
            let ledger = self.ledger.lock().unwrap();
            format!(
                "{:?}, {} places, {} open",
                ledger.states,
                ledger.places,
                self.door.open_requests()
            )
        };
        tokio::time::timeout(Duration::from_secs(1), waits)
            .await
            .unwrap_or_else(|_| panic!("left: {}", left()));
    }

    pub async fn drain(&self) {
        self.door
            .send(Event::Drain(std::time::Duration::from_secs(3)))
            .await;
        self.door
            .wait_for_readiness(dispatcher::Readiness::Draining)
            .await;
        self.stop.send(ShutdownPhase::Closing).unwrap();
    }
}

/// A terminal and its session.
pub struct Terminal(pub WebSocketStream<MaybeTlsStream<TcpStream>>);

impl Terminal {
    pub async fn connect(fleet: &Fleet) -> Terminal {
        let url = format!("ws://{}/v1/sessions", fleet.sessions);
        Terminal(tokio_tungstenite::connect_async(url).await.unwrap().0)
    }

    pub async fn say(&mut self, text: &str) {
        self.0.send(Frame::Text(text.into())).await.unwrap();
    }

    pub async fn ask(&mut self, id: &str, class: &str, expires: u32) {
        self.say(&ask(id, class, expires)).await;
    }

    /// The next message: its type, and the whole of it.
    pub async fn hear(&mut self) -> (String, String) {
        loop {
            let next = tokio::time::timeout(Duration::from_secs(10), self.0.next())
                .await
                .expect("a message");
            match next {
                Some(Ok(Frame::Text(text))) => {
                    let said: BTreeMap<String, json::Value> = json::from_str(&text).unwrap();
                    let Some(json::Value::String(kind)) = said.get("type") else {
                        panic!("{text}")
                    };
                    return (kind.clone(), text.to_string());
                }
                Some(Ok(Frame::Close(frame))) => {
                    return (
                        "close".into(),
                        frame.map_or(0, |frame| frame.code.into()).to_string(),
                    );
                }
                Some(Ok(_)) => {}
                other => return ("end".into(), format!("{other:?}")),
            }
        }
    }

    /// The final message of a request, and the text of its events.
    pub async fn hear_final(&mut self, id: &str) -> (String, String) {
        let mut text = String::new();
        loop {
            let (kind, whole) = self.hear().await;
            assert!(whole.contains(&format!("\"{id}\"")), "{whole}");
            if kind != "event" {
                return (kind, text);
            }
            let said: BTreeMap<String, json::Value> = json::from_str(&whole).unwrap();
            let Some(json::Value::String(data)) = said.get("data") else {
                panic!("{whole}")
            };
            text.push_str(data);
        }
    }
}

pub fn ask(id: &str, class: &str, expires: u32) -> String {
    format!(
        r#"{{"type":"request","id":"{id}","class":"{class}","tenant":"acme","session":"7f3a","expires_in_ms":{expires},"prompt_len":500,"max_out":100,"body":"{{}}"}}"#
    )
}
