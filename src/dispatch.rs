//! The core: it owns the [`Router`], the request table, the clock and the timers, and knows no wire.
//!
//! [`Core`] is a plain state machine: events in, commands out. [`run`] is the one task that owns it; all else
//! reaches it through the bounded queue behind a [`Door`]. Here the rules are kept whatever the module says:
//! one final answer for each request, deadlines, attempt numbers, and the release of what is held.

use crate::api::{self, Action, Ask, Effect, Entry, Load, RequestId, Role, ServerId, State, Status, Time};
use crate::bans::{Bans, Marks, Refusal};
use crate::hearsay::{self, Hearsay};
use crate::moving::Half;
use crate::notes::Notes;
use crate::places::PARTS;
use crate::settings::Site;
use crate::Router;
use bytes::Bytes;
use quartzhall_recording::{Answer as Noted, Record, Recorder};
use slog::{debug, info, warn, Logger};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Events that may wait for the core; senders wait when it is full.
const QUEUE: usize = 4096;
/// Operators' calls that may wait for it: they never wait behind requests.
const URGENT: usize = 16;
/// The core looks over its table this often while there are requests in it.
const SWEEP: Time = 20_000;
/// The number of a class that is gone is used again after this at the earliest.
const CLASS_QUIET: Time = 60_000_000;
/// A state that nobody asks for is let go after this part (in tenths) of the time in which it must be ...
const STRAY_TENTHS: Time = 4;
/// ... and one that the module knows of, which lets it go sooner by itself, after this part.
const KNOWN_TENTHS: Time = 9;

/// What a node is to be given: the client's own request, kept once.
#[derive(Clone, Debug)]
pub struct Work {
    /// The name by which the client, and so every node, knows the request.
    pub name: Arc<str>,
    /// What is asked for: the client's own path and query.
    pub target: Arc<str>,
    /// The request's body.
    pub body: Bytes,
}

/// A piece of an answer's stream. Where the channel closes without `End`, the stream has broken.
#[derive(Debug, PartialEq)]
pub enum Piece {
    /// Some of its bytes, as they came.
    Data(Bytes),
    /// Its good end.
    End,
    /// It is to go on in another process: for the front to have moved, or to let go of.
    Move(Half),
}

/// The final answer to a request; there is one for each.
#[derive(Debug)]
pub enum Answer {
    /// A node's stream, from its first event on.
    Served(mpsc::Receiver<Piece>),
    /// Nothing was done; trying again is harmless, after this time.
    Refused(Duration),
    /// Failed, and nothing is promised about its effect.
    Failed,
    /// A request of this name is in flight.
    Duplicate,
    /// A node found that the request itself is bad; it did not run.
    Rejected,
}

/// A member of the fleet, as discovery tells of it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name, the same at every dispatcher.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
    /// What the module is told; the core sets its number.
    pub entry: Entry,
}

/// What the core hears.
#[derive(Debug)]
pub enum Event {
    /// A client's request.
    Request {
        /// What the module is told, with the number that the door gave.
        ask: Ask,
        /// What nodes are told.
        work: Work,
        /// Where the answer goes.
        answer: oneshot::Sender<Answer>,
    },
    /// The client has left, or the request's ticket was let go after its end. When all of it is over, `fate`
    /// is told whether it may have run.
    Gone {
        /// The request.
        id: RequestId,
        /// Who wants to know.
        fate: Option<oneshot::Sender<bool>>,
    },
    /// An attempt's answer has begun.
    First {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// Its stream.
        stream: mpsc::Receiver<Piece>,
    },
    /// An attempt has ended; each ends once.
    Ended {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// How.
        status: Status,
        /// Tokens found kept, or 1 with `Full` where no state was there.
        note: f64,
        /// Tokens of the answer, where that was told.
        written: f64,
        /// The node's load, where it was told.
        load: Option<Load>,
    },
    /// What was held for a request has been let go, or could not be.
    Released(RequestId),
    /// A probe's answer.
    Probed {
        /// The node.
        server: ServerId,
        /// It answered.
        ok: bool,
        /// Its load, where it was told.
        load: Option<Load>,
    },
    /// A message from another dispatcher.
    Peer {
        /// Its number.
        from: usize,
        /// As it came.
        message: Bytes,
    },
    /// The list of members, whole or what changed in it.
    Members {
        /// Members that are absent are gone.
        complete: bool,
        /// The members.
        members: Vec<Member>,
    },
    /// A call for the list failed.
    ListFailed,
    /// An operator takes a replica out of use, or back.
    Ban {
        /// Its name.
        name: Arc<str>,
        /// Out, or back.
        banned: bool,
        /// Whether that holds now.
        answer: oneshot::Sender<Result<(), Refusal>>,
    },
    /// New settings. The snapshot that holds from now on goes to whoever watches it.
    Settings {
        /// As read, with numbers of its own.
        site: Box<Site>,
        /// Whether they were taken.
        answer: oneshot::Sender<Result<(), String>>,
    },
    /// Clients are taken from now on.
    Open,
    /// The part of its limits that this process keeps to, of [`PARTS`], and how many processes there are.
    Share {
        /// The part.
        part: u32,
        /// Processes of this dispatcher.
        processes: u32,
    },
    /// What another process of this dispatcher knows of replicas that are out of use.
    Marks(Marks),
    /// The dispatcher is to end: it takes no more from balancers, and serves what still comes. All that is no stream
    /// has its final answer within this time.
    Drain(Duration),
}

/// What the core has done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// The node's address.
        address: Arc<str>,
        /// What it is given.
        work: Work,
        /// How long the first event is waited for.
        timeout: Duration,
        /// It must not run twice, and so must not go on a kept connection, which its node may have closed: what
        /// breaks there may have run.
        alone: bool,
    },
    /// Stop waiting for an attempt whose first event the core has not been told of.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Let go of what is held for a request, at the first of these nodes that can be reached.
    Release {
        /// The request.
        id: RequestId,
        /// Its name.
        name: Arc<str>,
        /// Where it may be told, best first.
        addresses: Vec<Arc<str>>,
    },
    /// Ask a node for its load.
    Probe {
        /// The node.
        server: ServerId,
        /// Its address.
        address: Arc<str>,
    },
    /// Nothing new may go to this address any more, not even what waits for a connection; or it may again.
    Bar {
        /// The address.
        address: Arc<str>,
        /// Whether it is barred.
        barred: bool,
    },
}

/// What balancers in front are told; the fronts only render it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Nothing could be served yet: no reader or no writer is known.
    Starting,
    /// Able to serve, but no clients are taken yet.
    Able,
    /// Able to serve.
    Ready,
    /// About to end; still serving.
    Draining,
}

/// The way in for socket code: cheap to clone.
#[derive(Clone)]
pub struct Door {
    events: mpsc::Sender<Event>,
    urgent: mpsc::Sender<Event>,
    marks: watch::Receiver<Marks>,
    site: watch::Receiver<Arc<Site>>,
    next: Arc<AtomicU64>,
    readiness: watch::Receiver<Readiness>,
    open: watch::Receiver<usize>,
}

/// A client's hold on its request: letting it go tells the core that the client has left.
pub struct Ticket {
    id: RequestId,
    door: Door,
    fate: Option<oneshot::Sender<bool>>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.door.post(Event::Gone { id: self.id, fate: self.fate.take() });
    }
}

impl Door {
    /// Takes a request in; its answer comes on the channel.
    pub async fn ask(&self, ask: Ask, work: Work) -> (Ticket, oneshot::Receiver<Answer>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        // The ticket comes first: a client that leaves while the queue is full is told of all the same.
        let ticket = Ticket { id, door: self.clone(), fate: None };
        let event = Event::Request { ask: Ask { id, ..ask }, work, answer };
        let _ = self.events.send(event).await;
        (ticket, answered)
    }

    /// Leaves a request; when all of it is over, tells whether it may have run. `None`: nobody knows.
    pub async fn leave(&self, mut ticket: Ticket) -> Option<bool> {
        let (fate, told) = oneshot::channel();
        ticket.fate = Some(fate);
        drop(ticket);
        told.await.ok()
    }

    /// Tells the core; waits while the queue is full.
    pub async fn tell(&self, event: Event) {
        let _ = self.events.send(event).await;
    }

    /// Tells the core from where nothing can wait. A full queue loses nothing: a task waits instead.
    pub fn post(&self, event: Event) {
        if let Err(mpsc::error::TrySendError::Full(event)) = self.events.try_send(event) {
            let events = self.events.clone();
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { events.send(event).await });
            }
        }
    }

    /// Takes a replica out of use, or back, ahead of all that waits. `None`: the core has ended.
    pub async fn ban(&self, name: Arc<str>, banned: bool) -> Option<Result<(), Refusal>> {
        let (answer, answered) = oneshot::channel();
        self.urgent.send(Event::Ban { name, banned, answer }).await.ok()?;
        answered.await.ok()
    }

    /// Tells the core ahead of all that waits.
    pub async fn tell_first(&self, event: Event) {
        let _ = self.urgent.send(event).await;
    }

    /// Takes new settings. `None`: the core has ended.
    pub async fn settings(&self, site: Site) -> Option<Result<(), String>> {
        let (answer, answered) = oneshot::channel();
        self.urgent.send(Event::Settings { site: Box::new(site), answer }).await.ok()?;
        answered.await.ok()
    }

    /// The settings that hold now.
    pub fn site(&self) -> Arc<Site> {
        self.site.borrow().clone()
    }

    /// What operators have said of replicas.
    pub fn marks(&self) -> watch::Receiver<Marks> {
        self.marks.clone()
    }

    /// The state that balancers in front are told.
    pub fn readiness(&self) -> Readiness {
        *self.readiness.borrow()
    }

    /// Waits until the core's state is the given one.
    pub async fn becomes(&self, readiness: Readiness) {
        let mut watched = self.readiness.clone();
        let _ = watched.wait_for(|now| *now == readiness).await;
    }

    /// Requests in the core's table, with those whose states are being let go.
    pub fn open(&self) -> usize {
        *self.open.borrow()
    }

    /// Waits until the core's table is empty.
    pub async fn empty(&self) {
        let mut watched = self.open.clone();
        let _ = watched.wait_for(|open| *open == 0).await;
    }
}

struct Attempt {
    server: ServerId,
    out: bool,
}

/// A request in the table: until it is answered, no attempt is out, and nothing is held for it.
struct Held {
    class: usize,
    work: Work,
    once: bool, // it must not run twice
    answer: Option<oneshot::Sender<Answer>>,
    deadline: Time,
    attempts: Vec<Attempt>,
    closed: bool,
    begun: Option<u32>,
    known: bool, // the module knows of a state that waits
    stray: bool, // a state may be left that the module does not know of
    idle_since: Time,
    releasing: bool,
    ran: bool, // it may have: something other than a read ended without proof that it never ran
    fate: Option<oneshot::Sender<bool>>,
}

impl Held {
    fn out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }
}

struct Node {
    name: Arc<str>,
    address: Arc<str>,
    role: Role,
    state: State,          // what holds: operators' word comes before the list's
    listed: Entry,         // what the list says
    back_at: Option<Time>, // when operators let it be used again
}

impl Node {
    /// What the module is told: one that is out of use drains, and one that is back has started then.
    fn entry(&self) -> Entry {
        Entry { state: self.state, started: self.listed.started.max(self.back_at), ..self.listed.clone() }
    }
}

/// The state machine. Its caller gives it the time with each event and does what it commands.
pub struct Core {
    router: Router,
    site: Arc<Site>,
    site_changed: bool,
    retired: Vec<Time>, // when each class was last open
    part: u32,
    most_held: usize,
    most_places: usize,
    processes: u32,
    held_back: bool,
    numbers: HashMap<Arc<str>, ServerId>,
    next_number: ServerId,
    nodes: BTreeMap<ServerId, Node>,
    bans: Bans,
    bans_changed: bool,
    requests: BTreeMap<RequestId, Held>,
    names: HashSet<Arc<str>>,
    timers: BinaryHeap<Reverse<Time>>,
    next_sweep: Time,
    draining: bool,
    commands: Vec<Command>,
    notes: Option<Notes>,
    hearsay: Option<Hearsay>,
    log: Logger,
}

impl Core {
    /// A core as it starts. `now` is Unix time in microseconds, as are all its times.
    /// `most_places`: so many requests can be open at once.
    pub fn new(site: Arc<Site>, most_places: usize, seed: u64, now: Time, log: Logger) -> Self {
        let mut core = Core {
            router: Router::new(site.settings.clone(), seed, now),
            most_held: site.bounds.most_held.min(most_places),
            retired: vec![now; site.settings.classes.len()],
            site,
            site_changed: true,
            part: PARTS,
            most_places,
            processes: 1,
            held_back: false,
            numbers: HashMap::new(),
            next_number: 0,
            nodes: BTreeMap::new(),
            bans: Bans::default(),
            bans_changed: false,
            requests: BTreeMap::new(),
            names: HashSet::new(),
            timers: BinaryHeap::new(),
            next_sweep: now,
            draining: false,
            commands: Vec::new(),
            notes: None,
            hearsay: None,
            log,
        };
        core.step(now, api::Event::Wake);
        core
    }

    /// Notes from now on what it hears and does.
    pub fn take_notes(&mut self, notes: Notes) {
        self.notes = Some(notes);
    }

    /// Tells other dispatchers things from now on, and hears them.
    pub fn take_hearsay(&mut self, hearsay: Hearsay) {
        self.hearsay = Some(hearsay);
    }

    /// What other dispatchers are to be told now.
    pub fn to_tell(&mut self, now: Time) -> Option<Bytes> {
        self.hearsay.as_mut()?.message(now).map(Bytes::from)
    }

    /// A message from another dispatcher. Servers that are not listed here, and keys that two have, tell nothing.
    fn peer(&mut self, now: Time, from: usize, message: &[u8]) {
        let Some(words) = self.hearsay.as_mut().map(|hearsay| hearsay.hear(now, from, message)) else {
            return;
        };
        let words = words.unwrap_or_else(|why| {
            debug!(self.log, "a message was dropped"; "from" => from, "why" => ?why);
            Vec::new()
        });
        for word in words {
            let mut named = self.nodes.iter().filter(|(_, it)| hearsay::key(it.listed.key) == word.key);
            let (Some((server, _)), None) = (named.next(), named.next()) else { continue };
            let (server, load) = (*server, word.load);
            self.hearsay.iter_mut().for_each(|hearsay| hearsay.heard(now, server, &word));
            self.step(now, api::Event::Heard { server, load });
        }
    }

    /// What an attempt or a probe has shown of a server, for the others.
    fn tell(&mut self, now: Time, server: ServerId, failed: bool, load: Option<&Load>) {
        let node = self.nodes.get(&server).map(|node| node.listed.key);
        let (Some(hash), Some(hearsay)) = (node, &mut self.hearsay) else { return };
        load.into_iter().for_each(|load| hearsay.report(now, server, hash, load));
        if failed {
            hearsay.failure(hash);
        }
    }

    /// What was noted since the last call.
    pub fn notes(&mut self) -> Vec<Record> {
        self.notes.as_mut().map(Notes::take).unwrap_or_default()
    }

    fn note(&mut self, note: impl FnOnce(&mut Notes)) {
        if let Some(notes) = &mut self.notes {
            note(notes);
        }
    }

    /// Is not ready until it hears [`Event::Open`].
    pub fn hold_back(&mut self) {
        self.held_back = true;
    }

    /// Hears one event.
    pub fn hear(&mut self, now: Time, event: Event) {
        match event {
            Event::Request { ask, work, answer } => self.request(now, ask, work, answer),
            Event::Gone { id, fate } => self.gone(now, id, fate),
            Event::First { id, attempt, stream } => self.first(now, id, attempt, stream),
            Event::Ended { id, attempt, status, note, written, load } => {
                self.note(|notes| notes.ended(now, id, attempt, status, note, written));
                self.ended(now, id, attempt, status, note, load)
            }
            Event::Released(id) => {
                if let Some(held) = self.requests.get_mut(&id) {
                    held.releasing = false;
                    held.idle_since = now;
                }
                self.settle(now, id);
            }
            Event::Probed { server, ok, load } => {
                self.tell(now, server, false, load.as_ref());
                self.step(now, api::Event::Probed { server, ok, load });
            }
            Event::Peer { from, message } => self.peer(now, from, &message),
            Event::Members { complete, members } => self.members(now, complete, members),
            Event::ListFailed => self.step(now, api::Event::ListFailed),
            Event::Ban { name, banned, answer } => {
                let listed = self.numbers.contains_key(&name);
                let called = self.bans.call(now, &name, banned, listed);
                if called == Ok(true) {
                    self.bans_changed = true;
                    self.banned(now, &[name]);
                }
                let _ = answer.send(called.map(|_| ()));
            }
            Event::Marks(marks) => {
                let changed = self.bans.merge(now, &marks);
                self.bans_changed |= !changed.is_empty();
                self.banned(now, &changed);
            }
            Event::Settings { site, answer } => {
                let taken = self.settings(now, *site);
                let _ = answer.send(taken);
            }
            Event::Open => self.held_back = false,
            Event::Share { part, processes } => {
                (self.part, self.processes) = (part, processes);
                self.follow(now);
            }
            Event::Drain(within) => {
                self.draining = true;
                let at = now.saturating_add(within.as_micros() as Time);
                self.step(now, api::Event::EndBy(at));
            }
        }
    }

    /// Does what is due: the module's timers, and what the table says.
    pub fn wake(&mut self, now: Time) {
        while self.timers.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.timers.pop();
            self.step(now, api::Event::Wake);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            let ids: Vec<RequestId> = self.requests.keys().copied().collect();
            for id in ids {
                self.sweep(now, id);
            }
        }
    }

    /// When [`Core::wake`] is to be called next.
    pub fn due(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse(at)| *at);
        let sweep = (!self.requests.is_empty()).then_some(self.next_sweep);
        timer.into_iter().chain(sweep).min()
    }

    /// What is to be done, in order.
    pub fn commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Requests in the table.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Nodes in the table: those of the list, and those that are gone and still have attempts out.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// The state for balancers in front.
    pub fn readiness(&self) -> Readiness {
        let able = |spared| self.nodes.values().any(|it| it.state == State::Ready && it.role != spared);
        match (self.draining, able(Role::Writer) && able(Role::Reader)) {
            (true, _) => Readiness::Draining,
            (false, true) if self.held_back => Readiness::Able,
            (false, true) => Readiness::Ready,
            (false, false) => Readiness::Starting,
        }
    }

    /// New settings: what follows from them is told to the module and to the fronts.
    fn settings(&mut self, now: Time, site: Site) -> Result<(), String> {
        let open: HashSet<usize> = self.requests.values().map(|held| held.class).collect();
        for (class, at) in self.site.settings.classes.iter().zip(&mut self.retired) {
            *at = if class.open { now } else { *at };
        }
        // What a front read by the old names may still be on its way.
        let used = |at: usize| open.contains(&at) || now < self.retired[at].saturating_add(CLASS_QUIET);
        let site = site.after(&self.site, used)?;
        self.retired.resize(site.settings.classes.len(), now);
        let names = site.settings.classes.iter().filter(|class| class.open).count();
        info!(self.log, "new settings"; "classes" => names, "most_tries" => site.settings.max_attempts);
        (self.site, self.site_changed) = (Arc::new(site), true);
        let site = self.site.clone();
        self.note(|notes| notes.settings(&site));
        self.follow(now);
        Ok(())
    }

    /// The module's settings and the bound on what is held: another process is one more dispatcher to the servers.
    fn follow(&mut self, now: Time) {
        let whole = self.site.bounds.most_held.min(self.most_places) as u128;
        self.most_held = ((whole * u128::from(self.part) / u128::from(PARTS)) as usize).max(1);
        let mut settings = self.site.settings.clone();
        settings.balancers = settings.balancers.saturating_mul(self.processes.max(1));
        self.step(now, api::Event::Settings(settings));
    }

    /// The settings, where they are new since the last call.
    pub fn new_site(&mut self) -> Option<Arc<Site>> {
        std::mem::take(&mut self.site_changed).then(|| self.site.clone())
    }

    fn request(&mut self, now: Time, ask: Ask, work: Work, answer: oneshot::Sender<Answer>) {
        let id = ask.id;
        // An id that is in flight is never a second request: nodes know requests by it alone.
        if self.names.contains(&work.name) {
            let _ = answer.send(Answer::Duplicate);
            return;
        }
        // More than may be held never reaches the module. Nothing was sent, so a refusal is true.
        if self.requests.len() >= self.most_held {
            debug!(self.log, "refused: as much is held as may be"; "held" => self.requests.len());
            let _ = answer.send(Answer::Refused(Duration::from_micros(self.site.settings.max_retry_after)));
            return;
        }
        self.names.insert(work.name.clone());
        self.hearsay.iter_mut().for_each(Hearsay::request);
        debug!(self.log, "request"; "id" => id, "name" => %work.name, "class" => ask.class,
            "expires_in" => ask.expires_in, "prompt" => ask.prompt, "shared" => ask.prefix_tokens);
        let class = self.site.settings.classes.get(ask.class);
        let once = class.is_none_or(|class| class.effect == Effect::Unsafe);
        self.note(|notes| notes.arrival(now, &ask));
        let held = Held {
            class: ask.class,
            work,
            once,
            answer: Some(answer),
            deadline: now.saturating_add(ask.expires_in),
            attempts: Vec::new(),
            closed: false,
            begun: None,
            known: false,
            stray: false,
            idle_since: now,
            releasing: false,
            ran: false,
            fate: None,
        };
        self.requests.insert(id, held);
        self.step(now, api::Event::Request(ask));
    }

    fn gone(&mut self, now: Time, id: RequestId, fate: Option<oneshot::Sender<bool>>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.fate = fate;
        // A stream that has begun ends at its node when its receiver is dropped, as the client's side does.
        if !std::mem::replace(&mut held.closed, true) {
            held.answer = None;
            self.note(|notes| notes.over(now, id, Noted::Left));
            self.step(now, api::Event::Gone { id });
        }
        self.settle(now, id);
    }

    fn first(&mut self, now: Time, id: RequestId, attempt: u32, stream: mpsc::Receiver<Piece>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let out = held.attempts.get(attempt as usize).is_some_and(|it| it.out);
        // Dropping the stream of an attempt that came too late ends it at its node.
        if held.closed || held.begun.is_some() || !out {
            return;
        }
        let Some(answer) = held.answer.take() else { return };
        if answer.send(Answer::Served(stream)).is_err() {
            // The client left at this moment; its ticket tells so.
            return;
        }
        // With the first event all else that nodes hold for the request goes by itself.
        (held.begun, held.known, held.stray) = (Some(attempt), false, false);
        held.work.body = Bytes::new(); // nothing is sent for it any more
        debug!(self.log, "first event"; "id" => id, "attempt" => attempt);
        self.note(|notes| notes.first(now, id, attempt));
        self.step(now, api::Event::First { id, attempt });
    }

    fn ended(
        &mut self, now: Time, id: RequestId, attempt: u32, status: Status, note: f64, load: Option<Load>,
    ) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(ended) = held.attempts.get_mut(attempt as usize).filter(|it| it.out) else { return };
        ended.out = false;
        let server = ended.server;
        held.idle_since = now;
        if held.begun == Some(attempt) {
            // By its good end, or by its break; its client may have left before.
            let answer = if status == Status::Ok { Noted::Served } else { Noted::Broken };
            if let Some(notes) = self.notes.as_mut().filter(|_| !held.closed) {
                notes.over(now, id, answer);
            }
            held.closed = true;
        }
        let reads = self.nodes.get(&server).is_none_or(|node| node.role != Role::Writer);
        let proven = matches!(
            status,
            Status::Full | Status::ConnectFailed | Status::Moot | Status::Read | Status::Rejected
        );
        held.ran |= !proven && self.nodes.get(&server).is_none_or(|node| node.role != Role::Reader);
        match status {
            Status::Read => held.known = true,
            // The read may have ended well at the moment its connection broke or was closed.
            Status::Cancelled | Status::Reset | Status::Stale | Status::Timeout | Status::Error if reads => {
                held.stray = true
            }
            Status::Full if note > 0.0 => held.known = false,
            _ => {}
        }
        // What one node finds bad the others would too: it would go round the whole fleet, and they be blamed.
        if status == Status::Rejected {
            self.close(now, id, Answer::Rejected);
        }
        let closed = self.requests.get(&id).is_some_and(|held| held.closed);
        debug!(self.log, "attempt ended"; "id" => id, "attempt" => attempt, "server" => server,
            "status" => ?status, "note" => note, "closed" => closed);
        let failed = matches!(status, Status::Reset | Status::Error | Status::ConnectFailed);
        self.tell(now, server, failed, load.as_ref());
        self.step(now, api::Event::Outcome { id, attempt, server, status, closed, note, load });
        self.settle(now, id);
    }

    fn members(&mut self, now: Time, complete: bool, members: Vec<Member>) {
        let mut entries = Vec::new();
        let mut named = HashSet::new();
        for Member { name, address, mut entry } in members {
            let server = *self.numbers.entry(name.clone()).or_insert_with(|| {
                self.next_number += 1;
                self.next_number - 1
            });
            named.insert(server);
            entry.server = server;
            let before = self.nodes.remove(&server);
            let back_at = before.as_ref().and_then(|it| it.back_at).max(self.bans.ended(&name));
            let state = self.state_of(&name, entry.state);
            let role = entry.role;
            let node = Node { name, address: address.clone(), role, state, listed: entry, back_at };
            if before.as_ref().is_some_and(|it| it.address != address) {
                debug!(self.log, "a node has moved"; "server" => server, "address" => %address);
            }
            let news = before.as_ref().is_none_or(|it| it.state != state || it.address != address);
            if news {
                debug!(self.log, "a node's state"; "server" => server, "name" => %node.name,
                    "address" => %address, "role" => ?role, "state" => ?state, "started" => ?node.listed.started);
                self.commands.push(Command::Bar { address, barred: state != State::Ready });
            }
            let entry = node.entry();
            let told = self.notes.as_mut().filter(|_| news);
            if let Some(notes) = told {
                notes.node(now, &node.name, &entry);
            }
            self.nodes.insert(server, node);
            entries.push(entry);
        }
        if complete {
            for (_, node) in self.nodes.iter_mut().filter(|(server, _)| !named.contains(server)) {
                node.listed.state = State::Gone;
                if node.state != State::Gone {
                    node.state = State::Gone;
                    self.commands.push(Command::Bar { address: node.address.clone(), barred: true });
                }
            }
        }
        self.forget_gone();
        // A node that took over an address must not inherit the bar of the one that left it.
        for node in self.nodes.values().filter(|node| node.state == State::Ready) {
            self.commands.push(Command::Bar { address: node.address.clone(), barred: false });
        }
        self.step(now, api::Event::Members { complete, entries });
    }

    /// The state that holds, by what the list says.
    fn state_of(&self, name: &str, listed: State) -> State {
        match listed {
            State::Ready if self.bans.is_banned(name) => State::Draining,
            other => other,
        }
    }

    /// Operators have taken these out of use, or back.
    fn banned(&mut self, now: Time, names: &[Arc<str>]) {
        let mut entries = Vec::new();
        for name in names {
            let banned = self.bans.is_banned(name);
            info!(self.log, "operators' word on a replica"; "name" => %name, "banned" => banned);
            let Some(server) = self.numbers.get(name) else { continue };
            let state = self.nodes.get(server).map(|node| self.state_of(name, node.listed.state));
            let (Some(node), Some(state)) = (self.nodes.get_mut(server), state) else { continue };
            node.state = state;
            node.back_at = node.back_at.max(self.bans.ended(name));
            let entry = node.entry();
            if let Some(notes) = &mut self.notes {
                notes.node(now, name, &entry);
            }
            entries.push(entry);
            self.commands.push(Command::Bar { address: node.address.clone(), barred: state != State::Ready });
        }
        if !entries.is_empty() {
            self.step(now, api::Event::Members { complete: false, entries });
        }
    }

    /// What operators have said, where that is new since the last call.
    pub fn new_marks(&mut self) -> Option<Marks> {
        std::mem::take(&mut self.bans_changed).then(|| self.bans.marks().clone())
    }

    /// Lets go of nodes that are gone and have no attempt out: names and addresses are ever new, and the table
    /// must not grow with them. The bar goes too, for nothing can be sent to a node that is not in the table.
    fn forget_gone(&mut self) {
        let attempts = self.requests.values().flat_map(|held| &held.attempts);
        let busy: HashSet<ServerId> = attempts.filter(|it| it.out).map(|it| it.server).collect();
        let over = |(server, node): &(&ServerId, &Node)| node.state == State::Gone && !busy.contains(server);
        let over: Vec<ServerId> = self.nodes.iter().filter(over).map(|(server, _)| *server).collect();
        for server in over {
            let Some(node) = self.nodes.remove(&server) else { continue };
            self.numbers.remove(&node.name);
            self.bans.has_left(node.name);
            self.hearsay.iter_mut().for_each(|hearsay| hearsay.keep(|it| it != server));
            self.note(|notes| notes.node_gone(server));
            if self.nodes.values().all(|other| other.address != node.address) {
                self.commands.push(Command::Bar { address: node.address, barred: false });
            }
        }
    }

    /// Tells the module one event and does what it says.
    fn step(&mut self, now: Time, event: api::Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, timeout } => self.send(now, id, server, timeout),
                Action::Cancel { id, attempt } => {
                    let held = self.requests.get(&id);
                    // A stream that has begun belongs to the client and is not withdrawn.
                    let open = held.is_some_and(|held| {
                        held.begun != Some(attempt)
                            && held.attempts.get(attempt as usize).is_some_and(|it| it.out)
                    });
                    if open {
                        self.commands.push(Command::Cancel { id, attempt });
                    }
                }
                Action::Refuse { id, retry_after } => {
                    self.close(now, id, Answer::Refused(Duration::from_micros(retry_after)));
                    self.settle(now, id);
                }
                Action::Fail { id } => {
                    self.close(now, id, Answer::Failed);
                    self.settle(now, id);
                }
                Action::Release { id } => {
                    if let Some(held) = self.requests.get_mut(&id) {
                        (held.known, held.stray) = (false, true);
                    }
                    self.settle(now, id);
                }
                Action::Wake { at } => self.timers.push(Reverse(at)),
                Action::Probe { server } => {
                    let address = self.nodes.get(&server).map(|node| node.address.clone());
                    match address {
                        Some(address) => self.commands.push(Command::Probe { server, address }),
                        None => warn!(self.log, "a probe of an unknown node"; "server" => server),
                    }
                }
                // Discovery is always watched.
                Action::Watch => {}
            }
        }
    }

    fn send(&mut self, now: Time, id: RequestId, server: ServerId, timeout: Time) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let attempt = held.attempts.len() as u32;
        let node = self.nodes.get(&server).filter(|node| node.state == State::Ready);
        let live = !held.closed && held.begun.is_none() && now < held.deadline;
        held.attempts.push(Attempt { server, out: true });
        let Some(node) = node.filter(|_| live) else {
            // What the rules forbid is not sent, whoever asks for it.
            warn!(self.log, "a send that the rules forbid"; "id" => id, "server" => server);
            let (status, note, load) = (Status::Moot, 0.0, None);
            return self.ended(now, id, attempt, status, note, load);
        };
        let timeout = if timeout == 0 { Time::MAX } else { timeout }.min(held.deadline - now);
        debug!(self.log, "send"; "id" => id, "attempt" => attempt, "server" => server);
        if let Some(notes) = &mut self.notes {
            notes.sent(now, id, attempt, server);
        }
        self.commands.push(Command::Send {
            id,
            attempt,
            address: node.address.clone(),
            work: held.work.clone(),
            timeout: Duration::from_micros(timeout),
            alone: held.once && node.role != Role::Reader, // reading has no effect
        });
    }

    /// The one place for final answers but streams.
    fn close(&mut self, now: Time, id: RequestId, answer: Answer) {
        let Some(held) = self.requests.get_mut(&id).filter(|held| !held.closed && held.begun.is_none())
        else {
            return;
        };
        held.closed = true;
        debug!(self.log, "closed"; "id" => id, "answer" => ?answer);
        let noted = match &answer {
            Answer::Refused(_) => Noted::Refused,
            _ => Noted::Failed,
        };
        if let Some(waiting) = held.answer.take() {
            let _ = waiting.send(answer);
        }
        self.note(|notes| notes.over(now, id, noted));
    }

    /// Looks after one request: its deadline, and what was held for too long.
    fn sweep(&mut self, now: Time, id: RequestId) {
        let Some(held) = self.requests.get(&id) else { return };
        if !held.closed && held.begun.is_none() && now >= held.deadline {
            // The module ends requests in time by itself; this guards the client against a mistake there.
            warn!(self.log, "a deadline passed without an answer"; "id" => id);
            self.close(now, id, Answer::Failed);
            self.step(now, api::Event::Gone { id });
        }
        self.settle(now, id);
    }

    /// Lets go of what is held where nothing needs it, and forgets the request when all of it is over.
    fn settle(&mut self, now: Time, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let idle = now.saturating_sub(held.idle_since);
        let release_within = self.site.settings.release_within;
        let limit = |tenths: Time| release_within * tenths / 10;
        let late = held.stray && !held.known && idle >= limit(STRAY_TENTHS) || idle >= limit(KNOWN_TENTHS);
        // While an attempt waits for the state, nothing may let go of it; a stream needs it no more.
        let free = held.begun.is_some() || !held.out();
        let unwanted = held.closed || held.begun.is_some() || late;
        if (held.known || held.stray) && free && unwanted && !held.releasing {
            (held.known, held.stray, held.releasing) = (false, false, true);
            // Any node passes it on; those that had an attempt come first, for they are likely to be up.
            let tried = held.attempts.iter().filter_map(|attempt| self.nodes.get(&attempt.server));
            let rest = self.nodes.values().filter(|node| node.state == State::Ready);
            let mut addresses: Vec<Arc<str>> = Vec::new();
            for node in tried.chain(rest).filter(|node| node.state != State::Gone) {
                if !addresses.contains(&node.address) {
                    addresses.push(node.address.clone());
                }
            }
            let name = held.work.name.clone();
            self.commands.push(Command::Release { id, name, addresses });
        }
        if held.closed && !held.out() && !held.releasing {
            if let Some(held) = self.requests.remove(&id) {
                self.names.remove(&held.work.name);
                if let Some(fate) = held.fate {
                    let _ = fate.send(held.ran);
                }
            }
        }
    }
}

/// Unix time in microseconds, from one reading of the system's clock and a clock that never jumps.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Time,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Clock { unix: unix.map_or(0, |unix| unix.as_micros() as Time), start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.unix + self.start.elapsed().as_micros() as Time
    }

    fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

/// The way in and what it leads to, for [`run`].
pub struct Inbox {
    events: mpsc::Receiver<Event>,
    urgent: mpsc::Receiver<Event>,
    marks: watch::Sender<Marks>,
    site: watch::Sender<Arc<Site>>,
    readiness: watch::Sender<Readiness>,
    open: watch::Sender<usize>,
}

impl Inbox {
    /// The next event, urgent ones first; `None` when every door is gone.
    pub async fn next(&mut self) -> Option<Event> {
        tokio::select! {
            biased;
            Some(event) = self.urgent.recv() => Some(event),
            event = self.events.recv() => event,
        }
    }

    fn at_once(&mut self) -> Option<Event> {
        self.urgent.try_recv().or_else(|_| self.events.try_recv()).ok()
    }
}

/// Makes the queue of a core.
pub fn door(site: Arc<Site>) -> (Door, Inbox) {
    let (events, queue) = mpsc::channel(QUEUE);
    let (urgent, urgent_queue) = mpsc::channel(URGENT);
    let (set_site, site) = watch::channel(site);
    let (set_marks, marks) = watch::channel(Marks::new());
    let (set_readiness, readiness) = watch::channel(Readiness::Starting);
    let (set_open, open) = watch::channel(0);
    let door = Door { events, urgent, marks, site, next: Arc::new(AtomicU64::new(1)), readiness, open };
    let inbox = Inbox {
        events: queue,
        urgent: urgent_queue,
        marks: set_marks,
        site: set_site,
        readiness: set_readiness,
        open: set_open,
    };
    (door, inbox)
}

/// The task that owns the core: it ends when every door is gone. What the core notes goes to the recorder, what it has
/// to tell to `others`.
pub async fn run(
    mut core: Core, clock: Clock, mut inbox: Inbox, commands: mpsc::Sender<Command>,
    recorder: Option<Recorder>, others: Option<mpsc::Sender<Bytes>>,
) {
    loop {
        let due = core.due().map(|at| clock.instant(at));
        let sleep = async {
            match due {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            event = inbox.next() => match event {
                Some(event) => core.hear(clock.now(), event),
                None => break,
            },
            () = sleep => {}
        }
        // Everything that has come in by now is one batch, heard in the order in which it came.
        let now = clock.now();
        while let Some(event) = inbox.at_once() {
            core.hear(now, event);
        }
        core.wake(now);
        for command in core.commands() {
            if commands.send(command).await.is_err() {
                return;
            }
        }
        if let (Some(others), Some(message)) = (&others, core.to_tell(now)) {
            let _ = others.try_send(message); // where it would have to wait it is not worth it
        }
        if let Some(recorder) = &recorder {
            core.notes().into_iter().for_each(|note| recorder.note(note));
        }
        if let Some(site) = core.new_site() {
            inbox.site.send_replace(site);
        }
        if let Some(marks) = core.new_marks() {
            inbox.marks.send_replace(marks);
        }
        let ready = core.readiness();
        if inbox.readiness.send_if_modified(|old| std::mem::replace(old, ready) != ready) {
            info!(core.log, "readiness"; "state" => ?ready);
        }
        let open = core.open();
        inbox.open.send_if_modified(|old| std::mem::replace(old, open) != open);
    }
}
