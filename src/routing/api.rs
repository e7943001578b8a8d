//! The interface of the decision module: what a router is told at its start, what it hears, what it does.
//!
//! Nothing here decides anything. Times are `u64` microseconds on the caller's clock; ids are the caller's
//! numbers and mean nothing beyond equality.

/// A moment or a span, in microseconds.
pub type Time = u64;
/// The caller's number for one try of a client.
pub type RequestId = u64;
/// The caller's number for a server.
pub type ServerId = u32;

/// What a kind of server does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts and keeps the read state until a writer takes it.
    #[default]
    Reader,
    /// Takes a read state and streams the answer.
    Writer,
    /// Does either, or both for the same request.
    Both,
}

/// The servers that drop repeats of one keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All servers together.
    All,
    /// Those of the zone where it was sent first.
    Zone,
    /// Those of the cell where it was sent first.
    Cell,
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless.
    Safe,
    /// Repeats are dropped inside `group` for `window` after the first send.
    Keyed {
        /// Who drops repeats.
        group: Group,
        /// For how long.
        window: Time,
    },
    /// A repeat does harm.
    Unsafe,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The first token is wanted within this time.
    pub aim: Time,
    /// Added to the aim for each 1,000 prompt tokens.
    pub aim_per_1000_tokens: Time,
    /// Tokens are wanted this far apart on average; 0 where it is not told.
    pub token_aim: Time,
    /// Worth of a request answered in time.
    pub worth: f64,
    /// What a repeat would do.
    pub effect: Effect,
    /// New requests may be of it; else only some that are under way are.
    pub open: bool,
}

/// One tenant: what it may ask of all routers together.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all routers; 0 where it is not told.
    pub quota_per_s: f64,
}

/// How servers tell their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With outcomes and with answers to probes.
    WithAnswers,
    /// With answers to probes only.
    WhenProbed,
    /// Never.
    Never,
}

/// What a router is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Routers that share the servers.
    pub balancers: u32,
    /// This router's zone.
    pub zone: u32,
    /// Classes, by number.
    pub classes: Vec<Class>,
    /// Tenants, by number; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic over a tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// How load is reported.
    pub reports: Reports,
    /// The list of servers has to be asked for.
    pub must_watch: bool,
    /// Probes are allowed.
    pub may_probe: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Clients heed advice on when to come back, up to this long; 0 where they do not.
    pub max_retry_after: Time,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// The least time between two calls of the module.
    pub tick: Time,
    /// A final answer counts until this long after the client's time.
    pub answer_slack: Time,
    /// Sends to a leaving server end this long after it was told.
    pub drain_grace: Time,
    /// A held state is taken or let go within this time.
    pub release_within: Time,
    /// Share of its capacity that a server has when it starts.
    pub cold_from: f64,
    /// It is warm after this time at most.
    pub warm_within: Time,
    /// A cold server sent this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this time falls over.
    pub fall: Time,
    /// Price of an attempt that crosses zones, in parts of a request's worth.
    pub cross_zone_price: f64,
    /// Price of moving a state out of its cell, in parts of a request's worth.
    pub far_price: f64,
}

/// Whether a server of the list takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    #[default]
    Ready,
    /// Ends what it has.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// The same number for this server at every router, and for no other.
    pub key: u64,
    /// What it does.
    pub role: Role,
    /// Its memory in tokens; 0 where it is not told.
    pub memory: f64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes work.
    pub state: State,
    /// When it last started; `None`: long ago.
    pub started: Option<Time>,
}

/// A load report; every value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queue: Option<f64>,
    /// Share of its memory that is held.
    pub memory: Option<f64>,
    /// Prompt tokens to read or to fetch, in thousands.
    pub to_read: Option<f64>,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: Option<usize>,
    /// Its session.
    pub session: Option<u64>,
    /// The shared text with which it begins.
    pub prefix: Option<u64>,
    /// The client's remaining time.
    pub expires_in: Time,
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Tokens of the shared text.
    pub prefix_tokens: f64,
    /// The most tokens that the answer may have.
    pub max_tokens: f64,
    /// A rough guess of the answer's time at the token aim, where there is one.
    pub hint: Option<Time>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The prompt is read; its state waits at the reader.
    Read,
    /// An error answer; it may have run.
    Error,
    /// Turned away; it did not run.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// A kept connection broke before anything came back: as like as not it was closed while it stood idle, which
    /// tells nothing of the server; it may have run.
    Stale,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Turned away because the request itself is bad, as it would be anywhere; it did not run.
    Rejected,
}

/// Why a router gives a request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUp {
    /// Nothing is likely to serve it in time, and load is above usual.
    Overload,
    /// Its read state may be held no longer.
    StateHeldTooLong,
    /// No further attempt is allowed.
    NoAttemptLeft,
    /// Its time, or the router's own, is up.
    OutOfTime,
    /// It may have run and must not run twice.
    MustNotRepeat,
    /// Its class is not known.
    UnknownClass,
}

/// What a router hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of servers, whole or what changed in it.
    Members {
        /// Servers that are absent are gone.
        complete: bool,
        /// Its lines.
        entries: Vec<Entry>,
    },
    /// What it was told at its start has changed. A class's number means what it meant while it is in use.
    Settings(Settings),
    /// This router ends soon: every request needs its final answer by then.
    EndBy(Time),
    /// A call for the list failed, or the subscription broke.
    ListFailed,
    /// A client's request.
    Request(Ask),
    /// The answer of an attempt has begun.
    First {
        /// The request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The request is over, by this or before it.
        closed: bool,
        /// Prompt tokens found kept (`Ok`, `Read`); 1 with `Full` where no state was there.
        note: f64,
        /// The server's load, where it was told.
        load: Option<Load>,
    },
    /// The client has left.
    Gone {
        /// The request.
        id: RequestId,
    },
    /// A time that was asked for by [`Action::Wake`] has come.
    Wake,
    /// What another router has told of a server.
    Heard {
        /// The server.
        server: ServerId,
        /// Its load; without one, an attempt there has failed.
        load: Option<Load>,
    },
    /// A probe's answer.
    Probed {
        /// The server.
        server: ServerId,
        /// It answered.
        ok: bool,
        /// Its load, where it was told.
        load: Option<Load>,
    },
}

/// What a router does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; a request's attempts count from 0.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// The attempt's time-out.
        timeout: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Final answer: nothing was done, and trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// Advice on when to come back; 0: none.
        retry_after: Time,
        /// Why.
        why: GiveUp,
    },
    /// Final answer that promises nothing.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        why: GiveUp,
    },
    /// Let go of every state that is held for the request.
    Release {
        /// The request.
        id: RequestId,
    },
    /// Ask for [`Event::Wake`] at this time.
    Wake {
        /// When.
        at: Time,
    },
    /// Ask a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to changes of the list of servers.
    Watch,
}
