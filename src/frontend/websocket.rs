//! WebSocket sessions from terminals (RFC 6455): many requests a session, one final message each.
//!
//! A request outlives the socket that brought it for a short time, so that a reconnect is no new try: its id,
//! sent again, keeps the first deadline and is answered from the record. The record is bounded, and it is this
//! dispatcher's own: another one does not know it. The messages are described in `docs/websocket.md`.

use crate::config::{fnv1a_hash, micros, Deployment, SessionConfig};
use crate::dispatcher::{DispatcherHandle, Outcome, StreamChunk, UpstreamRequest};
use crate::frontend::identifiers::{is_name, key};
use crate::frontend::memory_budget::{BodyMemoryBudget, MAX_BODY_BYTES};
use crate::frontend::ShutdownPhase;
use crate::routing::api::{Idempotency, RequestClass, RequestMetadata};
use axum::extract::ws::{close_code, CloseFrame, Message, WebSocket, WebSocketUpgrade};
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::Router;
use bytes::Bytes;
use miniserde::{json, Deserialize};
use slog::{debug, Logger};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{interval_at, sleep_until, timeout, Instant};

/// SessionConfig that may ask for a live request before its task has come to the first.
const ATTACHING: usize = 4;
/// Messages that may wait for a session's socket.
const OUTGOING: usize = 32;
/// At the limit, a session without an open request that has asked nothing for so long makes room for a new one ...
const SPARED_TIME: Duration = Duration::from_millis(2000);
/// ... which waits for it so long.
const ROOM_TIME: Duration = Duration::from_millis(1500);
/// A socket's read buffer; a larger message takes more while it is read, a silent session does not.
const BUFFER: usize = 8 * 1024;
/// When a request that found a bound reached may come again.
const BUSY: Duration = Duration::from_millis(500);
/// How long the core is waited for to tell whether a request that was left may have run.
const FATE: Duration = Duration::from_secs(5);

/// A message from a terminal: the fields of all its types.
#[derive(Deserialize)]
pub struct Said {
    #[serde(rename = "type")]
    kind: String,
    id: Option<String>,
    class: Option<String>,
    tenant: Option<String>,
    session: Option<String>,
    expires_in_ms: Option<u32>,
    prefix: Option<String>,
    prompt_len: Option<u32>,
    prefix_len: Option<u32>,
    max_out: Option<u32>,
    body: Option<String>,
}

/// What a terminal asks for.
#[derive(Debug)]
pub enum Call {
    /// A request, with its id, what the module is told, and its body.
    Request(String, RequestMetadata, Bytes),
    /// It wants no answer to this id any more.
    Cancel(String),
}

/// Reads a terminal's message. The error says what is wrong, and with which id where one could be read.
pub fn parse(text: &str, site: &Deployment) -> Result<Call, (Option<String>, String)> {
    let said: Said =
        json::from_str(text).map_err(|_| (None, "not a message of the session".into()))?;
    let id = said
        .id
        .clone()
        .filter(|id| is_name(id))
        .ok_or((None, "id is missing or no plain name".into()))?;
    match said.kind.as_str() {
        "cancel" => Ok(Call::Cancel(id)),
        "request" => match request(said, site) {
            Ok((ask, body)) => Ok(Call::Request(id, ask, body)),
            Err(reason) => Err((Some(id), reason)),
        },
        other => Err((Some(id), format!("unknown type {other:?}"))),
    }
}

fn request(said: Said, site: &Deployment) -> Result<(RequestMetadata, Bytes), String> {
    let class = said.class.ok_or("class is missing")?;
    let class = site
        .classes
        .known(&class)
        .ok_or_else(|| format!("unknown class {class:?}"))? as usize;
    let tenant = match (said.tenant, site.settings.tenants.is_empty()) {
        (_, true) => None,
        (None, false) => return Err("tenant is missing".into()),
        (Some(tenant), false) => {
            let number = site
                .tenants
                .known(&tenant)
                .ok_or_else(|| format!("unknown tenant {tenant:?}"))?;
            Some(number as usize)
        }
    };
    let ask = RequestMetadata {
        class,
        tenant,
        session: Some(key(&said.session.ok_or("session is missing")?)),
        prefix: said.prefix.as_deref().map(key),
        time_left: micros(f64::from(
            said.expires_in_ms.ok_or("expires_in_ms is missing")?,
        )),
        prompt_tokens: f64::from(said.prompt_len.ok_or("prompt_len is missing")?),
        prefix_tokens: f64::from(said.prefix_len.unwrap_or(0)),
        max_output_tokens: f64::from(said.max_out.ok_or("max_out is missing")?),
        ..RequestMetadata::default()
    };
    let body = said.body.ok_or("body is missing")?;
    if body.len() > MAX_BODY_BYTES {
        return Err("the body is over 256 KiB".into());
    }
    Ok((ask, body.into()))
}

/// A request's final outcome, as it is recorded.
#[derive(Clone)]
enum FinalOutcome {
    /// Served, with its text where that was short enough to keep.
    Served(Option<Arc<str>>),
    /// Nothing was done; trying again is harmless from this moment on.
    Shed(Instant),
    Failed(&'static str),
}

/// Where a session's messages wait for its socket.
type Outgoing = mpsc::Sender<Message>;

enum Stage {
    /// A task has it; a session that asks again is handed to that task.
    Live(mpsc::Sender<Outgoing>),
    /// It was left before anything could have run: it may be taken up again.
    Left,
    Done(FinalOutcome),
}

struct Record {
    deadline: Instant,
    stage: Stage,
}

type Key = (Option<String>, String);

/// What is known of ids, oldest first out.
#[derive(Default)]
struct Records {
    by_key: HashMap<Key, Record>,
    order: VecDeque<Key>,
    text: usize,
}

impl Records {
    fn text_of(record: &Record) -> usize {
        match &record.stage {
            Stage::Done(FinalOutcome::Served(Some(text))) => text.len(),
            _ => 0,
        }
    }

    fn insert(&mut self, key: Key, record: Record) {
        if self.by_key.insert(key.clone(), record).is_none() {
            self.order.push_back(key);
        }
    }

    fn finish(&mut self, key: &Key, stage: Stage, options: &SessionConfig) {
        if let Some(record) = self.by_key.get_mut(key) {
            record.stage = stage;
            self.text += Self::text_of(record);
        }
        // Live requests are never forgotten: they are bounded by the sessions and their limits.
        for _ in 0..self.order.len() {
            if self.order.len() <= options.max_cached_responses
                && self.text <= options.max_cache_bytes
            {
                break;
            }
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            match self.by_key.get(&oldest) {
                Some(Record {
                    stage: Stage::Live(_),
                    ..
                }) => self.order.push_back(oldest),
                Some(record) => {
                    self.text -= Self::text_of(record);
                    self.by_key.remove(&oldest);
                }
                None => {}
            }
        }
    }
}

/// A session, as a new one that finds no place sees it.
struct Stand {
    /// Since when it has asked nothing.
    since: Mutex<Instant>,
    /// The places for its requests: all are free while none is open.
    places: Arc<Semaphore>,
    close: Notify,
}

impl Stand {
    fn since(&self) -> MutexGuard<'_, Instant> {
        self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What sessions share.
#[derive(Clone)]
pub struct Shared {
    door: DispatcherHandle,
    options: Arc<SessionConfig>,
    rooms: BodyMemoryBudget,
    records: Arc<Mutex<Records>>,
    places: Arc<Semaphore>,
    stands: Arc<Mutex<HashMap<u64, Arc<Stand>>>>,
    names: Arc<AtomicU64>,
    boot: u64,
    stop: watch::Receiver<ShutdownPhase>,
    log: Logger,
}

impl Shared {
    /// What sessions share. `seed` makes the names under which nodes know requests differ between starts.
    pub fn new(
        door: DispatcherHandle,
        options: Arc<SessionConfig>,
        rooms: BodyMemoryBudget,
        seed: u64,
        stop: watch::Receiver<ShutdownPhase>,
        log: Logger,
    ) -> Self {
        Shared {
            door,
            rooms,
            records: Arc::default(),
            places: Arc::new(Semaphore::new(options.max_sessions)),
            options,
            stands: Arc::default(),
            names: Arc::default(),
            boot: fnv1a_hash(&seed.to_string()),
            stop,
            log,
        }
    }

    /// Waits until all sessions are over.
    pub async fn over(&self) {
        let _ = self
            .places
            .acquire_many(self.options.max_sessions as u32)
            .await;
    }

    fn stands(&self) -> MutexGuard<'_, HashMap<u64, Arc<Stand>>> {
        self.stands.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A place for a new session. At the limit the one that has been without a request for longest is closed for
    /// it: to come back is no new try, and silent ones must not lock the others out.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(place) = self.places.clone().try_acquire_owned() {
            return Some(place);
        }
        let longest = {
            let stands = self.stands();
            let idle = stands
                .values()
                .filter(|it| it.places.available_permits() == self.options.max_requests);
            idle.min_by_key(|it| *it.since())
                .filter(|it| it.since().elapsed() >= SPARED_TIME)
                .cloned()
        };
        longest?.close.notify_one();
        timeout(ROOM_TIME, self.places.clone().acquire_owned())
            .await
            .ok()?
            .ok()
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The front's routes: sessions at `/v1/sessions`.
pub fn routes(shared: Shared) -> Router {
    Router::new()
        .route("/v1/sessions", get(upgrade))
        .with_state(shared)
}

async fn upgrade(State(shared): State<Shared>, upgrade: WebSocketUpgrade) -> Response {
    if *shared.stop.borrow() == ShutdownPhase::Closing {
        return (StatusCode::SERVICE_UNAVAILABLE, "draining\n").into_response();
    }
    let Some(place) = shared.place().await else {
        return (StatusCode::SERVICE_UNAVAILABLE, "too many sessions\n").into_response();
    };
    let most = shared.options.max_message_bytes;
    let upgrade = upgrade
        .max_message_size(most)
        .max_frame_size(most)
        .read_buffer_size(BUFFER);
    upgrade.on_upgrade(move |socket| async move {
        let places = Arc::new(Semaphore::new(shared.options.max_requests));
        let stand = Stand {
            since: Mutex::new(Instant::now()),
            places,
            close: Notify::new(),
        };
        let (number, stand) = (
            shared.names.fetch_add(1, Ordering::Relaxed),
            Arc::new(stand),
        );
        shared.stands().insert(number, stand.clone());
        session(&shared, &stand, socket).await;
        shared.stands().remove(&number);
        drop(place);
    })
}

fn text(of: String) -> Message {
    Message::Text(of.into())
}

fn said(kind: &str, id: &str, rest: &str) -> Message {
    text(format!(
        "{{\"type\":\"{kind}\",\"id\":{}{rest}}}",
        json::to_string(id)
    ))
}

fn event(id: &str, data: &str) -> Message {
    said("event", id, &format!(",\"data\":{}", json::to_string(data)))
}

fn failed(id: &str, reason: &str) -> Message {
    said(
        "failed",
        id,
        &format!(",\"reason\":{}", json::to_string(reason)),
    )
}

fn refused(id: &str, after: Duration) -> Message {
    said(
        "refused",
        id,
        &format!(",\"retry_after_ms\":{}", after.as_micros().div_ceil(1000)),
    )
}

/// One socket: reads calls, writes answers, pings, and ends it with the close code that fits.
async fn session(shared: &Shared, stand: &Stand, mut socket: WebSocket) {
    let options = &shared.options;
    let silent = Duration::from_millis(options.session_timeout_ms);
    let every = Duration::from_millis(options.ping_interval_ms);
    let (outgoing, mut waiting) = mpsc::channel::<Message>(OUTGOING);
    let places = stand.places.clone();
    let mut cancels: HashMap<String, mpsc::Sender<()>> = HashMap::new();
    let mut heard = Instant::now();
    let mut pings = interval_at(heard + every, every);
    let mut stop = shared.stop.clone();
    let mut stopping = false;
    let code = loop {
        if stopping && places.available_permits() == options.max_requests && waiting.is_empty() {
            break Some((close_code::AWAY, "the dispatcher ends"));
        }
        let message = tokio::select! {
            biased;
            Some(message) = waiting.recv() => Some(message),
            _ = stop.wait_for(|course| *course == ShutdownPhase::Closing), if !stopping => {
                stopping = true;
                None
            }
            // A request that ends frees its place: while stopping, that may be the last one.
            Ok(_) = places.acquire_many(options.max_requests as u32), if stopping => None,
            () = stand.close.notified() => {
                if places.available_permits() == options.max_requests && waiting.is_empty() {
                    break Some((close_code::AGAIN, "no session is free"));
                }
                None
            }
            _ = pings.tick() => {
                if heard.elapsed() > silent {
                    debug!(shared.log, "a session fell silent");
                    break None;
                }
                Some(Message::Ping(Bytes::new()))
            }
            received = socket.recv() => {
                heard = Instant::now();
                match received {
                    None | Some(Ok(Message::Close(_))) => break None,
                    Some(Ok(Message::Ping(_) | Message::Pong(_))) => None,
                    Some(Ok(Message::Binary(_))) => break Some((close_code::UNSUPPORTED, "text messages only")),
                    Some(Ok(Message::Text(text))) => {
                        *stand.since() = heard;
                        cancels.retain(|_, cancel| !cancel.is_closed());
                        call(shared, &text, &outgoing, &places, &mut cancels, stopping)
                    }
                    Some(Err(error)) => break Some(why_closed(&*error.into_inner())),
                }
            }
        };
        if let Some(message) = message {
            // A client that reads nothing for so long is gone.
            match timeout(silent, socket.send(message)).await {
                Ok(Ok(())) => {}
                _ => break None,
            }
        }
    };
    if let Some((code, reason)) = code {
        let close = Message::Close(Some(CloseFrame {
            code,
            reason: reason.into(),
        }));
        let _ = timeout(Duration::from_secs(1), async {
            socket.send(close).await.ok()?;
            // The client's own close ends the handshake; what it still sends is read and left.
            while let Some(Ok(_)) = socket.recv().await {}
            Some(())
        })
        .await;
    }
}

fn why_closed(error: &(dyn std::error::Error + 'static)) -> (u16, &'static str) {
    use tokio_tungstenite::tungstenite::Error;
    match error.downcast_ref::<Error>() {
        Some(Error::Capacity(_)) => (close_code::SIZE, "the message is too big"),
        Some(Error::Utf8(_)) => (close_code::INVALID, "the text is not UTF-8"),
        _ => (close_code::PROTOCOL, "not the protocol"),
    }
}

/// Does what a message asks for; what can be answered at once is returned.
fn call(
    shared: &Shared,
    text_said: &str,
    outgoing: &Outgoing,
    places: &Arc<Semaphore>,
    cancels: &mut HashMap<String, mpsc::Sender<()>>,
    stopping: bool,
) -> Option<Message> {
    let site = shared.door.deployment();
    let (id, ask, body) = match parse(text_said, &site) {
        Ok(Call::Request(id, ask, body)) => (id, ask, body),
        Ok(Call::Cancel(id)) => {
            if let Some(cancel) = cancels.remove(&id) {
                let _ = cancel.try_send(());
            }
            return None;
        }
        Err((Some(id), reason)) => return Some(failed(&id, &reason)),
        Err((None, reason)) => {
            return Some(text(format!(
                "{{\"type\":\"error\",\"reason\":{}}}",
                json::to_string(&reason)
            )));
        }
    };
    // By name: a tenant's number may be another's when settings change.
    let key: Key = (
        ask.tenant
            .map(|tenant| site.tenants.name(tenant as u32).to_owned()),
        id,
    );
    let now = Instant::now();
    let mut records = shared.records();
    let deadline = match records.by_key.get(&key) {
        None => now + Duration::from_micros(ask.time_left),
        Some(record) => {
            let deadline = record.deadline;
            match &record.stage {
                Stage::Live(task) => match task.try_send(outgoing.clone()) {
                    Ok(()) => return None,
                    // Its task has not yet come to the sessions that asked before: no final message, for it lives.
                    Err(_) => {
                        return Some(said("error", &key.1, ",\"reason\":\"asked too often\""))
                    }
                },
                Stage::Done(FinalOutcome::Served(None)) => {
                    return Some(said("served", &key.1, ",\"recorded\":true,\"whole\":false"));
                }
                Stage::Done(FinalOutcome::Served(Some(answer))) => {
                    let whole = said("served", &key.1, ",\"recorded\":true,\"whole\":true");
                    let answer = event(&key.1, answer);
                    let outgoing = outgoing.clone();
                    tokio::spawn(async move {
                        let _ = outgoing.send(answer).await;
                        let _ = outgoing.send(whole).await;
                    });
                    return None;
                }
                Stage::Done(FinalOutcome::Failed(reason)) => return Some(failed(&key.1, reason)),
                Stage::Done(FinalOutcome::Shed(again)) if now < *again || now >= deadline => {
                    return Some(refused(&key.1, again.saturating_duration_since(now)));
                }
                Stage::Left if now >= deadline => {
                    return Some(failed(&key.1, "its deadline has passed"))
                }
                Stage::Done(FinalOutcome::Shed(_)) | Stage::Left => deadline,
            }
        }
    };
    if stopping {
        return Some(refused(&key.1, Duration::ZERO));
    }
    // Over the bounds of the session or of the memory, nothing is done: the same id may come again.
    let bounds = (
        places.clone().try_acquire_owned(),
        shared.rooms.try_reserve(body.len()),
    );
    let (Ok(place), Some(room)) = bounds else {
        return Some(refused(&key.1, BUSY));
    };
    let body = room.attach(body);
    let (attach, attached) = mpsc::channel(ATTACHING);
    let (cancel, cancelled) = mpsc::channel(1);
    cancels.insert(key.1.clone(), cancel);
    records.insert(
        key.clone(),
        Record {
            deadline,
            stage: Stage::Live(attach),
        },
    );
    let conversation = Conversation {
        shared: shared.clone(),
        key,
        class: site.settings.classes[ask.class].clone(),
        ask,
        body,
        deadline,
        out: outgoing.clone(),
        attached,
        cancelled,
        text: String::new(),
        whole: true,
    };
    tokio::spawn(conversation.run(place));
    None
}

/// One request of a session, which may move to another socket.
struct Conversation {
    shared: Shared,
    key: Key,
    class: RequestClass,
    ask: RequestMetadata,
    body: Bytes,
    deadline: Instant,
    out: Outgoing,
    attached: mpsc::Receiver<Outgoing>,
    cancelled: mpsc::Receiver<()>,
    /// The answer so far, while it is short enough to be recorded.
    text: String,
    whole: bool,
}

enum Tried {
    Final(FinalOutcome),
    /// Its client left before a first event; whether it may have run.
    Left(bool),
}

impl Conversation {
    async fn run(mut self, place: OwnedSemaphorePermit) {
        loop {
            let tried = self.attempt().await;
            let safe = self.class.idempotency == Idempotency::Idempotent;
            let outcome = match tried {
                Tried::Final(outcome) => outcome,
                // What may have run is never sent again, unless its class allows a repeat.
                Tried::Left(true) if !safe => {
                    FinalOutcome::Failed("the session closed; it may have run")
                }
                Tried::Left(_) => {
                    let mut records = self.shared.records();
                    // Under the lock, so that a session that asks now finds either this task or `Left`.
                    match self.attached.try_recv() {
                        Ok(out) if Instant::now() < self.deadline => {
                            self.out = out;
                            continue;
                        }
                        Ok(out) => {
                            self.out = out;
                            drop(records);
                            FinalOutcome::Failed("its deadline has passed")
                        }
                        Err(_) => {
                            records.finish(&self.key, Stage::Left, &self.shared.options);
                            return;
                        }
                    }
                }
            };
            let id = &self.key.1;
            let last = match &outcome {
                FinalOutcome::Served(_) => said("served", id, ""),
                FinalOutcome::Shed(again) => {
                    refused(id, again.saturating_duration_since(Instant::now()))
                }
                FinalOutcome::Failed(reason) => failed(id, reason),
            };
            let _ = self.out.send(last.clone()).await;
            self.shared
                .records()
                .finish(&self.key, Stage::Done(outcome), &self.shared.options);
            // From here on a session that asks finds the record; one that asked just before is answered too.
            while let Ok(out) = self.attached.try_recv() {
                if !self.text.is_empty() {
                    let _ = out.send(event(&self.key.1, &self.text)).await;
                }
                let _ = out.send(last.clone()).await;
            }
            drop(place);
            return;
        }
    }

    /// Gives the request to the core and passes its answer on.
    async fn attempt(&mut self) -> Tried {
        let shared = self.shared.clone();
        let reattach = Duration::from_millis(shared.options.reattach_window_ms);
        // A request that waited for its terminal may find its class's number given to another.
        let class = shared
            .door
            .deployment()
            .settings
            .classes
            .get(self.ask.class)
            .cloned();
        if class.is_none_or(|class| {
            RequestClass {
                is_active: true,
                ..class
            } != self.class
        }) {
            return Tried::Final(FinalOutcome::Failed("its class is gone"));
        }
        let number = shared.names.fetch_add(1, Ordering::Relaxed);
        let name = format!("ws-{:016x}-{number}", shared.boot);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let ask = RequestMetadata {
            time_left: left.as_micros() as u64,
            ..self.ask.clone()
        };
        let work = UpstreamRequest {
            client_request_id: name.into(),
            target: "/v1/chat/completions".into(),
            body: self.body.clone(),
        };
        let (ticket, mut answered) = shared.door.submit(ask, work).await;
        let mut lost: Option<Instant> = None;
        let mut stream: Option<mpsc::Receiver<StreamChunk>> = None;
        let mut partial: Vec<u8> = Vec::new();
        loop {
            let begun = stream.is_some();
            let next = async {
                match &mut stream {
                    Some(stream) => stream.recv().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                Some(()) = self.cancelled.recv() => {
                    drop(ticket);
                    return Tried::Final(FinalOutcome::Failed("cancelled"));
                }
                Some(out) = self.attached.recv() => {
                    (self.out, lost) = (out, None);
                    if !self.whole {
                        return Tried::Final(FinalOutcome::Failed("its answer is too long to be sent anew"));
                    }
                    if !self.text.is_empty() {
                        let _ = self.out.send(event(&self.key.1, &self.text)).await;
                    }
                }
                () = self.out.closed(), if lost.is_none() => lost = Some(Instant::now() + reattach),
                () = sleep_until(lost.unwrap_or_else(Instant::now)), if lost.is_some() => {
                    debug!(shared.log, "a session closed under its request"; "begun" => begun);
                    if begun {
                        drop(ticket);
                        return Tried::Final(FinalOutcome::Failed("the session closed while the answer streamed"));
                    }
                    let fate = timeout(FATE, shared.door.disconnect(ticket)).await;
                    return Tried::Left(fate.ok().flatten().unwrap_or(true));
                }
                answer = &mut answered, if !begun => match answer {
                    Ok(Outcome::Stream(pieces)) => stream = Some(pieces),
                    Ok(Outcome::Shed { retry_after }) => {
                        return Tried::Final(FinalOutcome::Shed(Instant::now() + retry_after));
                    }
                    Ok(Outcome::InvalidRequest) => {
                        return Tried::Final(FinalOutcome::Failed("a node found the request bad"));
                    }
                    Ok(Outcome::DuplicateId | Outcome::Failed) | Err(_) => {
                        return Tried::Final(FinalOutcome::Failed("failed"));
                    }
                },
                piece = next, if begun && lost.is_none() => match piece {
                    Some(StreamChunk::Data(data)) => {
                        partial.extend_from_slice(&data);
                        let Some(text) = take_text(&mut partial) else {
                            return Tried::Final(FinalOutcome::Failed("the answer is not text"));
                        };
                        if text.is_empty() {
                            continue;
                        }
                        let sent = self.out.send(event(&self.key.1, &text)).await;
                        self.whole &= self.text.len() + text.len() <= shared.options.max_cached_response_bytes;
                        if self.whole {
                            self.text.push_str(&text);
                        }
                        if sent.is_err() {
                            lost = Some(Instant::now() + reattach);
                        }
                    }
                    Some(StreamChunk::End) if partial.is_empty() => {
                        let text = self.whole.then(|| self.text.as_str().into());
                        return Tried::Final(FinalOutcome::Served(text));
                    }
                    // A session stays with its process: its streams end here.
                    Some(StreamChunk::Migrate(half)) => drop(half),
                    Some(StreamChunk::End) | None => return Tried::Final(FinalOutcome::Failed("the stream broke")),
                },
            }
        }
    }
}

/// Takes the text that is whole; a character that is cut at the end stays. `None`: it is no UTF-8.
pub fn take_text(bytes: &mut Vec<u8>) -> Option<String> {
    let whole = match std::str::from_utf8(bytes) {
        Ok(text) => text.len(),
        Err(error) if error.error_len().is_none() => error.valid_up_to(),
        Err(_) => return None,
    };
    let rest = bytes.split_off(whole);
    String::from_utf8(std::mem::replace(bytes, rest)).ok()
}
